"""What is no answer by the grammar of RFC 9110 and 9112, or has an end that nothing
proves, is passed on to no caller and believed by no process: answers of engines to
calls and to sidecars, of the store and of the origin.

Three faults. An engine answered an upload at once without a length and reset the
connection: the gateway's write took the error, its read got an end of file, and the
caller a whole answer. A status of 000 counted as an interim answer, so that the call
waited for its deadline. A field name with a blank was read as the parser's library
does: the line was passed on, or the body was another than the engine's.
"""
import base64
import json
import socket
import time

import pytest

import fleet as project
from bench import wait_for
from fleet import MODEL, Fleet
from standin_platform import (LINGER_RESET, Engine, Origin, Request, Store,
                              read_message)

UPLOAD = b"u" * 1500000
TRIES = 12
AT_ONCE_S = 1.5  # of a deadline of 2.5 s


def head_of(engine, request, status=b"200 OK", more=b""):
    return (b"HTTP/1.1 " + status + b"\r\n" + more +
            b"".join(b"%s: %s\r\n" % (n.encode(), v.encode())
                     for n, v in engine.head(request)))


def reset(conn):
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    conn.close()


def reset_at_once(engine, conn, request):
    conn.sendall(head_of(engine, request) + b"\r\n")
    reset(conn)


def reset_after_a_part(engine, conn, request):
    conn.sendall(head_of(engine, request) + b"\r\n")
    for _ in range(4):
        time.sleep(0.01)
        conn.sendall(b"p" * 50)
    reset(conn)


def reset_as_it_reads(engine, conn, request):
    """The gateway writes more at the moment of the reset."""
    conn.sendall(head_of(engine, request) + b"\r\npart")
    for _ in range(8):
        conn.recv(65536)
    reset(conn)


def fin_before_the_upload_is_read(engine, conn, request):
    conn.sendall(head_of(engine, request) + b"\r\npart")
    conn.shutdown(socket.SHUT_WR)
    time.sleep(0.1)


class Uploads(Engine):
    """Answers a large upload before it has read the body."""

    def __init__(self):
        super().__init__("early", "ledger")

    def serve(self, conn):
        rest = b""
        try:
            while True:
                message = read_message(conn, rest, body_too=False)
                if message is None:
                    break
                request, rest = Request(message[0], b""), message[2]
                length = int(request.headers.get("content-length", 0))
                if length >= len(UPLOAD):
                    self.seen.append(request)
                    self.behave(self, conn, request)
                    break
                while len(rest) < length:
                    rest += conn.recv(65536)
                request.body, rest = rest[:length], rest[length:]
                self.handle_small(conn, request)
        except OSError:
            pass
        finally:
            self.open.discard(conn)
            conn.close()

    def handle_small(self, conn, request):
        behave, self.behave = self.behave, None
        self.handle(conn, request)
        self.behave = behave


@pytest.fixture
def upload_fleet():
    with Fleet(plain=0) as f:
        early = Uploads()
        f.engines.append(early)
        f.store.put("keyed.servers", "early", early.record())
        f.store.put("keyed.op", "config",
                    project.policy(2, f.origin.address, body_max=4 << 20))
        f.wait_ready()
        f.early = early
        wait_for("the engine", lambda: f.call(
            "/safe/a", "warm-%s" % time.monotonic())[0] == 200, 10)
        wait_for("the limit of bodies", lambda: f.call(
            "/safe/a", "large-%s" % time.monotonic(),
            body=UPLOAD[:200000])[0] == 200, 10)
        yield f


# Guards against an answer without a length that was cut while the upload was being
# written, and that reached the caller as a whole one.
@pytest.mark.parametrize("route", ["safe", "unsafe"])
@pytest.mark.parametrize("behave", [reset_at_once, reset_after_a_part,
                                    reset_as_it_reads,
                                    fin_before_the_upload_is_read])
