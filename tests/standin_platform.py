"""Stand-ins for the users' platform, spoken as its pages say: the store, an
engine (model or plain service) and the origin of weights. Each runs on threads
of the test's own process, so that a test can look into it and break it."""
import base64
import errno
import hashlib
import json
import socket
import struct
import threading
import time
from urllib.parse import parse_qs, urlsplit

LINGER_RESET = struct.pack("ii", 1, 0)


def read_message(conn, rest, body_too=True):
    """(head lines, body, rest) of one request, or None at the end."""
    while b"\r\n\r\n" not in rest:
        got = conn.recv(65536)
        if not got:
            return None
        rest += got
    head, rest = rest.split(b"\r\n\r\n", 1)
    lines = head.decode("latin-1").split("\r\n")
    length = 0
    for line in lines[1:]:
        if line.lower().startswith("content-length:"):
            length = int(line.split(":", 1)[1]) if body_too else 0
    while len(rest) < length:
        got = conn.recv(65536)
        if not got:
            return None
        rest += got
    return lines, rest[:length], rest[length:]


class Request:
    def __init__(self, lines, body):
        self.method, self.target, _ = lines[0].split(" ", 2)
        url = urlsplit(self.target)
        self.path = url.path
        self.query = {k: v[0] for k, v in parse_qs(url.query).items()}
        self.headers = {}
        for line in lines[1:]:
            name, value = line.split(":", 1)
            self.headers[name.lower()] = value.strip()
        self.body = body


PORT_S = 5.0  # longest wait until the port of a closed server is free


class Server:
    """A server of raw HTTP; subclasses answer in handle()."""

    reads_bodies = True  # before it answers

    def __init__(self):
        self.lock = threading.Lock()
        self.open = set()
        self.down = False
        self.confused = 0
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                conn, _ = self.listener.accept()
            except OSError as e:
                if e.errno in (errno.EMFILE, errno.ENFILE):
                    raise  # the rig's own limit, not an end
                return
            if self.down:
                self.reset(conn)
                continue
            self.open.add(conn)
            threading.Thread(target=self.serve, args=(conn,),
                             daemon=True).start()

    def serve(self, conn):
        rest = b""
        try:
            while True:
                message = read_message(conn, rest, self.reads_bodies)
                if message is None:
                    break
                lines, body, rest = message
                if self.handle(conn, Request(lines, body)) is False:
                    break
        except OSError:
            pass
        except ValueError:  # bytes where a request was due
            self.confused += 1
        finally:
            self.open.discard(conn)
            conn.close()

    def reset(self, conn):
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        conn.close()

    def take_down(self):
        self.down = True
        for conn in list(self.open):
            try:
                conn.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def bring_up(self):
        self.down = False

    def close(self):
        try:  # wakes the thread in accept(), which else keeps the socket
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener.close()
        self.take_down()

    def listen_again(self):
        """After close(), at the same port once that is free."""
        port = int(self.address.rsplit(":", 1)[1])
        until = time.monotonic() + PORT_S
        while True:
            try:
                self.listener = socket.create_server(("127.0.0.1", port))
                break
            except OSError:
                if time.monotonic() > until:
                    raise
                time.sleep(0.01)
        self.bring_up()
        threading.Thread(target=self.accept, daemon=True).start()

    def handle(self, conn, request):
        raise NotImplementedError


def answer(conn, status, body=b"", headers=()):
    head = "HTTP/1.1 %d X\r\nContent-Length: %d\r\n" % (status, len(body))
    head += "".join("%s: %s\r\n" % h for h in headers)
    conn.sendall(head.encode() + b"\r\n" + body)


def answer_json(conn, value, headers=()):
    answer(conn, 200, json.dumps(value).encode(),
           [("Content-Type", "application/json")] + list(headers))


