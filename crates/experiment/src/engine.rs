//! A small fake of a model engine with its sidecar's queue.
//!
//! It answers what the decisions ask for: prompts in pieces at a shared rate,
//! answers in a batch whose step grows with its size, limited memory, a prefix
//! cache, role changes and crashes.

use applefold_core::fairness::{PrefillLoad, QueuedCall};
use applefold_core::id::BackendId;
use applefold_core::memory::{BlockCount, MemoryReservation, MemoryTracker};
use applefold_core::role::{EngineRole, EngineState};
use applefold_core::routing::LoadReport;
use applefold_core::unit::{TimePoint, TimeSpan, TokenCount, TokenRate};

use crate::prefix::PrefixCache;
use crate::queue::CallQueue;
use crate::workload::{BATCH_LIMIT, BLOCK_TOKENS, PREFILL_RATE, STEP_BASE, STEP_EACH};

const MEMORY_PIECES: u64 = 512;
/// Answers are counted in parts of a token, which float sums may miss by.
const TOKEN_SLACK: f64 = 1e-6;

/// Names the engine in its list.
pub(crate) type EngineIndex = usize;

/// A prompt that is being computed.
#[derive(Clone, Debug)]
pub(crate) struct PrefillJob {
    pub(crate) request: usize,
    pub(crate) urgent: bool,
    pub(crate) left: u64,
}

/// An answer that is being generated.
#[derive(Debug)]
pub(crate) struct AnswerRun {
    pub(crate) request: usize,
    pub(crate) left: f64,
    /// Released when the answer ends.
    pub(crate) _memory: MemoryReservation,
}

/// Where an engine stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EngineLife {
    /// It was ordered and starts.
    Starting,
    /// It runs.
    Up,
    /// It crashed and restarts.
    Down,
    /// It was released or withdrawn.
    Gone,
}

#[derive(Debug)]
pub(crate) struct FakeEngine {
    pub(crate) id: BackendId,
    pub(crate) domain: u32,
    pub(crate) life: EngineLife,
    pub(crate) role: Option<EngineRole>,
    pub(crate) state: EngineState,
    pub(crate) switching: bool,
    /// The platform is about to withdraw it.
    pub(crate) leaving: bool,
    pub(crate) paid_from: TimePoint,
    pub(crate) paid_until: Option<TimePoint>,
    /// Grows with each change that makes a planned event void.
    pub(crate) epoch: u64,
    /// The same for the planned end of the next answer.
    pub(crate) answer_epoch: u64,
    pub(crate) queue: CallQueue,
    pub(crate) current: Option<PrefillJob>,
    pub(crate) paused: Vec<PrefillJob>,
    pub(crate) cache: PrefixCache,
    pub(crate) cache_sequence: u64,
    pub(crate) answers: Vec<AnswerRun>,
    pub(crate) answer_queue: CallQueue,
    /// Its turn has come; it waits for memory.
    pub(crate) next_answer: Option<QueuedCall>,
    pub(crate) memory: MemoryTracker,
    pub(crate) advanced_at: TimePoint,
}

impl FakeEngine {
    pub(crate) fn new(
        id: BackendId,
        domain: u32,
        role: Option<EngineRole>,
        fair: bool,
        paid_from: TimePoint,
    ) -> Self {
        Self {
            id,
            domain,
            life: EngineLife::Up,
            role,
            state: EngineState::Serving,
            switching: false,
            leaving: false,
            paid_from,
            paid_until: None,
            epoch: 0,
            answer_epoch: 0,
            queue: CallQueue::new(fair),
            current: None,
            paused: Vec::new(),
            cache: PrefixCache::default(),
            cache_sequence: 0,
            answers: Vec::new(),
            answer_queue: CallQueue::new(fair),
            next_answer: None,
            memory: MemoryTracker::new(BlockCount(MEMORY_PIECES)),
            advanced_at: paid_from,
        }
    }

    pub(crate) fn is_up(&self) -> bool {
        self.life == EngineLife::Up
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.current.is_none()
            && self.paused.is_empty()
            && self.answers.is_empty()
            && self.queue.len() == 0
            && self.answer_queue.len() == 0
            && self.next_answer.is_none()
    }

    /// Time of one decode step at the present batch.
    pub(crate) fn step(&self) -> TimeSpan {
        STEP_BASE + TimeSpan(STEP_EACH.0 * self.answers.len() as u64)
    }

    /// Generates tokens up to `now`.
    pub(crate) fn advance(&mut self, now: TimePoint) {
        let steps = now.since(self.advanced_at).as_secs_f64() / self.step().as_secs_f64();
        for answer in &mut self.answers {
            answer.left -= steps;
        }
        self.advanced_at = now;
    }

    /// Takes out the answers that have ended.
    pub(crate) fn take_ended(&mut self) -> Vec<usize> {
        let mut ended = Vec::new();
        self.answers.retain(|answer| {
            let done = answer.left <= TOKEN_SLACK;
            if done {
                ended.push(answer.request);
            }
            !done
        });
        ended
    }

    /// When the next answer ends, if nothing changes.
    pub(crate) fn next_end(&self) -> Option<TimePoint> {
        let least = self.answers.iter().map(|answer| answer.left);
        let steps = least.reduce(f64::min)?;
        let secs = steps.max(0.0) * self.step().as_secs_f64();
        Some(self.advanced_at + TimeSpan::from_secs_f64(secs) + TimeSpan(1))
    }

    pub(crate) fn has_slot(&self) -> bool {
        self.answers.len() < BATCH_LIMIT
    }

    /// Prompt tokens that are begun and not computed.
    pub(crate) fn begun_tokens(&self) -> u64 {
        let paused: u64 = self.paused.iter().map(|job| job.left).sum();
        paused + self.current.as_ref().map_or(0, |job| job.left)
    }

    pub(crate) fn pace(&self) -> PrefillLoad {
        PrefillLoad {
            prefill_rate: TokenRate(PREFILL_RATE),
            in_flight: TokenCount(self.begun_tokens()),
        }
    }

    /// The length of the next piece of the current prompt.
    pub(crate) fn piece_span(&self) -> Option<TimeSpan> {
        let job = self.current.as_ref()?;
        let tokens = job.left.min(BLOCK_TOKENS);
        Some(TimeSpan::from_secs_f64(tokens as f64 / PREFILL_RATE as f64))
    }

    pub(crate) fn load(&self) -> LoadReport {
        let begun = usize::from(self.current.is_some()) + self.paused.len();
        let decode_rate = self.answers.len() as f64 / self.step().as_secs_f64();
        LoadReport {
            running: (begun + self.answers.len()) as u32,
            waiting: (self.queue.len() + self.answer_queue.len()) as u32,
            waiting_tokens: TokenCount(self.queue.tokens() + self.begun_tokens()),
            free_tokens: self.memory.free().tokens(),
            prefill_rate: TokenRate(PREFILL_RATE),
            decode_rate: TokenRate(decode_rate as u64),
        }
    }

    /// Tokens whose KV cache its running requests hold, or prompt tokens that wait.
    pub(crate) fn held_tokens(&self) -> TokenCount {
        let answers = self.memory.reserved().tokens().0;
        TokenCount(answers + self.queue.tokens() + self.begun_tokens())
    }
}
