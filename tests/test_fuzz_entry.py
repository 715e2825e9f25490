"""Stateful fuzzing of the entry's reducer: calls, agents, frames crossed,
late and doubled, connections cut, clocks that jump, a planned stop."""
import json

from hypothesis import strategies as st
from hypothesis.stateful import (RuleBasedStateMachine, initialize, invariant,
                                 rule)

from driver import Driver, pb
from fuzzing import fuzz_settings

LEASE, VALID, QUEUE = 1000, 500, 6
SETTINGS = {
    "role": "entry", "host": "entry-0", "availability_zone": "z",
    "listen": "127.0.0.1:7001", "log": "127.0.0.1:7002",
    "host_list": "127.0.0.1:7003", "callers": "127.0.0.1:7004",
    "heartbeat_ms": 100, "lease_ms": LEASE, "address_valid_ms": VALID,
    "queue_max": QUEUE, "stop_bound_ms": 20000, "snapshot_every": 100000,
    "retire_after_ms": 3000000}
HOSTS = ["a0", "a1", "a2"]
TEAMS = ["t0", "t1"]
SLOTS = 2


def records():
    out = [{"kind": "register", "host": h, "incarnation": h + ".0",
            "service": "s", "availability_zone": "z",
            "address": f"127.0.0.1:{8000 + i}", "slots": SLOTS}
           for i, h in enumerate(HOSTS)]
    out.append({"kind": "change", "id": "c0", "base": 0, "set": [
        {"name": "s", "service": "s", "kind": "plain", "hosts": HOSTS,
         "teams": [{"team": t, "capacity": 3} for t in TEAMS]}]})
    return [json.dumps(r) for r in out]


class Call:
    def __init__(self, ref, request):
        self.ref = ref
        self.request = request
        self.attempts = []   # [host, conn, call handle, attempt, fate]
        self.data = b""      # of the open attempt
        self.sent = b""      # that went out to the caller
        self.started = False
        self.final = None
        self.deadline = None


