"""Backends that answer twice, the second time late."""

import asyncio
import re

# Longest time until the second copy of an answer.
LATE_S = 0.03


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
