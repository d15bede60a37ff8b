//! A replay of entries and engines under too much load, in virtual time.
//!
//! Engines run the request with the lowest priority number first and preempt others. One token
//! stands for 6.25 of the first deployment of docs/PLAN.md, so that its engines (125 tokens/ms) run
//! at the rate that an entry assumes of an engine before it has measured one.

use std::collections::{BTreeMap, BTreeSet};

use applefold_core::direct::{
    CompetitionLedger, CompetitionOutcome, Competitor, CompetitorKind, FirstToken, FlightId,
    PlacementPolicy, PlacementRequest, PlacementStage, PromptPart, PromptShape, ServerTable,
    VersionBound,
};
use applefold_core::id::{InstanceId, TeamId};
use applefold_core::routing::BackendRole::Both;
use applefold_core::unit::{TimePoint, TimeSpan, TokenCount};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use smol_str::{format_smolstr, SmolStr};

use super::direct_support::{backend, domain, service, spec};

/// The tokens that an engine prefills in a millisecond.
const ENGINE_TOKENS_PER_MS: f64 = 20.0;
/// The time to a first token besides the prefill.
const BASE_MS: u64 = 40;
/// The time from the first token of a response to its end.
const DECODE_MS: u64 = 150;
/// The time limit of a request.
const TIMEOUT_MS: u64 = 8_000;
/// The time after which a caller that does not wait sends a refused request again.
const RETRY_MS: u64 = 5;
/// The interval of gossip with up to 64 entries; it doubles with up to 128.
const GOSSIP_MS: u64 = 50;

/// One type of requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestType {
    pub(crate) route: &'static str,
    pub(crate) urgency: u8,
    pub(crate) objective_ms: u64,
    /// Requests per second.
    pub(crate) rate: f64,
    /// The mean number of prompt tokens; lengths are exponentially distributed up to 8.3 times it.
    pub(crate) mean_tokens: f64,
}

/// The types of the first deployment, as (long prompts, chat, checks).
pub(crate) const TYPES: [RequestType; 3] = [
    RequestType {
        route: "long",
        urgency: 2,
        objective_ms: 1_000,
        rate: 40.0,
        mean_tokens: 6_610.0 / 6.25,
    },
    RequestType {
        route: "chat",
        urgency: 0,
        objective_ms: 250,
        rate: 98.0,
        mean_tokens: 628.0 / 6.25,
    },
    RequestType {
        route: "checks",
        urgency: 1,
        objective_ms: 300,
        rate: 78.0,
        mean_tokens: 1_800.0 / 6.25,
    },
];

/// The load of a replay.
pub(crate) struct PressureLoad {
    /// The entries.
    pub(crate) entries: usize,
    /// The engines; the rates of the types are for six of them.
    pub(crate) engines: usize,
    /// Returns the factor by which the rate of a type is higher at a time in milliseconds.
    pub(crate) factor: fn(usize, u64) -> f64,
    /// The share of the requests of one team; the others are of nine more teams.
    pub(crate) team_share: f64,
    /// How often a caller sends a refused request again at once.
    pub(crate) retries: u32,
    /// Whether the decision is switched on.
    pub(crate) decides: bool,
    /// How long requests come, in milliseconds.
    pub(crate) length_ms: u64,
    pub(crate) seed: u64,
}

/// How the requests of a kind ended.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct KindResult {
    pub(crate) offered: u64,
    pub(crate) served: u64,
    pub(crate) on_time: u64,
}

impl KindResult {
    pub(crate) fn served_share(&self) -> f64 {
        self.served as f64 / self.offered.max(1) as f64
    }

    pub(crate) fn on_time_share(&self) -> f64 {
        self.on_time as f64 / self.offered.max(1) as f64
    }
}

/// The figures of a replay.
#[derive(Debug, Default)]
pub(crate) struct PressureResult {
    /// By type.
    pub(crate) types: [KindResult; 3],
    /// By type and size tenth.
    pub(crate) tenths: [[KindResult; 10]; 3],
    /// By type and team.
    pub(crate) teams: [[KindResult; 10]; 3],
    /// How often each decision was taken.
    pub(crate) outcomes: BTreeMap<CompetitionOutcome, u64>,
    /// The number of refusals, with those of retries.
    pub(crate) refusals: u64,
}

