"""The store is restored from a backup: its last records are lost and their
offsets are assigned again. Records written after that must take effect, and
older records must not."""
import signal
import time

import pytest

from bench import wait_for
from crashing import CRASHES, CrashingFleet
from fleet import ROUTES, Fleet, policy

AWAY_S = 0.5
LOST = 4            # records of each topic
APPLY_S = 2.0       # to apply a configuration or an engine's leaving
USED_S = 4.0        # to use a new engine
WATCH_S = 4.0
ROUTE = {"name": "added", "path-prefix": "/added/", "route-type": "safe",
         "service": "ledger", "max-attempts": 2}


def put_config(f, version, routes=ROUTES):
    f.store.put("keyed.op", "config",
                policy(version, f.origin.address, routes))


def put_engine(f, engine, state="ready", **more):
    f.store.put("keyed.servers", engine.id, engine.record(state) | more)


def write_records_to_lose(f):
    """LOST records of each topic, the last of which restore the first state."""
    for i in range(LOST):
        put_config(f, 2 + i)
        put_engine(f, f.plain[1], "ready" if i % 2 else "draining")


def roll_back(f, lost=None):
    """Stops the store for AWAY_S and restarts it without its last records."""
    f.store.take_down()
    time.sleep(AWAY_S)
    f.store.go_back(lost or {"keyed.op": LOST, "keyed.servers": LOST})
    f.store.bring_up()


def wait_in_force(f, version):
    for g in range(len(f.gateways)):
        wait_for("version %d" % version, lambda g=g: (
            "in force version=%d " % version in f.log("g%d" % g)), 3)


def wait_readers(f):
    """Until two gateways read the store and the others pause their reads."""
    wait_for("two to read", lambda: sum(
        "heard from other gateways" in f.log("g%d" % g)
        for g in range(len(f.gateways))) == len(f.gateways) - 2, 8)


def wait_served(f, path, seconds):
    """Until each gateway serves 'path', within 'seconds'."""
    end = time.monotonic() + seconds
    lack = list(range(len(f.gateways)))
    while lack and time.monotonic() < end:
        lack = [g for g in lack if f.call(path, "w%d" % g, gateway=g)[0] != 200]
        time.sleep(0.02)
    assert not lack, "not served by gateways %s" % lack


def write_new_records(f, written):
    """Writes a configuration with one more route, an engine that leaves and a
    new engine, then 'written' records of each topic that change nothing."""
    put_config(f, 20, ROUTES + [ROUTE])
    put_engine(f, f.plain[0], "draining")
    new = f.add_engine("new", "ledger")
    for i in range(1, written):
        put_config(f, 20 + i, ROUTES + [ROUTE])
    for i in range(2, written):
        put_engine(f, f.plain[1], slots=20 + i)
    return new


class Callers:
    """Calls each gateway in turn for 'seconds'. Collects failed calls, calls
    that reached the leaving engine too late, and calls at the new engine."""

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


def write_after_rollback(f, written, wait_s, times):
    f.wait_ready()
    wait_readers(f)
    for turn in range(times):
        write_records_to_lose(f)
        if turn == 0:
            wait_in_force(f, 1 + LOST)
        time.sleep(2)  # engines' changes are read once a second
        roll_back(f)
        time.sleep(wait_s)
    return write_new_records(f, written)


# A gateway ignored a configuration written after the rollback, because its
# offset had been assigned before.
@pytest.mark.parametrize("gateways, written, wait_s, times", ROWS)
def test_configuration_written_after_rollback_is_applied(
        gateways, written, wait_s, times):
    with Fleet(gateways=gateways, plain=3) as f:
        write_after_rollback(f, written, wait_s, times)
        wait_served(f, "/added/x", APPLY_S)


# An engine whose leaving was written after the rollback still got calls,
# because the offset of that record had been assigned before.
@pytest.mark.parametrize("gateways, written, wait_s, times", ROWS)
def test_engine_leaving_after_rollback_gets_no_calls(
        gateways, written, wait_s, times):
    with Fleet(gateways=gateways, plain=3) as f:
        new = write_after_rollback(f, written, wait_s, times)
        callers = Callers(f, new, WATCH_S)
        assert not callers.late
        assert callers.at_new
        assert not callers.bad


