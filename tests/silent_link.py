"""A link that goes silent: forwards connections to one address until it is
told to hold its peace; then the open ones carry nothing more, either way, and
are not closed, while new ones work."""
import socket
import threading

from rig import readable
from standin_platform import Server

PART_BYTES = 65536
LOOK_S = 0.02  # between two looks at whether a connection went silent


class SilentLink(Server):
    def __init__(self, target):
        self.target = target
        self.silent = set()
        self.accepted = 0
        self.ended = threading.Event()
        super().__init__()

    def close(self):
        self.ended.set()
        super().close()

    def silence(self):
        """All connections that are open now say nothing more."""
        with self.lock:
            self.silent = set(self.open)

    def serve(self, conn):
        self.accepted += 1
        host, port = self.target.rsplit(":", 1)
        with socket.create_connection((host, int(port))) as far:
            back = threading.Thread(target=self.forward,
                                    args=(far, conn, conn), daemon=True)
            back.start()
            self.forward(conn, far, conn)
            back.join()
            if conn in self.silent:
                self.ended.wait()  # neither side is told
        self.open.discard(conn)
        conn.close()

    def forward(self, source, sink, conn):
        """Until an end comes, or the connection goes silent."""
        try:
            while True:
                ready = readable(source, LOOK_S)
                if conn in self.silent:
                    return
                if not ready:
                    continue
                data = source.recv(PART_BYTES)
                if not data:
                    break
                if conn not in self.silent:
                    sink.sendall(data)
        except (OSError, ValueError):
            pass
        for s in (source, sink):
            try:
                s.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
