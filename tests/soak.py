"""Randomized faults on real gateways and sidecars; tests/soak_oracle.py checks
what was seen.

    soak.py [--seeds N | --seed N] [--first N] [--mutant NAME]

A seed fixes the schedule of faults and what callers send; it is printed with
each failure, and --seed plays it again. --mutant breaks what was seen before
it is checked, which must then be reported; with "all" it is checked as it is,
and then once with each mutant. Exits 1 if anything was found.
"""
import argparse
import hashlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import threading
import time

import soak_oracle
from bench import BINARY, free_ports, wait_for
from fault_link import BACK, THERE, Link, Loop
from fleet import MODEL, Fleet, policy
from soak_ends import ROUTES, Callers, SoakEngine
from soak_oracle import History
from standin_platform import CHUNKS, chunk_of

GATEWAYS, PLAIN, MODELS, CALLERS = 3, 4, 4, 10
QUIET_S = 1.5    # before the first fault
FAULTS_S = 6.0   # faults begin
SETTLE_S = 8.0   # after the faults, before the planned work
PLANNED_S = 6.5  # planned work, and the bound of a version
END_S = 2.0      # without calls
SHOWN = 5        # findings of a check
SANITIZED_RSS_MORE_KB = 48 << 10  # the sanitizer keeps what was freed


class SoakEngines:
    """An engine's place: what runs there changes its id with each start."""

    def __init__(self, fleet, name, service, model=None, version=0):
        self.fleet, self.name, self.starts = fleet, name, 0
        self.lock = threading.Lock()  # one leaves, crashes or joins at a time
        self.engine = SoakEngine(fleet.history, name, service, model, version)
        self.engine.link = Link(fleet.loop, self.engine.address)
        self.engine.address = self.engine.link.address
        fleet.engines.append(self.engine)
        self.put("ready")

    def put(self, state):
        record = self.engine.record(state) if state else None
        self.fleet.store.put("keyed.servers", self.engine.id, record)

    def join(self):
        self.starts += 1
        self.engine.id = "%s.%d" % (self.name, self.starts)
        self.engine.restart()
        self.engine.bring_up()
        self.put("ready")

    def crash(self, away_s):
        with self.lock:
            self.engine.take_down()
            time.sleep(away_s)
            self.put(None)
            self.join()

    def leave(self, away_s):
        with self.lock:
            history = self.fleet.history
            self.put("draining")
            history.leaving.append({"engine": self.engine.id,
                                    "at": history.now()})
            time.sleep(soak_oracle.DRAIN_S + 1.5)
            self.engine.take_down()
            self.put(None)
            time.sleep(away_s)
            self.join()


