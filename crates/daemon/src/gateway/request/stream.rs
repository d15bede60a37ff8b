//! Relays the events of a stream to the caller.

use applefold_core::direct::{AttemptEnd, Placement, PromptPart, StreamBinding};
use applefold_h1::encode_chunk;
use applefold_platform::{render_response_head, ResponseFraming};
use opentelemetry::KeyValue;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;

use super::RequestDriver;
use crate::gateway::attempt::{attempt_end, OpenStream, ReadAhead};
use crate::gateway::origins::is_resumable;
use crate::gateway::prepare::keeps_alive;
use crate::gateway::sse::EventBuffer;

const EVENT_TOO_LARGE: &str = "an event of the stream is too large";
const TRUNCATED: &str = "the stream ended within an event";

/// How the relay of a stream ended.
pub(super) enum RelayEnd {
    Complete,
    CallerDisconnected,
    Broken(AttemptEnd, String),
}

impl RelayEnd {
    /// Returns the `end` label in the metrics.
    const fn name(&self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::CallerDisconnected => "caller disconnected",
            Self::Broken(..) => "broken",
        }
    }
}

impl RequestDriver<'_> {
    /// Relays complete events as they are received, until the stream ends or breaks. The chunk that
    /// ends the body is left to the caller of this method.
    pub(super) async fn relay(
        &mut self,
        stream: OpenStream,
        placement: &Placement,
        writer: &mut OwnedWriteHalf,
    ) -> RelayEnd {
        let framing = stream.head.framing.name();
        self.event_buffer.begin_stream();
        let end = self.relay_events(stream, placement, writer).await;
        self.count_stream(framing, end.name());
        log::info!(request = self.prepared.caller.id.as_str(),
            backend = placement.backend.as_str(), framing,
            events = self.event_buffer.event_count(),
            partial_bytes = self.event_buffer.partial_len();
            "stream of a backend server ended: {}", end.name());
        end
    }

    /// Counts a stream of a backend server that has ended.
    pub(super) fn count_stream(&self, framing: &'static str, end: &'static str) {
        let framing = KeyValue::new("framing", framing);
        let end = KeyValue::new("end", end);
        self.state.metrics.streams.add(1, &[framing, end]);
    }

    /// Reads a stream until its first event, without relaying it.
    pub(super) async fn read_ahead(&self, stream: &mut OpenStream) -> ReadAhead {
        let mut events = EventBuffer::default();
        let mut body = Vec::new();
        let end = loop {
            let read_before = body.len();
            let complete = match self.read_part(stream, &mut body).await {
                Ok(complete) => complete,
                Err(end) => break Err(end),
            };
            if !events.push(&body[read_before..]).is_empty() {
                break Ok(complete);
            }
            if events.is_over_limit() {
                break Err((AttemptEnd::Invalid, EVENT_TOO_LARGE.to_owned()));
            }
            if complete && events.is_truncated(stream.head.framing) {
                break Err((AttemptEnd::Broken, TRUNCATED.to_owned()));
            }
            if complete {
                break Ok(true);
            }
        };
        ReadAhead { body, end }
    }

    /// Reads more of the body of a stream into `body`, until the deadline at most; returns whether
    /// the body is complete.
    async fn read_part(
        &self,
        stream: &mut OpenStream,
        body: &mut Vec<u8>,
    ) -> Result<bool, (AttemptEnd, String)> {
        let left = self.prepared.deadline.since(self.state.now());
        let limit = std::time::Duration::from_micros(left.0);
        let read = stream.connection.read_body(&mut stream.decoder, body);
        match tokio::time::timeout(limit, read).await {
            Ok(Ok(complete)) => Ok(complete),
            Ok(Err(error)) => Err((attempt_end(&error), error.to_string())),
            Err(_) => {
                let reason = "the deadline passed during the stream".to_owned();
                Err((AttemptEnd::TimedOut, reason))
            }
        }
    }

    async fn relay_events(
        &mut self,
        mut stream: OpenStream,
        placement: &Placement,
        writer: &mut OwnedWriteHalf,
    ) -> RelayEnd {
        let mut body = Vec::new();
        let mut output = Vec::new();
        let mut share = self.state.buffers.begin();
        loop {
            body.clear();
            let read = match stream.ahead.take() {
                Some(ahead) => {
                    body = ahead.body;
                    ahead.end
                }
                None => self.read_part(&mut stream, &mut body).await,
            };
            let complete = match read {
                Ok(complete) => complete,
                Err((end, reason)) => return RelayEnd::Broken(end, reason),
            };
            let buffered = body.capacity() + output.capacity() + self.event_buffer.partial_len();
            if !share.grow_to(buffered) {
                let reason = "no memory is left for the events of the stream".to_owned();
                return RelayEnd::Broken(AttemptEnd::Invalid, reason);
            }
            output.clear();
            let had_event = self.event_buffer.event_count() > 0;
            let events = self.event_buffer.push(&body);
            if !had_event && !events.is_empty() {
                self.note_answer_begun();
                self.note_stream_begun(placement);
            }
            if self.event_buffer.is_over_limit() {
                return RelayEnd::Broken(AttemptEnd::Invalid, EVENT_TOO_LARGE.to_owned());
            }
            // Also where its framing is complete: a backend server that crashes may close its
            // connection in the regular way.
            let truncated = complete && self.event_buffer.is_truncated(stream.head.framing);
            let complete = complete && !truncated;
            if (complete || !events.is_empty()) && !self.head_sent {
                self.begin_stream(&stream, &mut output);
            }
            encode_chunk(&events, &mut output);
            if !output.is_empty() && writer.write_all(&output).await.is_err() {
                return RelayEnd::CallerDisconnected;
            }
            if truncated {
                return RelayEnd::Broken(AttemptEnd::Broken, TRUNCATED.to_owned());
            }
            if complete {
                let now = self.state.now();
                stream.in_flight.complete();
                let pool = &self.state.pool;
                pool.put(&placement.backend, stream.connection, &stream.head, now);
                let suspects = &self.state.suspects;
                suspects.note_completion(self.prepared.fingerprint, now);
                return RelayEnd::Complete;
            }
        }
    }

    /// Binds the stream to the version of the backend server that has sent its first event, and
    /// remembers that for callers who resume it.
    fn note_stream_begun(&mut self, placement: &Placement) {
        if self.head_sent {
            return;
        }
        let version = placement.version.as_ref();
        if self.binding == StreamBinding::Unbound {
            self.binding = StreamBinding::begun_at(version);
        }
        if is_resumable(self.prepared.route.retry_rule) {
            let now = self.state.now();
            self.state.origins.record(self.prepared, version, now);
        }
    }

    /// Renders the head of the response and records the first byte.
    fn begin_stream(&mut self, stream: &OpenStream, output: &mut Vec<u8>) {
        self.head_sent = true;
        self.count_usage();
        let first_byte = self.state.now().since(self.request.arrived);
        self.first_byte = Some(first_byte);
        self.state
            .metrics
            .first_byte
            .record(first_byte.as_secs_f64(), &[]);
        if let Some(handoff) = self.handoff.take() {
            handoff.fetched();
        }
        let prompt = self.prepared.caller.prompt.as_ref();
        let parts: &[PromptPart] = prompt.map_or(&[], |prompt| &prompt.parts);
        stream.in_flight.first_token(parts);
        let keep = keeps_alive(self.state, self.request);
        render_response_head(&stream.head, ResponseFraming::Chunked, keep, output);
    }
}
