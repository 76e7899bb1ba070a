#!/usr/bin/env python3
"""System tests of complete fleets of real processes: the demonstration's checks, invalid input, and kills.

Every wait is for a condition; nothing is asserted about time.
"""
import argparse
import json
import pathlib
import signal
import ssl
import subprocess
import sys
import unittest
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "scripts"))
import demo  # noqa: E402
from fleet import Fleet, call, wait_until  # noqa: E402

OPTIONS = argparse.Namespace(build="build/release", work="build/system", seconds=6, rate=20)


def post(url, body, headers):
    """Sends a POST request; returns (status, headers, text), also for error statuses."""
    request = urllib.request.Request(url, data=body, headers=headers, method="POST")
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    try:
        with opener.open(request, timeout=20) as response:
            return response.status, response.headers, response.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.headers, error.read().decode()


def small_fleet(name, engines=2, through_link=None, origin_rate=64 << 20, flags=(),
                agent_flags=()):
    """Starts one gateway, some engines and one plain service; v1 is served when this returns."""
    fleet = Fleet(OPTIONS.build, pathlib.Path(OPTIONS.work) / name)
    fleet.start_platform(origin_rate, lag_ms=0)
    fleet.add_gateway("gateway-1", 1, "--endpoints-max-age-ms", "500", *flags)
    for number in range(engines):
        fleet.add_engine_agent(f"engine-{number}", 1, *flags, *agent_flags)
    fleet.add_service_agent("seats-0", 1, "seats", *flags)
    if through_link:
        fleet.add_link_relay(through_link)
    fleet.publish_machines()
    model = fleet.make_model("script", "v1", 4 << 20, 1 << 19, seed=1)
    fleet.publish_config(demo.make_config("v1", model, fleet.agents(engines=False)))
    for agent in fleet.agents():
        wait_until(f"{agent} serves v1", lambda a=agent: fleet.serves(a, "v1"))
    wait_for_gateway(fleet)
    return fleet


def start_streams(fleet, seconds):
    """Starts a load of long streams whose tokens are verified."""
    fleet.start_load("load", "script", "--tenants", "water", "--rate", "20", "--seconds", str(seconds),
                     "--tokens", "60", "--verify")


def wait_for_gateway(fleet):
    """Waits until the gateway has joined and knows of all agents, which happens at no particular time."""
    url = fleet.http("gateway-1")
    wait_until("the gateway routes to the model", lambda: post(
        url + "/v1/services/script", b'{"max_tokens": 1}', {"X-Tenant": "water"})[0] == 200)
    wait_until("the gateway routes to the service", lambda: post(
        url + "/v1/services/seats", b'{"id": "first"}', {"X-Tenant": "water"})[0] == 200)
    wait_until("the ticket names the home", lambda: ".0-" not in call(
        url + "/v1/endpoints?service=seats")["ticket"])


class FleetTestCase(unittest.TestCase):
    """A test with a fleet of its own, which is stopped after the test."""

    def start_fleet(self, name, **options):
        fleet = small_fleet(name, **options)
        self.addCleanup(fleet.stop)
        return fleet

    def check_streams(self, fleet, *more, seconds=60):
        """Checks the report of start_streams(): no violation, and no outcome of `more`, but done streams."""
        report = fleet.load_report("load", seconds=seconds)
        for verdict in ("lost", "cut", "doubled", "mixed", *more):
            self.assertEqual(report["outcomes"][verdict], 0, report)
        self.assertGreater(report["outcomes"]["done"], 0)


class DemonstrationTest(unittest.TestCase):
    def test_nothing_is_lost_doubled_cut_or_mixed(self):
        summary = demo.run(argparse.Namespace(**{**vars(OPTIONS), "work": OPTIONS.work + "/demo"}))
        self.assertEqual(summary["violations"], 0, summary)
        self.assertGreater(summary["requests"]["done"], 0)
        self.assertEqual(summary["chunk_sources"]["rejected"], 0)


class CallerTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = small_fleet("caller")
        cls.url = cls.fleet.http("gateway-1")

    @classmethod
    def tearDownClass(cls):
        cls.fleet.stop()

    def expect(self, status, path, body, headers):
        got, answer_headers, text = post(self.url + path, body, headers)
        self.assertEqual(got, status, text)
        self.assertEqual(answer_headers["X-Outcome"], "not-run", text)

    def test_bad_input_gets_a_clear_refusal(self):
        good = {"X-Tenant": "water"}
        self.expect(400, "/v1/services/script", b"{}", {})
        self.expect(403, "/v1/services/script", b"{}", {"X-Tenant": "nobody"})
        self.expect(404, "/v1/services/nothing", b"{}", good)
        self.expect(400, "/v1/services/script", b"not json", good)
        self.expect(400, "/v1/services/script", b"{}", {**good, "X-Priority": "12"})
        self.expect(400, "/v1/services/script", b"{}", {**good, "X-Timeout-Ms": "-1"})
        self.expect(400, "/v1/services/" + "x" * 100, b"{}", good)
        status, _, _ = post(self.url + "/v1/services/script", b"x" * (2 << 20), good)
        self.assertEqual(status, 413)
        # The listener answers and closes before it has read everything, and the reset may drop the answer.
        wait_until("oversized headers get an answer", lambda: post(
            self.url + "/v1/services/script", b"{}", {**good, "X-Long": "y" * 40000})[0] == 431)
        self.assertGreaterEqual(self.fleet.counters("gateway-1")["shuntrun_bad_requests_total"], 5)
        self.assertIsNone(self.fleet.processes["gateway-1"].poll())

    def test_a_repeated_key_runs_once_and_gets_the_kept_answer(self):
        ticket = call(self.url + "/v1/endpoints?service=seats")["ticket"]
        headers = {"X-Tenant": "water", "Idempotency-Key": ticket + "~hold-1"}
        first = post(self.url + "/v1/services/seats", b'{"id": "hold-1"}', headers)
        second = post(self.url + "/v1/services/seats", b'{"id": "hold-1"}', headers)
        self.assertEqual((first[0], second[0]), (200, 200), (first, second))
        self.assertEqual(first[2], second[2])
        self.assertEqual(second[1]["X-Replayed"], "true")
        runs = call(self.fleet.service_urls["seats-0"] + "/admin/runs")["bodies"]
        self.assertEqual(runs["hold-1"], 1)

    def test_a_ticket_of_an_earlier_incarnation_is_refused(self):
        ticket = call(self.url + "/v1/endpoints?service=seats")["ticket"]
        self.fleet.kill("seats-0")
        self.fleet.processes["seats-0"].wait()
        self.fleet.start_node("seats-0")
        fresh = wait_until("a ticket of the new incarnation", lambda: (
            lambda now: now if now != ticket else None)(
                call(self.url + "/v1/endpoints?service=seats").get("ticket")))
        old = post(self.url + "/v1/services/seats", b'{"id": "old"}',
                   {"X-Tenant": "water", "Idempotency-Key": ticket + "~old"})
        self.assertEqual(old[0], 503, old)
        self.assertEqual(old[1]["X-Outcome"], "not-run")

        def fresh_key_runs():
            answer = post(self.url + "/v1/services/seats", b'{"id": "new"}',
                          {"X-Tenant": "water", "Idempotency-Key": fresh + "~new"})
            return answer[0] == 200
        wait_until("a fresh key runs", fresh_key_runs)
        runs = call(self.fleet.service_urls["seats-0"] + "/admin/runs")["bodies"]
        self.assertNotIn("old", runs)
        self.assertEqual(runs["new"], 1)


class FailureTest(FleetTestCase):
    def test_streams_outlive_a_killed_agent(self):
        fleet = self.start_fleet("kill", engines=3)
        start_streams(fleet, seconds=4)
        wait_until("requests run", lambda: fleet.status("engine-0")["active_requests"])
        fleet.kill("engine-0")
        self.check_streams(fleet)

    def test_a_frozen_agent_does_not_run_what_came_before_it_woke(self):
        fleet = self.start_fleet("freeze", engines=1)
        url = fleet.http("gateway-1")
        ticket = call(url + "/v1/endpoints?service=seats")["ticket"]
        fleet.kill("seats-0", signal.SIGSTOP)
        answer = post(url + "/v1/services/seats", b'{"id": "frozen"}',
                      {"X-Tenant": "water", "Idempotency-Key": ticket + "~frozen",
                       "X-Timeout-Ms": "2500"})
        self.assertIn(answer[1]["X-Outcome"], ("unknown", "not-run"), answer)
        fleet.kill("seats-0", signal.SIGCONT)
        wait_until("the agent answers again", lambda: fleet.status("seats-0"))
        wait_until("its gateway knows of it again", lambda: post(
            url + "/v1/services/seats", b'{"id": "later"}',
            {"X-Tenant": "water", "Idempotency-Key": ticket + "~later"})[0] == 200)
        runs = call(fleet.service_urls["seats-0"] + "/admin/runs")["bodies"]
        self.assertNotIn("frozen", runs)


