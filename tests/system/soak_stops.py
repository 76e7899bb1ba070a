"""Clients of the soak test around planned stops of edges.

They hold addresses as long as the platform's clients may, keep connections, send two requests at a time, upload slowly
and read big answers slowly. Each judges its answers by their framing, on its own socket. Some run all the time; others
are started by a stop, and come at a drawn time after its SIGTERM.
"""
import dataclasses
import http.client
import json
import os
import random
import socket
import sys
import threading
import time
import typing

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_standin as standin  # noqa: E402
import platform_test as platform  # noqa: E402

EDGES = 4
ENGINES = 6
DEADLINE_S = 6.0  # longest deadline of the users
ROUTE_TIMEOUT_S = 8.0
ANSWER_MARGIN_S = 2.0  # a client waits for this long after its deadline
CONNECT_TIMEOUT_S = 1.0
TTL_FACTOR = 3  # some clients hold an answer of the directory for this many times its ttl_s
DIRECTORY_TRIES = 3
STREAM_S = (0.5, 5.5)  # from the first event of a stream to its end
PACED_EVENTS = 21  # of the streams whose gap varies; others have a gap of EVENT_GAP_S and a number that varies
EVENT_GAP_S = 0.1
SHORT_STREAM_S = (0.5, 1.5)
FIRST_OF_PAIR_S = (0.5, 4.0)
SECOND_AFTER_S = (0.05, 0.6)  # from the first request of a pair to the second
BIG_BYTES = (4_000_000, 8_000_000)
BIG_TAKEN_S = (3.0, 5.0)  # time in which a client reads a big answer
BIG_STEPS = 50
BIG_RECEIVE_BUFFER = 65536
UPLOAD_S = (0.4, 1.5)  # from the head of a request to the end of its body
UPLOAD_PARTS = 6
UPLOAD_BYTES = (600, 20000)
MAX_OPEN_S = 9.0  # a client that keeps its connection open until the process is gone waits for this long
REST_S = (0.01, 0.4)  # of a kept connection between two requests
AT_ONCE_SHARE = 0.5  # of the requests on a kept connection, which follow at once
# Clients for each edge that run all the time.
HOLDERS, KEEPERS, PAIRS, UPLOADERS, TAKERS = 3, 2, 2, 1, 1
# Requests that a stop starts, by kind: number, times after SIGTERM at which they are wholly sent.
AIMED = (("late", 3, (0.0, 7.8)), ("late", 3, (2.8, 3.6)), ("upload", 4, (2.0, 4.0)), ("pair", 2, (0.0, 3.2)),
         ("big", 1, (0.0, 3.2)), ("open", 2, (2.0, 7.8)))


@dataclasses.dataclass
class Attempt:
    """One request as its client observed it; times on the monotonic clock, in s."""
    identity: str
    client: str                # held, kept, first, second, upload, big, late, open
    kind: str                  # get, put, stream
    edge: str
    begun: float = 0.0         # first byte sent
    sent: float | None = None  # last byte sent
    ended: float = 0.0
    status: int | None = None  # None: no answer
    retry_after: str | None = None
    closes: bool = False       # the answer says that the connection closes
    promised: bool = False     # the last answer that had arrived on this connection did not say so
    body_bytes: int = 0        # of the answer
    answered: bool = False     # the answer is complete by its framing
    whole: bool = False        # and it is the one of its request
    end: str = ""              # how an incomplete answer ended: closed, reset, time-out, malformed
    first: typing.Optional["Attempt"] = None  # the one that was in progress on this connection when it was sent
    deadline: float = DEADLINE_S
    blocked: bool = False      # as clients.Result

    @property
    def cut(self):
        """As clients.Result: the connection broke after the request was written."""
        return self.sent is not None and not self.answered


class Incomplete(Exception):
    """The answer is not complete; its text says how it ended."""


