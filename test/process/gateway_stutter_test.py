"""Answers on kept connections to backends that answer twice.

Each caller must get its own whole answers, whatever the second copies are
like, and nearly all requests must be answered.

Usage: gateway_stutter_test.py [--seed N] [--seconds S] [--build FOLDER] [--block N]
"""

import argparse
import asyncio
import pathlib
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "test"))
sys.path.insert(0, str(ROOT / "tools" / "local"))

from cluster import build_folder  # noqa: E402
from soak.callers import Caller  # noqa: E402
from soak.stutter import COPIES  # noqa: E402
from soak.world import World  # noqa: E402

CALLERS = 24
SERVED_SHARE = 0.9
# A safe request that is sent again takes no longer than this; the deadline of
# the requests is 4 s.
SLOW_S = 2.0


class Busy(Caller):
    """Sends one request right after the other on its connection."""

    def __init__(self, world, number):
        super().__init__(world, number)
        self.slow = 0
        self.sent = 0
        self.good = 0

    async def run(self):
        while True:
            kind = self.world.random.choice(["lookup"] * 6 + ["draft"])
            begun = time.monotonic()
            self.good += await self.request(kind) == 200
            self.sent += 1
            if kind == "lookup" and time.monotonic() - begun > SLOW_S:
                self.slow += 1


async def play(options, kind, folder):
    """Plays one kind of copies; returns what is wrong."""
    world = World(options.build, folder, options.seed, options)
    # Each copy on a connection in use may cost a retry.
    world.retry_extra = 100000
    try:
        await world.start()
        for backend in world.backends:
            backend.stutters = kind
            for writer in list(backend.connections):
                writer.transport.abort()
        callers = [Busy(world, number) for number in range(CALLERS)]
        working = [asyncio.create_task(caller.run()) for caller in callers]
        await asyncio.sleep(options.seconds)
        for task in working:
            task.cancel()
        await asyncio.gather(*working, return_exceptions=True)
    finally:
        await world.stop()
        late = asyncio.all_tasks() - {asyncio.current_task()}
        for task in late:
            task.cancel()
        await asyncio.gather(*late, return_exceptions=True)
    sent = sum(caller.sent for caller in callers)
    good = sum(caller.good for caller in callers)
    slow = sum(caller.slow for caller in callers)
    print(f"copies '{kind}': {good} of {sent} requests served, {slow} look-ups "
          f"over {SLOW_S} s, {len(world.findings.broken)} promises broken; "
          f"{dict(world.findings.outcomes)}", flush=True)
    wrong = world.findings.broken[:10]
    if good < SERVED_SHARE * sent:
        wrong.append(f"only {good} of {sent} requests were served")
    if slow:
        wrong.append(f"{slow} look-ups took over {SLOW_S} s")
    return wrong


def main():
    """Plays all kinds of copies."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--controls", type=int, default=1)
    parser.add_argument("--entries", type=int, default=2)
    parser.add_argument("--callers", type=int, default=0)
    parser.add_argument("--block", type=int, default=7)
    parser.add_argument("--build", type=pathlib.Path, default=build_folder())
    options = parser.parse_args()
    failed = False
    for kind in COPIES:
        with tempfile.TemporaryDirectory() as folder:
            wrong = asyncio.run(play(options, kind, pathlib.Path(folder)))
        failed = failed or bool(wrong)
        print("\n".join(wrong), end="\n" if wrong else "", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
