"""A peer played by the test: exchanges frames with a gateway or a sidecar."""
import socket
import struct
import threading
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
            chunk = self.conn.recv(size - len(data))
            assert chunk, "the other side closed the connection"
            data += chunk
        return data

    def frame(self):
        [size] = struct.unpack(">I", self.take(4))
        return fleet_pb2.Frame.FromString(self.take(size))

    def piece(self):
        while True:
            frame = self.frame()
            if frame.HasField("piece"):
                return frame.piece

    def piece_at_last(self, seconds=3):
        """Returns the first piece frame that is not PENDING. The other side
        repeats PENDING every 500 ms to peers that wait."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            piece = self.piece()
            if piece.state != fleet_pb2.Piece.PENDING:
                return piece
        raise AssertionError("nothing but PENDING")

    def want(self, version, index=1):
        self.send(want=fleet_pb2.Want(model=MODEL, version=version,
                                      index=index))
        return self.piece()

    def frames_for(self, seconds):
        """Returns the frames received so far and in the next 'seconds'."""
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
        """Returns the frames received until none arrives for 'seconds'."""
        got = []
        self.conn.settimeout(seconds)
        try:
            while True:
                got.append(self.frame())
        except TimeoutError:
            return got


class StubbornSidecar:
    """A sidecar that answers PENDING for every piece, again and again.
    'leave' ends its membership; its connections stay open."""

    def __init__(self, gateway):
        self.listener = socket.create_server(("127.0.0.1", 0))
        port = self.listener.getsockname()[1]
        self.hello = hello("stubborn", "sidecar",
                           address="127.0.0.1:%d" % port)
        self.asked = 0
        self.open = []
        threading.Thread(target=self.accept, daemon=True).start()
        self.member = Peer(gateway, self.hello)

    def accept(self):
        while True:
            try:
                conn, _ = self.listener.accept()
            except OSError:
                return
            self.open.append(conn)
            threading.Thread(target=self.serve, args=(conn,),
                             daemon=True).start()

    def serve(self, conn):
        peer = Peer.__new__(Peer)
        peer.conn = conn
        pending = []
        try:
            peer.send(hello=self.hello)
            while True:
                conn.settimeout(0.3)
                try:
                    frame = peer.frame()
                    if frame.HasField("want"):
                        self.asked += 1
                        pending.append(frame.want)
                except TimeoutError:
                    pass
                for want in pending:
                    peer.send(piece=fleet_pb2.Piece(
                        model=want.model, version=want.version,
                        index=want.index, state=fleet_pb2.Piece.PENDING))
        except (OSError, AssertionError):
            pass

    def leave(self):
        self.member.conn.close()

    def close(self):
        self.listener.close()
        for conn in self.open:
            conn.close()
