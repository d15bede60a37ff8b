//! A fleet of entries and engines in virtual time, whose entries track crashes by request and by prompt
//! part.

use std::collections::BTreeMap;

use applefold_core::claim::RequestFingerprint;
use applefold_core::direct::AttemptEnd;
use applefold_core::id::BackendId;
use applefold_core::quarantine::{
    BackendRun, CrashOptions, CrashTracker, LifeReport, LifeSigns, ListProof, PartTracker, RunFate,
    RunListing, SuspectReport,
};
use applefold_core::unit::{TimePoint, TimeSpan};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

const TICK: TimeSpan = TimeSpan::from_millis(10);
/// How long a fleet is played, in ticks, and when the trouble begins and ends.
const PLAY_TICKS: u64 = 1_200;
const TROUBLE_TICKS: std::ops::Range<u64> = 200..600;
/// The requests per second and engine.
const ENGINE_RATE: f64 = 6.0;
/// The shared parts at the start of a prompt, and those behind it per engine.
const FIRST_PARTS: usize = 160;
const FREQUENT_FIRST_PARTS: usize = 3;
const OWN_PARTS_PER_ENGINE: usize = 22;
/// The share of requests whose prompt begins with one of few parts.
const FREQUENT_SHARE: f64 = 0.25;
/// The share of engines that lose answers, and the share of their answers that they lose.
const RESET_ENGINES: f64 = 0.6;
const RESET_SHARE: f64 = 0.4;
/// The crashes per second that no request causes.
const ORDINARY_CRASHES: f64 = 0.3;
/// The requests per second with the crashing part.
const CRASHING_RATE: f64 = 3.0;
/// How long a crashed engine is down.
const DOWNTIME: TimeSpan = TimeSpan::from_millis(2_500);
/// How often engines write their registrations, after how long without a write these expire, and how long
/// after a change entries learn of it.
const HEARTBEAT: TimeSpan = TimeSpan::from_millis(1_200);
const REGISTRATION_TTL: TimeSpan = TimeSpan::from_millis(3_600);
const LIST_DELAY: TimeSpan = TimeSpan::from_millis(400);
/// The start time of an engine that has not crashed yet, in milliseconds.
const FIRST_START_MS: u64 = 1_000_000;
/// The most signs of life in a datagram.
const SIGN_LIMIT: usize = 16;
/// The share of datagrams that is lost.
const LOSS: f64 = 0.01;
/// The crash after which all entries have to know the part, and how long that may take.
const CRASHES_TO_LEARN: usize = 5;
const LEARN_TIME: TimeSpan = TimeSpan::from_secs(3);

/// How long engines that fail together are down, and within which time they fail.
const OUTAGE_TIME: TimeSpan = TimeSpan::from_millis(4_500);
const OUTAGE_SPREAD_TICKS: u64 = 120;
/// The share of requests that ask for one page, as a start page, without a prompt.
const PAGE_SHARE: f64 = 0.2;
/// The tick of the first crashing request, and of the others, each with a retry by the entry and one
/// by the caller.
const CRASHING_REQUEST_TICK: u64 = 450;
const CRASHING_REQUEST_PERIOD: u64 = 300;
/// The sound requests per second with the part that the crashing request has, once it has crashed
/// engines.
const RARE_RATE: f64 = 2.0;
/// How long an entry waits for an engine that sends nothing.
const SILENCE_LIMIT: TimeSpan = TimeSpan::from_millis(450);
/// How long after its third crash a crashing request may still be sent without limit.
const GRACE_TIME: TimeSpan = TimeSpan::from_secs(3);

/// The size of a fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetSize {
    pub(crate) entries: usize,
    pub(crate) engines: usize,
}

/// What goes wrong for four seconds or, with a crashing part, from then on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Trouble {
    /// Engines reset connections instead of answering.
    Resets,
    /// One part crashes each engine that begins to answer a prompt with it.
    CrashingPart,
    /// All engines crash shortly one after the other, and their connections are closed.
    Crashes,
    /// All engines fall silent shortly one after the other, and their connections stay.
    Silence,
    /// One request crashes each engine that runs it. Its prompt has a part that few others have.
    CrashingRequest,
}

/// What a request does to its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestKind {
    Sound,
    /// Sound, and shares the part of the crashing request.
    Rare,
    /// Crashes the engine by one of its parts.
    CrashingPart,
    /// Crashes the engine by itself.
    CrashingRequest,
}

