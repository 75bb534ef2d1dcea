"""An invalid configuration: a route names an unknown service beside its split.

Version 2 is version 1 with one more field: its route has a `traffic_split` to
the known service and a `service` that isn't there. With TROUBLE=0 that field
names the known service.
"""

import asyncio
import json
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))

import stand  # noqa: E402


def content(version, named):
    route = stand.route("lookup", "/lookup/", "safe", "desk")
    if named:
        route["service"] = named
        route["traffic_split"] = [{"service": "desk", "weight": 1}]
    return stand.document(version, [stand.service("desk")], [route])


async def case(fleet):
    fleet.start()
    await fleet.add_server(1, "desk")
    if await fleet.put(content(1, None)) != 200 or not await fleet.ready():
        return 2
    if not await fleet.serves("/lookup/w", stand.FIELDS):
        return 2
    trouble = stand.trouble()
    status = await fleet.put(content(2, "nowhere" if trouble else "desk"))
    await asyncio.sleep(1.0)
    read = 0
    for core in fleet.cores:
        answer, _, body = await stand.ask(core.ip, stand.CONTROL, "GET",
                                          "/config")
        if answer == 200:
            read = json.loads(body)["version"]
            fleet.record(f"operator: read from {core.ip}: version {read}")
    fleet.record(f"version 2 -> {status}; version {read} is read back")
    if not trouble:
        return 0 if status == 200 else 2
    return 1 if status == 200 else 0


stand.run(case, HERE)
