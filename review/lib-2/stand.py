"""Small deployment of gateways on loopback addresses, and stand-ins around it.

Hosts run the program of the deploy file with settings as its template renders
them. Servers, clients and the operator are asyncio stand-ins that follow the
users' protocol pages.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target" / "balsampoint-gateway"
PEERS, DETOURS, METRICS = 7340, 7341, 9464
CALLERS, READY, CONTROL = 8227, 8220, 8229
BOUNDS = {"grace_s": 8, "budget_ratio": 0.2, "budget_extra": 196,
          "budget_window_s": 10, "catch_up_s": 4}
HEARTBEAT_MS = 1200


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(folder / "record.txt", "w", encoding="utf-8")

    def __call__(self, text):
        now = time.monotonic() - self.started
        self.file.write(f"{now:9.3f}  {text}\n")
        self.file.flush()

    def close(self):
        self.file.close()


class Host:
    """One gateway process."""

    def __init__(self, fleet, number, role, zone):
        self.fleet, self.role, self.zone = fleet, role, zone
        self.ip = f"127.{fleet.block}.1.{number}"
        self.folder = fleet.folder / f"{role}-{number}"
        self.folder.mkdir(parents=True)
        self.process = None
        self.bootstrap = True
        self.exits = []

    def settings(self):
        front = self.role == "front"
        lines = ["cluster: platform", f'host: "{self.ip}"', 'region: "local"',
                 f'zone: "{self.zone}"', "listen:",
                 f'  peers: "{self.ip}:{PEERS}"']
        if front:
            lines += [f'  callers: "{self.ip}:{CALLERS}"',
                      f'  ready: "{self.ip}:{READY}"']
        lines += [f'  metrics: "{self.ip}:{METRICS}"']
        if front:
            lines += [f'  detours: "{self.ip}:{DETOURS}"']
        else:
            lines += [f'  control: "{self.ip}:{CONTROL}"',
                      f'data_folder: "{self.folder / "data"}"']
        lines += [
            f"first_start: {str(self.bootstrap).lower()}",
            f"seeds: {json.dumps(self.fleet.seeds)}",
            'secret: "frames between hosts of one deployment"',
            f"heartbeat: {HEARTBEAT_MS}ms", "control_losses: 1",
            f"control_catch_up: {BOUNDS['catch_up_s']}s",
            f"stop_timeout: {BOUNDS['grace_s']}s", "retry:",
            f"  ratio: {BOUNDS['budget_ratio']}",
            f"  extra: {BOUNDS['budget_extra']}",
            f"  window: {BOUNDS['budget_window_s']}s", "limits:",
            f"  memory_mb: {260 if front else 256}",
            f"  descriptors: {4200 if front else 4096}",
            "log:", "  format: json", "  level: info"]
        return "\n".join(lines) + "\n"

    def start(self):
        (self.folder / "data").mkdir(exist_ok=True)
        path = self.folder / "boot.yaml"
        path.write_text(self.settings(), encoding="utf-8")
        with open(self.folder / "log.txt", "ab") as log:
            self.process = subprocess.Popen(
                [str(PROGRAM)], cwd=ROOT, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL,
                env={"PATH": os.environ.get("PATH", ""), "HOME": "/",
                     "BALSAMPOINT_NODE_FILE": str(path)})
        self.bootstrap = False

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    @property
    def runs(self):
        return self.process is not None and self.process.poll() is None

    async def ended(self, limit_s):
        limit = time.monotonic() + limit_s
        while self.runs and time.monotonic() < limit:
            await asyncio.sleep(0.02)
        return not self.runs


class Server:
    """A plain server of one service; records what it runs."""

    def __init__(self, fleet, number, service, work_s=0.015, slots=64):
        self.fleet, self.service, self.slots = fleet, service, slots
        self.work_s = work_s
        self.ip = f"127.{fleet.block}.2.{number}"
        self.port = 8500
        self.id = f"i-{number:04x}{random.getrandbits(24):06x}"
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.state = "ready"
        self.runs = []
        self.tasks = set()
        self.listener = None
        self.beats = None

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def start(self):
        self.listener = await asyncio.start_server(
            self.connected, self.ip, self.port, limit=1 << 20, backlog=2048)
        self.beats = asyncio.create_task(self.beat_for_ever())

    async def stop(self):
        if self.beats:
            self.beats.cancel()
        if self.listener:
            self.listener.close()
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def statement(self):
        self.seq += 1
        return {"service": self.service, "address": self.address,
                "zone": "a", "version": "v1", "slots": self.slots,
                "state": self.state, "cold_left_ms": 0, "seq": self.seq,
                "born": self.born}

    async def beat(self):
        """One ping, to the next control host after a failure."""
        body = json.dumps(self.statement()).encode()
        for host in self.fleet.controls_from(random.randrange(9)):
            status, _, _ = await ask(
                host.ip, CONTROL, "PUT", f"/instances/{self.id}", body=body,
                limit_s=1.0)
            if status == 200:
                return True
        return False

    async def beat_for_ever(self):
        while True:
            with contextlib.suppress(OSError):
                await self.beat()
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    def connected(self, reader, writer):
        task = asyncio.create_task(self.serve(reader, writer))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError,
                                 asyncio.CancelledError, ValueError):
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head)
                if not await self.answer(head, body, writer):
                    break
        with contextlib.suppress(OSError):
            writer.close()

    async def answer(self, head, body, writer):
        line, fields = head
        request = fields.get("x-request-id", "")
        expected = fields.get("x-expect-instance", self.id)
        if expected != self.id:
            await reply(writer, 421, {"X-Request-Id": request})
            return True
        self.runs.append((request, len(body), fields))
        self.fleet.record(f"server {self.id} runs {request}: {line}, "
                          f"{len(body)} bytes")
        await asyncio.sleep(self.work_s)
        await reply(writer, 200, {
            "X-Request-Id": request,
            "X-Response-Stamp": f"stamp.{request}"}, b"done " + request.encode())
        return True


async def reply(writer, status, fields, body=b""):
    text = f"HTTP/1.1 {status} X\r\n"
    for name, value in fields.items():
        text += f"{name}: {value}\r\n"
    text += f"Content-Length: {len(body)}\r\n\r\n"
    writer.write(text.encode() + body)
    await writer.drain()


async def read_head(reader):
    """First line and fields by their lower-case name; nothing at the end."""
    line = await reader.readline()
    while line in (b"\r\n", b"\n"):
        line = await reader.readline()
    if not line:
        return None
    fields = {}
    while True:
        field = await reader.readline()
        if field in (b"\r\n", b"\n", b""):
            break
        name, _, value = field.decode("latin-1").partition(":")
        fields[name.strip().lower()] = value.strip()
    return line.decode("latin-1").strip(), fields


async def read_body(reader, head):
    _, fields = head
    if "content-length" in fields:
        return await reader.readexactly(int(fields["content-length"]))
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    return b""


async def connect(ip, port, limit_s=1.0):
    async with asyncio.timeout(limit_s):
        return await asyncio.open_connection(ip, port, limit=1 << 20)


async def ask(ip, port, method, path, fields=None, body=b"", limit_s=5.0):
    """One call on a new channel: status, fields and body; status 0 without a
    complete answer."""
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(
                ip, port, limit=1 << 22)
            writer.write(request(method, path, fields, body))
            await writer.drain()
            return await read_answer(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, {}, b""
    finally:
        if writer:
            writer.close()


def request(method, path, fields=None, body=b""):
    text = f"{method} {path} HTTP/1.1\r\n"
    fields = dict(fields or {})
    fields.setdefault("Host", "platform")
    if body or method in ("PUT", "POST"):
        fields["Content-Length"] = len(body)
    for name, value in fields.items():
        text += f"{name}: {value}\r\n"
    return text.encode() + b"\r\n" + body


async def read_answer(reader):
    head = await read_head(reader)
    if head is None:
        return 0, {}, b""
    line, fields = head
    status = int(line.split()[1])
    return status, fields, await read_body(reader, head)


class Fleet:
    """Core machines, fronts, servers and the operator."""

    def __init__(self, folder, cores=3, fronts=2):
        self.record = Record(folder)
        self.block = self.free_block()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
        self.seeds = [f"127.{self.block}.1.{n + 1}:{CONTROL}"
                      for n in range(min(cores, 3))]
        self.cores = [Host(self, n + 1, "core", "abc"[n % 3])
                      for n in range(cores)]
        self.fronts = [Host(self, cores + n + 1, "front", "abc"[n % 3])
                       for n in range(fronts)]
        self.servers = []
        self.version = 0

    @staticmethod
    def free_block():
        """A block of loopback addresses that nobody listens on."""
        for _ in range(50):
            block = random.randrange(20, 250)
            try:
                for number in range(1, 12):
                    for port in (PEERS, CALLERS, CONTROL):
                        with socket.socket() as probe:
                            probe.bind((f"127.{block}.1.{number}", port))
                return block
            except OSError:
                continue
        raise OSError("no free loopback addresses")

    @property
    def hosts(self):
        return self.cores + self.fronts

    def controls_from(self, first):
        first %= len(self.cores)
        return self.cores[first:] + self.cores[:first]

    def start(self):
        for host in self.hosts:
            host.start()

    async def add_server(self, number, service, kind=Server, **how):
        server = kind(self, number, service, **how)
        self.servers.append(server)
        await server.start()
        return server

    async def put(self, document, limit_s=10.0):
        """Sends a configuration until it is acknowledged or refused."""
        body = json.dumps(document).encode()
        limit = time.monotonic() + limit_s
        turn = 0
        while time.monotonic() < limit:
            host = self.controls_from(turn)[0]
            turn += 1
            status, _, text = await ask(
                host.ip, CONTROL, "PUT", "/config",
                {"Content-Type": "application/json"}, body, 1.5)
            self.record(f"operator: version {document['version']} to {host.ip}"
                        f" -> {status}")
            if status == 200 or 400 <= status < 500 and status not in (408, 429):
                return status
            await asyncio.sleep(0.2)
        return 0

    async def ready(self, limit_s=15.0):
        """Waits until all fronts are ready."""
        limit = time.monotonic() + limit_s
        for front in self.fronts:
            while True:
                status, _, _ = await ask(front.ip, READY, "GET", "/ready",
                                         limit_s=1.0)
                if status == 200:
                    break
                if time.monotonic() > limit:
                    return False
                await asyncio.sleep(0.1)
        return True

    async def serves(self, path, fields, limit_s=10.0):
        """Waits until each front serves a plain request."""
        limit = time.monotonic() + limit_s
        for front in self.fronts:
            while True:
                sent = dict(fields)
                sent["X-Request-Id"] = f"warm{random.getrandbits(48):012x}"
                status, _, _ = await ask(front.ip, CALLERS, "GET", path, sent,
                                         limit_s=2.0)
                if status == 200:
                    break
                if time.monotonic() > limit:
                    return False
                await asyncio.sleep(0.1)
        return True

    async def close(self):
        for server in self.servers:
            await server.stop()
        for host in self.hosts:
            host.signal(signal.SIGCONT)
            host.signal(signal.SIGKILL)
            if host.process:
                host.process.wait()
        self.record.close()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


def most_mb(host):
    """The most memory that the host's process has used so far."""
    try:
        status = pathlib.Path(f"/proc/{host.process.pid}/status").read_text()
    except OSError:
        return 0.0
    lines = [line for line in status.splitlines() if line.startswith("VmHWM")]
    return int(lines[0].split()[1]) / 1024 if lines else 0.0


