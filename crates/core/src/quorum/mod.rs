//! Quorums: how much of the fleet replies to a process's heartbeats.
//!
//! Serving needs replies from at least half of the fleet, accepting a ticket from more than 60%.
//! Of two groups of processes on both sides of a partition, one cannot have the first quorum while
//! the other has the second. The rule and its proof are in [docs/design/spreading.md](../../../../docs/design/spreading.md).

mod fleet;
mod peer;

use std::fmt;

pub use crate::quorum::fleet::{FleetList, ListedInstance, REPRESENTATIVES_PER_DOMAIN};
pub use crate::quorum::peer::{PeerRow, PeerTable};

const ACCEPT_PERCENT: u64 = 60;
const SERVE_PERCENT: u64 = 50;
const WHOLE_PERCENT: u64 = 100;

/// The unit in which the fleet is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuorumUnit {
    /// Every instance gets heartbeats and is counted.
    Instance,
    /// Only the representatives of each failure domain get heartbeats. A domain counts if a
    /// majority of them replies.
    Domain,
}

/// A count of the fleet, in instances or in failure domains.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QuorumCount {
    /// How many of them meet the condition that was counted, such as that they reply.
    pub reached: u64,
    /// How many are listed.
    pub listed: u64,
}

impl QuorumCount {
    /// Returns whether a ticket may be accepted: more than 60% are counted.
    pub fn has_accept_quorum(self) -> bool {
        self.reached * WHOLE_PERCENT > self.listed * ACCEPT_PERCENT
    }

    /// Returns whether to serve without the platform: at least half are counted.
    pub fn has_serve_quorum(self) -> bool {
        self.listed > 0 && self.reached * WHOLE_PERCENT >= self.listed * SERVE_PERCENT
    }
}

impl fmt::Display for QuorumCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.reached, self.listed)
    }
}
