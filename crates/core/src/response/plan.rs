//! Decides what to do at the end of each attempt.

use crate::code::{CallRefusal, ResultCode, RunState};
use crate::id::AttemptNumber;
use crate::unit::{TimePoint, TimeSpan, TokenCount};

/// The limits of the attempts of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptOptions {
    /// Whether the route allows its requests to be run more than once.
    pub idempotent: bool,
    /// The maximum number of attempts.
    pub max_attempts: u64,
    /// The longest time without a byte or other progress before an attempt is given up.
    pub progress_timeout: TimeSpan,
}

impl AttemptOptions {
    /// Creates the default options for the requests of a route.
    pub fn new(idempotent: bool) -> Self {
        Self {
            idempotent,
            max_attempts: 4,
            progress_timeout: TimeSpan::from_secs(10),
        }
    }
}

/// How much of a response has been forwarded to the caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseProgress {
    /// Whether the caller has all of it, even if the end of the attempt is still missing.
    pub complete: bool,
    /// Whether the caller has any of it.
    pub forwarded: bool,
    /// Whether another attempt can continue where the forwarded part ends.
    pub resumable: bool,
    /// The number of tokens that the caller has received.
    pub resume_tokens: TokenCount,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The response is complete.
    Whole,
    /// The attempt was refused. The request was not run, unless the run state of the
    /// code says otherwise.
    NotRun(CallRefusal),
    /// A backend server started to run the request, and the response is incomplete.
    Broken,
    /// The request may have been run; no response was received.
    Unknown,
    /// Nothing was received for the progress timeout.
    Silent,
}

/// What to do after an attempt has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Finish: the caller has the complete response.
    Finish,
    /// Make another attempt, preferably on another backend server.
    Dispatch {
        /// The number of tokens that the caller already has.
        resume_tokens: TokenCount,
    },
    /// End the request with this refusal.
    Refuse(CallRefusal),
}

/// Decides on the attempts of one request.
///
/// A request that is not idempotent is dispatched again only if no earlier attempt
/// can have been run.
#[derive(Debug)]
pub struct AttemptPlan {
    options: AttemptOptions,
    attempt: AttemptNumber,
    in_progress: bool,
    last_progress: TimePoint,
    may_have_run: bool,
    has_run: bool,
}

impl AttemptPlan {
    /// Creates a plan without attempts.
    pub fn new(options: AttemptOptions) -> Self {
        Self {
            options,
            attempt: AttemptNumber::default(),
            in_progress: false,
            last_progress: TimePoint::START,
            may_have_run: false,
            has_run: false,
        }
    }

    /// Returns the number of the last attempt.
    pub fn attempt(&self) -> AttemptNumber {
        self.attempt
    }

    /// Starts a new attempt, which the caller must dispatch at once, and returns its number.
    ///
    /// Returns `None` if an attempt is in progress or no further attempt is allowed.
    pub fn dispatch(&mut self, now: TimePoint) -> Option<AttemptNumber> {
        let exhausted = self.attempt.0 >= self.options.max_attempts;
        let forbidden = self.may_have_run && !self.options.idempotent;
        if self.in_progress || exhausted || forbidden {
            return None;
        }
        self.attempt = self.attempt.next();
        self.in_progress = true;
        self.last_progress = now;
        Some(self.attempt)
    }

    /// Records that an attempt has made progress, which restarts its progress timeout.
    pub fn record_progress(&mut self, now: TimePoint, attempt: AttemptNumber) {
        if attempt == self.attempt {
            self.last_progress = now;
        }
    }

    /// Returns when the progress timeout of the current attempt expires.
    pub fn progress_deadline(&self) -> Option<TimePoint> {
        let at = self.last_progress + self.options.progress_timeout;
        self.in_progress.then_some(at)
    }

    /// Ends the current attempt if its progress timeout has expired.
    pub fn tick(&mut self, now: TimePoint, progress: ResponseProgress) -> Option<NextStep> {
        if now < self.progress_deadline()? {
            return None;
        }
        self.end(self.attempt, AttemptEnd::Silent, progress)
    }

    /// Decides what to do at the end of an attempt.
    ///
    /// Returns `None` if `attempt` is not in progress, so that late ends are ignored.
    pub fn end(
        &mut self,
        attempt: AttemptNumber,
        end: AttemptEnd,
        progress: ResponseProgress,
    ) -> Option<NextStep> {
        if attempt != self.attempt || !self.in_progress {
            return None;
        }
        self.in_progress = false;
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
        let can_continue = !progress.forwarded || progress.resumable;
        let refused_everywhere = refusal.is_some_and(|refusal| !is_backend_specific(refusal.code));
        if allowed
            && can_continue
            && !refused_everywhere
            && self.attempt.0 < self.options.max_attempts
        {
            let resume_tokens = progress.resume_tokens;
            return NextStep::Dispatch { resume_tokens };
        }
        NextStep::Refuse(self.final_refusal(refusal, progress))
    }

    /// Returns the refusal that holds for all attempts of the request together.
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

/// Returns whether another backend server may accept what one has refused with `code`.
const fn is_backend_specific(code: ResultCode) -> bool {
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
