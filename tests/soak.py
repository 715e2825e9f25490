"""Randomized faults on real gateways and sidecars; tests/soak_oracle.py checks
what was seen.

    soak.py [--seeds N | --seed N] [--first N] [--mutant NAME]
            [--gateways N] [--plain N] [--models N] [--callers N]
            [--course faults|notices|back|work|last|upgrade|parts|crowd]
            [--before PROGRAM]

A seed and a size fix the schedule and what callers send; both are printed with
each failure, and --seed plays it again. Courses: "faults", then planned work in
calm times; "notices", the faults, and engines that say in their answers what
they take; "back", a store that goes back to an older copy; "work", planned work
only, in series that overlap, without links of ours between the processes, so
that dozens of them fit, on engines that pause; "last", as that, and at its end
all processes are killed right after a configuration; "upgrade", all begin with
the build --before, go on to this one in turn, and back; "crowd", the faults
beside clients that do not behave. --mutant breaks
what was seen before it is checked, which must then be reported; with "all" it
is checked as it is, and then once with each mutant. Exits 1 if anything was
found.
"""
import argparse
import collections
import contextlib
import hashlib
import json
import os
import random
import re
import resource
import shutil
import signal
import socket
import subprocess
import threading
import time

import prompt_parts
import soak_oracle
from bench import BINARY, free_ports, wait_for
from crowd import Crowd, chunked, head
from fault_link import BACK, THERE, Link, Loop
from fleet import HOST, KEY, MODEL, Fleet, policy
from rig import Watch
from soak_ends import ROUTES, Callers, CrashingCaller, SoakEngine
from soak_oracle import History
from soak_schedule import LIMITS, PLANNED, PLANNED_S, RESTS, Size, \
    back, crowds, last_fault, notices, parts, planned, schedule, upgrade, work
from standin_platform import CHUNKS, chunk_of

QUIET_S = 1.5    # before the first fault
SETTLE_S = 8.0   # after the faults, before the planned work
LAPSE_S = 2.5    # of a record that an engine does not write again
AGAIN_S = 1.5    # from the last fault to the start of what it killed
END_S = 2.0      # without calls
START_S = 60     # of the fleet
GIVE_BACK_S = 5  # for the rig's threads to end after a seed
FDS_KEPT = 8     # of the rig, from one seed to the next
PART_CRASH_S = 1.2  # from an engine's end under a part to its next start
PART_QUIET_CALLS = 3  # with each part, without an end, once it is held
PART_CRASHES_MOST_S = 30
SHOWN = 5        # findings of a check
SANITIZED_RSS_MORE_KB = 48 << 10  # the sanitizer keeps what was freed
# A crowd frees more than the sanitizer keeps by default (256 MB).
CROWD_QUARANTINE_MB = 16


class SoakEngines:
    """An engine's place: what runs there changes its id with each start."""

    def __init__(self, fleet, name, service, model=None, version=0):
        self.fleet, self.name, self.starts = fleet, name, 0
        self.lock = threading.Lock()  # one leaves, crashes or joins at a time
        self.engine = SoakEngine(fleet.history, name, service, model, version)
        self.engine.link = fleet.link(self.engine.address)
        self.engine.pauses = fleet.direct
        self.engine.end = self.end
        self.engine.address = self.engine.link.address
        fleet.history.engine_links[name] = "engines/%d" % len(fleet.engines)
        fleet.engines.append(self.engine)
        self.writing = threading.Lock()
        self.put("ready")

    def put(self, state):
        with self.writing:
            self.state = state
            record = self.engine.record(state) if state else None
            self.fleet.store.put("keyed.servers", self.engine.id, record)

    def put_again(self):
        """Its own heartbeat finds that the store has lost what it wrote."""
        with self.writing:
            if self.state:
                self.fleet.store.put("keyed.servers", self.engine.id,
                                     self.engine.record(self.state))

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

    def end(self):
        """The process ends under a call, and its port refuses connections."""
        with self.lock:
            if self.engine.down:
                return
            trouble = {"kind": "part_crash", "target": self.name,
                       "at": self.fleet.history.now(), "until": float("inf")}
            self.fleet.history.troubles.append(trouble)
            self.engine.close()
        threading.Thread(target=self.start_again, daemon=True,
                         args=(trouble,)).start()

    def start_again(self, trouble):
        with self.lock:
            time.sleep(PART_CRASH_S)
            self.put(None)
            if self.fleet.stopping:
                return
            self.engine.listen_again()
            self.join()
            trouble["until"] = self.fleet.history.now()

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


    def leave_untold(self, away_s):
        """Only its answers say that it leaves."""
        with self.lock:
            self.engine.leaves = True
            time.sleep(soak_oracle.DRAIN_S + 1.5)
            self.engine.leaves = False
            self.engine.take_down()
            self.put(None)
            time.sleep(away_s)
            self.join()


