"""A store that comes back without its last records and gives their offsets out
again: what is written there since is in force, and nothing older comes back."""
import signal
import time

import pytest

from bench import wait_for
from crashing import CRASHES, CrashingFleet
from fleet import ROUTES, Fleet, policy

AWAY_S = 0.5
LOST = 4            # records of each topic
APPLY_S = 2.0       # for a configuration, and for an engine that leaves
USED_S = 4.0        # for an engine that is new
WATCH_S = 4.0
ROUTE = {"name": "added", "path-prefix": "/added/", "route-type": "safe",
         "service": "ledger", "max-attempts": 2}


def put_config(f, version, routes=ROUTES):
    f.store.put("keyed.op", "config",
                policy(version, f.origin.address, routes))


def put_engine(f, engine, state="ready", **more):
    f.store.put("keyed.servers", engine.id, engine.record(state) | more)


def write_what_will_be_lost(f):
    """So many records of each topic; in the end all is as before."""
    for i in range(LOST):
        put_config(f, 2 + i)
        put_engine(f, f.plain[1], "ready" if i % 2 else "draining")


def drill(f, lost=None):
    """The store is away for a moment and comes back without its last."""
    f.store.take_down()
    time.sleep(AWAY_S)
    f.store.go_back(lost or {"keyed.op": LOST, "keyed.servers": LOST})
    f.store.bring_up()


def wait_in_force(f, version):
    for g in range(len(f.gateways)):
        wait_for("version %d" % version, lambda g=g: (
            "in force version=%d " % version in f.log("g%d" % g)), 3)


def wait_readers(f):
    """Two gateways read the store, the others hear of it from them."""
    wait_for("two to read", lambda: sum(
        "heard from other gateways" in f.log("g%d" % g)
        for g in range(len(f.gateways))) == len(f.gateways) - 2, 8)


def wait_served(f, path, seconds):
    """Until each gateway serves it."""
    end = time.monotonic() + seconds
    lack = list(range(len(f.gateways)))
    while lack and time.monotonic() < end:
        lack = [g for g in lack if f.call(path, "w%d" % g, gateway=g)[0] != 200]
        time.sleep(0.02)
    assert not lack, "not served by gateways %s" % lack


def write_again(f, written):
    """A configuration with one more route; an engine that leaves; a new one;
    then others that say nothing new, until so many of each are written."""
    put_config(f, 20, ROUTES + [ROUTE])
    put_engine(f, f.plain[0], "draining")
    new = f.add_engine("new", "ledger")
    for i in range(1, written):
        put_config(f, 20 + i, ROUTES + [ROUTE])
    for i in range(2, written):
        put_engine(f, f.plain[1], slots=20 + i)
    return new


class Callers:
    """Calls of each gateway by turns, for so long; when each came to be."""

    def __init__(self, f, new, seconds):
        self.bad, self.late, self.at_new = [], [], set()
        n, start, calls = len(f.gateways), time.monotonic(), 0
        while time.monotonic() < start + seconds:
            for g in range(n):
                calls += 1
                sent = time.monotonic() - start
                status, _, _ = f.call("/safe/x", "c%d" % calls, gateway=g)
                if status != 200:
                    self.bad.append((g, status, sent))
                self.note(f, new, g, sent)

    def note(self, f, new, gateway, sent):
        if new.seen:
            self.at_new.update(r.headers["x-attempt-id"] for r in new.seen)
        leaving = f.plain[0]
        if sent > APPLY_S and leaving.seen:
            self.late.append((gateway, sent))
        leaving.seen.clear()


ROWS = [
    pytest.param(5, LOST, 0.0, 1, id="as_many"),
    pytest.param(5, LOST + 3, 0.0, 1, id="more"),
    pytest.param(5, LOST - 1, 0.0, 1, id="fewer"),
    pytest.param(5, LOST, 1.5, 1, id="nothing_for_a_while"),
    pytest.param(5, LOST, 0.0, 2, id="twice"),
    pytest.param(16, LOST, 0.0, 1, id="many_gateways"),
]


def after_a_drill(f, written, wait_s, times):
    f.wait_ready()
    wait_readers(f)
    for turn in range(times):
        write_what_will_be_lost(f)
        if turn == 0:
            wait_in_force(f, 1 + LOST)
        time.sleep(2)  # engines' changes are read once a second
        drill(f)
        time.sleep(wait_s)
    return write_again(f, written)


# Offsets that were given out again: records there were taken for old ones.
@pytest.mark.parametrize("gateways, written, wait_s, times", ROWS)
def test_a_configuration_of_after_is_in_force(gateways, written, wait_s, times):
    with Fleet(gateways=gateways, plain=3) as f:
        after_a_drill(f, written, wait_s, times)
        wait_served(f, "/added/x", APPLY_S)


