//! The subcommands.

pub(crate) mod args;
mod explain;
mod key_hash;
mod report;
mod status;
mod ticket_check;
mod ticket_file;
mod ticket_show;
mod ticket_wait;

use std::io::Read;
use std::{env, fs, io};

use argh::FromArgs;
use eyre::WrapErr;

use crate::client::OperatorClient;
use crate::cmd::args::{KeyCommand, ProgramArgs, ProgramCommand, SettingArgs, TicketCommand};
use crate::exit::ExitStatus;
use crate::settings::OperatorSettings;

const PROGRAM: &str = "applefoldctl";

/// A command that can be run.
pub(crate) trait Run {
    /// Runs the command and returns the exit status.
    ///
    /// # Errors
    ///
    /// Fails if a setting or a file is invalid.
    async fn run(self) -> eyre::Result<ExitStatus>;
}

/// Parses the command-line arguments.
///
/// # Errors
///
/// Returns the exit status if the arguments ask for help or are invalid; the text has been printed.
pub(crate) fn parse_args() -> Result<ProgramArgs, ExitStatus> {
    // Commands read standard input if no file is given, so "-" can be dropped; argh would take it
    // for an option.
    let args: Vec<String> = env::args().skip(1).filter(|arg| arg != "-").collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    ProgramArgs::from_args(&[PROGRAM], &args).map_err(|exit| match exit.status {
        Ok(()) => {
            println!("{}", exit.output);
            ExitStatus::Done
        }
        Err(()) => {
            eprintln!("{}", exit.output);
            ExitStatus::Usage
        }
    })
}

impl Run for ProgramArgs {
    async fn run(self) -> eyre::Result<ExitStatus> {
        let settings = SettingArgs {
            entry: self.entry,
            credential: self.credential,
            timeout: self.timeout,
        };
        match self.command {
            ProgramCommand::Ticket(ticket) => match ticket.command {
                TicketCommand::Check(check) => check.run(&settings).await,
                TicketCommand::File(file) => file.run(&settings).await,
                TicketCommand::Show(show) => show.run(&settings).await,
                TicketCommand::Wait(wait) => wait.run(&settings).await,
            },
            ProgramCommand::Status(status) => status.run(&settings).await,
            ProgramCommand::Report(report) => report.run(&settings).await,
            ProgramCommand::Explain(explain) => explain.run(),
            ProgramCommand::Key(key) => match key.command {
                KeyCommand::Hash(hash) => hash.run(),
            },
        }
    }
}

fn build_client(settings: &SettingArgs) -> eyre::Result<OperatorClient> {
    OperatorSettings::read(settings).map(OperatorClient::new)
}

/// Returns the contents of `file`, or of standard input if there is none.
fn read_input(file: Option<&str>) -> eyre::Result<String> {
    if let Some(file) = file {
        return fs::read_to_string(file).wrap_err_with(|| format!("could not read {file}"));
    }
    let mut text = String::new();
    let read = io::stdin().read_to_string(&mut text);
    read.wrap_err("could not read standard input")?;
    Ok(text)
}
