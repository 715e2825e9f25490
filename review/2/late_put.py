"""Engines read one staged piece of a version slowly, while a newer version is
named, fetched, staged and checked.

Real gateways and sidecars, in front of stand-ins for the platform. See
claim.txt for the rule. Writes record-late-put.txt and exits with 1 if the rule was
broken, 0 if it held, 2 if the case could not run.
"""
import hashlib
import json
import os
import shutil
import signal
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.abspath(os.path.join(HERE, "..", ".."))
sys.path.insert(0, os.path.join(ROOT, "tests"))

from bench import wait_for  # noqa: E402
from fleet import MODEL, Fleet, policy  # noqa: E402
from standin_platform import (Engine, Origin, Request, answer,  # noqa: E402
                              answer_json)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CHUNKS, CHUNK_BYTES, LAYERS = 48, 49152, 16  # as on the sheet
ENGINES = 3
READ_S = 0.9         # in which an engine reads one piece
READ_PARTS = 12
VERSION_MS = 8000
PAIRS = 7            # of versions, the second named soon after the first
SECOND_S = 0.3       # later, at the latest
PAIR_S = 10.0        # from one pair to the next
WARMUP_S = 0.3
HEARTBEAT_S = 1.2


class Record:
    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock, self.start = threading.Lock(), time.monotonic()

    def __call__(self, text, *args):
        with self.lock:
            self.file.write("%8.3f %s\n" % (time.monotonic() - self.start,
                                            text % args if args else text))
            self.file.flush()


