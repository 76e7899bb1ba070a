#!/usr/bin/env python3
"""A seeded soak: real edges and loaders before the stand-in platform, with faults from outside.

From a seed it draws a schedule of faults, writes it out, plays it, and checks from what clients and
back ends saw, without the system's logs:

  whole      a success is the whole answer to its own request
  weights    what an engine takes when it is ordered to is whole and of the ordered version
  once       an unrepeatable request runs at most once
  not-run    what was answered 429 or 503 has not run and does not run later
  drain      nothing reaches a back end longer than DRAIN_S after the store said that it leaves, run or not
  leaving    nothing comes from an edge to a back end longer than DRAIN_S after it told that edge, in an
             answer, that it leaves
  backoff    a back end that asked an edge to back off gets at most BACKOFF_ARRIVALS requests from it in that
             time, but for what was on its way
  streams    a stream that has begun ends whole, unless an engine broke it off or its time was over
  entries    nothing is sent to what a bad entry of the list names
  crashing   a request under which three engines ended reaches none later than CALM_S after the third
  others     no other request is refused as one that crashes engines
  planned    a stopped edge ends by itself with status 0, and cuts no request that it has read
  alive      no process ends without being told to
  recovery   requests are served again within RECOVERY_S of the last fault

Times get the slack of a busy machine, measured in the same run: how late this process wakes.

With --crashing requests that end each engine which runs them come besides, with --crash-times each of them after
a time of its own, amid its stream, with --statements back ends
that say in their answers that they leave, or ask to be left alone, with --links links to back ends that are
silent or slow for a while, or reset all connections, with --leaving back ends whose entry of before they said that
they leave is written after it, and moments at which all gateways are killed; the schedule of a seed is the same with and
without.

usage: soak.py --build DIR --work DIR [--seeds A..B|A,B] [--seconds S] [--only N,N] [--crashing]
               [--crash-times] [--statements] [--links] [--leaving]
"""
import argparse
import json
import os
import random
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_standin as standin  # noqa: E402
import platform_test as fleet  # noqa: E402
import soak_checks as checks  # noqa: E402
import soak_clients as clients  # noqa: E402

SERVES_ON_S = 3.0    # for which a back end that leaves still serves
RECOVERY_S = 12.0    # the platform's bound
NEXT_WEIGHTS_S = 2.5  # between two versions; the first engine's turn is 2 s after one is named
CLIENTS = 8
PATIENT_CLIENTS = 4
TRAP_PORT = 8106     # where bad entries lead, each to an address of its own
FAULT_GAP_S = (0.3, 1.2)
CRASHING_GAP_S = (2.0, 5.0)  # between the first coming of two requests that end engines
STATEMENT_GAP_S = (0.4, 1.5)  # between two faults of back ends that say something of themselves
LINK_GAP_S = (0.8, 2.5)  # between two faults of links
LEAVING_GAP_S = (0.8, 2.0)  # between two faults of entries and of all gateways
LATE_ENTRY_S = 0.5     # after the entry that says it leaves, the older one is written
CRASH_TIME_MOST_S = 2.0  # from the begin of a request to the end of its engine, where it is drawn
BACKOFFS_S = (0.7, 1.5, 3.0, 6.0)


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


