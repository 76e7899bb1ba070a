"""Two spoilt manifest answers of the origin, after the final fault: is the service back after `recovery_s`?"""
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import parts_2 as parts  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DOWN_S = 1.0  # `closing = { kind = kill_all, down_s }` of the site's days: 0.59 to 1.6
JUDGED_S = 20.0


def play(record, fleet):
    fleet.configure()
    for process in fleet.processes():
        process.start()
    fleet.await_ready()
    clients = parts.Clients(fleet, per_s=20)
    time.sleep(8)
    fleet.name_version(2)
    time.sleep(0.02)
    fault_at = parts.now()
    record.line("final fault: all processes are killed")
    for process in fleet.processes():
        process.kill()
    time.sleep(DOWN_S)
    if TROUBLE:
        fleet.origin.spoil_version, fleet.origin.manifests_to_spoil = 2, 2
    for process in fleet.processes():
        process.start()
    back_at = parts.now()
    record.line("all processes are started again")
    begin = back_at + parts.BOUNDS["recovery_s"]
    time.sleep(begin + JUDGED_S - parts.now())
    clients.stop()
    before = clients.served(0, fault_at)
    after = clients.served(begin, begin + JUDGED_S)
    record.line("origin: %d answers, %d of them spoilt" % (fleet.origin.answers, fleet.origin.spoilt))
    record.line("served before the final fault: %d of %d" % before)
    record.line("served of those sent more than recovery_s after the return: %d of %d" % after)
    for name, pair in (("before", before), ("after", after)):
        print("served %s: %d of %d" % ((name,) + pair))
    print("origin: %d answers, %d spoilt" % (fleet.origin.answers, fleet.origin.spoilt))
    if before[0] * 4 < before[1] or not after[1]:
        return 2
    return 1 if after[0] * 4 < after[1] else 0


def main():
    record = parts.Record(os.path.join(HERE, "record.txt"))
    fleet = parts.Fleet(record, edges=2, engines=4)
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
