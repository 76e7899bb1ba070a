#!/usr/bin/env python3
"""Counts the streams that clients lost, by reason, in the logs of edges.

A stream is cut when its client got events and then a reset: `event=cut`.

usage: cut_streams.py [LOG...]     (standard input without LOG)
"""
import collections
import re
import sys

FIELD = re.compile(r'(\w+)=("[^"]*"|\S+)')
ATTEMPT_OUTCOME = re.compile(r",([a-z]+);")


def parse_fields(line):
    return {name: value.strip('"') for name, value in FIELD.findall(line)}


def count_events(log):
    """Cut streams by (reason, how each attempt ended), and attempts that were followed by another."""
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
        print("  %5d  attempts went on elsewhere: %s" % (number, reason))


def main():
    if len(sys.argv) < 2:
        report("standard input", sys.stdin)
    for name in sys.argv[1:]:
        with open(name, errors="replace") as log:
            report(name, log)


if __name__ == "__main__":
    main()
