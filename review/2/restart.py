"""A control machine acknowledges the sign-off of a server that it has forgotten.

Its process was started again while the server could not reach it. It takes the
sign-off, drops it, and all other machines go on using the server.
"""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import fleet as fleets  # noqa: E402

DRAIN_S = fleets.BOUNDS["drain_ms"] / 1000
CONTACT_S = fleets.BOUNDS["contact_ms"] / 1000
# How long the server can't reach the control machines: `srv_cut`.
CUT_S = 5.0
RESTART_S = 0.5
JUDGED_S = 6.0
SLACK_S = 0.1


async def play(fleet):
    fleet.servers = [fleets.Server(fleet, "order-desk", fleets.ZONES[n % 3],
                                   n + 1) for n in range(3)]
    restarted = fleet.controls[0]
    leaver = fleet.servers[0]
    leaver.pick = lambda: restarted
    await fleet.start()
    await asyncio.sleep(CONTACT_S + 1.0)

    # The server is cut off from the control machines, not from the others.
    if not await leaver.ping(restarted):
        raise fleets.CannotRun("a ping was not acknowledged")
    cut_at = time.monotonic()
    if fleets.TROUBLE:
        leaver.beating = False
        fleet.record("cut", server=leaver.id)
        await asyncio.sleep(0.3)
        restarted.kill()
        restarted.process.wait()
        fleet.record("kill", machine=restarted.name)
        await asyncio.sleep(RESTART_S)
        restarted.start()
        fleet.record("start", machine=restarted.name)
    started_at = time.monotonic()
    await asyncio.sleep(cut_at + CUT_S - time.monotonic())
    if time.monotonic() < started_at + CONTACT_S + SLACK_S:
        await asyncio.sleep(started_at + CONTACT_S + SLACK_S
                            - time.monotonic())

    # The cut is over. The server leaves; the machine that it tells is in touch.
    leaver.beating = False
    leaver.leaving = True
    acked_at = await leaver.sign_off(restarted)
    if acked_at is None:
        raise fleets.CannotRun("the sign-off was not acknowledged")
    await asyncio.sleep(acked_at + DRAIN_S + SLACK_S - time.monotonic())
    judged = set()
    while time.monotonic() < acked_at + DRAIN_S + JUDGED_S:
        for front in fleet.fronts:
            request, _ = await fleet.request(front, "/order-desk/x")
            judged.add(request)
        await asyncio.sleep(0.02)
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
