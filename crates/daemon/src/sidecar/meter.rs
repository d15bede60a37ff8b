//! Counts usage and serves it to the entries that aggregate it.

use std::cell::RefCell;
use std::collections::BTreeMap;

use applefold_core::id::{InstanceId, ServiceId, TeamId, WindowId};
use applefold_core::unit::{TimeSpan, TokenCount};
use applefold_core::usage::{
    MeterName, MeterPosition, UsageBatch, UsageKey, UsageMeter, UsageTotals,
};

use crate::window;

/// The number of aggregators that must have a figure before it counts as replicated.
const MIN_REPLICAS: usize = 2;
/// The number of past windows that are retained, although they may already be sealed.
const RETAINED_WINDOWS: u64 = 48;

/// The usage of one attempt at a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RequestUsage {
    pub(crate) team: TeamId,
    pub(crate) service: ServiceId,
    pub(crate) prompt: TokenCount,
    pub(crate) answer: TokenCount,
    /// Whether the response was complete, so that the request counts.
    pub(crate) complete: bool,
}

/// The usage meter, and the last mark sent to each aggregator.
pub(crate) struct MeterManager {
    meter: RefCell<UsageMeter>,
    marks: RefCell<BTreeMap<InstanceId, SentMark>>,
    window: TimeSpan,
}

/// The position up to which an aggregator was sent figures.
#[derive(Clone, Copy, Debug)]
struct SentMark {
    /// The number by which the aggregator acknowledges the position.
    serial: u64,
    position: MeterPosition,
}

impl MeterManager {
    pub(crate) fn new(name: MeterName, window: TimeSpan) -> Self {
        Self {
            meter: RefCell::new(UsageMeter::new(name)),
            marks: RefCell::default(),
            window,
        }
    }

    /// Adds the usage of an attempt that has ended to the current window.
    pub(crate) fn count(&self, usage: RequestUsage) {
        let window = window::current(self.window);
        let key = UsageKey {
            window,
            team: usage.team,
            service: usage.service,
        };
        let totals = UsageTotals {
            prompt_tokens: usage.prompt,
            answer_tokens: usage.answer,
            requests: u64::from(usage.complete),
        };
        let mut meter = self.meter.borrow_mut();
        meter.add(key, totals);
        let oldest = window.0.saturating_sub(RETAINED_WINDOWS);
        meter.forget_before(WindowId(oldest));
    }

    /// Returns whether all figures are at [`MIN_REPLICAS`] aggregators, or at every aggregator if
    /// there are fewer.
    pub(crate) fn is_replicated(&self) -> bool {
        let replicas = self.marks.borrow().len().min(MIN_REPLICAS);
        self.meter.borrow().is_replicated(replicas)
    }

    /// Returns the figures that `aggregator` lacks and the serial of this batch.
    ///
    /// `acknowledged` is the serial of the last batch that the aggregator received. At 0 it has
    /// received none, perhaps after a restart, and is sent everything.
    pub(crate) fn batch_for(
        &self,
        aggregator: &InstanceId,
        acknowledged: u64,
    ) -> (UsageBatch, u64) {
        let mut meter = self.meter.borrow_mut();
        let mut marks = self.marks.borrow_mut();
        let sent = marks.get(aggregator).copied();
        match sent {
            Some(sent) if sent.serial == acknowledged => {
                meter.acknowledge(aggregator, sent.position)
            }
            Some(_) if acknowledged == 0 => meter.forget_aggregator(aggregator),
            Some(_) | None => {}
        }
        let (batch, position) = meter.batch_for(aggregator);
        let serial = sent.map_or(0, |sent| sent.serial) + 1;
        marks.insert(aggregator.clone(), SentMark { serial, position });
        (batch, serial)
    }
}