class Connection:
    """A client's connection, from which answers are read by their framing."""

    def __init__(self, edge, receive_buffer=None):
        self.edge = edge
        self.unread = b""
        self.kept_by_answer = False  # the last answer did not say that the connection closes
        self.socket = socket.socket()
        if receive_buffer:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.socket.settimeout(CONNECT_TIMEOUT_S)
        try:
            self.socket.connect((edge, platform.CLIENT_PORT))
        except OSError:
            self.socket.close()
            raise
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def close(self):
        self.socket.close()

    def receive(self, until, size=65536):
        """Reads what is there, at least a byte."""
        self.socket.settimeout(max(0.001, until - time.monotonic()))
        try:
            data = self.socket.recv(size)
        except TimeoutError:
            raise Incomplete("time-out") from None
        except OSError:
            raise Incomplete("reset") from None
        if not data:
            raise Incomplete("closed")
        self.unread += data

    def receive_for(self, seconds):
        """Reads what arrives within this time; an end is left to the next read."""
        until = time.monotonic() + seconds
        try:
            while time.monotonic() < until:
                self.receive(until)
        except Incomplete:
            pass

    def is_closed(self):
        """Whether the edge has closed it, or has sent anything, while no request was in progress."""
        self.socket.settimeout(0.0)
        try:
            self.socket.recv(1, socket.MSG_PEEK)
            return True
        except BlockingIOError:
            return False
        except OSError:
            return True

    def wait_for_end(self):
        """Keeps it open until the edge closes it."""
        until = time.monotonic() + MAX_OPEN_S
        try:
            while True:
                self.receive(until)
        except Incomplete:
            pass

    def read_until(self, mark, until):
        while mark not in self.unread:
            self.receive(until)
        data, _, self.unread = self.unread.partition(mark)
        return data

    def has_promise(self):
        """Whether the head of the answer in progress is here, and does not say that the connection closes."""
        head, mark, _ = self.unread.partition(b"\r\n\r\n")
        return bool(mark) and b"\r\nconnection: close" not in head.lower()

    def read_answer(self, attempt, until, pace_s=0.0):
        """Reads one answer into the attempt and returns its body. \param pace_s the time that its body should take"""
        try:
            head = self.read_until(b"\r\n\r\n", until).decode("latin-1").split("\r\n")
            attempt.status = int(head[0].split(" ")[1])
            fields = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in head[1:])}
            attempt.retry_after = fields.get("retry-after")
            attempt.closes = fields.get("connection", "").lower() == "close"
            self.kept_by_answer = not attempt.closes
            if fields.get("transfer-encoding") == "chunked":
                body = self.read_chunks(attempt, until)
            else:
                body = self.read_length(attempt, int(fields["content-length"]), until, pace_s)
            attempt.answered = True
            return body
        except Incomplete as error:
            attempt.end = str(error)
        except (ValueError, KeyError, IndexError):
            attempt.end = "malformed"
        return None

    def read_chunks(self, attempt, until):
        body = b""
        while True:
            size = int(self.read_until(b"\r\n", until), 16)
            while len(self.unread) < size + 2:
                self.receive(until)
            body += self.unread[:size]
            self.unread = self.unread[size + 2:]
            attempt.body_bytes = len(body)
            if not size:
                return body

    def read_length(self, attempt, size, until, pace_s):
        """Reads in equal steps, with a pause after each."""
        begin, parts = time.monotonic(), [self.unread[:size]]
        self.unread = self.unread[size:]
        attempt.body_bytes = len(parts[0])
        while attempt.body_bytes < size:
            self.receive(until, min(size - attempt.body_bytes, max(1, size // BIG_STEPS) if pace_s else 65536))
            parts.append(self.unread)
            self.unread = b""
            attempt.body_bytes += len(parts[-1])
            ahead_s = begin + pace_s * attempt.body_bytes / size - time.monotonic()
            if ahead_s > 0:
                time.sleep(ahead_s)
        return b"".join(parts)


class Order:
    """What a request asks for, and the answer that is whole."""

    def __init__(self, identity, kind, query, expected, body=None):
        self.identity, self.kind, self.expected = identity, kind, expected
        self.path = "/%s/%s%s" % (kind, identity, query)
        self.body = identity.encode() if body is None else body
        self.hint = None

    def head(self):
        method = "GET" if self.kind == "get" else "POST"
        lines = ["%s %s HTTP/1.1" % (method, self.path), "Host: a.example", "Shuntrun-Request-Id: " + self.identity,
                 "Shuntrun-Deadline-Ms: %d" % (1000 * DEADLINE_S), "Authorization: Bearer key-a"]
        if self.hint:
            lines.append("Shuntrun-Length-Hint: %d" % self.hint)
        if method == "POST":
            lines.append("Content-Length: %d" % len(self.body))
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def wire(self):
        return self.head() + (self.body if self.kind != "get" else b"")


def stream_order(rng, identity, seconds, body=None):
    """A stream of this length. One half varies the gap of events, the other their number; a third has a length hint."""
    if rng.random() < 0.5:
        events, gap_s = PACED_EVENTS, seconds / PACED_EVENTS
    else:
        events, gap_s = max(2, round(seconds / EVENT_GAP_S)), EVENT_GAP_S
    order = Order(identity, "stream", "?events=%d&gap_ms=%.1f" % (events, 1000 * gap_s),
                  standin.whole_stream(1, events), body)
    if rng.random() < 1 / 3:
        order.hint = max(1, round(events * rng.lognormvariate(0, 0.5)))
    return order


def put_order(identity, body):
    path = "/put/" + identity
    return Order(identity, "put", "", standin.plain_payload(path, body), body)


def big_order(rng, identity):
    size = rng.randint(*BIG_BYTES)
    query = "?bytes=%d" % size
    return Order(identity, "get", query, standin.plain_payload("/get/" + identity + query, b"", size))


class Caller:
    """Sends requests and records the attempts."""

    def __init__(self, soak, name, rng):
        self.soak, self.name, self.rng = soak, name, rng
        self.count = 0
        self.attempts = []
        self.failed_connects = 0
        self.closed_while_idle = 0
        self.unfinished_uploads = 0  # the edge answered or closed before the request was wholly sent

    def next_identity(self):
        self.count += 1
        return "s-%s-%04d" % (self.name, self.count)

    def connect(self, edge, receive_buffer=None):
        """None if this fails."""
        try:
            return Connection(edge, receive_buffer)
        except OSError:
            self.failed_connects += 1
            return None

    def begin(self, connection, client, order):
        attempt = Attempt(order.identity, client, order.kind, connection.edge, time.monotonic(),
                          promised=connection.kept_by_answer)
        self.attempts.append(attempt)
        return attempt

    def send(self, connection, client, order):
        attempt = self.begin(connection, client, order)
        attempt.sent = time.monotonic()
        self.send_bytes(connection, order.wire(), attempt)
        return attempt

    @staticmethod
    def send_bytes(connection, data, attempt):
        """Returns whether the connection took them; if not, what the edge has sent may still be read."""
        try:
            connection.socket.settimeout(DEADLINE_S)
            connection.socket.sendall(data)
            return True
        except OSError:
            attempt.end = "reset"
            return False

    def read(self, connection, attempt, order, pace_s=0.0):
        body = connection.read_answer(attempt, attempt.begun + DEADLINE_S + ANSWER_MARGIN_S, pace_s)
        attempt.ended = time.monotonic()
        attempt.whole = attempt.answered and attempt.status == 200 and body == order.expected

    def ask(self, connection, client, order):
        attempt = self.send(connection, client, order)
        self.read(connection, attempt, order)
        return attempt

    def stream(self, seconds, body=None):
        return stream_order(self.rng, self.next_identity(), self.rng.uniform(*seconds), body)

    def ask_pair(self, connection):
        """Sends a second request while the first runs. Returns whether the connection is kept."""
        first_order, second_order = self.stream(FIRST_OF_PAIR_S), self.stream(SHORT_STREAM_S)
        first = self.send(connection, "first", first_order)
        connection.receive_for(self.rng.uniform(*SECOND_AFTER_S))
        promised = connection.has_promise()
        second = self.send(connection, "second", second_order)
        second.first, second.promised = first, promised
        self.read(connection, first, first_order)
        if not first.answered:
            second.ended, second.end = first.ended, first.end
            return False
        self.read(connection, second, second_order)
        return second.answered and not second.closes

    def upload(self, connection, whole_at):
        """Sends a body in parts, so that it is whole at this time."""
        body = self.rng.randbytes(self.rng.randint(*UPLOAD_BYTES))
        order = self.stream(STREAM_S, body) if self.rng.random() < 0.6 else put_order(self.next_identity(), body)
        attempt = self.begin(connection, "upload", order)
        wire = order.wire()
        ends = [len(wire) - len(body) + len(body) * n // UPLOAD_PARTS for n in range(UPLOAD_PARTS + 1)]
        gap_s = max(0.0, whole_at - time.monotonic()) / UPLOAD_PARTS
        for begin, end in zip([0] + ends, ends):
            if begin:
                time.sleep(gap_s)
            if end == len(wire):
                attempt.sent = time.monotonic()
            if connection.is_closed() or not self.send_bytes(connection, wire[begin:end], attempt):
                attempt.sent = None
                self.unfinished_uploads += 1
                break
        self.read(connection, attempt, order)

    def take_slowly(self, edge):
        connection = self.connect(edge, BIG_RECEIVE_BUFFER)
        if not connection:
            return
        order = big_order(self.rng, self.next_identity())
        attempt = self.send(connection, "big", order)
        self.read(connection, attempt, order, self.rng.uniform(*BIG_TAKEN_S))
        connection.close()


class Addresses:
    """Addresses of edges as a client knows them. An answer of the directory is held for three times its ttl_s, and
    longer if there is no new one; addresses that failed are left out until then."""

    def __init__(self, rng):
        self.rng = rng
        self.addresses, self.failed, self.until = [], set(), 0.0

    def choose(self):
        if time.monotonic() >= self.until:
            self.resolve()
        known = [a for a in self.addresses if a not in self.failed] or self.addresses
        return self.rng.choice(known) if known else None

    def resolve(self):
        for edge in self.rng.sample(platform.EDGE_IPS, DIRECTORY_TRIES):
            answer = self.ask_directory(edge)
            if answer:
                self.addresses = [address.split(":")[0] for address in answer["addresses"]]
                self.failed.clear()
                self.until = time.monotonic() + TTL_FACTOR * answer["ttl_s"]
                return

    @staticmethod
    def ask_directory(edge):
        connection = http.client.HTTPConnection(edge, platform.DIRECTORY_PORT, timeout=CONNECT_TIMEOUT_S)
        try:
            connection.request("GET", "/api/resolve?name=a.example&region=region-a&zone=zone-a")
            response = connection.getresponse()
            answer = json.loads(response.read()) if response.status == 200 else {}
            return answer if answer.get("addresses") and "ttl_s" in answer else None
        except (OSError, http.client.HTTPException, ValueError):
            return None
        finally:
            connection.close()


class SteadyClient(threading.Thread):
    """Sends requests all the time, in the way of its kind."""

    def __init__(self, soak, kind, number):
        super().__init__(daemon=True)
        rng = random.Random("stops %s %d %d" % (kind, soak.seed, number))
        self.soak, self.kind, self.rng = soak, kind, rng
        self.caller = Caller(soak, "%s%d" % (kind, number), rng)
        self.addresses = Addresses(rng)
        self.start()

    def run(self):
        time.sleep(self.rng.uniform(0.0, 1.0))
        while not self.soak.stop_requested.is_set():
            edge = self.addresses.choose()
            before = self.caller.failed_connects
            if edge:
                getattr(self, "run_" + self.kind)(edge)
            if not edge or self.caller.failed_connects > before:
                self.addresses.failed.add(edge)
                time.sleep(0.1)
            time.sleep(self.rng.uniform(*REST_S))

    def run_held(self, edge):
        connection = self.caller.connect(edge)
        if connection:
            self.caller.ask(connection, "held", self.caller.stream(STREAM_S))
            connection.close()

    def run_kept(self, edge):
        """Keeps the connection for as long as the edge does."""
        connection = self.caller.connect(edge)
        while connection and not self.soak.stop_requested.is_set():
            attempt = self.caller.ask(connection, "kept", self.caller.stream(STREAM_S))
            if not self.may_go_on(connection, attempt.answered and not attempt.closes):
                break
        if connection:
            connection.close()

    def run_pair(self, edge):
        connection = self.caller.connect(edge)
        while connection and not self.soak.stop_requested.is_set():
            if not self.may_go_on(connection, self.caller.ask_pair(connection)):
                break
        if connection:
            connection.close()

    def may_go_on(self, connection, kept):
        if not kept:
            return False
        if self.rng.random() < AT_ONCE_SHARE:
            return True
        time.sleep(self.rng.uniform(*REST_S))
        if connection.is_closed():
            self.caller.closed_while_idle += 1
            return False
        return True

    def run_upload(self, edge):
        connection = self.caller.connect(edge)
        if connection:
            self.caller.upload(connection, time.monotonic() + self.rng.uniform(*UPLOAD_S))
            connection.close()

    def run_big(self, edge):
        self.caller.take_slowly(edge)


class AimedClient(threading.Thread):
    """Sends one request, or a pair, to an edge that stops, so that it is wholly sent at a drawn time after SIGTERM."""

    def __init__(self, soak, kind, number, edge, whole_at):
        super().__init__(daemon=True)
        rng = random.Random("stops aimed %d %d" % (soak.seed, number))
        self.kind, self.rng, self.edge, self.whole_at = kind, rng, edge, whole_at
        self.caller = Caller(soak, "aimed%d" % number, rng)
        self.start()

    def sleep_until(self, at):
        time.sleep(max(0.0, at - time.monotonic()))

    def run(self):
        self.sleep_until(self.whole_at - self.lead_s())
        if self.kind == "big":
            self.caller.take_slowly(self.edge)
            return
        connection = self.caller.connect(self.edge)
        if not connection:
            return
        getattr(self, "run_" + self.kind)(connection)
        connection.wait_for_end()
        connection.close()

    def lead_s(self):
        """From the connect to the time at which the request is whole."""
        if self.kind == "open":
            return float("inf")
        return self.rng.uniform(*UPLOAD_S) if self.kind == "upload" else 0.0

    def run_late(self, connection):
        self.caller.ask(connection, "late", self.caller.stream(STREAM_S))

    def run_open(self, connection):
        """Its first request comes on a connection that has been open since SIGTERM."""
        self.sleep_until(self.whole_at)
        if connection.is_closed():
            self.caller.closed_while_idle += 1
        else:
            self.caller.ask(connection, "open", self.caller.stream(STREAM_S))

    def run_upload(self, connection):
        self.caller.upload(connection, self.whole_at)

    def run_pair(self, connection):
        self.caller.ask_pair(connection)


class Stop:
    """A planned stop of an edge."""

    def __init__(self, edge):
        self.edge = edge
        self.at = time.monotonic()  # of SIGTERM
        self.ended = None           # of the process
        self.status = None


class StopClients:
    """All clients of the option."""

    def __init__(self, soak):
        self.soak = soak
        self.aimed = []
        kinds = (("held", HOLDERS), ("kept", KEEPERS), ("pair", PAIRS), ("upload", UPLOADERS), ("big", TAKERS))
        self.steady = [SteadyClient(soak, kind, number) for kind, count in kinds
                       for number in range(count * len(platform.EDGE_IPS))]

    def aim(self, stop):
        rng = random.Random("stops aim %d %d" % (self.soak.seed, len(self.aimed)))
        for kind, count, span_s in AIMED:
            for _ in range(count):
                self.aimed.append(AimedClient(self.soak, kind, len(self.aimed), stop.edge,
                                              stop.at + rng.uniform(*span_s)))

    def join(self):
        """Waits for the last answers."""
        for client in self.steady + self.aimed:
            client.join(timeout=2 * (DEADLINE_S + ANSWER_MARGIN_S))

    def callers(self):
        return [client.caller for client in self.steady + self.aimed]

    def attempts(self):
        return [a for caller in self.callers() for a in caller.attempts]