class SoakFleet(Fleet):
    """Every process meets the store, the origin, engines and gateways over
    links of ours."""

    def __init__(self, history):
        self.history, self.loop = history, Loop()
        self.names = {}  # a process's own address -> its link's
        self.locks = {}  # of processes: one fault at a time
        super().__init__(gateways=0, plain=0, grace_s=int(history.grace_s),
                         version_ms=int(history.version_s * 1000))
        self.store_link = Link(self.loop, self.store.address)
        self.origin_link = Link(self.loop, self.origin.address)
        self.store.address = self.store_link.address
        self.origin.address = self.origin_link.address
        self.peer_links, self.paths = [], {}
        self.config(2)
        self.places = [SoakEngines(self, "p%d" % i, "ledger")
                       for i in range(PLAIN)]
        self.places += [SoakEngines(self, "m%d" % i, "engines", MODEL, 1)
                        for i in range(MODELS)]
        own = [self.link_peer() for _ in range(GATEWAYS + MODELS)]
        self.peers = [link.address for link in self.peer_links[:GATEWAYS]]
        for i in range(GATEWAYS):
            self.start_gateway(i, settings={
                "peers": own[i], "retry_ratio": history.ratio,
                "retry_allowance": history.allowance,
                "retry_window_s": history.window_s,
                "seeds": [p for p in self.peers if p != self.peers[i]]})
        for i in range(MODELS):
            self.start_behind_link(i, own[GATEWAYS + i])
        self.wait_ready()
        wait_for("sidecars", lambda: all(
            self.log("g%d" % i).count("told engine=") >= MODELS
            for i in range(GATEWAYS)), 20)

    def link_peer(self):
        """A process's own address for peers, behind a new link."""
        own = "127.0.0.1:%d" % free_ports(1)[0]
        link = Link(self.loop, own, self.names)
        assert len(link.address) == len(own), "'names' keep lengths"
        self.names[own.encode()] = link.address.encode()
        self.peer_links.append(link)
        return own

    def start_behind_link(self, i, own):
        """A sidecar that listens for peers at 'own'."""
        engine = self.places[PLAIN + i].engine
        path = os.path.join(self.dir, "s%d.json" % i)
        with open(path, "w", encoding="utf-8") as f:
            json.dump({"role": "sidecar", "platform": "log-store",
                       "host": "s%d" % i, "availability_zone": "z1",
                       "region": "r1", "store": self.store.address,
                       "peers": own, "seeds": self.peers,
                       "metrics": "127.0.0.1:%d" % free_ports(1)[0],
                       "engine": engine.address, "service": "engines",
                       "version_ms": self.version_ms}, f)
        self.start("s%d" % i, "sidecar", path)

    def start(self, name, role, path):
        self.paths[name] = (role, path)
        self.locks.setdefault(name, threading.Lock())
        if role == "gateway":
            self.history.lives.append({"gateway": int(name[1:]),
                                       "at": self.history.now()})
        super().start(name, role, path)

    def again(self, name):
        """Returns once the process listens: before that a SIGTERM finds no
        handler, and is no planned stop."""
        role, path = self.paths[name]
        self.start(name, role, path)
        with open(path, encoding="utf-8") as f:
            host, port = json.load(f)["peers"].rsplit(":", 1)
        wait_for("%s to listen" % name, lambda: socket.create_connection(
            (host, int(port))).close() is None, 10)

    def config(self, version):
        own = {"name": "conf", "path-prefix": "/conf-%d/" % version,
               "route-type": "safe", "service": "ledger", "max-attempts": 2}
        self.store.put("keyed.op", "config",
                       policy(version, self.origin.address, ROUTES + [own]))
        self.history.configs.append({"version": version,
                                     "at": self.history.now()})

    def weights(self, version):
        digests = [hashlib.sha256(chunk_of(version, i)).hexdigest()
                   for i in range(CHUNKS)]
        self.history.digests[version] = digests
        self.store.put("keyed.op", "version/" + MODEL,
                       {"model": MODEL, "version": version})
        self.history.versions.append({"version": version,
                                      "at": self.history.now()})

    def stop(self):
        codes = super().stop()
        self.loop.close()
        return codes


class Faults:
    """One method a kind of fault; each lasts until it is over."""

    def __init__(self, fleet):
        self.fleet, self.history = fleet, fleet.history

    def links(self, target):
        f = self.fleet
        groups = {"store": [f.store_link], "origin": [f.origin_link],
                  "peers": f.peer_links,
                  "engines": [p.engine.link for p in f.places]}
        groups["all"] = sum(groups.values(), [])
        if target in groups:
            return groups[target]
        group, index = target.split("/")
        return [groups[group][int(index)]]

    def silence(self, target, seconds):
        for link in self.links(target):
            link.silence()

    def reset(self, target, seconds):
        for link in self.links(target):
            link.reset()

    def delay(self, target, seconds):
        for link in self.links(target):
            link.delay(0.02 + seconds / 8)
        time.sleep(seconds)
        self.mend(target)

    def cut(self, target, seconds, ways=(THERE, BACK)):
        for link in self.links(target):
            link.cut(ways)
        time.sleep(seconds)
        self.mend(target)

    def cut_there(self, target, seconds):
        self.cut(target, seconds, (THERE,))

    def cut_back(self, target, seconds):
        self.cut(target, seconds, (BACK,))

    def mend(self, target):
        for link in self.links(target):
            link.mend()

    def pause(self, target, seconds):
        with self.fleet.locks[target]:
            process = self.fleet.procs[target]
            process.send_signal(signal.SIGSTOP)
            time.sleep(seconds)
            process.send_signal(signal.SIGCONT)

    def kill(self, target, seconds):
        with self.fleet.locks[target]:
            process = self.fleet.procs[target]
            process.kill()
            process.wait(10)
            time.sleep(seconds)
            self.fleet.again(target)

    def stop(self, target, seconds):
        with self.fleet.locks[target]:
            process = self.fleet.procs[target]
            at = self.history.now()
            process.send_signal(signal.SIGTERM)
            try:
                code = process.wait(self.history.grace_s + 2)
            except subprocess.TimeoutExpired:
                process.kill()
                code = process.wait(10)
            stop = {"at": at, "exited": self.history.now(), "code": code}
            if target.startswith("g"):
                self.history.stops.append(dict(stop, gateway=int(target[1:])))
            elif code != 0:
                self.history.ends.append({"name": target, "code": code})
            time.sleep(seconds)
            self.fleet.again(target)

    def away(self, target, seconds):
        server = getattr(self.fleet, target)
        server.take_down()
        time.sleep(seconds)
        server.bring_up()

    def spoil(self, target, seconds):
        self.fleet.origin.spoil += 3  # pieces

    def place(self, target):
        return next(p for p in self.fleet.places if p.name == target)

    def crash(self, target, seconds):
        self.place(target).crash(seconds)

    def leave(self, target, seconds):
        self.place(target).leave(seconds)

    def service(self, target):
        """The engines of a service, or the one at a place."""
        return [p.engine for p in self.fleet.places
                if target in (p.name, p.engine.service)]

    def breaks(self, target, seconds):
        for engine in self.service(target):
            engine.breaks = True
        time.sleep(seconds)
        for engine in self.service(target):
            engine.breaks = False

    def full(self, target, seconds):
        for engine in self.service(target):
            engine.full = True
        time.sleep(seconds)
        for engine in self.service(target):
            engine.full = False

    def config(self, target, seconds):
        self.fleet.config(self.history.configs[-1]["version"] + 1)

    def weights(self, target, seconds):
        self.fleet.weights(self.history.versions[-1]["version"] + 1)


