"""Starts daemons and stand-in backend servers of one user on loopback."""

import hashlib
import http.client
import json
import os
import pathlib
import signal
import subprocess
import time

MASK = (1 << 64) - 1
OPERATOR_KEY = "local.example"
OPERATOR_SALT = "00112233445566778899"
ROOT = pathlib.Path(__file__).resolve().parents[2]
RUHUNU = ROOT / "examples" / "ruhunu" / "configuration"
START_LIMIT_SECONDS = 30


def expected_text(prompt, tokens, layers):
    """The answer that a pipeline must give, by the stand-in arithmetic."""
    value = 0xCBF29CE484222325
    text = ""

    def absorb(value, data):
        for byte in data:
            value = ((value ^ byte) * 0x100000001B3) & MASK
        return value

    value = absorb(value, prompt.encode())
    for _ in range(tokens):
        state = value
        for layer in range(layers):
            state = ((state ^ (layer + 1)) * 0x9E3779B97F4A7C15) & MASK
            state ^= state >> 29
        token = f"{state & 0xFFFF:04x} "
        text += token
        value = absorb(value, token.encode())
    return text


def call(address, method, path, body=None, headers=None, timeout=30):
    """Makes one HTTP call; returns the status and the body as text."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return response.status, response.read().decode()
    finally:
        connection.close()


class Host:
    """One daemon with its settings."""

    def __init__(self, name, zone, port, folder):
        self.name = name
        self.zone = zone
        self.callers = f"127.0.0.1:{port}"
        self.servers = f"127.0.0.1:{port + 1}"
        self.operators = f"127.0.0.1:{port + 2}"
        self.peers = f"127.0.0.1:{port + 3}"
        self.folder = folder / name
        self.process = None


class Cluster:
    """Daemons in several zones with stand-ins beside them."""

    def __init__(self, build, folder, zones, hosts_per_zone=1, base_port=21000,
                 region="local", cluster="local"):
        self.build = pathlib.Path(build)
        self.folder = pathlib.Path(folder)
        self.region = region
        self.cluster = cluster
        self.zones = zones
        self.hosts = []
        self.servers = {}
        self.last_output = ""
        port = base_port
        for number in range(hosts_per_zone):
            for zone in zones:
                name = f"{zone}-{number + 1}"
                self.hosts.append(Host(name, zone, port, self.folder))
                port += 4
        self.next_port = port
        self.voters = [host for host in self.hosts if host.name.endswith("-1")]

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop()

    def host(self, name):
        """The host of a name."""
        return next(host for host in self.hosts if host.name == name)

    def write_settings(self, host):
        """Writes a host's settings file and returns its path."""
        host.folder.mkdir(parents=True, exist_ok=True)
        settings = {
            "cluster": self.cluster,
            "host": host.name,
            "region": self.region,
            "zone": host.zone,
            "listen": {
                "callers": host.callers,
                "servers": host.servers,
                "operators": host.operators,
                "peers": host.peers,
            },
            "seeds": [
                {"host": seed.name, "zone": seed.zone, "address": seed.peers}
                for seed in self.voters
            ],
            "secret": "for trials on one machine only",
            "shutdown_delay": "100ms",
            "shutdown_timeout": "20s",
            "operator_keys": [{
                "id": "local",
                "salt": OPERATOR_SALT,
                "sha256": hashlib.sha256(
                    (OPERATOR_SALT + OPERATOR_KEY).encode()).hexdigest(),
            }],
            "trace": {"file": str(host.folder / "trace.jsonl")},
        }
        if host in self.voters:
            settings["voter"] = True
            settings["data_folder"] = str(host.folder / "data")
            (host.folder / "data").mkdir(exist_ok=True)
        path = host.folder / "settings.yaml"
        path.write_text(json.dumps(settings, indent=2) + "\n")
        return path

    def start_host(self, host, *flags):
        """Starts a daemon; its log goes to its folder."""
        settings = self.write_settings(host)
        log = open(host.folder / "log.txt", "ab")
        host.process = subprocess.Popen(
            [self.build / "balsampointd", f"--settings={settings}", *flags],
            stdout=log, stderr=log)
        log.close()

    def start_hosts(self, *flags):
        """Starts all daemons."""
        for host in self.hosts:
            self.start_host(host, *flags)

    def operate(self, *words):
        """Runs the operators' command line; returns its completed process."""
        key = self.folder / "operator.key"
        key.write_text(OPERATOR_KEY + "\n")
        hosts = ",".join(host.operators for host in self.hosts
                         if host.process is not None)
        return subprocess.run(
            [self.build / "balsampoint", *words, f"--hosts={hosts}",
             f"--key_file={key}"],
            stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True,
            check=False)

    def apply(self, folder=RUHUNU, number=1):
        """Puts a configuration in force on all hosts."""
        def done():
            result = self.operate("apply", str(folder), "--number",
                                  str(number), "--wait")
            self.last_output = result.stdout
            return result.returncode == 0
        self.wait_until(f"change {number} in force", done)

    def start_server(self, name, zone, **flags):
        """Starts a stand-in that announces itself to its zone's hosts."""
        address = f"127.0.0.1:{self.next_port}"
        self.next_port += 1
        announce = ",".join(
            host.servers for host in self.hosts if host.zone == zone)
        words = [f"--{key}={value}" for key, value in flags.items()]
        log = open(self.folder / f"{name}.log", "ab")
        process = subprocess.Popen(
            [self.build / "balsampoint-engine", f"--id={name}",
             f"--listen={address}", f"--zone={zone}",
             f"--announce={announce}", *words],
            stdout=log, stderr=log)
        log.close()
        self.servers[name] = (address, process)
        return address

    def start_engines(self, zone, model, layers, stages, copies=1, **flags):
        """Starts engines that hold a model in equal stages."""
        size = layers // stages
        for copy in range(copies):
            for stage in range(stages):
                self.start_server(
                    f"{zone}-engine-{stage + 1}-{copy + 1}", zone,
                    kind="engine", model=model, model_layers=layers,
                    layer_begin=stage * size,
                    layer_end=layers if stage + 1 == stages
                    else (stage + 1) * size, **flags)

    def kill_server(self, name):
        """Ends a stand-in at once."""
        process = self.servers.pop(name)[1]
        process.kill()
        process.wait()

    def kill_host(self, host):
        """Ends a daemon at once."""
        host.process.kill()
        host.process.wait()
        host.process = None

    def wait_until(self, what, holds):
        """Waits until a condition holds; raises when it does not come true."""
        deadline = time.monotonic() + START_LIMIT_SECONDS
        while time.monotonic() < deadline:
            try:
                if holds():
                    return
            except OSError:
                pass
            time.sleep(0.05)
        raise RuntimeError(f"{what} did not come true")

    def wait_ready(self):
        """Waits until all running daemons are ready."""
        for host in self.hosts:
            if host.process is not None:
                self.wait_until(
                    f"{host.name} ready",
                    lambda: call(host.callers, "GET", "/readyz")[0] == 200)

    def stop(self):
        """Stops all processes, daemons by a planned stop first."""
        processes = [host.process for host in self.hosts
                     if host.process is not None]
        processes += [process for _, process in self.servers.values()]
        for process in processes:
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        for process in processes:
            try:
                process.wait(timeout=30)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


def build_folder():
    """The build that scripts use: BALSAMPOINT_BUILD or build/release."""
    root = pathlib.Path(__file__).resolve().parents[2]
    return pathlib.Path(os.environ.get("BALSAMPOINT_BUILD",
                                       root / "build" / "release"))