impl RequestKind {
    fn is_crashing(self) -> bool {
        matches!(self, Self::CrashingPart | Self::CrashingRequest)
    }
}

/// What was seen in a play.
#[derive(Debug, Default)]
pub(crate) struct FleetOutcome {
    /// Sound requests, and those of them that were refused.
    pub(crate) sound: usize,
    pub(crate) refused: usize,
    /// Of these, requests that share a part with the crashing request.
    pub(crate) rare: usize,
    pub(crate) rare_refused: usize,
    /// Crashes by the part or the request, and requests that were sent late.
    pub(crate) crashes: usize,
    pub(crate) late: usize,
}

/// A request that waits for the first event of its answer.
#[derive(Clone)]
struct WaitingRequest {
    entry: usize,
    engine: usize,
    parts: Vec<RequestFingerprint>,
    fingerprint: RequestFingerprint,
    sent_at: TimePoint,
    begins_at: TimePoint,
    kind: RequestKind,
    attempt: u32,
}

/// What an entry believes.
struct EntryBelief {
    requests: CrashTracker,
    tracker: PartTracker,
    signs: LifeSigns,
}

/// What an entry sends in one round.
struct GossipRound {
    requests: Vec<SuspectReport>,
    suspects: Vec<SuspectReport>,
    signs: Vec<LifeReport>,
}

impl EntryBelief {
    fn new() -> Self {
        Self {
            requests: CrashTracker::new(CrashOptions::inferred()),
            tracker: PartTracker::default(),
            signs: LifeSigns::default(),
        }
    }

    fn refuses(&self, request: &WaitingRequest) -> bool {
        let explained = self.requests.quarantined_crashes();
        self.requests.is_quarantined(request.fingerprint)
            || self
                .tracker
                .blamed_part(&request.parts, &explained)
                .is_some()
    }

    fn note_end(
        &mut self,
        now: TimePoint,
        run: &BackendRun,
        request: &WaitingRequest,
        end: AttemptEnd,
    ) {
        if !end.is_crash_evidence() {
            return;
        }
        self.requests.note_crash(now, run, &[request.fingerprint]);
        self.tracker.note_crash(now, run, &request.parts);
        self.signs.note_suspicion(now, &run.backend, now);
    }

    fn note_answer(&mut self, now: TimePoint, request: &WaitingRequest, backend: &BackendId) {
        self.requests.note_completion(now, request.fingerprint);
        self.requests.note_answer(backend, request.sent_at);
        self.tracker.note_answer(now, &request.parts);
        self.tracker.note_response(backend, request.sent_at);
        self.signs.note_response(now, backend, request.sent_at);
    }

    fn next_round(&mut self, now: TimePoint) -> GossipRound {
        GossipRound {
            requests: self.requests.next_reports(now),
            suspects: self.tracker.next_reports(now),
            signs: self.signs.next_reports(now, SIGN_LIMIT),
        }
    }

    fn receive(&mut self, now: TimePoint, round: &GossipRound, list: &EngineList) {
        for report in &round.requests {
            if !self.is_disproved(now, report, list) {
                self.requests.merge_report(now, report.clone());
            }
        }
        for report in &round.suspects {
            if !self.is_disproved(now, report, list) {
                self.tracker.merge_report(now, report.clone());
            }
        }
        for report in &round.signs {
            let sent_at = self.signs.merge_report(now, report);
            self.requests.note_answer(&report.backend, sent_at);
            self.tracker.note_response(&report.backend, sent_at);
        }
    }

    fn is_disproved(&mut self, now: TimePoint, report: &SuspectReport, list: &EngineList) -> bool {
        let crashed_at = now - report.age;
        report.crashed.as_ref().is_some_and(|run| {
            self.signs.note_suspicion(now, &run.backend, crashed_at);
            self.signs.is_disproved(&run.backend, crashed_at)
                || list.fate(now, run, crashed_at) == RunFate::Running
        })
    }
}

/// The registration of one engine, and what it was before it changed last.
struct Registration {
    start_ms: u64,
    /// Since when it writes nothing, if it is down.
    silent_from: Option<TimePoint>,
    /// When it registered with this start time, and the one before.
    since: TimePoint,
    former_ms: u64,
}

/// The list of engines, as entries know it a little later.
struct EngineList(BTreeMap<BackendId, Registration>);

