"""Streams at an engine that has become slow, and callers that read slowly."""
import socket
import threading
import time

from bench import wait_for
from fleet import HOST, KEY, MODEL, Fleet, policy
from standin_platform import events, send_chunk, start_stream, stream_from

EVENTS = 22
USUAL_S = 0.05
SLOW_S = 0.4
DEADLINE_MS = 4000  # a stream takes 8 s at the slow engine, 1.1 s at others


class Pacing:
    """The behavior of an engine that streams, with a pause that can change."""

    def __init__(self, pause_s=USUAL_S, first_s=0.0):
        self.pause_s, self.first_s = pause_s, first_s
        self.asked = []  # first event of each request
        self.reset_next = False  # breaks the next connection after its head

    def __call__(self, engine, conn, request):
        first = stream_from(request)
        self.asked.append(first)
        time.sleep(self.first_s)
        start_stream(engine, conn, request)
        if self.reset_next:
            self.reset_next = False
            conn.close()
            return False
        for i in range(first, EVENTS):
            send_chunk(conn, events(i, i))
            time.sleep(self.pause_s)
        conn.sendall(b"0\r\n\r\n")
        return True


class SlowFleet(Fleet):
    """One gateway, which has learned the usual pace and length of streams
    before one of the two engines becomes slow."""

    def __init__(self, settings=None):
        super().__init__(gateways=0, plain=2)
        self.add_gateways(1, {"retry_allowance": 1000} | (settings or {}))
        self.paces = [Pacing(), Pacing()]
        for engine, pace in zip(self.plain, self.paces):
            engine.behave = pace
        self.store.put("keyed.op", "config",
                       policy(2, self.origin.address, timeout_ms=20000))
        self.wait_ready()
        wait_for("the routes", lambda: "in force version=2" in self.log("g0"))
        self.stream_all(["learn-%d" % i for i in range(6)], 9000)

    def stream_all(self, idents, deadline, headers=None):
        got = {}

        def one(ident):
            try:
                got[ident] = self.call("/stream/x", ident, deadline=deadline,
                                       headers=headers)[2]
            except OSError as e:
                got[ident] = e
        threads = [threading.Thread(target=one, args=(i,)) for i in idents]
        for t in threads:
            t.start()
        for t in threads:
            t.join()
        return got

    def make_slow(self, i=0):
        self.paces[i].pause_s = SLOW_S


def assert_each_event_once(got):
    for ident, body in got.items():
        assert body == events(0, EVENTS - 1), (ident, body)


# Guards against leaving streams at a slow engine until their deadline.
def test_stream_at_slow_engine_is_resumed_with_each_event_once():
    with SlowFleet() as f:
        f.make_slow()
        got = f.stream_all(["s-%d" % i for i in range(6)], DEADLINE_MS,
                           {"X-Length-Hint": "100"})
        assert_each_event_once(got)
        m = f.metrics()
        assert m["quayring_streams_moved_total"] >= 1
        assert m["quayring_cut_total"] == 0
        assert "call: slow stream moves id=s-" in f.log("g0")


# Guards against moving streams that end in time, which would only cost retries.
def test_slow_stream_that_ends_in_time_is_not_moved():
    with SlowFleet() as f:
        f.make_slow()
        got = f.stream_all(["s-%d" % i for i in range(4)], 15000)
        assert_each_event_once(got)
        assert f.metrics()["quayring_streams_moved_total"] == 0


def test_setting_switches_moves_off():
    with SlowFleet({"move_slow_streams": 0}) as f:
        f.make_slow()
        f.stream_all(["s-%d" % i for i in range(4)], DEADLINE_MS)
        m = f.metrics()
        assert m["quayring_streams_moved_total"] == 0
        assert m["quayring_streams_slow_total"] == 0


# The slow engine sends on while the other one has not begun. Guards against
# events of both runs being mixed, and against losing what the first one sent.
def test_events_sent_during_a_move_are_not_doubled():
    with SlowFleet() as f:
        f.make_slow()
        f.paces[1].first_s = 0.9
        got = f.stream_all(["s-%d" % i for i in range(2)], 6500)
        assert_each_event_once(got)
        assert f.metrics()["quayring_streams_moved_total"] >= 1


def break_remainders(pace):
    """Serves whole streams, and breaks those that are resumed."""
    def behave(engine, conn, request):
        if stream_from(request) == 0:
            return pace(engine, conn, request)
        time.sleep(0.9)
        conn.close()
        return False
    return behave


