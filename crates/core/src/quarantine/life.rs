//! Signs of life of backend servers, which processes share to disprove crashes.
//!
//! The larger the fleet, the fewer processes see both a broken connection and a response that shows
//! that the backend server has not crashed. A process that receives a suspicion reports the responses
//! that disprove it. See [docs/design/answers.md](../../../../docs/design/answers.md#signs-of-life).

use std::collections::{BTreeMap, VecDeque};

use super::DISPROOF_WINDOW;
use crate::id::BackendId;
use crate::unit::{TimePoint, TimeSpan};

/// How long signs of life and suspected crashes are remembered: longer than suspicions are reported.
const RETENTION: TimeSpan = TimeSpan::from_secs(12);
/// How long a disproved crash is remembered: as long as a process that missed the sign
/// may report a quarantine for it.
const DISPROOF_RETENTION: TimeSpan = TimeSpan::from_secs(600);
/// The most signs, and the most disproved crashes, that are remembered of a backend server.
const MAX_SIGNS: usize = 256;
const MAX_DISPROVED: usize = 64;
/// Two reports of a crash of one backend server within this time are about the same crash, since each
/// process sees it at another time.
const SAME_CRASH_TOLERANCE: TimeSpan = TimeSpan::from_millis(50);
/// How many times a sign is reported, since a datagram may be lost, and how long after that it is
/// reported again if the suspicion is received again.
const REPORTS_PER_SIGN: u8 = 2;
const REPEAT_PAUSE: TimeSpan = TimeSpan::from_secs(1);

/// A backend server has answered a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LifeReport {
    /// The backend server.
    pub backend: BackendId,
    /// How long ago the answered request was sent.
    pub age: TimeSpan,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
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

/// A suspected crash that a sign has disproved.
#[derive(Clone, Copy, Debug)]
struct DisprovedCrash {
    crashed_at: TimePoint,
    /// When the answered request was sent.
    sent_at: TimePoint,
    /// When the sign was last queued to be reported.
    reported_at: Option<TimePoint>,
}

/// The signs of life of one backend server, and when it was suspected of a crash.
#[derive(Debug, Default)]
struct LifeRow {
    signs: VecDeque<LifeSign>,
    crashes: VecDeque<TimePoint>,
    disproved: VecDeque<DisprovedCrash>,
}

impl LifeRow {
    /// Records a sign, and the suspected crashes that it disproves.
    fn insert(&mut self, sign: LifeSign) {
        if self.signs.contains(&sign) {
            return;
        }
        if self.signs.len() >= MAX_SIGNS {
            self.signs.pop_front();
        }
        self.signs.push_back(sign);
        let crashes = self.crashes.iter().copied();
        let crashes: Vec<TimePoint> = crashes.filter(|at| disproves(sign.sent_at, *at)).collect();
        for crashed_at in crashes {
            self.mark_disproved(crashed_at, sign.sent_at);
        }
    }

    fn mark_disproved(&mut self, crashed_at: TimePoint, sent_at: TimePoint) {
        if self.disproof(crashed_at).is_some() {
            return;
        }
        if self.disproved.len() >= MAX_DISPROVED {
            self.disproved.pop_front();
        }
        self.disproved.push_back(DisprovedCrash {
            crashed_at,
            sent_at,
            reported_at: None,
        });
    }

    /// Returns the record of a crash that has been disproved.
    fn disproof(&mut self, crashed_at: TimePoint) -> Option<&mut DisprovedCrash> {
        let mut disproved = self.disproved.iter_mut();
        disproved.find(|known| gap(known.crashed_at, crashed_at) < SAME_CRASH_TOLERANCE)
    }

    fn expire(&mut self, now: TimePoint) {
        self.signs
            .retain(|sign| now.since(sign.sent_at) < RETENTION);
        self.crashes.retain(|at| now.since(*at) < RETENTION);
        self.disproved
            .retain(|known| now.since(known.crashed_at) < DISPROOF_RETENTION);
    }

    fn is_empty(&self) -> bool {
        self.signs.is_empty() && self.crashes.is_empty() && self.disproved.is_empty()
    }
}

/// Returns the time between two points, whichever is the later one.
pub(super) fn gap(one: TimePoint, other: TimePoint) -> TimeSpan {
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

/// The signs of life that this process saw, and those that others reported.
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
        row.insert(sign);
        if awaited {
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

    /// Records that `backend` is suspected of a crash at `crashed_at`. If a known sign disproves it,
    /// that sign is reported, also each time that the suspicion is received again.
    pub fn note_suspicion(&mut self, now: TimePoint, backend: &BackendId, crashed_at: TimePoint) {
        let row = self.rows.entry(backend.clone()).or_default();
        row.expire(now);
        let mut known = row.crashes.iter();
        let known = known.any(|at| gap(*at, crashed_at) < SAME_CRASH_TOLERANCE);
        if !known && now.since(crashed_at) < RETENTION {
            row.crashes.push_back(crashed_at);
        }
        let signs = row.signs.iter().map(|sign| sign.sent_at);
        // The latest sign disproves crashes that followed closely, too.
        let sign = signs
            .filter(|sent_at| disproves(*sent_at, crashed_at))
            .max();
        if let Some(sent_at) = sign {
            row.mark_disproved(crashed_at, sent_at);
        }
        let Some(disproof) = row.disproof(crashed_at) else {
            return;
        };
        let repeats = disproof
            .reported_at
            .filter(|at| now.since(*at) < REPEAT_PAUSE);
        if repeats.is_none() {
            disproof.reported_at = Some(now);
            let sent_at = disproof.sent_at;
            self.report(backend, sent_at);
        }
    }

    /// Returns whether a known sign disproves a crash of `backend` at `crashed_at`.
    pub fn is_disproved(&self, backend: &BackendId, crashed_at: TimePoint) -> bool {
        let Some(row) = self.rows.get(backend) else {
            return false;
        };
        let mut signs = row.signs.iter();
        let mut disproved = row.disproved.iter();
        signs.any(|sign| disproves(sign.sent_at, crashed_at))
            || disproved.any(|known| gap(known.crashed_at, crashed_at) < SAME_CRASH_TOLERANCE)
    }

    /// Returns up to `limit` reports to send now.
    pub fn next_reports(&mut self, now: TimePoint, limit: usize) -> Vec<LifeReport> {
        self.due
            .retain(|due| now.since(due.sent_at) < DISPROOF_RETENTION);
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
        self.rows.retain(|_, row| !row.is_empty());
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
