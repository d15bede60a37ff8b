//! The daemon of applefold.
//!
//! `applefoldd entry` serves callers and operators. `applefoldd sidecar` runs beside one backend
//! server and is the only process that connects to it. `applefoldd gateway` is an entry on the
//! users' platform, without sidecars. For the path of a request see
//! [docs/DESIGN.md](../../../docs/DESIGN.md).

mod account;
mod body;
mod clock;
mod cmd;
mod drain;
mod entry;
mod gateway;
mod http;
mod link;
mod logging;
mod metrics;
mod platform;
mod settings;
mod sidecar;
mod signal;
mod trace;
mod window;

fn main() -> eyre::Result<()> {
    cmd::run(argh::from_env())
}
