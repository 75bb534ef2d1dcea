"""A loopback forwarder whose connections can be made to misbehave."""

import asyncio

from soak.messages import split

INWARD, OUTWARD = "inward", "outward"


class Link:
    """Forwards one address to another."""

    def __init__(self, told, target):
        self.told = told
        self.target = target
        self.blocked = set()
        self.delay_s = 0.0
        self.refuses = False
        self.changed = asyncio.Event()
        self.writers = set()
        self.server = None

    async def start(self):
        """Listens from now on."""
        host, port = split(self.told)
        self.server = await asyncio.start_server(self.forward, host, port)

    def behave(self, blocked=(), delay_s=0.0, refuses=False):
        """Holds the bytes of some directions back, or delays or refuses."""
        self.blocked = set(blocked)
        self.delay_s = delay_s
        self.refuses = refuses
        self.changed.set()
        self.changed = asyncio.Event()

    def reset(self):
        """Resets all connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def forward(self, reader, writer):
        """Carries one connection."""
        self.writers.add(writer)
        other = None
        try:
            if self.refuses:
                return
            await self.pass_gate(INWARD)
            far, other = await asyncio.open_connection(*split(self.target))
            self.writers.add(other)
            await asyncio.gather(self.pump(reader, other, INWARD),
                                 self.pump(far, writer, OUTWARD))
        except (OSError, asyncio.CancelledError):
            # A task of the server that is cancelled would print a trace.
            pass
        finally:
            for end in (writer, other):
                if end is not None:
                    self.writers.discard(end)
                    end.transport.abort()

    async def pass_gate(self, direction):
        """Waits while a direction is blocked."""
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        while direction in self.blocked:
            await self.changed.wait()

    async def pump(self, reader, writer, direction):
        """Carries one direction until it ends."""
        while data := await reader.read(65536):
            await self.pass_gate(direction)
            writer.write(data)
            await writer.drain()
        await self.pass_gate(direction)
        if writer.can_write_eof():
            writer.write_eof()

    async def stop(self):
        """Closes the listener and all connections."""
        self.server.close()
        self.reset()
