"""Members and records that gateways learn from one another."""
import json
import socket
import time
import zlib

from bench import ask, wait_for
from fleet import ROUTES, Fleet, policy
from gen import fleet_pb2
from peer import Peer, hello


def count_hellos(frames, name):
    return sum(m.name == name for f in frames for m in f.members.members)


def test_restarted_gateway_is_announced_once():
    """Gateways forward a new member once. With 34 gateways, each forwarded the
    other incarnation of a restarted gateway as new for as long as one of them
    knew the old one, until memory exceeded its limit."""
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
        assert count_hellos(frames, "ghost") == 1
        assert f.log("g0").count("new name=ghost") == 1


def test_missing_records_are_requested_from_one_peer():
    """A gateway that lacks records requests them from one peer at a time. With
    34 gateways, each sent the whole configuration ten times a second to every
    gateway that could not read the store."""
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
        # one peer is asked at a time, then the next if there is no answer
        assert 2 <= sum(fetches) <= 5 and max(fetches) < sum(fetches)
        policy_1 = json.dumps(policy(1, f.origin.address)).encode()
        know[0].send(records=fleet_pb2.Records(records=[fleet_pb2.Record(
            key="config", value=policy_1, offset=2)], end=3))
        wait_for("g1 to request and take the records",
                 lambda: "in force version=1" in f.log("g1"))
        # a gateway that is behind requests records; none are sent unasked
        assert not any(frame.HasField("records")
                       for frame in behind.frames_for(0.5))
        assert f.log("g1").count("in force version=1") == 1


def test_new_gateway_requests_age_of_versions():
    """A new gateway requests from its peers when a version was named. Gateways
    that restarted during a store outage took recently named versions for long
    in force and served no calls."""
    value = json.dumps({"model": "m1", "version": 2}).encode()
    with Fleet(gateways=0, plain=0, version_ms=8000) as f:
        f.store.put("keyed.op", "version/m1", {"model": "m1", "version": 2})
        f.add_gateways(1)
        f.wait_ready()
        end = len(f.store.records("keyed.op"))
        # the only other gateway that can be asked
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


def test_one_gateway_of_a_region_asks_other_regions():
    """Only one gateway of a region at a time requests records from another
    region. Otherwise each one requests the same configuration over the same
    narrow link."""
    with Fleet(gateways=3, plain=0, dark_stores=(0, 1, 2)) as f:
        names = [f"g{i}" for i in range(3)]
        for n in names:
            wait_for("all gateways to know each other", lambda n=n: all(
                f"new name={m}" in f.log(n) for m in names if m != n))
        time.sleep(0.5)  # each has sent heartbeats
        know = [Peer(p, hello("know", "gateway", region="r9",
                              control_offset=3)) for p in f.peers]
        end = time.monotonic() + 0.35
        while time.monotonic() < end and not any(
                "asked=know" in f.log(n) for n in names):
            time.sleep(0.01)
        time.sleep(0.1)
        assert sum("asked=know" in f.log(n) for n in names) == 1
        # without an answer, the region's other gateways also ask
        wait_for("the other gateways to ask", lambda: all(
            "asked=know" in f.log(n) for n in names), 1.5)
        for p in know:
            p.conn.close()


def test_partial_listing_is_not_announced():
    """A gateway that has read only the first page of a listing must not
    announce that it knows all records up to the newest one on that page."""
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


def test_outdated_listing_is_discarded():
    """Records from a peer arrive between two pages of a listing. The listing
    is discarded: its last page gives a newer end than its first page
    covers."""
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
        wait_for("the records from the peer",
                 lambda: "in force version=1" in f.log("g0"), 2)
        f.store.put("keyed.op", "config", policy(5, f.origin.address))
        f.store.next_page.set()
        wait_for("the record written after the first page",
                 lambda: "in force version=5" in f.log("g0"), 4)
        know.conn.close()


def send_load_for(peers, load, seconds):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for p in peers:
            p.send(load=load)
        time.sleep(0.1)


