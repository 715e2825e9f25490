"""Measures the decisions on real processes, against baselines run beside
them, and the reducers alone. Prints tables and writes build/measured.csv.

    measure.py [cost|rollout|faults|force|control|calls ...]
"""
import csv
import json
import os
import statistics
import subprocess
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from bench import Bench, Caller, ask, wait_for  # noqa: E402

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")
CHUNKS, CHUNK_BYTES = 64, 192 * 1024
COPY = CHUNKS * CHUNK_BYTES
WINDOW_S = 10.0
BOUND_S = WINDOW_S / 2
ENGINE = "collection-rounds"
ROWS = []


def row(what, size, variant, value, unit):
    ROWS.append([what, size, variant, round(value, 3), unit])
    print(f"{what:<28} {size:>6} {variant:<24} {value:>10.3f} {unit}",
          flush=True)


def bench(n, **settings):
    return Bench(services=[(ENGINE, "engine", n)],
                 versions=[["v1", CHUNKS, CHUNK_BYTES, 0],
                           ["v2", CHUNKS, CHUNK_BYTES, 0]],
                 link=int(2 * COPY / WINDOW_S),
                 origin_rate=int(4 * COPY / WINDOW_S),
                 agent_settings=settings)


def drawn(b):
    return json.loads(ask(b.origin, "GET", "/stats")[2])["bytes_out"]


def roll_out(b, version, objective, n, during=None):
    """(seconds until n hosts serve it, copies drawn from the origin)."""
    before = drawn(b)
    start = time.monotonic()
    b.apply(b.declaration(version, objective))
    if during:
        during()
    wait_for("rollout", lambda: b.serving(version) >= n, 300)
    return time.monotonic() - start, (drawn(b) - before) / COPY


def measure_rollout():
    for n in (6, 12, 24, 48, 96):
        for objective in ("time", "origin_bytes"):
            with bench(n) as b:
                took, copies = roll_out(b, "v1", objective, n)
            row("rollout time / bound", n, objective, took / BOUND_S, "x")
            row("rollout origin", n, objective, copies, "copies")
        if n <= 12:
            with bench(n, origin_roots=65535) as b:
                took, copies = roll_out(b, "v1", "time", n)
            row("rollout time / bound", n, "baseline: all from origin",
                took / BOUND_S, "x")
            row("rollout origin", n, "baseline: all from origin", copies,
                "copies")


