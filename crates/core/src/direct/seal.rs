//! The schedule by which usage windows are sealed and reported.
//!
//! The seal of a window holds its final counts. It is written to the platform's store once, and a
//! report contains only sealed counts. Two reports of a window are therefore equal, whichever
//! process sends them.

use std::collections::BTreeMap;

use crate::id::WindowId;
use crate::unit::TimeSpan;

/// A step that is due for a usage window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SealStep {
    /// Add up the counts of all entries and seal the window.
    Seal(WindowId),
    /// Report the sealed counts.
    Report(WindowId),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SealPhase {
    Sealed,
    Reported,
}

/// Tracks which windows are sealed and reported while this process has the authority to do so.
#[derive(Clone, Debug)]
pub struct WindowSealer {
    length: TimeSpan,
    /// The time after a window's end by which every entry has published its counts.
    settle_delay: TimeSpan,
    /// The time after a window's end up to which a report is accepted.
    report_limit: TimeSpan,
    phases: BTreeMap<WindowId, SealPhase>,
    /// The first window that is sealed. Earlier ones may have been reported before their seals were
    /// lost.
    first: WindowId,
}

impl WindowSealer {
    /// Creates a sealer of windows of `length`. A window is sealed `settle_delay` after its end and
    /// reported up to `report_limit` after its end.
    pub fn new(length: TimeSpan, settle_delay: TimeSpan, report_limit: TimeSpan) -> Self {
        Self {
            length,
            settle_delay,
            report_limit,
            phases: BTreeMap::new(),
            first: WindowId(0),
        }
    }

    /// Returns the steps that are due at a time since the Unix epoch, with the oldest window first.
    pub fn due(&mut self, since_epoch: TimeSpan) -> Vec<SealStep> {
        let length = self.length.0.max(1);
        let ended = |delay: TimeSpan| since_epoch.saturating_sub(delay).0 / length;
        let newest = ended(self.settle_delay);
        let oldest = ended(self.report_limit);
        self.phases = self.phases.split_off(&WindowId(oldest));
        let windows = (oldest..newest).map(WindowId);
        let steps = windows.filter_map(|window| match self.phases.get(&window) {
            None if window < self.first => None,
            None => Some(SealStep::Seal(window)),
            Some(SealPhase::Sealed) => Some(SealStep::Report(window)),
            Some(SealPhase::Reported) => None,
        });
        steps.collect()
    }

    /// Records that the store holds the seal of a window.
    pub fn sealed(&mut self, window: WindowId) {
        self.phases.entry(window).or_insert(SealPhase::Sealed);
    }

    /// Records that the platform has accepted the report of a window.
    pub fn reported(&mut self, window: WindowId) {
        self.phases.insert(window, SealPhase::Reported);
    }

    /// Leaves the windows before `first` as they are, unless their seals are known.
    pub fn leave_before(&mut self, first: WindowId) {
        self.first = self.first.max(first);
    }

    /// Forgets all windows; called when the process loses its authority.
    pub fn reset(&mut self) {
        self.phases.clear();
    }
}
