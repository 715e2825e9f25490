"""Versions of weights that are named while the origin is away. The test tells a
version to chosen sidecars before the store names it to all."""
import json
import os
import re
import signal
import time

import pytest

from bench import wait_for
from fleet import MODEL, Fleet, policy
from gen import fleet_pb2
from peer import Peer, hello
from standin_platform import Origin

SIDECARS = 5
VERSION_MS = 10000
SERVED_AFTER_RETURN_S = 9
SERVED_AFTER_NAMING_S = 11
AWAY_S = 3  # the origin stays away after the last event
REQUEST_S = 0.1  # for a request to reach another sidecar
UNREACHABLE_S = 1.0  # of failures, after which a root passes the manifest on
OPERATOR_TOPIC = "keyed.op"
YIELDED = (r"another root fetches index=-1 version=%d "
           r"roots_tried=(\d+)")


class BlockingOrigin(Origin):
    """Resets the connections of the process 'blocked' even while it is up.
    While it is down, it answers nothing to the process 'hung', and resets the
    connections of the others."""

    def __init__(self):
        self.blocked = self.hung = None  # pids
        self.unanswered = []
        super().__init__()

    def reset(self, conn):
        if self.down and self.hung and has_connection(self.hung, conn):
            self.unanswered.append(conn)
            return
        super().reset(conn)

    def bring_up(self):
        self.hung = None
        super().bring_up()
        for conn in self.unanswered:
            conn.close()
        self.unanswered = []

    def serve(self, conn):
        if self.blocked and has_connection(self.blocked, conn):
            self.open.discard(conn)
            self.reset(conn)
            return
        super().serve(conn)


def has_connection(pid, conn):
    """Whether the process holds the other end of a connection."""
    try:
        local = ":%04X" % conn.getpeername()[1]
    except OSError:  # closed by the other end
        return False
    remote = ":%04X" % conn.getsockname()[1]
    with open("/proc/net/tcp", encoding="ascii") as f:
        rows = [line.split() for line in f.readlines()[1:]]
    inodes = {"socket:[%s]" % r[9] for r in rows
              if r[1].endswith(local) and r[2].endswith(remote)}
    for fd in os.listdir(f"/proc/{pid}/fd"):
        try:
            if os.readlink(f"/proc/{pid}/fd/{fd}") in inodes:
                return True
        except OSError:  # closed meanwhile
            pass
    return False


class OriginAwayFleet(Fleet):
    """One region, in which all sidecars are roots."""

    def __init__(self):
        super().__init__(gateways=0, plain=0, version_ms=VERSION_MS)
        self.origin.close()
        self.origin = BlockingOrigin()
        self.store.put(OPERATOR_TOPIC, "config",
                       policy(2, self.origin.address))
        self.add_gateways(1)
        self.names = [f"s{i}" for i in range(SIDECARS)]
        for i in range(SIDECARS):
            self.start_sidecar(i, self.add_engine(f"m{i}", "engines", MODEL, 1))
        self.wait_ready()
        wait_for("sidecars to know each other", lambda: all(
            self.log(n).count("role=sidecar") >= SIDECARS - 1
            for n in self.names), 10)
        time.sleep(1.1)  # a sidecar that has just started fetches nothing
        self.version, self.named_at, self.back_at = 1, 0.0, 0.0
        self.frozen = set()

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
        peer = self.peer_of(name)
        peer.send(records=fleet_pb2.Records(
            records=[fleet_pb2.Record(key="version/" + MODEL,
                                      value=json.dumps(record).encode(),
                                      offset=offset, epoch=1)],
            end=offset + 1, epoch=1))
        self.wait_heard(name, record)
        peer.conn.close()

    def peer_of(self, name):
        with open(os.path.join(self.dir, name + ".json"),
                  encoding="utf-8") as f:
            return Peer(json.load(f)["peers"], hello("teller"))

    def sidecar_hellos(self):
        """What the gateway tells of each sidecar."""
        watcher = Peer(self.peers[0], hello("watcher", follow=True,
                                           service="ledger"))
        found = {m.name: m for f in watcher.frames_for(0.3)
                 for m in f.members.members if m.name in self.names}
        watcher.conn.close()
        assert len(found) == SIDECARS
        return found

    def list_others(self, name, hellos, gone):
        """Tells a sidecar that all others have gone, or that they are there."""
        rows = []
        for other in self.names:
            if other != name:
                row = fleet_pb2.Hello()
                row.CopyFrom(hellos[other])
                row.gone = gone
                rows.append(row)
        text = f"members: {'gone' if gone else 'listed'} name=s"
        until = self.log(name).count(text) + len(rows)
        peer = self.peer_of(name)
        peer.send(members=fleet_pb2.Members(members=rows))
        wait_for(f"{name} to take the list",
                 lambda: self.log(name).count(text) >= until, 5)
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
                 lambda: self.turn_of(name, version) is not None, 10)

    def find_roots(self):
        """Returns the roots in the order in which the manifest is passed on,
        the owner first. Names and model determine it."""
        self.origin.take_down()
        record = self.new_version()
        self.publish(record)
        wait_for("all roots to be asked", lambda: all(
            self.turn_of(n, record["version"]) for n in self.names), 12)
        self.bring_back()
        self.check_served()
        return sorted(self.names,
                      key=lambda n: self.turn_of(n, record["version"]))

    def pass_on_unheard(self, owner):
        """The owner, alone, hears of a version and passes the manifest on to
        the next root. Returns the version's record."""
        record = self.new_version()
        self.tell(owner, record)
        self.wait_passed_on(owner, record["version"])
        time.sleep(REQUEST_S)
        return record

    def freeze(self, name):
        self.procs[name].send_signal(signal.SIGSTOP)
        self.frozen.add(name)

    def wake(self, name):
        self.procs[name].send_signal(signal.SIGCONT)
        self.frozen.discard(name)

    def kill(self, name):
        self.procs[name].kill()
        self.procs[name].wait(10)

    def stop(self):
        for name in list(self.frozen):
            self.wake(name)
        return super().stop()

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


