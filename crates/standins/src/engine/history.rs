//! What an engine has been asked to do, kept over crashes for the test to read.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The requests that are kept.
const MAX_REQUESTS: usize = 20_000;

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestState {
    /// It waits or runs.
    Running,
    /// Its answer was made whole.
    Done,
    /// It was cancelled, or its stream was cut.
    Cancelled,
    /// The engine crashed under it.
    Crashed,
}

/// A request as the engine got it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRecord {
    /// The header `x-request-id`.
    pub request_id: String,
    /// The header `x-attempt`.
    pub attempt: u64,
    /// All headers.
    pub headers: BTreeMap<SmolStr, String>,
    /// The path.
    pub path: String,
    /// What became of it.
    pub state: RequestState,
    /// The answer's tokens that this attempt made.
    pub answer_tokens: u64,
}

/// The requests by number of arrival.
#[derive(Default)]
pub(crate) struct RequestLog {
    rows: BTreeMap<u64, RequestRecord>,
    serial: u64,
}

impl RequestLog {
    pub(crate) fn begin(&mut self, record: RequestRecord) -> u64 {
        self.serial += 1;
        self.rows.insert(self.serial, record);
        if self.rows.len() > MAX_REQUESTS {
            self.rows.pop_first();
        }
        self.serial
    }

    pub(crate) fn progress(&mut self, serial: u64, state: RequestState, answer_tokens: u64) {
        if let Some(row) = self.rows.get_mut(&serial) {
            row.state = state;
            row.answer_tokens = answer_tokens;
        }
    }

    pub(crate) fn crash(&mut self) {
        let running = |row: &&mut RequestRecord| row.state == RequestState::Running;
        for row in self.rows.values_mut().filter(running) {
            row.state = RequestState::Crashed;
        }
    }

    pub(crate) fn records(&self) -> Vec<&RequestRecord> {
        self.rows.values().collect()
    }
}
