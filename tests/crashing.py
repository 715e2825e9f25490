"""A request, or a part of prompts, that crashes every engine that runs it, on real
gateways in front of engines that restart after a crash.

    crashing.py [--gateways N] [--engines N] [--seconds S] [--seed N]
                [--course NAME] [--path PATH] [--returns same|new] [--without]
                [--every S] [--requests N] [--part [--where N] [--more N]] [--unframed]
                [--earlier PROGRAM]

The request is sent every 0.15 s (--every) through a random gateway, each time under
a new id; with --requests N, N such requests take turns. Meanwhile twelve callers send
harmless requests, and six of them all send the same one. Prints how many engines
ended under the request, how often the request began later than SPREAD_S (3 s) after
the third end, and what became of the other calls. With --part, no two of the
requests are alike: they share a part of their prompts, at index --where or anywhere
among --more others, which counts from the fifth end; the harmless requests have the same first part, team
and route. With --unframed, answers have neither a length nor chunks. With
--earlier, the last gateway runs an earlier build, and the request is sent to the
others. --without runs the same course
without the request, for comparison. --returns says whether an engine restarts under
the same id or a new one. Courses:

    calm      nothing else happens
    kills     gateways are killed and restarted, one after the other
    kill_all  all gateways are killed and restarted at once, 1 s after the third end
    freezes   gateways freeze for 1 s, one after the other
    cuts      links between gateways are cut for 2 s, one gateway at a time
    alone     no such request; engines crash spontaneously, one at a time
    herd      no such request; all engines crash at once, again and again
"""
import argparse
import random
import sys
import threading
import time

import prompt_parts
from linked_fleet import LinkedFleet, SteadyCallers
from rig import Watch, readable
from standin_platform import (Engine, answer, events, send_chunk,
                              start_stream, start_unframed, stream_from)

CRASHES = b"this one crashes you"
SAME = b"asked by many"
EVERY_S = 0.15      # between two tries of the request
CRASH_S = 0.05      # from the start of the request to the crash
RESTART_S = 1.2     # from a crash until the engine is back
WORK_S = 0.04       # duration of any other request
SPREAD_S = 3.0      # for messages to reach all gateways
BEGIN_S = 1.0       # of the run, before the first try of the request
CALLERS = 12
EVENTS = 6          # in a stream
PART_RUNS = 5       # engines that end before a part is to be held
COURSES = ("calm", "kills", "kill_all", "freezes", "cuts", "alone", "herd")


class CrashingEngine(Engine):
    """An engine with few slots, which refuses requests beyond them."""

    def __init__(self, fleet, ident, returns="same"):
        self.fleet, self.returns, self.starts = fleet, returns, 0
        self.running, self.up = 0, True
        self.began = []  # when a crashing request began here, and what crashes
        self.ends = []   # when this engine crashed
        super().__init__(ident, "ledger")
        self.born = int(time.time() * 1000)

    def work(self, conn, request):
        run = self.starts
        with self.lock:
            full = self.running >= self.slots
            self.running += not full
        if full or request.headers.get("x-expect-instance") != self.id:
            if not full:
                self.running -= 1
            answer(conn, 503 if full else 421, b"",
                   self.head(request) + [("X-Not-Executed", "1")])
            return True
        try:
            cause = self.find_cause(request)
            if cause:
                self.began.append((time.monotonic(), cause))
                return self.run_crashing(conn, request)
            return self.run_harmless(conn, request)
        finally:
            with self.lock:
                if run == self.starts:
                    self.running -= 1

    def find_cause(self, request):
        """What in the request crashes engines: its body, a part's id, or None."""
        if request.body.startswith(CRASHES):
            return request.body
        for part in prompt_parts.shared_ids(request):
            if part in self.fleet.crashing_parts:
                return part
        return None

    def start_answer(self, conn, request):
        if self.fleet.unframed:
            start_unframed(self, conn, request)
        else:
            start_stream(self, conn, request)

    def send_part(self, conn, data):
        if self.fleet.unframed:
            conn.sendall(data)
        else:
            send_chunk(conn, data)

    def run_crashing(self, conn, request):
        if request.path.startswith("/stream/"):
            self.start_answer(conn, request)
            first = stream_from(request)
            self.send_part(conn, events(first, first + 1))
        elif self.fleet.unframed:
            self.start_answer(conn, request)
            conn.sendall(b"cut")
        if readable(conn, CRASH_S):  # the caller closed the connection: no crash
            return False
        self.crash()
        return False

    def run_harmless(self, conn, request):
        if not request.path.startswith("/stream/"):
            time.sleep(WORK_S)
            if self.fleet.unframed:
                self.start_answer(conn, request)
                conn.sendall(b"done " + request.body)
                return False
            answer(conn, 200, b"done " + request.body, self.head(request))
            return True
        self.start_answer(conn, request)
        for i in range(stream_from(request), EVENTS):
            time.sleep(WORK_S / EVENTS)
            self.send_part(conn, events(i, i))
        if self.fleet.unframed:
            return False
        conn.sendall(b"0\r\n\r\n")
        return True

    def crash(self):
        with self.lock:
            if not self.up:
                return
            self.up = False
            self.starts += 1
            self.running = 0
        self.ends.append(time.monotonic())
        self.close()
        threading.Thread(target=self.restart_after_crash, daemon=True).start()

    def restart_after_crash(self):
        time.sleep(RESTART_S)
        if self.fleet.stopping:
            return
        old = self.id
        if self.returns == "new":
            self.id = "%s.%d" % (old.split(".")[0], self.starts)
            self.fleet.store.put("keyed.servers", old, None)
        self.born = int(time.time() * 1000)
        self.listen_again()
        self.up = True
        self.fleet.store.put("keyed.servers", self.id, self.record())


