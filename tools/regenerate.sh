#!/usr/bin/env bash
# Writes the generated code of the messages anew. Needed only after a change of
# crates/wire/applefold.capnp; wants `capnp` (Debian's capnproto) and
# `capnpc-rust` (cargo install capnpc) on the PATH.
set -euo pipefail
cd "$(dirname "$0")/../crates/wire"
capnp compile -orust:src applefold.capnp
rustfmt --edition 2021 src/applefold_capnp.rs || true
