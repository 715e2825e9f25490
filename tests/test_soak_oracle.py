"""The oracle of the soak, on a short history written by hand: what is in order
passes, and each fault in it is reported by the check of that promise."""
import pytest

import soak_oracle
from rig import Watch
from soak_ends import Callers
from soak_oracle import CHECKS, MUTANTS, History, check, mutated


def call_and_run(h, ident, kind, at, gateway=0, engine="p0", version=0):
    """A call that is served; returns it and its run."""
    stream = kind in soak_oracle.STREAMS
    call = {"id": ident, "kind": kind, "gateway": gateway, "at": at,
            "path": f"/{kind}/x", "sent": "s" + ident, "ended": at + 0.05,
            "status": 200, "signature": "sig-" + engine,
            "answer": "a" + ident, "events": [0, 1, 2] if stream else None,
            "foreign": 0, "gave_up": None, "error": None}
    run = {"id": ident, "at": at + 0.01, "engine": engine, "ran": True,
           "service": soak_oracle.SERVICE.get(kind, "ledger"),
           "version": version, "path": call["path"], "method": "POST",
           "tenant": soak_oracle.TEAM, "sent": call["sent"],
           "ended": at + 0.04, "left": None, "whole": True,
           "answer": call["answer"], "events": 3 if stream else 0,
           "limit": None, "leaves": False, "rest": None,
           "told": at + (0.01 if stream else 0.04)}
    h.calls.append(call)
    h.arrivals.append(run)
    return call, run


def probe(h, version, at, status, gateway=0):
    ident = "probe-%d" % (len(h.probes) + 1)
    path = f"/conf-{version}/x"
    h.probes.append({"id": ident, "path": path, "sent": "", "at": at,
                     "version": version, "gateway": gateway,
                     "status": status, "ended": at + 0.01})


@pytest.fixture
def history():
    """Calls of all kinds for 30 s; a fault from 2 to 3; in calm a version, a
    configuration, an engine that leaves and a planned stop."""
    h = History()
    h.troubles.append({"kind": "cut", "target": "store", "at": 2.0,
                       "until": 3.0})
    h.faults_over, h.planned_at, h.callers_end = 3.0, 12.0, 30.0
    h.lives += [{"gateway": g, "at": 0.0} for g in range(2)]
    h.digests = {1: ["a", "b"], 2: ["c", "d"]}
    h.versions += [{"version": 1, "at": 0.0}, {"version": 2, "at": 12.0}]
    h.orders.append({"engine": "m0", "version": 2, "digests": ["c", "d"]})
    h.configs += [{"version": 2, "at": 0.0}, {"version": 3, "at": 13.0}]
    h.leaving.append({"engine": "p1", "at": 14.0})
    h.stops.append({"gateway": 1, "at": 28.0, "exited": 29.0, "code": 0})
    kinds = ["safe", "unsafe", "stream", "once", "model", "order"]
    for i in range(240):
        at = 0.5 + i * 0.12
        on_engines = kinds[i % 6] in soak_oracle.SERVICE
        call_and_run(h, f"c{i}", kinds[i % 6], at,
                     gateway=i % 2 if at < 27 else 0,
                     engine="m0" if on_engines else "p0",
                     version=(2 if at > 14 else 1) if on_engines else 0)
    for i in range(28):
        probe(h, 2, i + 0.3, 200 if i < 13 else 404)
        probe(h, 3, i + 0.6, 200 if i >= 13 else 404)
    for at in (0.5, 2.5, 31.0):
        h.samples.append({"pid": 7, "name": "g0", "at": at,
                          "rss_kb": 11000, "fds": 30})
    return h


def test_a_history_in_order_passes(history):
    assert check(history) == []


@pytest.mark.parametrize("mutant", sorted(MUTANTS))
def test_each_mutant_is_reported(history, mutant):
    names = {name for name, _ in check(mutated(history, mutant))}
    assert MUTANTS[mutant][0] in names


def test_each_check_has_a_mutant():
    assert {name for name, _ in MUTANTS.values()} == set(CHECKS)


def test_bounds_do_not_run_in_trouble(history):
    newest = history.versions[-1]
    _, run = call_and_run(history, "late", "model", newest["at"] + 5,
                          engine="m0", version=1)
    assert [name for name, _ in check(history)] == ["version"]
    history.troubles.append({"kind": "silence", "target": "all",
                             "at": newest["at"] + 1,
                             "until": newest["at"] + 1})
    assert check(history) == []
    run["at"] = newest["at"] + 1 + soak_oracle.CONTACT_S + 4.5
    assert [name for name, _ in check(history)] == ["version"]


def test_a_version_counts_for_gateways_in_touch(history):
    _, run = call_and_run(history, "late", "model", 20.0, engine="m0",
                          version=1)
    history.lives.append({"gateway": 0, "at": 18.0})
    assert check(history) == []
    run["at"] = 18.0 + soak_oracle.CONTACT_S + 0.1
    assert [name for name, _ in check(history)] == ["version"]


def test_what_is_at_work_at_the_end_of_the_grace_may_be_cut(history):
    [stop] = history.stops
    call, run = call_and_run(history, "last", "order", stop["at"] + 0.5,
                             gateway=1, engine="m0", version=2)
    call.update(status=None, error="reset", ended=stop["at"] + 0.9)
    history.logged.append("last")
    assert [name for name, _ in check(history)] == ["stop"]
    run["ended"] = stop["at"] + history.grace_s * 0.9
    assert check(history) == []


def test_a_refused_call_must_not_run_later(history):
    call, run = call_and_run(history, "later", "unsafe", 20.0)
    call.update(status=503, signature=None)
    run["at"] = 25.0
    assert [name for name, _ in check(history)] == ["refused"]
    run["ran"] = False
    assert check(history) == []


def test_a_repeatable_call_may_run_again(history):
    call_and_run(history, "again", "safe", 20.0)
    history.arrivals.append(dict(history.arrivals[-1], engine="p2"))
    assert check(history) == []


def test_a_call_that_is_cut_in_calm_is_lost(history):
    call, _ = call_and_run(history, "cut", "stream", 20.0)
    call["error"] = "ConnectionResetError"
    history.logged.append("cut")
    assert [name for name, _ in check(history)] == ["lost"]
    history.troubles.append({"kind": "kill", "target": "g0", "at": 20.0,
                             "until": 20.5})
    assert check(history) == []


def test_a_call_that_crosses_a_close_is_not_lost(history):
    call, _ = call_and_run(history, "crossed", "safe", 20.0)
    call.update(status=None, error="RemoteDisconnected", ended=20.1)
    history.arrivals.pop()
    assert check(history) == []
    call["ended"] = 20.0 + soak_oracle.LOSS_S + soak_oracle.SLACK_S + 0.1
    assert [name for name, _ in check(history)] == ["lost", "told"]


def test_the_rig_tells_of_its_own_failures(history):
    """A caller's thread that ends by an exception fails the seed."""
    with Watch() as rig:
        callers = Callers(history, [{"no": "address"}], 1, 2)
        callers.stop()
    history.rig += rig.failures
    assert "KeyError" in rig.failures[0]
    assert {name for name, _ in check(history)} == {"rig"}
