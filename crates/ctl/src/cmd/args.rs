//! The arguments.

use argh::FromArgs;

/// Files change tickets and shows what applefold reports.
///
/// Exit codes: 0 done, 1 refused, 2 wrong usage, 3 outcome unknown.
#[derive(FromArgs)]
pub(crate) struct ProgramArgs {
    #[argh(subcommand)]
    pub(crate) command: ProgramCommand,

    /// addresses of entries, separated by commas and tried in turn; or APPLEFOLD_ENTRY
    #[argh(option)]
    pub(crate) entry: Option<String>,

    /// the operator credential; or APPLEFOLD_OPERATOR_CREDENTIAL
    #[argh(option)]
    pub(crate) credential: Option<String>,

    /// how long to go on trying, such as 10s; or APPLEFOLD_TIMEOUT
    #[argh(option)]
    pub(crate) timeout: Option<String>,
}

/// The settings among the arguments.
pub(crate) struct SettingArgs {
    pub(crate) entry: Option<String>,
    pub(crate) credential: Option<String>,
    pub(crate) timeout: Option<String>,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum ProgramCommand {
    Ticket(TicketArgs),
    Status(StatusArgs),
    Report(ReportArgs),
    Explain(ExplainArgs),
    Key(KeyArgs),
}

/// Change tickets.
#[derive(FromArgs)]
#[argh(subcommand, name = "ticket")]
pub(crate) struct TicketArgs {
    #[argh(subcommand)]
    pub(crate) command: TicketCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum TicketCommand {
    Check(TicketCheck),
    File(TicketFile),
    Show(TicketShow),
    Wait(TicketWait),
}

/// Tells everything that is wrong with a ticket, without filing it.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct TicketCheck {
    /// the ticket; standard input if left out
    #[argh(positional)]
    pub(crate) file: Option<String>,

    /// check what can be checked without an entry
    #[argh(switch)]
    pub(crate) offline: bool,

    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Files a ticket; filing it again does no harm.
#[derive(FromArgs)]
#[argh(subcommand, name = "file")]
pub(crate) struct TicketFile {
    /// the ticket; standard input if left out
    #[argh(positional)]
    pub(crate) file: Option<String>,

    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Shows an accepted ticket.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub(crate) struct TicketShow {
    /// the ticket's number
    #[argh(positional)]
    pub(crate) number: u64,

    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Waits until a ticket is in force at every live instance.
#[derive(FromArgs)]
#[argh(subcommand, name = "wait")]
pub(crate) struct TicketWait {
    /// the ticket's number
    #[argh(positional)]
    pub(crate) number: u64,

    /// how long to wait, such as 10s
    #[argh(option)]
    pub(crate) timeout: Option<String>,

    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Shows revisions, reach, instances, leases and alarms.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct StatusArgs {
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Shows what the teams got and what was decided.
#[derive(FromArgs)]
#[argh(subcommand, name = "report")]
pub(crate) struct ReportArgs {
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Caller keys.
#[derive(FromArgs)]
#[argh(subcommand, name = "key")]
pub(crate) struct KeyArgs {
    #[argh(subcommand)]
    pub(crate) command: KeyCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum KeyCommand {
    Hash(KeyHash),
}

/// Prints the digest of the caller key on standard input, for a ticket.
#[derive(FromArgs)]
#[argh(subcommand, name = "hash")]
pub(crate) struct KeyHash {
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Shows what log files say of a request, in the order of time.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct ExplainArgs {
    /// the request's identifier
    #[argh(positional)]
    pub(crate) request: String,

    /// log files of any processes
    #[argh(positional)]
    pub(crate) files: Vec<String>,

    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}
