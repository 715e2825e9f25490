"""A region far from the store: all of its gateways share one slow link to it.
The sizes are a tenth of those at which these failures occurred."""
import json
import signal
import time

from bench import wait_for
from fleet import ROUTES, Fleet, policy
from narrow_link import NarrowLink
from peer import Peer, hello

GATEWAYS = 6
LINK_BYTES_PER_S = 400000
ADDED_ROUTES = 1600
APPLY_S = 3.0  # every gateway applies a configuration within this time
DRAIN_S = 3.0  # every gateway knows a draining engine within this time


def many_routes():
    return ROUTES + [{"name": f"more-{i}", "path-prefix": f"/more-{i}/x/",
                      "route-type": "safe", "service": "ledger",
                      "max-attempts": 2} for i in range(ADDED_ROUTES)]


def size_of(value):
    return len(json.dumps(value))


class FarRegion:
    """A fleet whose gateways all reach the store over one link."""

    def __enter__(self):
        self.fleet = Fleet(gateways=0, plain=3)
        f = self.fleet
        self.link = NarrowLink(f.store.address, LINK_BYTES_PER_S)
        f.add_gateways(GATEWAYS, {"store": self.link.address})
        f.wait_ready()
        self.names = [f"g{i}" for i in range(GATEWAYS)]
        wait_for("most gateways to suspend reading engines", lambda: sum(
            "heard from other gateways" in f.log(n) for n in self.names)
            >= GATEWAYS - 2)
        return self

    def __exit__(self, *exc):
        self.link.close()
        return self.fleet.__exit__(*exc)

    def all_logged(self, text):
        return all(text in self.fleet.log(n) for n in self.names)


def test_a_large_configuration_crosses_the_link_about_once():
    """Guards against each gateway reading the whole configuration over the
    link, timing out before the read is complete, and starting again."""
    with FarRegion() as r:
        new = policy(2, r.fleet.origin.address, routes=many_routes())
        before = r.link.sent
        r.fleet.store.put("keyed.op", "config", new)
        wait_for("all gateways to apply it",
                 lambda: r.all_logged("in force version=2"), APPLY_S)
        time.sleep(1.0)
        assert r.link.sent - before < 3 * size_of(new)


def test_a_configuration_received_from_a_peer_is_not_read_again():
    """Guards against gateways that received a configuration from peers and
    still read it from the store, once a second, for as long as that failed."""
    with Fleet(gateways=0, plain=0) as f:
        link = NarrowLink(f.store.address, LINK_BYTES_PER_S)
        new = policy(2, f.origin.address, routes=many_routes())
        f.store.put("keyed.op", "config", new)
        f.add_gateways(1)
        f.wait_ready()
        f.add_gateways(1, {"store": link.address})
        f.wait_ready()
        wait_for("the second gateway to receive it",
                 lambda: "in force version=2" in f.log("g1"))
        time.sleep(1.0)
        assert link.sent < size_of(new) / 2
        link.close()


def test_a_draining_engine_is_known_during_a_large_configuration():
    """Guards against reads of engine records that queue behind the
    configuration on the link, time out and start again."""
    with FarRegion() as r:
        f = r.fleet
        new = policy(2, f.origin.address, routes=many_routes())
        f.store.put("keyed.op", "config", new)
        time.sleep(0.2)
        f.store.put("keyed.servers", "p0", f.plain[0].record("draining"))
        wait_for("all gateways to know the engine drains",
                 lambda: r.all_logged("draining engine=p0"), DRAIN_S)


def test_a_joining_sidecar_is_not_sent_routes():
    """When 38 machines joined within seconds, each sidecar read the
    configuration from the store and once more from its gateway."""
    with Fleet(plain=0) as f:
        f.wait_ready()
        f.store.put("keyed.op", "config",
                    policy(2, f.origin.address, routes=many_routes()))
        wait_for("the routes to be applied",
                 lambda: "in force version=2" in f.log("g0"))
        sidecar = Peer(f.peers[0], hello("side", follow=True))
        records = [r for x in sidecar.frames_for(0.5)
                   for r in x.records.records]
        assert [r.key for r in records] == ["config"]
        assert len(records[0].value) < 4000
        engine = f.add_engine("e0", "engines", "m1", 1)
        gateway = f.procs["g0"]
        wait_for("the gateway's own read to wait",
                 lambda: f.store.reads["keyed.op"] > 1)
        gateway.send_signal(signal.SIGSTOP)
        time.sleep(0.1)
        reads = f.store.reads["keyed.op"]
        f.start_sidecar(0, engine)
        time.sleep(1.0)  # the stopped gateway sends no hello
        assert f.store.reads["keyed.op"] == reads
        gateway.send_signal(signal.SIGCONT)
        wait_for("the sidecar to apply the configuration",
                 lambda: "in force version=2" in f.log("s0"))
        time.sleep(0.5)
        # the gateway itself long-polls the store in successive reads
        assert f.store.reads["keyed.op"] - reads <= 2


def test_sidecars_do_not_read_the_store_when_their_gateway_has_no_records():
    """The gateway has read nothing because its store is down. When the store
    returns, gateways inform one another; a hundred sidecars that had begun to
    read would each be sent everything."""
    with Fleet(gateways=1, plain=0, dark_stores=(0,)) as f:
        engine = f.add_engine("e0", "engines", "m1", 1)
        f.start_sidecar(0, engine)
        wait_for("the sidecar to reach the gateway",
                 lambda: "gateway reached" in f.log("s0"))
        time.sleep(2.5)
        assert "keyed.op" not in f.store.reads
        f.procs["g0"].kill()
        wait_for("the sidecar to read for itself",
                 lambda: "in force version=1" in f.log("s0"), 6)