# The other engine breaks the moved stream after the slow one has sent more
# events: these are held, and must reach the caller when the slow one goes on.
def test_stream_goes_back_if_the_other_engine_breaks():
    with SlowFleet() as f:
        f.make_slow()
        f.plain[1].behave = break_remainders(f.paces[1])
        got = f.stream_all(["s-%d" % i for i in range(4)], 6500)
        m = f.metrics()
        assert m["quayring_streams_moved_total"] >= 1
        assert m["quayring_taken_back_total"] >= 1
        assert m["quayring_cut_total"] == m["quayring_taken_back_total"]
        whole = {i: b for i, b in got.items() if isinstance(b, bytes)}
        assert_each_event_once(whole)
        assert len(whole) == 4 - m["quayring_cut_total"]


# As above, with so much time that the slow engine completes the stream: its
# pauses get shorter again once the stream was moved.
def test_stream_taken_back_has_each_event_once():
    with SlowFleet() as f:
        f.make_slow()
        f.plain[1].behave = break_remainders(f.paces[1])
        recover = threading.Thread(target=recover_when_moved, args=(f,))
        recover.start()
        got = f.stream_all(["s-%d" % i for i in range(4)], 6500)
        recover.join()
        assert_each_event_once(got)
        assert f.metrics()["quayring_taken_back_total"] >= 1


def recover_when_moved(f):
    wait_for("a move", lambda: "slow stream moves" in f.log("g0"), 8)
    f.paces[0].pause_s = 0.15


# The slow engine is killed while the other one has not begun.
def test_slow_engine_killed_during_a_move():
    with SlowFleet() as f:
        f.make_slow()
        f.paces[1].first_s = 0.9
        killed = threading.Thread(target=kill_when_moved, args=(f,))
        killed.start()
        got = f.stream_all(["s-0", "s-1"], 6500)
        killed.join()
        assert_each_event_once(got)
        assert f.metrics()["quayring_streams_moved_total"] >= 1


def kill_when_moved(f):
    wait_for("a move", lambda: "slow stream moves" in f.log("g0"), 8)
    time.sleep(0.2)
    f.plain[0].close()


READERS = 12
LIMIT_MB = 16  # of which 4 MB for unread answers
EVENT_BYTES = 32768


def flood(engine, conn, request):
    start_stream(engine, conn, request)
    try:
        for i in range(200):
            data = b"id: %d\ndata: %s\n\n" % (i, b"x" * EVENT_BYTES)
            send_chunk(conn, data)
            time.sleep(0.02)
        conn.sendall(b"0\r\n\r\n")
    except OSError:
        return False
    return True


def open_reader(f, ident):
    host, port = f.gateways[0]["callers"].split(":")
    s = socket.socket()
    s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    s.connect((host, int(port)))
    s.sendall((f"POST /stream/x HTTP/1.1\r\nHost: {HOST}\r\nApi-Key: {KEY}\r\n"
               f"X-Attempt-Id: {ident}\r\nX-Deadline-Ms: 15000\r\n"
               "Content-Length: 0\r\n\r\n").encode())
    return s


# Guards against callers that read nothing using up the memory of the process:
# each is below the bound of one call, but not all of them together.
def test_unread_answers_are_bounded_in_sum():
    with Fleet(gateways=0, plain=6) as f:
        f.add_gateways(1, {"memory_mb": LIMIT_MB})
        for engine in f.plain:
            engine.behave = flood
        f.store.put("keyed.op", "config",
                    policy(2, f.origin.address, timeout_ms=20000))
        f.wait_ready()
        wait_for("the routes", lambda: "in force version=2" in f.log("g0"))
        readers = [open_reader(f, "r-%d" % i) for i in range(READERS)]
        wait_for("an abort", lambda: (
            f.metrics()["quayring_unread_aborted_total"] > 0), 10)
        log = f.log("g0")
        assert "callers: aborted why=unread answers exceed their memory" in log
        assert f.metrics()["quayring_unread_aborted_total"] < READERS
        for s in readers:
            s.close()


# Guards against a pace that gateways learn late or never: a slow engine was
# then filled like any other.
def test_reported_pace_reaches_gateways_within_a_second():
    with Fleet(plain=0) as f:
        f.wait_ready()
        engine = f.add_engine("m0", "engines", MODEL, 1)
        f.start_sidecar(0, engine)
        wait_for("the sidecar", lambda: "told engine=m0" in f.log("g0"))
        engine.pace = 3.0
        wait_for("the pace", lambda: "told pace=3.00" in f.log("g0"), 1.0)
        engine.pace = float("nan")
        wait_for("the warning", lambda: (
            "reports an invalid pace" in f.log("s0")), 1.0)
        wait_for("the pace", lambda: "told pace=1.00" in f.log("g0"), 1.0)
        assert f.call("/model/x", "c-1")[0] == 200
