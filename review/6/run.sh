#!/bin/bash
# Exits with 1 if ONE was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: no answer of the store is lost.
exec python3 "$(dirname "$0")/case.py"