# Not in the way of what is owed.
PLANNED = ("config", "weights", "leave", "stop")


def schedule(seed):
    """[(at, kind, target, seconds)] of a seed, times from the first fault."""
    rng = random.Random(f"{seed}/schedule")
    plain = ["p%d" % i for i in range(PLAIN)]
    models = ["m%d" % i for i in range(MODELS)]
    processes = ["g%d" % i for i in range(GATEWAYS)] + \
        ["s%d" % i for i in range(MODELS)]
    links = ["store", "origin", "peers", "engines"] + \
        ["peers/%d" % i for i in range(GATEWAYS + MODELS)] + \
        ["engines/%d" % i for i in range(PLAIN + MODELS)]
    kinds = [("silence", links), ("silence", ["all", "peers", "engines"]),
             ("reset", links + ["all"]),
             ("delay", links), ("cut", links), ("cut_there", links),
             ("cut_back", links), ("pause", processes), ("kill", processes),
             ("stop", processes), ("crash", plain + models),
             ("leave", plain + models), ("breaks", plain + ["ledger"] * 2),
             ("full", plain + ["ledger", "engines"]),
             ("away", ["store", "origin"]), ("spoil", ["origin"]),
             ("config", [""])] + [("weights", [""])] * 2
    rows = []
    for _ in range(rng.randint(4, 14)):
        kind, targets = rng.choice(kinds)
        rows.append((rng.uniform(0, FAULTS_S), kind, rng.choice(targets),
                     rng.uniform(0.2, 2.0)))
        if kind == "spoil" or (kind == "weights" and rng.random() < 0.5):
            rows.append((rows[-1][0] + rng.uniform(0.1, 1.5), "weights", "",
                         0))  # what is to be spoilt; or two that overlap
    return sorted(rows)


def planned(seed):
    """Work in calm times; an engine without its sidecar gets no new weights,
    and must get no calls behind the version's bound."""
    rng = random.Random(f"{seed}/planned")
    return sorted([
        (0.0, "stop", "s%d" % rng.randrange(MODELS), PLANNED_S),
        (rng.uniform(0, 1), "weights", "", 0),
        (rng.uniform(0, 1), "config", "", 0),
        (rng.uniform(0, 1), "stop", "g%d" % rng.randrange(GATEWAYS), 0.2),
        (rng.uniform(0, 1), "leave", "p%d" % rng.randrange(PLAIN), 0.2)])


def inject(fleet, faults, rows):
    """Plays rows; returns when the last one is over."""
    history, begun = fleet.history, time.monotonic()
    failed = []

    def play(at, kind, target, seconds):
        time.sleep(max(begun + at - time.monotonic(), 0))
        trouble = {"kind": kind, "target": target, "at": history.now(),
                   "until": float("inf")}
        if kind not in PLANNED:
            history.troubles.append(trouble)
        try:
            getattr(faults, kind)(target, seconds)
        except Exception as e:  # of the soak itself, raised below
            failed.append((kind, target, e))
        trouble["until"] = history.now()

    threads = [threading.Thread(target=play, args=row) for row in rows]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert not failed, failed


