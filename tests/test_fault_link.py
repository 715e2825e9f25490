"""The links of the soak do to connections what they are told."""
import socket
import threading
import time

import pytest

from bench import wait_for
from fault_link import BACK, THERE, Link, Loop


class Echo:
    def __init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        self.got, self.ended = b"", 0
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                conn, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(conn,),
                             daemon=True).start()

    def serve(self, conn):
        try:
            while True:
                data = conn.recv(4096)
                if not data:
                    break
                self.got += data
                conn.sendall(data)
        except OSError:
            pass
        self.ended += 1
        conn.close()


QUIET_S = 0.3  # without data, a link counts as cut or silent


@pytest.fixture
def ends():
    """(link, echo, a connection over the link)"""
    loop, echo = Loop(), Echo()
    link = Link(loop, echo.address, {b"there": b"other"})
    conn = dial(link)
    conn.sendall(b"first")
    conn.settimeout(5)  # a busy host takes long to start the threads
    assert conn.recv(9) == b"first"
    conn.settimeout(QUIET_S)
    yield link, echo, conn
    conn.close()
    echo.listener.close()
    loop.close()


def dial(link):
    host, port = link.address.rsplit(":", 1)
    conn = socket.create_connection((host, int(port)))
    conn.settimeout(QUIET_S)
    return conn


def test_names_are_replaced(ends):
    _, _, conn = ends
    conn.sendall(b"from there")
    assert conn.recv(99) == b"from other"


def test_what_was_cut_comes_once_the_cut_is_over(ends):
    link, echo, conn = ends
    link.cut((THERE,))
    conn.sendall(b"held")
    time.sleep(0.2)
    assert echo.got == b"first"
    link.mend()
    assert conn.recv(9) == b"held"
    link.cut((BACK,))
    conn.sendall(b"back")
    wait_for("the way there", lambda: echo.got.endswith(b"back"), 2)
    with pytest.raises(TimeoutError):
        conn.recv(9)
    link.mend()
    assert conn.recv(9) == b"back"


def test_delay(ends):
    link, _, conn = ends
    link.delay(0.1)
    begun = time.monotonic()
    conn.sendall(b"late")
    assert conn.recv(9) == b"late" and time.monotonic() - begun > 0.19


def test_silence_is_for_good_and_closes_nothing(ends):
    link, echo, conn = ends
    link.silence()
    conn.sendall(b"lost")
    with pytest.raises(TimeoutError):
        conn.recv(9)
    with dial(link) as new:
        new.sendall(b"new")
        assert new.recv(9) == b"new"
    wait_for("the new one's end", lambda: echo.ended == 1, 2)
    conn.close()
    time.sleep(0.2)
    assert echo.ended == 1 and echo.got == b"firstnew"


def test_resets_and_ends_reach_the_other_side(ends):
    link, echo, conn = ends
    with dial(link) as other:
        other.sendall(b"x")
        assert other.recv(9) == b"x"
        other.shutdown(socket.SHUT_WR)
        assert other.recv(9) == b""
    wait_for("its end", lambda: echo.ended == 1, 2)
    link.reset()
    with pytest.raises(ConnectionResetError):
        conn.recv(9)
    wait_for("the other side's end", lambda: echo.ended == 2, 2)
