#!/usr/bin/env python3
"""A stream ends complete, as long as an engine can finish it.

Failure: gateways reset connections of clients whose streams an engine still produced. A gateway left an
engine that sent nothing for 1 s, and looked for another one only afterwards; when that one refused, stalled
too, or did not exist, the client's connection was reset. The engine need not even be slow: a gateway that was
suspended for 1.5 s fired its timers before it read the events that had arrived meanwhile. Likewise, loaders
made engines abort streams for new weights before it was known which engine could continue them.
Evidence: `broken,refused` 64 times, `broken,broken` 36 times and no engine of the version 35 times in the
attempt logs of 144 streams cut on one day; in this test, three versions 2 s apart cut 50 of 1,008.
"""
import http.client
import os
import random
import signal
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_standin as standin  # noqa: E402
import platform_test as platform  # noqa: E402

DEADLINE_MS = 6000
GATEWAY_PAUSE_S = 1.5  # longer than a gateway's stall timeout for engines
EVENT_GAP_S = 0.1
# Stall of the links to all engines: longer than the timeout that applies while another engine responds.
ALL_SILENT_S = 2.0
# Between two streams of one client.
PAUSE_AFTER_SUCCESS_S = 0.02
PAUSE_AFTER_FAILURE_S = 0.3
# From its publication, a version is the least one allowed after this: 8 s less 1.1 s, and the propagation time.
OLD_VERSIONS_END_S = 7.3


class Reader(threading.Thread):
    """One client that reads one stream."""

    def __init__(self, identity, events, address=platform.EDGE_IPS[0], fields=None):
        """`fields` are further header fields of the request."""
        super().__init__(daemon=True)
        self.identity, self.events, self.address, self.fields = identity, events, address, fields or {}
        self.status, self.headers, self.body, self.error = None, {}, b"", None
        self.start()

    def run(self):
        connection = http.client.HTTPConnection(self.address, platform.CLIENT_PORT, timeout=10)
        self.asked_at = time.monotonic()
        try:
            connection.request("POST", "/stream/%s?events=%d" % (self.identity, self.events), b"x", {
                "Host": "a.example", "Shuntrun-Request-Id": self.identity,
                "Shuntrun-Deadline-Ms": str(DEADLINE_MS), "Authorization": "Bearer key-a", **self.fields})
            response = connection.getresponse()
            self.status = response.status
            self.headers = dict(response.getheaders())
            self.body = response.read()
        except (OSError, http.client.HTTPException) as error:
            self.error = error
        finally:
            connection.close()

    @property
    def whole(self):
        return self.status == 200 and self.body == standin.whole_stream(1, self.events)

    @property
    def cut(self):
        return self.status == 200 and not self.whole


def configuration(version, slots, **changes):
    value = platform.configuration(version, **changes)
    value["services"][0]["engine"]["slots"] = slots
    for route in value["routes"]:
        route["timeout_ms"] = DEADLINE_MS
    return value


