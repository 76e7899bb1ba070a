#!/usr/bin/env python3
"""Counts the streams that clients lost, by reason, in the logs of edges.

A stream is cut when its client got events and then a reset: `event=cut`.

usage: cut_streams.py [LOG...]     (standard input without LOG)
"""
import collections
import re
import sys

FIELD = re.compile(r'(\w+)=("[^"]*"|\S+)')
ATTEMPT_END = re.compile(r",([a-z]+);")


def fields_of(line):
    return {name: value.strip('"') for name, value in FIELD.findall(line)}


def count(stream):
    """Cut streams by (reason, how each attempt ended), and attempts that were followed by another."""
    cut, retried = collections.Counter(), collections.Counter()
    for line in stream:
        if "subsystem=request" not in line:
            continue
        fields = fields_of(line)
        if fields.get("event") == "cut":
            attempts = ",".join(ATTEMPT_END.findall(fields.get("trail", "")))
            cut[(fields["reason"], attempts or "-")] += 1
        elif fields.get("event") == "retry":
            retried[fields["reason"]] += 1
    return cut, retried


def report(name, stream):
    cut, retried = count(stream)
    print("%s: %d streams cut" % (name, sum(cut.values())))
    for (reason, attempts), number in cut.most_common():
        print("  %5d  %s, attempts: %s" % (number, reason, attempts))
    for reason, number in retried.most_common():
        print("  %5d  attempts went on elsewhere: %s" % (number, reason))


def main():
    if len(sys.argv) < 2:
        report("standard input", sys.stdin)
    for name in sys.argv[1:]:
        with open(name, errors="replace") as stream:
            report(name, stream)


if __name__ == "__main__":
    main()
