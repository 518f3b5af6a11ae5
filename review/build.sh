#!/bin/sh
# Builds every stand-in that a script of review/ starts. They are Python programs
# of the standard library (review/support), so that there is nothing to compile;
# this checks that they can be loaded.
set -e
cd "$(dirname "$0")"
for file in support/*.py [0-9]*/*.py; do
  python3 - "$file" <<'END'
import ast, sys
ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])
END
done
echo "the stand-ins can be loaded"
