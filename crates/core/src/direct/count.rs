//! Counts of the requests that started to run, by team and usage window.

use std::collections::BTreeMap;

use crate::id::{TeamId, WindowId};
use crate::unit::TimeSpan;

/// The number of requests of each team in one usage window.
pub type WindowCounts = BTreeMap<TeamId, u64>;

/// Counts the requests that this process saw start to run, by usage window and team.
#[derive(Clone, Debug)]
pub struct RunCounter {
    length: TimeSpan,
    retained_windows: u64,
    windows: BTreeMap<WindowId, WindowCounts>,
}

impl RunCounter {
    /// Creates a counter with windows of `length`. It keeps the last `retained_windows` windows
    /// before the one that is counted in.
    pub fn new(length: TimeSpan, retained_windows: u64) -> Self {
        Self {
            length,
            retained_windows,
            windows: BTreeMap::new(),
        }
    }

    /// Returns the window that a time since the Unix epoch falls into.
    pub fn window_at(&self, since_epoch: TimeSpan) -> WindowId {
        WindowId(since_epoch.0 / self.length.0.max(1))
    }

    /// Returns the end of a window, as a time since the Unix epoch.
    pub fn end_of(&self, window: WindowId) -> TimeSpan {
        TimeSpan((window.0 + 1) * self.length.0)
    }

    /// Counts a request of `team` that started to run at a time since the Unix epoch.
    pub fn count(&mut self, team: &TeamId, since_epoch: TimeSpan) {
        let window = self.window_at(since_epoch);
        let counts = self.windows.entry(window).or_default();
        *counts.entry(team.clone()).or_default() += 1;
        let oldest = WindowId(window.0.saturating_sub(self.retained_windows));
        self.windows = self.windows.split_off(&oldest);
    }

    /// Returns the counts of a window; empty if nothing was counted or the window is dropped.
    pub fn counts(&self, window: WindowId) -> WindowCounts {
        self.windows.get(&window).cloned().unwrap_or_default()
    }
}