def test_gateway_without_store_requests_changes_from_readers():
    """A gateway that cannot read the store takes engine changes from gateways
    that can. One whose reads failed for 3 s during a drain took none."""
    with Fleet(plain=2) as f:
        f.wait_ready()
        f.store.take_down()
        wait_for("the store to be lost", lambda: "lost topic=engines"
                 in f.log("g0"))
        reader = Peer(f.peers[0], hello("reader", "gateway"))
        load = fleet_pb2.Load(whole=True, reads_engines=True,
                              engines_age_ms=10, engines_changed=7)
        send_load_for([reader], load, 0.5)
        assert any(x.HasField("fetch") and x.fetch.engines
                   for x in reader.frames_for(0.5))
        leaving = json.dumps(f.plain[0].record("draining")).encode()
        reader.send(records=fleet_pb2.Records(
            engines=True, end=7, records=[fleet_pb2.Record(
                key="p0", value=leaving, offset=7)]))
        wait_for("the change from the reader", lambda: "draining engine=p0"
                 in f.log("g0"), 1)
        # the store returns with an older record than the reader sent
        f.store.bring_up()
        f.store.put("keyed.servers", "p0", f.plain[0].record())
        wait_for("the store", lambda: f.log("g0").count(
            "reached topic=engines") == 2)
        f.store.put("keyed.servers", "p1", f.plain[1].record("draining"))
        wait_for("the record after the older one",
                 lambda: "draining engine=p1" in f.log("g0"), 3)
        assert "ready again engine=p0" not in f.log("g0")


def test_engine_removed_before_listing_is_not_added_by_peer():
    """An engine's record that predates this gateway's listing is not taken
    from a peer. A peer that had listed just before sent the record of an
    engine that had left; no peer sent the removal, and calls went to that
    engine."""
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
        wait_for("the record", lambda: "told by=teller" in f.log("g0"), 1)
        assert "new engine=old" not in f.log("g0")
        # a record that was written after the listing is new
        teller.send(records=fleet_pb2.Records(
            engines=True, end=9, records=[fleet_pb2.Record(
                key="old", value=record, offset=8)]))
        wait_for("the new engine", lambda: "new engine=old" in f.log("g0"), 1)
        teller.conn.close()


def test_gateway_is_redialled_after_power_loss():
    """A restarted gateway is dialled again although the connection to its
    previous run still seems open. During a drain, a gateway that had lost
    power was never dialled again and got no answers to its requests."""
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


def test_change_that_no_peer_sends_is_read_from_store():
    """Readers announce a change of an engine but send no records. A gateway
    that relies on them must then read the store itself."""
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


def store_readers(fleet, count):
    """Peers that act as gateways which can read the store."""
    return [Peer(fleet.peers[0], hello(f"reader{i}", "gateway"))
            for i in range(count)]


def test_store_loss_before_paused_reads_is_forgotten():
    """A gateway loses the store, then pauses its reads because others read.
    When it reads again, its first answer must not count as the store's
    return: it took removed records for lapsed ones, and called the engine
    for 2.2 s after it had left."""
    with Fleet(plain=2) as f:
        f.wait_ready()
        f.store.take_down()
        wait_for("the store to be lost",
                 lambda: "lost topic=engines" in f.log("g0"))
        readers = store_readers(f, 2)
        load = fleet_pb2.Load(whole=True, reads_engines=True,
                              engines_age_ms=10)
        send_load_for(readers, load, 2.5)
        assert "heard from other gateways" in f.log("g0")
        f.store.bring_up()
        send_load_for(readers, load, 0.5)
        f.store.put("keyed.servers", "p0", None)
        for r in readers:
            r.conn.close()
        wait_for("the removal", lambda: "gone engine=p0" in f.log("g0")
                 or "lapsed engine=p0" in f.log("g0"), 5)
        assert "lapsed engine=p0" not in f.log("g0")


def test_records_lapse_for_gateway_with_paused_reads():
    """The store is away for all gateways while records of engines expire. A
    gateway whose reads were paused all the time, and which hears of the
    removals from a reader, must keep these engines until they have had time
    to write their records again."""
    with Fleet(plain=2) as f:
        f.wait_ready()
        # so many gateways before this one in the order start to read first
        readers = store_readers(f, 60)
        load = fleet_pb2.Load(whole=True, reads_engines=True,
                              engines_age_ms=10)
        send_load_for(readers, load, 2.5)
        assert "heard from other gateways" in f.log("g0")
        # the last answers to the readers become too old, and none follows
        away = fleet_pb2.Load(whole=True, reads_engines=False)
        send_load_for(readers, away, 3.5)
        assert f.log("g0").count("engines: read from the store") == 1
        send_load_for(readers, load, 0.3)
        for e in f.plain:
            readers[0].send(records=fleet_pb2.Records(
                engines=True, end=9, records=[fleet_pb2.Record(
                    key=e.id, value=b"", offset=8)]))
        wait_for("the removals", lambda: f.log("g0").count("lapsed") == 2, 1)
        assert f.call("/unsafe/x", "lapsed")[0] == 200
        # an engine whose record stays away is gone
        send_load_for(readers, load, 3)
        assert f.log("g0").count("gone engine=") == 2
        for r in readers:
            r.conn.close()


