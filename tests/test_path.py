"""The whole path on real processes: calls, rollouts, faults, stops."""
import json
import signal
import subprocess
import threading
import time

import pytest

from bench import (BINARY, DERWENT, Bench, Caller, answer_fault, ask,
                   wait_for)

ENGINE, PLAIN = "collection-rounds", "supplier-ledger"
FEW = [(ENGINE, "engine", 4), (PLAIN, "plain", 2)]


@pytest.fixture
def bench():
    with Bench(services=FEW) as b:
        b.apply(b.declaration("v1"))
        b.wait_serving("v1", 4)
        yield b


class Stream:
    """Calls of several callers in the background."""

    def __init__(self, bench, callers=4, repeatable=True, stream=True,
                 service=ENGINE, tokens=12, entries=None):
        self.bench = bench
        self.caller = Caller(bench)
        self.end = threading.Event()
        self.entries = entries or list(range(len(bench.entries())))
        self.how = dict(repeatable=repeatable, stream=stream, tokens=tokens)
        self.service = service
        self.threads = [threading.Thread(target=self.run, args=(k,))
                        for k in range(callers)]
        for t in self.threads:
            t.start()

    def run(self, k):
        n = 0
        while not self.end.is_set():
            entry = self.entries[(k + n) % len(self.entries)]
            ticket = None
            try:
                if not self.how["repeatable"]:
                    ticket = self.caller.addresses(entry)["ticket"]
                self.caller.call(self.service, f"s{k}-{n}", "tankers",
                                 entry=entry, ticket=ticket, **self.how)
            except OSError:
                pass
            n += 1

    def results(self):
        return list(self.caller.results)

    def wait_more(self, n):
        have = len(self.caller.results)
        wait_for("more calls",
                 lambda: len(self.caller.results) >= have + n)

    def stop(self):
        self.end.set()
        for t in self.threads:
            t.join()
        return self.caller.results


def check_answers(results, runs):
    """What must hold of every result, whatever happened."""
    for r in results:
        assert r["outcome"] != "cut_passed_as_whole", r
        if r["outcome"] == "answered" and r["service"] == ENGINE:
            assert answer_fault(r) is None, r
        if r["outcome"] == "not_run":
            assert runs.get(r["call_id"], 0) == 0, r
            assert r["retry_after"], r
        if not r["repeatable"]:
            assert runs.get(r["call_id"], 0) <= 1, r


def test_call_and_resend(bench):
    caller = Caller(bench)
    found = caller.addresses(zone=DERWENT["zones"][1])
    assert found["addresses"][0]["availability_zone"] == DERWENT["zones"][1]
    assert found["valid_for_ms"] == 500 and found["revision"] > 0
    for stream in (False, True):
        got = caller.call(ENGINE, f"c-{stream}", "tankers", stream=stream)
        assert got["outcome"] == "answered" and answer_fault(got) is None
    no_ticket = caller.call(PLAIN, "c3", "labs", repeatable=False)
    assert no_ticket["outcome"] == "not_run"
    assert no_ticket["reason"] == "ticket_needed"
    first = caller.call(PLAIN, "c4", "labs", repeatable=False,
                        ticket=found["ticket"])
    for entry in range(3):
        again = caller.call(PLAIN, "c4", "labs", repeatable=False, attempt=2,
                            entry=entry, ticket=found["ticket"])
        assert again["outcome"] == "answered"
        assert again["data"] == first["data"]
    assert bench.runs()["c4"] == 1
    stranger = caller.call(ENGINE, "c5", "nobody")
    assert (stranger["status"], stranger["outcome"]) == (403, "not_run")
    nowhere = caller.call("no-service", "c6", "labs")
    assert (nowhere["status"], nowhere["outcome"]) == (404, "not_run")


def test_bad_requests(bench):
    address = bench.caller_address()
    status, _, body = ask(address, "POST", f"/v1/calls/{ENGINE}", "x",
                          {"X-Priority": "now", "X-Deadline-Ms": "-1"})
    findings = json.loads(body)["findings"]
    assert status == 400 and len(findings) == 5, findings
    assert ask(address, "GET", "/nowhere")[0] == 400
    assert ask(address, "POST", f"/v1/calls/{ENGINE}", "x" * 2000000,
               {"X-Team": "t"})[0] == 413
    assert ask(address, "POST", "/v1/plans", "{]")[0] == 422
    assert ask(address, "POST", "/v1/plans", "")[0] == 422
    assert ask(address, "POST", "/v1/confirms", "[]")[0] == 400
    assert b"quayring_calls_total" in ask(address, "GET", "/metrics")[2]


