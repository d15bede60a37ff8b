//! The continuous batch: admits waiting requests, and advances prefill and decode step by step.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;

use super::cache::{BlockHash, PrefixCache, BLOCK_TOKENS};
use super::generation::PromptHash;
use super::history::RequestState;

/// Largest share of a step that prefill takes while requests are decoding.
const PREFILL_SHARE: f64 = 0.5;

/// Progress of a request, sent from the batch to the handler that writes its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum JobEvent {
    /// The prompt is prefilled. Holds the number of its tokens that came from the cache.
    Prefilled(u64),
    /// The token at this position is generated.
    Token(u64),
    /// The response is complete.
    Done,
}

/// A request in the batch.
pub(crate) struct BatchJob {
    pub(crate) serial: u64,
    pub(crate) request_id: String,
    pub(crate) model: String,
    pub(crate) prompt: PromptHash,
    pub(crate) blocks: Vec<BlockHash>,
    pub(crate) prompt_tokens: u64,
    /// Position of the first token to generate; positive for a resumed response.
    pub(crate) start_index: u64,
    /// Position after the last token to generate.
    pub(crate) end_index: u64,
    pub(crate) priority: u8,
    /// Whether the prompt triggers the fault `crash_on`.
    pub(crate) crashes_engine: bool,
    pub(crate) events: UnboundedSender<JobEvent>,
}

impl BatchJob {
    fn reserved_tokens(&self) -> u64 {
        let tokens = self.prompt_tokens + self.end_index;
        tokens.div_ceil(BLOCK_TOKENS) * BLOCK_TOKENS
    }
}

struct RunningJob {
    job: BatchJob,
    /// Prompt tokens left to prefill.
    prefill_remaining: f64,
    cached_tokens: u64,
    prefilled: bool,
    /// Tokens that the decode rate has allowed and that are not generated yet.
    decode_credit: f64,
    /// Position of the next token to generate.
    next_index: u64,
}

impl RunningJob {
    fn sent_tokens(&self) -> u64 {
        self.next_index - self.job.start_index
    }

    fn is_done(&self) -> bool {
        self.prefilled && self.next_index >= self.job.end_index
    }
}

/// Rates of the engine in a step, in tokens per second.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StepRates {
    pub(crate) prefill: f64,
    pub(crate) decode: f64,
    pub(crate) stream: f64,
}

/// Progress of a request after a step.
pub(crate) struct JobProgress {
    pub(crate) serial: u64,
    pub(crate) state: RequestState,
    pub(crate) sent_tokens: u64,
}

/// Result of a step.
#[derive(Default)]
pub(crate) struct StepOutcome {
    pub(crate) progress: Vec<JobProgress>,
    pub(crate) crashed: bool,
    /// Whether a stream was aborted by the fault `cut_after_tokens`.
    pub(crate) stream_cut: bool,
}

/// Priority and serial number, by which waiting requests are admitted: the lowest first.
type QueueKey = (u8, u64);

/// The waiting and the running requests.
#[derive(Default)]
pub(crate) struct BatchQueue {
    waiting: BTreeMap<QueueKey, BatchJob>,
    running: BTreeMap<QueueKey, RunningJob>,
}