# A listing that ended before the next offset to read made gateways list the
# store again without a pause, as often as it answered.
def test_rollback_does_not_raise_the_read_rate():
    with Fleet(gateways=5, plain=3) as f:
        write_after_rollback(f, 1, 0.0, 1)
        time.sleep(1.5)
        before, gone = f.store.calls, f.store.gone
        time.sleep(2.0)
        # two readers: a read each second and a long poll each, and a margin
        assert f.store.calls - before <= 20
        assert f.store.gone == gone


def put_config_with_new_key(f, version):
    """A configuration with another key and one more route, for the store to
    lose."""
    config = policy(version, f.origin.address, ROUTES + [ROUTE])
    config["tenants"][0]["api-keys"] = ["key-2"]
    f.store.put("keyed.op", "config", config)


def restart_gateways(f, gateways):
    for g in gateways:
        f.start("g%d" % g, "gateway", "%s/g%d.json" % (f.dir, g))


# A gateway that started read the old configuration from the restored store, and
# dropped a route and a key though the other gateways knew newer ones.
def test_starting_gateway_receives_configuration_lost_by_store():
    with Fleet(gateways=3, plain=3) as f:
        f.wait_ready()
        wait_readers(f)
        put_config_with_new_key(f, 5)
        wait_in_force(f, 5)
        roll_back(f, {"keyed.op": 1})
        f.procs["g0"].kill()
        f.procs["g0"].wait(10)
        restart_gateways(f, [0])
        wait_for("it to start", f.ready)
        wait_for("it to be told", lambda: "in force version=5 " in
                 f.log("g0").split("started")[-1], APPLY_S)
        for g in range(3):
            assert f.call("/added/x", "a%d" % g, gateway=g,
                          key="key-2")[0] == 200
            assert f.call("/safe/x", "o%d" % g, gateway=g)[0] == 401
        # the same version again is ignored, a newer one is applied
        put_config_with_new_key(f, 5)
        put_config(f, 6)
        wait_in_force(f, 6)


# The backup was made before an engine left: the engine's record there brought
# the engine back.
def test_engine_that_left_before_rollback_gets_no_calls():
    with Fleet(gateways=5, plain=3) as f:
        f.wait_ready()
        wait_readers(f)
        put_engine(f, f.plain[0], "draining")
        f.store.put("keyed.servers", f.plain[1].id, None)
        for g in range(5):
            wait_for("all to know", lambda g=g: (
                "gone engine=p1" in f.log("g%d" % g) and
                "draining engine=p0" in f.log("g%d" % g)), 4)
        roll_back(f, {"keyed.servers": 2})
        for engine in f.plain:
            engine.seen.clear()
        end, n = time.monotonic() + WATCH_S, 0
        while time.monotonic() < end:
            for g in range(5):
                n += 1
                assert f.call("/safe/x", "c%d" % n, gateway=g)[0] == 200
        assert not f.plain[0].seen and not f.plain[1].seen


def remove_then_restore_engine(f):
    """Removes p0, then restores the store without the removal. Its record lies
    behind the position that all gateways know."""
    f.store.put("keyed.servers", f.plain[0].id, None)
    for g in range(len(f.gateways)):
        wait_for("all to know", lambda g=g: (
            "gone engine=p0" in f.log("g%d" % g)), 4)
    roll_back(f, {"keyed.servers": 1})
    put_engine(f, f.plain[1], "draining")


def wait_restored_engine_is_used(f):
    wait_for("all to use it", lambda: all(
        " back engine=p0" in f.log("g%d" % g) or
        f.log("g%d" % g).count(" new engine=p0") > 1
        for g in range(len(f.gateways))), 9)


# Once the new epoch has settled, the store's records count: an engine that was
# known as gone and still has a record is used, also by gateways that do not
# read the store.
def test_engine_in_restored_store_is_used_after_settling():
    with Fleet(gateways=4, plain=2) as f:
        f.wait_ready()
        wait_readers(f)
        remove_then_restore_engine(f)
        wait_restored_engine_is_used(f)


def freeze(f, gateways, on):
    for g in gateways:
        f.procs["g%d" % g].send_signal(signal.SIGSTOP if on
                                       else signal.SIGCONT)


