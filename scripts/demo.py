#!/usr/bin/env python3
"""Runs one emulated deployment, sends requests through it and prints what callers saw.

Starts a store emulator, target emulators, the fault proxy that adds the delays between failure
domains, and the entries, each as a process. While callers send requests it lowers a cap and drains a
failure domain. Exits with 1 if a request was lost, doubled or wrong.
"""
import argparse
import base64
import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

WARM_UP_SECONDS = 2


LOGIN = "Basic " + base64.b64encode(b"demo:demo").decode()


def call(method, url, body=None, timeout=5):
    request = urllib.request.Request(url, method=method, data=body, headers={"Authorization": LOGIN})
    with urllib.request.urlopen(request, timeout=timeout) as response:
        return response.read().decode()


def wait_for(condition, seconds, what):
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        try:
            if condition():
                return
        except (urllib.error.URLError, OSError):
            pass
        time.sleep(0.05)
    sys.exit(f"demo: {what} did not happen within {seconds} s")


class Deployment:
    """The processes of one deployment; only these are stopped at the end."""

    def __init__(self, options, directory):
        self.options = options
        self.directory = directory
        self.processes = []
        self.run_to_end("make-deployment", directory, f"--deployment={options.deployment}",
                        f"--entries={options.entries}", f"--net={options.net}")
        self.plan = json.loads((directory / "deployment.json").read_text())
        self.document = json.loads((directory / "config.json").read_text())

    def run_to_end(self, *words):
        subprocess.run([self.options.binary, *map(str, words)], check=True)

    def start(self, name, *words):
        log = open(self.directory / f"{name}.log", "w")
        process = subprocess.Popen([self.options.binary, *map(str, words)], stdout=log, stderr=log)
        self.processes.append(process)

    def start_all(self):
        self.start("store", "emulate-store", self.plan["store_listen"])
        for service, control in self.plan["target_controls"].items():
            listens = [t["listen"] for t in self.plan["targets"] if t["service"] == service]
            self.start(service, "emulate-targets", *listens, f"--control={control}", "--queue=8",
                       f"--target_service={service}", f"--work_us={self.options.work_us}", "--exponential")
        self.start("proxy", "fault-proxy", self.directory / "proxy.json", self.plan["proxy_control"])
        wait_for(lambda: self.submit() or True, 10, "the first configuration")
        for entry in self.plan["entries"]:
            self.start(entry["name"], "run", self.directory / f"{entry['name']}.toml")
        for entry in self.plan["entries"]:
            wait_for(lambda: call("GET", f"http://{entry['caller_address']}/ready") is not None, 30,
                     f"{entry['name']} becoming ready")

    def submit(self):
        """Writes the document as an accepted form would: compare-and-swap on the store's index."""
        url = f"http://{self.plan['store_listen']}/v1/kv/skylarkdyke/config"
        try:
            index = json.loads(call("GET", url))[0]["ModifyIndex"]
        except urllib.error.HTTPError as error:
            if error.code != 404:
                raise
            index = 0
        if call("PUT", f"{url}?cas={index}", json.dumps(self.document).encode()).strip() != "true":
            sys.exit("demo: another submission came first")

    def change(self, **fields):
        self.document.update(fields)
        self.document["version"] += 1
        self.document["submission_id"] = f"demo-{self.document['version']}"
        self.submit()

    def metrics(self):
        """All samples of all entries: {(name, labels): sum}."""
        sums = {}
        for entry in self.plan["entries"]:
            for line in call("GET", f"http://{entry['admin_address']}/metrics").splitlines():
                if line and not line.startswith("#"):
                    name, value = line.rsplit(" ", 1)
                    sums[name] = sums.get(name, 0) + float(value)
        return sums

    def runs(self):
        """Runs of all targets: [(listen address, start in s, end in s)]."""
        result = []
        for control in self.plan["target_controls"].values():
            for target in json.loads(call("GET", f"http://{control}/journal", timeout=60))["targets"]:
                result += [(target["target"], r["start_us"] / 1e6, r["end_us"] / 1e6) for r in target["runs"]]
        return result

    def stop(self):
        for process in self.processes:
            process.send_signal(signal.SIGTERM)
        for process in self.processes:
            try:
                process.wait(timeout=30)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


def start_load(deployment, seconds):
    """One load process for the callers of each region."""
    options, plan = deployment.options, deployment.plan
    services = list(plan["target_controls"])
    loads = []
    for region, source in plan["caller_sources"].items():
        entries = [e["caller_address"] for e in plan["entries"] if e["region"] == region]
        streams = ",".join(f"{s}@{source}:{options.rate}" for s in services)
        result = deployment.directory / f"load-{region}.json"
        words = [options.binary, "load", *entries, f"--streams={streams}", f"--seconds={seconds}",
                 f"--source_address={source}", f"--keyed_share={options.keyed_share}", f"--callers={options.callers}", f"--json={result}", "--repeat_unknown",
                 f"--verify={','.join(plan['target_controls'].values())}", f"--seed={options.seed}"]
        log = open(deployment.directory / f"load-{region}.log", "w")
        loads.append((region, subprocess.Popen(words, stdout=log, stderr=log), result))
    return loads


