//! The stored form of an order's record.

use serde::{Deserialize, Serialize};

use super::{OrderOutcome, PlatformOrder};
use crate::claim::store::StoreKey;
use crate::id::{FencingNumber, OrderId, ScopeId};
use crate::lease::HolderName;
use crate::unit::TimeSpan;

/// How far an order has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum RecordState {
    /// It is decided; nothing has been sent.
    Planned,
    /// It may be on its way.
    Sending,
    /// It has ended.
    Ended(OrderOutcome),
}

/// The record of one order. No two writes of it are equal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct OrderRecord {
    pub(super) order: PlatformOrder,
    pub(super) state: RecordState,
    pub(super) holder: HolderName,
    pub(super) fencing: FencingNumber,
    pub(super) attempt: u64,
    /// How long after this write the order may still be on its way.
    pub(super) in_flight: TimeSpan,
}

impl OrderRecord {
    pub(super) fn parse(value: &str) -> Option<Self> {
        serde_json::from_str(value).ok()
    }

    pub(super) fn value(&self) -> String {
        serde_json::to_string(self).expect("records hold only text and numbers")
    }
}

pub(super) fn scope_prefix(scope: &ScopeId) -> StoreKey {
    StoreKey::new(format!("orders/{scope}/"))
}

pub(super) fn order_key(scope: &ScopeId, order: &OrderId) -> StoreKey {
    StoreKey::new(format!("orders/{scope}/{order}"))
}
