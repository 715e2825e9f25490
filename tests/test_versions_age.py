"""Each process's estimate of how long ago a version was named.

A version's bound runs from the time it is named. A process that underestimates
the age sends calls to engines with older weights after the bound.
"""
import json
import re
import signal
import time
from datetime import datetime

import pytest

from bench import wait_for
from fleet import MODEL, Fleet
from gen import fleet_pb2
from peer import Peer, hello
from silent_link import SilentLink

# The event loop reads its clock once per iteration; the log has its own clock.
CLOCK_MS = 100


def name_version(f, version):
    f.store.put("keyed.op", f"version/{MODEL}",
                {"model": MODEL, "version": version})
    return time.time()


def assigned_and_true_age(f, name, version, put):
    """The age in ms that a process assigned to a version, and the true age."""
    pattern = r"(\S+) .*named model=m1 version=%d age_ms=(\d+)" % version
    found = wait_for("the version", lambda: re.search(
        pattern, f.log(name)), 12)
    when = datetime.fromisoformat(found.group(1) + "+00:00").timestamp()
    return int(found.group(2)), (when - put) * 1000


def end_offset(f):
    return len(f.store.records("keyed.op"))


def send_heartbeats(peers, seconds, **load):
    """Sends heartbeats from 'peers' for 'seconds'."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for p in peers:
            p.send(load=fleet_pb2.Load(whole=True, **load))
            p.frames_for(0.001)
        time.sleep(0.1)


def check(*courses):
    """Each course returns the estimated age, the true age, and by how much the
    estimate may exceed the true age."""
    ages = {c.__name__: c() for c in courses}
    assert not {name: a for name, a in ages.items()
                if not a[1] - CLOCK_MS <= a[0] <= a[1] + a[2]}


def gateway_with_silent_readers():
    """Readers send heartbeats, but no records of the operator."""
    with Fleet(plain=0) as f:
        f.wait_ready()
        readers = [Peer(f.peers[0], hello(f"reader{i}", "gateway"))
                   for i in range(12)]
        reading = {"reads_engines": True, "engines_age_ms": 10,
                   "control_offset": end_offset(f)}
        send_heartbeats(readers, 2.5, **reading)
        assert "heard from other gateways" in f.log("g0")
        put = name_version(f, 2)
        send_heartbeats(readers, 1.5, **reading)
        assert "named model=m1 version=2" not in f.log("g0")
        age, truth = assigned_and_true_age(f, "g0", 2, put)
        for r in readers:
            r.conn.close()
    return age, truth, 4500  # reads have been paused for so long


def gateway_with_killed_readers():
    with Fleet(gateways=3, plain=0) as f:
        f.wait_ready()
        names = [f"g{i}" for i in range(3)]
        rest = "heard from other gateways"
        wait_for("one to rest", lambda: any(rest in f.log(n) for n in names))
        [rested] = [n for n in names if rest in f.log(n)]
        time.sleep(4)  # the paused time alone would give a much greater age
        for n in names:
            if n != rested:
                f.procs[n].kill()
        put = name_version(f, 2)
        age, truth = assigned_and_true_age(f, rested, 2, put)
    return age, truth, 2500  # since the readers' last answer, and a long poll


def sidecar_with_paused_reads():
    with Fleet(plain=0) as f:
        f.wait_ready()
        f.start_sidecar(0, f.add_engine("e0", "engines", MODEL, 1))
        for rested in (1, 2):
            wait_for("a gateway", lambda n=rested: f.log("s0").count(
                "gateway reached name=g0") == n, 10)
            time.sleep(0.5)
            f.procs["g0"].kill()
            f.procs["g0"].wait()
            if rested == 1:
                wait_for("it reads for itself", lambda: "reached "
                         "topic=operator" in f.log("s0"), 10)
                f.start_gateway(0)
                f.gateways.pop()
        put = name_version(f, 2)
        age, truth = assigned_and_true_age(f, "s0", 2, put)
    return age, truth, 4500


def test_records_found_after_paused_reads_are_not_new():
    """A process that resumed paused reads assigned age 0 to versions named
    seconds before: its last read before the pause had been answered, so records
    of the next read passed for those of a long poll."""
    check(gateway_with_silent_readers, gateway_with_killed_readers,
          sidecar_with_paused_reads)


def cut_off(others_read):
    with Fleet(gateways=0, plain=0) as f:
        link = SilentLink(f.store.address)
        f.add_gateways(1, {"store": link.address, "operator_wait_ms": 100})
        f.wait_ready()
        other = Peer(f.peers[0], hello("other", "gateway"))
        reads = {"reads_engines": True, "engines_age_ms": 10}
        send_heartbeats([other], 0.5, **reads)
        link.take_down()
        put = name_version(f, 2)
        if not others_read:
            other.conn.close()
        send_heartbeats([other] if others_read else [], 4, **reads)
        link.bring_up()
        age, truth = assigned_and_true_age(f, "g0", 2, put)
        other.conn.close()
        link.close()
    return age, truth, 400  # one long poll and one retry


def cut_off_while_others_read():
    return cut_off(True)


def cut_off_and_hears_nobody():
    return cut_off(False)


def test_outage_of_one_gateway_is_not_a_store_outage():
    """A gateway that alone lost the store assigned at most 0.9 s (2.8 s with
    the settings of sites) to a version named at the start of the outage. The
    bound ran on, because other gateways read the store. A gateway that hears no
    other cannot tell, and must assume the same."""
    check(cut_off_while_others_read, cut_off_and_hears_nobody)


def test_outage_of_all_gateways_is_a_store_outage():
    """Deadlines of versions do not run in an outage of the store: see
    test_version_deadline_is_paused_while_the_store_is_away in test_gateway.py.
    """
    with Fleet(gateways=0, plain=0) as f:
        f.add_gateways(1, {"operator_wait_ms": 100})
        f.wait_ready()
        other = Peer(f.peers[0], hello("other", "gateway"))
        send_heartbeats([other], 0.5, reads_engines=True, engines_age_ms=10)
        f.store.take_down()
        name_version(f, 2)
        send_heartbeats([other], 3, reads_engines=False)
        f.store.bring_up()
        # g0 may be the first to read the store again
        send_heartbeats([other], 0.2, reads_engines=True, engines_age_ms=0)
        age, _ = assigned_and_true_age(f, "g0", 2, 0)
        assert age <= 100 + 800
        other.conn.close()


def suspended(stopped_s):
    with Fleet(plain=0) as f:
        f.wait_ready()
        time.sleep(0.5)
        reads = f.store.reads["keyed.op"]
        wait_for("a read to begin", lambda: f.store.reads["keyed.op"] > reads)
        f.procs["g0"].send_signal(signal.SIGSTOP)
        time.sleep(0.1)
        put = name_version(f, 2)
        time.sleep(stopped_s)
        f.procs["g0"].send_signal(signal.SIGCONT)
        age, truth = assigned_and_true_age(f, "g0", 2, put)
    return age, truth, 2500  # since the last answer to g0


def suspended_briefly():
    return suspended(1.5)


def suspended_long():
    return suspended(5)


def test_version_named_during_suspension_is_not_new():
    """A version named while the process was suspended got age 0 if the
    suspension was shorter than a read may take (2.8 s), and at most 2.8 s if
    longer."""
    check(suspended_briefly, suspended_long)


HELD_READ_MAX_S = 1.2  # half of the default bounds, and the answer


def stop_behind_a_held_read(f):
    """Stops g0 until the read that it has just sent has ended without a
    record."""
    reads = f.store.reads["keyed.op"]
    wait_for("a read to begin", lambda: f.store.reads["keyed.op"] > reads)
    f.procs["g0"].send_signal(signal.SIGSTOP)
    time.sleep(HELD_READ_MAX_S)


def named_behind_an_empty_read(stopped_s):
    with Fleet(plain=0) as f:
        f.wait_ready()
        time.sleep(0.5)
        stop_behind_a_held_read(f)
        put = name_version(f, 2)
        time.sleep(stopped_s)
        f.procs["g0"].send_signal(signal.SIGCONT)
        age, truth = assigned_and_true_age(f, "g0", 2, put)
    return age, truth, HELD_READ_MAX_S * 1000 + 500  # since it was stopped


def named_behind_an_empty_read_briefly():
    return named_behind_an_empty_read(0.5)


def named_behind_an_empty_read_long():
    return named_behind_an_empty_read(3)


# Guards against an age that is a whole wait too high at all readers: they got a
# record at once, asked again in step, and the next record came just as their held
# reads ended. Sidecars then took a new version for one whose bound is close.
def test_version_named_as_held_reads_end_is_new():
    with Fleet(gateways=2, plain=0) as f:
        f.wait_ready()
        held = []  # (sent, wait in s, offset) of the held reads
        read = f.store.read

        def note(conn, topic, source, wait_ms):
            if topic == "keyed.op" and wait_ms:
                held.append((time.monotonic(), wait_ms / 1000, source))
            read(conn, topic, source, wait_ms)

        f.store.read = note
        time.sleep(5)  # both know by now which gateways read
        for version in (10, 20, 30):
            name_version(f, version)
            end = end_offset(f)
            wait_for("both to read on", lambda e=end: sum(
                h[2] == e for h in held) >= 2, 5)
            reads_end = max(h[0] + h[1] for h in held if h[2] == end)
            time.sleep(max(0, reads_end - 0.03 - time.monotonic()))
            put = name_version(f, version + 1)
            ages = [least_age(f, n, version + 1, put) for n in ("g0", "g1")]
            assert max(ages) < 600, ages


def least_age(f, name, version, put):
    """The age in ms that a process takes a version for after it has heard from
    the others."""
    first, _ = assigned_and_true_age(f, name, version, put)
    time.sleep(0.3)
    log = f.log(name).split("named model=m1 version=%d " % version)[-1]
    return min([first] + [int(age) for age in re.findall(
        r"named later than assumed .* age_ms=(\d+)", log)])


def test_empty_read_handled_after_suspension_is_as_old_as_its_answer():
    """A version named while the process was suspended got age 0 if a read had
    ended without it before: the empty answer was handled at the wake, and
    counted as if the store had given it then."""
    check(named_behind_an_empty_read_briefly, named_behind_an_empty_read_long)


def held_read_is_answered_at_its_end():
    with Fleet(plain=0) as f:
        f.wait_ready()
        time.sleep(0.5)
        f.store.wakes_reads = False
        reads = f.store.reads["keyed.op"]
        wait_for("a read to begin", lambda: f.store.reads["keyed.op"] > reads)
        time.sleep(0.1)
        put = name_version(f, 2)
        age, truth = assigned_and_true_age(f, "g0", 2, put)
    assert truth > 500
    return age, truth, 500


def test_record_of_a_late_held_read_is_not_new():
    """A version got age 0 if the store answered the held read late: the record
    was taken for what had ended the wait, though it was the wait that had
    ended."""
    check(held_read_is_answered_at_its_end)


def test_suspended_reader_does_not_serve_older_version_behind_the_bound():
    """A gateway that was suspended around the naming of a version sent calls to
    engines with the older one for as long behind the bound as it had stood
    still: it held the version for younger than it was."""
    with Fleet(plain=0, version_ms=5000) as f:
        f.wait_ready()
        engine = f.add_engine("e0", "engines", MODEL, 1)
        f.start_sidecar(0, engine)
        wait_for("the engine", lambda: "told engine=e0 version=1"
                 in f.log("g0"))
        f.origin.take_down()  # the engine stays on the old weights
        stop_behind_a_held_read(f)
        put = name_version(f, 2)
        time.sleep(2)
        f.procs["g0"].send_signal(signal.SIGCONT)
        wait_for("the version", lambda: "version=2" in f.log("g0"))
        time.sleep(max(0, put + 5.1 - time.time()))
        ran = len(engine.ran)
        answers = []
        while time.time() < put + 6.5:
            answers.append(f.call("/model/x", f"behind{len(answers)}")[0])
            time.sleep(0.1)
        assert set(answers) == {503}
        assert len(engine.ran) == ran


def test_suspension_is_no_outage_of_the_store():
    """Bounds restarted at a gateway that was suspended while it had just lost
    its readers: it took the time that it had not run for an outage."""
    with Fleet(plain=0, version_ms=30000) as f:
        f.wait_ready()
        name_version(f, 2)
        wait_for("the version", lambda: "version=2" in f.log("g0"))
        readers = [Peer(f.peers[0], hello(f"reader{i}", "gateway"))
                   for i in range(12)]
        reading = {"reads_engines": True, "engines_age_ms": 10,
                   "control_offset": end_offset(f)}
        send_heartbeats(readers, 2.5, **reading)
        assert "heard from other gateways" in f.log("g0")
        lines = f.log("g0").count("too few readers")
        for r in readers:
            r.send(load=fleet_pb2.Load(whole=True))
        wait_for("the loss", lambda: f.log("g0").count("too few readers")
                 > lines)
        f.procs["g0"].send_signal(signal.SIGSTOP)
        assert "read from the store" not in f.log("g0").rsplit(
            "too few readers", 1)[1]
        time.sleep(3.5)
        send_heartbeats(readers, 0.2, **reading)
        f.procs["g0"].send_signal(signal.SIGCONT)
        send_heartbeats(readers, 1, **reading)
        assert "version bounds restarted" not in f.log("g0")
        assert f.metrics()["quayring_bounds_restarted_total"] == 0
        for r in readers:
            r.conn.close()


def record_sent_during_suspension(stopped_s=2.0):
    with Fleet(plain=0) as f:
        f.wait_ready()
        end = end_offset(f)
        other = Peer(f.peers[0], hello("other", "gateway"))
        other.frames_for(0.5)
        f.procs["g0"].send_signal(signal.SIGSTOP)
        put = time.time()
        value = json.dumps({"model": MODEL, "version": 2}).encode()
        other.send(records=fleet_pb2.Records(end=end + 1, records=[
            fleet_pb2.Record(key=f"version/{MODEL}", value=value, offset=end,
                             age_ms=0)]))
        time.sleep(stopped_s)
        f.procs["g0"].send_signal(signal.SIGCONT)
        age, truth = assigned_and_true_age(f, "g0", 2, put)
        other.conn.close()
    return age, truth, 500


def record_sent_during_short_suspension():
    return record_sent_during_suspension(0.36)


def test_record_received_after_suspension_includes_waiting_time():
    """The age in another gateway's message counted from when the message was
    read, though the message had waited in the connection while the receiver was
    suspended."""
    check(record_sent_during_suspension, record_sent_during_short_suspension)


def delay_bodies(store, topic, seconds, least_bytes=0, begun=None):
    """The last byte of each answer to a read of 'topic' comes 'seconds' after
    the others. 'begun' is called before that."""
    plain = type(store).read

    class Slow:
        def __init__(self, conn):
            self.conn = conn

        def sendall(self, data):
            if len(data) < least_bytes:
                return self.conn.sendall(data)
            self.conn.sendall(data[:-1])
            if begun:
                begun()
            time.sleep(seconds)
            return self.conn.sendall(data[-1:])

    def read(conn, read_topic, source, wait_ms):
        plain(store, Slow(conn) if read_topic == topic else conn, read_topic,
              source, wait_ms)
    store.read = read


def test_version_named_while_an_answer_arrives_is_not_new():
    """The answer to a held read brings another record, and its body takes long
    to arrive. A version that was named after the store had given that answer
    was held for as much younger, and calls began on the older one behind its
    bound."""
    with Fleet(gateways=0, plain=0, version_ms=5000) as f:
        f.add_gateways(1, {"config_apply_ms": 3000, "drain_ms": 3000})
        f.wait_ready()
        engine = f.add_engine("e0", "engines", MODEL, 1)
        f.start_sidecar(0, engine)
        wait_for("the engine", lambda: "told engine=e0 version=1"
                 in f.log("g0"))
        f.origin.take_down()  # the engine stays on the old weights
        named = []
        delay_bodies(f.store, "keyed.op", 1.8, 4000, lambda: named or
                     named.append(name_version(f, 2)))
        reads = f.store.reads["keyed.op"]
        wait_for("two reads", lambda: f.store.reads["keyed.op"] > reads + 1)
        f.store.put("keyed.op", "other/x", {"pad": "x" * 8000})
        wait_for("the naming", lambda: named)
        age, truth = assigned_and_true_age(f, "g0", 2, named[0])
        assert age >= truth - CLOCK_MS
        time.sleep(max(0, named[0] + 5.1 - time.time()))
        ran = len(engine.ran)
        answers = []
        while time.time() < named[0] + 6.5:
            answers.append(f.call("/model/x", f"behind{len(answers)}")[0])
            time.sleep(0.1)
        assert set(answers) == {503}
        assert len(engine.ran) == ran


def test_answers_that_arrive_slowly_are_no_outage():
    """The store answers all along, but the bodies of its answers take a second
    to arrive. Dated by their requests they are too old to be fresh: the gateway
    took the store for away, and restarted the bounds of versions."""
    with Fleet(plain=0, version_ms=30000) as f:
        f.wait_ready()
        name_version(f, 2)
        wait_for("the version", lambda: "version=2" in f.log("g0"))
        time.sleep(3)
        delay_bodies(f.store, "keyed.servers", 1.0)
        time.sleep(6)
        del f.store.read
        time.sleep(2)
        assert f.metrics()["quayring_bounds_restarted_total"] == 0


def test_version_in_force_stays_in_force():
    """A gateway that was told a lesser age of a version behind its bound let
    calls begin on the older one again."""
    with Fleet(plain=0, version_ms=2000) as f:
        f.wait_ready()
        engine = f.add_engine("e0", "engines", MODEL, 1)
        f.start_sidecar(0, engine)
        wait_for("the engine", lambda: "told engine=e0 version=1"
                 in f.log("g0"))
        f.origin.take_down()  # the engine stays on the old weights
        name_version(f, 2)
        wait_for("the bound", lambda: "in force model=m1 version=2"
                 in f.log("g0"), 5)
        other = Peer(f.peers[0], hello("other", "gateway"))
        other.frames_for(0.5)
        end = end_offset(f)
        value = json.dumps({"model": MODEL, "version": 2}).encode()
        other.send(records=fleet_pb2.Records(end=end, records=[
            fleet_pb2.Record(key=f"version/{MODEL}", value=value,
                             offset=end - 1, age_ms=0)]))
        other.frames_for(0.3)
        ran = len(engine.ran)
        assert [f.call("/model/x", f"x{i}")[0] for i in range(5)] == [503] * 5
        assert len(engine.ran) == ran
        other.conn.close()


def test_unknown_age_gives_way_to_a_known_one():
    """A gateway that started behind the naming of a version takes it for long
    in force, until another one tells its age: calls then run on older weights
    until the bound."""
    with Fleet(gateways=0, plain=0, version_ms=20000) as f:
        name_version(f, 2)
        f.origin.take_down()  # the engine stays on the old weights
        f.add_gateways(1)
        f.wait_ready()
        f.start_sidecar(0, f.add_engine("e0", "engines", MODEL, 1))
        wait_for("the engine", lambda: "told engine=e0 version=1"
                 in f.log("g0"))
        assert f.call("/model/x", "unknown")[0] == 503
        end = end_offset(f)
        other = Peer(f.peers[0], hello("other", "gateway"))
        other.frames_for(0.3)
        value = json.dumps({"model": MODEL, "version": 2}).encode()
        other.send(records=fleet_pb2.Records(end=end, records=[
            fleet_pb2.Record(key=f"version/{MODEL}", value=value,
                             offset=end - 1, age_ms=700)]))
        wait_for("the age", lambda: "named later than assumed" in f.log("g0"))
        assert f.call("/model/x", "known")[0] == 200
        other.conn.close()


@pytest.mark.parametrize("silent,up", [(1.2, 0.6), (1.5, 0.4)])
def test_outage_of_a_reader_that_others_replace_is_no_store_outage(silent, up):
    """The only reader loses the store, a version is named, another gateway
    begins to read behind the last try of the first, and the first gets through
    again: it took the version for new, though the store was never away."""
    with Fleet(gateways=0, plain=0) as f:
        link = SilentLink(f.store.address)
        f.add_gateways(1, {"store": link.address, "operator_wait_ms": 100})
        f.wait_ready()
        other = Peer(f.peers[0], hello("other", "gateway"))
        send_heartbeats([other], 0.5, reads_engines=False)
        link.take_down()
        put = name_version(f, 2)
        send_heartbeats([other], silent, reads_engines=False)
        send_heartbeats([other], up, reads_engines=True, engines_age_ms=10)
        link.bring_up()
        send_heartbeats([other], 1.5, reads_engines=True, engines_age_ms=10)
        age, truth = assigned_and_true_age(f, "g0", 2, put)
        other.conn.close()
        link.close()
    assert age >= truth - CLOCK_MS


def test_answer_of_a_peer_is_as_old_as_the_request():
    """A gateway asks another for a record, and the answer is on its way for
    0.8 s: the age that it states counted from its arrival."""
    with Fleet(plain=0) as f:
        f.wait_ready()
        end = end_offset(f)
        other = Peer(f.peers[0], hello("other", "gateway"))
        other.frames_for(0.5)
        put = time.time()
        other.send(load=fleet_pb2.Load(whole=True, control_offset=end + 1,
                                       policy_version=1, weights_revision=2))
        wait_for("the request", lambda: any(
            frame.WhichOneof("body") == "fetch"
            for frame in other.frames_for(0.05)), 2)
        age_ms = int((time.time() - put) * 1000)
        time.sleep(0.8)
        value = json.dumps({"model": MODEL, "version": 2}).encode()
        other.send(records=fleet_pb2.Records(end=end + 1, records=[
            fleet_pb2.Record(key=f"version/{MODEL}", value=value, offset=end,
                             age_ms=age_ms)]))
        age, truth = assigned_and_true_age(f, "g0", 2, put)
        other.conn.close()
    assert age >= truth - CLOCK_MS


def sidecar_told_during_suspension():
    with Fleet(plain=0) as f:
        f.wait_ready()
        f.start_sidecar(0, f.add_engine("e0", "engines", MODEL, 1))
        wait_for("a gateway", lambda: "gateway reached name=g0" in f.log("s0"))
        time.sleep(0.5)
        f.procs["s0"].send_signal(signal.SIGSTOP)
        put = name_version(f, 2)
        time.sleep(2)
        f.procs["s0"].send_signal(signal.SIGCONT)
        age, truth = assigned_and_true_age(f, "s0", 2, put)
    return age, truth, 500


def test_record_that_a_suspended_sidecar_was_told_includes_waiting_time():
    """A sidecar took a version that it was told while it was suspended for new,
    and switched its engine as late behind the version's bound."""
    check(sidecar_told_during_suspension)


