//! Requests that crash the backend servers that run them.
//!
//! A fingerprint that was running on as many backend servers as [`CrashOptions`]
//! says when they died is refused everywhere for a time. Requests that ran beside
//! it are run apart from each other until one completes, so that they are not
//! refused with it.
//! See [docs/design/answers.md](../../../docs/design/answers.md#requests-that-crash-backend-servers).

mod row;

use std::collections::{BTreeMap, VecDeque};

use crate::claim::RequestFingerprint;
use crate::code::{CallRefusal, ResultCode};
use crate::id::BackendId;
use crate::unit::{TimePoint, TimeSpan};

use row::SuspectRow;

const RETRY_AFTER: TimeSpan = TimeSpan::from_millis(500);

/// News this close to what is known tell of the same event; each hop delays
/// them, and they must not live longer by being told.
const SAME_EVENT_TOLERANCE: TimeSpan = TimeSpan::from_secs(30);

/// A backend server that answers so soon after a connection to it broke has not died.
const DISPROOF_WINDOW: TimeSpan = TimeSpan::from_secs(1);

/// One run of a backend server, from its start to its end.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BackendRun {
    /// The backend server.
    pub backend: BackendId,
    /// What tells its runs apart, such as the time of its start; zero where nothing does.
    pub incarnation: u64,
}

impl From<BackendId> for BackendRun {
    fn from(backend: BackendId) -> Self {
        Self {
            backend,
            incarnation: 0,
        }
    }
}

/// The sizes and times of a ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashOptions {
    /// At how many crashes a fingerprint is refused.
    pub crash_limit: usize,
    /// Whether crashes of one backend server count each; where not, a faulty machine condemns
    /// nobody.
    pub count_each_run: bool,
    /// How long after its last crash a fingerprint is remembered and refused.
    pub quarantine_ttl: TimeSpan,
    /// How long a crash is remembered of a fingerprint that is not refused.
    pub suspicion_ttl: TimeSpan,
    /// The most fingerprints remembered.
    pub max_fingerprints: usize,
    /// Of how many requests that ran together one may run beside another again.
    pub isolation_divisor: usize,
    /// The most news told at one time.
    pub gossip_limit: usize,
    /// How old a suspicion is before it is told, so that an answer of the backend server can
    /// still end it. What is refused is told at once: its teller may end within that time.
    pub gossip_delay: TimeSpan,
    /// How long a suspicion is told; what is refused is told for as long as it is remembered.
    pub gossip_ttl: TimeSpan,
}

impl Default for CrashOptions {
    fn default() -> Self {
        Self {
            crash_limit: 2,
            count_each_run: false,
            quarantine_ttl: TimeSpan::from_secs(600),
            suspicion_ttl: TimeSpan::from_secs(600),
            max_fingerprints: 4_096,
            isolation_divisor: 8,
            gossip_limit: 32,
            gossip_delay: TimeSpan::ZERO,
            gossip_ttl: TimeSpan::from_secs(600),
        }
    }
}

/// What one process tells others about a fingerprint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectReport {
    /// The request's fingerprint.
    pub fingerprint: RequestFingerprint,
    /// The run of a backend server that ended while running it; `None` where it completed whole.
    pub crashed: Option<BackendRun>,
    /// How long ago that was.
    pub age: TimeSpan,
}

/// Counts the crashes of backend servers against what they were running.
#[derive(Debug)]
pub struct CrashTracker {
    options: CrashOptions,
    rows: BTreeMap<RequestFingerprint, SuspectRow>,
    /// Crashes that an answer may still disprove, the latest last.
    recent: VecDeque<RecentCrash>,
    refused_turn: usize,
    other_turn: usize,
}

#[derive(Debug)]
struct RecentCrash {
    at: TimePoint,
    fingerprint: RequestFingerprint,
    run: BackendRun,
}

impl CrashTracker {
    /// A ledger that has seen no crash.
    pub fn new(options: CrashOptions) -> Self {
        Self {
            options,
            rows: BTreeMap::new(),
            recent: VecDeque::new(),
            refused_turn: 0,
            other_turn: 0,
        }
    }

    /// Returns how many fingerprints are remembered.
    pub fn row_count(&self) -> usize {
        self.rows.len()
    }

