#!/usr/bin/env bash
# Builds what the scripts of the review start besides the programs of the deploy file. The stand-ins
# are Python with its standard library alone, so that this only checks that they can be read.
set -eu
cd "$(dirname "${BASH_SOURCE[0]}")"
python3 -B - standins/standins.py */case.py <<'PY'
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
    print(f"{path}: can be read")
PY
