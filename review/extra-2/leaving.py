"""A server says that it leaves while its service isn't configured.

Requests are in progress at a server of `desk-a` when version 2 drops that
service. Their answers say `Server-Leaving: 1` and are passed on. Version 3 has
the service again. The server's last ping said that it is ready; the next one is
late. Requests sent over `drain_ms` after those answers are judged. With
TROUBLE=0 version 2 isn't sent.
"""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))

import stand  # noqa: E402

DRAIN_S = 2.0
WORK_S = 0.8


class Leaver(stand.Server):
    """Says in its answers that it leaves, once it does."""

    leaving = False
    said_at = None

    async def beat(self):
        return True if self.leaving else await super().beat()

    async def answer(self, head, body, writer):
        line, fields = head
        name = fields.get("x-request-id", "")
        self.runs.append(name)
        if "/slow" in line:
            await asyncio.sleep(WORK_S)
        answer = {"X-Request-Id": name, "X-Response-Stamp": f"stamp.{name}"}
        if self.leaving:
            answer["Server-Leaving"] = "1"
            self.said_at = self.said_at or time.monotonic()
        self.fleet.record(f"server {self.id} has run {name}"
                          f"{', it leaves' if self.leaving else ''}")
        await stand.reply(writer, 200, answer, b"done")
        return True


def content(version, service, services):
    return stand.document(
        version, [stand.service(name) for name in services],
        [stand.route("lookup", "/lookup/", "safe", service)])


async def ask(fleet, path):
    fields = dict(stand.FIELDS) | {"X-Request-Id": stand.new_id()}
    status, head, _ = await stand.ask(fleet.fronts[0].ip, stand.CALLERS, "GET",
                                      path, fields)
    fleet.record(f"GET {path} {fields['X-Request-Id']} -> {status}")
    return fields["X-Request-Id"], "server-leaving" in head


async def case(fleet):
    both = ["desk-a", "desk-b"]
    fleet.start()
    leaver = await fleet.add_server(1, "desk-a", kind=Leaver)
    await fleet.add_server(2, "desk-a", kind=Leaver)
    await fleet.add_server(3, "desk-b", kind=Leaver)
    if await fleet.put(content(1, "desk-a", both)) != 200:
        return 2
    if not await fleet.ready() or not await fleet.serves("/lookup/w",
                                                         stand.FIELDS):
        return 2
    await asyncio.sleep(4.0)
    await leaver.beat()
    leaver.leaving = True
    slow = [asyncio.create_task(ask(fleet, "/lookup/slow")) for _ in range(8)]
    await asyncio.sleep(0.15)
    if stand.trouble():
        await fleet.put(content(2, "desk-b", both[1:]))
    said = sum(leaves for _, leaves in await asyncio.gather(*slow))
    await fleet.put(content(3, "desk-a", both))
    if not said:
        return 2
    await asyncio.sleep(leaver.said_at + DRAIN_S + 0.05 - time.monotonic())
    judged = set()
    while time.monotonic() < leaver.said_at + DRAIN_S + 0.9:
        name, _ = await ask(fleet, "/lookup/a")
        judged.add(name)
        await asyncio.sleep(0.02)
    reached = [name for name in leaver.runs if name in judged]
    fleet.record(f"{said} answers said that the server leaves; {len(reached)} of "
                 f"{len(judged)} later requests reached it")
    return 1 if reached else 0


stand.run(case, HERE, fronts=1)
