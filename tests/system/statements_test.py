#!/usr/bin/env python3
"""A gateway obeys what an engine announces in an answer: that it leaves, or that it backs off.

An engine that is about to leave announces it in each answer, and one that refuses a request may ask for a
backoff (Retry-After). Gateways evaluated neither. They learned only from the list that an engine leaves, and
the store did not answer for twelve seconds: the engine got 3 to 5 requests a second until it stopped.
An engine that backed off got 2 to 6 requests a second; it and its three neighbours refused all 59 of them. As
it reported itself idle, it was chosen first, and 15 requests used up both their attempts at such engines.
Evidence: in runs of this test with the headers logged, `event=leaving` or `event=backs-off` was followed by
2,325 sends of the same gateways to the same incarnations of engines; 1,911 of them were placed in the first
millisecond of their request. Nothing else was known of the engines, and nothing delayed these requests.
"""
import collections
import os
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_standin as standin  # noqa: E402
import platform_test as platform  # noqa: E402
import streams_test as streams  # noqa: E402

DRAIN_S = 2.0  # requests that a gateway sends later than this after the announcement are late
BACKOFF_SETTLE_S = 0.5  # requests in transit at the start of a backoff have arrived by then
MAX_BACKOFF_ARRIVALS = 2  # from one gateway in the rest of a backoff, at most
HEADER_RESOLUTION_S = 0.001  # of Retry-After, which counts from the answer
WHOLE_SHARE = 0.99  # least share of complete streams, while other engines have free slots


def gateway_of(identity):
    """The gateway, from the request id that a client chose; None: not a client's request."""
    return identity.split("-")[0] if identity and identity.startswith("g") else None


class Statements(streams.Fleet):
    ENGINES = 12
    GATEWAYS = 7
    EVENT_GAP_S = 0.03
    CLIENTS = 80

    def read_stream(self, client, number, rng):
        return self.read_through_any_gateway(client, number, rng, rng.randint(5, 25))

    def start_client_load(self):
        self.start_clients(self.CLIENTS, self.read_stream)
        platform.wait_for(lambda: len(self.read) > self.CLIENTS, "streams read")

    def silence_the_store(self):
        self.store.mode = "silent"
        self.addCleanup(setattr, self.store, "mode", "good")

    def assert_callers_are_served(self):
        whole = sum(reader.whole for reader in self.read)
        self.assertGreaterEqual(whole, WHOLE_SHARE * len(self.read),
                                collections.Counter(r.status for r in self.read))

    @staticmethod
    def late_arrivals(engine):
        """Ids of requests that arrived later than DRAIN_S after their gateway was told that the engine leaves."""
        notified = {}
        for identity, when, _ in engine.leaving_answers:
            if gateway_of(identity):
                notified.setdefault(gateway_of(identity), when)
        return [identity for identity, when, _ in engine.arrivals
                if gateway_of(identity) in notified and
                when > notified[gateway_of(identity)] + DRAIN_S]

    @staticmethod
    def arrivals_in_backoffs(engine):
        """Maximum number of requests from one gateway within a backoff that the engine had asked it for."""
        most = 0
        for asked_by, asked_at, seconds, _ in engine.backoffs:
            gateway = gateway_of(asked_by)
            most = max(most, sum(gateway_of(identity) == gateway and
                                 asked_at + BACKOFF_SETTLE_S < when < asked_at + seconds
                                 for identity, when, _ in engine.arrivals))
        return most

    def test_an_engine_that_leaves_gets_nothing_more(self):
        self.silence_the_store()
        self.start_client_load()
        leaving = self.engines[:4]
        for engine in leaving:
            engine.announce_leaving()
        time.sleep(DRAIN_S + 4)
        self.end_clients()
        self.assertTrue(all(engine.leaving_answers for engine in leaving))
        self.assertEqual([self.late_arrivals(engine) for engine in leaving], [[]] * len(leaving))
        self.assert_callers_are_served()

    def test_an_engine_that_backs_off_is_left_alone(self):
        self.start_client_load()
        backing_off = self.engines[:4]
        for seconds in (3.0, 1.2):
            for engine in backing_off:
                engine.start_backoff(seconds)
            time.sleep(seconds + 1)
        self.end_clients()
        self.assertTrue(all(engine.backoffs for engine in backing_off))
        self.assertLessEqual(max(self.arrivals_in_backoffs(e) for e in backing_off), MAX_BACKOFF_ARRIVALS)
        self.assert_callers_are_served()
        self.assertTrue(all(e.runs[-1][3] > e.backoff_until for e in backing_off), "used again")

    def test_a_service_that_backs_off_refuses_at_once_and_says_until_when(self):
        self.start_client_load()
        backoff_s = 4.0
        until = time.monotonic() + backoff_s
        for engine in self.engines:
            engine.start_backoff(backoff_s)
        time.sleep(1)
        arrivals = sum(len(engine.arrivals) for engine in self.engines)
        began = time.monotonic()
        reader = streams.Reader("g0-refused", 5, self.gateway(0))
        reader.join()
        answered = time.monotonic()
        self.assertEqual(reader.status, 503)
        self.assertGreaterEqual(answered + float(reader.headers["Retry-After"]), until - HEADER_RESOLUTION_S)
        self.assertLess(answered - began, 1.0, "it did not wait for the end of the backoff")
        time.sleep(until - time.monotonic() - 0.1)
        self.assertEqual(sum(len(engine.arrivals) for engine in self.engines), arrivals,
                         "futile attempts")
        platform.wait_for(self.is_served, "a stream after the backoff")
        self.end_clients()


if __name__ == "__main__":
    platform.main()
