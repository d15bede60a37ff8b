#!/bin/bash
# Builds what the scripts of review/6 and later start besides the programs of the deploy file: their
# stand-ins are Python programs of the standard library alone, so they are only checked here.
set -e
cd "$(dirname "$0")"
python3 - <<'P'
import sys
assert sys.version_info >= (3, 8), "Python 3.8 or later is needed"
P
for file in lib-2/*.py [0-9]*/case.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
