"""A sidecar is frozen while the engine's answers to its checks of staged
pieces are on their way, and a piece turns bad meanwhile.

A real gateway and real sidecars, in front of stand-ins for the platform. See
claim.txt for the rule. Writes record.txt and exits with 1 if the rule was
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
from standin_platform import Engine, Origin, answer, answer_json  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CHUNKS, CHUNK_BYTES, LAYERS = 48, 2000, 16
ENGINES = 3
FREEZE_S = 4.0       # of one engine's machine, as in the site file
EXCUSED_S = 3.0      # a piece that turned bad so short a time before the order
VERSION_MS = 8000
VERSIONS = 6         # named one after the other
BUMP_S = 10.5        # from one version to the next
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
        self.bad = {}       # index of a piece that turned bad -> when
        self.layers = {}    # of the next version: layer -> (index, age of
        self.serving = {}   # the damage) if it was taken with a bad piece
        self.frozen_for = 1  # version for which its machine was frozen
        super().__init__("e%d" % number, "engines", MODEL, 1)
        self.born = int(time.time() * 1000)
        self.slots = 16

    def staged(self, conn, request):
        index = request.query.get("sample-size")
        if index is not None:
            index = int(index)
            with self.lock:
                if request.method == "PUT":
                    self.bad.pop(index, None)
                elif index in self.stage:
                    self.case.before_check(self, index)
        return super().staged(conn, request)

    def order(self, conn, order):
        with self.lock:
            now = time.monotonic()
            taken = {i: now - t for i, t in self.bad.items()}
            fits = order.get("expected-revision") == self.sequence
            wrong = [i for i in range(CHUNKS)
                     if self.stage.get(i) != piece_of(order["version"], i)
                     and i not in taken]
            self.case.record(
                "engine=%s order version=%d fits=%d bad=%s missing_or_other=%s",
                self.id, order["version"], fits,
                {i: round(a, 3) for i, a in taken.items()}, wrong)
            if fits:
                self.layers = {}
                for i, age in taken.items():
                    for n in layers_of(i):
                        self.layers[n] = (i, age)
                for i in wrong:
                    for n in layers_of(i):
                        self.layers[n] = (i, 1e9)
            super().order(conn, order)
            if fits:
                self.busy_until = time.monotonic() + WARMUP_S

    def settle(self):
        before = self.version
        super().settle()
        if self.version != before:
            self.serving = dict(self.layers)
            self.case.record("engine=%s serves version=%d bad_layers=%s",
                             self.id, self.version, sorted(self.serving))

    def work(self, conn, request):
        ident = request.headers["x-attempt-id"]
        self.settle()
        if not self.version:
            answer(conn, 503, b"", self.head(request) +
                   [("X-Not-Executed", "1")])
            return True
        over = {n: (i, round(age, 2)) for n, (i, age) in self.serving.items()
                if age > EXCUSED_S}
        body = json.dumps({"by": self.id, "version": self.version,
                           "layers_with_bad_pieces": over}).encode()
        self.ran.append(ident)
        self.case.record("engine=%s runs id=%s version=%d", self.id, ident,
                         self.version)
        answer(conn, 200, body, self.head(request) +
               [("X-Weight-Versions", str(self.version))])
        return True


class Case(Fleet):
    def __init__(self, record):
        self.record, self.version, self.target = record, 1, None
        self.freezes, self.named_s = 0, 0
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
            e.stage = {k: piece_of(1, k) for k in range(CHUNKS)}
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

    def name_version(self, version, target):
        self.version, self.target = version, target
        self.named_s = time.monotonic()
        self.record("version=%d named; machine to freeze: s%d", version,
                    target)
        self.store.put("keyed.op", "version/" + MODEL,
                       {"model": MODEL, "version": version})

    def before_check(self, engine, index):
        """Called with the engine's lock, before it answers a check of a piece.
        Freezes the machine at the first check of the version named last."""
        if (not TROUBLE or engine.number != self.target or
                engine.frozen_for >= self.version or
                engine.stage[index] != piece_of(self.version, index)):
            return
        engine.frozen_for = self.version
        self.freezes += 1
        process = self.procs["s%d" % engine.number]
        process.send_signal(signal.SIGSTOP)
        self.record("engine=%s checked index=%d; freeze of s%d begins",
                    engine.id, index, engine.number)
        threading.Thread(target=self.spoil_and_thaw, daemon=True,
                         args=(engine, index, process)).start()

    def spoil_and_thaw(self, engine, index, process):
        time.sleep(0.05)  # the answer is on its way
        with engine.lock:
            engine.stage[index] = b"x" + engine.stage[index][1:]
            engine.bad[index] = time.monotonic()
        self.record("engine=%s piece index=%d turns bad", engine.id, index)
        time.sleep(FREEZE_S - 0.05)
        process.send_signal(signal.SIGCONT)
        self.record("freeze of s%d ends", engine.number)

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
        wrong = bool(json.loads(body)["layers_with_bad_pieces"])
        if wrong:
            self.broken.append(ident)
        self.record("client id=%s status=200 %s%s", ident, body.decode(),
                    " WRONG" if wrong else "")


def play(case, record, callers):
    ended = threading.Event()
    threading.Thread(target=case.heartbeats, args=(ended,),
                     daemon=True).start()
    for n in range(VERSIONS):
        case.name_version(n + 2, n % ENGINES)
        until = time.monotonic() + BUMP_S
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
    record = Record(os.path.join(HERE, "record.txt"))
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
    record("answers by status %s, freezes %d, processes ended %s",
           json.dumps(callers.count), case.freezes, lost)
    record("answers with a token of a layer taken with a bad piece: %d",
           len(callers.broken))
    verdict = 1 if callers.broken else 0
    record("verdict %d", verdict)
    print("WHOLE %d answers, freezes %d, answers %s, processes ended %s" % (
        len(callers.broken), case.freezes, callers.count, lost))
    return verdict


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # ends processes
    code = main()
    sys.stdout.flush()
    os._exit(code)  # threads of the stand-ins may still wait
