"""A request that crashes engines, sent again and again.

Seen: 35 engines of 12 machines ended within seconds; half of all other calls were
lost meanwhile. A request under which three of them had ended was sent to engines 19
times more.
Course: it ends each engine some 50 ms after it begins there, with all that is at work
beside it. It comes again, at any gateway and under a new id, and is sent to the next
engine; our own retries send it on within a millisecond.
Cause: all that gateways count, they count by a call's id, by engine, or for themselves.
Nobody knew the request again, nor asked what was at work where an engine ended.
Proof: the runs below, on the program as it was; 13 tries in the logs under 13 ids,
none of them answered; of 14 engines that ended 12 had one of them at work.
"""
import json
import subprocess
import threading
import time

import pytest

from bench import BINARY, wait_for
from crashing import CRASHES, CrashingFleet, Run
from standin_platform import answer

SECONDS = 8.0  # three engines end in the first two; 3 s for the word to go round
ENDS_MOST = 8  # three, and what was under way when the first one ended


def check_held_back(run):
    assert len(run.late_runs) <= 3, str(run)
    assert len(run.ends) <= ENDS_MOST, str(run)
    assert run.settled >= 0.95, str(run)
    # who sends it is told at once, and not to come back soon
    assert run.statuses.count(503) > 10 and max(run.retry_after) > 10, str(run)


@pytest.mark.parametrize("returns", ["same", "new"])
def test_it_is_held_back(returns):
    check_held_back(Run(seconds=SECONDS, returns=returns))


def test_it_is_held_back_by_gateways_that_all_were_killed():
    check_held_back(Run(seconds=SECONDS, course="kill_all"))


def test_a_stream_that_had_begun_is_held_back():
    check_held_back(Run(seconds=SECONDS, path="/stream/x"))


def test_a_frequent_request_is_served_though_engines_crash():
    """By themselves, one after the other: whoever is at work there breaks, and
    the one that is always at work nearly always."""
    run = Run(seconds=SECONDS, course="alone")
    assert len(run.ends) >= 8, str(run)
    assert run.same >= 0.99 and run.unique >= 0.99, str(run)
    assert run.held == 0, str(run)


def test_nor_though_they_crash_together():
    """It is at work at all of them, sent on from one to the next as they end."""
    run = Run(seconds=SECONDS, course="herd")
    assert len(run.ends) >= 16 and run.held == 0, str(run)


def send(fleet, ident, gateway=0, body=CRASHES, path="/safe/x"):
    return fleet.call(path, ident, gateway, body=body)[0]


def held_rows(fleet, gateway=0):
    out = subprocess.run([BINARY, "held", "--json", "-e",
                          fleet.gateways[gateway]["metrics"]],
                         capture_output=True, check=True, timeout=10)
    return json.loads(out.stdout)["requests"]


def hold(fleet):
    """Sends it until it is held back."""
    def refused():
        send(fleet, "again-%f" % time.monotonic())
        return [r for r in held_rows(fleet) if r["state"] == "held"]
    return wait_for("it to be held back", refused)


def test_what_is_held_back_can_be_listed_and_lasts():
    with CrashingFleet(3, 8) as fleet:
        row = hold(fleet)[0]
        assert row["times_held"] == 1 and row["tries_in_a_row"] == 0, row
        assert 3 <= row["engines_ended"] <= ENDS_MOST, row
        held = lambda i: [r["request"] for r in held_rows(fleet, i)]  # noqa
        wait_for("all to know", lambda: all(
            held(i) == [row["request"]] for i in range(3)))
        wait_for("the store to know", lambda: held_rows(fleet)[0]["stored"])
        assert fleet.store.appends <= 2  # after two tries, and as it is held
        # one that starts reads it there, though no other runs
        for i in range(3):
            fleet.procs["g%d" % i].kill()
            fleet.procs["g%d" % i].wait(10)
        fleet.again(1)
        wait_for("one to start", lambda: fleet.ready(1))
        wait_for("it to read", lambda: held(1) == [row["request"]])
        begun = len(fleet.began())
        assert send(fleet, "later", 1) == 503 and len(fleet.began()) == begun
        for i in (0, 2):
            fleet.again(i)
        fleet.wait_ready()


