#!/bin/sh
# Exit 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 splits over eight services.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/shuntrun ] || { echo "target/shuntrun is missing: run the build of deploy/system.toml"; exit 2; }
exec python3 play.py
