//! The speed of engines: how long one takes to the first token of a prompt.
//!
//! The engines of a service that have the same role share a cost curve, which is learned from all of
//! them. Each engine has a factor to it. Entries exchange what they observe, so that an entry
//! knows an engine which it has hardly used. See
//! [docs/design/speed.md](../../../../docs/design/speed.md).

use crate::routing::BackendRole;
use crate::unit::{TimePoint, TimeSpan, TokenCount};

/// The smallest number of prompt tokens from which the factor of an engine is learned. With fewer, the
/// time to the first token depends more on its fixed part.
const MIN_FACTOR_TOKENS: TokenCount = TokenCount(512);
/// The time to a first token of an empty prompt, assumed before the first observation.
const DEFAULT_BASE_US: f64 = 40_000.0;
/// The longest fixed time to a first token that is learned.
const MAX_BASE: TimeSpan = TimeSpan::from_millis(300);
/// The time per prompt token, in microseconds, assumed for an engine that only runs prefills.
const DEFAULT_PREFILL_TOKEN_US: f64 = 1_000_000.0 / 60_000.0;
/// The same for an engine that runs prefills between decode steps.
const DEFAULT_MIXED_TOKEN_US: f64 = 1_000_000.0 / 20_000.0;
/// The most times above or below its default that the time per token is learned to be, and the most
/// times slower or faster than its service that one observation may show an engine to be.
const MAX_RATIO: f64 = 6.0;
/// The most times above or below the prediction that an observation counts for the curve, so that a
/// stalled engine does not slow the prediction for all others.
const MAX_CURVE_RATIO: f64 = 1.5;
/// The highest time per pair of tokens, in microseconds, that is learned, and the deviation from zero
/// that is as likely as not.
const MAX_PAIR_US: f64 = 0.002;
const DEFAULT_PAIR_DEVIATION_US: f64 = 0.000_3;
/// The weight that older observations of a curve keep with each new one.
const CURVE_RETENTION: f64 = 0.995;
/// The weight of the default in a curve, relative to an observation with an error of 100%.
const CURVE_PRIOR_WEIGHT: f64 = 0.2;
/// The weight of one prompt in the average time per token of queued prompts.
const QUEUED_GAIN: f64 = 1.0 / 32.0;
/// The weight of one observation in the short-term deviation of an engine.
const DEVIATION_GAIN: f64 = 1.0 / 8.0;
/// The time after which a deviation has halved without new observations. A stall mostly lasts a few
/// seconds, and refused requests bring no observations that would show its end.
const DEVIATION_HALF_LIFE: TimeSpan = TimeSpan::from_secs(1);
/// The number of observations that an engine's usual speed is learned from, and the number for which
/// the speed of its service counts in that.
const MAX_FACTOR_SAMPLES: u32 = 64;
const FACTOR_PRIOR_SAMPLES: u32 = 6;
/// The step towards an observation without a prior, as a logarithm. A stall of a few seconds should not
/// change what counts as usual.
const FACTOR_STEP: f64 = 0.4;
/// The time without observations after which an engine that is predicted to be slow gets a trial
/// request.
const TRIAL_INTERVAL: TimeSpan = TimeSpan::from_millis(500);

/// The prompt tokens of a request that an engine prefills.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PrefillWork {
    /// The tokens to prefill.
    pub uncached: TokenCount,
    /// The tokens before them that the engine has cached. Attention reads them, too.
    pub cached: TokenCount,
}

impl From<TokenCount> for PrefillWork {
    fn from(uncached: TokenCount) -> Self {
        let cached = TokenCount::ZERO;
        Self { uncached, cached }
    }
}

impl PrefillWork {
    /// Returns the number of pairs of tokens that attention computes.
    pub fn pairs(self) -> u64 {
        let (uncached, cached) = (self.uncached.0, self.cached.0);
        uncached.saturating_mul(cached.saturating_add(uncached / 2))
    }
}

