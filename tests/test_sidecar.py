"""Sidecars as real processes: engines receive complete weights in order."""
import json
import struct
import time

import pytest

import standin_platform
from bench import wait_for
from gen import fleet_pb2
from fleet import MODEL, Fleet, policy
from peer import Peer, StubbornSidecar
from standin_platform import CHUNKS, chunk_of


def name_version(fleet, version):
    fleet.store.put("keyed.op", "version/" + MODEL,
                    {"model": MODEL, "version": version})


def whole(version):
    return {i: chunk_of(version, i) for i in range(CHUNKS)}


def check_orders(engines):
    """At each order, exactly the pieces of its version were staged."""
    for e in engines:
        for version, stage in e.taken:
            assert stage == whole(version), (e.id, version)


@pytest.fixture
def fleet(request):
    with Fleet(plain=0, version_ms=getattr(request, "param", 4000)) as f:
        f.models = [f.add_engine("m%d" % i, "engines", MODEL, 1)
                    for i in range(3)]
        for i, e in enumerate(f.models):
            f.start_sidecar(i, e)
        f.wait_ready()
        wait_for("sidecars", lambda: f.log("g0").count("told engine=") >= 3)
        yield f


def serving(fleet, version):
    return all(e.version == version for e in fleet.models)


def test_named_version_is_served_by_all_engines(fleet):
    name_version(fleet, 2)
    wait_for("version 2", lambda: serving(fleet, 2), 10)
    check_orders(fleet.models)
    assert fleet.origin.sent <= CHUNKS + 2  # about one copy
    assert all(len(e.taken) == 1 for e in fleet.models)


def test_few_connections_to_origin(fleet):
    """With 76 sidecars on a test bench, all read the manifest from the origin
    over more connections than it accepts. The origin reset the connections of
    roots, and a version was complete after 9 s instead of 4 s."""
    fleet.store.put("keyed.op", "config",
                    policy(2, fleet.origin.address, origin_connections=3))
    wait_for("policy", lambda: all("in force version=2" in fleet.log(f"s{i}")
                                   for i in range(3)))
    wait_for("connections that rest to be closed",
             lambda: not fleet.origin.open)
    fleet.origin.open_most = fleet.origin.manifests = 0
    name_version(fleet, 2)
    wait_for("version 2", lambda: serving(fleet, 2), 10)
    check_orders(fleet.models)
    assert fleet.origin.manifests == 1
    assert fleet.origin.sent == CHUNKS
    assert fleet.origin.open_most == 1
    wait_for("connections that rest to be closed",
             lambda: not fleet.origin.open, 1.5)


def test_corrupt_pieces_are_fetched_again(fleet):
    fleet.origin.spoil = 3
    name_version(fleet, 2)
    wait_for("version 2", lambda: serving(fleet, 2), 15)
    check_orders(fleet.models)
    assert "bad piece" in "".join(fleet.log(f"s{i}") for i in range(3))


def cut_list(body):
    """Two bytes are wrong: the list of digests ends before its last one."""
    at = body.rindex(b', "')
    return body[:at] + b"]}" + body[at + 2:]


def one_digest_less(body):
    manifest = json.loads(body)
    manifest["digests"].pop()
    return json.dumps(manifest).encode()


def one_digest_more(body):
    manifest = json.loads(body)
    manifest["digests"].append("0" * 64)
    return json.dumps(manifest).encode()


# Guards against an engine that is started without its last pieces, and takes those
# of the older version that lie there: a spoilt manifest told of fewer.
@pytest.mark.parametrize("spoil", [cut_list, one_digest_less, one_digest_more])
def test_spoilt_manifest_is_fetched_again(fleet, spoil, monkeypatch):
    spoilt = []

    def answer_spoilt(conn, value, headers=()):
        body = json.dumps(value).encode()
        if "digests" in value and value["version"] == 2 and not spoilt:
            spoilt.append(value)
            body = spoil(body)
        standin_platform.answer(conn, 200, body, headers)

    monkeypatch.setattr(standin_platform, "answer_json", answer_spoilt)
    for e in fleet.models:
        e.stage = whole(1)
    name_version(fleet, 2)
    wait_for("version 2", lambda: serving(fleet, 2), 15)
    assert spoilt
    check_orders(fleet.models)


@pytest.mark.parametrize("fleet", [12000], indirect=True)
def test_staged_piece_that_becomes_corrupt_is_staged_again(fleet):
    victim = fleet.models[0]
    time.sleep(2.6)  # earlier checks don't count for a sidecar that has started
    name_version(fleet, 2)
    wait_for("all pieces staged", lambda: victim.stage == whole(2), 10)
    time.sleep(0.6)  # by now they have been read back
    victim.stage[1] = b"rotten" + victim.stage[1]
    wait_for("version 2", lambda: serving(fleet, 2), 15)
    check_orders(fleet.models)


def test_restarted_engine_uses_staged_pieces(fleet):
    name_version(fleet, 2)
    wait_for("version 2", lambda: serving(fleet, 2), 10)
    sent = fleet.origin.sent
    fleet.models[1].restart()
    wait_for("version 2 again", lambda: serving(fleet, 2), 10)
    check_orders(fleet.models)
    assert fleet.origin.sent == sent


