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

/// What the program can be told to do.
pub(crate) trait Run {
    /// Does it and tells how it ended.
    async fn run(self) -> eyre::Result<ExitStatus>;
}

/// Reads the arguments; where they ask for help or are wrong, the program ends at once.
pub(crate) fn parse_args() -> Result<ProgramArgs, ExitStatus> {
    // Standard input is what is read without a file; argh takes "-" for an option.
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

fn connect(settings: &SettingArgs) -> eyre::Result<OperatorClient> {
    OperatorSettings::read(settings).map(OperatorClient::new)
}

fn read_input(file: Option<&str>) -> eyre::Result<String> {
    if let Some(file) = file {
        return fs::read_to_string(file).wrap_err_with(|| format!("could not read {file}"));
    }
    let mut text = String::new();
    let read = io::stdin().read_to_string(&mut text);
    read.wrap_err("could not read standard input")?;
    Ok(text)
}
