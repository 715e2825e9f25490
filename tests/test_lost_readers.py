"""Two gateways read the store for all. Both lose it at the same time, and the
other gateways have to apply records that are written from then on in time."""
import time

import pytest

from bench import wait_for
from fault_link import BACK, THERE, Link, Loop
from fleet import ROUTES, Fleet, policy

CONTACT_S = 3.0  # a host whose connections broke may be late for so long
APPLY_S = 2.0  # config_apply_ms and drain_ms, which are 2000 by default
GATEWAYS = 8
ROUTE = {"name": "added", "path-prefix": "/added/", "route-type": "safe",
         "service": "ledger", "max-attempts": 2}


class StoreLinksFleet(Fleet):
    """Gateways in two regions, each with a link of its own to the store."""

    def __init__(self):
        self.loop = Loop()
        super().__init__(gateways=0, plain=2)
        self.links = [Link(self.loop, self.store.address)
                      for _ in range(GATEWAYS)]
        for i, link in enumerate(self.links):
            zone = {"availability_zone": "z2", "region": "r2"} if i % 2 else {}
            self.add_gateways(1, {"store": link.address} | zone)
        self.wait_ready()
        wait_for("two to read", lambda: len(self.readers()) == 2, 8)
        time.sleep(1.0)  # the others have heard from both

    def readers(self):
        return [i for i in range(GATEWAYS)
                if self.log("g%d" % i).rfind("engines: read from the store") >
                self.log("g%d" % i).rfind("heard from other gateways")]

    def cut_from_store(self, gateways):
        """Cuts them right after the store has answered a reader: others take
        these answers for fresh as long as possible."""
        reads = self.store.reads["keyed.servers"]
        wait_for("the store to be read", lambda: (
            self.store.reads["keyed.servers"] > reads))
        time.sleep(0.02)  # the answer has arrived
        for i in gateways:
            self.links[i].cut((THERE, BACK))

    def silence_held_reads(self):
        """Silences the readers' connections on which the store holds a read of
        operator's records, right after these reads were sent."""
        self.store.put("keyed.op", "config", policy(2, self.origin.address))
        for i in self.readers():
            wait_for("the read to be answered", lambda i=i: (
                "in force version=2" in self.log("g%d" % i)))
        time.sleep(0.05)  # the next reads have arrived
        for i in self.readers():
            self.links[i].silence(b"keyed.op")

    def add_route(self):
        self.store.put("keyed.op", "config", policy(
            20, self.origin.address, ROUTES + [ROUTE]))

    def not_served(self, path):
        return [i for i in range(GATEWAYS)
                if self.call(path, "c%f" % time.monotonic(), gateway=i)[0]
                != 200]

    def stop(self):
        codes = super().stop()
        self.loop.close()
        return codes


# How many gateways lose the store beside both readers.
OTHERS = [pytest.param(0, id="only_readers"),
          pytest.param(3, id="three_others")]


def choose_lost(f, others):
    readers = f.readers()
    return readers + [i for i in range(GATEWAYS) if i not in readers][:others]


# Both readers lost the store. Gateways with paused reads waited for longer than
# a configuration may take before they read it, and refused the new route.
@pytest.mark.parametrize("others", OTHERS)
def test_configuration_is_applied_in_time_without_its_readers(others):
    with StoreLinksFleet() as f:
        f.cut_from_store(choose_lost(f, others))
        f.add_route()
        time.sleep(APPLY_S)
        assert not f.not_served("/added/x")


# The same for an engine's record: calls still reached an engine that had
# announced its end.
@pytest.mark.parametrize("others", OTHERS)
def test_leaving_engine_gets_no_calls_in_time_without_readers(others):
    with StoreLinksFleet() as f:
        f.cut_from_store(choose_lost(f, others))
        leaving = f.plain[0]
        f.store.put("keyed.servers", leaving.id, leaving.record("draining"))
        time.sleep(APPLY_S)
        leaving.seen.clear()
        for _ in range(4):
            assert not f.not_served("/safe/x")
        assert not leaving.seen


# Only the connections on which both readers waited for operator's records went
# silent. The readers waited for longer than the bound before they read anew, and
# were not replaced, since their reads of engines' records went on.
def test_configuration_is_applied_in_time_after_held_reads_go_silent():
    with StoreLinksFleet() as f:
        f.silence_held_reads()
        f.add_route()
        time.sleep(CONTACT_S)
        assert not f.not_served("/added/x")
