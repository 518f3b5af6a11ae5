#!/usr/bin/env bash
# Builds the product and shows it at work: see scripts/demo.py --help.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-deps.sh
scripts/build.sh >/dev/null
exec python3 scripts/demo.py --binary "${BUILD_DIR:-build}/skylarkdyke" "$@"