def test_settled_epoch_is_fetched_from_a_reader_that_has_listed_it():
    """After a rollback of the store, gateways with paused reads fetch all
    engines once the epoch has settled. A reader that settles a moment later,
    as on a busy host, does not know them yet and must not be asked: it is
    asked only once, and the engines would stay unused."""
    with Fleet(plain=1) as f:
        f.wait_ready()
        readers = store_readers(f, 12)
        load = fleet_pb2.Load(whole=True, reads_engines=True,
                              engines_age_ms=10, store_epoch=1,
                              engines_changed_epoch=1,
                              settled_epoch=1)
        send_load_for(readers, load, 2.5)
        assert "heard from other gateways" in f.log("g0")
        load.store_epoch = 2

        def fetched():
            return [x.fetch for r in readers for x in r.frames_for(0.02)
                    if x.HasField("fetch") and x.fetch.engines
                    and x.fetch.epoch == 2]

        end = time.monotonic() + 7.5
        while time.monotonic() < end:
            send_load_for(readers, load, 0.2)
            assert not fetched()
        load.settled_epoch = 2
        send_load_for(readers, load, 0.5)
        assert fetched()
        for r in readers:
            r.conn.close()


def test_settled_epoch_is_fetched_again_if_the_reader_did_not_name_one():
    """A reader that has seen no epoch settle names none, as readers of earlier
    builds do, and is asked before it has listed the engines. Without a second
    request, the engines that it listed later would stay unused."""
    with Fleet(plain=1) as f:
        f.wait_ready()
        readers = store_readers(f, 12)
        load = fleet_pb2.Load(whole=True, reads_engines=True,
                              engines_age_ms=10, store_epoch=1,
                              engines_changed_epoch=1)
        send_load_for(readers, load, 2.5)
        assert "heard from other gateways" in f.log("g0")
        load.store_epoch = 2

        def fetches():
            return sum(x.HasField("fetch") and x.fetch.engines and
                       x.fetch.epoch == 2 for r in readers
                       for x in r.frames_for(0.02))

        end = time.monotonic() + 7.5
        asked = 0
        while time.monotonic() < end and not asked:
            send_load_for(readers, load, 0.2)
            asked = fetches()
        assert asked == 1
        load.settled_epoch = 2
        send_load_for(readers, load, 1.5)
        assert fetches() == 1
        send_load_for(readers, load, 2.0)
        assert fetches() == 0
        for r in readers:
            r.conn.close()