impl EngineList {
    fn fate(&self, now: TimePoint, run: &BackendRun, crashed_at: TimePoint) -> RunFate {
        let registration = &self.0[&run.backend];
        let confirmed_at = now - LIST_DELAY;
        let is_expired = |from: TimePoint| confirmed_at.since(from) >= REGISTRATION_TTL;
        let listing = match registration.silent_from {
            _ if registration.since > confirmed_at => RunListing::Listed(registration.former_ms),
            Some(from) if is_expired(from) => RunListing::Missing,
            _ => RunListing::Listed(registration.start_ms),
        };
        let proof = ListProof::new(Some(confirmed_at), Some(TimePoint::START), HEARTBEAT);
        proof.fate(run, listing, crashed_at)
    }

    /// Records that an engine writes nothing from now on.
    fn silence(&mut self, backend: &BackendId, now: TimePoint) {
        let registration = self.0.get_mut(backend).expect("a listed engine");
        registration.silent_from.get_or_insert(now);
    }

    /// Records that an engine registers again, with a new start time if its process has ended.
    fn register(&mut self, backend: &BackendId, start_ms: u64, now: TimePoint) {
        let registration = self.0.get_mut(backend).expect("a listed engine");
        registration.silent_from = None;
        if registration.start_ms != start_ms {
            registration.former_ms = registration.start_ms;
            registration.start_ms = start_ms;
            registration.since = now;
        }
    }
}

pub(crate) struct QuarantineFleet {
    size: FleetSize,
    rng: Pcg64,
    entries: Vec<EntryBelief>,
    backends: Vec<BackendId>,
    list: EngineList,
    down_until: Vec<TimePoint>,
    /// Whether an engine that is down has crashed.
    crashed: Vec<bool>,
    waiting: Vec<WaitingRequest>,
    /// Whether engines that are down keep their connections.
    silent: bool,
    last_request: u64,
    crash_times: Vec<TimePoint>,
    crashing_sends: Vec<TimePoint>,
    outcome: FleetOutcome,
}

impl QuarantineFleet {
    pub(crate) fn new(size: FleetSize, seed: u64) -> Self {
        let backends = (0..size.engines).map(|number| {
            let name = format!("engine-{number}");
            name.parse::<BackendId>().expect("a valid name")
        });
        let backends: Vec<BackendId> = backends.collect();
        let registrations = backends.iter().map(|backend| {
            let registration = Registration {
                start_ms: FIRST_START_MS,
                silent_from: None,
                since: TimePoint::START,
                former_ms: FIRST_START_MS,
            };
            (backend.clone(), registration)
        });
        Self {
            size,
            rng: Pcg64::seed_from_u64(seed),
            entries: (0..size.entries).map(|_| EntryBelief::new()).collect(),
            list: EngineList(registrations.collect()),
            backends,
            down_until: vec![TimePoint::START; size.engines],
            crashed: vec![false; size.engines],
            waiting: Vec::new(),
            silent: false,
            last_request: 0,
            crash_times: Vec::new(),
            crashing_sends: Vec::new(),
            outcome: FleetOutcome::default(),
        }
    }

    /// Plays the fleet to its end.
    pub(crate) fn play(mut self, trouble: Trouble) -> FleetOutcome {
        self.silent = trouble == Trouble::Silence;
        // Beyond 64 entries, gossip rounds become longer with their number.
        let gossip_ticks = 10 * self.size.entries.div_ceil(64) as u64;
        for tick in 0..PLAY_TICKS {
            let now = TimePoint::START + TimeSpan(TICK.0 * (tick + 1));
            self.register_engines(now);
            self.send_requests(now);
            match trouble {
                Trouble::CrashingPart if tick >= TROUBLE_TICKS.start => self.send_crashing(now),
                Trouble::CrashingRequest => self.send_crashing_request(tick, now),
                _ => {}
            }
            let resets = trouble == Trouble::Resets && TROUBLE_TICKS.contains(&tick);
            let failing = match trouble {
                Trouble::Crashes | Trouble::Silence => self.failing_engines(tick),
                _ => Vec::new(),
            };
            self.finish_requests(now, resets, failing);
            if tick % gossip_ticks == 0 {
                self.gossip(now);
            }
            if tick % 10 == 0 {
                self.expire(now);
            }
        }
        self.outcome.crashes = self.crash_times.len();
        let last_free = match trouble {
            Trouble::CrashingRequest => self.crash_times.get(2).map(|at| *at + GRACE_TIME),
            _ => {
                let fifth = self.crash_times.get(CRASHES_TO_LEARN - 1);
                fifth.map(|at| *at + LEARN_TIME)
            }
        };
        if let Some(limit) = last_free {
            let late = self.crashing_sends.iter().filter(|sent| **sent > limit);
            self.outcome.late = late.count();
        }
        self.outcome
    }

