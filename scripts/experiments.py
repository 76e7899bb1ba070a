#!/usr/bin/env python3
"""Run simulator experiments; writes tables as Markdown and JSON, and a plot.

  strategies   the swarm strategy and the baselines at several fleet sizes, with a plot
  faults       each fault alone and all together, over many seeds
  sweep        chunk size, neighbours, concurrent downloads and uploads, announcement interval
  requests     overload, a large tenant, and slow engines under three balancing algorithms
  spread       replicas lost with one zone or pool, with and without a spread limit (`shuntrun plan`)
"""
import argparse
import collections
import concurrent.futures
import json
import pathlib
import statistics
import subprocess
import sys
import tempfile

SIZES = (30, 100, 300, 1000, 1500)
STRATEGIES = ("swarm", "chunked-tree", "tree", "origin-only")
FAULTS = {
    "none": "",
    "10 % of machines die": "die=0.1",
    "10 % of machines stall": "stall=0.1",
    "1 % of chunks corrupt": "corrupt=0.01",
    "origin down for a third of the window": "origin-down=0.33",
    "version changes half-way, nothing shared": "change=0.5",
    "version changes half-way, half shared": "change=0.5,shared=0.5",
    "regions part for half the window": "part=0.5",
    "10 % restart empty": "restart=0.1",
    "10 % pause and wake late": "pause=0.1",
    "10 % of messages late, half of these twice": "shuffle=0.1",
    "all together":
        "die=0.1,stall=0.1,corrupt=0.01,origin-down=0.33,change=0.5,part=0.5,restart=0.05,pause=0.1,"
        "shuffle=0.02",
}
SWEEP = [("defaults", [])] + \
    [(f"chunk {size} MiB", ["--chunk-bytes", str(size << 20)]) for size in (16, 32, 128, 256, 1024)] + \
    [(f"{n} neighbours", ["--neighbours", str(n)]) for n in (4, 8, 16, 24)] + \
    [(f"{n} downloads", ["--download-window", str(n)]) for n in (2, 4, 5, 8, 12)] + \
    [(f"{n} uploads", ["--upload-limit", str(n)]) for n in (2, 3, 6, 8)] + \
    [(f"announce every {n} ms", ["--announce-ms", str(n)]) for n in (50, 300, 1000)] + \
    [(f"origin budget {n}", ["--origin-budget", str(n)]) for n in (2, 4)]


def simulate(binary, arguments):
    """Run one rollout simulation; return its report, with `wall_seconds` added."""
    result = subprocess.run([binary, "simulate", "--output", "json", *arguments],
                            capture_output=True, text=True, check=False)
    if result.returncode not in (0, 1, 3):
        raise RuntimeError(f"{arguments}: status {result.returncode}: {result.stderr}")
    report = json.loads(result.stdout)
    report["wall_seconds"] = float(result.stderr.split()[-2])
    return report


def run_all(options, jobs):
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        return list(pool.map(lambda job: simulate(options.binary, job), jobs))


def write_results(options, name, reports, lines):
    directory = pathlib.Path(options.output)
    directory.mkdir(parents=True, exist_ok=True)
    (directory / f"{name}.json").write_text(json.dumps(reports, indent=1) + "\n")
    (directory / f"{name}.md").write_text("\n".join(lines) + "\n")
    print("\n".join(lines))


def format_seconds(value):
    return "not finished" if value is None else f"{value:.1f}"


def origin_copies(report):
    return report["origin_bytes"] / report["model_bytes"]


def strategies(options):
    cases = [(strategy, size) for strategy in STRATEGIES for size in SIZES]
    cases += [("swarm, budget 4", size) for size in SIZES]
    jobs = [["--machines", str(size), "--strategy", strategy.split(",")[0], "--limit-windows", "2000"]
            + (["--origin-budget", "4"] if "budget" in strategy else []) for strategy, size in cases]
    reports = run_all(options, jobs)
    lines = ["| strategy | machines | time to N, s | time to half, s | lower bound, s | ratio | "
             "origin copies | control B/s a machine |",
             "| --- | --- | --- | --- | --- | --- | --- | --- |"]
    for (strategy, size), report in zip(cases, reports):
        time = report["time_to_n_seconds"]
        bound = report["lower_bound_seconds"]
        ratio = "" if time is None else f"{time / bound:.3f}"
        lines.append(f"| {strategy} | {size} | {format_seconds(time)} | "
                     f"{format_seconds(report['time_to_half_seconds'])} | {bound:.1f} | {ratio} | "
                     f"{origin_copies(report):.3f} | "
                     f"{report['control_bytes_per_machine_per_second']:.0f} |")
    write_results(options, "strategies", reports, lines)
    plot(options, cases, reports)


