"""Open connections go silent for good, while new ones work.

Seen: a third of the usual calls were answered to the end of the day, most
engines stood idle while gateways refused calls for want of room; on such days
calls also began on weights that were no longer in force.

Course: each gateway hears the load of another on the connection that it has
dialled, and writes nothing there. When that went silent nothing was left
unacknowledged, so no timer of the kernel ran; the other side's close did not
come through either. What had been told last stood for good: all places taken.
Kept connections to engines and to the store were handed request after request,
each of which waited for its own time-out.

Cause: only the writing side of a connection could find out that it was dead,
and what had been heard on it had no age at which it stops to count.

Proof: the age of the load that choices rested on grew with the clock after the
silence, and places were full in every refusal while engines turned nobody away.
"""
import http.client
import json
import signal
import socket
import threading
import time

from bench import wait_for
from fleet import MODEL, Fleet, policy
from gen import fleet_pb2
from peer import Peer, hello
from silent_link import SilentLink
from standin_platform import events, send_chunk, start_stream, stream_from

HEARTBEAT_S = 0.1
NOTICED_S = 3.0  # a connection that went silent is known by then to be dead


class Gateway:
    """A gateway of the test's own. It is dialled, greets, and says with every
    heartbeat what it has open, on connections that did not go silent."""

    def __init__(self, name, greets, frames):
        self.listener = socket.create_server(("127.0.0.1", 0))
        port = self.listener.getsockname()[1]
        self.hello = hello(name, "gateway", address="127.0.0.1:%d" % port)
        self.frames = frames  # a function: frames to send at a heartbeat
        self.dialled = 0      # connections that greeted us
        self.silenced = 0     # the first so many of them say nothing more
        self.ended = False
        self.conns = []
        threading.Thread(target=self.accept, daemon=True).start()
        self.out = Peer(greets, self.hello)

    def accept(self):
        while True:
            try:
                conn, _ = self.listener.accept()
            except OSError:
                return
            self.conns.append(conn)
            threading.Thread(target=self.serve, args=(conn,),
                             daemon=True).start()

    def serve(self, conn):
        peer = Peer.__new__(Peer)
        peer.conn = conn
        try:
            assert peer.frame().HasField("hello")
            self.dialled += 1
            number = self.dialled
            peer.send(hello=self.hello)
            while not self.ended:
                if number <= self.silenced:
                    peer.frames_for(HEARTBEAT_S)  # is heard, not answered
                    continue
                for body in self.frames():
                    peer.send(**body)
                for frame in peer.frames_for(HEARTBEAT_S):
                    if frame.HasField("probe") and not frame.probe.answer:
                        peer.send(probe=fleet_pb2.Probe(answer=True))
        except (OSError, AssertionError):
            pass

    def silence(self):
        """What is open now says nothing more."""
        self.silenced = self.dialled

    def close(self):
        self.ended = True
        self.listener.close()
        for conn in self.conns + [self.out.conn]:
            conn.close()


def load(engine, opened):
    rows = [fleet_pb2.EngineLoad(engine=engine, open=opened)] if opened else []
    return {"load": fleet_pb2.Load(engines=rows, whole=True, gateways=2)}


def wait_for_room(f, room, ident):
    """Until calls get room at the engine, or get none any more."""
    n = [0]

    def asked():
        n[0] += 1
        status, _, _ = f.call("/unsafe/x", f"{ident}-{n[0]}")
        return (status == 200) == room
    return asked


def test_load_is_forgotten_when_its_connection_goes_silent():
    with Fleet(plain=1) as f:
        f.wait_ready()
        opened = [f.plain[0].slots]
        other = Gateway("other", f.peers[0],
                        lambda: [load(f.plain[0].id, opened[0])])
        wait_for("no room", wait_for_room(f, False, "before"), 5)
        other.silence()
        opened[0] = 0
        wait_for("room again", wait_for_room(f, True, "after"), NOTICED_S)
        other.close()


def test_load_is_heard_again_on_a_new_connection():
    with Fleet(plain=1) as f:
        f.wait_ready()
        opened = [0]
        other = Gateway("other", f.peers[0],
                        lambda: [load(f.plain[0].id, opened[0])])
        wait_for("the other to be dialled", lambda: other.dialled == 1, 5)
        assert f.call("/unsafe/x", "before")[0] == 200
        other.silence()
        opened[0] = f.plain[0].slots
        wait_for("no room", wait_for_room(f, False, "after"), NOTICED_S)
        assert other.dialled == 2
        # one that rests between its words is not dialled again and again
        time.sleep(2.0)
        assert other.dialled == 2
        other.close()


