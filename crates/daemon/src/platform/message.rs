//! The messages exchanged with the platform.

use std::net::SocketAddr;

use applefold_core::claim::store::StoreVersion;
use applefold_core::id::{
    DomainId, FencingNumber, InstanceId, OrderId, PoolId, RegionId, ServiceId, TeamId, WindowId,
};
use applefold_core::lease::HolderName;
use applefold_core::order::PlatformAction;
use applefold_core::unit::{TimeSpan, TokenCount};
use applefold_core::usage::ReportId;
use serde::{Deserialize, Serialize};

/// An entry of the key-value store.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct KeyValue {
    pub(crate) key: String,
    pub(crate) value: String,
    pub(crate) version: StoreVersion,
}

/// The changes returned by a watch.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct WatchBatch {
    pub(crate) revision: StoreVersion,
    pub(crate) entries: Vec<KeyValue>,
}

/// A call about a lease.
#[derive(Clone, Debug)]
pub(crate) struct LeaseRequest {
    pub(crate) holder: HolderName,
    pub(crate) operation: LeaseOperation,
}

/// The operation on a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LeaseOperation {
    Acquire {
        ttl: TimeSpan,
    },
    Renew {
        fencing: FencingNumber,
        ttl: TimeSpan,
    },
    Release {
        fencing: FencingNumber,
    },
}

/// The kind of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum InstanceKind {
    Entry,
    Backend,
}

/// The state of an instance as listed by the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum InstanceState {
    Live,
    Leaving,
}

/// A row of the platform's list of instances, which lags behind reality.
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

/// An order to start or release a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OrderRecord {
    pub(crate) order_id: OrderId,
    pub(crate) holder: HolderName,
    pub(crate) fencing: FencingNumber,
    pub(crate) action: PlatformAction,
    pub(crate) pool: PoolId,
    pub(crate) domain: DomainId,
    pub(crate) instance: Option<InstanceId>,
}

/// The usage report of one window, team and service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct UsageRecord {
    pub(crate) report_id: ReportId,
    pub(crate) window: WindowId,
    pub(crate) team: TeamId,
    pub(crate) service: ServiceId,
    pub(crate) prompt_tokens: TokenCount,
    pub(crate) answer_tokens: TokenCount,
    pub(crate) requests: u64,
    pub(crate) late: bool,
    pub(crate) holder: HolderName,
    pub(crate) fencing: FencingNumber,
}
