"""MIXED: an engine crashes while it sends an answer without a length; the client gets a success whose body is cut."""
import asyncio
import os
import signal
import subprocess
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import standin  # noqa: E402

sys.path.insert(0, FOLDER)
from engine import whole_body  # noqa: E402

ROUNDS = 2  # one of a route that may not be repeated, one of one that may
DOWN_S = 1.0


class Service:
    """A process of engine.py, listed in the store."""

    def __init__(self, fleet, store, number):
        self.fleet, self.store = fleet, store
        self.host = fleet.host(100 + number)
        self.port = standin.free_port(self.host)
        self.starts = 0

    async def start(self):
        self.starts += 1
        self.identity = "i-%s-%d" % (self.host.replace(".", "-"), self.starts)
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, os.path.join(FOLDER, "engine.py"), self.host, str(self.port), self.identity,
            stdout=subprocess.PIPE)
        self.fleet.processes.append(Handle(self.process))
        await self.await_line("listens")
        await self.store.put("servers/" + self.identity, standin.backend_entry(
            "records", "%s:%d" % (self.host, self.port), "zone-a"))

    async def await_line(self, begin):
        while line := (await self.process.stdout.readline()).decode().strip():
            if line != "listens":
                self.fleet.note("engine %s %s" % (self.identity, line))
            if line.startswith(begin):
                return line
        raise standin.CouldNotRun("the engine ended")

    async def crash(self):
        self.process.send_signal(signal.SIGKILL)
        await self.process.wait()
        self.fleet.note("engine %s is killed" % self.identity)


class Handle:
    """Lets the fleet end a process of asyncio."""

    def __init__(self, process):
        self.process = process

    def poll(self):
        return self.process.returncode

    def send_signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        self.process.kill()

    def wait(self):
        pass


async def play_round(fleet, edge, service, number, trouble):
    method, path = ("POST", "/put/1") if number % 2 == 0 else ("GET", "/get/1")
    identity = "%016x" % (0xa000 + number)
    fleet.note("client sends %s %s %s" % (identity, method, path))
    asking = asyncio.ensure_future(standin.ask(edge, method, path, identity, b"x" if method == "POST" else b""))
    await service.await_line("sent 2400")
    if trouble:
        await service.crash()
    answer = await asking
    if not answer:
        fleet.note("client got no answer to %s" % identity)
        return True
    status = int(answer.first_line.split(" ")[1])
    is_whole = answer.body == whole_body(identity)
    fleet.note("client got %d to %s: %d bytes, complete by its framing: %s, the engine's whole body: %s, seal: %s"
               % (status, identity, len(answer.body), answer.whole, is_whole, answer.get("shuntrun-response-seal")))
    if trouble:
        await asyncio.sleep(DOWN_S)
        await fleet.store.remove("servers/" + service.identity)
        await service.start()
        await asyncio.sleep(1.0)
    return not (200 <= status < 300 and answer.whole and not is_whole)


async def case(fleet, trouble):
    fleet.store = store = standin.Store()
    await store.start(fleet.host(200), standin.free_port(fleet.host(200)))
    await store.put("op/config", standin.configuration(1, [
        standin.route("put", "non_idempotent", "records", attempts=1), standin.route("get", "idempotent", "records")],
        [{"name": "records", "connection_limit": 49}]))
    service = Service(fleet, store, 1)
    await service.start()
    edge = await fleet.start_edge(1, "zone-a", store)
    await fleet.start_edge(2, "zone-b", store)
    await asyncio.sleep(1.5)
    held = True
    for number in range(ROUNDS):
        held &= await play_round(fleet, edge, service, number, trouble)
    return held


standin.run_case(FOLDER, case, {"zone-a": "region-a", "zone-b": "region-b"})
