"""Backends that answer twice, the second time late."""

import asyncio
import re

# Longest time until the second copy of an answer.
LATE_S = 0.03
# Share of the answers that come twice, where the copy doesn't wait for the end
# of another answer.
INSIDE_SHARE = 0.4
# Share of the copies behind which the connection ends.
ENDS_SHARE = 0.3
# Longest time between two parts of an answer.
PART_S = 0.01


def without_id(answer):
    """The answer without the request's id."""
    return re.sub(rb"(?i)\r\nx-request-id:[^\r]*", b"", answer, count=1)


def without_length(answer):
    """The answer without a length, which then ends with its connection."""
    return re.sub(rb"(?i)\r\ncontent-length:[^\r]*", b"", answer, count=1)


def cut(answer):
    """Most of the answer; its rest never comes."""
    return answer[:-3]


# How the second copy differs, and whether the connection ends after it.
COPIES = {
    "same": (lambda answer: answer, False),
    "without id": (without_id, False),
    "without length": (without_length, True),
    "cut": (cut, True),
}


class Stutter:
    """Writer of one connection that sends a copy of each answer later.

    A copy comes where an answer is expected, never inside of one."""

    def __init__(self, writer, kind, random):
        self.writer = writer
        self.change, self.ends = COPIES[kind]
        self.random = random
        self.answer = b""
        self.between = asyncio.Lock()
        self.tasks = set()

    def __getattr__(self, name):
        return getattr(self.writer, name)

    def write(self, data):
        """Passes a part of the answer on, and remembers it."""
        self.answer += data
        self.writer.write(data)

    async def __aenter__(self):
        await self.between.acquire()
        self.answer = b""
        return self

    async def __aexit__(self, *_):
        self.between.release()
        task = asyncio.create_task(self.repeat(self.answer))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def repeat(self, answer):
        """Sends the copy after a while."""
        await asyncio.sleep(self.random.uniform(0.0, LATE_S))
        async with self.between:
            if self.writer.transport.is_closing():
                return
            self.writer.write(self.change(answer))
            if self.ends:
                self.writer.close()


def until_close(answer):
    """The answer without a length or chunks: its connection's end is its own."""
    head, _, body = answer.partition(b"\r\n\r\n")
    if b"\r\nTransfer-Encoding: chunked" in head:
        body = b"".join(body.split(b"\r\n")[1::2])
        head = head.replace(b"\r\nTransfer-Encoding: chunked", b"")
    return without_length(head + b"\r\n\r\n") + body


class Whole:
    """Writer that holds an answer until it is complete."""

    def __init__(self, writer, random):
        self.writer = writer
        self.random = random
        self.answer = b""
        self.tasks = set()

    def __getattr__(self, name):
        return getattr(self.writer, name)

    def write(self, data):
        """Keeps a part of the answer."""
        self.answer += data

    async def __aenter__(self):
        self.answer = b""
        return self


class BeforeEnd(Whole):
    """Sends answers whose end is that of the connection, some of them twice.

    `change` makes the copy from the answer."""

    change = staticmethod(lambda answer: answer)
    share = INSIDE_SHARE

    async def __aexit__(self, *_):
        answer = until_close(self.answer)
        self.writer.write(answer)
        if self.random.random() < self.share:
            await asyncio.sleep(self.random.uniform(0.0, LATE_S))
            self.writer.write(self.change(answer))
        self.writer.close()


class BeforeEndWithoutId(BeforeEnd):
    """The same; the copy names no request."""

    change = staticmethod(without_id)


class BeforeEndCut(BeforeEnd):
    """The same; the copy breaks off."""

    change = staticmethod(cut)


class BetweenParts(Whole):
    """Sends answers in parts; late copies of earlier ones come between them."""

    async def __aexit__(self, *_):
        answer, self.answer = self.answer, b""
        head_ends = answer.find(b"\r\n\r\n") + 4
        middle = (head_ends + len(answer)) // 2
        for part in (answer[:head_ends], answer[head_ends:middle],
                     answer[middle:]):
            self.writer.write(part)
            await asyncio.sleep(self.random.uniform(0.0, PART_S))
        if self.random.random() < INSIDE_SHARE:
            task = asyncio.create_task(self.repeat(answer))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def repeat(self, answer):
        """Sends the copy after a while, whatever is being sent then."""
        await asyncio.sleep(self.random.uniform(0.0, LATE_S))
        if not self.writer.transport.is_closing():
            self.writer.write(answer)