@pytest.fixture(scope="module", name="roots")
def roots_of_manifest():
    with OriginAwayFleet() as f:
        return f.find_roots()


@pytest.fixture(name="fleet")
def origin_away_fleet(roots):
    assert len(roots) == SIDECARS
    with OriginAwayFleet() as f:
        yield f


def return_and_check(fleet):
    time.sleep(AWAY_S)
    fleet.bring_back()
    fleet.check_served()


def test_owner_hears_of_version_before_next_root(fleet, roots):
    """The owner passed the manifest on to a root that had not heard of the
    version yet. That root then asked the owner, and each waited for the
    other."""
    fleet.origin.take_down()
    record = fleet.pass_on_unheard(roots[0])
    fleet.publish_until_heard(record, fleet.names)
    return_and_check(fleet)


def test_next_root_hears_of_version_before_owner(fleet, roots):
    """The next root asks an owner that has not heard of the version yet: it
    is not left waiting when the owner hears of it."""
    fleet.origin.take_down()
    record = fleet.new_version()
    fleet.tell(roots[1], record)
    time.sleep(UNREACHABLE_S)
    fleet.publish_until_heard(record, fleet.names)
    return_and_check(fleet)


def test_next_root_hears_before_manifest_is_passed_on(fleet, roots):
    """The owner and the next root know the version, the others do not: the
    next root, too, passes the manifest on to one that has not heard of it."""
    fleet.origin.take_down()
    record = fleet.new_version()
    fleet.tell(roots[0], record)
    fleet.tell(roots[1], record)
    fleet.wait_passed_on(roots[1], record["version"])
    time.sleep(REQUEST_S)
    fleet.publish_until_heard(record, fleet.names)
    return_and_check(fleet)


@pytest.mark.parametrize("heard", [False, True])
def test_next_root_is_frozen(fleet, roots, heard):
    """The next root stands still when it is asked, and wakes while the origin
    is away. It has heard of the version before, or hears of it at its wake."""
    fleet.origin.take_down()
    record = fleet.new_version()
    if heard:
        fleet.tell(roots[1], record)
    fleet.freeze(roots[1])
    fleet.tell(roots[0], record)
    fleet.wait_passed_on(roots[0], record["version"])
    time.sleep(REQUEST_S)
    others = [n for n in fleet.names if n != roots[1]]
    fleet.publish_until_heard(record, others)
    time.sleep(1)
    fleet.wake(roots[1])
    return_and_check(fleet)