def test_starting_gateway_learns_of_older_versions():
    """A gateway started just after a version was named let calls begin on
    weights whose bound was long past. The store keeps the newest version only,
    and the
    gateway did not know the version before, which was in force."""
    with Fleet(plain=0, version_ms=3000) as f:
        f.wait_ready()
        engine = f.add_engine("e0", "engines", MODEL, 1)
        f.start_sidecar(0, engine)
        wait_for("the engine", lambda: "told engine=e0 version=1"
                 in f.log("g0"))
        f.origin.take_down()  # the engine stays on the old weights
        name_version(f, 2)
        time.sleep(3.2)
        assert f.call("/model/x", "known")[0] == 503
        name_version(f, 3)
        wait_for("the version", lambda: "version=3" in f.log("g0"))
        f.add_gateways(1)
        wait_for("the engine", lambda: "told engine=e0 version=1"
                 in f.log("g1"))
        wait_for("it is ready", lambda: f.ready(1))
        assert f.call("/model/x", "started", gateway=1)[0] == 503
        assert engine.ran == []


def test_bound_restarts_after_store_outage():
    """The store goes away before the bound of a named version. The bound must
    restart when the store is back, because other processes may not have learned
    of the version; this includes gateways whose own reads are paused. After the
    new bound, calls on older weights are refused."""
    with Fleet(gateways=3, plain=0, version_ms=4000) as f:
        f.wait_ready()
        engine = f.add_engine("e0", "engines", MODEL, 1)
        f.start_sidecar(0, engine)
        for name in ("g0", "g1", "g2"):
            wait_for("the engine", lambda n=name: "told engine=e0 version=1"
                     in f.log(n))
        f.origin.take_down()  # the engine stays on the old weights
        name_version(f, 2)
        for name in ("g0", "g1", "g2"):
            wait_for("the version", lambda n=name: "version=2" in f.log(n))
        f.store.take_down()
        time.sleep(7)
        back = time.monotonic()
        f.store.bring_up()
        for name in ("g0", "g1", "g2"):
            wait_for("the store", lambda n=name: "version bounds restarted"
                     in f.log(n), 4)
        assert time.monotonic() - back < 2.5
        for i in range(3):
            assert f.call("/model/x", f"within{i}", gateway=i)[0] == 200
        time.sleep(4.5)
        ran = len(engine.ran)
        for i in range(3):
            assert f.call("/model/x", f"behind{i}", gateway=i)[0] == 503
        assert len(engine.ran) == ran
