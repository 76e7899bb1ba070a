#!/usr/bin/env python3
"""Clients that read nothing cost bounded memory, and no other client its answer.

Failure: a gateway copied each whole response for its client, however slowly the client read. With enough
clients that did not read, the process would have exceeded its machine's memory and been killed, with all requests.
"""
import os
import socket
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_standin as standin  # noqa: E402
import platform_test as platform  # noqa: E402

MEMORY_MB = 60
BUFFER_BYTES = MEMORY_MB * 1000000 * 40 // 100  # as of the gateway
READERS = 400
BODY = b"x" * 250000  # the backend echoes it; all of them together take four times BUFFER_BYTES
WAVE = 50  # requests at the same time
RECEIVE_BUFFER = 4096


def resident_bytes(process):
    with open("/proc/%d/statm" % process.pid) as stream:
        return int(stream.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


class SlowReader:
    """Sends a request and reads nothing."""

    def __init__(self, number):
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        self.socket.settimeout(platform.WAIT_TIMEOUT_S)
        self.socket.connect((platform.EDGE_IPS[0], platform.CLIENT_PORT))
        head = ("POST /put/%d HTTP/1.1\r\nHost: a.example\r\nShuntrun-Request-Id: slow-%d\r\n"
                "Authorization: Bearer key-a\r\nContent-Length: %d\r\n\r\n" % (number, number, len(BODY)))
        try:
            self.socket.sendall(head.encode() + BODY)
        except OSError:  # refused before the body was read
            pass


class SlowReadersTest(unittest.TestCase):
    def setUp(self):
        self.store = standin.Store(platform.STORE)
        self.backend = standin.Backend((platform.PLAIN_IPS[0], platform.ENGINE_PORT), "plain", self.store, "records")
        self.backend.slots = 2 * WAVE
        self.backend.publish_entry()
        limits = {"header_bytes": 8192, "body_bytes": 2 * len(BODY), "header_timeout_ms": 1000,
                  "idle_timeout_ms": 60000}
        self.store.put("op/config", platform.configuration(1, limits=limits))
        # A sanitizer would keep 256 MB of freed memory to detect its use.
        self.gateway = platform.edge(platform.EDGE_IPS[0], {"SHUNTRUN_MEMORY_MB": str(MEMORY_MB),
                                                            "ASAN_OPTIONS": "quarantine_size_mb=1"})
        self.addCleanup(self.gateway.stop)
        for owner in (self.store, self.backend):
            self.addCleanup(self.close, owner)
        platform.wait_for(lambda: platform.get(platform.EDGE_IPS[0], platform.READY_PORT,
                                               "/api/readiness")[0] == 200, "a ready gateway")
        platform.wait_for(self.is_served, "an answer")

    @staticmethod
    def close(owner):
        owner.server.shutdown()
        owner.server.server_close()

    @staticmethod
    def is_served():
        return platform.send_request("GET", "/get/1").status == 200

    def start_readers(self):
        readers = []
        for first in range(0, READERS, WAVE):
            threads = [threading.Thread(target=lambda n=n: readers.append(SlowReader(n)))
                       for n in range(first, first + WAVE)]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            self.backend.runs.clear()
        return readers

    @staticmethod
    def close_all(readers):
        for reader in readers:
            reader.socket.close()

    def test_clients_that_read_nothing_take_bounded_memory(self):
        before = resident_bytes(self.gateway.process)
        readers = self.start_readers()
        self.addCleanup(self.close_all, readers)
        most = 0
        end = time.monotonic() + 3
        while time.monotonic() < end:
            most = max(most, resident_bytes(self.gateway.process))
            self.assertIn(platform.send_request("GET", "/get/2").status, (200, 503))
            time.sleep(0.05)
        self.assertLess(most - before, 1.5 * BUFFER_BYTES)
        platform.wait_for(self.is_served, "an answer beside the slow readers")
        self.assertIsNone(self.gateway.process.poll())
        refused = platform.metric("shuntrun_no_memory_requests_total")
        self.assertGreater(refused, 0, "the readers needed more memory than there is")
        self.close_all(readers)
        platform.wait_for(lambda: platform.metric("shuntrun_buffer_memory_bytes") < BUFFER_BYTES // 10,
                          "the memory of the readers that left")
        self.assertTrue(self.is_served())


if __name__ == "__main__":
    platform.main()
