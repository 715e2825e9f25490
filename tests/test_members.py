"""Who is there: what gateways take from one another about others."""
import json
import socket
import time
import zlib

from bench import ask, wait_for
from fleet import ROUTES, Fleet, policy
from gen import fleet_pb2
from peer import Peer, hello


def told_of(frames, name):
    return sum(m.name == name for f in frames for m in f.members.members)


def test_hearsay_of_a_restarted_gateway_goes_round_once():
    """Bench, 34 gateways: each passed on the other incarnation as news, for
    as long as one of them knew the old one; memory went over its limit."""
    with Fleet(plain=0) as f:
        f.wait_ready()
        teller = Peer(f.peers[0], hello("teller", "gateway"))
        listener = Peer(f.peers[0], hello("listener", follow=True))
        time.sleep(0.2)
        for incarnation in (1, 2, 1, 2, 1, 2):
            ghost = hello("ghost", "gateway", incarnation=incarnation)
            teller.send(members=fleet_pb2.Members(members=[ghost]))
            time.sleep(0.02)
        frames = listener.frames_until_silence(0.5)
        assert told_of(frames, "ghost") == 1
        assert f.log("g0").count("new name=ghost") == 1


def test_one_peer_is_asked_for_what_is_missing():
    """Bench, 34 gateways: each told each of those that the store left out the
    whole configuration, ten times a second."""
    with Fleet(gateways=2, plain=0, dark_stores=(0, 1)) as f:
        for i in range(2):
            wait_for("listening", lambda i=i: ask(
                f.gateways[i]["readiness"], "GET", "/readyz")[0] == 503)
        know = [Peer(f.peers[0], hello(f"know{i}", "gateway",
                                       control_offset=3)) for i in range(5)]
        behind = Peer(f.peers[1], hello("behind", "gateway"))
        time.sleep(1.0)
        fetches = [sum(frame.HasField("fetch")
                       for frame in p.frames_for(0.02)) for p in know]
        # one is asked at a time, by turns while none answers
        assert 2 <= sum(fetches) <= 5 and max(fetches) < sum(fetches)
        policy_1 = json.dumps(policy(1, f.origin.address)).encode()
        know[0].send(records=fleet_pb2.Records(records=[fleet_pb2.Record(
            key="config", value=policy_1, offset=2)], end=3))
        wait_for("the other one to ask and be told",
                 lambda: "in force version=1" in f.log("g1"))
        # who is behind asks; nobody is told unasked
        assert not any(frame.HasField("records")
                       for frame in behind.frames_for(0.5))
        assert f.log("g1").count("in force version=1") == 1


def test_who_has_just_started_asks_since_when_a_version_is_named():
    """Bench, trouble-3 of the third site: gateways restarted in an outage took
    versions that had just been named for long in force, and served nobody."""
    value = json.dumps({"model": "m1", "version": 2}).encode()
    with Fleet(gateways=0, plain=0, version_ms=8000) as f:
        f.store.put("keyed.op", "version/m1", {"model": "m1", "version": 2})
        f.add_gateways(1)
        f.wait_ready()
        end = len(f.store.records("keyed.op"))
        # the only other gateway: nobody else can be asked
        peer = Peer(f.peers[0], hello("old", "gateway", control_offset=end))
        frames = peer.frames_for(1.0)
        asked = [x.fetch for x in frames if x.HasField("fetch")
                 and not x.fetch.engines and not x.fetch.gateways]
        assert [x.offset for x in asked][:1] == [end - 1]
        peer.send(records=fleet_pb2.Records(end=end, records=[
            fleet_pb2.Record(key="version/m1", value=value, offset=end - 1,
                             age_ms=700)]))
        wait_for("the age", lambda: "named later than assumed key=version/m1 "
                 "age_ms=700" in f.log("g0"), 5)


