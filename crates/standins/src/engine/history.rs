//! Log of the requests that an engine received. It survives simulated crashes, so that
//! tests can read it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Number of requests retained in the log; older ones are dropped.
const MAX_REQUESTS: usize = 20_000;

/// State of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestState {
    /// The request is waiting or running.
    Running,
    /// The response was generated completely.
    Done,
    /// The request was cancelled, or its stream was aborted by a fault.
    Cancelled,
    /// The engine crashed while the request was waiting or running.
    Crashed,
}

/// A request as the engine received it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRecord {
    /// Value of the header `x-request-id`.
    pub request_id: String,
    /// Value of the header `x-attempt`; 0 without one.
    pub attempt: u64,
    /// All request headers.
    pub headers: BTreeMap<SmolStr, String>,
    /// Request path.
    pub path: String,
    /// Current state.
    pub state: RequestState,
    /// Number of tokens that this attempt generated.
    pub answer_tokens: u64,
}

/// Received requests by serial number, in the order of arrival.
#[derive(Default)]
pub(crate) struct RequestLog {
    records: BTreeMap<u64, RequestRecord>,
    serial: u64,
}

impl RequestLog {
    pub(crate) fn begin(&mut self, record: RequestRecord) -> u64 {
        self.serial += 1;
        self.records.insert(self.serial, record);
        if self.records.len() > MAX_REQUESTS {
            self.records.pop_first();
        }
        self.serial
    }

    pub(crate) fn progress(&mut self, serial: u64, state: RequestState, answer_tokens: u64) {
        if let Some(record) = self.records.get_mut(&serial) {
            record.state = state;
            record.answer_tokens = answer_tokens;
        }
    }

    pub(crate) fn crash(&mut self) {
        let running = |record: &&mut RequestRecord| record.state == RequestState::Running;
        for record in self.records.values_mut().filter(running) {
            record.state = RequestState::Crashed;
        }
    }

    pub(crate) fn records(&self) -> Vec<&RequestRecord> {
        self.records.values().collect()
    }
}
