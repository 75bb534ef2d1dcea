"""Not a case: our pages name no requester that sends ahead.

A requester sends its next request before the answer to the one before it has
come (HTTP/1.1 pipelining, `GET` on a `safe` route). With TROUBLE=0 it waits for
each answer.
"""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import fleet as fleets  # noqa: E402

CHANNELS, REQUESTS = 300, 6


async def play(fleet):
    fleet.servers = [fleets.Server(fleet, "order-desk", fleets.ZONES[n], n + 1)
                     for n in range(3)]
    await fleet.start()
    host, port = fleet.fronts[0].address.split(":")
    foreign = answers = 0
    for channel in range(CHANNELS):
        reader, writer = await asyncio.open_connection(host, int(port))
        ids = [f"c{channel}-{number}" for number in range(REQUESTS)]

        async def send(request):
            # Some paths have no route and get a 404.
            path = "order-desk" if random.random() < 0.7 else "none"
            writer.write(f"GET /{path}/x HTTP/1.1\r\nHost: tags.example\r\n"
                         f"X-Request-Id: {request}\r\nX-Api-Key: key-hule\r\n"
                         "X-Deadline-Ms: 600\r\n\r\n".encode())
            await writer.drain()

        async def send_ahead():
            for request in ids:
                await send(request)
                await asyncio.sleep(random.choice([0, 0, 0.0003, 0.001]))

        ahead = asyncio.create_task(send_ahead()) if fleets.TROUBLE else None
        for request in ids:
            if not fleets.TROUBLE:
                await send(request)
            line, fields, body, _ = await asyncio.wait_for(
                fleets.read_message(reader), 3)
            answers += 1
            own = fields.get("x-request-id", request) == request
            if not own or " 400 " in line:
                foreign += 1
                fleet.record("foreign", request=request, line=line, body=body)
        if ahead:
            await ahead
        writer.transport.abort()
    if foreign:
        return (f"MIXED: {foreign} of {answers} answers belonged to no request "
                "or to another one")
    return None


fleets.main(__file__, play, fronts=1)
