//! The subcommands and their arguments.

mod args;
mod call;
mod load;
mod serve;

use eyre::Result;

pub(crate) use args::{CallArgs, CommandOptions, LoadArgs, Subcommand};

impl CommandOptions {
    /// Runs the selected subcommand until it ends.
    pub(crate) fn run(self) -> Result<()> {
        match self.subcommand {
            Subcommand::Platform(args) => serve::run(args.listen, args.options()),
            Subcommand::Engine(args) => serve::run(args.listen, args.options()),
            Subcommand::Plain(args) => serve::run(args.listen, args.options()),
            Subcommand::Call(args) => call::run(args),
            Subcommand::Load(args) => load::run(args),
        }
    }
}
