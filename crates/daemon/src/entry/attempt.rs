//! One attempt to run a request on one backend server.

use std::rc::Rc;
use std::time::Duration;

use applefold_core::code::{CallRefusal, ResultCode};
use applefold_core::id::InstanceId;
use applefold_core::unit::{ByteSize, TimeSpan};
use applefold_wire::applefold_capnp::answer_sink;
use applefold_wire::dispatch::{
    AttemptEnd, AttemptId, DispatchMessage, EndMessage, HeadMessage, PartMessage,
};
use eyre::{bail, Result};
use tokio::sync::mpsc;

use super::links::LinkChoice;
use super::reply::ReplyWriter;
use super::state::EntryState;

/// How many pieces of an answer wait in an entry before the sidecar is held back.
const PIECE_LIMIT: usize = 32;

/// A piece of an answer, as it comes.
pub(crate) enum AnswerPiece {
    Head(HeadMessage),
    Part(PartMessage),
}

/// Takes pieces from the sidecar and checks that they belong to the attempt.
struct SinkServer {
    id: AttemptId,
    pieces: mpsc::Sender<AnswerPiece>,
}

impl SinkServer {
    async fn pass(&self, id: &AttemptId, piece: AnswerPiece) -> Result<(), capnp::Error> {
        if *id != self.id {
            let code = ResultCode::AnswerCrossed;
            log::error!(code = code.number(), request = id.request.as_str(); "answer crossed");
            return Err(capnp::Error::failed(format!("{code}")));
        }
        let sent = self.pieces.send(piece).await;
        sent.map_err(|_| capnp::Error::disconnected("the caller has left".into()))
    }
}

impl answer_sink::Server for SinkServer {
    async fn head(
        self: Rc<Self>,
        params: answer_sink::HeadParams,
        _: answer_sink::HeadResults,
    ) -> Result<(), capnp::Error> {
        let head = HeadMessage::read(params.get()?.get_head()?)?;
        let id = head.id.clone();
        self.pass(&id, AnswerPiece::Head(head)).await
    }

    async fn part(
        self: Rc<Self>,
        params: answer_sink::PartParams,
        _: answer_sink::PartResults,
    ) -> Result<(), capnp::Error> {
        let part = PartMessage::read(params.get()?.get_part()?)?;
        let id = part.id.clone();
        self.pass(&id, AnswerPiece::Part(part)).await
    }
}

/// Counts an attempt at a sidecar until it is dropped.
struct BusyGuard {
    state: Rc<EntryState>,
    instance: InstanceId,
}

impl BusyGuard {
    fn enter(state: &Rc<EntryState>, instance: &InstanceId) -> Self {
        if let Some(row) = state.links.borrow_mut().rows.get_mut(instance) {
            row.in_flight += 1;
        }
        Self {
            state: state.clone(),
            instance: instance.clone(),
        }
    }
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        if let Some(row) = self.state.links.borrow_mut().rows.get_mut(&self.instance) {
            row.in_flight = row.in_flight.saturating_sub(1);
        }
    }
}

/// Runs one attempt, gives its pieces to `writer` and says how it ended.
///
/// A connection that ends or goes silent leaves the outcome unknown.
pub(crate) async fn run(
    state: &Rc<EntryState>,
    choice: &LinkChoice,
    dispatch: &DispatchMessage,
    writer: &mut ReplyWriter,
) -> Result<AttemptEnd> {
    let _busy = BusyGuard::enter(state, &choice.instance);
    let (sender, mut pieces) = mpsc::channel(PIECE_LIMIT);
    let sink = SinkServer {
        id: dispatch.id.clone(),
        pieces: sender,
    };
    let mut request = choice.link.session.dispatch_request();
    dispatch.write(request.get().init_dispatch());
    request.get().set_sink(capnp_rpc::new_client(sink));
    let mut reply = std::pin::pin!(request.send().promise);
    let lost = CallRefusal::lasting(ResultCode::PeerSilent);
    let silence = silence_limit(state, dispatch.deadline);
    loop {
        tokio::select! {
            biased;
            Some(piece) = pieces.recv() => writer.take(piece).await?,
            reply = &mut reply => {
                while let Ok(piece) = pieces.try_recv() {
                    writer.take(piece).await?;
                }
                let Ok(reply) = reply else {
                    return Ok(AttemptEnd::Unknown(lost));
                };
                return note_end(state, choice, dispatch, reply.get()?.get_end()?);
            }
            () = writer.wait_left() => bail!("the caller has left"),
            () = choice.link.wait_closed() => return Ok(AttemptEnd::Unknown(lost)),
            () = actix_rt::time::sleep(silence) => return Ok(AttemptEnd::Unknown(lost)),
        }
    }
}

/// The sidecar's own limits end an attempt first; this one is for a sidecar that stopped.
fn silence_limit(state: &EntryState, deadline: TimeSpan) -> Duration {
    let limit = deadline + state.settings.progress_timeout + state.settings.progress_timeout;
    Duration::from_micros(limit.0)
}

fn note_end(
    state: &EntryState,
    choice: &LinkChoice,
    dispatch: &DispatchMessage,
    end: applefold_wire::applefold_capnp::answer_end::Reader<'_>,
) -> Result<AttemptEnd> {
    let end = EndMessage::read(end)?;
    if end.id != dispatch.id {
        bail!(
            "{} the end of another attempt came",
            ResultCode::AnswerCrossed
        );
    }
    state.config.merge(&end.confirmation, state.now());
    if let Some(row) = state.links.borrow_mut().rows.get_mut(&choice.instance) {
        row.load = end.load;
    }
    Ok(end.end)
}

/// Checks that parts follow each other without a gap.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct OffsetCheck {
    next: ByteSize,
}

impl OffsetCheck {
    /// Takes in a part; an error says that bytes are missing or doubled.
    pub(crate) fn feed(&mut self, part: &PartMessage) -> Result<()> {
        if part.offset != self.next {
            bail!(
                "{} a part of the answer is missing",
                ResultCode::AnswerBroken
            );
        }
        self.next += ByteSize(part.data.len() as u64);
        Ok(())
    }

    pub(crate) fn seen(&self) -> ByteSize {
        self.next
    }
}
