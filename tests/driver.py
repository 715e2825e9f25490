"""A reducer behind pipes, for the stateful fuzzers."""
import json
import os
import subprocess
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "gen"))
import quayring_pb2 as pb  # noqa: E402

DRIVE = os.environ.get("QUAYRING_DRIVE",
                       os.path.join(HERE, "..", "build-san", "drive"))


class Driver:
    def __init__(self, role, settings=None):
        self.proc = subprocess.Popen(
            [DRIVE, role, json.dumps(settings or {})],
            stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        self.now = 10_000_000
        self.facts = {}

    def line(self, o):
        self.proc.stdin.write(json.dumps(o).encode() + b"\n")
        self.proc.stdin.flush()
        got = self.proc.stdout.readline()
        assert got, f"the reducer died: {self.proc.wait()}"
        return json.loads(got)

    def event(self, kind, **fields):
        """Sends an event; returns its effects, frames unpacked."""
        fields.update(type=kind, now=self.now, wall=self.now // 1000)
        frame = fields.get("frame")
        if frame is not None:
            fields["frame"] = frame.SerializeToString().hex()
        if isinstance(fields.get("data"), bytes):
            fields["data"] = fields["data"].hex()
        self.facts = self.line(fields)
        effects = self.facts.pop("effects")
        for e in effects:
            if "data" in e:
                e["data"] = bytes.fromhex(e["data"])
            if e["type"] == "SEND":
                e["frame"] = pb.Frame.FromString(e["data"][4:])
        return effects

    def close(self):
        """Ends the process; a leak or a fault of memory fails here."""
        self.proc.stdin.close()
        self.proc.stdout.close()
        assert self.proc.wait() == 0
