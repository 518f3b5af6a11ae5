#!/usr/bin/env bash
# Runs the formatter, the linter and all tests; prints one verdict.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-deps.sh
scripts/build.sh
scripts/lint.sh
if [ -s KNOWN-RED.txt ]; then
  echo "Known to fail:"
  cat KNOWN-RED.txt
fi

output=$(mktemp)
trap 'rm -f "$output"' EXIT
ctest --test-dir "${BUILD_DIR:-build}" --output-on-failure | tee "$output" && exit 0

# Entries of KNOWN-RED.txt that end in "also in CI" may fail. Every failed suite must have run to its end, so that a
# crash or a timeout is never passed over.
known=$(sed -nE 's/^([a-z_]+\.[A-Za-z0-9]+), .*also in CI$/\1/p' KNOWN-RED.txt | sort -u)
failed=$(sed -nE 's/.*Failure in TEST\((\w+), (\w+)\).*/\1.\2/p' "$output" | sort -u)
failed_suites=$(sed -nE 's/.* ([0-9]+) tests failed out of .*/\1/p' "$output")
finished_suites=$(grep -c '^Errors (' "$output" || true)
if [ -n "$failed" ] && [ "$failed_suites" = "$finished_suites" ] &&
  [ -z "$(comm -23 <(echo "$failed") <(echo "$known"))" ]; then
  echo "Only known tests failed: $failed"
  exit 0
fi
exit 1
