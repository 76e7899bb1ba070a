"""Clients of the soak test, which record their requests and the answers."""
import http.client
import os
import random
import sys
import threading
import time
import typing

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_test as platform  # noqa: E402

DEADLINE_S = 2.0
CLIENT_TIMEOUT_MARGIN_S = 2.0  # a client waits for this long after the deadline that it gave
CRASHING_REPEAT_S = 0.2
CRASHING_FOR_S = 9.0  # longer than the bound on arrivals at engines after the third crash
COMMON_STREAMS = 4  # stream names that all clients share; each other name is sent once
COMMON_SHARE = 0.3  # share of common names among the streams
BLOCKED = b"several back ends ended"  # in the refusal of a request that crashes engines
FIRST_PART = "5c1e07a2"  # of all prompts
MIDDLE_PARTS = 6  # parts that the prompts of streams share
PART_REPEAT_S = 0.25


def prompt(middle, last):
    """Header field that names the parts of a prompt; all but the last are shared with others."""
    return {"Shuntrun-Prompt-Prefix": "%s:800,%s:410,%08x:250" % (FIRST_PART, middle, hash(last) % 2**32)}


class Result(typing.NamedTuple):
    """One request as its client observed it; times on the monotonic clock, in s."""
    identity: str
    kind: str
    edge: str
    sent: float
    ended: float
    status: int | None   # None: no answer
    whole: bool          # complete answer to this request
    cut: bool            # the connection broke after the request was written
    blocked: bool        # refused as one that crashes engines
    deadline: float      # given by the client, s from `sent`


class Client(threading.Thread):
    """Sends requests one after the other over persistent connections, and records the results."""

    KINDS = (("get", "GET"), ("put", "POST"), ("stream", "POST"))  # kind of request, method
    DEADLINE_S = DEADLINE_S
    QUERY = ""
    STREAM = platform.whole_stream()

    def __init__(self, soak, number):
        super().__init__(daemon=True)
        self.soak = soak
        self.random = random.Random(soak.seed * 1000 + number)
        self.common_rng = random.Random("common %d %d" % (soak.seed, number))
        self.parts_rng = random.Random("parts %d %d" % (soak.seed, number))
        self.number = number
        self.connection = None
        self.edge = None
        self.results = []
        self.start()

    def run(self):
        count = 0
        while not self.soak.stop_requested.is_set():
            count += 1
            self.send("c%02d-%06d" % (self.number, count))
            time.sleep(self.random.uniform(0.005, 0.03))

    def connect(self):
        edges = [ip for ip in platform.EDGE_IPS if self.soak.is_open(ip)] or platform.EDGE_IPS
        self.edge = self.random.choice(edges)
        self.connection = http.client.HTTPConnection(self.edge, platform.CLIENT_PORT,
                                                     timeout=self.DEADLINE_S + CLIENT_TIMEOUT_MARGIN_S)

    def send(self, identity):
        kind, method = self.random.choice(self.KINDS)
        name = self.name_of(kind, identity)
        path = "/%s/%s%s" % (kind, name, self.QUERY)
        if not self.connection:  # a connection is reused until it breaks
            self.connect()
        body = name.encode() if method != "GET" else None
        fields = {"Host": "a.example", "Shuntrun-Request-Id": identity,
                  "Shuntrun-Deadline-Ms": str(int(1000 * self.DEADLINE_S)),
                  "Authorization": "Bearer key-a"}
        if kind == "stream" and self.soak.with_crashing_parts:
            fields.update(prompt("91bd3f%02x" % self.parts_rng.randrange(MIDDLE_PARTS), identity))
        sent = time.monotonic()
        status, data, handed_over = None, b"", False
        try:
            self.connection.request(method, path, body, fields)
            handed_over = True
            response = self.connection.getresponse()
            status = response.status
            data = response.read()
        except (OSError, http.client.HTTPException):
            data = None
            self.connection = None
        whole = data is not None and self.is_whole(kind, path, body, data)
        self.results.append(Result(identity, kind, self.edge, sent, time.monotonic(), status, whole,
                                   handed_over and data is None, BLOCKED in (data or b""),
                                   self.DEADLINE_S))

    def name_of(self, kind, identity):
        """Name in path and body: requests with the same name are the same request to gateways."""
        if kind == "stream" and self.common_rng.random() < COMMON_SHARE:
            return "common-%d" % self.common_rng.randrange(COMMON_STREAMS)
        return identity

    def is_whole(self, kind, path, body, data):
        if kind == "stream":
            return data == self.STREAM
        return data == b"answer to " + path.encode() + b" " + (body or b"")


