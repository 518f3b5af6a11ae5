"""A request that crashes endpoints, and whose client leaves before the crash.

The request is safe. An endpoint that has begun to run it ends 1 s later, also if
its connection was closed meanwhile. The client sends it again every 5 s. With
the disruption (`give_up`) it leaves 0.5 s after it has sent the request; without
it (TROUBLE=0) it waits for the answer. Beside it other clients look up stock.
"""

import asyncio
import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "support"))
import crashing  # noqa: E402
import fleet  # noqa: E402

ROUNDS = 12
ROUND_S = 5.0
CRASH_AFTER_S = 1.0
LEAVES_AFTER_S = 0.5
ENDPOINTS = 12
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
POISON = "/stock/net-81"


async def poisoned_client(port, record, start):
    for number in range(ROUNDS):
        await asyncio.sleep(max(0, start + number * ROUND_S - time.monotonic()))
        connection = fleet.Client(port)
        ident = f"p-{number:02d}"
        record(f"client sends {ident} {POISON}")
        request = connection.request("GET", POISON, ident, 4000)
        if TROUBLE:
            try:
                answer = await asyncio.wait_for(request, LEAVES_AFTER_S)
            except asyncio.TimeoutError:
                answer = "no answer, the client leaves"
        else:
            answer = await request
        connection.close()
        record(f"client {ident} -> {answer}")


async def other_client(number, port, record, until, results):
    connection = fleet.Client(port)
    count = 0
    while time.monotonic() < until:
        count += 1
        ident = f"o{number}-{count:03d}"
        answer = await connection.request("GET", f"/stock/{number}", ident, 4000)
        record(f"client {ident} -> {answer}")
        results.append((ident, answer.status))
        await asyncio.sleep(0.5)


async def main():
    record = fleet.Record(HERE / "record.txt")
    record(f"TROUBLE={int(TROUBLE)}")
    with fleet.Folder() as folder:
        store = fleet.Store()
        await store.start()
        crashes = []
        for number in range(ENDPOINTS):
            endpoint = crashing.CrashingEndpoint(
                f"i-{number:02d}", "stock-view", "krk-b", record, store, crashes,
                (POISON,), CRASH_AFTER_S,
            )
            await endpoint.launch()
        await store.put(
            "op/config",
            fleet.configuration(
                1,
                [("stock", "/stock/", "safe", 4, 0.6, "stock-view", 2)],
                ["stock-view"],
            ),
        )
        entry = fleet.Entry(
            "edge-krk-b-1", store, folder, {"krk-b": "malopolska"}, "krk-b"
        )
        entry.start()
        try:
            if not await entry.ready():
                print("the entry did not become ready")
                return fleet.NOT_RUN
            await asyncio.sleep(crashing.STABLE_WINDOW_S + 1)
            start = time.monotonic() + 0.2
            port = entry.ports["front"]
            results = []
            await asyncio.gather(
                poisoned_client(port, record, start),
                *(
                    other_client(n, port, record, start + ROUNDS * ROUND_S, results)
                    for n in range(2)
                ),
            )
            broken = crashing.judge(POISON, crashes, record)
            failed = [i for i, status in results if status != 200]
            text = f"other requests: {len(results)} sent, {len(failed)} not served"
            record(text)
            print(text)
            return fleet.BROKEN if broken else fleet.HELD
        finally:
            entry.end()


sys.exit(fleet.run_case(main))
