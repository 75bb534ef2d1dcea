"""Many entry machines of a zone are killed at the same moment, the relays among
them. The others of the zone, which are left alone, miss a configuration."""

import asyncio
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import fleet as fleets  # noqa: E402

# The bounds of `ruhunu-tags-grown`, where a zone has some 19 entry machines.
APPLY_S = 2.5
CONTACT_S = 4.0
FRONTS = 19
# `herd_kill`: share 0.55 of the machines, for 2 s.
KILLED = round(0.55 * FRONTS)
DOWN_S = 2.0
JUDGED_S = 2.0
SETTLE_S = 5.0
# The disruption comes more than once.
BLOWS = 4
SLACK_S = 0.05


def relays(fleet):
    """The entry machines that are relays, by their logs."""
    found = []
    for front in fleet.fronts:
        collector = None
        for line in (front.folder / "log.txt").read_text().splitlines():
            try:
                event = json.loads(line)
            except ValueError:
                continue
            if event.get("event") == "relay_changed":
                collector = event["collector"]
        if collector == front.ip:
            found.append(front)
    return found


def route(fleet, service):
    """A configuration whose only route leads to a service."""
    text = json.loads(fleet.configuration())
    text["routes"] = [dict(text["routes"][0], name="r-1", service=service,
                           path_prefix="/order-desk/")]
    return json.dumps(text).encode()


async def strike(fleet, turn, old, new):
    """Kills machines, changes the configuration and judges the others."""
    known = relays(fleet)
    fleet.record("relays", names=",".join(front.name for front in known))
    killed = (known + [f for f in fleet.fronts if f not in known])[:KILLED]
    calm = [front for front in fleet.fronts if front not in killed]
    if fleets.TROUBLE:
        for front in killed:
            front.kill()
        fleet.record("kill", names=",".join(front.name for front in killed))
    killed_at = time.monotonic()
    machine = await fleet.apply(route(fleet, new))
    acked_at = time.monotonic()
    fleet.record("acked", by=machine.name,
                 after_kill_s=f"{acked_at - killed_at:.3f}")

    judged = {}
    await asyncio.sleep(killed_at + DOWN_S - time.monotonic())
    if fleets.TROUBLE:
        for front in killed:
            front.process.wait()
            front.start()
    await asyncio.sleep(acked_at + APPLY_S + SLACK_S - time.monotonic())
    while time.monotonic() < acked_at + APPLY_S + JUDGED_S:
        for front in calm:
            sent_at = time.monotonic()
            request, _ = await fleet.request(front, "/order-desk/x")
            judged[request] = (front.name, sent_at)
        await asyncio.sleep(0.02)
    servers = {server.id for server in fleet.servers if server.service == old}
    stale = [(judged[request][1] - acked_at, judged[request][0], request)
             for _, server, request in fleet.runs
             if server in servers and request in judged]
    for at, name, request in stale:
        fleet.record("stale", front=name, request=request,
                     after_ack_s=f"{at:.3f}")
    if not stale:
        return None
    names = {name for _, name, _ in stale}
    return (f"CONFIG: {len(stale)} of {len(judged)} requests were run by the "
            f"old service, sent {stale[0][0]:.2f} to {stale[-1][0]:.2f} s "
            f"after the acknowledgement, by {len(names)} of {len(calm)} "
            f"machines in touch (blow {turn + 1})")


async def play(fleet):
    services = ["desk-old", "desk-new"]
    fleet.servers = [fleets.Server(fleet, services[n % 2], fleets.ZONES[0],
                                   n + 1) for n in range(4)]
    await fleet.start()
    await fleet.apply(route(fleet, services[0]))
    for front in fleet.fronts:
        await fleet.wait_served(front, "/order-desk/x")
    for turn in range(BLOWS):
        # Long enough for all machines to be in touch and to have their relays.
        await asyncio.sleep(CONTACT_S + SETTLE_S)
        broken = await strike(fleet, turn, services[turn % 2],
                              services[1 - turn % 2])
        if broken:
            return broken
    return None


fleets.main(__file__, play, fronts=FRONTS, front_zones=1)