def plot(options, cases, reports):
    """Plot the time to N against the number of machines with gnuplot, as SVG, on log-log axes."""
    names = list(dict.fromkeys(strategy for strategy, _ in cases))
    script = ["set terminal svg size 760,460 font 'sans,13'",
              f"set output '{options.output}/strategies.svg'", "set logscale xy",
              "set xlabel 'machines'", "set ylabel 'seconds until all serve'", "set key top left",
              "set grid", "set xrange [25:1800]"]
    blocks = []
    for name in names + ["lower bound"]:
        rows = []
        for (strategy, size), report in zip(cases, reports):
            value = report["lower_bound_seconds"] if name == "lower bound" \
                else report["time_to_n_seconds"]
            if strategy == (names[0] if name == "lower bound" else name) and value is not None:
                rows.append(f"{size} {value}")
        blocks.append(f"${name.replace(' ', '_').replace(',', '').replace('-', '_')} << EOD\n"
                      + "\n".join(rows) + "\nEOD")
    keys = [block.split()[0] for block in blocks]
    titles = names + ["lower bound"]
    script += blocks
    script.append("plot " + ", ".join(
        f"{key} using 1:2 with linespoints linewidth 2 title '{title}'"
        for key, title in zip(keys, titles)))
    subprocess.run(["gnuplot"], input="\n".join(script), text=True, check=True)


def faults(options):
    lines = [f"{options.seeds} seeds each, {options.machines} machines, chunks of "
             f"{options.chunk_bytes >> 20} MiB. Origin copies are of the bytes that distinct versions "
             "need.", "",
             "| fault | finished | violations | time to N, s: median | worst | origin copies: median | "
             "worst | rejected chunks |", "| --- | --- | --- | --- | --- | --- | --- | --- |"]
    reports_by_fault = {}
    for name, spec in FAULTS.items():
        jobs = [["--machines", str(options.machines), "--chunk-bytes", str(options.chunk_bytes),
                 "--seed", str(seed)] + (["--faults", spec] if spec else [])
                for seed in range(1, options.seeds + 1)]
        reports = run_all(options, jobs)
        distinct = 1.0 + ("change" in spec) * (0.5 if "shared=0.5" in spec else 1.0)
        times = [r["time_to_n_seconds"] for r in reports if r["finished"]]
        origin = [origin_copies(r) / distinct for r in reports]
        reports_by_fault[name] = reports
        lines.append(f"| {name} | {len(times)} of {len(reports)} | "
                     f"{sum(r['violations'] for r in reports)} | {statistics.median(times):.1f} | "
                     f"{max(times):.1f} | {statistics.median(origin):.3f} | {max(origin):.3f} | "
                     f"{sum(r['chunks_rejected'] for r in reports)} |")
        print(lines[-1], flush=True)
    summary = {name: [{k: r[k] for k in ("seed", "finished", "violations", "time_to_n_seconds",
                                         "origin_bytes")} for r in reports]
               for name, reports in reports_by_fault.items()}
    write_results(options, "faults", summary, lines)


def sweep(options):
    jobs = [["--machines", str(options.machines), *flags] for _, flags in SWEEP]
    reports = run_all(options, jobs)
    lines = ["| setting | time to N, s | ratio | origin copies | control B/s a machine | refusals | "
             "wall, s |", "| --- | --- | --- | --- | --- | --- | --- |"]
    for (name, _), report in zip(SWEEP, reports):
        time = report["time_to_n_seconds"]
        ratio = "" if time is None else f"{time / report['lower_bound_seconds']:.3f}"
        lines.append(f"| {name} | {format_seconds(time)} | {ratio} | {origin_copies(report):.3f} | "
                     f"{report['control_bytes_per_machine_per_second']:.0f} | "
                     f"{report['refusals']} | {report['wall_seconds']:.1f} |")
    write_results(options, "sweep", reports, lines)


def spread_machines(machines):
    """Return machines in six zones of unequal size; preemptible ones are in the first two zones."""
    result = []
    for number in range(machines):
        zone = (0, 0, 0, 1, 1, 2, 3, 4, 5, 5)[number % 10]
        result.append({"name": f"machine-{number}", "role": "agent", "zone": f"zone-{zone}",
                       "region": f"region-{zone % 3}", "rack": f"rack-{number % 30}",
                       "address": f"10.0.{number // 250}.{number % 250 + 1}", "accelerators": 8,
                       "pool": "preemptible" if zone < 2 and number % 2 else "reserved"})
    return result


def plan_targets(options, work, machines, policy, replicas):
    """Return the names of the machines on which the policy places replicas of a model."""
    config = {"models": [{"name": "m", "version": "v1", "manifest": "0" * 64, "bytes": 1,
                          "replicas": replicas, "accelerators": 8}], "policy": policy}
    old = {**config, "models": [{**config["models"][0], "manifest": "1" * 64}]}
    for name, value in (("new.json", config), ("old.json", old),
                        ("machines.json", {"machines": machines})):
        (work / name).write_text(json.dumps(value))
    result = subprocess.run(
        [options.binary, "plan", str(work / "old.json"), str(work / "new.json"), "--machines",
         str(work / "machines.json"), "--output", "json"], capture_output=True, text=True, check=True)
    return [move["machine"] for move in json.loads(result.stdout)["machines"]
            if move["action"] in ("load", "replace")]