class CrashingFleet(LinkedFleet):
    def __init__(self, gateways, engines, returns="same", links=False,
                 crashing_parts=(), unframed=False, earlier=None):
        self.stopping = False
        self.crashing_parts, self.unframed = crashing_parts, unframed
        super().__init__()
        if earlier:
            self.binaries["g%d" % (gateways - 1)] = earlier
        for i in range(engines):
            e = CrashingEngine(self, "p%d" % i, returns)
            self.store.put("keyed.servers", e.id, e.record())
            self.engines.append(e)
            self.plain.append(e)
        self.start_gateways(gateways, links)

    def ends(self):
        return sorted(t for e in self.plain for t in e.ends)

    def began(self):
        """(when, cause) of each beginning of a crashing request."""
        return sorted(t for e in self.plain for t in e.began)

    def stop(self):
        self.stopping = True
        return super().stop()


class HarmlessCallers(SteadyCallers):
    """Callers with harmless requests. Half of them all send the same one; with
    'parts' they send prompts that share one part more."""

    def __init__(self, fleet, seed, path, parts=False):
        self.parts = parts
        super().__init__(fleet, seed, path, CALLERS)

    def call(self, number, n, dice):
        """(is the shared request, was served, start time, status)"""
        ident = "c%d-%d" % (number, n)
        same = number % 2 == 0
        body = b"body of " + ident.encode()
        headers = {}
        if self.parts:
            headers = prompt_parts.sound(dice, same)
        elif same:
            body = SAME
        gateway = dice.randrange(len(self.fleet.gateways))
        started = time.monotonic()
        status, _, got = self.send(ident, gateway, body, headers)
        good = status == 200 and (got == b"done " + body or
                                  got == events(0, EVENTS - 1))
        return same, good, started, status

    def served(self, same, first=0.0):
        mine = [good for s, good, at, _ in self.done
                if s == same and at >= first]
        return sum(mine) / len(mine) if mine else 0.0


class CrashingCaller:
    """Sends the crashing request again and again, whatever the answers; with
    crashing parts, always another request with one of them."""

    def __init__(self, fleet, seed, path, every_s=EVERY_S, requests=1,
                 where=None, more=0):
        self.fleet, self.path, self.ended = fleet, path, False
        self.every_s, self.where, self.more = every_s, where, more
        self.gateways = len(fleet.gateways) - len(fleet.binaries)
        self.bodies = [CRASHES + b" %d" % i for i in range(requests)]
        self.dice, self.statuses, self.retry_after = random.Random(seed), [], []
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        n = 0
        while not self.ended:
            n += 1
            threading.Thread(target=self.send, daemon=True,
                             args=("again-%d" % n, *self.request(n))).start()
            time.sleep(self.every_s)

    def request(self, n):
        """(body, headers) of the n-th request."""
        parts = self.fleet.crashing_parts
        if not parts:
            return self.bodies[n % len(self.bodies)], {}
        return b"body %d" % n, prompt_parts.crashing(
            self.dice, parts[n % len(parts)], self.where, self.more)

    def send(self, ident, body, sent_headers):
        gateway = self.dice.randrange(self.gateways)
        try:
            status, headers, _ = self.fleet.call(self.path, ident, gateway,
                                                 body=body,
                                                 headers=sent_headers)
        except Exception:  # pylint: disable=broad-except
            status, headers = 0, {}
        self.statuses.append(status)
        if "Retry-After" in headers:
            self.retry_after.append(float(headers["Retry-After"]))

    def stop(self):
        self.ended = True
        self.thread.join(5)