class LinkTest(FleetTestCase):
    """Link faults between gateways and an agent: a stall without a close, and a cut."""

    def run_load(self, name, number):
        fleet = self.start_fleet(name, engines=3, through_link="engine-0")
        start_streams(fleet, seconds=4)
        wait_until("requests run", lambda: fleet.status("engine-0")["active_requests"])
        fleet.kill("engine-0-link", number)
        self.check_streams(fleet, seconds=120)

    def test_answers_outlive_a_link_that_stalls_without_closing(self):
        self.run_load("stalled-link", signal.SIGUSR1)

    def test_answers_outlive_a_link_that_is_cut(self):
        self.run_load("cut-link", signal.SIGUSR2)


class TlsTest(unittest.TestCase):
    def test_callers_may_use_tls(self):
        directory = pathlib.Path(OPTIONS.work) / "tls"
        directory.mkdir(parents=True, exist_ok=True)
        certificate, key = directory / "certificate.pem", directory / "key.pem"
        subprocess.run(["openssl", "req", "-x509", "-newkey", "rsa:2048", "-nodes", "-days", "2",
                        "-subj", "/CN=gateway", "-keyout", str(key), "-out", str(certificate)],
                       check=True, capture_output=True)
        fleet = Fleet(OPTIONS.build, directory)
        try:
            fleet.start_platform(64 << 20, lag_ms=0)
            fleet.add_gateway("gateway-1", 1, "--tls-certificate-file", str(certificate),
                              "--tls-key-file", str(key))
            context = ssl.create_default_context(cafile=str(certificate))
            context.check_hostname = False
            opener = urllib.request.build_opener(
                urllib.request.ProxyHandler({}), urllib.request.HTTPSHandler(context=context))
            address = fleet.http("gateway-1").replace("http://", "https://")
            answer = wait_until("the gateway answers over TLS",
                                lambda: opener.open(address + "/healthz", timeout=5).read())
            self.assertEqual(answer, b"ok\n")
        finally:
            fleet.stop()


class KeysTest(FleetTestCase):
    """Encrypted links: keys are rotated under traffic, and a peer with other keys is rejected."""

    @staticmethod
    def new_key(slot):
        text = subprocess.run([OPTIONS.build + "/shuntrun", "keys"], capture_output=True, text=True,
                              check=True).stdout
        return slot + text.splitlines()[0][1:]

    def wait_for_keys(self, fleet, times):
        for name in fleet.machines:
            log = fleet.work / f"{name}.log"
            wait_until(f"{name} read its keys", lambda: log.read_text().count(
                "event=keys_changed") >= times)

    def test_keys_are_exchanged_without_a_stop(self):
        directory = pathlib.Path(OPTIONS.work) / "keys"
        directory.mkdir(parents=True, exist_ok=True)
        path = directory / "control.keys"
        first, second = self.new_key("a"), self.new_key("b")
        path.write_text(f"{first}\nuse a\n")
        fleet = self.start_fleet("keys", flags=("--control-keys-file", str(path)))
        start_streams(fleet, seconds=6)
        path.write_text(f"{first}\n{second}\nuse a\n")
        self.wait_for_keys(fleet, 1)
        path.write_text(f"{first}\n{second}\nuse b\n")
        self.wait_for_keys(fleet, 2)
        self.check_streams(fleet, "unknown")

        other = directory / "other.keys"
        other.write_text(f"{self.new_key('b')}\nuse b\n")
        fleet.add_engine_agent("unknown", 1, "--control-keys-file", str(other))
        wait_until("the unknown peer is rejected", lambda: any(
            fleet.counters(name)["shuntrun_links_rejected_total"]
            for name in fleet.machines if name != "unknown"))
        self.assertEqual(fleet.status("unknown")["live_peers"], 0)
        logs = "".join(log.read_text() for log in directory.glob("*.log"))
        for secret in (first.split()[2], second.split()[2]):
            self.assertNotIn(secret, logs)


