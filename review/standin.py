"""Stand-ins and helpers of the review: the platform's store, plain services and model engines, and the start of edges
with the commands of the deploy file. Everything is on loopback addresses; each run has its own addresses, free ports
and a temporary folder."""
import asyncio
import base64
import hashlib
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
TIME_LIMIT_S = 110


class CouldNotRun(Exception):
    """The case could not be set up; nothing is said about the rule."""


# --- HTTP -------------------------------------------------------------------------------------------------------------

class Message:
    """A request or response that was read whole. `whole` is false if the connection ended before."""

    def __init__(self, first_line, fields):
        self.first_line = first_line
        self.fields = fields
        self.body = b""
        self.whole = False

    def get(self, name, default=None):
        return self.fields.get(name.lower(), default)


async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    fields = {}
    for line in head[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return Message(head[0], fields)


async def read_body(reader, message, is_response):
    """Reads the body by its framing; sets `whole` only if the framing says that it is complete."""
    if message.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            message.body += data[:size]
            if size == 0:
                break
    elif "content-length" in message.fields:
        left = int(message.get("content-length"))
        while left:
            data = await reader.read(min(left, 65536))
            if not data:
                return
            message.body += data
            left -= len(data)
    elif is_response:
        while data := await reader.read(65536):
            message.body += data
    message.whole = True


async def read_request(reader):
    message = await read_head(reader)
    await read_body(reader, message, False)
    return message


def head_bytes(first_line, fields):
    return (first_line + "\r\n" + "".join("%s: %s\r\n" % field for field in fields) + "\r\n").encode()


def response_bytes(status, fields, body):
    return head_bytes("HTTP/1.1 %d x" % status, fields + [("Content-Length", len(body))]) + body


# --- the platform's store ---------------------------------------------------------------------------------------------

class Store:
    """Items with revisions, which can be read by range and watched (PROTOCOL.md, "The platform's metadata store")."""

    def __init__(self):
        self.revision = 0
        self.items = {}
        self.events = []
        self.changed = asyncio.Condition()

    async def start(self, host, port):
        self.address = "%s:%d" % (host, port)
        self.server = await asyncio.start_server(self.serve, host, port)

    async def put(self, key, value):
        self.revision += 1
        item = {"private_key": key, "value": base64.b64encode(json.dumps(value).encode()).decode(),
                "revision": self.revision, "made": self.revision, "lease": 0}
        self.items[key] = item
        await self.record(item)

    async def remove(self, key):
        self.revision += 1
        self.items.pop(key, None)
        await self.record({"private_key": key, "revision": self.revision, "gone": True})

    async def record(self, event):
        self.events.append(event)
        async with self.changed:
            self.changed.notify_all()

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                url = urllib.parse.urlsplit(request.first_line.split(" ")[1])
                query = dict(urllib.parse.parse_qsl(url.query))
                answer = await self.answer(url.path, query)
                body = json.dumps(answer).encode()
                writer.write(response_bytes(200 if answer else 404, [("Content-Type", "application/json")], body))
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, path, query):
        prefix = query.get("path_prefix", "")
        if path == "/api/kv-range":
            items = [item for key, item in sorted(self.items.items()) if key.startswith(prefix)]
            return {"items": items, "more": False, "at": self.revision}
        if path != "/api/kv-watch":
            return None
        after, end = int(query["after_revision"]), time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            events = [e for e in self.events if e["revision"] > after and e["private_key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return {"events": events, "at": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


def backend_entry(service, address, zone, slots=6, **more):
    """An entry `servers/ID` (PROTOCOL.md, "Service discovery")."""
    return dict({"service": service, "address": address, "zone": zone, "version": "v1", "slots": slots,
                 "state": "ready", "cold_remaining_ms": 0, "sequence": 1}, **more)


def configuration(version, routes, services):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 5000,
                       "idle_timeout_ms": 10000},
            "tenants": [{"name": "tenant-a", "keys": ["key-a"], "priority": 0}]}


def route(name, kind, service, **more):
    return dict({"name": name, "host": "a.example", "path_prefix": "/%s/" % name, "kind": kind, "service": service,
                 "timeout_ms": 6000, "target_latency_ms": 400, "priority": 1, "attempts": 2,
                 "allow_anonymous": False, "resumable": False}, **more)


# --- model engines and the origin of weights --------------------------------------------------------------------------

MODEL = "daka510000"
PIECES = 48
PIECE_BYTES = 49152


