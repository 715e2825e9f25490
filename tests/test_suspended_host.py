"""A host that is suspended for a while: the steady clock does not count that
time, so all that was heard before would seem fresh, and no bound would run."""
import os
import signal
import subprocess
import threading
import time

import pytest

from bench import wait_for
from fleet import MODEL, Fleet
from standin_platform import answer

HERE = os.path.dirname(os.path.abspath(__file__))


class SuspendedFleet(Fleet):
    """Its processes' hosts can be suspended: see suspend_host.c."""

    def __init__(self, shim, **more):
        self.shim, self.asleep_ms = shim, 0
        super().__init__(**more)

    def start(self, name, role, path):
        file = os.path.join(self.dir, "suspended")
        self.write(file)
        os.environ.update(LD_PRELOAD=self.shim, QUAYRING_TEST_SUSPENDED=file,
                          ASAN_OPTIONS="verify_asan_link_order=0")
        try:
            super().start(name, role, path)
        finally:
            for key in ("LD_PRELOAD", "QUAYRING_TEST_SUSPENDED",
                        "ASAN_OPTIONS"):
                del os.environ[key]

    def write(self, file):
        with open(file, "w", encoding="ascii") as f:
            f.write("%d\n" % self.asleep_ms)

    def suspend(self, seconds):
        """All are suspended at once; returns when they are awake again."""
        for p in self.procs.values():
            p.send_signal(signal.SIGSTOP)
        self.asleep_ms += int(seconds * 1000)
        self.write(os.path.join(self.dir, "suspended"))
        before = {n: self.log(n).count("stood still") for n in self.procs}
        for p in self.procs.values():
            p.send_signal(signal.SIGCONT)
        for name, n in before.items():
            wait_for("%s to wake" % name, lambda name=name, n=n:
                     self.log(name).count("stood still") > n)


@pytest.fixture(scope="module")
def shim(tmp_path_factory):
    out = str(tmp_path_factory.mktemp("shim") / "suspend_host.so")
    subprocess.run(["cc", "-shared", "-fPIC", "-O1", "-o", out,
                    os.path.join(HERE, "suspend_host.c"), "-ldl"], check=True)
    return out


def test_a_bound_of_weights_runs_on(shim):
    with SuspendedFleet(shim, gateways=1, plain=1, version_ms=20000) as fleet:
        fleet.wait_ready()
        old = fleet.add_engine("m0", "engines", MODEL, 1)
        fleet.store.put("keyed.op", "version/" + MODEL,
                        {"model": MODEL, "version": 2})
        wait_for("version 2 to be named",
                 lambda: "version=2" in fleet.log("g0"))
        wait_for("the engine to be known", lambda: fleet.call(
            "/model/x", "before-%f" % time.monotonic())[0] == 200)
        old.seen.clear()
        fleet.suspend(30)
        status, _, _ = fleet.call("/model/x", "after")
        assert status == 503 and not old.seen


def test_a_call_that_was_under_way_is_given_up_when_its_time_is_over(shim):
    began = threading.Event()

    def waits(engine, conn, request):
        began.set()
        time.sleep(8)
        answer(conn, 200, b"late", engine.head(request))
        return True

    with SuspendedFleet(shim, gateways=1, plain=1) as fleet:
        fleet.wait_ready()
        fleet.plain[0].behave = waits
        got = []
        call = threading.Thread(target=lambda: got.append(
            (fleet.call("/unsafe/x", "c", deadline=2500)[0],
             time.monotonic())))
        call.start()
        assert began.wait(5)
        fleet.suspend(5)
        woke = time.monotonic()
        call.join(10)
        assert got[0][0] in (502, 504) and got[0][1] < woke + 1, got


def test_who_wakes_serves_at_once(shim):
    """Gateways that were suspended together do not take one another, nor
    engines, for gone; what they told before counts for as long as it is old."""
    with SuspendedFleet(shim, gateways=2, plain=2) as fleet:
        fleet.wait_ready()
        assert fleet.call("/safe/x", "before")[0] == 200
        fleet.suspend(60)
        for i in range(10):
            assert fleet.call("/safe/x", "after-%d" % i, i % 2)[0] == 200
        assert all(fleet.ready(i) for i in range(2))
