#!/usr/bin/env python3
"""Measures what idle entries cost by the number of entries and by the number of targets.

Starts deployments of several sizes as demo.py does, without load, and reads the processor time and
memory of each entry from /proc, and the bytes between entries and the calls to the store from
/metrics. Prints medians per entry and their linear fits. Linux only.
"""
import argparse
import os
import pathlib
import statistics
import tempfile
import time

import demo

COLUMNS = ("cpu %", "rss MB", "bytes/s", "reads/s", "writes/s", "watches/s")
BYTES_OUT = 'skylarkdyke_peer_bytes_total{direction="out"}'
STORE_CALLS = 'skylarkdyke_store_calls_total{call="%s"}'
# Entry addresses end in the entry's number, and the emulated store and proxy are single processes.
MAX_ENTRIES = 80


class IdleDeployment(demo.Deployment):
    """A deployment without callers, with the given seats and targets."""

    def __init__(self, options, directory, entries, targets):
        self.entry_pids = []
        options.entries = entries
        super().__init__(options, directory)
        self.document["entry_seats"] = options.seats or entries
        if targets:
            self.replace_targets(targets)

    def replace_targets(self, count):
        """Gives each service the same number of targets, reached without the proxy."""
        per_service = count // len(self.document["services"])
        pattern = self.document["targets"]
        self.document["targets"] = []
        self.plan["targets"] = []
        for number, service in enumerate(s["name"] for s in self.document["services"]):
            own = [t for t in pattern if t["service"] == service]
            for index in range(per_service):
                address = f"127.{self.options.net}.{100 + number}.{index + 1}:19000"
                self.document["targets"].append({**own[index % len(own)], "id": f"{service}-{index}",
                                                 "address": address})
                self.plan["targets"].append({"service": service, "listen": address})

    def start(self, name, *words):
        super().start(name, *words)
        if words[0] == "run":
            self.entry_pids.append(self.processes[-1].pid)

    def stop(self):
        """Ends the processes at once: a graceful stop takes seconds, and nothing is measured in it."""
        for process in self.processes:
            process.kill()
        for process in self.processes:
            process.wait()

    def sample(self):
        """Counters and gauges of each entry at this instant, in the order of the entries."""
        return [{"cpu": cpu_seconds(pid), "rss": resident_bytes(pid), **self.entry_metrics(entry)}
                for pid, entry in zip(self.entry_pids, self.plan["entries"])]

    @staticmethod
    def entry_metrics(entry):
        page = {}
        at = time.monotonic()
        for line in demo.call("GET", f"http://{entry['admin_address']}/metrics").splitlines():
            if line and not line.startswith("#"):
                name, value = line.rsplit(" ", 1)
                page[name] = float(value)
        return {"at": at, "bytes": page[BYTES_OUT],
                **{call: page[STORE_CALLS % call] for call in ("read", "write", "watch")}}


def cpu_seconds(pid):
    # Fields 14 and 15 of stat, counted from 1; the process name before them may hold spaces.
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_bytes(pid):
    return int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def measure(options, entries, targets):
    """Medians over the entries of one deployment, in the order of COLUMNS."""
    with tempfile.TemporaryDirectory(prefix="skylarkdyke-scaling-") as directory:
        deployment = None
        try:
            deployment = IdleDeployment(options, pathlib.Path(directory), entries, targets)
            deployment.start_all()
            time.sleep(options.settle)
            before = deployment.sample()
            time.sleep(options.seconds)
            after = deployment.sample()
        finally:
            if deployment:
                deployment.stop()
    rows = []
    for old, new in zip(before, after):
        seconds = new["at"] - old["at"]
        rates = [(new[key] - old[key]) / seconds for key in ("bytes", "read", "write", "watch")]
        rows.append([100 * (new["cpu"] - old["cpu"]) / seconds, new["rss"] / 1e6, *rates])
    return [statistics.median(column) for column in zip(*rows)]


def print_series(options, title, sizes, run):
    """Measures each size and prints the rows and the least-squares line of each column."""
    print(f"\n{title:>10}" + "".join(f"{name:>12}" for name in COLUMNS) + f"{'load':>8}", flush=True)
    rows = []
    for size in sizes:
        rows.append(run(size))
        print(f"{size:>10}" + "".join(f"{value:>12.3f}" for value in rows[-1]) + f"{os.getloadavg()[0]:>8.1f}",
              flush=True)
    if len(set(sizes)) < 2:
        return
    fits = [statistics.linear_regression(sizes, column) for column in zip(*rows)]
    print(f"{'slope':>10}" + "".join(f"{fit.slope:>12.4f}" for fit in fits))
    print(f"{'intercept':>10}" + "".join(f"{fit.intercept:>12.3f}" for fit in fits))


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--binary", default="build/skylarkdyke")
    parser.add_argument("--deployment", choices=["rozpalka", "mallas"], default="rozpalka")
    parser.add_argument("--net", type=int, default=40, help="second octet of the loopback addresses")
    parser.add_argument("--sizes", default="5,10,20,40", help="numbers of entries")
    parser.add_argument("--targets", default="12,48,120,240", help="numbers of targets; empty leaves them out")
    parser.add_argument("--target-entries", type=int, default=5, help="entries while targets vary")
    parser.add_argument("--seats", type=int, default=0, help="seats of the configuration; 0 is one for each entry")
    parser.add_argument("--settle", type=float, default=6, help="seconds between readiness and measurement")
    parser.add_argument("--seconds", type=float, default=10)
    options = parser.parse_args()
    options.binary = str(pathlib.Path(options.binary).resolve())
    options.work_us = 10000
    sizes = [int(size) for size in options.sizes.split(",") if size]
    targets = [int(count) for count in options.targets.split(",") if count]
    if any(size > MAX_ENTRIES for size in sizes):
        parser.error(f"at most {MAX_ENTRIES} entries")
    print(f"medians per entry over {options.seconds:g} s, no load; load: load average of the machine")
    if sizes:
        print_series(options, "entries", sizes, lambda size: measure(options, size, 0))
    if targets:
        print_series(options, "targets", targets, lambda count: measure(options, options.target_entries, count))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
