//! Runs a request to its final answer, in as many attempts as that may take.

mod claimed;
mod retry;
mod suspect;

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use applefold_core::admission::AdmissionTicket;
use applefold_core::claim::StoredResponse;
use applefold_core::code::{CallRefusal, ResultCode};
use applefold_core::health::HealthSample;
use applefold_core::id::BackendId;
use applefold_core::response::{AttemptEnd, AttemptOptions, AttemptPlan, NextStep};
use applefold_core::retry::RequestAttempts;
use applefold_core::routing::{FlightId, RouteCandidate, RouteChoice};
use applefold_core::unit::{TimePoint, TimeSpan};
use opentelemetry::KeyValue;

use super::attempt::{self, AttemptResult};
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
                .record_first_token(flight);
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
    answer: Option<StoredResponse>,
}

impl<'a> RequestDriver<'a> {
    fn new(state: &'a Rc<EntryState>, plan: &'a RequestPlan, writer: ReplyWriter) -> Self {
        let options = AttemptOptions {
            progress_timeout: state.settings.progress_timeout,
            max_attempts: ATTEMPT_LIMIT,
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

    fn begin_flight(&self, chosen: &ChosenBackend, now: TimePoint) -> FlightGuard<'a> {
        let computed = self
            .plan
            .prompt_tokens
            .saturating_sub(chosen.candidate.cached_tokens);
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
            decisions.note_prompt(backend, &self.plan.prefix_hashes);
        }
    }

    fn settle(&mut self) {
        let used = self.plan.prompt_tokens + self.writer.progress().resume_tokens;
        if let Some(ticket) = self.ticket.take() {
            ticket.finish(used);
        }
    }
}

fn missing() -> CallRefusal {
    CallRefusal::retryable(ResultCode::BackendMissing, RETRY_SOON)
}

fn unknown() -> CallRefusal {
    CallRefusal::permanent(ResultCode::OutcomeUnknown)
}