def publish_start_times(fleet):
    for e in fleet.models:
        e.born = int(time.time() * 1000)
        fleet.store.put("keyed.servers", e.id, e.record())
    time.sleep(0.5)  # a report each 0.2 s


def restart_engine(fleet, engine):
    engine.start_anew(engine.sequence)
    fleet.store.put("keyed.servers", engine.id, engine.record())


def test_engine_restart_between_reports_restages_weights(fleet):
    """The first report after a restart has the same order sequence number as
    before; only the start time shows that the engine restarted."""
    publish_start_times(fleet)
    name_version(fleet, 2)
    wait_for("version 2", lambda: serving(fleet, 2), 10)
    restart_engine(fleet, fleet.models[1])
    wait_for("version 2 again", lambda: serving(fleet, 2), 10)
    check_orders(fleet.models)


def test_engine_restarts_twice_during_staging(fleet):
    publish_start_times(fleet)
    victim = fleet.models[0]
    name_version(fleet, 2)
    for _ in range(2):
        wait_for("some pieces staged", lambda: victim.stage, 10)
        restart_engine(fleet, victim)
        time.sleep(0.3)
    wait_for("version 2", lambda: serving(fleet, 2), 15)
    check_orders(fleet.models)


def test_engine_restarts_right_after_order(fleet):
    publish_start_times(fleet)
    victim = fleet.models[0]
    name_version(fleet, 2)
    wait_for("the order", lambda: victim.taken, 10)
    restart_engine(fleet, victim)
    wait_for("version 2", lambda: serving(fleet, 2), 15)
    check_orders(fleet.models)


def test_empty_engine_gets_first_version(fleet):
    """Engines added before any version was named served nothing."""
    e = fleet.add_engine("m9", "engines", MODEL, 0)
    fleet.models.append(e)
    for i in range(3):
        fleet.models[i].stage = whole(1)
    fleet.start_sidecar(9, e)
    wait_for("version 1", lambda: e.version == 1, 10)
    check_orders([e])


def test_empty_engine_among_engines_started_with_the_version(fleet):
    """With 76 sidecars on a test bench, the others served version 1 from their
    start and had no manifest of it; each waited for the manifest from another.
    """
    for e in fleet.models:
        e.stage = whole(1)
    for e in fleet.models[:2]:
        del e.stage[2]  # only one engine has all pieces
    empty = fleet.add_engine("m3", "engines", MODEL)
    fleet.start_sidecar(3, empty)
    wait_for("version 1", lambda: empty.version == 1, 6)
    check_orders([empty])
    assert fleet.origin.manifests <= 2
    assert fleet.origin.sent == 0  # all pieces lay at engines
    asker = peer_of(fleet, "s0")  # whose engine lacks piece 2
    if asker.want(1, index=2).state == fleet_pb2.Piece.PENDING:
        assert asker.piece_at_last().state == fleet_pb2.Piece.ABSENT
    assert asker.want(1, index=2).state == fleet_pb2.Piece.ABSENT


def test_wait_for_departed_source_ends(fleet):
    """Sidecars that saw different members waited for one another for 8 s, each
    replying that the piece was pending."""
    stubborn = StubbornSidecar(fleet.peers[0])
    try:
        wait_for("members", lambda: all("listed name=stubborn" in
                                        fleet.log(f"s{i}") for i in range(3)))
        name_version(fleet, 2)
        wait_for("the stubborn one to be asked", lambda: stubborn.asked >= 2)
        stubborn.leave()
        wait_for("version 2", lambda: serving(fleet, 2), 7)
        check_orders(fleet.models)
    finally:
        stubborn.close()


def test_version_continues_when_next_is_named(fleet):
    """The origin failed soon after a second version was named, and no engine
    received either version."""
    name_version(fleet, 2)
    wait_for("version 2 out of the origin",
             lambda: fleet.origin.answered >= {(2, i) for i in range(CHUNKS)},
             10)
    fleet.origin.take_down()
    name_version(fleet, 3)
    wait_for("version 2", lambda: serving(fleet, 2), 10)
    fleet.origin.bring_up()
    wait_for("version 3", lambda: serving(fleet, 3), 15)
    check_orders(fleet.models)


def test_unstarted_version_is_skipped(fleet):
    """Of two versions named during an outage of the origin, both were fetched;
    the newer, which meets both deadlines, was late."""
    fleet.origin.take_down()
    name_version(fleet, 2)
    wait_for("version 2 to be heard of", lambda: all(
        "target model=m1 version=2" in fleet.log(n) for n in fleet.procs
        if n.startswith("s")))
    name_version(fleet, 3)
    wait_for("version 3 to be heard of", lambda: all(
        "target model=m1 version=3" in fleet.log(n) for n in fleet.procs
        if n.startswith("s")))
    fleet.origin.bring_up()
    wait_for("version 3", lambda: serving(fleet, 3), 15)
    assert all((2, i) not in fleet.origin.answered for i in range(CHUNKS))