class Store(Server):
    """Topics that keep the newest record of each key. It may go back to an
    older copy of them; then its epoch rises, which all its answers name."""

    def __init__(self):
        self.topics = {}
        self.epoch = 1  # None: answers do not name it
        self.calls = 0
        self.appends = 0  # records that processes wrote
        self.gone = 0     # reads from offsets that it does not have
        self.rest = None  # turns all away, and asks for so long a rest (s)
        self.turned_away = 0
        self.reads = {}  # topic -> calls
        self.listings = {}  # topic -> those of them that list it
        self.page = 500  # records a page of a listing
        self.next_page = threading.Event()  # is answered once this is set
        self.next_page.set()
        self.changed = threading.Condition()
        self.wakes_reads = True  # False: a held read is answered at its end
        super().__init__()

    def records(self, topic):
        return self.topics.setdefault(topic, [])

    def put(self, topic, key, value):
        data = json.dumps(value).encode() if value is not None else b""
        with self.changed:
            self.records(topic).append((key, data))
            self.changed.notify_all()

    def go_back(self, lost):
        """'lost' tells how many of the last records of each topic are gone."""
        with self.changed:
            for topic, n in lost.items():
                rows = self.records(topic)
                del rows[max(len(rows) - n, 0):]
            if self.epoch is not None:
                self.epoch += 1
            self.changed.notify_all()

    def newest_of(self, topic):
        """Keys that have a value."""
        with self.changed:
            last = dict(self.records(topic))
        return {key for key, data in last.items() if data}

    def headers(self):
        return [] if self.epoch is None else [("Store-Era", str(self.epoch))]

    def handle(self, conn, request):
        self.calls += 1
        if self.rest is not None:
            self.turned_away += 1
            answer(conn, 503, b"", [("Retry-After", self.rest)])
            return
        topic = request.query.get("topic")
        self.reads[topic] = self.reads.get(topic, 0) + 1
        if request.path == "/log-newest":
            self.newest(conn, topic, request.query.get("since-revision", ""))
        elif request.path == "/log-read":
            self.read(conn, topic, int(request.query["source"]),
                      int(request.query.get("wait-ms", 0)))
        elif request.path == "/log-append" and request.method == "POST":
            self.append(conn, topic, request.body)
        else:
            answer(conn, 404)

    def append(self, conn, topic, body):
        with self.changed:
            offset = len(self.records(topic))
            while body:
                size, key_size = struct.unpack(">IB", body[:5])
                record, body = body[5:4 + size], body[4 + size:]
                self.records(topic).append((record[:key_size].decode(),
                                            record[key_size:]))
                self.appends += 1
            self.changed.notify_all()
            end = len(self.records(topic))
        answer_json(conn, {"offset": offset, "end": end}, self.headers())

    def newest(self, conn, topic, after):
        self.listings[topic] = self.listings.get(topic, 0) + (not after)
        last = {}
        with self.changed:
            rows, headers = list(self.records(topic)), self.headers()
        for offset, (key, data) in enumerate(rows):
            last[key] = (offset, data)
        keys = sorted(k for k, (_, d) in last.items() if d and k > after)
        if after:
            self.next_page.wait(10)
        items = [{"tls-key": k, "offset": last[k][0],
                  "value": base64.b64encode(last[k][1]).decode()}
                 for k in keys[:self.page]]
        answer_json(conn, {"items": items, "more": len(keys) > self.page,
                           "end": len(rows)}, headers)

    def read(self, conn, topic, source, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        with self.changed:
            held = wait_ms > 0 and len(self.records(topic)) == source
            while len(self.records(topic)) == source or (
                    held and not self.wakes_reads):
                left = until - time.monotonic()
                if left <= 0:
                    break
                self.changed.wait(left)
            rows = self.records(topic)[source:]
            end, headers = len(self.records(topic)), self.headers()
        if source > end:
            self.gone += 1
            answer(conn, 410, b'{"first":0}', headers)
            return
        body = struct.pack(">QQ", end, 0)
        for key, data in rows:
            record = bytes([len(key)]) + key.encode() + data
            body += struct.pack(">I", len(record)) + record
        answer(conn, 200, body, headers)


CHUNKS, CHUNK_BYTES = 6, 2000


def chunk_of(version, index):
    seed = b"%d/%d" % (version, index)
    return hashlib.sha256(seed).digest() * (CHUNK_BYTES // 32)


class Origin(Server):
    def __init__(self):
        self.sent = 0  # pieces asked for
        self.manifests = 0  # asked for
        self.open_most = 0  # connections at once
        self.answered = set()  # (version, index) of good pieces sent in full
        self.spoil = 0  # so many pieces to come are bad
        self.rest = None  # as of the store
        self.turned_away = 0
        super().__init__()

    def handle(self, conn, request):
        if self.rest is not None:
            self.turned_away += 1
            answer(conn, 503, b"", [("Retry-After", self.rest)])
            return
        version = int(request.query["version"])
        self.open_most = max(self.open_most, len(self.open))
        if request.path.startswith("/manifest/"):
            self.manifests += 1
            digests = [hashlib.sha256(chunk_of(version, i)).hexdigest()
                       for i in range(CHUNKS)]
            answer_json(conn, {"model": request.path[10:], "version": version,
                               "chunk-bytes": CHUNK_BYTES, "layers": 4,
                               "digests": digests})
            return
        index = int(request.query["sample-size"])
        data = good = chunk_of(version, index)
        with self.lock:
            self.sent += 1
            if self.spoil > 0:
                self.spoil -= 1
                data = b"x" + data[1:]
        answer(conn, 200, data)
        if data == good:
            with self.lock:
                self.answered.add((version, index))


class Engine(Server):
    """A model engine, or a plain service if 'model' is None."""

    def __init__(self, ident, service, model=None, version=0, zone="z1"):
        self.id, self.service, self.zone = ident, service, zone
        self.model, self.version = model, version
        self.slots = 4
        self.sequence = 0
        self.pace = None  # in its reports; None: it does not say
        self.born = 0   # start of this run, Unix ms; 0: it does not say
        self.busy_until = 0
        self.next_version = 0
        self.stage = {}
        self.taken = []   # what lay there at each order
        self.seen = []    # Requests that came
        self.ran = []     # ids of those that ran
        self.gone_ms = []  # how long callers' connections lived on after
        self.behave = None  # a function (engine, conn, request) or None
        super().__init__()

    def record(self, state="ready"):
        models = []
        if self.version:
            models = [{"name": self.model, "version": self.version,
                       "adapters": []}]
        return {"service": self.service, "address": self.address,
                "zone": self.zone, "version": "v1", "slots": self.slots,
                "state": state, "cold-remaining-ms": 0, "phase": "mixed",
                "models": models, "sequence": 1} | self.start()

    def start(self):
        return {"born": self.born} if self.born else {}

    def head(self, request, extra=()):
        return [("X-Attempt-Id", request.headers.get("x-attempt-id", "")),
                ("X-Server-Signature", "sig-" + self.id)] + list(extra)

    def handle(self, conn, request):
        if request.path == "/report":
            return self.report(conn)
        if request.path == "/order":
            return self.order(conn, json.loads(request.body))
        if request.path.startswith("/stage-"):
            return self.staged(conn, request)
        self.seen.append(request)
        if self.behave:
            return self.behave(self, conn, request)
        return self.work(conn, request)

    def work(self, conn, request):
        self.ran.append(request.headers["x-attempt-id"])
        body = b"done " + request.body
        answer(conn, 200, body, self.head(request))
        return True

    def settle(self):
        if self.busy_until and time.monotonic() >= self.busy_until:
            self.busy_until, self.version = 0, self.next_version

    def report(self, conn):
        self.settle()
        models = []
        if self.version:
            models = [{"name": self.model, "version": self.version,
                       "adapters": []}]
        answer_json(conn, {"phase": "mixed", "models": models,
                           "busy": self.busy_until > 0,
                           "sequence": self.sequence, "queued": 0,
                           "active": 0, "kv-used": 0, "kv-total": 1,
                           "sessions": 0} | self.start()
                    | ({} if self.pace is None else {"pace": self.pace}))

    def order(self, conn, order):
        if order.get("expected-revision") != self.sequence:
            answer(conn, 409)
            return
        self.sequence += 1
        self.taken.append((order["version"], dict(self.stage)))
        self.next_version = order["version"]
        self.version = 0
        self.busy_until = time.monotonic() + 0.2
        answer(conn, 202)

    def staged(self, conn, request):
        index = request.query.get("sample-size")
        if request.method == "PUT":
            self.stage[int(index)] = request.body
            answer(conn, 200)
        elif index is None:
            answer_json(conn, {"held": sorted(self.stage)})
        elif int(index) in self.stage:
            answer(conn, 200, self.stage[int(index)])
        else:
            answer(conn, 404)

    def restart(self):
        """The process crashed and came back: no weights, no sequence."""
        self.version, self.sequence, self.busy_until = 0, 0, 0

    def start_anew(self, orders):
        """The same under its id, with nothing staged; by its first report it
        has been ordered so often again."""
        self.restart()
        self.sequence = orders
        self.stage = {}
        self.born = max(self.born + 1, int(time.time() * 1000))


def events(first, last):
    return b"".join(b"id: %d\ndata: token-%d\n\n" % (i, i)
                    for i in range(first, last + 1))


def start_stream(engine, conn, request, extra=()):
    engine.ran.append(request.headers["x-attempt-id"])
    head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
    head += "".join("%s: %s\r\n" % h for h in engine.head(request, extra))
    conn.sendall(head.encode() + b"\r\n")


def start_unframed(engine, conn, request):
    """The head of an answer that ends with its connection."""
    engine.ran.append(request.headers["x-attempt-id"])
    head = "HTTP/1.1 200 OK\r\nConnection: close\r\n"
    head += "".join("%s: %s\r\n" % h for h in engine.head(request))
    conn.sendall(head.encode() + b"\r\n")


def send_chunk(conn, data):
    conn.sendall(b"%x\r\n" % len(data) + data + b"\r\n")


def stream_from(request):
    return int(request.headers.get("last-event-id", -1)) + 1
