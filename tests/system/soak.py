#!/usr/bin/env python3
"""A seeded soak: real edges and loaders before the stand-in platform, with faults from outside.

From a seed it draws a schedule of faults, writes it out, plays it, and checks from what clients and
back ends saw, without the system's logs:

  whole      a success is the whole answer to its own request
  weights    what an engine takes when it is ordered to is whole and of the ordered version
  once       an unrepeatable request runs at most once
  not-run    what was answered 429 or 503 has not run and does not run later
  drain      nothing begins at a back end longer than DRAIN_S after the store said that it leaves
  leaving    nothing comes from an edge to a back end longer than DRAIN_S after it told that edge, in an
             answer, that it leaves
  resting    a back end that asked an edge for rest gets at most REST_ARRIVALS requests from it in that
             time, but for what was on its way
  streams    a stream that has begun ends whole, unless an engine broke it off or its time was over
  entries    nothing is sent to what a bad entry of the list names
  crashing   a request under which three engines ended reaches none later than CALM_S after the third
  others     no other request is refused as one that crashes engines
  planned    a stopped edge ends by itself with status 0, and cuts no request that it has read
  alive      no process ends without being told to
  recovery   requests are served again within RECOVERY_S of the last fault

Times get the slack of a busy machine, measured in the same run: how late this process wakes.

With --crashing requests that end each engine which runs them come besides, with --statements back ends
that say in their answers that they leave, or ask for rest; the schedule of a seed is the same with and
without.

usage: soak.py --build DIR --work DIR [--seeds A..B] [--seconds S] [--only N,N] [--crashing]
               [--statements]
"""
import argparse
import http.client
import json
import os
import random
import signal
import socket
import sys
import threading
import time
import typing

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_standin as standin  # noqa: E402
import platform_test as fleet  # noqa: E402

DRAIN_S = 2.0        # the platform's bound on new work for a back end that leaves
SERVES_ON_S = 3.0    # for which a back end that leaves still serves
RECOVERY_S = 12.0    # the platform's bound
CALM_S = 3.0         # without trouble of the store, after which its news bind
GRACE_S = 8          # from SIGTERM to the end
NEXT_WEIGHTS_S = 2.5  # between two versions; the first engine's turn is 2 s after one is named
CLIENTS = 8
DEADLINE_S = 2.0
TRAP_PORT = 8106     # where bad entries lead, each to an address of its own
FAULT_GAP_S = (0.3, 1.2)
CRASHING_GAP_S = (2.0, 5.0)  # between the first coming of two requests that end engines
CRASHING_REPEAT_S = 0.2
CRASHING_FOR_S = 6.0
CRASHES_TO_BLOCK = 3
BLOCKED = b"several back ends ended"  # in the answer to such a request
STATEMENT_GAP_S = (0.4, 1.5)  # between two faults of back ends that say something of themselves
RESTS_S = (0.7, 1.5, 3.0, 6.0)
REST_SETTLES_S = 0.5  # the platform's bound on what was on its way
REST_ARRIVALS = 2    # the platform's bound within the rest of that time
SPARE_S = 0.3        # beside the measured slack: a request on its way


class Slack(threading.Thread):
    """How late this process wakes from short sleeps, at most: a measure of the machine's load."""

    def __init__(self):
        super().__init__(daemon=True)
        self.most = 0.0
        self.start()

    def run(self):
        while True:
            before = time.monotonic()
            time.sleep(0.02)
            self.most = max(self.most, time.monotonic() - before - 0.02)


class Result(typing.NamedTuple):
    """One request as its client saw it; times on the monotonic clock, s."""
    identity: str
    kind: str
    edge: str
    sent: float
    ended: float
    status: int | None   # None: no answer
    whole: bool          # the whole answer to this request
    cut: bool            # the connection broke after the request was handed over
    blocked: bool        # refused as one that crashes engines


