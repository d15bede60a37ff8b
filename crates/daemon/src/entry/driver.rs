//! Runs a request to its final answer, in as many attempts as that may take.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use applefold_core::admission::AdmissionTicket;
use applefold_core::answer::{AttemptEnd, AttemptOptions, AttemptPlan, NextStep};
use applefold_core::claim::{ClaimOutcome, ClaimReport, ClaimVerdict, KeptAnswer};
use applefold_core::code::{CallRefusal, ResultCode, RunState};
use applefold_core::health::HealthSample;
use applefold_core::id::{AttemptNumber, BackendId};
use applefold_core::quarantine::SuspectNews;
use applefold_core::retry::{RequestAttempts, RetryDecision};
use applefold_core::routing::{FlightId, RouteCandidate, RouteChoice};
use applefold_core::unit::{TimePoint, TimeSpan};
use opentelemetry::KeyValue;

use super::attempt::{self, AttemptResult};
use super::claims;
use super::links::LinkChoice;
use super::plan::{AttemptInput, RequestPlan};
use super::reply::ReplyWriter;
use super::state::EntryState;
use crate::trace::HopSpan;

/// When a caller may try again after a refusal that passes.
const RETRY_SOON: TimeSpan = TimeSpan::from_secs(1);
/// The most attempts at a request, those included that a sidecar did not run.
const ATTEMPT_LIMIT: u64 = 64;
/// The most attempts that may have run.
const RUN_LIMIT: u32 = 6;
/// How long a request that is kept apart waits before it asks again.
const APART_PAUSE: Duration = Duration::from_millis(250);
/// The first server error among HTTP statuses.
const SERVER_ERROR: u16 = 500;

/// Runs `plan` and writes its answer; ends early when the caller leaves.
pub(crate) async fn drive(
    state: Rc<EntryState>,
    plan: RequestPlan,
    writer: ReplyWriter,
    mut span: HopSpan,
) {
    let arrived = state.now();
    let mut driver = RequestDriver::new(&state, &plan, writer);
    let refusal = driver.run_claimed(&span).await.err();
    let code = refusal.map_or(0, |refusal| refusal.code.number());
    if let Some(refusal) = refusal {
        driver.writer.refuse(refusal).await;
    }
    span.note("code", i64::from(code));
    if let Some(caller) = &plan.caller {
        state.report.note_request(&caller.team, refusal);
    }
    let labels = [
        KeyValue::new("service", plan.service.to_string()),
        KeyValue::new("code", i64::from(code)),
    ];
    state.metrics.requests.add(1, &labels);
    if let Some(first) = driver.writer.first_byte_at() {
        let seconds = first.since(arrived).as_secs_f64();
        state.metrics.first_byte.record(seconds, &[]);
    }
}

/// A backend server that was chosen, with the connection to it.
struct ChosenBackend {
    candidate: RouteCandidate,
    link: LinkChoice,
}

/// Counts an attempt in the tables until it is dropped.
struct FlightGuard<'a> {
    state: &'a EntryState,
    flight: Option<FlightId>,
}

impl FlightGuard<'_> {
    fn note_first_token(&self) {
        if let Some(flight) = self.flight {
            self.state
                .decisions
                .borrow_mut()
                .backends
                .first_token(flight);
        }
    }
}

impl Drop for FlightGuard<'_> {
    fn drop(&mut self) {
        if let Some(flight) = self.flight {
            let now = self.state.now();
            self.state
                .decisions
                .borrow_mut()
                .backends
                .finish(flight, now);
        }
    }
}

struct RequestDriver<'a> {
    state: &'a Rc<EntryState>,
    plan: &'a RequestPlan,
    writer: ReplyWriter,
    attempts: AttemptPlan,
    /// What the retry budget knows of the request; `None` until it is admitted.
    budgeted: Option<RequestAttempts>,
    excluded: BTreeSet<BackendId>,
    ticket: Option<AdmissionTicket>,
    /// How many attempts may have been run; after one, "not run" would not be true.
    ran: u32,
    /// Whether the last attempt was refused to keep it apart from others.
    waits_apart: bool,
    /// The whole answer, for the claim to keep.
    answer: Option<KeptAnswer>,
}

