"""Answers of servers that aren't the answer to the request.

Before their own answers, or in place of them, the servers send others: without
an id, without an authentication code, cut inside the head, and so on. Each
request takes a new connection of its caller. Guards against callers that get
such an answer as their own, against orders that run twice for it, and against
callers that wait in vain for another one.

Usage: gateway_strangers_test.py [--seed N] [--seconds S] [--build FOLDER]
           [--block N] [--only KIND] [--logs FOLDER]
"""

import argparse
import asyncio
import collections
import pathlib
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "test"))
sys.path.insert(0, str(ROOT / "tools" / "local"))

from cluster import build_folder  # noqa: E402
from soak.callers import Caller  # noqa: E402
from soak.strangers import ALONE, KINDS  # noqa: E402
from soak.world import World  # noqa: E402

CALLERS = 24
# Least share of requests that are served where the server's own answer can be
# told from the strange one, which precedes 40 % of the answers.
SERVED_SHARE = 0.9
# Longest wait for an answer; requests give their servers 4 s.
WAIT_S = 2.0


class Fresh(Caller):
    """Sends each request on a new connection."""

    def __init__(self, world, number):
        super().__init__(world, number)
        self.ends = collections.Counter()
        self.longest_s = 0.0

    async def run(self):
        while True:
            kind = self.world.random.choice(
                ["lookup", "lookup", "order", "order", "draft"])
            sent_at = time.monotonic()
            try:
                status = await self.request(kind)
            finally:
                self.longest_s = max(self.longest_s,
                                     time.monotonic() - sent_at)
            self.ends[status if status == 200 else "other"] += 1
            self.close()


async def play(world, kind, seconds, number):
    """Plays one kind of strange answers; returns what is wrong."""
    for backend in world.backends:
        backend.strange = kind
        for writer in list(backend.connections):
            writer.transport.abort()
    before = len(world.findings.broken)
    callers = [Fresh(world, 100 * number + caller) for caller in range(CALLERS)]
    working = [asyncio.create_task(caller.run()) for caller in callers]
    await asyncio.sleep(seconds)
    for task in working:
        task.cancel()
    await asyncio.gather(*working, return_exceptions=True)
    for caller in callers:
        caller.close()
    ends = sum((caller.ends for caller in callers), collections.Counter())
    waits = sum(caller.longest_s > WAIT_S for caller in callers)
    broken = world.findings.broken[before:]
    print(f"{kind.__name__}: {ends[200]} of {ends.total()} requests served, "
          f"{len(broken)} promises broken, {waits} callers waited in vain",
          flush=True)
    wrong = broken[:5]
    if kind in ALONE and waits:
        wrong.append(f"{waits} callers waited longer than {WAIT_S} s")
    if kind is KINDS[0] and ends[200] < SERVED_SHARE * ends.total():
        wrong.append(f"only {ends[200]} of {ends.total()} requests were served")
    return wrong


async def run(options, folder):
    """Plays all kinds with the same gateways."""
    world = World(options.build, folder, options.seed, options)
    # Each strange answer may cost a retry.
    world.retry_extra = 100000
    wrong = []
    try:
        await world.start()
        for number, kind in enumerate(KINDS):
            if options.only in (None, kind.__name__):
                wrong += await play(world, kind, options.seconds, number)
    finally:
        await world.stop()
        late = asyncio.all_tasks() - {asyncio.current_task()}
        for task in late:
            task.cancel()
        await asyncio.gather(*late, return_exceptions=True)
    return wrong


def main():
    """Plays all kinds of strange answers."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--controls", type=int, default=1)
    parser.add_argument("--entries", type=int, default=2)
    parser.add_argument("--callers", type=int, default=0)
    parser.add_argument("--block", type=int, default=9)
    parser.add_argument("--only")
    parser.add_argument("--logs", type=pathlib.Path)
    parser.add_argument("--build", type=pathlib.Path, default=build_folder())
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        wrong = asyncio.run(run(options, options.logs or pathlib.Path(folder)))
    print("\n".join(wrong), end="\n" if wrong else "", flush=True)
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
