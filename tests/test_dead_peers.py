"""A sidecar whose heap was corrupted.

Seen: on a large site a process ended by itself as it woke from a standstill.
Course: peers wait for pieces of a version; the version is dropped for a newer one,
and each of them is told. Some have died, which nobody has read yet.
Cause: telling a dead peer closes it, and all that waits there is taken out of the
list that was being walked, the row being told among it: freed twice.
Proof: the course below, under the address sanitizer, two of three times.
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
TICK_PART_S = 0.004
SLOW_MBIT_S = 0.0001  # what is asked for stays in line


def waiting_peers(address, version, dead_after):
    """Three that ask for all pieces; no others of the same names come."""
    peers = []
    for k in range(3):
        name = "p%d-%d" % (version, k)
        peer = Peer(address, hello(name, address="127.0.0.1:%d" % (9 + k)))
        for i in range(CHUNKS):
            peer.want(version, i)
        peers.append(peer.conn)
    dead_after[:] = peers


def test_who_has_died_may_be_told_that_a_version_is_dropped():
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

        def last_piece_then_death(conn, request):
            with lock:
                real(conn, request)
                version = int(request.query["version"])
                if len({i for v, i in fleet.origin.answered
                        if v == version}) < CHUNKS or not peers:
                    return
                time.sleep(TICK_PART_S)
                fleet.procs["s0"].send_signal(signal.SIGSTOP)
                for conn in peers:
                    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                    LINGER_RESET)
                    conn.close()
                peers.clear()
                time.sleep(0.03)
                fleet.procs["s0"].send_signal(signal.SIGCONT)

        fleet.origin.handle = last_piece_then_death
        for version in range(2, 2 + ROUNDS):
            fleet.store.put("keyed.op", "version/" + MODEL,
                            {"model": MODEL, "version": version})
            wait_for("version %d to be whole" % version, lambda v=version:
                     "whole version=%d " % v in fleet.log("s0"), 15)
            time.sleep(0.5)
            assert fleet.procs["s0"].poll() is None, fleet.log("s0")[-3000:]
            waiting_peers(settings["peers"], version, peers)
        assert fleet.procs["s0"].poll() is None
