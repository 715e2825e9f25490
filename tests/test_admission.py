"""Calls are admitted by a forecast of their duration: one that cannot end before its
deadline is refused at once, and others are not.

Guards against calls that hold a slot until they are cut at their deadline, and against
hints that make a gateway refuse calls which would end in time.
"""
import time

import fleet as fleet_module
from bench import wait_for
from fleet import MODEL, ROUTES, Fleet
from standin_platform import answer, events, send_chunk, start_stream

STEP_MS = 10  # of the engine, so that 500 tokens take 5 s
LEFT_MS = 300


TALK = {"name": "talk", "path-prefix": "/talk/", "route-type": "streaming",
        "service": "engines", "max-attempts": 1}


def slow_policy(version, origin):
    config = fleet_module.policy(version, origin, routes=ROUTES + [TALK])
    for service in config["services"]:
        if service["name"] == "engines":
            service["engine"] |= {"step_ms": STEP_MS, "per_seq_ms": 0.1}
    return config


def answers(engine, conn, request):
    engine.ran.append(request.headers["x-attempt-id"])
    answer(conn, 200, b"done", engine.head(request))
    return True


def start(settings=None):
    f = Fleet(gateways=0, plain=1)
    f.store.put("keyed.op", "config", slow_policy(2, f.origin.address))
    f.add_gateways(1, settings)
    f.wait_ready()
    # a record of the first listing does not show that the engine still runs
    engine = f.add_engine("m0", "engines", MODEL, 1)
    engine.behave = answers
    wait_for("the model's engine to serve", lambda: f.call(
        "/model/x", "warm-%f" % time.monotonic())[0] == 200, 5)
    return f, engine


def ask(f, ident, path="/model/x", usage="100,1000", hint=None,
        deadline=LEFT_MS):
    """(status, seconds) of a call."""
    headers = {"X-Token-Usage": usage}
    if hint is not None:
        headers["X-Length-Hint"] = hint
    began = time.monotonic()
    status, _, _ = f.call(path, ident, headers=headers, deadline=deadline)
    return status, time.monotonic() - began


def test_a_call_that_cannot_end_in_time_is_refused_at_once():
    f, engine = start()
    with f:
        status, took = ask(f, "hopeless", hint="500")
        assert status == 503 and took < 0.1, (status, took)
        assert "hopeless" not in engine.ran
        wait_for("its reason in the log", lambda:
                 "why=cannot end in time" in f.log("g0"), 5)
        assert f.metrics()["quayring_refused_deadline_total"] == 1
        # without a hint, and with one that may be off by a factor of two
        for ident, hint in (("unknown", None), ("perhaps", "50")):
            status, _ = ask(f, ident, hint=hint)
            assert status == 200, (ident, status)
        # services without a model have no forecast
        status, _ = ask(f, "plain", path="/safe/x", hint="500")
        assert status == 200, status


def test_calls_with_bad_hints_are_served():
    f, _ = start()
    with f:
        for i, hint in enumerate(("many", "-500", "0", "99999999999", "5e2")):
            assert ask(f, "bad-%d" % i, hint=hint)[0] == 200, hint
        for i, usage in enumerate(("0,50", "x", ",", "99999999999,5")):
            assert ask(f, "usage-%d" % i, usage=usage)[0] == 200, usage
        assert f.metrics()["quayring_hints_bad_total"] == 9
        wait_for("a line", lambda: "served without a hint" in f.log("g0"), 5)
        lines = f.log("g0").count("served without a hint")
        assert lines <= 4, lines  # one a second


def test_the_setting_switches_it_off():
    f, engine = start({"admission_forecast": 0})
    with f:
        assert ask(f, "hopeless", hint="500")[0] == 200
        assert "hopeless" in engine.ran


def test_a_team_with_false_hints_is_forecast_by_what_its_answers_take():
    """The hints say 5 s, the answers take 10 ms. The gateway learns that from
    the streams that it relays."""
    f, engine = start()

    def talk(_, conn, request):
        start_stream(engine, conn, request)
        send_chunk(conn, events(0, 1))
        time.sleep(0.01)
        send_chunk(conn, events(2, 3))
        conn.sendall(b"0\r\n\r\n")
        return True

    with f:
        engine.behave = talk
        for i in range(80):
            assert ask(f, "first-%d" % i, "/talk/x", hint="500",
                       deadline=6000)[0] == 200
        assert ask(f, "late", "/talk/x", hint="500")[0] == 200