def sample(fleet):
    """Memory and descriptors of all processes that run."""
    for name, process in list(fleet.procs.items()):
        try:
            with open("/proc/%d/status" % process.pid, encoding="utf-8") as f:
                rss = [line.split()[1] for line in f if "VmRSS" in line]
            fds = len(os.listdir("/proc/%d/fd" % process.pid))
        except OSError:
            continue
        if rss:
            fleet.history.samples.append(
                {"pid": process.pid, "name": name, "rss_kb": int(rss[0]),
                 "at": fleet.history.now(), "fds": fds})


def watch(fleet, ended):
    while not ended.wait(0.5):
        sample(fleet)


def play(seed):
    """(what was seen, folder of logs) of one seed."""
    history = History()
    if "san" in BINARY:
        history.rss_more_kb = SANITIZED_RSS_MORE_KB
    fleet = SoakFleet(history)
    ended = threading.Event()
    watcher = threading.Thread(target=watch, args=(fleet, ended))
    watcher.start()
    try:
        fleet.weights(1)
        callers = Callers(history, fleet.gateways, seed, CALLERS)
        time.sleep(QUIET_S)
        faults = Faults(fleet)
        inject(fleet, faults, schedule(seed))
        history.faults_over = history.now()
        time.sleep(SETTLE_S)
        history.planned_at = history.now()
        until = time.monotonic() + PLANNED_S
        inject(fleet, faults, planned(seed))
        time.sleep(max(until - time.monotonic(), 0))
        callers.stop()
        history.callers_end = history.now()
        time.sleep(END_S)
        sample(fleet)
    finally:
        ended.set()
        watcher.join()
        for name, process in fleet.procs.items():
            if process.poll() is not None:
                history.ends.append({"name": name, "code": process.poll()})
        codes = fleet.stop()
        told = [e["name"] for e in history.ends]
        history.ends += [{"name": n, "code": c} for n, c in codes.items()
                         if c != 0 and n not in told]
    for place in fleet.places:
        history.orders += [
            {"engine": place.name, "version": version,
             "digests": [hashlib.sha256(stage[i]).hexdigest()
                         if i in stage else None for i in range(CHUNKS)]}
            for version, stage in place.engine.taken]
    with open(os.path.join(fleet.dir, "history.json"), "w",
              encoding="utf-8") as f:
        json.dump(vars(history), f, indent=1, default=str)
    return history, fleet.dir


def report(seed, history, folder, found):
    """Lines for a person: what was played and what was found."""
    lines = ["seed %s: %d calls, %d served, %d refused, %d arrivals, "
             "%d orders, %d faults: %s" % (
                 seed, len(history.calls),
                 sum(c["status"] == 200 for c in history.calls),
                 sum(c["status"] == 503 for c in history.calls),
                 len(history.arrivals), len(history.orders),
                 len(schedule(seed)),
                 "%d findings (%s)" % (len(found), ", ".join(sorted(
                     {name for name, _ in found}))) if found else "ok")]
    if found:
        shown = {}
        for name, text in found:
            shown.setdefault(name, []).append(text)
        lines += ["  %s: %s" % (name, text) for name, texts in shown.items()
                  for text in texts[:SHOWN]]
        lines += ["  trouble %.3f-%.3f %s %s" % (
            t["at"], t["until"], t["kind"], t["target"])
            for t in history.troubles]
        lines.append("  faults over %.3f, planned work %.3f, callers end "
                     "%.3f; logs and history.json: %s; again: tests/soak.py "
                     "--seed %s" % (history.faults_over, history.planned_at,
                                    history.callers_end, folder, seed))
    return "\n".join(lines)


def main():
    p = argparse.ArgumentParser()
    p.add_argument("--seeds", type=int, default=50, help="so many")
    p.add_argument("--first", type=int, default=1, help="from this one on")
    p.add_argument("--seed", type=int, help="only this one")
    p.add_argument("--mutant", choices=["all"] + sorted(soak_oracle.MUTANTS))
    args = p.parse_args()
    seeds = [args.seed] if args.seed is not None else \
        range(args.first, args.first + args.seeds)
    bad = []
    for seed in seeds:
        try:
            history, folder = play(seed)
        except BaseException:
            print("seed %s: the soak itself ended" % seed, flush=True)
            raise
        if args.mutant and args.mutant != "all":
            history = soak_oracle.mutated(history, args.mutant)
        found = soak_oracle.check(history)
        if args.mutant == "all":
            found += soak_oracle.unnoticed(history)
        print(report(seed, history, folder, found), flush=True)
        if found:
            bad.append(seed)
        else:
            shutil.rmtree(folder)
    print("%d of %d seeds without findings; with: %s" % (
        len(seeds) - len(bad), len(seeds), bad))
    raise SystemExit(1 if bad else 0)


if __name__ == "__main__":
    main()
