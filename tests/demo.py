"""The main job on real processes: a declaration is planned and confirmed,
weights move, engines switch under calls, and everything stops in order.

    demo.py [derwent|andrade]

Exits 0 only if nothing was doubled, mixed, crossed or cut off.
"""
import json
import os
import subprocess
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from bench import (ANDRADE, BINARY, DERWENT, Bench, Caller,  # noqa: E402
                   answer_fault, ask, wait_for)

CHUNKS, CHUNK_BYTES = 64, 384 * 1024
COPY = CHUNKS * CHUNK_BYTES
WINDOW_S = 10.0  # T: the origin's link carries 4 copies in it, a host's 2
BOUND_S = WINDOW_S / 2
CALLERS = 8


class Load:
    """Calls in the background: streams, tickets, and urgent pings."""

    def __init__(self, bench):
        self.bench = bench
        self.caller = Caller(bench)
        self.stop = threading.Event()
        self.engine = bench.services[0][0]
        self.plain = bench.services[1][0]
        self.threads = [threading.Thread(target=self.run, args=(k,))
                        for k in range(CALLERS)]
        for t in self.threads:
            t.start()

    def ask_addresses(self, k):
        """Any entry answers; one that has stopped is passed over."""
        for i in range(3):
            try:
                return self.caller.addresses(entry=(k + i) % 3)
            except OSError:
                continue
        raise AssertionError("no entry answers address questions")

    def one(self, k, n):
        teams = self.bench.places["teams"]
        call_id, team = f"call-{k}-{n}", teams[(k + n) % len(teams)]
        found = self.ask_addresses(k)
        address = found["addresses"][0]["address"]
        if n % 4 == 0:
            return self.caller.call(self.plain, call_id, team,
                                    repeatable=False, address=address,
                                    ticket=found["ticket"])
        if n % 4 == 1:
            return self.caller.call(self.plain, call_id, teams[-1],
                                    priority="urgent", address=address)
        return self.caller.call(self.engine, call_id, team, address=address,
                                stream=n % 4 == 2, tokens=24)

    def run(self, k):
        n = 0
        while not self.stop.is_set():
            self.one(k, n)
            n += 1
            time.sleep(0.02)

    def end(self):
        self.stop.set()
        for t in self.threads:
            t.join()
        return self.caller.results


def run_verb(*args):
    done = subprocess.run([BINARY, *args], capture_output=True, text=True,
                          check=False)
    print("$ quayring", " ".join(args))
    print(done.stdout + done.stderr, end="")
    if done.returncode != 0:
        raise SystemExit(f"quayring {args[0]} failed")


def roll_out(bench, version, objective):
    """Declares, plans, confirms; returns times to 1, half and all."""
    path = os.path.join(bench.dir, version + ".json")
    plan = os.path.join(bench.dir, version + ".plan")
    with open(path, "w", encoding="utf-8") as f:
        json.dump(bench.declaration(version, objective), f, indent=1)
    drawn = json.loads(ask(bench.origin, "GET", "/stats")[2])["bytes_out"]
    entry = bench.caller_address(0)
    run_verb("plan", "-e", entry, "-o", plan, path)
    start = time.monotonic()
    run_verb("confirm", "-e", entry, plan)
    n = len(bench.backends(bench.services[0][0]))
    times = []
    for want in (1, (n + 1) // 2, n):
        wait_for(f"{want} replicas on {version}",
                 lambda w=want: bench.serving(version) >= w, 100)
        times.append(time.monotonic() - start)
    after = json.loads(ask(bench.origin, "GET", "/stats")[2])["bytes_out"]
    return times, (after - drawn) / COPY


def stop_in_order(bench, load):
    """Entries stop under load, then agents; all must end by themselves."""
    for name in bench.entries()[1:]:
        bench.nodes[name].signal(15)
    time.sleep(1)
    results = load.end()
    statuses = [bench.nodes[n].stop() for n in bench.entries()]
    statuses += [bench.nodes[n].stop() for n in bench.backends()]
    return results, statuses


def count_results(results, runs):
    rows = {"answered": 0, "refused (not_run)": 0, "unknown": 0, "lost": 0}
    bad = {"doubled": 0, "mixed": 0, "crossed": 0, "cut": 0,
           "refused with no time to come back": 0}
    for r in results:
        key = {"not_run": "refused (not_run)"}.get(r["outcome"], r["outcome"])
        rows[key] = rows.get(key, 0) + 1
        if r["outcome"] == "not_run" and not r.get("retry_after"):
            bad["refused with no time to come back"] += 1
        if r["outcome"] == "answered" and b"/" in r["data"]:
            fault = answer_fault(r)
            if fault:
                bad[fault] += 1
        if r["outcome"] in ("unknown", "lost", "cut_passed_as_whole"):
            bad["cut"] += 1
        if not r["repeatable"] and runs.get(r["call_id"], 0) > 1:
            bad["doubled"] += 1
    return rows, bad


def print_rollout(version, times, copies):
    print(f"{version:>8} {times[0]:9.2f} {times[1]:9.2f} {times[2]:9.2f}"
          f" {times[2] / BOUND_S:12.2f} {copies:14.2f}")


def main():
    places = ANDRADE if sys.argv[1:] == ["andrade"] else DERWENT
    versions = [["v1", CHUNKS, CHUNK_BYTES, 0], ["v2", CHUNKS, CHUNK_BYTES, 0]]
    objective = "origin_bytes" if places is ANDRADE else "time"
    start = time.monotonic()
    with Bench(places, versions=versions, link=int(2 * COPY / WINDOW_S),
               origin_rate=int(4 * COPY / WINDOW_S)) as bench:
        print(f"{len(bench.nodes)} processes are up; one copy is "
              f"{COPY / 1e6:.1f} MB, T is {WINDOW_S:.0f} s")
        first = roll_out(bench, "v1", objective)
        load = Load(bench)
        second = roll_out(bench, "v2", objective)
        run_verb("status", "-e", bench.caller_address(0))
        run_verb("burn", *sum((["-e", bench.caller_address(i)]
                               for i in range(3)), []))
        results, statuses = stop_in_order(bench, load)
        runs = bench.runs()
    rows, bad = count_results(results, runs)
    print(f"\n{'version':>8} {'1st, s':>9} {'half, s':>9} {'all, s':>9}"
          f" {'all / bound':>12} {'origin copies':>14}")
    print_rollout("v1", *first)
    print_rollout("v2", *second)
    print("\ncalls while v2 was rolled out and two entries stopped:")
    for key, n in rows.items():
        print(f"  {key:<36} {n}")
    print("faults:")
    for key, n in bad.items():
        print(f"  {key:<36} {n}")
    print(f"processes that did not stop by themselves: "
          f"{sum(1 for s in statuses if s != 0)}")
    print(f"took {time.monotonic() - start:.1f} s")
    if any(bad.values()) or any(statuses) or rows["answered"] == 0:
        raise SystemExit("the demo found faults")


if __name__ == "__main__":
    main()
