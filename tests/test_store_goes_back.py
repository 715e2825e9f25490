"""A store that comes back without its last records and gives their offsets out
again: what is written there since is in force, and nothing older comes back."""
import time

import pytest

from bench import wait_for
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


def drill(f, lost=LOST):
    """The store is away for a moment and comes back without its last."""
    f.store.take_down()
    time.sleep(AWAY_S)
    f.store.go_back({"keyed.op": lost, "keyed.servers": lost})
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
