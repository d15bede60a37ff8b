//! One attempt at one backend server.

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use applefold_core::direct::{AttemptEnd, Placement, RouteRule};
use applefold_core::health::HealthSample;
use applefold_core::id::TeamId;
use applefold_core::unit::{TimePoint, TimeSpan};
use applefold_h1::{BodyDecoder, ResponseHead};
use applefold_platform::{
    read_prefill, render_attempt, AttemptFields, AttemptWork, BackendResponse, CallerRequest,
    KvHandle,
};
use smol_str::SmolStr;

use super::accept::ReceivedRequest;
use super::connection::{ClientConnection, ConnectionError};
use super::in_flight::InFlightGuard;
use super::state::GatewayState;

/// How an attempt ends that should have read a prompt.
const NOT_READ: AttemptEnd = AttemptEnd::NotRun { misdirected: false };
/// The largest body of an answer that is held until it is whole: a hundred of them fit the
/// smallest memory that the platform gives.
const MAX_BODY_BYTES: usize = 1 << 20;
/// How long a connection to a backend server may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How often its objective a request that may be repeated waits for a silent backend server.
const SILENT_OBJECTIVES: u64 = 3;
/// Answers to earlier requests that are passed over before the connection is given up.
const MAX_STRAY_ANSWERS: usize = 4;

/// An answer that goes on: a stream whose head has come.
pub(crate) struct OpenStream {
    pub(crate) connection: ClientConnection,
    pub(crate) head: ResponseHead,
    pub(crate) decoder: BodyDecoder,
    pub(crate) flight: InFlightGuard,
}

/// What an attempt gave.
pub(crate) enum AttemptResult {
    /// A whole answer to pass on.
    Whole(ResponseHead, Vec<u8>),
    /// A stream that has begun.
    Stream(Box<OpenStream>),
    /// A whole answer that says that the backend server failed.
    Failed(ResponseHead, Vec<u8>),
    /// The prompt has been read, and its KV cache is kept.
    Prefilled(KvHandle),
    /// No answer, and why.
    Ended(AttemptEnd, SmolStr),
}

/// How an attempt is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptClass {
    /// With a whole answer.
    Answered,
    /// With a whole stream.
    Streamed,
    /// With the prompt read for another engine.
    PromptRead,
    /// Without an answer, or with a failure.
    Ended(AttemptEnd),
}

impl AttemptClass {
    /// Returns the name in the metrics.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Streamed => "streamed",
            Self::PromptRead => "prompt read",
            Self::Ended(AttemptEnd::NotSent) => "not sent",
            Self::Ended(AttemptEnd::NotRun { .. }) => "not run",
            Self::Ended(AttemptEnd::Failed) => "failed",
            Self::Ended(AttemptEnd::Broken) => "broken",
            Self::Ended(AttemptEnd::TimedOut) => "timed out",
        }
    }

    /// Returns whether it counts against the backend server.
    pub(crate) const fn is_failure(self) -> bool {
        matches!(self, Self::Ended(_))
    }
}

/// What is sent, and where.
pub(crate) struct Attempt<'a> {
    pub(crate) state: &'a Rc<GatewayState>,
    pub(crate) request: &'a ReceivedRequest,
    pub(crate) caller: &'a CallerRequest,
    pub(crate) route: &'a RouteRule,
    pub(crate) team: Option<&'a TeamId>,
    pub(crate) urgency: u8,
    pub(crate) placement: &'a Placement,
    pub(crate) deadline: TimePoint,
    /// Whether another backend server may still be asked.
    pub(crate) others_left: bool,
    /// The part of the work that is asked for.
    pub(crate) work: AttemptWork<'a>,
    /// The last event that the caller was sent.
    pub(crate) last_event: Option<&'a str>,
}

