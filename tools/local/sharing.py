"""Checks on loopback that the hosts of a zone share their servers.

Engines announce themselves to one host only; drafts go through the others.
Prints the time until all hosts serve, and until none lists a server that is
lost alone or together with the host that leased it.
"""

import sys
import tempfile
import time

from cluster import Cluster, build_folder, call, expected_text
from demo import HEADERS, LAYERS, PROMPT, TOKENS, draft

ZONE = "colombo-a"
LIMIT_SECONDS = 3.0


def seconds_until(cluster, what, holds):
    """Waits for a condition and returns how long that took."""
    start = time.monotonic()
    cluster.wait_until(what, holds)
    return time.monotonic() - start


def shows(host, server):
    """Whether a host lists a server to its operators."""
    status, text = call(host.operators, "GET", "/v1/status/servers",
                        headers={"Authorization": "Bearer ruhunu-ops.example"})
    if status != 200:
        raise RuntimeError(f"{status}: {text}")
    return f'"{server}"' in text


def desk_status(host):
    """How a host answers a call to the plain service."""
    return call(host.callers, "GET", "/services/order-desk/orders",
                headers=HEADERS)[0]


def main():
    with tempfile.TemporaryDirectory() as folder, Cluster(
            build_folder(), folder, [ZONE], hosts_per_zone=4,
            base_port=23400, region="lk-west") as cluster:
        cluster.start_hosts()
        cluster.apply()
        cluster.wait_ready()
        time.sleep(3)
        only = cluster.hosts[1]
        times = {}
        cluster.start_engines(ZONE, "verse", LAYERS, stages=2,
                              announce=only.servers)
        cluster.start_server("desk", ZONE, kind="service",
                             service="order-desk", announce=only.servers)
        cluster.wait_until("the announcing host serves",
                           lambda: desk_status(only) == 200)
        times["join"] = seconds_until(cluster, "all hosts serve", lambda: all(
            desk_status(host) == 200 for host in cluster.hosts))
        if not all(shows(host, "desk") for host in cluster.hosts):
            raise RuntimeError("a host serves what it does not list")
        expected = expected_text(PROMPT, TOKENS, LAYERS)
        cluster.wait_until("all hosts draft", lambda: all(
            draft(host) == (expected, True) for host in cluster.hosts))
        cluster.kill_server("desk")
        times["loss"] = seconds_until(cluster, "no host lists it", lambda: not
                                      any(shows(host, "desk")
                                          for host in cluster.hosts))
        engine = f"{ZONE}-engine-1-1"
        cluster.kill_host(only)
        cluster.kill_server(engine)
        left = [host for host in cluster.hosts if host is not only]
        times["loss with host"] = seconds_until(
            cluster, "no host lists the engine",
            lambda: not any(shows(host, engine) for host in left))
        print({name: round(value, 2) for name, value in times.items()})
        return 0 if max(times["join"], times["loss"]) <= LIMIT_SECONDS else 1


if __name__ == "__main__":
    sys.exit(main())
