//! Accepts caller connections and reads HTTP requests from them.

use std::cell::Cell;
use std::io;
use std::mem::MaybeUninit;
use std::rc::Rc;
use std::time::Duration;

use applefold_core::code::{CallRefusal, ResultCode};
use applefold_core::direct::CallerLimits;
use applefold_core::drain::DrainPhase;
use applefold_core::unit::{ByteSize, TimePoint};
use applefold_h1::{parse_request, BodyDecoder, ParseError, RequestHead};
use applefold_platform::render_refusal;
use bytes::BytesMut;
use eyre::{Result, WrapErr};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

use super::connection::configure_socket;
use super::request;
use super::state::GatewayState;
use super::stop;

/// The pause after a failed `accept`.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// File descriptors reserved for connections to backend servers and the store, and for files.
const RESERVED_DESCRIPTORS: u64 = 1_200;
const READ_BUFFER_BYTES: usize = 8_192;
/// The most bytes read ahead on a connection while its current request is being served.
const MAX_READ_AHEAD_BYTES: usize = 65_536;
/// How long one read of a request body may take.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(5);
/// How long the rest of a refused request is still read before the connection is closed. Closing
/// with unread bytes would reset the connection, and the caller could lose the refusal.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a draining process still waits for the first request of a new connection. In most
/// cases the caller has already sent it.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(300);
const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// What happens to a caller connection after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionAction {
    /// The response is complete and the connection stays open for another request.
    Keep,
    /// The connection is closed after the bytes already written have been sent.
    Close,
}

/// A complete request of a caller.
#[derive(Debug)]
pub(crate) struct ReceivedRequest {
    pub(crate) head: RequestHead,
    pub(crate) body: Vec<u8>,
    /// When its first byte was received.
    pub(crate) arrived: TimePoint,
}

/// Why no request could be read.
enum ReadError {
    /// The caller closed the connection, a timeout passed, or this process is draining. Nothing is
    /// sent.
    Closed,
    /// The request is invalid, or was still being read when this process had to end. The caller
    /// gets this refusal, and the connection is closed.
    Refused(CallRefusal),
}

/// Counts an open connection until it is dropped.
struct ConnectionGuard(Rc<Cell<u64>>);