impl<'a> RequestDriver<'a> {
    fn new(state: &'a Rc<EntryState>, plan: &'a RequestPlan, writer: ReplyWriter) -> Self {
        let options = AttemptOptions {
            progress_limit: state.settings.progress_timeout,
            attempt_limit: ATTEMPT_LIMIT,
            ..AttemptOptions::new(plan.repeatable)
        };
        Self {
            state,
            plan,
            writer,
            attempts: AttemptPlan::new(options),
            budgeted: None,
            excluded: BTreeSet::new(),
            ticket: None,
            ran: 0,
            waits_apart: false,
            answer: None,
        }
    }

    /// Runs the request under its claim, if it needs one.
    async fn run_claimed(&mut self, span: &HopSpan) -> Result<(), CallRefusal> {
        let Some(ask) = &self.plan.claim else {
            return self.run(span).await;
        };
        match claims::ask(self.state, ask.clone()).await {
            ClaimVerdict::Granted => {}
            ClaimVerdict::Refused(refusal) => return Err(refusal),
            ClaimVerdict::Kept(answer) => {
                self.writer.repeat(answer);
                return Ok(());
            }
        }
        let ran = self.run(span).await;
        let report = ClaimReport {
            claim: ask.claim.clone(),
            request: ask.request.clone(),
            outcome: self.claim_outcome(ran),
        };
        actix_rt::spawn(claims::report(self.state.clone(), report));
        ran
    }

    fn claim_outcome(&mut self, ran: Result<(), CallRefusal>) -> ClaimOutcome {
        match ran {
            Ok(()) => {
                let answer = self.answer.take();
                answer.map_or(ClaimOutcome::Unknown, ClaimOutcome::Answered)
            }
            Err(refusal) if refusal.code.run_state() == RunState::NotRun => ClaimOutcome::NotRun,
            Err(_) => ClaimOutcome::Unknown,
        }
    }

    async fn run(&mut self, span: &HopSpan) -> Result<(), CallRefusal> {
        let now = self.state.now();
        let mut choice = self.choose(now);
        self.ticket = self.admit(&choice, now)?;
        self.note_first_attempt();
        loop {
            self.check_suspect()
                .map_err(|refusal| self.truthful(refusal))?;
            let chosen = self.pick(&choice);
            let chosen = chosen.ok_or_else(|| self.truthful(missing()))?;
            match self.attempt(&chosen, span).await {
                NextStep::Finish => {
                    self.settle();
                    return Ok(());
                }
                NextStep::Refuse(refusal) => return Err(self.truthful(refusal)),
                NextStep::Dispatch { .. } => {}
            }
            if std::mem::take(&mut self.waits_apart) {
                actix_rt::time::sleep(APART_PAUSE).await;
            } else {
                self.excluded.insert(chosen.candidate.backend);
            }
            choice = self.choose(self.state.now());
            if choice.candidates.is_empty() {
                // Every backend server has failed it once; one may have come back.
                self.excluded.clear();
                choice = self.choose(self.state.now());
            }
        }
    }

    fn choose(&self, now: TimePoint) -> RouteChoice {
        let mut decisions = self.state.decisions.borrow_mut();
        decisions.choose(self.plan, &self.excluded, now)
    }

    fn admit(
        &self,
        choice: &RouteChoice,
        now: TimePoint,
    ) -> Result<Option<AdmissionTicket>, CallRefusal> {
        self.state
            .decisions
            .borrow_mut()
            .admit(self.plan, choice, now)
    }

    fn note_first_attempt(&mut self) {
        let mut decisions = self.state.decisions.borrow_mut();
        let service = self.plan.service.clone();
        let attempts = decisions.retries.begin(service, self.plan.repeatable);
        self.budgeted = Some(attempts);
    }

