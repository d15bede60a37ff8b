//! The daemon of applefold.
//!
//! `applefoldd entry` serves callers and operators; `applefoldd sidecar` stands
//! beside one backend server and is the only process that talks to it. The
//! way of a request is in [docs/DESIGN.md](../../../docs/DESIGN.md).

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
