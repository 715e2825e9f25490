"""Streams that were reset at their callers, though an engine was at work on them.

Seen: around a configuration, on a fleet that was full, callers' connections were
reset in the middle of streams; one engine had run such a call to its end, another
had it and never began it.
Course: an engine's answer paused; its gateway gave it up, and only then asked
another engine for the rest. That one was full, so nothing was left to go on with.
Cause: what worked was given up before its replacement had begun. The same where a
gateway that had stood still took everybody for silent before it read, where an
engine that would be out of date was asked for the rest, and where connections were
closed by the age of an answer that their callers were still reading.
Proof: each course below, on the program as it was; lines 'again why=stalled', then
'cut why=engine full' in plays of the users' days.
"""
import http.client
import json
import os
import signal
import socket
import threading
import time

import pytest

from bench import wait_for
from fleet import HOST, KEY, Fleet, policy
from rig import readable
from standin_platform import (LINGER_RESET, answer, events, send_chunk,
                              start_stream, stream_from)

EVENTS = 8
PAUSE_S = 2.0   # longer than a gateway waits for a sign of life
END = b"0\r\n\r\n"


@pytest.fixture
def fleet():
    with Fleet(gateways=0) as f:
        # one that has just started may send but a few calls again
        f.add_gateways(1, {"retry_allowance": 1000})
        f.wait_ready()
        yield f


class Streams:
    """The engines of a service: one is at work on the stream, all others are
    told what to do with the rest of it."""

    def __init__(self, fleet, work, rest):
        self.lock, self.first, self.firsts = threading.Lock(), None, 0
        self.asked = []  # of the others: from which event on
        self.work, self.rest = work, rest
        for engine in fleet.plain:
            engine.behave = self.behave

    def behave(self, engine, conn, request):
        with self.lock:
            self.first = self.first or engine
        if engine is self.first:
            self.firsts += 1
            return self.work(engine, conn, request)
        self.asked.append(stream_from(request))
        return self.rest(engine, conn, request)


def is_full(engine, conn, request):
    answer(conn, 503, b"", engine.head(request) + [("X-Not-Executed", "1")])


def goes_on(engine, conn, request):
    start_stream(engine, conn, request)
    send_chunk(conn, events(stream_from(request), EVENTS - 1))
    conn.sendall(END)


def breaks_off(engine, conn, request):
    """After two events; has no room for the rest."""
    if stream_from(request) > 0:
        return is_full(engine, conn, request)
    start_stream(engine, conn, request)
    send_chunk(conn, events(0, 1))
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    conn.close()
    return False


def pauses(pause_s, inside_an_event=False):
    def work(engine, conn, request):
        """Two events, a pause, the rest."""
        first, part = stream_from(request), b""
        start_stream(engine, conn, request)
        if first == 0:
            part = events(2, 2)[:7] if inside_an_event else b""
            send_chunk(conn, events(0, 1) + part)
            time.sleep(pause_s)
            first = 2
        send_chunk(conn, events(first, EVENTS - 1)[len(part):])
        conn.sendall(END)
    return work


def lines(fleet, ident, name="g0"):
    return [l for l in fleet.log(name).splitlines() if "id=" + ident in l]


WHOLE = (200, events(0, EVENTS - 1))


def call(fleet, ident, path="/stream/x", **more):
    status, _, body = fleet.call(path, ident, **more)
    return status, body


def test_an_engine_that_pauses_goes_on_if_no_other_takes_the_rest(fleet):
    streams = Streams(fleet, pauses(PAUSE_S), is_full)
    assert call(fleet, "paused") == WHOLE
    assert streams.asked == [2] and streams.firsts == 1


def test_what_had_come_of_an_event_is_kept_meanwhile(fleet):
    Streams(fleet, pauses(PAUSE_S, inside_an_event=True), is_full)
    assert call(fleet, "inside") == WHOLE


def test_who_speaks_first_goes_on(fleet):
    """The other has taken the rest and has not begun: it is given up."""
    left = []

    def waits(engine, conn, request):
        start_stream(engine, conn, request)
        left.append(readable(conn, 3))
        return False

    Streams(fleet, pauses(1.6), waits)
    assert call(fleet, "first") == WHOLE
    wait_for("the other to be given up", lambda: left)
    assert left == [True]


def test_once_the_other_has_begun_the_first_is_given_up(fleet):
    left = []

    def falls_silent(engine, conn, request):
        start_stream(engine, conn, request)
        send_chunk(conn, events(0, 1) + events(2, 2)[:7])
        left.append(readable(conn, 5) and time.monotonic())
        return False

    def begins(engine, conn, request):
        start_stream(engine, conn, request)
        send_chunk(conn, events(2, 2))
        begun.append(time.monotonic())
        time.sleep(0.8)
        send_chunk(conn, events(3, EVENTS - 1))
        conn.sendall(END)

    begun = []
    streams = Streams(fleet, falls_silent, begins)
    assert call(fleet, "begun") == WHOLE
    assert streams.asked == [2]
    wait_for("the first to be given up", lambda: left)
    assert left[0] and left[0] < begun[0] + 0.4


