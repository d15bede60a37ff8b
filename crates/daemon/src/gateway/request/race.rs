//! Runs an attempt, and a hedge beside it if it takes unusually long.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::time::Duration;

use applefold_core::code::{CallRefusal, ResultCode};
use applefold_core::direct::{
    has_queue, AttemptEnd, HedgeDenial, HedgeRequest, LatencyClass, Placement, PlacementStage,
    PlacementWork, PromptShape, ServiceLoad, SlowTime,
};
use applefold_core::id::BackendId;
use applefold_core::unit::TimePoint;

use super::RequestDriver;
use crate::gateway::attempt::{AttemptClass, AttemptResult};
use crate::gateway::hedges::SentHedge;
use crate::gateway::permits::{PermitOutcome, SendPermit};

/// An attempt that has ended.
pub(super) struct EndedAttempt {
    pub(super) placement: Placement,
    pub(super) started_at: TimePoint,
    pub(super) result: AttemptResult,
}

/// A hedge that has ended.
struct EndedHedge {
    attempt: EndedAttempt,
    sent: SentHedge,
}

/// How an attempt and its hedge ended.
enum RaceEnd {
    /// The first attempt has ended. A hedge beside it failed, or was not sent or is cancelled.
    First(AttemptResult, Option<EndedHedge>),
    /// The hedge has ended. The first attempt failed, or is cancelled.
    Hedge(EndedHedge, Option<AttemptResult>),
}

