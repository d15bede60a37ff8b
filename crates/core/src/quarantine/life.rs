//! Signs of life of backend servers, which processes share to disprove crashes.
//!
//! The larger the fleet, the fewer processes see both a broken connection and a response that shows
//! that the backend server has not crashed. A process that hears of a suspicion reports the responses
//! that disprove it. See [docs/design/answers.md](../../../../docs/design/answers.md#signs-of-life).

use std::collections::{BTreeMap, VecDeque};

use super::DISPROOF_WINDOW;
use crate::id::BackendId;
use crate::unit::{TimePoint, TimeSpan};

/// How long signs of life and suspected crashes are remembered: longer than suspicions are reported.
const RETENTION: TimeSpan = TimeSpan::from_secs(12);
/// Of signs, or of suspected crashes, that are closer to each other one is kept, which bounds their
/// number.
const SIGN_SPACING: TimeSpan = TimeSpan::from_millis(50);
/// How many times a sign is reported, since a datagram may be lost.
const REPORTS_PER_SIGN: u8 = 2;

/// A backend server has answered a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LifeReport {
    /// The backend server.
    pub backend: BackendId,
    /// How long ago the answered request was sent.
    pub age: TimeSpan,
}

#[derive(Clone, Copy, Debug)]
struct LifeSign {
    /// When the answered request was sent.
    sent_at: TimePoint,
    seen_here: bool,
}

/// A sign that is to be reported.
#[derive(Clone, Debug)]
struct DueReport {
    backend: BackendId,
    sent_at: TimePoint,
    reports_left: u8,
}

/// The signs of life of one backend server, and when it was suspected of a crash.
#[derive(Debug, Default)]
struct LifeRow {
    signs: VecDeque<LifeSign>,
    crashes: VecDeque<TimePoint>,
}

impl LifeRow {
    /// Records a sign; returns whether it is new.
    fn insert(&mut self, sign: LifeSign) -> bool {
        let known = self.signs.iter().any(|known| {
            known.seen_here == sign.seen_here && gap(known.sent_at, sign.sent_at) < SIGN_SPACING
        });
        if !known {
            self.signs.push_back(sign);
        }
        !known
    }

    fn expire(&mut self, now: TimePoint) {
        self.signs
            .retain(|sign| now.since(sign.sent_at) < RETENTION);
        self.crashes.retain(|at| now.since(*at) < RETENTION);
    }
}

/// Returns the time between two points, whichever is the later one.
fn gap(one: TimePoint, other: TimePoint) -> TimeSpan {
    match one < other {
        true => other.since(one),
        false => one.since(other),
    }
}

/// Returns whether a response to a request that was sent at `sent_at` disproves a crash at
/// `crashed_at`. A backend server that crashes does not serve again within [`DISPROOF_WINDOW`].
pub(super) fn disproves(sent_at: TimePoint, crashed_at: TimePoint) -> bool {
    crashed_at < sent_at && sent_at.since(crashed_at) < DISPROOF_WINDOW
}

/// The signs of life that this process saw, and those that it heard of.
#[derive(Debug, Default)]
pub struct LifeSigns {
    rows: BTreeMap<BackendId, LifeRow>,
    due: VecDeque<DueReport>,
}

impl LifeSigns {
    /// Records that `backend` has answered a request that this process sent at `sent_at`.
    pub fn note_response(&mut self, now: TimePoint, backend: &BackendId, sent_at: TimePoint) {
        let row = self.rows.entry(backend.clone()).or_default();
        row.expire(now);
        let sign = LifeSign {
            sent_at,
            seen_here: true,
        };
        let awaited = row.crashes.iter().any(|at| disproves(sent_at, *at));
        if row.insert(sign) && awaited {
            self.report(backend, sent_at);
        }
    }

    /// Merges a report of another process; returns when the answered request was sent.
    pub fn merge_report(&mut self, now: TimePoint, report: &LifeReport) -> TimePoint {
        let sent_at = now - report.age;
        let row = self.rows.entry(report.backend.clone()).or_default();
        row.expire(now);
        row.insert(LifeSign {
            sent_at,
            seen_here: false,
        });
        sent_at
    }

    /// Records that `backend` is suspected of a crash at `crashed_at`. If this process has seen a
    /// sign that disproves it, that sign is reported.
    pub fn note_suspicion(&mut self, now: TimePoint, backend: &BackendId, crashed_at: TimePoint) {
        let row = self.rows.entry(backend.clone()).or_default();
        row.expire(now);
        let mut known = row.crashes.iter();
        let known = known.any(|at| gap(*at, crashed_at) < SIGN_SPACING);
        if known || now.since(crashed_at) >= RETENTION {
            return;
        }
        row.crashes.push_back(crashed_at);
        let mut signs = row.signs.iter().filter(|sign| sign.seen_here);
        let sign = signs.find(|sign| disproves(sign.sent_at, crashed_at));
        if let Some(sent_at) = sign.map(|sign| sign.sent_at) {
            self.report(backend, sent_at);
        }
    }

    /// Returns whether a known sign disproves a crash of `backend` at `crashed_at`.
    pub fn is_disproved(&self, backend: &BackendId, crashed_at: TimePoint) -> bool {
        let row = self.rows.get(backend);
        row.is_some_and(|row| {
            let mut signs = row.signs.iter();
            signs.any(|sign| disproves(sign.sent_at, crashed_at))
        })
    }

    /// Returns up to `limit` reports to send now.
    pub fn next_reports(&mut self, now: TimePoint, limit: usize) -> Vec<LifeReport> {
        self.due.retain(|due| now.since(due.sent_at) < RETENTION);
        let mut reports = Vec::new();
        for _ in 0..limit.min(self.due.len()) {
            let Some(mut due) = self.due.pop_front() else {
                break;
            };
            reports.push(LifeReport {
                backend: due.backend.clone(),
                age: now.since(due.sent_at),
            });
            due.reports_left -= 1;
            if due.reports_left > 0 {
                self.due.push_back(due);
            }
        }
        reports
    }

    /// Drops expired signs and suspicions.
    pub fn tick(&mut self, now: TimePoint) {
        for row in self.rows.values_mut() {
            row.expire(now);
        }
        self.rows
            .retain(|_, row| !row.signs.is_empty() || !row.crashes.is_empty());
    }

    fn report(&mut self, backend: &BackendId, sent_at: TimePoint) {
        let mut due = self.due.iter();
        if due.any(|due| due.sent_at == sent_at && due.backend == *backend) {
            return;
        }
        self.due.push_back(DueReport {
            backend: backend.clone(),
            sent_at,
            reports_left: REPORTS_PER_SIGN,
        });
    }
}