class NoLink:
    """In a link's place where processes meet directly."""

    def __init__(self, address):
        self.address = address


class SoakFleet(Fleet):
    """Every process meets the store, the origin, engines and gateways over
    links of ours, unless 'direct'."""

    def __init__(self, history, size, direct=False, earlier=None):
        self.history, self.loop = history, Loop()
        self.stopping = False
        self.size, self.direct = size, direct
        self.config_lock = threading.Lock()  # versions rise
        self.written = {}  # the operator's newest
        self.names = {}  # a process's own address -> its link's
        self.locks = {}  # of processes: one fault at a time
        super().__init__(gateways=0, plain=0, grace_s=int(history.grace_s),
                         version_ms=int(history.version_s * 1000))
        self.store_link = self.link(self.store.address)
        self.origin_link = self.link(self.origin.address)
        self.store.address = self.store_link.address
        self.origin.address = self.origin_link.address
        self.peer_links, self.paths = [], {}
        self.config(2)
        self.places = [SoakEngines(self, "p%d" % i, "ledger")
                       for i in range(size.plain)]
        self.places += [SoakEngines(self, "m%d" % i, "engines", MODEL, 1)
                        for i in range(size.models)]
        self.earlier = earlier  # the build that all begin with, or None
        if earlier:
            self.binaries = collections.defaultdict(lambda: earlier)
        own = [self.link_peer() for _ in range(size.gateways + size.models)]
        self.peers = [l.address for l in self.peer_links[:size.gateways]]
        for i in range(size.gateways):
            self.start_soak_gateway(i, own[i])
        for i in range(size.models):
            self.start_behind_link(i, own[size.gateways + i])
        try:
            self.wait_met()
        except BaseException:
            for process in self.procs.values():
                process.kill()
            raise

    def link(self, address, names=None):
        if self.direct:
            return NoLink(address)
        return Link(self.loop, address, names)

    def start_soak_gateway(self, i, own):
        """The i-th, which listens for peers at 'own'."""
        h = self.history
        self.start_gateway(i, settings={
            "peers": own, "retry_ratio": h.ratio,
            "retry_allowance": h.allowance, "retry_window_s": h.window_s,
            "seeds": [p for p in self.peers if p != self.peers[i]]})

    def add_gateway(self):
        own = self.link_peer()
        self.peers.append(self.peer_links[-1].address)
        self.start_soak_gateway(len(self.peers) - 1, own)

    def wait_met(self):
        self.wait_ready()
        wait_for("sidecars", lambda: all(
            self.log("g%d" % i).count("told engine=") >= self.size.models
            for i in range(len(self.gateways))), START_S)

    def link_peer(self):
        """A process's own address for peers, behind a new link."""
        own = "127.0.0.1:%d" % free_ports(1)[0]
        link = self.link(own, self.names)
        assert len(link.address) == len(own), "'names' keep lengths"
        self.names[own.encode()] = link.address.encode()
        self.peer_links.append(link)
        return own

    def start_behind_link(self, i, own):
        """A sidecar that listens for peers at 'own'."""
        engine = self.places[self.size.plain + i].engine
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

    def config(self, version, change=""):
        """'change': what differs beside the route of its own."""
        own = [{"name": "conf", "path-prefix": "/conf-%d/" % version,
                "route-type": "safe", "service": "ledger",
                "max-attempts": 2}]
        if change == "routes":
            own += [dict(own[0], name="more-%d" % i,
                         **{"path-prefix": "/more-%d/" % i})
                    for i in range(version % 7 * 100)]
        value = policy(version, self.origin.address, ROUTES + own)
        if change == "idle":
            value["limits"]["idle-timeout-ms"] = 1000 + version % 5 * 1000
        if change == "body":
            value["limits"]["max-body-bytes"] = 10000 + version % 5 * 4000
        self.written["config"] = value
        self.store.put("keyed.op", "config", value)
        self.history.configs.append({"version": version,
                                     "at": self.history.now()})

    def weights(self, version):
        digests = [hashlib.sha256(chunk_of(version, i)).hexdigest()
                   for i in range(CHUNKS)]
        self.history.digests[version] = digests
        self.written["version/" + MODEL] = {"model": MODEL,
                                            "version": version}
        self.store.put("keyed.op", "version/" + MODEL,
                       self.written["version/" + MODEL])
        self.history.versions.append({"version": version,
                                      "at": self.history.now()})

    def stop(self):
        self.stopping = True
        codes = super().stop()
        self.loop.close()
        return codes

    def logged_ids(self):
        """Ids of calls of which a gateway's log tells what became."""
        last = re.compile(r" call: (?:answered|refused|failed|cut|gone) "
                          r"id=(\S+)")
        return {ident for name in self.procs if name.startswith("g")
                for ident in last.findall(self.log(name))}


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

    def upgrade(self, target, seconds):
        self.fleet.binaries[target] = BINARY
        self.stop(target, seconds)

    def downgrade(self, target, seconds):
        self.fleet.binaries[target] = self.fleet.earlier
        self.stop(target, seconds)

    def away(self, target, seconds):
        server = getattr(self.fleet, target)
        server.take_down()
        time.sleep(seconds)
        server.bring_up()

    def go_back(self, target, seconds):
        """The store comes back from a copy without the last records; what was
        written by the operator and by engines is written again."""
        store, rng = self.fleet.store, random.Random(target + str(seconds))
        store.take_down()
        time.sleep(seconds)
        store.go_back({"keyed.op": int(target), "keyed.servers": int(target),
                       "keyed.quayring-held": int(target)})
        store.bring_up()
        time.sleep(rng.uniform(0, 1.0))
        for place in self.fleet.places:
            time.sleep(rng.uniform(0, 1.0 / len(self.fleet.places)))
            place.put_again()
        with self.fleet.config_lock:
            for key, value in self.fleet.written.items():
                store.put("keyed.op", key, value)
        time.sleep(LAPSE_S)
        alive = {place.engine.id for place in self.fleet.places}
        for key in store.newest_of("keyed.servers") - alive:
            store.put("keyed.servers", key, None)

    def spoil(self, target, seconds):
        self.fleet.origin.spoil += 3  # pieces

    def limit(self, target, seconds):
        """One limit, and then another."""
        engine = self.place(target).engine
        for part in (1, 2):
            engine.limit = LIMITS[int(seconds * 1000 * part) % len(LIMITS)]
            time.sleep(seconds / 2)
        engine.limit = None

    def rest(self, target, seconds):
        engine = self.place(target).engine
        engine.rest = RESTS[int(seconds * 1000) % len(RESTS)]
        time.sleep(seconds)
        engine.rest = None

    def leave_untold(self, target, seconds):
        self.place(target).leave_untold(seconds)

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

    def reload(self, target, seconds):
        """A process that is just stopped or started has nothing to reload."""
        with self.fleet.locks[target]:
            _, path = self.fleet.paths[target]
            with open(path, encoding="utf-8") as f:
                settings = json.load(f)
            settings["address_valid_s"] = 1 + settings.get(
                "address_valid_s", 1) % 3
            with open(path, "w", encoding="utf-8") as f:
                json.dump(settings, f)
            self.fleet.procs[target].send_signal(signal.SIGHUP)

    def add(self, target, seconds):
        self.fleet.add_gateway()

    def kill_all(self, target, seconds):
        """Returns when all are killed; each is noted before it is."""
        for name in list(self.fleet.procs):
            self.fleet.procs[name].kill()
        for name in list(self.fleet.procs):
            self.fleet.procs[name].wait(10)

    def config(self, target, seconds):
        with self.fleet.config_lock:
            self.fleet.config(self.history.configs[-1]["version"] + 1, target)

    def weights(self, target, seconds):
        with self.fleet.config_lock:
            self.fleet.weights(self.history.versions[-1]["version"] + 1)


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


