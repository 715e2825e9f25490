"""Runs real gateways against engines that announce limits in response headers.

    engine_notices.py [--gateways N] [--engines N] [--seconds S] [--seed N]
                      [--says NAME] [--course NAME] [--path PATH] [--beside]
                      [--all]

A third of the engines (a single one for "leaving") start to announce something
after BEGIN_S, but do not change their records in the store. Callers send calls to
random gateways throughout. Prints the worst case of each check over all engines,
and the results of the calls.

Announcements (--says):

    limit     a rate limit of 2.2 requests a second
    zero      a limit of 0
    changes   a limit of 8, then 2.2, then 5, then none
    leaving   one engine shuts down
    rest      503 and Retry-After: 3 to all requests
    some      503 and Retry-After: 1.5 to three requests in ten
    shed      503 to all requests, without Retry-After
    shed_some 503 to four requests in ten, without Retry-After
    odd       malformed header values
    nothing   nothing, for comparison

Faults from then on (--course):

    calm      none
    late      half of the gateways start now
    kills     gateways are killed and started again, one after the other
    kill_all  all of them at once, after CONTACT_S
    freezes   gateways are suspended for 1 s, one after the other
    cuts      links between gateways are cut for 2 s, one gateway at a time

--beside: each engine has a sidecar. --all: all engines announce.
"""
import argparse
import math
import random
import statistics
import sys
import threading
import time

from bench import wait_for
from fleet import MODEL
from linked_fleet import LinkedFleet, SteadyCallers
from rig import Watch
from standin_platform import (Engine, answer, events, send_chunk,
                              start_stream, stream_from)

WORK_S = 0.04        # of processing per request
EVENTS = 6           # per stream
CALLERS = 16
BEGIN_S = 1.0        # before the first announcement
CONTACT_S = 3.0      # for a limit to reach all gateways
HEARD_S = 0.5        # for one gateway to apply an announcement
WINDOW_S = 4.0       # over which requests are counted against a limit
DRAIN_S = 2.0        # after which an engine that shuts down gets no requests
REST_MOST = 2        # requests that may reach an engine in one backoff
ODD_TURNED_AWAY = 0.2  # share of responses with a malformed Retry-After
ODD = (("Server-Limit", "-1"), ("Server-Limit", "many"), ("Server-Limit", ""),
       ("Server-Limit", "nan"), ("Server-Limit", "1e400"),
       ("Server-Limit", "1\r\nServer-Limit: 2"), ("Server-Leaving", "maybe"),
       ("Retry-After", "-3"), ("Retry-After", "1e12"), ("Retry-After", ""),
       ("Retry-After", "Wed, 21 Oct 2026 07:28:00 GMT"))


def limits(says, since_s):
    """The limit announced 'since_s' after the start of announcements, or None."""
    if says == "limit":
        return 2.2
    if says == "zero":
        return 0.0
    if says == "changes":
        return (8.0, 2.2, 5.0)[int(since_s / 6)] if since_s < 18 else None
    return None


class SpeakingEngine(Engine):
    """Rejects requests beyond its few slots, and announces what self.says names."""

    def __init__(self, ident, service, model):
        self.running, self.begun = 0, 0.0
        self.says = "nothing"
        self.arrived = []  # (when, gateway)
        self.named = []    # (when, gateway, limit or None)
        self.left = []     # (when, gateway) of announced shutdowns
        self.rests = []    # (when, gateway, seconds)
        self.dice = random.Random(ident)
        super().__init__(ident, service, model, 1 if model else 0)

    def say(self, says):
        self.begun, self.says = time.monotonic(), says

    def work(self, conn, request):
        now, gateway = time.monotonic(), request.headers[
            "x-attempt-id"].split(".")[0]
        with self.lock:
            full = self.running >= self.slots
            self.running += not full
            self.arrived.append((now, gateway))
            extra, rest = self.words(now, gateway)
        if full or rest:
            if not full:
                with self.lock:
                    self.running -= 1
            answer(conn, 503, b"", self.head(request, extra) +
                   [("X-Not-Executed", "1")] + rest)
            return True
        try:
            return self.serve_one(conn, request, extra)
        finally:
            with self.lock:
                self.running -= 1

    def words(self, now, gateway):
        """Headers of every response, and headers of a rejection."""
        since = now - self.begun
        limit = limits(self.says, since)
        self.named.append((now, gateway, limit))
        if limit is not None:
            return [("Server-Limit", "%g" % limit)], []
        if self.says == "leaving":
            self.left.append((now, gateway))
            return [("Server-Leaving", "1")], []
        if self.says == "rest" or (self.says == "some" and
                                   self.dice.random() < 0.3):
            rest = 3.0 if self.says == "rest" else 1.5
            self.rests.append((now, gateway, rest))
            return [], [("Retry-After", "%g" % rest)]
        if self.says == "shed" or (self.says == "shed_some" and
                                   self.dice.random() < 0.4):
            return [], [("X-Why", "shed")]
        if self.says == "odd":
            field = self.dice.choice(ODD)
            if field[0] != "Retry-After":
                return [field], []
            if self.dice.random() < ODD_TURNED_AWAY:
                return [], [field]
        return [], []

    def serve_one(self, conn, request, extra):
        if not request.path.startswith("/stream/"):
            time.sleep(WORK_S)
            answer(conn, 200, b"done", self.head(request, extra))
            return True
        start_stream(self, conn, request, extra)
        for i in range(stream_from(request), EVENTS):
            time.sleep(WORK_S / EVENTS)
            send_chunk(conn, events(i, i))
        conn.sendall(b"0\r\n\r\n")
        return True


