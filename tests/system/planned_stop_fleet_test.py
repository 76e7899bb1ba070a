#!/usr/bin/env python3
"""At a planned stop of a gateway or an agent, each request that was read gets a whole answer or a refusal."""
import argparse
import json
import os
import pathlib
import re
import signal
import socket
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import fleet_test  # noqa: E402
import demo  # noqa: E402
from fleet import Fleet, call, wait_until  # noqa: E402

MAX_AGE_MS = 500  # of addresses; small_fleet() sets it
DRAIN_MS = 4000
SHORT_DRAIN_MS = 1500
LONG_STREAM = 1200  # tokens of 5 ms each: 6 s
WORK_MS = 300  # of the plain service
LARGE_WORK_MS = 1500  # of requests of 900 KB, all of which must have arrived before the first one ends
STALL_US = 5000000  # STALL_TIMEOUT_US of the gateway
TIMEOUT_S = 20


class Answer:
    """What a client got on its connection: the bytes up to the end, and the longest pause between two of them."""

    def __init__(self):
        self.bytes = b""
        self.longest_pause_s = 0.0
        self.connected = False

    @property
    def status(self):
        return int(self.bytes[9:12] or 0)

    @property
    def is_whole(self):
        """Whether the bytes end with the last chunk, or have the length that their header states."""
        head, _, body = self.bytes.partition(b"\r\n\r\n")
        stated = re.search(rb"\r\nContent-Length: (\d+)", head)
        return len(body) == int(stated.group(1)) if stated else body.endswith(b"\r\n0\r\n\r\n")

    def has(self, text):
        return text in self.bytes