def test_agents_serve_their_counters(bench):
    Caller(bench).call(ENGINE, "c", "tankers")
    addresses = [bench.hosts[n]["metrics"] for n in bench.backends(ENGINE)]
    texts = [ask(a, "GET", "/metrics")[2].decode() for a in addresses]
    assert sum(int(line.split()[1]) for t in texts for line in t.split("\n")
               if line.startswith("quayring_agent_run_total")) == 1
    assert ask(addresses[0], "GET", "/v1/status")[0] == 404
    assert ask(addresses[0], "POST", "/v1/plans", "")[0] == 404
    assert ask(addresses[0], "GET", "/v1/addresses")[0] == 503


def test_hostile_frames(bench):
    import socket
    host, port = bench.hosts["entry-0"]["address"].split(":")
    for raw in (b"\xff" * 64, b"\0\0\0\4abcd", b"\0\0\1\0half",
                b"GET / HTTP/1.0\r\n\r\n"):
        with socket.create_connection((host, int(port))) as s:
            s.sendall(raw)
            s.settimeout(0.2)
            try:
                s.recv(1)
            except OSError:
                pass
    assert Caller(bench).call(ENGINE, "c", "tankers")["outcome"] == "answered"


def test_rollout_under_calls(bench):
    load = Stream(bench)
    load.wait_more(10)
    bench.apply(bench.declaration("v2"))
    bench.wait_serving("v2", 4)
    load.wait_more(10)
    results = load.stop()
    check_answers(results, bench.runs())
    assert all(r["outcome"] == "answered" for r in results)
    assert {r["manifest"] for r in results} == {bench.manifest("v1"),
                                                bench.manifest("v2")}
    for name in bench.backends(ENGINE):
        assert bench.engine_facts(name)["partial"] == 0


def test_superseded_mid_flight(bench):
    bench.control(bench.origin, slow_ms=200)
    first = bench.apply(bench.declaration("v2"))
    wait_for("v2 under way", lambda: any(
        h["stage"] == "fetching" for i in bench.status()["intents"]
        for h in i["host_list"]))
    assert bench.apply(bench.declaration("v1")) > first
    bench.control(bench.origin, slow_ms=0)
    bench.wait_serving("v1", 4)
    assert Caller(bench).call(ENGINE, "c", "tankers")["outcome"] == "answered"


def test_corrupt_and_failing_weights(bench):
    bench.control(bench.origin, corrupt=5)
    bench.control(bench.store, corrupt=1)
    bench.control(bench.backend_of(bench.backends(ENGINE)[0]), lose_orders=2)
    bench.apply(bench.declaration("v2"))
    bench.wait_serving("v2", 4)
    facts = [bench.engine_facts(n) for n in bench.backends(ENGINE)]
    assert all(f["partial"] == 0 for f in facts)


def test_agents_killed_in_a_rollout(bench):
    names = bench.backends(ENGINE)
    bench.control(bench.origin, slow_ms=50)
    bench.apply(bench.declaration("v2"))
    bench.nodes[names[1]].kill()
    bench.start_node(names[1])
    bench.nodes[names[2]].kill()
    bench.start_node(names[2])
    bench.wait_serving("v2", 4)


def test_entry_killed(bench):
    """A caller whose entry dies hears nothing, and asks another."""
    load = Stream(bench, repeatable=False, stream=False, service=PLAIN)
    load.wait_more(10)
    bench.nodes["entry-2"].kill()
    load.wait_more(20)
    results = load.stop()
    caller = Caller(bench)
    ticket = caller.addresses()["ticket"]
    for r in [r for r in results if r["outcome"] == "lost"][:5]:
        caller.call(PLAIN, r["call_id"], "tankers", repeatable=False,
                    attempt=2, ticket=ticket)
    check_answers(results + caller.results, bench.runs())


def test_agent_killed_under_calls(bench):
    load = Stream(bench)
    load.wait_more(10)
    bench.nodes[bench.backends(ENGINE)[0]].kill()
    load.wait_more(20)
    bench.start_node(bench.backends(ENGINE)[0])
    bench.wait_serving("v1", 4)
    results = load.stop()
    check_answers(results, bench.runs())


