//! The simplest rules that could serve: round robin, first come first served, no admission.
//!
//! They are the reference of the differential tests and the baseline of the
//! measurements; no process runs them.

use std::collections::VecDeque;

use crate::fairness::{CallId, QueuedCall};
use crate::id::BackendId;
use crate::routing::{BackendStanding, BackendTable, RouteRequest};

/// Sends requests to the backend servers of a pool in turn.
#[derive(Clone, Debug, Default)]
pub struct NaiveRouter {
    turn: usize,
}

impl NaiveRouter {
    /// Returns the backend server whose turn it is.
    pub fn choose(&mut self, table: &BackendTable, request: &RouteRequest) -> Option<BackendId> {
        let serving = table.rows().filter(|row| {
            row.spec.pool == request.pool && row.standing == BackendStanding::Serving
        });
        let ids: Vec<&BackendId> = serving.map(|row| &row.spec.id).collect();
        if ids.is_empty() {
            return None;
        }
        let id = ids[self.turn % ids.len()].clone();
        self.turn = self.turn.wrapping_add(1);
        Some(id)
    }
}

/// Runs calls in the order in which they came, whoever sent them.
#[derive(Clone, Debug, Default)]
pub struct NaiveQueue {
    calls: VecDeque<QueuedCall>,
}

impl NaiveQueue {
    /// Appends a call.
    pub fn push(&mut self, call: QueuedCall) {
        self.calls.push_back(call);
    }

    /// Takes the call that has waited longest.
    pub fn pop(&mut self) -> Option<QueuedCall> {
        self.calls.pop_front()
    }

    /// Removes a call.
    pub fn cancel(&mut self, id: CallId) -> bool {
        let before = self.calls.len();
        self.calls.retain(|call| call.id != id);
        self.calls.len() < before
    }
}
