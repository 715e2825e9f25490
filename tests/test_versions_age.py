"""How long ago a version was named, as each process believes.

A version's bound runs from its naming. Who takes one for younger than it is
sends calls to engines with older weights behind the bound.
"""
import json
import re
import signal
import time
from datetime import datetime

from bench import wait_for
from fleet import MODEL, Fleet
from gen import fleet_pb2
from peer import Peer, hello
from silent_link import SilentLink

CLOCK_MS = 100  # a loop reads its clock once a turn; the log another one


def name_version(f, version):
    f.store.put("keyed.op", f"version/{MODEL}",
                {"model": MODEL, "version": version})
    return time.time()


def age_and_truth(f, name, version, put):
    """Age in ms with which a process took a version, and the true one."""
    pattern = r"(\S+) .*named model=m1 version=%d age_ms=(\d+)" % version
    found = wait_for("the version", lambda: re.search(
        pattern, f.log(name)), 12)
    when = datetime.fromisoformat(found.group(1) + "+00:00").timestamp()
    return int(found.group(2)), (when - put) * 1000


def end_of(f):
    return len(f.store.records("keyed.op"))


def tell(peers, seconds, **load):
    """Heartbeats of 'peers' for so long."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for p in peers:
            p.send(load=fleet_pb2.Load(whole=True, **load))
            p.frames_for(0.001)
        time.sleep(0.1)


def check(*courses):
    """Each returns the age believed, the true one, and how much it may be
    overrated for want of knowing better."""
    ages = {c.__name__: c() for c in courses}
    assert not {name: a for name, a in ages.items()
                if not a[1] - CLOCK_MS <= a[0] <= a[1] + a[2]}


def a_gateway_whose_readers_are_silent():
    """Heard, but their reading of the operator's records waits in vain."""
    with Fleet(plain=0) as f:
        f.wait_ready()
        readers = [Peer(f.peers[0], hello(f"reader{i}", "gateway"))
                   for i in range(12)]
        reading = {"reads_engines": True, "engines_age_ms": 10,
                   "control_offset": end_of(f)}
        tell(readers, 2.5, **reading)
        assert "heard from other gateways" in f.log("g0")
        put = name_version(f, 2)
        tell(readers, 1.5, **reading)
        assert "named model=m1 version=2" not in f.log("g0")
        age, truth = age_and_truth(f, "g0", 2, put)
        for r in readers:
            r.conn.close()
    return age, truth, 4500  # knows no better than since its rest began


def a_gateway_whose_readers_died():
    with Fleet(gateways=3, plain=0) as f:
        f.wait_ready()
        names = [f"g{i}" for i in range(3)]
        rest = "heard from other gateways"
        wait_for("one to rest", lambda: any(rest in f.log(n) for n in names))
        [rested] = [n for n in names if rest in f.log(n)]
        time.sleep(4)  # so long that the rest alone would say much more
        for n in names:
            if n != rested:
                f.procs[n].kill()
        put = name_version(f, 2)
        age, truth = age_and_truth(f, rested, 2, put)
    return age, truth, 2500  # their last answer, and a read that waited


def a_sidecar_that_rested():
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
        age, truth = age_and_truth(f, "s0", 2, put)
    return age, truth, 4500


def test_what_a_reading_finds_after_a_rest_is_not_new():
    """Seen: age 0 for versions named seconds before, whenever a reading that
    had rested went on: it had been answered before the rest, so what it found
    passed for what a read that waits brings at once."""
    check(a_gateway_whose_readers_are_silent, a_gateway_whose_readers_died,
          a_sidecar_that_rested)


def cut_off(others_read):
    with Fleet(gateways=0, plain=0) as f:
        link = SilentLink(f.store.address)
        f.add_gateways(1, {"store": link.address, "operator_wait_ms": 100})
        f.wait_ready()
        other = Peer(f.peers[0], hello("other", "gateway"))
        reads = {"reads_engines": True, "engines_age_ms": 10}
        tell([other], 0.5, **reads)
        link.take_down()
        put = name_version(f, 2)
        if not others_read:
            other.conn.close()
        tell([other] if others_read else [], 4, **reads)
        link.bring_up()
        age, truth = age_and_truth(f, "g0", 2, put)
        other.conn.close()
        link.close()
    return age, truth, 400  # a read that waited, and a try


def cut_off_while_others_read():
    return cut_off(True)


def cut_off_and_hears_nobody():
    return cut_off(False)


def test_an_outage_of_our_own_is_none_of_the_store():
    """Seen: 0.9 s at most (2.8 s as set on sites) for a version named at the
    start of an outage that only this gateway had. The bound ran on meanwhile,
    for others read the store; one that hears no other cannot know."""
    check(cut_off_while_others_read, cut_off_and_hears_nobody)


def test_an_outage_that_others_had_too_is_one_of_the_store():
    """No bound runs meanwhile: see test_gateway, no bound runs."""
    with Fleet(gateways=0, plain=0) as f:
        f.add_gateways(1, {"operator_wait_ms": 100})
        f.wait_ready()
        other = Peer(f.peers[0], hello("other", "gateway"))
        tell([other], 0.5, reads_engines=True, engines_age_ms=10)
        f.store.take_down()
        name_version(f, 2)
        tell([other], 3, reads_engines=False)
        f.store.bring_up()
        # it may be the first to find the store back
        tell([other], 0.2, reads_engines=True, engines_age_ms=0)
        age, _ = age_and_truth(f, "g0", 2, 0)
        assert age <= 100 + 800
        other.conn.close()


def stood_still(stopped_s):
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
        age, truth = age_and_truth(f, "g0", 2, put)
    return age, truth, 2500  # since its last answer


def stood_still_for_a_moment():
    return stood_still(1.5)


def stood_still_for_long():
    return stood_still(5)


def test_who_stood_still_does_not_take_what_came_meanwhile_for_new():
    """Seen: age 0 for a version named while the process stood still for less
    than a read may take (2.8 s), 2.8 s at most when it stood for longer."""
    check(stood_still_for_a_moment, stood_still_for_long)


def told_while_standing_still(stopped_s=2.0):
    with Fleet(plain=0) as f:
        f.wait_ready()
        end = end_of(f)
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
        age, truth = age_and_truth(f, "g0", 2, put)
        other.conn.close()
    return age, truth, 500


def test_what_was_told_to_one_that_stood_still_is_as_old_as_that():
    """Seen: the age that another gateway had told counted from when it was
    read here, though it had lain in the connection while we stood still."""
    check(told_while_standing_still)


def test_one_that_starts_knows_of_older_versions_too():
    """Seen: a gateway that was started while a version was new let calls begin
    on weights whose bound was long past. The store keeps the newest version
    only; of the one before, which was in force, the gateway knew nothing."""
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


def test_a_bound_begins_anew_after_an_outage_of_the_store():
    """A version is named, and the store is away before its bound. Nobody can be
    expected to have heard of it by then; a gateway that only heard of the store
    by others rests meanwhile, and knows it too. Behind the new bound calls to
    older weights are refused as ever."""
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
            wait_for("the store", lambda n=name: "bounds begin anew"
                     in f.log(n), 4)
        assert time.monotonic() - back < 2.5
        for i in range(3):
            assert f.call("/model/x", f"within{i}", gateway=i)[0] == 200
        time.sleep(4.5)
        ran = len(engine.ran)
        for i in range(3):
            assert f.call("/model/x", f"behind{i}", gateway=i)[0] == 503
        assert len(engine.ran) == ran