/// A time to a first token, with the work that it took.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpeedObservation {
    /// The prompt tokens that the engine prefilled for the request, and for others before it.
    pub tokens: TokenCount,
    /// The pairs of tokens that attention computed for the request.
    pub pairs: u64,
    /// The time to the first token, without the slowdown that the engine reported for its machine.
    pub span: TimeSpan,
}

/// The number of coefficients of a [`SpeedCurve`].
const TERMS: usize = 4;

/// The time that the engines of a service with one role take to a first token: a fixed time, a fixed
/// time if they prefill anything, a time per prompt token, and a time per pair of tokens.
///
/// The coefficients are fitted by least squares of the relative errors, with exponential forgetting and
/// a default that counts like a few observations.
#[derive(Clone, Copy, Debug)]
pub(super) struct SpeedCurve {
    default: [f64; TERMS],
    coefficients: [f64; TERMS],
    /// The normal equations of the fit, relative to the default.
    matrix: [[f64; TERMS]; TERMS],
    target: [f64; TERMS],
    /// The time per token including the pairs, in the average prompt, in microseconds.
    queued_token_us: f64,
}

impl SpeedCurve {
    /// Returns the curve assumed before the first observation.
    pub(super) fn new(role: BackendRole) -> Self {
        let token_us = match role {
            BackendRole::Prefill => DEFAULT_PREFILL_TOKEN_US,
            BackendRole::Both | BackendRole::Decode | BackendRole::Plain => DEFAULT_MIXED_TOKEN_US,
        };
        let default = [DEFAULT_BASE_US, 0.0, token_us, 0.0];
        Self {
            default,
            coefficients: default,
            matrix: [[0.0; TERMS]; TERMS],
            target: [0.0; TERMS],
            queued_token_us: token_us,
        }
    }

    fn base_us(&self) -> f64 {
        self.coefficients[0]
    }

    /// Returns the time for this work, in microseconds, without the fixed time of all requests.
    fn work_us(&self, tokens: u64, pairs: u64) -> f64 {
        let terms = terms(tokens, pairs);
        let times = terms.iter().zip(self.coefficients).skip(1);
        times.map(|(term, time)| term * time).sum()
    }

    /// Returns the time for queued prompts whose context lengths are not known.
    fn queued_us(&self, tokens: u64) -> f64 {
        tokens as f64 * self.queued_token_us
    }

    /// Adds a first token that came after `span_us` at an engine of usual speed.
    fn record(&mut self, observation: &SpeedObservation, span_us: f64) {
        let (tokens, pairs) = (observation.tokens.0, observation.pairs);
        let work_us = self.work_us(tokens, pairs);
        let predicted = (self.base_us() + work_us).max(1.0);
        let span = span_us.clamp(predicted / MAX_CURVE_RATIO, predicted * MAX_CURVE_RATIO);
        let weight = 1.0 / (predicted * predicted);
        let terms = terms(tokens, pairs);
        let expected: f64 = terms
            .iter()
            .zip(self.default)
            .map(|(term, at)| term * at)
            .sum();
        for row in 0..TERMS {
            for column in 0..TERMS {
                let sum = &mut self.matrix[row][column];
                *sum = *sum * CURVE_RETENTION + terms[row] * terms[column] * weight;
            }
            let sum = &mut self.target[row];
            *sum = *sum * CURVE_RETENTION + terms[row] * (span - expected) * weight;
        }
        self.fit();
        if tokens > 0 {
            let token_us = (work_us - self.coefficients[1]).max(0.0) / tokens as f64;
            self.queued_token_us += (token_us - self.queued_token_us) * QUEUED_GAIN;
        }
    }

    /// Solves the normal equations, in which the default counts with its own precision.
    fn fit(&mut self) {
        let mut matrix = self.matrix;
        let [base_us, _, token_us, _] = self.default;
        let scales = [base_us, base_us, token_us, DEFAULT_PAIR_DEVIATION_US];
        for (index, scale) in scales.iter().enumerate() {
            matrix[index][index] += CURVE_PRIOR_WEIGHT / (scale * scale);
        }
        let shift = solve(matrix, self.target);
        let max_base = MAX_BASE.0 as f64;
        let highest = [max_base, max_base, token_us * MAX_RATIO, MAX_PAIR_US];
        let lowest = [0.0, 0.0, token_us / MAX_RATIO, 0.0];
        for index in 0..TERMS {
            let value = self.default[index] + shift[index];
            self.coefficients[index] = value.clamp(lowest[index], highest[index]);
        }
    }
}

