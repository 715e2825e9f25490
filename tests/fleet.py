"""Gateways and sidecars as real processes before stand-ins of the platform."""
import json
import os
import signal
import subprocess
import tempfile

from bench import BINARY, ask, free_ports, wait_for
from standin_platform import Engine, Origin, Store

HOST = "calls.example"
KEY = "key-1"
MODEL = "m1"

ROUTES = [
    {"name": "safe", "path-prefix": "/safe/", "route-type": "safe",
     "service": "ledger", "max-attempts": 2},
    {"name": "unsafe", "path-prefix": "/unsafe/", "route-type": "unsafe",
     "service": "ledger", "max-attempts": 1},
    {"name": "stream", "path-prefix": "/stream/", "route-type": "streaming",
     "service": "ledger", "max-attempts": 2, "stream-resume": True},
    {"name": "model", "path-prefix": "/model/", "route-type": "safe",
     "service": "engines", "max-attempts": 2},
]


def policy(version, origin, routes=ROUTES, timeout_ms=3000,
           body_max=20000, origin_connections=48):
    filled = [dict(r, hostname=HOST, priority=1, public=False)
              | {"timeout-ms": timeout_ms, "target-latency-ms": 400}
              for r in routes]
    engine = {"slots": 4, "stride": 2, "step_ms": 1.0, "per_seq_ms": 0.1,
              "read_per_s": 30000.0, "chunks": 6, "chunk-bytes": 2000,
              "layers": 4, "usual": {"prompt": 100, "answer": 20},
              "models": [{"name": MODEL, "warmup-s": 0.1}]}
    return {"version": version, "routes": filled,
            "services": [{"name": "ledger", "max-connections": 50},
                         {"name": "engines", "max-connections": 50,
                          "engine": engine},
                         {"name": "store", "origin": origin,
                          "max-connections": origin_connections}],
            "limits": {"max-header-bytes": 4096, "max-body-bytes": body_max,
                       "header-timeout-ms": 700, "idle-timeout-ms": 5000},
            "tenants": [{"name": "team-1", "api-keys": [KEY],
                         "priority": 1}]}


class Fleet:
    def __init__(self, gateways=1, plain=2, dark_stores=(),
                 version_ms=4000, grace_s=3):
        self.version_ms, self.grace_s = version_ms, grace_s
        self.dir = tempfile.mkdtemp(prefix="quayring-fleet-")
        self.store, self.origin = Store(), Origin()
        self.procs, self.logs = {}, {}
        self.binaries = {}  # of processes that run another than BINARY
        self.engines, self.plain = [], []
        self.peers = []
        self.gateways = []
        self.store.put("keyed.op", "config", policy(1, self.origin.address))
        for i in range(plain):
            self.plain.append(self.add_engine("p%d" % i, "ledger"))
        self.add_gateways(gateways, dark_stores=dark_stores)

    def add_gateways(self, n, settings=None, dark_stores=()):
        """Starts 'n' more, each of them with 'settings' beside the usual."""
        first = len(self.peers)
        self.peers += ["127.0.0.1:%d" % p for p in free_ports(n)]
        for i in range(first, first + n):
            self.start_gateway(i, i in dark_stores, settings)

    def add_engine(self, ident, service, model=None, version=0, zone="z1"):
        e = Engine(ident, service, model, version, zone)
        self.store.put("keyed.servers", ident, e.record())
        self.engines.append(e)
        return e

    def settings(self, name, role, peers, more):
        s = {"role": role, "platform": "log-store", "host": name,
             "availability_zone": "z1", "region": "r1",
             "regions": {"z1": "r1", "z2": "r2"},
             "store": self.store.address, "peers": peers,
             "seeds": self.peers, "grace_s": self.grace_s, "version_ms": self.version_ms}
        s.update(more)
        path = os.path.join(self.dir, name + ".json")
        with open(path, "w", encoding="utf-8") as f:
            json.dump(s, f)
        return path

    def start(self, name, role, path):
        with open(os.path.join(self.dir, name + ".log"), "ab") as log:
            self.logs[name] = log.name
            self.procs[name] = subprocess.Popen(
                [self.binaries.get(name, BINARY), role, "-c", path],
                stdout=log, stderr=log)

    def start_gateway(self, i, dark=False, settings=None):
        name = "g%d" % i
        ports = ["127.0.0.1:%d" % p for p in free_ports(4)]
        more = {"callers": ports[0], "directory": ports[1],
                "readiness": ports[2], "metrics": ports[3],
                "retry_ratio": 0.2, "retry_allowance": 100}
        more.update(settings or {})
        if dark:
            more["store"] = "127.0.0.1:%d" % free_ports(1)[0]
        path = self.settings(name, "gateway", self.peers[i], more)
        self.gateways[i:i + 1] = [more]
        self.start(name, "gateway", path)

    def start_sidecar(self, i, engine, service="engines", place=None):
        name = "s%d" % i
        peers, metrics = ["127.0.0.1:%d" % p for p in free_ports(2)]
        path = self.settings(name, "sidecar", peers,
                             {"engine": engine.address, "service": service,
                              "metrics": metrics})
        os.truncate(path, 0)
        with open(path, "w", encoding="utf-8") as f:
            json.dump({"role": "sidecar", "platform": "log-store",
                       "host": name, "availability_zone": "z1",
                       "region": "r1", "store": self.store.address,
                       "peers": peers, "seeds": self.peers,
                       "metrics": metrics, "engine": engine.address,
                       "service": service,
                       "version_ms": self.version_ms} | (place or {}), f)
        self.start(name, "sidecar", path)

    def ready(self, i=0):
        status, _, _ = ask(self.gateways[i]["readiness"], "GET", "/readyz")
        return status == 200

    def wait_ready(self):
        for i in range(len(self.gateways)):
            wait_for("gateway %d ready" % i, lambda i=i: self.ready(i))

    def call(self, path, ident, gateway=0, method="POST", body=b"hello",
             headers=None, key=KEY, deadline=2500, timeout=10):
        h = {"Host": HOST, "X-Attempt-Id": ident, "X-Deadline-Ms":
             str(deadline)}
        if key:
            h["Api-Key"] = key
        h.update(headers or {})
        return ask(self.gateways[gateway]["callers"], method, path, body, h,
                   timeout=timeout)

    def log(self, name):
        with open(self.logs[name], encoding="utf-8", errors="replace") as f:
            return f.read()

    def metrics(self, i=0):
        _, _, body = ask(self.gateways[i]["metrics"], "GET", "/metrics")
        rows = [l.split() for l in body.decode().splitlines()
                if l and not l.startswith("#")]
        return {name: float(value) for name, value in rows}

    def stop(self):
        """Stops every process; returns their exit statuses."""
        for p in self.procs.values():
            if p.poll() is None:
                p.send_signal(signal.SIGTERM)
        codes = {n: p.wait(timeout=20) for n, p in self.procs.items()}
        for server in [self.store, self.origin] + self.engines:
            server.close()
        return codes

    def __enter__(self):
        return self

    def __exit__(self, *exc):
        codes = self.stop()
        if exc[0] is None:
            bad = {n: c for n, c in codes.items() if c not in (0, -9)}
            assert not bad, (bad, [self.log(n)[-2000:] for n in bad])