class Fleet(unittest.TestCase):
    ENGINES = 1
    GATEWAYS = 1
    SLOTS = 16
    EVENT_GAP_S = EVENT_GAP_S

    def setUp(self):
        self.log_offsets = {}  # log files continue from one case to the next
        self.store = standin.Store(platform.STORE)
        self.origin = standin.Origin(platform.ORIGIN)
        self.engines = [self.start_engine(index) for index in range(self.ENGINES)]
        self.store.put("op/config", configuration(1, self.SLOTS))
        self.gateways = [self.start_logged_gateway(self.gateway(n)) for n in range(self.GATEWAYS)]
        self.loaders = [platform.loader(engine.address[0]) for engine in self.engines]
        for node in self.gateways + self.loaders:
            self.addCleanup(node.stop)
        for owner in [self.store, self.origin] + self.engines:
            self.addCleanup(self.close, owner)
        platform.wait_for(lambda: all(platform.get(self.gateway(n), platform.READY_PORT,
                                                   "/api/readiness")[0] == 200
                                      for n in range(self.GATEWAYS)), "ready gateways")
        platform.wait_for(self.is_served, "a stream")

    @staticmethod
    def close(owner):
        """Stops the current server; an engine may have restarted or be about to."""
        owner.will_restart = False
        owner.server.shutdown()
        owner.server.server_close()

    @staticmethod
    def gateway(number):
        return "127.9.1.%d" % (number + 1)

    def start_gateway(self, address):
        return platform.edge(address)

    def start_logged_gateway(self, address):
        path = platform.log_path("edge", address)
        self.log_offsets[address] = os.path.getsize(path) if os.path.exists(path) else 0
        return self.start_gateway(address)

    def log_lines(self, gateway):
        """Log lines of a gateway in this case."""
        with open(gateway.log_path) as log:
            log.seek(self.log_offsets[gateway.address])
            return log.readlines()

    def start_engine(self, index):
        address = ("127.9.2.%d" % (index + 1), platform.ENGINE_PORT)
        engine = standin.Backend(address, "engine-%d" % index, self.store, "llm", 1)
        engine.event_gap_s = self.EVENT_GAP_S
        engine.slots = self.SLOTS
        engine.load_s = 0.2
        return engine

    def is_served(self):
        reader = Reader("first-%f" % time.monotonic(), 1)
        reader.join()
        return reader.whole

    def publish_version(self, version):
        self.origin.newest = version
        self.store.put("op/version/" + standin.MODEL, {"model": standin.MODEL, "version": version})

    def start_clients(self, count, read):
        """Starts clients that each read streams one after the other, until end_clients(). `read(client, stream, rng)`
        gets the numbers of client and stream and a random generator, and returns a Reader that has ended."""
        self.stop_requested = threading.Event()
        self.read = []

        def read_streams(number):
            rng = random.Random(number)
            stream = 0
            while not self.stop_requested.is_set():
                stream += 1
                reader = read(number, stream, rng)
                self.read.append(reader)
                time.sleep(PAUSE_AFTER_FAILURE_S if reader.status != 200 else PAUSE_AFTER_SUCCESS_S)

        self.clients = [threading.Thread(target=read_streams, args=(n,), daemon=True)
                        for n in range(count)]
        for client in self.clients:
            client.start()

    def read_through_any_gateway(self, client, number, rng, events):
        """Reads one stream through a random gateway, which its id names: g<gateway>-..."""
        gateway = rng.randrange(self.GATEWAYS)
        reader = Reader("g%d-c%03d-%04d" % (gateway, client, number), events, self.gateway(gateway))
        reader.join()
        return reader

    def end_clients(self):
        self.stop_requested.set()
        for client in self.clients:
            client.join()

    def runs(self, identity):
        return sum(run[0] == identity for engine in self.engines for run in engine.runs)

    def engine_of(self, identity):
        return next((e for e in self.engines if any(r[0] == identity for r in e.runs)), None)

    def start_reading(self, identity, events=20):
        """Starts a stream; returns its reader and the engine that runs it."""
        reader = Reader(identity, events)
        platform.wait_for(lambda: self.engine_of(identity), "a run")
        return reader, self.engine_of(identity)

    def assert_whole(self, reader):
        reader.join()
        self.assertEqual((reader.error, reader.status), (None, 200))
        self.assertTrue(reader.whole, reader.body[-60:])