class OnAnother(Whole):
    """Sends a late copy of some answers on another connection of its server."""

    open = []
    change = staticmethod(lambda answer: answer)

    async def __aexit__(self, *_):
        answer, self.answer = self.answer, b""
        self.writer.write(answer)
        OnAnother.open = [writer for writer in OnAnother.open
                          if not writer.transport.is_closing()]
        if self.writer not in OnAnother.open:
            OnAnother.open.append(self.writer)
        if self.random.random() < INSIDE_SHARE:
            task = asyncio.create_task(self.repeat(self.change(answer)))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def repeat(self, answer):
        """Sends the copy after a while, whatever is being sent there."""
        await asyncio.sleep(self.random.uniform(0.0, LATE_S))
        others = [writer for writer in OnAnother.open
                  if writer is not self.writer]
        if others:
            writer = self.random.choice(others)
            if not writer.transport.is_closing():
                writer.write(answer)


class OnAnotherWithoutId(OnAnother):
    """The same; the copy names no request."""

    change = staticmethod(without_id)


def in_other_case(answer):
    """The answer with its request's id in another case."""
    return re.sub(rb"(?i)(\r\nx-request-id:)([^\r]*)",
                  lambda found: found[1] + found[2].upper(), answer, count=1)


def spaced(answer):
    """The answer with spaces around its request's id."""
    return re.sub(rb"(?i)(\r\nx-request-id:)([^\r]*)", rb"\1 \t\2 \t ",
                  answer, count=1)


def as_old(answer):
    """The answer as one of HTTP/1.0, which ends with its connection."""
    return until_close(answer).replace(b"HTTP/1.1", b"HTTP/1.0", 1)


def as_old_kept(answer):
    """The same, of a length and on a connection that is kept."""
    if b"\r\nTransfer-Encoding: chunked" in answer:
        return as_old(answer)
    return answer.replace(b"HTTP/1.1", b"HTTP/1.0", 1).replace(
        b"\r\n", b"\r\nConnection: keep-alive\r\n", 1)


def behind_continue(answer):
    """The answer behind an interim one."""
    return b"HTTP/1.1 100 Continue\r\n\r\n" + answer


def behind_hints(answer):
    """The answer behind another interim one."""
    return b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + answer


def with_trailers(answer):
    """The answer in chunks, with fields behind the last one."""
    head, _, body = answer.partition(b"\r\n\r\n")
    if b"\r\nTransfer-Encoding: chunked" not in head:
        head = without_length(head) + b"\r\nTransfer-Encoding: chunked"
        middle = len(body) // 2
        body = b"".join(b"%x\r\n%s\r\n" % (len(part), part)
                        for part in (body[:middle], body[middle:]) if part)
        body += b"0\r\n\r\n"
    return head + b"\r\n\r\n" + body[:-2] + b"X-Sum: 7\r\nX-Note: end\r\n\r\n"


class Anywhere(Whole):
    """Sends answers of any form in parts; late copies of earlier ones of the
    same connection come at any point of them, or as the connection ends."""

    forms = [lambda answer: answer, until_close, as_old, as_old_kept,
             behind_continue, behind_hints, with_trailers]
    changes = [lambda answer: answer, without_id, in_other_case, spaced,
               until_close, as_old, as_old_kept, behind_continue, behind_hints,
               with_trailers, cut]

    async def __aexit__(self, *_):
        plain, self.answer = self.answer, b""
        if not plain:
            return
        form = self.random.choice(self.forms)
        answer = form(plain)
        cuts = sorted(self.random.sample(range(len(answer) + 1), 2))
        for begin, end in zip([0] + cuts, cuts + [len(answer)]):
            self.writer.write(answer[begin:end])
            await asyncio.sleep(self.random.uniform(0.0, PART_S))
        if form in (until_close, as_old):
            self.writer.close()
        elif self.random.random() < INSIDE_SHARE:
            task = asyncio.create_task(self.repeat(plain))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def repeat(self, plain):
        """Sends the copy after a while, whatever is being sent then."""
        await asyncio.sleep(self.random.uniform(0.0, LATE_S))
        if not self.writer.transport.is_closing():
            self.writer.write(self.random.choice(self.changes)(plain))
            if self.random.random() < ENDS_SHARE:
                self.writer.close()