# The same of engines: one that had said that it leaves went on getting calls.
@pytest.mark.parametrize("gateways, written, wait_s, times", ROWS)
def test_an_engine_that_leaves_after_is_spared(gateways, written, wait_s,
                                               times):
    with Fleet(gateways=gateways, plain=3) as f:
        new = after_a_drill(f, written, wait_s, times)
        callers = Callers(f, new, WATCH_S)
        assert not callers.late
        assert callers.at_new
        assert not callers.bad


# A listing that ends before the offset to be read next: all was listed again
# without a pause, as often as the store answered.
def test_a_store_that_has_gone_back_is_asked_no_more_often():
    with Fleet(gateways=5, plain=3) as f:
        after_a_drill(f, 1, 0.0, 1)
        time.sleep(1.5)
        before, gone = f.store.calls, f.store.gone
        time.sleep(2.0)
        # two readers: a read each second, one that waits, and some to spare
        assert f.store.calls - before <= 20
        assert f.store.gone == gone


def revoke_and_add(f, version):
    """Another key, and one more route: what the store is about to lose."""
    config = policy(version, f.origin.address, ROUTES + [ROUTE])
    config["tenants"][0]["api-keys"] = ["key-2"]
    f.store.put("keyed.op", "config", config)


def start_again(f, gateways):
    for g in gateways:
        f.start("g%d" % g, "gateway", "%s/g%d.json" % (f.dir, g))


# A gateway that starts reads the copy: it went by it, and took back a route and
# a key, though the others knew of newer ones.
def test_one_that_starts_is_told_what_the_store_has_lost():
    with Fleet(gateways=3, plain=3) as f:
        f.wait_ready()
        wait_readers(f)
        revoke_and_add(f, 5)
        wait_in_force(f, 5)
        drill(f, {"keyed.op": 1})
        f.procs["g0"].kill()
        f.procs["g0"].wait(10)
        start_again(f, [0])
        wait_for("it to start", f.ready)
        wait_for("it to be told", lambda: "in force version=5 " in
                 f.log("g0").split("started")[-1], APPLY_S)
        for g in range(3):
            assert f.call("/added/x", "a%d" % g, gateway=g,
                          key="key-2")[0] == 200
            assert f.call("/safe/x", "o%d" % g, gateway=g)[0] == 401
        # what is written again is no news, and what is new is
        revoke_and_add(f, 5)
        put_config(f, 6)
        wait_in_force(f, 6)


# The copy is of before an engine left: its record there brought it back.
def test_an_engine_that_left_before_stays_so():
    with Fleet(gateways=5, plain=3) as f:
        f.wait_ready()
        wait_readers(f)
        put_engine(f, f.plain[0], "draining")
        f.store.put("keyed.servers", f.plain[1].id, None)
        for g in range(5):
            wait_for("all to know", lambda g=g: (
                "gone engine=p1" in f.log("g%d" % g) and
                "draining engine=p0" in f.log("g%d" % g)), 4)
        drill(f, {"keyed.servers": 2})
        for engine in f.plain:
            engine.seen.clear()
        end, n = time.monotonic() + WATCH_S, 0
        while time.monotonic() < end:
            for g in range(5):
                n += 1
                assert f.call("/safe/x", "c%d" % n, gateway=g)[0] == 200
        assert not f.plain[0].seen and not f.plain[1].seen


# Once a new epoch has settled the store is right: an engine that was known to
# have gone, and stands there still, is used, also by those that do not read.
def test_an_engine_that_is_back_is_used_at_last():
    with Fleet(gateways=4, plain=2) as f:
        f.wait_ready()
        wait_readers(f)
        f.store.put("keyed.servers", f.plain[0].id, None)
        for g in range(4):
            wait_for("all to know", lambda g=g: (
                "gone engine=p0" in f.log("g%d" % g)), 4)
        drill(f, {"keyed.servers": 1})
        put_engine(f, f.plain[1], "draining")  # what all have seen lies behind
        wait_for("all to use it", lambda: all(
            " back engine=p0" in f.log("g%d" % g) or
            f.log("g%d" % g).count(" new engine=p0") > 1
            for g in range(4)), 9)


def freeze(f, gateways, on):
    for g in gateways:
        f.procs["g%d" % g].send_signal(signal.SIGSTOP if on
                                       else signal.SIGCONT)


