//! Call counts by client and kind, and the rate limits.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Length of the window of a rate limit.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Call statistics of the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatsView {
    /// Number of calls by client and kind. The header `x-client` identifies the client.
    pub clients: BTreeMap<String, BTreeMap<String, u64>>,
    /// Number of calls by kind: the method and the first segment of the path.
    pub kinds: BTreeMap<String, u64>,
    /// Largest number of reads in one second.
    pub reads_per_s_peak: u64,
    /// Largest number of writes in one second.
    pub writes_per_s_peak: u64,
    /// Number of calls rejected by the rate limits.
    pub refused: u64,
    /// Number of watches that are waiting now.
    pub waiting_watches: u64,
}

/// Fixed-window rate limit of reads or of writes.
pub(crate) struct RateWindow {
    limit: u64,
    start: Option<Instant>,
    count: u64,
    peak: u64,
}

impl RateWindow {
    pub(crate) fn new(limit: u64) -> Self {
        Self {
            limit,
            start: None,
            count: 0,
            peak: 0,
        }
    }

    /// Counts a call, and returns whether it is within the limit.
    pub(crate) fn admit(&mut self, now: Instant) -> bool {
        if self.start.is_none_or(|start| now >= start + RATE_WINDOW) {
            self.start = Some(now);
            self.count = 0;
        }
        self.count += 1;
        self.peak = self.peak.max(self.count);
        self.count <= self.limit
    }
}

/// Counts calls and limits their rate.
pub(crate) struct CallStats {
    view: StatsView,
    reads: RateWindow,
    writes: RateWindow,
}

impl CallStats {
    pub(crate) fn new(reads_per_sec: u64, writes_per_sec: u64) -> Self {
        Self {
            view: StatsView::default(),
            reads: RateWindow::new(reads_per_sec),
            writes: RateWindow::new(writes_per_sec),
        }
    }

    /// Counts a call, and returns whether the rate limit admits it.
    pub(crate) fn admit(&mut self, client: &str, kind: &str, is_read: bool, now: Instant) -> bool {
        let kinds = self.view.clients.entry(client.to_owned()).or_default();
        *kinds.entry(kind.to_owned()).or_default() += 1;
        *self.view.kinds.entry(kind.to_owned()).or_default() += 1;
        let window = match is_read {
            true => &mut self.reads,
            false => &mut self.writes,
        };
        let admitted = window.admit(now);
        self.view.refused += u64::from(!admitted);
        admitted
    }

    pub(crate) fn watch_started(&mut self) {
        self.view.waiting_watches += 1;
    }

    pub(crate) fn watch_ended(&mut self) {
        self.view.waiting_watches -= 1;
    }

    pub(crate) fn view(&self) -> StatsView {
        StatsView {
            reads_per_s_peak: self.reads.peak,
            writes_per_s_peak: self.writes.peak,
            ..self.view.clone()
        }
    }
}