def piece_bytes(version, number):
    return hashlib.sha256(b"%d/%d" % (version, number)).digest() * (PIECE_BYTES // 32)


def model_service(name, origin, zone):
    """Two services of a configuration: that of the model engines, and the origin of their weights."""
    return [{"name": name, "health_path": "/health", "connection_limit": 194, "protocol": "h1", "tls": False,
             "engine": {"slots": 16, "kv_cache_tokens": 685000, "token_kv_bytes": 327680, "link_mbps": 400000.0,
                        "stride": 6, "models": [{"name": MODEL, "pace": 1.0, "load_s": 4.0, "warmup_s": 0.3}],
                        "size_mb": 297000.0, "step_ms": 7.4, "per_seq_ms": 0.0387, "context_per_k": 0.0203,
                        "read_per_s": 31900.0, "pairs_per_m": 0.733, "chunk": 2048, "report_lag_ms": 200.0,
                        "usual": {"prompt": 973, "answer": 106}, "layers": 16, "layer_mb": 4540.0,
                        "chunks": PIECES, "chunk_bytes": PIECE_BYTES}},
            {"name": "origin", "origin": origin, "zone": zone, "link_mbps": 15.0, "connection_limit": 48}]


class Server:
    """Serves one request at a time on each connection; stop() ends all connections at once, like a loss of power."""

    def __init__(self, fleet, host):
        self.fleet, self.host, self.port = fleet, host, free_port(host)
        self.address = "%s:%d" % (host, self.port)
        self.writers = set()
        self.server = None

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port)

    def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                method, target, _ = request.first_line.split(" ")
                url = urllib.parse.urlsplit(target)
                await self.handle(request, method, url.path, dict(urllib.parse.parse_qsl(url.query)), writer)
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Origin(Server):
    """The weight store. `short_manifests` is the number of its next answers to GET /api/manifest that are spoilt: they
    lack the last digest."""

    short_manifests = 0
    answers = 0

    async def handle(self, request, method, path, query, writer):
        self.answers += 1
        version = int(query.get("version", 1))
        if path == "/api/manifest/" + MODEL:
            digests = [hashlib.sha256(piece_bytes(version, n)).hexdigest() for n in range(PIECES)]
            if self.short_manifests:
                self.short_manifests -= 1
                digests.pop()
                self.fleet.note("origin sends a manifest without the last digest (its answer %d)" % self.answers)
            else:
                self.fleet.note("origin sends the manifest (its answer %d)" % self.answers)
            body = json.dumps({"model": MODEL, "version": version, "chunk_bytes": PIECE_BYTES, "layers": 16,
                               "digests": digests}).encode()
            writer.write(response_bytes(200, [("Content-Type", "application/json")], body))
        else:
            writer.write(response_bytes(200, [], piece_bytes(version, int(query["sample_count"]))))


class ModelEngine(Server):
    """A model engine. Each start is a new incarnation with a new id."""

    WARMUP_S = 0.3

    def __init__(self, fleet, store, service, host, zone):
        super().__init__(fleet, host)
        self.store, self.service, self.zone, self.starts = store, service, zone, 0

    async def start(self, version):
        """\param version of the weights that it holds, staged too; 0: none"""
        self.starts += 1
        self.identity = "i-%s-%d" % (self.host.replace(".", "-"), self.starts)
        self.version, self.sequence, self.loading, self.running = version, 0, False, 0
        self.staged = {n: piece_bytes(version, n) for n in range(PIECES)} if version else {}
        await self.listen()
        await self.publish()

    def models(self):
        return [{"name": MODEL, "version": self.version, "adapters": []}] if self.version else []

    async def publish(self):
        await self.store.put("servers/" + self.identity, backend_entry(
            self.service, self.address, self.zone, slots=16, stage="both", models=self.models(),
            sequence=self.sequence + 1))

    async def handle(self, request, method, path, query, writer):
        if path == "/api/report":
            report = {"stage": "both", "models": self.models(), "utilization": self.loading,
                      "sequence": self.sequence, "waiting_requests": 0, "running_requests": self.running,
                      "kv_cache_used": 0, "kv_cache_total": 90000, "handles": 0,
                      "layers": [{"from": 0, "target_version": 16, "version": self.version}] if self.version else []}
            writer.write(response_bytes(200, [("Content-Type", "application/json")], json.dumps(report).encode()))
        elif path.startswith("/api/stage-put/"):
            self.staged[int(query["sample_count"])] = request.body
            writer.write(response_bytes(200, [], b""))
        elif path.startswith("/api/stage-get/"):
            data = self.staged.get(int(query["sample_count"]))
            writer.write(response_bytes(404 if data is None else 200, [], data or b""))
        elif path == "/api/order":
            writer.write(response_bytes(self.take(json.loads(request.body)), [], b""))
        elif path == "/health":
            writer.write(response_bytes(200, [("Shuntrun-Instance-Id", self.identity)], b""))
        else:
            await self.run(request, writer)

    def take(self, order):
        if order.get("expected_revision", self.sequence) != self.sequence or self.loading:
            return 409
        self.sequence += 1
        self.loading = True
        version = order["version"]
        self.whole = all(self.staged.get(n) == piece_bytes(version, n) for n in range(PIECES))
        self.fleet.note("engine %s takes version %d, %s" % (self.identity, version,
                                                            "whole" if self.whole else "NOT WHOLE"))
        asyncio.ensure_future(self.load(version, self.starts))
        return 202

    async def load(self, version, start):
        while self.running:
            await asyncio.sleep(0.01)
        await asyncio.sleep(self.WARMUP_S)
        if start == self.starts and self.loading:
            self.version, self.loading = version, False
            await self.publish()

    async def run(self, request, writer):
        identity = request.get("shuntrun-request-id", "")
        echo = [("Shuntrun-Request-Id", identity), ("Shuntrun-Instance-Id", self.identity)]
        if request.get("shuntrun-expected-instance", self.identity) != self.identity:
            writer.write(response_bytes(421, echo, b""))
            return
        if not self.version or self.loading:
            writer.write(response_bytes(503, echo + [("Shuntrun-Not-Executed", "1")], b""))
            return
        self.running += 1
        try:
            self.fleet.note("engine %s runs %s" % (self.identity, identity))
            writer.write(head_bytes("HTTP/1.1 200 OK", echo + [
                ("Shuntrun-Response-Seal", "3e1b.07.5a2.600.0.c9f2a4d1"), ("Content-Type", "text/event-stream"),
                ("Shuntrun-Weight-Versions", self.version), ("Transfer-Encoding", "chunked")]))
            for number in range(int(request.get("last-event-id", 0)) + 1, EVENTS + 1):
                event = stream_event(number)
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                await asyncio.sleep(0.02)
            writer.write(b"0\r\n\r\n")
        finally:
            self.running -= 1