def open_descriptors():
    return len(os.listdir("/proc/self/fd"))


def given_back(before):
    """Whether the rig's own descriptors are closed, soon."""
    until = time.monotonic() + GIVE_BACK_S
    while open_descriptors() > before + FDS_KEPT and \
            time.monotonic() < until:
        time.sleep(0.1)
    return open_descriptors() <= before + FDS_KEPT


def settle(fleet):
    """Time to recover from what was done, which the oracle looks at."""
    fleet.history.faults_over = fleet.history.now()
    time.sleep(SETTLE_S)
    fleet.history.planned_at = fleet.history.now()


def play_faults(fleet, faults, seed, rows=schedule):
    inject(fleet, faults, rows(seed, fleet.size))
    play_planned(fleet, faults, seed)


def play_planned(fleet, faults, seed):
    settle(fleet)
    until = time.monotonic() + PLANNED_S
    inject(fleet, faults, planned(seed, fleet.size))
    time.sleep(max(until - time.monotonic(), 0))


def play_notices(fleet, faults, seed):
    play_faults(fleet, faults, seed, notices)


def play_back(fleet, faults, seed):
    play_faults(fleet, faults, seed, back)


def play_work(fleet, faults, seed):
    inject(fleet, faults, work(seed, fleet.size))
    settle(fleet)


