//! The events, actions and options of the peer table.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::id::{DomainId, InstanceId, PoolId, RegionId};
use crate::unit::TimeSpan;

/// The time between two heartbeats on a connection.
pub const HEARTBEAT_INTERVAL: TimeSpan = TimeSpan::from_millis(1_000);

/// The number of missed heartbeats after which a peer counts as unresponsive.
pub const MISSED_HEARTBEATS: u64 = 3;

/// The incarnation number of an instance; it rises with each restart.
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

/// The timing options of the membership protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerOptions {
    /// The time between two heartbeats.
    pub heartbeat_interval: TimeSpan,
    /// The number of missed heartbeats after which a peer counts as unresponsive.
    pub missed_heartbeat_limit: u64,
    /// How long a removed peer is remembered; must exceed the lag of the list.
    pub removed_retention: TimeSpan,
}

impl PeerOptions {
    /// Returns the time after its latest heartbeat at which a peer counts as unresponsive.
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

/// The kind of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceKind {
    /// An entry.
    Entry,
    /// A backend server with its sidecar.
    Backend,
}

/// An instance as listed by the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedInstance {
    /// Its name.
    pub instance: InstanceId,
    /// Its kind.
    pub kind: InstanceKind,
    /// The address of its internal port.
    pub address: SmolStr,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its region.
    pub region: RegionId,
    /// Its pool; `None` for an entry.
    pub pool: Option<PoolId>,
    /// Whether the list shows it as leaving.
    pub leaving: bool,
}

/// The state of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PeerState {
    /// Its heartbeats arrive.
    Alive,
    /// It is known, but its heartbeats do not arrive.
    Unresponsive,
    /// It finishes its requests and accepts no new ones.
    Leaving,
    /// It has left; it is remembered so that a stale list does not bring it back.
    Removed,
}

/// The number of listed instances, and of those that are alive.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LivenessCount {
    /// Instances that are listed and not leaving.
    pub listed: u64,
    /// Those of them that are alive.
    pub alive: u64,
}

/// An input to the peer table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerEvent {
    /// The complete list was read from the platform.
    Listed(Vec<ListedInstance>),
    /// A heartbeat arrived.
    Heartbeat {
        /// The instance that sent it.
        instance: InstanceId,
        /// The incarnation that sent it.
        incarnation: IncarnationNumber,
        /// Whether it announces a shutdown.
        stopping: bool,
    },
}

/// An action or a notification of the peer table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerAction {
    /// Connect to a listed instance whose heartbeats do not arrive, unless a connection attempt is
    /// in progress.
    Connect {
        /// Its name.
        instance: InstanceId,
        /// The address of its internal port.
        address: SmolStr,
    },
    /// A peer changed its state.
    StateChanged {
        /// Its name.
        instance: InstanceId,
        /// The new state.
        state: PeerState,
    },
}
