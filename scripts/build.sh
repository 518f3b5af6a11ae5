#!/usr/bin/env bash
# Builds everything into build/ (or $BUILD_DIR), with at most $JOBS compilers.
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=${BUILD_DIR:-build}
cmake -S . -B "$build_dir" -G Ninja ${CMAKE_ARGS:-} >/dev/null
cmake --build "$build_dir" -j "${JOBS:-$(nproc)}"