class Client(threading.Thread):
    """Sends requests one after the other over kept connections; notes what came back."""

    KINDS = (("get", "GET"), ("put", "POST"), ("stream", "POST"))  # kind of request, method

    def __init__(self, soak, number):
        super().__init__(daemon=True)
        self.soak = soak
        self.random = random.Random(soak.seed * 1000 + number)
        self.number = number
        self.connection = None
        self.edge = None
        self.results = []
        self.start()

    def run(self):
        count = 0
        while not self.soak.over.is_set():
            count += 1
            self.send("c%02d-%06d" % (self.number, count))
            time.sleep(self.random.uniform(0.005, 0.03))

    def connect(self):
        edges = [ip for ip in fleet.EDGES if self.soak.is_open(ip)] or fleet.EDGES
        self.edge = self.random.choice(edges)
        self.connection = http.client.HTTPConnection(self.edge, fleet.FRONT, timeout=4)

    def send(self, identity):
        kind, method = self.random.choice(self.KINDS)
        path = "/%s/%s" % (kind, identity)
        if not self.connection:  # an open one is used until the process is gone
            self.connect()
        body = identity.encode() if method != "GET" else None
        fields = {"Host": "a.example", "Shuntrun-Request-Id": identity,
                  "Shuntrun-Deadline-Ms": str(int(1000 * DEADLINE_S)), "Authorization": "Bearer key-a"}
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
                                   handed_over and data is None, BLOCKED in (data or b"")))

    @staticmethod
    def is_whole(kind, path, body, data):
        if kind == "stream":
            return data == fleet.whole_stream()
        return data == b"answer to " + path.encode() + b" " + (body or b"")


class Crashing(threading.Thread):
    """A caller whose request ends each engine that runs it, and comes again under new ids."""

    def __init__(self, soak, number):
        super().__init__(daemon=True)
        self.soak = soak
        self.body = b"crash-%d" % number
        self.random = random.Random(soak.seed * 1000 + number)
        self.edges = {}  # id of a request -> the edge that it was sent to
        self.start()

    def run(self):
        end = time.monotonic() + CRASHING_FOR_S
        while time.monotonic() < end and not self.soak.over.is_set():
            identity = "%s-%03d" % (self.body.decode(), len(self.edges))
            self.edges[identity] = self.random.choice(fleet.EDGES)
            threading.Thread(target=self.send, args=(identity,), daemon=True).start()
            time.sleep(CRASHING_REPEAT_S)

    def send(self, identity):
        connection = http.client.HTTPConnection(self.edges[identity], fleet.FRONT, timeout=4)
        try:
            connection.request("POST", "/stream/" + self.body.decode(), self.body, {
                "Host": "a.example", "Shuntrun-Request-Id": identity,
                "Shuntrun-Deadline-Ms": str(int(1000 * DEADLINE_S)), "Authorization": "Bearer key-a"})
            connection.getresponse().read()
        except (OSError, http.client.HTTPException):
            pass  # what engines ran is judged, not its answers
        finally:
            connection.close()