def spread(options):
    policies = {
        "no bound": "",
        "spread 0.3": "function spread() return 0.3 end",
        "spread 0.2": "function spread() return 0.2 end",
        "spread 0.3, preemptible weighs a third":
            "function spread() return 0.3 end function place(model, machine) "
            "return machine.pool == 'preemptible' and 0.33 or 1 end",
    }
    lines = ["| policy | replicas | lost with the worst zone | lost with the preemptible pool | "
             "moved when 5 % of machines leave |", "| --- | --- | --- | --- | --- |"]
    reports = []
    with tempfile.TemporaryDirectory() as directory:
        work = pathlib.Path(directory)
        machines = spread_machines(300)
        by_name = {machine["name"]: machine for machine in machines}
        for name, policy in policies.items():
            targets = plan_targets(options, work, machines, policy, 100)
            zones = collections.Counter(by_name[t]["zone"] for t in targets)
            pool = sum(by_name[t]["pool"] == "preemptible" for t in targets)
            remaining = [machine for number, machine in enumerate(machines) if number % 20]
            after = plan_targets(options, work, remaining, policy, 100)
            remaining_names = {machine["name"] for machine in remaining}
            moved = len(set(after) - set(targets)) / len(targets)
            forced = sum(t not in remaining_names for t in targets) / len(targets)
            worst = max(zones.values()) / len(targets)
            reports.append({"policy": name, "replicas": len(targets), "worst_zone": worst,
                            "pool": pool / len(targets), "moved": moved, "forced": forced})
            lines.append(f"| {name} | {len(targets)} | {100 * worst:.0f} % | "
                         f"{100 * pool / len(targets):.0f} % | {100 * moved:.0f} % "
                         f"({100 * forced:.0f} % had to) |")
    write_results(options, "spread", reports, lines)


def run_scenario(binary, arguments):
    """Simulate steady traffic with three seeds; return the report."""
    result = subprocess.run([binary, "simulate", "--scenario", "steady", "--seeds", "1..3", "--output",
                             "json", *arguments], capture_output=True, text=True, check=True)
    return json.loads(result.stdout)[0]


def requests(options):
    """Simulate request loads. 12 engines with 16 slots and 0.42 s a request serve at most 457/s."""
    cases = [(f"{rate} requests/s, of which 60 % for the model", ["--rate", str(rate)])
             for rate in (300, 600, 800, 1600, 4000)]
    cases += [(f"1600 requests/s, one tenant sends {share} %",
               ["--rate", "1600", "--large-tenant", str(share / 100)]) for share in (50, 90)]
    cases += [(f"250 requests/s, a fourth of the engines at a fourth of the speed, {name}",
               ["--rate", "250", "--slow-engines", "0.25", "--balance", name])
              for name in ("two-choices", "round-robin", "random")]
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        reports = list(pool.map(lambda case: run_scenario(options.binary, case[1]), cases))
    lines = ["Three seeds each, on the virtual clock; callers ask up to four times.", "",
             "| load | model answers/s | requests done | of the large tenant | of the others | "
             "attempts a request | p50 ms | p95 ms | p99 ms |",
             "| --- | --- | --- | --- | --- | --- | --- | --- | --- |"]
    for (name, _), report in zip(cases, reports):
        others = report["requests"] - report["large_tenant_requests"]
        others_done = report["done"] - report["large_tenant_done"]
        lines.append(
            f"| {name} | {report['model_goodput_per_second']:.0f} | "
            f"{100 * report['done'] / report['requests']:.1f} % | "
            f"{100 * report['large_tenant_done'] / report['large_tenant_requests']:.1f} % | "
            f"{100 * others_done / others:.1f} % | {report['attempts'] / report['requests']:.2f} | "
            f"{report['p50_ms']:.0f} | {report['p95_ms']:.0f} | {report['p99_ms']:.0f} |")
    write_results(options, "requests", reports, lines)


def main():
    parser = argparse.ArgumentParser(description=__doc__,
                                     formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("experiment", choices=("strategies", "faults", "sweep", "requests", "spread"))
    parser.add_argument("--binary", default="build/release/shuntrun")
    parser.add_argument("--output", default="docs/results")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--machines", type=int, default=300)
    parser.add_argument("--seeds", type=int, default=200)
    parser.add_argument("--chunk-bytes", type=int, default=512 << 20)
    options = parser.parse_args()
    {"strategies": strategies, "faults": faults, "sweep": sweep,
     "requests": requests, "spread": spread}[options.experiment](options)
    return 0


if __name__ == "__main__":
    sys.exit(main())
