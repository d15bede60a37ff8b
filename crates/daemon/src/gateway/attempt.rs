//! One attempt: a request is sent to one backend server, and the response is read.

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
use super::buffers::BufferedBody;
use super::connection::{ClientConnection, ConnectionError};
use super::in_flight::InFlightGuard;
use super::permits::SendPermit;
use super::state::GatewayState;

/// How a failed prefill ends: nothing has run for the caller.
const PREFILL_FAILED: AttemptEnd = AttemptEnd::NotRun { misdirected: false };
/// The largest response body that is buffered until it is complete.
const MAX_BODY_BYTES: usize = 1 << 20;
/// How long connecting to a backend server may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How many times the latency objective of its route a repeatable request waits for a backend
/// server that does not respond.
const MAX_SILENT_OBJECTIVES: u64 = 3;
/// The most responses to other requests that are read before the connection is given up.
const MAX_STRAY_RESPONSES: usize = 4;

/// A streamed response whose head has been received.
pub(crate) struct OpenStream {
    pub(crate) connection: ClientConnection,
    pub(crate) head: ResponseHead,
    pub(crate) decoder: BodyDecoder,
    pub(crate) in_flight: InFlightGuard,
    /// What has been read of the body already.
    pub(crate) ahead: Option<ReadAhead>,
}

/// The beginning of the body of a stream, read to find out whether its first event arrives.
pub(crate) struct ReadAhead {
    pub(crate) body: Vec<u8>,
    /// Whether the body is complete, or how the attempt ended before the first event.
    pub(crate) end: Result<bool, (AttemptEnd, String)>,
}

/// The result of an attempt.
pub(crate) enum AttemptResult {
    /// A complete response to relay.
    Complete(ResponseHead, BufferedBody),
    /// A stream whose head has been received.
    Stream(Box<OpenStream>),
    /// A complete response with a server error (5xx).
    Failed(ResponseHead, BufferedBody),
    /// The prompt has been prefilled, and the engine keeps its KV cache.
    Prefilled(KvHandle),
    /// The request was not sent, and the reason: the backend server became unavailable, or its rate
    /// limit is used up.
    Withheld(SmolStr),
    /// No usable response, and the reason.
    Ended(AttemptEnd, SmolStr),
}

impl AttemptResult {
    /// Returns whether it is a complete response to relay, or a stream that did not end before its
    /// first event.
    pub(crate) fn is_usable(&self) -> bool {
        match self {
            Self::Complete(..) => true,
            Self::Stream(stream) => stream.ahead.as_ref().is_none_or(|ahead| ahead.end.is_ok()),
            Self::Failed(..) | Self::Prefilled(_) | Self::Withheld(_) | Self::Ended(..) => false,
        }
    }
}

/// How an attempt is counted in the metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptClass {
    /// A complete response was received.
    Answered,
    /// A complete stream was relayed.
    Streamed,
    /// The prompt was prefilled for another engine.
    Prefilled,
    /// It was cancelled, since a hedge was faster.
    Cancelled,
    /// No usable response was received, or one with a server error.
    Ended(AttemptEnd),
}

impl AttemptClass {
    /// Returns the `outcome` label in the metrics.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Streamed => "streamed",
            Self::Prefilled => "prompt read",
            Self::Cancelled => "cancelled",
            Self::Ended(AttemptEnd::NotSent) => "not sent",
            Self::Ended(AttemptEnd::NotRun { .. }) => "not run",
            Self::Ended(AttemptEnd::Failed) => "failed",
            Self::Ended(AttemptEnd::Broken) => "broken",
            Self::Ended(AttemptEnd::Silent) => "silent",
            Self::Ended(AttemptEnd::Invalid) => "invalid",
            Self::Ended(AttemptEnd::TimedOut) => "timed out",
        }
    }

    /// Returns whether it counts as a failure of the backend server.
    pub(crate) const fn is_failure(self) -> bool {
        matches!(self, Self::Ended(_))
    }
}

