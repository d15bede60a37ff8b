//! The load report, which lags.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::options::EngineRole;
use super::EngineService;
use crate::http::{reply_ok, CallAnswer};

/// What an engine says about its load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u64,
    /// Requests that wait.
    pub waiting: u64,
    /// Prompt tokens that have not been read yet.
    pub waiting_tokens: u64,
    /// Tokens of memory that running requests leave free.
    pub free_tokens: u64,
    /// Prompt tokens per second.
    pub prefill_rate: u64,
    /// Answer tokens per second.
    pub decode_rate: u64,
    /// The role.
    pub role: EngineRole,
    /// The loaded models.
    pub models: Vec<String>,
}

struct TimedLoad {
    at: Instant,
    report: LoadReport,
}

/// The reports of late.
#[derive(Default)]
pub(crate) struct LoadLog {
    rows: VecDeque<TimedLoad>,
}

impl LoadLog {
    fn push(&mut self, report: LoadReport, lag: Duration, now: Instant) {
        self.rows.push_back(TimedLoad { at: now, report });
        self.prune(lag, now);
    }

    /// Drops what a newer report has replaced, as seen from `lag` ago.
    fn prune(&mut self, lag: Duration, now: Instant) {
        while self.rows.get(1).is_some_and(|row| row.at + lag <= now) {
            self.rows.pop_front();
        }
    }

    fn view(&mut self, lag: Duration, now: Instant) -> Option<LoadReport> {
        self.prune(lag, now);
        let first = self.rows.front().filter(|row| row.at + lag <= now);
        first.map(|row| row.report.clone())
    }
}

impl EngineService {
    pub(super) fn handle_load(&self) -> CallAnswer {
        let lag = self.options.load_lag;
        let seen = self.loads.borrow_mut().view(lag, Instant::now());
        let report = seen.unwrap_or_else(|| self.idle_report());
        reply_ok(&report)
    }

    pub(super) fn log_load(&self) {
        let lag = self.options.load_lag;
        let report = self.report();
        self.loads.borrow_mut().push(report, lag, Instant::now());
    }

    fn report(&self) -> LoadReport {
        let queue = self.queue.borrow();
        let free = self
            .options
            .memory_tokens
            .saturating_sub(queue.used_tokens());
        LoadReport {
            running: queue.running() as u64,
            waiting: queue.waiting() as u64,
            waiting_tokens: queue.waiting_tokens(),
            free_tokens: free,
            ..self.idle_report()
        }
    }

    fn idle_report(&self) -> LoadReport {
        LoadReport {
            running: 0,
            waiting: 0,
            waiting_tokens: 0,
            free_tokens: self.options.memory_tokens,
            prefill_rate: self.options.prefill_rate,
            decode_rate: self.options.decode_rate,
            role: self.role.get(),
            models: self.models.borrow().iter().cloned().collect(),
        }
    }
}