def play_last(fleet, faults, seed):
    """All processes die soon after a configuration, and are started anew."""
    inject(fleet, faults, work(seed, fleet.size))
    faults.config("", 0)
    time.sleep(last_fault(seed))
    inject(fleet, faults, [(0, "kill_all", "", 0)])
    time.sleep(AGAIN_S)
    for name in list(fleet.procs):
        fleet.start(name, *fleet.paths[name])
    settle(fleet)


def play_upgrade(fleet, faults, seed):
    inject(fleet, faults, upgrade(seed, fleet.size))
    settle(fleet)


def play_parts(fleet, faults, seed):
    """Engines end under calls with certain parts, all the time."""
    history = fleet.history
    count, history.unframed, rows = parts(seed, fleet.size)
    history.crashing_parts = prompt_parts.crashing_ids(count)
    caller = CrashingCaller(history, fleet.gateways,
                            random.Random(f"{seed}/crashing"))
    inject(fleet, faults, rows)
    wait_part_crashes(history, PART_QUIET_CALLS * count * caller.every_s)
    play_planned(fleet, faults, seed)
    caller.stop()


def wait_part_crashes(history, quiet_s):
    """Returns once no engine has ended under a part for 'quiet_s'. Engines that
    are away meanwhile are owed no calls; the oracle counts their ends."""
    until = time.monotonic() + PART_CRASHES_MOST_S
    while time.monotonic() < until and any(
            t["kind"] == "part_crash" and history.now() < t["at"] + quiet_s
            for t in history.troubles):
        time.sleep(0.1)


LINKED = ("faults", "notices", "crowd")  # need links of ours
CROWD_BODY = 19000  # bytes; the limit is 20,000
CROWD_CONTENTS = {
    "length": (["Content-Length: %d" % (CROWD_BODY + 1)], b"x" * CROWD_BODY),
    "chunks": (["Transfer-Encoding: chunked"], chunked(CROWD_BODY, 100)),
    "over": (["Transfer-Encoding: chunked"], chunked(4 * CROWD_BODY, 1000)),
    "head": None,
    "silence": None,
}


def crowd_content(what):
    if what == "silence":
        return lambda i: [b""]
    if what == "head":
        return lambda i: [b"POST /safe/a HTTP/1.1\r\nHost: "]
    fields, body = CROWD_CONTENTS[what]
    return lambda i: [head(HOST, KEY, "/safe/a", "crowd-%d" % i, fields), body]


def play_crowd(fleet, faults, seed):
    """Clients that do not behave stay from the faults to the planned work."""
    with contextlib.ExitStack() as stack:
        for i, listener, n, what, returns in crowds(seed, fleet.size):
            stack.enter_context(Crowd(fleet.gateways[i][listener], n,
                                      crowd_content(what), returns=returns))
        inject(fleet, faults, schedule(seed, fleet.size))
    play_planned(fleet, faults, seed)


COURSES = {"faults": play_faults, "notices": play_notices, "back": play_back,
           "work": play_work, "last": play_last, "upgrade": play_upgrade,
           "parts": play_parts, "crowd": play_crowd}


def play_course(fleet, seed, course):
    history = fleet.history
    fleet.weights(1)
    callers = Callers(history, fleet.gateways, seed, fleet.size.callers)
    time.sleep(QUIET_S)
    COURSES[course](fleet, Faults(fleet), seed)
    history.rig += callers.stop()
    history.callers_end = history.now()
    time.sleep(END_S)
    sample(fleet)


def stop_fleet(fleet):
    """Notes how each process ends."""
    history = fleet.history
    for name, process in fleet.procs.items():
        if process.poll() is not None:
            history.ends.append({"name": name, "code": process.poll()})
    codes = fleet.stop()
    told = [e["name"] for e in history.ends]
    history.ends += [{"name": n, "code": c} for n, c in codes.items()
                     if c != 0 and n not in told]
    history.logged = sorted(fleet.logged_ids())
    history.rig += fleet.loop.failures


