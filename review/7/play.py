"""Another writer's records have spaces in their keys; all entries are killed."""

import asyncio
import collections
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "support-2"))
import stand_ins

# Services, endpoints and the store's pages as in the site file.
SERVICES = 4
ENDPOINTS_PER_SERVICE = 12
PAGE = 50
ZONES = {"a1": "a", "b1": "b"}
FOREIGN_RECORDS = 5
ROUTE_TIMEOUT_S = 2
WORK_S = 0.05
CALM_S = 8
DOWN_S = 0.63
RECOVERY_S = 15
JUDGED_S = 10
SEND_INTERVAL_S = 0.05
MIN_SERVED_SHARE = 0.25


async def serve(endpoint, method, target, fields, body, writer):
    request = fields["skylarkdyke-request-id"]
    await asyncio.sleep(WORK_S)
    writer.write(stand_ins.answer(200, request, b"ok", [stand_ins.signature(endpoint.identity, request)]))
    return True


async def ask_for(seconds, entries, name, record):
    """Sends requests for some seconds and returns the share that is served."""
    answers = collections.Counter()
    until = record.now() + seconds
    number = 0
    while record.now() < until:
        entry = entries[number % len(entries)]
        number += 1
        reply = await stand_ins.ask(entry.ip, entry.front, "GET", f"/safe{number % SERVICES}/{number}",
                                    f"{name}{number}", ROUTE_TIMEOUT_S * 1000)
        answers[reply.status or reply.reason] += 1
        await asyncio.sleep(SEND_INTERVAL_S)
    record.write(f"{name}: {dict(answers)}")
    return answers[200] / sum(answers.values())


async def case(record):
    store = stand_ins.Store(page=PAGE)
    await store.start()
    services = [f"service-{number}" for number in range(SERVICES)]
    for number in range(SERVICES * ENDPOINTS_PER_SERVICE):
        await stand_ins.Endpoint(store, f"i-{number:02}", services[number % SERVICES],
                                 list(ZONES)[number % len(ZONES)], serve).start()
    store.put("op/config", stand_ins.configuration(
        3, [(f"route-{number}", f"/safe{number}/", "safe", ROUTE_TIMEOUT_S, service, 2)
            for number, service in enumerate(services)], services))
    entries = []
    for number, zone in enumerate(["a1", "b1", "a1"]):
        entries.append(stand_ins.Entry(store, f"entry-{number}", f"127.0.0.{11 + number}", zone, ZONES,
                                       [entry.mesh for entry in entries]))
    await stand_ins.start_entries(entries)
    if stand_ins.TROUBLE:
        for number in range(FOREIGN_RECORDS):
            store.put(f"servers/old copy {number}", b"\xff\xfe cannot be read")
    before = await ask_for(CALM_S, entries, "before", record)
    for entry in entries:
        entry.process.kill()
    for entry in entries:
        entry.process.wait()
    record.write("all entries were killed")
    await asyncio.sleep(DOWN_S)
    for entry in entries:
        entry.start()
    record.write("all entries are started again")
    await asyncio.sleep(RECOVERY_S)
    calls = len(store.calls)
    after = await ask_for(JUDGED_S, entries, "after", record)
    failed = collections.Counter(call for call in store.calls[calls:] if call[1] != 200)
    record.write(f"calls that the store refused meanwhile: {dict(failed)}")
    record.write(f"ready: {[await entry.is_ready() for entry in entries]}")
    record.write(f"served before the kill {before:.2f}, later than {RECOVERY_S} s after the return {after:.2f}")
    return before < MIN_SERVED_SHARE or after >= MIN_SERVED_SHARE


stand_ins.play(case, FOLDER)
