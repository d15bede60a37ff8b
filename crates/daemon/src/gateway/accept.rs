//! The connections of callers.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use applefold_core::code::{CallRefusal, ResultCode};
use applefold_core::direct::CallerLimits;
use applefold_core::unit::{ByteSize, TimePoint};
use applefold_h1::{parse_request, BodyDecoder, HeadError, RequestHead};
use applefold_platform::render_refusal;
use bytes::BytesMut;
use eyre::{Result, WrapErr};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::connection::configure_socket;
use super::request;
use super::state::GatewayState;

const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Descriptors kept for backend servers, the store and files.
const RESERVED_DESCRIPTORS: u64 = 1_200;
const READ_BYTES: usize = 8_192;
/// The most bytes read ahead while an answer is on its way.
const MAX_AHEAD: usize = 65_536;
/// The longest pause inside the body of a request.
const BODY_PAUSE: Duration = Duration::from_secs(5);
/// How long bytes of a refused request are still taken, so that the refusal is not lost to a reset.
const LINGER_TIME: Duration = Duration::from_millis(500);
/// How long a connection that was just accepted is waited on for its first request once this
/// process takes no more work: the request has mostly been sent already.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(300);
const INTERIM_ANSWER: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Whether a connection may be used for another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionAction {
    /// The answer is whole and the connection stays open.
    Keep,
    /// It is closed once what was written has left.
    Close,
}

/// A whole request of a caller.
#[derive(Debug)]
pub(crate) struct ReceivedRequest {
    pub(crate) head: RequestHead,
    pub(crate) body: Vec<u8>,
    /// When its first byte came.
    pub(crate) arrived: TimePoint,
}

/// Why no request came.
enum ReadEnd {
    /// The caller or this process is done with the connection.
    Closed,
    /// The caller is told this, and the connection is closed.
    Refused(CallRefusal),
}

/// Counts an open connection for as long as it lives.
struct OpenGuard(Rc<Cell<u64>>);

