#!/usr/bin/env python3
"""A rollout to real agents in processes of their own over paced links, beside the simulator's
prediction for the same links. Bounded: one rollout, loopback only."""
import argparse
import json
import pathlib
import subprocess
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent))
import demo  # noqa: E402
from fleet import Fleet, call, wait_until  # noqa: E402


def run_real(options, model_bytes, chunk_bytes, link, origin):
    fleet = Fleet(options.build, options.work)
    fleet.start_platform(origin, lag_ms=0)
    for number in range(options.agents):
        fleet.add_engine_agent(f"engine-{number}", number % 3 + 1, "--link-bytes-per-second",
                               str(link), "--weights-memory-mb", "128")
    fleet.add_service_agent("seats-0", 1, "seats")
    fleet.publish_machines()
    model = fleet.make_model("script", "v1", model_bytes, chunk_bytes, seed=1)
    for agent in fleet.agents():
        wait_until(f"{agent} knows the machines", lambda a=agent: fleet.status(a)["machines"] > 0)
    time.sleep(1)  # links between agents come up; the clock starts after
    started_at = time.monotonic()
    fleet.publish_config(demo.make_config("v1", model, ["seats-0"]))
    loaded, serving = {}, {}
    while len(serving) < options.agents and time.monotonic() - started_at < 120:
        for agent in fleet.agents():
            if agent in serving:
                continue
            status = fleet.status(agent)
            now = time.monotonic() - started_at
            rollout = status["rollouts"][0] if status["rollouts"] else None
            if rollout and rollout["chunks"] and rollout["held"] == rollout["chunks"]:
                loaded.setdefault(agent, now)
            if status["ready"]:
                serving[agent] = now
        time.sleep(0.05)
    copies = call(fleet.origin_url + "/admin/stats")["chunk_bytes"] / model_bytes
    fleet.stop()
    if len(serving) < options.agents:
        raise SystemExit(f"only {len(serving)} of {options.agents} agents serve")
    return {"whole_seconds": max(loaded.values()), "serving_seconds": max(serving.values()),
            "origin_copies": copies}


def predict(options, model_bytes, chunk_bytes, window):
    result = subprocess.run(
        [f"{options.build}/shuntrun", "simulate", "--machines", str(options.agents), "--zones", "3",
         "--regions", "3", "--model-bytes", str(model_bytes), "--chunk-bytes", str(chunk_bytes),
         "--window-seconds", str(window), "--neighbours", "8", "--announce-ms", "125", "--output",
         "json"], capture_output=True, text=True, check=True)
    return json.loads(result.stdout)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build/release")
    parser.add_argument("--work", default="build/bench")
    parser.add_argument("--agents", type=int, default=30)
    parser.add_argument("--window", type=float, default=12)
    options = parser.parse_args()
    model_bytes, chunk_bytes = 24 << 20, 256 << 10
    link = int(2 * model_bytes / options.window)
    origin = int(4 * model_bytes / options.window)
    real = run_real(options, model_bytes, chunk_bytes, link, origin)
    predicted = predict(options, model_bytes, chunk_bytes, options.window)
    report = {"agents": options.agents, "window_seconds": options.window,
              "model_bytes": model_bytes, "chunk_bytes": chunk_bytes, "real": real,
              "predicted_seconds": predicted["time_to_n_seconds"],
              "lower_bound_seconds": predicted["lower_bound_seconds"],
              "real_over_predicted": real["whole_seconds"] / predicted["time_to_n_seconds"]}
    print(json.dumps(report, indent=2))
    return 0


if __name__ == "__main__":
    sys.exit(main())
