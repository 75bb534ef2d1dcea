"""Second copies of answers that arrive inside or beside other answers.

The copy comes before the connection ends, where its end is that of the answer,
between two parts of an answer, at any byte of one, on another connection of the
server, or as soon as one is open. Guards against bodies that hold the copy.

Usage: gateway_copies_test.py [--seed N] [--seconds S] [--build FOLDER]
           [--block N] [--only KIND] [--logs FOLDER]
"""

import argparse
import asyncio
import collections
import pathlib
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "test"))
sys.path.insert(0, str(ROOT / "tools" / "local"))

from cluster import build_folder  # noqa: E402
from soak.callers import Caller  # noqa: E402
from soak.stutter import INSIDE, BeforeEnd  # noqa: E402
from soak.world import World  # noqa: E402

CALLERS = 24
# Least share of each kind of request that is served where the answer can be
# told from its copy.
SERVED_SHARE = 0.9


class Busy(Caller):
    """Sends one request right after the other on its connection."""

    def __init__(self, world, number):
        super().__init__(world, number)
        self.sent = collections.Counter()
        self.good = collections.Counter()

    async def run(self):
        while True:
            kind = self.world.random.choice(
                ["lookup", "lookup", "lookup", "order", "draft"])
            self.good[kind] += await self.request(kind) == 200
            self.sent[kind] += 1


async def play(world, kind, seconds, number):
    """Plays one kind of copies; returns what is wrong."""
    for backend in world.backends:
        backend.copies = kind
        for writer in list(backend.connections):
            writer.transport.abort()
    before = len(world.findings.broken)
    callers = [Busy(world, 100 * number + caller) for caller in range(CALLERS)]
    working = [asyncio.create_task(caller.run()) for caller in callers]
    await asyncio.sleep(seconds)
    for task in working:
        task.cancel()
    await asyncio.gather(*working, return_exceptions=True)
    for caller in callers:
        caller.close()
    sent = sum((caller.sent for caller in callers), collections.Counter())
    good = sum((caller.good for caller in callers), collections.Counter())
    broken = world.findings.broken[before:]
    served = ", ".join(f"{good[kind]} of {sent[kind]} of {kind}"
                       for kind in sorted(sent))
    print(f"{kind.__name__}: served {served}; {len(broken)} promises broken",
          flush=True)
    wrong = broken[:5]
    if kind is BeforeEnd:
        wrong += [f"only {good[kind]} of {sent[kind]} of {kind} were served"
                  for kind in sent if good[kind] < SERVED_SHARE * sent[kind]]
    return wrong


async def run(options, folder):
    """Plays all kinds with the same gateways."""
    world = World(options.build, folder, options.seed, options)
    # Each copy may cost a retry.
    world.retry_extra = 100000
    wrong = []
    try:
        await world.start()
        for number, kind in enumerate(INSIDE):
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
    """Plays all kinds of copies."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--controls", type=int, default=1)
    parser.add_argument("--entries", type=int, default=2)
    parser.add_argument("--callers", type=int, default=0)
    parser.add_argument("--block", type=int, default=11)
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
