#!/usr/bin/env python3
"""A machine that is suspended for seconds: time passes, but its monotonic clock does not advance.

The process is stopped, and a preloaded library (held_clock.c) sets its monotonic clock back by the same
time, as on a suspended machine. Deadlines of requests and the age of known state go on meanwhile.
"""
import os
import signal
import struct
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_standin as standin  # noqa: E402
import platform_test as platform  # noqa: E402
import streams_test as streams  # noqa: E402

DEADLINE_S = streams.DEADLINE_MS / 1000
SUSPENDED_S = 4.5
ANSWER_MARGIN_S = 1.2  # margin for the answer on a busy machine


class SuspendedNode:
    """An edge whose machine can be suspended."""

    def __init__(self, address):
        self.clock = os.path.join(platform.OPTIONS.work, "clock-" + address)
        self.held_ns = 0
        self.write_clock()
        self.node = platform.edge(address, {
            "LD_PRELOAD": os.path.join(platform.OPTIONS.build, "tests", "libheld_clock.so"),
            "SHUNTRUN_TEST_HELD_CLOCK": self.clock,
            "ASAN_OPTIONS": "verify_asan_link_order=0"})

    def write_clock(self):
        with open(self.clock, "r+b" if os.path.exists(self.clock) else "w+b") as stream:
            stream.write(struct.pack("=Q", self.held_ns))

    def suspend(self, seconds):
        process = self.node.process
        process.send_signal(signal.SIGSTOP)
        before = time.monotonic_ns()
        time.sleep(seconds)
        self.held_ns += time.monotonic_ns() - before
        self.write_clock()
        process.send_signal(signal.SIGCONT)

    def stop(self):
        self.node.stop()

    def log(self):
        with open(self.node.log_path) as stream:
            return stream.read()


class Suspended(streams.Fleet):
    ENGINES = 2

    def start_gateway(self, address):
        self.machine = SuspendedNode(address)
        return self.machine

    def setUp(self):
        super().setUp()
        self.plain = standin.Backend((platform.PLAIN_IPS[0], platform.ENGINE_PORT), "plain-0", self.store,
                                     "records")
        self.addCleanup(self.close, self.plain)
        platform.wait_for(lambda: platform.send_request("GET", "/get/first").status == 200, "the plain service")

    def put(self):
        self.begun = time.monotonic()
        try:
            self.answer = platform.send_request("POST", "/put/held", b"x", timeout=30,
                                                Shuntrun_Deadline_Ms=str(streams.DEADLINE_MS))
        finally:
            self.ended = time.monotonic()

    def test_a_request_ends_when_its_time_is_over(self):
        """It is not repeatable, so its only pending event was its deadline, on a timer of the monotonic clock."""
        self.plain.faults = ["mute"]
        caller = threading.Thread(target=self.put, daemon=True)
        caller.start()
        platform.wait_for(lambda: len(self.plain.runs) == 2, "the request at its back end")
        self.machine.suspend(SUSPENDED_S)
        caller.join()
        self.assertEqual(self.answer.status, 504)
        self.assertLess(self.ended - self.begun, DEADLINE_S + ANSWER_MARGIN_S)

    def test_waking_is_logged_with_its_length(self):
        self.machine.suspend(0.3)
        platform.wait_for(lambda: "event=woke kind=suspended pause_ms=3" in self.machine.log(),
                          "the log line")

    def test_streams_go_on_after_a_short_suspension(self):
        reader, _ = self.start_reading("short", 20)
        self.machine.suspend(0.4)
        self.assert_whole(reader)
        self.assertEqual(self.runs("short"), 1)

    def test_an_engine_is_not_blamed_for_the_silence_of_a_suspension(self):
        """The machine's network was suspended too: no data has arrived when the process resumes."""
        for engine in self.engines:
            engine.faults = ["pause"]
        reader, engine = self.start_reading("silence", 10)
        platform.wait_for(lambda: engine.paused, "a pause")
        self.machine.suspend(standin.PAUSE_S - 0.4)
        self.assert_whole(reader)
        self.assertEqual(self.runs("silence"), 1)


if __name__ == "__main__":
    platform.main()
