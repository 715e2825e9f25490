"""Clients that do not behave, at every listener that they reach: the process
lives, stays within its memory and descriptors, and ordinary callers still get
answers. Limits are lowered by settings, so that a small crowd is enough."""
import http.client
import json
import os
import resource
import socket
import threading
import time

import pytest

import bench
from bench import Bench, ask, wait_for
from crowd import MB, PRODUCT, Crowd, Gauge, chunked, head, settle
from fleet import HOST, KEY, Fleet, policy
from standin_platform import answer

MEMORY_MB = 64
CROWD = 400
BODY_MAX = MB
SMALL_MACHINE_MB = 112  # smallest machine of a gateway
LARGE_BODY_MAX = 4 * MB
LARGE_CROWD = 120
SIDECAR_MB = 128  # machine of a sidecar
NODE_MB = 128     # of the entries and agents
DESCRIPTORS = 2000
HELD_MS = 60000   # time limits of callers' requests: the crowd may stay
SLOW_S = 1.5
ANSWER_S = 20     # ends the wait for an answer that does not come

ROUTES = [
    {"name": "safe", "path-prefix": "/safe/", "route-type": "safe",
     "service": "ledger", "max-attempts": 2},
    {"name": "bulk", "path-prefix": "/bulk/", "route-type": "unsafe",
     "service": "bulk", "max-attempts": 1},
]


class Binaries(dict):
    def get(self, name, default=None):
        return PRODUCT


class CrowdFleet(Fleet):
    """One gateway of the product's build, with an engine that answers at once
    and slow ones for another service."""

    def __init__(self, memory_mb=MEMORY_MB, body_max=BODY_MAX,
                 descriptors=DESCRIPTORS):
        self.memory_mb, self.descriptors = memory_mb, descriptors
        super().__init__(gateways=0, plain=2)
        self.binaries = Binaries()
        self.bulk = [self.add_engine("b%d" % i, "bulk") for i in range(2)]
        for e in self.bulk:
            e.behave = slow
        p = policy(2, self.origin.address, ROUTES, timeout_ms=30000,
                   body_max=body_max)
        p["services"].append({"name": "bulk", "max-connections": 50})
        p["limits"].update({"max-header-bytes": 16384,
                            "header-timeout-ms": HELD_MS,
                            "idle-timeout-ms": HELD_MS})
        self.store.put("keyed.op", "config", p)
        self.add_gateways(1, {"memory_mb": memory_mb,
                              "descriptors_max": descriptors})
        self.wait_ready()
        wait_for("the routes", lambda: "in force version=2" in self.log("g0"))
        limit_descriptors(self.procs["g0"], descriptors)
        self.answered("before")

    def listeners(self):
        g = self.gateways[0]
        return [g[k] for k in ("callers", "directory", "readiness",
                               "metrics")] + self.peers

    def gauge(self):
        return Gauge(self.procs["g0"], self.listeners())

    def answered(self, name, path="/safe/a", body=b"hello"):
        """Asks until one request is answered, as callers do that are refused."""
        n = iter(range(1 << 20))
        return wait_for("an answer to '%s'" % name, lambda: self.call(
            path, "%s-%d" % (name, next(n)), body=body, deadline=10000,
            timeout=10)[0] == 200, ANSWER_S)


def slow(engine, conn, request):
    time.sleep(SLOW_S)
    engine.ran.append(request.headers["x-attempt-id"])
    answer(conn, 200, b"done", engine.head(request))
    return True


def limit_descriptors(process, n):
    resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (n, n))


def post(fields, target="/safe/a"):
    return lambda i: head(HOST, KEY, target, "crowd-%d" % i, fields)


def with_length(length, send):
    body = b"x" * send
    first = post(["Content-Length: %d" % length])
    return lambda i: [first(i), body]


def in_chunks(size, chunk, end=b""):
    body = chunked(size, chunk) + end
    first = post(["Transfer-Encoding: chunked"])
    return lambda i: [first(i), body]


def large_chunks(most):
    return in_chunks(most - 1, 64 << 10)


def one_chunk(most):
    body = b"%x\r\n" % most + b"x" * (most - 1)
    first = post(["Transfer-Encoding: chunked"])
    return lambda i: [first(i), body]