class Soak(checks.Checks):
    def __init__(self, seed, options, work):
        self.seed = seed
        self.with_crashing = options.crashing
        self.with_statements = options.statements
        self.with_links = options.links
        self.with_leaving = options.leaving
        self.crashing = []        # callers whose requests end engines
        self.crashing_bodies = set()
        self.crash_times = {}     # body -> seconds, where the time is drawn for each request
        self.with_crash_times = options.crash_times
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
        if self.with_links:
            self.draw_links(schedule)
        if self.with_leaving:
            self.draw_leaving(schedule)
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
                             "which": chance.randrange(1000), "for_s": clients.CRASHING_FOR_S})
            at += chance.uniform(*CRASHING_GAP_S)

    def draw_statements(self, schedule):
        """Beside the others, which stay as they are."""
        chance = random.Random("statements %d" % self.seed)
        at = 1.2
        while at < self.seconds:
            schedule.append({"number": len(schedule), "at": round(at, 2),
                             "kind": chance.choice(("say_leaving", "say_leaving_and_start_again",
                                                    "back_off", "back_off", "back_off_all")),
                             "which": chance.randrange(1000), "for_s": chance.choice(BACKOFFS_S)})
            at += chance.uniform(*STATEMENT_GAP_S)

    def draw_links(self, schedule):
        """Beside the others, which stay as they are."""
        chance = random.Random("links %d" % self.seed)
        at = 1.4
        while at < self.seconds:
            schedule.append({"number": len(schedule), "at": round(at, 2),
                             "kind": chance.choice(("link_silent", "link_silent_all", "link_slow",
                                                    "link_reset")),
                             "which": chance.randrange(1000),
                             "for_s": round(chance.uniform(0.2, 3.0), 2)})
            at += chance.uniform(*LINK_GAP_S)

    def draw_leaving(self, schedule):
        """Beside the others, which stay as they are."""
        chance = random.Random("leaving %d" % self.seed)
        at = 1.1
        while at < self.seconds:
            schedule.append({"number": len(schedule), "at": round(at, 2),
                             "kind": chance.choice(("late_entry", "late_entry", "end_all")),
                             "which": chance.randrange(1000),
                             "for_s": round(chance.uniform(0.2, 2.0), 2)})
            at += chance.uniform(*LEAVING_GAP_S)

    # --- the world

    def begin_backend(self, address, service, version=None):
        identity = "b%d-%s" % (len(self.starts), address[0])
        backend = standin.Backend(address, identity, self.store, service, version)
        self.add_backend(backend)

    def add_backend(self, backend):
        backend.crashing_bodies = self.crashing_bodies
        backend.crash_times = self.crash_times
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
            if self.with_links:
                route["timeout_ms"] = int(1000 * clients.Patient.DEADLINE_S)
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

    def fault_late_entry(self, fault):
        """The entry of before it said that it leaves is written after the one that says so."""
        backend = self.pick_backend(fault)
        if backend:
            backend.list("draining")
            self.note_leaving(backend)
            self.later(LATE_ENTRY_S, backend.write_entry, "ready", backend.sequence - 1)
            self.later(checks.DRAIN_S + fault["for_s"], self.end_backend, backend)

    def fault_say_leaving(self, fault):
        """It says so in its answers alone, serves on for longer than the bound, and ends."""
        backend = self.pick_backend(fault)
        if backend:
            backend.say_leaving()
            self.left_at[backend.identity] = float("inf")  # the store says nothing
            self.later(checks.DRAIN_S + fault["for_s"], self.end_backend, backend)

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

    def fault_back_off(self, fault):
        self.any_backend(fault).back_off(fault["for_s"])

    def fault_back_off_all(self, fault):
        for backend in self.of_one_service(fault):
            backend.back_off(fault["for_s"])

    def of_one_service(self, fault):
        service = ("llm", "records")[fault["which"] % 2]
        return [backend for backend in self.live.values() if backend.service == service]

    def any_backend(self, fault):
        return list(self.live.values())[fault["which"] % len(self.live)]

    def fault_link_silent(self, fault):
        self.any_backend(fault).disturb_link(fault["for_s"], silent=True)

    def fault_link_silent_all(self, fault):
        """All of one service: whoever goes elsewhere finds the same."""
        for backend in self.of_one_service(fault):
            backend.disturb_link(fault["for_s"], silent=True)

    def fault_link_slow(self, fault):
        backend = self.any_backend(fault)
        backend.disturb_link(fault["for_s"], silent=False)
        self.later(fault["for_s"], backend.calm_link)

    def fault_link_reset(self, fault):
        self.any_backend(fault).reset_link()

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
                entry[2] = time.monotonic() + checks.CALM_S

    def restart(self, nodes, ip):
        nodes[ip].start()
        self.later(1.5, self.reopen, ip)

    def fault_edge_kill(self, fault):
        ip = self.pick_edge(fault)
        if ip:
            self.edges[ip].stop()
            self.later(fault["for_s"], self.restart, self.edges, ip)

    def fault_end_all(self, fault):
        """All gateways are killed at one moment, unless one is away."""
        if self.closed:
            return
        for ip in fleet.EDGES:
            self.closed.add(ip)
            self.away.append([ip, time.monotonic(), float("inf")])
        for ip in fleet.EDGES:
            self.edges[ip].process.kill()
        for ip in fleet.EDGES:
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
        status = self.edges[ip].process.wait(timeout=checks.GRACE_S + self.slack.most + 5)
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
            self.later(fault["for_s"] + checks.CALM_S, self.reopen, ip)

    def fault_loader_kill(self, fault):
        ip = fleet.SIDES[fault["which"] % len(fleet.SIDES)]
        self.loaders[ip].stop()
        self.loaders[ip].start()

    def fault_loader_freeze(self, fault):
        self.freeze(self.loaders[fleet.SIDES[fault["which"] % len(fleet.SIDES)]], fault["for_s"])

    def fault_answers(self, fault):
        words = ("reset", "error", "silent", "unsealed", "foreign", "shed", "torn", "slow", "pause")
        backend = self.any_backend(fault)
        backend.faults.extend([words[fault["which"] % len(words)]] * 3)

    def fault_pause(self, fault):
        """The next streams of one engine say nothing for longer than a gateway bears gladly."""
        engines = [b for b in self.live.values() if b.service == "llm"]
        engines[fault["which"] % len(engines)].faults.extend(["pause"] * 4)

    def fault_crashing(self, fault):
        number = len(self.crashing)
        if self.with_crash_times:
            chance = random.Random("crash time %d %d" % (self.seed, number))
            self.crash_times[clients.Crashing.body_of(number)] = chance.uniform(0.0, CRASH_TIME_MOST_S)
        caller = clients.Crashing(self, number)
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
        self.clients = [clients.Client(self, number) for number in range(CLIENTS)]
        if self.with_links:
            self.clients += [clients.Patient(self, CLIENTS + n) for n in range(PATIENT_CLIENTS)]
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


def read_seeds(text):
    """Ranges A..B and single seeds, by commas."""
    for part in text.split(","):
        first, _, last = part.partition("..")
        yield from range(int(first), int(last or first) + 1)


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--build", required=True)
    parser.add_argument("--work", required=True)
    parser.add_argument("--seeds", default="1..1", help="A..B or A,B")
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--only", type=lambda text: {int(n) for n in text.split(",")}, default=None,
                        help="numbers of the faults to play")
    parser.add_argument("--crashing", action="store_true",
                        help="requests that end engines come besides")
    parser.add_argument("--crash-times", action="store_true",
                        help="each of these ends its engine after a time of its own, and streams until then")
    parser.add_argument("--statements", action="store_true",
                        help="back ends that leave or back off by their own word come besides")
    parser.add_argument("--links", action="store_true",
                        help="faults of the links to back ends come besides")
    parser.add_argument("--leaving", action="store_true",
                        help="late entries of back ends that leave and ends of all gateways come besides")
    options = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(1))  # ends own children on the way
    good = [play_seed(options, seed) for seed in read_seeds(options.seeds)]
    print("%d passed, %d failed" % (sum(good), len(good) - sum(good)))
    sys.exit(0 if all(good) else 1)


if __name__ == "__main__":
    main()