def measure_faults():
    n = 12

    def kill_two(b):
        time.sleep(2)
        for name in b.backends()[3:5]:
            b.nodes[name].kill()

    def freeze_one(b):
        time.sleep(2)
        b.nodes[b.backends()[5]].signal(19)

    for objective in ("time", "origin_bytes"):
        for name, left, fault in (
                ("2 hosts killed", n - 2, kill_two),
                ("1 host frozen", n - 1, freeze_one),
                ("1% of chunks corrupt", n, lambda b: b.control(
                    b.origin, corrupt=max(1, CHUNKS // 100)))):
            with bench(n) as b:
                took, copies = roll_out(b, "v1", objective, left,
                                        lambda f=fault, x=b: f(x))
            row("faulty time / bound", n, f"{objective}, {name}",
                took / BOUND_S, "x")
            row("faulty origin", n, f"{objective}, {name}", copies, "copies")


def measure_force():
    """From confirm to the revision being known to every process."""
    for entries, agents in ((7, 16), (14, 32), (20, 64)):
        with Bench(services=[("ledger", "plain", agents)],
                   entries=entries, slots=2) as b:
            b.apply(b.declaration())
            times = []
            for _ in range(5):
                start = time.monotonic()
                revision = b.apply(b.declaration())
                wait_for("in force", lambda r=revision, b=b: all(
                    h["revision"] >= r for e in range(len(b.entries()))
                    for i in b.status(e)["intents"]
                    for h in i["host_list"]))
                times.append(time.monotonic() - start)
        row("in force everywhere", entries + agents, "entries + agents",
            statistics.median(times) * 1000, "ms, median of 5")


def process_cost(node):
    """(CPU seconds so far, resident MiB) of a process."""
    with open(f"/proc/{node.proc.pid}/stat", encoding="ascii") as f:
        fields = f.read().rsplit(")", 1)[1].split()
    ticks = int(fields[11]) + int(fields[12])
    return (ticks / os.sysconf("SC_CLK_TCK"),
            int(fields[21]) * os.sysconf("SC_PAGE_SIZE") / 2**20)


def net_bytes(b):
    text = ask(b.caller_address(), "GET", "/metrics")[2].decode()
    return sum(int(line.split()[1]) for line in text.splitlines()
               if line.startswith("quayring_net_bytes_"))


def measure_control():
    """What an entry and an agent spend with no call and no change, at the
    default settings, every agent before every entry."""
    seconds = 10
    times = {"heartbeat_ms": 500, "lease_ms": 3000, "hosts_poll_ms": 1000,
             "tick_ms": 50}
    for entries, agents in ((7, 16), (14, 32), (14, 64)):
        with Bench(services=[("ledger", "plain", agents)], entries=entries,
                   slots=2, entry_settings=dict(times, log_poll_ms=250),
                   agent_settings=times) as b:
            b.apply(b.declaration())
            time.sleep(2)
            watched = {"entry": b.nodes["entry-0"],
                       "agent": b.nodes["ledger-0"]}
            before = {k: process_cost(n)[0] for k, n in watched.items()}
            sent = net_bytes(b)
            time.sleep(seconds)
            rate = (net_bytes(b) - sent) / seconds
            row("entry frames", entries + agents, f"{entries} x {agents}",
                rate / 1000, "KB/s both ways")
            for kind, node in watched.items():
                cpu, rss = process_cost(node)
                row(f"{kind} CPU", entries + agents, f"{entries} x {agents}",
                    (cpu - before[kind]) / seconds * 100, "% of a core")
                row(f"{kind} memory", entries + agents,
                    f"{entries} x {agents}", rss, "MiB resident")


def measure_calls():
    """Whole calls of 24 tokens, with and without a rollout beside them."""
    with bench(12) as b:
        roll_out(b, "v1", "time", 12)
        for variant in ("alone", "beside a rollout"):
            caller, end = Caller(b), threading.Event()

            def run(k, caller=caller, end=end, variant=variant):
                n = 0
                while not end.is_set():
                    caller.call(ENGINE, f"{variant[:2]}{k}-{n}", "tankers",
                                tokens=24, stream=True, entry=k % 3)
                    n += 1
            threads = [threading.Thread(target=run, args=(k,))
                       for k in range(6)]
            for t in threads:
                t.start()
            if variant == "alone":
                time.sleep(4)
            else:
                roll_out(b, "v2", "time", 12)
            end.set()
            for t in threads:
                t.join()
            took = sorted(r["took"] for r in caller.results)
            row("call of 24 tokens, p50", len(took), variant,
                took[len(took) // 2] * 1000, "ms")
            row("call of 24 tokens, p95", len(took), variant,
                took[len(took) * 95 // 100] * 1000, "ms")
            row("calls not answered", len(took), variant,
                sum(r["outcome"] != "answered" for r in caller.results),
                "calls")


def measure_cost():
    out = subprocess.run([os.path.join(ROOT, "build", "cost")],
                         capture_output=True, text=True, check=True).stdout
    for what, size, value, unit in csv.reader(out.splitlines()):
        row(what, int(size), "reducer", float(value), unit)


WHAT = {"cost": measure_cost, "rollout": measure_rollout,
        "faults": measure_faults, "force": measure_force,
        "control": measure_control,
        "calls": measure_calls}


def main():
    for name in sys.argv[1:] or WHAT:
        WHAT[name]()
    path = os.path.join(ROOT, "build", "measured.csv")
    with open(path, "w", encoding="utf-8", newline="") as f:
        csv.writer(f).writerows([["what", "size", "variant", "value",
                                  "unit"]] + ROWS)
    print("written to build/measured.csv")


if __name__ == "__main__":
    main()
