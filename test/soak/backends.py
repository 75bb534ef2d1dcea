"""Stand-in backend servers: a plain service and engines with layers."""

import asyncio
import json
import time

from soak.findings import digest
from soak.messages import message, read_body, read_head, split, call
from soak.strangers import precede
from soak.stutter import Stutter

LAYERS = 8
LAYER_MB = 100.0
STRIDE = 4
HEARTBEAT_S = 0.4
LOAD_S = 0.6
EVENT_S = 0.015
CRASH_S = 2.0


class Backend:
    """One server at an address; each start is a new incarnation."""

    def __init__(self, world, name, service, zone, address, told):
        self.world = world
        self.name = name
        self.service = service
        self.zone = zone
        self.address = address
        self.told = told
        self.starts = 0
        self.server = None
        self.connections = set()
        self.heartbeats = None
        self.state = "ready"
        self.fails = 0.0
        self.stutters = None
        # Writer that sends copies inside answers; None for none.
        self.copies = None
        # How answers are made that come before its own or in its place; None
        # for none.
        self.strange = None
        self.last_request = None
        # Beginning of the bodies under which it crashes; None for none.
        self.deadly = None

    @property
    def instance(self):
        """Id of this incarnation."""
        return f"i-{self.name}-{self.starts}"

    @property
    def alive(self):
        """Whether it runs."""
        return self.server is not None

    async def start(self):
        """Starts a new incarnation."""
        self.starts += 1
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        host, port = split(self.address)
        self.server = await asyncio.start_server(self.serve, host, port)
        self.heartbeats = asyncio.create_task(self.announce())

    async def crash(self):
        """Ends at once, without a word."""
        if self.server is None:
            return
        self.server.close()
        self.server = None
        self.heartbeats.cancel()
        for writer in list(self.connections):
            writer.transport.abort()

    async def crash_for(self, seconds):
        """Crashes and comes back after a while."""
        self.world.findings.outcomes["crash", self.service] += 1
        await self.crash()
        await asyncio.sleep(seconds)
        await self.start()

    async def announce(self):
        """Sends heartbeats to one control host after the other."""
        turn = self.starts
        while True:
            self.sequence += 1
            body = json.dumps(self.description()).encode()
            for _ in self.world.control_addresses:
                address = self.world.control_addresses[
                    turn % len(self.world.control_addresses)]
                try:
                    head, _ = await call(
                        address, f"PUT /instances/{self.instance} HTTP/1.1",
                        {"Host": "control",
                         "Content-Type": "application/json"}, body, 1.0)
                    if head.status == 200:
                        break
                except (OSError, TimeoutError, EOFError, ValueError):
                    pass
                turn += 1
            await asyncio.sleep(HEARTBEAT_S)

    def description(self):
        """What a heartbeat says."""
        return {"service": self.service, "address": self.told,
                "zone": self.zone, "version": "v1", "slots": 32,
                "state": self.state, "cold_left_ms": 0, "born": self.born,
                "seq": self.sequence}

    async def serve(self, reader, writer):
        """Serves one connection."""
        self.connections.add(writer)
        incarnation = self.starts
        stutter = None
        if self.stutters:
            stutter = Stutter(writer, self.stutters, self.world.random)
        elif self.copies:
            stutter = self.copies(writer, self.world.random)
        try:
            while head := await read_head(reader):
                body = await read_body(reader, head)
                if incarnation != self.starts or not self.alive:
                    break
                if self.deadly and body.startswith(self.deadly):
                    asyncio.create_task(self.crash_for(CRASH_S))
                    break
                if self.strange and await precede(self, head, body, writer):
                    continue
                if stutter is None:
                    await self.answer(head, body, writer)
                else:
                    async with stutter:
                        await self.answer(head, body, stutter)
                await writer.drain()
        except (OSError, EOFError, ValueError, asyncio.CancelledError):
            # A task of the server that is cancelled would print a trace.
            pass
        finally:
            self.connections.discard(writer)
            writer.transport.abort()

    def refuse(self, writer, head, status, at_fault=None):
        """Says that the request has not run."""
        fields = {"X-Not-Executed": "1",
                  "X-Request-Id": head.fields.get("x-request-id", "")}
        if at_fault:
            fields["At-Server"] = at_fault
        writer.write(message(f"HTTP/1.1 {status} Refused", fields))

    async def answer(self, head, body, writer):
        """Runs one request of a plain service."""
        request = head.fields.get("x-request-id", "")
        if head.fields.get("x-expect-instance") not in (None, self.instance):
            self.refuse(writer, head, 421)
            return
        draw = self.world.random.random()
        if draw < self.fails / 3:
            self.refuse(writer, head, 503)
            return
        self.world.findings.run(request, head, body)
        await asyncio.sleep(0.004)
        if draw < 2 * self.fails / 3:
            writer.transport.abort()
            return
        failed = draw < self.fails
        text = b"" if failed else digest(request, body).encode()
        self.world.findings.given[request].add(500 if failed else 200)
        writer.write(message(
            "HTTP/1.1 500 Failed" if failed else "HTTP/1.1 200 OK",
            {"X-Request-Id": request,
             "X-Response-Stamp": digest("stamp", request)}, text))


