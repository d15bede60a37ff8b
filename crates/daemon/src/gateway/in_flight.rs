//! Tracks a request while it is in flight at a backend server.

use std::rc::Rc;

use applefold_core::direct::{FlightId, Placement, PromptPart};

use super::state::GatewayState;

/// Counts a request as in flight at its backend server until the guard is dropped.
pub(crate) struct InFlightGuard {
    state: Rc<GatewayState>,
    flight: Option<FlightId>,
    /// Whether the complete response has been received.
    completed: bool,
}

impl InFlightGuard {
    /// Starts to count a request at the backend server of its placement.
    pub(crate) fn begin(state: &Rc<GatewayState>, placement: &Placement) -> Self {
        let now = state.now();
        let mut table = state.table.borrow_mut();
        let flight = table.begin(&placement.backend, placement.uncached, now);
        if let (Some(flight), Some(class)) = (flight, placement.class) {
            table.classify(flight, class, now);
        }
        drop(table);
        Self {
            state: Rc::clone(state),
            flight,
            completed: false,
        }
    }

    /// Records that the response has begun, and that the engine now caches these parts of the
    /// prompt.
    pub(crate) fn first_token(&self, parts: &[PromptPart]) {
        if let Some(flight) = self.flight {
            let now = self.state.now();
            self.state
                .table
                .borrow_mut()
                .first_token(flight, parts, now);
        }
    }

    /// Records that the complete response has been received.
    pub(crate) fn complete(&mut self) {
        self.completed = true;
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        if let Some(flight) = self.flight {
            let now = self.state.now();
            let mut table = self.state.table.borrow_mut();
            table.finish(flight, self.completed, now);
        }
    }
}
