//! Which usage windows are summed up, sealed and reported.
//!
//! A window is reported only with the figures under its seal, which is made
//! once in the platform's store; so two reports of a window cannot differ,
//! whoever sends them.

use std::collections::BTreeMap;

use crate::id::WindowId;
use crate::unit::TimeSpan;

/// What is to be done about a window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SealStep {
    /// Sum up what the entries counted and seal it.
    Seal(WindowId),
    /// Report what is under the seal.
    Report(WindowId),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SealPhase {
    Sealed,
    Reported,
}

/// Follows the windows while this process has authority over them.
#[derive(Clone, Debug)]
pub struct WindowSealer {
    length: TimeSpan,
    /// How long after a window's end every entry has told its counts.
    settle: TimeSpan,
    /// How long after a window's end a report is still of use.
    late: TimeSpan,
    phases: BTreeMap<WindowId, SealPhase>,
}

impl WindowSealer {
    /// A sealer of windows of `length`.
    pub fn new(length: TimeSpan, settle: TimeSpan, late: TimeSpan) -> Self {
        Self {
            length,
            settle,
            late,
            phases: BTreeMap::new(),
        }
    }

    /// Returns what is due at a time since the epoch, the oldest window first.
    pub fn due(&mut self, since_epoch: TimeSpan) -> Vec<SealStep> {
        let length = self.length.0.max(1);
        let ended = |wait: TimeSpan| since_epoch.saturating_sub(wait).0 / length;
        let newest = ended(self.settle);
        let oldest = ended(self.late);
        self.phases = self.phases.split_off(&WindowId(oldest));
        let windows = (oldest..newest).map(WindowId);
        let steps = windows.filter_map(|window| match self.phases.get(&window) {
            None => Some(SealStep::Seal(window)),
            Some(SealPhase::Sealed) => Some(SealStep::Report(window)),
            Some(SealPhase::Reported) => None,
        });
        steps.collect()
    }

    /// Notes that the seal of a window is known to stand.
    pub fn sealed(&mut self, window: WindowId) {
        self.phases.entry(window).or_insert(SealPhase::Sealed);
    }

    /// Notes that the platform has taken the report of a window.
    pub fn reported(&mut self, window: WindowId) {
        self.phases.insert(window, SealPhase::Reported);
    }

    /// Forgets everything, as a process does that loses its authority.
    pub fn reset(&mut self) {
        self.phases.clear();
    }
}
