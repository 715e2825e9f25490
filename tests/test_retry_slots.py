"""A stream that stalled goes on while its retry still asks for a slot.

The gateway then takes the first engine back. The slot request was left open: its
reply, or its timeout, continued the call as if no engine were answering it, and
a second engine was asked for the same events. Both answers went to one parser,
and the answer that no longer belonged to a call was still delivered after the
call had been freed: the gateway ended with SIGSEGV and lost all calls it had
passed on.

The sidecar here is played by the test, which decides when it replies. The
program before the fix fails the first test below.
"""
import http.client
import signal
import socket
import threading
import time

import pytest

from bench import wait_for
from fleet import HOST, KEY, Fleet, policy
from gen import fleet_pb2
from peer import Peer, hello
from standin_platform import answer, events, send_chunk, start_stream, stream_from

EVENTS = 30
EVENT_S = 0.02
PAUSE_AT = 4      # last event before the pause
ARRIVE_S = 0.01   # for an event to be read at the gateway; a slot request
                  # times out after 60 ms
LIMIT = ("Server-Limit", "5")
END = b"0\r\n\r\n"
REPLIED_S = 0.3   # after the reply has been handled
ASKED_S = 4       # for the keeper's thread to go on
TRIES = 6         # until an engine without a limit gets the first attempt
OTHERS_OPEN = 8   # calls of other gateways at the limited engine, of 16 slots


class SlotKeeper:
    """The sidecar of one engine. 'on_request' gets each request for a slot and
    returns whether the slot is granted, or None for no reply."""

    def __init__(self, fleet, engine, on_request):
        self.engine, self.on_request = engine, on_request
        self.ended = threading.Event()
        self.others_open = 0
        self.peer = Peer(fleet.peers[0], hello(
            "keeper", service=engine.service, reserves_slots=True,
            service_address=engine.address))
        self.peer.conn.settimeout(None)
        self.send_lock = threading.Lock()
        for run in (self.report, self.read):
            threading.Thread(target=run, daemon=True).start()

    def send(self, **body):
        with self.send_lock:
            self.peer.send(**body)

    def report(self):
        try:
            while not self.ended.wait(0.3):
                self.send(engine_state=fleet_pb2.EngineState(
                    engine_address=self.engine.address, name="keeper",
                    reachable=True, others_open=self.others_open))
        except OSError:
            pass  # the gateway has ended

    def read(self):
        try:
            while True:
                frame = self.peer.frame()
                if frame.HasField("slot_request") and frame.slot_request.call:
                    self.answer(frame.slot_request)
        except (OSError, AssertionError):
            pass

    def answer(self, request):
        granted = self.on_request(request)
        if granted is not None:
            self.reply(request.call, granted)

    def reply(self, call, granted):
        self.send(slot_reply=fleet_pb2.SlotReply(
            call=call, granted=granted, paced=granted,
            others_open=self.others_open))

    def close(self):
        self.ended.set()
        self.peer.conn.shutdown(socket.SHUT_RDWR)


