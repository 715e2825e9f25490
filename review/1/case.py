"""A stream stalls, and resumes while its retry still waits for a slot.

Real gateways and sidecars, in front of stand-ins for the platform. See
claim.txt for the rule. Writes record.txt and exits with 1 if the rule was
broken, 0 if it held, 2 if the case could not run.
"""
import json
import os
import shutil
import signal
import socket
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.abspath(os.path.join(HERE, "..", ".."))
sys.path.insert(0, os.path.join(ROOT, "tests"))

from bench import wait_for  # noqa: E402
from fleet import HOST, KEY, MODEL, Fleet, policy  # noqa: E402
from standin_platform import (Engine, answer, send_chunk,  # noqa: E402
                              start_stream, stream_from)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LAST = 29            # id of the last event of every stream
EVENT_S = 0.02       # between two events
PAUSE_AT = 4         # a stalled stream pauses after this event
RESUME_S = 0.03      # from the refusal of the second engine to the resumption
FREEZE_S = 3.5       # of the machine of the limited engine
LIMIT_PER_S = 5.0    # named by one engine
TRIALS = 15
LEARN_S = 11.0       # one window of the retry budget
RUN_S = 85.0         # bound of all trials together
STREAMS = 2          # callers of usual streams at each gateway meanwhile
KEPT = 6             # callers with kept connections at each gateway
WORK_S = 0.15        # of a docket request
LOST_MOST = 3        # by the rule

ROUTES = [{"name": "summary", "path-prefix": "/summary/",
           "route-type": "streaming", "service": "engines",
           "max-attempts": 2, "stream-resume": True,
           "target-gap-ms": 300},
          {"name": "docket", "path-prefix": "/docket/",
           "route-type": "unsafe", "service": "ledger",
           "max-attempts": 1}]


class Record:
    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock, self.start = threading.Lock(), time.monotonic()

    def __call__(self, text, *args):
        with self.lock:
            self.file.write("%8.3f %s\n" % (time.monotonic() - self.start,
                                            text % args if args else text))
            self.file.flush()


def event(ident, i):
    return b"id: %d\ndata: %s token-%d\n\n" % (i, ident.encode(), i)


class StreamEngine(Engine):
    """Streams LAST + 1 events that name the attempt they belong to."""

    def __init__(self, case, ident):
        self.case = case
        super().__init__(ident, "engines", MODEL, 1)
        self.born = int(time.time() * 1000)
        self.slots = 16

    def work(self, conn, request):
        ident = request.headers["x-attempt-id"]
        first = stream_from(request)
        role = self.case.role(self, ident)
        limit = ([("Server-Limit", "%g" % LIMIT_PER_S)]
                 if self is self.case.limited else [])
        self.case.record("engine=%s id=%s from=%d role=%s", self.id, ident,
                         first, role)
        if role == "full":
            self.case.before_refusal(ident)
            answer(conn, 503, b"", self.head(request, limit) +
                   [("X-Not-Executed", "1")])
            self.case.refused[ident].set()
            return True
        start_stream(self, conn, request, limit)
        for i in range(first, LAST + 1):
            send_chunk(conn, event(ident, i))
            if role == "stall" and i == PAUSE_AT:
                if self.case.refused[ident].wait(3):
                    time.sleep(RESUME_S)
                self.case.record("engine=%s id=%s resumes", self.id, ident)
            time.sleep(EVENT_S)
        conn.sendall(b"0\r\n\r\n")
        return True

    def serve(self, conn):
        try:
            super().serve(conn)
        except Exception as e:  # a broken connection is the caller's choice
            self.case.record("engine=%s connection ended %r", self.id, e)


class LedgerEngine(Engine):
    """A plain service; notes which attempts reached it."""

    def __init__(self, case, ident):
        self.case = case
        super().__init__(ident, "ledger")
        self.born = int(time.time() * 1000)
        self.slots = 6

    def work(self, conn, request):
        ident = request.headers["x-attempt-id"]
        self.case.reached.add(ident)
        self.case.record("engine=%s runs id=%s", self.id, ident)
        time.sleep(WORK_S)
        return super().work(conn, request)


