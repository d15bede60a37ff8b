//! Where the sealer stands.

use std::collections::VecDeque;

use super::record::SealRecord;
use super::{UsageAggregator, UsageReport};
use crate::claim::store::{CallNumber, StoreKey};
use crate::claim::write::StoreWrite;
use crate::id::WindowId;
use crate::unit::TimePoint;

/// What the sealer is doing.
#[derive(Debug)]
pub(super) enum SealerPhase {
    Idle,
    /// Reading what is sealed.
    Loading {
        call: Option<CallNumber>,
        due: TimePoint,
        after: Option<StoreKey>,
    },
    /// Waiting for a window to end.
    Resting,
    /// Asking the keepers.
    Collecting {
        first: CallNumber,
        call: Option<CallNumber>,
        due: TimePoint,
        until: TimePoint,
        merged: UsageAggregator,
    },
    /// Creating the sealed record.
    Sealing(Box<StoreWrite>, Box<SealRecord>),
    /// Sending the reports of a sealed window.
    Reporting {
        window: WindowId,
        queue: VecDeque<UsageReport>,
        call: Option<CallNumber>,
        due: TimePoint,
    },
    /// Noting that a window is reported.
    Recording(Box<StoreWrite>, WindowId),
}