    /// Notes that a backend server died while it ran requests with these fingerprints.
    pub fn note_crash(
        &mut self,
        now: TimePoint,
        crashed: &BackendRun,
        running: &[RequestFingerprint],
    ) {
        self.drop_settled_crashes(now);
        for fingerprint in running {
            let row = self.rows.get(fingerprint);
            let run = match (row, self.options.count_each_run) {
                (Some(row), true) => row.run_at(crashed.clone(), now),
                (None, true) => crashed.clone(),
                (_, false) => crashed.backend.clone().into(),
            };
            self.note(now, *fingerprint, Some(run.clone()), now);
            self.recent.push_back(RecentCrash {
                at: now,
                fingerprint: *fingerprint,
                run,
            });
        }
    }

    /// Notes that a request completed whole, which clears its fingerprint.
    pub fn note_completion(&mut self, now: TimePoint, fingerprint: RequestFingerprint) {
        if self.rows.contains_key(&fingerprint) {
            self.note(now, fingerprint, None, now);
        }
    }

    /// Notes that `backend` has answered a request that was sent at `sent_at`, so a connection
    /// to it that broke just before that says nothing about what ran on it. An answer to an
    /// earlier request may have been on its way while the backend server died.
    ///
    /// Returns the fingerprints that are suspected of one crash less.
    pub fn note_answer(
        &mut self,
        now: TimePoint,
        backend: &BackendId,
        sent_at: TimePoint,
    ) -> Vec<RequestFingerprint> {
        self.drop_settled_crashes(now);
        let mut cleared = Vec::new();
        self.recent.retain(|crash| {
            let disproved = crash.run.backend == *backend && crash.at < sent_at;
            if disproved {
                cleared.push((crash.fingerprint, crash.run.clone()));
            }
            !disproved
        });
        cleared.retain(|(fingerprint, run)| {
            let row = self.rows.get_mut(fingerprint);
            row.is_some_and(|row| row.crashes.remove(run).is_some())
        });
        self.rows.retain(|_, row| row.last_change().is_some());
        let cleared = cleared.into_iter().map(|(fingerprint, _)| fingerprint);
        cleared.collect()
    }

    /// Forgets the crashes that no answer can disprove any more.
    fn drop_settled_crashes(&mut self, now: TimePoint) {
        while let Some(oldest) = self.recent.front() {
            if now.since(oldest.at) < DISPROOF_WINDOW {
                break;
            }
            self.recent.pop_front();
        }
    }

    /// Takes what another process tells; returns whether it was new.
    pub fn merge_report(&mut self, now: TimePoint, news: SuspectReport) -> bool {
        let at = now - news.age;
        let row = self.rows.get(&news.fingerprint);
        let known = row.is_some_and(|row| row.knows(news.crashed.as_ref(), at));
        // What is about to be forgotten here and there is not learnt anew.
        let fresh = news.age + SAME_EVENT_TOLERANCE < self.options.quarantine_ttl;
        let new = fresh && !known;
        if new {
            self.note(now, news.fingerprint, news.crashed, at);
        }
        new
    }

    /// Returns how many crashes a fingerprint is suspected of.
    pub fn crash_count(&self, fingerprint: RequestFingerprint) -> usize {
        let row = self.rows.get(&fingerprint);
        row.map_or(0, |row| row.crashes.len())
    }

    /// Returns whether a fingerprint has crashed too often.
    pub fn is_quarantined(&self, fingerprint: RequestFingerprint) -> bool {
        self.crash_count(fingerprint) >= self.options.crash_limit
    }

    /// Returns when the last of them was.
    pub fn last_crash(&self, fingerprint: RequestFingerprint) -> Option<TimePoint> {
        let row = self.rows.get(&fingerprint)?;
        row.crashes.values().map(|crash| crash.last).max()
    }

    /// Returns what to tell others now. Where there is more than is told at one time, everything
    /// gets its turn; what is refused has half of the room.
    pub fn next_reports(&mut self, now: TimePoint) -> Vec<SuspectReport> {
        let (mut refused, mut others) = (Vec::new(), Vec::new());
        for (fingerprint, row) in &self.rows {
            match self.is_quarantined(*fingerprint) {
                true => refused.extend(row.reports(*fingerprint, now)),
                false => others.extend(row.reports(*fingerprint, now)),
            }
        }
        let options = self.options;
        others.retain(|one| one.age >= options.gossip_delay && one.age < options.gossip_ttl);
        let half = options.gossip_limit / 2;
        let refused_room = options.gossip_limit - others.len().min(half);
        let mut news = take_round_robin(refused, refused_room, &mut self.refused_turn);
        let other_room = options.gossip_limit - news.len();
        news.extend(take_round_robin(others, other_room, &mut self.other_turn));
        news
    }

