"""A configuration without `tenants`.

Version 1 has a tenant, and requests carry its key. Version 2 has the same
routes and no `tenants`; requests sent over `config_apply_ms` after its
acknowledgement carry no key. With TROUBLE=0 version 2 has the tenant too and
the requests go on carrying the key.
"""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))

import stand  # noqa: E402

REQUESTS = 60
CONFIG_APPLY_S = 2.0


def content(version, tenants):
    document = stand.document(
        version, [stand.service("desk")],
        [stand.route("lookup", "/lookup/", "safe", "desk")])
    if not tenants:
        del document["tenants"]
    return document


async def ask_all(fleet, fields):
    statuses = []
    for number in range(REQUESTS):
        front = fleet.fronts[number % len(fleet.fronts)]
        sent = dict(fields) | {"X-Request-Id": stand.new_id()}
        status, _, _ = await stand.ask(front.ip, stand.CALLERS, "GET",
                                       "/lookup/a", sent)
        fleet.record(f"GET /lookup/a {sent['X-Request-Id']} "
                     f"{'with' if 'X-Api-Key' in sent else 'without'} a key "
                     f"-> {status}")
        statuses.append(status)
    return statuses


async def case(fleet):
    fleet.start()
    await fleet.add_server(1, "desk")
    await fleet.add_server(2, "desk")
    if await fleet.put(content(1, True)) != 200 or not await fleet.ready():
        return 2
    if not await fleet.serves("/lookup/w", stand.FIELDS):
        return 2
    before = await ask_all(fleet, stand.FIELDS)
    if before.count(200) < REQUESTS:
        return 2
    trouble = stand.trouble()
    status = await fleet.put(content(2, not trouble))
    if status != 200:
        return 2
    await asyncio.sleep(CONFIG_APPLY_S + 1.0)
    fields = dict(stand.FIELDS)
    if trouble:
        del fields["X-Api-Key"]
    after = await ask_all(fleet, fields)
    total = len(before) + len(after)
    denied = sum(300 <= status < 500 and status not in (408, 421, 429)
                 for status in after)
    fleet.record(f"{denied} of {total} requests were ended with a 3xx or 4xx; "
                 f"allowed are {5 + total / 500:.1f}")
    return 1 if denied > 5 + total / 500 else 0


stand.run(case, HERE)
