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
import signal
import socket
import threading
import time

import pytest

from bench import wait_for
from fleet import Fleet
from rig import readable
from standin_platform import (LINGER_RESET, answer, events, send_chunk,
                              start_stream, stream_from)

EVENTS = 8
PAUSE_S = 2.0   # longer than a gateway waits for a sign of life
END = b"0\r\n\r\n"


@pytest.fixture
def fleet():
    with Fleet() as f:
        f.wait_ready()
        yield f


class Streams:
    """The engines of a service: one is at work on the stream, all others are
    told what to do with the rest of it."""

    def __init__(self, fleet, work, rest):
        self.lock, self.first = threading.Lock(), None
        self.asked = []  # of the others: from which event on
        self.work, self.rest = work, rest
        for engine in fleet.plain:
            engine.behave = self.behave

    def behave(self, engine, conn, request):
        with self.lock:
            self.first = self.first or engine
        if engine is self.first:
            return self.work(engine, conn, request)
        self.asked.append(stream_from(request))
        return self.rest(engine, conn, request)


def is_full(engine, conn, request):
    answer(conn, 503, b"", engine.head(request) + [("X-Not-Executed", "1")])


def goes_on(engine, conn, request):
    start_stream(engine, conn, request)
    send_chunk(conn, events(stream_from(request), EVENTS - 1))
    conn.sendall(END)


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
    assert streams.asked == [2]


def test_once_the_other_has_begun_the_first_is_given_up(fleet):
    left = []

    def falls_silent(engine, conn, request):
        start_stream(engine, conn, request)
        send_chunk(conn, events(0, 1) + events(2, 2)[:7])
        left.append(readable(conn, 5) and time.monotonic())
        return False

    streams = Streams(fleet, falls_silent, goes_on)
    assert call(fleet, "begun") == WHOLE
    ended = time.monotonic()
    assert streams.asked == [2]
    wait_for("the first to be given up", lambda: left)
    assert left[0] and left[0] < ended + 0.3


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


def test_the_rest_waits_for_room(fleet):
    """The engine broke off, and the others are full for a moment."""
    def breaks(engine, conn, request):
        if stream_from(request) > 0:
            return is_full(engine, conn, request)
        start_stream(engine, conn, request)
        send_chunk(conn, events(0, 1))
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        conn.close()
        return False

    def is_full_at_first(engine, conn, request):
        if len(streams.asked) == 1:
            return is_full(engine, conn, request)
        return goes_on(engine, conn, request)

    streams = Streams(fleet, breaks, is_full_at_first)
    assert call(fleet, "room") == WHOLE
    assert streams.asked == [2, 2]
