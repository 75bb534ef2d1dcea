"""Places keyed orders through real daemons that fail; counts what was run."""

import http.client
import json
import os
import pathlib
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tools" / "local"))

from cluster import Cluster, build_folder, call  # noqa: E402

ZONES = ["colombo-a", "colombo-b", "negombo-c"]
PATH = "/services/order-desk/orders"
HEADERS = {"Authorization": "Bearer galle.example",
           "Content-Type": "application/json"}


def order(host, key, text):
    """Places an order; returns the status and the decoded answer."""
    headers = HEADERS | ({"Idempotency-Key": key} if key else {})
    status, body = call(host.callers, "POST", PATH, json.dumps({"tag": text}),
                        headers)
    return status, json.loads(body)


def executions(cluster, text):
    """How often the work of an order ran, over all servers."""
    wanted = "POST /orders " + json.dumps({"tag": text})
    total = 0
    for address, _ in cluster.servers.values():
        counts = json.loads(call(address, "GET", "/stand-in/executions")[1])
        total += counts.get(wanted, 0)
    return total


def calls(cluster):
    """Calls that reached the servers since their faults were set."""
    return sum(json.loads(call(address, "GET", "/stand-in/calls")[1])["calls"]
               for address, _ in cluster.servers.values())


def set_faults(cluster, faults):
    """Sets the faults of all servers."""
    for address, _ in cluster.servers.values():
        status, text = call(address, "POST", "/stand-in/faults", faults)
        assert status == 200, text


def check_repeats(cluster):
    """A repeat through any host gets the first answer and runs nothing."""
    first = order(cluster.hosts[0], "repeat", "cedar")
    assert first[0] == 200, first
    for host in cluster.hosts:
        assert order(host, "repeat", "cedar") == first
    assert executions(cluster, "cedar") == 1
    status, problem = order(cluster.hosts[1], "repeat", "ebony")
    assert (status, problem["kind"]) == (422, "key_reused"), problem
    assert executions(cluster, "ebony") == 0


def check_together(cluster):
    """The same order through all hosts at once runs once."""
    answers = []
    threads = [threading.Thread(
        target=lambda host=host: answers.append(order(host, "both", "teak")))
        for host in cluster.hosts * 4]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert executions(cluster, "teak") == 1
    assert all(answer == answers[0] and answer[0] == 200
               for answer in answers), answers


def check_lost_entry_host(cluster):
    """An order whose entry host dies is not run a second time."""
    victim, other = cluster.hosts[2], cluster.hosts[0]
    set_faults(cluster, "slow_ms=1500")

    def place():
        try:
            order(victim, "lost", "neem")
        except (OSError, http.client.HTTPException):
            pass

    caller = threading.Thread(target=place)
    caller.start()
    cluster.wait_until("the order to be sent", lambda: calls(cluster) == 1)
    cluster.kill_host(victim)
    caller.join()
    status, problem = order(other, "lost", "neem")
    assert status == 502 and problem["executed"] == "unknown", problem
    cluster.wait_until("the order to run",
                       lambda: executions(cluster, "neem") == 1)
    assert order(other, "lost", "neem")[0] == 502
    assert executions(cluster, "neem") == 1
    set_faults(cluster, "")


def check_lost_majority(cluster):
    """Without a majority, keyed orders are refused and others go on."""
    cluster.kill_host(cluster.hosts[1])
    alone = cluster.hosts[0]
    deadline = time.monotonic() + 10
    status, problem = order(alone, "alone", "mahua")
    assert time.monotonic() < deadline
    assert (status, problem["executed"]) == (503, "no"), problem
    assert executions(cluster, "mahua") == 0
    assert order(alone, None, "mango")[0] == 200


def main():
    port = 11000 + os.getpid() % 500 * 16
    with tempfile.TemporaryDirectory() as folder, Cluster(
            build_folder(), folder, ZONES, region="lk-west",
            base_port=port) as cluster:
        cluster.start_hosts(
            f"--configuration={ROOT / 'examples' / 'ruhunu' / 'configuration'}")
        cluster.wait_ready()
        for zone in ZONES:
            cluster.start_server(f"{zone}-desk", zone, kind="service",
                                 service="order-desk")
        for number, host in enumerate(cluster.hosts):
            cluster.wait_until(
                f"{host.name} places an order",
                lambda: order(host, f"first-{number}", "oak")[0] == 200)
        for check in (check_repeats, check_together, check_lost_entry_host,
                      check_lost_majority):
            check(cluster)
            print(f"{check.__name__}: passed", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
