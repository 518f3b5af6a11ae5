#!/usr/bin/env python3
"""Latencies of an ideal single queue: Poisson arrivals, exponential work, first come first served.

Prints p50, p99 and p999 in ms as medians over seeds, for comparison with scripts/demo.py --steady.
"""
import argparse
import heapq
import random
import statistics

QUANTILES = (0.5, 0.99, 0.999)


def simulate(slots, work_ms, load, requests, seed):
    generator = random.Random(seed)
    free_at = [0.0] * slots
    now = 0.0
    latencies = []
    for _ in range(requests):
        now += generator.expovariate(load * slots / work_ms)
        end = max(now, heapq.heappop(free_at)) + generator.expovariate(1 / work_ms)
        heapq.heappush(free_at, end)
        latencies.append(end - now)
    latencies.sort()
    return [latencies[int(q * requests)] for q in QUANTILES]


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--slots", type=int, default=14, help="slots of one service in one region")
    parser.add_argument("--work-ms", dest="work_ms", type=float, default=100.0)
    parser.add_argument("--requests", type=int, default=100_000)
    options = parser.parse_args()
    print(f"{'load':>6} {'p50 ms':>8} {'p99 ms':>8} {'p999 ms':>8}")
    for load in (0.3, 0.6, 0.8, 0.9, 0.95):
        runs = [simulate(options.slots, options.work_ms, load, options.requests, seed) for seed in range(5)]
        row = " ".join(f"{statistics.median(values):8.1f}" for values in zip(*runs))
        print(f"{load:6.2f} {row}")


if __name__ == "__main__":
    main()