    /// Returns how many events of this rate happen in a tick.
    fn draw_count(&mut self, rate: f64) -> usize {
        let mean = rate * TICK.as_secs_f64();
        let whole = mean.floor();
        whole as usize + usize::from(self.rng.gen_bool(mean - whole))
    }

    fn send_requests(&mut self, now: TimePoint) {
        for _ in 0..self.draw_count(ENGINE_RATE * self.size.engines as f64) {
            if self.rng.gen_bool(PAGE_SHARE) {
                let page = RequestFingerprint(0);
                self.ask(now, Vec::new(), Some(page), RequestKind::Sound);
                continue;
            }
            let first = match self.rng.gen_bool(FREQUENT_SHARE) {
                true => self.rng.gen_range(0..FREQUENT_FIRST_PARTS),
                false => self.rng.gen_range(FREQUENT_FIRST_PARTS..FIRST_PARTS),
            };
            let own = self
                .rng
                .gen_range(0..OWN_PARTS_PER_ENGINE * self.size.engines);
            let parts = part_fingerprints(&[&format!("first-{first}"), &format!("own-{own}")]);
            self.ask(now, parts, None, RequestKind::Sound);
        }
    }

    fn send_crashing(&mut self, now: TimePoint) {
        for _ in 0..self.draw_count(CRASHING_RATE) {
            let parts = part_fingerprints(&["first-0", "bad"]);
            self.ask(now, parts, None, RequestKind::CrashingPart);
        }
    }

    fn send_crashing_request(&mut self, tick: u64, now: TimePoint) {
        let started = tick >= CRASHING_REQUEST_TICK;
        if tick >= CRASHING_REQUEST_TICK + CRASHING_REQUEST_PERIOD / 2 {
            for _ in 0..self.draw_count(RARE_RATE) {
                let parts = part_fingerprints(&["first-0", "rare"]);
                self.ask(now, parts, None, RequestKind::Rare);
            }
        }
        if started && (tick - CRASHING_REQUEST_TICK).is_multiple_of(CRASHING_REQUEST_PERIOD) {
            let parts = part_fingerprints(&["first-0", "rare"]);
            let request = RequestFingerprint(1);
            self.ask(now, parts, Some(request), RequestKind::CrashingRequest);
        }
    }

    /// Sends a new request; without a fingerprint it is like no other.
    fn ask(
        &mut self,
        now: TimePoint,
        parts: Vec<RequestFingerprint>,
        fingerprint: Option<RequestFingerprint>,
        kind: RequestKind,
    ) {
        self.last_request += 1;
        let request = WaitingRequest {
            entry: 0,
            engine: 0,
            parts,
            fingerprint: fingerprint.unwrap_or(RequestFingerprint(100 + self.last_request)),
            sent_at: now,
            begins_at: now,
            kind,
            attempt: 0,
        };
        self.send(now, request);
    }

    /// Sends a request by any entry to any engine, and counts whether it was refused.
    fn send(&mut self, now: TimePoint, mut request: WaitingRequest) {
        request.attempt += 1;
        request.entry = self.rng.gen_range(0..self.size.entries);
        let refused = self.entries[request.entry].refuses(&request);
        if !request.kind.is_crashing() {
            let rare = usize::from(request.kind == RequestKind::Rare);
            self.outcome.sound += 1;
            self.outcome.rare += rare;
            self.outcome.refused += usize::from(refused);
            self.outcome.rare_refused += rare * usize::from(refused);
        }
        if refused {
            return;
        }
        request.engine = self.rng.gen_range(0..self.size.engines);
        if request.kind.is_crashing() {
            self.crashing_sends.push(now);
        }
        let down = self.down_until[request.engine] > now;
        if down && !self.silent {
            return;
        }
        request.sent_at = now;
        request.begins_at = now + TimeSpan::from_millis(self.rng.gen_range(40..400));
        self.waiting.push(request);
    }

    /// Returns the engines that fail in this tick when all of them fail shortly one after the other.
    fn failing_engines(&self, tick: u64) -> Vec<usize> {
        let engines = 0..self.size.engines;
        let fails_at = |engine: &usize| {
            let share = *engine as u64 * OUTAGE_SPREAD_TICKS / self.size.engines as u64;
            TROUBLE_TICKS.start + share
        };
        engines.filter(|engine| fails_at(engine) == tick).collect()
    }

