"""A small deployment on loopback addresses: real gateways as processes, and
stand-ins for servers, requesters, the operator and the platform."""

import asyncio
import json
import os
import pathlib
import random
import re
import shlex
import shutil
import signal
import socket
import subprocess
import tempfile
import time

try:
    import tomllib
except ImportError:  # Python before 3.11
    tomllib = None

ROOT = pathlib.Path(__file__).resolve().parents[2]
FRONT, READY, CONTROL, PEERS = 8227, 8220, 8229, 7340
ZONES = ["colombo-a", "colombo-b", "negombo-c"]
HEARTBEAT_MS = 1200
# The bounds of the site `ruhunu-tags`.
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000,
    "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
    "config_apply_ms": 2000, "rollback_slack_ms": 250, "outer_bound_ms": 5000,
    "budget_ratio": 0.2, "budget_window_s": 10, "budget_extra": 196,
    "recovery_s": 12}
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be set up."""


def _lookup(scopes, name):
    if name == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit():
                value = value[int(part)]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def render(text, scopes):
    """Fills in a settings template as the platform does."""
    section = re.compile(r"\{\{([#^])([^}]+)\}\}\n?(.*?)\{\{/\2\}\}\n?", re.S)

    def fill(match):
        kind, name, inner = match.groups()
        value = _lookup(scopes, name)
        if kind == "^":
            return "" if value else render(inner, scopes)
        return render(inner, scopes) if value else ""

    text = section.sub(fill, text)

    def place(match):
        name, _, form = match.group(1).partition("|")
        value = _lookup(scopes, name)
        if form == "json":
            return json.dumps(value)
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        return str(value)

    return re.sub(r"\{\{([^}]+)\}\}", place, text)


def read_deploy():
    """The deploy file; of its roles only what the cases need."""
    text = (ROOT / "deploy" / "system.toml").read_text()
    if tomllib is not None:
        return tomllib.loads(text)
    roles, role = {}, None
    for line in text.splitlines():
        section = re.match(r"\[roles\.([\w-]+)\]", line)
        if section:
            role = roles.setdefault(section.group(1), {})
        field = re.match(r'(run|template) = "(.*)"', line)
        if field and role is not None:
            role[field.group(1)] = field.group(2)
    return {"roles": roles}


class Machine:
    """One machine of the system with one process."""

    def __init__(self, fleet, role, zone, number):
        self.fleet, self.role, self.zone = fleet, role, zone
        self.name = f"{role}-{zone}-{number}"
        self.ip = f"127.{fleet.block}.1.{number}"
        self.folder = fleet.folder / self.name
        self.folder.mkdir(parents=True)
        self.process = None
        self.bootstrap = True

    @property
    def serves(self):
        return "control" if self.role == "control" else "front"

    @property
    def address(self):
        port = CONTROL if self.role == "control" else FRONT
        return f"{self.ip}:{port}"

    def start(self):
        """Writes the settings file and starts the process."""
        role = self.fleet.deploy["roles"][self.role]
        listen = ({"control": self.address} if self.role == "control" else
                  {"front": self.address, "ready": f"{self.ip}:{READY}"})
        fields = {
            "node_name": self.name, "ip": self.ip, "zone": self.zone,
            "region": "lk-west", "internal_ports": [PEERS, PEERS + 15],
            "seeds": [m.address for m in self.fleet.controls],
            "bootstrap": self.bootstrap, "heartbeat_ms": HEARTBEAT_MS,
            "listen": listen, "bounds": BOUNDS,
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "limits": {"memory_mb": 256 if self.role == "control" else 260,
                       "max_fds": 4096}}
        if self.role == "control":
            fields["data_dir"] = str(self.folder / "data")
        template = (ROOT / role["template"]).read_text()
        path = self.folder / "boot.toml"
        path.write_text(render(template, [fields]))
        command = shlex.split(role["run"])
        command[0] = str(ROOT / command[0])
        with open(self.folder / "log.txt", "ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, stdout=log, stderr=log,
                env={"PATH": os.environ.get("PATH", ""), "HOME": "/tmp",
                     "LANG": "C.UTF-8", "BALSAMPOINT_NODE_FILE": str(path)})
        self.bootstrap = False

    def kill(self, number=signal.SIGKILL):
        self.process.send_signal(number)

    @property
    def runs(self):
        return self.process is not None and self.process.poll() is None


class Reply:
    """One answer that was read from a connection."""

    def __init__(self, status, fields, body, whole):
        self.status, self.fields, self.body = status, fields, body
        self.whole = whole


async def read_message(reader):
    """Reads the head and body of one HTTP message."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    body, whole = b"", True
    if "chunked" in fields.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += piece[:-2]
    elif "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    return lines[0], fields, body, whole


