//! Suspicions that are settled by registrations, where little is sent.
//!
//! With a request every second or two nobody speaks to an engine shortly after its connection broke, so
//! that lost answers and crashes look alike. Played in virtual time at 6 and at 103 entries.

use applefold_core::claim::RequestFingerprint;
use applefold_core::id::BackendId;
use applefold_core::quarantine::{
    BackendRun, CrashOptions, CrashTracker, ExplainedCrashes, ListProof, PartTracker, RunFate,
    RunListing, SuspectReport,
};
use applefold_core::unit::{TimePoint, TimeSpan};

const SIZES: [usize; 2] = [6, 103];
const ENGINES: usize = 8;
const TICK: TimeSpan = TimeSpan::from_millis(100);
const HEARTBEAT: TimeSpan = TimeSpan::from_millis(1_200);
/// How long the registration of an engine outlives it, and how long after a change entries learn of it.
const REGISTRATION_TTL: TimeSpan = TimeSpan::from_millis(3_600);
const LIST_DELAY: TimeSpan = TimeSpan::from_millis(400);
const FIRST_START_MS: u64 = 1_000_000;
/// How long a crashed engine is down. It comes back under its name.
const DOWNTIME: TimeSpan = TimeSpan::from_millis(2_500);
/// When the first request breaks its connection, the pause between requests, and how many break.
const FIRST_BREAK_MS: u64 = 10_000;
const REQUEST_PERIOD_MS: u64 = 1_500;
const BREAKS: usize = 3;
const PLAY_MS: u64 = 32_000;
/// The period of gossip between entries, of which the large fleet has longer rounds.
const GOSSIP_MS: u64 = 400;
/// How long after the third crash a request may be sent without limit, and how often after that.
const CONTACT_TIME: TimeSpan = TimeSpan::from_secs(3);
const LATE_SENDS: usize = 3;
/// How long after the last break, or the return of the store, a sound request may still be refused.
const MAX_HOLD: TimeSpan = TimeSpan::from_secs(6);

/// What breaks the connections of three requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
    /// Their answers are lost.
    LostAnswers,
    /// Each engine that begins to run one ends.
    Crashes,
}

/// What the requests have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Subject {
    /// They repeat one request, as a polled path.
    Request,
    /// They share a part of their prompts.
    Part,
}

#[derive(Clone, Copy, Debug)]
struct Scenario {
    entries: usize,
    cause: Cause,
    subject: Subject,
    /// Whether all breaks come from one engine.
    one_engine: bool,
    /// When the store is down, in milliseconds.
    outage_ms: Option<(u64, u64)>,
    /// When all entries are killed and start again with what is stored.
    kill_ms: Option<u64>,
}

struct Entry {
    requests: CrashTracker,
    parts: PartTracker,
    started_at: TimePoint,
}

impl Entry {
    fn new(started_at: TimePoint) -> Self {
        Self {
            requests: CrashTracker::new(CrashOptions::inferred()),
            parts: PartTracker::default(),
            started_at,
        }
    }

    fn is_refused(&self, subject: Subject) -> bool {
        match subject {
            Subject::Request => self.requests.is_quarantined(FINGERPRINT),
            Subject::Part => {
                let explained = ExplainedCrashes::default();
                self.parts.blamed_part(&[FINGERPRINT], &explained).is_some()
            }
        }
    }

    fn is_final(&self, subject: Subject) -> bool {
        self.is_refused(subject)
            && match subject {
                Subject::Request => self.requests.is_settled(FINGERPRINT),
                Subject::Part => self.parts.is_settled(FINGERPRINT),
            }
    }

    fn reports(&mut self, subject: Subject, now: TimePoint) -> Vec<SuspectReport> {
        match subject {
            Subject::Request => self.requests.next_reports(now),
            Subject::Part => self.parts.next_reports(now),
        }
    }

    fn merge(&mut self, subject: Subject, report: SuspectReport, now: TimePoint) {
        match subject {
            Subject::Request => self.requests.merge_report(now, report),
            Subject::Part => self.parts.merge_report(now, report),
        };
    }
}