/// Returns the factors of a curve's coefficients. Only a request that prefills tokens has pairs.
fn terms(tokens: u64, pairs: u64) -> [f64; TERMS] {
    [
        1.0,
        f64::from(u8::from(pairs > 0)),
        tokens as f64,
        pairs as f64,
    ]
}

/// Solves a system of equations with a positive definite matrix, by elimination.
fn solve(mut matrix: [[f64; TERMS]; TERMS], mut target: [f64; TERMS]) -> [f64; TERMS] {
    for pivot in 0..TERMS {
        let (pivot_row, pivot_target) = (matrix[pivot], target[pivot]);
        for row in pivot + 1..TERMS {
            let share = matrix[row][pivot] / pivot_row[pivot];
            for (value, above) in matrix[row].iter_mut().zip(pivot_row) {
                *value -= share * above;
            }
            target[row] -= share * pivot_target;
        }
    }
    let mut solution = [0.0; TERMS];
    for row in (0..TERMS).rev() {
        let known: f64 = (row + 1..TERMS)
            .map(|column| matrix[row][column] * solution[column])
            .sum();
        solution[row] = (target[row] - known) / matrix[row][row];
    }
    solution
}

/// The usual logarithm of an engine's factor: the median of the observed ones, tracked by steps that
/// become smaller with their number.
///
/// A slow observation often shows a queue that the entry did not know of. With the mean, all entries
/// avoided engines that were only busy, and then sent to the others all at once.
#[derive(Clone, Copy, Debug)]
struct UsualFactor {
    log: f64,
    count: u32,
}

impl UsualFactor {
    const UNKNOWN: Self = Self { log: 0.0, count: 0 };

    fn record(&mut self, log: f64) {
        let step = FACTOR_STEP / f64::from(self.count + FACTOR_PRIOR_SAMPLES);
        self.count = (self.count + 1).min(MAX_FACTOR_SAMPLES);
        self.log += step * (log - self.log).signum();
    }
}

/// Who has observed a first token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Observer {
    /// This entry.
    Own,
    /// Another entry, which has told this one. Such observations do not count for deviations: if all
    /// entries took the same engine for slow for a moment, they would all send to the same others.
    Peer,
}

/// A value that returns to zero while no samples come.
#[derive(Clone, Copy, Debug)]
struct Deviation {
    value: f64,
    updated_at: TimePoint,
}

impl Deviation {
    const NONE: Self = Self {
        value: 0.0,
        updated_at: TimePoint::START,
    };

    fn value(&self, now: TimePoint) -> f64 {
        self.value * retention(now.since(self.updated_at), DEVIATION_HALF_LIFE)
    }

    fn record(&mut self, sample: f64, now: TimePoint) {
        let before = self.value(now);
        self.value = before + (sample - before) * DEVIATION_GAIN;
        self.updated_at = now;
    }
}

/// The speed of one engine, relative to the curve of its service.
///
/// The usual speed changes slowly, since most differences between engines last. A deviation from
/// it is learned and forgotten within seconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct EngineSpeed {
    usual: UsualFactor,
    /// The deviation of the factor's logarithm.
    deviation: Deviation,
    /// The deviation of the fixed time, in microseconds.
    base_deviation: Deviation,
    observed_at: TimePoint,
}

impl EngineSpeed {
    pub(super) const UNKNOWN: Self = Self {
        usual: UsualFactor::UNKNOWN,
        deviation: Deviation::NONE,
        base_deviation: Deviation::NONE,
        observed_at: TimePoint::START,
    };

    /// Returns how many times longer than by its service's curve the engine usually takes.
    pub(super) fn usual_ratio(&self) -> f64 {
        self.usual.log.exp()
    }