/// Limits on the running requests of the batch.
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

    /// Returns the number of prompt tokens that are not prefilled yet.
    pub(crate) fn waiting_tokens(&self) -> u64 {
        let waiting: u64 = self.waiting.values().map(|job| job.prompt_tokens).sum();
        let remaining: f64 = self
            .running
            .values()
            .map(|running_job| running_job.prefill_remaining)
            .sum();
        waiting + remaining.ceil() as u64
    }

    pub(crate) fn used_tokens(&self) -> u64 {
        self.running
            .values()
            .map(|running_job| running_job.job.reserved_tokens())
            .sum()
    }

    /// Drops every request. Their streams end without the event `Done`.
    pub(crate) fn clear(&mut self) {
        self.waiting.clear();
        self.running.clear();
    }

    /// Cancels the requests that `is_selected` matches, and returns their final progress.
    pub(crate) fn cancel<F>(&mut self, is_selected: F) -> Vec<JobProgress>
    where
        F: Fn(&BatchJob) -> bool,
    {
        let mut cancelled_jobs = Vec::new();
        self.waiting.retain(|_, job| {
            let is_kept = !is_selected(job);
            if !is_kept {
                cancelled_jobs.push(cancelled_progress(job, 0));
            }
            is_kept
        });
        self.running.retain(|_, running_job| {
            let is_kept = !is_selected(&running_job.job);
            if !is_kept {
                cancelled_jobs.push(cancelled_progress(
                    &running_job.job,
                    running_job.sent_tokens(),
                ));
            }
            is_kept
        });
        cancelled_jobs
    }

    /// Advances the batch by `elapsed`: drops requests whose caller disconnected, admits
    /// waiting requests, prefills and decodes.
    ///
    /// `cut_after` is the fault that aborts a stream after this many sent tokens.
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
        outcome.stream_cut = self.cut_stream(cut_after, &mut outcome.progress);
        self.record_progress(&mut outcome.progress);
        outcome
    }

    /// Starts waiting requests while memory and slots last. Returns true when the next one
    /// crashes the engine; that request stays in the queue.
    fn admit(&mut self, limits: BatchLimits, cache: &mut PrefixCache) -> bool {
        let mut used = self.used_tokens();
        while let Some(first) = self.waiting.first_entry() {
            let has_memory = used + first.get().reserved_tokens() <= limits.memory_tokens;
            if !has_memory || self.running.len() >= limits.max_running {
                return false;
            }
            let (key, job) = first.remove_entry();
            if job.crashes_engine {
                self.waiting.insert(key, job);
                return true;
            }
            used += job.reserved_tokens();
            let cached_tokens = cache.cached_tokens(job.prompt, &job.blocks);
            let running_job = RunningJob {
                prefill_remaining: job.prompt_tokens.saturating_sub(cached_tokens) as f64,
                cached_tokens,
                prefilled: false,
                decode_credit: 0.0,
                next_index: job.start_index,
                job,
            };
            self.running.insert(key, running_job);
        }
        false
    }

    /// Returns the share of a step that prefill may take.
    fn prefill_share(&self) -> f64 {
        let is_decoding = self
            .running
            .values()
            .any(|running_job| running_job.prefilled);
        match is_decoding {
            true => PREFILL_SHARE,
            false => 1.0,
        }
    }

    /// Prefills prompts for at most `secs` seconds, and returns the seconds used.
    fn prefill(&mut self, secs: f64, rate: f64, cache: &mut PrefixCache) -> f64 {
        let mut prefilled_tokens = 0.0;
        for running_job in self
            .running
            .values_mut()
            .filter(|running_job| !running_job.prefilled)
        {
            let amount = running_job
                .prefill_remaining
                .min(rate * secs - prefilled_tokens);
            running_job.prefill_remaining -= amount;
            prefilled_tokens += amount;
            if running_job.prefill_remaining > 0.0 {
                break;
            }
            running_job.prefilled = true;
            let job = &running_job.job;
            cache.store(job.prompt, job.prompt_tokens, &job.blocks, Instant::now());
            send(job, JobEvent::Prefilled(running_job.cached_tokens));
        }
        prefilled_tokens / rate
    }

    fn decode(&mut self, budget: f64, stream_budget: f64, stream_limit: u64) {
        let decoding = self
            .running
            .values()
            .filter(|running_job| running_job.prefilled)
            .count();
        let share = (budget / decoding.max(1) as f64).min(stream_budget);
        for running_job in self
            .running
            .values_mut()
            .filter(|running_job| running_job.prefilled)
        {
            running_job.decode_credit += share;
            let end = running_job
                .job
                .start_index
                .saturating_add(stream_limit)
                .min(running_job.job.end_index);
            while running_job.decode_credit >= 1.0 && running_job.next_index < end {
                running_job.decode_credit -= 1.0;
                send(&running_job.job, JobEvent::Token(running_job.next_index));
                running_job.next_index += 1;
            }
        }
    }

    fn cut_stream(&mut self, cut_after: Option<u64>, progress: &mut Vec<JobProgress>) -> bool {
        let Some(limit) = cut_after else {
            return false;
        };
        let found = self
            .running
            .iter()
            .find(|(_, running_job)| running_job.sent_tokens() >= limit);
        let Some(key) = found.map(|(key, _)| *key) else {
            return false;
        };
        if let Some(running_job) = self.running.remove(&key) {
            progress.push(cancelled_progress(
                &running_job.job,
                running_job.sent_tokens(),
            ));
        }
        true
    }

    fn record_progress(&mut self, progress: &mut Vec<JobProgress>) {
        let mut done = BTreeSet::new();
        for (key, running_job) in &self.running {
            let state = match running_job.is_done() {
                true => RequestState::Done,
                false => RequestState::Running,
            };
            if running_job.is_done() {
                send(&running_job.job, JobEvent::Done);
                done.insert(*key);
            }
            progress.push(JobProgress {
                serial: running_job.job.serial,
                state,
                sent_tokens: running_job.sent_tokens(),
            });
        }
        self.running.retain(|key, _| !done.contains(key));
    }
}

fn send(job: &BatchJob, event: JobEvent) {
    // A disconnected caller is detected at the next step, by its closed channel.
    let _ = job.events.send(event);
}

fn cancelled_progress(job: &BatchJob, sent_tokens: u64) -> JobProgress {
    JobProgress {
        serial: job.serial,
        state: RequestState::Cancelled,
        sent_tokens,
    }
}