def test_two_gateways_read_engine_records_for_all():
    """Two gateways read engine records from the store and send changes to the
    others, which read for themselves once both are killed. With 42 gateways,
    each one read all records twice a second, which made store calls costly."""
    with Fleet(gateways=5, plain=1) as f:
        f.wait_ready()
        names = [f"g{i}" for i in range(5)]
        wait_for("three gateways to stop reading", lambda: sum(
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
        # a gateway that has just started does not know which engines left
        # before its listing, and must not be asked for these changes
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


def test_sidecars_get_only_records_they_use():
    """Sidecars are sent only the changes that they use. 1,080 route changes in
    quick succession sent the whole configuration to every sidecar each time,
    and calls and weights waited on the sidecars' links."""
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


def test_gateways_get_lists_of_gateways_only_on_request():
    """Gateways send a list of gateways only on request, without sidecars,
    which send a hello to every gateway themselves. With 149 gateways, each
    sent all names to every other: 248 MB between regions in the first 4 s."""
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
        assert count_hellos(frames, "g1") == 1
        assert count_hellos(frames, "side") == \
            count_hellos(frames, "side-3") == 0
        told = other.frames_until_silence(0.5)
        assert count_hellos(told, "side") == count_hellos(told, "side-3") == 1
        # metrics count sent bytes by message kind and by reach
        far = Peer(f.peers[0], hello("far", "gateway", region="r9"))
        assert any(x.HasField("load") for x in far.frames_for(1.0))
        sent = f.metrics()
        for kind, reach in (("members", "region"), ("load", "far")):
            name = "quayring_peer_sent_bytes_total{kind=\"%s\",reach=\"%s\"}"
            assert sent[name % (kind, reach)] > 0
        late.conn.close()
        side.conn.close()


def test_gateway_list_is_requested_from_peers_that_know_more():
    """A gateway requests the list from one peer at a time. Asking all peers at
    once would fetch the same list from each."""
    with Fleet(plain=0) as f:
        f.wait_ready()
        know = [Peer(f.peers[0], hello(f"know{i}", "gateway", gateways=9))
                for i in range(4)]
        time.sleep(1.0)
        asked = [[x for x in p.frames_for(0.02) if x.HasField("fetch")
                  and x.fetch.gateways] for p in know]
        # one after the other, and no peer twice for the same list
        assert [len(a) for a in asked].count(1) in (3, 4)
        assert max(len(a) for a in asked) == 1
        ghost = hello("ghost", "gateway")
        know[0].send(members=fleet_pb2.Members(members=[ghost]))
        wait_for("the listed gateway",
                 lambda: "new name=ghost" in f.log("g0"), 2)


def test_change_after_an_unseen_removal_is_taken():
    """An engine's record is removed during a store outage. A gateway that
    lists the records again finds the record missing without knowing the offset
    of the removal. The gateway must not treat the next change, the drain of
    another engine, as one already seen."""
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
        wait_for("all gateways to read", lambda: readers() == 4)
        f.store.bring_up()
        wait_for("the listings", lambda: sum(
            count("engines: listed")) >= listed + 2)
        wait_for("the engine to be gone", lambda: all(
            count("gone engine=p2")))
        f.store.put("keyed.servers", "p1", f.plain[1].record("draining"))
        wait_for("all to know that an engine drains", lambda: all(
            count("draining engine=p1")), 2)


def fetch_engine_changes(peer, **more):
    """Returns the answer of a gateway to a request for all engine changes."""
    peer.send(fetch=fleet_pb2.Fetch(engines=True, **more))
    return next(x.records for x in peer.frames_for(1.0)
                if x.HasField("records") and x.records.engines)


def test_engine_changes_are_sent_compressed():
    """Engine changes are sent compressed to peers that can unpack them. With
    149 gateways, the one that read the store for all sent 53 MB in 40 s, the
    same uncompressed records to each of the others."""
    with Fleet(plain=40) as f:
        f.wait_ready()
        wait_for("all engines", lambda: "listed count=40" in f.log("g0"))
        before = Peer(f.peers[0], hello("before", "gateway"))
        now = Peer(f.peers[0], hello("now", "gateway"))
        plain = fetch_engine_changes(before)  # from a build that cannot unpack
        assert len(plain.records) == 40 and not plain.packed
        for _ in range(2):  # the second request gets the same answer
            told = fetch_engine_changes(now, unpacks=True)
            assert len(told.packed) < plain.ByteSize() / 4
            assert not told.records and told.end == plain.end
            inner = fleet_pb2.Records.FromString(zlib.decompress(told.packed))
            assert {r.key for r in inner.records} == \
                {r.key for r in plain.records}
        # a change just after the cached answer is included
        put = dict(f.plain[0].record("draining"))
        f.store.put("keyed.servers", f.plain[0].id, put)
        wait_for("the drain", lambda: "draining engine=p0" in f.log("g0"))
        told = fetch_engine_changes(now, unpacks=True)
        inner = fleet_pb2.Records.FromString(zlib.decompress(told.packed))
        assert [b"draining" in r.value for r in inner.records
                if r.key == "p0"] == [True]


def test_malformed_compressed_changes_are_rejected():
    """Compressed changes that are no zlib data, have a wrong size or unpack to
    no message are rejected with a log line. Valid ones are taken."""
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
        wait_for("the three to be rejected", lambda: f.log("g0").count(
            "told records cannot be unpacked") == 3)
        teller.send(records=fleet_pb2.Records(
            engines=True, end=3, epoch=1, packed=zlib.compress(plain),
            size=len(plain)))
        wait_for("the engine", lambda: "new engine=p0" in f.log("g0"))
