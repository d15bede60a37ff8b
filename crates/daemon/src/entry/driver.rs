//! Runs a request to its final response, in one or more attempts.

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
use super::links::SidecarLink;
use super::plan::{AttemptInput, RequestPlan};
use super::response::ResponseWriter;
use super::state::EntryState;
use crate::trace::RequestSpan;

/// The retry delay in refusals for lack of a backend server.
const RETRY_SOON: TimeSpan = TimeSpan::from_secs(1);
/// The most attempts at a request, including those that a sidecar refused.
const MAX_ATTEMPTS: u64 = 64;
/// The most attempts that may have run on a backend server.
const MAX_RUNS: u32 = 6;
/// How long a request that has to run in isolation waits before its next attempt.
const ISOLATION_RETRY_DELAY: Duration = Duration::from_millis(250);
/// The lowest HTTP status that is a server error.
const MIN_SERVER_ERROR: u16 = 500;

/// Runs `plan`, writes its response and records its metrics. An idempotent request is cancelled
/// when its caller disconnects.
pub(crate) async fn drive(
    state: Rc<EntryState>,
    plan: RequestPlan,
    writer: ResponseWriter,
    mut span: RequestSpan,
) {
    let arrived = state.now();
    let mut driver = RequestDriver::new(&state, &plan, writer);
    let refusal = driver.run_claimed(&span).await.err();
    let code = refusal.map_or(0, |refusal| refusal.code.number());
    if let Some(refusal) = refusal {
        driver.writer.refuse(refusal).await;
    }
    span.set_attribute("code", i64::from(code));
    if let Some(caller) = &plan.caller {
        state.activity.record_request(&caller.team, refusal);
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

/// The backend server chosen for an attempt, with the connection to its sidecar.
struct ChosenBackend {
    candidate: RouteCandidate,
    link: SidecarLink,
}

/// Counts an attempt as in flight at its backend server until dropped.
struct InFlightGuard<'a> {
    state: &'a EntryState,
    flight: Option<FlightId>,
}

impl InFlightGuard<'_> {
    fn record_first_token(&self) {
        if let Some(flight) = self.flight {
            self.state
                .decisions
                .borrow_mut()
                .backends
                .record_first_token(flight);
        }
    }
}

impl Drop for InFlightGuard<'_> {
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

/// Drives one request through its attempts.
struct RequestDriver<'a> {
    state: &'a Rc<EntryState>,
    plan: &'a RequestPlan,
    writer: ResponseWriter,
    attempts: AttemptPlan,
    /// The account of the request in the retry budget; `None` until it is admitted.
    request_attempts: Option<RequestAttempts>,
    /// Backend servers on which an attempt has failed.
    excluded: BTreeSet<BackendId>,
    ticket: Option<AdmissionTicket>,
    /// The number of attempts that may have run. Once there is one, the request must not be
    /// reported as "not run".
    run_count: u32,
    /// Whether the last attempt was refused because the request has to run in isolation.
    awaits_isolation: bool,
    /// The complete response, to be stored with the claim.
    stored_response: Option<StoredResponse>,
}

impl<'a> RequestDriver<'a> {
    fn new(state: &'a Rc<EntryState>, plan: &'a RequestPlan, writer: ResponseWriter) -> Self {
        let options = AttemptOptions {
            progress_timeout: state.settings.progress_timeout,
            max_attempts: MAX_ATTEMPTS,
            ..AttemptOptions::new(plan.idempotent)
        };
        Self {
            state,
            plan,
            writer,
            attempts: AttemptPlan::new(options),
            request_attempts: None,
            excluded: BTreeSet::new(),
            ticket: None,
            run_count: 0,
            awaits_isolation: false,
            stored_response: None,
        }
    }

    async fn run(&mut self, span: &RequestSpan) -> Result<(), CallRefusal> {
        let now = self.state.now();
        let mut choice = self.choose(now);
        self.ticket = self.admit(&choice, now)?;
        self.open_retry_budget();
        loop {
            self.check_quarantine()
                .map_err(|refusal| self.overall_refusal(refusal))?;
            let chosen = self.pick(&choice);
            let chosen = chosen.ok_or_else(|| self.overall_refusal(backend_missing()))?;
            match self.attempt(&chosen, span).await {
                NextStep::Finish => {
                    self.finish_admission();
                    return Ok(());
                }
                NextStep::Refuse(refusal) => return Err(self.overall_refusal(refusal)),
                NextStep::Dispatch { .. } => {}
            }
            if std::mem::take(&mut self.awaits_isolation) {
                actix_rt::time::sleep(ISOLATION_RETRY_DELAY).await;
            } else {
                self.excluded.insert(chosen.candidate.backend);
            }
            choice = self.choose(self.state.now());
            if choice.candidates.is_empty() {
                // The request failed on every backend server; one may have recovered.
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

    fn open_retry_budget(&mut self) {
        let mut decisions = self.state.decisions.borrow_mut();
        let service = self.plan.service.clone();
        let attempts = decisions.retries.begin(service, self.plan.idempotent);
        self.request_attempts = Some(attempts);
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

    async fn attempt(&mut self, chosen: &ChosenBackend, span: &RequestSpan) -> NextStep {
        let now = self.state.now();
        let Some(number) = self.attempts.dispatch(now) else {
            return NextStep::Refuse(backend_missing());
        };
        self.writer.begin_attempt(number);
        let flight = self.begin_in_flight(chosen, now);
        let dispatch = self.plan.dispatch(AttemptInput {
            attempt: number,
            now,
            confirmation: self.state.config.confirmation(now),
            traceparent: span.traceparent(),
            resume_tokens: self.writer.progress().resume_tokens,
            min_deadline: self.min_deadline(),
            suspects: self.suspect_reports(now),
        });
        let on_message = || flight.record_first_token();
        let end = attempt::run(
            self.state,
            &chosen.link,
            &dispatch,
            &mut self.writer,
            on_message,
        );
        let AttemptResult { end, crashed } = end.await;
        drop(flight);
        if crashed {
            self.record_crash(&chosen.candidate.backend);
        }
        self.record_health(&chosen.candidate.backend, end, now);
        self.next_step(number, end).await
    }

    fn begin_in_flight(&self, chosen: &ChosenBackend, now: TimePoint) -> InFlightGuard<'a> {
        let computed = self
            .plan
            .prompt_tokens
            .saturating_sub(chosen.candidate.cached_tokens);
        let mut decisions = self.state.decisions.borrow_mut();
        let flight = decisions.begin(&chosen.candidate.backend, computed, now);
        InFlightGuard {
            state: self.state,
            flight,
        }
    }

    fn record_health(&self, backend: &BackendId, end: AttemptEnd, sent_at: TimePoint) {
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
        decisions.record_health(backend, sample, now);
        if end == AttemptEnd::Whole {
            decisions.record_prompt(backend, &self.plan.prefix_hashes);
        }
    }

    fn finish_admission(&mut self) {
        let used = self.plan.prompt_tokens + self.writer.progress().resume_tokens;
        if let Some(ticket) = self.ticket.take() {
            ticket.finish(used);
        }
    }
}

fn backend_missing() -> CallRefusal {
    CallRefusal::retryable(ResultCode::BackendMissing, RETRY_SOON)
}

fn outcome_unknown() -> CallRefusal {
    CallRefusal::permanent(ResultCode::OutcomeUnknown)
}
