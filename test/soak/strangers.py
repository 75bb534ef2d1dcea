"""Answers before a server's own, or in place of it, that aren't the answer to
the request."""

import asyncio

from soak.findings import digest
from soak.messages import message

SHARE = 0.4
# Time from the strange answer to the server's own.
AHEAD_S = 0.02
INTERIM_COUNT = 100
NO_STATUSES = ["000", "0", "00", "099", "600", "999", "1000"]
# Lines of a head whose names are no tokens.
ODD_FIELDS = ["X Odd: 1", " X-Odd: 1", "X-Odd : 1", "X\x01Odd: 1",
              "X\x7fOdd: 1", "X\x80Odd: 1", ": 1"]
ODD_LENGTHS = ["Content Length", "Content-Length ", "Content\0-Length"]


def stamp(request):
    """The server's authentication code of an answer."""
    return digest("stamp", request)


def success(fields, body, status="200 OK"):
    """A success with some fields, each a pair of name and value."""
    text = f"HTTP/1.1 {status}\r\n"
    text += "".join(f"{name}: {value}\r\n" for name, value in fields)
    return (text + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


def earlier(request, other, body):
    """The whole answer to an earlier request."""
    return success([("X-Request-Id", other),
                    ("X-Response-Stamp", stamp(other))], body)


def without_id(request, other, body):
    """The same without the request that it answers."""
    return success([("X-Response-Stamp", stamp(other))], body)


def without_stamp(request, other, body):
    """The right id, and no authentication code."""
    return success([("X-Request-Id", request)], body)


def two_ids(request, other, body):
    """Two requests, the right one first."""
    return success([("X-Request-Id", request), ("X-Request-Id", other),
                    ("X-Response-Stamp", stamp(other))], body)


def two_stamps(request, other, body):
    """Two authentication codes, the right one first."""
    return success([("X-Request-Id", request),
                    ("X-Response-Stamp", stamp(request)),
                    ("X-Response-Stamp", stamp(other))], body)


def coded(request, other, body):
    """A body with a content coding."""
    return success([("X-Request-Id", request),
                    ("X-Response-Stamp", stamp(request)),
                    ("Content-Encoding", "gzip")], body)


def partial(request, other, body):
    """A part of a body."""
    return success([("X-Request-Id", request),
                    ("X-Response-Stamp", stamp(request))],
                   body, "206 Partial Content")


def refusal_without_id(request, other, body):
    """The refusal of an earlier request; this one is run."""
    return message("HTTP/1.1 503 Refused", {"X-Not-Executed": "1"})


def cut_in_field(request, other, body):
    """A failure that breaks off in a field; the server's own continues it."""
    return b"HTTP/1.1 500 Failed\r\nX-Note: a"


def cut_in_reason(request, other, body):
    """A failure that breaks off in its first line."""
    return b"HTTP/1.1 500 Fail"


def other_version(request, other, body):
    """An answer in another version of HTTP."""
    return success([("X-Request-Id", request),
                    ("X-Response-Stamp", stamp(request))],
                   body).replace(b"HTTP/1.1", b"HTTP/3.0")


def without_status(request, other, body):
    """A number that is no status."""
    number = chosen(NO_STATUSES, request)
    return success([("X-Request-Id", request),
                    ("X-Response-Stamp", stamp(request))],
                   b"", f"{number} Unknown")


def chosen(forms, request):
    """One of some forms, the same one for the same request."""
    return forms[int(stamp(request), 16) % len(forms)]


def with_odd_field(request, other, body):
    """A field whose name is no token."""
    line = chosen(ODD_FIELDS, request).encode("latin-1")
    return success([("X-Request-Id", request),
                    ("X-Response-Stamp", stamp(request))],
                   body).replace(b"\r\n\r\n", b"\r\n" + line + b"\r\n\r\n", 1)


def with_odd_length(request, other, body):
    """A length whose name is no token."""
    name = chosen(ODD_LENGTHS, request).encode("latin-1")
    return success([("X-Request-Id", request),
                    ("X-Response-Stamp", stamp(request))],
                   body).replace(b"Content-Length", name)


def with_odd_trailer(request, other, body):
    """A field behind the last chunk whose name is no token."""
    line = chosen(ODD_FIELDS, request).encode("latin-1")
    head = message("HTTP/1.1 200 OK", {
        "X-Request-Id": request, "X-Response-Stamp": stamp(request),
        "Transfer-Encoding": "chunked"})
    return head.replace(b"Content-Length: 0\r\n", b"") + (
        b"0\r\n" + line + b"\r\n\r\n")


def interim_with_odd_field(request, other, body):
    """An interim answer with a field whose name is no token."""
    line = chosen(ODD_FIELDS, request).encode("latin-1")
    return b"HTTP/1.1 102 Processing\r\n" + line + b"\r\n\r\n"


def interim_in_place(request, other, body):
    """An interim answer with what only the server's own has."""
    return success([("X-Request-Id", request),
                    ("X-Response-Stamp", stamp(request))],
                   b"", "199 Unknown")


def interim_without_end(request, other, body):
    """Interim answers only."""
    return b"HTTP/1.1 102 Processing\r\n\r\n" * INTERIM_COUNT


# Kinds that take the place of the server's own answer.
ALONE = [without_status, with_odd_field, with_odd_length, with_odd_trailer,
         interim_with_odd_field, interim_in_place, interim_without_end]
KINDS = [earlier, without_id, without_stamp, two_ids, two_stamps, coded,
         partial, refusal_without_id, cut_in_field, cut_in_reason,
         other_version, *ALONE]


async def precede(backend, head, content, writer):
    """Sends a strange answer in some cases; whether no other follows."""
    request = head.fields.get("x-request-id", "")
    other, backend.last_request = backend.last_request, request
    random = backend.world.random
    if not other or not request or random.random() >= SHARE:
        return False
    alone = backend.strange in ALONE
    if alone:
        backend.world.findings.run(request, head, content)
    text = digest(other, b"strange")
    body = (f"id: 1\ndata: {text}\n\n" if "x-token-counts" in head.fields
            else text)
    writer.write(backend.strange(request, other, body.encode()))
    await writer.drain()
    await asyncio.sleep(AHEAD_S)
    return alone
