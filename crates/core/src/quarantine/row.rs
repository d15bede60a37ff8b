//! The crashes and the last completion of one fingerprint.

use std::collections::BTreeMap;

use super::{BackendRun, RunFate, SuspectReport, DISPROOF_WINDOW, SAME_EVENT_TOLERANCE};
use crate::claim::RequestFingerprint;
use crate::unit::{TimePoint, TimeSpan};

/// The crash of one incarnation. It may break several attempts, at different times.
#[derive(Clone, Copy, Debug)]
pub(super) struct CrashSpan {
    pub(super) first: TimePoint,
    pub(super) last: TimePoint,
    /// Whether this process saw it.
    seen_here: bool,
    /// Whether the list has shown that the incarnation has ended.
    pub(super) ended: bool,
}

/// Which crashes of a fingerprint count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CrashFilter {
    /// All that are not disproved.
    Suspected,
    /// Those of incarnations that have ended.
    Ended,
}

impl CrashFilter {
    fn admits(self, crash: &CrashSpan) -> bool {
        self == Self::Suspected || crash.ended
    }
}

#[derive(Clone, Debug, Default)]
pub(super) struct SuspectRow {
    pub(super) crashes: BTreeMap<BackendRun, CrashSpan>,
    /// When it last completed; earlier crashes do not count.
    pub(super) completed: Option<TimePoint>,
}

impl SuspectRow {
    /// Returns the time of the latest crash or completion.
    pub(super) fn last_change(&self) -> Option<TimePoint> {
        let crashes = self.crashes.values().map(|crash| crash.last);
        crashes.chain(self.completed).max()
    }

    /// Returns the number of crashes, of which those that begin within `span` of the first one of
    /// them count once.
    pub(super) fn crashes_apart(&self, span: TimeSpan, filter: CrashFilter) -> usize {
        let crashes = self.crashes.values().filter(|crash| filter.admits(crash));
        let mut times: Vec<TimePoint> = crashes.map(|crash| crash.first).collect();
        times.sort_unstable();
        let mut first = None;
        let mut count = 0;
        for time in times {
            if first.is_none_or(|first| time.since(first) >= span) {
                first = Some(time);
                count += 1;
            }
        }
        count
    }

    /// Returns the number of crashes.
    pub(super) fn crashes(&self, filter: CrashFilter) -> usize {
        let crashes = self.crashes.values();
        crashes.filter(|crash| filter.admits(crash)).count()
    }

    /// Settles crashes by what has become of their incarnations, and drops those that are disproved.
    /// Returns the incarnations that have been settled now.
    pub(super) fn settle<Fate>(&mut self, fate: Fate) -> Vec<(BackendRun, RunFate)>
    where
        Fate: Fn(&BackendRun, TimePoint) -> RunFate,
    {
        let mut settled = Vec::new();
        self.crashes.retain(|run, crash| {
            let fate = fate(run, crash.last);
            let is_news = match fate {
                RunFate::Running => true,
                RunFate::Ended => !std::mem::replace(&mut crash.ended, true),
                RunFate::Unknown => false,
            };
            if is_news {
                settled.push((run.clone(), fate));
            }
            fate != RunFate::Running
        });
        settled
    }

    /// Returns whether it completed less than `sound_ttl` before the first of its crashes.
    pub(super) fn is_sound_before_crashes(&self, sound_ttl: TimeSpan) -> bool {
        let first = self.crashes.values().map(|crash| crash.first).min();
        let completed = self.completed;
        completed.is_some_and(|at| first.is_none_or(|first| first.since(at) < sound_ttl))
    }

    /// Returns whether an event at `at`, a crash or else a completion, is recorded already. A completion
    /// that clears a recorded crash is not.
    pub(super) fn contains(&self, crashed: Option<&BackendRun>, at: TimePoint) -> bool {
        let known = match crashed {
            Some(crashed) => self.crashes.get(crashed).map(|crash| crash.last),
            None if self.crashes.values().any(|crash| crash.last <= at) => None,
            None => self.completed,
        };
        known.is_some_and(|known| at <= known + SAME_EVENT_TOLERANCE)
    }

    /// Returns a report for each crash and for the last completion.
    pub(super) fn reports(
        &self,
        fingerprint: RequestFingerprint,
        now: TimePoint,
    ) -> impl Iterator<Item = SuspectReport> + '_ {
        let crashes = self.crashes.iter();
        let crashes = crashes.map(|(run, crash)| (Some(run.clone()), crash.last));
        let completed = self.completed.map(|at| (None, at));
        crashes
            .chain(completed)
            .map(move |(crashed, at)| SuspectReport {
                fingerprint,
                crashed,
                age: now.since(at),
            })
    }

    /// Records a crash, or else a completion, at `at`.
    pub(super) fn note(&mut self, crashed: Option<BackendRun>, at: TimePoint) {
        let Some(crashed) = crashed else {
            self.completed = self.completed.max(Some(at));
            self.crashes.retain(|_, crash| crash.last > at);
            return;
        };
        if self.completed.is_some_and(|completed| at <= completed) {
            return;
        }
        let crash = CrashSpan {
            first: at,
            last: at,
            seen_here: false,
            ended: false,
        };
        let crash = self.crashes.entry(crashed).or_insert(crash);
        crash.last = at.max(crash.last);
    }

    /// Records that this process saw the crash of `run` itself.
    pub(super) fn mark_seen(&mut self, run: &BackendRun) {
        if let Some(crash) = self.crashes.get_mut(run) {
            crash.seen_here = true;
        }
    }

    /// Returns whether this process saw the crash of `run` itself.
    pub(super) fn has_seen(&self, run: &BackendRun) -> bool {
        self.crashes.get(run).is_some_and(|crash| crash.seen_here)
    }

    /// Removes the crash of `run` if it lasted no longer than `time`; returns whether it did.
    pub(super) fn remove_before(&mut self, run: &BackendRun, time: TimePoint) -> bool {
        let known = self.crashes.get(run);
        let is_over = known.is_some_and(|crash| crash.last < time);
        is_over && self.crashes.remove(run).is_some()
    }

    /// Returns the incarnation that crashed at `at`. It is a later one than `run` if the recorded
    /// crash of `run` began so long ago that the backend server must have restarted since.
    pub(super) fn run_at(&self, mut run: BackendRun, at: TimePoint) -> BackendRun {
        while let Some(known) = self.crashes.get(&run) {
            if at.since(known.first) < DISPROOF_WINDOW {
                break;
            }
            run.incarnation = run.incarnation.wrapping_add(1);
        }
        run
    }
}