class Course:
    """Other faults, from the first try of the request on."""

    def __init__(self, fleet, name, seed, ends_awaited):
        self.fleet, self.stopping = fleet, False
        self.ends_awaited = ends_awaited
        self.dice = random.Random("%s/course" % seed)
        self.thread = threading.Thread(target=getattr(self, name), daemon=True)
        self.thread.start()

    def stop(self):
        self.stopping = True
        self.thread.join(15)

    def calm(self):
        pass

    def wait_third_end(self):
        while len(self.fleet.ends()) < self.ends_awaited and not self.stopping:
            time.sleep(0.01)

    def repeat_on_gateways(self, do, gap_s):
        """Calls do(i) for one gateway i after the other, again and again."""
        self.wait_third_end()
        while not self.stopping:
            for i in range(len(self.fleet.gateways)):
                if self.stopping:
                    return
                do(i)
                time.sleep(gap_s)

    def kills(self):
        self.repeat_on_gateways(self.fleet.again, 1.0)

    def kill_all(self):
        self.wait_third_end()
        time.sleep(1.0)
        self.fleet.all_again()

    def freezes(self):
        self.repeat_on_gateways(self.fleet.freeze, 0.3)

    def cuts(self):
        self.repeat_on_gateways(self.fleet.cut, 0.3)

    def alone(self):
        while not self.stopping:
            time.sleep(self.dice.uniform(0.4, 0.8))
            self.dice.choice(self.fleet.plain).crash()

    def herd(self):
        while not self.stopping:
            time.sleep(4.0)
            for e in self.fleet.plain:
                e.crash()


class Run:
    def __init__(self, gateways=3, engines=8, seconds=18.0, seed=1,
                 course="calm", path="/safe/x", returns="same",
                 without=False, every=EVERY_S, requests=1, part=False,
                 where=None, more=0, unframed=False, earlier=None):
        crashing = course not in ("alone", "herd") and not without
        parts = prompt_parts.crashing_ids(requests) if part else []
        self.causes = parts or [CRASHES + b" %d" % i for i in range(requests)]
        self.allowed_ends = PART_RUNS if part else 3
        with CrashingFleet(gateways, engines, returns, course == "cuts",
                           parts, unframed, earlier) as fleet, Watch() as watch:
            others = HarmlessCallers(fleet, seed, path, part)
            time.sleep(BEGIN_S)
            caller = CrashingCaller(fleet, seed, path, every, requests,
                                    where, more) if crashing else None
            self.began_at = time.monotonic()
            faults = Course(fleet, course, seed, 3 if crashing else 0)
            time.sleep(seconds)
            faults.stop()
            if caller:
                caller.stop()
            others.stop()
            self.ends, self.began = fleet.ends(), fleet.began()
            self.statuses = caller.statuses if caller else []
            self.retry_after = caller.retry_after if caller else []
            self.unique, self.same = others.served(False), others.served(True)
            self.calls = len(others.done)
            self.bad = {}
            for _, good, _, status in others.done:
                if not good:
                    self.bad[status] = self.bad.get(status, 0) + 1
            third = self.ends[2] + SPREAD_S if len(self.ends) > 2 else None
            self.late_runs = self.late()
            self.settled = others.served(False, third) if third else 1.0
            self.held = sum(" held request=" in fleet.log(n) or
                            " held part=" in fleet.log(n)
                            for n in fleet.procs)
            self.dir = fleet.dir
        self.late_s, self.failures = watch.late_s, watch.failures
        assert not self.failures, self.failures

    def late(self):
        """Late beginnings of requests, for the cause with the most of them."""
        late = []
        for cause in self.causes:
            mine = [t for t, crashing in self.began if crashing == cause]
            if len(mine) >= self.allowed_ends:
                # the engine ends CRASH_S after the request begins there
                last = mine[self.allowed_ends - 1] + CRASH_S + SPREAD_S
                late.append([t for t in mine if t > last])
        return max(late, key=len, default=[])

    def __str__(self):
        return ("ends=%d began=%d began_late=%d others=%.3f same=%.3f "
                "settled=%.3f calls=%d bad=%s held_at=%d tries=%s "
                "rig_late_s=%.2f logs=%s" % (
                    len(self.ends), len(self.began), len(self.late_runs),
                    self.unique, self.same, self.settled, self.calls, self.bad,
                    self.held, {s: self.statuses.count(s)
                                for s in set(self.statuses)},
                    self.late_s, self.dir))


def main():
    p = argparse.ArgumentParser(description=__doc__.split("\n\n")[0])
    p.add_argument("--gateways", type=int, default=3)
    p.add_argument("--engines", type=int, default=8)
    p.add_argument("--seconds", type=float, default=18.0)
    p.add_argument("--seed", type=int, default=1)
    p.add_argument("--course", choices=COURSES, default="calm")
    p.add_argument("--path", default="/safe/x")
    p.add_argument("--returns", choices=("same", "new"), default="same")
    p.add_argument("--without", action="store_true")
    p.add_argument("--every", type=float, default=EVERY_S)
    p.add_argument("--requests", type=int, default=1)
    p.add_argument("--part", action="store_true")
    p.add_argument("--where", type=int)
    p.add_argument("--more", type=int, default=0)
    p.add_argument("--unframed", action="store_true")
    p.add_argument("--earlier")
    run = Run(**vars(p.parse_args()))
    print(run)
    return 1 if len(run.late_runs) > 3 else 0


if __name__ == "__main__":
    sys.exit(main())
