"""A day of one deployment: requests come at their rates, answered or not.

With faults, hosts and servers are reached through forwarders, and hosts, links
and servers misbehave meanwhile."""

import asyncio
import collections
import time

from soak.backends import Backend, Engine
from soak.callers import Caller
from soak.faults import Faults
from soak.hosts import Host
from soak.operator import Operator
from soak.proxy import Link
from soak.world import BACKEND_PORT, World, ZONES

# Requests a second of all callers together.
PLAIN = {"order": 7.96, "lookup": 3.19}
STREAMS_PER_S = 93.0
STREAM_DEADLINE_MS = 20000
ROUTE_TIMEOUT_MS = 800
PLAIN_SLOTS = 6
WORK_S = 0.015
EVENTS = (20, 90)
RETRY_EXTRA = 202
WATCH_S = 0.05
MAY_REPEAT = {"order": {421, 429, 503},
              "lookup": {421, 429, 500, 502, 503, 504},
              "draft": {421, 429, 503}}


class DirectHost(Host):
    """A gateway that is reached without a forwarder."""

    def __init__(self, *words):
        super().__init__(*words)
        self.own = self.told

    @property
    def links(self):
        return []


class PlainServer(Backend):
    """A plain server with a limit of connections and of slots."""

    def __init__(self, *words):
        super().__init__(*words)
        self.slots = asyncio.Semaphore(PLAIN_SLOTS)

    def description(self):
        return super().description() | {"slots": PLAIN_SLOTS}

    async def serve(self, reader, writer):
        if len(self.connections) >= self.world.options.connections:
            self.world.over_limit += 1
            writer.transport.abort()
            return
        await super().serve(reader, writer)

    async def answer(self, head, body, writer):
        async with self.slots:
            await asyncio.sleep(WORK_S)
            await super().answer(head, body, writer)


class DayOperator(Operator):
    """Sets the routes and services of the day."""

    async def put(self, content, address):
        for route in content["routes"]:
            if route["service"] == "desk":
                route["timeout_ms"] = ROUTE_TIMEOUT_MS
                route["target_latency_ms"] = 100
            else:
                route["timeout_ms"] = STREAM_DEADLINE_MS
        for service in content["services"]:
            if service["name"] == "desk":
                service["max_conns"] = self.world.options.connections
        return await super().put(content, address)


class Visitor(Caller):
    """Makes requests one after the other, as it is asked to."""

    def deadline_ms(self, kind):
        return (STREAM_DEADLINE_MS if kind == "draft"
                else self.world.options.deadline_ms)

    def events(self, kind):
        return self.world.random.randint(*EVENTS)

    async def visit(self, kind):
        """Makes a request, and once more where that is allowed."""
        status = await self.request(kind)
        again = status in MAY_REPEAT[kind] or (status is None and
                                               kind == "lookup")
        if again:
            self.close()
            self.world.repeated[kind] += 1
            status = await self.request(kind)
        self.world.visits[kind] += 1
        self.world.served[kind] += status == 200
        if self.world.random.random() < 0.1:
            self.close()


class Day(World):
    """Requests at fixed rates; servers answer twice throughout."""

    def __init__(self, build, folder, seed, options):
        self.options = options
        super().__init__(build, folder, seed, options)
        self.retry_extra = RETRY_EXTRA
        self.operator = DayOperator(self)
        self.rates = PLAIN | {"draft": STREAMS_PER_S * options.streams}
        self.visitors = []
        self.free = []
        self.begin(None)

    def add_host(self, number, control):
        kind = Host if self.options.faults else DirectHost
        host = kind(self, number + 1, ZONES[number % len(ZONES)], control)
        if control:
            self.control_addresses.append(host.front_address)
        return host

    def add_backend(self, number):
        told = own = f"127.{self.block}.3.{number + 1}:{BACKEND_PORT}"
        if self.options.faults:
            own = f"127.{self.block}.4.{number + 1}:{BACKEND_PORT}"
            self.links.append(Link(told, own))
        kind, service = ((Engine, "verse") if number < 6
                         else (PlainServer, "desk"))
        zone = ZONES[number % len(ZONES)]
        self.backends.append(
            kind(self, f"s{number}", service, zone, own, told))

    def begin(self, copies):
        """Lets all servers answer twice in some way; counts from here on."""
        self.over_limit = 0
        self.visits = collections.Counter()
        self.served = collections.Counter()
        self.repeated = collections.Counter()
        self.lags = []
        self.broken_before = len(self.findings.broken)
        for backend in self.backends:
            backend.copies = copies
            for writer in list(backend.connections):
                writer.transport.abort()

    async def arrive(self, kind, until):
        """Lets requests of one kind come until a time."""
        visits = set()
        at = time.monotonic()
        while True:
            at += self.random.expovariate(self.rates[kind])
            if at >= until:
                break
            await asyncio.sleep(max(0.0, at - time.monotonic()))
            visit = asyncio.create_task(self.admit(kind))
            visits.add(visit)
            visit.add_done_callback(visits.discard)
        await asyncio.gather(*visits)

    async def admit(self, kind):
        """Gives a request to a caller that has none."""
        if not self.free:
            self.visitors.append(Visitor(self, 100 + len(self.visitors)))
            self.free.append(self.visitors[-1])
        visitor = self.free.pop(self.random.randrange(len(self.free)))
        try:
            await visitor.visit(kind)
        finally:
            self.free.append(visitor)

    async def watch(self):
        """Measures how late this process is."""
        while True:
            due = time.monotonic() + WATCH_S
            await asyncio.sleep(WATCH_S)
            self.lags.append(time.monotonic() - due)

    async def play(self, seconds):
        """Plays the day."""
        watching = asyncio.create_task(self.watch())
        until = time.monotonic() + seconds
        works = [self.arrive(kind, until)
                 for kind, rate in self.rates.items() if rate]
        if self.options.faults:
            works.append(Faults(self).run(seconds))
        await asyncio.gather(*works)
        watching.cancel()
        for visitor in self.visitors:
            visitor.close()

    def broken(self):
        """What has been broken since the day began."""
        return self.findings.broken[self.broken_before:]

    def mixed(self):
        """Requests with an answer that isn't their own or whole, by kind."""
        return self.findings.requests_of({"MIXED", "ORDER"},
                                         self.broken_before)
