#!/usr/bin/env python3
"""Measures the HTTP path: load through a daemon beside direct calls.

Writes the figures as the benchmark programs do: --json FILE.
"""

import argparse
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "tools" / "local"))

from cluster import Cluster, build_folder, call  # noqa: E402

LAYERS = 32
STAGES = 2
TOKENS = 64
KEY = "galle.example"


def load(build, *flags):
    """Runs the load tool and returns its result."""
    output = subprocess.run(
        [build / "balsampoint-load", "--pipeline=verse-pool", "--model=verse",
         f"--layers={LAYERS}", f"--key={KEY}", *flags],
        stdout=subprocess.PIPE, check=True, text=True).stdout
    return json.loads(output)


def memory_kib(process):
    """Resident memory of a process."""
    text = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    line = next(line for line in text.splitlines() if line.startswith("VmRSS"))
    return int(line.split()[1])


def processor_seconds(process):
    """Processor time that a process has used."""
    fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text()
    fields = fields.rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class Figures:
    """Collects figures in the form of the benchmark programs."""

    def __init__(self):
        self.rows = []

    def add(self, name, value, unit, most=None, least=None, reason=""):
        holds = ((most is None or value <= most) and
                 (least is None or value >= least))
        bound = "-"
        if most is not None:
            bound = f"<= {most:g}"
        if least is not None:
            bound = f">= {least:g}"
        self.rows.append({"program": "path", "name": name, "value": value,
                          "unit": unit, "bound": bound, "holds": holds,
                          "reason": reason})


def measure(cluster, figures, idle_seconds):
    """Takes all figures of one running cluster."""
    build = cluster.build
    host = cluster.hosts[0]
    before = processor_seconds(host.process)
    time.sleep(idle_seconds)
    idle = (processor_seconds(host.process) - before) / idle_seconds
    figures.add("idle daemon", 100 * idle, "% of a core", most=0.1,
                reason="issue 3: under 0.1 % of a core")
    engines = [cluster.servers[f"{host.zone}-engine-{n + 1}-1"][0]
               for n in range(STAGES)]
    flags = [f"--tokens={TOKENS}", "--requests=100", "--rate=25"]
    direct = load(build, "--direct=" + ",".join(engines), *flags)
    through = load(build, f"--targets={host.callers}", *flags)
    for name, unit in (("first_token", "first token"),
                       ("between_tokens", "between tokens")):
        added = through[name]["p50_ms"] - direct[name]["p50_ms"]
        figures.add(f"added to {unit}, median", added, "ms",
                    most=STAGES, reason="issue 3: under 1 ms a hop")
        figures.add(f"{unit}, 95th", through[name]["p95_ms"], "ms")
    figures.add("wrong answers", direct["wrong"] + through["wrong"], "",
                most=0, reason="what must always hold")
    base = memory_kib(host.process)
    many = load(build, f"--targets={host.callers}", f"--tokens={TOKENS}",
                "--requests=400", "--rate=400")
    figures.add("streams at once", many["most_in_progress"], "", least=300,
                reason="issue 3: several hundred streams")
    figures.add("wrong or broken of 400", many["wrong"] + many["broken"], "",
                most=0, reason="what must always hold")
    figures.add("refused of 400", many["refused"], "")
    figures.add("tokens a second, 400 streams",
                many["right"] * TOKENS / many["seconds"], "1/s", least=1244,
                reason="target: 510,000 tokens/s over 410 nodes")
    figures.add("memory per stream",
                (memory_kib(host.process) - base) /
                max(1, many["most_in_progress"]), "KiB")


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--json")
    parser.add_argument("--idle-seconds", type=float, default=10)
    options = parser.parse_args()
    figures = Figures()
    with tempfile.TemporaryDirectory() as folder, Cluster(
            build_folder(), folder, ["colombo-a"], region="lk-west",
            base_port=23000) as cluster:
        cluster.start_hosts()
        cluster.apply()
        cluster.wait_ready()
        cluster.start_engines("colombo-a", "verse", LAYERS, STAGES,
                              batch=512, threads=600)
        headers = {"Authorization": f"Bearer {KEY}"}
        body = json.dumps({"model": "verse-pool", "prompt": "x",
                           "max_tokens": 1})
        cluster.wait_until("engines announced", lambda: call(
            cluster.hosts[0].callers, "POST", "/v1/completions", body,
            headers)[0] == 200)
        measure(cluster, figures, options.idle_seconds)
    for row in figures.rows:
        print(f"{row['name']}: {row['value']:.3f} {row['unit']}")
    if options.json:
        pathlib.Path(options.json).write_text(json.dumps(figures.rows))
    return 0 if all(row["holds"] for row in figures.rows) else 1


if __name__ == "__main__":
    sys.exit(main())