def request_bytes(service, body, *headers):
    data = json.dumps(body).encode()
    lines = ["POST /v1/services/%s HTTP/1.1" % service, "Host: gateway", "X-Tenant: water",
             "Content-Length: %d" % len(data), *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + data


def connect(fleet, name="gateway-1"):
    machine = fleet.machines[name]
    return socket.create_connection((machine["address"], machine["http_port"]), timeout=TIMEOUT_S)


def receive(connection, answer, until_closed=True):
    last = time.monotonic()
    try:
        while until_closed or not answer.is_whole:
            data = connection.recv(65536)
            answer.longest_pause_s = max(answer.longest_pause_s, time.monotonic() - last)
            last = time.monotonic()
            if not data:
                break
            answer.bytes += data
    except ConnectionResetError:
        pass
    return answer


def ask(fleet, request):
    """Sends a request on a connection of its own; returns the Answer, not connected once the port is closed."""
    answer = Answer()
    try:
        with connect(fleet) as connection:
            answer.connected = True
            connection.sendall(request)
            receive(connection, answer)
    except OSError:
        pass
    return answer


class Callers:
    """Threads that send a request each; `answers` has the Answer of each by its number."""

    def __init__(self, fleet):
        self.fleet, self.answers, self.threads = fleet, {}, []

    def start(self, request):
        number = len(self.threads)

        def run():
            self.answers[number] = ask(self.fleet, request)
        self.threads.append(threading.Thread(target=run))
        self.threads[-1].start()

    def join(self):
        for thread in self.threads:
            thread.join()
        return [self.answers[number] for number in range(len(self.threads))]


class PlannedStopTest(unittest.TestCase):
    def start_fleet(self, name, drain_ms=DRAIN_MS, engines=1, service_flags=(), through_link=None):
        fleet = Fleet(OPTIONS.build, pathlib.Path(OPTIONS.work) / name)
        self.addCleanup(fleet.stop)
        flags = ("--drain-timeout-ms", str(drain_ms))
        fleet.start_platform(64 << 20, lag_ms=0)
        fleet.add_gateway("gateway-1", 1, "--endpoints-max-age-ms", str(MAX_AGE_MS), *flags)
        for number in range(engines):
            fleet.add_engine_agent(f"engine-{number}", 1, *flags)
        fleet.add_service_agent("seats-0", 1, "seats", *flags, service_flags=service_flags)
        if through_link:
            fleet.add_link_relay(through_link)
        fleet.publish_machines()
        model = fleet.make_model("script", "v1", 4 << 20, 1 << 19, seed=1)
        fleet.publish_config(demo.make_config("v1", model, ["seats-0"]))
        for agent in fleet.agents():
            wait_until(f"{agent} serves v1", lambda a=agent: fleet.serves(a, "v1"))
        fleet_test.wait_for_gateway(fleet)
        return fleet

    def begin_streams(self, fleet, count, tokens=LONG_STREAM):
        callers = Callers(fleet)
        for _ in range(count):
            callers.start(request_bytes("script", {"max_tokens": tokens}, "Connection: close"))
        wait_until("streams run", lambda: fleet.status("gateway-1")["active_requests"] == count)
        return callers

    @staticmethod
    def stop_process(fleet, name, number=signal.SIGTERM):
        """Returns (exit status, duration in s)."""
        begin = time.monotonic()
        fleet.kill(name, number)
        return fleet.processes[name].wait(timeout=3 * TIMEOUT_S), time.monotonic() - begin

    def test_a_gateway_that_stops_answers_callers_that_keep_coming(self):
        """It took new requests as long as any was in progress, so it ended only after drain-timeout-ms, and closed the
        connections of those that it had taken a moment before, which ran."""
        fleet = self.start_fleet("callers-keep-coming", service_flags=("--work-ms", str(WORK_MS)))
        callers = Callers(fleet)
        process = fleet.processes["gateway-1"]
        begin = time.monotonic()
        stopped_at = None
        while process.poll() is None:
            callers.start(request_bytes("seats", {"id": "caller-%d" % len(callers.threads)}, "Connection: close",
                                        "X-Unrepeatable: true"))
            if not stopped_at and time.monotonic() > begin + 1:
                stopped_at = time.monotonic()
                fleet.kill("gateway-1", signal.SIGTERM)
            time.sleep(0.01)
        duration_s = time.monotonic() - stopped_at
        answers = callers.join()
        runs = call(fleet.service_urls["seats-0"] + "/admin/runs")["bodies"]
        lost = [(number, runs.get("caller-%d" % number, 0)) for number, answer in enumerate(answers)
                if answer.connected and not answer.is_whole and (answer.bytes or runs.get("caller-%d" % number))]
        self.assertEqual(lost, [], "requests that ran and got no whole answer")
        self.assertLess(duration_s, DRAIN_MS / 1000)
        refused = [number for number, answer in enumerate(answers) if answer.status == 503]
        self.assertEqual([runs.get("caller-%d" % number, 0) for number in refused], [0] * len(refused))
        for number in refused:
            self.assertTrue(answers[number].has(b"X-Outcome: not-run\r\n"), answers[number].bytes)
            self.assertTrue(answers[number].has(b"Retry-After: "), answers[number].bytes)

    def test_a_stream_that_outlasts_the_drain_time_of_its_gateway_gets_its_last_line(self):
        """Its connection was closed in the middle of the stream, without the line that tells the outcome."""
        fleet = self.start_fleet("stream-outlasts-gateway", drain_ms=SHORT_DRAIN_MS)
        callers = self.begin_streams(fleet, 2)
        status, _ = self.stop_process(fleet, "gateway-1")
        self.assertEqual(status, 0)
        for answer in callers.join():
            self.assertTrue(answer.is_whole, answer.bytes[-200:])
            self.assertTrue(answer.has(b'"end":"error","outcome":"unknown"'), answer.bytes[-200:])

    def test_an_answer_of_a_gateway_that_stops_closes_its_connection(self):
        """The caller learned of the stop from a connection that closed under its next request."""
        fleet = self.start_fleet("kept-connections")
        with connect(fleet) as kept, connect(fleet) as busy:
            busy.sendall(request_bytes("script", {"max_tokens": 200}))
            wait_until("the stream runs", lambda: fleet.status("gateway-1")["active_requests"])
            fleet.kill("gateway-1", signal.SIGTERM)
            wait_until("the stop begins", lambda: fleet.status("gateway-1")["draining"])
            kept.sendall(request_bytes("seats", {"id": "kept"}))
            answer = receive(kept, Answer())
            self.assertTrue(answer.is_whole, answer.bytes)
            self.assertTrue(answer.has(b"Connection: close\r\n"), answer.bytes)
            self.assertTrue(receive(busy, Answer()).is_whole)

    def test_a_hangup_cuts_nothing(self):
        """SIGHUP killed the process. Edges and loaders read their settings at it; gateways and agents left it alone."""
        for name in ("gateway-1", "engine-0"):
            with self.subTest(name):
                fleet = self.start_fleet("hangup-" + name)
                callers = self.begin_streams(fleet, 2, tokens=200)
                fleet.kill(name, signal.SIGHUP)
                for answer in callers.join():
                    self.assertTrue(answer.has(b'"end":"done"'), answer.bytes[-200:])
                self.assertIsNone(fleet.processes[name].poll())
                fleet.stop()

    def test_answers_of_an_agent_that_stops_outlive_a_slow_link(self):
        """Answers that waited in the agent's memory for the link were discarded when the process ended, 0.1 s after the
        last run: their callers got the outcome unknown after 5 s, and could not repeat the requests."""
        fleet = self.start_fleet("slow-link", service_flags=("--work-ms", str(LARGE_WORK_MS)), through_link="seats-0")
        callers = Callers(fleet)
        for number in range(12):
            callers.start(request_bytes("seats", {"id": "%d-" % number + "z" * 900000}, "Connection: close",
                                        "X-Unrepeatable: true"))
        wait_until("they run", lambda: fleet.status("seats-0")["active_requests"] == 12)
        fleet.kill("seats-0-link", signal.SIGUSR1)  # stalls
        fleet.kill("seats-0", signal.SIGTERM)
        wait_until("all runs ended", lambda: fleet.processes["seats-0"].poll() is not None or
                   not fleet.status("seats-0")["active_requests"])
        time.sleep(MAX_AGE_MS / 1000)
        fleet.kill("seats-0-link", signal.SIGUSR1)  # goes on
        self.assertEqual([answer.status for answer in callers.join()], [200] * 12)

    def test_streams_that_outlast_the_drain_time_of_their_agent_go_on_elsewhere_at_once(self):
        """Their gateway noticed the end only by a stall of 5 s."""
        fleet = self.start_fleet("stream-outlasts-agent", drain_ms=SHORT_DRAIN_MS, engines=2)
        callers = self.begin_streams(fleet, 6)
        self.assertEqual(self.stop_process(fleet, "engine-0")[0], 0)
        for answer in callers.join():
            self.assertTrue(answer.has(b'"end":"done"'), answer.bytes[-200:])
            self.assertLess(answer.longest_pause_s, STALL_US / 1000000 / 2)


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", required=True)
    parser.add_argument("--work", required=True)
    OPTIONS, rest = parser.parse_known_args()
    unittest.main(argv=[sys.argv[0], *rest], verbosity=2)
