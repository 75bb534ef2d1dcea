"""A day of one deployment whose servers answer twice throughout, by hand.

Nine entry hosts, three control hosts, three plain servers and six engines; the
requests come at the deployment's rates. Counts the requests whose caller got an
answer that isn't its own or isn't whole (MIXED, or ORDER in a stream).

Usage: gateway_stutter_day.py [--seed N] [--seconds S] [--build FOLDER]
           [--block N] [--only KIND]... [--streams SHARE] [--late S]
           [--entries N] [--connections N] [--deadline-ms MS] [--faults]
           [--keep FOLDER]
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
from soak.day import Day  # noqa: E402
from soak.stutter import INSIDE, LATE, LATE_S, After  # noqa: E402


def show(day, kind, seconds):
    """Prints how a day went."""
    mixed = day.mixed()
    by_kind = ", ".join(
        f"{name} {mixed[name]} of {day.visits[name]} (served "
        f"{day.served[name]}, repeated {day.repeated[name]})"
        for name in sorted(day.visits))
    rules = collections.Counter(line.partition(":")[0]
                                for line in day.broken())
    lag = max(day.lags, default=0.0)
    print(f"{kind.__name__}, seed {day.seed}, {seconds} s: {mixed.total()} "
          f"requests broken; {by_kind}; findings {dict(rules)}; connections "
          f"over the limit {day.over_limit}; the driver was up to {lag:.2f} s "
          "late", flush=True)
    for line in day.broken()[:3]:
        print(f"  {line}", flush=True)


async def play(options, kinds, folder):
    """Plays a day of each kind with the same gateways; whether all is kept."""
    day = Day(options.build, folder, options.seed, options)
    try:
        await day.start()
        for kind in kinds:
            day.begin(kind)
            await day.play(options.seconds)
            show(day, kind, options.seconds)
    finally:
        await day.stop()
        late = asyncio.all_tasks() - {asyncio.current_task()}
        for task in late:
            task.cancel()
        await asyncio.gather(*late, return_exceptions=True)
    return not day.findings.broken


def main():
    """Plays the kinds of copies, each on a day of its own."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=34.0)
    parser.add_argument("--controls", type=int, default=3)
    parser.add_argument("--entries", type=int, default=9)
    parser.add_argument("--callers", type=int, default=0)
    parser.add_argument("--streams", type=float, default=1.0)
    parser.add_argument("--late", type=float, default=LATE_S)
    parser.add_argument("--connections", type=int, default=52)
    parser.add_argument("--deadline-ms", type=int, default=1500)
    parser.add_argument("--faults", action="store_true")
    parser.add_argument("--block", type=int, default=43)
    parser.add_argument("--only", action="append")
    parser.add_argument("--keep", type=pathlib.Path)
    parser.add_argument("--build", type=pathlib.Path, default=build_folder())
    options = parser.parse_args()
    After.delay_s = options.late
    kinds = [kind for kind in LATE + INSIDE
             if not options.only or kind.__name__ in options.only]
    with tempfile.TemporaryDirectory() as folder:
        kept = asyncio.run(
            play(options, kinds, options.keep or pathlib.Path(folder)))
    return 0 if kept else 1


if __name__ == "__main__":
    sys.exit(main())
