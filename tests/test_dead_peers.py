"""Guards against a double free when peers die while they wait for pieces.

Peers wait for pieces of a version, and die without the sidecar noticing. The
version is then dropped for a newer one, and each waiting peer is sent a message.
Sending to a dead peer closes its connection and removes all its waiting entries.
The sidecar was walking that list and freed the current entry twice; on a large
site a sidecar crashed in this way as it resumed after a pause of its process.
With the fault, the address sanitizer finds it in two of three runs of this test.
"""
import json
import signal
import socket
import threading
import time

from bench import wait_for
from fleet import MODEL, Fleet
from peer import Peer, hello
from standin_platform import CHUNKS, LINGER_RESET

ROUNDS = 3       # the peers have to die within one tick of 20 ms
PART_OF_TICK_S = 0.004
SLOW_MBIT_S = 0.0001  # requested pieces stay queued


def start_waiting_peers(address, version, to_close):
    """Three peers that ask for all pieces; their names are not used again."""
    peers = []
    for k in range(3):
        name = "p%d-%d" % (version, k)
        peer = Peer(address, hello(name, address="127.0.0.1:%d" % (9 + k)))
        for i in range(CHUNKS):
            peer.want(version, i)
        peers.append(peer.conn)
    to_close[:] = peers


def test_dead_waiting_peers_do_not_crash_a_version_drop():
    with Fleet(plain=0, version_ms=20000) as fleet:
        engine = fleet.add_engine("m0", "engines", MODEL, 1)
        fleet.start_sidecar(0, engine)
        path = fleet.dir + "/s0.json"
        with open(path, encoding="utf-8") as f:
            settings = json.load(f)
        fleet.procs["s0"].kill()
        fleet.procs["s0"].wait(10)
        with open(path, "w", encoding="utf-8") as f:
            json.dump(dict(settings, link_mbit_s=SLOW_MBIT_S), f)
        fleet.start("s0", "sidecar", path)
        fleet.wait_ready()
        wait_for("sidecar", lambda: "told engine=" in fleet.log("g0"))
        peers, lock, real = [], threading.Lock(), fleet.origin.handle

        def send_piece_and_kill_peers_after_the_last(conn, request):
            with lock:
                real(conn, request)
                version = int(request.query["version"])
                if len({i for v, i in fleet.origin.answered
                        if v == version}) < CHUNKS or not peers:
                    return
                time.sleep(PART_OF_TICK_S)
                fleet.procs["s0"].send_signal(signal.SIGSTOP)
                for conn in peers:
                    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                    LINGER_RESET)
                    conn.close()
                peers.clear()
                time.sleep(0.03)
                fleet.procs["s0"].send_signal(signal.SIGCONT)

        fleet.origin.handle = send_piece_and_kill_peers_after_the_last
        for version in range(2, 2 + ROUNDS):
            fleet.store.put("keyed.op", "version/" + MODEL,
                            {"model": MODEL, "version": version})
            wait_for("version %d to be whole" % version, lambda v=version:
                     "all pieces received version=%d " % v in fleet.log("s0"), 15)
            time.sleep(0.5)
            assert fleet.procs["s0"].poll() is None, fleet.log("s0")[-3000:]
            start_waiting_peers(settings["peers"], version, peers)
        assert fleet.procs["s0"].poll() is None
