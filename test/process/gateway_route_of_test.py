"""Asks an entry host where requests would go, and sends them there.

Guards against an explanation of another choice than the traffic's, and against
one that needs no operator's key.
"""

import argparse
import asyncio
import hashlib
import json
import os
import pathlib
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "test"))
sys.path.insert(0, str(ROOT / "tools" / "local"))

from cluster import build_folder  # noqa: E402
from soak.callers import PATHS, Caller  # noqa: E402
from soak.cut_off import REQUEST_ID  # noqa: E402
from soak.proxy import INWARD, Link  # noqa: E402
from soak.world import World  # noqa: E402

OPERATORS = 7105
KEY, SALT = "desk.key of the operator", "0123456789abcdef"
# Number of the caller, above those of the world's checks.
CALLER = 0x1000
ROUNDS = 12
REFUSED = 6


class SeenLink(Link):
    """Forwarder that notes which requests pass it."""

    def __init__(self, world, told, target):
        super().__init__(told, target)
        self.world = world

    async def pump(self, reader, writer, direction):
        """Carries one direction; the heads of requests arrive whole."""
        while data := await reader.read(65536):
            if direction == INWARD:
                for found in REQUEST_ID.finditer(data):
                    self.world.sent_to[found[1].decode()] = self.told
            writer.write(data)
            await writer.drain()


class AskedWorld(World):
    """A world whose entry hosts answer an operator."""

    def __init__(self, build, folder, seed, options):
        self.sent_to = {}
        super().__init__(build, folder, seed, options)
        for host in self.entries:
            settings = host.settings() | {"operator_keys": [{
                "id": KEY.partition(".")[0], "salt": SALT,
                "sha256": hashlib.sha256((SALT + KEY).encode()).hexdigest()}]}
            settings["listen"]["operators"] = f"{host.own}:{OPERATORS}"
            host.settings = lambda settings=settings: settings

    def link_to(self, told, own):
        return SeenLink(self, told, own)


async def route_of(world, host, kind, key=KEY, output="json"):
    """Asks a host by the command line; the exit code and what it printed."""
    command = [world.build / "balsampoint", "route-of", PATHS[kind],
               "--host_name", "soak.example", "--workspace", "desk",
               "--output", output, "--hosts", f"{host.own}:{OPERATORS}"]
    done = await asyncio.to_thread(
        subprocess.run, command, capture_output=True, text=True, timeout=10,
        env=os.environ | {"BALSAMPOINT_KEY": key}, check=False)
    return done.returncode, done.stdout or done.stderr


async def play(options, folder):
    """Asks and sends in turn; returns what is wrong."""
    world = AskedWorld(options.build, folder, options.seed, options)
    wrong = []
    try:
        await world.start()
        host = world.entries[0]
        caller = Caller(world, CALLER)
        for number in range(ROUNDS):
            code, text = await route_of(world, host, "order")
            if code:
                return [f"route-of ended with {code}: {text}"]
            told = json.loads(text)
            chosen = {one["server"]: one["address"]
                      for one in told["candidates"] if one["chosen"]}
            status = await caller.request("order", host=host, workspace="desk")
            request = f"{CALLER:x}-{caller.count:x}-{world.seed:x}"
            if (status != 200 or told["verdict"] != "admitted" or
                    list(chosen) != told["chain"] or
                    list(chosen.values()) != [world.sent_to.get(request)]):
                wrong.append(f"round {number}: {status} by "
                             f"{world.sent_to.get(request)}, told {text}")
        code, text = await route_of(world, host, "order", key="desk.other")
        if code != REFUSED:
            wrong.append(f"another key: {code}, {text}")
        for kind in ("order", "draft"):
            code, text = await route_of(world, host, kind, output="table")
            print(text)
            if code or "excluded" not in text:
                wrong.append(f"table of {kind}: {code}, {text}")
        caller.close()
    finally:
        await world.stop()
    return wrong + world.findings.broken[:10]


def main():
    """Plays it once."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--controls", type=int, default=3)
    parser.add_argument("--entries", type=int, default=1)
    parser.add_argument("--callers", type=int, default=0)
    parser.add_argument("--block", type=int, default=27)
    parser.add_argument("--build", type=pathlib.Path, default=build_folder())
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as name:
        wrong = asyncio.run(play(options, pathlib.Path(name)))
    for line in wrong:
        print(line, flush=True)
    print(f"{ROUNDS} rounds, {len(wrong)} wrong")
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