async def end_over_memory(fleet, hosts, limit_mb, ends):
    """What the platform does to a process that uses more than its memory: ends
    it, counts that, and starts it again after half a second."""
    while True:
        for host in hosts:
            used = most_mb(host)
            if host.runs and used > limit_mb:
                fleet.record(f"platform: {host.ip} has used {used:.0f} MB of "
                             f"{limit_mb} MB and is ended")
                host.signal(signal.SIGKILL)
                host.process.wait()
                ends[host.ip] += 1
                await asyncio.sleep(0.5)
                host.start()
        await asyncio.sleep(0.02)


def document(version, services, routes, limits=None, tenants=None):
    return {"version": version, "routes": routes, "services": services,
            "limits": limits or {"max_header_bytes": 16384,
                                 "max_body_bytes": 4194304,
                                 "header_timeout_ms": 3000,
                                 "idle_timeout_ms": 15000},
            "tenants": tenants or [{"name": "hule930",
                                    "api_keys": ["n2ctnfzs989anu6wsjnb"],
                                    "priority": 1}]}


def route(name, prefix, kind, service, timeout_ms=1500, attempts=2, **more):
    return {"name": name, "hostname": "ficu95.example", "path_prefix": prefix,
            "kind": kind, "timeout_ms": timeout_ms, "target_latency_ms": 100,
            "priority": 1, "service": service, "max_attempts": attempts,
            "public": False, "sticky": False} | more


def service(name, max_conns=96):
    return {"name": name, "health_path": "/health", "max_conns": max_conns,
            "protocol": "h1", "tls": False}


FIELDS = {"Host": "ficu95.example", "X-Api-Key": "n2ctnfzs989anu6wsjnb",
          "X-Deadline-Ms": "1500"}


def new_id():
    return f"{random.getrandbits(64):016x}"


def run(case, folder, **shape):
    """Runs a case and ends all processes. Exits with 0 if the rule held, 10 if
    it was broken, 2 if the case could not run; Python itself exits with 1."""
    async def main():
        fleet = Fleet(folder, **shape)
        try:
            async with asyncio.timeout(110):
                code = await case(fleet)
        except Exception as failure:
            fleet.record(f"the case could not run: {failure!r}")
            code = 2
        finally:
            fleet.record("end")
            await fleet.close()
        return 10 if code == 1 else code
    sys.exit(asyncio.run(main()))


def trouble():
    """Whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"
