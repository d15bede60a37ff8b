//! The configuration in force: the result of applying all accepted tickets.
//!
//! It is the complete state and not a difference, so that a snapshot in the store
//! and a push to a peer are the same text. How it changes and why its revision
//! never decreases is described in [docs/design/tickets.md](../../../../docs/design/tickets.md).

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

/// The maximum number of accepted tickets that the configuration keeps a record of.
///
/// The records with the lowest ticket numbers are pruned first.
pub const MAX_TICKET_RECORDS: usize = 2_048;

/// The record of an accepted ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketRecord {
    /// The revision that the ticket created.
    pub revision: Revision,
    /// Distinguishes a retry of the ticket from another ticket with the same number.
    pub digest: TicketDigest,
}

/// The tables of the configuration at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "ConfigSnapshot", into = "ConfigSnapshot")]
pub struct ServingConfig {
    /// The position in the log up to which tickets have been applied.
    pub revision: Revision,
    pub(crate) teams: BTreeMap<TeamId, TeamConfig>,
    pub(crate) keys: BTreeMap<KeyId, KeyConfig>,
    pub(crate) services: BTreeMap<ServiceId, ServiceConfig>,
    pub(crate) pools: BTreeMap<PoolId, PoolConfig>,
    pub(crate) engines: BTreeMap<BackendId, EngineConfig>,
    /// The last ticket that changed or removed each object.
    pub(crate) touched: BTreeMap<ObjectId, TicketNumber>,
    pub(crate) tickets: BTreeMap<TicketNumber, TicketRecord>,
    /// The highest ticket number whose record was pruned.
    pub(crate) last_pruned: TicketNumber,
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

    /// Returns the backend servers that operators have configured.
    pub fn engines(&self) -> &BTreeMap<BackendId, EngineConfig> {
        &self.engines
    }

    /// Returns the number of the last ticket that changed or removed `object`.
    pub fn last_change(&self, object: &ObjectId) -> Option<TicketNumber> {
        self.touched.get(object).copied()
    }

    /// Returns the record of an accepted ticket, unless it has been pruned.
    pub fn ticket_record(&self, number: TicketNumber) -> Option<&TicketRecord> {
        self.tickets.get(&number)
    }

    /// Returns the highest ticket number whose record was pruned.
    ///
    /// Tickets with this number or a lower one are refused.
    pub fn last_pruned_ticket(&self) -> TicketNumber {
        self.last_pruned
    }

    /// Serializes the whole configuration as JSON, for a snapshot or a push.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("every table of the configuration has text keys")
    }

    /// Parses the output of [`to_json`](Self::to_json).
    pub fn from_json(text: &str) -> Result<Self, serde_json::Error> {
        serde_json::from_str(text)
    }
}