# As above, of a store that names no epochs: only a listing can tell.
def test_a_store_without_epochs_that_has_gone_back():
    with Fleet(gateways=5, plain=3) as f:
        f.store.epoch = None
        f.wait_ready()
        wait_readers(f)
        write_what_will_be_lost(f)
        wait_in_force(f, 1 + LOST)
        drill(f)
        put_config(f, 20, ROUTES + [ROUTE])
        wait_served(f, "/added/x", APPLY_S)
        time.sleep(1.5)
        before, gone = f.store.calls, f.store.gone
        time.sleep(2.0)
        assert f.store.calls - before <= 20
        assert f.store.gone == gone


# Gateways that were not there, stood still or do not reach the store.
@pytest.mark.parametrize("course", ["killed", "frozen", "no_store"])
def test_gateways_in_trouble_meanwhile_know_as_well(course):
    few = [0, 1]
    with Fleet(gateways=5, plain=3,
               dark_stores=few if course == "no_store" else ()) as f:
        f.wait_ready()
        wait_readers(f)
        write_what_will_be_lost(f)
        wait_in_force(f, 1 + LOST)
        time.sleep(2)
        if course == "killed":
            for g in few:
                f.procs["g%d" % g].kill()
                f.procs["g%d" % g].wait(10)
        if course == "frozen":
            freeze(f, few, True)
        drill(f)
        if course == "killed":
            start_again(f, few)
        if course == "frozen":
            freeze(f, few, False)
        time.sleep(1.0)  # for those in trouble to be in touch
        new = write_again(f, LOST)
        callers = Callers(f, new, WATCH_S)
        assert not callers.late and not callers.bad and callers.at_new
        wait_served(f, "/added/x", 0.5)


# Requests that are held back were known to the store before: gateways that start
# later would let them crash engines again.
def test_requests_that_are_held_back_are_stored_again():
    topic = "keyed.quayring-held"
    with CrashingFleet(3, 8) as f:
        def stored():
            return f.metrics(0) is not None and "\n".join(
                f.log("g%d" % g) for g in range(3)).count("requests: stored")

        def refused():
            f.call("/safe/x", "again-%f" % time.monotonic(), body=CRASHES)
            return " read held" in f.log("g0") or stored()
        wait_for("it to be held back", refused, 8)
        time.sleep(1.0)
        rows = len(f.store.records(topic))
        assert rows > 0
        drill(f, {topic: rows})
        wait_for("it to be stored again", lambda: f.store.records(topic), 6)
        time.sleep(6.5)  # the turns of the gateways that did not see the end
        assert len(f.store.records(topic)) == 1


# An answer that names no epoch, or none that can be read, is of the epoch before it.
@pytest.mark.parametrize("epoch", [None, "x"])
def test_answers_without_an_epoch_are_taken(epoch):
    with Fleet(gateways=2, plain=1) as f:
        f.wait_ready()
        f.store.epoch = epoch
        put_config(f, 2)
        wait_in_force(f, 2)
        assert not any("went back" in f.log("g%d" % g) for g in range(2))


# An answer of an earlier epoch than is known is passed over, and asked for again.
def test_an_answer_of_an_earlier_epoch_is_passed_over():
    with Fleet(gateways=2, plain=1) as f:
        f.wait_ready()
        f.store.epoch = 2
        f.store.put("keyed.servers", "p9", f.plain[0].record("draining"))
        wait_for("both to know", lambda: all(
            "store: epoch=2 before=1" in f.log("g%d" % g) for g in range(2)))
        f.store.epoch = 1
        put_config(f, 2)
        time.sleep(1.5)
        calls = f.store.calls
        time.sleep(1.0)
        assert f.store.calls - calls <= 20
        assert not any("in force version=2 " in f.log("g%d" % g)
                       for g in range(2))
        f.store.epoch = 2
        wait_in_force(f, 2)


# Soak, 16 gateways, seed 204: the record of an engine that had ended stayed in the
# copy; once the epoch had settled it ended the one that had its address since.
def test_an_engine_is_not_ended_by_the_one_before_it():
    with Fleet(gateways=4, plain=2) as f:
        f.wait_ready()
        wait_readers(f)
        put_engine(f, f.plain[0], "draining")
        f.store.put("keyed.servers", f.plain[0].id, None)
        f.store.put("keyed.servers", "p0.1", f.plain[0].record())
        for g in range(4):
            wait_for("all to know", lambda g=g: (
                "new engine=p0.1" in f.log("g%d" % g)), 4)
        time.sleep(2.5)  # of the record that went: not a lapse any more
        # p0 stands there again as it was at first, and p0.1 is written again
        drill(f, {"keyed.servers": 3})
        f.store.put("keyed.servers", "p0.1", f.plain[0].record())
        time.sleep(7.5)
        for g in range(4):
            assert "seen=p0 " not in f.log("g%d" % g)
            assert "ready again engine=p0 " not in f.log("g%d" % g)