def note_orders(fleet):
    for place in fleet.places:
        fleet.history.orders += [
            {"engine": place.name, "version": version,
             "digests": [hashlib.sha256(stage[i]).hexdigest()
                         if i in stage else None for i in range(CHUNKS)]}
            for version, stage in place.engine.taken]


def limit_quarantine():
    """Limits the freed memory that sanitized processes keep."""
    options = os.environ.get("ASAN_OPTIONS")
    os.environ["ASAN_OPTIONS"] = ":".join(filter(None, [
        options, "quarantine_size_mb=%d" % CROWD_QUARANTINE_MB]))


def play(seed, size=Size(), course="faults", earlier=None):
    """(what was seen, folder of logs) of one seed."""
    history = History()
    history.fds_more = max(history.fds_more, 2 * size.models)
    before = open_descriptors()
    if "san" in BINARY:
        history.rss_more_kb = SANITIZED_RSS_MORE_KB
    with Watch() as rig:
        fleet = SoakFleet(history, size, direct=course not in LINKED,
                          earlier=earlier)
        ended = threading.Event()
        watcher = threading.Thread(target=watch, args=(fleet, ended))
        watcher.start()
        try:
            play_course(fleet, seed, course)
        finally:
            ended.set()
            watcher.join()
            stop_fleet(fleet)
        note_orders(fleet)
    if not given_back(before):
        rig.failures.append("descriptors before %d, after %d" % (
            before, open_descriptors()))
    history.rig += rig.failures
    history.rig_late_s = rig.late_s
    with open(os.path.join(fleet.dir, "history.json"), "w",
              encoding="utf-8") as f:
        json.dump(vars(history), f, indent=1, default=str)
    return history, fleet.dir


def report(again, history, folder, found):
    """Lines for a person: what was played and what was found. 'again': the
    arguments that play it once more."""
    lines = ["soak.py %s: %d calls, %d served, %d refused, %d arrivals, "
             "%d orders, %d faults, rig late %.2f s: %s" % (
                 again, len(history.calls),
                 sum(c["status"] == 200 for c in history.calls),
                 sum(c["status"] == 503 for c in history.calls),
                 len(history.arrivals), len(history.orders),
                 len(history.troubles), history.rig_late_s,
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
                     "%s" % (history.faults_over, history.planned_at,
                             history.callers_end, folder, again))
    return "\n".join(lines)


def main():
    p = argparse.ArgumentParser()
    p.add_argument("--seeds", type=int, default=50, help="so many")
    p.add_argument("--first", type=int, default=1, help="from this one on")
    p.add_argument("--seed", type=int, help="only this one")
    for name, most in vars(Size()).items():
        p.add_argument("--" + name, type=int, default=most)
    p.add_argument("--course", choices=list(COURSES), default="faults")
    p.add_argument("--mutant", choices=["all"] + sorted(soak_oracle.MUTANTS))
    p.add_argument("--before", help="program of an earlier build")
    args = p.parse_args()
    if (args.course == "upgrade") != bool(args.before):
        p.error("--before belongs to --course upgrade")
    seeds = [args.seed] if args.seed is not None else \
        range(args.first, args.first + args.seeds)
    size = Size(args.gateways, args.plain, args.models, args.callers)
    if args.course in LINKED and size.descriptors() > \
            resource.getrlimit(resource.RLIMIT_NOFILE)[0]:
        p.error("links among so many take %d descriptors, more than this "
                "shell allows; --course work needs none" % size.descriptors())
    chosen = "".join(" --%s %d" % (name, n) for name, n in vars(size).items()
                     if n != getattr(Size(), name))
    if args.before:
        chosen += " --before " + args.before
    if args.course == "crowd":
        limit_quarantine()
    bad = []
    for seed in seeds:
        again = "--seed %d --course %s%s" % (seed, args.course, chosen)
        try:
            history, folder = play(seed, size, args.course, args.before)
        except BaseException:
            print("seed %s: the soak itself ended" % seed, flush=True)
            raise
        if args.mutant and args.mutant != "all":
            history = soak_oracle.mutated(history, args.mutant)
        found = soak_oracle.check(history)
        if args.mutant == "all":
            found += soak_oracle.unnoticed(history)
        print(report(again, history, folder, found), flush=True)
        if found:
            bad.append(seed)
        else:
            shutil.rmtree(folder)
    print("%d of %d seeds without findings; with: %s" % (
        len(seeds) - len(bad), len(seeds), bad))
    raise SystemExit(1 if bad else 0)


if __name__ == "__main__":
    main()
