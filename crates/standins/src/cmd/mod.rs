//! The subcommands and their arguments.

mod args;
mod serve;

use eyre::Result;

pub(crate) use args::{CommandOptions, Subcommand};

impl CommandOptions {
    /// Runs the chosen subcommand to its end.
    pub(crate) fn run(self) -> Result<()> {
        match self.subcommand {
            Subcommand::Platform(args) => serve::run(args.listen, args.options()),
            Subcommand::Engine(args) => serve::run(args.listen, args.options()),
            Subcommand::Plain(args) => serve::run(args.listen, args.options()),
        }
    }
}