class OneEngine(Fleet):
    def test_a_gateway_that_stood_still_takes_no_engine_for_silent(self):
        readers = [Reader("still-%d" % n, 30) for n in range(8)]
        platform.wait_for(lambda: all(self.runs(r.identity) for r in readers), "streams in progress")
        time.sleep(3 * EVENT_GAP_S)
        gateway = self.gateways[0].process
        gateway.send_signal(signal.SIGSTOP)
        time.sleep(GATEWAY_PAUSE_S)
        gateway.send_signal(signal.SIGCONT)
        for reader in readers:
            self.assert_whole(reader)
            self.assertEqual(self.runs(reader.identity), 1)

    def test_a_silent_engine_is_kept_when_no_other_can_go_on(self):
        self.engines[0].faults = ["pause"]
        self.assert_whole(Reader("paused", 10))

    def test_a_configuration_takes_nothing_from_streams_under_way(self):
        readers = [Reader("configured-%d" % n, 25) for n in range(4)]
        platform.wait_for(lambda: all(self.runs(r.identity) for r in readers), "streams in progress")
        others = configuration(2, self.SLOTS)["routes"][1:]
        self.store.put("op/config", configuration(2, self.SLOTS, routes=others, tenants=[]))
        platform.wait_for(lambda: platform.metric("shuntrun_config_revision") == 2, "configuration 2")
        self.gateways[0].process.send_signal(signal.SIGHUP)
        for reader in readers:
            self.assert_whole(reader)

    def test_a_cut_stream_is_logged_while_many_requests_are_refused(self):
        """The log limits the rate of each kind of line. In a second of some 90 refusals 43 lines were left out, among
        them that of a cut stream, as both were of one kind."""
        reader = Reader("too-long", 2 * DEADLINE_MS // int(1000 * EVENT_GAP_S))
        while reader.is_alive():
            self.assertEqual(platform.send_request("GET", "/get/1").status, 503)  # no such back end
        self.assertTrue(reader.cut)
        lines = [line for line in self.log_lines(self.gateways[0])
                 if "request=too-long" in line and "event=cut" in line]
        self.assertEqual(len(lines), 1, lines)
        self.assertIn("reason=time-out", lines[0])

    def test_an_engine_that_is_ahead_of_the_least_version_is_not_turned_away(self):
        """158 times on one day a gateway requested exactly version 2, the least allowed, from engines of version 3:
        each answered that it had other weights, and the requests were refused."""
        begin = time.monotonic()
        self.publish_version(2)
        platform.wait_for(lambda: self.engines[0].version == 2, "version 2")
        self.publish_version(3)
        platform.wait_for(lambda: self.engines[0].version == 3, "version 3")
        time.sleep(max(0, begin + OLD_VERSIONS_END_S - time.monotonic()))
        self.assert_whole(Reader("ahead", 5))


class ThreeEngines(Fleet):
    ENGINES = 3

    def test_a_refusal_does_not_end_a_stream(self):
        for engine in self.engines:
            engine.faults = ["torn"]
        reader, first = self.start_reading("refused")
        for engine in self.engines:
            engine.faults = [] if engine is first else ["shed"]
        self.assert_whole(reader)

    def test_a_stream_that_was_taken_up_bears_silence(self):
        for engine in self.engines:
            engine.faults = ["torn"]
        reader, first = self.start_reading("paused-later")
        for engine in self.engines:
            engine.faults = ["late"]
        self.assert_whole(reader)


class TwoEngines(Fleet):
    ENGINES = 2

    def test_a_silent_engine_is_not_left_for_one_that_is_as_silent(self):
        """Three streams were cut while all engines were stalled: each went to another engine, whose last report was
        1.46 s old, and a reset there used up the second and last attempt of its route."""
        reader, first = self.start_reading("all-silent", 30)
        self.silence_all_links()
        self.assert_sent_once(reader)

    def test_a_silent_engine_is_not_left_before_its_first_event_for_one_that_is_as_silent(self):
        """Only for streams that had begun did it count whether the other engine had been heard of lately."""
        self.silence_all_links()
        self.assert_sent_once(Reader("none-answers", 20))

    def silence_all_links(self):
        for engine in self.engines:
            engine.disturb_link(ALL_SILENT_S, silent=True)

    def assert_sent_once(self, reader):
        self.assert_whole(reader)
        time.sleep(0.5)  # anything sent to the other engine passes its link
        self.assertEqual(sum(identity == reader.identity for engine in self.engines
                             for identity, _, _ in engine.arrivals), 1)


class FourEngines(Fleet):
    ENGINES = 4

    def run_elsewhere(self, identity, tried):
        return next((e for e in self.engines if e not in tried and
                     any(run[0] == identity for run in e.runs)), None)

    def test_ends_of_engines_stay_known_while_others_refuse(self):
        """Seven streams were cut while eleven of twelve engines crashed within a second. A gateway remembered the last
        four engines that a stream had tried; refusals by others evicted those that had crashed, so that their
        crashes counted as attempts of the route again. The attempt logs of the cut streams read
        `broken;...broken;...refused;...refused`, with `reason=refused` after two or three crashed engines."""
        reader, first = self.start_reading("pushed-out", 40)
        for engine in self.engines:
            engine.faults = ["shed"] * 2
        first.crash()
        platform.wait_for(lambda: self.run_elsewhere("pushed-out", [first]), "the second run")
        second = self.run_elsewhere("pushed-out", [first])
        for engine in self.engines:
            engine.faults = ["shed"] * 3
        second.crash()
        self.assert_whole(reader)


class Versions(Fleet):
    ENGINES = 12
    GATEWAYS = 3
    SLOTS = 12
    CLIENTS = 110  # of 144 slots
    LONGEST_EVENTS = 33
    VERSIONS = 3
    VERSION_GAP_S = 2.0

    def read_stream(self, client, number, rng):
        reader = Reader("v%03d-%04d" % (client, number), rng.randint(10, self.LONGEST_EVENTS),
                        self.gateway(rng.randrange(self.GATEWAYS)))
        reader.join()
        return reader

    def test_new_weights_cut_no_stream(self):
        self.start_clients(self.CLIENTS, self.read_stream)
        places = 0.6 * self.ENGINES * self.SLOTS
        platform.wait_for(lambda: sum(len(e.running) for e in self.engines) > places, "full engines")
        for version in range(2, 2 + self.VERSIONS):
            self.publish_version(version)
            time.sleep(self.VERSION_GAP_S)
        platform.wait_for(lambda: all(e.version == 1 + self.VERSIONS for e in self.engines),
                          "the last version at all engines")
        self.end_clients()
        self.assertGreater(sum(reader.whole for reader in self.read), 200)
        self.assertEqual([r.identity for r in self.read if r.cut], [])


if __name__ == "__main__":
    platform.main()