async def call(address, method, path, body=None, fields=(), limit_s=1.0):
    """One call on a new channel; raises on no answer."""
    host, port = address.split(":")

    async def run():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            text = body if body is not None else b""
            head = [f"{method} {path} HTTP/1.1", "Connection: close"]
            names = {name.lower() for name, _ in fields}
            if "host" not in names:
                head.append(f"Host: {address}")
            head += [f"{name}: {value}" for name, value in fields]
            if text or method in ("POST", "PUT"):
                head.append(f"Content-Length: {len(text)}")
            writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + text)
            await writer.drain()
            line, got, answer, whole = await read_message(reader)
            return Reply(int(line.split()[1]), got, answer, whole)
        finally:
            writer.transport.abort()

    return await asyncio.wait_for(run(), limit_s)


class Server:
    """A sound server of a plain service."""

    def __init__(self, fleet, service, zone, number):
        self.fleet, self.service, self.zone = fleet, service, zone
        self.id = f"i-{fleet.block:02x}{number:08x}"
        self.ip = f"127.{fleet.block}.3.{number}"
        self.address = f"{self.ip}:8080"
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.leaving = False
        self.beating = True
        self.listener = None
        self.beat_task = None
        # Chooses the control machine of the next ping.
        self.pick = lambda: random.choice(fleet.controls)

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, self.ip, 8080)

    async def serve(self, reader, writer):
        try:
            while True:
                line, fields, body, _ = await read_message(reader)
                method, path, _ = line.split(" ", 2)
                self.answer(method, path, fields, body, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    def answer(self, method, path, fields, body, writer):
        status, text, extra = 200, b"", []
        request = fields.get("x-request-id", "")
        expected = fields.get("x-expect-instance")
        if path == "/health":
            status = 503 if self.leaving else 200
            extra.append(f"X-Instance-Id: {self.id}")
        elif expected and expected != self.id:
            status = 421
            extra.append("X-Not-Executed: 1")
        else:
            self.fleet.record("run", server=self.id, request=request)
            self.fleet.runs.append((time.monotonic(), self.id, request))
            text = f"done {request}".encode()
            extra.append(f"X-Response-Stamp: {self.id}.{request}")
        if request:
            extra.append(f"X-Request-Id: {request}")
        if self.leaving:
            extra.append("Server-Leaving: 1")
        head = [f"HTTP/1.1 {status} OK", f"Content-Length: {len(text)}",
                "Keep-Alive: timeout=5"] + extra
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + text)

    def claim(self, state="ready"):
        self.seq += 1
        return json.dumps({
            "service": self.service, "address": self.address,
            "zone": self.zone, "version": "v1", "slots": 6, "state": state,
            "cold_left_ms": 0, "born": self.born, "seq": self.seq}).encode()

    async def ping(self, machine, state="ready"):
        """Sends one ping; whether it was acknowledged."""
        try:
            reply = await call(machine.address, "PUT", f"/instances/{self.id}",
                               self.claim(state))
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            self.fleet.record("ping", server=self.id, at=machine.name,
                              answer="none")
            return False
        self.fleet.record("ping", server=self.id, at=machine.name,
                          state=state, answer=reply.status)
        return 200 <= reply.status < 300

    async def beat(self):
        """Pings a control machine, and the next one if there's no answer."""
        while True:
            if self.beating:
                machine = self.pick()
                if not await self.ping(machine):
                    others = [m for m in self.fleet.controls if m != machine]
                    for other in others:
                        if self.beating and await self.ping(other):
                            break
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def sign_off(self, machine):
        """Sends DELETE; returns the time of the acknowledgement or None."""
        body = json.dumps({"born": self.born}).encode()
        try:
            reply = await call(machine.address, "DELETE",
                               f"/instances/{self.id}", body)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return None
        at = time.monotonic()
        self.fleet.record("sign_off", server=self.id, at=machine.name,
                          answer=reply.status)
        return at if 200 <= reply.status < 300 else None


