//! What goes to the platform and comes from it.

use std::fmt;
use std::net::SocketAddr;

use applefold_core::id::{
    DomainId, FencingNumber, InstanceId, OrderId, PoolId, RegionId, ServiceId, TeamId, WindowId,
};
use applefold_core::unit::TokenCount;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// A version of a value; the store counts one number for all its values.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct StoreVersion(pub(crate) u64);

impl StoreVersion {
    /// The version of a value that does not exist.
    pub(crate) const ABSENT: Self = Self(0);
}

impl fmt::Display for StoreVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A value with its key and version.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct KeyValue {
    pub(crate) key: String,
    pub(crate) value: String,
    pub(crate) version: StoreVersion,
}

/// A write of a value.
#[derive(Clone, Debug)]
pub(crate) struct PutRequest {
    pub(crate) key: String,
    pub(crate) value: String,
    /// The version that the value must have; `None` for any.
    pub(crate) expect: Option<StoreVersion>,
}

/// The changes that a watch brought.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct WatchBatch {
    pub(crate) revision: StoreVersion,
    pub(crate) entries: Vec<KeyValue>,
}

/// A lease that was granted or renewed.
#[derive(Clone, Copy, Debug, Deserialize)]
pub(crate) struct LeaseGrant {
    pub(crate) fencing: FencingNumber,
}

/// What an instance of the list is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum InstanceKind {
    Entry,
    Backend,
}

/// Whether an instance stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum InstanceState {
    Live,
    Leaving,
}

/// A row of the platform's lagging list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct InstanceRow {
    pub(crate) id: InstanceId,
    pub(crate) kind: InstanceKind,
    pub(crate) address: SocketAddr,
    pub(crate) domain: DomainId,
    pub(crate) region: RegionId,
    #[serde(default)]
    pub(crate) pool: Option<PoolId>,
    pub(crate) state: InstanceState,
}

/// What an order asks of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum OrderAction {
    Start,
    Release,
}

/// An order of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OrderRecord {
    pub(crate) order_id: OrderId,
    pub(crate) holder: InstanceId,
    pub(crate) fencing: FencingNumber,
    pub(crate) action: OrderAction,
    pub(crate) pool: PoolId,
    pub(crate) domain: DomainId,
    pub(crate) instance: Option<InstanceId>,
}

/// A usage report of one window, team and service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct UsageRecord {
    pub(crate) report_id: SmolStr,
    pub(crate) window: WindowId,
    pub(crate) team: TeamId,
    pub(crate) service: ServiceId,
    pub(crate) prompt_tokens: TokenCount,
    pub(crate) answer_tokens: TokenCount,
    pub(crate) requests: u64,
    pub(crate) late: bool,
    pub(crate) holder: InstanceId,
    pub(crate) fencing: FencingNumber,
}