class RolloutTest(FleetTestCase):
    def test_two_models_reach_the_same_machines_at_once(self):
        fleet = self.start_fleet("two-models", engines=3)
        models = [fleet.make_model(name, "v9", 6 << 20, 1 << 18, seed=seed)
                  for name, seed in (("script", 5), ("lobby", 6))]
        config = demo.make_config("v9", models[0], ["seats-0"])
        config["models"][0]["accelerators"] = 4
        config["models"].append({"name": "lobby", "version": "v9", "accelerators": 4,
                                 "manifest": models[1]["manifest"], "bytes": models[1]["bytes"]})
        fleet.publish_config(config)
        for agent in fleet.agents():
            wait_until(f"{agent} serves both", lambda a=agent: {"script", "lobby"} == {
                ready["model"] for ready in fleet.status(a)["ready"]
                if ready["version"] == "v9"})
        stats = call(fleet.origin_url + "/admin/stats")
        self.assertEqual(stats["chunk_bytes"], (4 << 20) + 2 * (6 << 20))

    def test_chunks_are_released_and_fetched_again_when_an_engine_restarts(self):
        fleet = self.start_fleet("release", engines=2, agent_flags=("--weights-keep-ms", "300"))
        for agent in fleet.agents():
            wait_until(f"{agent} released its chunks", lambda a=agent: fleet.counters(a)[
                "shuntrun_chunk_memory_bytes"] < 1 << 19)
            self.assertTrue(fleet.serves(agent, "v1"))
        fleet.kill("engine-0-engine")
        fleet.processes["engine-0-engine"].wait()
        wait_until("the lost engine is noticed", lambda: not fleet.serves("engine-0", "v1"))
        fleet.restart_standin("engine-0-engine")
        wait_until("engine-0 serves again", lambda: fleet.serves("engine-0", "v1"))

    def test_a_version_that_changes_in_flight_is_abandoned(self):
        fleet = self.start_fleet("change", engines=3, origin_rate=4 << 20)
        second, third = (fleet.make_model("script", version, 8 << 20, 1 << 18, seed=seed)
                         for version, seed in (("v2", 7), ("v3", 8)))
        fleet.publish_config(demo.make_config("v2", second, ["seats-0"]))
        wait_until("v2 is in flight", lambda: any(
            rollout["version"] == "v2" and 0 < rollout["held"] < rollout["chunks"]
            for rollout in fleet.status("engine-0")["rollouts"]))
        fleet.publish_config(demo.make_config("v3", third, ["seats-0"]))
        for agent in fleet.agents():
            wait_until(f"{agent} serves v3", lambda a=agent: fleet.serves(a, "v3"))
            self.assertFalse(fleet.serves(agent, "v2"))


class PolicyTest(unittest.TestCase):
    def test_many_processes_place_alike(self):
        directory = pathlib.Path(OPTIONS.work) / "placement"
        directory.mkdir(parents=True, exist_ok=True)
        program = (ROOT / "policies" / "harrowgate.lua").read_text().splitlines()
        machines = [{"name": f"m{n}", "role": "agent", "zone": f"z{n % 5}", "region": f"r{n % 2}",
                     "address": f"10.0.0.{n + 1}", "accelerators": 8,
                     "pool": "preemptible" if n % 3 else "reserved"} for n in range(60)]
        configs = [{"models": [{"name": "m", "version": v, "manifest": d * 64, "bytes": 1000,
                                "replicas": 20}], "policy": program} for v, d in (("1", "a"), ("2", "b"))]
        files = [directory / name for name in ("old.json", "new.json", "machines.json")]
        for file, value in zip(files, configs + [{"machines": machines}]):
            file.write_text(json.dumps(value))
        command = [OPTIONS.build + "/shuntrun", "plan", str(files[0]), str(files[1]), "--machines",
                   str(files[2]), "--output", "json"]
        outputs = set()
        for locale in ("C", "C.UTF-8", "de_DE.UTF-8", "tr_TR.UTF-8") * 6:
            result = subprocess.run(command, capture_output=True, check=True,
                                    env={"LC_ALL": locale, "LANG": locale})
            outputs.add(result.stdout)
        self.assertEqual(len(outputs), 1)
        self.assertIn(b'"load": 20', outputs.pop())


class SettingsTest(unittest.TestCase):
    def test_tools_refuse_values_that_they_do_not_know(self):
        for arguments in (["check", "--output", "yaml", "x"], ["check", "--role", "other", "x"],
                          ["plan", "--output", "yaml"], ["status", "--output", "yaml", "x"],
                          ["simulate", "--output", "yaml"]):
            result = subprocess.run([OPTIONS.build + "/shuntrun", *arguments], capture_output=True,
                                    text=True, check=False)
            self.assertEqual(result.returncode, 2, arguments)
            self.assertIn(arguments[1], result.stderr)

    def test_wrong_flags_end_with_status_2_and_all_findings(self):
        result = subprocess.run([OPTIONS.build + "/shuntrun", "agent", "--http-port", "x",
                                 "--address", "127.0.0.1"], capture_output=True, text=True,
                                check=False)
        self.assertEqual(result.returncode, 2)
        self.assertIn("--http-port: error:", result.stderr)
        self.assertIn("name: error: required setting is missing", result.stderr)


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", required=True)
    parser.add_argument("--work", required=True)
    parsed, rest = parser.parse_known_args()
    OPTIONS.build, OPTIONS.work = parsed.build, parsed.work
    unittest.main(argv=[sys.argv[0], *rest], verbosity=2)
