"""Stops control hosts again and again, at any moment after their start.

Fails when a planned stop ends otherwise than with exit code 0.
"""

import json
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tools" / "local"))

from cluster import build_folder  # noqa: E402

SEED = 1
STOPS = 120
ADDRESSES = ["127.0.5.1", "127.0.5.2", "127.0.5.3"]
LATEST_STOP_S = 0.4
START_LIMIT_S = 15
STOP_LIMIT_S = 15


def start(folder, address):
    """Starts one control host."""
    place = folder / address
    (place / "data").mkdir(parents=True, exist_ok=True)
    settings = place / "settings.yaml"
    settings.write_text(json.dumps({
        "cluster": "stop", "host": address, "region": "local", "zone": "a",
        "listen": {"peers": f"{address}:7340", "control": f"{address}:8229"},
        "first_start": True, "data_folder": str(place / "data"),
        "seeds": [f"{seed}:8229" for seed in ADDRESSES],
        "secret": "for trials on one machine only"}) + "\n")
    with open(place / "log.txt", "ab") as log:
        return subprocess.Popen(
            [build_folder() / "balsampoint-gateway", f"--settings={settings}"],
            stdout=log, stderr=log)


def wait_until_it_listens(address):
    """Waits until a host takes connections; it awaits signals before."""
    deadline = time.monotonic() + START_LIMIT_S
    while time.monotonic() < deadline:
        try:
            socket.create_connection((address, 8229), 1).close()
            return
        except OSError:
            time.sleep(0.01)
    raise RuntimeError(f"{address} doesn't listen")


def main():
    """The test."""
    draw = random.Random(SEED)
    codes = {}
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        processes = {address: start(folder, address) for address in ADDRESSES}
        try:
            time.sleep(1)
            for _ in range(STOPS):
                address = draw.choice(ADDRESSES)
                wait_until_it_listens(address)
                time.sleep(draw.uniform(0.0, LATEST_STOP_S))
                processes[address].send_signal(signal.SIGTERM)
                code = processes[address].wait(STOP_LIMIT_S)
                codes[code] = codes.get(code, 0) + 1
                processes[address] = start(folder, address)
        finally:
            for process in processes.values():
                process.kill()
                process.wait()
    print(f"exit codes of {STOPS} planned stops: {codes}")
    return 0 if set(codes) == {0} else 1


if __name__ == "__main__":
    sys.exit(main())
