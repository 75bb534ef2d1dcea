"""Servers that answer an upload before they have read it."""

import asyncio
import socket
import struct

from soak.backends import Backend
from soak.findings import digest
from soak.messages import read_body, read_head
from soak.proxy import Link
from soak.world import World

# Longer than the buffers of the kernel between a host and a server.
UPLOAD = b"u" * 600000
SHARE = 0.4
REFUSAL = b"too large"
# Without pauses, the end of a connection reaches a host with the answer.
PAUSES_S = [0.0, 0.005, 0.05]


class Form:
    """One kind of early answer and the end of its connection."""

    def __init__(self, name, end, status=200, length=False, cut=True):
        self.name = name
        self.end = end
        self.status = status
        self.length = length
        # Whether the answer breaks off.
        self.cut = cut

    def answer(self, request):
        """The bytes of the answer, and its body if it is whole."""
        whole = (digest(request, UPLOAD).encode() if self.status == 200
                 else REFUSAL)
        text = f"HTTP/1.1 {self.status} Early\r\nX-Request-Id: {request}\r\n"
        if self.status == 200:
            text += f"X-Response-Stamp: {digest('stamp', request)}\r\n"
        if self.length:
            text += f"Content-Length: {len(whole)}\r\n"
        body = whole[:8] if self.cut else whole
        return text.encode() + b"Connection: close\r\n\r\n" + body

    async def play(self, request, writer, pause_s):
        """Sends the answer and ends the connection."""
        # With bytes left to read, the kernel resets a connection at its close.
        writer.transport.pause_reading()
        writer.write(self.answer(request))
        await asyncio.sleep(pause_s)
        if "fin" in self.end:
            writer.write_eof()
            await asyncio.sleep(pause_s)
        if "reset" in self.end:
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()


FORMS = [
    Form("reset", "reset"),
    Form("closed unread", "close"),
    Form("ended in order, then reset", "fin, reset"),
    Form("whole with a length, reset", "reset", length=True, cut=False),
    Form("refusal, ended in order, then reset", "fin, reset", 413, cut=False),
    Form("refusal, closed unread", "close", 413, cut=False),
    Form("refusal with a length, closed unread", "close", 413, True, False),
]


class EarlyBackend(Backend):
    """A plain service that answers some requests before it has read them."""

    form = None
    pause_s = 0.0

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while head := await read_head(reader):
                request = head.fields.get("x-request-id", "")
                if self.form and self.world.random.random() < SHARE:
                    self.world.note_early(request, self.form)
                    await self.form.play(request, writer, self.pause_s)
                    break
                body = await read_body(reader, head)
                # The digests' cache would keep each copy of an upload.
                body = UPLOAD if body == UPLOAD else body
                await self.answer(head, body, writer)
                await writer.drain()
        except (OSError, EOFError, ValueError, asyncio.CancelledError):
            # A task of the server that is cancelled would print a trace.
            pass
        finally:
            self.connections.discard(writer)
            writer.transport.abort()


class EarlyWorld(World):
    """Servers without forwarders, which would change how a connection ends."""

    services = [(EarlyBackend if service == "desk" else kind, service)
                for kind, service in World.services]

    def __init__(self, build, folder, seed, options):
        super().__init__(build, folder, seed, options)
        # Each early answer may cost a retry.
        self.retry_extra = 100000
        self.early = set()
        for backend in self.backends:
            backend.address = backend.told

    def link_to(self, told, own):
        return Link(own, told)

    def note_early(self, request, form):
        """Notes that a server has answered early; the request may have run."""
        self.early.add(request)
        self.findings.given[request].add(form.status)
        if self.findings.sent[request][0] != "order":
            return
        self.findings.runs[request] += 1
        if self.findings.runs[request] > 1:
            self.findings.breaks("TWICE", f"{request} was sent twice")

    def uploads(self):
        """The servers that are sent uploads."""
        return [backend for backend in self.backends
                if isinstance(backend, EarlyBackend)]
