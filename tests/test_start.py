"""Starts of many processes: who is met, who reads the store, who waits."""
import json
import socket
import threading
import time

import pytest

from bench import ask, free_ports, wait_for
from fleet import Fleet, MODEL
from gen import fleet_pb2
from peer import Peer, hello
from standin_platform import Engine, answer

DIRECTORY = "/resolution?name=calls.example&region=r1&zone=z1"


def directory(gateway):
    _, _, body = ask(gateway["directory"], "GET", DIRECTORY)
    return json.loads(body)["addresses"]


def test_each_answer_of_the_directory_names_others():
    """More gateways than an answer may name: were it always the same ones,
    all calls would come to them, and enter in their regions."""
    others = ["127.0.0.1:%d" % p for p in range(20001, 20081)]
    with Fleet(plain=0) as f:
        f.wait_ready()
        peers = [Peer(f.peers[0], hello("gw%02d" % i, "gateway",
                                        service_address=address))
                 for i, address in enumerate(others)]
        load = fleet_pb2.Load(gateways=len(others) + 1, whole=True)
        named = set()
        for _ in range(12):  # 17 of 81 are left out of each: none of all
            for peer in peers:
                peer.send(load=load)
            wait_for("all to be heard", lambda: len(
                directory(f.gateways[0])) == 64, 2)
            named.update(directory(f.gateways[0]))
        assert named >= set(others) | {f.gateways[0]["callers"]}


class DownHost:
    """An address whose opening packets are lost until it comes up, as of a
    host without power: its queue of new connections is full."""

    def __init__(self):
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(0)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        self.fill = []
        for _ in range(4):
            conn = socket.socket()
            conn.setblocking(False)
            conn.connect_ex(self.listener.getsockname())
            self.fill.append(conn)

    def come_up(self):
        """Takes connections from now on; returns the first that says hello."""
        own = set()
        for conn in self.fill:
            try:
                own.add(conn.getsockname())
            except OSError:
                pass
            conn.close()
        self.listener.settimeout(3)
        while True:
            conn, at = self.listener.accept()
            if at in own:
                conn.close()
                continue
            peer = Peer.__new__(Peer)
            peer.conn = conn
            conn.settimeout(3)
            if peer.frame().HasField("hello"):
                return peer


@pytest.mark.parametrize("role", ["gateway", "sidecar"])
def test_a_seed_that_comes_up_last_is_met_soon(role):
    """All hosts lose power, and the seeds are the last to come back: the
    opening packets to them are lost, and the kernel sends the next ones a
    second later. Nobody else is known."""
    seed = DownHost()
    with Fleet(gateways=0, plain=0) as f:
        f.peers = [seed.address]
        if role == "gateway":
            f.add_gateways(1, {"seeds": [seed.address]})
            name = "g1"
        else:
            f.start_sidecar(0, Engine("m0", "engines", MODEL, 1))
            name = "s0"
        wait_for("the start", lambda: " started " in f.log(name))
        time.sleep(0.25)
        up = time.monotonic()
        peer = seed.come_up()
        assert time.monotonic() - up < 0.45
        peer.conn.close()


def test_who_starts_is_told_what_others_have_read():
    """The list of all engines is long. Were each gateway to read it from the
    store, the start of hundreds would fill the links to its region."""
    with Fleet(gateways=2, plain=3) as f:
        f.wait_ready()
        seeds = list(f.peers)
        f.store.listings.clear()
        f.add_gateways(6, {"seeds": seeds})
        f.wait_ready()
        assert f.store.listings.get("keyed.servers", 0) == 0
        assert f.store.listings.get("keyed.op", 0) == 0
        for i in range(2, 8):
            status, _, _ = f.call("/safe/x", "c%d" % i, gateway=i)
            assert status == 200


def test_a_first_read_is_not_taken_for_the_return_of_the_store():
    """One that was told by others reads for itself once they are gone. A record
    that is missing then has not lapsed in an outage: its engine leaves."""
    with Fleet(gateways=2, plain=2) as f:
        f.wait_ready()
        f.add_gateways(1, {"seeds": list(f.peers)})
        f.wait_ready()
        for name in ("g0", "g1"):
            f.procs[name].kill()
        f.store.put("keyed.servers", "p1", None)
        wait_for("it to list", lambda: "listed count=1" in f.log("g2"), 4)
        wait_for("the engine to be gone",
                 lambda: "gone engine=p1" in f.log("g2"), 0.5)
        assert "lapsed engine=p1" not in f.log("g2")