class OnOpening(Whole):
    """Sends a copy of an earlier answer as soon as a connection is open."""

    last = b""

    def __init__(self, writer, random):
        super().__init__(writer, random)
        if random.random() < INSIDE_SHARE:
            writer.write(OnOpening.last)

    async def __aexit__(self, *_):
        OnOpening.last, self.answer = self.answer, b""
        self.writer.write(OnOpening.last)


class LastChunkAgain(Whole):
    """Sends answers in chunks; the last chunk comes a second time, late,
    between two chunks of whatever is being sent on the connection then."""

    late_s = 0.4
    last = b"0\r\n\r\n"

    def write(self, data):
        """Passes a stream on; keeps any other answer until it is complete."""
        if self.answer or b"\r\nTransfer-Encoding: chunked" in data:
            self.answer += data
            self.writer.write(data)
        else:
            self.plain += data

    async def __aenter__(self):
        self.answer = self.plain = b""
        return self

    async def __aexit__(self, *_):
        if self.plain:
            head, _, body = self.plain.partition(b"\r\n\r\n")
            middle = len(body) // 2
            self.writer.write(without_length(head) +
                              b"\r\nTransfer-Encoding: chunked\r\n\r\n")
            for part in (body[:middle], body[middle:]):
                if part:
                    self.writer.write(b"%x\r\n%s\r\n" % (len(part), part))
                    await asyncio.sleep(self.random.uniform(0.0, PART_S))
            self.writer.write(self.last)
        task = asyncio.create_task(self.repeat())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def repeat(self):
        """Sends the last chunk again after a while."""
        await asyncio.sleep(self.random.uniform(0.0, self.late_s))
        if not self.writer.transport.is_closing():
            self.writer.write(self.last)


INSIDE = [BeforeEnd, BeforeEndWithoutId, BeforeEndCut, BetweenParts, OnAnother,
          OnAnotherWithoutId, Anywhere, OnOpening, LastChunkAgain]


class AtNext:
    """Sends the copy of an answer where the next one is expected.

    `change` makes the copy from the answer."""

    change = staticmethod(lambda answer: answer)

    def __init__(self, writer, random):
        self.writer = writer
        self.random = random
        self.answer = b""

    def __getattr__(self, name):
        return getattr(self.writer, name)

    def write(self, data):
        """Passes a part of the answer on, and remembers it."""
        self.answer += data
        self.writer.write(data)

    async def __aenter__(self):
        if self.answer:
            self.writer.write(self.change(self.answer))
        self.answer = b""
        return self

    async def __aexit__(self, *_):
        pass


class AtNextWithoutId(AtNext):
    """The same; the copy names no request."""

    change = staticmethod(without_id)


class AtNextTorn(AtNext):
    """The same; the copy breaks off in its first line."""

    change = staticmethod(lambda answer: answer[:len(b"HTTP/1.1 200 O")])


class After(Stutter):
    """Sends the copy a fixed time after the answer."""

    delay_s = LATE_S
    kind = "same"

    def __init__(self, writer, random):
        super().__init__(writer, self.kind, random)

    async def repeat(self, answer):
        """Sends the copy once the time is over."""
        await asyncio.sleep(self.delay_s)
        async with self.between:
            if not self.writer.transport.is_closing():
                self.writer.write(self.change(answer))


class AfterWithoutId(After):
    """The same; the copy names no request."""

    kind = "without id"


class SoonWithoutId(AfterWithoutId):
    """The same, so soon that it may come with the answer."""

    delay_s = 0.001


class Twice(BeforeEnd):
    """Sends each answer twice; only the connection's end ends it."""

    share = 1.0


LATE = [AtNext, AtNextWithoutId, AtNextTorn, After, AfterWithoutId,
        SoonWithoutId, Twice]