EVENTS = 5


def stream_event(number):
    return b"id: %d\ndata: token %d\n\n" % (number, number)


# --- processes --------------------------------------------------------------------------------------------------------

def fill_template(text, fields):
    """Fills a settings template as DEPLOY.md says: {{a}}, {{a.0}}, {{#a}} .. {{/a}}, {{@}}, {{.}}, {{,}}."""
    def look_up(name):
        value = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)]
            else:
                value = (value or {}).get(part)
        return value

    def text_of(value):
        if isinstance(value, list):
            return ",".join(str(v) for v in value)
        return "" if value is None else str(value)

    def fill_section(match):
        value = look_up(match.group(1))
        if not value:
            return ""
        if not isinstance(value, dict):
            return match.group(2)
        parts = []
        for number, (key, entry) in enumerate(value.items()):
            part = match.group(2).replace("{{@}}", key).replace("{{.}}", str(entry))
            parts.append(part.replace("{{,}}", "," if number + 1 < len(value) else ""))
        return "".join(parts)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", fill_section, text, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: text_of(look_up(m.group(1))), text)


used_ports = set()


def free_port(host):
    """A port that nobody listens on, below those of outgoing connections, and that this run has not used."""
    while True:
        port = random.randint(12000, 30000)
        if port in used_ports:
            continue
        used_ports.add(port)
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
                return port
            except OSError:
                continue


