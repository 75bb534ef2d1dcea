"""Entry hosts that lose their way to all servers, and to nothing else.

All hosts use the same addresses of servers, so the forwarders before the
servers tell the hosts apart by the process that owns a connection.
"""

import asyncio
import ctypes
import errno
import os
import re
import socket
import struct
import time

from soak.backends import Backend
from soak.messages import split
from soak.operator import Operator, route
from soak.proxy import Link
from soak.world import World

# How connections to servers behave at a host that is cut off: all go silent;
# all are reset; those that stand go on and new ones are reset.
HANG, RESET, REFUSE = "hang", "reset", "refuse"
MODES = [HANG, RESET, REFUSE]
# Answers after which a server closes a connection in an orderly way.
ANSWERS_PER_CONNECTION = 5

REQUEST_ID = re.compile(rb"(?i)\r\nx-request-id:[ ]*([^\r]*)\r")
RECEIVE_BYTES = 65536

# Linux: linux/sock_diag.h, linux/inet_diag.h.
NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
NLM_F_REQUEST = 1
NLMSG_ERROR = 2
NETLINK_HEADER = "=IHHII"
NO_COOKIE = 0xFFFFFFFF
ALL_STATES = 0xFFFFFFFF
# Offset of idiag_inode in an answer: behind the message's header, the
# socket's id and six fields.
INODE_OFFSET = 16 + 4 + 48 + 16

# Linux: asm-generic/socket.h, linux/filter.h.
SO_ATTACH_FILTER, SO_DETACH_FILTER = 26, 27
DROP_ALL = ctypes.create_string_buffer(struct.pack("HBBI", 0x06, 0, 0, 0), 8)


def socket_inode(local, remote):
    """The inode of the TCP socket with these ends; None if it is gone."""
    ends = (struct.pack("!HH", local[1], remote[1]) +
            socket.inet_aton(local[0]).ljust(16, b"\0") +
            socket.inet_aton(remote[0]).ljust(16, b"\0") +
            struct.pack("=III", 0, NO_COOKIE, NO_COOKIE))
    query = struct.pack("=BBBBI", socket.AF_INET, socket.IPPROTO_TCP, 0, 0,
                        ALL_STATES) + ends
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW,
                       NETLINK_SOCK_DIAG) as kernel:
        size = struct.calcsize(NETLINK_HEADER) + len(query)
        kernel.send(struct.pack(NETLINK_HEADER, size, SOCK_DIAG_BY_FAMILY,
                                NLM_F_REQUEST, 0, 0) + query)
        answer = kernel.recv(RECEIVE_BYTES)
    kind = struct.unpack_from(NETLINK_HEADER, answer)[1]
    if kind == NLMSG_ERROR:
        code = -struct.unpack_from("=i", answer, 16)[0]
        if code != errno.ENOENT:
            raise OSError(code, os.strerror(code))
        return None
    return struct.unpack_from("=I", answer, INODE_OFFSET)[0] or None


def owns(process, inode):
    """Whether a process holds the socket."""
    folder = f"/proc/{process.pid}/fd"
    wanted = f"socket:[{inode}]"
    try:
        for name in os.listdir(folder):
            try:
                if os.readlink(f"{folder}/{name}") == wanted:
                    return True
            except FileNotFoundError:
                continue
    except (FileNotFoundError, ProcessLookupError):
        pass
    return False


def owner(hosts, writer):
    """The host at the other end of an accepted connection, or None."""
    inode = socket_inode(writer.get_extra_info("peername"),
                         writer.get_extra_info("sockname"))
    if inode is None:
        return None
    for host in hosts:
        if host.runs and owns(host.process, inode):
            return host
    return None