def test_a_plain_answer_that_is_late_is_not_given_up_either(fleet):
    def late(engine, conn, request):
        time.sleep(PAUSE_S)
        return engine.work(conn, request)

    Streams(fleet, late, is_full)
    assert call(fleet, "plain", "/safe/x") == (200, b"done hello")


def test_an_answer_nobody_signed_may_have_run_though_it_came_late(fleet):
    """Both engines are asked. The first then gives bytes that are no engine's:
    it may have run the call, which must not be refused as if it had not."""
    def late(engine, conn, request):
        time.sleep(1.6)
        answer(conn, 200, b"?", [("X-Attempt-Id",
                                  request.headers["x-attempt-id"])])

    def full_later(engine, conn, request):
        time.sleep(0.8)
        return is_full(engine, conn, request)

    Streams(fleet, late, full_later)
    status, _ = call(fleet, "unsigned", "/safe/x")
    assert status == 502


def test_a_gateway_that_stood_still_hears_before_it_judges(fleet):
    """The engine spoke all the while; no other is asked for the rest."""
    def speaks(engine, conn, request):
        start_stream(engine, conn, request)
        for i in range(EVENTS):
            send_chunk(conn, events(i, i))
            time.sleep(0.3)
        conn.sendall(END)

    streams = Streams(fleet, speaks, is_full)
    got = []
    caller = threading.Thread(target=lambda: got.append(call(fleet, "still")))
    caller.start()
    wait_for("the stream", lambda: streams.first)
    time.sleep(0.2)
    fleet.procs["g0"].send_signal(signal.SIGSTOP)
    time.sleep(1.6)
    fleet.procs["g0"].send_signal(signal.SIGCONT)
    caller.join()
    assert got == [WHOLE] and streams.asked == []
    assert "stood still" in fleet.log("g0")
    assert not any(" again " in line for line in lines(fleet, "still"))


def test_the_rest_waits_for_room(fleet):
    """The engine broke off, and the others are full for a moment."""
    def is_full_at_first(engine, conn, request):
        if len(streams.asked) == 1:
            return is_full(engine, conn, request)
        return goes_on(engine, conn, request)

    streams = Streams(fleet, breaks_off, is_full_at_first)
    assert call(fleet, "room") == WHOLE
    assert streams.asked == [2, 2]


def test_a_stream_nobody_goes_on_with_is_cut_while_its_caller_can_try_again(
        fleet):
    Streams(fleet, breaks_off, is_full)
    begun = time.monotonic()
    with pytest.raises((http.client.IncompleteRead, ConnectionResetError)):
        call(fleet, "nobody")
    assert time.monotonic() - begun < 2.0  # of 2.5 s that it would wait
    assert any(" cut " in l for l in lines(fleet, "nobody"))


# Connections of callers.

LONG = os.urandom(200 << 10)
ASKED = 40  # answers, together more than kernels take at once


def slow_caller(fleet, ident, last=""):
    """A connection that has asked for LONG many times and reads nothing yet;
    'last': headers of the last time."""
    for engine in fleet.plain:
        engine.behave = lambda e, conn, request: answer(
            conn, 200, LONG, e.head(request))
    host, port = fleet.gateways[0]["callers"].rsplit(":", 1)
    s = socket.socket()
    s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
    s.settimeout(10)
    s.connect((host, int(port)))
    for i in range(ASKED):
        s.sendall((f"POST /safe/x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: "
                   f"{ident}-{i}\r\nApi-Key: {KEY}\r\nContent-Length: 0\r\n"
                   f"{last if i == ASKED - 1 else ''}\r\n").encode())
    wait_for("the answers", lambda: lines(fleet, "%s-%d" % (ident, ASKED - 1)))
    return s


def whole_answers(s):
    s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20)
    got = b""
    while got.count(LONG) < ASKED:
        part = s.recv(1 << 20)
        if not part:
            break
        got += part
    return got.count(LONG)


def test_who_reads_slowly_gets_the_whole_answer(fleet):
    """Longer than a connection may rest, and than one lingers that ends."""
    value = policy(2, fleet.origin.address, timeout_ms=20000)
    value["limits"]["idle-timeout-ms"] = 400
    fleet.store.put("keyed.op", "config", value)
    wait_for("the configuration", lambda: "version=2" in fleet.log("g0"))
    callers = [slow_caller(fleet, "rests"),
               slow_caller(fleet, "ends", "Connection: close\r\n")]
    time.sleep(1.8)
    for s in callers:
        assert whole_answers(s) == ASKED
        s.close()