# Gateways took over reading while the epoch settled, listed the store, and
# paused their reads again. Their listing had ignored the engine, and they then
# ignored its record from a reader as older than that listing.
def test_engine_ignored_by_listing_while_settling_is_used_later():
    with Fleet(gateways=4, plain=2) as f:
        f.wait_ready()
        wait_readers(f)
        readers = [g for g in range(4) if "heard from other gateways" not in
                   f.log("g%d" % g)]
        others = [g for g in range(4) if g not in readers]
        remove_then_restore_engine(f)
        freeze(f, readers, True)
        for g in others:
            wait_for("others to list", lambda g=g: (
                "listed count=2 gone=0 epoch=2" in f.log("g%d" % g)), 4)
        freeze(f, readers, False)
        for g in others:
            wait_for("others to pause", lambda g=g: f.log("g%d" % g).rfind(
                "heard from other") > f.log("g%d" % g).rfind(
                    "listed count=2 gone=0 epoch=2"), 4)
        wait_restored_engine_is_used(f)


# The same with a store that sends no epochs: only a listing shows the rollback.
def test_rollback_of_store_without_epochs():
    with Fleet(gateways=5, plain=3) as f:
        f.store.epoch = None
        f.wait_ready()
        wait_readers(f)
        write_records_to_lose(f)
        wait_in_force(f, 1 + LOST)
        roll_back(f)
        put_config(f, 20, ROUTES + [ROUTE])
        wait_served(f, "/added/x", APPLY_S)
        time.sleep(1.5)
        before, gone = f.store.calls, f.store.gone
        time.sleep(2.0)
        assert f.store.calls - before <= 20
        assert f.store.gone == gone


# Gateways that were killed, suspended or cut off from the store during the
# rollback must apply the same records.
@pytest.mark.parametrize("course", ["killed", "frozen", "no_store"])
def test_gateways_unavailable_during_rollback_catch_up(course):
    few = [0, 1]
    with Fleet(gateways=5, plain=3,
               dark_stores=few if course == "no_store" else ()) as f:
        f.wait_ready()
        wait_readers(f)
        write_records_to_lose(f)
        wait_in_force(f, 1 + LOST)
        time.sleep(2)
        if course == "killed":
            for g in few:
                f.procs["g%d" % g].kill()
                f.procs["g%d" % g].wait(10)
        if course == "frozen":
            freeze(f, few, True)
        roll_back(f)
        if course == "killed":
            restart_gateways(f, few)
        if course == "frozen":
            freeze(f, few, False)
        time.sleep(1.0)  # for these gateways to reconnect
        new = write_new_records(f, LOST)
        callers = Callers(f, new, WATCH_S)
        assert not callers.late and not callers.bad and callers.at_new
        wait_served(f, "/added/x", 0.5)


# The rollback loses the records of requests that crash engines: gateways that
# start later would send such requests to engines again.
def test_held_requests_are_stored_again_after_rollback():
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
        roll_back(f, {topic: rows})
        wait_for("it to be stored again", lambda: f.store.records(topic), 6)
        time.sleep(6.5)  # the turns of the gateways that did not see the crash
        assert len(f.store.records(topic)) == 1


# An answer without an epoch, or with an unreadable one, counts as the epoch of
# the answer before.
@pytest.mark.parametrize("epoch", [None, "x"])
def test_answers_without_valid_epoch_are_accepted(epoch):
    with Fleet(gateways=2, plain=1) as f:
        f.wait_ready()
        f.store.epoch = epoch
        put_config(f, 2)
        wait_in_force(f, 2)
        assert not any("went back" in f.log("g%d" % g) for g in range(2))


# An answer from an earlier epoch than the known one is ignored, and the read is
# repeated.
def test_answer_of_earlier_epoch_is_ignored():
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


# The restored store kept the record of an engine that had ended. Once the epoch
# had settled, that record ended the engine that had taken its address since.
# Seen with 16 gateways, seed 204 of the soak test.
def test_restored_record_does_not_end_later_engine():
    with Fleet(gateways=4, plain=2) as f:
        f.wait_ready()
        wait_readers(f)
        put_engine(f, f.plain[0], "draining")
        f.store.put("keyed.servers", f.plain[0].id, None)
        f.store.put("keyed.servers", "p0.1", f.plain[0].record())
        for g in range(4):
            wait_for("all to know", lambda g=g: (
                "new engine=p0.1" in f.log("g%d" % g)), 4)
        time.sleep(2.5)  # the removed record no longer counts as lapsed
        # the first record of p0 is back, and p0.1 is written again
        roll_back(f, {"keyed.servers": 3})
        f.store.put("keyed.servers", "p0.1", f.plain[0].record())
        time.sleep(7.5)
        for g in range(4):
            assert "seen=p0 " not in f.log("g%d" % g)
            assert "ready again engine=p0 " not in f.log("g%d" % g)
