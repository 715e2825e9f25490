"""Gateways behind links that can be cut. The gateways can be killed, frozen
and restarted while callers continue to send calls."""
import random
import signal
import threading
import time

from bench import free_ports, wait_for
from fault_link import BACK, THERE, Link, Loop
from fleet import Fleet

FREEZE_S, CUT_S = 1.0, 2.0


class LinkedFleet(Fleet):
    def __init__(self):
        self.links, self.loop = [], None
        super().__init__(gateways=0, plain=0)

    def start_gateways(self, n, links):
        """Starts 'n' gateways, behind links if 'links', and waits until each
        knows the others."""
        if links:
            self.loop = Loop()
            self.start_behind_links(n)
        else:
            self.add_gateways(n)
        self.wait_ready()
        wait_for("gateways to know one another", self.have_met)

    def start_behind_links(self, n):
        names = {}
        own = ["127.0.0.1:%d" % p for p in free_ports(n)]
        self.links = [Link(self.loop, address, names) for address in own]
        self.peers = [link.address for link in self.links]
        for address, link in zip(own, self.links):
            names[address.encode()] = link.address.encode()
        for i in range(n):
            self.start_gateway(i, settings={
                "peers": own[i],
                "seeds": [p for p in self.peers if p != self.peers[i]]})

    def have_met(self):
        return all(self.log("g%d" % i).count("members: new") >=
                   len(self.gateways) - 1 for i in range(len(self.gateways)))

    def again(self, i):
        """Kills the i-th gateway and restarts it at once."""
        name = "g%d" % i
        self.procs[name].kill()
        self.procs[name].wait(10)
        self.start(name, "gateway", "%s/%s.json" % (self.dir, name))

    def all_again(self):
        """Kills all gateways and restarts them at once."""
        names = ["g%d" % i for i in range(len(self.gateways))]
        for name in names:
            self.procs[name].kill()
        for name in names:
            self.procs[name].wait(10)
        for name in names:
            self.start(name, "gateway", "%s/%s.json" % (self.dir, name))

    def freeze(self, i):
        process = self.procs["g%d" % i]
        process.send_signal(signal.SIGSTOP)
        time.sleep(FREEZE_S)
        process.send_signal(signal.SIGCONT)

    def cut(self, i):
        """Cuts the i-th gateway's link, both directions, for CUT_S seconds."""
        self.links[i].cut((THERE, BACK))
        time.sleep(CUT_S)
        self.links[i].mend()

    def stop(self):
        codes = super().stop()
        if self.loop:
            self.loop.close()
        return codes


class SteadyCallers:
    """Threads that send one call after another; a subclass defines call()."""

    def __init__(self, fleet, seed, path, count):
        self.fleet, self.path, self.ended = fleet, path, False
        self.done = []  # what call() returned
        self.threads = [
            threading.Thread(target=self.run, daemon=True, args=(
                i, random.Random("%s/%d" % (seed, i))))
            for i in range(count)]
        for t in self.threads:
            t.start()

    def run(self, number, dice):
        n = 0
        while not self.ended:
            n += 1
            self.done.append(self.call(number, n, dice))
            time.sleep(dice.uniform(0.02, 0.06))

    def call(self, number, n, dice):
        """Sends the n-th call of caller 'number'."""
        raise NotImplementedError

    def send(self, ident, gateway, body=b"hello", headers=None):
        """Returns (status, headers, body); status 0 if the call failed, as
        when the gateway was killed."""
        try:
            return self.fleet.call(self.path, ident, gateway, body=body,
                                   headers=headers)
        except Exception:  # pylint: disable=broad-except
            return 0, {}, b""

    def stop(self):
        self.ended = True
        for t in self.threads:
            t.join(15)
