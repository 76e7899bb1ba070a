#!/usr/bin/env python3
"""The stand-in engine records every stream that its own crash cuts.

The soak attributes a cut stream to a gateway unless the engine recorded it as aborted. A crashing engine
first recorded the streams on its connections and then reset the connections, so a stream that started on
a persistent connection in between was cut without a record. Seen as two streams lost in the same
millisecond, sent 2 ms and 1 ms before the crash, of which only the first was recorded.
"""
import argparse
import http.client
import os
import sys
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_standin as standin  # noqa: E402

STORE_ADDRESS = ("127.9.7.1", 8100)
ENGINE_ADDRESS = ("127.9.7.2", 8105)


def send_stream(connection, identity):
    connection.request("POST", "/stream/" + identity, b"x", {"Shuntrun-Request-Id": identity})


class Ends(unittest.TestCase):
    def setUp(self):
        self.store = standin.Store(STORE_ADDRESS)
        self.engine = standin.Backend(ENGINE_ADDRESS, "engine", self.store, "llm", 1)
        self.connection = http.client.HTTPConnection(*ENGINE_ADDRESS, timeout=5)

    def tearDown(self):
        self.connection.close()
        self.store.server.shutdown()
        self.store.server.server_close()

    def test_notes_a_stream_that_comes_while_it_resets_its_connections(self):
        send_stream(self.connection, "before")
        self.assertEqual(self.connection.getresponse().read(), standin.whole_stream())
        reset, kept = standin.reset_connection, []

        def reset_after_one_more_stream(connection):
            if not kept:
                send_stream(self.connection, "between")
                kept.append(self.connection.getresponse().read())
            reset(connection)
        standin.reset_connection = reset_after_one_more_stream
        try:
            self.engine.crash()
        finally:
            standin.reset_connection = reset
        self.assertEqual(kept, [standin.whole_stream()])
        self.assertIn("between", self.engine.aborted_streams)


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--build")
    parser.add_argument("--work")
    _, rest = parser.parse_known_args()
    unittest.main(argv=[sys.argv[0]] + rest)
