"""What callers and backends have seen, and the promises it breaks."""

import collections
import functools
import hashlib

PROMISES_NOT_RUN = {408, 421, 429, 503}


@functools.lru_cache(maxsize=1 << 16)
def digest(*parts):
    """Text that only the right request leads to."""
    return hashlib.sha1("|".join(map(str, parts)).encode()).hexdigest()[:16]


class Findings:
    """Runs at backends, answers at callers, and broken promises."""

    def __init__(self):
        self.broken = []
        self.sent = {}
        self.runs = collections.Counter()
        self.refused = set()
        # Statuses that backends gave with their authentication code.
        self.given = collections.defaultdict(set)
        self.outcomes = collections.Counter()

    def breaks(self, rule, what):
        """Notes a broken promise."""
        self.broken.append(f"{rule}: {what}")

    def requests_of(self, rules, since=0):
        """Requests whose answers broke one of some rules, by kind."""
        found = (line.split(": ", 1) for line in self.broken[since:])
        requests = {what.split(" ")[0].rstrip(":")
                    for rule, what in found if rule in rules}
        return collections.Counter(
            self.sent[request][0] for request in requests)

    def ask(self, request, kind, body, workspace):
        """Notes a request that a caller is about to send."""
        self.sent[request] = (kind, body, workspace)

    def run(self, request, head, body):
        """Notes that a backend begins to work on a request."""
        asked = self.sent.get(request)
        if asked is None:
            self.breaks("UNASKED", f"{request} was never sent")
            return
        kind, sent_body, workspace = asked
        if body != sent_body:
            self.breaks("UNASKED", f"{request}: the body was changed")
        if head.fields.get("x-tenant") != workspace:
            self.breaks("UNASKED", f"{request}: wrong workspace")
        if "x-api-key" in head.fields:
            self.breaks("UNASKED", f"{request}: the key was passed on")
        self.runs[request] += 1
        if kind != "order":
            return
        if self.runs[request] > 1:
            self.breaks("TWICE", f"{request} ran {self.runs[request]} times")
        if request in self.refused:
            self.breaks("REFUSED", f"{request} ran after its refusal")

    def answered(self, request, status):
        """Notes the status that a caller got."""
        kind = self.sent[request][0]
        self.outcomes[kind, status] += 1
        if kind == "order" and status in PROMISES_NOT_RUN:
            self.refused.add(request)
            if self.runs[request]:
                self.breaks("REFUSED", f"{request} got {status} and has run")
