"""A route's split is changed to weights of another scale.

At first half of the orders go to the new release of the service, as weights in
percent: 50 and 50. Then the operator takes the new release out with the weights
1 and 0 (config_change, weights). Without the disruption (TROUBLE=0) the weights
are 1 and 0 from the start. Orders that are sent later than `config_apply_s`
after the store's acknowledgement must not run at the new release.
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
MAX_SHARE_OFF = 0.2
BEFORE = 7
AFTER = 120
OLD, NEW = "drop-confirm", "drop-confirm-next"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def version(number, weights):
    return fleet.configuration(
        number,
        [("confirm", "/confirm/", "unsafe", 6, 0.8, list(zip((OLD, NEW), weights)), 2)],
        [OLD, NEW],
    )


async def send(entry, prefix, count, record, answers):
    connection = fleet.Client(entry.ports["front"])
    for number in range(count):
        ident = f"{prefix}-{entry.name[-1]}-{number:03d}"
        sent = time.monotonic()
        answer = await connection.request(
            "POST", f"/confirm/{number}", ident, 6000, b"nets=2"
        )
        record(f"client {ident} at {entry.name} -> {answer}")
        answers[ident] = (sent, answer.status)
        await asyncio.sleep(0.02)
    connection.close()


async def main():
    record = fleet.Record(HERE / "record.txt")
    record(f"TROUBLE={int(TROUBLE)}")
    zones = {"krk-a": "malopolska", "krk-b": "malopolska"}
    with fleet.Folder() as folder:
        store = fleet.Store()
        await store.start()
        endpoints = []
        for service in (OLD, NEW):
            for number in range(6):
                endpoint = fleet.Endpoint(
                    f"i-{service}-{number}", service, "krk-a", record, slots=4
                )
                await endpoint.start()
                await store.put(f"servers/{endpoint.ident}", endpoint.item())
                endpoints.append(endpoint)
        await store.put("op/config", version(1, (50, 50) if TROUBLE else (1, 0)))
        record(f"operator: r1 acknowledged, weights {(50, 50) if TROUBLE else (1, 0)}")
        first = fleet.Entry("edge-krk-a-1", store, folder, zones, "krk-a")
        second = fleet.Entry(
            "edge-krk-b-2", store, folder, zones, "krk-b",
            seeds=[first.bind("control")],
        )
        entries = [first, second]
        try:
            for entry in entries:
                entry.start()
            for entry in entries:
                if not await entry.ready():
                    print("an entry did not become ready")
                    return fleet.NOT_RUN
            await asyncio.sleep(5)
            answers = {}
            await asyncio.gather(
                *(send(e, "before", BEFORE, record, answers) for e in entries)
            )
            if TROUBLE:
                await store.put("op/config", version(2, (1, 0)))
                record("operator: r2 acknowledged, weights (1, 0)")
            await asyncio.sleep(CONFIG_APPLY_S + 1)
            await asyncio.gather(
                *(send(e, "after", AFTER, record, answers) for e in entries)
            )
            after = [ident for ident in answers if ident.startswith("after")]
            wrong = [
                ident
                for e in endpoints
                if e.service == NEW
                for ident in e.ran
                if ident.startswith("after")
            ]
            share = len(wrong) / len(after)
            text = (
                f"{len(after)} orders sent {CONFIG_APPLY_S + 1:.1f} s after the "
                f"acknowledgement and later; {len(wrong)} run by {NEW}, which has "
                f"the weight 0 (share {share:.2f}; at most {MAX_SHARE_OFF} off allowed)"
            )
            record(text)
            print(text)
            return fleet.BROKEN if share > MAX_SHARE_OFF else fleet.HELD
        finally:
            for entry in entries:
                entry.end()


sys.exit(fleet.run_case(main))
