#!/usr/bin/env python3
"""An answer without a length that a crash cut off does not look complete.

Failure: a back end was killed while it sent an answer that has no length. Its kernel closed the connection in order,
and the gateway took that for the end of the answer: the client got 200, the seal of the back end, and half a body
with a length that fitted it. Streams were checked for the death of their back end within 50 ms, which a listening
socket that outlives its process hides; failures with a seal were not checked.
Evidence: the gateway's log lines `event=unframed-end` with `body_bytes` below what the back end meant to send, and a
later start of the back end at the same address.
"""
import http.client
import os
import queue
import signal
import socket
import subprocess
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_standin as standin  # noqa: E402
import platform_test as platform  # noqa: E402
import process_backend as backend  # noqa: E402

STEP_TIMEOUT_S = 10
ACCEPT_AFTER_S = 0.4  # of a start that takes over the listening socket of the one before
DEADLINE_MS = 6000
SHORT_DEADLINE_MS = 2000
HOLD_S = 1.0  # for which health checks are held
MAX_CRASHES_PER_REQUEST = 6  # crashes to block, and those of requests in transit
REASON = b"several back ends ended"  # in the refusal of a blocked request


class Process:
    """Starts of process_backend.py at one address, one after the other."""

    def __init__(self, host, store, has_own_listener=True):
        self.host, self.store = host, store
        self.starts = 0
        self.listener = None if has_own_listener else self.listen()
        self.start()

    def listen(self):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self.host, platform.ENGINE_PORT))
        listener.listen(128)
        return listener

    def start(self, accept_after_s=0.0, listed=True):
        self.starts += 1
        self.identity = "process-%s-%d" % (self.host, self.starts)
        descriptor = self.listener.fileno() if self.listener else -1
        script = os.path.join(os.path.dirname(os.path.abspath(__file__)), "process_backend.py")
        self.process = subprocess.Popen(
            [sys.executable, script, self.host, str(platform.ENGINE_PORT), self.identity, str(descriptor),
             str(accept_after_s)], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True,
            pass_fds=[descriptor] if self.listener else [])
        self.lines = queue.Queue()
        threading.Thread(target=self.read_lines, args=(self.process, self.lines), daemon=True).start()
        if not accept_after_s:
            self.await_line("listens")
        if listed:
            self.list()

    @staticmethod
    def read_lines(process, lines):
        with process.stdout:
            for line in process.stdout:
                lines.put(line.strip())

    def list(self):
        self.store.put("servers/" + self.identity, {
            "service": "records", "address": "%s:%d" % (self.host, platform.ENGINE_PORT), "zone": "zone-a",
            "version": "v1", "slots": 16, "state": "ready", "cold_remaining_ms": 0, "sequence": 1})

    def await_line(self, begin):
        while not self.lines.get(timeout=STEP_TIMEOUT_S).startswith(begin):
            pass

    def order(self, text):
        self.process.stdin.write(text + "\n")
        self.process.stdin.flush()

    def kill(self):
        self.process.kill()
        self.process.wait()
        self.process.stdin.close()

    def take_over(self):
        """Kills the process; the next start takes its listening socket at once, but needs a while until it accepts, and
        is listed only then."""
        before = self.identity
        self.kill()
        self.start(ACCEPT_AFTER_S, listed=False)
        self.await_line("listens")
        self.list()
        self.store.remove("servers/" + before)

    def restart(self):
        self.store.remove("servers/" + self.identity)
        self.start()

    def close(self):
        if self.process.returncode is None:
            self.kill()
        if self.listener:
            self.listener.close()


class Caller(threading.Thread):
    """One request, sent through the first gateway."""

    COUNT = [0]

    def __init__(self, method, path, deadline_ms=DEADLINE_MS):
        super().__init__(daemon=True)
        self.COUNT[0] += 1
        self.identity = "unframed-%d" % self.COUNT[0]
        self.method, self.path, self.deadline_ms = method, path, deadline_ms
        self.status, self.headers, self.body, self.error = None, {}, b"", None
        self.connection = http.client.HTTPConnection(platform.EDGE_IPS[0], platform.CLIENT_PORT, timeout=10)
        self.start()

    def run(self):
        try:
            self.connection.request(self.method, self.path, b"x" if self.method == "POST" else None, {
                "Host": "a.example", "Shuntrun-Request-Id": self.identity, "Authorization": "Bearer key-a",
                "Shuntrun-Deadline-Ms": str(self.deadline_ms)})
            response = self.connection.getresponse()
            self.status, self.headers = response.status, dict(response.getheaders())
            self.body = response.read()
        except (OSError, http.client.HTTPException) as error:
            self.error = error
        finally:
            self.connection.close()

    def leave(self):
        self.connection.sock.shutdown(socket.SHUT_RDWR)

    @property
    def expected(self):
        is_stream = self.path.startswith("/stream/")
        return backend.whole_stream(self.identity) if is_stream else backend.whole_answer(self.identity)

    @property
    def is_whole(self):
        return self.error is None and self.body == self.expected

    @property
    def looks_whole(self):
        """Whether the client takes it for an answer of the back end, complete by its framing."""
        return self.error is None and "Shuntrun-Response-Seal" in self.headers


