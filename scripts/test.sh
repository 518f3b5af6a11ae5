#!/usr/bin/env bash
# Runs the formatter, the linter and all tests; prints one verdict.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-deps.sh
scripts/build.sh
scripts/lint.sh
ctest --test-dir "${BUILD_DIR:-build}" --output-on-failure
