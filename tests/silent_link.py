"""A proxy that forwards connections to one address. After silence() the open
connections carry nothing in either direction and are not closed; new ones
work."""
import socket
import threading

from rig import readable
from standin_platform import Server

CHUNK_BYTES = 65536
POLL_S = 0.02  # between checks whether a connection was silenced


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
        """Stops forwarding on all connections that are open now."""
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
                self.ended.wait()  # neither side is closed
        self.open.discard(conn)
        conn.close()

    def forward(self, source, sink, conn):
        """Forwards until one side closes or the connection is silenced."""
        try:
            while True:
                ready = readable(source, POLL_S)
                if conn in self.silent:
                    return
                if not ready:
                    continue
                data = source.recv(CHUNK_BYTES)
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
