//! The subcommands; their argument types are in [`args`].

mod args;
mod run;
mod scale;

pub(crate) use self::args::Args;

use self::args::Command;

/// Runs the subcommand given on the command line.
pub(crate) fn run(args: Args) -> eyre::Result<()> {
    match args.command {
        Command::Run(args) => run::run(args),
        Command::Scale(args) => scale::run(args),
    }
}
