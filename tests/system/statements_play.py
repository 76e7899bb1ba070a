#!/usr/bin/env python3
"""Manual load test: engines that leave or ask for backoff at realistic occupancy; prints figures for each seed.

The store does not answer throughout. A third of the engines leave one after the other, another third
repeatedly asks for backoffs of 0.7, 3 or 20 s. At the end all engines back off at once, so that each attempt of
a gateway at an engine after the first one is futile.

usage: statements_play.py --build DIR --work DIR [--seeds A..B] [--seconds S]
"""
import argparse
import http.client
import os
import random
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_test as platform  # noqa: E402
import statements_test as statements  # noqa: E402

BACKOFFS_S = (0.7, 3.0, 20.0)
BACKOFF_GAP_S = (0.5, 2.0)
LEAVE_GAP_S = (1.0, 4.0)
ALL_BACKOFF_S = 12.0
ALL_REFUSED_AFTER_S = 1.5  # by then each gateway has had a refusal from each engine
REFUSALS = 50  # measured refusals while all engines back off


class Play(statements.Statements):
    CLIENTS = 200
    SLOTS = 64        # ample, as the stand-ins are slow and slots are not under test

    def runTest(self):
        """Unused: main() calls play()."""

    def start_engine(self, index):
        engine = super().start_engine(index)
        engine.publish_entry()  # publishes its slots
        return engine

    def inject_faults(self, rng, seconds):
        third = self.ENGINES // 3
        leaving, backing_off = self.engines[:third], self.engines[third:2 * third]
        end = time.monotonic() + seconds
        to_leave = list(leaving)
        next_leave = time.monotonic() + 1
        while time.monotonic() < end:
            if to_leave and time.monotonic() >= next_leave:
                to_leave.pop().announce_leaving()
                next_leave = time.monotonic() + rng.uniform(*LEAVE_GAP_S)
            engine = rng.choice(backing_off)
            if time.monotonic() > engine.backoff_until:
                engine.start_backoff(rng.choice(BACKOFFS_S))
            time.sleep(rng.uniform(*BACKOFF_GAP_S))
        return leaving, backing_off

    def back_off_all(self):
        """All engines back off; the load goes on until each gateway has had its first refusals."""
        for engine in self.engines:
            engine.start_backoff(ALL_BACKOFF_S)
        time.sleep(ALL_REFUSED_AFTER_S)
        self.stop_requested.set()
        time.sleep(1)  # streams in progress end, and clients waiting to retry stop

    def measure_refusals(self):
        """Returns the number of futile attempts and the sorted durations of refusals in ms."""
        before = sum(len(engine.arrivals) for engine in self.engines)
        times = sorted(self.time_refusal(number) for number in range(REFUSALS))
        after = sum(len(engine.arrivals) for engine in self.engines)
        return after - before, times

    def time_refusal(self, number):
        connection = http.client.HTTPConnection(self.gateway(number % self.GATEWAYS),
                                                platform.CLIENT_PORT, timeout=5)
        connection.connect()
        began = time.monotonic()
        connection.request("POST", "/stream/refused?events=5", b"x", {
            "Host": "a.example", "Shuntrun-Request-Id": "refused-%d" % number,
            "Shuntrun-Deadline-Ms": "6000", "Authorization": "Bearer key-a"})
        status = connection.getresponse().status
        took = time.monotonic() - began
        connection.close()
        self.assertEqual(status, 503)
        return 1000 * took

    def play(self, seed, seconds):
        self.setUp()
        try:
            self.silence_the_store()
            self.start_client_load()
            leaving, backing_off = self.inject_faults(random.Random(seed), seconds)
            whole, count = sum(r.whole for r in self.read), len(self.read)
            self.back_off_all()
            in_vain, times = self.measure_refusals()
            self.end_clients()
            late = sum(len(self.late_arrivals(engine)) for engine in leaving)
            most = max(self.arrivals_in_backoffs(engine) for engine in backing_off)
            print("seed %d: %d of %d whole, %d sent too late to engines that leave, %d at most in a backoff; "
                  "all backing off: %d sends in vain, refusals in %.1f ms (median), %.1f ms (most)" %
                  (seed, whole, count, late, most, in_vain, times[len(times) // 2], times[-1]),
                  flush=True)
        finally:
            self.stop_requested.set()
            self.doCleanups()


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--build", required=True)
    parser.add_argument("--work", required=True)
    parser.add_argument("--seeds", default="1..1", help="A..B")
    parser.add_argument("--seconds", type=float, default=30)
    options = parser.parse_args()
    platform.OPTIONS = options
    os.makedirs(options.work, exist_ok=True)
    first, last = (int(n) for n in options.seeds.split(".."))
    for seed in range(first, last + 1):
        Play().play(seed, options.seconds)


if __name__ == "__main__":
    main()
