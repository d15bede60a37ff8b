//! A fleet of entries and engines in virtual time, whose entries track crashes by prompt part.

use applefold_core::claim::RequestFingerprint;
use applefold_core::id::BackendId;
use applefold_core::quarantine::{BackendRun, LifeReport, LifeSigns, PartTracker, SuspectReport};
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
/// The most signs of life in a datagram.
const SIGN_LIMIT: usize = 16;
/// The share of datagrams that is lost.
const LOSS: f64 = 0.01;
/// The crash after which all entries have to know the part, and how long that may take.
const CRASHES_TO_LEARN: usize = 5;
const LEARN_TIME: TimeSpan = TimeSpan::from_secs(3);

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
}

/// What was seen in a play.
#[derive(Debug, Default)]
pub(crate) struct FleetOutcome {
    /// Sound requests, and those of them that were refused.
    pub(crate) sound: usize,
    pub(crate) refused: usize,
    /// Crashes by the part, and requests with it that were sent late.
    pub(crate) crashes: usize,
    pub(crate) late: usize,
}

/// A request that waits for the first event of its answer.
#[derive(Clone)]
struct WaitingRequest {
    entry: usize,
    engine: usize,
    parts: Vec<RequestFingerprint>,
    sent_at: TimePoint,
    begins_at: TimePoint,
    crashing: bool,
    is_retry: bool,
}

/// What an entry believes.
#[derive(Default)]
struct EntryBelief {
    tracker: PartTracker,
    signs: LifeSigns,
}

/// What an entry sends in one round.
struct GossipRound {
    suspects: Vec<SuspectReport>,
    signs: Vec<LifeReport>,
}

impl EntryBelief {
    fn note_crash(&mut self, now: TimePoint, run: &BackendRun, parts: &[RequestFingerprint]) {
        self.tracker.note_crash(now, run, parts);
        self.signs.note_suspicion(now, &run.backend, now);
    }

    fn note_answer(&mut self, now: TimePoint, request: &WaitingRequest, backend: &BackendId) {
        self.tracker.note_answer(now, &request.parts);
        self.tracker.note_response(backend, request.sent_at);
        self.signs.note_response(now, backend, request.sent_at);
    }

    fn next_round(&mut self, now: TimePoint) -> GossipRound {
        GossipRound {
            suspects: self.tracker.next_reports(now),
            signs: self.signs.next_reports(now, SIGN_LIMIT),
        }
    }

    fn receive(&mut self, now: TimePoint, round: &GossipRound) {
        for report in &round.suspects {
            let crashed_at = now - report.age;
            if let Some(run) = &report.crashed {
                self.signs.note_suspicion(now, &run.backend, crashed_at);
                if self.signs.is_disproved(&run.backend, crashed_at) {
                    continue;
                }
            }
            self.tracker.merge_report(now, report.clone());
        }
        for report in &round.signs {
            let sent_at = self.signs.merge_report(now, report);
            self.tracker.note_response(&report.backend, sent_at);
        }
    }
}

pub(crate) struct QuarantineFleet {
    size: FleetSize,
    rng: Pcg64,
    entries: Vec<EntryBelief>,
    backends: Vec<BackendId>,
    incarnations: Vec<u64>,
    down_until: Vec<TimePoint>,
    waiting: Vec<WaitingRequest>,
    crash_times: Vec<TimePoint>,
    crashing_sends: Vec<TimePoint>,
    outcome: FleetOutcome,
}

impl QuarantineFleet {
    pub(crate) fn new(size: FleetSize, seed: u64) -> Self {
        let backends = (0..size.engines).map(|number| {
            let name = format!("engine-{number}");
            name.parse().expect("a valid name")
        });
        Self {
            size,
            rng: Pcg64::seed_from_u64(seed),
            entries: (0..size.entries).map(|_| EntryBelief::default()).collect(),
            backends: backends.collect(),
            incarnations: vec![1; size.engines],
            down_until: vec![TimePoint::START; size.engines],
            waiting: Vec::new(),
            crash_times: Vec::new(),
            crashing_sends: Vec::new(),
            outcome: FleetOutcome::default(),
        }
    }

