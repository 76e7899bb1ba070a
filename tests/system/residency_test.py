#!/usr/bin/env python3
"""Requests with home regions stay in them, and evacuated zones get no requests.

Failure: gateways sent requests of routes with home regions to any region when the nearest backends were
full, and to zones that the operator had evacuated, as neither was read.
"""
import json
import os
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_standin as standin  # noqa: E402
import platform_test as platform  # noqa: E402

REQUESTS = 12
EVACUATION = "op/evacuate/zone-b"
# Of one gateway, from the operator's write to the first request that no longer goes there.
UPDATE_S = 0.5


def configuration(version, homes, tenant_homes=()):
    value = platform.configuration(version)
    for route in value["routes"]:
        route["home_regions"] = list(homes)
    value["tenants"][0]["home_regions"] = list(tenant_homes)
    return value


class ResidencyTest(unittest.TestCase):
    def setUp(self):
        self.store = standin.Store(platform.STORE)
        # The gateways are in zone-a: without home regions, all requests go there.
        self.near = self.start_backend(platform.PLAIN_IPS[0], "near", "zone-a")
        self.far = self.start_backend(platform.PLAIN_IPS[1], "far", "zone-b")
        self.version = 0
        self.configure([])
        self.gateways = [platform.edge(ip) for ip in platform.EDGE_IPS]
        for gateway in self.gateways:
            self.addCleanup(gateway.stop)
        self.addCleanup(self.close, self.store)
        self.await_ready()
        platform.wait_for(lambda: platform.send_request("GET", "/get/1").status == 200, "an answer")

    @staticmethod
    def close(owner):
        owner.server.shutdown()
        owner.server.server_close()

    def start_backend(self, address, identity, zone):
        backend = standin.Backend((address, platform.ENGINE_PORT), identity, self.store, "records", zone=zone)
        self.addCleanup(self.close, backend)
        return backend

    def configure(self, homes, tenant_homes=()):
        self.version += 1
        self.store.put("op/config", configuration(self.version, homes, tenant_homes))

    def await_ready(self):
        platform.wait_for(lambda: all(platform.get(ip, platform.READY_PORT, "/api/readiness")[0] == 200
                                      for ip in platform.EDGE_IPS), "ready gateways")

    def await_update(self):
        for address in platform.EDGE_IPS:
            platform.wait_for(lambda: platform.metric("shuntrun_state_revision", address) >=
                              self.store.revision, "the update")

    def send(self, method="GET"):
        """Sends some requests through both gateways. Returns their statuses and the backends that ran them."""
        self.near.runs.clear()
        self.far.runs.clear()
        statuses = set()
        for number in range(REQUESTS):
            path = "/get/%d" % number if method == "GET" else "/put/%d" % number
            answer = platform.send_request(method, path, b"x", address=platform.EDGE_IPS[number % 2])
            statuses.add(answer.status)
        return statuses, {backend.identity for backend in (self.near, self.far) if backend.runs}

    def test_requests_stay_in_the_homes_of_route_and_tenant(self):
        self.assertEqual(self.send()[0], {200})
        self.configure(["region-b"])
        self.await_update()
        for method in ("GET", "PUT"):
            self.assertEqual(self.send(method if method == "GET" else "POST"), ({200}, {"far"}))
        self.configure(["region-a", "region-b"], ["region-b"])
        self.await_update()
        self.assertEqual(self.send(), ({200}, {"far"}))
        self.configure(["region-a"], ["region-b"])
        self.await_update()
        self.assertEqual(self.send(), ({503}, set()))
        self.configure(["region-of-nobody"])
        self.await_update()
        self.assertEqual(self.send(), ({503}, set()))
        self.configure([])
        self.await_update()
        self.assertEqual(self.send()[0], {200})

    def test_a_retry_does_not_leave_the_home_region(self):
        self.configure(["region-b"])
        self.await_update()
        self.near.runs.clear()
        for fault in ("reset", "unsealed", "shed", "error"):
            self.far.faults[:] = [fault] * 4
            platform.send_request("GET", "/get/" + fault)
        self.assertEqual(self.near.runs, [])

    def test_an_evacuated_zone_gets_nothing_until_it_is_restored(self):
        self.configure(["region-b"])
        self.await_update()
        self.store.put(EVACUATION, {})
        time.sleep(UPDATE_S)
        self.assertEqual(self.send(), ({503}, set()))
        self.configure([])
        self.await_update()
        self.assertEqual(self.send(), ({200}, {"near"}))
        self.store.remove(EVACUATION)
        self.configure(["region-b"])
        time.sleep(UPDATE_S)
        self.assertEqual(self.send(), ({200}, {"far"}))

    def test_a_gateway_that_starts_in_an_outage_learns_of_an_evacuation(self):
        self.store.put(EVACUATION, {})
        self.await_update()
        self.store.mode = "busy"
        self.gateways[1].stop()
        self.gateways[1].start()
        self.await_ready()
        self.assertEqual(self.send(), ({200}, {"near"}))
        # Taken away while the store refuses calls.
        self.store.remove(EVACUATION)
        self.store.mode = "good"
        self.configure(["region-b"])
        self.await_update()
        self.assertEqual(self.send(), ({200}, {"far"}))


class IsolatedGatewayTest(unittest.TestCase):
    """Failure: a gateway without contact to other nodes named gateways that had ended until it had suspected each of
    them, one in 0.4 s."""

    def test_a_gateway_that_hears_nobody_names_itself_only(self):
        store = standin.Store(platform.STORE)
        store.put("op/config", configuration(1, []))
        addresses = ["127.9.1.%d" % number for number in range(1, 9)]
        gateways = [platform.edge(address) for address in addresses]
        for gateway in gateways:
            self.addCleanup(gateway.stop)
        self.addCleanup(ResidencyTest.close, store)
        platform.wait_for(lambda: len(self.named(addresses[0])) == len(addresses), "all gateways named")
        for gateway in gateways[1:]:
            gateway.stop()
        platform.wait_for(lambda: self.named(addresses[0]) == ["%s:%d" % (addresses[0], platform.CLIENT_PORT)],
                          "no ended gateway named")

    @staticmethod
    def named(address):
        status, body = platform.get(address, platform.DIRECTORY_PORT, "/api/resolve?name=a&zone=zone-a")
        return json.loads(body)["addresses"] if status == 200 else []


if __name__ == "__main__":
    platform.main()
