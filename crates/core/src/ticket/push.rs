//! The message that brings a peer's configuration up to date.

use serde::{Deserialize, Serialize};

use crate::config::ServingConfig;
use crate::id::Revision;
use crate::ticket::log::LogEntry;

/// What a process sends to a peer that is behind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigPush {
    /// A snapshot of the configuration.
    Whole(Box<ServingConfig>),
    /// The log entries that the peer lacks, which are far smaller than a snapshot.
    Entries(Vec<LogEntry>),
}

impl ConfigPush {
    /// Returns the revision after the push is applied, or `None` if it holds no entries.
    pub fn revision(&self) -> Option<Revision> {
        match self {
            Self::Whole(config) => Some(config.revision),
            Self::Entries(entries) => entries.last().map(|entry| entry.revision),
        }
    }

    /// Serializes the push as JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("every table of the configuration has text keys")
    }

    /// Parses the output of [`to_json`](Self::to_json).
    pub fn from_json(text: &str) -> Result<Self, serde_json::Error> {
        serde_json::from_str(text)
    }
}
