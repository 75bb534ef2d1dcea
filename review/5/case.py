"""A control machine dies right after it has acknowledged that a server is gone.

The other machines never learn of it and go on sending requests to the server.
"""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import fleet as fleets  # noqa: E402

DRAIN_S = fleets.BOUNDS["drain_ms"] / 1000
CONTACT_S = fleets.BOUNDS["contact_ms"] / 1000
# Time that a killed control machine is down on the site's days.
DOWN_S = 4.88
SLACK_S = 0.08


async def play(fleet):
    fleet.servers = [fleets.Server(fleet, "order-desk", fleets.ZONES[n % 3],
                                   n + 1) for n in range(4)]
    await fleet.start()
    dying, living = fleet.controls[0], fleet.controls[1]
    leaver, earlier = fleet.servers[0], fleet.servers[3]
    # Calm for longer than `contact_ms`.
    await asyncio.sleep(CONTACT_S + 1.0)

    # The leaving server has just sent a ping to another control machine.
    leaver.beating = earlier.beating = False
    await asyncio.sleep(1.0)
    for server in (leaver, earlier):
        if not await server.ping(living):
            raise fleets.CannotRun("a ping was not acknowledged")
    await asyncio.sleep(0.15)
    # Two servers leave one after the other, as in `scale_in`.
    leaver.leaving = earlier.leaving = True
    if await earlier.sign_off(dying) is None:
        raise fleets.CannotRun("the first sign-off was not acknowledged")
    acked_at = await leaver.sign_off(dying)
    if acked_at is None:
        raise fleets.CannotRun("the sign-off was not acknowledged")
    killed_at = acked_at
    if fleets.TROUBLE:
        dying.kill()
        killed_at = time.monotonic()
        fleet.record("kill", machine=dying.name)

    # From `contact_ms` after the kill on all other machines are in touch.
    judged_from = max(killed_at + CONTACT_S, acked_at + DRAIN_S) + SLACK_S
    await asyncio.sleep(judged_from - time.monotonic())
    judged = set()
    while time.monotonic() < killed_at + DOWN_S - 0.5:
        for front in fleet.fronts:
            request, _ = await fleet.request(front, "/order-desk/x")
            judged.add(request)
        await asyncio.sleep(0.01)
    reached = [(at - acked_at, request) for at, server, request in fleet.runs
               if server == leaver.id and request in judged]
    for at, request in reached:
        fleet.record("late", server=leaver.id, request=request,
                     after_ack_s=f"{at:.3f}")
    if reached:
        return (f"DRAIN: {len(reached)} of {len(judged)} requests reached the "
                f"server {reached[0][0]:.2f} to {reached[-1][0]:.2f} s after "
                "it was acknowledged as gone")
    return None


fleets.main(__file__, play, fronts=3)
