"""A peer of the test's own: speaks frames to a gateway or a sidecar."""
import socket
import struct
import time

from fleet import MODEL
from gen import fleet_pb2


def hello(name="peer", role="sidecar", **more):
    fields = {"address": "127.0.0.1:9", "availability_zone": "z1",
              "region": "r1", "incarnation": 7, "service": "engines",
              "service_address": "127.0.0.1:9"}
    fields.update(more)
    return fleet_pb2.Hello(name=name, role=role, **fields)


class Peer:
    def __init__(self, address, greeting=None):
        host, port = address.rsplit(":", 1)
        self.conn = socket.create_connection((host, int(port)))
        self.conn.settimeout(5)
        self.send(hello=greeting or hello())

    def send(self, **body):
        data = fleet_pb2.Frame(**body).SerializeToString()
        self.conn.sendall(struct.pack(">I", len(data)) + data)

    def take(self, size):
        data = b""
        while len(data) < size:
            part = self.conn.recv(size - len(data))
            assert part, "the other side closed the connection"
            data += part
        return data

    def frame(self):
        [size] = struct.unpack(">I", self.take(4))
        return fleet_pb2.Frame.FromString(self.take(size))

    def piece(self):
        while True:
            frame = self.frame()
            if frame.HasField("piece"):
                return frame.piece

    def want(self, version, index=1):
        self.send(want=fleet_pb2.Want(model=MODEL, version=version,
                                      index=index))
        return self.piece()

    def frames_for(self, seconds):
        """All frames that have come and come for so long."""
        got, end = [], time.monotonic() + seconds
        while time.monotonic() < end:
            self.conn.settimeout(max(end - time.monotonic(), 0.01))
            try:
                got.append(self.frame())
            except TimeoutError:
                break
        self.conn.settimeout(5)
        return got

    def frames_until_silence(self, seconds):
        """All frames that come before none has come for 'seconds'."""
        got = []
        self.conn.settimeout(seconds)
        try:
            while True:
                got.append(self.frame())
        except TimeoutError:
            return got
