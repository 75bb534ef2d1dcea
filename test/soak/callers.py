"""Callers that check each answer they get."""

import asyncio
import time

from soak.backends import STRIDE
from soak.findings import digest
from soak.messages import message, read_body, read_chunk, read_head, split
from soak.operator import WORKSPACES

ANSWER_S = 6.0
PATHS = {"draft": "/draft/verse", "order": "/order/tag",
         "lookup": "/lookup/tag"}


class Caller:
    """One caller; it keeps using a connection until the host closes it."""

    def __init__(self, world, number):
        self.world = world
        self.number = number
        self.count = 0
        self.host = None
        self.reader = None
        self.writer = None

    def close(self):
        """Gives the connection up."""
        if self.writer is not None:
            self.writer.transport.abort()
        self.reader = self.writer = None

    async def connect(self):
        """Connects to some entry host unless connected."""
        if self.writer is not None:
            return False
        self.host = self.world.random.choice(self.world.entries)
        self.reader, self.writer = await asyncio.open_connection(
            *split(self.host.front_address))
        return True

    async def run(self):
        """Sends one request after the other until cancelled."""
        random = self.world.random
        while True:
            await asyncio.sleep(random.expovariate(3.0))
            kind = random.choice(["draft", "draft", "order", "lookup"])
            await self.request(kind)
            if self.writer is not None and random.random() < 0.1:
                self.close()

    def deadline_ms(self, kind):
        """How long it waits for an answer."""
        return 4000

    def events(self, kind):
        """How many events it asks for in a stream."""
        return self.world.random.randint(2, 20)

    async def request(self, kind, path=None, host=None, body=None,
                      workspace=None):
        """Makes one request; its status, or None without an answer."""
        self.count += 1
        request = f"{self.number:x}-{self.count:x}-{self.world.seed:x}"
        workspace = workspace or self.world.random.choice(list(WORKSPACES))
        key = WORKSPACES[workspace]
        body = body or f"{kind} {request}".encode()
        tokens = STRIDE * self.events(kind)
        fields = {"Host": "soak.example", "X-Request-Id": request,
                  "X-Api-Key": key,
                  "X-Deadline-Ms": str(self.deadline_ms(kind)),
                  "Content-Type": "text/plain"}
        if kind == "draft":
            fields |= {"X-Model": "verse", "X-Token-Counts": f"100,{tokens}",
                       "X-Prompt-Prefix": f"{self.count:x}:100"}
        self.world.findings.ask(request, kind, body, workspace)
        if host is not None and host is not self.host:
            self.close()
        try:
            async with asyncio.timeout(ANSWER_S):
                if host is not None and self.writer is None:
                    self.host = host
                    self.reader, self.writer = await asyncio.open_connection(
                        *split(host.front_address))
                fresh = await self.connect()
                sent_at = time.monotonic()
                self.writer.write(message(
                    f"POST {path or PATHS[kind]} HTTP/1.1", fields, body))
                head = await read_head(self.reader)
                if head is None:
                    self.close()
                    if not fresh:
                        # The host's close and the request have crossed.
                        self.world.note_crossed(self.host, request)
                    return None
                status = await self.check(head, kind, request, body, tokens)
                self.world.note_answer(self.host, kind, status, sent_at)
                return status
        except (OSError, EOFError, ValueError, TimeoutError) as failure:
            self.close()
            self.world.note_cut(self.host, kind, request, failure)
            return None

    async def check(self, head, kind, request, body, tokens):
        """Reads an answer and holds it against what it must be."""
        findings = self.world.findings
        if head.fields.get("transfer-encoding") == "chunked":
            await self.check_stream(body, tokens, request)
        else:
            answer = await read_body(self.reader, head)
            good = digest(request, body).encode()
            if head.success and answer != good:
                findings.breaks("MIXED", f"{request} got another body")
        stamp = head.fields.get("x-response-stamp")
        if head.success and stamp != digest("stamp", request):
            findings.breaks("MIXED", f"{request} got another stamp")
        if stamp and head.status not in findings.given[request]:
            findings.breaks("MIXED", f"{request} got another status")
        findings.answered(request, head.status)
        if head.fields.get("connection", "").lower() == "close":
            self.close()
        retry_after = head.number("retry-after", 0)
        if head.status == 503 and retry_after <= 0:
            findings.breaks("REFUSED", f"{request}: no time to come back")
        return head.status

    async def check_stream(self, body, tokens, request):
        """Reads a stream; its events must be whole, in order and complete."""
        text = b""
        while chunk := await read_chunk(self.reader):
            text += chunk
            expected = b"".join(
                f"id: {number}\ndata: {digest(body, number)}\n\n".encode()
                for number in range(1, text.count(b"\n\n") + 1))
            if not (text.startswith(expected) or expected.startswith(text)):
                self.world.findings.breaks("ORDER", f"{request}: {text[-80:]}")
                raise ConnectionError("the stream is wrong")
        if text.count(b"\n\n") != tokens // STRIDE:
            self.world.findings.breaks(
                "ORDER", f"{request} ends after {text.count(b'id:')} events "
                f"of {tokens // STRIDE}")