def test_the_first_of_a_region_asks_other_regions():
    """Bench: CONFIG. What only other regions knew, each gateway of a region
    asked for over the same narrow link."""
    with Fleet(gateways=3, plain=0, dark_stores=(0, 1, 2)) as f:
        names = [f"g{i}" for i in range(3)]
        for n in names:
            wait_for("all to meet", lambda n=n: all(
                f"new name={m}" in f.log(n) for m in names if m != n))
        time.sleep(0.5)  # heartbeats of each have come
        know = [Peer(p, hello("know", "gateway", region="r9",
                              control_offset=3)) for p in f.peers]
        end = time.monotonic() + 0.35
        while time.monotonic() < end and not any(
                "asked=know" in f.log(n) for n in names):
            time.sleep(0.01)
        time.sleep(0.1)
        assert sum("asked=know" in f.log(n) for n in names) == 1
        # one that is given no answer is not all that the region has
        wait_for("the others' turns", lambda: all(
            "asked=know" in f.log(n) for n in names), 1.5)
        for p in know:
            p.conn.close()


def test_half_a_listing_says_nothing():
    """A gateway that has taken the first page of a listing must not tell
    others that it knows all up to the newest record on it."""
    with Fleet(gateways=0, plain=0) as f:
        f.store.put("keyed.op", "version/m1", {"model": "m1", "version": 2})
        f.store.put("keyed.op", "config", policy(2, f.origin.address))
        f.store.page = 1
        f.store.next_page.clear()
        f.add_gateways(1)
        wait_for("a second page to be asked for",
                 lambda: f.store.reads.get("keyed.op", 0) >= 2)
        half = Peer(f.peers[0], hello("half", "gateway"))
        assert half.frame().hello.control_offset == 0
        f.store.next_page.set()
        f.wait_ready()
        whole = Peer(f.peers[0], hello("whole", "gateway"))
        assert whole.frame().hello.control_offset == 3
        wait_for("the second page",
                 lambda: "named model=m1 version=2" in f.log("g0"), 2)


def test_a_listing_that_was_overtaken_is_not_taken():
    """Its last page tells an end up to which nobody has listed the first."""
    with Fleet(gateways=0, plain=0) as f:
        f.store.put("keyed.op", "version/m1", {"model": "m1", "version": 2})
        f.store.page = 1
        f.store.next_page.clear()
        f.add_gateways(1)
        wait_for("a second page to be asked for",
                 lambda: f.store.reads.get("keyed.op", 0) >= 2)
        know = Peer(f.peers[0], hello("know", "gateway"))
        policy_1 = json.dumps(policy(1, f.origin.address)).encode()
        version = json.dumps({"model": "m1", "version": 2}).encode()
        know.send(records=fleet_pb2.Records(end=2, records=[
            fleet_pb2.Record(key="config", value=policy_1, offset=0),
            fleet_pb2.Record(key="version/m1", value=version, offset=1)]))
        wait_for("what the neighbour told",
                 lambda: "in force version=1" in f.log("g0"), 2)
        f.store.put("keyed.op", "config", policy(5, f.origin.address))
        f.store.next_page.set()
        wait_for("what came after it",
                 lambda: "in force version=5" in f.log("g0"), 4)
        know.conn.close()


def tell_for(peers, load, seconds):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for p in peers:
            p.send(load=load)
        time.sleep(0.1)


def test_who_the_store_leaves_out_asks_those_who_read():
    """Bench: DRAIN. A gateway whose own reading failed for 3 s took nothing
    from those that the store answered."""
    with Fleet(plain=2) as f:
        f.wait_ready()
        f.store.take_down()
        wait_for("the store to be lost", lambda: "lost topic=engines"
                 in f.log("g0"))
        reader = Peer(f.peers[0], hello("reader", "gateway"))
        load = fleet_pb2.Load(whole=True, reads_engines=True,
                              engines_age_ms=10, engines_changed=7)
        tell_for([reader], load, 0.5)
        assert any(x.HasField("fetch") and x.fetch.engines
                   for x in reader.frames_for(0.5))
        leaving = json.dumps(f.plain[0].record("draining")).encode()
        reader.send(records=fleet_pb2.Records(
            engines=True, end=7, records=[fleet_pb2.Record(
                key="p0", value=leaving, offset=7)]))
        wait_for("the told change", lambda: "draining engine=p0"
                 in f.log("g0"), 1)
        # the store comes back with a record that is older than that
        f.store.bring_up()
        f.store.put("keyed.servers", "p0", f.plain[0].record())
        wait_for("the store", lambda: f.log("g0").count(
            "reached topic=engines") == 2)
        f.store.put("keyed.servers", "p1", f.plain[1].record("draining"))
        wait_for("what stands behind it",
                 lambda: "draining engine=p1" in f.log("g0"), 3)
        assert "ready again engine=p0" not in f.log("g0")


