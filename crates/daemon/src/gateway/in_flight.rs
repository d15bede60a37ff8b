//! The flight of a request at a backend server.

use std::rc::Rc;

use applefold_core::direct::{FlightId, Placement, PromptPart};

use super::state::GatewayState;

/// Counts a request at its backend server until it is dropped.
pub(crate) struct InFlightGuard {
    state: Rc<GatewayState>,
    flight: Option<FlightId>,
    answered: bool,
}

impl InFlightGuard {
    pub(crate) fn begin(state: &Rc<GatewayState>, placement: &Placement) -> Self {
        let now = state.now();
        let mut table = state.table.borrow_mut();
        let flight = table.begin(&placement.backend, placement.uncached, now);
        drop(table);
        Self {
            state: Rc::clone(state),
            flight,
            answered: false,
        }
    }

    /// Notes that the answer has begun.
    pub(crate) fn first_token(&self, parts: &[PromptPart]) {
        if let Some(flight) = self.flight {
            let now = self.state.now();
            self.state
                .table
                .borrow_mut()
                .first_token(flight, parts, now);
        }
    }

    /// Notes that the answer is whole.
    pub(crate) fn answered(&mut self) {
        self.answered = true;
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        if let Some(flight) = self.flight {
            let now = self.state.now();
            let mut table = self.state.table.borrow_mut();
            table.finish(flight, self.answered, now);
        }
    }
}