def test_a_stop_waits_for_who_reads_slowly(fleet):
    s = slow_caller(fleet, "stops")
    fleet.procs["g0"].send_signal(signal.SIGTERM)
    time.sleep(1.4)
    assert whole_answers(s) == ASKED
    s.close()
    assert fleet.procs["g0"].wait(10) == 0


def test_a_connection_rests_for_as_long_as_its_caller_was_told():
    """A configuration that allows less is for connections that rest anew."""
    with Fleet() as fleet:
        fleet.wait_ready()
        host, port = fleet.gateways[0]["callers"].rsplit(":", 1)
        conn = http.client.HTTPConnection(host, int(port), timeout=5)

        def ask_once(ident):
            conn.request("POST", "/safe/x", b"hello", {
                "Host": HOST, "X-Attempt-Id": ident, "Api-Key": KEY})
            return conn.getresponse().read()

        assert ask_once("one") == b"done hello"
        sock = conn.sock
        value = policy(2, fleet.origin.address)
        value["limits"]["idle-timeout-ms"] = 300
        fleet.store.put("keyed.op", "config", value)
        wait_for("the configuration", lambda: "version=2" in fleet.log("g0"))
        time.sleep(1.0)
        assert ask_once("two") == b"done hello" and conn.sock is sock
        wait_for("the connection to be closed", lambda: readable(sock, 0), 3)
        conn.close()


# What the log tells.

def test_the_end_of_the_grace_says_that_it_cuts(fleet):
    Streams(fleet, pauses(8), is_full)
    value = policy(2, fleet.origin.address, timeout_ms=20000)
    fleet.store.put("keyed.op", "config", value)
    wait_for("the configuration", lambda: "version=2" in fleet.log("g0"))
    got = []

    def caller():
        try:
            call(fleet, "grace", deadline=15000, timeout=15)
        except (OSError, http.client.HTTPException) as e:
            got.append(e)

    thread = threading.Thread(target=caller)
    thread.start()
    wait_for("the stream", lambda: fleet.metrics()["quayring_calls_open"])
    fleet.procs["g0"].send_signal(signal.SIGTERM)
    thread.join()
    assert fleet.procs["g0"].wait(10) == 0 and got
    assert "why=the time for stopping is over" in lines(fleet, "grace")[-1]


@pytest.mark.parametrize("ended", [signal.SIGABRT, signal.SIGKILL,
                                   signal.SIGTERM])
def test_logs_tell_how_a_process_ended(ended):
    """A process that fails says so itself; of one that was killed, those it
    knew say that it had not said it would leave."""
    fleet = Fleet(gateways=2)
    try:
        fleet.wait_ready()
        wait_for("both to meet", lambda: all(
            "members: new" in fleet.log(n) for n in ("g0", "g1")))
        time.sleep(0.3)
        fleet.procs["g0"].send_signal(ended)
        fleet.procs["g0"].wait(10)
        with open(os.path.join(fleet.dir, "g0.json"), encoding="utf-8") as f:
            peers = json.load(f)["peers"]
        before = fleet.log("g1").count("members: new name=g0")
        fleet.start("g0", "gateway", os.path.join(fleet.dir, "g0.json"))
        assert peers
        wait_for("the successor", lambda: fleet.log("g1").count(
            "members: new name=g0") > before)
        line = [l for l in fleet.log("g1").splitlines()
                if "members: new name=g0" in l][-1]
        told = "announced" if ended == signal.SIGTERM else "unannounced"
        assert f"before={told}" in line and "incarnation=" in line
        assert ("failed signal=%d" % ended in fleet.log("g0")) == \
            (ended == signal.SIGABRT)
    finally:
        fleet.stop()


def handles_reload(process):
    """Whether SIGHUP has a handler."""
    with open("/proc/%d/status" % process.pid, encoding="utf-8") as f:
        caught = next(l for l in f if l.startswith("SigCgt:")).split()[1]
    return bool(int(caught, 16) >> (signal.SIGHUP - 1) & 1)


def test_a_reload_finds_a_handler_once_a_process_listens(fleet):
    """Else it ends the process. Looked at in the moment of the first answer."""
    fleet.procs["g0"].send_signal(signal.SIGTERM)
    fleet.procs["g0"].wait(10)
    host, port = fleet.gateways[0]["callers"].rsplit(":", 1)
    for _ in range(20):
        fleet.start("g0", "gateway", os.path.join(fleet.dir, "g0.json"))
        process = fleet.procs["g0"]
        while True:
            try:
                socket.create_connection((host, int(port))).close()
                break
            except ConnectionRefusedError:
                pass
        assert handles_reload(process)
        process.kill()
        process.wait()
