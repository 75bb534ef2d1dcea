"""Gateways, backends, callers and the operator of one run."""

import asyncio
import random
import signal
import time

from soak.backends import Backend, Engine
from soak.callers import Caller
from soak.faults import Faults
from soak.findings import Findings
from soak.hosts import Host
from soak.operator import Operator
from soak.proxy import Link

ZONES = ["a", "b", "c"]
BACKEND_PORT = 8500
START_S = 20.0
# Time after the last fault by which all promises about service hold again.
SETTLE_S = 12.0
# Time for a configuration to be in force on all hosts.
IN_FORCE_S = 6.0
CHECK_REQUESTS = 20
# The timeout of the routes, and time for its answer to arrive.
LATE_S = 4.6
SERVED_SHARE = 0.9


class World:
    """Everything of one run, drawn from one seed."""

    zones = ZONES
    services = [(Engine, "verse")] * 6 + [(Backend, "desk")] * 3

    def __init__(self, build, folder, seed, options):
        self.block = options.block
        self.retry_extra = 60
        self.build = build
        self.folder = folder
        self.seed = seed
        self.random = random.Random(seed)
        self.findings = Findings()
        self.started_at = time.monotonic()
        self.control_addresses = []
        self.controls = [self.add_host(number, True)
                         for number in range(options.controls)]
        self.entries = [self.add_host(options.controls + number, False)
                        for number in range(options.entries)]
        self.hosts = self.controls + self.entries
        self.backends = []
        self.links = [link for host in self.hosts for link in host.links]
        for number in range(len(self.services)):
            self.add_backend(number)
        self.operator = Operator(self)
        self.callers = [Caller(self, number) for number in range(options.callers)]
        self.lines = []
        self.planned_only = False
        self.crossed = 0
        self.tasks = []

    def log(self, line):
        """Keeps a line of what is done, with its time."""
        self.lines.append(f"{time.monotonic() - self.started_at:7.2f} {line}")

    def add_host(self, number, control):
        """Makes one host; it isn't started yet."""
        host = Host(self, number + 1, self.zones[number % len(self.zones)],
                    control)
        if control:
            self.control_addresses.append(host.front_address)
        return host

    def add_backend(self, number):
        """Makes one backend behind a forwarder."""
        told = f"127.{self.block}.3.{number + 1}:{BACKEND_PORT}"
        own = f"127.{self.block}.4.{number + 1}:{BACKEND_PORT}"
        kind, service = self.services[number]
        self.backends.append(kind(self, f"s{number}", service,
                                  self.zones[number % len(self.zones)], own,
                                  told))
        self.links.append(self.link_to(told, own))

    def link_to(self, told, own):
        """Makes the forwarder of one backend."""
        return Link(told, own)

    def engine_at(self, address):
        """The engine that is told at an address."""
        for backend in self.backends:
            if backend.told == address and isinstance(backend, Engine):
                return backend
        return None

    def note_crossed(self, host, request):
        """A kept connection was closed as the request was sent."""
        self.crossed += 1
        if self.findings.runs[request] and self.planned_only:
            self.findings.breaks(
                "LOST", f"{request} was run and {host.told} closed")

    def note_answer(self, host, kind, status, sent_at):
        """Counts an answer for the lines of the run."""
        if time.monotonic() - sent_at > LATE_S and not host.disturbed:
            self.findings.outcomes[kind, "late"] += 1

    def note_cut(self, host, kind, request, failure):
        """Counts a request without a whole answer."""
        self.findings.outcomes[kind, "cut"] += 1
        if self.planned_only and self.findings.runs[request]:
            self.findings.breaks(
                "LOST", f"{request} was cut at {host.told}: {failure!r}")

    async def start(self):
        """Starts everything and waits until requests are served."""
        for link in self.links:
            await link.start()
        for host in self.hosts:
            host.start()
            self.tasks.append(asyncio.create_task(host.supervise()))
        for backend in self.backends:
            await backend.start()
        if not await self.operator.change():
            self.findings.breaks("ACK", "the first configuration")
        await self.check_service("at the start", START_S, share=0.5)

    def go(self):
        """Lets the callers and the operator work."""
        works = [caller.run() for caller in self.callers]
        works.append(self.operator.run())
        working = [asyncio.create_task(work) for work in works]
        self.tasks += working
        return working

    async def check_service(self, when, limit_s, share=SERVED_SHARE):
        """Each kind of request must be served again within a time."""
        caller = Caller(self, 0xC0 + len(self.lines))
        deadline = time.monotonic() + limit_s
        for kind in ("draft", "order", "lookup"):
            while True:
                good = 0
                for _ in range(CHECK_REQUESTS):
                    good += await caller.request(kind) == 200
                    caller.close()
                if good >= share * CHECK_REQUESTS:
                    break
                if time.monotonic() > deadline:
                    self.findings.breaks(
                        "RECOVER", f"{kind} {when}: {good} of "
                        f"{CHECK_REQUESTS} served")
                    break
                await asyncio.sleep(0.2)
        caller.close()

    async def check_configuration(self):
        """The newest configuration must be in force on every entry host."""
        if not await self.operator.change(limit_s=10.0):
            self.findings.breaks("ACK", "no change is taken after the faults")
        path = f"/mark{self.operator.version}/x"
        deadline = time.monotonic() + IN_FORCE_S
        for host in self.entries:
            caller = Caller(self, 0xD00 + self.hosts.index(host))
            while await caller.request("lookup", path, host) != 200:
                caller.close()
                if time.monotonic() > deadline:
                    self.findings.breaks(
                        "CONFIG", f"{host.told}: version "
                        f"{self.operator.version} isn't in force")
                    break
                await asyncio.sleep(0.2)
            caller.close()
        for _ in range(20):
            if await self.operator.read(self.operator.any_control()):
                return
        self.findings.breaks("CONFIG", "no host answers a read")

    async def check_planned_stops(self):
        """Planned stops, one after the other, must cut no request."""
        self.planned_only = True
        for host in self.entries[:3]:
            self.log(f"planned stop {host.told}")
            await host.end(signal.SIGTERM)
            host.resume()
            await asyncio.sleep(0.5)
        self.planned_only = False

    async def run(self, seconds):
        """One whole run."""
        await self.start()
        working = self.go()
        await Faults(self).run(seconds)
        self.log("the faults are over")
        await asyncio.sleep(SETTLE_S)
        await self.check_service("after the faults", SETTLE_S)
        await self.check_planned_stops()
        for task in working:
            task.cancel()
        await asyncio.gather(*working, return_exceptions=True)
        await self.check_configuration()

    async def stop(self):
        """Ends what the run has started."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for host in self.hosts:
            host.stop_at_once()
        for backend in self.backends:
            await backend.crash()
        for link in self.links:
            await link.stop()
