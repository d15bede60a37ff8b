//! The subcommands of the daemon; [`args`] defines their flags.

mod args;
mod entry;
mod gateway;
mod sidecar;

use eyre::{Result, WrapErr};

pub(crate) use args::DaemonArgs;
use args::DaemonCommand;

/// Runs the subcommand that `args` selects.
///
/// # Errors
///
/// Fails if the settings are invalid or the process cannot start.
pub(crate) fn run(args: DaemonArgs) -> Result<()> {
    match args.command {
        DaemonCommand::Entry(args) => entry::run(&args),
        DaemonCommand::Gateway(args) => gateway::run(&args),
        DaemonCommand::Sidecar(args) => sidecar::run(&args),
    }
}

/// Runs `future` on the current thread, on which all tasks of the process run.
fn block_on<F>(future: F) -> Result<()>
where
    F: std::future::Future<Output = Result<()>>,
{
    let system = actix_rt::System::new();
    system.block_on(future).wrap_err("the process failed")
}
