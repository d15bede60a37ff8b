//! Exit codes, for scripts.

use std::process::ExitCode;

/// The outcome that the exit code reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExitStatus {
    /// The command succeeded, or the checked condition holds.
    Done,
    /// The request was refused, and nothing was changed.
    Refused,
    /// An argument, a setting or a file is invalid.
    Usage,
    /// The request may or may not have been executed.
    Unknown,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(match status {
            ExitStatus::Done => 0,
            ExitStatus::Refused => 1,
            ExitStatus::Usage => 2,
            ExitStatus::Unknown => 3,
        })
    }
}