def reset(writer):
    """Resets a connection."""
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Way:
    """The way of one host to all servers."""

    def __init__(self):
        self.mode = None
        self.open = asyncio.Event()
        self.open.set()
        self.writers = set()

    @property
    def accepts(self):
        """Whether new connections aren't reset."""
        return self.mode not in (RESET, REFUSE)

    def add(self, writer):
        """Takes a connection of the host in."""
        self.writers.add(writer)
        if self.mode == HANG:
            self.silence(writer)

    def cut(self, mode):
        """Cuts the way."""
        self.mode = mode
        if mode == HANG:
            self.open.clear()
        for writer in list(self.writers):
            if mode == RESET:
                reset(writer)
            elif mode == HANG:
                self.silence(writer)

    def mend(self):
        """Ends a cut; what was lost is sent again by the host's kernel."""
        for writer in self.writers:
            if self.mode == HANG and not writer.transport.is_closing():
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, SO_DETACH_FILTER, 0)
        self.mode = None
        self.open.set()

    def silence(self, writer):
        """Drops what arrives on a connection, unacknowledged."""
        if not writer.transport.is_closing():
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, SO_ATTACH_FILTER,
                struct.pack("HP", 1, ctypes.addressof(DROP_ALL)))


class ServerLink(Link):
    """Forwarder before a server that treats each entry host in its own way."""

    def __init__(self, world, told, target):
        super().__init__(told, target)
        self.world = world

    async def forward(self, reader, writer):
        host = owner(self.world.hosts, writer)
        if host is None:
            reset(writer)
            return
        way = self.world.ways[host]
        if not way.accepts:
            reset(writer)
            return
        way.add(writer)
        self.writers.add(writer)
        other = None
        try:
            await way.open.wait()
            far, other = await asyncio.open_connection(*split(self.target))
            self.writers.add(other)
            made = Made(host)
            self.world.made.append(made)
            await asyncio.gather(
                self.carry(reader, other, way, made.note),
                self.carry(far, writer, way, lambda _: None))
        except (OSError, asyncio.CancelledError):
            # A task of the server that is cancelled would print a trace.
            pass
        finally:
            way.writers.discard(writer)
            for end in (writer, other):
                if end is not None:
                    self.writers.discard(end)
                    end.transport.abort()

    async def carry(self, reader, writer, way, note):
        """Carries one direction until it ends."""
        while data := await reader.read(RECEIVE_BYTES):
            await way.open.wait()
            note(data)
            writer.write(data)
            await writer.drain()
        await way.open.wait()
        if writer.can_write_eof():
            writer.write_eof()


class Made:
    """A connection to a server: who made it, and its first request."""

    def __init__(self, host):
        self.host = host
        self.at = time.monotonic()
        self.request = None

    def note(self, data):
        """Looks for the id of the first request."""
        if self.request is None and (found := REQUEST_ID.search(data)):
            self.request = found[1].decode()


class Closing:
    """Writer that closes its connection after some answers, announced."""

    def __init__(self, writer, _random):
        self.writer = writer
        self.left = ANSWERS_PER_CONNECTION
        self.announced = False

    def __getattr__(self, name):
        return getattr(self.writer, name)

    async def __aenter__(self):
        self.left -= 1
        return self

    async def __aexit__(self, *_):
        if self.announced:
            self.writer.close()

    def write(self, data):
        """Passes an answer on; the head of the last one says so."""
        if self.left <= 0 and not self.announced:
            self.announced = True
            line, end, rest = data.partition(b"\r\n")
            data = line + end + b"Connection: close\r\n" + rest
        self.writer.write(data)


class TwoPlainServices(Operator):
    """Operator of a configuration with a second plain service."""

    def document(self, version):
        content = super().document(version)
        content["services"].append(
            {"name": "till", "health_path": "/health", "max_conns": 100,
             "protocol": "h1", "tls": False})
        content["routes"] += [route("sale", "unsafe", "till"),
                              route("price", "safe", "till")]
        return content


class CutOffWorld(World):
    """A world in which each entry host's way to the servers can be cut."""

    zones = ["a", "b"]
    services = World.services + [(Backend, "till")] * 3

    def __init__(self, build, folder, seed, options):
        super().__init__(build, folder, seed, options)
        self.operator = TwoPlainServices(self)
        self.ways = {host: Way() for host in self.hosts}
        self.made = []
        for backend in self.backends:
            backend.copies = Closing

    def link_to(self, told, own):
        return ServerLink(self, told, own)
