//! The subcommands; their flags are in [`args`].

mod args;
mod entry;
mod gateway;
mod sidecar;

use eyre::{Result, WrapErr};

pub(crate) use args::DaemonArgs;
use args::DaemonCommand;

/// Runs the subcommand that was asked for.
pub(crate) fn run(args: DaemonArgs) -> Result<()> {
    match args.command {
        DaemonCommand::Entry(args) => entry::run(&args),
        DaemonCommand::Gateway(args) => gateway::run(&args),
        DaemonCommand::Sidecar(args) => sidecar::run(&args),
    }
}

/// Runs `future` on this thread; everything in the process lives on it.
fn block_on<F>(future: F) -> Result<()>
where
    F: std::future::Future<Output = Result<()>>,
{
    let system = actix_rt::System::new();
    system.block_on(future).wrap_err("the process ended early")
}
