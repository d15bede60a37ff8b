//! The continuous batch: which requests run, and how far each gets in a step.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;

use super::answer::PromptHash;
use super::cache::{BlockHash, PrefixCache, PIECE_TOKENS};
use super::history::RequestState;

/// The part of the time that prefill takes while both phases have work.
const PREFILL_SHARE: f64 = 0.5;

/// What a running request tells the one who answers it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum JobEvent {
    /// The prompt is read, so many tokens of it from the cache.
    Prefilled(u64),
    /// The token at this position is made.
    Token(u64),
    /// The answer is whole.
    Done,
}

/// A request in the batch.
pub(crate) struct BatchJob {
    pub(crate) serial: u64,
    pub(crate) request_id: String,
    pub(crate) model: String,
    pub(crate) prompt: PromptHash,
    pub(crate) pieces: Vec<BlockHash>,
    pub(crate) prompt_tokens: u64,
    pub(crate) first: u64,
    pub(crate) end: u64,
    pub(crate) priority: u8,
    pub(crate) crashes: bool,
    pub(crate) events: UnboundedSender<JobEvent>,
}

impl BatchJob {
    fn memory(&self) -> u64 {
        let tokens = self.prompt_tokens + self.end;
        tokens.div_ceil(PIECE_TOKENS) * PIECE_TOKENS
    }
}

struct RunningJob {
    job: BatchJob,
    prefill_left: f64,
    cached: u64,
    prefilled: bool,
    credit: f64,
    next: u64,
}

impl RunningJob {
    fn sent(&self) -> u64 {
        self.next - self.job.first
    }

    fn is_done(&self) -> bool {
        self.prefilled && self.next >= self.job.end
    }
}

/// How fast the engine is in a step.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StepRates {
    pub(crate) prefill: f64,
    pub(crate) decode: f64,
    pub(crate) stream: f64,
}

/// How far a request has come.
pub(crate) struct JobProgress {
    pub(crate) serial: u64,
    pub(crate) state: RequestState,
    pub(crate) sent: u64,
}

/// What a step led to.
#[derive(Default)]
pub(crate) struct StepOutcome {
    pub(crate) progress: Vec<JobProgress>,
    pub(crate) crashed: bool,
    /// Whether the stream to be cut was met.
    pub(crate) cut: bool,
}

/// The order in which waiting requests are taken.
type WaitingKey = (u8, u64);

/// Requests that wait and run.
#[derive(Default)]
pub(crate) struct BatchQueue {
    waiting: BTreeMap<WaitingKey, BatchJob>,
    running: BTreeMap<WaitingKey, RunningJob>,
}

/// The limits that the batch keeps to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BatchLimits {
    pub(crate) memory_tokens: u64,
    pub(crate) max_running: usize,
}

