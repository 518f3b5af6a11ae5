"""A route is dropped and added again, to a faster service with a lower time-out.

The route `history` goes to a service that works 2.2 s on a request, with a
time-out of 12 s. A version drops it, and a later one adds it again under the same
name, to a service that works 0.2 s, with a time-out of 1.5 s (config_change,
route and timeout). Without the disruption (TROUBLE=0) the first version has
neither the route nor its traffic, and a later one adds it. In both, requests on
the added route are compared with those on the first route.
"""

import asyncio
import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "support"))
import fleet  # noqa: E402

CONFIG_APPLY_S = 2.5
REQUESTS = 60
SLOW, FAST, STOCK = "order-archive", "order-archive-fast", "stock-view"
WORK_S = {SLOW: 2.2, FAST: 0.2, STOCK: 0.3}
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def version(number, history):
    routes = [("stock", "/stock/", "safe", 4, 0.6, STOCK, 2)]
    if history:
        service, timeout, objective = history
        routes.append(
            ("history", "/history/", "safe", timeout, objective, service, 2)
        )
    document = fleet.configuration(number, routes, [SLOW, FAST, STOCK])
    sticky = document["routes"]["columns"].index("sticky")
    for row in document["routes"]["rows"]:
        row[sticky] = False
    return document


async def send(entry, path, prefix, count, pause, deadline_ms, record):
    """Sends requests one after the other; returns their statuses."""

    async def one(number):
        connection = fleet.Client(entry.ports["front"])
        ident = f"{prefix}-{number:03d}"
        answer = await connection.request(
            "GET", f"{path}{number}", ident, deadline_ms
        )
        reason = answer.body.decode("latin-1").strip() if answer.status != 200 else ""
        record(f"client {ident} -> {answer} {reason}")
        connection.close()
        return answer.status

    tasks = []
    for number in range(count):
        tasks.append(asyncio.create_task(one(number)))
        await asyncio.sleep(pause)
    return await asyncio.gather(*tasks)


async def main():
    record = fleet.Record(HERE / "record.txt")
    record(f"TROUBLE={int(TROUBLE)}")
    with fleet.Folder() as folder:
        store = fleet.Store()
        await store.start()
        for service, work_s in WORK_S.items():
            for number in range(6):
                endpoint = fleet.Endpoint(
                    f"i-{service}-{number}", service, "krk-b", record, slots=4
                )
                endpoint.work_s = work_s
                await endpoint.start()
                await store.put(f"servers/{endpoint.ident}", endpoint.item())
        await store.put(
            "op/config", version(1, (SLOW, 12, 1.5) if TROUBLE else None)
        )
        entry = fleet.Entry(
            "edge-krk-b-1", store, folder, {"krk-b": "malopolska"}, "krk-b"
        )
        entry.start()
        try:
            if not await entry.ready():
                print("the entry did not become ready")
                return fleet.NOT_RUN
            await asyncio.sleep(5)
            if TROUBLE:
                await send(entry, "/history/", "old", 40, 0.2, 12000, record)
            await store.put("op/config", version(2, None))
            record("operator: r2 acknowledged, without the route history")
            await asyncio.sleep(CONFIG_APPLY_S + 1)
            await store.put("op/config", version(3, (FAST, 1.5, 0.6)))
            record("operator: r3 acknowledged, with the route history")
            await asyncio.sleep(CONFIG_APPLY_S + 4)
            first, added = await asyncio.gather(
                send(entry, "/stock/", "first", REQUESTS, 0.25, 4000, record),
                send(entry, "/history/", "added", REQUESTS, 0.25, 4000, record),
            )
            served = [statuses.count(200) / REQUESTS for statuses in (first, added)]
            text = (
                f"served on the first route {served[0]:.2f}, on the added route "
                f"{served[1]:.2f} of {REQUESTS} requests each (a quarter as often "
                "required)"
            )
            record(text)
            print(text)
            return fleet.BROKEN if served[1] < served[0] / 4 else fleet.HELD
        finally:
            entry.end()


sys.exit(fleet.run_case(main))