class Engine(Backend):
    """A model server that holds a range of layers."""

    def __init__(self, *words):
        super().__init__(*words)
        self.layers = None
        self.busy = False
        self.orders = 0
        self.memory_mb = 700.0

    async def start(self):
        self.layers = None
        self.busy = False
        self.orders = 0
        await super().start()

    def description(self):
        said = super().description() | {"kind": "card", "stage": "both"}
        if self.layers:
            said["layers"] = self.range()
        return said

    def range(self):
        """The layers as messages hold them."""
        return {"from": self.layers[0], "target": self.layers[1], "version": 1}

    async def answer(self, head, body, writer):
        method, path = head.target
        if head.fields.get("x-expect-instance") not in (None, self.instance):
            self.refuse(writer, head, 421)
        elif (method, path) == ("POST", "/order"):
            self.take_order(json.loads(body), writer)
        elif (method, path) == ("GET", "/report"):
            report = {"busy": self.busy, "seq": self.orders}
            if self.layers:
                report["layers"] = self.range()
            writer.write(message("HTTP/1.1 200 OK", {},
                                 json.dumps(report).encode()))
        else:
            await self.stream(head, body, writer)

    def take_order(self, order, writer):
        """Begins to load layers."""
        wanted = (order["from"], order["target"])
        if (wanted[1] - wanted[0]) * LAYER_MB > self.memory_mb:
            self.world.findings.breaks(
                "LIMIT", f"{self.instance} is to hold {wanted}")
        status = 202
        if self.layers == wanted:
            status = 200
        elif self.busy or order.get("precondition",
                                    self.orders) != self.orders:
            status = 409
        else:
            self.orders += 1
            self.busy = True
            asyncio.create_task(self.load(self.starts, wanted))
        writer.write(message(f"HTTP/1.1 {status} Order", {}))

    async def load(self, incarnation, wanted):
        """Holds the layers after a while."""
        await asyncio.sleep(LOAD_S)
        if incarnation == self.starts:
            self.layers = wanted
            self.busy = False

    def check_chain(self, head):
        """Checks who runs which layers; the address that can't, if any."""
        layer = 0
        seen = set()
        for part in head.fields["x-hop-count"].split(","):
            address, _, layers = part.partition("=")
            begin, end = map(int, layers.split("-"))
            if begin != layer or end <= begin or address in seen:
                self.world.findings.breaks(
                    "LAYERS", head.fields["x-hop-count"])
            seen.add(address)
            layer = end
            engine = self.world.engine_at(address)
            held = engine.layers if engine and engine.alive else None
            if not held or held[0] > begin or held[1] < end:
                return address
        if layer != LAYERS:
            self.world.findings.breaks("LAYERS", head.fields["x-hop-count"])
        return None

    async def stream(self, head, body, writer):
        """Runs one request and sends its events."""
        request = head.fields.get("x-request-id", "")
        at_fault = self.check_chain(head)
        if at_fault:
            self.refuse(writer, head, 503, at_fault)
            return
        self.world.findings.run(request, head, body)
        self.world.findings.given[request].add(200)
        tokens = int(head.fields["x-token-counts"].split(",")[1])
        writer.write((
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"X-Request-Id: {request}\r\n"
            f"X-Response-Stamp: {digest('stamp', request)}\r\n"
            "Transfer-Encoding: chunked\r\n\r\n").encode())
        first = int(head.fields.get("last-event-id", 0)) + 1
        for number in range(first, tokens // STRIDE + 1):
            await asyncio.sleep(EVENT_S)
            if self.check_chain(head):
                writer.transport.abort()
                return
            event = (f"id: {number}\ndata: {digest(body, number)}\n\n").encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