class EntryMachine(RuleBasedStateMachine):
    @initialize()
    def begin(self):
        self.d = Driver("entry", SETTINGS)
        self.calls = {}      # request ref -> Call
        self.conns = {}      # host -> connection, while it is up
        self.heard = {}      # host -> when
        self.leaving = set()
        self.listed = set()
        self.next_ref = 100
        self.stop_at = None
        self.exited = False
        self.old = []        # frames that were sent once, to send again late
        self.log = []
        self.ev("LOG_READ", offset=1, first=1, records=records(), ok=1)
        self.revision = self.d.facts["revision"]
        for host in HOSTS:
            self.connect(host)

    # -- carrying effects out, and checking each

    def ev(self, kind, **fields):
        if self.exited:
            return
        for e in self.d.event(kind, **fields):
            self.effect(e)
        self.check_revision()

    def check_revision(self):
        got = self.d.facts["revision"]
        self.revision_before = getattr(self, "revision", 0)
        assert got >= getattr(self, "revision", 0), "the revision fell"
        self.revision = got

    def effect(self, e):
        kind = e["type"]
        if kind == "SEND" and e["frame"].WhichOneof("body") == "call_start":
            self.handed_on(e["ref"], e["frame"].call_start)
        elif kind == "ANSWER" and e["ref"] in self.calls:
            self.answered(self.calls[e["ref"]], e)
        elif kind == "ANSWER_START":
            call = self.calls[e["ref"]]
            assert not call.started and call.final is None
            call.started = True
        elif kind == "ANSWER_DATA":
            call = self.calls[e["ref"]]
            assert call.started and call.final is None
            call.sent += e["data"]
        elif kind == "ANSWER_END":
            self.stream_end(self.calls[e["ref"]], json.loads(e["text"]))
        elif kind == "EXIT":
            self.exited = True

    def handed_on(self, conn, m):
        host = next(h for h, c in self.conns.items() if c == conn)
        call = next(c for c in self.calls.values()
                    if c.request["call_id"] == m.call_id)
        assert call.final is None, "handed on after its final answer"
        assert not call.started, "handed on after bytes went out"
        assert host not in self.leaving and host not in self.listed, \
            "new work for a leaving backend server"
        assert self.d.now - self.heard[host] < LEASE, \
            "new work for one that is unheard"
        if not call.request["repeatable"]:
            assert all(a[4] == "refused" for a in call.attempts), \
                "may not be repeated, and was handed on again"
            assert m.home == host + ".0", "not its home"
            homes = {a[0] for a in call.attempts} | {host}
            assert len(homes) == 1, "two homes"
        assert all(a[4] != "open" for a in call.attempts)
        call.attempts.append([host, conn, m.call, m.attempt, "open"])
        call.data = b""

    def provably_not_run(self, call):
        first = call.request["attempt"] == 1 or (
            call.request["repeatable"] and call.request["attempt"] == 0)
        return first and all(a[4] == "refused" for a in call.attempts)

    def check_outcome(self, call, outcome):
        assert call.final is None, "two final answers"
        call.final = outcome
        if outcome == "not_run":
            assert self.provably_not_run(call), "said not run, may have run"

    def answered(self, call, e):
        if "text" in e:  # an answer of the backend server
            assert call.attempts and call.attempts[-1][4] == "whole"
            assert e["data"] == call.data, "not the whole answer"
            self.check_outcome(call, "answered")
            return
        got = json.loads(e["data"])
        assert got["call_id"] == call.request["call_id"]
        assert not call.started
        assert e["retry_after_ms"] > 0 or got["reason"] in (
            "no_such_service", "team_has_no_capacity")
        self.check_outcome(call, got["outcome"])

    def stream_end(self, call, got):
        assert call.started
        assert got["call_id"] == call.request["call_id"]
        if got["outcome"] == "answered":
            assert call.attempts[-1][4] == "whole"
            assert call.sent == call.data, "not the whole answer"
            assert got["length"] == len(call.sent)
        self.check_outcome(call, got["outcome"])

    # -- agents

    @rule(host=st.sampled_from(HOSTS))
    def connect(self, host):
        """An agent dials, also again while its old connection is up."""
        self.next_ref += 1
        ref = self.next_ref
        old = self.conns.pop(host, None)
        if old:
            self.lose(host, old)
        self.heard.pop(host, None)
        self.leaving.discard(host)
        self.conns[host] = ref
        self.ev("OPENED", ref=ref)
        self.ev("FRAME", ref=ref, frame=pb.Frame(hello=pb.Hello(
            host=host, incarnation=host + ".0", role="agent", service="s",
            availability_zone="z", address="127.0.0.1:8000")))
        self.beat(host, 0)

    @rule(host=st.sampled_from(HOSTS), others=st.integers(0, 2))
    def beat(self, host, others):
        if host not in self.conns or self.exited:
            return
        mine = sum(1 for c in self.calls.values() for a in c.attempts
                   if a[0] == host and a[4] == "open")
        self.heard[host] = self.d.now
        self.ev("FRAME", ref=self.conns[host],
                frame=pb.Frame(heartbeat=pb.Heartbeat(
                    manifest="plain", slots=SLOTS, handed_on=mine,
                    in_flight=mine + others, leaving=host in self.leaving,
                    revision=self.revision)))

    @rule(host=st.sampled_from(HOSTS))
    def agent_leaves(self, host):
        if host in self.conns:
            self.leaving.add(host)
            self.beat(host, 0)

    @rule(host=st.sampled_from(HOSTS), leaving=st.booleans())
    def host_list(self, host, leaving):
        if leaving:
            self.listed.add(host)
        else:
            self.listed.discard(host)
        self.ev("HOSTS_READ", ok=1, hosts=[
            {"host": h, "role": "backend_server",
             "leaving": int(h in self.listed)} for h in HOSTS])

    def lose(self, host, conn):
        for call in self.calls.values():
            for a in call.attempts:
                if a[1] == conn and a[4] == "open":
                    a[4] = "lost"

    @rule(pick=st.integers(0, 9))
    def cut_under_a_call(self, pick):
        _, a = self.open_attempt(pick)
        if a:
            self.cut(a[0])
            self.connect(a[0])

    @rule(host=st.sampled_from(HOSTS))
    def cut(self, host):
        conn = self.conns.pop(host, None)
        if conn:
            self.lose(host, conn)
            self.ev("CLOSED", ref=conn)

    # -- calls

    @rule(team=st.sampled_from(TEAMS * 3 + ["stranger"]),
          repeatable=st.booleans(), stream=st.booleans(),
          attempt=st.sampled_from([0, 1, 1, 1, 2]),
          priority=st.integers(0, 2),
          deadline=st.sampled_from([1, 300, 5000, 20000, 20000]),
          ticket=st.sampled_from(["good"] * 6 + ["old", "future", "bad",
                                                 None]))
    def call(self, team, repeatable, stream, attempt, priority, deadline,
             ticket):
        if self.exited:
            return
        self.next_ref += 1
        tickets = {"good": f"{self.revision}.{self.d.now // 1000 + 600}",
                   "old": f"{self.revision}.1", "bad": "x.y",
                   "future": f"{self.revision + 9}.{10**9}", None: None}
        request = {"service": "s", "team": team, "repeatable": repeatable,
                   "call_id": f"id-{self.next_ref}", "stream": stream,
                   "attempt": attempt, "priority": priority,
                   "deadline_ms": deadline, "body": "b"}
        if tickets[ticket]:
            request["ticket"] = tickets[ticket]
        call = Call(self.next_ref, request)
        call.deadline = self.d.now + deadline
        self.calls[call.ref] = call
        self.ev("CALL", ref=call.ref, call=request)
        if not repeatable and ticket != "good":
            assert call.final and not call.attempts, \
                "ran without a ticket that fixes its home"

    def open_attempt(self, pick):
        rows = [(c, a) for c in self.calls.values() for a in c.attempts
                if a[4] == "open" and c.final is None]
        return rows[pick % len(rows)] if rows else (None, None)

    def send(self, conn, frame, keep=True):
        if keep:
            self.old.append((conn, frame))
        self.ev("FRAME", ref=conn, frame=frame)

    @rule(pick=st.integers(0, 9), data=st.binary(min_size=1, max_size=4))
    def piece(self, pick, data):
        call, a = self.open_attempt(pick)
        if call:
            at = len(call.data)
            call.data += data
            self.send(a[1], pb.Frame(call_data=pb.CallData(
                call=a[2], attempt=a[3], at=at, data=data)))

    @rule(pick=st.integers(0, 9), at=st.integers(0, 9))
    def piece_out_of_place(self, pick, at):
        call, a = self.open_attempt(pick)
        if call and at != len(call.data):
            a[4] = "cut"
            self.send(a[1], pb.Frame(call_data=pb.CallData(
                call=a[2], attempt=a[3], at=at, data=b"zz")))
            self.send(a[1], pb.Frame(call_end=pb.CallEnd(
                call=a[2], attempt=a[3], length=len(call.data) + 2,
                status=200, whole=True)))

    @rule(pick=st.integers(0, 9))
    def lost_then_refused(self, pick):
        """What the first agent may have run, the next ones refuse."""
        call, a = self.open_attempt(pick)
        if not call:
            return
        self.cut(a[0])
        while call.final is None and call.attempts[-1][4] == "open":
            a = call.attempts[-1]
            a[4] = "refused"
            self.send(a[1], pb.Frame(call_refused=pb.CallRefused(
                call=a[2], attempt=a[3], reason=8, not_run=True)))

    @rule(pick=st.integers(0, 9), whole=st.booleans(),
          short=st.integers(0, 1))
    def end(self, pick, whole, short):
        call, a = self.open_attempt(pick)
        if call:
            a[4] = "whole" if whole and not short else "cut"
            self.send(a[1], pb.Frame(call_end=pb.CallEnd(
                call=a[2], attempt=a[3], length=len(call.data) + short,
                status=200, whole=whole)))

    @rule(pick=st.integers(0, 9), not_run=st.sampled_from([True, True, False]),
          reason=st.sampled_from([1, 3, 4, 8, 1, 3, 2]))
    def refuse(self, pick, not_run, reason):
        call, a = self.open_attempt(pick)
        if not call:
            return
        a[4] = "refused" if not_run else "in doubt"
        if reason == 2:  # QR_REASON_LEAVING
            self.leaving.add(a[0])
        self.send(a[1], pb.Frame(call_refused=pb.CallRefused(
            call=a[2], attempt=a[3], reason=reason, not_run=not_run)))

    @rule(pick=st.integers(0, 99), host=st.sampled_from(HOSTS))
    def late_frame(self, pick, host):
        """A frame again, perhaps over another agent's connection."""
        if not self.old or host not in self.conns:
            return
        conn, frame = self.old[pick % len(self.old)]
        body = frame.WhichOneof("body")
        m = getattr(frame, body)
        for call in self.calls.values():
            for a in call.attempts:
                if (a[2], a[3]) == (m.call, m.attempt) and a[4] == "open" \
                        and a[1] == self.conns[host]:
                    return  # that one would not be late
        self.send(self.conns[host], frame, keep=False)

    @rule(pick=st.integers(0, 9))
    def caller_goes(self, pick):
        rows = [c for c in self.calls.values() if c.final is None]
        if rows:
            call = rows[pick % len(rows)]
            call.final = "gone"
            for a in call.attempts:
                if a[4] == "open":
                    a[4] = "gone"
            self.ev("CALLER_GONE", ref=call.ref)

    # -- time, the log, the stop

    @rule(ms=st.sampled_from([10, 60, 400, 1500]))
    def wait(self, ms):
        if self.exited:
            return
        self.d.now += ms
        self.ev("TICK")
        for call in self.calls.values():
            assert call.final or call.deadline > self.d.now, \
                "no final answer at its deadline"

    @rule(skip=st.integers(0, 2))
    def log_read_again(self, skip):
        """An answer of the log that is old, or has a hole before it."""
        self.ev("LOG_READ", offset=1 + skip, first=1 + skip, ok=1,
                records=records()[skip:])

    @rule(offset=st.integers(0, 6))
    def old_state(self, offset):
        """A peer that is behind sends its state."""
        snapshot = json.dumps({
            "revision": offset, "history_from": 0, "snapshot_at": 0,
            "intents": [], "members": [], "applied": [], "removed": []})
        if offset <= self.revision:
            self.ev("FRAME", ref=99, frame=pb.Frame(state=pb.State(
                revision=offset, snapshot=snapshot.encode())))

    @rule(start=st.integers(0, 8), n=st.integers(0, 3))
    def records_from_a_peer(self, start, n):
        """Known ones, ones behind a hole, or the next ones."""
        follows = start <= self.revision + 1 < start + n
        self.ev("FRAME", ref=99, frame=pb.Frame(records=pb.Records(
            **{"from": start}, record=[b'{"kind":"retire"}'] * n)))
        if not self.exited:
            assert follows or self.revision_before == self.revision

    @rule(raw=st.binary(max_size=30))
    def bad_state(self, raw):
        self.ev("FRAME", ref=99, frame=pb.Frame(state=pb.State(
            revision=self.revision + 5, snapshot=raw)))

    @rule()
    def stop(self):
        if self.stop_at is None:
            self.stop_at = self.d.now
            self.ev("STOP")

    @invariant()
    def bounded(self):
        if not hasattr(self, "d"):
            return
        assert self.d.facts.get("waiting", 0) <= QUEUE
        if self.exited:
            assert self.stop_at is not None
            if self.d.now - self.stop_at < SETTINGS["stop_bound_ms"]:
                assert all(c.final for c in self.calls.values()), \
                    "the stop cut a call off"
                assert self.d.now - self.stop_at >= VALID, \
                    "stopped while callers still held its address"

    def teardown(self):
        if not hasattr(self, "d"):
            return
        for _ in range(22):  # every call has come to an end by now
            self.wait(1000)
        assert all(c.final for c in self.calls.values())
        self.d.close()


TestEntry = EntryMachine.TestCase
TestEntry.settings = fuzz_settings(100, 50)