class Case(Fleet):
    def __init__(self, record):
        self.record = record
        self.reached = set()  # ids that arrived at sound ledger engines
        self.roles, self.refused, self.role_lock = {}, {}, threading.Lock()
        self.limited = None
        super().__init__(gateways=0, plain=0, version_ms=8000, grace_s=8)
        config = policy(2, self.origin.address, ROUTES, timeout_ms=6000)
        config["services"][1]["engine"]["slots"] = 16
        self.store.put("keyed.op", "config", config)
        for i in range(3):
            e = StreamEngine(self, "e%d" % i)
            self.store.put("keyed.servers", e.id, e.record())
            self.engines.append(e)
        self.limited = self.engines[2]
        self.add_gateways(2)
        for i, e in enumerate(self.engines):
            self.start_sidecar(i, e)
        for i in range(3):
            e = LedgerEngine(self, "l%d" % i)
            self.store.put("keyed.servers", e.id, e.record())
            self.engines.append(e)
        self.wait_ready()
        for i in range(2):
            wait_for("sidecars at g%d" % i, lambda i=i: all(
                "told engine=e%d version=1" % k in self.log("g%d" % i)
                for k in range(3)), 20)

    def heartbeats(self, ended):
        while not ended.wait(1.2):
            for e in self.engines:
                e.settle()
                self.store.put("keyed.servers", e.id, e.record())

    def role(self, engine, ident):
        """The first engine of a trial stalls, the second one is full."""
        with self.role_lock:
            if ident not in self.refused or engine is self.limited:
                return "usual"
            n = self.roles[ident] = self.roles.get(ident, 0) + 1
            return {1: "stall", 2: "full"}.get(n, "usual")

    def before_refusal(self, ident):
        """The machine of the limited engine freezes for a while."""
        process = self.procs["s2"]
        process.send_signal(signal.SIGSTOP)
        self.record("freeze of s2 begins id=%s", ident)

        def thaw():
            time.sleep(FREEZE_S)
            process.send_signal(signal.SIGCONT)
            self.record("freeze of s2 ends id=%s", ident)
        threading.Thread(target=thaw, daemon=True).start()


def read_stream(case, ident, gateway):
    """Returns (status, whole, bytes of the body that arrived)."""
    host, port = case.gateways[gateway]["callers"].split(":")
    s = socket.socket()
    s.settimeout(8)
    try:
        s.connect((host, int(port)))
        s.sendall((f"POST /summary/x HTTP/1.1\r\nHost: {HOST}\r\n"
                   f"Api-Key: {KEY}\r\nX-Attempt-Id: {ident}\r\n"
                   "X-Deadline-Ms: 6000\r\nContent-Length: 5\r\n\r\nhello"
                   ).encode())
        data = b""
        while b"\r\n\r\n" not in data:
            got = s.recv(65536)
            if not got:
                return 0, False, b""
            data += got
        head, data = data.split(b"\r\n\r\n", 1)
        status = int(head.split(b" ", 2)[1])
        if b"chunked" not in head.lower():
            return status, True, b""
        body = b""
        while True:
            while b"\r\n" not in data:
                got = s.recv(65536)
                if not got:
                    return status, False, body
                data += got
            size, data = data.split(b"\r\n", 1)
            size = int(size, 16)
            while len(data) < size + 2:
                got = s.recv(65536)
                if not got:
                    return status, False, body + data[:size]
                data += got
            if size == 0:
                return status, True, body
            body, data = body + data[:size], data[size + 2:]
    except OSError:
        return 0, False, b""
    finally:
        s.close()


def docket_request(ident):
    return (f"POST /docket/x HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Api-Key: {KEY}\r\nX-Attempt-Id: {ident}\r\n"
            "X-Deadline-Ms: 1500\r\nContent-Length: 5\r\n\r\nhello"
            ).encode()


def read_answer(s):
    """Status of one answer, and whether the connection stays; (0, False)
    if the connection ended before any byte of an answer; (-1, False) if it
    ended inside one."""
    data = b""
    try:
        while b"\r\n\r\n" not in data:
            got = s.recv(65536)
            if not got:
                return (-1 if data else 0), False
            data += got
        head, data = data.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").lower().split("\r\n")
        length = next((int(line.split(":")[1]) for line in lines
                       if line.startswith("content-length:")), 0)
        while len(data) < length:
            got = s.recv(65536)
            if not got:
                return -1, False
            data += got
    except socket.timeout:
        return -2, False
    except OSError:
        return (-1 if data else 0), False
    return int(lines[0].split()[1]), "connection: close" not in lines


def judge(ident, status, whole, body):
    """What breaks the rule in one answer, as text; None: nothing."""
    if status != 200:
        return None
    right = b"".join(event(ident, i) for i in range(LAST + 1))
    if not right.startswith(body):
        at = next(i for i, (x, y) in enumerate(zip(right + b"\0" * len(body),
                                                   body)) if x != y)
        return "wrong bytes at %d: %r" % (at, body[max(at - 40, 0):at + 80])
    if whole and body != right:
        return "ends as complete after %d of %d bytes" % (len(body),
                                                           len(right))
    return None