const FINGERPRINT: RequestFingerprint = RequestFingerprint(7);

#[derive(Clone, Copy)]
struct Engine {
    start_ms: u64,
    crashed_at: Option<TimePoint>,
}

struct Play {
    scenario: Scenario,
    now: TimePoint,
    entries: Vec<Entry>,
    engines: [Engine; ENGINES],
    /// The registrations as the entries know them, and when the store confirmed them.
    listed: [RunListing; ENGINES],
    confirmed_at: TimePoint,
    available_since: TimePoint,
    names: Vec<BackendId>,
    broken_at: Vec<TimePoint>,
    stored: Vec<SuspectReport>,
    stored_at: TimePoint,
}

/// What callers met.
#[derive(Debug, Default)]
struct Outcome {
    sends: Vec<TimePoint>,
    refusals: Vec<TimePoint>,
    final_refusals: usize,
    last_break: Option<TimePoint>,
}

fn backend(engine: usize) -> BackendId {
    format!("engine-{engine}").parse().expect("a valid name")
}

fn at_ms(millis: u64) -> TimePoint {
    TimePoint::START + TimeSpan::from_millis(millis)
}

impl Play {
    fn new(scenario: Scenario) -> Self {
        let engine = Engine {
            start_ms: FIRST_START_MS,
            crashed_at: None,
        };
        let entries = (0..scenario.entries).map(|_| Entry::new(TimePoint::START));
        Self {
            scenario,
            now: TimePoint::START,
            entries: entries.collect(),
            engines: [engine; ENGINES],
            listed: [RunListing::Listed(FIRST_START_MS); ENGINES],
            confirmed_at: TimePoint::START,
            available_since: TimePoint::START,
            names: (0..ENGINES).map(backend).collect(),
            broken_at: Vec::new(),
            stored: Vec::new(),
            stored_at: TimePoint::START,
        }
    }

    fn store_is_down(&self) -> bool {
        let (from, to) = self.scenario.outage_ms.unwrap_or_default();
        self.now >= at_ms(from) && self.now < at_ms(to)
    }

    /// Brings the entries' list up to date with the store, unless that is down.
    fn read_list(&mut self) {
        if self.store_is_down() {
            self.available_since = self.now + TICK;
            return;
        }
        let seen_at = self.now - LIST_DELAY;
        self.confirmed_at = seen_at;
        let since = self.available_since;
        for (listed, engine) in self.listed.iter_mut().zip(&self.engines) {
            // While the store was down, it kept registrations that were not written.
            let expires_at = |at: TimePoint| at.max(since) + REGISTRATION_TTL;
            *listed = match engine.crashed_at {
                Some(at) if seen_at >= expires_at(at) => RunListing::Missing,
                _ => RunListing::Listed(engine.start_ms),
            };
        }
    }

    /// Returns what an entry that started at `started_at` knows of a run.
    fn fate(&self, started_at: TimePoint, run: &BackendRun, crashed_at: TimePoint) -> RunFate {
        let engine = self.names.iter().position(|name| *name == run.backend);
        let listing = self.listed[engine.expect("a known engine")];
        let since = self.available_since.max(started_at);
        let available = (!self.store_is_down()).then_some(since);
        ListProof::new(Some(self.confirmed_at), available, HEARTBEAT).fate(run, listing, crashed_at)
    }

