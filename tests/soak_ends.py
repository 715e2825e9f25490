"""Both ends of a call in the soak: engines that say what arrived and ran, and
callers that say what they sent and got. Nothing of the program is in here."""
import hashlib
import http.client
import random
import socket
import threading
import time

from fleet import HOST, KEY
import prompt_parts
from rig import readable
from standin_platform import Engine, answer, send_chunk, start_stream, \
    start_unframed, stream_from

LONG_S = 1.5   # of a call on a path that ends in /long
CRASH_S = 0.05  # from the beginning of a crashing call to the end of its engine
PAUSE_S = 1.6  # of some streams, where engines pause
LOOK_S = 0.01  # between an engine's looks at whether its caller is there

# kind -> the route's prefix, may it run again, is it a stream
KINDS = {
    "safe": ("/safe/", True, False),
    "unsafe": ("/unsafe/", False, False),
    "stream": ("/stream/", True, True),
    "once": ("/once/", False, True),
    "model": ("/model/", True, False),
    "order": ("/order/", False, False),
}
ROUTES = [
    {"name": "safe", "path-prefix": "/safe/", "route-type": "safe",
     "service": "ledger", "max-attempts": 2},
    {"name": "unsafe", "path-prefix": "/unsafe/", "route-type": "unsafe",
     "service": "ledger", "max-attempts": 1},
    {"name": "stream", "path-prefix": "/stream/", "route-type": "streaming",
     "service": "ledger", "max-attempts": 2, "stream-resume": True},
    {"name": "once", "path-prefix": "/once/", "route-type": "streaming",
     "service": "ledger", "max-attempts": 2},
    {"name": "model", "path-prefix": "/model/", "route-type": "safe",
     "service": "engines", "max-attempts": 2},
    {"name": "order", "path-prefix": "/order/", "route-type": "unsafe",
     "service": "engines", "max-attempts": 1},
]


def digest(*parts):
    return hashlib.sha256(b"/".join(parts)).hexdigest()


def number_of(ident, most):
    """The same for the same id."""
    return int(digest(ident.encode())[:8], 16) % most


def answer_to(ident, body):
    return digest(ident.encode(), body).encode() * (1 + number_of(ident, 90))


def event(ident, i):
    return b"id: %d\ndata: %s-%d\n\n" % (i, ident.encode(), i)


