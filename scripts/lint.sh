#!/usr/bin/env bash
# Checks format and lint of all sources. With --changed REV, only files changed since REV.
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=${BUILD_DIR:-build}
if [ "${1:-}" = "--changed" ]; then
  mapfile -t files < <({ git diff --name-only --diff-filter=d "$2"; git ls-files -o --exclude-standard; } | grep -E '\.(cpp|hpp)$' || true)
else
  mapfile -t files < <(git ls-files -co --exclude-standard '*.cpp' '*.hpp')
fi
[ ${#files[@]} -gt 0 ] || { echo "lint: no file to check"; exit 0; }
clang-format --dry-run --Werror "${files[@]}"
printf '%s\n' "${files[@]}" | grep '\.cpp$' |
  xargs -r -P "${JOBS:-$(nproc)}" -n 1 python3 scripts/tidy_cached.py "$build_dir"
echo "lint: ${#files[@]} files clean"
