"""Stand-ins for the platform: one process each, for tests and the demo.

    standin.py log|store|origin|hosts|engine|plain PORT [JSON options]

Every stand-in takes POST /control with a JSON object of faults:
  down         refuse every request with 503
  slow_ms      wait so long before each answer
  lose         number of answers to lose after the act (connection cut)
Some take more; they are named beside the class.
"""
import hashlib
import json
import socket
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlparse

STEP_S = 0.007  # an engine's step


class LoseAnswer(Exception):
    """The act is done and the answer is lost."""


class Standin:
    def __init__(self, options):
        self.lock = threading.RLock()
        self.faults = {"down": False, "slow_ms": 0, "lose": 0}
        self.options = options
        self.bytes_out = 0

    def control(self, faults):
        with self.lock:
            self.faults.update(faults)

    def do_get(self, h, path, query):
        return 404, {}

    def do_post(self, h, path, query, body):
        return 404, {}

    do_put = do_post

    def fault(self, name):
        return self.faults.get(name, 0)

    def take(self, name):
        """Counts a fault down; True while there is one left."""
        with self.lock:
            n = self.faults.get(name, 0)
            if n > 0:
                self.faults[name] = n - 1
            return n > 0


class Log(Standin):
    """Faults: keep (records kept, 0 all), refuse_appends."""

    def __init__(self, options):
        super().__init__(options)
        self.records = []
        self.dropped = 0
        self.times = []

    def do_get(self, h, path, query):
        start = int(query.get("from", ["1"])[0])
        with self.lock:
            first = self.dropped + 1
            start = max(start, first)
            some = self.records[start - first:start - first + 200]
        return 200, {"first": first, "from": start, "records": some}

    def do_post(self, h, path, query, body):
        if self.fault("refuse_appends"):
            return 429, {}
        with self.lock:
            now = time.monotonic()
            self.times = [t for t in self.times if t > now - 1]
            if len(self.times) >= 100:
                return 429, {}
            self.times.append(now)
            self.records.append(body.decode())
            offset = self.dropped + len(self.records)
            keep = self.fault("keep")
            if keep and len(self.records) > keep:
                cut = len(self.records) - keep
                self.records = self.records[cut:]
                self.dropped += cut
        if self.take("lose"):
            raise LoseAnswer
        return 200, {"offset": offset}