def test_three_tries_at_three_gateways_are_three():
    with CrashingFleet(4, 8) as fleet:
        for i in range(3):
            assert send(fleet, "try-%d" % i, i, path="/unsafe/x") == 502
            time.sleep(0.4)  # ends of one cause come closer to one another
        for i in range(4):
            wait_for("gateway %d to hold it back" % i, lambda i=i: [
                r for r in held_rows(fleet, i) if r["state"] == "held"])
            assert send(fleet, "more-%d" % i, i, path="/unsafe/x") == 503
        assert len(fleet.began()) == 3


def test_tries_count_though_all_gateways_are_killed_between_them():
    with CrashingFleet(2, 8) as fleet:
        for i in range(2):
            assert send(fleet, "try-%d" % i, i, path="/unsafe/x") == 502
            time.sleep(0.4)
        wait_for("the store to know", lambda: fleet.store.appends == 1)
        for i in range(2):
            fleet.again(i)
        fleet.wait_ready()
        wait_for("it to be read", lambda: all(
            held_rows(fleet, i) for i in range(2)))
        assert send(fleet, "try-2", path="/unsafe/x") == 502
        wait_for("it to be held back", lambda: [
            r for r in held_rows(fleet, 1) if r["state"] == "held"])
        assert send(fleet, "more", 1, path="/unsafe/x") == 503
        assert len(fleet.began()) == 3


def test_what_is_known_is_written_once():
    """Not by each gateway that was told of it."""
    with CrashingFleet(4, 8) as fleet:
        for i in range(2):
            assert send(fleet, "try-%d" % i, i, path="/unsafe/x") == 502
            time.sleep(0.4)
        wait_for("all to know", lambda: all(
            r["stored"] for i in range(4) for r in held_rows(fleet, i)))
        time.sleep(7)  # others would write after 2 to 6 s
        assert fleet.store.appends == 1


def test_others_of_the_team_and_path_are_served():
    with CrashingFleet(2, 8) as fleet:
        hold(fleet)
        for i in range(20):
            assert send(fleet, "other-%d" % i, i % 2, b"body %d" % i) == 200
        assert send(fleet, "elsewhere", path="/unsafe/x") != 503  # begins


def test_a_broken_connection_is_no_end_of_an_engine():
    """An engine that cuts answers lives: it still takes connections."""
    def cuts(engine, conn, request):
        engine.reset(conn)
        return False

    with CrashingFleet(2, 4) as fleet:
        for engine in fleet.plain:
            engine.behave = cuts
        for i in range(40):
            send(fleet, "cut-%d" % i, i % 2, b"same")
        assert held_rows(fleet) == []
        assert "engine ended" not in fleet.log("g0") + fleet.log("g1")
        assert "requests: connection broke" in fleet.log("g0")
        for engine in fleet.plain:
            engine.behave = None
        # engines that cut answers are left alone for some seconds
        wait_for("an answer", lambda: send(fleet, "b", 0, b"same") == 200)


def test_tries_wait_for_one_another_until_one_is_answered():
    """An engine ends by itself under a request; the next ones like it go to
    one engine first, and once that has answered all are served."""
    first, gate, at_work = threading.Event(), threading.Event(), []

    def waits(engine, conn, request):
        at_work.append(request.headers["x-attempt-id"])
        if not first.is_set():
            first.set()
            engine.crash()
            return False
        gate.wait(5)
        answer(conn, 200, b"done " + request.body, engine.head(request))
        return True

    with CrashingFleet(1, 4) as fleet:
        for engine in fleet.plain:
            engine.behave = waits
        sends = [threading.Thread(target=send, args=(
            fleet, "n%d" % i, 0, b"same")) for i in range(6)]
        sends[0].start()
        wait_for("it to be sent on", lambda: len(at_work) == 2)
        time.sleep(0.3)
        for t in sends[1:]:
            t.start()
        time.sleep(0.05)
        assert len(at_work) == 2
        gate.set()
        for t in sends:
            t.join(10)
        assert send(fleet, "last", 0, b"same") == 200
        assert held_rows(fleet) == []
