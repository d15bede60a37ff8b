//! Counts usage and lets entries fetch it.

use std::cell::RefCell;
use std::collections::BTreeMap;

use applefold_core::id::{InstanceId, ServiceId, TeamId, WindowId};
use applefold_core::unit::{TimeSpan, TokenCount};
use applefold_core::usage::{
    MeterName, MeterPosition, UsageBatch, UsageKey, UsageMeter, UsageTotals,
};

use crate::window;

/// How many keepers have a figure before it counts as safe.
const KEPT_COPIES: usize = 2;
/// Windows that are kept although they may have been sealed.
const KEPT_WINDOWS: u64 = 48;

/// What a request has used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RequestUse {
    pub(crate) team: TeamId,
    pub(crate) service: ServiceId,
    pub(crate) prompt: TokenCount,
    pub(crate) answer: TokenCount,
    /// Whether the answer came whole, so that the request counts.
    pub(crate) whole: bool,
}

/// The meter with the marks that keepers were given.
pub(crate) struct MeterManager {
    meter: RefCell<UsageMeter>,
    marks: RefCell<BTreeMap<InstanceId, GivenMark>>,
    window: TimeSpan,
}

#[derive(Clone, Copy, Debug)]
struct GivenMark {
    serial: u64,
    mark: MeterPosition,
}

impl MeterManager {
    pub(crate) fn new(name: MeterName, window: TimeSpan) -> Self {
        Self {
            meter: RefCell::new(UsageMeter::new(name)),
            marks: RefCell::default(),
            window,
        }
    }

    /// Counts a request once, when it ends.
    pub(crate) fn count(&self, used: RequestUse) {
        let window = window::current(self.window);
        let key = UsageKey {
            window,
            team: used.team,
            service: used.service,
        };
        let totals = UsageTotals {
            prompt_tokens: used.prompt,
            answer_tokens: used.answer,
            requests: u64::from(used.whole),
        };
        let mut meter = self.meter.borrow_mut();
        meter.add(key, totals);
        let oldest = window.0.saturating_sub(KEPT_WINDOWS);
        meter.forget_before(WindowId(oldest));
    }

    /// Returns whether two keepers, or all there are, have everything.
    pub(crate) fn is_kept(&self) -> bool {
        let copies = self.marks.borrow().len().min(KEPT_COPIES);
        self.meter.borrow().is_replicated(copies)
    }

    /// Returns what `keeper` does not have; `taken` is the serial that it took last.
    pub(crate) fn batch_for(&self, keeper: &InstanceId, taken: u64) -> (UsageBatch, u64) {
        let mut meter = self.meter.borrow_mut();
        let mut marks = self.marks.borrow_mut();
        let given = marks.get(keeper).copied();
        match given {
            Some(given) if given.serial == taken => meter.acknowledge(keeper, given.mark),
            Some(_) if taken == 0 => meter.forget_aggregator(keeper),
            Some(_) | None => {}
        }
        let (batch, mark) = meter.batch_for(keeper);
        let serial = given.map_or(0, |given| given.serial) + 1;
        marks.insert(keeper.clone(), GivenMark { serial, mark });
        (batch, serial)
    }
}
