#!/usr/bin/env bash
# Makes the stand-ins of the scripts ready. They are programs for python3 with its standard library only, so nothing is
# compiled; this checks that each of them can be read.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B -c 'import ast, sys
for path in sys.argv[1:]:
    ast.parse(open(path, encoding="utf-8").read(), path)' lib/*.py [0-9]*/*.py
echo "stand-ins are ready"