class SoakEngine(Engine):
    """One that works on a call for a while, unless its caller leaves; turns
    away what it has no slot for or is not its to run; may break answers."""

    def __init__(self, history, ident, service, model=None, version=0):
        self.history = history
        self.running = 0
        self.breaks = False  # every third answer is cut
        self.full = False    # turns all away
        self.pauses = False  # one stream in twenty, halfway
        self.limit = None    # requests a second that it names
        self.rest = None     # seconds that it asks for as it turns all away
        self.leaves = False  # it says so in its answers, the store does not
        self.end = None  # ends the engine, after a crashing part
        self.link = None
        super().__init__(ident, service, model, version)
        self.direct = self.address

    def turns_away(self, request):
        if request.headers.get("x-expect-instance", self.id) != self.id:
            return 421
        self.settle()
        expected = request.headers.get("x-expect-version")
        if self.model and expected and expected != str(self.version):
            return 421
        if self.full or self.rest or self.running >= self.slots or \
                (self.model and not self.version):
            return 503
        return None

    def work(self, conn, request):
        ident = request.headers.get("x-attempt-id", "")
        with self.lock:
            status = self.turns_away(request)
            run = {"id": ident, "at": self.history.now(), "engine": self.id,
                   "service": self.service, "ran": status is None,
                   "version": self.version, "path": request.path,
                   "method": request.method,
                   "tenant": request.headers.get("x-tenant"),
                   "sent": digest(request.body), "ended": None, "left": None,
                   "whole": False, "answer": None, "events": 0,
                   "limit": self.limit, "leaves": self.leaves,
                   "rest": self.rest if status == 503 else None,
                   "told": None, "crashes": None}
            if status is None:
                run["crashes"] = self.crashing_part(request)
            self.running += status is None
        self.history.arrivals.append(run)
        head = self.head(request, self.notices(run))
        if status is not None:
            run["told"] = self.history.now()
            answer(conn, status, b"", head + [("X-Not-Executed", "1")])
            return True
        try:
            if run["crashes"]:
                return self.crash(conn, request, run)
            if request.path.startswith(("/stream/", "/once/")):
                run["told"] = self.history.now()
                return self.stream(conn, request, run)
            return self.once(conn, request, run, head)
        finally:
            with self.lock:
                self.running -= 1
            run["ended"] = self.history.now()

    def crashing_part(self, request):
        for part in prompt_parts.shared_ids(request):
            if part in self.history.crashing_parts:
                return part
        return None

    def crash(self, conn, request, run):
        """Begins its answer, and ends with all that runs here."""
        if request.path.startswith("/stream/"):
            if self.history.unframed:
                start_unframed(self, conn, request)
                conn.sendall(event(run["id"], stream_from(request)))
            else:
                start_stream(self, conn, request)
        if self.works(conn, run, CRASH_S):
            self.end()
        return False

    def notices(self, run):
        """What the answer to a run says of the engine."""
        said = []
        if run["limit"] is not None:
            said.append(("Server-Limit", "%g" % run["limit"]))
        if run["leaves"]:
            said.append(("Server-Leaving", "1"))
        if run["rest"]:
            said.append(("Retry-After", "%g" % run["rest"]))
        return said

    def works(self, conn, run, seconds):
        """False if the caller has left meanwhile."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if not readable(conn, LOOK_S):
                continue
            if not conn.recv(1, socket.MSG_PEEK):
                run["left"] = self.history.now()
                return False
            time.sleep(LOOK_S)
        return True

    def once(self, conn, request, run, head):
        ident = run["id"]
        is_long = request.path.endswith("/long")
        seconds = LONG_S if is_long else 0.005 + number_of(ident, 100) / 1000
        if not self.works(conn, run, seconds):
            return False
        body = answer_to(ident, request.body)
        if self.breaks and number_of(ident, 3) == 0:
            text = "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n" % len(body)
            text += "".join("%s: %s\r\n" % h for h in head)
            conn.sendall(text.encode() + b"\r\n" + body[:len(body) // 2])
            self.reset(conn)
            return False
        run["answer"], run["whole"] = digest(body), True
        run["told"] = self.history.now()
        answer(conn, 200, body, head)
        return True

    def stream(self, conn, request, run):
        ident, first = run["id"], stream_from(request)
        run["events"] = total = 3 + number_of(ident, 8)
        start_stream(self, conn, request, self.notices(run))
        for i in range(first, total):
            if self.breaks and i == 2 + first:
                send_chunk(conn, event(ident, i)[:7])
                self.reset(conn)
                return False
            send_chunk(conn, event(ident, i))
            if self.pauses and i == total // 2 and \
                    number_of(ident, 20) == 0 and \
                    not self.works(conn, run, PAUSE_S):
                return False
            if not self.works(conn, run, LONG_S / 8 if request.path.endswith(
                    "/long") else 0.01):
                return False
        run["whole"] = True
        conn.sendall(b"0\r\n\r\n")
        return True


def read_events(ident, body):
    """(ids of whole events, data that is not this call's)."""
    ids, foreign = [], 0
    for part in body.split(b"\n\n"):
        lines = part.split(b"\n")
        if len(lines) != 2 or not lines[0].startswith(b"id: "):
            foreign += bool(part)
            continue
        i = int(lines[0][4:])
        ids.append(i)
        foreign += part + b"\n\n" != event(ident, i)
    return ids, foreign


def is_closed(conn):
    """Whether the other side has closed a connection that rests."""
    return conn.sock and readable(conn.sock, 0)


class Callers:
    """Client threads; each sends one call after the other to any gateway."""

    def __init__(self, history, gateways, seed, threads):
        self.history, self.gateways = history, gateways
        self.ended = False
        self.threads = [
            threading.Thread(target=self.run, daemon=True,
                             args=(i, random.Random(f"{seed}/caller{i}")))
            for i in range(threads)]
        self.threads.append(threading.Thread(
            target=self.probe, daemon=True,
            args=(random.Random(f"{seed}/probe"),)))
        for thread in self.threads:
            thread.start()

    def stop(self):
        """Returns those that do not come to an end."""
        self.ended = True
        for thread in self.threads:
            thread.join(15)
        return ["%s does not end" % t.name for t in self.threads
                if t.is_alive()]

    def run(self, number, rng):
        kept = {}
        n = 0
        try:
            while not self.ended:
                n += 1
                self.call(f"c{number}-{n}", rng, kept)
                time.sleep(rng.uniform(0.0, 0.02))
        finally:
            for conn in kept.values():
                conn.close()

    def call(self, ident, rng, kept):
        kind = rng.choice(list(KINDS))
        prefix, _, is_stream = KINDS[kind]
        gateway = rng.randrange(len(self.gateways))
        leaves = rng.random() < 0.04
        body = ident.encode() * rng.randint(1, 40)
        # but for streams, a long call that nobody gives up would say nothing
        # for longer than the routes' objective
        is_long = leaves or (is_stream and rng.random() < 0.1)
        path = prefix + ("long" if is_long else "x")
        call = {"id": ident, "kind": kind, "gateway": gateway, "path": path,
                "at": self.history.now(), "sent": digest(body),
                "ended": None, "status": None, "signature": None,
                "answer": None, "events": None, "foreign": 0,
                "gave_up": None, "error": None}
        conn = kept.pop(gateway, None)
        if not conn or rng.random() < 0.2 or is_closed(conn):
            conn = self.connection(gateway)
        try:
            conn.timeout = 0.2 if leaves else 6
            if conn.sock:
                conn.sock.settimeout(conn.timeout)
            headers = {"Host": HOST, "X-Attempt-Id": ident, "Api-Key": KEY,
                       "X-Deadline-Ms": "2500"}
            headers |= prompt_parts.sound(rng, rng.random() < 0.5)
            conn.request("POST", path, body, headers)
            response = conn.getresponse()
            call["status"] = response.status
            call["signature"] = response.getheader("X-Server-Signature")
            data = response.read()
            call["answer"] = digest(data)
            if is_stream and response.status == 200:
                call["events"], call["foreign"] = read_events(ident, data)
            kept[gateway] = conn
            conn = None
        except TimeoutError:
            call["gave_up" if leaves else "error"] = \
                self.history.now() if leaves else "no answer"
        except (OSError, http.client.HTTPException) as e:
            call["error"] = type(e).__name__
        finally:
            if conn:
                conn.close()
        call["ended"] = self.history.now()
        self.history.calls.append(call)

    def connection(self, gateway):
        host, port = self.gateways[gateway]["callers"].rsplit(":", 1)
        return http.client.HTTPConnection(host, int(port))

    def probe(self, rng):
        """Asks for the routes that only one configuration each has."""
        n = 0
        while not self.ended:
            time.sleep(0.04)
            n += 1
            newest = self.history.configs[-1]["version"]
            version = newest - rng.choice((0, 0, 1, 2))
            gateway = rng.randrange(len(self.gateways))
            probe = {"id": f"probe-{n}", "path": f"/conf-{version}/x",
                     "sent": digest(b""), "version": version,
                     "gateway": gateway, "at": self.history.now(),
                     "status": None}
            conn = self.connection(gateway)
            conn.timeout = 4
            try:
                conn.request("POST", probe["path"], b"", {
                    "Host": HOST, "X-Attempt-Id": probe["id"],
                    "Api-Key": KEY, "X-Deadline-Ms": "2500"})
                probe["status"] = conn.getresponse().status
            except (OSError, http.client.HTTPException):
                pass
            conn.close()
            probe["ended"] = self.history.now()
            self.history.probes.append(probe)


class CrashingCaller:
    """Sends calls with parts that crash engines, each another call."""

    def __init__(self, history, gateways, rng):
        self.history, self.gateways, self.rng = history, gateways, rng
        self.every_s = rng.choice((0.1, 0.2, 0.5, 1.5))
        self.ended = False
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        n = 0
        while not self.ended:
            n += 1
            threading.Thread(target=self.call, daemon=True,
                             args=self.draw(n)).start()
            time.sleep(self.every_s)

    def draw(self, n):
        """The n-th call, and its header of parts."""
        kind = self.rng.choice(("safe", "unsafe", "stream"))
        ident = "crashing-%d" % n
        call = {"id": ident, "kind": kind, "path": KINDS[kind][0] + "x",
                "gateway": self.rng.randrange(len(self.gateways)),
                "at": self.history.now(), "sent": digest(ident.encode()),
                "status": None}
        parts = self.history.crashing_parts
        self.history.crashing.append(call)
        return call, prompt_parts.crashing(self.rng, parts[n % len(parts)])

    def call(self, call, parts):
        host, port = self.gateways[call["gateway"]]["callers"].rsplit(":", 1)
        conn = http.client.HTTPConnection(host, int(port), timeout=6)
        try:
            conn.request("POST", call["path"], call["id"].encode(), {
                "Host": HOST, "X-Attempt-Id": call["id"], "Api-Key": KEY,
                "X-Deadline-Ms": "2500"} | parts)
            response = conn.getresponse()
            call["status"] = response.status
            response.read()  # an engine does not end once its caller has left
        except (OSError, http.client.HTTPException):
            pass  # the gateway was killed, or cut the answer
        finally:
            conn.close()

    def stop(self):
        self.ended = True
        self.thread.join(5)
