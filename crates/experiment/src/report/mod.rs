//! Simulates the usage reports for the generations of a run.
//!
//! Two processes compete for the lease that lets one of them report to the platform.

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
/// Time step of the simulation.
const STEP: TimeSpan = TimeSpan::from_millis(200);
/// Each meter is flushed to a process once in this many steps.
const STEPS_PER_FLUSH: u64 = 5;
/// Mean time between two pauses of a process, in which it does nothing.
const MEAN_PAUSE_INTERVAL_SECS: f64 = 300.0;
/// Duration of a pause, in which a process neither receives usage nor reports.
const PAUSE: TimeSpan = TimeSpan::from_secs(20);
/// The simulation goes on for this long after the last arrival, so that reports can be completed.
const REPORT_GRACE: TimeSpan = TimeSpan::from_secs(180);
const PROCESSES: usize = 2;

/// Counts of the reports that the platform received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub(crate) struct ReportScore {
    /// Reports with distinct ids.
    pub(crate) reports: u64,
    /// Reports that were marked late or arrived after their deadline.
    pub(crate) late: u64,
    /// Repeated reports whose totals differ from the first one with the same id.
    pub(crate) differing: u64,
    /// Difference between the number of billed requests and the number of completed ones.
    pub(crate) miscounted: u64,
}

/// A process that reports usage, by one of the two compared methods.
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

    /// Runs the process for one step of the simulation.
    fn step(
        &mut self,
        now: TimePoint,
        platform: &mut BillingPlatform,
        aggregators: &mut [UsageAggregator],
    ) {
        match self {
            Self::Sealed(reporter) => reporter.step(now, platform, aggregators),
            Self::Naive(reporter) => reporter.step(now, platform, aggregators),
        }
    }
}

/// Returns the last window that has ended.
fn ended_window(now: TimePoint) -> WindowId {
    WindowId(window_of(now).0 - 1)
}

fn window_of(at: TimePoint) -> WindowId {
    WindowId(FIRST_WINDOW.0 + at.0 / WINDOW.0)
}

fn process_id(index: usize) -> InstanceId {
    named(&format!("entry-{index}"))
}

/// The usage of one completed request.
struct BilledRequest {
    at: TimePoint,
    engine: EngineIndex,
    key: UsageKey,
    totals: UsageTotals,
}

/// Simulates the usage reporting of a completed run and returns its score.
pub(crate) fn simulate(world: &World<'_>) -> ReportScore {
    let billed = billed_requests(world);
    let mut rng = Pcg64Mcg::seed_from_u64(world.plan.seed.wrapping_mul(13).wrapping_add(1));
    let end = TimePoint::START + world.plan.span + REPORT_GRACE;
    let pauses: Vec<Vec<TimePoint>> = (0..PROCESSES).map(|_| pauses(&mut rng, end)).collect();
    let mut platform = BillingPlatform::new(outages(world), rng);
    let mut meters: Vec<UsageMeter> = (0..world.engines.len())
        .map(|engine| UsageMeter::new(MeterName::new(&named(engine_id(engine).as_str()), 1)))
        .collect();
    let mut aggregators = vec![UsageAggregator::new(); PROCESSES];
    let sealed = world.has(Mechanism::Retry);
    let mut processes: Vec<ReportProcess> = (0..PROCESSES)
        .map(|index| ReportProcess::new(sealed, index))
        .collect();
    let mut next = 0;
    for step in 0..end.0 / STEP.0 {
        let now = TimePoint(step * STEP.0);
        platform.set_time(now);
        while let Some(request) = billed.get(next).filter(|request| request.at <= now) {
            meters[request.engine].add(request.key.clone(), request.totals);
            next += 1;
        }
        for (index, process) in processes.iter_mut().enumerate() {
            let paused = |start: &TimePoint| *start <= now && now < *start + PAUSE;
            if pauses[index].iter().any(paused) {
                continue;
            }
            flush(&mut meters, step, index, &mut aggregators[index]);
            process.step(now, &mut platform, &mut aggregators);
        }
    }
    let due = billed.len() as u64;
    platform.score(due)
}

fn billed_requests(world: &World<'_>) -> Vec<BilledRequest> {
    let service: ServiceId = named("assistant");
    let rows = world.rows.iter().enumerate();
    let ended = rows.filter_map(|(request, row)| Some((request, row.ended?)));
    let mut billed: Vec<BilledRequest> = ended
        .map(|(request, ended)| {
            let offered = world.offered(request);
            BilledRequest {
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
    billed.sort_by_key(|request| request.at);
    billed
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
    let mut at =
        TimePoint::START + TimeSpan::from_secs_f64(exponential(rng, MEAN_PAUSE_INTERVAL_SECS));
    while at < end {
        pauses.push(at);
        at = at + PAUSE + TimeSpan::from_secs_f64(exponential(rng, MEAN_PAUSE_INTERVAL_SECS));
    }
    pauses
}

/// Sends the usage of the meters that are due in this step to the aggregator of a process.
///
/// Each meter sends once a second, and the steps are spread over the meters.
fn flush(meters: &mut [UsageMeter], step: u64, process: usize, aggregator: &mut UsageAggregator) {
    let id = process_id(process);
    let first = (step % STEPS_PER_FLUSH) as usize;
    for meter in meters
        .iter_mut()
        .skip(first)
        .step_by(STEPS_PER_FLUSH as usize)
    {
        let (batch, position) = meter.batch_for(&id);
        if !batch.figures.is_empty() {
            aggregator.merge(batch);
            meter.acknowledge(&id, position);
        }
    }
}

/// Returns whether the response of the platform to a call is lost.
fn loses_response(rng: &mut Pcg64Mcg) -> bool {
    const LOSS_RATE: f64 = 0.05;
    rng.gen_bool(LOSS_RATE)
}