def change_cap_and_drain(deployment, accepted):
    """Halves the first region's cap and drains its first failure domain, whose name it returns."""
    regions = deployment.document["regions"]
    regions[0]["cap_per_second"] //= 2
    deployment.change(regions=regions)
    domain = regions[0]["domains"][0]
    start = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(accepted))
    deployment.change(drains=[{"scope": "domain", "name": domain, "action": "leave", "start": start}])
    return domain


def drain_time(deployment, domain, accepted):
    """Seconds from the request to leave until the last run at the domain's targets ended."""
    listens = {t["listen"] for t in deployment.plan["targets"] if t["domain"] == domain}
    ends = [end for listen, _, end in deployment.runs() if listen in listens]
    return max([end - accepted for end in ends], default=0.0)


def print_headroom(deployment, samples, peaks):
    print(f"\n{'cap':44} {'cap/s':>14} {'used/s':>14} {'headroom':>9}")
    for name, whole in sorted(samples.items()):
        if not name.startswith("skylarkdyke_cap_whole"):
            continue
        label = name.split('"')[1]
        cap = whole / len(deployment.plan["entries"])
        used = samples[name.replace("cap_whole", "cap_used")]
        if label.startswith("link"):
            used = peaks.get(tuple(label.split()[1:]), 0) * 8
        print(f"{label:44} {cap:14.0f} {used:14.0f} {100 * (1 - used / cap):8.1f}%")


def report(loads):
    """Prints latencies and outcomes; returns the number of lost, doubled or wrong requests."""
    print(f"\n{'service':16} {'region':14} {'requests':>8} {'p50 ms':>8} {'p99 ms':>8} {'p999 ms':>8}  outcomes")
    faults = 0
    for region, process, result in loads:
        process.wait(timeout=120)
        faults += process.returncode != 0
        if not result.exists():
            print(f"{'-':16} {region:14} the load tool ended with {process.returncode} and no result")
            continue
        for service, row in sorted(json.loads(result.read_text())["services"].items()):
            latencies = " ".join(f"{row[key] / 1000:8.2f}" for key in ("p50_us", "p99_us", "p999_us"))
            outcomes = {key: row[key] for key in ("completed", "not-run", "unknown", "no-answer")}
            print(f"{service:16} {region:14} {row['requests']:8} {latencies}  {outcomes}")
    return faults


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--binary", default="build/skylarkdyke")
    parser.add_argument("--deployment", choices=["rozpalka", "mallas"], default="rozpalka")
    parser.add_argument("--entries", type=int, default=9)
    parser.add_argument("--net", type=int, default=10, help="second octet of the loopback addresses")
    parser.add_argument("--rate", type=float, default=40, help="requests per second of each service in each region")
    parser.add_argument("--work-us", dest="work_us", type=int, default=10000, help="mean work time of a request")
    parser.add_argument("--seconds", type=int, default=20)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--keyed-share", dest="keyed_share", type=float, default=0.2,
                        help="part of the requests that are orders with a key")
    parser.add_argument("--callers", type=int, default=16, help="threads of each service in each region")
    parser.add_argument("--steady", action="store_true", help="change nothing while callers send requests")
    parser.add_argument("--keep", action="store_true", help="leave the deployment running until Ctrl-C")
    options = parser.parse_args()
    options.binary = str(pathlib.Path(options.binary).resolve())

    with tempfile.TemporaryDirectory(prefix="skylarkdyke-demo-") as directory:
        deployment = Deployment(options, pathlib.Path(directory))
        try:
            deployment.start_all()
            loads = start_load(deployment, options.seconds)
            time.sleep(WARM_UP_SECONDS)
            accepted = time.time()
            domain = None if options.steady else change_cap_and_drain(deployment, accepted)
            time.sleep(max(0.0, options.seconds - WARM_UP_SECONDS - 3))
            samples = deployment.metrics()
            peaks = {(p["from"], p["to"]): p["bytes_per_second"]
                     for p in json.loads(call("GET", f"http://{deployment.plan['proxy_control']}/peaks"))}
            faults = report(loads)
            print_headroom(deployment, samples, peaks)
            if domain:
                print(f"\ndrain of {domain}: empty {drain_time(deployment, domain, accepted):.1f} s after the request")
            print(f"load processes that found a lost, doubled or wrong request: {faults}")
            if options.keep:
                print(f"console: http://{deployment.plan['entries'][0]['admin_address']}/console/ operator demo, token demo (Ctrl-C stops)")
                signal.pause()
        except KeyboardInterrupt:
            faults = 0
        finally:
            deployment.stop()
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