    fn pick(&self, choice: &RouteChoice) -> Option<ChosenBackend> {
        let links = self.state.links.borrow();
        let mut candidates = choice.candidates.iter();
        candidates.find_map(|candidate| {
            let link = links.link_to(&candidate.backend)?;
            let candidate = candidate.clone();
            Some(ChosenBackend { candidate, link })
        })
    }

    async fn attempt(&mut self, chosen: &ChosenBackend, span: &HopSpan) -> NextStep {
        let now = self.state.now();
        let Some(number) = self.attempts.dispatch(now) else {
            return NextStep::Refuse(missing());
        };
        self.writer.begin(number);
        let flight = self.begin_flight(chosen, now);
        let dispatch = self.plan.dispatch(AttemptInput {
            attempt: number,
            now,
            confirmation: self.state.config.confirmation(now),
            traceparent: span.traceparent(),
            resume_tokens: self.writer.progress().resume_tokens,
            least_deadline: self.least_deadline(),
            suspects: self.own_news(now),
        });
        let note_first = || flight.note_first_token();
        let end = attempt::run(
            self.state,
            &chosen.link,
            &dispatch,
            &mut self.writer,
            note_first,
        );
        let AttemptResult { end, crashed } = end.await;
        drop(flight);
        if crashed {
            self.note_crash(&chosen.candidate.backend);
        }
        self.note_health(&chosen.candidate.backend, end, now);
        self.next_step(number, end).await
    }

    /// Every peer hears at once of a request that a backend server died of.
    fn note_crash(&self, backend: &BackendId) {
        let now = self.state.now();
        let mut decisions = self.state.decisions.borrow_mut();
        decisions
            .suspects
            .note_crash(now, backend, &[self.plan.fingerprint]);
        self.state.urgent.send_modify(|count| *count += 1);
    }

    /// What a sidecar has to know of this request before it lets it run beside others.
    fn own_news(&self, now: TimePoint) -> Vec<SuspectNews> {
        let decisions = self.state.decisions.borrow();
        let news = decisions.suspects.news(now).into_iter();
        news.filter(|one| one.fingerprint == self.plan.fingerprint)
            .collect()
    }

    /// A request that ran where a backend server died waits until no other such one
    /// runs beside it.
    fn is_kept_apart(&self, end: AttemptEnd) -> bool {
        let busy = |refusal: CallRefusal| refusal.code == ResultCode::BackendBusy;
        let refused = matches!(end, AttemptEnd::NotRun(refusal) if busy(refusal));
        refused && !self.own_news(self.state.now()).is_empty()
    }

    /// Refuses what has crashed too many backend servers.
    fn check_suspect(&self) -> Result<(), CallRefusal> {
        let decisions = self.state.decisions.borrow();
        decisions.suspects.admit(self.plan.fingerprint, &[])
    }

