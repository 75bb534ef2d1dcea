"""Changes the configuration, at times twice or wrongly, and reads it back."""

import asyncio
import json
import time

from soak.backends import LAYERS, LAYER_MB, STRIDE
from soak.messages import call

APPLY_S = 2.0
FAILURES = (OSError, TimeoutError, EOFError, ValueError)
HEADERS = {"Host": "control", "Content-Type": "application/json"}
WORKSPACES = {"desk": "key-of-the-desk", "counter": "key-of-the-counter"}


def route(name, kind, service, **more):
    """One route of a configuration."""
    return {"name": name, "hostname": "soak.example",
            "path_prefix": f"/{name}/", "kind": kind, "timeout_ms": 4000,
            "target_latency_ms": 500, "priority": 1, "service": service,
            "max_attempts": 2, "public": False} | more


def document(version, latency_ms=500):
    """A whole configuration; one of its routes tells its version."""
    engine = {
        "slots": 32, "kv_capacity": 100000, "kv_bytes": 8000,
        "link_mbps": 100000.0, "stride": STRIDE,
        "models": [{"name": "verse", "pace": 1.0, "load_s": 0.6,
                    "warm_s": 0.1}],
        "step_ms": 1.0, "per_seq_ms": 0.01, "context_per_k": 0.01,
        "read_per_s": 100000.0, "pairs_per_m": 0.1, "chunk": 512,
        "report_lag_ms": 100.0, "loads_per_s": 0.0, "loads_at_once": 6,
        "usual": {"prompt": 100, "answer": 80}, "layers": LAYERS,
        "layer_mb": LAYER_MB, "activation_bytes": 1000,
        "pipe_mbps": 10000.0,
        "kinds": [{"name": "card", "mb": 700.0, "pace": 1.0, "read_x": 1.0}]}
    return {
        "version": version,
        "routes": [
            route("draft", "streaming", "verse", sticky=True, resumable=True,
                  target_gap_ms=250),
            route("order", "unsafe", "desk"),
            route("lookup", "safe", "desk"),
            route(f"mark{version}", "safe", "desk",
                  target_latency_ms=latency_ms)],
        "services": [
            {"name": "verse", "health_path": "/health", "max_conns": 900,
             "protocol": "h1", "tls": False, "engine": engine},
            {"name": "desk", "health_path": "/health", "max_conns": 100,
             "protocol": "h1", "tls": False}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": name, "api_keys": [key], "priority": 1}
                    for name, key in WORKSPACES.items()]}


def invalid(version, random):
    """A configuration that must be refused."""
    wrong = document(version)
    match random.randrange(3):
        case 0:
            wrong["routes"][0]["service"] = "nobody"
        case 1:
            wrong["routes"][1]["timeout_ms"] = 0
        case 2:
            wrong["tenants"][1]["api_keys"] = wrong["tenants"][0]["api_keys"]
    return wrong


class Operator:
    """Sends changes until each is acknowledged."""

    def __init__(self, world):
        self.world = world
        self.version = 0
        self.sent = {}
        self.acknowledged = 0
        self.seen = {}

    def document(self, version):
        """The configuration of a version."""
        return document(version)

    async def put(self, content, address):
        """Sends one configuration to one host; its status, or None."""
        try:
            for _ in range(3):
                head, _ = await call(address, "PUT /config HTTP/1.1", HEADERS,
                                     json.dumps(content).encode(), 2.0)
                if head.status != 307:
                    return head.status
                address = head.fields["location"].split("/")[2]
        except FAILURES:
            pass
        return None

    def any_control(self):
        """The address of some control host."""
        return self.world.random.choice(self.world.control_addresses)

    async def change(self, limit_s=60.0):
        """Sends the next version until it is acknowledged."""
        self.version += self.world.random.randint(1, 3)
        version = self.version
        content = self.document(version)
        self.sent[version] = [content]
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            status = await self.put(content, self.any_control())
            if status == 200:
                self.acknowledged = max(self.acknowledged, version)
                self.world.findings.outcomes["change", 200] += 1
                return True
            if status is not None and 400 <= status < 500:
                self.world.findings.breaks(
                    "CONFIG", f"valid version {version} got {status}")
                return False
            await asyncio.sleep(0.1)
        return False

    async def race(self):
        """Sends two contents under one version to two hosts at once."""
        self.version += 1
        contents = [document(self.version, latency) for latency in (501, 502)]
        self.sent[self.version] = contents
        statuses = await asyncio.gather(*(
            self.put(content, self.any_control()) for content in contents))
        if 200 in statuses:
            self.acknowledged = max(self.acknowledged, self.version)

    async def mistake(self):
        """Sends an invalid configuration, which must not be accepted."""
        wrong = invalid(self.version + 1, self.world.random)
        if await self.put(wrong, self.any_control()) == 200:
            self.world.findings.breaks("CONFIG", "an invalid one is accepted")

    async def read(self, address):
        """Reads the configuration of one host; whether it answered."""
        least = self.acknowledged
        await asyncio.sleep(APPLY_S)
        try:
            for _ in range(3):
                head, body = await call(address, "GET /config HTTP/1.1",
                                        HEADERS, timeout=2.0)
                if head.status != 307:
                    break
                address = head.fields["location"].split("/")[2]
            if head.status != 200:
                return False
            content = json.loads(body)
        except FAILURES:
            return False
        version = content["version"]
        if version < least:
            self.world.findings.breaks(
                "CONFIG", f"{address} answers {version}, {least} is "
                "acknowledged")
        if content not in self.sent.get(version, []):
            self.world.findings.breaks(
                "CONFIG", f"version {version} was never sent like this")
        if self.seen.setdefault(version, content) != content:
            self.world.findings.breaks("CONFIG", f"{version} has two contents")
        return True

    async def run(self):
        """Changes and reads until cancelled."""
        random = self.world.random
        while True:
            await asyncio.sleep(random.uniform(0.2, 1.5))
            match random.randrange(8):
                case 0:
                    await self.mistake()
                case 1:
                    await self.race()
                case 2 | 3:
                    await self.read(self.any_control())
                case _:
                    await self.change()