    /// Returns what is known of one fingerprint.
    pub fn reports_for(
        &self,
        fingerprint: RequestFingerprint,
        now: TimePoint,
    ) -> Vec<SuspectReport> {
        let row = self.rows.get(&fingerprint).into_iter();
        row.flat_map(|row| row.reports(fingerprint, now)).collect()
    }

    /// Decides whether a request may run beside those that run already.
    pub fn admit(
        &self,
        fingerprint: RequestFingerprint,
        running: &[RequestFingerprint],
    ) -> Result<(), CallRefusal> {
        let Some(row) = self.rows.get(&fingerprint) else {
            return Ok(());
        };
        if self.is_quarantined(fingerprint) {
            return Err(CallRefusal::permanent(ResultCode::RequestQuarantined));
        }
        let suspects = running.iter().filter(|beside| self.is_suspect(**beside));
        let most = row
            .crashes
            .keys()
            .map(|run| self.max_concurrent_suspects(&run.backend));
        match most.min() {
            Some(most) if suspects.count() >= most => {
                let refusal = CallRefusal::retryable(ResultCode::BackendBusy, RETRY_AFTER);
                Err(refusal)
            }
            _ => Ok(()),
        }
    }

    /// Forgets what is too long ago.
    pub fn tick(&mut self, now: TimePoint) {
        let options = self.options;
        for row in self.rows.values_mut() {
            let remember = match row.crashes.len() >= options.crash_limit {
                true => options.quarantine_ttl,
                false => options.suspicion_ttl,
            };
            row.crashes
                .retain(|_, crash| now.since(crash.last) < remember);
            row.completed = row
                .completed
                .filter(|at| now.since(*at) < options.suspicion_ttl);
        }
        self.rows.retain(|_, row| row.last_change().is_some());
    }

    fn is_suspect(&self, fingerprint: RequestFingerprint) -> bool {
        let row = self.rows.get(&fingerprint);
        row.is_some_and(|row| !row.crashes.is_empty())
    }

    /// Returns how many of those that ran on `backend` may run together again.
    ///
    /// Few are kept wholly apart; of many, some run together, so that an
    /// ordinary crash does not hold up all that ran on the backend server.
    fn max_concurrent_suspects(&self, backend: &BackendId) -> usize {
        let rows = self.rows.values();
        let together = rows.filter(|row| row.crashes.keys().any(|run| run.backend == *backend));
        let together = together.count();
        (together / self.options.isolation_divisor).max(1)
    }

    fn note(
        &mut self,
        now: TimePoint,
        fingerprint: RequestFingerprint,
        crashed: Option<BackendRun>,
        at: TimePoint,
    ) {
        let row = self.rows.entry(fingerprint).or_default();
        row.note(crashed, at);
        if self.rows.len() > self.options.max_fingerprints {
            self.tick(now);
            self.drop_oldest();
        }
    }

    /// Drops the row that changed longest ago; refused fingerprints go last.
    fn drop_oldest(&mut self) {
        if self.rows.len() <= self.options.max_fingerprints {
            return;
        }
        let limit = self.options.crash_limit;
        let oldest = self.rows.iter().min_by_key(|(_, row)| {
            let refused = row.crashes.len() >= limit;
            (refused, row.last_change())
        });
        if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.rows.remove(&fingerprint);
        }
    }
}

/// Returns up to `room` of the news, going on where the last turn ended. Each pass begins a
/// little later, so that several peers who take turns do not always get the same part.
fn take_round_robin(news: Vec<SuspectReport>, room: usize, turn: &mut usize) -> Vec<SuspectReport> {
    if news.len() <= room {
        return news;
    }
    let count = news.len();
    let first = *turn % count;
    let next = first + room;
    *turn = match next < count {
        true => next,
        false => next - count + room / 2 + 1,
    };
    news.into_iter().cycle().skip(first).take(room).collect()
}