    /// Plays the fleet to its end.
    pub(crate) fn play(mut self, trouble: Trouble) -> FleetOutcome {
        // Beyond 64 entries, gossip rounds become longer with their number.
        let gossip_ticks = 10 * self.size.entries.div_ceil(64) as u64;
        for tick in 0..PLAY_TICKS {
            let now = TimePoint::START + TimeSpan(TICK.0 * (tick + 1));
            self.send_requests(now);
            if trouble == Trouble::CrashingPart && tick >= TROUBLE_TICKS.start {
                self.send_crashing(now);
            }
            let resets = trouble == Trouble::Resets && TROUBLE_TICKS.contains(&tick);
            self.finish_requests(now, resets);
            if tick % gossip_ticks == 0 {
                self.gossip(now);
            }
        }
        self.outcome.crashes = self.crash_times.len();
        if let Some(fifth) = self.crash_times.get(CRASHES_TO_LEARN - 1) {
            let limit = *fifth + LEARN_TIME;
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
            let first = match self.rng.gen_bool(FREQUENT_SHARE) {
                true => self.rng.gen_range(0..FREQUENT_FIRST_PARTS),
                false => self.rng.gen_range(FREQUENT_FIRST_PARTS..FIRST_PARTS),
            };
            let own = self
                .rng
                .gen_range(0..OWN_PARTS_PER_ENGINE * self.size.engines);
            let names = [format!("first-{first}"), format!("own-{own}")];
            self.outcome.sound += 1;
            if !self.send(now, &names, false, false) {
                self.outcome.refused += 1;
            }
        }
    }

    fn send_crashing(&mut self, now: TimePoint) {
        for _ in 0..self.draw_count(CRASHING_RATE) {
            let names = ["first-0".to_owned(), "bad".to_owned()];
            if self.send(now, &names, true, false) {
                self.crashing_sends.push(now);
            }
        }
    }

    fn send(&mut self, now: TimePoint, names: &[String], crashing: bool, is_retry: bool) -> bool {
        let parts = names
            .iter()
            .map(|name| RequestFingerprint::of_prompt_part(name));
        self.send_parts(now, parts.collect(), crashing, is_retry)
    }

    /// Sends a request by any entry; returns whether it was not refused.
    fn send_parts(
        &mut self,
        now: TimePoint,
        parts: Vec<RequestFingerprint>,
        crashing: bool,
        is_retry: bool,
    ) -> bool {
        let entry = self.rng.gen_range(0..self.size.entries);
        if self.entries[entry].tracker.blamed_part(&parts).is_some() {
            return false;
        }
        let engine = self.rng.gen_range(0..self.size.engines);
        if self.down_until[engine] > now {
            return true;
        }
        let begins_at = now + TimeSpan::from_millis(self.rng.gen_range(40..400));
        self.waiting.push(WaitingRequest {
            entry,
            engine,
            parts,
            sent_at: now,
            begins_at,
            crashing,
            is_retry,
        });
        true
    }

    /// Ends requests whose answer is due, or whose engine crashes.
    fn finish_requests(&mut self, now: TimePoint, resets: bool) {
        let mut crashed: Vec<usize> = (0..self.draw_count(ORDINARY_CRASHES))
            .map(|_| self.rng.gen_range(0..self.size.engines))
            .collect();
        let is_due = |request: &WaitingRequest| request.begins_at <= now;
        let crashing = self.waiting.iter().filter(|request| request.crashing);
        for request in crashing.filter(|request| is_due(request)) {
            if !crashed.contains(&request.engine) {
                crashed.push(request.engine);
                self.crash_times.push(now);
            }
        }
        let mut broken = Vec::new();
        let mut kept = Vec::new();
        for request in std::mem::take(&mut self.waiting) {
            let crash = crashed.contains(&request.engine);
            if !crash && !is_due(&request) {
                kept.push(request);
                continue;
            }
            let losing = (request.engine as f64) < RESET_ENGINES * self.size.engines as f64;
            let lost = resets && losing && self.rng.gen_bool(RESET_SHARE);
            match crash || lost {
                true => broken.push(request),
                false => {
                    let backend = &self.backends[request.engine];
                    self.entries[request.entry].note_answer(now, &request, backend);
                }
            }
        }
        self.waiting = kept;
        for request in broken {
            let run = BackendRun {
                backend: self.backends[request.engine].clone(),
                incarnation: self.incarnations[request.engine],
            };
            self.entries[request.entry].note_crash(now, &run, &request.parts);
            if !request.is_retry && !request.crashing {
                self.outcome.sound += 1;
                let sent = self.send_parts(now, request.parts, false, true);
                self.outcome.refused += usize::from(!sent);
            }
        }
        for engine in crashed {
            self.down_until[engine] = now + DOWNTIME;
            self.incarnations[engine] += 1;
        }
    }

    fn gossip(&mut self, now: TimePoint) {
        for sender in 0..self.size.entries {
            let round = self.entries[sender].next_round(now);
            for receiver in 0..self.size.entries {
                if receiver != sender && !self.rng.gen_bool(LOSS) {
                    self.entries[receiver].receive(now + TICK, &round);
                }
            }
        }
    }
}