def configuration(version=1, resumable=False):
    value = platform.configuration(version)
    for route in value["routes"]:
        route["timeout_ms"] = DEADLINE_MS
        if route["name"] == "stream":
            route.update(service="records", resumable=resumable)
    return value


class Fleet(unittest.TestCase):
    """Two gateways, and back ends of one service that are processes."""

    LISTENER_OUTLIVES = False
    RESUMABLE = False

    def setUp(self):
        self.store = standin.Store(platform.STORE)
        self.addCleanup(self.store.server.server_close)
        self.addCleanup(self.store.server.shutdown)
        self.backend = self.start_backend(0)
        self.store.put("op/config", configuration(resumable=self.RESUMABLE))
        self.gateways = [platform.edge(address) for address in platform.EDGE_IPS]
        for gateway in self.gateways:
            self.addCleanup(gateway.stop)
        platform.wait_for(lambda: platform.get(platform.EDGE_IPS[0], platform.READY_PORT, "/api/readiness")[0] == 200,
                          "a ready gateway")
        platform.wait_for(self.is_served, "an answer")

    def start_backend(self, number):
        process = Process(platform.PLAIN_IPS[number], self.store, not self.LISTENER_OUTLIVES)
        self.addCleanup(process.close)
        return process

    def is_served(self):
        caller = Caller("GET", "/get/first")
        caller.join()
        return caller.status == 200

    def ask_held(self, method, path):
        """Sends a request; returns when the back end holds its answer."""
        caller = Caller(method, path)
        self.backend.await_line("held " + caller.identity)
        return caller

    def ask_unproved(self, method="POST", path="/put/1", **options):
        """Sends a request; returns when its whole answer has ended and its back end was asked whether it lives."""
        self.backend.order("health hold")
        caller = Caller(method, path, **options)
        self.backend.await_line("ends " + caller.identity)
        self.backend.await_line("health")
        return caller

    def assert_whole(self, caller, status=200):
        caller.join()
        self.assertEqual((caller.error, caller.status), (None, status))
        self.assertTrue(caller.is_whole, caller.body[-60:])

    def assert_not_taken_for_whole(self, caller):
        caller.join()
        self.assertFalse(caller.looks_whole, "%s %s: %s, %d of %d bytes" % (
            caller.method, caller.path, caller.status, len(caller.body), len(caller.expected)))


class Kills(Fleet):
    """The process is killed, and connects are refused."""

    def end(self):
        self.backend.kill()

    def test_a_plain_answer_that_a_crash_cut_off_is_no_success(self):
        caller = self.ask_held("POST", "/put/half")
        self.end()
        self.assert_not_taken_for_whole(caller)
        self.assertEqual(caller.status, 502)

    def test_a_repeatable_request_whose_answer_a_crash_cut_off_is_no_success(self):
        caller = self.ask_held("GET", "/get/half")
        self.end()
        self.assert_not_taken_for_whole(caller)

    def test_answers_that_a_crash_cut_off_beside_others_are_no_successes(self):
        callers = [self.ask_held("POST", "/put/half/%d" % n) for n in range(5)]
        self.end()
        for caller in callers:
            self.assert_not_taken_for_whole(caller)

    def test_a_stream_that_a_crash_cut_off_between_events_does_not_end_in_order(self):
        caller = self.ask_held("POST", "/stream/half")
        self.end()
        self.assert_not_taken_for_whole(caller)

    def test_a_failure_that_a_crash_cut_off_is_not_the_failure_of_the_back_end(self):
        caller = self.ask_held("POST", "/put/half/failure")
        self.end()
        self.assert_not_taken_for_whole(caller)


