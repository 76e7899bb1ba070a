#!/usr/bin/env python3
"""Count cut streams and retries by reason in the logs of gateways (edges).

A stream is cut when its client got events and then a reset; gateways log it as `event=cut`.

usage: cut_streams.py [LOG...]     (reads standard input if no LOG is given)
"""
import collections
import re
import sys

FIELD = re.compile(r'(\w+)=("[^"]*"|\S+)')
ATTEMPT_OUTCOME = re.compile(r",([a-z]+);")


def parse_fields(line):
    """Return the `name=value` fields of a log line."""
    return {name: value.strip('"') for name, value in FIELD.findall(line)}


def count_events(log):
    """Return cut streams by (reason, outcomes of the attempts), and retries by reason."""
    cut_streams, retries = collections.Counter(), collections.Counter()
    for line in log:
        if "subsystem=request" not in line:
            continue
        fields = parse_fields(line)
        if fields.get("event") == "cut":
            attempts = ",".join(ATTEMPT_OUTCOME.findall(fields.get("trail", "")))
            cut_streams[(fields["reason"], attempts or "-")] += 1
        elif fields.get("event") == "retry":
            retries[fields["reason"]] += 1
    return cut_streams, retries


def report(name, log):
    cut_streams, retries = count_events(log)
    print("%s: %d streams cut" % (name, sum(cut_streams.values())))
    for (reason, attempts), number in cut_streams.most_common():
        print("  %5d  %s, attempts: %s" % (number, reason, attempts))
    for reason, number in retries.most_common():
        print("  %5d  attempts retried elsewhere: %s" % (number, reason))


def main():
    if len(sys.argv) < 2:
        report("standard input", sys.stdin)
    for name in sys.argv[1:]:
        with open(name, errors="replace") as log:
            report(name, log)


if __name__ == "__main__":
    main()
