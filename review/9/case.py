"""Pings of another writer that names a service which no configuration names.

Two services have two servers each. The first routes lead to `desk`; version 2
adds routes to `shop`. Then one ping for each server of `shop` comes from
another writer: an id of its own, a service that isn't named, and the address of
that server. Such a ping names no server to use, and the others hold. The
servers of `shop` go on pinging and are acknowledged. With TROUBLE=0 the other
writer sends nothing.
"""

import asyncio
import json
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))

import stand  # noqa: E402

CONTACT_S = 3.0
REQUESTS = 40


def content(version):
    routes = [stand.route("first", "/first/", "safe", "desk")]
    if version > 1:
        routes.append(stand.route("later", "/later/", "safe", "shop"))
    return stand.document(
        version, [stand.service("desk"), stand.service("shop")], routes)


async def ask_all(fleet, path):
    """How many of the requests are served, and by whom they are refused."""
    served = 0
    for number in range(REQUESTS):
        front = fleet.fronts[number % len(fleet.fronts)]
        fields = dict(stand.FIELDS) | {"X-Request-Id": stand.new_id()}
        status, _, _ = await stand.ask(front.ip, stand.CALLERS, "GET", path,
                                       fields)
        fleet.record(f"GET {path} {fields['X-Request-Id']} -> {status}")
        served += status == 200
    return served


async def foreign_ping(fleet, server, number):
    body = json.dumps({
        "service": "legacy-mirror", "address": server.address, "zone": "a",
        "version": "v1", "slots": 4, "state": "ready", "cold_left_ms": 0,
        "seq": 1, "born": int(time.time() * 1000)}).encode()
    status, _, _ = await stand.ask(
        fleet.cores[0].ip, stand.CONTROL, "PUT", f"/instances/mirror-{number}",
        body=body)
    fleet.record(f"other writer: mirror-{number} at {server.address}, service "
                 f"legacy-mirror -> {status}")


async def case(fleet):
    fleet.start()
    for number in (1, 2):
        await fleet.add_server(number, "desk")
    shops = [await fleet.add_server(number, "shop") for number in (3, 4)]
    if await fleet.put(content(1)) != 200 or not await fleet.ready():
        return 2
    if await fleet.put(content(2)) != 200:
        return 2
    for path in ("/first/w", "/later/w"):
        if not await fleet.serves(path, stand.FIELDS):
            return 2
    await asyncio.sleep(CONTACT_S)
    if stand.trouble():
        for number, server in enumerate(shops):
            await foreign_ping(fleet, server, number)
    await asyncio.sleep(CONTACT_S)
    first = await ask_all(fleet, "/first/a")
    later = await ask_all(fleet, "/later/a")
    acknowledged = [await server.beat() for server in shops]
    fleet.record(f"first routes: {first} of {REQUESTS} served; later routes: "
                 f"{later} of {REQUESTS}; pings of shop acknowledged: "
                 f"{acknowledged}")
    if first < REQUESTS // 2:
        return 2
    return 1 if later * 4 < first else 0


stand.run(case, HERE)
