//! Counts what is in flight, so that a process stops without cutting it.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

#[derive(Debug, Default)]
struct DrainCount {
    draining: Cell<bool>,
    /// Set while an order says that no new work is to be taken.
    held: Cell<bool>,
    in_flight: Cell<u64>,
    idle: Notify,
}

/// The door that work comes in by; it can be closed once.
#[derive(Clone, Debug, Default)]
pub(crate) struct DrainGate {
    count: Rc<DrainCount>,
}

/// Work in flight; dropping it says that the work has ended.
#[derive(Debug)]
pub(crate) struct FlightGuard {
    count: Rc<DrainCount>,
}

impl Drop for FlightGuard {
    fn drop(&mut self) {
        let left = self.count.in_flight.get() - 1;
        self.count.in_flight.set(left);
        if left == 0 {
            self.count.idle.notify_waiters();
        }
    }
}

impl DrainGate {
    /// Counts new work in; `None` once the gate is closed.
    pub(crate) fn enter(&self) -> Option<FlightGuard> {
        if self.is_closed() {
            return None;
        }
        Some(self.enter_anyway())
    }

    /// Counts work in that has to be served even while draining.
    pub(crate) fn enter_anyway(&self) -> FlightGuard {
        let in_flight = &self.count.in_flight;
        in_flight.set(in_flight.get() + 1);
        let count = self.count.clone();
        FlightGuard { count }
    }

    /// Lets no new work in from now on.
    pub(crate) fn close(&self) {
        self.count.draining.set(true);
    }

    /// Lets no new work in until the hold is taken off.
    pub(crate) fn set_held(&self, held: bool) {
        self.count.held.set(held);
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.count.draining.get() || self.count.held.get()
    }

    pub(crate) fn in_flight(&self) -> u64 {
        self.count.in_flight.get()
    }

    /// Returns when nothing is in flight.
    pub(crate) async fn wait_idle(&self) {
        loop {
            let notified = self.count.idle.notified();
            if self.in_flight() == 0 {
                return;
            }
            notified.await;
        }
    }
}
