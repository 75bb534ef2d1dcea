"""Runs one draft and one order through three zones and checks both."""

import json
import sys
import tempfile

from cluster import Cluster, build_folder, call, expected_text

LAYERS = 32
TOKENS = 16
PROMPT = "A remembrance tag for a tree planted in June"
HEADERS = {"Authorization": "Bearer galle.example",
           "Content-Type": "application/json"}


def draft(host):
    """Streams one draft; returns its text and whether it was complete."""
    body = json.dumps({"model": "verse-pool", "prompt": PROMPT,
                       "max_tokens": TOKENS, "stream": True})
    status, text = call(host.callers, "POST", "/v1/completions", body, HEADERS)
    if status != 200:
        raise RuntimeError(f"{status}: {text}")
    events = [line[6:] for line in text.splitlines()
              if line.startswith("data: ")]
    tokens = [json.loads(event)["choices"][0]["text"]
              for event in events if event != "[DONE]"]
    return "".join(tokens), events[-1] == "[DONE]"


def main():
    zones = ["colombo-a", "colombo-b", "negombo-c"]
    with tempfile.TemporaryDirectory() as folder, Cluster(
            build_folder(), folder, zones, region="lk-west") as cluster:
        cluster.start_hosts()
        cluster.apply()
        print(cluster.last_output.strip())
        cluster.wait_ready()
        for zone in zones:
            cluster.start_engines(zone, "verse", LAYERS, stages=2)
            cluster.start_server(f"{zone}-desk", zone, kind="service",
                                 service="order-desk")
        expected = expected_text(PROMPT, TOKENS, LAYERS)
        for host in cluster.hosts:
            cluster.wait_until(
                f"{host.name} has servers",
                lambda: call(host.callers, "GET", "/services/order-desk/orders",
                             headers=HEADERS)[0] == 200)
            cluster.wait_until(f"{host.name} answers",
                               lambda: draft(host)[1])
            text, whole = draft(host)
            print(f"{host.name}: {text}", "[DONE]" if whole else "[BROKEN]")
            if text != expected or not whole:
                print(f"expected: {expected}")
                return 1
        status, text = call(cluster.hosts[0].callers, "POST",
                            "/services/order-desk/orders",
                            json.dumps({"tag": "brass"}), HEADERS)
        print(f"order: {status} {text}")
        keyed = dict(HEADERS, **{"Idempotency-Key": "order-1"})
        answers = {call(host.callers, "POST", "/services/order-desk/orders",
                        json.dumps({"tag": "oak"}), keyed)
                   for host in cluster.hosts}
        print(f"one key through {len(cluster.hosts)} hosts: {answers}")
        return 0 if status == 200 and len(answers) == 1 else 1


if __name__ == "__main__":
    sys.exit(main())
