"""Start and stop a small fleet on loopback, for the demonstration and the system tests.

All processes are children of the calling script; each is killed through its own handle, also on
failure and Ctrl-C.
"""
import atexit
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request

CONTROL_PORT = 7100
TRAFFIC_PORT = 7101
HTTP_PORT = 8080
STANDIN_PORT = 9000
RESERVATION_PORT = 7099
PREFIXES = range(80, 250)  # second octet; system tests of edges and loaders use lower ones
WAIT_SECONDS = 60


class FleetError(Exception):
    """A condition was not met before its timeout."""


def call(url, body=None, timeout=5):
    """GET, or POST when there is a body; returns the parsed JSON response."""
    data = None if body is None else (body if isinstance(body, bytes) else json.dumps(body).encode())
    request = urllib.request.Request(url, data=data)
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    with opener.open(request, timeout=timeout) as response:
        return json.loads(response.read() or b"null")


def parse_sample_value(text):
    """Parse the value of a metrics sample: counters are integers, sums of durations are floats."""
    return float(text) if "." in text else int(text)


def wait_until(what, condition, seconds=WAIT_SECONDS):
    """Poll a condition until it is true; returns its value. Connection errors count as false."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            value = condition()
        except (OSError, urllib.error.URLError, ValueError):
            value = None
        if value:
            return value
        time.sleep(0.02)
    raise FleetError(f"timed out after {seconds} s: {what}")


def reserve_prefix():
    """Returns the first two octets of addresses that no other fleet of this machine uses, and the socket that reserves
    them while it is open."""
    for octet in random.SystemRandom().sample(PREFIXES, len(PREFIXES)):
        prefix = f"127.{octet}"
        try:
            return prefix, socket.create_server((f"{prefix}.0.4", RESERVATION_PORT))
        except OSError as error:
            reason = error
    raise FleetError(f"no free addresses for a fleet: {reason}")


class Fleet:
    """Platform stand-ins, gateways and agents, each on its own address in 127.0.0.0/8."""

    def __init__(self, build, work, zones=3):
        self.build = pathlib.Path(build)
        self.work = pathlib.Path(work)
        self.work.mkdir(parents=True, exist_ok=True)
        self.prefix, self.reservation = reserve_prefix()
        self.zones = zones
        self.processes = {}
        self.machines = {}
        self.settings = {}
        self.service_urls = {}
        self.next_host = 10
        atexit.register(self.stop)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, lambda *_: sys.exit(130))

    # ---- processes ----

    def start(self, name, arguments, environment=None):
        restarted = name in self.processes
        log = open(self.work / f"{name}.log", "ab" if restarted else "wb")
        process = subprocess.Popen(arguments, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                                   env={**os.environ, **(environment or {})})
        log.close()
        self.processes[name] = process
        return process

    def start_standin(self, name, kind, address, *flags):
        url = f"http://{address}:{STANDIN_PORT}"
        self.start(name, [str(self.build / "shuntrun-standin"), kind, "--address", address, "--port",
                          str(STANDIN_PORT), *flags])
        return url

    def restart_standin(self, name):
        """Restart a stopped stand-in with the same arguments."""
        self.start(name, self.processes[name].args)

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.processes.clear()
        self.reservation.close()

    def kill(self, name, signal_number=signal.SIGKILL):
        self.processes[name].send_signal(signal_number)

    # ---- platform ----

    def start_platform(self, origin_bytes_per_second, lag_ms=200):
        self.config_url = self.start_standin("config", "values", f"{self.prefix}.0.1")
        self.machines_url = self.start_standin("machines", "values", f"{self.prefix}.0.2",
                                               "--lag-ms", str(lag_ms))
        self.origin_url = self.start_standin("origin", "origin", f"{self.prefix}.0.3",
                                             "--bytes-per-second", str(origin_bytes_per_second))
        for url in (self.config_url, self.machines_url, self.origin_url):
            wait_until(url, lambda u=url: call(u + "/admin/stats"))

    def make_model(self, model, version, size, chunk, seed, shared=0):
        return call(self.origin_url + "/admin/model",
                    {"model": model, "version": version, "bytes": size, "chunk_bytes": chunk,
                     "seed": seed, "shared": shared}, timeout=60)

    def publish_config(self, config):
        return call(self.config_url + "/admin/publish/fleet", config)["revision"]

    def publish_machines(self):
        machines = [{**machine} for machine in self.machines.values()]
        return call(self.machines_url + "/admin/publish/machines", {"machines": machines})["revision"]

    # ---- nodes ----

    def add_node(self, name, role, zone, flags):
        address = f"{self.prefix}.{zone}.{self.next_host}"
        self.next_host += 1
        self.machines[name] = {
            "name": name, "role": role, "zone": f"zone-{zone}", "region": f"region-{zone}",
            "rack": f"rack-{zone}-{self.next_host % 2}", "address": address,
            "control_port": CONTROL_PORT, "traffic_port": TRAFFIC_PORT, "http_port": HTTP_PORT,
            "state": "live"}
        self.settings[name] = ["--name", name, "--zone", f"zone-{zone}", "--region",
                               f"region-{zone}", "--address", address, "--config-url",
                               self.config_url, "--machines-url", self.machines_url, *flags]
        return address

    def start_node(self, name):
        role = self.machines[name]["role"]
        return self.start(name, [str(self.build / "shuntrun"), role, *self.settings[name]])

    def add_gateway(self, name, zone, *flags):
        self.add_node(name, "gateway", zone, list(flags))
        self.start_node(name)

    def add_engine_agent(self, name, zone, *flags, engine_flags=()):
        engine = self.start_standin(f"{name}-engine", "engine",
                                    f"{self.prefix}.{zone}.{100 + self.next_host}", *engine_flags)
        self.add_node(name, "agent", zone, ["--origin-url", self.origin_url, "--engine-url", engine,
                                            *flags])
        self.machines[name]["accelerators"] = 8
        self.start_node(name)

    def add_service_agent(self, name, zone, service, *flags, service_flags=()):
        url = self.start_standin(f"{name}-service", "service",
                                 f"{self.prefix}.{zone}.{100 + self.next_host}", *service_flags)
        self.add_node(name, "agent", zone, ["--origin-url", self.origin_url, "--service-url", url,
                                            "--service-name", service, *flags])
        self.machines[name].update({"accelerators": 0, "services": [service]})
        self.service_urls[name] = url
        self.start_node(name)

    def add_link_relay(self, name, port=TRAFFIC_PORT + 100):
        """Start a relay in front of an agent's traffic port that can stall or reset connections."""
        machine = self.machines[name]
        self.start(f"{name}-link", [
            str(self.build / "shuntrun-standin"), "link", "--address", machine["address"], "--port",
            str(port), "--target-port", str(TRAFFIC_PORT)])
        machine["traffic_port"] = port

    def http(self, name):
        machine = self.machines[name]
        return f"http://{machine['address']}:{machine['http_port']}"

    def status(self, name):
        return call(self.http(name) + "/v1/status")

    def counters(self, name):
        """Return the samples of a node's metrics page by name, with their labels."""
        request = urllib.request.build_opener(urllib.request.ProxyHandler({}))
        with request.open(self.http(name) + "/metrics", timeout=5) as response:
            lines = response.read().decode().splitlines()
        samples = (line.rsplit(" ", 1) for line in lines if not line.startswith("#"))
        return {name: parse_sample_value(text) for name, text in samples}

    def serves(self, name, version):
        return any(ready["version"] == version for ready in self.status(name)["ready"])

    def agents(self, engines=True):
        return [name for name, machine in self.machines.items()
                if machine["role"] == "agent" and bool(machine.get("accelerators")) == engines]

    def gateways(self):
        return [name for name, machine in self.machines.items() if machine["role"] == "gateway"]

    def gateway_list(self):
        return ",".join(self.http(name).removeprefix("http://") for name in self.gateways())

    def start_load(self, name, service, *flags):
        report = open(self.work / f"{name}.json", "wb")
        log = open(self.work / f"{name}.log", "ab")
        process = subprocess.Popen(
            [str(self.build / "shuntrun"), "load", "--gateways", self.gateway_list(), "--service",
             service, "--record", str(self.work / f"{name}.record"), *flags],
            stdout=report, stderr=log, stdin=subprocess.DEVNULL)
        report.close()
        log.close()
        self.processes[name] = process
        return process

    def load_report(self, name, seconds=WAIT_SECONDS):
        self.processes[name].wait(timeout=seconds)
        return json.loads((self.work / f"{name}.json").read_text())