class LongStreamClient(Client):
    """Reads long streams with a deadline much longer than they take, so that link stalls occur during some of
    them and these can still end complete."""

    KINDS = (("stream", "POST"),)
    DEADLINE_S = 8.0
    EVENTS, GAP_MS = 30, 60
    QUERY = "?events=%d&gap_ms=%d" % (EVENTS, GAP_MS)
    STREAM = platform.whole_stream(1, EVENTS)


class CrashingClient(threading.Thread):
    """A client whose request crashes each engine that runs it, and is repeated under new ids."""

    @staticmethod
    def body_of(number):
        return b"crash-%d" % number

    def __init__(self, soak, number):
        super().__init__(daemon=True)
        self.soak = soak
        self.body = self.body_of(number)
        self.random = random.Random(soak.seed * 1000 + number)
        self.edges = {}  # request id -> edge that it was sent to
        self.query = self.stream_query(soak.crash_times.get(self.body))
        self.start()

    @staticmethod
    def stream_query(seconds):
        """Query of a stream that lasts longer than its engine; empty without a crash time."""
        if seconds is None:
            return ""
        return "?events=%d&gap_ms=%d" % (10 + 1000 * seconds / LongStreamClient.GAP_MS, LongStreamClient.GAP_MS)

    def run(self):
        end = time.monotonic() + CRASHING_FOR_S
        while time.monotonic() < end and not self.soak.stop_requested.is_set():
            identity = "%s-%03d" % (self.body.decode(), len(self.edges))
            self.edges[identity] = self.random.choice(platform.EDGE_IPS)
            threading.Thread(target=self.send, args=(identity,), daemon=True).start()
            time.sleep(CRASHING_REPEAT_S)

    def send(self, identity):
        connection = http.client.HTTPConnection(self.edges[identity], platform.CLIENT_PORT, timeout=4)
        try:
            connection.request("POST", "/stream/" + self.body.decode() + self.query, self.body, {
                "Host": "a.example", "Shuntrun-Request-Id": identity,
                "Shuntrun-Deadline-Ms": str(int(1000 * DEADLINE_S)), "Authorization": "Bearer key-a"})
            connection.getresponse().read()
        except (OSError, http.client.HTTPException):
            pass  # its runs at engines are checked, not its answers
        finally:
            connection.close()


class CrashingPartClient(threading.Thread):
    """A client whose requests are all different, and share one part that crashes each engine which begins to answer
    it."""

    def __init__(self, soak, number):
        super().__init__(daemon=True)
        self.soak = soak
        self.part = "0bad%04x" % number
        self.random = random.Random("part %d %d" % (soak.seed, number))
        self.edges = {}  # request id -> edge that it was sent to
        self.start()

    def run(self):
        end = time.monotonic() + CRASHING_FOR_S
        while time.monotonic() < end and not self.soak.stop_requested.is_set():
            identity = "%s-%03d" % (self.part, len(self.edges))
            self.edges[identity] = self.random.choice(platform.EDGE_IPS)
            threading.Thread(target=self.send, args=(identity,), daemon=True).start()
            time.sleep(PART_REPEAT_S)

    def send(self, identity):
        connection = http.client.HTTPConnection(self.edges[identity], platform.CLIENT_PORT, timeout=4)
        try:
            connection.request("POST", "/stream/" + identity, identity.encode(), {
                "Host": "a.example", "Shuntrun-Request-Id": identity,
                "Shuntrun-Deadline-Ms": str(int(1000 * DEADLINE_S)), "Authorization": "Bearer key-a",
                **prompt(self.part, identity)})
            connection.getresponse().read()
        except (OSError, http.client.HTTPException):
            pass  # its runs at engines are checked, not its answers
        finally:
            connection.close()
