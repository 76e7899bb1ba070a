#!/usr/bin/env python3
"""End-to-end demonstration on loopback.

Rolls out a model to all engines, replaces it by a second version under traffic, drains one engine
and one gateway, and checks every response. Exit status 0 if no response was lost, cut, duplicated
or mixed from two versions.
"""
import argparse
import json
import pathlib
import signal
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent))
from fleet import Fleet, FleetError, call, wait_until  # noqa: E402

MODEL_BYTES = 48 << 20
CHUNK_BYTES = 1 << 20
ORIGIN_BYTES_PER_SECOND = 64 << 20
TENANTS = "water:5,billing:3,gas:1"
POLICY = [
    "-- Every engine holds the script model; large tenants do not go before small ones.",
    "function place(model, machine)",
    "  return machine.accelerators >= model.accelerators",
    "end",
    "function rollout(model)",
    "  return 'origin-weighted'",
    "end",
]


def make_config(version, manifest, seat_machines):
    return {
        "models": [{"name": "script", "version": version, "manifest": manifest["manifest"],
                    "bytes": manifest["bytes"], "accelerators": 8}],
        "services": [{"name": "script", "kind": "model", "model": "script"},
                     {"name": "seats", "kind": "plain", "machines": seat_machines,
                      "checks_fences": True}],
        "tenants": [{"name": "water", "weight": 5}, {"name": "billing", "weight": 3},
                    {"name": "gas", "weight": 1}],
        "objectives": [{"service": "script", "availability": 0.999, "first_token_ms": 840}],
        "policy": POLICY,
    }


