"""Answers of servers that have not read the request they answer.

The servers answer some uploads at once and end the connection while the upload
is being written: with a reset, or in order. Guards against a part of an answer
that callers get as whole, and against the loss of answers that are whole.

Usage: gateway_early_answers_test.py [--seed N] [--seconds S] [--build FOLDER]
           [--block N] [--only NAME] [--logs FOLDER]
"""

import argparse
import asyncio
import pathlib
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "test"))
sys.path.insert(0, str(ROOT / "tools" / "local"))

from cluster import build_folder  # noqa: E402
from soak.callers import Caller  # noqa: E402
from soak.early import EarlyWorld, FORMS, PAUSES_S, UPLOAD  # noqa: E402

CALLERS = 8


class Uploader(Caller):
    """Sends each upload on a new connection."""

    def __init__(self, world, number):
        super().__init__(world, number)
        self.statuses = {}

    async def run(self):
        while True:
            kind = self.world.random.choice(["lookup", "order"])
            status = await self.request(kind, body=UPLOAD)
            request = f"{self.number:x}-{self.count:x}-{self.world.seed:x}"
            self.statuses[request] = (kind, status)
            self.close()


def judge(form, kind, status):
    """What is wrong with the status that an early answer led to, if anything.

    A safe request may get the answer of another server after one that broke
    off; whether a caller got a part is seen in the body."""
    if not form.cut and status != form.status:
        return f"got {status} in place of {form.status}"
    if form.cut and kind == "order" and status != 502:
        return f"got {status} in place of 502"
    return None


async def play(world, form, pause_s, seconds, number):
    """Plays one form of early answers; returns what is wrong."""
    before = len(world.findings.broken)
    world.early.clear()
    for backend in world.uploads():
        backend.form, backend.pause_s = form, pause_s
    callers = [Uploader(world, 100 * number + caller)
               for caller in range(CALLERS)]
    working = [asyncio.create_task(caller.run()) for caller in callers]
    await asyncio.sleep(seconds)
    for backend in world.uploads():
        backend.form = None
    for task in working:
        task.cancel()
    await asyncio.gather(*working, return_exceptions=True)
    statuses = {}
    for caller in callers:
        caller.close()
        statuses |= caller.statuses
    broken = world.findings.broken[before:]
    wrong = []
    early = world.early & statuses.keys()
    for request in sorted(early):
        kind, status = statuses[request]
        if fault := judge(form, kind, status):
            wrong.append(f"{kind} {request} {fault}")
    print(f"{form.name}, {1000 * pause_s:g} ms: {len(early)} of "
          f"{len(statuses)} requests answered early, {len(broken)} promises "
          f"broken, {len(wrong)} other statuses", flush=True)
    if not early:
        wrong.append("no request was answered early")
    return [f"{form.name}: {line}" for line in broken[:5] + wrong[:5]]


async def run(options, folder):
    """Plays all forms with the same gateways."""
    world = EarlyWorld(options.build, folder, options.seed, options)
    wrong = []
    try:
        await world.start()
        for number, form in enumerate(FORMS):
            if options.only not in (None, form.name):
                continue
            for turn, pause_s in enumerate(PAUSES_S):
                wrong += await play(world, form, pause_s, options.seconds,
                                    10 * number + turn)
    finally:
        await world.stop()
        late = asyncio.all_tasks() - {asyncio.current_task()}
        for task in late:
            task.cancel()
        await asyncio.gather(*late, return_exceptions=True)
    return wrong


def main():
    """Plays all forms of early answers."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=1.5)
    parser.add_argument("--controls", type=int, default=1)
    parser.add_argument("--entries", type=int, default=2)
    parser.add_argument("--callers", type=int, default=0)
    parser.add_argument("--block", type=int, default=12)
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