def test_next_root_is_frozen_after_it_was_asked(fleet, roots):
    """The next root, which has not heard of the version, says that the
    manifest is pending and then stands still."""
    fleet.origin.take_down()
    record = fleet.pass_on_unheard(roots[0])
    fleet.freeze(roots[1])
    others = [n for n in fleet.names if n != roots[1]]
    fleet.publish_until_heard(record, others)
    time.sleep(2)
    fleet.wake(roots[1])
    return_and_check(fleet)


def test_next_root_is_killed(fleet, roots):
    """The next root ends after it was asked for the manifest: the owner asks
    another one, which has not heard of the version either."""
    fleet.origin.take_down()
    record = fleet.pass_on_unheard(roots[0])
    fleet.kill(roots[1])
    time.sleep(REQUEST_S)
    fleet.publish_until_heard(record, fleet.alive())
    return_and_check(fleet)


@pytest.mark.parametrize("heard", [False, True])
def test_next_root_is_cut_off_from_origin(fleet, roots, heard):
    """The next root cannot reach the origin when that is back. It has heard of
    the version before it is asked, or hears of it afterwards."""
    fleet.origin.take_down()
    fleet.origin.blocked = fleet.procs[roots[1]].pid
    if heard:
        record = fleet.new_version()
        fleet.publish_until_heard(record, fleet.names)
        fleet.wait_passed_on(roots[0], record["version"])
    else:
        record = fleet.pass_on_unheard(roots[0])
        fleet.publish_until_heard(record, fleet.names)
    return_and_check(fleet)


@pytest.mark.parametrize("unheard", [1, 2])
def test_more_versions_while_origin_is_away(fleet, roots, unheard):
    """All hear of a version. The owner, for which the origin is failing by
    then, hears of the next ones before the next root, and at once passes
    their manifests on."""
    fleet.origin.take_down()
    first = fleet.new_version()
    fleet.publish_until_heard(first, fleet.names)
    fleet.wait_passed_on(roots[0], first["version"])
    for _ in range(unheard):
        record = fleet.pass_on_unheard(roots[0])
        fleet.publish_until_heard(record, fleet.names)
    return_and_check(fleet)


def test_owner_is_restarted(fleet, roots):
    """The owner that has passed the manifest on ends and starts again."""
    fleet.origin.take_down()
    record = fleet.pass_on_unheard(roots[0])
    fleet.publish_until_heard(record, fleet.names)
    fleet.kill(roots[0])
    path = os.path.join(fleet.dir, roots[0] + ".json")
    fleet.start(roots[0], "sidecar", path)
    return_and_check(fleet)


def test_owner_is_killed(fleet, roots):
    """The owner that has passed the manifest on ends for good."""
    fleet.origin.take_down()
    record = fleet.pass_on_unheard(roots[0])
    fleet.publish_until_heard(record, fleet.names)
    fleet.kill(roots[0])
    return_and_check(fleet)


def test_root_that_asks_the_origin_is_passed_the_manifest(fleet, roots):
    """A root that for a while knew no other sidecar asks the origin for itself
    when the manifest is passed on to it as to the third root. It forgot that
    and passed the manifest on to the second root, which was waiting for it."""
    third = roots[2]
    hellos = fleet.sidecar_hellos()
    fleet.origin.hung = fleet.procs[third].pid
    fleet.origin.take_down()
    fleet.list_others(third, hellos, gone=True)
    record = fleet.new_version()
    fleet.publish_until_heard(record, fleet.names)
    fleet.wait_passed_on(roots[1], record["version"])
    time.sleep(REQUEST_S)
    fleet.list_others(third, hellos, gone=False)
    fleet.wait_passed_on(third, record["version"])
    return_and_check(fleet)


def test_last_pieces_of_a_root_that_is_cut_off_from_origin(fleet, roots):
    """The origin is up, but the next root cannot reach it. The others have
    fetched their pieces at once, and none of them reports later that the origin
    answers: the root never learned that another one had to fetch its pieces."""
    fleet.origin.blocked = fleet.procs[roots[1]].pid
    record = fleet.new_version()
    fleet.publish_until_heard(record, fleet.names)
    fleet.check_served()