class Soak:
    def __init__(self, seed, options, work):
        self.seed = seed
        self.with_crashing = options.crashing
        self.with_statements = options.statements
        self.crashing = []        # callers whose requests end engines
        self.crashing_bodies = set()
        self.random = random.Random(seed)
        self.seconds = options.seconds
        self.only = options.only
        self.work = work
        self.over = threading.Event()
        self.slack = Slack()
        self.findings = []
        self.starts = []          # every back end that ever began
        self.left_at = {}         # identity -> time at which the store said that it leaves
        self.live = {}            # address -> back end
        self.closed = set()       # edges that were told to stop, or are away
        self.trouble_until = 0.0  # of the store
        self.troubles = []        # (begin, end) of the store's
        self.away = []            # (edge, begin, end): killed, stopped or frozen, and 3 s after
        self.stops = []           # (edge, time of SIGTERM)
        self.timers = []          # ends of faults
        self.bad_names = {}       # name of a bad entry -> address in it
        self.stopping = []        # threads that wait for a stop
        self.edges, self.loaders = {}, {}
        self.version = 1          # of the configuration
        self.weights = 1

    # --- schedule

    FAULTS = ("drain", "leave", "crash", "start_again", "bad_entries", "pause", "store_silent",
              "store_busy", "edge_kill", "edge_term", "edge_freeze", "loader_kill", "loader_freeze",
              "answers", "config", "weights")

    def draw(self):
        schedule, at = [], 1.0
        while at < self.seconds:
            schedule.append({"number": len(schedule), "at": round(at, 2),
                             "kind": self.random.choice(self.FAULTS),
                             "which": self.random.randrange(1000),
                             "for_s": round(self.random.uniform(0.2, 3.0), 2)})
            at += self.random.uniform(*FAULT_GAP_S)
        if self.with_crashing:
            self.draw_crashing(schedule)
        if self.with_statements:
            self.draw_statements(schedule)
        schedule.sort(key=lambda fault: fault["at"])
        with open(os.path.join(self.work, "schedule.json"), "w") as stream:
            json.dump(schedule, stream, indent=1)
        return [f for f in schedule if not self.only or f["number"] in self.only]

    def draw_crashing(self, schedule):
        """Beside the others, which stay as they are."""
        chance = random.Random("crashing %d" % self.seed)
        at = 1.5
        while at < self.seconds:
            schedule.append({"number": len(schedule), "at": round(at, 2), "kind": "crashing",
                             "which": chance.randrange(1000), "for_s": CRASHING_FOR_S})
            at += chance.uniform(*CRASHING_GAP_S)

    def draw_statements(self, schedule):
        """Beside the others, which stay as they are."""
        chance = random.Random("statements %d" % self.seed)
        at = 1.2
        while at < self.seconds:
            schedule.append({"number": len(schedule), "at": round(at, 2),
                             "kind": chance.choice(("say_leaving", "say_leaving_and_start_again",
                                                    "rest", "rest", "rest_all")),
                             "which": chance.randrange(1000), "for_s": chance.choice(RESTS_S)})
            at += chance.uniform(*STATEMENT_GAP_S)

    # --- the world

    def begin_backend(self, address, service, version=None):
        identity = "b%d-%s" % (len(self.starts), address[0])
        backend = standin.Backend(address, identity, self.store, service, version)
        self.add_backend(backend)

    def add_backend(self, backend):
        backend.crashing_bodies = self.crashing_bodies
        self.starts.append(backend)
        self.live[backend.address] = backend

    def open(self):
        self.store = standin.Store(fleet.STORE)
        self.origin = standin.Origin(fleet.ORIGIN)
        for index, ip in enumerate(fleet.SIDES):
            self.begin_backend((ip, fleet.ENGINE), "llm", 1)
        for ip in fleet.PLAIN:
            self.begin_backend((ip, fleet.ENGINE), "records")
        self.begin_trap()
        self.put_configuration()
        self.edges = {ip: fleet.edge(ip) for ip in fleet.EDGES}
        self.loaders = {ip: fleet.loader(ip) for ip in fleet.SIDES}
        fleet.wait_for(self.all_ready, "ready edges")
        fleet.wait_for(lambda: fleet.ask("POST", "/stream/1", b"x").status == 200, "a stream")

    def begin_trap(self):
        """A back end that the list never names in a valid entry."""
        self.trap = standin.Backend(("0.0.0.0", TRAP_PORT), "trap", self.store, "records", state="gone")

    def put_configuration(self):
        """All routes allow two attempts: what keeps an unrepeatable request from the second is its kind."""
        configuration = fleet.configuration(self.version)
        for route in configuration["routes"]:
            route["attempts"] = 2
        self.store.put("op/config", configuration)

    def all_ready(self):
        return all(fleet.get(ip, fleet.READY, "/api/readiness")[0] == 200 for ip in fleet.EDGES)

    def close(self):
        for node in list(self.edges.values()) + list(self.loaders.values()):
            node.stop()
        for backend in list(self.live.values()) + [self.trap]:
            backend.crash()
        for server in (self.store.server, self.origin.server):
            server.shutdown()
            server.server_close()

    def is_open(self, edge):
        return edge not in self.closed

    # --- faults

    def later(self, seconds, action, *arguments):
        timer = threading.Timer(seconds, action, arguments)
        timer.daemon = True
        timer.start()
        self.timers.append(timer)

    def pick_backend(self, fault):
        """One that is listed and whose service keeps another one."""
        choices = [b for b in self.live.values() if b.identity not in self.left_at and
                   sum(o.service == b.service and o.identity not in self.left_at
                       for o in self.live.values()) > 1]
        return choices[fault["which"] % len(choices)] if choices else None

    def replace(self, backend):
        """The back end ends; another one begins at its address, empty if it is an engine."""
        backend.crash()
        version = None
        self.begin_backend(backend.address, backend.service, version)

    def note_leaving(self, backend):
        self.left_at[backend.identity] = time.monotonic()

    def fault_drain(self, fault):
        backend = self.pick_backend(fault)
        if backend:
            backend.list("draining")
            self.note_leaving(backend)
            self.later(SERVES_ON_S, self.end_backend, backend)

    def fault_leave(self, fault):
        backend = self.pick_backend(fault)
        if backend:
            backend.leave()
            self.note_leaving(backend)
            self.later(SERVES_ON_S, self.replace, backend)

    def fault_say_leaving(self, fault):
        """It says so in its answers alone, serves on for longer than the bound, and ends."""
        backend = self.pick_backend(fault)
        if backend:
            backend.say_leaving()
            self.left_at[backend.identity] = float("inf")  # the store says nothing
            self.later(DRAIN_S + fault["for_s"], self.end_backend, backend)

    def fault_say_leaving_and_start_again(self, fault):
        """Its next start, under the same id, does not leave."""
        backend = self.pick_backend(fault)
        if backend:
            backend.say_leaving()
            self.left_at[backend.identity] = float("inf")
            self.later(fault["for_s"], self.start_again, backend)

    def start_again(self, backend):
        backend.crash()
        self.left_at.pop(backend.identity, None)
        self.add_backend(standin.Backend(backend.address, backend.identity, self.store,
                                         backend.service))

    def fault_rest(self, fault):
        list(self.live.values())[fault["which"] % len(self.live)].rest(fault["for_s"])

    def fault_rest_all(self, fault):
        """All of one service."""
        service = ("llm", "records")[fault["which"] % 2]
        for backend in self.live.values():
            if backend.service == service:
                backend.rest(fault["for_s"])

    def fault_crash(self, fault):
        backend = self.pick_backend(fault)
        if backend:
            self.left_at[backend.identity] = float("inf")  # nothing can begin there any more
            self.later(SERVES_ON_S, backend.leave)
            self.replace(backend)

    def fault_start_again(self, fault):
        """It starts again under its id, at once, and holds nothing of before."""
        backend = self.pick_backend(fault)
        if backend:
            self.start_again(backend)

    def fault_bad_entries(self, fault):
        """Entries of other writers beside good ones, and one in place of a good one for a while."""
        good = {"service": "records", "address": "", "zone": "zone-a", "version": "v1", "slots": 16,
                "state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": 1}
        for name in good:
            self.put_bad("less-" + name, {k: v for k, v in good.items() if k != name})
            self.put_bad("odd-" + name, dict(good, **{name: [good[name]]}))
        self.put_bad("state", dict(good, state="resting"))
        self.put_bad("service", dict(good, service="unnamed"))
        for number, value in enumerate((b"", b"\xff\xfe", b"{", b"[" * 5000, None)):
            self.store.put_bytes("servers/bad-%d" % number, value)
        backend = self.pick_backend(fault)
        if backend:
            self.store.put_bytes("servers/" + backend.identity, b"{}")
            self.later(fault["for_s"], backend.list)

    def put_bad(self, name, value):
        self.bad_names.setdefault(name, "127.9.6.%d:%d" % (1 + len(self.bad_names), TRAP_PORT))
        if value.get("address") == "":
            value = dict(value, address=self.bad_names[name])
        self.store.put("servers/bad-" + name, value)

    def end_backend(self, backend):
        backend.leave()
        self.replace(backend)

    def fault_store_silent(self, fault):
        self.change_store("silent", fault["for_s"])

    def fault_store_busy(self, fault):
        self.change_store("busy", fault["for_s"])

    def change_store(self, mode, seconds):
        self.store.mode = mode
        self.trouble_until = max(self.trouble_until, time.monotonic() + seconds)
        self.troubles.append((time.monotonic(), time.monotonic() + seconds))
        self.later(seconds, self.calm_store)

    def calm_store(self):
        if time.monotonic() >= self.trouble_until - 0.01:
            self.store.mode = "good"

    def pick_edge(self, fault):
        """None while another one is away: somebody has to serve."""
        if self.closed:
            return None
        ip = fleet.EDGES[fault["which"] % len(fleet.EDGES)]
        self.closed.add(ip)
        self.away.append([ip, time.monotonic(), float("inf")])
        return ip

    def reopen(self, ip):
        self.closed.discard(ip)
        for entry in self.away:
            if entry[0] == ip and entry[2] == float("inf"):
                entry[2] = time.monotonic() + CALM_S

    def restart(self, nodes, ip):
        nodes[ip].start()
        self.later(1.5, self.reopen, ip)

    def fault_edge_kill(self, fault):
        ip = self.pick_edge(fault)
        if ip:
            self.edges[ip].stop()
            self.later(fault["for_s"], self.restart, self.edges, ip)

    def fault_edge_term(self, fault):
        if not self.closed:
            for backend in self.live.values():
                if backend.service == "llm":
                    backend.faults.extend(["slow"] * 3)  # so that streams are under way
            time.sleep(0.3)
        ip = self.pick_edge(fault)
        if ip:
            self.stops.append((ip, time.monotonic()))
            self.edges[ip].process.send_signal(signal.SIGTERM)
            stop = threading.Thread(target=self.await_stop, args=(ip,), daemon=True)
            stop.start()
            self.stopping.append(stop)

    def await_stop(self, ip):
        status = self.edges[ip].process.wait(timeout=GRACE_S + self.slack.most + 5)
        if status:
            self.find("planned", "edge %s ended with %s after SIGTERM" % (ip, status))
        self.restart(self.edges, ip)

    def freeze(self, node, seconds):
        process = node.process
        process.send_signal(signal.SIGSTOP)
        self.later(seconds, process.send_signal, signal.SIGCONT)

    def fault_edge_freeze(self, fault):
        ip = self.pick_edge(fault)
        if ip:
            self.freeze(self.edges[ip], fault["for_s"])
            self.later(fault["for_s"] + CALM_S, self.reopen, ip)

    def fault_loader_kill(self, fault):
        ip = fleet.SIDES[fault["which"] % len(fleet.SIDES)]
        self.loaders[ip].stop()
        self.loaders[ip].start()

    def fault_loader_freeze(self, fault):
        self.freeze(self.loaders[fleet.SIDES[fault["which"] % len(fleet.SIDES)]], fault["for_s"])

    def fault_answers(self, fault):
        words = ("reset", "error", "silent", "unsealed", "foreign", "shed", "torn", "slow", "pause")
        backend = list(self.live.values())[fault["which"] % len(self.live)]
        backend.faults.extend([words[fault["which"] % len(words)]] * 3)

    def fault_pause(self, fault):
        """The next streams of one engine say nothing for longer than a gateway bears gladly."""
        engines = [b for b in self.live.values() if b.service == "llm"]
        engines[fault["which"] % len(engines)].faults.extend(["pause"] * 4)

    def fault_crashing(self, fault):
        caller = Crashing(self, len(self.crashing))
        self.crashing_bodies.add(caller.body)
        self.crashing.append(caller)

    def fault_config(self, fault):
        self.version += 1
        self.put_configuration()

    def fault_weights(self, fault):
        """Every second time, each engine's next order gets no answer and is taken later; one more
        version is named when the first engines were ordered to take this one."""
        self.name_weights()
        if fault["which"] % 2:
            for backend in self.live.values():
                backend.orders_to_hold = 1
            self.later(NEXT_WEIGHTS_S, self.name_weights)

    def name_weights(self):
        self.weights += 1
        self.origin.newest = self.weights
        self.store.put("op/version/" + standin.MODEL,
                       {"model": standin.MODEL, "version": self.weights})

    # --- play

    def play(self):
        schedule = self.draw()
        try:
            self.open()
            self.play_faults(schedule)
            self.await_faults()
            self.store.mode = "good"
            self.await_recovery()
            self.over.set()
            for client in self.clients:
                client.join(timeout=10)
            self.check()
        finally:
            self.over.set()
            self.close()

    def play_faults(self, schedule):
        self.clients = [Client(self, number) for number in range(CLIENTS)]
        begin = time.monotonic()
        for fault in schedule:
            time.sleep(max(0, begin + fault["at"] - time.monotonic()))
            getattr(self, "fault_" + fault["kind"])(fault)
            self.check_alive()

    def await_faults(self):
        """The end of a fault may set a timer again, for example for a restart."""
        while self.timers or self.stopping:
            pending = self.timers + self.stopping
            self.timers, self.stopping = [], []
            for thread in pending:
                thread.join()

    def check_alive(self):
        for ip, node in list(self.edges.items()) + list(self.loaders.items()):
            status = node.process.poll()
            if status is not None and ip not in self.closed:
                self.find("alive", "%s ended with %s" % (ip, status))

    def await_recovery(self):
        end = time.monotonic() + RECOVERY_S + self.slack.most
        while time.monotonic() < end:
            recent = [r for c in self.clients for r in c.results[-3:]
                      if r.sent > time.monotonic() - 2]
            if len(recent) >= CLIENTS and all(r.status == 200 for r in recent):
                return
            time.sleep(0.2)
        self.find("recovery", "not all requests are served %.1f s after the last fault" % RECOVERY_S)

    def find(self, promise, text):
        self.findings.append("%s: %s" % (promise, text))

    # --- checks

    def check(self):
        results = [r for client in self.clients for r in client.results]
        runs = {}
        for backend in self.starts:
            for run in backend.runs:
                runs.setdefault(run[0], []).append((backend, run[3]))
        for result in results:
            self.check_result(result, runs.get(result.identity, []))
        edges = {r.identity: r.edge for r in results}
        for caller in self.crashing:
            edges.update(caller.edges)
        for backend in self.starts:
            self.check_weights(backend)
            self.check_drain(backend, edges)
            self.check_leaving(backend, edges)
            self.check_resting(backend, edges)
        for caller in self.crashing:
            self.check_crashing(caller)
        for identity in [run[0] for run in self.trap.runs] + self.trap.turned_away:
            self.find("entries", "%s was sent to what only bad entries name" % identity)
        self.counts = (len(results), sum(r.whole for r in results))

    def check_result(self, result, runs):
        if result.status == 200 and not result.whole and not result.cut:
            self.find("whole", "%s from %s is not whole" % (result.identity, result.edge))
        if result.blocked:
            self.find("others", "%s was refused by %s" % (result.identity, result.edge))
        if result.kind == "put" and len(runs) > 1:
            self.find("once", "%s ran %d times" % (result.identity, len(runs)))
        if result.status in (429, 503) and runs:
            self.find("not-run", "%s was answered %d and ran" % (result.identity, result.status))
        if result.cut and runs:  # it was read
            self.check_cut(result, [backend for backend, _ in runs])
        if result.cut and result.status == 200 and result.kind == "stream":
            self.check_stream(result, [backend for backend, _ in runs])

    @staticmethod
    def is_over(result):
        """The time that its client gave it had passed."""
        return result.ended - result.sent >= DEADLINE_S - SPARE_S

    @staticmethod
    def was_broken_off(result, backends):
        return any(result.identity in backend.broken_off for backend in backends)

    def check_stream(self, result, backends):
        if self.was_broken_off(result, backends):
            return
        if self.is_over(result):
            return
        if any(ip == result.edge and begin <= result.ended <= end for ip, begin, end in self.away):
            return
        self.find("streams", "%s was cut by %s after %.2f s" %
                  (result.identity, result.edge, result.ended - result.sent))

    def check_weights(self, backend):
        for version in backend.corrupt_starts:
            self.find("weights", "%s took version %d from a stage that was not whole" %
                      (backend.identity, version))

    def check_crashing(self, caller):
        ends = sorted(when for backend in self.starts for bodies, when in backend.crashes
                      if caller.body in bodies)
        if len(ends) < CRASHES_TO_BLOCK:
            return
        latest = ends[CRASHES_TO_BLOCK - 1] + CALM_S + 2 * self.slack.most
        late = [run for backend in self.starts for run in backend.runs
                if run[2] == caller.body and run[3] > latest
                and self.is_in_touch(caller.edges[run[0]], run[3])]
        if late:
            self.find("crashing", "%s reached engines %d times later than %.1f s after the third end"
                      % (caller.body.decode(), len(late), latest - ends[CRASHES_TO_BLOCK - 1]))

    def check_cut(self, result, backends):
        """A request that was under way at a stop, or began soon after, is not cut by it; its own
        deadline may end it meanwhile, or the end of its engine when no other has its weights."""
        if self.is_over(result) or self.was_broken_off(result, backends):
            return
        for edge, at in self.stops:
            if (edge == result.edge and at - 2 < result.sent < at + 3
                    and at < result.ended < at + GRACE_S - 1):
                self.find("planned", "%s was cut by the stop of %s" % (result.identity, edge))

    def is_in_touch(self, edge, at):
        """Whether neither the store nor the edge had trouble in the last seconds."""
        if any(begin <= at and at - CALM_S <= end for begin, end in self.troubles):
            return False
        return not any(ip == edge and begin <= at <= end for ip, begin, end in self.away)

    def was_away(self, edge, begin, end):
        """Whether the edge was killed, stopped or frozen between two moments."""
        return any(ip == edge and begin <= until and since <= end for ip, since, until in self.away)

    def check_leaving(self, backend, edges):
        """A restart or freeze of the edge since that answer excuses it; what a start said does not bind
        the next one."""
        bound = DRAIN_S + SPARE_S + 2 * self.slack.most
        told = {}
        for identity, when, start in backend.answers_leaving:
            if identity in edges:
                told.setdefault((edges[identity], start), []).append(when)
        for identity, at, start in backend.arrivals:
            edge = edges.get(identity)
            late = [when for when in told.get((edge, start), ())
                    if at > when + bound and not self.was_away(edge, when, at)]
            if late:
                self.find("leaving", "%s reached %s %.2f s after an answer told %s that it leaves" %
                          (identity, backend.identity, at - late[0], edge))

    def check_resting(self, backend, edges):
        for asked_by, asked_at, seconds, start in backend.rests:
            edge = edges.get(asked_by)
            begin, end = asked_at + REST_SETTLES_S + 2 * self.slack.most, asked_at + seconds
            if not edge or self.was_away(edge, asked_at, end):
                continue
            count = sum(edges.get(identity) == edge and of == start and begin < at < end
                        for identity, at, of in backend.arrivals)
            if count > REST_ARRIVALS:
                self.find("resting", "%s got %d requests of %s in %.2f s of rest" %
                          (backend.identity, count, edge, seconds))

    def check_drain(self, backend, edges):
        left = self.left_at.get(backend.identity)
        if left is None or any(begin <= left <= end + CALM_S for begin, end in self.troubles):
            return  # what the store says in trouble, or just after it, binds nobody
        latest = left + DRAIN_S + SPARE_S + 2 * self.slack.most
        for identity, _, _, at in backend.runs:
            if at > latest and self.is_in_touch(edges.get(identity), at):
                self.find("drain", "%s began at %s %.2f s after it left" %
                          (identity, backend.identity, at - left))


