"""HTTP/1.1 as the soak's callers, backends and operator speak it."""

import asyncio

REQUEST_LIMIT_BYTES = 65536


class Head:
    """Start line and fields of a message."""

    def __init__(self, line, fields):
        self.line = line
        self.fields = fields

    @property
    def status(self):
        """Status of a response."""
        return int(self.line.split(" ", 2)[1])

    @property
    def success(self):
        """Whether a response is a success."""
        return 200 <= self.status < 300

    @property
    def target(self):
        """Method and path of a request."""
        method, path, _ = self.line.split(" ", 2)
        return method, path

    def number(self, name, default):
        """A field's value as a number."""
        return float(self.fields.get(name, default))


async def read_head(reader):
    """Reads a head; None where the connection ends before one begins."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as end:
        if end.partial:
            raise ConnectionError("the head is cut") from end
        return None
    lines = data.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return Head(lines[0], fields)


async def read_body(reader, head):
    """Reads a body with a length; raises where it is cut."""
    return await reader.readexactly(int(head.fields.get("content-length", 0)))


async def read_chunk(reader):
    """Reads one chunk; empty for the last one."""
    size = int((await reader.readline()).strip() or b"0x", 16)
    data = await reader.readexactly(size + 2)
    return data[:-2]


def message(line, fields, body=b""):
    """Bytes of a message with a body of known length."""
    text = line + "\r\n"
    for name, value in fields.items():
        text += f"{name}: {value}\r\n"
    text += f"Content-Length: {len(body)}\r\n\r\n"
    return text.encode("latin-1") + body


def split(address):
    """Host and port of an address."""
    host, port = address.rsplit(":", 1)
    return host, int(port)


async def call(address, line, fields, body=b"", timeout=2.0):
    """Makes one call on a connection of its own; returns head and body."""
    async with asyncio.timeout(timeout):
        host, port = split(address)
        reader, writer = await asyncio.open_connection(
            host, port, limit=REQUEST_LIMIT_BYTES * 64)
        try:
            writer.write(message(line, fields, body))
            head = await read_head(reader)
            if head is None:
                raise ConnectionError("no answer")
            return head, await read_body(reader, head)
        finally:
            writer.close()
