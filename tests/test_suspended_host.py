"""Suspended hosts. CLOCK_MONOTONIC does not count the time of a suspension, so
with that clock old messages would seem recent and no time bound would
expire."""
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
    """A fleet whose hosts can be suspended: see suspend_host.c."""

    def __init__(self, shim, **more):
        self.shim, self.suspended_ms = shim, 0
        super().__init__(**more)

    def start(self, name, role, path):
        file = os.path.join(self.dir, "suspended")
        self.write_suspended_ms(file)
        os.environ.update(LD_PRELOAD=self.shim, QUAYRING_TEST_SUSPENDED=file,
                          ASAN_OPTIONS="verify_asan_link_order=0")
        try:
            super().start(name, role, path)
        finally:
            for key in ("LD_PRELOAD", "QUAYRING_TEST_SUSPENDED",
                        "ASAN_OPTIONS"):
                del os.environ[key]

    def write_suspended_ms(self, file):
        with open(file, "w", encoding="ascii") as f:
            f.write("%d\n" % self.suspended_ms)

    def suspend(self, seconds):
        """Suspends all hosts at once; returns when all have resumed."""
        for p in self.procs.values():
            p.send_signal(signal.SIGSTOP)
        self.suspended_ms += int(seconds * 1000)
        self.write_suspended_ms(os.path.join(self.dir, "suspended"))
        before = {n: self.log(n).count("was suspended") for n in self.procs}
        for p in self.procs.values():
            p.send_signal(signal.SIGCONT)
        for name, n in before.items():
            wait_for("%s to resume" % name, lambda name=name, n=n:
                     self.log(name).count("was suspended") > n)


@pytest.fixture(scope="module")
def shim(tmp_path_factory):
    out = str(tmp_path_factory.mktemp("shim") / "suspend_host.so")
    subprocess.run(["cc", "-shared", "-fPIC", "-O1", "-o", out,
                    os.path.join(HERE, "suspend_host.c"), "-ldl"], check=True)
    return out


def test_version_bound_counts_suspended_time(shim):
    """The time until which engines may serve an older weight version includes
    a suspension: a 20 s bound has expired after 30 s of it."""
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


def test_call_deadline_counts_suspended_time(shim):
    """A call whose deadline passed during a suspension fails within 1 s of the
    resume."""
    began = threading.Event()

    def answer_late(engine, conn, request):
        began.set()
        time.sleep(8)
        answer(conn, 200, b"late", engine.head(request))
        return True

    with SuspendedFleet(shim, gateways=1, plain=1) as fleet:
        fleet.wait_ready()
        fleet.plain[0].behave = answer_late
        got = []
        call = threading.Thread(target=lambda: got.append(
            (fleet.call("/unsafe/x", "c", deadline=2500)[0],
             time.monotonic())))
        call.start()
        assert began.wait(5)
        fleet.suspend(5)
        resumed_at = time.monotonic()
        call.join(10)
        assert got[0][0] in (502, 504) and got[0][1] < resumed_at + 1, got


def test_gateways_serve_at_once_after_resume(shim):
    """Gateways that were suspended together do not treat each other or engines
    as gone on resume. What they reported before the suspension still counts,
    with its age."""
    with SuspendedFleet(shim, gateways=2, plain=2) as fleet:
        fleet.wait_ready()
        assert fleet.call("/safe/x", "before")[0] == 200
        fleet.suspend(60)
        for i in range(10):
            assert fleet.call("/safe/x", "after-%d" % i, i % 2)[0] == 200
        assert all(fleet.ready(i) for i in range(2))