impl RequestDriver<'_> {
    /// Runs an attempt, and a hedge beside it if it takes unusually long. Returns the one that
    /// counts; the other one is accounted for.
    pub(super) async fn race(
        &mut self,
        placement: Placement,
        permit: Option<SendPermit>,
        started_at: TimePoint,
    ) -> EndedAttempt {
        let class = self.latency_class();
        let slow_time = self.state.hedges.with(|controller| {
            // A retry is no further request.
            if self.progress.sends == 1 {
                controller.record_request(&self.prepared.service);
            }
            controller.slow_time(&class, &placement.backend, started_at)
        });
        let hedged_at = RefCell::new(None);
        let end = {
            let first = self.attempt_to_event(&placement, permit, 1);
            let hedge = self.hedge(&placement, started_at, slow_time, &hedged_at);
            tokio::pin!(first, hedge);
            tokio::select! {
                biased;
                result = &mut first => {
                    let hedge_runs = hedged_at.borrow().is_some();
                    match hedge_runs && !result.is_usable() {
                        true => match hedge.await {
                            Some(hedge) => RaceEnd::Hedge(hedge, Some(result)),
                            None => RaceEnd::First(result, None),
                        },
                        false => RaceEnd::First(result, None),
                    }
                }
                hedge = &mut hedge => match hedge {
                    Some(hedge) if hedge.attempt.result.is_usable() => RaceEnd::Hedge(hedge, None),
                    hedge => RaceEnd::First(first.await, hedge),
                },
            }
        };
        let hedged_at: Option<BackendId> = hedged_at.into_inner();
        if hedged_at.is_some() {
            self.progress.begin();
        }
        match end {
            RaceEnd::First(result, hedge) => {
                if let Some(backend) = &hedged_at {
                    self.log_hedge("wasted", backend);
                }
                match hedge {
                    Some(hedge) => self.settle_failed(hedge.attempt),
                    None if hedged_at.is_some() => self.progress.record_cancelled(),
                    None => {}
                }
                self.learn_time(&class, &placement, started_at, &result);
                EndedAttempt {
                    placement,
                    started_at,
                    result,
                }
            }
            RaceEnd::Hedge(hedge, first) => {
                let EndedHedge { attempt, sent } = hedge;
                match first {
                    Some(result) => self.settle_failed(EndedAttempt {
                        placement,
                        started_at,
                        result,
                    }),
                    None => self.settle_overtaken(&class, &placement, started_at),
                }
                if attempt.result.is_usable() {
                    sent.win();
                    self.log_hedge("won", &attempt.placement.backend);
                } else {
                    self.log_hedge("wasted", &attempt.placement.backend);
                }
                self.last_backend = Some(attempt.placement.backend.clone());
                self.learn_time(
                    &class,
                    &attempt.placement,
                    attempt.started_at,
                    &attempt.result,
                );
                attempt
            }
        }
    }

    /// Returns whether an attempt may be hedged, as far as that is known before it is sent.
    pub(super) fn is_hedgeable(&self, placement: &Placement) -> bool {
        let repeat = self.prepared.route.retry_rule;
        self.state.hedges.is_enabled()
            && repeat.allows_retry()
            && !self.head_sent
            && placement.work == PlacementWork::Run
            && self.handoff.is_none()
    }

    /// Sends the request to a backend server, and reads a stream until its first event.
    async fn attempt_to_event(
        &self,
        placement: &Placement,
        permit: Option<SendPermit>,
        running: u32,
    ) -> AttemptResult {
        let mut result = self.attempt(placement, permit, running).await;
        if let AttemptResult::Stream(stream) = &mut result {
            stream.ahead = Some(self.read_ahead(stream).await);
        }
        result
    }

    /// Waits until the attempt is unusually slow, and sends the request to another backend server,
    /// which it writes to `hedged_at`. Returns `None` if it may not be sent to one.
    async fn hedge(
        &self,
        first: &Placement,
        started_at: TimePoint,
        slow_time: Option<SlowTime>,
        hedged_at: &RefCell<Option<BackendId>>,
    ) -> Option<EndedHedge> {
        let slow_time = slow_time?;
        actix_rt::time::sleep(Duration::from_micros(slow_time.time.0)).await;
        if let Err(denial) = self.check_hedge(first) {
            self.deny_hedge(denial);
            return None;
        }
        let Some(placement) = self.place_hedge(first) else {
            self.deny_hedge(HedgeDenial::NoTarget);
            return None;
        };
        let id = &self.prepared.caller.id;
        let permit = match self.state.acquire_permit(&placement.backend, id).await {
            PermitOutcome::Allowed(permit) => permit,
            PermitOutcome::Deferred => return None,
        };
        // Other requests may have used up the budgets in the meantime.
        if let Err(denial) = self.check_hedge(first).and_then(|()| self.spend_hedge()) {
            self.deny_hedge(denial);
            return None;
        }
        hedged_at.replace(Some(placement.backend.clone()));
        let sent = self.state.hedges.begin();
        let sent_at = self.state.now();
        let load = self.service_load(sent_at);
        log::info!(request = id.as_str(), backend = placement.backend.as_str(),
            slow_backend = first.backend.as_str(), slow_ms = slow_time.time.as_millis(),
            samples = slow_time.samples, waited_ms = sent_at.since(started_at).as_millis(),
            predicted_ms = placement.predicted.as_millis(), requests = load.requests,
            slots = load.slots, left_ms = self.prepared.deadline.since(sent_at).as_millis();
            "hedge: sent");
        let result = self.attempt_to_event(&placement, permit, 2).await;
        let attempt = EndedAttempt {
            placement,
            started_at: sent_at,
            result,
        };
        Some(EndedHedge { attempt, sent })
    }

    fn check_hedge(&self, first: &Placement) -> Result<(), HedgeDenial> {
        let now = self.state.now();
        let request = HedgeRequest {
            retry_rule: self.prepared.route.retry_rule,
            response_begun: self.head_sent || self.response_begun,
            service: &self.prepared.service,
            backend: &first.backend,
            progress: self.progress,
            limits: self.attempt_limits(),
            time_left: self.prepared.deadline.since(now),
            load: self.service_load(now),
        };
        self.state
            .hedges
            .with(|controller| controller.check(&request, now))
    }

    fn deny_hedge(&self, denial: HedgeDenial) {
        self.state.hedges.deny(denial);
        log::debug!(request = self.prepared.caller.id.as_str();
            "slow request not hedged: {}", denial.name());
    }

    fn spend_hedge(&self) -> Result<(), HedgeDenial> {
        let service = &self.prepared.service;
        self.state.with_budget(service, |budget| {
            self.state
                .hedges
                .with(|controller| controller.spend(service, budget))
        })
    }

    fn service_load(&self, now: TimePoint) -> ServiceLoad {
        let table = self.state.table.borrow();
        let max_age = self.state.policy.max_load_age;
        ServiceLoad::of(&table, &self.prepared.service, max_age, now)
    }

    /// Chooses a backend server that has not been tried and where nothing is queued, in another failure
    /// domain if one there may run the request in time.
    fn place_hedge(&self, first: &Placement) -> Option<Placement> {
        let mut tried = self.excluded.clone();
        tried.extend(self.busy_backends());
        tried.insert(first.backend.clone());
        let mut near = tried.clone();
        near.extend(self.same_domain(&first.backend));
        let place = |excluded: &BTreeSet<BackendId>| {
            let placement = self.choose(excluded, PlacementStage::Unsplit).ok()?;
            let in_time = placement.predicted <= self.prepared.route.latency_objective;
            (in_time && placement.work == PlacementWork::Run).then_some(placement)
        };
        place(&near).or_else(|| place(&tried))
    }

    fn busy_backends(&self) -> BTreeSet<BackendId> {
        let (now, max_age) = (self.state.now(), self.state.policy.max_load_age);
        let table = self.state.table.borrow();
        let rows = table.of_service(&self.prepared.service);
        let busy = rows.filter(|row| has_queue(row, max_age, now));
        busy.map(|row| row.spec.id.clone()).collect()
    }

    /// Returns the backend servers in the failure domain of this one.
    fn same_domain(&self, backend: &BackendId) -> BTreeSet<BackendId> {
        let table = self.state.table.borrow();
        let Some(domain) = table.get(backend).map(|row| &row.spec.domain) else {
            return BTreeSet::new();
        };
        let rows = table.of_service(&self.prepared.service);
        let near = rows.filter(|row| row.spec.domain == *domain);
        near.map(|row| row.spec.id.clone()).collect()
    }

    fn latency_class(&self) -> LatencyClass {
        let prompt: Option<&PromptShape> = self.prompt();
        let body = self.request.body.len() as u64;
        let size = prompt.map_or(body, |prompt| prompt.prompt_tokens.0);
        LatencyClass::new(&self.prepared.route.name, size)
    }

    /// Accounts for an attempt that failed beside one that counts. Others end without effect.
    fn settle_failed(&mut self, attempt: EndedAttempt) {
        let EndedAttempt {
            placement,
            started_at,
            result,
        } = attempt;
        let (end, reason) = match result {
            AttemptResult::Failed(head, body) => {
                self.count_usage();
                self.failure = Some((head, body));
                (AttemptEnd::Failed, "the backend server failed".into())
            }
            AttemptResult::Withheld(reason) => (AttemptEnd::NotSent, reason),
            AttemptResult::Ended(end, reason) => {
                // A request whose connection broke after it was sent has run in most cases.
                if end.is_lost_response() {
                    self.count_usage();
                }
                (end, reason)
            }
            AttemptResult::Stream(stream) => {
                self.count_stream(stream.head.framing.name(), "broken");
                match stream.ahead.map(|ahead| ahead.end) {
                    Some(Err((end, reason))) => (end, reason.into()),
                    Some(Ok(_)) | None => return,
                }
            }
            AttemptResult::Complete(..) | AttemptResult::Prefilled(_) => return,
        };
        self.log_attempt(&placement, started_at, AttemptClass::Ended(end), &reason);
        self.note_crash(end, &placement, 0);
        self.note_shortage_end(end);
        self.progress.record(end);
        self.excluded.insert(placement.backend);
    }

    /// Accounts for the first attempt, which is cancelled because its hedge has won.
    fn settle_overtaken(
        &mut self,
        class: &LatencyClass,
        placement: &Placement,
        started_at: TimePoint,
    ) {
        let now = self.state.now();
        self.progress.record_cancelled();
        self.state.hedges.with(|controller| {
            controller.record_lost(&placement.backend);
            // The attempt would have taken at least this long. Without it, the learned times would
            // shrink with each hedge.
            let took = now.since(started_at);
            controller.record_time(class, &placement.backend, took, now);
        });
        let outcome = "cancelled, since its hedge was faster";
        self.log_attempt(placement, started_at, AttemptClass::Cancelled, outcome);
    }

    fn learn_time(
        &self,
        class: &LatencyClass,
        placement: &Placement,
        started_at: TimePoint,
        result: &AttemptResult,
    ) {
        let now = self.state.now();
        let head = match result {
            AttemptResult::Complete(head, _) => head,
            AttemptResult::Stream(stream) if result.is_usable() => &stream.head,
            _ => return,
        };
        self.state.hedges.with(|controller| {
            controller.record_response(&placement.backend);
            if (200..300).contains(&head.status) {
                let took = now.since(started_at);
                controller.record_time(class, &placement.backend, took, now);
            }
        });
    }

    /// Records for hedges that a request was refused, if that was for lack of capacity.
    pub(super) fn note_shortage(&self, refusal: &CallRefusal) {
        let short = matches!(
            refusal.code,
            ResultCode::BackendBusy | ResultCode::DeadlineHopeless
        );
        if short && self.state.hedges.is_enabled() {
            self.record_shortage();
        }
    }

    /// Records for hedges that an attempt was refused, if that was for lack of capacity.
    pub(super) fn note_shortage_end(&self, end: AttemptEnd) {
        let short = end == AttemptEnd::NotRun { misdirected: false };
        if short && self.state.hedges.is_enabled() {
            self.record_shortage();
        }
    }

    fn record_shortage(&self) {
        let (service, now) = (&self.prepared.service, self.state.now());
        self.state
            .hedges
            .with(|controller| controller.record_shortage(service, now));
    }

    fn log_hedge(&self, outcome: &str, backend: &BackendId) {
        let took = self.state.now().since(self.request.arrived);
        log::info!(request = self.prepared.caller.id.as_str(), backend = backend.as_str(),
            took_ms = took.as_millis(); "hedge: {outcome}");
    }
}
