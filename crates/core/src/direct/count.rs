//! How many requests of each team began to run, by window of the wall clock.

use std::collections::BTreeMap;

use crate::id::{TeamId, WindowId};
use crate::unit::TimeSpan;

/// The requests of each team in one window.
pub type WindowCounts = BTreeMap<TeamId, u64>;

/// Counts the runs that one process saw begin.
#[derive(Clone, Debug)]
pub struct RunCounter {
    length: TimeSpan,
    keep: u64,
    windows: BTreeMap<WindowId, WindowCounts>,
}

impl RunCounter {
    /// A counter of windows of `length` that keeps the last `keep` of them.
    pub fn new(length: TimeSpan, keep: u64) -> Self {
        Self {
            length,
            keep,
            windows: BTreeMap::new(),
        }
    }

    /// Returns the window of a time since the epoch.
    pub fn window_at(&self, since_epoch: TimeSpan) -> WindowId {
        WindowId(since_epoch.0 / self.length.0.max(1))
    }

    /// Returns when a window ends, as a time since the epoch.
    pub fn end_of(&self, window: WindowId) -> TimeSpan {
        TimeSpan((window.0 + 1) * self.length.0)
    }

    /// Counts a run that begins now.
    pub fn count(&mut self, team: &TeamId, since_epoch: TimeSpan) {
        let window = self.window_at(since_epoch);
        let counts = self.windows.entry(window).or_default();
        *counts.entry(team.clone()).or_default() += 1;
        let oldest = WindowId(window.0.saturating_sub(self.keep));
        self.windows = self.windows.split_off(&oldest);
    }

    /// Returns what was counted in a window.
    pub fn counts(&self, window: WindowId) -> WindowCounts {
        self.windows.get(&window).cloned().unwrap_or_default()
    }
}