def test_cut_answer_during_an_upload_is_not_whole(upload_fleet, behave, route):
    early, got = upload_fleet.early, []
    early.behave = behave
    for i in range(TRIES):
        seen = len(early.seen)
        status, _, _ = upload_fleet.call("/%s/a" % route, "up-%d" % i,
                                         body=UPLOAD)
        if len(early.seen) > seen:
            got.append(status)
        upload_fleet.call("/safe/a", "sound-%d" % i)
    assert got, "no upload reached the engine"
    assert set(got) <= {502, 503}, got


STATUSES = [b"000 No", b"099 No", b"20 No", b"0200 No", b"600 No", b"999 No",
            b"101 No", b" 200 No", b"200 N\x00o"]
FIELDS = [b"X Odd: 1", b"X-Odd : 1", b"X-Odd\t: 1", b"X\x01Odd: 1",
          b"X\x00Odd: 1", b"X\x7fOdd: 1", b"X\xe9Odd: 1", b": 1", b"X-Odd",
          b"X-Odd: a\r\n b", b"Content-Length : 4", b"Content-Length:",
          b"Transfer-Encoding: gzip", b"Transfer-Encoding : chunked"]


def calls_to(behave, route):
    """(status, body, seconds) of the calls that reached the engine."""
    with Fleet(plain=1) as f:
        f.wait_ready()
        engine, got = f.plain[0], []
        for i in range(TRIES):
            engine.behave = None
            wait_for("the engine", lambda: f.call(
                "/safe/a", "w-%s" % time.monotonic())[0] == 200)
            engine.behave = behave
            seen, begun = len(engine.seen), time.monotonic()
            status, _, body = f.call("/%s/a" % route, "call-%d" % i)
            if len(engine.seen) > seen:
                got.append((status, body, time.monotonic() - begun))
            if len(got) == 3:
                break
        assert got, "no call reached the engine"
        return got


def check_refused(got):
    assert all(status in (502, 503) and s < AT_ONCE_S for status, _, s in got), \
        got


# Guards against a status outside the grammar that reached the caller, or kept the
# call at the gateway until its deadline.
@pytest.mark.parametrize("route", ["safe", "unsafe"])
@pytest.mark.parametrize("status", STATUSES)
def test_status_outside_the_grammar_is_no_answer(status, route):
    def behave(engine, conn, request):
        conn.sendall(head_of(engine, request, status,
                             b"Content-Length: 4\r\n") + b"\r\nbody")
        return True

    check_refused(calls_to(behave, route))


# Guards against a line of a head that is no field by the grammar and was passed on
# to the caller, or that gave the answer another body.
@pytest.mark.parametrize("field", FIELDS)
def test_field_outside_the_grammar_is_no_answer(field):
    more = b"" if b"ength" in field or b"oding" in field else \
        b"Content-Length: 4\r\n"

    def behave(engine, conn, request):
        conn.sendall(head_of(engine, request, more=field + b"\r\n" + more) +
                     b"\r\nbody and more")
        return False

    check_refused(calls_to(behave, "unsafe"))


# Guards against a chunked body that is read with other bounds than it has.
@pytest.mark.parametrize("chunks", [b"4\r\nbodyXX0\r\n\r\n",
                                    b"4\rXbody\r\n0\r\n\r\n"])
def test_chunks_outside_the_grammar_are_no_answer(chunks):
    def behave(engine, conn, request):
        conn.sendall(head_of(engine, request,
                             more=b"Transfer-Encoding: chunked\r\n") +
                     b"\r\n" + chunks)
        return False

    got = calls_to(behave, "unsafe")
    assert all(status != 200 for status, _, _ in got), got


# Guards against passing on to an engine what a client sent outside the grammar: the
# engine may read it in another way.
@pytest.mark.parametrize("line", [b"X Odd: 1", b"X-Odd : 1", b"X-Odd: a\r\n b",
                                  b"Transfer-Encoding: gzip"])
