#!/usr/bin/env bash
# Prepares the scripts of cases 6 to 10. Their stand-ins are Python programs of
# the standard library alone, so that only their syntax is checked here.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - support-2/*.py [0-9]*/play.py <<'CHECK'
import ast, sys
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        ast.parse(file.read(), name)
CHECK
test -x ../target/skylarkdyke || { echo "target/skylarkdyke is missing: run the build of the deploy file" >&2; exit 1; }