class RolloutTimer(threading.Thread):
    """Record the seconds until each agent first serves a version."""

    def __init__(self, fleet, names, version):
        super().__init__(daemon=True)
        self.fleet, self.names, self.version = fleet, set(names), version
        self.start_time = time.monotonic()
        self.seconds = {}
        self.start()

    def run(self):
        while set(self.seconds) != self.names:
            for name in self.names - set(self.seconds):
                try:
                    if self.fleet.serves(name, self.version):
                        self.seconds[name] = round(time.monotonic() - self.start_time, 3)
                except (OSError, ValueError):
                    pass
            time.sleep(0.01)

    def wait(self, what):
        """Wait until all agents serve the version; return the times to half and to all of them."""
        wait_until(what, lambda: set(self.seconds) == self.names)
        ordered = sorted(self.seconds.values())
        return {"replicas": len(ordered), "half_seconds": ordered[(len(ordered) - 1) // 2],
                "all_seconds": ordered[-1]}


def build_fleet(options):
    fleet = Fleet(options.build, options.work)
    fleet.start_platform(ORIGIN_BYTES_PER_SECOND)
    for zone in (1, 2, 3):
        fleet.add_gateway(f"gateway-{zone}", zone, "--endpoints-max-age-ms", "1500")
        for number in range(3):
            fleet.add_engine_agent(f"engine-{zone}{number}", zone)
        fleet.add_service_agent(f"seats-{zone}", zone, "seats")
    fleet.publish_machines()
    return fleet


def reconcile_seats(fleet, record):
    """Compare the outcomes that callers recorded with the runs that the services recorded."""
    runs = {}
    for name in fleet.agents(engines=False):
        url = fleet.service_urls[name]
        for body, count in call(url + "/admin/runs")["bodies"].items():
            runs[body] = runs.get(body, 0) + count
    violations = {"run_twice": 0, "done_but_not_run": 0, "not_run_but_run": 0}
    for line in record.read_text().splitlines():
        request, outcome, _ = line.split()
        count = runs.get(request, 0)
        violations["run_twice"] += count > 1
        violations["done_but_not_run"] += outcome == "done" and count == 0
        violations["not_run_but_run"] += outcome == "not_run" and count > 0
    return violations


def chunk_sources(fleet, names):
    """Sum the received chunks by source, and the rejected ones, over the named agents."""
    totals = {"peer": 0, "origin": 0, "rejected": 0}
    for name in names:
        counters = fleet.counters(name)
        for source in ("peer", "origin"):
            totals[source] += counters[f'shuntrun_chunks_received_total{{source="{source}"}}']
        totals["rejected"] += counters["shuntrun_chunks_rejected_total"]
    return totals


def run(options):
    fleet = build_fleet(options)
    engines = fleet.agents()
    seats = fleet.agents(engines=False)
    first = fleet.make_model("script", "v1", MODEL_BYTES, CHUNK_BYTES, seed=1)
    second = fleet.make_model("script", "v2", MODEL_BYTES, CHUNK_BYTES, seed=2)

    print(f"publishing v1 to {len(engines)} engines", flush=True)
    timer = RolloutTimer(fleet, engines, "v1")
    fleet.publish_config(make_config("v1", first, seats))
    rollout_v1 = timer.wait("v1 on every engine")
    origin_v1 = call(fleet.origin_url + "/admin/stats")["chunk_bytes"]
    for name in fleet.gateways():
        wait_until(f"{name} is ready", lambda n=name: fleet.status(n)["config_revision"])

    print("sending requests", flush=True)
    seconds = str(options.seconds)
    fleet.start_load("load-script", "script", "--tenants", TENANTS, "--rate", str(options.rate),
                     "--seconds", seconds, "--tokens", "40", "--verify")
    fleet.start_load("load-seats", "seats", "--tenants", TENANTS, "--rate", str(options.rate / 2),
                     "--seconds", seconds, "--plain", "--keys")
    time.sleep(options.seconds / 5)

    print("publishing v2 under traffic", flush=True)
    timer = RolloutTimer(fleet, engines, "v2")
    fleet.publish_config(make_config("v2", second, seats))
    rollout_v2 = timer.wait("v2 on every engine")
    origin_v2 = call(fleet.origin_url + "/admin/stats")["chunk_bytes"] - origin_v1
    sources = chunk_sources(fleet, engines)

    print("draining engine-10 and gateway-3 under traffic", flush=True)
    stopped = {}
    for name in ("engine-10", "gateway-3"):
        started_at = time.monotonic()
        fleet.kill(name, signal.SIGTERM)
        status = fleet.processes[name].wait(timeout=45)
        stopped[name] = {"exit_status": status, "seconds": round(time.monotonic() - started_at, 3)}

    script = fleet.load_report("load-script")
    seat_calls = fleet.load_report("load-seats")
    seat_violations = reconcile_seats(fleet, fleet.work / "load-seats.record")
    fleet.stop()

    answers = {name: script["outcomes"][name] + seat_calls["outcomes"][name]
               for name in script["outcomes"]}
    violations = sum(answers[name] for name in ("lost", "cut", "doubled", "mixed"))
    violations += sum(seat_violations.values())
    violations += sum(s["exit_status"] != 0 for s in stopped.values())
    summary = {
        "engines": len(engines), "gateways": 3, "service_agents": len(seats), "zones": 3,
        "model_bytes": MODEL_BYTES, "chunk_bytes": CHUNK_BYTES,
        "v1": {**rollout_v1, "origin_bytes": origin_v1, "origin_copies": origin_v1 / MODEL_BYTES},
        "v2": {**rollout_v2, "origin_bytes": origin_v2, "origin_copies": origin_v2 / MODEL_BYTES},
        "chunk_sources": sources, "requests": answers, "seat_checks": seat_violations,
        "answers_by_version": script["versions"], "first_token_ms": script["first_token_ms"],
        "between_tokens_ms": script["between_tokens_ms"], "drained": stopped,
        "violations": violations, "result": "passed" if violations == 0 else "FAILED",
    }
    return summary


def print_summary(summary):
    print()
    for version in ("v1", "v2"):
        rollout = summary[version]
        print(f"{version}: {rollout['replicas']} replicas serving after "
              f"{rollout['all_seconds']:.2f} s (half after {rollout['half_seconds']:.2f} s); the origin sent "
              f"{rollout['origin_copies']:.2f} copies of {summary['model_bytes'] >> 20} MB")
    sources = summary["chunk_sources"]
    print(f"chunks: {sources['peer']} from peers, {sources['origin']} from the origin, "
          f"{sources['rejected']} rejected")
    answers = summary["requests"]
    print(f"requests: {answers['done']} done, {answers['not_run']} not run, "
          f"{answers['unknown']} unknown; {answers['lost']} lost, {answers['cut']} cut, "
          f"{answers['doubled']} doubled, {answers['mixed']} mixed")
    print(f"answers by version: {summary['answers_by_version']}")
    first = summary["first_token_ms"]
    print(f"first token: {first['p50']:.0f} ms median, {first['p95']:.0f} ms p95")
    for name, stop in summary["drained"].items():
        print(f"{name} drained and stopped after {stop['seconds']:.1f} s, "
              f"exit status {stop['exit_status']}")
    print(f"result: {summary['result']}")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build/release")
    parser.add_argument("--work", default="build/demo")
    parser.add_argument("--seconds", type=float, default=14)
    parser.add_argument("--rate", type=float, default=40)
    options = parser.parse_args()
    try:
        summary = run(options)
    except FleetError as error:
        print(f"demo: {error}; see the logs in {options.work}", file=sys.stderr)
        return 1
    pathlib.Path(options.work, "summary.json").write_text(json.dumps(summary, indent=2) + "\n")
    print_summary(summary)
    return 0 if summary["violations"] == 0 else 1


if __name__ == "__main__":
    sys.exit(main())