def piece_of(version, index):
    seed = hashlib.sha256(b"%d/%d" % (version, index)).digest()
    return (seed * (CHUNK_BYTES // 32 + 1))[:CHUNK_BYTES]


def layers_of(index):
    """The layers whose range of pieces holds this one."""
    return [n for n in range(LAYERS)
            if n * CHUNKS // LAYERS <= index < -(-(n + 1) * CHUNKS // LAYERS)]


class WeightsOrigin(Origin):
    def handle(self, conn, request):
        version = int(request.query["version"])
        if request.path.startswith("/manifest/"):
            digests = [hashlib.sha256(piece_of(version, i)).hexdigest()
                       for i in range(CHUNKS)]
            answer_json(conn, {"model": request.path[10:], "version": version,
                               "chunk-bytes": CHUNK_BYTES, "layers": LAYERS,
                               "digests": digests})
            return
        answer(conn, 200, piece_of(version, int(request.query["sample-size"])))


class WeightsEngine(Engine):
    """Takes what is staged as it takes an order, and writes tokens with it."""

    def __init__(self, case, number):
        self.case, self.number = case, number
        self.taken_layers = {}  # of the next version: layer -> (index, holds)
        self.bad_layers = {}    # of the served one
        self.read_slowly = 1    # version of which it has read a piece slowly
        super().__init__("e%d" % number, "engines", MODEL, 1)
        self.born = int(time.time() * 1000)
        self.slots = 16
        self.stage = {k: piece_of(1, k) for k in range(CHUNKS)}

    def serve(self, conn):
        """As of the base, but the body of a chosen request is read slowly."""
        data = b""
        try:
            while True:
                while b"\r\n\r\n" not in data:
                    got = conn.recv(4096)
                    if not got:
                        return
                    data += got
                head, data = data.split(b"\r\n\r\n", 1)
                lines = head.decode("latin-1").split("\r\n")
                request = Request(lines, b"")
                length = int(request.headers.get("content-length", 0))
                slow = self.case.choose_slow(self, request, length)
                part = length // READ_PARTS + 1 if slow else 65536
                while len(data) < length:
                    got = conn.recv(min(part, length - len(data)))
                    if not got:
                        return
                    data += got
                    if slow:
                        time.sleep(READ_S / READ_PARTS)
                request.body, data = data[:length], data[length:]
                if slow:
                    self.case.record("engine=%s has read piece index=%s of "
                                     "version=%d", self.id,
                                     request.query["sample-size"],
                                     self.version_of(request.body, int(
                                         request.query["sample-size"])))
                if self.handle(conn, request) is False:
                    return
        except OSError:
            pass
        finally:
            self.open.discard(conn)
            conn.close()

    def version_of(self, data, index):
        for v in range(self.case.version, 0, -1):
            if data == piece_of(v, index):
                return v
        return 0

    def order(self, conn, order):
        with self.lock:
            fits = order.get("expected-revision") == self.sequence
            other = {i: self.version_of(self.stage.get(i), i)
                     for i in range(CHUNKS)
                     if self.stage.get(i) != piece_of(order["version"], i)}
            self.case.record("engine=%s order version=%d fits=%d other=%s",
                             self.id, order["version"], fits, other)
            if fits:
                self.taken_layers = {n: (i, v) for i, v in other.items()
                                     for n in layers_of(i)}
            super().order(conn, order)
            if fits:
                self.busy_until = time.monotonic() + WARMUP_S

    def settle(self):
        before = self.version
        super().settle()
        if self.version != before:
            self.bad_layers = dict(self.taken_layers)
            self.case.record("engine=%s serves version=%d, layers with a piece "
                             "of another version: %s", self.id, self.version,
                             self.bad_layers)

    def work(self, conn, request):
        ident = request.headers["x-attempt-id"]
        self.settle()
        if not self.version:
            answer(conn, 503, b"", self.head(request) +
                   [("X-Not-Executed", "1")])
            return True
        body = json.dumps({"by": self.id, "version": self.version,
                           "layers_with_other_pieces": self.bad_layers})
        self.ran.append(ident)
        self.case.record("engine=%s runs id=%s version=%d", self.id, ident,
                         self.version)
        answer(conn, 200, body.encode(), self.head(request) +
               [("X-Weight-Versions", str(self.version))])
        return True


class Case(Fleet):
    def __init__(self, record):
        self.record, self.version = record, 1
        self.first_of_pair, self.slow_reads = 0, 0
        self.second = threading.Event()  # it is time to name it
        self.choose_lock = threading.Lock()
        super().__init__(gateways=0, plain=0, version_ms=VERSION_MS)
        self.origin.close()
        self.origin = WeightsOrigin()
        config = policy(2, self.origin.address)
        engine = config["services"][1]["engine"]
        engine.update({"slots": 16, "chunks": CHUNKS, "layers": LAYERS,
                       "chunk-bytes": CHUNK_BYTES})
        engine["models"][0]["warmup-s"] = WARMUP_S
        self.store.put("keyed.op", "config", config)
        for i in range(ENGINES):
            e = WeightsEngine(self, i)
            self.store.put("keyed.servers", e.id, e.record())
            self.engines.append(e)
        self.add_gateways(2)
        for i, e in enumerate(self.engines):
            self.start_sidecar(i, e)
        self.wait_ready()
        for i in range(2):
            wait_for("sidecars at g%d" % i, lambda i=i: all(
                "told engine=e%d version=1" % k in self.log("g%d" % i)
                for k in range(ENGINES)), 20)

    def name_version(self):
        self.version += 1
        self.record("version=%d named", self.version)
        self.store.put("keyed.op", "version/" + MODEL,
                       {"model": MODEL, "version": self.version})

    def choose_slow(self, engine, request, length):
        """Each engine reads one piece of the first version of a pair slowly."""
        if request.method != "PUT" or not length:
            return False
        with self.choose_lock:
            if engine.read_slowly >= self.first_of_pair:
                return False
            engine.read_slowly = self.first_of_pair
            self.second.set()
            if not TROUBLE:
                return False
            self.slow_reads += 1
        self.record("engine=%s begins to read piece index=%s slowly",
                    engine.id, request.query["sample-size"])
        return True

    def heartbeats(self, ended):
        while not ended.wait(HEARTBEAT_S):
            for e in self.engines:
                e.settle()
                self.store.put("keyed.servers", e.id, e.record())


class Callers:
    def __init__(self, case, record):
        self.case, self.record = case, record
        self.broken, self.count, self.n = [], {}, 0

    def call(self):
        self.n += 1
        ident = "c%d" % self.n
        try:
            status, _, body = self.case.call("/model/x", ident, self.n % 2,
                                             deadline=1500, timeout=3)
        except OSError:
            status, body = 0, b""
        self.count[status] = self.count.get(status, 0) + 1
        if status != 200:
            self.record("client id=%s status=%d", ident, status)
            return
        wrong = bool(json.loads(body)["layers_with_other_pieces"])
        if wrong:
            self.broken.append(ident)
        self.record("client id=%s status=200 %s%s", ident, body.decode(),
                    " WRONG" if wrong else "")


def play(case, record, callers):
    ended = threading.Event()
    threading.Thread(target=case.heartbeats, args=(ended,),
                     daemon=True).start()
    for _ in range(PAIRS):
        until = time.monotonic() + PAIR_S
        case.second.clear()
        case.first_of_pair = case.version + 1
        case.name_version()
        case.second.wait(SECOND_S)
        case.name_version()
        while time.monotonic() < until:
            callers.call()
            time.sleep(0.03)
    ended.set()
    record("engines serve %s", {e.id: e.version for e in case.engines})


def main():
    binary = os.environ.get("QUAYRING")
    if not binary or not os.access(binary, os.X_OK):
        print("no program to run")
        return 2
    record = Record(os.path.join(HERE, "record-late-put.txt"))
    case = Case.__new__(Case)  # so that a start that fails is cleared up
    record("trouble=%d", TROUBLE)
    try:
        case.__init__(record)
        callers = Callers(case, record)
        play(case, record, callers)
        lost = {n: p.returncode for n, p in case.procs.items()
                if p.poll() is not None}
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
    record("answers by status %s, slow reads %d, processes ended %s",
           json.dumps(callers.count), case.slow_reads, lost)
    record("answers with a token of a layer taken with a piece of another "
           "version: %d", len(callers.broken))
    verdict = 1 if callers.broken else 0
    record("verdict %d", verdict)
    print("WHOLE %d answers, slow reads %d, answers %s, processes ended %s" % (
        len(callers.broken), case.slow_reads, callers.count, lost))
    return verdict


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # ends processes
    code = main()
    sys.stdout.flush()
    os._exit(code)  # threads of the stand-ins may still wait
