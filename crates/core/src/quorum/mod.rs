//! How much of the fleet a process reaches, counted from heartbeats.
//!
//! Two groups of processes that are cut off from each other cannot both reach
//! at least half of the fleet, one of them clearly more. The rule and its
//! proof are in [docs/design/spreading.md](../../../../docs/design/spreading.md).

mod fleet;
mod peer;

use std::fmt;

pub use crate::quorum::fleet::{FleetList, ListedInstance, REPRESENTATIVES_PER_DOMAIN};
pub use crate::quorum::peer::{PeerRow, PeerTable};

const ACCEPT_PERCENT: u64 = 60;
const SERVE_PERCENT: u64 = 50;
const WHOLE_PERCENT: u64 = 100;

/// What a share of the fleet is counted in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuorumUnit {
    /// Every instance is asked and counted.
    Instance,
    /// The heads of each failure domain are asked; a majority of them counts for the domain.
    Domain,
}

/// A share of the fleet, in instances or in failure domains.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QuorumCount {
    /// How many are reached.
    pub reached: u64,
    /// How many are listed.
    pub listed: u64,
}

impl QuorumCount {
    /// Returns whether a ticket may be accepted: clearly more than half is reached.
    pub fn has_accept_quorum(self) -> bool {
        self.reached * WHOLE_PERCENT > self.listed * ACCEPT_PERCENT
    }

    /// Returns whether to serve on without the platform: at least half is reached.
    pub fn has_serve_quorum(self) -> bool {
        self.listed > 0 && self.reached * WHOLE_PERCENT >= self.listed * SERVE_PERCENT
    }
}

impl fmt::Display for QuorumCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.reached, self.listed)
    }
}
