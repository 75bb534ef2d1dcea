"""Tests of the callers' surface with real processes."""

import http.client
import json
import pathlib
import sys
import tempfile
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tools" / "local"))

from cluster import Cluster, build_folder, call, expected_text  # noqa: E402

LAYERS = 32
HEADERS = {"Authorization": "Bearer galle.example",
           "Content-Type": "application/json"}


def completion(tokens=8, **fields):
    """Body of a completion request."""
    return json.dumps({"model": "verse-pool", "prompt": "A tree",
                       "max_tokens": tokens, **fields})


class Callers(unittest.TestCase):
    """One host with two copies of two stages and a plain service."""

    @classmethod
    def setUpClass(cls):
        cls.folder = tempfile.TemporaryDirectory()
        cls.cluster = Cluster(build_folder(), cls.folder.name, ["colombo-a"],
                              region="lk-west", base_port=25000)
        cls.cluster.start_hosts(
            f"--configuration={ROOT / 'examples' / 'ruhunu' / 'configuration'}")
        cls.cluster.wait_ready()
        cls.cluster.start_engines("colombo-a", "verse", LAYERS, 2, copies=2)
        cls.desk = cls.cluster.start_server(
            "desk", "colombo-a", kind="service", service="order-desk")
        cls.host = cls.cluster.hosts[0]
        cls.cluster.wait_until(
            "answers", lambda: cls.ask(completion())[0] == 200)
        cls.cluster.wait_until(
            "orders", lambda: call(cls.host.callers, "GET",
                                   "/services/order-desk/orders",
                                   headers=HEADERS)[0] == 200)

    @classmethod
    def tearDownClass(cls):
        cls.cluster.stop()
        cls.folder.cleanup()

    @classmethod
    def ask(cls, body, headers=None, path="/v1/completions"):
        """Makes a completion call."""
        return call(cls.host.callers, "POST", path, body, headers or HEADERS)

    def refused(self, answer, status, kind):
        """Checks a refusal that promises that nothing was run."""
        self.assertEqual(answer[0], status)
        problem = json.loads(answer[1])
        self.assertEqual(problem["kind"], kind)
        self.assertEqual(problem["executed"], "no")

    def test_whole_and_streamed_answers_equal_the_arithmetic(self):
        status, text = self.ask(completion())
        self.assertEqual(status, 200)
        answer = json.loads(text)["choices"][0]["text"]
        self.assertEqual(answer, expected_text("A tree", 8, LAYERS))
        body = json.dumps({"model": "verse-pool", "max_tokens": 4,
                           "messages": [{"role": "user", "content": "hi"}]})
        status, text = self.ask(body, path="/v1/chat/completions")
        answer = json.loads(text)["choices"][0]["message"]["content"]
        self.assertEqual(answer, expected_text("user: hi\n", 4, LAYERS))

    def test_each_wrong_request_has_its_own_answer(self):
        self.refused(self.ask(completion(), {"Authorization": "Bearer x.y"}),
                     401, "unauthorized")
        self.refused(self.ask(completion(), {"X": "1"}), 401, "unauthorized")
        self.refused(self.ask("{"), 400, "bad_request")
        self.refused(self.ask(completion(temperature=1)), 400, "bad_request")
        self.refused(self.ask(completion(tokens=0)), 400, "bad_request")
        self.refused(self.ask(completion(model="none")), 404,
                     "unknown_pipeline")
        self.refused(self.ask("x" * 3_000_000), 413, "payload_too_large")
        self.refused(call(self.host.callers, "GET", "/v1/completions",
                          headers=HEADERS), 405, "method_not_allowed")
        self.refused(call(self.host.callers, "GET", "/nothing",
                          headers=HEADERS), 404, "not_found")
        self.refused(call(self.host.callers, "GET", "/services/none/x",
                          headers=HEADERS), 404, "unknown_service")
        engravers = dict(HEADERS, Authorization="Bearer engravers.example")
        self.refused(self.ask(completion(), engravers), 403, "forbidden")
        late = dict(HEADERS, **{"X-Request-Deadline-Ms": "soon"})
        self.refused(self.ask(completion(), late), 400, "bad_request")

    def test_a_caller_that_hangs_up_frees_the_engines(self):
        host, port = self.host.callers.split(":")
        connection = http.client.HTTPConnection(host, int(port))
        connection.request("POST", "/v1/completions",
                           completion(tokens=256, stream=True), HEADERS)
        connection.getresponse().read(100)
        connection.close()

        def idle():
            text = call(self.host.operators, "GET", "/v1/status/servers",
                        headers={"Authorization":
                                 "Bearer ruhunu-ops.example"})[1]
            return all(server["load"]["kv_tokens"] == 0
                       for server in json.loads(text)
                       if server["kind"] == "engine")

        self.cluster.wait_until("engines free", idle)

    def test_a_stage_killed_in_mid_answer_loses_no_token(self):
        host, port = self.host.callers.split(":")
        connection = http.client.HTTPConnection(host, int(port))
        connection.request("POST", "/v1/completions",
                           completion(tokens=200, stream=True), HEADERS)
        response = connection.getresponse()
        text = response.read(400).decode()
        self.cluster.kill_server("colombo-a-engine-1-1")
        self.cluster.kill_server("colombo-a-engine-2-2")
        text += response.read().decode()
        events = [line[6:] for line in text.splitlines()
                  if line.startswith("data: ")]
        self.assertEqual(events[-1], "[DONE]")
        tokens = "".join(json.loads(event)["choices"][0]["text"]
                         for event in events[:-1])
        self.assertEqual(tokens, expected_text("A tree", 200, LAYERS))

    def test_an_order_whose_answer_is_lost_runs_once_and_says_unknown(self):
        call(self.desk, "PUT", "/stand-in/faults", "drop_every=1")
        status, text = call(self.host.callers, "POST",
                            "/services/order-desk/orders", "{}", HEADERS)
        calls = json.loads(call(self.desk, "GET", "/stand-in/calls")[1])
        call(self.desk, "PUT", "/stand-in/faults", "")
        self.assertEqual(status, 502)
        self.assertEqual(json.loads(text)["executed"], "unknown")
        self.assertEqual(calls["calls"], 1)


if __name__ == "__main__":
    unittest.main()
