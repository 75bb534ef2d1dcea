"""Not a case; shows an entry of issue 22.

A server says in its answers that it leaves; its pings to the control machines
are late. The configuration drops its service, which no route uses, and takes it
back. The entry machine has forgotten that the server leaves.
"""

import asyncio
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import fleet as fleets  # noqa: E402

DRAIN_S = fleets.BOUNDS["drain_ms"] / 1000
CONTACT_S = fleets.BOUNDS["contact_ms"] / 1000
SLACK_S = 0.05


def document(fleet, service, services):
    text = json.loads(fleet.configuration())
    text["routes"] = [dict(text["routes"][0], name="r-1", service=service,
                           path_prefix="/order-desk/")]
    text["services"] = [s for s in text["services"] if s["name"] in services]
    return json.dumps(text).encode()


async def play(fleet):
    fleet.servers = [fleets.Server(fleet, name, fleets.ZONES[n % 3], n + 1)
                     for n, name in enumerate(["desk-a", "desk-a", "desk-b"])]
    leaver = fleet.servers[0]
    await fleet.start()
    await fleet.apply(document(fleet, "desk-a", ["desk-a", "desk-b"]))
    await asyncio.sleep(CONTACT_S + 1.0)
    front = fleet.fronts[0]
    await leaver.ping(fleet.controls[1])
    leaver.beating = False
    leaver.leaving = True
    said_at = None
    until = time.monotonic() + 0.4
    while time.monotonic() < until:
        request, reply = await fleet.request(front, "/order-desk/x")
        if reply is not None and "server-leaving" in reply.fields:
            said_at = time.monotonic()
            break
    if said_at is None:
        raise fleets.CannotRun("no answer of the leaving server")
    fleet.record("said", server=leaver.id)
    if fleets.TROUBLE:
        await fleet.apply(document(fleet, "desk-b", ["desk-b"]))
    else:
        await fleet.apply(document(fleet, "desk-b", ["desk-a", "desk-b"]))
    await asyncio.sleep(0.8)
    await fleet.apply(document(fleet, "desk-a", ["desk-a", "desk-b"]))
    await asyncio.sleep(said_at + DRAIN_S + SLACK_S - time.monotonic())
    judged = set()
    while time.monotonic() < said_at + DRAIN_S + 1.2:
        request, _ = await fleet.request(front, "/order-desk/x")
        judged.add(request)
        await asyncio.sleep(0.02)
    reached = [(at - said_at, request) for at, server, request in fleet.runs
               if server == leaver.id and request in judged]
    if reached:
        return (f"DRAIN: {len(reached)} of {len(judged)} requests reached the "
                f"server from {reached[0][0]:.2f} s after its answer on")
    return None


fleets.main(__file__, play, fronts=1)