def test_a_quiet_peer_that_answers_keeps_its_connection():
    with Fleet(plain=0) as f:
        f.wait_ready()
        quiet = Gateway("quiet", f.peers[0], lambda: [])
        wait_for("the other to be dialled", lambda: quiet.dialled == 1, 5)
        time.sleep(4.0)
        assert quiet.dialled == 1
        quiet.close()


def test_load_that_is_told_no_more_is_forgotten():
    """Its connection is well, and answers."""
    with Fleet(plain=1) as f:
        f.wait_ready()
        words = [load(f.plain[0].id, f.plain[0].slots)]
        other = Gateway("other", f.peers[0], lambda: words)
        wait_for("no room", wait_for_room(f, False, "before"), 5)
        words.clear()
        wait_for("room again", wait_for_room(f, True, "after"), NOTICED_S)
        assert other.dialled == 1
        other.close()


def test_a_peer_that_stood_still_keeps_its_connection():
    """It answers on the old connection and on the second one at once."""
    with Fleet(gateways=2, plain=0) as f:
        f.wait_ready()
        time.sleep(1.0)
        for _ in range(4):
            f.procs["g1"].send_signal(signal.SIGSTOP)
            time.sleep(1.2)
            f.procs["g1"].send_signal(signal.SIGCONT)
            time.sleep(0.6)
        assert f.log("g0").count("peers: doubted") >= 3
        assert "peers: replaced" not in f.log("g0")


def version_record(version, offset):
    value = json.dumps({"model": MODEL, "version": version}).encode()
    return fleet_pb2.Record(key=f"version/{MODEL}", value=value,
                            offset=offset, age_ms=0)


def test_a_sidecar_hears_of_a_version_though_its_gateway_went_silent():
    """It knew a version named in a silence only behind the version's bound,
    and its engine went on with the old weights."""
    with Fleet(gateways=0, plain=0) as f:
        listener = socket.create_server(("127.0.0.1", 0))
        f.peers = ["127.0.0.1:%d" % listener.getsockname()[1]]
        engine = f.add_engine("e0", "engines", MODEL, 1)
        f.start_sidecar(0, engine)
        conn, _ = listener.accept()
        first = Peer.__new__(Peer)
        first.conn = conn
        greeting = hello("only", "gateway", address=f.peers[0])
        first.send(hello=greeting)
        wait_for("the sidecar to follow", lambda: any(
            frame.HasField("hello") and frame.hello.follow
            for frame in first.frames_for(0.2)), 5)
        listener.settimeout(NOTICED_S)
        again, _ = listener.accept()  # the first one says nothing more
        second = Peer.__new__(Peer)
        second.conn = again
        second.send(hello=greeting)
        wait_for("the sidecar to follow anew", lambda: any(
            frame.HasField("hello") and frame.hello.follow
            for frame in second.frames_for(0.2)), NOTICED_S)
        for sock in (conn, again, listener):
            sock.close()


def fill_pool(f, link, count):
    """Leaves 'count' kept connections, by calls that are open at once."""
    threads = [threading.Thread(target=f.call, args=("/safe/x", f"fill-{i}"))
               for i in range(count)]
    for t in threads:
        t.start()
    for t in threads:
        t.join()
    assert link.accepted >= 2


def answers(f, count):
    """(status, seconds) of so many calls at once."""
    took = []

    def one(i):
        begun = time.monotonic()
        status, _, _ = f.call("/safe/x", f"after-{i}")
        took.append((status, time.monotonic() - begun))

    threads = [threading.Thread(target=one, args=(i,)) for i in range(count)]
    for t in threads:
        t.start()
    for t in threads:
        t.join()
    return took


def slow_work(engine, conn, request):
    time.sleep(0.1)
    return engine.work(conn, request)


def test_kept_connections_to_an_engine_are_not_used_once_one_was_mute():
    """Each of them was handed a call, which waited for its own time-out."""
    with Fleet(plain=2) as f:
        links = [SilentLink(e.address) for e in f.plain]
        for engine, link in zip(f.plain, links):
            engine.behave = slow_work
            record = engine.record() | {"address": link.address}
            f.store.put("keyed.servers", engine.id, record)
        f.wait_ready()
        wait_for("engines behind links",
                 lambda: f.log("g0").count("engine=p") >= 2)
        fill_pool(f, links[0], 8)
        for link in links:
            link.silence()
        begun = time.monotonic()
        f.call("/safe/x", "first")  # finds out
        assert time.monotonic() - begun < 3
        took = answers(f, 6)
        assert [status for status, _ in took] == [200] * 6, took
        assert max(seconds for _, seconds in took) < 1.0, took
        for link in links:
            link.close()


STREAM_EVENTS = 30
EVENT_S = 0.05