def test_request_outside_the_grammar_is_refused(line):
    with Fleet(plain=1) as f:
        f.wait_ready()
        wait_for("the engine", lambda: f.call(
            "/safe/a", "w-%s" % time.monotonic())[0] == 200)
        seen = len(f.plain[0].seen)
        host, port = f.gateways[0]["callers"].split(":")
        with socket.create_connection((host, int(port)), 5) as conn:
            conn.sendall(b"POST /safe/a HTTP/1.1\r\nHost: %s\r\n"
                         b"X-Attempt-Id: odd\r\nApi-Key: %s\r\n%s\r\n\r\n"
                         % (project.HOST.encode(), project.KEY.encode(), line))
            assert conn.recv(4096).startswith(b"HTTP/1.1 400 ")
        assert len(f.plain[0].seen) == seen


UNSOUND = [b"HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: %d\r\n",
           b"HTTP/1.1 0200 OK\r\nContent-Length: %d\r\n",
           b"HTTP/1.1 200 OK\r\nContent-Length : %d\r\n"]


def send_unsound(conn, head, value):
    body = json.dumps(value).encode()
    conn.sendall(head % len(body) + b"\r\n" + body)


class UnsoundStore(Store):
    """Lists a later configuration, without routes, in an unsound answer."""

    head = None
    sent = 0

    def newest(self, conn, topic, after):
        if self.head is None or topic != "keyed.op":
            super().newest(conn, topic, after)
            return
        self.sent += 1
        config = project.policy(9, "127.0.0.1:1", routes=[])
        send_unsound(conn, self.head, {"items": [
            {"tls-key": "config", "offset": 7, "value": base64.b64encode(
                json.dumps(config).encode()).decode()}],
            "more": False, "end": 8})


@pytest.mark.parametrize("head", UNSOUND)
def test_unsound_answer_of_the_store_is_not_believed(head, monkeypatch):
    monkeypatch.setattr(UnsoundStore, "head", head)
    monkeypatch.setattr(project, "Store", UnsoundStore)
    with Fleet(plain=1) as f:
        wait_for("a listing", lambda: f.store.sent >= 2)
        assert not f.ready()
        f.store.head = None
        f.wait_ready()
        wait_for("the routes", lambda: f.call(
            "/safe/a", "c-%s" % time.monotonic())[0] == 200)


class UnsoundOrigin(Origin):
    """Tells a manifest of other pieces in an unsound answer."""

    head = None
    unsound = 0

    def handle(self, conn, request):
        if self.head is None or not request.path.startswith("/manifest/"):
            return super().handle(conn, request)
        self.unsound += 1
        send_unsound(conn, self.head, {
            "model": MODEL, "version": int(request.query["version"]),
            "chunk-bytes": 2000, "layers": 4, "digests": ["0" * 64] * 6})
        return True


class LyingEngine(Engine):
    """Reports a version in an unsound answer."""

    head_text = None
    lies = 0

    def report(self, conn):
        if self.head_text is None:
            return super().report(conn)
        self.lies += 1
        send_unsound(conn, self.head_text, {
            "phase": "mixed", "models": [{"name": MODEL, "version": 77,
                                          "adapters": []}],
            "busy": False, "sequence": 3, "queued": 0, "active": 0,
            "kv-used": 0, "kv-total": 1, "sessions": 0})
        return True


@pytest.mark.parametrize("head", UNSOUND)
def test_unsound_answers_to_a_sidecar_are_not_believed(head, monkeypatch):
    monkeypatch.setattr(project, "Origin", UnsoundOrigin)
    with Fleet(plain=0, version_ms=12000) as f:
        engine = LyingEngine("m0", "engines", MODEL)
        f.engines.append(engine)
        f.store.put("keyed.servers", "m0", engine.record())
        engine.head_text = f.origin.head = head
        f.wait_ready()
        f.start_sidecar(0, engine)
        wait_for("a report", lambda: engine.lies >= 2)
        assert "version=77" not in f.log("s0")
        engine.head_text = None
        try:
            wait_for("a manifest", lambda: f.origin.unsound >= 2, 10)
        except AssertionError as e:
            raise AssertionError("asked %d times\n%s\n%s" % (
                f.origin.unsound, f.log("s0"), f.log("g0"))) from e
        assert "manifest version=1" not in f.log("s0")
        f.origin.head = None
        wait_for("the version", lambda: engine.version == 1, 15)
