"""Starts stand-ins, entries and agents as processes on loopback, for tests
and the demo; asks them as callers and operators do."""
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
BINARY = os.environ.get("QUAYRING",
                        os.path.join(HERE, "..", "build", "quayring"))

DERWENT = {
    "zones": ["smithton-hall", "longford-hall", "huonville-hall"],
    "services": [("collection-rounds", "engine", 12),
                 ("supplier-ledger", "plain", 3),
                 ("depot-dispatch", "plain", 1)],
    "teams": ["tankers", "depots", "suppliers", "labs"],
}
ANDRADE = {
    "zones": ["quito-shed", "gye-shed", "coca-camp"],
    "services": [("core-logging", "engine", 12),
                 ("sample-tracking", "plain", 3),
                 ("client-invoicing", "plain", 1)],
    "teams": ["geologists", "auditors", "crews", "pings"],
}


# Below the ports that the kernel gives to outgoing connections: one of
# those could be taken between our look and the bind. Each run has a block of
# its own, whose first port it keeps: the port of a process that is just being
# restarted must not go to another run.
PORTS = (10000, 32000)
BLOCK = 600  # 64 gateways and as many sidecars take 448
block = {}
block_lock = threading.Lock()


def own_block():
    blocks = range(PORTS[0], PORTS[1] - BLOCK, BLOCK)
    for i in range(len(blocks)):
        first = blocks[(os.getpid() + i) % len(blocks)]
        guard = socket.socket()
        try:
            guard.bind(("127.0.0.1", first))
            guard.listen()
        except OSError:
            guard.close()
            continue
        block.update(guard=guard, first=first, next=1)
        return
    raise AssertionError("no block of ports is free")


def free_ports(n):
    ports = []
    while len(ports) < n:
        with block_lock:
            if not block:
                own_block()
            port = block["first"] + block["next"]
            block["next"] = block["next"] % (BLOCK - 1) + 1
        with socket.socket() as s:
            s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                s.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
    return ports


def ask(address, method, path, body=None, headers=None, timeout=30):
    """(status, headers, body) of one request on a connection of its own."""
    host, port = address.rsplit(":", 1)
    conn = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        conn.request(method, path, body=body, headers=headers or {})
        r = conn.getresponse()
        return r.status, dict(r.getheaders()), r.read()
    finally:
        conn.close()


def wait_for(what, check, timeout=60):
    """Waits on a condition; 'timeout' only ends what will never come."""
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        try:
            got = check()
        except (OSError, ValueError, http.client.HTTPException):
            got = None
        if got:
            return got
        time.sleep(0.02)
    raise AssertionError(f"never came: {what}")


class Node:
    """One process of ours, or a stand-in."""

    def __init__(self, bench, name, argv):
        self.name = name
        self.argv = argv
        self.log = open(os.path.join(bench.dir, name + ".log"), "ab")
        self.proc = None
        self.start()

    def start(self):
        self.proc = subprocess.Popen(self.argv, stdout=self.log,
                                     stderr=self.log)

    def signal(self, sig):
        if self.proc.poll() is None:
            self.proc.send_signal(sig)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.proc.wait()

    def stop(self, timeout=60):
        """A planned stop; returns the exit status."""
        self.signal(signal.SIGTERM)
        return self.proc.wait(timeout)


