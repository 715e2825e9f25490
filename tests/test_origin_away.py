"""Versions of weights that are named while the origin is away. The test tells a
version to chosen sidecars before the store names it to all."""
import json
import os
import re
import signal
import time

import pytest

from bench import wait_for
from fleet import MODEL, Fleet
from gen import fleet_pb2
from peer import Peer, hello

SIDECARS = 5
VERSION_MS = 10000
SERVED_AFTER_RETURN_S = 9
SERVED_AFTER_NAMING_S = 11
AWAY_S = 3  # the origin stays away after the last event
OPERATOR_TOPIC = "keyed.op"
YIELDED = (r"another root fetches index=-1 version=%d "
           r"roots_tried=(\d+)")


class OriginAwayFleet(Fleet):
    """One region, in which all sidecars are roots. 'roots' lists them in the
    order in which the manifest is passed on, the owner first."""

    def __init__(self):
        super().__init__(plain=0, version_ms=VERSION_MS)
        self.names = [f"s{i}" for i in range(SIDECARS)]
        for i in range(SIDECARS):
            self.start_sidecar(i, self.add_engine(f"m{i}", "engines", MODEL, 1))
        self.wait_ready()
        wait_for("sidecars to know each other", lambda: all(
            self.log(n).count("role=sidecar") >= SIDECARS - 1
            for n in self.names), 10)
        time.sleep(1.1)  # a sidecar that has just started fetches nothing
        self.version, self.named_at, self.back_at = 1, 0.0, 0.0
        self.roots = self.find_roots()

    def engine_of(self, name):
        return self.engines[self.names.index(name)]

    def new_version(self):
        self.version += 1
        self.named_at = time.monotonic()
        return {"model": MODEL, "version": self.version}

    def publish(self, record):
        self.store.put(OPERATOR_TOPIC, "version/" + MODEL, record)

    def tell(self, name, record):
        """Tells one sidecar what publish() is going to tell all."""
        offset = len(self.store.records(OPERATOR_TOPIC))
        with open(os.path.join(self.dir, name + ".json"),
                  encoding="utf-8") as f:
            peer = Peer(json.load(f)["peers"], hello("teller"))
        peer.send(records=fleet_pb2.Records(
            records=[fleet_pb2.Record(key="version/" + MODEL,
                                      value=json.dumps(record).encode(),
                                      offset=offset, epoch=1)],
            end=offset + 1, epoch=1))
        self.wait_heard(name, record)
        peer.conn.close()

    def wait_heard(self, name, record):
        text = f"target model={MODEL} version={record['version']} "
        wait_for(f"{name} to hear of version {record['version']}",
                 lambda: text in self.log(name), 5)

    def publish_until_heard(self, record, names):
        self.publish(record)
        for name in names:
            self.wait_heard(name, record)

    def turn_of(self, name, version):
        """How many roots had been asked for the manifest when this sidecar
        passed it on; None: it did not."""
        found = re.search(YIELDED % version, self.log(name))
        return int(found.group(1)) if found else None

    def wait_passed_on(self, name, version):
        wait_for(f"{name} to pass the manifest on",
                 lambda: self.turn_of(name, version) is not None, 5)

    def find_roots(self):
        self.origin.take_down()
        record = self.new_version()
        self.publish(record)
        wait_for("all roots to be asked", lambda: all(
            self.turn_of(n, record["version"]) for n in self.names), 12)
        self.bring_back()
        self.check_served()
        return sorted(self.names,
                      key=lambda n: self.turn_of(n, record["version"]))

    def bring_back(self):
        self.origin.bring_up()
        self.back_at = time.monotonic()

    def alive(self):
        return [n for n in self.names if self.procs[n].poll() is None]

    def check_served(self):
        """All engines serve the newest version within the bound."""
        until = max(self.back_at + SERVED_AFTER_RETURN_S,
                    self.named_at + SERVED_AFTER_NAMING_S)

        def lacking():
            return [n for n in self.alive()
                    if self.engine_of(n).version != self.version]

        while lacking() and time.monotonic() < until:
            time.sleep(0.05)
        assert not lacking(), (f"version {self.version}: not served by "
                               f"{lacking()}, manifests {self.origin.manifests}")


@pytest.fixture(name="fleet")
def origin_away_fleet():
    with OriginAwayFleet() as f:
        yield f


def test_owner_hears_of_version_before_next_root(fleet):
    """The owner passed the manifest on to a root that had not heard of the
    version yet. That root then asked the owner, and each waited for the
    other."""
    owner = fleet.roots[0]
    fleet.origin.take_down()
    record = fleet.new_version()
    fleet.tell(owner, record)
    fleet.wait_passed_on(owner, record["version"])
    time.sleep(0.1)
    fleet.publish_until_heard(record, fleet.names)
    time.sleep(AWAY_S)
    fleet.bring_back()
    fleet.check_served()