class Stall:
    """The first engine that gets the stream pauses, the second one is full, and
    the third one has a rate limit. The first one goes on, or breaks off, as
    soon as a slot at the third one is asked for."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.reply = None        # to the slot request; see SlotKeeper
        self.breaks_off = False  # the first engine does not go on
        self.waits_for_reply = False  # it goes on after the reply
        self.caller = None       # socket that is closed with the slot request
        self.ident = None
        self.first = self.full = None  # engines of this stream
        self.limited_got = []          # attempts that reached the limited one
        self.slot_asked = threading.Event()
        self.went_on = threading.Event()  # the first one, or it broke off
        self.limited = fleet.plain[2]
        for engine in fleet.plain:
            engine.slots = 16
            engine.behave = self.behave
        self.keeper = SlotKeeper(fleet, self.limited, self.slot_requested)

    def behave(self, engine, conn, request):
        ident = request.headers["x-attempt-id"]
        if engine is self.limited:
            self.limited_got.append(ident)
            return self.send_events(engine, conn, request, [LIMIT])
        if ident != self.ident:
            return self.send_events(engine, conn, request)
        if self.first is None:
            self.first = engine
            return self.pause_and_go_on(engine, conn, request)
        self.full = engine
        answer(conn, 503, b"",
               engine.head(request) + [("X-Not-Executed", "1")])
        return True

    def send_events(self, engine, conn, request, extra=()):
        start_stream(engine, conn, request, extra)
        for i in range(stream_from(request), EVENTS):
            send_chunk(conn, events(i, i))
            time.sleep(EVENT_S)
        conn.sendall(END)
        return True

    def pause_and_go_on(self, engine, conn, request):
        start_stream(engine, conn, request)
        for i in range(EVENTS):
            send_chunk(conn, events(i, i))
            if i == PAUSE_AT:
                self.slot_asked.wait(4)
                if self.breaks_off:
                    engine.reset(conn)
                    self.went_on.set()
                    return False
                continue
            if i == PAUSE_AT + 1:
                self.went_on.set()
            time.sleep(EVENT_S)
        conn.sendall(END)
        return True

    def slot_requested(self, request):
        if not self.full:
            return self.first is None  # a first attempt, here or elsewhere
        if self.caller:
            self.caller.shutdown(socket.SHUT_RDWR)
        if self.waits_for_reply:
            threading.Timer(REPLIED_S, self.slot_asked.set).start()
            return self.reply
        self.slot_asked.set()
        self.went_on.wait(4)
        time.sleep(ARRIVE_S)
        return self.reply

    def call(self, ident):
        try:
            return self.fleet.call("/stream/x", ident, deadline=6000)
        except (OSError, http.client.HTTPException) as e:
            return 0, {}, e

    def play(self):
        """Calls until an engine without a limit gets the first attempt; returns
        the status and body of that call."""
        for n in range(TRIES):
            self.ident = "stalls-%d" % n
            status, _, body = self.call(self.ident)
            if self.first:
                return status, body
        raise AssertionError("the limited engine got each first attempt")


def stream_request(ident):
    return (f"POST /stream/x HTTP/1.1\r\nHost: {HOST}\r\nApi-Key: {KEY}\r\n"
            f"X-Attempt-Id: {ident}\r\nX-Deadline-Ms: 6000\r\n"
            "Connection: close\r\nContent-Length: 0\r\n\r\n").encode()


@pytest.fixture
def stall():
    with Fleet(gateways=0, plain=3) as f:
        f.add_gateways(1, {"retry_allowance": 1000})
        f.store.put("keyed.op", "config",
                    policy(2, f.origin.address, timeout_ms=8000))
        f.wait_ready()
        wait_for("the routes", lambda: "in force version=2" in f.log("g0"))
        s = Stall(f)
        try:
            wait_for("the sidecar", lambda: "told engine=p2" in f.log("g0"))
            n = 0
            while "stated limit=5.000" not in f.log("g0"):
                n += 1
                assert n < 60, "the limited engine got no call"
                s.call("learn-%d" % n)
            s.limited_got.clear()
            s.keeper.others_open = OTHERS_OPEN
            yield s
            assert s.call("after")[0] == 200  # the gateway still runs
        finally:
            s.keeper.close()


# Guards against a slot request that stays open when the first engine goes on.
@pytest.mark.parametrize("reply", [True, False, None],
                         ids=["granted", "denied", "unanswered"])
def test_stream_that_goes_on_ends_slot_request_of_its_retry(stall, reply):
    stall.reply = reply
    status, body = stall.play()
    assert stall.slot_asked.is_set(), stall.fleet.log("g0")[-3000:]
    assert (status, body) == (200, events(0, EVENTS - 1))
    assert stall.ident not in stall.limited_got
    log = stall.fleet.log("g0")
    assert "back id=%s" % stall.ident in log
    assert "slot_request_dropped=1" in log
    assert "rest waits id=%s" % stall.ident not in log


# Guards against cancelling the first engine when no slot is granted.
def test_denied_slot_takes_the_first_engine_back(stall):
    stall.reply, stall.waits_for_reply = False, True
    status, body = stall.play()
    assert stall.slot_asked.is_set(), stall.fleet.log("g0")[-3000:]
    assert (status, body) == (200, events(0, EVENTS - 1))
    assert "why=no slot for the retry" in stall.fleet.log("g0")


# Guards against dropping the slot request together with the first engine: the
# third one is then the only one that can send the rest.
def test_stream_whose_first_engine_breaks_off_uses_granted_slot(stall):
    stall.reply, stall.breaks_off = True, True
    status, body = stall.play()
    assert stall.slot_asked.is_set(), stall.fleet.log("g0")[-3000:]
    assert (status, body) == (200, events(0, EVENTS - 1))
    assert stall.ident in stall.limited_got


# Guards against a slot request that outlives its caller.
def test_slot_granted_after_the_caller_left_is_not_used(stall):
    stall.reply = True
    host, port = stall.fleet.gateways[0]["callers"].split(":")
    for n in range(TRIES):
        stall.ident = "leaves-%d" % n
        with socket.create_connection((host, int(port))) as stall.caller:
            stall.caller.sendall(stream_request(stall.ident))
            while stall.caller.recv(65536):
                pass
        if stall.first:
            break
    # the keeper's thread closes the caller's connection before it sets this
    assert stall.slot_asked.wait(ASKED_S), stall.fleet.log("g0")[-3000:]
    wait_for("the caller's end", lambda: (
        "gone after its answer began id=%s" % stall.ident in
        stall.fleet.log("g0")))
    time.sleep(0.3)
    assert stall.ident not in stall.limited_got


SUSPENDED_S = 2.5  # longer than the lease of a slot


# Guards against using a slot that was granted before the gateway was suspended: the
# coordinator has given it to others since.
def test_slot_granted_before_a_suspension_is_asked_for_again():
    with Fleet(gateways=1, plain=1) as f:
        f.wait_ready()
        asked, arrived = [], []

        def on_request(request):
            asked.append(request.call)
            if len(asked) == 1:
                f.procs["g0"].send_signal(signal.SIGSTOP)
                threading.Timer(SUSPENDED_S, f.procs["g0"].send_signal,
                                [signal.SIGCONT]).start()
            return True

        def behave(engine, conn, request):
            arrived.append(len(asked))
            return engine.work(conn, request)

        f.plain[0].behave = behave
        keeper = SlotKeeper(f, f.plain[0], on_request)
        try:
            wait_for("the sidecar", lambda: "told engine=p0" in f.log("g0"))
            assert f.call("/safe/x", "c1", deadline=6000)[0] == 200
            assert arrived == [2]
        finally:
            keeper.close()
