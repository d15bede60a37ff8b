//! Command-line arguments.

use argh::FromArgs;

/// Files change tickets and shows the state of an applefold system.
///
/// Exit codes: 0 success, 1 request refused, 2 invalid usage, 3 outcome unknown.
#[derive(FromArgs)]
pub(crate) struct ProgramArgs {
    #[argh(subcommand)]
    pub(crate) command: ProgramCommand,

    /// comma-separated addresses of entries, tried in order; default: APPLEFOLD_ENTRY
    #[argh(option)]
    pub(crate) entry: Option<String>,

    /// the operator credential; default: APPLEFOLD_OPERATOR_CREDENTIAL
    #[argh(option)]
    pub(crate) credential: Option<String>,

    /// how long to keep retrying, such as 10s; default: APPLEFOLD_TIMEOUT, else 10s
    #[argh(option)]
    pub(crate) timeout: Option<String>,
}

/// The global options, before environment variables and defaults are applied.
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

/// Checks, files and shows change tickets.
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

/// Validates a ticket without filing it, and reports every invalid field.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct TicketCheck {
    /// the ticket file; default: standard input
    #[argh(positional)]
    pub(crate) file: Option<String>,

    /// validate locally, without checking references against the running configuration
    #[argh(switch)]
    pub(crate) offline: bool,

    /// print JSON instead of text
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Files a ticket. Filing is idempotent: the same ticket can safely be filed again.
#[derive(FromArgs)]
#[argh(subcommand, name = "file")]
pub(crate) struct TicketFile {
    /// the ticket file; default: standard input
    #[argh(positional)]
    pub(crate) file: Option<String>,

    /// print JSON instead of text
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Shows an accepted ticket and the revision that it created.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub(crate) struct TicketShow {
    /// the ticket number
    #[argh(positional)]
    pub(crate) number: u64,

    /// print JSON instead of text
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Waits until a ticket is in force at every live instance.
#[derive(FromArgs)]
#[argh(subcommand, name = "wait")]
pub(crate) struct TicketWait {
    /// the ticket number
    #[argh(positional)]
    pub(crate) number: u64,

    /// how long to wait, such as 10s; default: the global timeout
    #[argh(option)]
    pub(crate) timeout: Option<String>,

    /// print JSON instead of text
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Shows the configuration revision, reachable instances, leases and alarms.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct StatusArgs {
    /// print JSON instead of text
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Shows the usage of each team and recent control decisions.
#[derive(FromArgs)]
#[argh(subcommand, name = "report")]
pub(crate) struct ReportArgs {
    /// print JSON instead of text
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Works with caller keys.
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

/// Prints the SHA-256 digest of a caller key from standard input, for use in a ticket.
#[derive(FromArgs)]
#[argh(subcommand, name = "hash")]
pub(crate) struct KeyHash {
    /// print JSON instead of text
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Shows the log lines of a request in chronological order, with the state changes shortly before
/// its end.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct ExplainArgs {
    /// the request ID
    #[argh(positional)]
    pub(crate) request: String,

    /// log files of any number of processes
    #[argh(positional)]
    pub(crate) files: Vec<String>,

    /// print JSON instead of text
    #[argh(switch)]
    pub(crate) json: bool,
}
