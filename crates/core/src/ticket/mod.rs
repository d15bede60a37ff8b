//! Change tickets: how operators change the configuration.
//!
//! A ticket carries the complete new state of each object that it touches. This
//! makes tickets idempotent and lets their numbers decide, per object, which of
//! two tickets is newer. The rules and the alternatives are in
//! [docs/design/tickets.md](../../../../docs/design/tickets.md).

mod apply;
mod compact;
mod enums;
mod field;
mod filing;
mod integrity;
mod log;
mod parse;
mod push;
mod reader;
mod refusal;
mod store;
mod strict;

use std::fmt;
use std::str::FromStr;

use serde::{de, Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest, Sha256};
use smol_str::{SmolStr, ToSmolStr};

use crate::config::{EngineConfig, KeyConfig, ObjectId, PoolConfig, ServiceConfig, TeamConfig};
use crate::id::{IdError, TicketNumber};
pub use crate::ticket::apply::{AppliedTicket, TicketDecision};
pub use crate::ticket::compact::LogCompaction;
pub use crate::ticket::filing::{FilingOutcome, FilingStep, TicketFiling};
pub use crate::ticket::log::{
    log_key, LogEntry, LogFloor, CONFIG_PREFIX, FLOOR_KEY, LOG_PREFIX, SNAPSHOT_KEY,
};
pub use crate::ticket::push::ConfigPush;
pub use crate::ticket::reader::{ConfigReader, ReadProgress};
pub use crate::ticket::refusal::{TicketFault, TicketRefusal};
pub use crate::ticket::store::{StoreCall, StoreReply, StoreVersion, StoredEntry, WriteCondition};
use crate::unit::ByteSize;

/// The maximum size of a ticket. With its envelope it fits into one value of the store.
pub const MAX_TICKET_SIZE: ByteSize = ByteSize(900 * 1_024);

/// The maximum size of the configuration in JSON. It fits into one value of the store.
pub const MAX_CONFIG_SIZE: ByteSize = ByteSize(900 * 1_024);

/// A change ticket whose fields are valid; its references are checked when it is applied.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ChangeTicket {
    /// The number, chosen by the author.
    #[serde(rename = "ticket")]
    pub number: TicketNumber,
    /// The name of the ticket's author.
    pub author: SmolStr,
    /// The reason for the change.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub note: Option<SmolStr>,
    /// Teams to create or replace.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub teams: Vec<TeamConfig>,
    /// Caller keys to create or replace.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub keys: Vec<KeyConfig>,
    /// Services to create or replace.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub services: Vec<ServiceConfig>,
    /// Pools to create or replace.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub pools: Vec<PoolConfig>,
    /// Backend servers to create or replace.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub engines: Vec<EngineConfig>,
    /// Objects to remove.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub remove: Vec<ObjectId>,
}

/// An object of a ticket and its path in the ticket, such as `teams[2]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct TouchedObject {
    pub(crate) id: ObjectId,
    pub(crate) path: SmolStr,
}

impl ChangeTicket {
    /// Serializes the ticket in the canonical form that its digest covers.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("a ticket holds nothing that JSON lacks")
    }

    /// Returns the digest of the ticket's content.
    pub fn digest(&self) -> TicketDigest {
        TicketDigest::of(&self.to_json())
    }

    /// Returns the identifiers of the objects that the ticket creates, replaces or removes.
    pub fn object_ids(&self) -> Vec<ObjectId> {
        let objects = self.touched_objects().into_iter();
        objects.map(|object| object.id).collect()
    }

    pub(crate) fn touched_objects(&self) -> Vec<TouchedObject> {
        let teams = self.teams.iter().map(|row| ObjectId::Team(row.id.clone()));
        let keys = self.keys.iter().map(|row| ObjectId::Key(row.id.clone()));
        let services = self
            .services
            .iter()
            .map(|row| ObjectId::Service(row.id.clone()));
        let pools = self.pools.iter().map(|row| ObjectId::Pool(row.id.clone()));
        let engines = self
            .engines
            .iter()
            .map(|row| ObjectId::Engine(row.id.clone()));
        let remove = self.remove.iter().cloned();
        let mut objects = Vec::new();
        push_objects("teams", teams, &mut objects);
        push_objects("keys", keys, &mut objects);
        push_objects("services", services, &mut objects);
        push_objects("pools", pools, &mut objects);
        push_objects("engines", engines, &mut objects);
        push_objects("remove", remove, &mut objects);
        objects
    }
}

fn push_objects<I>(list: &str, ids: I, objects: &mut Vec<TouchedObject>)
where
    I: Iterator<Item = ObjectId>,
{
    let rows = ids.enumerate().map(|(index, id)| TouchedObject {
        id,
        path: format!("{list}[{index}]").to_smolstr(),
    });
    objects.extend(rows);
}

/// A digest of a ticket's content: the first 128 bits of its SHA-256.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TicketDigest(u128);

impl TicketDigest {
    fn of(text: &str) -> Self {
        let bytes: [u8; 32] = Sha256::digest(text.as_bytes()).into();
        let half = bytes.iter().take(16);
        Self(half.fold(0, |sum, byte| sum << 8 | u128::from(*byte)))
    }
}

impl fmt::Display for TicketDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for TicketDigest {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let number = u128::from_str_radix(text, 16);
        number.map(Self).map_err(|_| IdError::NotNumber)
    }
}

impl Serialize for TicketDigest {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for TicketDigest {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        let text = SmolStr::deserialize(deserializer)?;
        text.parse().map_err(de::Error::custom)
    }
}
