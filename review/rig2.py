"""What the scripts of cases 4 to 8 share: the project's stand-ins of the users'
platform, its programs as the deploy file builds and starts them, with settings
like those of the smallest deployment, and the record of a case."""
import os
import shutil
import signal
import sys
import threading
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), ".."))
os.environ["QUAYRING"] = os.path.join(ROOT, "target", "quayring")
sys.path.insert(0, os.path.join(ROOT, "tests"))
sys.dont_write_bytecode = True

import fleet as project  # noqa: E402
from bench import wait_for  # noqa: E402, F401

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, CANNOT_RUN = 1, 0, 2
HEARTBEAT_S = 1.2  # of an engine's entry

# sites/dvdc-rounds.toml: bounds, and limits of a 'frontend' machine
MEMORY_MB = 260
GATEWAY = {"descriptors_max": 4200, "grace_s": 8, "version_ms": 8000,
           "config_apply_ms": 2000, "drain_ms": 2000, "retry_ratio": 0.2,
           "retry_window_s": 10, "retry_allowance": 100,
           "memory_mb": MEMORY_MB}


class Record:
    """record.txt: one line for what was sent, answered and run."""

    def __init__(self, case):
        self.file = open(os.path.join(ROOT, "review", case, "record.txt"), "w",
                         encoding="utf-8")
        self.begun, self.lock = time.monotonic(), threading.Lock()
        self.say("trouble=%d" % TROUBLE)

    def say(self, text):
        with self.lock:
            self.file.write("%8.3f %s\n" % (time.monotonic() - self.begun,
                                            text))
            self.file.flush()

    def result(self, broken, text):
        self.say(("BROKEN " if broken else "held ") + text)
        print(("BROKEN: " if broken else "held: ") + text)
        return BROKEN if broken else HELD


class Fleet(project.Fleet):
    """Gateways and sidecars before the stand-ins, with the settings of a small
    deployment. Engines write their entries again at each heartbeat."""

    def __init__(self, **more):
        self.beating = True
        super().__init__(version_ms=8000, grace_s=8, **more)
        threading.Thread(target=self.beat, daemon=True).start()

    def add_gateways(self, n, settings=None, dark_stores=()):
        super().add_gateways(n, dict(GATEWAY, **(settings or {})), dark_stores)

    def beat(self):
        sequence = 1
        while self.beating:
            time.sleep(HEARTBEAT_S)
            sequence += 1
            for engine in list(self.engines):
                self.store.put("keyed.servers", engine.id,
                               dict(engine.record(), sequence=sequence))

    def restart_gateway(self, i):
        """As the platform does after an end: with the same settings."""
        name = "g%d" % i
        self.start(name, "gateway", os.path.join(self.dir, name + ".json"))

    def __exit__(self, *exc):
        self.beating = False
        for process in self.procs.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        for server in [self.store, self.origin] + self.engines:
            server.close()
        shutil.rmtree(self.dir, ignore_errors=True)


def stop(*_):
    signal.signal(signal.SIGTERM, signal.SIG_IGN)  # one clears up, once
    sys.exit(CANNOT_RUN)


def run(case, main):
    """Exits as the issue says; what keeps a case from running is no result."""
    record = Record(case)
    signal.signal(signal.SIGTERM, stop)
    try:
        code = main(record)
    except BaseException as e:  # noqa: B902
        record.say("cannot run: %r" % e)
        print("cannot run: %r" % e)
        code = CANNOT_RUN
    sys.stdout.flush()
    os._exit(code)  # threads of stand-ins may still wait for bytes