def test_dead_sidecar_does_not_delay_others(fleet):
    fleet.procs["s2"].kill()
    fleet.procs["s2"].wait()
    wait_for("loss seen", lambda: "sidecar lost name=s2" in fleet.log("g0"))
    name_version(fleet, 2)
    start = time.monotonic()
    wait_for("version 2",
             lambda: all(e.version == 2 for e in fleet.models[:2]), 10)
    assert time.monotonic() - start < 4  # the bound of these settings


def test_no_calls_on_version_past_deadline(fleet):
    """An engine that misses the deadline of a version gets no calls."""
    fleet.procs["s0"].kill()
    fleet.procs["s0"].wait()
    name_version(fleet, 2)
    wait_for("version 2",
             lambda: all(e.version == 2 for e in fleet.models[1:]), 10)
    name_version(fleet, 3)  # must not move the bound of version 2
    time.sleep(3.5)
    fleet.models[0].seen.clear()
    for i in range(20):
        fleet.call("/model/x", f"c{i}")
    assert not fleet.models[0].seen
    asked = [r for e in fleet.models for r in e.seen]
    assert asked and all("x-expect-version" in r.headers for r in asked[-5:])


def peer_of(fleet, name):
    with open(f"{fleet.dir}/{name}.json", encoding="utf-8") as f:
        return Peer(json.load(f)["peers"])


def test_request_for_unknown_version_is_pending(fleet):
    """Peers that received ABSENT asked the next source by rank, and pieces
    were fetched from the origin several times."""
    peer = peer_of(fleet, "s0")
    states = fleet_pb2.Piece
    assert peer.want(2).state == states.PENDING
    name_version(fleet, 2)
    assert peer.piece_at_last().state == states.READY
    assert peer.want(2).state == states.QUEUED
    piece = peer.piece()
    assert piece.state == states.DATA and piece.data == chunk_of(2, 1)
    assert peer.want(0).state == states.ABSENT
    assert peer.want(2, index=99).state == states.ABSENT
    wait_for("version 2", lambda: serving(fleet, 2), 10)
    check_orders(fleet.models)


def test_peer_that_does_not_read_does_not_delay_others(fleet):
    """While a peer fetched from eight sidecars at once, each of the eight sent
    to no other peer."""
    name_version(fleet, 2)
    wait_for("version 2", lambda: serving(fleet, 2), 10)
    stalled, other = peer_of(fleet, "s0"), peer_of(fleet, "s0")
    for i in range(4000):  # more than the kernel's buffers take
        stalled.send(want=fleet_pb2.Want(model=MODEL, version=2, index=i % 6))
    time.sleep(0.5)
    other.conn.settimeout(2)
    assert other.want(2).state == fleet_pb2.Piece.QUEUED
    assert other.piece().data == chunk_of(2, 1)


def peers_with_unconfirmed_piece(fleet, count):
    """Returns peers that received a piece each and have not confirmed it."""
    peers = [peer_of(fleet, "s0") for _ in range(count)]
    for peer in peers:
        assert peer.want(2).state == fleet_pb2.Piece.QUEUED
        assert peer.piece().state == fleet_pb2.Piece.DATA
    return peers


def test_unconfirmed_pieces_are_limited(fleet):
    """On a slow link, pieces queued for seconds and delayed calls."""
    name_version(fleet, 2)
    wait_for("version 2", lambda: serving(fleet, 2), 10)
    sent = peers_with_unconfirmed_piece(fleet, 3)
    other = peer_of(fleet, "s0")
    assert other.want(2).state == fleet_pb2.Piece.QUEUED
    with pytest.raises(TimeoutError):
        other.conn.settimeout(0.25)
        other.piece()
    other.conn.settimeout(2)
    sent[0].send(piece=fleet_pb2.Piece(
        model=MODEL, version=2, index=1, state=fleet_pb2.Piece.TAKEN))
    assert other.piece().state == fleet_pb2.Piece.DATA


def test_slow_link_sends_no_pieces(fleet):
    name_version(fleet, 2)
    wait_for("version 2", lambda: serving(fleet, 2), 10)
    sent = peers_with_unconfirmed_piece(fleet, 3)
    assert "link slow" not in fleet.log("s0")
    wait_for("slow link", lambda: "link slow" in fleet.log("s0"))
    wait_for("gateway to know", lambda: "slow_link=1" in fleet.log("g0"))
    assert sent[0].want(2).state == fleet_pb2.Piece.ABSENT
    wait_for("the link to be normal",
             lambda: "link normal" in fleet.log("s0"), 6)
    assert sent[1].want(2).state == fleet_pb2.Piece.QUEUED


def test_bad_frames_close_the_connection(fleet):
    for bad in (struct.pack(">I", 1 << 30), struct.pack(">I", 3) + b"abc",
                struct.pack(">I", 0)):
        peer = peer_of(fleet, "s0")
        peer.conn.sendall(bad)
        with pytest.raises((AssertionError, ConnectionError)):
            while True:
                peer.piece()
    name_version(fleet, 2)
    wait_for("version 2", lambda: serving(fleet, 2), 10)
