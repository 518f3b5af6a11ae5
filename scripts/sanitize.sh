#!/usr/bin/env bash
# Builds the unit tests with sanitizers and runs them. The argument is "thread" or "address"; the latter includes the
# undefined behaviour sanitizer. Read from the environment: JOBS, BUILD_DIR, BUILD_TYPE, BUILD_TIMEOUT_S and
# TEST_TIMEOUT_S bound the build and the run, RC_PARAMS sets seed and number of rapidcheck's cases, TEST_ARGS is
# passed to the test program. See docs/sanitizers.md.
set -euo pipefail
cd "$(dirname "$0")/.."
case "${1:-}" in
thread) sanitizers=thread build_dir=${BUILD_DIR:-build-tsan} ;;
address) sanitizers=address,undefined build_dir=${BUILD_DIR:-build-asan} ;;
*)
  echo "usage: scripts/sanitize.sh thread|address" >&2
  exit 2
  ;;
esac
cmake -S . -B "$build_dir" -G Ninja -DCMAKE_BUILD_TYPE="${BUILD_TYPE:-Debug}" \
  -DSKYLARKDYKE_SANITIZE="$sanitizers" >/dev/null
timeout "${BUILD_TIMEOUT_S:-1800}" cmake --build "$build_dir" -j "${JOBS:-$(nproc)}" --target unit_tests
export TSAN_OPTIONS="suppressions=$PWD/scripts/tsan.supp exitcode=66 ${TSAN_OPTIONS:-}"
export ASAN_OPTIONS="detect_leaks=1 detect_stack_use_after_return=1 ${ASAN_OPTIONS:-}"
export UBSAN_OPTIONS="print_stacktrace=1 ${UBSAN_OPTIONS:-}"
export RC_PARAMS="${RC_PARAMS:-seed=20261204}"
read -ra test_args <<<"${TEST_ARGS:--v}"
log=$build_dir/sanitize.log
timeout -k 10 "${TEST_TIMEOUT_S:-900}" "$build_dir/unit_tests" "${test_args[@]}" 2>&1 | tee "$log"
# GCC's undefined behaviour sanitizer goes on after a report and leaves the exit code at 0.
if grep -aq "runtime error: " "$log"; then
  echo "sanitize: undefined behaviour was reported, see $log" >&2
  exit 1
fi
