//! How the program ends, for scripts.

use std::process::ExitCode;

/// What the exit code says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExitStatus {
    /// Done, or true.
    Done,
    /// Refused: nothing was changed.
    Refused,
    /// The arguments, the settings or a file are wrong.
    Usage,
    /// What was asked for may or may not have happened.
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
