"""A configuration whose engine has no layers is taken. Each entry machine that
gets a request on its route crashes, and crashes again after each start."""

import asyncio
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import fleet as fleets  # noqa: E402

# The engine of the pages' example (`PUT /config` in PROTOCOL.md).
ENGINE = {
    "slots": 192, "kv_capacity": 100000, "kv_bytes": 590000,
    "link_mbps": 400000.0, "stride": 4,
    "models": [{"name": "m", "pace": 1.0, "load_s": 14.0, "warm_s": 1.0}],
    "step_ms": 1.02, "per_seq_ms": 0.00459, "context_per_k": 0.00615,
    "read_per_s": 164000.0, "pairs_per_m": 0.199, "chunk": 512,
    "report_lag_ms": 200.0, "loads_per_s": 0.0, "loads_at_once": 6,
    "delays": [], "usual": {"prompt": 775, "answer": 220}, "layers": 80,
    "layer_mb": 1750.0, "activation_bytes": 29500, "pipe_mbps": 16000.0,
    "kinds": [{"name": "a100", "mb": 72000.0, "pace": 2.4, "read_x": 3.2}]}
# The platform starts a process again after a short delay.
RESTART_S = 0.3
JUDGED_S = 20.0


def document(fleet, layers):
    """A configuration with a plain and a model service."""
    text = json.loads(fleet.configuration())
    text["services"].append(
        {"name": "verse-pool", "health_path": "/health", "max_conns": 968,
         "protocol": "h1", "tls": False,
         "engine": dict(ENGINE, layers=layers)})
    text["routes"].append(
        dict(text["routes"][0], name="r-verse", path_prefix="/verse-pool/",
             kind="streaming", service="verse-pool", resumable=True,
             sticky=True, timeout_ms=20000, target_gap_ms=250))
    return json.dumps(text).encode()


async def supervise(fleet, ends):
    """Starts each process that ends by itself again, and counts."""
    while True:
        for machine in fleet.machines:
            if not machine.runs:
                ends.setdefault(machine.name, []).append(
                    machine.process.returncode)
                fleet.record("ended", machine=machine.name,
                             code=machine.process.returncode)
                await asyncio.sleep(RESTART_S)
                machine.start()
        await asyncio.sleep(0.02)


async def play(fleet):
    fleet.servers = [fleets.Server(fleet, "order-desk", fleets.ZONES[n % 3],
                                   n + 1) for n in range(3)]
    await fleet.start()
    await fleet.apply(document(fleet, 80))
    await asyncio.sleep(2.0)
    ends = {}
    fleet.tasks.append(asyncio.create_task(supervise(fleet, ends)))

    # The operator sends one bad configuration. Any answer is fine but one that
    # takes the processes down.
    layers = 0 if fleets.TROUBLE else 80
    reply = await fleets.call(fleet.controls[0].address, "PUT", "/config",
                              document(fleet, layers), limit_s=4.0)
    fleet.record("config", layers=layers, answer=reply.status)
    await asyncio.sleep(2.0)
    until = time.monotonic() + JUDGED_S
    while time.monotonic() < until:
        for front in fleet.fronts:
            if front.runs:
                await fleet.request(
                    front, "/verse-pool/x", "POST", b"draft",
                    fields=[("X-Model", "m"), ("X-Token-Counts", "800,172"),
                            ("X-Prompt-Prefix", "5c1e07a2:40,e4402b7d:760")])
        await asyncio.sleep(0.1)
    often = {name: len(codes) for name, codes in ends.items()
             if len(codes) >= 3}
    if len(often) >= 2:
        return (f"Fault: {often} ends of processes by themselves, codes "
                f"{sorted({code for c in ends.values() for code in c})}, after "
                f"a configuration that was answered {reply.status}")
    return None


fleets.main(__file__, play, fronts=3)