impl PressureResult {
    pub(crate) fn all(&self) -> KindResult {
        let mut all = KindResult::default();
        for kind in &self.types {
            all.offered += kind.offered;
            all.served += kind.served;
            all.on_time += kind.on_time;
        }
        all
    }
}

/// A request that comes at an entry.
#[derive(Clone, Debug)]
struct Arrival {
    number: u64,
    kind: usize,
    team: usize,
    tokens: u64,
    tries: u32,
}

/// A request at an engine.
struct Job {
    arrival: Arrival,
    entry: usize,
    flight: FlightId,
    sent_ms: u64,
    first_sent_ms: u64,
    tokens_left: f64,
}

pub(crate) fn replay(load: &PressureLoad) -> PressureResult {
    let mut rng = Pcg64Mcg::seed_from_u64(load.seed);
    let policy = PlacementPolicy::default();
    let scale = load.engines as f64 / 6.0;
    let gossip_ms = GOSSIP_MS * load.entries.div_ceil(64) as u64;
    let mut tables = vec![ServerTable::default(); load.entries];
    for table in &mut tables {
        for number in 0..load.engines {
            let mut spec = spec(number, Both);
            spec.slots = 64;
            table.upsert(spec, TimePoint::START);
        }
    }
    let mut ledgers = vec![CompetitionLedger::default(); load.entries];
    let names = (0..load.entries).map(|number| format!("entry-{number}").parse());
    let names: Vec<InstanceId> = names.collect::<Result<_, _>>().unwrap();
    let teams = (0..10).map(|number| format!("team-{number}").parse());
    let teams: Vec<TeamId> = teams.collect::<Result<_, _>>().unwrap();
    let mut jobs: Vec<Vec<Job>> = (0..load.engines).map(|_| Vec::new()).collect();
    let mut starting: BTreeMap<u64, Vec<Job>> = BTreeMap::new();
    let mut ending: BTreeMap<u64, Vec<(usize, FlightId)>> = BTreeMap::new();
    let mut arrivals: BTreeMap<u64, Vec<(Arrival, u64)>> = BTreeMap::new();
    let mut result = PressureResult::default();
    let (service, domain) = (service(), domain());
    let mut number = 0;
    let mut tokens: Vec<Vec<FirstToken>> = vec![Vec::new(); load.entries];
    for ms in 1_000..1_000 + load.length_ms + TIMEOUT_MS {
        let now = TimePoint(ms * 1_000);
        // New requests, exponentially distributed in length.
        for (kind, request_type) in TYPES.iter().enumerate() {
            let since = ms - 1_000;
            if since >= load.length_ms {
                break;
            }
            let rate = request_type.rate * scale * (load.factor)(kind, since) / 1_000.0;
            let mut count = rate as u64;
            count += u64::from(rng.gen_bool(rate - count as f64));
            for _ in 0..count {
                number += 1;
                let team = match rng.gen_bool(load.team_share) {
                    true => 0,
                    false => rng.gen_range(1..10),
                };
                let length = -(1.0 - rng.gen::<f64>() * 0.99975).ln();
                let tokens = (length * request_type.mean_tokens) as u64 + 1;
                let arrival = Arrival {
                    number,
                    kind,
                    team,
                    tokens,
                    tries: 0,
                };
                arrivals.entry(ms).or_default().push((arrival, ms));
            }
        }
        // Engines work for a millisecond.
        for queue in &mut jobs {
            let mut budget = ENGINE_TOKENS_PER_MS;
            while budget > 0.0 {
                let next = queue
                    .iter_mut()
                    .enumerate()
                    .min_by_key(|(_, job)| (TYPES[job.arrival.kind].urgency, job.arrival.number));
                let Some((index, job)) = next else {
                    break;
                };
                let done = job.tokens_left.min(budget);
                job.tokens_left -= done;
                budget -= done;
                if job.tokens_left <= 0.0 {
                    let job = queue.swap_remove(index);
                    let at = ms.max(job.sent_ms) + BASE_MS;
                    starting.entry(at).or_default().push(job);
                }
            }
        }
        for job in starting.remove(&ms).unwrap_or_default() {
            tokens[job.entry].extend(tables[job.entry].first_token(job.flight, &[], now));
            ending
                .entry(ms + DECODE_MS)
                .or_default()
                .push((job.entry, job.flight));
            let Arrival {
                kind, team, tokens, ..
            } = job.arrival;
            let on_time = ms - job.first_sent_ms <= TYPES[kind].objective_ms;
            for ended in [
                &mut result.types[kind],
                &mut result.teams[kind][team],
                &mut result.tenths[kind][tenth(kind, tokens)],
            ] {
                ended.served += 1;
                ended.on_time += u64::from(on_time);
            }
        }
        for (entry, flight) in ending.remove(&ms).unwrap_or_default() {
            tables[entry].finish(flight, true, now);
        }
        // Each entry gossips once in each interval.
        for sender in 0..load.entries {
            if sender as u64 % gossip_ms != ms % gossip_ms {
                continue;
            }
            let loads = tables[sender].own_loads(now);
            let tokens = std::mem::take(&mut tokens[sender]);
            for (other, table) in tables.iter_mut().enumerate() {
                if other != sender {
                    table.record_peer_loads(&names[sender], &loads, now);
                    for token in &tokens {
                        table.record_peer_token(token.backend, &token.observation, now);
                    }
                }
            }
        }
        for (arrival, first_sent_ms) in arrivals.remove(&ms).unwrap_or_default() {
            let Arrival {
                number,
                kind,
                team,
                tokens,
                tries,
            } = arrival;
            if tries == 0 {
                result.types[kind].offered += 1;
                result.teams[kind][team].offered += 1;
                result.tenths[kind][tenth(kind, tokens)].offered += 1;
            }
            let request_type = &TYPES[kind];
            let entry = rng.gen_range(0..load.entries);
            let prompt = PromptShape {
                model: SmolStr::new("m"),
                prompt_tokens: TokenCount(tokens),
                answer_tokens: TokenCount(20),
                parts: vec![PromptPart {
                    name: format_smolstr!("own-{number}"),
                    tokens: TokenCount(tokens),
                }],
            };
            let kind_of_request = CompetitorKind {
                urgency: request_type.urgency,
                route: request_type.route,
                team: Some(&teams[team]),
            };
            let name = format!("r-{number}");
            let request = PlacementRequest {
                name: &name,
                service: &service,
                prompt: Some(&prompt),
                stage: PlacementStage::Unsplit,
                excluded: &BTreeSet::new(),
                versions: VersionBound::Any,
                time_left: TimeSpan::from_millis(TIMEOUT_MS),
                latency_objective: TimeSpan::from_millis(request_type.objective_ms),
                competitor: load.decides.then_some(Competitor {
                    kind: kind_of_request,
                    is_new: true,
                    ledger: &ledgers[entry],
                }),
            };
            let (placed, report) = policy.choose_reported(&tables[entry], &request, &domain, now);
            if let Some(report) = report {
                *result.outcomes.entry(report.outcome).or_default() += 1;
                ledgers[entry].record(&service, &kind_of_request, &report, now);
            }
            let Ok(placed) = placed else {
                result.refusals += 1;
                if tries < load.retries {
                    let again = Arrival {
                        tries: tries + 1,
                        ..arrival
                    };
                    arrivals
                        .entry(ms + RETRY_MS)
                        .or_default()
                        .push((again, first_sent_ms));
                }
                continue;
            };
            let table = &mut tables[entry];
            let flight = table.begin(&placed.backend, placed.uncached, now).unwrap();
            if let Some(class) = placed.class {
                table.classify(flight, class, now);
            }
            let engine = (0..load.engines)
                .find(|number| backend(*number) == placed.backend)
                .unwrap();
            jobs[engine].push(Job {
                arrival,
                entry,
                flight,
                sent_ms: ms,
                first_sent_ms,
                tokens_left: tokens as f64,
            });
        }
    }
    result
}

/// Returns the size tenth of a prompt of a type, by the distribution that it was drawn from.
fn tenth(kind: usize, tokens: u64) -> usize {
    let share = 1.0 - (-(tokens as f64) / TYPES[kind].mean_tokens).exp();
    ((share * 10.0) as usize).min(9)
}