def test_agent_frozen_past_its_lease(bench):
    """Woken up it serves on, or has lost its place to a successor."""
    name = bench.backends(PLAIN)[0]
    caller = Caller(bench)
    ticket = caller.addresses()["ticket"]
    bench.control(bench.backend_of(name), work_ms=300)
    threads = [threading.Thread(target=caller.call, args=(
        PLAIN, f"f{i}", "tankers"), kwargs=dict(
            repeatable=False, ticket=ticket, deadline_ms=2500))
        for i in range(6)]
    for t in threads:
        t.start()
    bench.nodes[name].signal(signal.SIGSTOP)
    for t in threads:
        t.join()
    # the caller sends again what it knows nothing of, with the same ticket
    for r in list(caller.results):
        if r["outcome"] != "answered":
            caller.call(PLAIN, r["call_id"], "tankers", repeatable=False,
                        ticket=ticket, attempt=2, deadline_ms=1000, entry=1)
    bench.nodes[name].signal(signal.SIGCONT)
    wait_for("the agent is back", lambda: not any(
        h["away"] for i in bench.status()["intents"]
        for h in i["host_list"]))
    for r in list(caller.results):
        if r["outcome"] not in ("answered", "not_run"):
            caller.call(PLAIN, r["call_id"], "tankers", repeatable=False,
                        ticket=ticket, attempt=3, entry=2)
    runs = bench.runs()
    assert all(n <= 1 for c, n in runs.items() if c.startswith("f"))
    check_answers(caller.results, runs)


def test_leaving_host_gets_nothing_new(bench):
    name = bench.backends(ENGINE)[0]
    load = Stream(bench)
    load.wait_more(10)
    bench.hosts[name]["state"] = "leaving"
    bench.publish_hosts()
    wait_for("all entries know", lambda: all(any(
        h["host"] == name and h["leaving"]
        for i in bench.status(e)["intents"] for h in i["host_list"])
        for e in range(3)))
    before = sum(bench.engine_facts(name)["runs"].values())
    load.wait_more(30)
    assert sum(bench.engine_facts(name)["runs"].values()) == before
    results = load.stop()
    check_answers(results, bench.runs())
    assert all(r["outcome"] == "answered" for r in results)


def test_planned_stops_cut_nothing(bench):
    """Two agents and an entry stop under load, then everything does."""
    load = Stream(bench, entries=[0, 1], tokens=30)
    load.wait_more(10)
    names = bench.backends(ENGINE)[:2] + ["entry-2"]
    for name in names:
        bench.nodes[name].signal(signal.SIGTERM)
    for name in names:
        assert bench.nodes[name].stop() == 0
    load.wait_more(10)
    bench.nodes["entry-1"].signal(signal.SIGTERM)
    load.entries = [0]
    load.wait_more(5)
    results = load.stop()
    assert all(r["outcome"] == "answered" for r in results), [
        r for r in results if r["outcome"] != "answered"][:3]
    check_answers(results, bench.runs())
    for name in bench.entries() + bench.backends():
        assert bench.nodes[name].stop() == 0


def test_log_down_and_answers_lost(bench):
    bench.control(bench.log, down=True)
    status, plan = bench.plan(bench.declaration("v2"))
    assert status == 200
    status, got = bench.confirm(plan)
    assert status == 503 and got["outcome"] in ("unknown", "not_done")
    assert Caller(bench).call(ENGINE, "c", "tankers")["outcome"] == "answered"
    bench.control(bench.log, down=False, lose=1)
    status, got = bench.confirm(plan)  # appended, and the answer is lost
    assert status in (200, 503)
    status, got = bench.confirm(plan)
    assert status == 200, got
    again = bench.confirm(plan, entry=1)
    assert again == (200, got)  # never twice
    bench.wait_serving("v2", 4)


def test_operators_race(bench):
    plans = [bench.plan(bench.declaration(v), entry=e)[1]
             for e, v in ((0, "v2"), (1, "v1"), (2, "v2"))]
    outcomes = [bench.confirm(p, entry=e) for e, p in enumerate(plans)]
    assert [s for s, _ in outcomes] == [200, 409, 409]
    assert outcomes[1][1]["lost_to"] == outcomes[0][1]["revision"]
    assert "changed meanwhile" in outcomes[1][1]["reason"]


def test_configuration_outlives_all_entries(bench):
    """Entries are replaced one after another while the log is down."""
    revision = bench.apply(bench.declaration("v2"))
    bench.control(bench.log, down=True)
    for name in bench.entries():
        bench.nodes[name].kill()
        bench.start_node(name)
        i = bench.entries().index(name)
        wait_for("the new entry has it",
                 lambda i=i: bench.status(i)["revision"] >= revision)
    bench.wait_serving("v2", 4)


