"""Links that faults are injected into: each forwards connections to one
address. One event loop on a thread of its own carries all of them.

What a link can be told: each part of the data comes late; one way or both are
cut (what was sent comes once the cut is over, an end or a reset as well); open
connections are reset; open ones go silent for good, while new ones work.
"""
import asyncio
import socket
import struct
import threading
import weakref

PART_BYTES = 65536
LINGER_RESET = struct.pack("ii", 1, 0)
THERE, BACK = "there", "back"


class Loop:
    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.tasks, self.servers, self.failures = set(), [], []
        self.transports = weakref.WeakSet()  # all that are open, and more
        self.thread = threading.Thread(target=self.loop.run_forever,
                                       daemon=True)
        self.thread.start()

    def do(self, function, *args):
        """Calls a function on the loop's thread; returns what it returned."""
        async def called():
            return function(*args)
        return asyncio.run_coroutine_threadsafe(called(), self.loop).result(10)

    def wait(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine,
                                                self.loop).result(10)

    def start(self, coroutine):
        task = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.done)

    def done(self, task):
        self.tasks.discard(task)
        if not task.cancelled() and task.exception():
            self.failures.append("a link: %r" % task.exception())

    def close(self):
        """Gives back every descriptor."""
        async def cancel():
            for server in self.servers:
                server.close()
            tasks = list(self.tasks)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for transport in list(self.transports):
                transport.abort()
            await asyncio.sleep(0)
        self.wait(cancel())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()


class Connection:
    def __init__(self, near, far):
        self.writers = (near, far)
        self.silent = False
        self.sent = b""  # last part of the data that went there

    def reset(self):
        for writer in self.writers:
            reset(writer)


def reset(writer):
    sock = writer.get_extra_info("socket")
    if sock and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    writer.transport.abort()


class Link:
    """'names' (addresses as bytes -> others as long) are replaced on the way,
    so that those who hear of an address dial its link."""

    def __init__(self, loop, target, names=None):
        self.loop, self.target = loop, target
        self.names = {} if names is None else names
        self.delay_s = 0.0
        self.connections = set()
        self.server = loop.wait(self.listen())
        port = self.server.sockets[0].getsockname()[1]
        self.address = "127.0.0.1:%d" % port

    async def listen(self):
        self.passes = {THERE: asyncio.Event(), BACK: asyncio.Event()}
        for event in self.passes.values():
            event.set()
        server = await asyncio.start_server(
            lambda r, w: self.loop.start(self.serve(r, w)), "127.0.0.1", 0)
        self.loop.servers.append(server)
        return server

    def delay(self, seconds):
        self.delay_s = seconds

    def cut(self, ways):
        self.loop.do(lambda: [self.passes[way].clear() for way in ways])

    def mend(self):
        self.delay_s = 0.0
        self.loop.do(lambda: [e.set() for e in self.passes.values()])

    def reset(self):
        self.loop.do(lambda: [c.reset() for c in list(self.connections)])

    def silence(self, sent=b""):
        """Silences open connections whose last data there held 'sent'."""
        def silenced():
            for connection in self.connections:
                connection.silent |= sent in connection.sent
        self.loop.do(silenced)

    async def serve(self, near_reader, near):
        host, port = self.target.rsplit(":", 1)
        self.loop.transports.add(near.transport)
        try:
            far_reader, far = await asyncio.open_connection(host, int(port))
        except OSError:
            reset(near)
            return
        self.loop.transports.add(far.transport)
        connection = Connection(near, far)
        self.connections.add(connection)
        await asyncio.gather(
            self.forward(connection, near_reader, far, THERE),
            self.forward(connection, far_reader, near, BACK))
        if connection.silent:
            await asyncio.Event().wait()  # neither side is told
        self.connections.discard(connection)

    async def forward(self, connection, reader, writer, way):
        broken = False
        while True:
            try:
                data = await reader.read(PART_BYTES)
            except OSError:
                data, broken = b"", True
            await self.passes[way].wait()
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            if connection.silent:
                return
            if not data:
                break
            if way == THERE:
                connection.sent = data
            for there, instead in self.names.items():
                data = data.replace(there, instead)
            try:
                writer.write(data)
                await writer.drain()
            except OSError:
                break
        if broken:
            connection.reset()
        else:
            writer.close()