impl Attempt<'_> {
    /// Sends the request and waits for its answer, until the deadline at most.
    pub(crate) async fn run(&self) -> AttemptResult {
        let sent = Cell::new(false);
        let begun = self.state.now();
        let left = self.deadline.since(self.state.now());
        let limit = self.answer_limit(left);
        let exchange = self.exchange(&sent);
        let result = tokio::time::timeout(Duration::from_micros(limit.0), exchange).await;
        let result = result.unwrap_or_else(|_| {
            let end = match (sent.get(), limit < left) {
                (false, _) => AttemptEnd::NotSent,
                (true, true) => AttemptEnd::Broken,
                (true, false) => AttemptEnd::TimedOut,
            };
            AttemptResult::Ended(end, SmolStr::new_static("no answer in time"))
        });
        self.note_health(&result, begun);
        result
    }

    /// A backend server that says nothing is left for another one where that is allowed.
    fn answer_limit(&self, left: TimeSpan) -> TimeSpan {
        let movable = self.route.repeat.allows_repeat() && !self.route.repeat.is_stream();
        if !movable || !self.others_left {
            return left;
        }
        left.min(TimeSpan(self.route.objective.0 * SILENT_OBJECTIVES))
    }

    async fn exchange(&self, sent: &Cell<bool>) -> AttemptResult {
        let flight = InFlightGuard::begin(self.state, self.placement);
        let mut connection = match self.connect().await {
            Ok(connection) => connection,
            Err(error) => return ended(AttemptEnd::NotSent, error.to_string()),
        };
        if self.state.is_unavailable(&self.placement.backend) {
            let reason = "the backend server wants nothing more".to_owned();
            return ended(AttemptEnd::NotSent, reason);
        }
        let bytes = render_attempt(&self.request.head, &self.request.body, &self.fields());
        sent.set(true);
        if let Err(fault) = connection.send(&bytes).await {
            return fault_end(&fault);
        }
        let (head, answer) = match self.read_answer(&mut connection).await {
            Ok(read) => read,
            Err(fault) => return fault_end(&fault),
        };
        if let Some(load) = answer.load {
            let now = self.state.now();
            let mut table = self.state.table.borrow_mut();
            table.note_load(&self.placement.backend, load, now);
        }
        let prefill = matches!(self.work, AttemptWork::Prefill);
        if self.route.repeat.is_stream() && head.status == 200 && answer.stamped && !prefill {
            let decoder = BodyDecoder::new(head.framing);
            return AttemptResult::Stream(Box::new(OpenStream {
                connection,
                head,
                decoder,
                flight,
            }));
        }
        self.take_whole(connection, head, &answer, flight).await
    }

    async fn take_whole(
        &self,
        mut connection: ClientConnection,
        head: ResponseHead,
        answer: &BackendResponse,
        mut flight: InFlightGuard,
    ) -> AttemptResult {
        let read = connection.read_full_body(&head, MAX_BODY_BYTES).await;
        let now = self.state.now();
        let body = match read {
            Ok(body) => {
                let pool = &self.state.pool;
                pool.put(&self.placement.backend, connection, &head, now);
                body
            }
            Err(fault) if !answer.not_run => return fault_end(&fault),
            // What the head says holds without its body, but the connection is of no more use.
            Err(_) => Vec::new(),
        };
        if answer.not_run {
            let mut table = self.state.table.borrow_mut();
            match answer.misdirected {
                true => table.note_away(&self.placement.backend, now),
                false => table.note_full(&self.placement.backend, now),
            }
            drop(table);
            let end = AttemptEnd::NotRun {
                misdirected: answer.misdirected,
            };
            return ended(end, format!("refused with status {}", head.status));
        }
        if matches!(self.work, AttemptWork::Prefill) {
            return self.take_prefill(&head, &body, &flight);
        }
        let whole = answer.stamped && !answer.encoded;
        match head.status {
            200..=299 if whole => {
                flight.complete();
                AttemptResult::Whole(head, body)
            }
            200..=299 => ended(AttemptEnd::Broken, "an answer without proof".to_owned()),
            500..=599 => AttemptResult::Failed(head, body),
            _ => AttemptResult::Whole(head, body),
        }
    }

    /// Reading a prompt runs nothing for the caller, so whatever fails here has not run.
    fn take_prefill(
        &self,
        head: &ResponseHead,
        body: &[u8],
        flight: &InFlightGuard,
    ) -> AttemptResult {
        let address = {
            let table = self.state.table.borrow();
            table
                .get(&self.placement.backend)
                .map(|row| row.spec.address)
        };
        let handle = address.and_then(|address| read_prefill(address, body));
        match handle.filter(|_| head.status == 200) {
            Some(handle) => {
                let prompt = self.caller.prompt.as_ref();
                let parts = prompt.map_or(&[][..], |prompt| prompt.parts.as_slice());
                flight.first_token(parts);
                let mut prefills = self.state.prefills.borrow_mut();
                prefills.push(&self.placement.backend, parts);
                AttemptResult::Prefilled(handle)
            }
            None => ended(NOT_READ, format!("prompt not read, status {}", head.status)),
        }
    }

    async fn connect(&self) -> io::Result<ClientConnection> {
        let id = &self.placement.backend;
        if let Some(connection) = self.state.pool.take(id, self.state.now()) {
            return Ok(connection);
        }
        let address = {
            let table = self.state.table.borrow();
            table.get(id).map(|row| row.spec.address)
        };
        let gone = || io::Error::new(io::ErrorKind::NotFound, "the backend server is gone");
        ClientConnection::open(address.ok_or_else(gone)?, CONNECT_TIMEOUT).await
    }

    fn fields(&self) -> AttemptFields<'_> {
        AttemptFields {
            backend: &self.placement.backend,
            team: self.team,
            work: self.work,
            time_left: self.deadline.since(self.state.now()),
            urgency: self.caller.prompt.as_ref().map(|_| self.urgency),
            last_event_id: self.last_event,
        }
    }

    /// Reads the head of the answer to this request; late answers to others are passed over.
    async fn read_answer(
        &self,
        connection: &mut ClientConnection,
    ) -> Result<(ResponseHead, BackendResponse), ConnectionError> {
        for _ in 0..MAX_STRAY_ANSWERS {
            let head = connection.read_head().await?;
            let answer = BackendResponse::read(&head);
            if !answer.misdirected {
                let state = self.state;
                state.handle_notice(&self.placement.backend, &head, &self.caller.id);
            }
            let stray = answer.request.as_ref();
            if stray.is_none_or(|name| *name == self.caller.id) {
                return Ok((head, answer));
            }
            log::info!(request = self.caller.id.as_str(),
                backend = self.placement.backend.as_str(),
                stray = stray.map_or("", SmolStr::as_str); "stray answer passed over");
            connection.read_full_body(&head, MAX_BODY_BYTES).await?;
        }
        let error = io::Error::new(io::ErrorKind::InvalidData, "answers to other requests only");
        Err(ConnectionError::Broken(error))
    }

    fn note_health(&self, result: &AttemptResult, begun: TimePoint) {
        let sample = match result {
            AttemptResult::Whole(..) | AttemptResult::Stream(_) | AttemptResult::Prefilled(_) => {
                HealthSample::Answered(self.route.objective)
            }
            // Whoever has the address now says so, which tells nothing of the one that was meant.
            AttemptResult::Ended(AttemptEnd::NotRun { misdirected: true }, _) => return,
            AttemptResult::Ended(AttemptEnd::NotRun { .. }, _) => HealthSample::Alive,
            AttemptResult::Ended(AttemptEnd::NotSent, _)
                if self.state.is_unavailable(&self.placement.backend) =>
            {
                return
            }
            AttemptResult::Failed(..) | AttemptResult::Ended(..) => HealthSample::Failed,
        };
        let backend = &self.placement.backend;
        self.state.note_health(backend, sample);
        if !matches!(sample, HealthSample::Failed) {
            let now = self.state.now();
            self.state.suspects.note_response(backend, begun, now);
        }
    }
}

fn ended(end: AttemptEnd, reason: String) -> AttemptResult {
    AttemptResult::Ended(end, reason.into())
}

fn fault_end(fault: &ConnectionError) -> AttemptResult {
    let end = match fault {
        ConnectionError::NotSent(_) => AttemptEnd::NotSent,
        ConnectionError::Broken(_) | ConnectionError::InvalidResponse(_) => AttemptEnd::Broken,
    };
    ended(end, fault.to_string())
}
