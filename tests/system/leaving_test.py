#!/usr/bin/env python3
"""A back end that leaves gets nothing later than DRAIN_S after the list said so.

Requests reached engines that had left seconds before, around moments at which all gateways ended and
began anew. No gateway had a line of these requests, and none of them ran. Which of the faults below made
them is not known: what is left of the runs shows neither the moment of the requests nor what
their gateways believed.
Three faults let requests through: what had gone was not handed on by gateways that had begun anew, an entry
that was written late counted as the newest, and what a gateway had written was sent after it was killed. What
settled each is told with its case. The third alone leaves no line, and runs nothing.
"""
import os
import signal
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_standin as standin  # noqa: E402
import platform_test as platform  # noqa: E402
import streams_test as streams  # noqa: E402

DRAIN_S = 2.0
# Streams that are read one after the other; each is offered to every engine that is in use.
STREAMS = 40
# Larger than what the back end that reads nothing can hold, smaller than what a gateway may buffer.
BODY_BYTES = 30000


class Leaving(streams.Fleet):
    ENGINES = 3
    GATEWAYS = 3
    SLOTS = 2
    EVENT_GAP_S = 0.01

    def read_through(self, gateway, name):
        """As many streams at once as the engines have places, so that each of them is wanted."""
        for number in range(STREAMS // 4):
            readers = [streams.Reader("%s-%d-%d" % (name, number, n), 5, self.gateway(gateway))
                       for n in range(4)]
            for reader in readers:
                reader.join()

    def arrivals_of(self, engine, name):
        return sum(identity.startswith(name) for identity, _, _ in engine.arrivals)

    def signal_gateways(self, gateways, number):
        for gateway in gateways:
            gateway.process.send_signal(number)

    def restart(self, gateways):
        for gateway in gateways:
            gateway.stop()
        for gateway in gateways:
            gateway.start()
        platform.wait_for(lambda: all(platform.get(gateway.address, platform.READY_PORT,
                                                   "/api/readiness")[0] == 200
                                      for gateway in gateways), "ready gateways")

    def reads_the_list(self, gateway):
        return any("subsystem=store" in line for line in self.log_lines(gateway))

    def test_who_was_away_hears_of_removals_from_others_that_began_anew(self):
        """Who stood still does not read the list itself. The others took the whole list after the removal;
        they gave what had changed since, which does not name what had gone before they began:
        11 and 18 of 40 streams reached the engine, for as long as it served on."""
        followers = [g for g in self.gateways if not self.reads_the_list(g)]
        self.assertEqual(len(followers), 1, "one gateway does not read the list itself")
        follower = followers[0]
        others = [g for g in self.gateways if g is not follower]
        self.signal_gateways([follower], signal.SIGSTOP)
        self.addCleanup(follower.process.send_signal, signal.SIGCONT)
        left = self.engines[0]
        left.leave()
        self.restart(others)
        self.store.put("op/other", {})
        self.signal_gateways([follower], signal.SIGCONT)
        time.sleep(DRAIN_S + 1)
        self.read_through(self.gateways.index(follower), "late")
        self.assertEqual(self.arrivals_of(left, "late"), 0)
        self.assertGreater(self.arrivals_of(self.engines[1], "late"), 0)

    def test_an_entry_that_is_written_late_brings_no_engine_back(self):
        """The engine's entry of a moment before it said that it leaves is written after that one. Each entry
        replaced the one before, whichever was newer: the engine got 8 and 6 of 40 streams."""
        left = self.engines[0]
        left.publish_entry("draining")
        time.sleep(0.5)
        left.write_entry("ready", left.sequence - 1)
        time.sleep(DRAIN_S + 0.5)
        self.read_through(0, "late")
        self.assertEqual(self.arrivals_of(left, "late"), 0)
        self.assertGreater(self.arrivals_of(self.engines[1], "late"), 0)


class Killed(streams.Fleet):
    def test_a_request_of_a_gateway_that_was_killed_arrives_no_more(self):
        """The kernel goes on sending what a process wrote, also when that one is gone: the back end got all
        30,225 bytes of the request from a gateway that had been killed 0.2 s before."""
        unread = standin.StalledReader(("127.9.3.1", platform.ENGINE_PORT), "unread", self.store, "records")
        self.addCleanup(unread.close)
        platform.wait_for(lambda: self.is_listed("unread"), "the back end in the list")
        body = b"x" * BODY_BYTES
        client = threading.Thread(target=self.put, args=(body,), daemon=True)
        client.start()
        connection = unread.accept_with_data(platform.WAIT_TIMEOUT_S)
        self.addCleanup(connection.close)
        time.sleep(0.5)
        self.gateways[0].stop(signal.SIGKILL)
        time.sleep(0.2)
        self.assertLess(len(unread.read_all(connection)), BODY_BYTES)
        client.join()

    def is_listed(self, identity):
        return any("event=listed id=%s " % identity in line
                   for line in self.log_lines(self.gateways[0]))

    def put(self, body):
        try:
            platform.send_request("PUT", "/put/killed", body)
        except OSError:
            pass  # the gateway is killed


if __name__ == "__main__":
    platform.main()