impl ConnectionGuard {
    fn new(open: &Rc<Cell<u64>>) -> Self {
        open.set(open.get() + 1);
        Self(Rc::clone(open))
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Counts a request until it has been answered; a stopping process waits for these requests.
///
/// The first request of a connection is counted from `accept` on, later ones from their first
/// byte on.
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

/// Listens on the caller address, if one is set, and serves each connection in its own task for
/// as long as the process runs.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub(crate) async fn serve(state: &Rc<GatewayState>) -> Result<()> {
    let Some(address) = state.settings().caller_listen else {
        return Ok(());
    };
    let listener = TcpListener::bind(address).await;
    let listener = listener.wrap_err_with(|| format!("could not listen on {address}"))?;
    let state = Rc::clone(state);
    actix_rt::spawn(async move {
        let open = Rc::new(Cell::new(0));
        let descriptors = state.settings().max_descriptors;
        let max_open = descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(64);
        loop {
            match listener.accept().await {
                Ok((stream, _)) if open.get() < max_open => {
                    let guard = ConnectionGuard::new(&open);
                    actix_rt::spawn(serve_connection(Rc::clone(&state), stream, guard));
                }
                Ok((_, peer)) => {
                    log::warn!(peer = peer.to_string(), open = open.get();
                        "closed a new connection: too many connections are open");
                }
                Err(error) => {
                    log::warn!(error = error.to_string();
                        "could not accept a connection; accepting continues after a pause");
                    actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    });
    Ok(())
}

async fn serve_connection(state: Rc<GatewayState>, stream: TcpStream, _open: ConnectionGuard) {
    configure_socket(&stream);
    let (half, mut writer) = stream.into_split();
    let mut reader = CallerReader {
        half,
        input: BytesMut::new(),
    };
    let mut arrival = Some(ArrivalGuard::new(&state));
    loop {
        let request = match reader.next(&state, &mut writer, &mut arrival).await {
            Ok(request) => request,
            Err(ReadError::Closed) => return,
            Err(ReadError::Refused(refusal)) => {
                log::info!(code = refusal.code.number();
                    "refused a request before it was read: {}", refusal.code.meaning());
                let mut bytes = Vec::new();
                render_refusal(&refusal, None, false, &mut bytes);
                if writer.write_all(&bytes).await.is_ok() {
                    reader.linger(&mut writer).await;
                }
                return;
            }
        };
        let action = request::serve(&state, &request, &mut reader, &mut writer).await;
        arrival = None;
        if action == ConnectionAction::Close {
            return;
        }
    }
}

/// Reads the requests of one caller connection.
pub(crate) struct CallerReader {
    half: OwnedReadHalf,
    input: BytesMut,
}

impl CallerReader {
    /// Returns once the caller has closed the connection. Never returns if the caller has sent
    /// `MAX_READ_AHEAD_BYTES` ahead, since a close can no longer be seen then.
    pub(crate) async fn wait_closed(&mut self) {
        loop {
            if self.input.len() >= MAX_READ_AHEAD_BYTES {
                return std::future::pending().await;
            }
            self.input.reserve(READ_BUFFER_BYTES);
            match self.half.read_buf(&mut self.input).await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
    }

    /// Reads the next request within the configured limits. `arrival` is `Some` for the first
    /// request of a connection and is set here for later ones.
    async fn next(
        &mut self,
        state: &Rc<GatewayState>,
        writer: &mut OwnedWriteHalf,
        arrival: &mut Option<ArrivalGuard>,
    ) -> Result<ReceivedRequest, ReadError> {
        let limits = state
            .rules()
            .map_or(CallerLimits::default(), |rules| rules.limits);
        if self.input.is_empty() {
            self.wait_first_byte(state, &limits, arrival.is_some())
                .await?;
        }
        arrival.get_or_insert_with(|| ArrivalGuard::new(state));
        tokio::select! {
            biased;
            request = self.read_request(state, &limits, writer) => request,
            () = stop::reached(state, DrainPhase::Ending) => {
                Err(ReadError::Refused(state.drain.borrow().refusal()))
            }
        }
    }

    /// Reads the request whose first byte has been received.
    async fn read_request(
        &mut self,
        state: &GatewayState,
        limits: &CallerLimits,
        writer: &mut OwnedWriteHalf,
    ) -> Result<ReceivedRequest, ReadError> {
        let arrived = state.now();
        let limit = Duration::from_micros(limits.head_timeout.0);
        let head = tokio::time::timeout(limit, self.read_head(limits.max_head)).await;
        let head = head.unwrap_or(Err(ReadError::Closed))?;
        if head.expects_continue && writer.write_all(CONTINUE_RESPONSE).await.is_err() {
            return Err(ReadError::Closed);
        }
        let body = self.read_body(&head, limits.max_body).await?;
        Ok(ReceivedRequest {
            head,
            body,
            arrived,
        })
    }

    /// Waits for the first byte of a request. Fails after the idle timeout, and when the process
    /// drains.
    async fn wait_first_byte(
        &mut self,
        state: &GatewayState,
        limits: &CallerLimits,
        is_first: bool,
    ) -> Result<(), ReadError> {
        self.input.reserve(READ_BUFFER_BYTES);
        let idle = Duration::from_micros(limits.idle_timeout.0);
        let closed = async {
            stop::reached(state, DrainPhase::Draining).await;
            if is_first {
                actix_rt::time::sleep(FIRST_REQUEST_GRACE).await;
            }
        };
        let read = tokio::select! {
            biased;
            read = self.half.read_buf(&mut self.input) => read,
            () = closed => self.read_received().await,
            () = actix_rt::time::sleep(idle) => self.read_received().await,
        };
        match read {
            Ok(count) if count > 0 => Ok(()),
            _ => Err(ReadError::Closed),
        }
    }

    /// Reads bytes that the system has received; reads none if there are none. It asks the system,
    /// since the runtime may not have reported them yet, and a close would discard a request.
    async fn read_received(&mut self) -> io::Result<usize> {
        let mut byte = [MaybeUninit::uninit()];
        match SockRef::from(self.half.as_ref()).peek(&mut byte) {
            Ok(count) if count > 0 => self.half.read_buf(&mut self.input).await,
            _ => Ok(0),
        }
    }

    async fn read_head(&mut self, limit: ByteSize) -> Result<RequestHead, ReadError> {
        loop {
            match parse_request(&self.input, limit.0 as usize) {
                Ok(Some((head, used))) => {
                    let _ = self.input.split_to(used);
                    return Ok(head);
                }
                Ok(None) => self.fill_buffer().await?,
                Err(error) => return Err(ReadError::Refused(refusal_for(error))),
            }
        }
    }

    async fn read_body(
        &mut self,
        head: &RequestHead,
        limit: ByteSize,
    ) -> Result<Vec<u8>, ReadError> {
        let mut decoder = BodyDecoder::new(head.framing);
        let mut body = Vec::new();
        loop {
            match decoder.decode(&mut self.input, &mut body) {
                Ok(_) if body.len() as u64 > limit.0 => {
                    return Err(ReadError::Refused(refusal_for(ParseError::TooLarge)));
                }
                Ok(true) => return Ok(body),
                Ok(false) => {
                    let filled = tokio::time::timeout(BODY_READ_TIMEOUT, self.fill_buffer()).await;
                    filled.unwrap_or(Err(ReadError::Closed))?;
                }
                Err(error) => return Err(ReadError::Refused(refusal_for(error))),
            }
        }
    }

    async fn fill_buffer(&mut self) -> Result<(), ReadError> {
        self.input.reserve(READ_BUFFER_BYTES);
        match self.half.read_buf(&mut self.input).await {
            Ok(0) | Err(_) => Err(ReadError::Closed),
            Ok(_) => Ok(()),
        }
    }

    /// Closes the write side, then reads and discards what the caller still sends until
    /// `LINGER_TIMEOUT`.
    async fn linger(&mut self, writer: &mut OwnedWriteHalf) {
        if writer.shutdown().await.is_err() {
            return;
        }
        let drain = async {
            loop {
                self.input.clear();
                if self.fill_buffer().await.is_err() {
                    return;
                }
            }
        };
        let _ = tokio::time::timeout(LINGER_TIMEOUT, drain).await;
    }
}

fn refusal_for(error: ParseError) -> CallRefusal {
    CallRefusal::permanent(match error {
        ParseError::Malformed(_) => ResultCode::RequestMalformed,
        ParseError::TooLarge => ResultCode::RequestTooLarge,
    })
}
