//! The load report, which shows the load as it was some time ago.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::options::EngineRole;
use super::EngineService;
use crate::http::{reply_ok, CallAnswer};

/// The load of an engine, as it reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of running requests.
    pub running: u64,
    /// Number of waiting requests.
    pub waiting: u64,
    /// Prompt tokens that are not prefilled yet, of waiting and running requests.
    pub waiting_tokens: u64,
    /// Memory that running requests leave free, in tokens.
    pub free_tokens: u64,
    /// Prefill rate, in prompt tokens per second.
    pub prefill_rate: u64,
    /// Decode rate of the whole batch, in generated tokens per second.
    pub decode_rate: u64,
    /// Current role.
    pub role: EngineRole,
    /// Names of the loaded models.
    pub models: Vec<String>,
}

struct LoadSample {
    at: Instant,
    report: LoadReport,
}

/// Recent load reports, kept for as long as the delayed view needs them.
#[derive(Default)]
pub(crate) struct LoadHistory {
    samples: VecDeque<LoadSample>,
}

impl LoadHistory {
    fn push(&mut self, report: LoadReport, delay: Duration, now: Instant) {
        self.samples.push_back(LoadSample { at: now, report });
        self.prune(delay, now);
    }

    /// Drops reports that were already superseded `delay` ago.
    fn prune(&mut self, delay: Duration, now: Instant) {
        while self
            .samples
            .get(1)
            .is_some_and(|sample| sample.at + delay <= now)
        {
            self.samples.pop_front();
        }
    }

    fn delayed(&mut self, delay: Duration, now: Instant) -> Option<LoadReport> {
        self.prune(delay, now);
        let first = self
            .samples
            .front()
            .filter(|sample| sample.at + delay <= now);
        first.map(|sample| sample.report.clone())
    }
}

impl EngineService {
    pub(super) fn handle_load(&self) -> CallAnswer {
        let delay = self.options.load_lag;
        let delayed = self
            .load_history
            .borrow_mut()
            .delayed(delay, Instant::now());
        let report = delayed.unwrap_or_else(|| self.idle_report());
        reply_ok(&report)
    }

    pub(super) fn record_load(&self) {
        let delay = self.options.load_lag;
        let report = self.current_report();
        self.load_history
            .borrow_mut()
            .push(report, delay, Instant::now());
    }

    fn current_report(&self) -> LoadReport {
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
