"""A server signs off before its first ping has arrived.

The sign-off is acknowledged and dropped. The ping, which was held up by a
partition, then makes the server ready on all machines.
"""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import fleet as fleets  # noqa: E402

DRAIN_S = fleets.BOUNDS["drain_ms"] / 1000
CONTACT_S = fleets.BOUNDS["contact_ms"] / 1000
# How long the server can't reach the control machines: `srv_cut`, "reborn".
CUT_S = 5.0
# When the ping that the cut held up arrives, after the sign-off.
LATE_S = 0.8
JUDGED_S = 3.0
SLACK_S = 0.05


async def play(fleet):
    fleet.servers = [fleets.Server(fleet, "order-desk", fleets.ZONES[n % 3],
                                   n + 1) for n in range(3)]
    await fleet.start()
    await asyncio.sleep(CONTACT_S + 1.0)

    # A server starts again, under another id, while it is cut off from control.
    reborn = fleets.Server(fleet, "order-desk", fleets.ZONES[0], 9)
    await reborn.start()
    fleet.record("reborn", server=reborn.id, cut=fleets.TROUBLE)
    if fleets.TROUBLE:
        await asyncio.sleep(CUT_S)
    else:
        reborn.beat_task = asyncio.create_task(reborn.beat())
        fleet.tasks.append(reborn.beat_task)
        await asyncio.sleep(CUT_S)
        reborn.beat_task.cancel()

    # It is told to leave; its last ping of the cut is still on its way.
    held = reborn.claim()
    reborn.leaving = True
    acked_at = await reborn.sign_off(fleet.controls[0])
    if acked_at is None:
        raise fleets.CannotRun("the sign-off was not acknowledged")
    await asyncio.sleep(LATE_S)
    reply = await fleets.call(fleet.controls[1].address, "PUT",
                              f"/instances/{reborn.id}", held)
    fleet.record("late_ping", server=reborn.id, answer=reply.status)

    await asyncio.sleep(acked_at + DRAIN_S + SLACK_S - time.monotonic())
    judged = set()
    while time.monotonic() < acked_at + DRAIN_S + JUDGED_S:
        for front in fleet.fronts:
            request, _ = await fleet.request(front, "/order-desk/x")
            judged.add(request)
        await asyncio.sleep(0.02)
    reached = [(at - acked_at, request) for at, server, request in fleet.runs
               if server == reborn.id and request in judged]
    for at, request in reached:
        fleet.record("late", server=reborn.id, request=request,
                     after_ack_s=f"{at:.3f}")
    if reached:
        return (f"DRAIN: {len(reached)} of {len(judged)} requests reached the "
                f"server {reached[0][0]:.2f} to {reached[-1][0]:.2f} s after "
                "it was acknowledged as gone")
    return None


fleets.main(__file__, play, fronts=3)