def test_an_engine_that_went_before_our_listing_is_not_told_into_it():
    """Calls went to an engine that had left: another gateway, which had listed
    a moment before, told its record after ours, and nobody told its end."""
    with Fleet(gateways=0, plain=1) as f:
        old = f.add_engine("old", "ledger")
        f.store.put("keyed.servers", "old", None)
        f.add_gateways(1)
        f.wait_ready()
        wait_for("the listing", lambda: "listed count=1" in f.log("g0"))
        teller = Peer(f.peers[0], hello("teller", "gateway"))
        record = json.dumps(old.record()).encode()
        teller.send(records=fleet_pb2.Records(
            engines=True, end=2, records=[fleet_pb2.Record(
                key="old", value=record, offset=1)]))
        wait_for("the word", lambda: "told by=teller" in f.log("g0"), 1)
        assert "new engine=old" not in f.log("g0")
        # one that was written behind the listing is news
        teller.send(records=fleet_pb2.Records(
            engines=True, end=9, records=[fleet_pb2.Record(
                key="old", value=record, offset=8)]))
        wait_for("the news", lambda: "new engine=old" in f.log("g0"), 1)
        teller.conn.close()


def test_a_gateway_that_lost_power_is_dialled_again():
    """Bench: DRAIN. Its old connection stood open at the other side, so it
    was never dialled again, nor told what it asked for."""
    with Fleet(plain=0) as f:
        f.wait_ready()
        with socket.create_server(("127.0.0.1", 0)) as listener:
            listener.settimeout(3)
            address = "127.0.0.1:%d" % listener.getsockname()[1]
            first = Peer(f.peers[0], hello("ghost", "gateway",
                                           address=address, incarnation=1))
            old, _ = listener.accept()
            second = Peer(f.peers[0], hello("ghost", "gateway",
                                            address=address, incarnation=2))
            new, _ = listener.accept()
            for conn in (first.conn, second.conn, old, new):
                conn.close()


def test_a_change_that_nobody_tells_is_read_from_the_store():
    with Fleet(plain=1) as f:
        f.wait_ready()
        reading = fleet_pb2.Load(whole=True, reads_engines=True,
                                 engines_age_ms=10, engines_changed=0)
        readers = [Peer(f.peers[0], hello(f"reader{i}", "gateway"))
                   for i in range(12)]
        end = time.monotonic() + 2.5
        while time.monotonic() < end:
            for r in readers:
                r.send(load=reading)
            time.sleep(0.1)
        assert "heard from other gateways" in f.log("g0")
        f.add_engine("late", "ledger")
        reading.engines_changed = 9
        end = time.monotonic() + 1.2
        while time.monotonic() < end:
            for r in readers:
                r.send(load=reading)
            time.sleep(0.1)
        assert "new engine=late" in f.log("g0")


def test_two_gateways_read_engines_for_all():
    """Price of store calls, 42 gateways: each read all records twice a
    second. Two do; what changes reaches the others; both may die."""
    with Fleet(gateways=5, plain=1) as f:
        f.wait_ready()
        names = [f"g{i}" for i in range(5)]
        wait_for("three to rest", lambda: sum(
            "heard from other gateways" in f.log(n) for n in names) == 3)
        readers = [n for n in names
                   if "heard from other gateways" not in f.log(n)]
        before = f.store.reads["keyed.servers"]
        time.sleep(2)
        assert 4 <= f.store.reads["keyed.servers"] - before <= 12
        engine = f.add_engine("late", "ledger")
        wait_for("all to know the new engine", lambda: all(
            "new engine=late" in f.log(n) for n in names), 1.5)
        f.store.put("keyed.servers", "late", engine.record("draining"))
        wait_for("all to know that it drains", lambda: all(
            "draining engine=late" in f.log(n) for n in names), 1.5)
        f.store.put("keyed.servers", "late", None)
        wait_for("all to know that it is gone", lambda: all(
            "gone engine=late" in f.log(n) for n in names), 1.5)
        # Bench: DRAIN. One that has just started does not know what went
        # before its listing, and must not be asked for it
        load = fleet_pb2.Load(reads_engines=True, engines_age_ms=10,
                              engines_changed=99, engines_since=90)
        new = Peer(f.peers[names.index(next(n for n in names
                                            if n not in readers))],
                   hello("new", "gateway"))
        new.send(load=load)
        assert not any(x.HasField("fetch") for x in new.frames_for(0.3))
        load.engines_since = 0
        new.send(load=load)
        assert any(x.HasField("fetch") for x in new.frames_for(0.3))
        new.conn.close()
        for n in readers:
            f.procs[n].kill()
        f.add_engine("later", "ledger")
        wait_for("the others to read for themselves", lambda: all(
            "new engine=later" in f.log(n)
            for n in names if n not in readers), 2)


