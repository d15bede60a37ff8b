//! The configuration on its way from a process to a peer.

use serde::{Deserialize, Serialize};

use crate::config::ServingConfig;
use crate::id::Revision;
use crate::ticket::log::LogEntry;

/// What a process sends to a peer that is behind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigPush {
    /// The whole configuration.
    Whole(Box<ServingConfig>),
    /// The tickets that the peer lacks, which are far shorter.
    Entries(Vec<LogEntry>),
}

impl ConfigPush {
    /// Returns the revision that the push leads to, or `None` if it holds nothing.
    pub fn revision(&self) -> Option<Revision> {
        match self {
            Self::Whole(config) => Some(config.revision),
            Self::Entries(entries) => entries.last().map(|entry| entry.revision),
        }
    }

    /// Writes the push as JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("every table of the configuration has text keys")
    }

    /// Reads what [`to_json`](Self::to_json) wrote.
    pub fn from_json(text: &str) -> Result<Self, serde_json::Error> {
        serde_json::from_str(text)
    }
}