impl BatchQueue {
    pub(crate) fn push(&mut self, job: BatchJob) {
        self.waiting.insert((job.priority, job.serial), job);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    pub(crate) fn running(&self) -> usize {
        self.running.len()
    }

    pub(crate) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Counts the prompt tokens that nobody has read yet.
    pub(crate) fn waiting_tokens(&self) -> u64 {
        let waiting: u64 = self.waiting.values().map(|job| job.prompt_tokens).sum();
        let begun: f64 = self.running.values().map(|row| row.prefill_left).sum();
        waiting + begun.ceil() as u64
    }

    pub(crate) fn used_tokens(&self) -> u64 {
        self.running.values().map(|row| row.job.memory()).sum()
    }

    /// Forgets every request; their streams end without an end mark.
    pub(crate) fn clear(&mut self) {
        self.waiting.clear();
        self.running.clear();
    }

    /// Ends the requests that `chosen` names.
    pub(crate) fn cancel<F>(&mut self, chosen: F) -> Vec<JobProgress>
    where
        F: Fn(&BatchJob) -> bool,
    {
        let mut ended = Vec::new();
        self.waiting.retain(|_, job| {
            let keep = !chosen(job);
            if !keep {
                ended.push(cancelled(job, 0));
            }
            keep
        });
        self.running.retain(|_, row| {
            let keep = !chosen(&row.job);
            if !keep {
                ended.push(cancelled(&row.job, row.sent()));
            }
            keep
        });
        ended
    }

    /// Moves the batch on by `elapsed`.
    pub(crate) fn step(
        &mut self,
        elapsed: Duration,
        rates: StepRates,
        limits: BatchLimits,
        cache: &mut PrefixCache,
        cut_after: Option<u64>,
    ) -> StepOutcome {
        let mut outcome = StepOutcome {
            progress: self.cancel(|job| job.events.is_closed()),
            ..StepOutcome::default()
        };
        outcome.crashed = self.admit(limits, cache);
        if outcome.crashed {
            return outcome;
        }
        let secs = elapsed.as_secs_f64();
        let prefill_secs = self.prefill(secs * self.prefill_share(), rates.prefill, cache);
        let decode_secs = secs - prefill_secs;
        let stream_limit = cut_after.unwrap_or(u64::MAX);
        self.decode(
            rates.decode * decode_secs,
            rates.stream * secs,
            stream_limit,
        );
        outcome.cut = self.cut(cut_after, &mut outcome.progress);
        self.report(&mut outcome.progress);
        outcome
    }

    fn admit(&mut self, limits: BatchLimits, cache: &mut PrefixCache) -> bool {
        let mut used = self.used_tokens();
        while let Some(first) = self.waiting.first_entry() {
            let fits = used + first.get().memory() <= limits.memory_tokens;
            if !fits || self.running.len() >= limits.max_running {
                return false;
            }
            let (key, job) = first.remove_entry();
            if job.crashes {
                self.waiting.insert(key, job);
                return true;
            }
            used += job.memory();
            let cached = cache.cached_tokens(job.prompt, &job.pieces);
            let row = RunningJob {
                prefill_left: job.prompt_tokens.saturating_sub(cached) as f64,
                cached,
                prefilled: false,
                credit: 0.0,
                next: job.first,
                job,
            };
            self.running.insert(key, row);
        }
        false
    }

    /// Returns the part of the time that prefill may take.
    fn prefill_share(&self) -> f64 {
        let has_decode = self.running.values().any(|row| row.prefilled);
        match has_decode {
            true => PREFILL_SHARE,
            false => 1.0,
        }
    }

    /// Reads prompts for at most `secs`, and returns the time that it took.
    fn prefill(&mut self, secs: f64, rate: f64, cache: &mut PrefixCache) -> f64 {
        let mut read = 0.0;
        for row in self.running.values_mut().filter(|row| !row.prefilled) {
            let part = row.prefill_left.min(rate * secs - read);
            row.prefill_left -= part;
            read += part;
            if row.prefill_left > 0.0 {
                break;
            }
            row.prefilled = true;
            let job = &row.job;
            cache.store(job.prompt, job.prompt_tokens, &job.pieces, Instant::now());
            send(job, JobEvent::Prefilled(row.cached));
        }
        read / rate
    }

    fn decode(&mut self, budget: f64, stream_budget: f64, stream_limit: u64) {
        let decoding = self.running.values().filter(|row| row.prefilled).count();
        let share = (budget / decoding.max(1) as f64).min(stream_budget);
        for row in self.running.values_mut().filter(|row| row.prefilled) {
            row.credit += share;
            let end = row.job.first.saturating_add(stream_limit).min(row.job.end);
            while row.credit >= 1.0 && row.next < end {
                row.credit -= 1.0;
                send(&row.job, JobEvent::Token(row.next));
                row.next += 1;
            }
        }
    }

    fn cut(&mut self, cut_after: Option<u64>, progress: &mut Vec<JobProgress>) -> bool {
        let Some(limit) = cut_after else {
            return false;
        };
        let reached = self.running.iter().find(|(_, row)| row.sent() >= limit);
        let Some(key) = reached.map(|(key, _)| *key) else {
            return false;
        };
        if let Some(row) = self.running.remove(&key) {
            progress.push(cancelled(&row.job, row.sent()));
        }
        true
    }

    fn report(&mut self, progress: &mut Vec<JobProgress>) {
        let mut done = BTreeSet::new();
        for (key, row) in &self.running {
            let state = match row.is_done() {
                true => RequestState::Done,
                false => RequestState::Running,
            };
            if row.is_done() {
                send(&row.job, JobEvent::Done);
                done.insert(*key);
            }
            progress.push(JobProgress {
                serial: row.job.serial,
                state,
                sent: row.sent(),
            });
        }
        self.running.retain(|key, _| !done.contains(key));
    }
}

fn send(job: &BatchJob, event: JobEvent) {
    // A caller that has gone is noticed at the next step.
    let _ = job.events.send(event);
}

fn cancelled(job: &BatchJob, sent: u64) -> JobProgress {
    JobProgress {
        serial: job.serial,
        state: RequestState::Cancelled,
        sent,
    }
}