    fn step(&mut self) {
        for engine in &mut self.engines {
            if engine
                .crashed_at
                .is_some_and(|at| self.now >= at + DOWNTIME)
            {
                engine.crashed_at = None;
                engine.start_ms = FIRST_START_MS + self.now.since(TimePoint::START).as_millis();
            }
        }
        self.read_list();
        if self.scenario.kill_ms.map(at_ms) == Some(self.now) {
            let age = self.now.since(self.stored_at);
            for entry in &mut self.entries {
                *entry = Entry::new(self.now);
            }
            for at in 0..self.entries.len() {
                for mut report in self.stored.clone() {
                    report.age += age;
                    self.receive(at, report);
                }
            }
        }
        if self
            .now
            .since(TimePoint::START)
            .as_millis()
            .is_multiple_of(GOSSIP_MS)
        {
            self.gossip();
        }
        let mut entries = std::mem::take(&mut self.entries);
        for entry in &mut entries {
            let started_at = entry.started_at;
            let fate = |run: &BackendRun, crashed_at| self.fate(started_at, run, crashed_at);
            entry.requests.settle(fate);
            entry.parts.settle(fate);
            entry.requests.tick(self.now);
            entry.parts.tick(self.now);
        }
        self.entries = entries;
        let subject = self.scenario.subject;
        let holder = self.entries.iter().find(|entry| entry.is_refused(subject));
        let Some(holder) = holder else { return };
        self.stored = match subject {
            Subject::Request => holder.requests.reports_for(FINGERPRINT, self.now),
            Subject::Part => holder.parts.reports_for(FINGERPRINT, self.now),
        };
        self.stored_at = self.now;
    }

    fn receive(&mut self, at: usize, report: SuspectReport) {
        let crashed_at = self.now - report.age;
        let disproved = report.crashed.as_ref().is_some_and(|run| {
            let started_at = self.entries[at].started_at;
            self.fate(started_at, run, crashed_at) == RunFate::Running
        });
        if !disproved {
            let (subject, now) = (self.scenario.subject, self.now);
            self.entries[at].merge(subject, report, now);
        }
    }

    fn gossip(&mut self) {
        for sender in 0..self.entries.len() {
            let subject = self.scenario.subject;
            let reports = self.entries[sender].reports(subject, self.now);
            for report in reports {
                for receiver in (0..self.entries.len()).filter(|other| *other != sender) {
                    self.receive(receiver, report.clone());
                }
            }
        }
    }

    /// Sends a request by the next entry, unless that refuses it.
    fn send(&mut self, number: usize, outcome: &mut Outcome) {
        let at = number % self.entries.len();
        let subject = self.scenario.subject;
        if self.entries[at].is_refused(subject) {
            outcome.refusals.push(self.now);
            outcome.final_refusals += usize::from(self.entries[at].is_final(subject));
            return;
        }
        outcome.sends.push(self.now);
        let breaks = match self.scenario.cause {
            Cause::LostAnswers => self.broken_at.len() < BREAKS,
            Cause::Crashes => true,
        };
        if self.now < at_ms(FIRST_BREAK_MS) || !breaks {
            return;
        }
        let engine = match self.scenario.one_engine {
            true => 0,
            false => self.broken_at.len() % ENGINES,
        };
        if self.engines[engine].crashed_at.is_some() {
            return;
        }
        self.broken_at.push(self.now);
        let run = BackendRun {
            backend: backend(engine),
            incarnation: self.engines[engine].start_ms,
        };
        let entry = &mut self.entries[at];
        match subject {
            Subject::Request => entry.requests.note_crash(self.now, &run, &[FINGERPRINT]),
            Subject::Part => {
                entry.parts.note_crash(self.now, &run, &[FINGERPRINT]);
            }
        }
        if self.scenario.cause == Cause::Crashes {
            self.engines[engine].crashed_at = Some(self.now);
        }
    }

    fn run(mut self) -> Outcome {
        let mut outcome = Outcome::default();
        let mut number = 0;
        for millis in (0..PLAY_MS).step_by(TICK.as_millis() as usize) {
            self.now = at_ms(millis);
            self.step();
            if millis >= FIRST_BREAK_MS
                && (millis - FIRST_BREAK_MS).is_multiple_of(REQUEST_PERIOD_MS)
            {
                self.send(number, &mut outcome);
                number += 1;
            }
        }
        outcome.last_break = self.broken_at.get(BREAKS - 1).copied();
        outcome
    }
}