    fn begin_flight(&self, chosen: &ChosenBackend, now: TimePoint) -> FlightGuard<'a> {
        let computed = self
            .plan
            .prompt_tokens
            .saturating_sub(chosen.candidate.cached);
        let mut decisions = self.state.decisions.borrow_mut();
        let flight = decisions.begin(&chosen.candidate.backend, computed, now);
        FlightGuard {
            state: self.state,
            flight,
        }
    }

    fn note_health(&self, backend: &BackendId, end: AttemptEnd, sent_at: TimePoint) {
        let now = self.state.now();
        let first = self.writer.first_byte_at().unwrap_or(now);
        let sample = match end {
            AttemptEnd::Whole => HealthSample::Answered(first.since(sent_at)),
            AttemptEnd::NotRun(refusal) if refusal.code != ResultCode::BackendMissing => return,
            AttemptEnd::NotRun(_)
            | AttemptEnd::Broken
            | AttemptEnd::Unknown
            | AttemptEnd::Silent => HealthSample::Failed,
        };
        let mut decisions = self.state.decisions.borrow_mut();
        decisions.note_health(backend, sample, now);
        if end == AttemptEnd::Whole {
            decisions.note_prompt(backend, &self.plan.chain);
        }
    }

    async fn next_step(&mut self, number: AttemptNumber, end: AttemptEnd) -> NextStep {
        let failed = self.plan.repeatable && self.writer.status() >= SERVER_ERROR;
        let end = match end {
            AttemptEnd::Whole if failed && !self.writer.progress().forwarded => AttemptEnd::Broken,
            end => end,
        };
        if !matches!(end, AttemptEnd::NotRun(_)) {
            self.ran += 1;
        }
        self.waits_apart = self.is_kept_apart(end);
        let step = self.attempts.end(number, end, self.writer.progress());
        match step.unwrap_or(NextStep::Refuse(unknown())) {
            NextStep::Finish => {
                self.answer = self
                    .plan
                    .claim
                    .as_ref()
                    .and_then(|_| self.writer.held_answer());
                self.writer.finish().await;
                NextStep::Finish
            }
            NextStep::Refuse(refusal) => NextStep::Refuse(refusal),
            NextStep::Dispatch { resume_tokens } => match self.spend_retry(number, end) {
                RetryDecision::Again(_) => NextStep::Dispatch { resume_tokens },
                RetryDecision::GiveUp(refusal) => NextStep::Refuse(refusal),
            },
        }
    }

    /// Keeps retries a bounded share of the requests where load causes them.
    ///
    /// What a crash broke off is always moved, and so is an answer that its caller
    /// reads already: crashes and answers bound these retries, and one crash
    /// breaks off more streams at once than the budget holds.
    fn spend_retry(&mut self, attempt: AttemptNumber, end: AttemptEnd) -> RetryDecision {
        if self.ran >= RUN_LIMIT {
            return RetryDecision::GiveUp(unknown());
        }
        if self.writer.progress().forwarded {
            return RetryDecision::Again(attempt.next());
        }
        let refusal = match end {
            AttemptEnd::NotRun(_) if self.waits_apart => {
                return RetryDecision::Again(attempt.next());
            }
            AttemptEnd::NotRun(refusal) => refusal,
            AttemptEnd::Silent => unknown(),
            AttemptEnd::Whole | AttemptEnd::Broken | AttemptEnd::Unknown => {
                return RetryDecision::Again(attempt.next());
            }
        };
        let time_left = self.time_left();
        let Some(attempts) = &mut self.budgeted else {
            return RetryDecision::GiveUp(refusal);
        };
        let mut decisions = self.state.decisions.borrow_mut();
        decisions.retries.decide(attempts, refusal, time_left)
    }

    fn least_deadline(&self) -> TimeSpan {
        match self.writer.progress().forwarded {
            true => self.state.settings.progress_timeout,
            false => TimeSpan::ZERO,
        }
    }

    /// A caller that already reads the answer has been met in time.
    fn time_left(&self) -> TimeSpan {
        match self.writer.progress().forwarded {
            true => self.state.settings.progress_timeout,
            false => self.plan.deadline.since(self.state.now()),
        }
    }

    /// Makes a refusal say what is true of all attempts together.
    fn truthful(&self, refusal: CallRefusal) -> CallRefusal {
        if self.writer.progress().forwarded {
            return CallRefusal::lasting(ResultCode::AnswerBroken);
        }
        if self.ran > 0 && refusal.code.run_state() == RunState::NotRun {
            let code = ResultCode::OutcomeUnknown;
            let retry_after = refusal.retry_after;
            return CallRefusal { code, retry_after };
        }
        refusal
    }

    fn settle(&mut self) {
        let used = self.plan.prompt_tokens + self.writer.progress().resume_tokens;
        if let Some(ticket) = self.ticket.take() {
            ticket.settle(used);
        }
    }
}

fn missing() -> CallRefusal {
    CallRefusal::passing(ResultCode::BackendMissing, RETRY_SOON)
}

fn unknown() -> CallRefusal {
    CallRefusal::lasting(ResultCode::OutcomeUnknown)
}