def play_seed(options, seed):
    fleet.OPTIONS = argparse.Namespace(build=options.build,
                                       work=os.path.join(options.work, "seed-%d" % seed))
    os.makedirs(fleet.OPTIONS.work, exist_ok=True)
    soak = Soak(seed, options, fleet.OPTIONS.work)
    soak.play()
    print("seed %d: %d requests, %d served, slack %.0f ms, %d findings" %
          (seed, soak.counts[0], soak.counts[1], 1000 * soak.slack.most, len(soak.findings)),
          flush=True)
    for finding in soak.findings[:10]:
        print("  " + finding, flush=True)
    return not soak.findings


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--build", required=True)
    parser.add_argument("--work", required=True)
    parser.add_argument("--seeds", default="1..1", help="A..B")
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--only", type=lambda text: {int(n) for n in text.split(",")}, default=None,
                        help="numbers of the faults to play")
    parser.add_argument("--crashing", action="store_true",
                        help="requests that end engines come besides")
    parser.add_argument("--statements", action="store_true",
                        help="back ends that leave or rest by their own word come besides")
    options = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(1))  # ends own children on the way
    first, last = (int(n) for n in options.seeds.split(".."))
    good = [play_seed(options, seed) for seed in range(first, last + 1)]
    print("%d passed, %d failed" % (sum(good), len(good) - sum(good)))
    sys.exit(0 if all(good) else 1)


if __name__ == "__main__":
    main()
