//! What to do when an attempt ends other than well.

use crate::code::{CallRefusal, ResultCode, RunState};
use crate::id::AttemptNumber;
use crate::unit::{TimePoint, TimeSpan, TokenCount};

/// How a request may be attempted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptOptions {
    /// Whether the route says that its calls may be run more than once.
    pub idempotent: bool,
    /// The most attempts.
    pub max_attempts: u64,
    /// The longest time without a byte or a sign of life.
    pub progress_timeout: TimeSpan,
}

impl AttemptOptions {
    /// Options for a route's calls.
    pub fn new(idempotent: bool) -> Self {
        Self {
            idempotent,
            max_attempts: 4,
            progress_timeout: TimeSpan::from_secs(10),
        }
    }
}

/// How far an answer has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseProgress {
    /// Whether the caller has all of it, though its end may not have come.
    pub complete: bool,
    /// Whether the caller has any of it.
    pub forwarded: bool,
    /// Whether another attempt can go on where the caller's part ends.
    pub resumable: bool,
    /// How many tokens the caller has.
    pub resume_tokens: TokenCount,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The answer is whole.
    Whole,
    /// No backend server has begun it, and none will.
    NotRun(CallRefusal),
    /// A backend server began it, and the answer is not whole.
    Broken,
    /// It may have been run; no answer came.
    Unknown,
    /// Nothing has come for the progress limit.
    Silent,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// The caller has the whole answer.
    Finish,
    /// Make another attempt, preferably on another backend server.
    Dispatch {
        /// How many tokens the caller already has.
        resume_tokens: TokenCount,
    },
    /// Tell the caller this.
    Refuse(CallRefusal),
}

/// Decides over the attempts of one request.
///
/// What may not be repeated is dispatched again only while every earlier
/// attempt has truly not been run.
#[derive(Debug)]
pub struct AttemptPlan {
    options: AttemptOptions,
    attempt: AttemptNumber,
    open: bool,
    last_progress: TimePoint,
    may_have_run: bool,
    has_run: bool,
}

impl AttemptPlan {
    /// A plan of which nothing is dispatched yet.
    pub fn new(options: AttemptOptions) -> Self {
        Self {
            options,
            attempt: AttemptNumber::default(),
            open: false,
            last_progress: TimePoint::START,
            may_have_run: false,
            has_run: false,
        }
    }

    /// Returns the number of the last attempt.
    pub fn attempt(&self) -> AttemptNumber {
        self.attempt
    }

    /// Returns the number for a new attempt, which is dispatched in this step.
    ///
    /// Returns nothing where no further attempt may be made.
    pub fn dispatch(&mut self, now: TimePoint) -> Option<AttemptNumber> {
        let spent = self.attempt.0 >= self.options.max_attempts;
        let forbidden = self.may_have_run && !self.options.idempotent;
        if self.open || spent || forbidden {
            return None;
        }
        self.attempt = self.attempt.next();
        self.open = true;
        self.last_progress = now;
        Some(self.attempt)
    }

    /// Notes that an attempt has given a sign of life.
    pub fn record_progress(&mut self, now: TimePoint, attempt: AttemptNumber) {
        if attempt == self.attempt {
            self.last_progress = now;
        }
    }

    /// Returns when the open attempt counts as silent.
    pub fn progress_deadline(&self) -> Option<TimePoint> {
        let at = self.last_progress + self.options.progress_timeout;
        self.open.then_some(at)
    }

    /// Ends the open attempt if nothing has come of it for too long.
    pub fn tick(&mut self, now: TimePoint, progress: ResponseProgress) -> Option<NextStep> {
        if now < self.progress_deadline()? {
            return None;
        }
        self.end(self.attempt, AttemptEnd::Silent, progress)
    }

    /// Decides what to do at the end of an attempt; ends of earlier ones are dropped.
    pub fn end(
        &mut self,
        attempt: AttemptNumber,
        end: AttemptEnd,
        progress: ResponseProgress,
    ) -> Option<NextStep> {
        if attempt != self.attempt || !self.open {
            return None;
        }
        self.open = false;
        Some(self.decide(end, progress))
    }

    fn decide(&mut self, end: AttemptEnd, progress: ResponseProgress) -> NextStep {
        if progress.complete {
            return NextStep::Finish;
        }
        let refusal = match end {
            AttemptEnd::Whole => return NextStep::Finish,
            AttemptEnd::NotRun(refusal) if refusal.code.run_state() == RunState::NotRun => {
                Some(refusal)
            }
            AttemptEnd::Broken => {
                self.has_run = true;
                None
            }
            AttemptEnd::NotRun(_) | AttemptEnd::Unknown | AttemptEnd::Silent => None,
        };
        self.may_have_run |= refusal.is_none();
        let allowed = self.options.idempotent || !self.may_have_run;
        let going = !progress.forwarded || progress.resumable;
        let everywhere = refusal.is_some_and(|refusal| !may_differ_elsewhere(refusal.code));
        if allowed && going && !everywhere && self.attempt.0 < self.options.max_attempts {
            let resume_tokens = progress.resume_tokens;
            return NextStep::Dispatch { resume_tokens };
        }
        NextStep::Refuse(self.final_refusal(refusal, progress))
    }

    /// Returns a refusal that is true of all attempts together.
    fn final_refusal(
        &self,
        refusal: Option<CallRefusal>,
        progress: ResponseProgress,
    ) -> CallRefusal {
        if progress.forwarded {
            return CallRefusal::permanent(ResultCode::AnswerBroken);
        }
        match refusal {
            Some(refusal) if !self.may_have_run => refusal,
            _ if self.has_run && self.options.idempotent => {
                CallRefusal::permanent(ResultCode::BackendFailed)
            }
            _ => CallRefusal::permanent(ResultCode::OutcomeUnknown),
        }
    }
}

/// Returns whether another backend server may take what one has refused.
const fn may_differ_elsewhere(code: ResultCode) -> bool {
    matches!(
        code,
        ResultCode::DeadlineHopeless
            | ResultCode::BackendMissing
            | ResultCode::InstanceDraining
            | ResultCode::ConfigUnconfirmed
            | ResultCode::BackendBusy
            | ResultCode::BackendMismatch
            | ResultCode::ServiceShutting
    )
}