class Results:
    def __init__(self, record):
        self.record, self.broken, self.lock = record, [], threading.Lock()
        self.count = {"whole": 0, "cut": 0, "other": 0}
        self.kept, self.lost = {}, []

    def add(self, case, ident, gateway):
        status, whole, body = read_stream(case, ident, gateway)
        wrong = judge(ident, status, whole, body)
        with self.lock:
            kind = ("other" if status != 200 else "whole" if whole else "cut")
            self.count[kind] += 1
            if wrong:
                self.broken.append("%s: %s" % (ident, wrong))
        self.record("client id=%s gateway=g%d status=%d whole=%d bytes=%d%s",
                    ident, gateway, status, whole, len(body),
                    " WRONG " + wrong if wrong else "")


    def keep(self, case, name, gateway, ended):
        """A caller that sends one request after another on a connection."""
        host, port = case.gateways[gateway]["callers"].split(":")
        s, n, used = None, 0, 0
        while not ended.is_set():
            n += 1
            ident = "%s-%d" % (name, n)
            try:
                if s is None:
                    s, used = socket.create_connection((host, int(port)),
                                                       timeout=3), 0
                s.sendall(docket_request(ident))
            except OSError:
                s = None
                time.sleep(0.2)
                continue
            status, stays = read_answer(s)
            used += 1
            with self.lock:
                self.kept[status] = self.kept.get(status, 0) + 1
                if status == 0 and used > 1 and ident in case.reached:
                    self.lost.append("%s at g%d" % (ident, gateway))
            self.record("client id=%s gateway=g%d kept=%d reached=%d "
                        "status=%d", ident, gateway, used > 1,
                        ident in case.reached, status)
            if not stays:
                s.close()
                s = None
        if s:
            s.close()


def dead(case):
    return {n: p.returncode for n, p in case.procs.items()
            if p.poll() is not None}


def play(case, record, results):
    ended = threading.Event()
    threading.Thread(target=case.heartbeats, args=(ended,),
                     daemon=True).start()

    def streams(gateway, k):
        n = 0
        while not ended.is_set():
            n += 1
            results.add(case, "b%d%d-%d" % (gateway, k, n), gateway)
            time.sleep(0.05)
    threads = [threading.Thread(target=streams, args=(g, k), daemon=True)
               for g in range(2) for k in range(STREAMS)]
    threads += [threading.Thread(target=results.keep, daemon=True, args=(
        case, "k%d%d" % (g, k), g, ended))
                for g in range(2) for k in range(KEPT)]
    for t in threads:
        t.start()
    time.sleep(LEARN_S)
    until = time.monotonic() + RUN_S
    for n in range(TRIALS):
        if dead(case) or time.monotonic() > until - 10:
            break
        ident = "t%d" % n
        if TROUBLE:
            case.refused[ident] = threading.Event()
        results.add(case, ident, n % 2)
        time.sleep(FREEZE_S if case.roles.get(ident, 0) > 1 else 0.3)
    time.sleep(1)
    ended.set()
    for t in threads:
        t.join(10)


def main():
    binary = os.environ.get("QUAYRING")
    if not binary or not os.access(binary, os.X_OK):
        print("no program to run")
        return 2
    record = Record(os.path.join(HERE, "record.txt"))
    results, case = Results(record), Case.__new__(Case)
    record("trouble=%d", TROUBLE)
    try:
        case.__init__(record)
        play(case, record, results)
        lost = dead(case)
    except Exception as e:
        record("could not run: %r", e)
        print("could not run: %r" % e)
        return 2
    finally:
        made = vars(case)
        for p in made.get("procs", {}).values():
            if p.poll() is None:
                p.send_signal(signal.SIGCONT)
                p.kill()
                p.wait(10)
        for server in ([made[k] for k in ("store", "origin") if k in made] +
                       made.get("engines", [])):
            server.close()
        if "dir" in made:
            shutil.rmtree(made["dir"], ignore_errors=True)
    record("streams %s", json.dumps(results.count))
    record("dockets by status %s (0: none, connection ended)",
           json.dumps(results.kept))
    record("passed on and closed without an answer: %d of at most %d: %s",
           len(results.lost), LOST_MOST, " ".join(results.lost))
    for name, code in lost.items():
        record("process %s ended by itself, status %s", name, code)
    for text in results.broken:
        record("broken %s", text)
    verdict = 1 if results.broken or len(results.lost) > LOST_MOST else 0
    record("verdict %d", verdict)
    print("LOST %d, wrong answers %d, processes ended %s, streams %s, "
          "dockets %s" % (len(results.lost), len(results.broken), lost,
                          results.count, results.kept))
    return verdict


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # ends processes
    code = main()
    sys.stdout.flush()
    os._exit(code)  # threads of the stand-ins may still wait
