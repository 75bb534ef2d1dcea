"""Randomized faults on real gateways, by seeds.

Fails when a caller or a backend sees a promise broken. A failed seed is
printed with what was done; its hosts' logs are kept in --keep.

Usage: gateway_soak_test.py [--seeds FIRST:LAST] [--fresh COUNT] [--seconds S]
       [--controls N] [--entries N] [--callers N] [--keep FOLDER] [--block N]
Runs with different blocks of loopback addresses may go on beside each other.
"""

import argparse
import asyncio
import pathlib
import random
import shutil
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "test"))
sys.path.insert(0, str(ROOT / "tools" / "local"))

from cluster import build_folder  # noqa: E402
from soak.world import World  # noqa: E402

# Seeds that failed once, with the sizes that they failed with. The draws of a
# seed repeat, what the processes do meanwhile doesn't.
REGRESSIONS = [
    # A control host that was stopped soon after it had taken the lead crashed,
    # as its threads wrote to a log that had been shut down.
    {"seed": 13, "seconds": 25.0, "entries": 6, "callers": 20},
    # All servers were silent for all hosts for ever, as a paused control host
    # read a heartbeat late that another host had taken meanwhile.
    {"seed": 202, "seconds": 15.0, "entries": 4, "callers": 16},
]


async def play(options, seed, folder):
    """Plays one seed; returns the world with what it found."""
    world = World(build_folder(), folder, seed, options)
    try:
        await world.run(options.seconds)
    finally:
        await world.stop()
    return world


def show(world):
    """Prints how a seed went."""
    outcomes = ", ".join(
        f"{kind} {what}: {count}" for (kind, what), count
        in sorted(world.findings.outcomes.items(), key=str))
    print(f"seed {world.seed}: {len(world.findings.broken)} broken; "
          f"{outcomes}; crossed: {world.crossed}", flush=True)
    if world.findings.broken:
        print("\n".join(world.lines + world.findings.broken[:20]), flush=True)


def parse():
    """Reads the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds")
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--controls", type=int, default=3)
    parser.add_argument("--entries", type=int, default=4)
    parser.add_argument("--callers", type=int, default=16)
    parser.add_argument("--keep", type=pathlib.Path)
    parser.add_argument("--block", type=int, default=0)
    parser.add_argument("--fresh", type=int, default=0)
    return parser.parse_args()


def runs(options):
    """The runs to play, each as changes to the options."""
    if options.fresh:
        draw = random.SystemRandom()
        return [{"seed": draw.randrange(1 << 31)}
                for _ in range(options.fresh)]
    if options.seeds:
        first, _, last = options.seeds.partition(":")
        return [{"seed": seed}
                for seed in range(int(first), int(last or first) + 1)]
    return REGRESSIONS


def main():
    """Plays the runs and says how many broke a promise."""
    options = parse()
    failed = []
    chosen = runs(options)
    for run in chosen:
        sizes = argparse.Namespace(**(vars(options) | run))
        with tempfile.TemporaryDirectory() as folder:
            world = asyncio.run(play(sizes, sizes.seed, pathlib.Path(folder)))
            show(world)
            if not world.findings.broken:
                continue
            failed.append(sizes.seed)
            if options.keep:
                shutil.copytree(folder, options.keep / f"seed-{sizes.seed}",
                                dirs_exist_ok=True)
    print(f"{len(chosen) - len(failed)} of {len(chosen)} seeds kept all "
          "promises" + (f"; failed: {failed}" if failed else ""))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
