//! Graceful shutdown: admission of new work and completion of work in flight.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use applefold_core::code::{CallRefusal, ResultCode};
use applefold_core::drain::{DrainAction, DrainOptions, DrainState, WorkGuard};
use applefold_core::unit::TimeSpan;

use crate::clock::MonotonicClock;

/// The period at which the drain state is checked.
const STEP_PERIOD: Duration = Duration::from_millis(50);
/// The retry delay in refusals while the gate is paused.
const RETRY_SOON: TimeSpan = TimeSpan::from_secs(1);

/// Admits new work until the process drains, and refuses it while paused.
#[derive(Clone)]
pub(crate) struct DrainGate {
    state: Rc<RefCell<DrainState>>,
    /// Set while a drain order pauses admission.
    paused: Rc<Cell<bool>>,
}

impl DrainGate {
    pub(crate) fn new(options: DrainOptions) -> Self {
        Self {
            state: Rc::new(RefCell::new(DrainState::new(options))),
            paused: Rc::default(),
        }
    }

    /// Admits new work, which counts as in flight until the guard is dropped.
    ///
    /// # Errors
    ///
    /// Refuses with [`ResultCode::ServiceShutting`] while paused, and with the code of the drain
    /// options once the process drains.
    pub(crate) fn admit(&self) -> Result<WorkGuard, CallRefusal> {
        if self.paused.get() {
            return Err(CallRefusal::retryable(
                ResultCode::ServiceShutting,
                RETRY_SOON,
            ));
        }
        self.state.borrow().admit()
    }

    /// Pauses admission, or resumes it.
    pub(crate) fn set_paused(&self, paused: bool) {
        self.paused.set(paused);
    }

    /// Returns whether peers and the balancer should stop sending work.
    pub(crate) fn is_closing(&self) -> bool {
        self.paused.get() || self.state.borrow().is_stopping()
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.state.borrow().running()
    }

    /// Starts to drain.
    pub(crate) fn begin(&self, clock: &MonotonicClock) {
        self.state.borrow_mut().begin(clock.now());
    }

    /// Waits until nothing is in flight and `settled` returns true, that is, until nothing that is
    /// kept for others is left.
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
