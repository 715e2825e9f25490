"""A link between two regions: a proxy that forwards connections to one address
and limits their total rate towards the callers. Counts the bytes it sends to
the callers."""
import socket
import threading
import time

from standin_platform import Server

CHUNK_BYTES = 65536  # a connection queues at most this, like a TCP window


class NarrowLink(Server):
    def __init__(self, target, bytes_per_s):
        self.target = target
        self.bytes_per_s = bytes_per_s
        self.sent = 0
        self.free_at = 0.0  # time at which the link has sent all queued bytes
        super().__init__()

    def serve(self, conn):
        with self.dial() as far:
            threading.Thread(target=self.forward, args=(conn, far, False),
                             daemon=True).start()
            self.forward(far, conn, True)
        self.open.discard(conn)
        conn.close()

    def dial(self):
        host, port = self.target.rsplit(":", 1)
        far = socket.socket()
        far.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, CHUNK_BYTES)
        far.connect((host, int(port)))
        return far

    def forward(self, source, sink, counted):
        try:
            while True:
                data = source.recv(CHUNK_BYTES)
                if not data:
                    break
                if counted:
                    self.wait(len(data))
                sink.sendall(data)
        except OSError:
            pass
        for s in (source, sink):
            try:
                s.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def wait(self, size):
        """Waits until 'size' more bytes are sent, after all queued before."""
        with self.lock:
            self.sent += size
            now = time.monotonic()
            self.free_at = max(self.free_at, now) + size / self.bytes_per_s
            until = self.free_at
        time.sleep(max(until - now, 0))