def small_chunks(most):
    return in_chunks(128 << 10, 1)


def short_of_length(most):
    return with_length(most, most - 1)


def over_announced(most):
    return with_length(2 * most, 2 * most - 1)


def over_in_chunks(most):
    return in_chunks(2 * most, 64 << 10)


def past_a_power_of_two(most):
    return with_length(most, most // 2 + 1)


def whole_bodies(most):
    body = b"x" * most
    first = post(["Content-Length: %d" % most], "/bulk/a")
    return lambda i: [first(i), body]


def whole_in_chunks(most):
    body = chunked(most, 64 << 10) + b"0\r\n\r\n"
    first = post(["Transfer-Encoding: chunked"], "/bulk/a")
    return lambda i: [first(i), body]


def long_heads(most):
    lines = b"POST /safe/a HTTP/1.1\r\nHost: a\r\n" + b"".join(
        b"X-%d: %s\r\n" % (i, b"x" * 240) for i in range(60))
    return lambda i: [lines]


def chunk_extensions(most):
    first = post(["Transfer-Encoding: chunked"])
    return lambda i: [first(i), b"5;" + b"x" * (64 << 10)]


def trailers(most):
    first = post(["Transfer-Encoding: chunked"])
    body = b"1\r\nx\r\n0\r\n" + b"X-T: %s\r\n" % (b"x" * 200) * 300
    return lambda i: [first(i), body]


def pipelined(most):
    """A whole request to a slow engine, and part of a large one behind it."""
    first = post(["Content-Length: 0"], "/bulk/a")
    second = post(["Content-Length: %d" % most])
    return lambda i: [first(i), second(i), b"x" * (60 << 10)]


UNFINISHED = [large_chunks, one_chunk, small_chunks, short_of_length,
              past_a_power_of_two]
OVER = [over_announced, over_in_chunks]
WHOLE = [whole_bodies, whole_in_chunks]
SMALL = [long_heads, chunk_extensions, trailers, pipelined]


def meet(fleet, crowd):
    """Plays the crowd: ordinary callers are answered while it is there, when
    it has settled, and after it. What was refused has not run."""
    with fleet.gauge() as gauge:
        with crowd:
            fleet.answered("meanwhile")
            settle(crowd)
            fleet.answered("settled")
        fleet.answered("after")
        gauge.check(fleet.memory_mb, fleet.descriptors)
    ran = {i for e in fleet.engines for i in e.ran}
    assert not [i for i in crowd.refused() if "crowd-%d" % i in ran]


# Guards against memory that grows with the number of connections: each request
# is within its own limit, but not all of them together.
@pytest.mark.parametrize("content", UNFINISHED + OVER + WHOLE + SMALL)
def test_crowd_of_callers_stays_within_memory(content):
    with CrowdFleet() as f:
        meet(f, Crowd(f.gateways[0]["callers"], CROWD, content(BODY_MAX)))


@pytest.mark.parametrize("content", [large_chunks, short_of_length])
def test_crowd_that_sends_piece_by_piece_stays_within_memory(content):
    with CrowdFleet() as f:
        meet(f, Crowd(f.gateways[0]["callers"], CROWD, content(BODY_MAX),
                      piece=16 << 10))


# Guards against a crowd that comes back at once whenever it is closed.
@pytest.mark.parametrize("content", [short_of_length, over_in_chunks])
def test_crowd_that_returns_stays_within_memory(content):
    with CrowdFleet() as f:
        meet(f, Crowd(f.gateways[0]["callers"], CROWD, content(BODY_MAX),
                      returns=True))


@pytest.mark.parametrize("content", [short_of_length, large_chunks,
                                     over_announced, over_in_chunks,
                                     past_a_power_of_two, whole_bodies])
def test_bodies_of_4_mb_fit_the_smallest_machine(content):
    with CrowdFleet(SMALL_MACHINE_MB, LARGE_BODY_MAX) as f:
        meet(f, Crowd(f.gateways[0]["callers"], LARGE_CROWD,
                      content(LARGE_BODY_MAX)))


# Guards against bounds that shut out what is inside the limits.
@pytest.mark.parametrize("memory_mb, most", [(MEMORY_MB, BODY_MAX),
                                             (SMALL_MACHINE_MB,
                                              LARGE_BODY_MAX)])
def test_largest_legal_body_is_served_in_calm(memory_mb, most):
    with CrowdFleet(memory_mb, most) as f:
        status, _, body = f.call("/safe/a", "one", body=b"x" * most,
                                 deadline=10000)
        assert status == 200 and len(body) == most + len(b"done ")


def head_answer(fleet, length):
    """What a client hears that announces a body and waits for 100 Continue."""
    host, port = fleet.gateways[0]["callers"].rsplit(":", 1)
    with socket.create_connection((host, int(port)), ANSWER_S) as s:
        s.sendall(post(["Content-Length: %d" % length,
                        "Expect: 100-continue"])(0))
        return s.recv(65536)


class Held:
    """Callers with bodies of the largest size, whose calls engines take and
    answer only at the end. One that is refused calls again."""

    def __init__(self, fleet, callers):
        self.fleet, self.ended = fleet, threading.Event()
        self.threads = [threading.Thread(target=self.call, args=(i,),
                                         daemon=True) for i in range(callers)]

    def call(self, i):
        tries = 0
        while not self.ended.is_set():
            tries += 1
            try:
                self.fleet.call("/bulk/a", "held-%d-%d" % (i, tries),
                                body=b"x" * BODY_MAX, deadline=HELD_MS,
                                timeout=HELD_MS / 1000)
            except (OSError, http.client.HTTPException):
                pass  # refused before all was sent

    def work(self, engine, conn, request):
        self.ended.wait()
        return engine.work(conn, request)

    def __enter__(self):
        for e in self.fleet.bulk:
            e.behave, e.slots = self.work, len(self.threads)
            self.fleet.store.put("keyed.servers", e.id, e.record())
        for t in self.threads:
            t.start()
        return self

    def __exit__(self, *exc):
        self.ended.set()
        for t in self.threads:
            t.join()


# Guards against bodies that are sent in vain: what is certain at the head is
# said there. That is where whole bodies, which do not yield, fill the share of
# large ones.
def test_body_that_cannot_be_taken_is_refused_at_its_head():
    with CrowdFleet() as f:
        assert head_answer(f, BODY_MAX).startswith(b"HTTP/1.1 100 ")
        assert head_answer(f, BODY_MAX + 1).startswith(b"HTTP/1.1 413 ")
        share = f.metrics()["quayring_client_memory_limit_bytes"] * 3 // 4
        with Held(f, int(share) // BODY_MAX):
            got = wait_for("a refusal", lambda: [
                a for a in [head_answer(f, BODY_MAX)]
                if a.startswith(b"HTTP/1.1 503 ")])[0]
        assert b"\r\nRetry-After: 0." in got
        assert b"\r\nConnection: close\r\n" in got


def receive_buffers(fleet):
    return fleet.metrics()["quayring_client_receive_buffers_bytes"]


# Guards against large bodies that arrive slowly over distant links, as their
# receive buffers are those of small requests.
def test_large_body_has_a_large_receive_buffer_until_it_is_whole():
    with CrowdFleet() as f:
        host, port = f.gateways[0]["callers"].rsplit(":", 1)
        with socket.create_connection((host, int(port)), ANSWER_S) as s:
            s.sendall(post(["Content-Length: %d" % BODY_MAX])(0))
            s.sendall(b"x" * (BODY_MAX - 1))
            wait_for("a large buffer", lambda: receive_buffers(f) > 0)
            s.sendall(b"x")
            assert s.recv(65536).startswith(b"HTTP/1.1 200 ")
            assert receive_buffers(f) == 0


# Guards against receive buffers that take the room of bodies.
def test_large_receive_buffers_are_bounded_in_sum():
    with CrowdFleet() as f:
        with Crowd(f.gateways[0]["callers"], CROWD,
                   short_of_length(BODY_MAX)) as crowd:
            settle(crowd)
            large = f.metrics()["quayring_client_memory_limit_bytes"] * 3 / 4
            assert 0 < receive_buffers(f) <= large / 4


# Guards against memory that unfinished requests keep from one that is whole.
def test_whole_body_is_served_while_a_crowd_holds_the_memory():
    with CrowdFleet() as f:
        with Crowd(f.gateways[0]["callers"], CROWD,
                   short_of_length(BODY_MAX)) as crowd:
            settle(crowd)
            assert f.metrics()["quayring_client_memory_large_bytes"] > MB
            f.answered("large", body=b"x" * BODY_MAX)
        assert f.metrics()["quayring_client_yielded_memory_total"] > 0


# Guards against small requests that wait behind what large ones hold.
def test_small_requests_are_served_while_large_ones_fill_the_memory():
    with CrowdFleet() as f:
        crowd = Crowd(f.gateways[0]["callers"], CROWD,
                      short_of_length(BODY_MAX), returns=True)
        with crowd:
            wait_for("the memory to be taken", lambda: f.metrics()[
                "quayring_client_yielded_memory_total"] > 0)
            for i in range(20):
                status, _, _ = f.call("/safe/a", "small-%d" % i)
                assert status == 200, f.log("g0")[-2000:]


# Guards against listeners that need no body but keep what is sent to them.
@pytest.mark.parametrize("content", [short_of_length, over_in_chunks,
                                     small_chunks])
@pytest.mark.parametrize("listener", ["directory", "readiness", "metrics"])
def test_crowd_at_other_listeners_stays_within_memory(listener, content):
    with CrowdFleet() as f:
        meet(f, Crowd(f.gateways[0][listener], CROWD, content(BODY_MAX)))
        assert f.ready()


def many_requests(i):
    return [b"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n" * 1000]


# Guards against answers that nobody reads, of listeners that answer at once.
def test_unread_metrics_stay_within_memory():
    with CrowdFleet() as f:
        meet(f, Crowd(f.gateways[0]["metrics"], CROWD, many_requests,
                      reads=False))


def sidecar_fleet():
    f = CrowdFleet()
    engine = f.add_engine("m0", "engines", "m1", 1)
    f.start_sidecar(0, engine, place={"memory_mb": SIDECAR_MB}
                    if sidecars_have_memory() else None)
    with open(os.path.join(f.dir, "s0.json"), encoding="utf-8") as s:
        settings = json.load(s)
    wait_for("the sidecar", lambda: "told engine=m0" in f.log("g0"))
    return f, settings


def sidecars_have_memory():
    """Whether the setting is known to this build."""
    path = os.path.join(os.path.dirname(PRODUCT), "..", "platform",
                        "sidecar.json")
    with open(path, encoding="utf-8") as f:
        return "memory_mb" in f.read()


@pytest.mark.parametrize("content", [short_of_length, over_in_chunks])
def test_crowd_at_a_sidecar_stays_within_memory(content):
    f, settings = sidecar_fleet()
    with f, Gauge(f.procs["s0"], [settings["metrics"]]) as gauge:
        with Crowd(settings["metrics"], CROWD, content(BODY_MAX)) as crowd:
            settle(crowd)
            assert ask(settings["metrics"], "GET", "/metrics")[0] == 200
        gauge.check(SIDECAR_MB, DESCRIPTORS)


def short_frame(i):
    return [(4 * MB - 8).to_bytes(4, "big"), b"x" * (4 * MB - 64)]


# Guards against frames between processes that stop short of their end.
def test_short_frames_at_a_gateway_stay_within_memory():
    with CrowdFleet() as f:
        meet(f, Crowd(f.peers[0], 60, short_frame))


def test_short_frames_at_a_sidecar_stay_within_memory():
    f, settings = sidecar_fleet()
    with f, Gauge(f.procs["s0"], [settings["peers"]]) as gauge:
        with Crowd(settings["peers"], 60, short_frame) as crowd:
            settle(crowd)
            assert ask(settings["metrics"], "GET", "/metrics")[0] == 200
        gauge.check(SIDECAR_MB, DESCRIPTORS)


def entry_bench(monkeypatch):
    monkeypatch.setattr(bench, "BINARY", PRODUCT)
    return Bench(entries=1, services=[("supplier-ledger", "plain", 1)])


def entry_post(fields):
    lines = ["POST /v1/calls/supplier-ledger HTTP/1.1", "Host: a",
             "X-Team: tankers", "X-Call-Id: crowd", "X-Deadline-Ms: 20000",
             "X-Repeatable: yes"] + fields
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def entry_short_of_length(most):
    body = b"x" * (most - 1)
    return lambda i: [entry_post(["Content-Length: %d" % most]), body]


def entry_whole(most):
    body = b"x" * most
    return lambda i: [entry_post(["Content-Length: %d" % most]), body]


def entry_in_chunks(most):
    body = chunked(2 * most, 64 << 10)
    return lambda i: [entry_post(["Transfer-Encoding: chunked"]), body]


# Guards against the same at entries: each body is bounded, but not their sum.
@pytest.mark.parametrize("content", [entry_short_of_length, entry_in_chunks,
                                     entry_whole])
def test_crowd_at_an_entry_stays_within_memory(monkeypatch, content):
    with entry_bench(monkeypatch) as b:
        entry = b.nodes[b.entries()[0]].proc
        with Gauge(entry, [b.caller_address()]) as gauge:
            with Crowd(b.caller_address(), CROWD, content(MB)) as crowd:
                settle(crowd)
                assert "intents" in b.status()
            gauge.check(NODE_MB, DESCRIPTORS)


def entry_small_chunks(most):
    body = chunked(128 << 10, 1)
    return lambda i: [entry_post(["Transfer-Encoding: chunked"]), body]


# Guards against bytes that the kernel holds for many connections of an entry.
@pytest.mark.parametrize("content", [entry_small_chunks,
                                     entry_short_of_length])
def test_many_connections_of_an_entry_stay_within_memory(monkeypatch, content):
    monkeypatch.setattr(bench, "BINARY", PRODUCT)
    with Bench(entries=1, services=[("supplier-ledger", "plain", 1)],
               entry_settings={"memory_mb": 40}) as b:
        entry = b.nodes[b.entries()[0]].proc
        with Gauge(entry, [b.caller_address()]) as gauge:
            with Crowd(b.caller_address(), MANY, content(MB),
                       returns=True) as crowd:
                settle(crowd)
                assert "intents" in b.status()
            gauge.check(40, DESCRIPTORS)


# Guards against a crowd whose unfinished requests take all connections of an
# entry: 16 MB of memory allow 192.
@pytest.mark.parametrize("returns", [False, True])
def test_crowd_does_not_take_all_connections_of_an_entry(monkeypatch, returns):
    monkeypatch.setattr(bench, "BINARY", PRODUCT)
    with Bench(entries=1, services=[("supplier-ledger", "plain", 1)],
               entry_settings={"memory_mb": 16}) as b:
        with Crowd(b.caller_address(), MANY, part_of_a_head,
                   returns=returns) as crowd:
            settle(crowd)
            for _ in range(10):
                wait_for("an answer", lambda: "intents" in json.loads(ask(
                    b.caller_address(), "GET", "/v1/status", timeout=10)[2]),
                    ANSWER_S)
        assert b.nodes[b.entries()[0]].proc.poll() is None


# Guards against a crowd that an operator of entries cannot see.
def test_entry_counts_what_its_clients_hold(monkeypatch):
    with entry_bench(monkeypatch) as b:
        limit, before = entry_metrics(b)
        assert limit == NODE_MB * MB * 3 // 8
        host, port = b.caller_address().rsplit(":", 1)
        with socket.create_connection((host, int(port)), ANSWER_S) as s:
            s.sendall(entry_post(["Content-Length: %d" % (4 * MB),
                                  "Expect: 100-continue"]))
            assert s.recv(65536).startswith(b"HTTP/1.1 413 ")
        assert entry_metrics(b) == (limit, before + 1)


def entry_metrics(b):
    """(limit of the memory of clients, bodies that were too large)"""
    text = ask(b.caller_address(), "GET", "/metrics")[2].decode()
    rows = dict(l.rsplit(" ", 1) for l in text.splitlines()
                if not l.startswith("#"))
    assert int(rows["quayring_client_connections"]) >= 1
    return (int(rows["quayring_client_memory_limit_bytes"]),
            int(rows["quayring_client_bodies_too_large_total"]))


@pytest.mark.parametrize("of_agent", [False, True])
def test_short_frames_at_entries_and_agents_stay_within_memory(monkeypatch,
                                                               of_agent):
    with entry_bench(monkeypatch) as b:
        name = (b.backends() if of_agent else b.entries())[0]
        node, address = b.nodes[name].proc, b.hosts[name]["address"]
        with Gauge(node, [address]) as gauge:
            with Crowd(address, 60, short_frame) as crowd:
                settle(crowd)
                assert "intents" in b.status()
            gauge.check(NODE_MB, DESCRIPTORS)


# A crowd of more connections than the process has descriptors.
FEW_DESCRIPTORS = 400
MANY = 600


def part_of_a_request(i):
    return [head(HOST, KEY, "/safe/a", "c-%d" % i,
                 ["Content-Length: 10"]), b"hell"]


def part_of_a_head(i):
    return [b"POST /safe/a HTTP/1.1\r\nHost: "]


def no_bytes(i):
    return [b""]


# Guards against a crowd whose unfinished requests take all connections, and
# shut out ordinary callers as long as it stays or whenever it comes back.
@pytest.mark.parametrize("returns", [False, True])
@pytest.mark.parametrize("content", [part_of_a_request, part_of_a_head,
                                     no_bytes])
def test_crowd_does_not_take_all_connections(content, returns):
    with CrowdFleet(descriptors=FEW_DESCRIPTORS) as f:
        with f.gauge() as gauge:
            with Crowd(f.gateways[0]["callers"], MANY, content,
                       returns=returns) as crowd:
                settle(crowd)
                for i in range(10):
                    f.answered("crowded-%d" % i)
                assert f.ready()
            f.answered("after")
            gauge.check(MEMORY_MB, FEW_DESCRIPTORS)


# Guards against descriptors that all listeners share going to one of them.
@pytest.mark.parametrize("listener", ["directory", "readiness", "metrics"])
def test_crowd_at_another_listener_leaves_connections(listener):
    with CrowdFleet(descriptors=FEW_DESCRIPTORS) as f:
        with f.gauge() as gauge:
            with Crowd(f.gateways[0][listener], MANY, part_of_a_head,
                       returns=True) as crowd:
                settle(crowd)
                for i in range(10):
                    f.answered("crowded-%d" % i)
                wait_for("an answer at the listener", lambda: ask(
                    f.gateways[0][listener], "GET", {
                        "directory": "/resolution?name=a",
                        "readiness": "/readyz",
                        "metrics": "/metrics"}[listener])[0] == 200, ANSWER_S)
            gauge.check(MEMORY_MB, FEW_DESCRIPTORS)


# Guards against bytes that the kernel holds for many connections, each within
# its receive buffer, while the process is too slow to read them.
@pytest.mark.parametrize("content", [small_chunks, short_of_length,
                                     whole_bodies])
def test_many_connections_stay_within_memory(content):
    with CrowdFleet(memory_mb=40, descriptors=1000) as f:
        meet(f, Crowd(f.gateways[0]["callers"], MANY, content(BODY_MAX),
                      returns=True))


# Guards against listeners that take more than their part of the descriptors.
@pytest.mark.parametrize("listener", ["directory", "readiness", "metrics"])
def test_another_listener_keeps_to_its_part_of_descriptors(listener):
    with CrowdFleet(descriptors=FEW_DESCRIPTORS) as f:
        calm = f.gauge()
        calm.sample()
        with f.gauge() as gauge:
            with Crowd(f.gateways[0][listener], MANY, part_of_a_head,
                       returns=True) as crowd:
                settle(crowd)
        part = FEW_DESCRIPTORS // 16
        assert calm.descriptors < gauge.descriptors \
            <= calm.descriptors + part, (calm.descriptors, gauge.descriptors)


# The listener for peers is not a client's, but it shares the descriptors.
def test_crowd_at_the_listener_for_peers_leaves_connections():
    with CrowdFleet(descriptors=FEW_DESCRIPTORS) as f:
        with f.gauge() as gauge:
            with Crowd(f.peers[0], MANY, no_bytes, returns=True) as crowd:
                settle(crowd)
                for i in range(10):
                    f.answered("crowded-%d" % i)
            gauge.check(MEMORY_MB, FEW_DESCRIPTORS)