class Bench:
    def __init__(self, places=DERWENT, entries=3, services=None,
                 versions=None, origin_rate=0, link=0, entry_settings=None,
                 agent_settings=None, engine_options=None, slots=8):
        self.dir = tempfile.mkdtemp(prefix="quayring-")
        self.nodes = {}
        self.places = places
        self.services = services or places["services"]
        self.versions = versions or [["v1", 8, 65536, 0],
                                     ["v2", 8, 65536, 2]]
        self.slots = slots
        self.entry_settings = entry_settings or {}
        self.agent_settings = agent_settings or {}
        self.engine_options = engine_options or {}
        self.link = link
        self.hosts = {}
        ports = free_ports(4)
        self.log, self.store, self.origin, self.host_list = (
            f"127.0.0.1:{p}" for p in ports)
        self.standin("log", self.log)
        self.standin("store", self.store, {"versions": self.versions})
        self.standin("origin", self.origin,
                     {"versions": self.versions, "rate": origin_rate})
        self.plan_hosts(entries)
        self.standin("hosts", self.host_list, {"hosts": self.listed()})
        for address in (self.log, self.store, self.origin, self.host_list):
            self.wait_port(address)

    # -- processes

    def standin(self, kind, address, options=None, name=None):
        argv = [sys.executable, os.path.join(HERE, "standin.py"), kind,
                address.rsplit(":", 1)[1], json.dumps(options or {})]
        self.nodes[name or kind] = Node(self, name or kind, argv)

    @staticmethod
    def wait_port(address):
        host, port = address.rsplit(":", 1)

        def connects():
            with socket.create_connection((host, int(port)), 1):
                return True
        wait_for(f"port {address}", connects)

    def plan_hosts(self, entries):
        total = sum(n for _, _, n in self.services)
        ports = iter(free_ports(2 * entries + 3 * total))
        zones = self.places["zones"]
        for i in range(entries):
            name = f"entry-{i}"
            self.hosts[name] = {
                "host": name, "role": "entry",
                "availability_zone": zones[i % len(zones)],
                "address": f"127.0.0.1:{next(ports)}",
                "caller_address": f"127.0.0.1:{next(ports)}",
                "state": "live"}
        for service, kind, n in self.services:
            for i in range(n):
                name = f"{service}-{i}"
                self.hosts[name] = {
                    "host": name, "role": "backend_server",
                    "availability_zone": zones[i % len(zones)],
                    "address": f"127.0.0.1:{next(ports)}",
                    "backend": f"127.0.0.1:{next(ports)}",
                    "metrics": f"127.0.0.1:{next(ports)}",
                    "service": service, "kind": kind, "state": "live"}

    def listed(self):
        keys = ("host", "role", "availability_zone", "address",
                "caller_address", "state")
        return [{k: h[k] for k in keys if k in h}
                for h in self.hosts.values()]

    def publish_hosts(self):
        ask(self.host_list, "POST", "/hosts",
            json.dumps({"hosts": self.listed()}))

    def settings(self, name):
        h = self.hosts[name]
        s = {"role": "entry", "host": name, "log": self.log,
             "availability_zone": h["availability_zone"],
             "listen": h["address"], "host_list": self.host_list,
             "heartbeat_ms": 100, "lease_ms": 1000, "hosts_poll_ms": 200,
             "tick_ms": 20}
        if h["role"] == "entry":
            s.update({"callers": h["caller_address"], "log_poll_ms": 50,
                      "address_valid_ms": 500})
            s.update(self.entry_settings)
        else:
            s.update({"role": "agent", "service": h["service"],
                      "kind": h["kind"], "backend": h["backend"],
                      "weight_store": self.store, "origin": self.origin,
                      "checks_fence": self.engine_options.get(
                          "checks_fence", True),
                      "metrics": h["metrics"], "slots": self.slots,
                      "link_bytes_per_s": self.link})
            s.update(self.agent_settings)
        path = os.path.join(self.dir, name + ".json")
        with open(path, "w", encoding="utf-8") as f:
            json.dump(s, f)
        return path

    def start_node(self, name):
        h = self.hosts[name]
        verb = "entry" if h["role"] == "entry" else "agent"
        if name in self.nodes:
            self.nodes[name].start()
        else:
            self.nodes[name] = Node(self, name, [BINARY, verb, "-c",
                                                 self.settings(name)])

    def start(self):
        for name, h in self.hosts.items():
            if h["role"] == "backend_server":
                self.standin(h["kind"], h["backend"], self.engine_options,
                             name + ".backend")
        for name in self.hosts:
            self.start_node(name)
        for name in self.entries():
            self.wait_port(self.hosts[name]["caller_address"])
        self.wait_registered(self.backends())

    def entries(self):
        return [n for n, h in self.hosts.items() if h["role"] == "entry"]

    def backends(self, service=None):
        return [n for n, h in self.hosts.items()
                if h["role"] == "backend_server" and
                service in (None, h["service"])]

    def caller_address(self, i=0):
        return self.hosts[self.entries()[i]]["caller_address"]

    def wait_registered(self, names):
        """Every one of 'names' can stand in a plan."""
        text = json.dumps({"intents": [
            {"name": f"probe-{n}", "service": self.hosts[n]["service"],
             "kind": "plain", "hosts": [n], "teams": []} for n in names]})
        for i in range(len(self.entries())):
            wait_for("registration", lambda a=self.caller_address(i): ask(
                a, "POST", "/v1/plans", text)[0] == 200)

    def close(self):
        for node in self.nodes.values():
            node.signal(signal.SIGCONT)
            node.signal(signal.SIGKILL)
        for node in self.nodes.values():
            node.proc.wait()
            node.log.close()
        if os.environ.get("QUAYRING_KEEP"):
            print("logs are in", self.dir)
        else:
            shutil.rmtree(self.dir, ignore_errors=True)

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *exc):
        self.close()

    # -- faults and facts

    def control(self, address, **faults):
        self.wait_port(address)  # it may have been started a moment ago
        ask(address, "POST", "/control", json.dumps(faults))

    def backend_of(self, name):
        return self.hosts[name]["backend"]

    def runs(self):
        """{call id: times run} over every backend server."""
        total = {}
        for name in self.backends():
            got = json.loads(ask(self.backend_of(name), "GET", "/runs")[2])
            for call, n in got["runs"].items():
                total[call] = total.get(call, 0) + n
        return total

    def engine_facts(self, name):
        return json.loads(ask(self.backend_of(name), "GET", "/runs")[2])

    # -- operators

    def manifest(self, version):
        from standin import manifest_of
        for v in self.versions:
            if v[0] == version:
                return manifest_of(*v)[0]
        raise KeyError(version)

    def declaration(self, version="v1", objective="time", capacity=None,
                    services=None):
        intents = []
        for service, kind, n in self.services:
            if services and service not in services:
                continue
            teams = self.places["teams"]
            per = capacity or max(1, n * self.slots // (2 * len(teams)))
            intent = {"name": service, "service": service, "kind": kind,
                      "hosts": self.backends(service),
                      "teams": [{"team": t, "capacity": per}
                                for t in teams]}
            if kind == "engine":
                intent.update({"model": "assistant", "version": version,
                               "manifest": self.manifest(version),
                               "objective": objective})
            intents.append(intent)
        return {"intents": intents}

    def plan(self, declaration, entry=0):
        status, _, body = ask(self.caller_address(entry), "POST", "/v1/plans",
                              json.dumps(declaration))
        return status, json.loads(body)

    def confirm(self, plan, entry=0):
        status, _, body = ask(self.caller_address(entry), "POST",
                              "/v1/confirms", json.dumps(plan))
        return status, json.loads(body)

    def apply(self, declaration, entry=0):
        status, plan = self.plan(declaration, entry)
        assert status == 200, plan
        status, got = self.confirm(plan, entry)
        assert status == 200, got
        return got["revision"]

    def status(self, entry=0):
        return json.loads(ask(self.caller_address(entry), "GET",
                              "/v1/status")[2])

    def serving(self, version, entry=0):
        """Hosts that serve 'version', as an entry sees it."""
        want = self.manifest(version)
        return sum(1 for i in self.status(entry)["intents"]
                   for h in i["host_list"]
                   if h["manifest"] == want and not h["away"])

    def wait_serving(self, version, n, timeout=90):
        for i in range(len(self.entries())):
            if self.nodes[self.entries()[i]].proc.poll() is None:
                wait_for(f"{n} hosts on {version}",
                         lambda i=i: self.serving(version, i) >= n, timeout)


class Caller:
    """Sends calls as a caller does, and keeps what came of each."""

    def __init__(self, bench, seed=1):
        self.bench = bench
        self.rng = random.Random(seed)
        self.lock = threading.Lock()
        self.results = []

    def addresses(self, entry=0, zone=""):
        status, _, body = ask(
            self.bench.caller_address(entry), "GET",
            f"/v1/addresses?caller=test&availability_zone={zone}")
        assert status == 200, body
        return json.loads(body)

    def call(self, service, call_id, team, repeatable=True, entry=0,
             ticket=None, attempt=1, priority="normal", stream=False,
             deadline_ms=10000, tokens=8, body=None, address=None):
        headers = {"X-Team": team, "X-Call-Id": call_id,
                   "X-Priority": priority, "X-Attempt": str(attempt),
                   "X-Deadline-Ms": str(deadline_ms),
                   "X-Repeatable": "yes" if repeatable else "no",
                   "X-Stream": "yes" if stream else "no"}
        if ticket:
            headers["X-Ticket"] = ticket
        if body is None:
            body = json.dumps({"prompt": call_id, "max_tokens": tokens})
        start = time.monotonic()
        try:
            status, heads, data = ask(
                address or self.bench.caller_address(entry), "POST",
                f"/v1/calls/{service}", body, headers,
                timeout=deadline_ms / 1000 + 20)
            got = self.read(call_id, status, heads, data, stream)
        except (OSError, http.client.HTTPException) as e:
            got = {"outcome": "lost", "reason": repr(e)}
        got.update({"call_id": call_id, "service": service, "team": team,
                    "repeatable": repeatable, "priority": priority,
                    "took": time.monotonic() - start})
        with self.lock:
            self.results.append(got)
        return got

    @staticmethod
    def read(call_id, status, heads, data, stream):
        if heads.get("X-Outcome") == "answered":
            return {"outcome": "answered", "status": status, "data": data,
                    "manifest": heads.get("X-Manifest", "")}
        if stream and status == 200:
            body, _, last = data.rstrip(b"\n").rpartition(b"\n")
            end = json.loads(last)
            if end["outcome"] == "answered" and end["length"] != len(body):
                return {"outcome": "cut_passed_as_whole", "data": data}
            end["data"] = body
            return end
        got = json.loads(data)
        got["status"] = status
        got["retry_after"] = heads.get("Retry-After")
        return got


def answer_fault(result):
    """Why an answer of an engine is not the whole one to its own request."""
    pieces = result["data"].decode().rstrip(";").split(";")
    versions = set()
    for i, piece in enumerate(pieces):
        parts = piece.split("/")
        if len(parts) != 3 or parts[0] != result["call_id"]:
            return "crossed"
        if int(parts[2]) != i:
            return "cut"
        versions.add(parts[1])
    if len(versions) != 1:
        return "mixed"
    return None
