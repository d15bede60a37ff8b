//! The hedges of this entry: what it has learned for them, and their metrics.
//!
//! Decisions are made in `applefold_core::direct`. See
//! [docs/design/hedging.md](../../../../docs/design/hedging.md).

use std::cell::{Cell, RefCell};

use applefold_core::direct::{HedgeController, HedgeDenial, HedgeShare};
use opentelemetry::metrics::Counter;
use opentelemetry::KeyValue;

/// Decides on hedges and counts them.
#[derive(Debug)]
pub(crate) struct HedgeDesk {
    controller: RefCell<HedgeController>,
    counter: Counter<u64>,
}

impl HedgeDesk {
    pub(crate) fn new(share: HedgeShare, counter: Counter<u64>) -> Self {
        Self {
            controller: RefCell::new(HedgeController::new(share)),
            counter,
        }
    }

    /// Returns whether requests may be hedged at all.
    pub(crate) fn is_enabled(&self) -> bool {
        self.controller.borrow().is_enabled()
    }

    /// Calls `act` with the decisions.
    pub(crate) fn with<T, F>(&self, act: F) -> T
    where
        F: FnOnce(&mut HedgeController) -> T,
    {
        act(&mut self.controller.borrow_mut())
    }

    /// Counts a hedge that is being sent. It counts as wasted unless it wins.
    pub(crate) fn begin(&self) -> SentHedge {
        self.count("sent");
        SentHedge {
            counter: self.counter.clone(),
            won: Cell::new(false),
        }
    }

    /// Counts a slow request that is not hedged.
    pub(crate) fn deny(&self, denial: HedgeDenial) {
        self.count(denial.name());
    }

    fn count(&self, outcome: &'static str) {
        self.counter.add(1, &[KeyValue::new("outcome", outcome)]);
    }
}

/// A hedge that was sent, until its outcome is counted.
pub(crate) struct SentHedge {
    counter: Counter<u64>,
    won: Cell<bool>,
}

impl SentHedge {
    /// Records that the response of the hedge is the one that counts.
    pub(crate) fn win(&self) {
        self.won.set(true);
    }
}

impl Drop for SentHedge {
    fn drop(&mut self) {
        let outcome = match self.won.get() {
            true => "won",
            false => "wasted",
        };
        self.counter.add(1, &[KeyValue::new("outcome", outcome)]);
    }
}
