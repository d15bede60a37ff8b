//! The configuration that is in force: what the accepted tickets add up to.
//!
//! It is whole state and not a difference, so that a snapshot in the store and
//! a push to a peer are the same text. How it changes and why it never goes
//! back is in [docs/design/tickets.md](../../../../docs/design/tickets.md).

mod digest;
mod index;
mod name;
mod object;
mod snapshot;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

pub use crate::config::digest::{key_digest, DigestError, KeyDigest};
use crate::config::index::ConfigIndex;
pub use crate::config::index::KeyLookup;
pub use crate::config::name::ObjectId;
pub(crate) use crate::config::object::EVERY_TEAM;
pub use crate::config::object::{
    EngineConfig, EngineRole, KeyConfig, ObjectState, PoolConfig, PoolKind, RolePolicy,
    ServiceConfig, ServicePriority, ServiceRoute, TeamAccess, TeamConfig, TeamLimits, TeamWeight,
};
use crate::config::snapshot::ConfigSnapshot;
use crate::id::{BackendId, KeyId, PoolId, Revision, ServiceId, TeamId, TicketNumber};
use crate::ticket::TicketDigest;

/// How many accepted tickets the configuration remembers; lower numbers are forgotten first.
pub const MAX_TICKET_RECORDS: usize = 2_048;

/// What is remembered of an accepted ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketRecord {
    /// The revision that the ticket made.
    pub revision: Revision,
    /// Tells a repeat from another ticket of the same number.
    pub digest: TicketDigest,
}

/// The tables of the configuration at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "ConfigSnapshot", into = "ConfigSnapshot")]
pub struct ServingConfig {
    /// The position in the log up to which tickets are applied.
    pub revision: Revision,
    pub(crate) teams: BTreeMap<TeamId, TeamConfig>,
    pub(crate) keys: BTreeMap<KeyId, KeyConfig>,
    pub(crate) services: BTreeMap<ServiceId, ServiceConfig>,
    pub(crate) pools: BTreeMap<PoolId, PoolConfig>,
    pub(crate) engines: BTreeMap<BackendId, EngineConfig>,
    pub(crate) touched: BTreeMap<ObjectId, TicketNumber>,
    pub(crate) tickets: BTreeMap<TicketNumber, TicketRecord>,
    pub(crate) forgotten: TicketNumber,
    pub(crate) index: ConfigIndex,
}

impl ServingConfig {
    /// Returns the teams.
    pub fn teams(&self) -> &BTreeMap<TeamId, TeamConfig> {
        &self.teams
    }

    /// Returns the caller keys.
    pub fn keys(&self) -> &BTreeMap<KeyId, KeyConfig> {
        &self.keys
    }

    /// Returns the services.
    pub fn services(&self) -> &BTreeMap<ServiceId, ServiceConfig> {
        &self.services
    }

    /// Returns the pools.
    pub fn pools(&self) -> &BTreeMap<PoolId, PoolConfig> {
        &self.pools
    }

    /// Returns the backend servers that operators have named.
    pub fn engines(&self) -> &BTreeMap<BackendId, EngineConfig> {
        &self.engines
    }

    /// Returns the last ticket that changed or removed `object`.
    pub fn last_change(&self, object: &ObjectId) -> Option<TicketNumber> {
        self.touched.get(object).copied()
    }

    /// Returns what is remembered of an accepted ticket.
    pub fn ticket_record(&self, number: TicketNumber) -> Option<&TicketRecord> {
        self.tickets.get(&number)
    }

    /// Returns the highest ticket number that is no longer remembered; it and lower ones are refused.
    pub fn last_pruned_ticket(&self) -> TicketNumber {
        self.forgotten
    }

    /// Writes the whole configuration as JSON, for a snapshot or a push.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("every table of the configuration has text keys")
    }

    /// Reads what [`to_json`](Self::to_json) wrote.
    pub fn from_json(text: &str) -> Result<Self, serde_json::Error> {
        serde_json::from_str(text)
    }
}