/// A request to be sent, and the backend server that gets it.
pub(crate) struct Attempt<'a> {
    pub(crate) state: &'a Rc<GatewayState>,
    pub(crate) request: &'a ReceivedRequest,
    pub(crate) caller: &'a CallerRequest,
    pub(crate) route: &'a RouteRule,
    pub(crate) team: Option<&'a TeamId>,
    pub(crate) urgency: u8,
    pub(crate) placement: &'a Placement,
    /// The permit to send it, if the backend server has a rate limit.
    pub(crate) permit: Option<SendPermit>,
    pub(crate) deadline: TimePoint,
    /// Whether another backend server may be tried after this attempt.
    pub(crate) others_left: bool,
    /// The part of the work that is requested.
    pub(crate) work: AttemptWork<'a>,
    /// The `id` of the last event that the caller was sent, if the stream is resumed.
    pub(crate) last_event_id: Option<&'a str>,
}

impl Attempt<'_> {
    /// Sends the request and waits for its response, until the deadline at most.
    pub(crate) async fn run(&self) -> AttemptResult {
        let sent = Cell::new(None);
        let started_at = self.state.now();
        let time_left = self.deadline.since(self.state.now());
        let limit = self.response_timeout(time_left);
        let exchange = self.exchange(&sent);
        let result = tokio::time::timeout(Duration::from_micros(limit.0), exchange).await;
        let result = result.unwrap_or_else(|_| {
            let end = match (sent.get(), limit < time_left) {
                (None, _) => AttemptEnd::NotSent,
                (Some(_), true) => AttemptEnd::Silent,
                (Some(_), false) => AttemptEnd::TimedOut,
            };
            AttemptResult::Ended(
                end,
                SmolStr::new_static("no response within the time limit"),
            )
        });
        self.note_health(&result, started_at);
        result
    }

    /// Returns how long to wait for a response. It is less than the time left if the request can
    /// then be sent to another backend server.
    fn response_timeout(&self, time_left: TimeSpan) -> TimeSpan {
        let can_retry = self.route.retry_rule.allows_retry() && !self.route.retry_rule.is_stream();
        if !can_retry || !self.others_left {
            return time_left;
        }
        time_left.min(TimeSpan(
            self.route.latency_objective.0 * MAX_SILENT_OBJECTIVES,
        ))
    }

    /// Connects, sends the request and reads its response, without a time limit.
    async fn exchange(&self, sent: &Cell<Option<TimePoint>>) -> AttemptResult {
        let in_flight = InFlightGuard::begin(self.state, self.placement);
        let (mut connection, sent_at) = match self.send(sent).await {
            Ok(request) => request,
            Err(result) => return result,
        };
        let (head, response) = match self.read_response_head(&mut connection, sent_at).await {
            Ok(read) => read,
            Err(error) => return connection_failure(&error),
        };
        if let Some(load) = response.load {
            let now = self.state.now();
            let mut table = self.state.table.borrow_mut();
            table.record_load(&self.placement.backend, load, now);
        }
        let prefill = matches!(self.work, AttemptWork::Prefill);
        let is_valid = response.stamped && !response.encoded;
        if self.route.retry_rule.is_stream() && head.status == 200 && is_valid && !prefill {
            let decoder = BodyDecoder::new(head.framing);
            return AttemptResult::Stream(Box::new(OpenStream {
                connection,
                head,
                decoder,
                in_flight,
                ahead: None,
            }));
        }
        self.read_complete(connection, head, &response, in_flight)
            .await
    }

    /// Sends the request; returns its connection and when that began. A kept connection that turns
    /// out to have ended says nothing about the backend server, so another one is used.
    async fn send(
        &self,
        sent: &Cell<Option<TimePoint>>,
    ) -> Result<(ClientConnection, TimePoint), AttemptResult> {
        let backend = &self.placement.backend;
        loop {
            let connected = self.connect().await;
            let mut connection =
                connected.map_err(|error| ended(AttemptEnd::NotSent, error.to_string()))?;
            if self.state.is_unavailable(backend) {
                let reason = "the backend server became unavailable before the request was sent";
                return Err(AttemptResult::Withheld(SmolStr::new_static(reason)));
            }
            if self.is_replaced() {
                let reason = "the backend server was replaced by one of another software version";
                return Err(AttemptResult::Withheld(SmolStr::new_static(reason)));
            }
            if !self.state.spend_permit(backend, self.permit.as_ref()) {
                let reason = "no valid permit within the backend server's rate limit";
                return Err(AttemptResult::Withheld(SmolStr::new_static(reason)));
            }
            let bytes = render_attempt(&self.request.head, &self.request.body, &self.fields());
            let sent_at = self.state.now();
            sent.set(Some(sent_at));
            match connection.send(&bytes).await {
                Ok(()) => return Ok((connection, sent_at)),
                Err(error @ ConnectionError::NotSent(_)) => {
                    sent.set(None);
                    if let Some(permit) = &self.permit {
                        permit.restore();
                    }
                    if !connection.is_reused() {
                        return Err(connection_failure(&error));
                    }
                }
                Err(error) => return Err(connection_failure(&error)),
            }
        }
    }

    /// Returns whether the backend server is listed with another software version than when it was
    /// chosen.
    fn is_replaced(&self) -> bool {
        let table = self.state.table.borrow();
        let row = table.get(&self.placement.backend);
        row.is_some_and(|row| row.spec.version != self.placement.version)
    }

    /// Reads the body of a response that is not streamed, and classifies the response.
    async fn read_complete(
        &self,
        mut connection: ClientConnection,
        head: ResponseHead,
        response: &BackendResponse,
        mut in_flight: InFlightGuard,
    ) -> AttemptResult {
        let mut buffer = self.state.buffers.begin();
        let read = connection.read_shared_body(&head, MAX_BODY_BYTES, &mut buffer);
        let read = read.await;
        let now = self.state.now();
        let body = match read {
            Ok(body) => {
                let pool = &self.state.pool;
                pool.put(&self.placement.backend, connection, &head, now);
                BufferedBody::new(body, buffer)
            }
            Err(error) if !response.not_run => return connection_failure(&error),
            // The head already says that the request was not run. Without the body, the connection
            // cannot be used again.
            Err(_) => BufferedBody::default(),
        };
        if response.not_run {
            let mut table = self.state.table.borrow_mut();
            match response.misdirected {
                true => table.mark_unavailable(&self.placement.backend, now),
                false => table.record_rejection(&self.placement.backend, now),
            }
            drop(table);
            let end = AttemptEnd::NotRun {
                misdirected: response.misdirected,
            };
            return ended(end, format!("refused with status {}", head.status));
        }
        if matches!(self.work, AttemptWork::Prefill) {
            return self.handle_prefill(&head, &body, &in_flight);
        }
        let valid = response.stamped && !response.encoded;
        match head.status {
            200..=299 if valid => {
                in_flight.complete();
                AttemptResult::Complete(head, body)
            }
            200..=299 => ended(
                AttemptEnd::Invalid,
                "the response has no stamp or an encoded body".to_owned(),
            ),
            500..=599 => AttemptResult::Failed(head, body),
            _ => AttemptResult::Complete(head, body),
        }
    }

    /// Handles the response to a prefill call. A prefill runs nothing for the caller, so a failure
    /// counts as not run.
    fn handle_prefill(
        &self,
        head: &ResponseHead,
        body: &[u8],
        in_flight: &InFlightGuard,
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
                in_flight.first_token(parts);
                let mut prefills = self.state.prefills.borrow_mut();
                prefills.push(&self.placement.backend, parts);
                AttemptResult::Prefilled(handle)
            }
            None => ended(
                PREFILL_FAILED,
                format!("prefill failed with status {}", head.status),
            ),
        }
    }

    /// Takes an idle connection from the pool, or opens one.
    async fn connect(&self) -> io::Result<ClientConnection> {
        let id = &self.placement.backend;
        if let Some(connection) = self.state.pool.take(id, self.state.now()) {
            return Ok(connection);
        }
        let address = {
            let table = self.state.table.borrow();
            table.get(id).map(|row| row.spec.address)
        };
        let not_listed = || {
            io::Error::new(
                io::ErrorKind::NotFound,
                "the backend server is no longer listed",
            )
        };
        ClientConnection::open(address.ok_or_else(not_listed)?, CONNECT_TIMEOUT).await
    }

    /// Returns the header fields that the entry adds to the request.
    fn fields(&self) -> AttemptFields<'_> {
        AttemptFields {
            backend: &self.placement.backend,
            team: self.team,
            work: self.work,
            time_left: self.deadline.since(self.state.now()),
            urgency: self.caller.prompt.as_ref().map(|_| self.urgency),
            last_event_id: self.last_event_id,
        }
    }

    /// Reads the head of the response to this request, and skips late responses to others. Of a
    /// response that names no request, on a connection that has served others, nobody knows whose
    /// it is.
    async fn read_response_head(
        &self,
        connection: &mut ClientConnection,
        sent_at: TimePoint,
    ) -> Result<(ResponseHead, BackendResponse), ConnectionError> {
        for _ in 0..MAX_STRAY_RESPONSES {
            let head = connection.read_head().await?;
            let response = BackendResponse::read(&head);
            if !response.misdirected {
                let state = self.state;
                state.handle_notice(&self.placement.backend, &head, sent_at, &self.caller.id);
            }
            let stray = response.request.as_ref();
            if stray.is_none() && connection.is_reused() {
                let error = "received a response that names no request on a reused connection";
                let error = io::Error::new(io::ErrorKind::InvalidData, error);
                return Err(ConnectionError::Broken(error));
            }
            if stray.is_none_or(|id| *id == self.caller.id) {
                return Ok((head, response));
            }
            log::info!(request = self.caller.id.as_str(),
                backend = self.placement.backend.as_str(),
                stray = stray.map_or("", SmolStr::as_str); "skipped a response to another request");
            let mut buffer = self.state.buffers.begin();
            let read = connection.read_shared_body(&head, MAX_BODY_BYTES, &mut buffer);
            read.await?;
        }
        let error = io::Error::new(
            io::ErrorKind::InvalidData,
            "received only responses to other requests",
        );
        Err(ConnectionError::Broken(error))
    }

    /// Records what the result shows about the health of the backend server.
    fn note_health(&self, result: &AttemptResult, started_at: TimePoint) {
        let sample = match result {
            AttemptResult::Complete(..)
            | AttemptResult::Stream(_)
            | AttemptResult::Prefilled(_) => HealthSample::Answered(self.route.latency_objective),
            // Another server has this address now, which says nothing about the intended one.
            AttemptResult::Ended(AttemptEnd::NotRun { misdirected: true }, _)
            | AttemptResult::Withheld(_) => return,
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
            self.state.note_life_sign(backend, started_at);
        }
    }
}

fn ended(end: AttemptEnd, reason: String) -> AttemptResult {
    AttemptResult::Ended(end, reason.into())
}

fn connection_failure(error: &ConnectionError) -> AttemptResult {
    ended(attempt_end(error), error.to_string())
}

/// Returns how an attempt has ended whose connection failed.
pub(crate) fn attempt_end(error: &ConnectionError) -> AttemptEnd {
    match error {
        ConnectionError::NotSent(_) => AttemptEnd::NotSent,
        ConnectionError::InvalidResponse(_) => AttemptEnd::Invalid,
        ConnectionError::Broken(error) => match error.kind() {
            // The system has given up an unacknowledged connection, or a router has.
            io::ErrorKind::TimedOut
            | io::ErrorKind::HostUnreachable
            | io::ErrorKind::NetworkUnreachable => AttemptEnd::Silent,
            io::ErrorKind::InvalidData => AttemptEnd::Invalid,
            _ => AttemptEnd::Broken,
        },
    }
}