def version_chunks(name, chunks, size, shared=0):
    """Bytes of a version: 'shared' of its chunks are those of every one."""
    for i in range(chunks):
        seed = f"shared-{i}" if i < shared else f"{name}-{i}"
        block = hashlib.sha256(seed.encode()).digest()
        yield block * (size // len(block))


def manifest_of(name, chunks, size, shared=0):
    """(id, text, {hash: bytes}) of a version."""
    blobs = {}
    hashes = []
    for data in version_chunks(name, chunks, size, shared):
        digest = hashlib.sha256(data).hexdigest()
        blobs[digest] = data
        hashes.append(digest)
    text = json.dumps({"version": name, "chunks": hashes}).encode()
    return hashlib.sha256(text).hexdigest(), text, blobs


class Weights(Standin):
    """Options: versions [[name, chunks, size, shared]], rate (bytes/s).

    Faults: corrupt (number of answers with a wrong byte), stall (seconds).
    """

    def __init__(self, options):
        super().__init__(options)
        self.manifests = {}
        self.blobs = {}
        self.next_free = 0.0
        for version in options.get("versions", []):
            ident, text, blobs = manifest_of(*version)
            self.manifests[ident] = text
            self.blobs.update(blobs)

    def pace(self, n):
        rate = self.options.get("rate", 0)
        if not rate:
            return
        with self.lock:
            start = max(time.monotonic(), self.next_free)
            self.next_free = start + n / rate
            wait = self.next_free - time.monotonic()
        if wait > 0:
            time.sleep(wait)

    def do_get(self, h, path, query):
        if path == "/stats":
            return 200, {"bytes_out": self.bytes_out}
        name = path.rsplit("/", 1)[1]
        table = self.manifests if path.startswith("/manifests") else self.blobs
        data = table.get(name)
        if data is None:
            return 404, {}
        if self.fault("stall"):
            time.sleep(self.fault("stall"))
        if table is self.blobs:
            self.pace(len(data))
            with self.lock:
                self.bytes_out += len(data)
        if self.take("corrupt"):
            data = b"X" + data[1:]
        return 200, data


class Hosts(Standin):
    """POST /hosts replaces the list; faults: lag_s."""

    def __init__(self, options):
        super().__init__(options)
        self.history = [(0.0, options.get("hosts", []))]

    def do_get(self, h, path, query):
        seen = time.monotonic() - self.fault("lag_s")
        with self.lock:
            shown = self.history[0][1]
            for when, hosts in self.history:
                if when <= seen:
                    shown = hosts
        return 200, {"hosts": shown}

    def do_post(self, h, path, query, body):
        with self.lock:
            self.history.append((time.monotonic(), json.loads(body)["hosts"]))
        return 200, {}


class Runs(Standin):
    """What engines and plain services share: a record of what ran."""

    def __init__(self, options):
        super().__init__(options)
        self.runs = {}

    def ran(self, call_id):
        with self.lock:
            self.runs[call_id] = self.runs.get(call_id, 0) + 1


class Plain(Runs):
    """Faults: work_ms, cut (answers to break off half-way)."""

    def do_get(self, h, path, query):
        return 200, {"runs": self.runs}

    def do_post(self, h, path, query, body):
        call_id = h.headers["X-Call-Id"]
        self.ran(call_id)
        time.sleep(self.fault("work_ms") / 1000)
        answer = json.dumps({"call_id": call_id, "echo": body.decode()})
        if self.take("cut"):
            h.send_response(200)
            h.send_header("Content-Length", str(len(answer)))
            h.end_headers()
            h.wfile.write(answer[:len(answer) // 2].encode())
            raise LoseAnswer
        return 200, answer.encode()


class Engine(Runs):
    """Two slots of weights, steps of 7 ms that serve every sequence.

    Options: checks_fence, slots. Faults: step_ms, work_ms, cut, lose_orders.
    """

    def __init__(self, options):
        super().__init__(options)
        self.active = options.get("active", "")
        self.staged = {}  # manifest -> {index: bytes}
        self.verified = set()
        self.fence = (0, 0)
        self.orders = []
        self.served = {}  # manifest -> calls
        self.tick = threading.Condition()
        self.partial = 0  # tries to serve what was not verified
        threading.Thread(target=self.steps, daemon=True).start()

    def steps(self):
        while True:
            time.sleep(max(STEP_S, self.fault("step_ms") / 1000))
            with self.tick:
                self.tick.notify_all()

    def do_get(self, h, path, query):
        if path == "/runs":
            return 200, {"runs": self.runs, "served": self.served,
                         "partial": self.partial, "orders": self.orders}
        return 200, {"manifest": self.active}

    def fenced(self, h):
        reg, rev = h.headers.get("X-Fence", "0.0").split(".")
        fence = (int(reg), int(rev))
        with self.lock:
            if self.options.get("checks_fence", True) and fence < self.fence:
                return True
            self.fence = max(self.fence, fence)
        return False

    def do_put(self, h, path, query, body):
        if self.fenced(h):
            return 409, {}
        manifest = query["manifest"][0]
        with self.lock:
            if manifest == self.active:
                return 400, {"why": "that slot is being served"}
            if manifest not in self.staged:
                self.staged = {manifest: {}}  # the one idle slot
                self.verified.discard(manifest)
            self.staged[manifest][int(query["index"][0])] = body
        return 200, {}

    def verify(self, manifest, body):
        if hashlib.sha256(body).hexdigest() != manifest:
            return 422, {"why": "not the manifest"}
        chunks = json.loads(body)["chunks"]
        with self.lock:
            have = self.staged.get(manifest, {})
            for i, digest in enumerate(chunks):
                data = have.get(i)
                if data is None or hashlib.sha256(data).hexdigest() != digest:
                    return 422, {"why": f"chunk {i} is not right"}
            self.verified.add(manifest)
        return 200, {}

    def activate(self, manifest):
        with self.lock:
            if manifest != self.active and manifest not in self.verified:
                self.partial += 1
                return 422, {"why": "not verified"}
            self.active = manifest
            self.orders.append([manifest, list(self.fence)])
        return 200, {}

    def do_post(self, h, path, query, body):
        if path == "/generate":
            return self.generate(h, body)
        if self.fenced(h):
            return 409, {}
        manifest = query["manifest"][0]
        if path == "/verify":
            answer = self.verify(manifest, body)
        else:
            answer = self.activate(manifest)
        if self.take("lose_orders"):
            raise LoseAnswer
        return answer

    def generate(self, h, body):
        call_id = h.headers["X-Call-Id"]
        with self.lock:
            manifest = self.active
            self.ran(call_id)
            self.served[manifest] = self.served.get(manifest, 0) + 1
        try:
            tokens = int(json.loads(body).get("max_tokens", 8))
        except (ValueError, AttributeError):
            tokens = 8
        h.send_response(200)
        h.send_header("X-Manifest", manifest)
        h.send_header("Transfer-Encoding", "chunked")
        h.end_headers()
        cut = self.take("cut")
        for i in range(tokens):
            with self.tick:
                self.tick.wait()
            piece = f"{call_id}/{manifest[:8]}/{i};".encode()
            h.wfile.write(b"%x\r\n%s\r\n" % (len(piece), piece))
            h.wfile.flush()
            if cut and i >= tokens // 2:
                raise LoseAnswer
        h.wfile.write(b"0\r\n\r\n")
        return None


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    standin = None

    def log_message(self, *args):
        pass

    def answer(self, status, body):
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def handle_one(self, act):
        s = self.standin
        url = urlparse(self.path)
        query = parse_qs(url.query)
        length = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(length) if length else b""
        try:
            if url.path == "/control":
                s.control(json.loads(body))
                return self.answer(200, s.faults)
            if s.fault("slow_ms"):
                time.sleep(s.fault("slow_ms") / 1000)
            if s.fault("down"):
                return self.answer(503, {})
            args = (self, url.path, query)
            got = act(*args) if self.command == "GET" else act(*args, body)
            if got is not None:
                self.answer(*got)
        except LoseAnswer:
            self.close_connection = True
            self.wfile.flush()
            self.connection.shutdown(socket.SHUT_RDWR)
        except (BrokenPipeError, ConnectionResetError):
            self.close_connection = True

    def do_GET(self):
        self.handle_one(self.standin.do_get)

    def do_POST(self):
        self.handle_one(self.standin.do_post)

    def do_PUT(self):
        self.handle_one(self.standin.do_put)


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512


KINDS = {"log": Log, "store": Weights, "origin": Weights, "hosts": Hosts,
         "engine": Engine, "plain": Plain}


def main():
    kind, port = sys.argv[1], int(sys.argv[2])
    options = json.loads(sys.argv[3]) if len(sys.argv) > 3 else {}
    Handler.standin = KINDS[kind](options)
    Server(("127.0.0.1", port), Handler).serve_forever()


if __name__ == "__main__":
    main()