class SpeakingFleet(LinkedFleet):
    def __init__(self, gateways, engines, links, beside):
        super().__init__()
        service, model = ("engines", MODEL) if beside else ("ledger", None)
        for i in range(engines):
            e = SpeakingEngine("p%d" % i, service, model)
            self.store.put("keyed.servers", e.id, e.record())
            self.engines.append(e)
        self.start_gateways(gateways, links)
        if beside:
            for i, e in enumerate(self.engines):
                self.start_sidecar(i, e, service)
            wait_for("gateways to know what engines serve", self.are_told)

    def are_told(self):
        return all(self.log("g%d" % i).count("engines: told") >=
                   len(self.engines) for i in range(len(self.gateways)))


class NoticeCallers(SteadyCallers):
    def __init__(self, fleet, seed, path):
        self.refused_s, self.back_s = [], []  # time to the 503, its Retry-After
        super().__init__(fleet, seed, path, CALLERS)

    def call(self, number, n, dice):
        """(when, gateway, was it served, status)"""
        gateway = dice.randrange(len(self.fleet.gateways))
        started = time.monotonic()
        status, headers, got = self.send(
            "g%d.c%d-%d" % (gateway, number, n), gateway)
        if status == 503:
            self.refused_s.append(time.monotonic() - started)
            self.back_s.append(float(headers.get("Retry-After", 0)))
        good = status == 200 and got in (b"done", events(0, EVENTS - 1))
        return started, "g%d" % gateway, good, status


class Course:
    """Injects faults while engines announce."""

    def __init__(self, fleet, name):
        self.fleet, self.over = fleet, False
        self.struck = {}  # gateway -> [(from, to)]
        self.thread = threading.Thread(target=getattr(self, name), daemon=True)
        self.thread.start()

    def stop(self):
        self.over = True
        self.thread.join(15)

    def strike(self, names, do, *args):
        begun = time.monotonic()
        do(*args)
        for name in names:
            self.struck.setdefault(name, []).append((begun, time.monotonic()))

    def each(self, do, gap_s):
        while not self.over:
            for i in range(len(self.fleet.gateways)):
                if self.over:
                    return
                self.strike(["g%d" % i], do, i)
                time.sleep(gap_s)

    def calm(self):
        pass

    late = calm

    def kills(self):
        self.each(self.fleet.again, 1.0)

    def freezes(self):
        self.each(self.fleet.freeze, 0.3)

    def cuts(self):
        self.each(self.fleet.cut, 0.3)

    def kill_all(self):
        time.sleep(CONTACT_S)
        self.strike(["g%d" % i for i in range(len(self.fleet.gateways))],
                    self.fleet.all_again)

    def excused(self, gateway, now):
        """Whether a fault hit the gateway a moment ago."""
        return any(begun <= now <= end + CONTACT_S
                   for begun, end in self.struck.get(gateway, []))

    def last_end(self, gateway, now):
        """End of the last fault at the gateway that began before 'now'."""
        return max((end for begun, end in self.struck.get(gateway, [])
                    if begun <= now), default=0.0)


def worst_limit(engine, course):
    """The most requests in WINDOW_S, as a fraction of what the limit allows."""
    first = min((t for t, _, limit in engine.named if limit is not None),
                default=None)
    if first is None:
        return 0.0
    worst = 0.0
    told = [(t, g) for t, g, limit in engine.named if limit is not None]
    for end, _ in engine.arrived:
        begin = end - WINDOW_S
        if begin < first + CONTACT_S:
            continue
        # limits announced in the window and a moment before
        inside = [limit for t, _, limit in engine.named
                  if begin - HEARD_S <= t <= end]
        if None in inside:
            continue
        knew = {g for t, g in told if t <= begin - HEARD_S and
                t >= course.last_end(g, end)}
        came = sum(begin < t <= end and g in knew and
                   not course.excused(g, t) for t, g in engine.arrived)
        worst = max(worst, came / (1.5 * max(inside) * WINDOW_S + 5))
    return worst


