//! Usage reports of the answers of a run, by two processes that hold a lease in turn.

mod naive;
mod platform;
mod sealed;

use applefold_core::id::{InstanceId, ServiceId, WindowId};
use applefold_core::unit::{TimePoint, TimeSpan, TokenCount};
use applefold_core::usage::{MeterName, UsageAggregator, UsageKey, UsageMeter, UsageTotals};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

use self::naive::NaiveReporter;
use self::platform::BillingPlatform;
use self::sealed::SealedReporter;
use crate::control::OutageSpan;
use crate::engine::EngineIndex;
use crate::fault::FaultKind;
use crate::mechanism::Mechanism;
use crate::member::{engine_id, named, team_id};
use crate::workload::exponential;
use crate::world::World;

const WINDOW: TimeSpan = TimeSpan::from_secs(60);
/// Windows are counted from the epoch; the run begins with this one.
const FIRST_WINDOW: WindowId = WindowId(1_000_000);
const STEP: TimeSpan = TimeSpan::from_millis(200);
const STEPS_PER_FLUSH: u64 = 5;
const PAUSE_EVERY_SECS: f64 = 300.0;
const PAUSE: TimeSpan = TimeSpan::from_secs(20);
/// Reports may come for this long after the last answer.
const AFTERMATH: TimeSpan = TimeSpan::from_secs(180);
const PROCESSES: usize = 2;

/// What the platform has seen of reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub(crate) struct ReportScore {
    pub(crate) reports: u64,
    pub(crate) late: u64,
    pub(crate) differing: u64,
    /// Requests that were answered and never billed, or billed twice.
    pub(crate) miscounted: u64,
}

/// How a process reports.
enum ReportProcess {
    Sealed(Box<SealedReporter>),
    Naive(NaiveReporter),
}

impl ReportProcess {
    fn new(sealed: bool, index: usize) -> Self {
        match sealed {
            true => Self::Sealed(Box::new(SealedReporter::new(index))),
            false => Self::Naive(NaiveReporter::new(index)),
        }
    }

    fn step(
        &mut self,
        now: TimePoint,
        platform: &mut BillingPlatform,
        keepers: &mut [UsageAggregator],
    ) {
        match self {
            Self::Sealed(reporter) => reporter.step(now, platform, keepers),
            Self::Naive(reporter) => reporter.step(now, platform, keepers),
        }
    }
}

/// The last window that has ended.
fn ended_window(now: TimePoint) -> WindowId {
    WindowId(window_of(now).0 - 1)
}

fn window_of(at: TimePoint) -> WindowId {
    WindowId(FIRST_WINDOW.0 + at.0 / WINDOW.0)
}

fn keeper_id(index: usize) -> InstanceId {
    named(&format!("entry-{index}"))
}

/// One answer to be billed.
struct BilledAnswer {
    at: TimePoint,
    engine: EngineIndex,
    key: UsageKey,
    totals: UsageTotals,
}

/// Plays the reporting of a run that has ended.
pub(crate) fn play(world: &World<'_>) -> ReportScore {
    let answers = billed_answers(world);
    let mut rng = Pcg64Mcg::seed_from_u64(world.plan.seed.wrapping_mul(13).wrapping_add(1));
    let end = TimePoint::START + world.plan.span + AFTERMATH;
    let pauses: Vec<Vec<TimePoint>> = (0..PROCESSES).map(|_| pauses(&mut rng, end)).collect();
    let mut platform = BillingPlatform::new(outages(world), rng);
    let mut meters: Vec<UsageMeter> = (0..world.engines.len())
        .map(|engine| UsageMeter::new(MeterName::new(&named(engine_id(engine).as_str()), 1)))
        .collect();
    let mut keepers = vec![UsageAggregator::new(); PROCESSES];
    let sealed = world.has(Mechanism::Retry);
    let mut processes: Vec<ReportProcess> = (0..PROCESSES)
        .map(|index| ReportProcess::new(sealed, index))
        .collect();
    let mut next = 0;
    for step in 0..end.0 / STEP.0 {
        let now = TimePoint(step * STEP.0);
        platform.set_time(now);
        while let Some(answer) = answers.get(next).filter(|answer| answer.at <= now) {
            meters[answer.engine].add(answer.key.clone(), answer.totals);
            next += 1;
        }
        for (index, process) in processes.iter_mut().enumerate() {
            let paused = |start: &TimePoint| *start <= now && now < *start + PAUSE;
            if pauses[index].iter().any(paused) {
                continue;
            }
            flush(&mut meters, step, index, &mut keepers[index]);
            process.step(now, &mut platform, &mut keepers);
        }
    }
    let due = answers.len() as u64;
    platform.score(due)
}

fn billed_answers(world: &World<'_>) -> Vec<BilledAnswer> {
    let service: ServiceId = named("assistant");
    let rows = world.rows.iter().enumerate();
    let ended = rows.filter_map(|(request, row)| Some((request, row.ended?)));
    let mut answers: Vec<BilledAnswer> = ended
        .map(|(request, ended)| {
            let offered = world.offered(request);
            BilledAnswer {
                at: ended.at,
                engine: ended.engine,
                key: UsageKey {
                    window: window_of(ended.at),
                    team: team_id(offered.team),
                    service: service.clone(),
                },
                totals: UsageTotals {
                    prompt_tokens: TokenCount(offered.prompt),
                    answer_tokens: TokenCount(offered.answer),
                    requests: 1,
                },
            }
        })
        .collect();
    answers.sort_by_key(|answer| answer.at);
    answers
}

fn outages(world: &World<'_>) -> Vec<OutageSpan> {
    let faults = world.plan.faults.iter();
    let spans = faults.filter_map(|fault| match fault.kind {
        FaultKind::Outage { until } => Some(OutageSpan {
            since: fault.at,
            until,
        }),
        _ => None,
    });
    spans.collect()
}

fn pauses(rng: &mut Pcg64Mcg, end: TimePoint) -> Vec<TimePoint> {
    let mut pauses = Vec::new();
    let mut at = TimePoint::START + TimeSpan::from_secs_f64(exponential(rng, PAUSE_EVERY_SECS));
    while at < end {
        pauses.push(at);
        at = at + PAUSE + TimeSpan::from_secs_f64(exponential(rng, PAUSE_EVERY_SECS));
    }
    pauses
}

/// Each meter sends once a second, at a moment of its own.
fn flush(meters: &mut [UsageMeter], step: u64, keeper: usize, kept: &mut UsageAggregator) {
    let id = keeper_id(keeper);
    let first = (step % STEPS_PER_FLUSH) as usize;
    for meter in meters
        .iter_mut()
        .skip(first)
        .step_by(STEPS_PER_FLUSH as usize)
    {
        let (batch, mark) = meter.batch_for(&id);
        if !batch.figures.is_empty() {
            kept.merge(batch);
            meter.acknowledge(&id, mark);
        }
    }
}

/// Tells whether the platform loses an answer.
fn loses(rng: &mut Pcg64Mcg) -> bool {
    const LOST_SHARE: f64 = 0.05;
    rng.gen_bool(LOST_SHARE)
}