fn scenarios(cause: Cause) -> impl Iterator<Item = Scenario> {
    let subjects = [Subject::Request, Subject::Part];
    let troubles = [
        (None, None),
        (Some((13_000, 22_000)), None),
        (None, Some(13_200)),
    ];
    let sizes = SIZES.into_iter().flat_map(move |entries| {
        let subjects = subjects.into_iter();
        subjects.map(move |subject| (entries, subject))
    });
    let engines = sizes.flat_map(|size| [(size, true), (size, false)]);
    engines.flat_map(move |((entries, subject), one_engine)| {
        let troubles = troubles.into_iter();
        troubles.map(move |(outage_ms, kill_ms)| Scenario {
            entries,
            cause,
            subject,
            one_engine,
            outage_ms,
            kill_ms,
        })
    })
}

/// DENIED: three lost answers with little traffic have all requests of a kind refused for ten minutes.
#[test]
fn lost_answers_of_running_engines_refuse_nothing_for_good() {
    for scenario in scenarios(Cause::LostAnswers) {
        let outcome = Play::new(scenario).run();
        assert_eq!(outcome.final_refusals, 0, "{scenario:?}");
        let settled_from = outcome.last_break.expect("three breaks");
        let store_back = scenario.outage_ms.map_or(0, |(_, to)| to);
        let settled_by = settled_from.max(at_ms(store_back)) + MAX_HOLD;
        let late = outcome.refusals.iter().filter(|at| **at > settled_by);
        assert_eq!(late.count(), 0, "{scenario:?}");
        let held = outcome
            .refusals
            .iter()
            .filter(|at| **at > settled_from)
            .count();
        assert!(
            held > 0,
            "nothing was held while it was not known: {scenario:?}"
        );
    }
}

/// BUDGET, the other side: a request that crashes engines goes on being sent, as the evidence is settled late.
#[test]
fn crashes_are_refused_for_good_however_little_is_sent() {
    for scenario in scenarios(Cause::Crashes) {
        let outcome = Play::new(scenario).run();
        let third = outcome.last_break.expect("three crashes");
        let late = outcome
            .sends
            .iter()
            .filter(|at| **at > third + CONTACT_TIME);
        let late = late.count();
        assert!(late <= LATE_SENDS, "{late} late sends: {scenario:?}");
        assert!(outcome.final_refusals > 0, "{scenario:?}");
    }
}

/// What the list proves of a run with start time 100 that may have crashed at 10 s.
#[test]
fn a_registration_proves_no_more_than_it_can() {
    let (running, ended, unknown) = (RunFate::Running, RunFate::Ended, RunFate::Unknown);
    let listed = RunListing::Listed;
    let cases = [
        (
            "fresh and long after",
            listed(100),
            100,
            14_300,
            Some(0),
            running,
        ),
        (
            "its registration may outlive it",
            listed(100),
            100,
            14_100,
            Some(0),
            unknown,
        ),
        (
            "the store was down meanwhile",
            listed(100),
            100,
            14_300,
            Some(11_000),
            unknown,
        ),
        (
            "the store has been back for long",
            listed(100),
            100,
            15_300,
            Some(11_000),
            running,
        ),
        (
            "the store is not available",
            listed(100),
            100,
            14_300,
            None,
            unknown,
        ),
        (
            "a new start under its name",
            listed(9_000),
            100,
            10_400,
            None,
            ended,
        ),
        (
            "a second crash of one start",
            listed(100),
            101,
            14_300,
            Some(0),
            running,
        ),
        (
            "an incarnation that is not known",
            listed(100),
            0,
            60_000,
            Some(0),
            unknown,
        ),
        (
            "expired, perhaps by an outage",
            RunListing::Expired,
            100,
            60_000,
            Some(0),
            unknown,
        ),
        ("gone", RunListing::Missing, 100, 13_700, Some(0), ended),
        (
            "not on an older list",
            RunListing::Missing,
            100,
            9_900,
            Some(0),
            unknown,
        ),
    ];
    for (name, listing, incarnation, confirmed_ms, since_ms, fate) in cases {
        let run = BackendRun {
            backend: backend(1),
            incarnation,
        };
        let proof = ListProof::new(Some(at_ms(confirmed_ms)), since_ms.map(at_ms), HEARTBEAT);
        assert_eq!(proof.fate(&run, listing, at_ms(10_000)), fate, "{name}");
    }
}
