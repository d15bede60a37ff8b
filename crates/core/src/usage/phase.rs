//! The phases of the usage sealer.

use std::collections::VecDeque;

use super::record::SealRecord;
use super::{UsageAggregator, UsageReport};
use crate::claim::store::{CallNumber, StoreKey};
use crate::claim::write::StoreWrite;
use crate::id::WindowId;
use crate::unit::TimePoint;

/// What the sealer is working on. In each phase, `due` is when the next call is made.
#[derive(Debug)]
pub(super) enum SealerPhase {
    /// Without authority.
    Idle,
    /// Reading the sealed windows from the store, page by page.
    Loading {
        call: Option<CallNumber>,
        due: TimePoint,
        after: Option<StoreKey>,
    },
    /// Waiting for the next window to end.
    Waiting,
    /// Collecting the totals of an ended window from the aggregators.
    ///
    /// Responses to calls before `first_call` are ignored; at `deadline` the window is
    /// sealed with what has arrived.
    Collecting {
        first_call: CallNumber,
        call: Option<CallNumber>,
        due: TimePoint,
        deadline: TimePoint,
        merged: UsageAggregator,
    },
    /// Writing the record of a sealed window to the store.
    Sealing(Box<StoreWrite>, Box<SealRecord>),
    /// Sending the reports of a sealed window to the platform, one after the other.
    Reporting {
        window: WindowId,
        queue: VecDeque<UsageReport>,
        call: Option<CallNumber>,
        due: TimePoint,
    },
    /// Marking a window as reported in the store.
    MarkingReported(Box<StoreWrite>, WindowId),
}
