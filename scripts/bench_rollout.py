#!/usr/bin/env python3
"""Compare a rollout to real agents with the simulator's prediction.

The agents are separate processes on loopback with rate-limited links; the simulator gets the same
link rates. Runs one rollout.
"""
import argparse
import json
import pathlib
import subprocess
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent))
import demo  # noqa: E402
from fleet import Fleet, call, wait_until  # noqa: E402


def run_real(options, model_bytes, chunk_bytes, link_rate, origin_rate):
    """Run the rollout on real agents; the rates are bytes per second."""
    fleet = Fleet(options.build, options.work)
    fleet.start_platform(origin_rate, lag_ms=0)
    for number in range(options.agents):
        fleet.add_engine_agent(f"engine-{number}", number % 3 + 1, "--link-bytes-per-second",
                               str(link_rate), "--weights-memory-mb", "128")
    fleet.add_service_agent("seats-0", 1, "seats")
    fleet.publish_machines()
    model = fleet.make_model("script", "v1", model_bytes, chunk_bytes, seed=1)
    for agent in fleet.agents():
        wait_until(f"{agent} has the machine list", lambda a=agent: fleet.status(a)["machines"] > 0)
    time.sleep(1)  # excludes connection set-up between agents from the measured time
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
        raise SystemExit(f"only {len(serving)} of {options.agents} agents are serving")
    return {"whole_seconds": max(loaded.values()), "serving_seconds": max(serving.values()),
            "origin_copies": copies}


def predict(options, model_bytes, chunk_bytes, window):
    """Simulate the same rollout; `window` is in seconds."""
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
    link_rate = int(2 * model_bytes / options.window)
    origin_rate = int(4 * model_bytes / options.window)
    real = run_real(options, model_bytes, chunk_bytes, link_rate, origin_rate)
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
