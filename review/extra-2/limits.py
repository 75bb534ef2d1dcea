"""Limits that a new configuration raises, on channels that were open before.

Clients open channels and use them under version 1, which allows bodies of
64 KiB. Version 2 allows 4 MiB and is acknowledged. Three seconds later, over
`config_apply_ms` after the acknowledgement, the clients send bodies of 100 KiB
on the same channels. With TROUBLE=0 version 1 allows 4 MiB already.
"""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))

import stand  # noqa: E402

CLIENTS = 40
BODY = b"b" * 102400
CONFIG_APPLY_S = 2.0


def content(version, most):
    return stand.document(
        version, [stand.service("desk")],
        [stand.route("lookup", "/lookup/", "safe", "desk"),
         stand.route("order", "/order/", "unsafe", "desk", attempts=1)],
        limits={"max_header_bytes": 16384, "max_body_bytes": most,
                "header_timeout_ms": 3000, "idle_timeout_ms": 15000})


class Client:
    """One kept channel."""

    def __init__(self, fleet, number):
        self.fleet, self.number = fleet, number
        self.front = fleet.fronts[number % len(fleet.fronts)]

    async def open(self):
        self.reader, self.writer = await stand.connect(
            self.front.ip, stand.CALLERS)

    async def ask(self, method, path, body=b""):
        fields = dict(stand.FIELDS)
        fields["X-Request-Id"] = request = stand.new_id()
        self.writer.write(stand.request(method, path, fields, body))
        try:
            async with asyncio.timeout(5):
                await self.writer.drain()
                status, _, _ = await stand.read_answer(self.reader)
        except (OSError, TimeoutError, ValueError,
                asyncio.IncompleteReadError):
            status = 0
        self.fleet.record(f"client {self.number}: {method} {path} {request}, "
                          f"{len(body)} bytes -> {status}")
        return status


async def case(fleet):
    small = 65536 if stand.trouble() else 4194304
    fleet.start()
    await fleet.add_server(1, "desk")
    await fleet.add_server(2, "desk")
    if await fleet.put(content(1, small)) != 200 or not await fleet.ready():
        return 2
    if not await fleet.serves("/lookup/warm", stand.FIELDS):
        return 2
    clients = [Client(fleet, number) for number in range(CLIENTS)]
    for client in clients:
        await client.open()
    before = [await client.ask("GET", "/lookup/a") for client in clients]
    if before.count(200) < CLIENTS:
        return 2
    if await fleet.put(content(2, 4194304)) != 200:
        return 2
    await asyncio.sleep(CONFIG_APPLY_S + 1.0)
    # A new channel is served under version 2 at each front.
    for front in fleet.fronts:
        fields = dict(stand.FIELDS) | {"X-Request-Id": stand.new_id()}
        status, _, _ = await stand.ask(front.ip, stand.CALLERS, "POST",
                                       "/order/new", fields, BODY)
        fleet.record(f"new channel to {front.ip}: {len(BODY)} bytes -> {status}")
        if status != 200:
            return 2
    after = [await client.ask("POST", "/order/b", BODY) for client in clients]
    total = len(before) + len(after) + 4 * len(fleet.fronts)
    denied = sum(300 <= status < 500 and status not in (408, 421, 429)
                 for status in after)
    fleet.record(f"{denied} of {total} requests were ended with a 3xx or 4xx "
                 f"though version 2 allows them; allowed are "
                 f"{5 + total / 500:.1f}")
    return 1 if denied > 5 + total / 500 else 0


stand.run(case, HERE)