def worst_leaving(engine, course):
    """The longest time for which a gateway sent requests after the announcement."""
    worst = 0.0
    for gateway in {g for _, g in engine.left}:
        for t, g in engine.arrived:
            if g != gateway or course.excused(g, t):
                continue
            told = [at for at, name in engine.left if name == g and
                    course.last_end(g, t) <= at <= t]
            worst = max(worst, t - told[0] if told else 0.0)
    return worst


def worst_rest(engine, course):
    """The most requests from one gateway in one backoff."""
    return max((sum(g == gateway and at + HEARD_S < t < at + rest and
                    not course.excused(g, t) for t, g in engine.arrived)
                for at, gateway, rest in engine.rests), default=0)


class Run:
    def __init__(self, gateways=5, engines=9, seconds=9.0, seed=1,
                 says="limit", course="calm", path=None, beside=False, all=False):
        # pylint: disable=redefined-builtin
        path = path or ("/model/x" if beside else "/safe/x")
        first = math.ceil(gateways / 2) if course == "late" else gateways
        with SpeakingFleet(first, engines, course == "cuts",
                           beside) as fleet, Watch() as watch:
            callers = NoticeCallers(fleet, seed, path)
            time.sleep(BEGIN_S)
            speak = fleet.engines[::1 if all else 3]
            if says == "leaving" and not all:
                speak = speak[:1]
            for e in speak:
                e.say(says)
            if gateways > first:
                fleet.add_gateways(gateways - first)
            happens = Course(fleet, course)
            time.sleep(seconds)
            happens.stop()
            callers.stop()
            self.arrived = sum(len(e.arrived) for e in fleet.engines)
            self.spoken = [len([1 for t, _ in e.arrived if t > e.begun])
                           for e in speak]
            self.limit = max(worst_limit(e, happens) for e in speak)
            self.leaving_s = max(worst_leaving(e, happens) for e in speak)
            self.rest = max(worst_rest(e, happens) for e in speak)
            calls = [(good, status) for t, g, good, status in callers.done
                     if not happens.excused(g, t)]
            self.refused_s = statistics.median(callers.refused_s or [0])
            self.back_s = statistics.median(callers.back_s or [0])
            self.calls = len(calls)
            self.served = sum(good for good, _ in calls) / max(self.calls, 1)
            self.bad = {}
            for good, status in calls:
                if not good:
                    self.bad[status] = self.bad.get(status, 0) + 1
            self.logs = "".join(fleet.log(n) for n in fleet.procs)
            self.dir = fleet.dir
        self.late_s, self.failures = watch.late_s, watch.failures
        assert not self.failures, self.failures

    def kept(self):
        return (self.limit <= 1 and self.leaving_s <= DRAIN_S and
                self.rest <= REST_MOST)

    def __str__(self):
        return ("limit=%.2f leaving_s=%.1f rest=%d served=%.3f calls=%d "
                "bad=%s refused_s=%.3f back_s=%.1f arrived=%d spoken=%s "
                "rig_late_s=%.2f logs=%s" % (
                    self.limit, self.leaving_s, self.rest, self.served,
                    self.calls, self.bad, self.refused_s, self.back_s,
                    self.arrived, self.spoken,
                    self.late_s, self.dir))


def main():
    p = argparse.ArgumentParser(description=__doc__.split("\n\n")[0])
    p.add_argument("--gateways", type=int, default=5)
    p.add_argument("--engines", type=int, default=9)
    p.add_argument("--seconds", type=float, default=16.0)
    p.add_argument("--seed", type=int, default=1)
    p.add_argument("--says", default="limit", choices=(
        "limit", "zero", "changes", "leaving", "rest", "some", "shed",
        "shed_some", "odd", "nothing"))
    p.add_argument("--course", default="calm", choices=(
        "calm", "late", "kills", "kill_all", "freezes", "cuts"))
    p.add_argument("--path")
    p.add_argument("--beside", action="store_true")
    p.add_argument("--all", action="store_true")
    run = Run(**vars(p.parse_args()))
    print(run)
    return 0 if run.kept() else 1


if __name__ == "__main__":
    sys.exit(main())
