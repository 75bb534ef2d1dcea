"""Faults drawn from a seed: in series, overlapping, of all kinds."""

import asyncio
import signal

from soak.proxy import INWARD, OUTWARD

# Time for which at most one control host has lost its disk.
CATCH_UP_S = 8.0


class Faults:
    """Disturbs hosts, links and backends for a while."""

    def __init__(self, world):
        self.world = world
        self.random = world.random
        self.kinds = [
            self.kill_host, self.kill_host, self.pause_host, self.pause_host,
            self.stop_host, self.kill_control, self.wipe_control,
            self.fill_disk, self.tear_log, self.block_link, self.block_link,
            self.block_link, self.delay_link, self.reset_link,
            self.refuse_link, self.crash_backend, self.crash_backend,
            self.crash_backend, self.fail_backend, self.drain_backend]
        self.busy = set()
        self.tasks = set()
        self.wiping = False

    async def run(self, seconds):
        """Starts faults for some seconds; ends when the last one is over."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end:
            fault = self.random.choice(self.kinds)
            task = asyncio.create_task(fault())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(self.random.choice([0.05, 0.3, 0.8, 1.6]))
        await asyncio.gather(*self.tasks)

    def take(self, things):
        """Draws a thing that no fault is at; None if there is none."""
        free = [thing for thing in things if thing not in self.busy]
        if not free:
            return None
        thing = self.random.choice(free)
        self.busy.add(thing)
        return thing

    def note(self, what, thing):
        """Says what is done."""
        self.world.log(f"{what} {thing}")

    async def some_time(self, most=4.0):
        """Waits as long as a fault lasts."""
        await asyncio.sleep(self.random.uniform(0.1, most))

    async def on_host(self, hosts, what, act):
        """Does something to one host that nothing else is done to."""
        host = self.take(hosts)
        if host is None:
            return
        self.note(what, host.told)
        try:
            await act(host)
        finally:
            self.busy.discard(host)

    async def kill_host(self):
        """Ends a process at once."""
        async def act(host):
            await host.end(signal.SIGKILL, self.random.uniform(0.0, 2.0))
            host.resume()
        await self.on_host(self.world.hosts, "kill", act)

    async def stop_host(self):
        """Plans a stop, and starts the process again."""
        async def act(host):
            await host.end(signal.SIGTERM, self.random.uniform(0.0, 0.5))
            host.resume()
        await self.on_host(self.world.hosts, "stop", act)

    async def pause_host(self):
        """Lets a process stand still; a stop or a kill may wake it."""
        async def act(host):
            host.pause(True)
            await self.some_time()
            if self.random.random() < 0.2:
                self.note("stop paused", host.told)
                await host.end(signal.SIGTERM)
                host.resume()
                return
            host.pause(False)
        await self.on_host(self.world.hosts, "pause", act)

    async def kill_control(self):
        """Ends all control hosts at the same moment."""
        hosts = [host for host in self.world.controls
                 if host not in self.busy]
        if len(hosts) < len(self.world.controls):
            return
        self.note("kill", "all control hosts")
        self.busy.update(hosts)
        try:
            await asyncio.gather(*(host.end(signal.SIGKILL) for host in hosts))
            for host in hosts:
                host.resume()
        finally:
            self.busy.difference_update(hosts)

    async def wipe_control(self):
        """Takes one control host's disk away."""
        if self.wiping:
            return
        self.wiping = True

        async def act(host):
            await host.end(signal.SIGKILL)
            host.wipe()
            host.resume()
        try:
            await self.on_host(self.world.controls, "wipe", act)
            await asyncio.sleep(CATCH_UP_S)
        finally:
            self.wiping = False

    async def tear_log(self):
        """Kills a control host within a write that it had not synced."""
        async def act(host):
            await host.end(signal.SIGKILL)
            host.tear(self.random)
            host.resume()
        await self.on_host(self.world.controls, "torn write at", act)

    async def fill_disk(self):
        """Lets a control host's disk take no more bytes for a while."""
        async def act(host):
            host.limit_files(True)
            await self.some_time()
            if self.random.random() < 0.5:
                host.limit_files(False)
                return
            await host.end(signal.SIGKILL)
            host.resume()
        await self.on_host(self.world.controls, "fill the disk of", act)

    async def on_link(self, what, **behaviour):
        """Lets one forwarder misbehave for a while."""
        link = self.take(self.world.links)
        if link is None:
            return
        self.note(f"{what} {behaviour}", link.told)
        try:
            link.behave(**behaviour)
            await self.some_time()
            link.behave()
            if self.random.random() < 0.3:
                link.reset()
        finally:
            self.busy.discard(link)

    async def block_link(self):
        """Silences connections, or cuts them one way."""
        blocked = self.random.choice([(INWARD,), (OUTWARD,),
                                      (INWARD, OUTWARD)])
        await self.on_link("block", blocked=blocked)

    async def delay_link(self):
        """Makes a link slow."""
        await self.on_link("delay", delay_s=self.random.uniform(0.01, 0.3))

    async def refuse_link(self):
        """Closes new connections at once."""
        await self.on_link("refuse", refuses=True)

    async def reset_link(self):
        """Resets all connections of a link."""
        link = self.random.choice(self.world.links)
        self.note("reset", link.told)
        link.reset()

    async def on_backend(self, what, act):
        """Does something to one backend that nothing else is done to."""
        backend = self.take(self.world.backends)
        if backend is None:
            return
        self.note(what, backend.told)
        try:
            await act(backend)
        finally:
            self.busy.discard(backend)

    async def crash_backend(self):
        """Ends a backend without a word; it comes back empty."""
        async def act(backend):
            await backend.crash()
            await self.some_time(3.0)
            await backend.start()
        await self.on_backend("crash", act)

    async def fail_backend(self):
        """Lets a backend fail, refuse or break off some requests."""
        async def act(backend):
            backend.fails = self.random.uniform(0.1, 0.9)
            await self.some_time()
            backend.fails = 0.0
        await self.on_backend("fail", act)

    async def drain_backend(self):
        """Lets a backend leave as planned, and another incarnation come."""
        async def act(backend):
            backend.state = "draining"
            await asyncio.sleep(3.0)
            await backend.crash()
            await backend.start()
        await self.on_backend("drain", act)
