#!/usr/bin/env bash
# Prints what an entry and a sidecar cost: latency, processor time, memory and
# platform calls. `--json` prints JSON, `--quick` a shorter run.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked -p applefoldd -p applefold-standins >&2
exec python3 bench/processes.py "$@"
