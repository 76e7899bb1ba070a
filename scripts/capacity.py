#!/usr/bin/env python3
"""Measure CPU time, memory and control traffic against load and fit a line to each.

Writes docs/results/capacity.md and capacity.json. Runs a few minutes, on loopback only.

  nodes      simulated nodes (the real control core) in one process, at five fleet sizes
  requests   a real gateway and real agents at four request rates
  chunks     memory of a real agent at five manifest sizes
"""
import argparse
import json
import os
import pathlib
import resource
import subprocess
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent))
import demo  # noqa: E402
from fleet import Fleet, call, wait_until  # noqa: E402

CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
ENGINE_COUNTS = (50, 100, 200, 400, 800)
REQUEST_RATES = (20, 50, 100, 200)
CHUNK_COUNTS = (50, 200, 500, 1000, 2200)
TOKENS_PER_REQUEST = 40
LOAD_SECONDS = 6


def fit_linear(points):
    """Fit value = base + slope * size by least squares; residuals are fractions of the value."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / \
        sum((x - mean_x) ** 2 for x, _ in points)
    base = mean_y - slope * mean_x
    residuals = [(y - base - slope * x) / y if y else 0.0 for x, y in points]
    return {"base": base, "slope": slope, "points": points,
            "residuals": [round(r, 3) for r in residuals]}


def measure_nodes(options):
    """Simulate fleets on a virtual clock.

    The measured CPU time includes that of the simulator, so it is an upper bound for the nodes.
    """
    rows = []
    for engines in ENGINE_COUNTS:
        gateways = max(2, engines // 8)
        before = resource.getrusage(resource.RUSAGE_CHILDREN)
        result = subprocess.run(
            [f"{options.build}/shuntrun", "simulate", "--scenario", "publish", "--seeds", "1..1",
             "--engines", str(engines), "--gateways", str(gateways), "--rate", "1", "--seconds", "10",
             "--output", "json"], capture_output=True, text=True, check=True)
        after = resource.getrusage(resource.RUSAGE_CHILDREN)
        report = json.loads(result.stdout)[0]
        nodes = engines + gateways + 4
        seconds = 26  # virtual time: start-up, request arrivals and the time after them
        rows.append({
            "nodes": nodes,
            "cpu_ms_per_node_second":
                1000 * (after.ru_utime - before.ru_utime) / nodes / seconds,
            "bytes_per_node_second": report["greatest_control_bytes_per_node_per_second"],
            "platform_calls_per_second": report["greatest_platform_calls_per_second"],
        })
        print(rows[-1], flush=True)
    return rows


def process_usage(process):
    """Return the CPU time in seconds and the resident memory in MiB of a running process."""
    with open(f"/proc/{process.pid}/stat", encoding="ascii") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    with open(f"/proc/{process.pid}/status", encoding="ascii") as status:
        rss = next(int(line.split()[1]) for line in status if line.startswith("VmRSS"))
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND, rss / 1024


def start_small_fleet(options, name, chunk_count, engines=4):
    """Start one gateway and `engines` agents that serve a model of `chunk_count` 4 KiB chunks."""
    fleet = Fleet(options.build, pathlib.Path(options.work) / name)
    fleet.start_platform(1 << 30, lag_ms=0)
    fleet.add_gateway("gateway-1", 1)
    for number in range(engines):
        fleet.add_engine_agent(f"engine-{number}", 1, engine_flags=("--batch", "256"))
    fleet.add_service_agent("seats-0", 1, "seats")
    fleet.publish_machines()
    model = fleet.make_model("script", "v1", chunk_count * 4096, 4096, seed=1)
    fleet.publish_config(demo.make_config("v1", model, ["seats-0"]))
    for agent in fleet.agents():
        wait_until(f"{agent} serves v1", lambda a=agent: fleet.serves(a, "v1"))
    return fleet


def measure_requests(options):
    """Measure the CPU share and memory of a gateway and its agents at each request rate."""
    fleet = start_small_fleet(options, "requests", 16)
    rows = []
    try:
        for rate in (0,) + REQUEST_RATES:
            names = ["gateway-1"] + fleet.agents()
            before = {name: process_usage(fleet.processes[name]) for name in names}
            started_at = time.monotonic()
            done = 0
            if rate:
                fleet.start_load("load", "script", "--tenants", "water", "--rate", str(rate),
                                 "--seconds", str(LOAD_SECONDS), "--tokens",
                                 str(TOKENS_PER_REQUEST))
                done = fleet.load_report("load")["outcomes"]["done"]
            else:
                time.sleep(LOAD_SECONDS)
            elapsed = time.monotonic() - started_at
            after = {name: process_usage(fleet.processes[name]) for name in names}
            cpu = {name: (after[name][0] - before[name][0]) / elapsed for name in names}
            agents = fleet.agents()
            rows.append({
                "requests_per_second": done / elapsed,
                "tokens_per_second": done * TOKENS_PER_REQUEST / elapsed,
                "gateway_core_share": cpu["gateway-1"],
                "gateway_rss_mb": after["gateway-1"][1],
                "agent_core_share": sum(cpu[a] for a in agents) / len(agents),
                "agent_rss_mb": max(after[a][1] for a in agents),
                "agent_requests_per_second": done / elapsed / len(agents),
            })
            print(rows[-1], flush=True)
    finally:
        fleet.stop()
    return rows


def measure_chunks(options):
    """Measure the memory of an agent at each manifest size."""
    rows = []
    for count in CHUNK_COUNTS:
        fleet = start_small_fleet(options, f"chunks-{count}", count, engines=2)
        try:
            agent = fleet.agents()[0]
            chunk_memory_mb = fleet.counters(agent)["shuntrun_chunk_memory_bytes"] / (1 << 20)
            rss = process_usage(fleet.processes[agent])[1]
            rows.append({"chunks": count, "agent_rss_mb": rss, "chunk_memory_mb": chunk_memory_mb,
                         "control_mb": rss - chunk_memory_mb})
            print(rows[-1], flush=True)
        finally:
            fleet.stop()
    return rows


def markdown_table(rows):
    keys = list(rows[0])
    lines = ["| " + " | ".join(key.replace("_", " ") for key in keys) + " |",
             "|" + " --- |" * len(keys)]
    lines += ["| " + " | ".join(f"{row[key]:.3f}" if isinstance(row[key], float) else str(row[key])
                                for key in keys) + " |" for row in rows]
    return lines


def format_fit(name, unit, fitted):
    residuals = ", ".join(f"{100 * r:+.0f} %" for r in fitted["residuals"])
    return f"| {name} | {fitted['base']:.4g} | {fitted['slope']:.4g} | {unit} | {residuals} |"


def main():
    parser = argparse.ArgumentParser(description=__doc__,
                                     formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--build", default="build/release")
    parser.add_argument("--work", default="build/capacity")
    parser.add_argument("--output", default="docs/results")
    options = parser.parse_args()
    nodes = measure_nodes(options)
    requests = measure_requests(options)
    chunks = measure_chunks(options)
    loaded = [row for row in requests if row["requests_per_second"] > 0]
    fits = {
        "control cpu, ms per node and second, over nodes":
            ("ms per node", fit_linear([(r["nodes"], r["cpu_ms_per_node_second"]) for r in nodes])),
        "control bytes per node and second, over nodes":
            ("B/s per node", fit_linear([(r["nodes"], r["bytes_per_node_second"]) for r in nodes])),
        "platform calls in the busiest second, over nodes":
            ("calls per node",
             fit_linear([(r["nodes"], r["platform_calls_per_second"]) for r in nodes])),
        "gateway core share, over tokens a second":
            ("cores per token/s", fit_linear([(r["tokens_per_second"], r["gateway_core_share"])
                                              for r in loaded])),
        "agent core share, over its own requests a second":
            ("cores per request/s",
             fit_linear([(r["agent_requests_per_second"], r["agent_core_share"])
                         for r in loaded])),
        "gateway memory, MB, over requests a second":
            ("MB per request/s", fit_linear([(r["requests_per_second"], r["gateway_rss_mb"])
                                             for r in requests])),
        "agent memory without chunk data, MB, over chunks":
            ("MB per chunk", fit_linear([(r["chunks"], r["control_mb"]) for r in chunks])),
    }
    lines = ["Measured by `scripts/capacity.py`.", "", "## Hollow nodes in one process", ""]
    lines += markdown_table(nodes) + ["", "## A real gateway and four real agents", ""]
    lines += markdown_table(requests)
    lines += ["", "## A real agent over the size of a manifest", ""] + markdown_table(chunks)
    lines += ["", "## Fits: value = base + slope x size", "",
              "| quantity | base | slope | unit of slope | residuals |",
              "| --- | --- | --- | --- | --- |"]
    lines += [format_fit(name, unit, fitted) for name, (unit, fitted) in fits.items()]
    directory = pathlib.Path(options.output)
    directory.mkdir(parents=True, exist_ok=True)
    (directory / "capacity.md").write_text("\n".join(lines) + "\n")
    (directory / "capacity.json").write_text(json.dumps(
        {"nodes": nodes, "requests": requests, "chunks": chunks,
         "fits": {name: fitted for name, (_, fitted) in fits.items()}}, indent=1) + "\n")
    print("\n".join(lines))
    return 0


if __name__ == "__main__":
    sys.exit(main())
