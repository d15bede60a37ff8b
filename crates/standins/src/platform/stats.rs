//! Calls counted by client and kind, and the limits on their rate.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// The length of the window in which calls are counted.
const COUNT_WINDOW: Duration = Duration::from_secs(1);

/// What the platform has counted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatsView {
    /// Calls by client and kind; a client names itself in the header `x-client`.
    pub clients: BTreeMap<String, BTreeMap<String, u64>>,
    /// Calls by kind.
    pub kinds: BTreeMap<String, u64>,
    /// The most reads that came in one second.
    pub reads_per_s_peak: u64,
    /// The most writes that came in one second.
    pub writes_per_s_peak: u64,
    /// Calls refused for their rate.
    pub refused: u64,
    /// Watches that wait now.
    pub waiting_watches: u64,
}

/// The calls of one sort in the current second.
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

    /// Counts a call, and says whether it is within the limit.
    pub(crate) fn admit(&mut self, now: Instant) -> bool {
        if self.start.is_none_or(|start| now >= start + COUNT_WINDOW) {
            self.start = Some(now);
            self.count = 0;
        }
        self.count += 1;
        self.peak = self.peak.max(self.count);
        self.count <= self.limit
    }
}

/// Counts the calls.
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

    /// Counts a call, and says whether its rate allows it.
    pub(crate) fn admit(&mut self, client: &str, kind: &str, read: bool, now: Instant) -> bool {
        let kinds = self.view.clients.entry(client.to_owned()).or_default();
        *kinds.entry(kind.to_owned()).or_default() += 1;
        *self.view.kinds.entry(kind.to_owned()).or_default() += 1;
        let window = match read {
            true => &mut self.reads,
            false => &mut self.writes,
        };
        let admitted = window.admit(now);
        self.view.refused += u64::from(!admitted);
        admitted
    }

    pub(crate) fn watch_begun(&mut self) {
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
