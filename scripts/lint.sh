#!/usr/bin/env bash
# Checks formatting, runs static analysis, and checks that the committed generated code is current.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t sources < <(git ls-files 'src/*.c' 'src/*.h' 'platform/*.c' 'platform/*.h' 'tests/*.c' 'tests/*.h' | grep -v '^src/generated/')

echo "clang-format"
clang-format --dry-run --Werror "${sources[@]}"

echo "cppcheck"
cppcheck --quiet --error-exitcode=1 --std=c11 --inline-suppr --enable=warning,portability \
  --suppress=missingIncludeSystem \
  --suppress=preprocessorErrorDirective --suppress=normalCheckLevelMaxBranches --library=scripts/jansson.cfg \
  -i src/generated -D_GNU_SOURCE -I src -I . \
  -j "$(nproc)" src platform tests

echo "clocks"
# Ages and deadlines must include the time in which a machine is suspended, so only clock.c reads
# the clocks; log.c reads the date for log lines.
if git grep -nE 'clock_gettime|gettimeofday|uv_now|uv_hrtime|[^_a-z]time\(NULL\)' -- 'src/*.c' 'src/*.h' 'platform/*' \
  ':!src/base/clock.c' ':!src/base/log.c'; then
  echo "clocks are read in src/base/clock.c only" >&2
  exit 1
fi

echo "generated code"
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
mkdir -p "$copy/src/generated" "$copy/docs" "$copy/schema"
cp schema/* "$copy/schema/" 2>/dev/null || true
python3 schema/generate_settings.py "$copy"
for file in src/generated/settings_schema.h src/generated/settings_schema.c docs/CONFIGURATION.md; do
  cmp "$copy/$file" "$file"
done
if command -v protoc-c >/dev/null; then
  protoc-c --proto_path=schema --c_out="$copy/src/generated" schema/messages.proto
  cmp "$copy/src/generated/messages.pb-c.c" src/generated/messages.pb-c.c
  cmp "$copy/src/generated/messages.pb-c.h" src/generated/messages.pb-c.h
fi
echo "lint: clean"
