"""Kills and restarts real daemons under hundreds of changes.

Fails when an accepted change is lost, a number has two winners, a resent
change gets another answer, or a host falls back to an older configuration.
"""

import json
import pathlib
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tools" / "local"))

from cluster import Cluster, build_folder, call  # noqa: E402

KEY = "control.test"
SALT = "00112233445566778899"
ZONES = ["colombo-a", "colombo-b", "negombo-c"]
CHANGES = 300
LIMIT_SECONDS = 30


def document(number):
    """A configuration that tells its number by a workspace's weight."""
    key = {"id": "galle", "salt": SALT, "sha256": OPERATOR_HASH}
    return json.dumps({"workspaces": {"galle": {"keys": [key],
                                                "weight": number}}})


class ControlCluster(Cluster):
    """Daemons whose settings hold the operator's key of this test."""

    def write_settings(self, host):
        path = super().write_settings(host)
        settings = json.loads(path.read_text())
        settings["operator_keys"] = [{
            "id": "control",
            "salt": SALT,
            "sha256": OPERATOR_HASH,
        }]
        path.write_text(json.dumps(settings, indent=2) + "\n")
        return path


def key_hash():
    """The hash of the test's key as the settings hold it."""
    import hashlib
    return hashlib.sha256((SALT + KEY).encode()).hexdigest()


OPERATOR_HASH = key_hash()


def submit(host, number, change, content, wait_ms=0):
    """Submits one change; returns the status and the answer."""
    headers = {"Authorization": f"Bearer {KEY}",
               "X-Change-Number": str(number), "X-Change-Id": change,
               "X-Wait-Ms": str(wait_ms)}
    status, text = call(host.operators, "PUT", "/v1/configuration", content,
                        headers)
    return status, json.loads(text)


def submit_until_answered(cluster, number, change, content):
    """Resends one change to any host until it has a definite answer."""
    deadline = time.monotonic() + LIMIT_SECONDS
    turn = 0
    while time.monotonic() < deadline:
        live = [host for host in cluster.hosts if host.process is not None]
        host = live[turn % len(live)]
        turn += 1
        try:
            status, answer = submit(host, number, change, content)
        except OSError:
            continue
        if status in (200, 409):
            return status, answer
        check(status >= 500, f"change {change}: {status} {answer}")
        time.sleep(0.05)
    raise RuntimeError(f"change {change} got no answer")


def in_force(host):
    """Number of the configuration in force on a host; zero for none."""
    status, text = call(host.operators, "GET", "/v1/configuration",
                        headers={"Authorization": f"Bearer {KEY}"})
    return json.loads(text).get("number", 0) if status == 200 else 0


def leader(cluster):
    """The host that says it leads the control group."""
    for host in cluster.voters:
        if host.process is None:
            continue
        text = call(host.operators, "GET", "/v1/status/control",
                    headers={"Authorization": f"Bearer {KEY}"})[1]
        if json.loads(text).get("role") == "leader":
            return host
    return None


def check(holds, what):
    """Ends the test with a message unless a condition holds."""
    if not holds:
        raise AssertionError(what)


def restart(cluster, host):
    """Kills a daemon at once and starts it again."""
    cluster.kill_host(host)
    cluster.start_host(host)


def run(cluster):
    """The test."""
    cluster.start_hosts()
    cluster.wait_until("a leader", lambda: leader(cluster) is not None)
    observer = cluster.hosts[-1]
    for number in range(1, CHANGES + 1):
        if number % 60 == 0:
            restart(cluster, cluster.voters[number // 60 % len(ZONES)])
        if number % 100 == 50:
            restart(cluster, observer)
        status, answer = submit_until_answered(
            cluster, number, f"change-{number}", document(number))
        check(status == 200 and answer["number"] == number,
              f"change {number}: {status} {answer}")
    for host in cluster.hosts:
        cluster.wait_until(f"{host.name} has {CHANGES}",
                           lambda: in_force(host) == CHANGES)
    status, answer = submit_until_answered(
        cluster, 7, "change-7", document(7))
    check(status == 200 and answer["number"] == 7, f"resend: {answer}")
    status, answer = submit_until_answered(
        cluster, 7, "another", document(7))
    check(status == 409 and "change-7" in answer["detail"],
          f"racing change: {answer}")
    for host in cluster.hosts:
        cluster.kill_host(host)
    cluster.start_hosts()
    for host in cluster.hosts:
        cluster.wait_until(f"{host.name} has {CHANGES} again",
                           lambda: in_force(host) == CHANGES)
    status, answer = submit_until_answered(
        cluster, CHANGES, f"change-{CHANGES}", document(CHANGES))
    check(status == 200, f"resend after the restart: {answer}")
    cluster.wait_until("a leader", lambda: leader(cluster) is not None)
    waited = time.monotonic()
    status, answer = submit(cluster.hosts[-1], CHANGES + 1, "last",
                            document(CHANGES + 1), wait_ms=20000)
    check(status == 200 and not answer["in_force"]["missing"]
          and len(answer["in_force"]["hosts"]) == len(cluster.hosts),
          f"in force everywhere: {status} {answer}")
    print(f"in force on {len(cluster.hosts)} hosts after "
          f"{time.monotonic() - waited:.2f} s")


def main():
    with tempfile.TemporaryDirectory() as folder, ControlCluster(
            build_folder(), folder, ZONES, hosts_per_zone=2,
            base_port=24100) as cluster:
        start = time.monotonic()
        try:
            run(cluster)
        except (AssertionError, RuntimeError) as failure:
            print(f"FAILED: {failure}")
            for host in cluster.hosts:
                log = (host.folder / "log.txt").read_text()
                print(f"== {host.name}\n{log[-1500:]}")
            return 1
        print(f"{CHANGES + 1} changes kept over 8 restarts and one of all "
              f"hosts in {time.monotonic() - start:.1f} s")
    return 0


if __name__ == "__main__":
    sys.exit(main())
