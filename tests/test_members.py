"""Who is there: what gateways take from one another about others."""
import time

from fleet import Fleet
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


def test_gateways_are_told_of_gateways_only():
    """Each sidecar greets every gateway itself."""
    with Fleet(plain=0) as f:
        f.wait_ready()
        side = Peer(f.peers[0], hello("side", "sidecar"))
        time.sleep(0.2)
        listener = Peer(f.peers[0], hello("listener", "gateway"))
        other = Peer(f.peers[0], hello("side-2", "sidecar", follow=True))
        late = Peer(f.peers[0], hello("side-3", "sidecar"))
        frames = [listener.frame() for _ in range(3)]  # heartbeats come on
        assert told_of(frames, "side") == told_of(frames, "side-3") == 0
        told = other.frames_until_silence(0.5)
        assert told_of(told, "side") == told_of(told, "side-3") == 1
        late.conn.close()
        side.conn.close()