def test_who_starts_while_the_store_turns_it_away_is_told_by_others():
    with Fleet(gateways=2, plain=1) as f:
        f.wait_ready()
        dead = "127.0.0.1:%d" % free_ports(1)[0]
        f.add_gateways(1, {"seeds": list(f.peers), "store": dead})
        wait_for("the gateway to be ready", lambda: f.ready(2), 3)
        assert f.call("/safe/x", "c1", gateway=2)[0] == 200


def test_seeds_that_are_down_for_good_are_not_waited_for_long():
    seed = DownHost()
    with Fleet(gateways=0, plain=1) as f:
        f.add_gateways(1, {"seeds": [seed.address]})
        wait_for("the gateway to be ready", lambda: f.ready(0), 2.5)


def test_a_reader_that_the_store_turns_away_rests_once_others_read():
    with Fleet(gateways=4, plain=1) as f:
        f.wait_ready()
        names = ["g%d" % i for i in range(4)]

        def reads(name):
            return (f.log(name).count("engines: read from the store")
                    > f.log(name).count("engines: heard from other"))

        def readers():
            return [n for n in names if reads(n)]

        wait_for("two readers", lambda: len(readers()) == 2, 8)
        [first, _] = readers()
        f.procs[first].kill()
        f.procs[first].wait()
        i = int(first[1:])
        dead = "127.0.0.1:%d" % free_ports(1)[0]
        wait_for("another to read", lambda: len(
            [n for n in readers() if n != first]) == 2, 5)
        f.start_gateway(i, settings={"store": dead})
        wait_for("it to be ready", lambda: f.ready(i), 5)
        time.sleep(2.5)
        calls = f.metrics(i)["quayring_store_calls_total"]
        time.sleep(3)
        assert f.metrics(i)["quayring_store_calls_total"] == calls


def test_of_two_records_at_an_address_the_later_counts():
    """An engine has started anew under another id; its record of before stands
    in the store until its lease runs out. Calls sent there by that id are
    turned away, and each costs a retry."""
    with Fleet(plain=1) as f:
        f.wait_ready()
        engine = f.plain[0]
        turned_away = []

        def only_itself(e, conn, request):
            if request.headers["x-expect-instance"] == e.id:
                return e.work(conn, request)
            turned_away.append(request)
            answer(conn, 421, b"", e.head(request))
            return True

        engine.behave = only_itself
        engine.id = "p0-anew"
        f.store.put("keyed.servers", engine.id, engine.record())
        wait_for("its record", lambda: "new engine=p0-anew" in f.log("g0"), 4)
        f.add_gateways(1)  # it lists both at once
        wait_for("the other one to be ready", lambda: f.ready(1))
        for i in range(20):
            assert f.call("/unsafe/x", "c%d" % i, gateway=i % 2)[0] == 200
        assert not turned_away


def test_a_call_before_the_first_configuration_waits_for_it():
    """Callers who lost their connection as all processes were killed have one
    more try, and some are back before anything is known again."""
    with Fleet(plain=1) as f:
        f.wait_ready()
        f.store.take_down()
        f.add_gateways(1, {"seeds": []})
        wait_for("the start", lambda: " started " in f.log("g1"))
        got = []
        caller = threading.Thread(target=lambda: got.append(
            f.call("/unsafe/x", "early", gateway=1, deadline=5000)[0]))
        caller.start()
        time.sleep(0.3)
        f.store.bring_up()
        caller.join()
        assert got == [200]


def test_a_call_before_the_first_configuration_is_not_kept_for_long():
    with Fleet(plain=1) as f:
        f.wait_ready()
        f.store.take_down()
        f.add_gateways(1, {"seeds": []})
        wait_for("the start", lambda: " started " in f.log("g1"))
        start = time.monotonic()
        status, headers, _ = f.call("/unsafe/x", "early", gateway=1,
                                    deadline=1500)
        assert status == 503 and float(headers["Retry-After"]) > 0
        assert time.monotonic() - start < 0.75  # half of the caller's time
