"""Clients that do not behave: many connections, each of which sends a request
that is large, late or never complete, and stays open."""
import errno
import os
import select
import socket
import threading
import time

from bench import HERE, wait_for

# Sanitizers keep freed memory: bounds of memory hold for the product's build.
PRODUCT = os.path.join(HERE, "..", "build", "quayring")
MB = 1 << 20
SAMPLE_S = 0.01
PIECE_PAUSE_S = 0.002
RECONNECT_PAUSE_S = 0.02
SEND_BYTES = 256 << 10
HEARD_BYTES = 400
ARRIVES_S = 1.0


def head(host, key, target, ident, fields, method="POST"):
    lines = ["%s %s HTTP/1.1" % (method, target), "Host: " + host,
             "Api-Key: " + key, "X-Attempt-Id: " + ident,
             "X-Deadline-Ms: 20000"] + list(fields)
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def chunked(size, chunk):
    """A body of 'size' bytes in chunks, without the last chunk."""
    whole, rest = divmod(size, chunk)
    one = b"%x\r\n" % chunk + b"x" * chunk + b"\r\n"
    return one * whole + (b"%x\r\n" % rest + b"x" * rest + b"\r\n"
                          if rest else b"")


class Member:
    def __init__(self, data):
        self.data = data  # parts, sent one after the other
        self.at = self.offset = 0
        self.sock = None
        self.heard = b""  # the first answer's bytes


class Crowd:
    """'size' connections to 'address'. Member i sends content(i), a list of
    bytes-like objects, 'piece' bytes at a time (0: as fast as it can), and then
    keeps its connection open. 'returns': it reconnects when it is closed, and
    sends all again."""

    def __init__(self, address, size, content, piece=0, returns=False,
                 reads=True):
        host, port = address.rsplit(":", 1)
        self.address = (host, int(port))
        self.members = [Member([memoryview(b) for b in content(i)])
                        for i in range(size)]
        self.piece, self.returns = piece, returns
        self.reads = select.EPOLLIN if reads else 0  # or answers stay unread
        self.closed = 0  # connections that the other side closed
        self.whole = 0   # members that have sent everything at least once
        self.epoll = select.epoll()
        self.by_fd, self.later = {}, []
        self.ended = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)

    def connect(self, m):
        m.sock = socket.socket()
        m.at, m.offset = 0, 0
        m.sock.setblocking(False)
        error = m.sock.connect_ex(self.address)
        if error not in (0, errno.EINPROGRESS, errno.ECONNREFUSED):
            raise OSError(error, os.strerror(error))
        self.by_fd[m.sock.fileno()] = m
        self.epoll.register(m.sock, self.reads | select.EPOLLOUT)

    def drop(self, m):
        self.epoll.unregister(m.sock)
        del self.by_fd[m.sock.fileno()]
        m.sock.close()
        m.sock = None
        self.closed += 1
        if self.returns:
            self.later.append((time.monotonic() + RECONNECT_PAUSE_S, m))

    def read(self, m):
        """Returns False at the end of the connection."""
        got = m.sock.recv(65536)
        if len(m.heard) < HEARD_BYTES:
            m.heard += got[:HEARD_BYTES]
        return bool(got)

    def send(self, m):
        if m.at < len(m.data):
            part = m.data[m.at][m.offset:m.offset + (self.piece or SEND_BYTES)]
            m.offset += m.sock.send(part) if len(part) else 0
            if m.offset == len(m.data[m.at]):
                m.at, m.offset = m.at + 1, 0
        if m.at == len(m.data):
            self.whole += 1
            self.epoll.modify(m.sock, self.reads)

    def serve(self, m, events):
        try:
            if events & ~select.EPOLLOUT and not self.read(m):
                self.drop(m)
            elif events & select.EPOLLOUT:
                self.send(m)
        except BlockingIOError:
            pass
        except OSError:
            self.drop(m)

    def run(self):
        for m in self.members:
            self.connect(m)
        while not self.ended.is_set():
            for fd, events in self.epoll.poll(0.05, 256):
                self.serve(self.by_fd[fd], events)
            if self.piece:
                time.sleep(PIECE_PAUSE_S)
            now = time.monotonic()
            while self.later and self.later[0][0] <= now:
                self.connect(self.later.pop(0)[1])
        for m in list(self.by_fd.values()):
            m.sock.close()

    def refused(self):
        """Members whose request was answered 503, by their number."""
        return [i for i, m in enumerate(self.members)
                if m.heard.startswith(b"HTTP/1.1 503 ")]

    def settled(self):
        """Every member has sent everything, or was closed."""
        return self.whole + self.closed >= len(self.members)

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *exc):
        self.ended.set()
        self.thread.join()
        self.epoll.close()


def status_kb(pid, field):
    with open("/proc/%d/status" % pid, encoding="utf-8") as f:
        return next(int(l.split()[1]) for l in f if l.startswith(field + ":"))


def unread_kb(ports):
    """Bytes that have arrived at accepted connections and are not read."""
    total = 0
    with open("/proc/net/tcp", encoding="utf-8") as f:
        next(f)
        for line in f:
            row = line.split()
            if row[3] != "0A" and int(row[1].split(":")[1], 16) in ports:
                total += int(row[4].split(":")[1], 16)
    return total // 1024


class Gauge:
    """The largest memory of a process while open: resident, and resident with
    what has arrived for its listeners and is not read. Its descriptors, too."""

    def __init__(self, process, addresses):
        self.process = process
        self.ports = {int(a.rsplit(":", 1)[1]) for a in addresses}
        self.held_kb = self.descriptors = 0
        self.ended = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)

    def sample(self):
        pid = self.process.pid
        self.held_kb = max(self.held_kb, status_kb(pid, "VmRSS")
                           + unread_kb(self.ports), status_kb(pid, "VmHWM"))
        self.descriptors = max(self.descriptors,
                               len(os.listdir("/proc/%d/fd" % pid)))

    def run(self):
        try:
            while not self.ended.wait(SAMPLE_S):
                self.sample()
        except (OSError, StopIteration):
            pass  # the process has ended, which the test checks

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *exc):
        self.ended.set()
        self.thread.join()

    def check(self, memory_mb, descriptors):
        assert self.process.poll() is None, "the process has ended"
        self.sample()
        assert self.held_kb <= memory_mb * 1024, "%d kB" % self.held_kb
        assert self.descriptors <= descriptors, self.descriptors


def settle(crowd, seconds=60):
    """Until all is sent, and what was under way then has arrived."""
    wait_for("the crowd to have sent all or be closed", crowd.settled, seconds)
    time.sleep(ARRIVES_S)