class Fleet:
    """The processes of one run, its addresses and its temporary folder."""

    def __init__(self, folder, zones):
        self.zones = zones
        self.folder = folder
        self.network = "127.%d.%d" % (random.randint(20, 250), random.randint(1, 250))
        self.work = tempfile.mkdtemp(prefix="review-")
        self.started_at = time.monotonic()
        self.processes = []
        self.peer_port = free_port(self.host(1))
        self.record = open(os.path.join(folder, "record.txt"), "w")
        self.edges = []

    def host(self, number):
        return "%s.%d" % (self.network, number)

    def note(self, text):
        line = "%8.3f s  %s" % (time.monotonic() - self.started_at, text)
        self.record.write(line + "\n")
        self.record.flush()

    def program(self):
        path = os.environ.get("SHUNTRUN", "target/shuntrun")
        if not os.path.exists(os.path.join(ROOT, path)):
            raise CouldNotRun("target/shuntrun is missing: run the build command of deploy/system.toml")
        return path

    def settings(self, role, host, zone, store, **more):
        """The fields of a settings file as the platform gives them, with the bounds of sites/granite-lane.toml."""
        fields = {"node": "%s-%s" % (role, host), "zone": zone, "region": self.zones[zone], "ip_address": host,
                  "zones": self.zones, "seeds": ["%s:8000" % self.host(n) for n in (1, 2)],
                  "internal_ports": [self.peer_port, self.peer_port + 15],
                  "platform": {"address": store.address},
                  "bounds": {"drain_ms": 2000, "version_ms": 8000, "contact_ms": 3000, "budget_slack": 102,
                             "budget_ratio": 0.2, "budget_window_s": 10, "grace_s": 8},
                  "limits": {"link_mbps": 1000.0, "memory_mb": 260}}
        fields.update(more)
        with open(os.path.join(ROOT, "platform", "%s.settings" % role)) as template:
            text = fill_template(template.read(), fields)
        path = os.path.join(self.work, "%s-%s.settings" % (role, host))
        with open(path, "w") as file:
            file.write(text)
        return path

    def start_node(self, role, host, zone, store, **more):
        path = self.settings(role, host, zone, store, **more)
        log = open(os.path.join(self.work, "%s-%s.log" % (role, host)), "a")
        process = subprocess.Popen([self.program(), role, "--settings", path], cwd=ROOT, stdout=log, stderr=log)
        self.processes.append(process)
        return process

    async def start_edge(self, number, zone, store, wait=True):
        """Starts edge `number`, 1 to ..., or starts it again at the same addresses."""
        host = self.host(number)
        if number <= len(self.edges):
            edge = self.edges[number - 1]
            edge.process = self.start_node("edge", host, zone, store, listen_addresses=edge.listen)
            return edge
        ports = {name: free_port(host) for name in ("front", "ready", "directory")}
        listen = {name: "%s:%d" % (host, port) for name, port in ports.items()}
        edge = Edge(host, ports, listen)
        edge.process = self.start_node("edge", host, zone, store, listen_addresses=listen)
        self.edges.append(edge)
        if wait:
            await self.wait_for(edge.is_ready, "a ready edge")
            self.note("edge %d is ready at %s" % (number, listen["front"]))
        return edge

    @staticmethod
    async def wait_for(condition, what, timeout_s=15):
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            if await condition():
                return
            await asyncio.sleep(0.05)
        raise CouldNotRun("timeout waiting for " + what)

    def start_script(self, *arguments):
        process = subprocess.Popen([sys.executable] + list(arguments))
        self.processes.append(process)
        return process

    def kill_all(self):
        """Ends all processes of the system at the same moment, like a loss of power of their machines."""
        for process in self.processes:
            process.kill()
        for process in self.processes:
            process.wait()
        self.processes = []

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self.record.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.work, keep, dirs_exist_ok=True)
        shutil.rmtree(self.work, ignore_errors=True)


class Edge:
    def __init__(self, host, ports, listen):
        self.host, self.ports, self.listen, self.process = host, ports, listen, None

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.host, self.ports["ready"])
            writer.write(head_bytes("GET /api/readiness HTTP/1.1", [("Host", "x")]))
            status = (await read_head(reader)).first_line
            writer.close()
            return " 200" in status
        except (OSError, asyncio.IncompleteReadError):
            return False

    async def resolve(self, region="region-a", zone="zone-a"):
        """The addresses that this edge's directory names to a client."""
        reader, writer = await asyncio.open_connection(self.host, self.ports["directory"])
        writer.write(head_bytes("GET /api/resolve?name=a.example&region=%s&zone=%s HTTP/1.1"
                                % (region, zone), [("Host", "x")]))
        message = await read_head(reader)
        await read_body(reader, message, True)
        writer.close()
        return json.loads(message.body)


def request_head(method, path, identity, body=b"", deadline_ms=6000):
    fields = [("Host", "a.example"), ("Shuntrun-Request-Id", identity), ("Shuntrun-Deadline-Ms", deadline_ms),
              ("Authorization", "Bearer key-a")]
    if method != "GET":
        fields.append(("Content-Length", len(body)))
    return head_bytes("%s %s HTTP/1.1" % (method, path), fields) + body


async def ask(edge, method, path, identity, body=b"", deadline_ms=6000, limit=2**16):
    """Sends one request on a new connection; returns the answer, or None if there is none."""
    answer = None
    reader, writer = await asyncio.open_connection(edge.host, edge.ports["front"], limit=limit)
    try:
        writer.write(request_head(method, path, identity, body, deadline_ms))
        answer = await read_head(reader)
        await read_body(reader, answer, True)
    except (OSError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()
    return answer


def run_case(folder, case, zones):
    """Runs the coroutine function `case(fleet, trouble)`, which returns whether the rule held; exits with the
    result."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    fleet = Fleet(folder, zones)
    result = COULD_NOT_RUN
    try:
        held = asyncio.run(asyncio.wait_for(case(fleet, trouble), TIME_LIMIT_S))
        result = HELD if held else BROKEN
        fleet.note("the rule held" if held else "the rule was broken")
    except Exception as error:  # not a result of the rule, whatever it is
        fleet.note("could not run: %r" % error)
    finally:
        fleet.close()
    sys.stdout.flush()
    os._exit(result)  # no clean-up of tasks that end with the process
