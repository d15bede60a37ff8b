//! One attempt at a request on one backend server.

use std::rc::Rc;
use std::time::Duration;

use applefold_core::code::ResultCode;
use applefold_core::response::AttemptEnd;
use applefold_core::unit::TimeSpan;
use applefold_wire::applefold_capnp::{answer_end, answer_sink};
use applefold_wire::dispatch::{
    AttemptEnd as WireEnd, DispatchMessage, EndMessage, HeadMessage, PartMessage,
};
use eyre::{bail, Result};
use tokio::sync::mpsc;

use super::links::{self, SidecarLink};
use super::response::ResponseWriter;
use super::state::EntryState;

/// The response messages that an entry queues for one attempt before backpressure stops the
/// sidecar.
const RESPONSE_QUEUE_LEN: usize = 32;

/// A message with the head or a part of an attempt's response.
pub(crate) enum ResponseMessage {
    /// The status and headers.
    Head(HeadMessage),
    /// Bytes of the body.
    Part(PartMessage),
}

/// The result of an attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptResult {
    /// How the attempt ended.
    pub(crate) end: AttemptEnd,
    /// Whether the backend server crashed meanwhile.
    pub(crate) crashed: bool,
}

impl From<AttemptEnd> for AttemptResult {
    fn from(end: AttemptEnd) -> Self {
        let crashed = false;
        Self { end, crashed }
    }
}

/// Receives the response messages from the sidecar.
struct ResponseSink {
    messages: mpsc::Sender<ResponseMessage>,
}

impl ResponseSink {
    async fn forward(&self, message: ResponseMessage) -> Result<(), capnp::Error> {
        let sent = self.messages.send(message).await;
        sent.map_err(|_| capnp::Error::disconnected("the attempt has ended".into()))
    }
}

impl answer_sink::Server for ResponseSink {
    async fn head(
        self: Rc<Self>,
        params: answer_sink::HeadParams,
        _: answer_sink::HeadResults,
    ) -> Result<(), capnp::Error> {
        let head = HeadMessage::read(params.get()?.get_head()?)?;
        self.forward(ResponseMessage::Head(head)).await
    }

    async fn part(
        self: Rc<Self>,
        params: answer_sink::PartParams,
        _: answer_sink::PartResults,
    ) -> Result<(), capnp::Error> {
        let part = PartMessage::read(params.get()?.get_part()?)?;
        self.forward(ResponseMessage::Part(part)).await
    }
}

/// Runs one attempt, passes its response to `writer` and returns how it ended.
///
/// The outcome is unknown if the caller's or the sidecar's connection closes. An attempt without
/// messages for the time of [`response_timeout`] ends as [`AttemptEnd::Silent`].
/// `on_message` is called for each message that arrives before the reply of the dispatch call.
pub(crate) async fn run<F>(
    state: &Rc<EntryState>,
    sidecar: &SidecarLink,
    dispatch: &DispatchMessage,
    writer: &mut ResponseWriter,
    on_message: F,
) -> AttemptResult
where
    F: Fn(),
{
    let (sender, mut messages) = mpsc::channel(RESPONSE_QUEUE_LEN);
    let sink = ResponseSink { messages: sender };
    let mut request = sidecar.link.session.dispatch_request();
    dispatch.write(request.get().init_dispatch());
    request.get().set_sink(capnp_rpc::new_client(sink));
    let mut reply = std::pin::pin!(request.send().promise);
    let timeout = response_timeout(state, dispatch.deadline);
    loop {
        tokio::select! {
            biased;
            Some(message) = messages.recv() => {
                on_message();
                if let Err(error) = writer.handle(message, state.now()).await {
                    log::debug!(request = dispatch.id.request.as_str(); "attempt ended: {error:#}");
                    return AttemptEnd::Broken.into();
                }
            }
            reply = &mut reply => {
                while let Ok(message) = messages.try_recv() {
                    if writer.handle(message, state.now()).await.is_err() {
                        return AttemptEnd::Broken.into();
                    }
                }
                let Ok(reply) = reply else {
                    return AttemptEnd::Unknown.into();
                };
                let end = reply.get().and_then(|reply| reply.get_end());
                let end = end.map_err(eyre::Report::from);
                let end = end.and_then(|end| read_end(state, sidecar, dispatch, end));
                return end.map_or(AttemptEnd::Unknown.into(), |end| finish_attempt(writer, dispatch, &end));
            }
            () = writer.wait_disconnect() => return AttemptEnd::Unknown.into(),
            () = sidecar.link.wait_closed() => return AttemptEnd::Unknown.into(),
            () = actix_rt::time::sleep(timeout) => return AttemptEnd::Silent.into(),
        }
    }
}

/// Returns how long an attempt may go without a message. The sidecar's own timeouts end an attempt
/// earlier; this one is for a sidecar that hangs.
fn response_timeout(state: &EntryState, deadline: TimeSpan) -> Duration {
    let limit = deadline + state.settings.progress_timeout + state.settings.progress_timeout;
    Duration::from_micros(limit.0)
}

fn read_end(
    state: &Rc<EntryState>,
    sidecar: &SidecarLink,
    dispatch: &DispatchMessage,
    end: answer_end::Reader<'_>,
) -> Result<EndMessage> {
    let end = EndMessage::read(end)?;
    if end.id != dispatch.id {
        bail!(
            "{} the sidecar reported the end of another attempt",
            ResultCode::AnswerCrossed
        );
    }
    links::record_load(state, &sidecar.instance, &end.load);
    Ok(end)
}

fn finish_attempt(
    writer: &mut ResponseWriter,
    dispatch: &DispatchMessage,
    message: &EndMessage,
) -> AttemptResult {
    let end = match message.end {
        WireEnd::Complete(size) => match writer.close(&dispatch.id, size) {
            true => AttemptEnd::Whole,
            false => AttemptEnd::Broken,
        },
        WireEnd::NotRun(refusal) => AttemptEnd::NotRun(refusal),
        WireEnd::Broken(_) => AttemptEnd::Broken,
        WireEnd::Unknown(refusal) if refusal.code == ResultCode::PeerSilent => AttemptEnd::Silent,
        WireEnd::Unknown(_) => AttemptEnd::Unknown,
    };
    let crashed = message.crashed;
    AttemptResult { end, crashed }
}
