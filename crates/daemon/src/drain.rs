//! Stops a process without cutting what it has in flight.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use applefold_core::code::{CallRefusal, ResultCode};
use applefold_core::drain::{DrainAction, DrainOptions, DrainState, WorkGuard};
use applefold_core::unit::TimeSpan;

use crate::clock::MonotonicClock;

const STEP_PERIOD: Duration = Duration::from_millis(50);
const RETRY_SOON: TimeSpan = TimeSpan::from_secs(1);

/// The door that work comes in by.
#[derive(Clone)]
pub(crate) struct DrainGate {
    state: Rc<RefCell<DrainState>>,
    /// Set while an order says that no new work is to be taken.
    held: Rc<Cell<bool>>,
}

impl DrainGate {
    pub(crate) fn new(options: DrainOptions) -> Self {
        Self {
            state: Rc::new(RefCell::new(DrainState::new(options))),
            held: Rc::default(),
        }
    }

    /// Counts new work in, or refuses it as not run.
    pub(crate) fn admit(&self) -> Result<WorkGuard, CallRefusal> {
        if self.held.get() {
            return Err(CallRefusal::retryable(
                ResultCode::ServiceShutting,
                RETRY_SOON,
            ));
        }
        self.state.borrow().admit()
    }

    /// Lets no new work in until the hold is taken off.
    pub(crate) fn set_paused(&self, held: bool) {
        self.held.set(held);
    }

    /// Returns whether peers and the balancer should send no more work.
    pub(crate) fn is_closing(&self) -> bool {
        self.held.get() || self.state.borrow().is_stopping()
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.state.borrow().running()
    }

    /// Begins to stop.
    pub(crate) fn begin(&self, clock: &MonotonicClock) {
        self.state.borrow_mut().begin(clock.now());
    }

    /// Waits until nothing is in flight and nothing is kept for others.
    pub(crate) async fn finish<S>(&self, clock: &MonotonicClock, settled: S)
    where
        S: Fn() -> bool,
    {
        loop {
            let actions = self.state.borrow_mut().tick(clock.now(), settled());
            if actions.contains(&DrainAction::Exit) {
                return;
            }
            actix_rt::time::sleep(STEP_PERIOD).await;
        }
    }
}
