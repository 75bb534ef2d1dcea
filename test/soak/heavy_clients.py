"""Clients that make a host hold as much memory as they can.

Each form of load is played by the same number of clients at once, against one
listener. None of them sends its last bytes.
"""

import asyncio
import contextlib

CLIENTS = 100
# Clients that hold a connection and little else.
IDLE_CLIENTS = 400
# The limit of the configuration, for listeners with and without it.
BODY_BYTES = 4 * 1024 * 1024
OVER_BYTES = 10 * BODY_BYTES
DECLARED_OVER_BYTES = 8 * 1024 ** 3
ONE_BYTE_CHUNKS = 1024 * 1024
UNSENT_BYTES = 16
PIECE_BYTES = 16 * 1024
CHUNK_BYTES = 256 * 1024
PIPELINED_REQUESTS = 20000
# Largest call between hosts.
CALL_BYTES = 16 * 1024 * 1024
# Clients that are still at work then are cut off: a listener may stop reading.
PLAY_S = 8.0
FILLING = b"x" * CHUNK_BYTES


class Target:
    """A listener, and the start of the requests that it reads."""

    def __init__(self, address, start, fields):
        self.address = address
        self.start = start
        self.fields = fields

    def head(self, number, framing):
        """Head of the request of one client."""
        text = self.start.format(number=number) + " HTTP/1.1\r\n"
        for name, value in (self.fields | framing).items():
            text += f"{name}: {value}\r\n".format(number=number)
        return (text + "\r\n").encode()


async def fill(writer, size, piece=CHUNK_BYTES):
    """Sends so many bytes."""
    while size > 0:
        part = FILLING[:min(size, piece)]
        writer.write(part)
        await writer.drain()
        size -= len(part)


async def declared(target, writer, number):
    """A body of legal size with its length, but for its last bytes."""
    writer.write(target.head(number, {"Content-Length": BODY_BYTES}))
    await fill(writer, BODY_BYTES - UNSENT_BYTES)


async def pieces(target, writer, number):
    """The same, piece by piece."""
    writer.write(target.head(number, {"Content-Length": BODY_BYTES}))
    left = BODY_BYTES - UNSENT_BYTES
    while left > 0:
        await fill(writer, min(left, PIECE_BYTES), PIECE_BYTES)
        left -= PIECE_BYTES
        await asyncio.sleep(0.002)


async def chunked(target, writer, number):
    """A body of legal size in large chunks, without the end of the last."""
    writer.write(target.head(number, {"Transfer-Encoding": "chunked"}))
    for sent in range(0, BODY_BYTES, CHUNK_BYTES):
        writer.write(f"{CHUNK_BYTES:x}\r\n".encode())
        last = sent + CHUNK_BYTES == BODY_BYTES
        await fill(writer, CHUNK_BYTES - (UNSENT_BYTES if last else 0))
        if not last:
            writer.write(b"\r\n")


async def one_byte(target, writer, number):
    """A body in chunks of one byte, without its end."""
    writer.write(target.head(number, {"Transfer-Encoding": "chunked"}))
    some = b"1\r\nx\r\n" * 4096
    for _ in range(ONE_BYTE_CHUNKS // 4096):
        writer.write(some)
        await writer.drain()


async def declared_over(target, writer, number):
    """A body far over the limit, with its length."""
    writer.write(target.head(number, {"Content-Length": DECLARED_OVER_BYTES}))
    await fill(writer, OVER_BYTES)


async def chunked_over(target, writer, number):
    """A body far over the limit, without its length."""
    writer.write(target.head(number, {"Transfer-Encoding": "chunked"}))
    for _ in range(OVER_BYTES // CHUNK_BYTES):
        writer.write(f"{CHUNK_BYTES:x}\r\n".encode())
        await fill(writer, CHUNK_BYTES)
        writer.write(b"\r\n")


async def unread(target, writer, number):
    """A whole request; its answer isn't read."""
    writer.write(target.head(number, {"Content-Length": 0}))
    await writer.drain()


async def pipelined(target, writer, number):
    """Requests one after the other; no answer is read."""
    for _ in range(PIPELINED_REQUESTS):
        writer.write(target.head(number, {"Content-Length": 0}))
        await writer.drain()


async def call(_target, writer, _number):
    """The largest call between hosts, but for its last bytes."""
    writer.write(CALL_BYTES.to_bytes(4, "big"))
    await fill(writer, CALL_BYTES - UNSENT_BYTES)


async def silent(_target, _writer, _number):
    """Nothing."""


async def partial_head(target, writer, number):
    """The head of a request, but for its last line."""
    writer.write(target.head(number, {})[:-2])


FORMS = {form.__name__: form for form in (
    declared, pieces, chunked, one_byte, declared_over, chunked_over, unread,
    pipelined, call, silent, partial_head)}
IDLE_FORMS = (silent, partial_head)


class Crowd:
    """All clients of one run; their connections stay open until `close`."""

    def __init__(self, target, form):
        self.target = target
        self.form = form
        self.writers = []
        self.ended = 0

    async def client(self, number):
        """Plays one client; its connection stays open."""
        host, port = self.target.address.rsplit(":", 1)
        with contextlib.suppress(OSError, EOFError):
            # The smallest limit: what the listener sends stays unread.
            reader, writer = await asyncio.open_connection(
                host, int(port), limit=1)
            self.writers.append((reader, writer))
            writer.transport.set_write_buffer_limits(high=CHUNK_BYTES)
            await self.form(self.target, writer, number)
            self.ended += 1

    async def play(self):
        """Plays all clients at once."""
        count = IDLE_CLIENTS if self.form in IDLE_FORMS else CLIENTS
        clients = [asyncio.create_task(self.client(number))
                   for number in range(count)]
        await asyncio.wait(clients, timeout=PLAY_S)
        for client in clients:
            client.cancel()
        await asyncio.gather(*clients, return_exceptions=True)

    def close(self):
        """Ends all connections."""
        for _, writer in self.writers:
            writer.transport.abort()