def test_sidecars_are_told_what_concerns_them():
    """Bench: 1,080 routes in quick succession, each time whole to every
    sidecar, behind whose link calls and weights waited."""
    with Fleet(plain=0) as f:
        f.wait_ready()
        side = Peer(f.peers[0], hello("side", follow=True))
        first = side.frames_for(0.5)
        assert sum(len(x.records.records) for x in first) == 1
        fewer = ROUTES[1:]
        f.store.put("keyed.op", "config",
                    policy(2, f.origin.address, routes=fewer))
        wait_for("routes", lambda: "in force version=2" in f.log("g0"))
        assert not any(x.HasField("records") for x in side.frames_for(0.4))
        f.store.put("keyed.op", "config",
                    policy(3, "127.0.0.1:9", routes=fewer))
        told = [r for x in side.frames_for(0.5) for r in x.records.records]
        assert [json.loads(r.value)["version"] for r in told] == [3]
        f.store.put("keyed.op", "version/m1", {"model": "m1", "version": 2})
        told = [r for x in side.frames_for(0.5) for r in x.records.records]
        assert [r.key for r in told] == ["version/m1"]


def test_gateways_are_told_of_gateways_only_and_when_they_ask():
    """Bench, 149 gateways: each sent each the names of all, 248 MB between
    regions in the first four seconds. Each sidecar greets every gateway
    itself."""
    with Fleet(gateways=2, plain=0) as f:
        f.wait_ready()
        side = Peer(f.peers[0], hello("side", "sidecar"))
        time.sleep(0.2)
        listener = Peer(f.peers[0], hello("listener", "gateway"))
        other = Peer(f.peers[0], hello("side-2", "sidecar", follow=True))
        late = Peer(f.peers[0], hello("side-3", "sidecar"))
        frames = listener.frames_for(0.5)
        assert any(x.HasField("load") and x.load.gateways == 3
                   for x in frames)
        assert not any(x.HasField("members") for x in frames)
        listener.send(fetch=fleet_pb2.Fetch(gateways=True))
        frames = listener.frames_for(0.5)
        assert told_of(frames, "g1") == 1
        assert told_of(frames, "side") == told_of(frames, "side-3") == 0
        told = other.frames_until_silence(0.5)
        assert told_of(told, "side") == told_of(told, "side-3") == 1
        # what was sent can be told apart by kind and by where it went
        far = Peer(f.peers[0], hello("far", "gateway", region="r9"))
        assert any(x.HasField("load") for x in far.frames_for(1.0))
        sent = f.metrics()
        for kind, reach in (("members", "region"), ("load", "far")):
            name = "quayring_peer_sent_bytes_total{kind=\"%s\",reach=\"%s\"}"
            assert sent[name % (kind, reach)] > 0
        late.conn.close()
        side.conn.close()


def test_who_knows_more_gateways_is_asked_for_them():
    with Fleet(plain=0) as f:
        f.wait_ready()
        know = [Peer(f.peers[0], hello(f"know{i}", "gateway", gateways=9))
                for i in range(4)]
        time.sleep(1.0)
        asked = [[x for x in p.frames_for(0.02) if x.HasField("fetch")
                  and x.fetch.gateways] for p in know]
        # one after the other, and nobody twice for the same
        assert [len(a) for a in asked].count(1) in (3, 4)
        assert max(len(a) for a in asked) == 1
        ghost = hello("ghost", "gateway")
        know[0].send(members=fleet_pb2.Members(members=[ghost]))
        wait_for("the gateway that was told of",
                 lambda: "new name=ghost" in f.log("g0"), 2)


