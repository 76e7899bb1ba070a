#!/usr/bin/env bash
# Runs the tests of a build, without those in KNOWN-RED.txt, which are printed. The file has one line
# `TEST: cause, issue` for each test that is known to fail.
# usage: run_tests.sh BUILD-DIRECTORY
set -euo pipefail
cd "$(dirname "$0")/.."
known_red_most=6
arguments=(--test-dir "$1" --output-on-failure -j 4)
if [ -s KNOWN-RED.txt ]; then
  count=$(grep -c . KNOWN-RED.txt)
  if [ "$count" -gt "$known_red_most" ]; then
    echo "KNOWN-RED.txt: $count lines, at most $known_red_most are allowed" >&2
    exit 1
  fi
  echo "Skipped, known to fail:"
  cat KNOWN-RED.txt
  names=$(sed 's/:.*//; s/\./\\./g' KNOWN-RED.txt | paste -sd '|')
  arguments+=(--exclude-regex "^($names)\$")
fi
ctest "${arguments[@]}"
