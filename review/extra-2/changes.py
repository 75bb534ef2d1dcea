"""Valid changes of a configuration of 4 MB with many keys.

The operator sends 80 versions, one after the other, each with 160,000 new keys
for one tenant, under the 4 MiB (`body_bytes`) of the site. A stand-in for the
platform ends a process that has used more than the `memory_mb` of its settings,
and starts it again after half a second. With TROUBLE=0 there are 1,600 keys.
"""

import asyncio
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))

import stand  # noqa: E402

MEMORY_MB = 256
CHANGES = 80


def content(version):
    document = stand.document(
        version, [stand.service("desk")],
        [stand.route("lookup", "/lookup/", "safe", "desk")])
    count = 160000 if stand.trouble() else 1600
    document["tenants"].append({
        "name": "large", "priority": 1,
        "api_keys": [f"{random.getrandbits(80):020x}" for _ in range(count)]})
    return document


async def case(fleet):
    fleet.start()
    await fleet.add_server(1, "desk")
    ends = {host.ip: 0 for host in fleet.cores}
    watch = asyncio.create_task(
        stand.end_over_memory(fleet, fleet.cores, MEMORY_MB, ends))
    acknowledged = 0
    for version in range(1, CHANGES + 1):
        status = await fleet.put(content(version), 20.0)
        acknowledged += status == 200
        if version % 10 == 0:
            used = [f"{stand.most_mb(host):.0f}" for host in fleet.cores]
            fleet.record(f"after version {version}: MB {used}")
        if sum(ends.values()) >= 3:
            break
    watch.cancel()
    fleet.record(f"{acknowledged} changes acknowledged; ends of processes by "
                 f"core machine: {ends}")
    return 1 if sum(count > 0 for count in ends.values()) * 2 >= len(ends) else 0


stand.run(case, HERE)
