//! The storage format of an order's record.

use serde::{Deserialize, Serialize};

use super::{OrderOutcome, PlatformOrder};
use crate::claim::store::StoreKey;
use crate::id::{FencingNumber, OrderId, ScopeId};
use crate::lease::HolderName;
use crate::unit::TimeSpan;

/// The progress of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum RecordState {
    /// The order was submitted; it has not been sent.
    Planned,
    /// The order may have been sent.
    Sending,
    /// The order has ended.
    Ended(OrderOutcome),
}

/// The record of one order. Each write of it differs from all earlier ones, as [`StoreWrite`]
/// requires.
///
/// [`StoreWrite`]: crate::claim::write::StoreWrite
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct OrderRecord {
    pub(super) order: PlatformOrder,
    pub(super) state: RecordState,
    pub(super) holder: HolderName,
    pub(super) fencing: FencingNumber,
    pub(super) attempt: u64,
    /// How long after this write the order may still be in flight.
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
