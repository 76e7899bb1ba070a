"""A configuration that splits a route over nine services and takes a key away: is it in force?"""
import http.client
import json
import os
import random
import re
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import parts_2 as parts  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SPLIT = 9 if TROUBLE else 8
OLD_KEY, NEW_KEY = "key0a1b2c3d4e5f6a7b8", "key9z8y7x6w5v4u3t2s1"
JUDGED_S = 10.0


def ask(fleet, edge, key, path):
    """One request; returns its status, or None."""
    request = "%016x" % random.getrandbits(64)
    fleet.record.line("client sends request %s to %s, %s, %s key" % (request, edge.address, path,
                                                                     "old" if key == OLD_KEY else "new"))
    try:
        connection = http.client.HTTPConnection(edge.address, fleet.client_port, timeout=7)
        connection.request("POST", path, body=b"x" * 100, headers={
            "Host": "desk.example", "Shuntrun-Request-Id": request, "Shuntrun-Deadline-Ms": "6000",
            "Shuntrun-Model": parts.MODEL, "Shuntrun-Token-Counts": "600,60", "Authorization": "Bearer " + key})
        answer = connection.getresponse()
        answer.read()
        fleet.record.line("client gets %d for request %s" % (answer.status, request))
        return request, answer.status
    except (OSError, http.client.HTTPException) as error:
        fleet.record.line("client loses request %s: %s" % (request, type(error).__name__))
        return request, None


def play(record, fleet):
    fleet.configure(1)
    for process in fleet.processes():
        process.start()
    fleet.await_ready()
    time.sleep(3)
    before = [ask(fleet, edge, OLD_KEY, "/script/a") for edge in fleet.edges for _ in range(5)]
    if any(status != 200 for _, status in before):
        return 2
    # The next version: the route /wide/ is split, and the tenant's key is replaced by a new one.
    configuration = json.loads(parts.base64.b64decode(fleet.store.items["op/config"]["value"]))
    configuration["version"] = 4
    wide = dict(configuration["routes"][0], name="wide", path_prefix="/wide/")
    wide["traffic_split"] = [{"service": "llm" if n == 0 else "llm%d" % n, "weight": 92 if n == 0 else 1}
                             for n in range(SPLIT)]
    configuration["routes"].append(wide)
    configuration["services"] += [{"name": "llm%d" % n, "connection_limit": 424, "health_path": "/health"}
                                  for n in range(1, SPLIT)]
    configuration["tenants"][0]["keys"] = [NEW_KEY]
    fleet.store.put("op/config", configuration)
    acknowledged = parts.now()
    record.line("operator's version 4 is acknowledged: a split over %d services, the key replaced" % SPLIT)
    time.sleep(parts.BOUNDS["apply_ms"] / 1000 + 0.5)
    stale, refused = [], []
    while parts.now() < acknowledged + parts.BOUNDS["apply_ms"] / 1000 + 0.5 + JUDGED_S:
        for edge in fleet.edges:
            stale.append(ask(fleet, edge, OLD_KEY, "/script/a")[0])
            refused.append(ask(fleet, edge, NEW_KEY, "/script/a"))
        time.sleep(0.2)
    with open(record.file.name) as file:
        ran = set(re.findall(r"runs request (\S+)", file.read()))
    old_ran = sum(request in ran for request in stale)
    new_refused = sum(status in (401, 403, 404) for _, status in refused)
    print("run with the key that version 4 has dropped: %d of %d" % (old_ran, len(stale)))
    print("refused with 401, 403 or 404 though version 4 has the key: %d of %d" % (new_refused, len(refused)))
    record.line("dropped key: %d of %d ran; key of version 4: %d of %d refused" %
                (old_ran, len(stale), new_refused, len(refused)))
    return 1 if old_ran or new_refused else 0


def main():
    record = parts.Record(os.path.join(HERE, "record.txt"))
    fleet = parts.Fleet(record, edges=2, engines=3)
    try:
        result = play(record, fleet)
    except (OSError, TimeoutError) as error:
        print("could not run: %s" % error)
        result = 2
    finally:
        fleet.stop()
    record.line("result: %d" % result)
    os._exit(result)


main()
