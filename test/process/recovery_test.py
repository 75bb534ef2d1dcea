"""Loses stages in the middle of answers of a real daemon and checks each
answer against the arithmetic of the stand-in engine."""

import json
import os
import pathlib
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tools" / "local"))

from cluster import Cluster, build_folder, call, expected_text  # noqa: E402

LAYERS = 32
TOKENS = 24
DRAFTS = 30
ZONE = "colombo-a"
PROMPT = "A remembrance tag for a tree planted in June"
HEADERS = {"Authorization": "Bearer galle.example",
           "Content-Type": "application/json"}


def draft(host, tokens=TOKENS):
    """Streams one draft; returns its text and whether it was complete."""
    body = json.dumps({"model": "verse-pool", "prompt": PROMPT,
                       "max_tokens": tokens, "stream": True})
    status, text = call(host.callers, "POST", "/v1/completions", body, HEADERS)
    if status != 200:
        return f"{status}: {text}", False
    events = [line[6:] for line in text.splitlines()
              if line.startswith("data: ")]
    tokens = [json.loads(event)["choices"][0]["text"] for event in events
              if event != "[DONE]" and "choices" in json.loads(event)]
    return "".join(tokens), bool(events) and events[-1] == "[DONE]"


def set_faults(cluster, server, faults):
    """Sets the faults of a stand-in."""
    status, text = call(cluster.servers[server][0], "POST", "/stand-in/faults",
                        faults)
    assert status == 200, text


def start(cluster):
    """Starts one host and two engines for each of three stages."""
    cluster.start_hosts()
    cluster.apply()
    cluster.wait_ready()
    cluster.start_engines(ZONE, "verse", LAYERS, stages=3, copies=2)
    cluster.wait_until("an answer", lambda: draft(cluster.hosts[0], 1)[1])


def check_drafts(cluster, done):
    """Streams drafts until something happened; each must be whole."""
    expected = expected_text(PROMPT, TOKENS, LAYERS)
    for number in range(DRAFTS):
        text, whole = draft(cluster.hosts[0])
        assert whole and text == expected, f"draft {number}: {text} {whole}"
        if done():
            return
    raise AssertionError("the fault did not come about")


def check_killed_stage(cluster):
    """A stage whose process ends at its tenth call."""
    name = f"{ZONE}-engine-2-1"
    set_faults(cluster, name, "die_at=10")
    check_drafts(cluster, lambda: cluster.servers[name][1].poll() is not None)


def check_hanging_stage(cluster):
    """A stage that takes calls and doesn't answer from its tenth call on."""
    name = f"{ZONE}-engine-1-1"
    set_faults(cluster, name, "hang_at=10")

    def hung():
        status, text = call(cluster.servers[name][0], "GET", "/stand-in/calls")
        return status == 200 and json.loads(text).get("calls", 0) >= 10

    check_drafts(cluster, hung)
    set_faults(cluster, name, "")


def check_crossed_replies(cluster):
    """A stage that now and then gives the answer of an earlier call."""
    name = f"{ZONE}-engine-3-1"
    set_faults(cluster, name, "cross_every=7")

    def crossed():
        status, text = call(cluster.servers[name][0], "GET", "/stand-in/calls")
        return status == 200 and json.loads(text).get("calls", 0) >= 20

    check_drafts(cluster, crossed)


def check_lost_range(cluster):
    """The last server of a range: an honest end, never a complete one."""
    cluster.kill_server(f"{ZONE}-engine-2-2")
    text, whole = draft(cluster.hosts[0])
    assert not whole, text


def main():
    port = 23000 + os.getpid() % 500 * 16
    with tempfile.TemporaryDirectory() as folder, Cluster(
            build_folder(), folder, [ZONE], region="lk-west",
            base_port=port) as cluster:
        start(cluster)
        for check in (check_killed_stage, check_hanging_stage,
                      check_crossed_replies, check_lost_range):
            check(cluster)
            print(f"{check.__name__}: passed", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