def test_what_follows_a_record_that_went_unseen_is_heard():
    """An engine's record goes while the store is away. Who lists the records
    anew finds it missing, and does not know by which change; it must not take
    the next change, another engine's leaving, for one that it has seen."""
    with Fleet(gateways=4, plain=3) as f:
        f.wait_ready()
        names = ["g%d" % i for i in range(4)]

        def count(text):
            return [f.log(n).count(text) for n in names]

        def readers():
            return (sum(count("engines: read from the store"))
                    - sum(count("engines: heard from other gateways")))

        wait_for("two readers", lambda: readers() == 2)
        listed = sum(count("engines: listed"))
        f.store.take_down()
        f.store.put("keyed.servers", "p2", None)
        wait_for("others to read", lambda: readers() == 4)
        f.store.bring_up()
        wait_for("the listings", lambda: sum(
            count("engines: listed")) >= listed + 2)
        wait_for("the engine to be gone", lambda: all(
            count("gone engine=p2")))
        f.store.put("keyed.servers", "p1", f.plain[1].record("draining"))
        wait_for("all to hear that an engine leaves", lambda: all(
            count("draining engine=p1")), 2)


def asked_for_changes(peer, **more):
    """What a gateway answers one that asks for all changes of engines."""
    peer.send(fetch=fleet_pb2.Fetch(engines=True, **more))
    return next(x.records for x in peer.frames_for(1.0)
                if x.HasField("records") and x.records.engines)


# Bench, 149 gateways: the one that reads the store for all sent 53 MB in 40 s, the
# same records of engines, as they are, to each of the others.
def test_changes_of_engines_are_told_compressed():
    with Fleet(plain=40) as f:
        f.wait_ready()
        wait_for("all engines", lambda: "listed count=40" in f.log("g0"))
        before = Peer(f.peers[0], hello("before", "gateway"))
        now = Peer(f.peers[0], hello("now", "gateway"))
        plain = asked_for_changes(before)  # of a build that does not unpack
        assert len(plain.records) == 40 and not plain.packed
        for _ in range(2):  # the second one gets the same again
            told = asked_for_changes(now, unpacks=True)
            assert len(told.packed) < plain.ByteSize() / 4
            assert not told.records and told.end == plain.end
            inner = fleet_pb2.Records.FromString(zlib.decompress(told.packed))
            assert {r.key for r in inner.records} == \
                {r.key for r in plain.records}
        # what changes a moment later is not left out
        put = dict(f.plain[0].record("draining"))
        f.store.put("keyed.servers", f.plain[0].id, put)
        wait_for("it to leave", lambda: "draining engine=p0" in f.log("g0"))
        told = asked_for_changes(now, unpacks=True)
        inner = fleet_pb2.Records.FromString(zlib.decompress(told.packed))
        assert [b"draining" in r.value for r in inner.records
                if r.key == "p0"] == [True]


def test_compressed_changes_are_taken_and_odd_ones_are_not():
    with Fleet(plain=0, dark_stores=(0,)) as f:
        wait_for("listening", lambda: ask(
            f.gateways[0]["readiness"], "GET", "/readyz")[0] == 503)
        teller = Peer(f.peers[0], hello("teller", "gateway"))
        record = json.dumps({
            "service": "ledger", "address": "127.0.0.1:9", "zone": "z1",
            "version": "v1", "slots": 4, "state": "ready",
            "cold-remaining-ms": 0, "sequence": 1}).encode()
        plain = fleet_pb2.Records(records=[fleet_pb2.Record(
            key="p0", value=record, offset=3, epoch=1)]).SerializeToString()
        load = fleet_pb2.Load(reads_engines=True, engines_changed=3,
                              engines_since=1, store_epoch=1,
                              engines_changed_epoch=1, engines_since_epoch=1)
        teller.send(load=load)
        for packed, size in ((b"no zlib", 7), (zlib.compress(plain), 3),
                             (zlib.compress(b"\xff" * 9), 9)):
            teller.send(records=fleet_pb2.Records(
                engines=True, end=3, epoch=1, packed=packed, size=size))
        wait_for("them to be passed over", lambda: f.log("g0").count(
            "told records cannot be unpacked") == 3)
        teller.send(records=fleet_pb2.Records(
            engines=True, end=3, epoch=1, packed=zlib.compress(plain),
            size=len(plain)))
        wait_for("the engine", lambda: "new engine=p0" in f.log("g0"))
