//! Tracks a request while it is in flight at a backend server.

use std::rc::Rc;

use applefold_core::direct::{FirstToken, FlightId, Placement, PromptPart};
use applefold_core::id::BackendId;
use opentelemetry::KeyValue;

use super::state::GatewayState;

/// Counts a request as in flight at its backend server until the guard is dropped.
pub(crate) struct InFlightGuard {
    state: Rc<GatewayState>,
    backend: BackendId,
    flight: Option<FlightId>,
    /// Whether the complete response has been received.
    completed: bool,
}

impl InFlightGuard {
    /// Starts to count a request at the backend server of its placement.
    pub(crate) fn begin(state: &Rc<GatewayState>, placement: &Placement) -> Self {
        let now = state.now();
        let mut table = state.table.borrow_mut();
        let flight = table.begin(&placement.backend, placement.prefill_work(), now);
        drop(table);
        Self {
            state: Rc::clone(state),
            backend: placement.backend.clone(),
            flight,
            completed: false,
        }
    }

    /// Records that the response has begun, and that the engine now caches these parts of the
    /// prompt.
    pub(crate) fn first_token(&self, parts: &[PromptPart]) {
        if let Some(flight) = self.flight {
            let now = self.state.now();
            let token = {
                let mut table = self.state.table.borrow_mut();
                table.first_token(flight, parts, now)
            };
            if let Some(token) = token {
                self.state.speeds.borrow_mut().push(&token);
                self.count_prediction(&token);
            }
        }
    }

    /// Adds the predicted and the actual time to a first token to the metrics.
    fn count_prediction(&self, token: &FirstToken) {
        let backend = [KeyValue::new("backend", self.backend.to_string())];
        let metrics = &self.state.metrics;
        metrics.predicted_micros.add(token.predicted.0, &backend);
        metrics.first_token_micros.add(token.taken.0, &backend);
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