class Fleet:
    """All machines and stand-ins of one run."""

    def __init__(self, case, fronts=2, front_zones=3):
        self.case = pathlib.Path(case).resolve().parent
        self.deploy = read_deploy()
        self.started_at = time.monotonic()
        self.lines = []
        self.runs = []
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.block = self.free_block()
        self.controls = [Machine(self, "control", ZONES[n], n + 1)
                         for n in range(3)]
        self.fronts = [Machine(self, "entry", ZONES[n % front_zones], n + 11)
                       for n in range(fronts)]
        self.machines = self.controls + self.fronts
        self.servers = []
        self.tasks = []
        self.version = 0
        self.sent = 0

    @staticmethod
    def free_block():
        """A second octet whose addresses have no listener."""
        for _ in range(50):
            block = random.randint(20, 250)
            try:
                for address in (f"127.{block}.1.1", f"127.{block}.3.1"):
                    with socket.socket() as probe:
                        probe.bind((address, CONTROL))
                with socket.socket() as probe:
                    probe.bind((f"127.{block}.1.1", PEERS))
                return block
            except OSError:
                continue
        raise CannotRun("no free block of addresses")

    def record(self, what, **fields):
        """Adds a line to the record."""
        at = time.monotonic() - self.started_at
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.lines.append(f"{at:8.3f} {what} {text}")

    def configuration(self, **more):
        """A configuration with one route to each service of the servers."""
        self.version += 1
        services = sorted({server.service for server in self.servers})
        routes = [{"name": f"r-{service}", "hostname": "tags.example",
                   "path_prefix": f"/{service}/", "kind": "safe",
                   "timeout_ms": 600, "target_latency_ms": 100, "priority": 2,
                   "service": service, "max_attempts": 2, "public": False,
                   "sticky": False} for service in services]
        document = {
            "version": self.version, "routes": routes,
            "services": [{"name": name, "health_path": "/health",
                          "max_conns": 96, "protocol": "h1", "tls": False}
                         for name in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "hule", "api_keys": ["key-hule"],
                         "priority": 1}]}
        document.update(more)
        return json.dumps(document).encode()

    async def apply(self, text, limit_s=20.0):
        """Sends a configuration until it is acknowledged."""
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            for machine in self.controls:
                try:
                    reply = await call(machine.address, "PUT", "/config", text)
                except (OSError, asyncio.TimeoutError,
                        asyncio.IncompleteReadError):
                    continue
                self.record("config", at=machine.name, answer=reply.status,
                            version=self.version, bytes=len(text))
                if reply.status == 200:
                    return machine
            await asyncio.sleep(0.2)
        raise CannotRun("the configuration was not acknowledged")

    async def request(self, front, path, method="GET", body=None, limit_s=1.0,
                      fields=()):
        """One request on a new channel; the answer, or None."""
        self.sent += 1
        request = f"{self.block:02x}{self.sent:014x}"
        self.record("sent", request=request, to=front.name, path=path)
        try:
            reply = await call(
                front.address, method, path, body,
                [("Host", "tags.example"), ("X-Request-Id", request),
                 ("X-Deadline-Ms", "600"), ("X-Api-Key", "key-hule"),
                 *fields], limit_s)
        except (OSError, asyncio.TimeoutError,
                asyncio.IncompleteReadError) as failure:
            self.record("answer", request=request, status=repr(failure))
            return request, None
        self.record("answer", request=request, status=reply.status)
        return request, reply

    async def start(self):
        """Starts machines and servers and waits until requests are served."""
        for machine in self.machines:
            machine.start()
        for server in self.servers:
            await server.start()
            server.beat_task = asyncio.create_task(server.beat())
            self.tasks.append(server.beat_task)
        await self.apply(self.configuration())
        for service in {server.service for server in self.servers}:
            for front in self.fronts:
                await self.wait_served(front, f"/{service}/x")

    async def wait_served(self, front, path, limit_s=20.0):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            _, reply = await self.request(front, path)
            if reply is not None and reply.status == 200:
                return
            await asyncio.sleep(0.2)
        raise CannotRun(f"{front.name} serves no request")

    def stop(self):
        """Ends all processes and writes the record."""
        for task in self.tasks:
            task.cancel()
        for machine in self.machines:
            if machine.process is not None:
                try:
                    machine.process.send_signal(signal.SIGCONT)
                    machine.process.kill()
                    machine.process.wait(5)
                except (ProcessLookupError, subprocess.TimeoutExpired):
                    pass
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        (self.case / "record.txt").write_text("\n".join(self.lines) + "\n")


def main(case, play, **options):
    """Plays a case: exits with 1 if the rule broke, 0 if not, 2 on failure."""
    fleet = None
    try:
        fleet = Fleet(case, **options)

        async def run():
            return await asyncio.wait_for(play(fleet), 110)

        broken = asyncio.run(run())
        fleet.record("verdict", broken=broken or "no", trouble=TROUBLE)
        print(f"trouble={int(TROUBLE)}: {broken or 'the rule held'}")
        code = 1 if broken else 0
    except Exception as failure:  # whatever it is, the rule wasn't judged
        print(f"the case could not run: {failure!r}")
        if fleet is not None:
            fleet.record("verdict", cannot_run=repr(failure))
        code = 2
    finally:
        if fleet is not None:
            fleet.stop()
    raise SystemExit(code)