    /// Returns how many times longer than by its service's curve the engine takes.
    fn factor(&self, now: TimePoint) -> f64 {
        let log = self.usual.log + self.deviation.value(now);
        log.clamp(-MAX_RATIO.ln(), MAX_RATIO.ln()).exp()
    }

    /// Returns the fixed time to a first token.
    pub(super) fn base(&self, curve: &SpeedCurve, now: TimePoint) -> TimeSpan {
        let base_us = curve.base_us() * self.factor(now) + self.base_deviation.value(now);
        TimeSpan(base_us.clamp(0.0, MAX_BASE.0 as f64) as u64)
    }

    /// Returns the time to prefill a prompt.
    pub(super) fn work_time(
        &self,
        curve: &SpeedCurve,
        work: PrefillWork,
        now: TimePoint,
    ) -> TimeSpan {
        let work_us = curve.work_us(work.uncached.0, work.pairs());
        TimeSpan((work_us * self.factor(now)) as u64)
    }

    /// Returns the time to prefill prompts of which only the length is known.
    pub(super) fn queued_time(
        &self,
        curve: &SpeedCurve,
        tokens: TokenCount,
        now: TimePoint,
    ) -> TimeSpan {
        TimeSpan((curve.queued_us(tokens.0) * self.factor(now)) as u64)
    }

    /// Updates the estimates, and the curve of the service, with a first token that has arrived.
    pub(super) fn record(
        &mut self,
        curve: &mut SpeedCurve,
        observation: &SpeedObservation,
        observer: Observer,
        now: TimePoint,
    ) {
        self.observed_at = now;
        let span_us = observation.span.0 as f64;
        if observation.tokens < MIN_FACTOR_TOKENS {
            if observer == Observer::Own {
                let work_us = curve.work_us(observation.tokens.0, observation.pairs);
                let predicted = (curve.base_us() + work_us) * self.factor(now);
                let span_us = span_us.min(MAX_BASE.0 as f64);
                self.base_deviation.record(span_us - predicted, now);
            }
            curve.record(observation, span_us);
            return;
        }
        let log = factor_log(curve, observation);
        if observer == Observer::Own {
            self.deviation.record(log - self.usual.log, now);
        }
        self.usual.record(log);
        // A stall of one engine says little about the others.
        curve.record(observation, span_us / self.deviation.value(now).exp());
    }

    /// Updates the deviation with a request that ended before its first token. The engine is at most
    /// as fast as if the token had arrived then, and nothing is known of its usual speed.
    pub(super) fn record_missing(
        &mut self,
        curve: &SpeedCurve,
        observation: &SpeedObservation,
        now: TimePoint,
    ) {
        if observation.tokens < MIN_FACTOR_TOKENS {
            return;
        }
        let log = factor_log(curve, observation);
        let deviation = log - self.usual.log;
        if deviation > self.deviation.value(now) {
            self.deviation.record(deviation, now);
        }
    }

    /// Returns whether the engine may get a trial request although it is predicted to be too slow:
    /// nothing has been heard of its speed lately, and it is usually not so slow.
    pub(super) fn is_trial_due(&self, now: TimePoint) -> bool {
        now.since(self.observed_at) >= TRIAL_INTERVAL && self.factor(now) > 1.0
    }
}

/// Returns the logarithm of the factor that an observation shows.
fn factor_log(curve: &SpeedCurve, observation: &SpeedObservation) -> f64 {
    let work_us = curve.work_us(observation.tokens.0, observation.pairs);
    let predicted = (curve.base_us() + work_us).max(1.0);
    let log = (observation.span.0.max(1) as f64 / predicted).ln();
    log.clamp(-MAX_RATIO.ln(), MAX_RATIO.ln())
}

/// Returns the share that is left after `span` of what halves in `half_life`.
fn retention(span: TimeSpan, half_life: TimeSpan) -> f64 {
    (-(span.0 as f64) / half_life.0 as f64).exp2()
}
