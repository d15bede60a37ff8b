//! What the table of peers is told and what it tells.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::id::{DomainId, InstanceId, PoolId, RegionId};
use crate::unit::TimeSpan;

/// The time between two heartbeats of one connection.
pub const HEARTBEAT_INTERVAL: TimeSpan = TimeSpan::from_millis(1_000);

/// After how many missed heartbeats a peer counts as silent.
pub const MISSED_HEARTBEATS: u64 = 3;

/// Tells the runs of one instance apart; a later run has a higher number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct IncarnationNumber(pub u64);

impl fmt::Display for IncarnationNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for IncarnationNumber {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// The times that membership goes by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerOptions {
    /// The time between two heartbeats.
    pub heartbeat_interval: TimeSpan,
    /// After how many missed heartbeats a peer counts as silent.
    pub missed_heartbeat_limit: u64,
    /// How long what has gone is remembered; longer than the list may lag.
    pub removed_retention: TimeSpan,
}

impl PeerOptions {
    /// Returns how long after its last heartbeat a peer counts as silent.
    pub fn silence_timeout(&self) -> TimeSpan {
        TimeSpan(self.heartbeat_interval.0 * self.missed_heartbeat_limit)
    }
}

impl Default for PeerOptions {
    fn default() -> Self {
        Self {
            heartbeat_interval: HEARTBEAT_INTERVAL,
            missed_heartbeat_limit: MISSED_HEARTBEATS,
            removed_retention: TimeSpan::from_secs(60),
        }
    }
}

/// What an instance is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceKind {
    /// An entry.
    Entry,
    /// A backend server with its sidecar.
    Backend,
}

/// One instance of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedInstance {
    /// Its name.
    pub instance: InstanceId,
    /// What it is.
    pub kind: InstanceKind,
    /// Where its internal port is.
    pub address: SmolStr,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its region.
    pub region: RegionId,
    /// Its pool, where it is a backend server.
    pub pool: Option<PoolId>,
    /// Whether the platform says that it leaves.
    pub leaving: bool,
}

/// How a peer is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PeerState {
    /// Its heartbeats come.
    Alive,
    /// It is known, and its heartbeats do not come.
    Unresponsive,
    /// It finishes what it has and takes nothing new.
    Leaving,
    /// It has left; it is remembered so that a stale list does not bring it back.
    Removed,
}

/// How many of the listed instances are heard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LivenessCount {
    /// How many are listed and not leaving.
    pub listed: u64,
    /// How many of them are heard.
    pub alive: u64,
}

/// What the table is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerEvent {
    /// The platform's whole list has been read.
    Listed(Vec<ListedInstance>),
    /// A heartbeat has come.
    Heartbeat {
        /// Whose it is.
        instance: InstanceId,
        /// Of which run.
        incarnation: IncarnationNumber,
        /// Whether it says that it is stopping.
        stopping: bool,
    },
}

/// What the table wants done, or has to tell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerAction {
    /// Connect to a listed instance that is not heard, unless that is under way.
    Connect {
        /// Its name.
        instance: InstanceId,
        /// Where its internal port is.
        address: SmolStr,
    },
    /// A peer has turned to another state.
    StateChanged {
        /// Its name.
        instance: InstanceId,
        /// The state.
        state: PeerState,
    },
}