def long_stream(engine, conn, request):
    start_stream(engine, conn, request)
    for i in range(stream_from(request), STREAM_EVENTS):
        send_chunk(conn, events(i, i))
        time.sleep(EVENT_S)
    conn.sendall(b"0\r\n\r\n")
    return True


def test_answers_that_all_stop_at_once_go_on_elsewhere():
    """Calls that nobody heard any more held every place, so that none of them
    could go on and no other was let in, until their callers gave up."""
    with Fleet(gateways=0, plain=2) as f:
        links = [SilentLink(e.address) for e in f.plain]
        for engine, link in zip(f.plain, links):
            engine.behave = long_stream
            record = engine.record() | {"address": link.address}
            f.store.put("keyed.servers", engine.id, record)
        f.add_gateways(1, {"retry_allowance": 10000})
        f.wait_ready()
        whole = events(0, STREAM_EVENTS - 1)
        got = []

        def stream(i):
            try:
                got.append(f.call("/stream/x", f"s-{i}", deadline=8000)[2])
            except (OSError, http.client.HTTPException) as cut:
                got.append(cut)

        places = sum(e.slots for e in f.plain)
        threads = [threading.Thread(target=stream, args=(i,))
                   for i in range(places)]
        for t in threads:
            t.start()
        wait_for("all places to be taken",
                 lambda: sum(len(e.ran) for e in f.plain) == places, 5)
        time.sleep(4 * EVENT_S)
        for link in links:
            link.silence()
        for t in threads:
            t.join()
        assert got == [whole] * places, [g for g in got if g != whole]
        for link in links:
            link.close()


PAUSE_S = 0.7


def stream_with_a_pause(engine, conn, request):
    start_stream(engine, conn, request)
    for i in range(STREAM_EVENTS):
        if i == STREAM_EVENTS // 2:
            time.sleep(PAUSE_S)
        send_chunk(conn, events(i, i))
        time.sleep(EVENT_S)
    conn.sendall(b"0\r\n\r\n")
    return True


class PausingStreams:
    """Streams at two engines that all pause at the same moment and go on: what
    looks like a silence is none."""

    def __init__(self, f, count):
        self.got = []
        for engine in f.plain:
            engine.behave = stream_with_a_pause
        self.threads = [threading.Thread(target=self.one, args=(f, i))
                        for i in range(count)]
        for t in self.threads:
            t.start()

    def one(self, f, i):
        self.got.append(f.call("/stream/x", f"p-{i}", deadline=8000)[2])

    def join(self):
        for t in self.threads:
            t.join()


def test_answers_that_pause_and_go_on_are_left_alone():
    """Nothing may be sent again here (no retry is allowed). Taken for dead,
    their places were given away for good, and engines got more than they take;
    a moment later they were cut, though they flowed."""
    with Fleet(gateways=0, plain=2) as f:
        f.add_gateways(1, {"retry_allowance": 0, "retry_ratio": 0.0})
        f.wait_ready()
        streams = PausingStreams(f, 8)
        wait_for("all to run", lambda: sum(len(e.ran) for e in f.plain) == 8, 5)
        wait_for("the pause", lambda: "mute address=all" in f.log("g0"), 3)
        time.sleep(PAUSE_S - 0.2)
        # they flow again, and hold their places
        assert f.call("/stream/x", "one-more", deadline=500)[0] == 503
        streams.join()
        assert streams.got == [events(0, STREAM_EVENTS - 1)] * 8
        assert sum(len(e.ran) for e in f.plain) == 8


def test_a_call_is_cut_before_a_bound_whatever_its_connection_says():
    """A call that waits at its engine is cut 0.9 s before the bound of a newer
    version. One whose connection had been taken for dead was left there, and
    would have begun on the old weights behind the bound."""
    with Fleet(gateways=0, plain=2, version_ms=4000) as f:
        engine = f.add_engine("e0", "engines", MODEL, 1)
        f.store.put("keyed.op", "config",
                    policy(2, f.origin.address, timeout_ms=9000))
        f.add_gateways(1, {"retry_allowance": 0, "retry_ratio": 0.0})
        f.wait_ready()
        f.start_sidecar(0, engine)
        wait_for("the engine", lambda: "told engine=e0 version=1"
                 in f.log("g0"))
        assert f.call("/model/x", "before")[0] == 200  # leaves a connection
        held = threading.Event()
        engine.behave = lambda *_: held.wait(20) and False
        f.origin.take_down()  # the engine stays on the old weights
        f.store.put("keyed.op", f"version/{MODEL}",
                    {"model": MODEL, "version": 2})
        named = time.monotonic()
        time.sleep(0.3)
        streams = PausingStreams(f, 8)
        status, _, _ = f.call("/model/x", "queued", deadline=9000)
        took = time.monotonic() - named
        held.set()
        streams.join()
        assert "mute address=all" in f.log("g0")
        assert status in (502, 504) and 2.8 < took < 3.6, (status, took)


