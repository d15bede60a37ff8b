//! The baseline policies: round robin, first come first served, and no admission control.
//!
//! They are the reference of the differential tests and the baseline of the
//! measurements. No process runs them.

use std::collections::VecDeque;

use crate::fairness::{CallId, QueuedCall};
use crate::id::BackendId;
use crate::routing::{BackendAvailability, BackendTable, RouteRequest};

/// A round-robin router over the backend servers of a pool.
#[derive(Clone, Debug, Default)]
pub struct NaiveRouter {
    next: usize,
}

impl NaiveRouter {
    /// Returns the next backend server of the request's pool, or `None` if none of them serves.
    pub fn choose(&mut self, table: &BackendTable, request: &RouteRequest) -> Option<BackendId> {
        let serving = table.rows().filter(|row| {
            row.spec.pool == request.pool && row.availability == BackendAvailability::Serving
        });
        let ids: Vec<&BackendId> = serving.map(|row| &row.spec.id).collect();
        if ids.is_empty() {
            return None;
        }
        let id = ids[self.next % ids.len()].clone();
        self.next = self.next.wrapping_add(1);
        Some(id)
    }
}

/// A first-in, first-out queue, without regard to the callers' teams.
#[derive(Clone, Debug, Default)]
pub struct NaiveQueue {
    calls: VecDeque<QueuedCall>,
}

impl NaiveQueue {
    /// Appends a call.
    pub fn push(&mut self, call: QueuedCall) {
        self.calls.push_back(call);
    }

    /// Removes and returns the call that has waited longest.
    pub fn pop(&mut self) -> Option<QueuedCall> {
        self.calls.pop_front()
    }

    /// Removes a call; returns whether it was queued.
    pub fn cancel(&mut self, id: CallId) -> bool {
        let before = self.calls.len();
        self.calls.retain(|call| call.id != id);
        self.calls.len() < before
    }
}
