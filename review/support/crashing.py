"""Endpoints that crash when they run certain requests."""

import asyncio
import time

import fleet

# A crashed endpoint is back, as a new incarnation with a new id, after this time.
BACK_S = 3.0
# Its old record is removed after three heartbeat intervals of 1.5 s of silence;
# the last heartbeat was half an interval before the crash.
RECORD_EXPIRY_S = 3 * 1.5 - 0.75
# Bounds of the rule BUDGET on requests that crash endpoints.
STABLE_WINDOW_S = 4.0
LATE_RETRIES_ALLOWED = 3


class CrashingEndpoint(fleet.Endpoint):
    """Ends as soon as it has begun to run one of the poisoned paths: it closes
    all its connections. It refuses new ones at once or, as a program whose
    supervisor holds the listening socket, `listens_on_s` later."""

    def __init__(self, ident, service, zone, record, store, crashes, poison,
                 listens_on_s=0.0):
        super().__init__(ident, service, zone, record, slots=3)
        self.work = self.run_or_crash
        self.store, self.crashes, self.poison = store, crashes, poison
        self.listens_on_s = listens_on_s
        self.crashed = False
        self.starts = 0
        self.base = ident
        self.connections = set()
        self.server = None

    async def launch(self):
        self.starts += 1
        self.crashed = False
        self.ident = f"{self.base}-{self.starts}"
        self.born = int(time.time() * 1000)
        await self.start()
        await self.store.put(f"servers/{self.ident}", self.item())

    async def serve(self, reader, writer):
        if self.crashed:
            return writer.transport.abort()
        self.connections.add(writer)
        try:
            await super().serve(reader, writer)
        finally:
            self.connections.discard(writer)

    async def run_or_crash(self, request):
        path = request["line"].split(" ")[1]
        if path not in self.poison:
            return await self.ordinary(request)
        self.run(request)
        self.crashes.append((time.monotonic(), path, request["id"]))
        self.record(f"endpoint {self.ident} crashes on {request['id']} {path}")
        self.crashed = True
        for writer in list(self.connections):
            writer.transport.abort()
        loop = asyncio.get_running_loop()
        loop.create_task(self.expire(self.ident))
        loop.create_task(self.come_back())
        return None

    async def come_back(self):
        await asyncio.sleep(self.listens_on_s)
        self.server.close()
        await asyncio.sleep(BACK_S - self.listens_on_s)
        await self.launch()

    async def expire(self, ended):
        await asyncio.sleep(RECORD_EXPIRY_S)
        await self.store.remove(f"servers/{ended}")


def judge(path, crashes, record):
    """Returns whether a poisoned request was sent too often."""
    times = sorted(at for at, crashed_by, _ in crashes if crashed_by == path)
    late = (
        [at for at in times if at > times[2] + STABLE_WINDOW_S]
        if len(times) >= 3
        else []
    )
    text = (
        f"{path}: crashed {len(times)} endpoints, {len(late)} of them later than "
        f"{STABLE_WINDOW_S:.0f} s after the third ({LATE_RETRIES_ALLOWED} allowed)"
    )
    record(text)
    print(text)
    return len(late) > LATE_RETRIES_ALLOWED
