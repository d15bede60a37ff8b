//! Passes the events of a stream on to its caller.

use applefold_core::direct::{AttemptEnd, Placement, PromptPart};
use applefold_h1::encode_chunk;
use applefold_platform::{render_response_head, ResponseFraming};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;

use super::RequestDriver;
use crate::gateway::attempt::OpenStream;
use crate::gateway::prepare::keeps_alive;

/// How the relay of a stream ended.
pub(super) enum RelayEnd {
    Whole,
    CallerLeft,
    Broken(AttemptEnd, String),
}

impl RequestDriver<'_> {
    /// Passes events on as they come, until the stream ends or breaks.
    pub(super) async fn relay(
        &mut self,
        mut stream: OpenStream,
        placement: &Placement,
        writer: &mut OwnedWriteHalf,
    ) -> RelayEnd {
        let mut body = Vec::new();
        let mut output = Vec::new();
        loop {
            let left = self.prepared.deadline.since(self.state.now());
            let limit = std::time::Duration::from_micros(left.0);
            body.clear();
            let read = stream.connection.read_body(&mut stream.decoder, &mut body);
            let done = match tokio::time::timeout(limit, read).await {
                Ok(Ok(done)) => done,
                Ok(Err(fault)) => {
                    self.cutter.discard_partial();
                    return RelayEnd::Broken(AttemptEnd::Broken, fault.to_string());
                }
                Err(_) => {
                    let reason = "the deadline passed".to_owned();
                    return RelayEnd::Broken(AttemptEnd::TimedOut, reason);
                }
            };
            output.clear();
            let mut events = self.cutter.push(&body);
            if self.cutter.is_over_limit() {
                self.cutter.discard_partial();
                let reason = "an event is too large".to_owned();
                return RelayEnd::Broken(AttemptEnd::Broken, reason);
            }
            if done {
                events.extend_from_slice(&self.cutter.take_rest());
            }
            if (done || !events.is_empty()) && !self.begun {
                self.begin_stream(&stream, &mut output);
            }
            encode_chunk(&events, &mut output);
            if !output.is_empty() && writer.write_all(&output).await.is_err() {
                return RelayEnd::CallerLeft;
            }
            if done {
                let now = self.state.now();
                stream.flight.complete();
                let pool = &self.state.pool;
                pool.put(&placement.backend, stream.connection, &stream.head, now);
                let suspects = &self.state.suspects;
                suspects.note_completion(self.prepared.fingerprint, now);
                return RelayEnd::Whole;
            }
        }
    }

    fn begin_stream(&mut self, stream: &OpenStream, output: &mut Vec<u8>) {
        self.begun = true;
        self.count_run();
        let span = self.state.now().since(self.request.arrived);
        self.first = Some(span);
        self.state
            .metrics
            .first_byte
            .record(span.as_secs_f64(), &[]);
        if let Some(handoff) = self.handoff.take() {
            handoff.fetched();
        }
        let prompt = self.prepared.caller.prompt.as_ref();
        let parts: &[PromptPart] = prompt.map_or(&[], |prompt| &prompt.parts);
        stream.flight.first_token(parts);
        let keep = keeps_alive(self.state, self.request);
        render_response_head(&stream.head, ResponseFraming::Chunked, keep, output);
    }
}
