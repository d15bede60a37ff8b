//! Generates the phases and the arrivals of a run from its seed.

use applefold_core::unit::{TimePoint, TimeSpan};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::TEAM_SHARES;
use super::{OfferedRequest, PhaseSpan, RequestClass, Workload, DECODE_RATE, PREFILL_RATE};

const PHASE_SECS: std::ops::RangeInclusive<u64> = 120..=300;
/// Time in which the rates move linearly from those of the previous phase to the new ones.
const RAMP: TimeSpan = TimeSpan::from_secs(20);
/// Interval over which the arrival rate is taken as constant.
const SLOT: TimeSpan = TimeSpan::from_secs(1);
/// A phase change is a swing if it moves the best prefill/decode split by this many engines.
const SWING_ENGINES: f64 = 2.0;

/// Generates the phases of a run. It starts with phase 0, which has the lowest load.
pub(crate) fn schedule(workload: &Workload, seed: u64, span: TimeSpan) -> Vec<PhaseSpan> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut phases = Vec::new();
    let mut phase = 0;
    let mut start = TimePoint::START;
    let end_of_run = TimePoint::START + span;
    while start < end_of_run {
        let length = TimeSpan::from_secs(rng.gen_range(PHASE_SECS));
        let end = (start + length).min(end_of_run);
        phases.push(PhaseSpan { phase, start, end });
        let step = rng.gen_range(1..workload.phases.len());
        phase = (phase + step) % workload.phases.len();
        start = end;
    }
    phases
}

/// Counts the swings: phase changes that move the best prefill/decode split of a fleet at its
/// maximum size by [`SWING_ENGINES`] or more.
pub(crate) fn swings(workload: &Workload, phases: &[PhaseSpan]) -> u32 {
    let split = |span: &PhaseSpan| {
        let rates = workload.phases[span.phase].rates.iter();
        let classes = rates.zip(&workload.classes);
        let (mut prefill, mut decode) = (0.0, 0.0);
        for (rate, class) in classes {
            prefill += rate * class.prompt as f64 / PREFILL_RATE as f64;
            decode += rate * class.answer as f64 / DECODE_RATE as f64;
        }
        prefill / (prefill + decode) * f64::from(workload.engines)
    };
    let moved = |pair: &&[PhaseSpan]| (split(&pair[0]) - split(&pair[1])).abs() >= SWING_ENGINES;
    phases.windows(2).filter(moved).count() as u32
}

/// Generates all arrivals of a run, sorted by time.
pub(crate) fn arrivals(
    workload: &Workload,
    phases: &[PhaseSpan],
    seed: u64,
) -> Vec<OfferedRequest> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed.wrapping_mul(2).wrapping_add(1));
    let mut requests = Vec::new();
    for (index, span) in phases.iter().enumerate() {
        let before = phases[index.saturating_sub(1)].phase;
        let mut at = span.start;
        while at < span.end {
            for (class, spec) in workload.classes.iter().enumerate() {
                let old = workload.phases[before].rates[class];
                let new = workload.phases[span.phase].rates[class];
                let rate = ramped_rate(old, new, at.since(span.start));
                draw_slot(&mut rng, &mut requests, at, rate, class, spec);
            }
            at = at + SLOT;
        }
    }
    requests.sort_by_key(|request| request.at);
    requests
}

fn ramped_rate(old: f64, new: f64, elapsed: TimeSpan) -> f64 {
    let progress = (elapsed.as_secs_f64() / RAMP.as_secs_f64()).min(1.0);
    old + (new - old) * progress
}

fn draw_slot(
    rng: &mut Pcg64Mcg,
    requests: &mut Vec<OfferedRequest>,
    start: TimePoint,
    rate: f64,
    class: usize,
    spec: &RequestClass,
) {
    let mut offset = exponential(rng, 1.0 / rate);
    while offset < SLOT.as_secs_f64() {
        let at = start + TimeSpan::from_secs_f64(offset);
        requests.push(draw_request(rng, at, class, spec));
        offset += exponential(rng, 1.0 / rate);
    }
}

/// Returns an exponentially distributed number with the given mean.
pub(crate) fn exponential(rng: &mut Pcg64Mcg, mean: f64) -> f64 {
    -rng.gen_range(f64::MIN_POSITIVE..1.0_f64).ln() * mean
}

fn draw_request(
    rng: &mut Pcg64Mcg,
    at: TimePoint,
    class: usize,
    spec: &RequestClass,
) -> OfferedRequest {
    let team = draw_team(rng);
    let document = rng.gen_range(0..spec.documents.max(1));
    let has_prefix = spec.documents > 0;
    OfferedRequest {
        at,
        class,
        team,
        prompt: draw_length(rng, spec.prompt).max(spec.prefix_tokens),
        answer: draw_length(rng, spec.answer),
        document: has_prefix.then_some(document + spec.documents * team as u64),
    }
}

/// Returns a uniformly distributed number between half and one and a half times the mean.
fn draw_length(rng: &mut Pcg64Mcg, mean: u64) -> u64 {
    rng.gen_range(mean / 2..=mean + mean / 2)
}

fn draw_team(rng: &mut Pcg64Mcg) -> usize {
    let mut percent = rng.gen_range(0..100);
    for (team, share) in TEAM_SHARES.iter().enumerate() {
        if percent < *share {
            return team;
        }
        percent -= share;
    }
    0
}
