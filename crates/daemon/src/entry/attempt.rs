//! One attempt to run a request on one backend server.

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

use super::links::{self, LinkChoice};
use super::reply::ReplyWriter;
use super::state::EntryState;

/// How many pieces of an answer wait in an entry before the sidecar is held back.
const PIECE_LIMIT: usize = 32;

/// A piece of an answer, as it comes.
pub(crate) enum AnswerPiece {
    Head(HeadMessage),
    Part(PartMessage),
}

/// How an attempt ended, and whether the backend server died while it ran.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptResult {
    pub(crate) end: AttemptEnd,
    pub(crate) crashed: bool,
}

impl From<AttemptEnd> for AttemptResult {
    fn from(end: AttemptEnd) -> Self {
        let crashed = false;
        Self { end, crashed }
    }
}

/// Takes pieces from the sidecar.
struct SinkServer {
    pieces: mpsc::Sender<AnswerPiece>,
}

impl SinkServer {
    async fn pass(&self, piece: AnswerPiece) -> Result<(), capnp::Error> {
        let sent = self.pieces.send(piece).await;
        sent.map_err(|_| capnp::Error::disconnected("the attempt has ended".into()))
    }
}

impl answer_sink::Server for SinkServer {
    async fn head(
        self: Rc<Self>,
        params: answer_sink::HeadParams,
        _: answer_sink::HeadResults,
    ) -> Result<(), capnp::Error> {
        let head = HeadMessage::read(params.get()?.get_head()?)?;
        self.pass(AnswerPiece::Head(head)).await
    }

    async fn part(
        self: Rc<Self>,
        params: answer_sink::PartParams,
        _: answer_sink::PartResults,
    ) -> Result<(), capnp::Error> {
        let part = PartMessage::read(params.get()?.get_part()?)?;
        self.pass(AnswerPiece::Part(part)).await
    }
}

/// Runs one attempt, gives its pieces to `writer` and says how it ended.
///
/// A connection that ends or goes silent leaves the outcome unknown.
pub(crate) async fn run<F>(
    state: &Rc<EntryState>,
    choice: &LinkChoice,
    dispatch: &DispatchMessage,
    writer: &mut ReplyWriter,
    note_first: F,
) -> AttemptResult
where
    F: Fn(),
{
    let (sender, mut pieces) = mpsc::channel(PIECE_LIMIT);
    let sink = SinkServer { pieces: sender };
    let mut request = choice.link.session.dispatch_request();
    dispatch.write(request.get().init_dispatch());
    request.get().set_sink(capnp_rpc::new_client(sink));
    let mut reply = std::pin::pin!(request.send().promise);
    let silence = silence_limit(state, dispatch.deadline);
    loop {
        tokio::select! {
            biased;
            Some(piece) = pieces.recv() => {
                note_first();
                if let Err(error) = writer.take(piece, state.now()).await {
                    log::debug!(request = dispatch.id.request.as_str(); "attempt ended: {error:#}");
                    return AttemptEnd::Broken.into();
                }
            }
            reply = &mut reply => {
                while let Ok(piece) = pieces.try_recv() {
                    if writer.take(piece, state.now()).await.is_err() {
                        return AttemptEnd::Broken.into();
                    }
                }
                let Ok(reply) = reply else {
                    return AttemptEnd::Unknown.into();
                };
                let end = reply.get().and_then(|reply| reply.get_end());
                let end = end.map_err(eyre::Report::from);
                let end = end.and_then(|end| read_end(state, choice, dispatch, end));
                return end.map_or(AttemptEnd::Unknown.into(), |end| settle_end(writer, dispatch, &end));
            }
            () = writer.wait_left() => return AttemptEnd::Unknown.into(),
            () = choice.link.wait_closed() => return AttemptEnd::Unknown.into(),
            () = actix_rt::time::sleep(silence) => return AttemptEnd::Silent.into(),
        }
    }
}

/// The sidecar's own limits end an attempt first; this one is for a sidecar that stopped.
fn silence_limit(state: &EntryState, deadline: TimeSpan) -> Duration {
    let limit = deadline + state.settings.progress_timeout + state.settings.progress_timeout;
    Duration::from_micros(limit.0)
}

fn read_end(
    state: &Rc<EntryState>,
    choice: &LinkChoice,
    dispatch: &DispatchMessage,
    end: answer_end::Reader<'_>,
) -> Result<EndMessage> {
    let end = EndMessage::read(end)?;
    if end.id != dispatch.id {
        bail!(
            "{} the end of another attempt came",
            ResultCode::AnswerCrossed
        );
    }
    links::note_load(state, &choice.instance, &end.load);
    Ok(end)
}

fn settle_end(
    writer: &mut ReplyWriter,
    dispatch: &DispatchMessage,
    message: &EndMessage,
) -> AttemptResult {
    let end = match message.end {
        WireEnd::Whole(size) => match writer.close(&dispatch.id, size) {
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
