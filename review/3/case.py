"""LOST: edges that are stopped and started in turn take streams later than 3 s after their SIGTERM, and cut them."""
import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import standin  # noqa: E402

GRACE_S = 8.0  # `grace_s`
EXCUSED_S = 3.0  # a request sent no later than this after the SIGTERM may be cut at the end of the grace period
GAP_S = 2.0  # `gap_s` of roll_term, as on the day trouble-2 of sites/granite-lane.toml
EVENTS, EVENT_GAP_S = 20, 0.25  # a stream of 5 s; its pauses are within `target_gap_ms`, 300
DEADLINE_MS = 6000
TRAFFIC_S = 5.0  # from the first SIGTERM on
CLIENTS = 30
BETWEEN_S = 1.0  # from one request of a client to its next one


class Engine(standin.ModelEngine):
    async def run(self, request, writer):
        identity = request.get("shuntrun-request-id", "")
        self.fleet.note("engine runs %s" % identity)
        writer.write(standin.head_bytes("HTTP/1.1 200 OK", [
            ("Shuntrun-Request-Id", identity), ("Shuntrun-Instance-Id", self.identity),
            ("Shuntrun-Response-Seal", "3e1b.07.5a2.600.0.c9f2a4d1"), ("Content-Type", "text/event-stream"),
            ("Shuntrun-Weight-Versions", self.version), ("Transfer-Encoding", "chunked")]))
        self.running += 1
        try:
            for number in range(int(request.get("last-event-id", 0)) + 1, EVENTS + 1):
                event = standin.stream_event(number)
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                await asyncio.sleep(EVENT_GAP_S)
            writer.write(b"0\r\n\r\n")
            self.fleet.note("engine has ended its stream %s" % identity)
        finally:
            self.running -= 1


class Client:
    """Asks the directory for addresses as PROTOCOL.md says ("Ingress"), and opens a new connection for each stream."""

    def __init__(self, fleet, number):
        self.fleet, self.number, self.answer, self.expires_at = fleet, number, None, 0.0

    async def address(self):
        if time.monotonic() < self.expires_at:
            return self.answer["addresses"][0]
        for edge in self.fleet.edges:
            try:
                self.answer = await asyncio.wait_for(edge.resolve("region-a", "zone-a"), 1.0)
            except (OSError, EOFError, asyncio.TimeoutError):
                continue
            self.expires_at = time.monotonic() + self.answer["ttl_s"]
            break
        return self.answer["addresses"][0] if self.answer else None

    async def play(self, until, results):
        await asyncio.sleep(self.number * BETWEEN_S / CLIENTS)
        count = 0
        while time.monotonic() < until:
            address = await self.address()
            edge = next((e for e in self.fleet.edges if e.listen["front"] == address), None)
            count += 1
            if edge:
                results.append(asyncio.ensure_future(self.ask(edge, "%08x%08x" % (0xd000 + self.number, count))))
            await asyncio.sleep(BETWEEN_S)

    async def ask(self, edge, identity):
        try:
            reader, writer = await asyncio.open_connection(edge.host, edge.ports["front"])
        except OSError:
            return None
        answer, sent_at = None, time.monotonic()
        try:
            writer.write(standin.request_head("POST", "/llm/1", identity, b"x", DEADLINE_MS))
            answer = await standin.read_head(reader)
            await standin.read_body(reader, answer, True)
        except (OSError, EOFError):
            pass
        writer.close()
        return {"identity": identity, "edge": edge, "sent_at": sent_at, "ended_at": time.monotonic(),
                "status": answer.first_line if answer else "no answer", "whole": bool(answer and answer.whole)}


async def stop_in_turn(fleet, store):
    """roll_term: each edge gets SIGTERM, one after the other, and starts again when it has ended."""
    async def start_again(number, edge):
        while edge.process.poll() is None:
            await asyncio.sleep(0.02)
        edge.ended_at = time.monotonic()
        fleet.note("edge %d has ended, status %d, %.2f s after its SIGTERM"
                   % (number, edge.process.returncode, edge.ended_at - edge.stopped_at))
        await fleet.start_edge(number, "zone-" + "ab"[number - 1], store, wait=False)

    tasks = []
    for number, edge in enumerate(fleet.edges, 1):
        edge.stopped_at = time.monotonic()
        edge.process.send_signal(signal.SIGTERM)
        fleet.note("edge %d gets SIGTERM" % number)
        tasks.append(asyncio.ensure_future(start_again(number, edge)))
        await asyncio.sleep(GAP_S)
    await asyncio.gather(*tasks)


def is_lost(result):
    """The rule's conditions on one request that a stopped edge took."""
    stopped_at = getattr(result["edge"], "stopped_at", None)
    return (stopped_at is not None and not result["whole"] and " 200 " in result["status"]
            and stopped_at + EXCUSED_S < result["sent_at"] < stopped_at + GRACE_S + 1
            and result["ended_at"] - result["sent_at"] < DEADLINE_MS / 1000)


async def case(fleet, trouble):
    store = standin.Store()
    await store.start(fleet.host(200), standin.free_port(fleet.host(200)))
    origin = standin.Origin(fleet, fleet.host(201))
    await origin.listen()
    await store.put("op/config", standin.configuration(
        1, [standin.route("llm", "streaming", "llm", resumable=True, sticky=True, target_gap_ms=300)],
        standin.model_service("llm", origin.address, "zone-a")))
    engines = [Engine(fleet, store, "llm", fleet.host(100 + n), "zone-" + "ab"[n % 2]) for n in range(12)]
    for engine in engines:
        await engine.start(1)
    for number in (1, 2):
        await fleet.start_edge(number, "zone-" + "ab"[number - 1], store)
    for engine in engines:
        fleet.start_node("loader", engine.host, engine.zone, store, app=engine.address, service="llm",
                         limits={"link_mbps": 9.4, "memory_mb": 128})
    await asyncio.sleep(3.0)
    asking = []
    clients = [Client(fleet, number) for number in range(CLIENTS)]
    end = time.monotonic() + TRAFFIC_S
    stopping = asyncio.ensure_future(stop_in_turn(fleet, store)) if trouble else asyncio.sleep(0)
    await asyncio.gather(*(client.play(end, asking) for client in clients))
    results = [r for r in await asyncio.gather(*asking) if r]
    await stopping
    for r in sorted(results, key=lambda r: r["sent_at"]):
        stopped_at = getattr(r["edge"], "stopped_at", None)
        fleet.note("client sent %s%s: %s, %s after %.2f s%s" % (
            r["identity"], " %.3f s after the edge's SIGTERM" % (r["sent_at"] - stopped_at) if stopped_at else "",
            r["status"], "whole" if r["whole"] else "not complete", r["ended_at"] - r["sent_at"],
            ", LOST" if is_lost(r) else ""))
    lost = sum(is_lost(r) for r in results)
    fleet.note("%d of %d streams whole; lost: %d" % (sum(r["whole"] for r in results), len(results), lost))
    return lost == 0


standin.run_case(FOLDER, case, {"zone-a": "region-a", "zone-b": "region-b"})
