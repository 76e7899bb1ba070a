#!/bin/sh
# Builds the stand-ins of the scripts of review 2. They are Python programs (review/parts_2.py, review/N/play.py), so
# this checks only that they compile, and writes nothing.
cd "$(dirname "$0")" || exit 2
exec python3 - <<'PY'
import glob
import sys
import tomllib  # of Python 3.11, Debian 12's

for path in ["parts_2.py"] + sorted(glob.glob("[4-8]/play.py")):
    with open(path) as file:
        compile(file.read(), path, "exec")
print("stand-ins of review 2: %s" % sys.version.split()[0])
PY