def test_a_silent_connection_to_the_store_costs_one_read():
    with Fleet(gateways=0, plain=0) as f:
        link = SilentLink(f.store.address)
        f.add_gateways(1, {"store": link.address})
        f.wait_ready()
        time.sleep(0.5)
        link.silence()
        f.store.put("keyed.op", f"version/{MODEL}",
                    {"model": MODEL, "version": 2})
        # one read that waits (2 s) and is given up (0.8 s), then a new one
        wait_for("the version", lambda: "named model=m1 version=2"
                 in f.log("g0"), 4.0)
        link.close()


def test_a_sidecar_reaches_its_engine_again_on_a_new_connection():
    """Each of its kept connections waited for a report in vain; gateways took
    the engine for unreachable meanwhile."""
    with Fleet(plain=0) as f:
        f.wait_ready()
        engine = f.add_engine("e0", "engines", MODEL, 1)
        link = SilentLink(engine.address)
        engine.address = link.address
        f.store.put("keyed.servers", engine.id, engine.record())
        f.start_sidecar(0, engine)
        f.store.put("keyed.op", f"version/{MODEL}",
                    {"model": MODEL, "version": 2})
        # pieces are put and read back over several connections at once
        wait_for("the new version", lambda:
                 "told engine=e0 version=2" in f.log("g0"), 10)
        assert link.accepted >= 4
        link.silence()
        wait_for("the sidecar to miss it", lambda:
                 "reports reachable=0" in f.log("s0"), 3)
        wait_for("the sidecar to reach it again", lambda:
                 f.log("s0").rindex("reports reachable=1") >
                 f.log("s0").rindex("reports reachable=0"), 1.2)
        link.close()


class Readers:
    """Gateways that read the store for the one under test, which rests its
    reading, and that know of one record more than it does."""

    def __init__(self, f):
        self.known = len(f.store.records("keyed.op"))
        changed = len(f.store.records("keyed.servers"))

        def words():
            return [{"load": fleet_pb2.Load(
                whole=True, gateways=3, control_offset=self.known,
                reads_engines=True, engines_changed=changed)}]

        # so many that two of them come before it in the order of readers
        self.all = [Gateway(f"reader{i}", f.peers[0], words) for i in range(9)]
        wait_for("the gateway to let its reading rest", lambda:
                 "heard from other gateways" in f.log("g0"), 8)

    def name_version(self, f):
        f.store.put("keyed.op", f"version/{MODEL}",
                    {"model": MODEL, "version": 2})
        self.known += 1
        wait_for("the version", lambda: "named model=m1 version=2"
                 in f.log("g0"), 3)

    def close(self):
        for r in self.all:
            r.close()


def test_who_is_behind_and_has_nobody_to_ask_reads_the_store():
    """A gateway let its reading rest, as two others read. It heard from them
    that a version had been named; the connections on which it asks had gone. It
    knew the version 7 s later, when an engine had changed."""
    with Fleet(plain=0) as f:
        f.wait_ready()
        readers = Readers(f)
        for r in readers.all:
            r.out.conn.close()
        time.sleep(0.3)
        readers.name_version(f)
        assert "asked=-" in f.log("g0")
        readers.close()


def test_who_is_behind_and_asks_in_vain_reads_the_store():
    with Fleet(plain=0) as f:
        f.wait_ready()
        readers = Readers(f)
        readers.name_version(f)
        assert "asked=reader" in f.log("g0")
        readers.close()


def is_closed(peer, within):
    """Whether the other side closes the connection; what comes is read."""
    end = time.monotonic() + within
    while time.monotonic() < end:
        peer.conn.settimeout(0.05)
        try:
            if not peer.conn.recv(65536):
                return True
        except TimeoutError:
            pass
    return False


def test_a_connection_that_its_dialler_replaced_is_dead_to_both():
    """The dialler replaces a mute connection by a new one and closes it, which
    does not come through. What was accepted then stayed open for good: it kept
    a descriptor, and questions were asked on it in vain."""
    with Fleet() as f:
        f.wait_ready()
        told = hello("again", "gateway")
        first = Peer(f.peers[0], told)
        wait_for("the greeting", lambda: "name=again" in f.log("g0"))
        assert not is_closed(first, 0.6)  # and is quiet for so long
        second = Peer(f.peers[0], told)
        assert is_closed(first, 1)
        wait_for("the line", lambda: "superseded" in f.log("g0"))
        # one that speaks may be alive: its dialler decides
        second.send(probe=fleet_pb2.Probe(answer=True))
        third = Peer(f.peers[0], told)
        assert not is_closed(second, 0.2)
        for peer in (first, second, third):
            peer.conn.close()