class ListenerOutlives(Kills):
    """The process is killed, but connects are accepted; the next start answers them."""

    LISTENER_OUTLIVES = True

    def end(self):
        self.backend.take_over()


class Living(Fleet):
    def test_answers_of_a_back_end_that_lives_are_whole(self):
        for method, path, status in (("POST", "/put/1", 200), ("GET", "/get/1", 200), ("POST", "/stream/1", 200),
                                     ("POST", "/put/failure", 500)):
            self.assert_whole(Caller(method, path), status)

    def test_a_request_that_must_not_repeat_waits_for_the_proof(self):
        caller = self.ask_unproved()
        time.sleep(HOLD_S)
        self.backend.order("health answer")
        self.assert_whole(caller)

    def test_a_rejected_health_check_proves_neither_life_nor_death(self):
        self.backend.order("health reject")
        caller = Caller("POST", "/put/1")
        for _ in range(2):
            self.backend.await_line("health")
        self.backend.order("health answer")
        self.assert_whole(caller)

    def test_a_back_end_that_says_in_a_health_check_that_it_leaves_gets_nothing_more(self):
        self.backend.order("health leave")
        self.assert_whole(Caller("POST", "/put/1"))
        caller = Caller("POST", "/put/2")
        caller.join()
        self.assertEqual((caller.error, caller.status), (None, 503))

    def test_a_repeatable_request_without_proof_goes_to_another_back_end(self):
        caller = self.ask_unproved("GET", "/get/1")
        other = self.start_backend(1)
        other.await_line("runs " + caller.identity)
        self.assert_whole(caller)

    def test_a_request_without_proof_has_run_at_its_deadline(self):
        caller = self.ask_unproved(deadline_ms=SHORT_DEADLINE_MS)
        caller.join()
        self.assertEqual((caller.error, caller.status), (None, 504))

    def test_a_client_that_leaves_during_the_check_harms_nobody(self):
        caller = self.ask_unproved()
        caller.leave()
        caller.join()
        self.backend.order("health answer")
        self.assert_whole(Caller("POST", "/put/1"))

    def test_a_configuration_during_the_check_changes_nothing_for_the_request(self):
        caller = self.ask_unproved()
        changed = configuration(2)
        changed["routes"] = [route for route in changed["routes"] if route["name"] != "put"]
        self.store.put("op/config", changed)
        platform.wait_for(lambda: platform.send_request("POST", "/put/1", b"x").status == 404, "the configuration")
        self.backend.order("health answer")
        self.assert_whole(caller)

    def test_a_gateway_that_stops_during_the_check_ends_it_first(self):
        caller = self.ask_unproved()
        self.gateways[0].process.send_signal(signal.SIGTERM)
        time.sleep(HOLD_S)
        self.backend.order("health answer")
        self.assert_whole(caller)
        self.assertEqual(self.gateways[0].process.wait(timeout=STEP_TIMEOUT_S), 0)


class Resumed(Fleet):
    RESUMABLE = True

    def test_a_stream_of_which_only_the_end_is_missing_is_resumed_to_its_end(self):
        caller = self.ask_held("POST", "/stream/late")
        other = self.start_backend(1)
        self.backend.kill()
        other.await_line("held " + caller.identity)
        other.order("finish")
        self.assert_whole(caller)


class Evidence(Fleet):
    def is_run(self, caller):
        """Waits until the back end holds the answer to the request, or until the gateway has answered it."""
        while caller.is_alive():
            try:
                if self.backend.lines.get(timeout=0.05) == "held " + caller.identity:
                    return True
            except queue.Empty:
                pass
        return False

    def test_a_plain_request_that_crashes_back_ends_by_such_ends_is_blocked(self):
        crashes = 0
        while crashes <= MAX_CRASHES_PER_REQUEST:
            caller = Caller("GET", "/get/half/bad")
            if not self.is_run(caller):
                if caller.headers.get("Retry-After") is None:
                    break
                time.sleep(0.1)  # it is held back, and may be sent again
                continue
            crashes += 1
            time.sleep(0.1)  # runs of a few ms are no evidence
            self.backend.kill()
            caller.join()
            self.backend.restart()
            platform.wait_for(self.is_served, "an answer of the next start")
        self.assertLessEqual(crashes, MAX_CRASHES_PER_REQUEST)
        self.assertEqual((caller.status, caller.headers.get("Retry-After")), (503, None))
        self.assertIn(REASON, caller.body)


if __name__ == "__main__":
    platform.main()