    /// Ends requests whose answer is due, or whose engine fails.
    fn finish_requests(&mut self, now: TimePoint, resets: bool, failing: Vec<usize>) {
        for engine in &failing {
            self.down_until[*engine] = now + OUTAGE_TIME;
            self.list.silence(&self.backends[*engine], now);
        }
        let mut crashed: Vec<usize> = (0..self.draw_count(ORDINARY_CRASHES))
            .map(|_| self.rng.gen_range(0..self.size.engines))
            .collect();
        let is_due = |request: &WaitingRequest| request.begins_at <= now;
        let crashing = self.waiting.iter();
        let crashing = crashing.filter(|request| request.kind.is_crashing());
        for request in crashing.filter(|request| is_due(request)) {
            if !crashed.contains(&request.engine) {
                crashed.push(request.engine);
                self.crash_times.push(now);
            }
        }
        if !self.silent {
            crashed.extend(failing.iter().copied());
        }
        let mut failed = Vec::new();
        let mut kept = Vec::new();
        for request in std::mem::take(&mut self.waiting) {
            let crash = crashed.contains(&request.engine);
            let mute = self.silent && self.down_until[request.engine] > now;
            if mute && !crash {
                match now.since(request.sent_at) >= SILENCE_LIMIT {
                    true => failed.push((request, AttemptEnd::Silent)),
                    false => kept.push(request),
                }
                continue;
            }
            if !crash && !is_due(&request) {
                kept.push(request);
                continue;
            }
            let losing = (request.engine as f64) < RESET_ENGINES * self.size.engines as f64;
            let lost = resets && losing && self.rng.gen_bool(RESET_SHARE);
            match crash || lost {
                true => failed.push((request, AttemptEnd::Broken)),
                false => {
                    let backend = &self.backends[request.engine];
                    self.entries[request.entry].note_answer(now, &request, backend);
                }
            }
        }
        self.waiting = kept;
        for (request, end) in failed {
            let run = BackendRun {
                backend: self.backends[request.engine].clone(),
                incarnation: self.list.0[&self.backends[request.engine]].start_ms,
            };
            self.entries[request.entry].note_end(now, &run, &request, end);
            let attempts = match request.kind {
                RequestKind::CrashingPart => 1,
                RequestKind::Sound | RequestKind::Rare => 2,
                RequestKind::CrashingRequest => 4,
            };
            if request.attempt < attempts {
                self.send(now, request);
            }
        }
        for engine in crashed {
            let downtime = match failing.contains(&engine) {
                true => OUTAGE_TIME,
                false => DOWNTIME,
            };
            self.down_until[engine] = self.down_until[engine].max(now + downtime);
            self.list.silence(&self.backends[engine], now);
            self.crashed[engine] = true;
        }
    }

    /// Registers the engines that are back.
    fn register_engines(&mut self, now: TimePoint) {
        for (engine, backend) in self.backends.iter().enumerate() {
            let is_down = self.list.0[backend].silent_from.is_some();
            if is_down && self.down_until[engine] <= now {
                let start_ms = match std::mem::take(&mut self.crashed[engine]) {
                    true => FIRST_START_MS + now.since(TimePoint::START).as_millis(),
                    false => self.list.0[backend].start_ms,
                };
                self.list.register(backend, start_ms, now);
            }
        }
    }

    fn expire(&mut self, now: TimePoint) {
        let list = &self.list;
        let fate = |run: &BackendRun, crashed_at| list.fate(now, run, crashed_at);
        for entry in &mut self.entries {
            entry.requests.settle(fate);
            entry.tracker.settle(fate);
            entry.requests.tick(now);
            entry.tracker.tick(now);
            entry.signs.tick(now);
        }
    }

    fn gossip(&mut self, now: TimePoint) {
        for sender in 0..self.size.entries {
            let round = self.entries[sender].next_round(now);
            for receiver in 0..self.size.entries {
                if receiver != sender && !self.rng.gen_bool(LOSS) {
                    self.entries[receiver].receive(now + TICK, &round, &self.list);
                }
            }
        }
    }
}

fn part_fingerprints(names: &[&str]) -> Vec<RequestFingerprint> {
    let names = names.iter();
    names
        .map(|name| RequestFingerprint::of_prompt_part(name))
        .collect()
}
