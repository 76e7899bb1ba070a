#!/usr/bin/env python3
"""What is written after the store came back from an older copy is in force in time at all gateways.

Failure: a store came back from a copy some seconds old, and gave out its revisions again. Gateways took an item for newer only
if its revision was greater: configurations, and an engine's entry that said that it leaves, were ignored until
the store had passed the revision that they knew.
"""
import os
import random
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_standin as standin  # noqa: E402
import platform_test as platform  # noqa: E402
import streams_test as streams  # noqa: E402

BOUND_S = 2.0  # from a write to its effect at all gateways
AWAY_S = 1.0


class StoreRestored(streams.Fleet):
    ENGINES = 3
    GATEWAYS = 7
    EVENT_GAP_S = 0.01

    def setUp(self):
        super().setUp()
        self.version = 1
        self.began = time.monotonic()

    def write_configuration(self, **changes):
        """Writes the next configuration; returns the time."""
        self.version += 1
        self.store.put("op/config", streams.configuration(self.version, self.SLOTS, **changes))
        return time.monotonic()

    def write_heartbeats(self, count):
        for _ in range(count):
            for engine in self.engines:
                engine.publish_entry()

    def accepted(self, node):
        """The configuration that the gateway accepted last."""
        versions = [line.split(" version=")[1].split()[0] for line in self.log_lines(node)
                    if "subsystem=config event=accepted" in line]
        return int(versions[-1]) if versions else 0

    def wait_for_configuration(self, written):
        """Waits until it is in force at all gateways; returns the time that it took."""
        platform.wait_for(lambda: all(self.accepted(g) == self.version for g in self.gateways),
                          "configuration %d at all gateways" % self.version)
        return time.monotonic() - written

    def lists_as_leaving(self, node, engine):
        lines = [line for line in self.log_lines(node)
                 if "event=listed id=%s " % engine.identity in line]
        return bool(lines) and "leaves=1" in lines[-1]

    def never_went_back(self):
        for node in self.gateways:
            versions = [int(line.split(" version=")[1].split()[0]) for line in self.log_lines(node)
                        if "subsystem=config event=accepted" in line]
            if versions != sorted(versions):
                return False
        return True

    def lose_configurations(self):
        """Two configurations are acknowledged and lost."""
        time.sleep(0.3)
        self.wait_for_configuration(self.write_configuration())
        self.write_heartbeats(6)
        self.wait_for_configuration(self.write_configuration())
        self.store.restore(2.5, AWAY_S)

    def test_a_configuration_written_after_the_restore_is_in_force_in_time(self):
        time.sleep(2.5)
        self.lose_configurations()
        time.sleep(1.0)
        self.assertLess(self.wait_for_configuration(self.write_configuration()), BOUND_S)
        self.assertTrue(self.never_went_back())

    def test_an_engine_that_leaves_after_the_restore_is_known_in_time(self):
        time.sleep(2.5)
        self.lose_configurations()
        leaving = self.engines[0]
        self.write_heartbeats(1)
        time.sleep(0.5)
        leaving.publish_entry("draining")
        written = time.monotonic()
        platform.wait_for(lambda: all(self.lists_as_leaving(g, leaving) for g in self.gateways),
                          "the leaving engine at all gateways")
        self.assertLess(time.monotonic() - written, BOUND_S)

    def test_an_earlier_start_that_the_copy_names_brings_no_back_end_back(self):
        """The copy names the start before the one that leaves. Gateways took it for a new one: a request reached a back
        end 2.55 s after an answer had said that it leaves (soak seed 7808)."""
        records = [standin.Backend((ip, platform.ENGINE_PORT), "record-" + ip, self.store, "records")
                   for ip in platform.PLAIN_IPS]
        for backend in records:
            self.addCleanup(self.close, backend)
        platform.wait_for(lambda: all(self.lists(backend) for backend in records), "the back ends")
        first_written = time.monotonic()
        time.sleep(1.0)
        restarted = records[0]
        restarted.restart_delay_s = 0.1
        restarted.crash_and_restart()
        time.sleep(0.5)
        restarted.publish_entry("draining")
        platform.wait_for(lambda: all(self.lists_as_leaving(g, restarted) for g in self.gateways),
                          "the leaving back end at all gateways")
        self.store.restore(time.monotonic() - first_written - 0.5, 0.2)
        time.sleep(BOUND_S + 0.5)
        before = len(restarted.arrivals)
        for number in range(60):
            platform.send_request("GET", "/get/%d" % number, address=self.gateway(number % self.GATEWAYS))
        self.assertEqual(len(restarted.arrivals), before)

    def test_a_back_end_that_the_copy_revives_gets_nothing(self):
        time.sleep(1.0)
        left = self.engines[0]
        left.leave()
        time.sleep(BOUND_S)
        self.store.restore(time.monotonic() - self.began - 0.5, 0.2)
        time.sleep(1.0)
        before = len(left.arrivals)
        for number in range(60):
            self.read_through_any_gateway(0, number, random.Random(number), 5)
        self.assertEqual(len(left.arrivals), before)
        left.publish_entry("ready")
        platform.wait_for(lambda: self.lists(left), "the entry that was written anew")

    def lists(self, engine):
        """Whether all gateways take the entry that it published last."""
        entry = "event=listed id=%s " % engine.identity
        sequence = " sequence=%d " % engine.sequence
        return all(any(entry in line and sequence in line for line in self.log_lines(g))
                   for g in self.gateways)

    def test_an_evacuation_that_the_store_lost_is_kept(self):
        time.sleep(2.5)
        self.store.put("op/evacuate/zone-b", {"zone": "zone-b"})
        evacuated = " subsystem=zone event=evacuated zone=zone-b "
        platform.wait_for(lambda: all(any(evacuated in line for line in self.log_lines(g))
                                      for g in self.gateways), "the evacuation at all gateways")
        self.store.restore(1.5, AWAY_S)
        platform.wait_for(lambda: all(any("event=kept-evacuated zone=zone-b" in line for line in self.log_lines(g))
                                      for g in self.gateways), "the restore at all gateways")
        self.store.put("op/evacuate/zone-b", {"zone": "zone-b"})
        time.sleep(1)
        self.assertFalse(any("subsystem=zone event=restored" in line
                             for g in self.gateways for line in self.log_lines(g)))

    def test_an_engine_that_the_copy_has_and_that_goes_afterwards_is_gone(self):
        """Its entry was the same before and after the restore, and no gateway applied its removal."""
        time.sleep(1.5)
        self.store.restore(0.5, 0.2)
        time.sleep(1.0)
        left = self.engines[0]
        left.leave()
        gone = "event=gone id=%s " % left.identity
        platform.wait_for(lambda: all(any(gone in line for line in self.log_lines(g))
                                      for g in self.gateways), "the removal at all gateways")

    def test_two_restores_in_a_row(self):
        time.sleep(2.5)
        self.lose_configurations()
        self.wait_for_configuration(self.write_configuration())
        self.store.restore(0.5, 0.2)
        time.sleep(1.0)
        self.assertLess(self.wait_for_configuration(self.write_configuration()), BOUND_S)
        self.assertTrue(self.never_went_back())

    def test_what_is_written_while_the_readers_are_away_is_not_missed(self):
        """The store has passed the revision that gateways know before they ask again: there is no 410."""
        time.sleep(2.5)
        self.lose_configurations()
        leaving = self.engines[0]
        leaving.publish_entry("draining")
        written = self.write_configuration()
        self.write_heartbeats(40)
        self.assertLess(self.wait_for_configuration(written), BOUND_S)
        platform.wait_for(lambda: all(self.lists_as_leaving(g, leaving) for g in self.gateways),
                          "the leaving engine at all gateways")
        self.assertLess(time.monotonic() - written, BOUND_S)


if __name__ == "__main__":
    platform.main()