def test_records_expire():
    """Starting when the first records are gone: from a snapshot."""
    with Bench(services=FEW, entry_settings={"snapshot_every": 4}) as b:
        b.apply(b.declaration("v1"))
        b.control(b.log, keep=16)
        for version in ["v1", "v2"] * 9:
            revision = b.apply(b.declaration(version))
        wait_for("old records are gone", lambda: json.loads(
            ask(b.log, "GET", "/records?from=1")[2])["first"] > 8)
        for name in b.entries():  # all at once: nobody is left to ask
            b.nodes[name].kill()
        for name in b.backends():
            b.nodes[name].kill()
        for name in b.entries() + b.backends():
            b.start_node(name)
        for e in range(3):
            wait_for("revision", lambda e=e: b.status(e)["revision"] >=
                     revision)
        b.wait_serving("v2", 4)


def test_command_line(bench, tmp_path):
    declaration = tmp_path / "d.json"
    declaration.write_text("// a comment\n" +
                           json.dumps(bench.declaration("v2")))
    entry = ["-e", "127.0.0.1:1", "-e", bench.caller_address(1)]

    def run(*args):
        return subprocess.run([BINARY, *args], capture_output=True,
                              text=True, check=False)
    plan = run("plan", *entry, "-o", str(tmp_path / "p"), str(declaration))
    assert plan.returncode == 0 and "wave 0" in plan.stdout, plan.stderr
    stale = run("plan", *entry, "-o", str(tmp_path / "q"), str(declaration))
    assert stale.returncode == 0
    confirm = run("confirm", *entry, str(tmp_path / "p"))
    assert confirm.returncode == 0 and "accepted" in confirm.stdout
    lost = run("confirm", *entry, str(tmp_path / "q"))
    assert lost.returncode == 3 and "lost to" in lost.stdout
    bench.wait_serving("v2", 4)
    assert "on 4 of 4 hosts, complete" in run("status", *entry).stdout
    assert json.loads(run("status", "-j", *entry).stdout)["revision"] > 0
    assert json.loads(run("intents", *entry).stdout)["intents"]
    burn = run("burn", *sum((["-e", bench.caller_address(i)]
                             for i in range(3)), []))
    assert burn.returncode == 0 and "objective" in burn.stdout
    declaration.write_text('{"intents": [{"name": "x"}], "remov": []}')
    bad = run("plan", *entry, str(declaration))
    assert bad.returncode == 2 and "remov" in bad.stdout
    assert "hosts: is required" in bad.stdout


def test_urgent_calls_keep_their_share():
    """Pings are answered in time while everything else is overloaded."""
    with Bench(services=[(PLAIN, "plain", 2)], slots=4) as b:
        b.apply(b.declaration(capacity=2))
        for name in b.backends():
            b.control(b.backend_of(name), work_ms=150)
        caller = Caller(b)
        flood = Stream(b, callers=40, stream=False, service=PLAIN)
        flood.wait_more(40)
        pings = [caller.call(PLAIN, f"p{i}", "suppliers", priority="urgent",
                             deadline_ms=2000, entry=i % 3)
                 for i in range(10)]
        flood.stop()
        assert [p["outcome"] for p in pings] == ["answered"] * 10


def test_refusals_come_at_once():
    """A call that has no chance is told so, and when to come back."""
    with Bench(services=[(PLAIN, "plain", 1)], slots=2, entries=1,
               entry_settings={"queue_max": 2}) as b:
        d = b.declaration(capacity=1)
        d["intents"][0]["teams"] = d["intents"][0]["teams"][:2]
        b.apply(d)
        b.control(b.backend_of(b.backends()[0]), work_ms=1000)
        caller = Caller(b)
        threads = [threading.Thread(target=caller.call, args=(
            PLAIN, f"x{i}", "tankers"), kwargs={"deadline_ms": 8000})
            for i in range(12)]
        for t in threads:
            t.start()
            time.sleep(0.01)
        for t in threads:
            t.join()
        refused = [r for r in caller.results if r["outcome"] == "not_run"]
        assert len(refused) >= 6
        answered = [r["took"] for r in caller.results
                    if r["outcome"] == "answered"]
        assert max(r["took"] for r in refused) < min(answered)
        assert all(r["retry_after_ms"] > 0 for r in refused)
        check_answers(caller.results, b.runs())