impl OpenGuard {
    fn new(open: &Rc<Cell<u64>>) -> Self {
        open.set(open.get() + 1);
        Self(Rc::clone(open))
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Counts a request on its way in until it is answered; a process that stops waits for it.
struct ArrivalGuard(Rc<GatewayState>);

impl ArrivalGuard {
    fn new(state: &Rc<GatewayState>) -> Self {
        state.arriving.set(state.arriving.get() + 1);
        Self(Rc::clone(state))
    }
}

impl Drop for ArrivalGuard {
    fn drop(&mut self) {
        self.0.arriving.set(self.0.arriving.get() - 1);
    }
}

/// Accepts callers for as long as the process runs.
pub(crate) async fn serve(state: &Rc<GatewayState>) -> Result<()> {
    let Some(address) = state.settings().caller_listen else {
        return Ok(());
    };
    let listener = TcpListener::bind(address).await;
    let listener = listener.wrap_err_with(|| format!("could not listen on {address}"))?;
    let state = Rc::clone(state);
    actix_rt::spawn(async move {
        let open = Rc::new(Cell::new(0));
        let descriptors = state.settings().descriptors;
        let most = descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(64);
        loop {
            match listener.accept().await {
                Ok((stream, _)) if open.get() < most => {
                    let guard = OpenGuard::new(&open);
                    actix_rt::spawn(serve_connection(Rc::clone(&state), stream, guard));
                }
                Ok((_, peer)) => {
                    log::warn!(peer = peer.to_string(), open = open.get();
                        "connection closed: too many are open");
                }
                Err(error) => {
                    log::warn!(error = error.to_string(); "could not accept a connection");
                    actix_rt::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    });
    Ok(())
}

async fn serve_connection(state: Rc<GatewayState>, stream: TcpStream, _open: OpenGuard) {
    configure_socket(&stream);
    let (half, mut writer) = stream.into_split();
    let mut reader = CallerReader {
        half,
        input: BytesMut::new(),
        closing: state.closing.subscribe(),
    };
    let mut arrival = Some(ArrivalGuard::new(&state));
    loop {
        let request = match reader.next(&state, &mut writer, &mut arrival).await {
            Ok(request) => request,
            Err(ReadEnd::Closed) => return,
            Err(ReadEnd::Refused(refusal)) => {
                log::info!(code = refusal.code.number(); "unreadable request refused");
                let mut bytes = Vec::new();
                render_refusal(&refusal, None, false, &mut bytes);
                if writer.write_all(&bytes).await.is_ok() {
                    reader.linger(&mut writer).await;
                }
                return;
            }
        };
        let fate = request::serve(&state, &request, &mut reader, &mut writer).await;
        arrival = None;
        if fate == ConnectionAction::Close {
            return;
        }
    }
}

/// Reads the requests of one connection.
pub(crate) struct CallerReader {
    half: OwnedReadHalf,
    input: BytesMut,
    closing: watch::Receiver<bool>,
}

impl CallerReader {
    /// Returns once the caller has closed the connection.
    pub(crate) async fn gone(&mut self) {
        loop {
            if self.input.len() >= MAX_AHEAD {
                return std::future::pending().await;
            }
            self.input.reserve(READ_BYTES);
            match self.half.read_buf(&mut self.input).await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
    }

    /// Reads the next request; `arrival` is there where it is the first one of a connection.
    async fn next(
        &mut self,
        state: &Rc<GatewayState>,
        writer: &mut OwnedWriteHalf,
        arrival: &mut Option<ArrivalGuard>,
    ) -> Result<ReceivedRequest, ReadEnd> {
        let limits = state
            .rules()
            .map_or(CallerLimits::default(), |rules| rules.limits);
        if self.input.is_empty() {
            self.wait_first(&limits, arrival.is_some()).await?;
        }
        arrival.get_or_insert_with(|| ArrivalGuard::new(state));
        let arrived = state.now();
        let limit = Duration::from_micros(limits.head_time.0);
        let head = tokio::time::timeout(limit, self.read_head(limits.head)).await;
        let head = head.unwrap_or(Err(ReadEnd::Closed))?;
        if head.expects_continue && writer.write_all(INTERIM_ANSWER).await.is_err() {
            return Err(ReadEnd::Closed);
        }
        let body = self.read_body(&head, limits.body).await?;
        Ok(ReceivedRequest {
            head,
            body,
            arrived,
        })
    }

    async fn wait_first(&mut self, limits: &CallerLimits, fresh: bool) -> Result<(), ReadEnd> {
        self.input.reserve(READ_BYTES);
        let idle = Duration::from_micros(limits.idle_time.0);
        let closing = &mut self.closing;
        let closed = async {
            let told = closing.wait_for(|closing| *closing).await.is_ok();
            if fresh && told {
                actix_rt::time::sleep(FIRST_REQUEST_TIME).await;
            }
        };
        let read = tokio::select! {
            biased;
            read = tokio::time::timeout(idle, self.half.read_buf(&mut self.input)) => read,
            () = closed => return Err(ReadEnd::Closed),
        };
        match read {
            Ok(Ok(count)) if count > 0 => Ok(()),
            _ => Err(ReadEnd::Closed),
        }
    }

    async fn read_head(&mut self, limit: ByteSize) -> Result<RequestHead, ReadEnd> {
        loop {
            match parse_request(&self.input, limit.0 as usize) {
                Ok(Some((head, used))) => {
                    let _ = self.input.split_to(used);
                    return Ok(head);
                }
                Ok(None) => self.fill().await?,
                Err(error) => return Err(ReadEnd::Refused(refusal_of(error))),
            }
        }
    }

    async fn read_body(&mut self, head: &RequestHead, limit: ByteSize) -> Result<Vec<u8>, ReadEnd> {
        let mut decoder = BodyDecoder::new(head.framing);
        let mut body = Vec::new();
        loop {
            match decoder.decode(&mut self.input, &mut body) {
                Ok(_) if body.len() as u64 > limit.0 => {
                    return Err(ReadEnd::Refused(refusal_of(HeadError::TooLarge)));
                }
                Ok(true) => return Ok(body),
                Ok(false) => {
                    let fill = tokio::time::timeout(BODY_PAUSE, self.fill()).await;
                    fill.unwrap_or(Err(ReadEnd::Closed))?;
                }
                Err(error) => return Err(ReadEnd::Refused(refusal_of(error))),
            }
        }
    }

    async fn fill(&mut self) -> Result<(), ReadEnd> {
        self.input.reserve(READ_BYTES);
        match self.half.read_buf(&mut self.input).await {
            Ok(0) | Err(_) => Err(ReadEnd::Closed),
            Ok(_) => Ok(()),
        }
    }

    /// Takes what the caller still sends for a moment.
    async fn linger(&mut self, writer: &mut OwnedWriteHalf) {
        if writer.shutdown().await.is_err() {
            return;
        }
        let drain = async {
            loop {
                self.input.clear();
                if self.fill().await.is_err() {
                    return;
                }
            }
        };
        let _ = tokio::time::timeout(LINGER_TIME, drain).await;
    }
}

fn refusal_of(error: HeadError) -> CallRefusal {
    CallRefusal::lasting(match error {
        HeadError::Malformed(_) => ResultCode::RequestMalformed,
        HeadError::TooLarge => ResultCode::RequestTooLarge,
    })
}
