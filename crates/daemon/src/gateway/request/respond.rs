//! Ends a request with a complete response or a refusal, and logs its attempts and its end.

use applefold_core::code::{CallRefusal, ResultCode, RunState};
use applefold_core::direct::Placement;
use applefold_core::id::{BackendId, TeamId};
use applefold_core::unit::{TimePoint, TimeSpan};
use applefold_h1::ResponseHead;
use applefold_platform::{render_refusal, render_response_head, ResponseFraming};
use opentelemetry::KeyValue;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;

use super::RequestDriver;
use crate::gateway::accept::ConnectionAction;
use crate::gateway::attempt::AttemptClass;
use crate::gateway::prepare::{count_request, keeps_alive, write_last};

/// The most bytes of a body that are copied to be written together with the head.
const MAX_COPIED_BYTES: usize = 16_384;

impl RequestDriver<'_> {
    /// Sends a complete response to the caller.
    pub(super) async fn deliver(
        &mut self,
        head: &ResponseHead,
        body: &[u8],
        writer: &mut OwnedWriteHalf,
    ) -> ConnectionAction {
        if self.head_sent {
            self.log_end(head.status, "the stream could not be resumed");
            return ConnectionAction::Close;
        }
        self.response_begun = true;
        self.count_usage();
        let now = self.state.now();
        if head.status < 500 {
            let suspects = &self.state.suspects;
            suspects.note_completion(self.prepared.fingerprint, now);
        }
        let keep = keeps_alive(self.state, self.request);
        let mut bytes = Vec::new();
        let framing = ResponseFraming::Length(body.len());
        render_response_head(head, framing, keep, &mut bytes);
        // A large body is not copied, since a caller may take long to read it.
        let (copied, rest) = body.split_at(body.len().min(MAX_COPIED_BYTES));
        bytes.extend_from_slice(copied);
        let first_byte = now.since(self.request.arrived);
        self.first_byte = Some(first_byte);
        let metrics = &self.state.metrics;
        metrics
            .complete_response
            .record(first_byte.as_secs_f64(), &[]);
        self.log_end(head.status, "answered");
        if !rest.is_empty() && writer.write_all(&bytes).await.is_err() {
            return ConnectionAction::Close;
        }
        let last = if rest.is_empty() { &bytes } else { rest };
        write_last(writer, last, keep).await
    }

    /// Ends the request with a server error that a backend server returned, or else with a refusal.
    /// If an attempt may have run, the refusal does not say that the request was not run.
    pub(super) async fn give_up(
        &mut self,
        refusal: CallRefusal,
        writer: &mut OwnedWriteHalf,
    ) -> ConnectionAction {
        if self.head_sent {
            self.log_end(
                refusal.code.status(),
                "the stream broke off and was not resumed",
            );
            return ConnectionAction::Close;
        }
        if let Some((head, body)) = self.failure.take() {
            return self.deliver(&head, &body, writer).await;
        }
        let claims_not_run = refusal.code.run_state() == RunState::NotRun;
        let refusal = match self.progress.may_have_run() && claims_not_run {
            true => CallRefusal::permanent(ResultCode::OutcomeUnknown),
            false => refusal,
        };
        self.response_begun = true;
        let keep = keeps_alive(self.state, self.request);
        let mut bytes = Vec::new();
        render_refusal(&refusal, Some(&self.prepared.caller.id), keep, &mut bytes);
        self.log_end(refusal.code.status(), refusal.code.meaning());
        write_last(writer, &bytes, keep).await
    }

    /// Ends the request when the process has to exit. A backend server may still run the attempt in
    /// progress, so the refusal of such a request does not say that it was not run.
    pub(super) async fn end_unfinished(&mut self, writer: &mut OwnedWriteHalf) -> ConnectionAction {
        if self.response_begun {
            self.log_end(499, "the caller read too slowly until the entry stopped");
            return ConnectionAction::Close;
        }
        let refusal = match self.attempting {
            true => CallRefusal::permanent(ResultCode::OutcomeUnknown),
            false => self.state.drain.borrow().refusal(),
        };
        self.give_up(refusal, writer).await
    }

    /// Logs and counts an attempt; `outcome` is the detail for the log.
    pub(super) fn log_attempt(
        &self,
        placement: &Placement,
        started_at: TimePoint,
        class: AttemptClass,
        outcome: &str,
    ) {
        let now = self.state.now();
        let outcome_key = KeyValue::new("outcome", class.name());
        self.state.metrics.attempts.add(1, &[outcome_key]);
        if class.is_failure() {
            let backend = KeyValue::new("backend", placement.backend.as_str().to_owned());
            self.state.metrics.backend_failures.add(1, &[backend]);
        }
        log::info!(request = self.prepared.caller.id.as_str(), attempt = self.progress.sends,
            backend = placement.backend.as_str(), work = format!("{:?}", placement.work),
            predicted_ms = placement.predicted.as_millis(),
            uncached = placement.uncached.0, compared = placement.compared,
            took_ms = now.since(started_at).as_millis(),
            left_ms = self.prepared.deadline.since(now).as_millis();
            "attempt: {outcome}");
    }

    /// Logs and counts the end of the request.
    pub(super) fn log_end(&self, status: u16, outcome: &str) {
        count_request(self.state, status);
        let took = self.state.now().since(self.request.arrived);
        if (200..300).contains(&status) {
            let mut durations = self.state.durations.borrow_mut();
            durations.record(&self.prepared.route.name, took);
        }
        log::info!(request = self.prepared.caller.id.as_str(),
            route = self.prepared.route.name.as_str(),
            service = self.prepared.service.as_str(),
            team = self.prepared.team.as_ref().map_or("", TeamId::as_str),
            backend = self.last_backend.as_ref().map_or("", BackendId::as_str),
            revision = self.prepared.rules.revision.0, status,
            sends = self.progress.sends, runs = self.progress.runs,
            first_ms = self.first_byte.map_or(0, TimeSpan::as_millis), took_ms = took.as_millis();
            "request ended: {outcome}");
    }
}
