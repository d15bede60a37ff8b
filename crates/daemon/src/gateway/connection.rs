//! An HTTP/1.1 client connection that knows whether any byte of a request has been sent.

use std::cell::Cell;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::time::Duration;

use applefold_core::unit::TimeSpan;
use applefold_h1::{parse_response, BodyDecoder, BodyFraming, ParseError, ResponseHead};
use bytes::BytesMut;
use eyre::{Result, WrapErr};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncReadExt, Interest};
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::buffers::BufferGuard;
use super::delivery::{ConnectionWatch, ACK_TIMEOUT, CHECK_PERIOD};

/// The largest response head, twice the default limit for request heads of callers.
const MAX_HEAD_BYTES: usize = 32_768;
/// The most interim (1xx) responses before a final one.
const MAX_INTERIM_RESPONSES: usize = 8;
/// The idle time before the first TCP keepalive probe, and the interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// How long a request may wait for a server that reads late. Its attempt ends earlier in most cases.
const MAX_REQUEST_WAIT: TimeSpan = TimeSpan::from_secs(15);
const READ_BUFFER_BYTES: usize = 16_384;
/// The least that counts as progress of a transfer: 1% of what the narrowest links, of 10 Mbit/s, carry in 1 s.
const PROGRESS_BYTES: usize = 16_384;

/// Why a connection gave no complete response.
#[derive(Debug)]
pub(crate) enum ConnectionError {
    /// No byte of the request was sent.
    NotSent(io::Error),
    /// At least a part of the request was sent, and then the connection was closed or failed.
    Broken(io::Error),
    /// The peer sent bytes that are not a valid response, or that exceed a limit.
    InvalidResponse(ParseError),
}

impl std::fmt::Display for ConnectionError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotSent(error) => {
                write!(f, "connection failed before the request was sent: {error}")
            }
            Self::Broken(error) => write!(f, "connection lost after sending had begun: {error}"),
            Self::InvalidResponse(error) => write!(f, "invalid response: {error}"),
        }
    }
}

impl std::error::Error for ConnectionError {}

/// Sets the keepalive and timeout options that detect a peer which is gone without closing the
/// connection, and disables Nagle's algorithm.
pub(crate) fn configure_socket(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(2);
    let set = socket
        .set_tcp_keepalive(&probes)
        .and_then(|()| socket.set_tcp_user_timeout(Some(ACK_TIMEOUT)))
        .and_then(|()| stream.set_nodelay(true));
    if let Err(error) = set {
        log::warn!(error = error.to_string();
            "could not set the socket options of a connection; it is used without them");
    }
}

/// Counts the bytes of a response body while they arrive, so that they are known after a timeout too.
#[derive(Debug, Default)]
pub(crate) struct TransferMeter(Cell<usize>);

impl TransferMeter {
    /// Returns how many bytes have arrived.
    pub(crate) fn received(&self) -> usize {
        self.0.get()
    }
}

/// The bounds on the transfer of a response body.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TransferLimits {
    /// The most bytes.
    pub(crate) max_bytes: usize,
    /// When a transfer without any progress ends.
    pub(crate) deadline: Instant,
    /// How long after its last progress it ends later than that.
    pub(crate) stall: Duration,
}

/// Begins to read a body that may have up to `max_bytes`.
fn begin_body(head: &ResponseHead, max_bytes: usize) -> Result<BodyDecoder, ConnectionError> {
    match head.framing {
        BodyFraming::Length(length) if length > max_bytes as u64 => {
            Err(ConnectionError::InvalidResponse(ParseError::TooLarge))
        }
        framing => Ok(BodyDecoder::new(framing)),
    }
}

/// A connection to a server, with one request at a time.
#[derive(Debug)]
pub(crate) struct ClientConnection {
    stream: TcpStream,
    input: BytesMut,
    /// Whether a response began before its request had been sent completely.
    early_response: bool,
    /// The number of interim responses since the last final one.
    interim_responses: usize,
    /// Whether it has served a request before.
    reused: bool,
    watch: ConnectionWatch,
    /// Whether bytes of the request may not have been delivered yet.
    may_wait: bool,
}

impl ClientConnection {
    pub(crate) async fn open(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let connect = TcpStream::connect(address);
        let stream = tokio::time::timeout(limit, connect).await??;
        configure_socket(&stream);
        Ok(Self {
            stream,
            input: BytesMut::with_capacity(READ_BUFFER_BYTES),
            early_response: false,
            interim_responses: 0,
            reused: false,
            watch: ConnectionWatch::new(MAX_REQUEST_WAIT),
            may_wait: false,
        })
    }

    /// Marks the connection as one that has served a request.
    pub(crate) fn mark_reused(&mut self) {
        self.reused = true;
    }

    /// Returns whether it has served a request before.
    pub(crate) fn is_reused(&self) -> bool {
        self.reused
    }

    /// Returns whether the connection is open and no byte was received since the last response.
    pub(crate) fn is_idle(&mut self) -> bool {
        !self.early_response && self.input.is_empty() && self.is_silent().is_ok()
    }

    /// Fails if the connection is closed or holds bytes that nobody has read. It asks the system,
    /// since the runtime learns of new bytes only when it polls next.
    fn is_silent(&self) -> io::Result<()> {
        let mut byte = [MaybeUninit::uninit()];
        match SockRef::from(&self.stream).peek(&mut byte) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(()),
            Err(error) => Err(error),
            Ok(0) => Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(_) => Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "received bytes that belong to no response",
            )),
        }
    }

    /// Sends a complete request. Stops early, without an error, if the head of a final response is
    /// received before all of it has been sent.
    pub(crate) async fn send(&mut self, bytes: &[u8]) -> Result<(), ConnectionError> {
        // These bytes cannot answer a request of which nothing has been sent.
        self.is_silent().map_err(ConnectionError::NotSent)?;
        self.may_wait = true;
        let mut sent = 0;
        while sent < bytes.len() {
            let wrap = |error| match sent {
                0 => ConnectionError::NotSent(error),
                _ => ConnectionError::Broken(error),
            };
            let interest = Interest::READABLE | Interest::WRITABLE;
            let ready = tokio::time::timeout(CHECK_PERIOD, self.stream.ready(interest));
            let Ok(ready) = ready.await else {
                self.watch.check(&self.stream);
                continue;
            };
            let ready = ready.map_err(wrap)?;
            if ready.is_readable() {
                self.input.reserve(READ_BUFFER_BYTES);
                match self.stream.try_read_buf(&mut self.input) {
                    Ok(0) => return Err(wrap(io::ErrorKind::UnexpectedEof.into())),
                    Ok(_) if sent == 0 => {
                        let error = "received bytes before the request was sent";
                        let error = io::Error::new(io::ErrorKind::InvalidData, error);
                        return Err(ConnectionError::NotSent(error));
                    }
                    Ok(_) if self.skip_interim()?.is_some() => {
                        self.early_response = true;
                        return Ok(());
                    }
                    Ok(_) => {}
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                    Err(error) => return Err(wrap(error)),
                }
            }
            match self.stream.try_write(&bytes[sent..]) {
                Ok(count) => sent += count,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(wrap(error)),
            }
        }
        Ok(())
    }

    /// Sends a complete request and reads the head of its response, both within `limit`.
    pub(crate) async fn call(&mut self, bytes: &[u8], limit: Duration) -> Result<ResponseHead> {
        let exchange = async {
            self.send(bytes).await?;
            self.read_head().await
        };
        let answered = tokio::time::timeout(limit, exchange).await;
        let head = answered.wrap_err("no response head within the timeout")?;
        head.wrap_err("no valid response")
    }

    /// Reads the head of the next final response and skips interim ones.
    pub(crate) async fn read_head(&mut self) -> Result<ResponseHead, ConnectionError> {
        loop {
            if let Some((head, used)) = self.skip_interim()? {
                let _ = self.input.split_to(used);
                self.interim_responses = 0;
                return Ok(head);
            }
            if self.fill_buffer().await? == 0 {
                return Err(ConnectionError::Broken(io::ErrorKind::UnexpectedEof.into()));
            }
        }
    }

    /// Removes interim responses from the start of the input. Returns the head of the final response
    /// with its length, which stays in the input, or `None` while it is incomplete.
    fn skip_interim(&mut self) -> Result<Option<(ResponseHead, usize)>, ConnectionError> {
        loop {
            let parsed = parse_response(&self.input, MAX_HEAD_BYTES);
            match parsed.map_err(ConnectionError::InvalidResponse)? {
                Some((head, used)) if head.status < 200 => {
                    let _ = self.input.split_to(used);
                    self.interim_responses += 1;
                    if self.interim_responses > MAX_INTERIM_RESPONSES {
                        return Err(ConnectionError::InvalidResponse(ParseError::TooLarge));
                    }
                }
                parsed => return Ok(parsed),
            }
        }
    }

    /// Reads more of a body into `output`; returns whether the body is complete.
    pub(crate) async fn read_body(
        &mut self,
        decoder: &mut BodyDecoder,
        output: &mut Vec<u8>,
    ) -> Result<bool, ConnectionError> {
        let before = output.len();
        loop {
            let done = decoder.decode(&mut self.input, output);
            if done.map_err(ConnectionError::InvalidResponse)? {
                return Ok(true);
            }
            if output.len() > before {
                return Ok(false);
            }
            if self.fill_buffer().await? == 0 {
                if !decoder.ends_with_connection() {
                    return Err(ConnectionError::Broken(io::ErrorKind::UnexpectedEof.into()));
                }
                if !self.is_request_sent() {
                    let error = "the connection ended before the request had been sent";
                    let error = io::Error::new(io::ErrorKind::UnexpectedEof, error);
                    return Err(ConnectionError::Broken(error));
                }
                return Ok(true);
            }
        }
    }

    /// Returns whether the peer's system has received the request, on a connection that the peer has
    /// closed. A peer that closes before that has not read the request.
    ///
    /// With a limit of one unsent byte (`TCP_NOTSENT_LOWAT`), a socket is writable only while all that
    /// was written to it has been sent. Otherwise up to 4 MB may still wait in its buffer.
    fn is_request_sent(&self) -> bool {
        if self.early_response {
            return false;
        }
        if let Err(error) = SockRef::from(&self.stream).set_tcp_notsent_lowat(1) {
            log::warn!(error = error.to_string();
                "could not determine whether a request was sent; taking it as sent");
            return true;
        }
        let mut sockets = [PollFd::new(&self.stream, PollFlags::OUT)];
        match poll(&mut sockets, Some(&Timespec::default())) {
            Ok(_) => {
                let events = sockets[0].revents();
                let ended = events.intersects(PollFlags::ERR | PollFlags::HUP);
                events.contains(PollFlags::OUT) && !ended
            }
            Err(error) => {
                log::warn!(error = error.to_string();
                    "could not poll a connection; taking its response as incomplete");
                false
            }
        }
    }

    /// Reads a complete body for as long as it makes progress, and counts its bytes while they arrive.
    pub(crate) async fn read_moving_body(
        &mut self,
        head: &ResponseHead,
        limits: &TransferLimits,
        meter: &TransferMeter,
    ) -> Result<Vec<u8>, ConnectionError> {
        let mut decoder = begin_body(head, limits.max_bytes)?;
        let mut body = Vec::new();
        let mut deadline = limits.deadline;
        let mut counted = 0;
        loop {
            let read = tokio::time::timeout_at(deadline, self.read_body(&mut decoder, &mut body));
            let Ok(complete) = read.await else {
                let reason = format!("no progress after {} bytes of the body", body.len());
                let error = io::Error::new(io::ErrorKind::TimedOut, reason);
                return Err(ConnectionError::Broken(error));
            };
            let complete = complete?;
            meter.0.set(body.len());
            if body.len() > limits.max_bytes {
                return Err(ConnectionError::InvalidResponse(ParseError::TooLarge));
            }
            if complete {
                return Ok(body);
            }
            if body.len() - counted >= PROGRESS_BYTES {
                counted = body.len();
                deadline = deadline.max(Instant::now() + limits.stall);
            }
        }
    }

    /// Reads a complete body of up to `limit` bytes, as long as `buffer` has room for it.
    pub(crate) async fn read_shared_body(
        &mut self,
        head: &ResponseHead,
        limit: usize,
        buffer: &mut BufferGuard,
    ) -> Result<Vec<u8>, ConnectionError> {
        self.read_body_while(head, limit, |bytes| buffer.grow_to(bytes))
            .await
    }

    async fn read_body_while<HasRoom>(
        &mut self,
        head: &ResponseHead,
        limit: usize,
        mut has_room: HasRoom,
    ) -> Result<Vec<u8>, ConnectionError>
    where
        HasRoom: FnMut(usize) -> bool,
    {
        let mut decoder = begin_body(head, limit)?;
        let mut body = Vec::new();
        loop {
            let complete = self.read_body(&mut decoder, &mut body).await?;
            if body.len() > limit || !has_room(body.capacity()) {
                return Err(ConnectionError::InvalidResponse(ParseError::TooLarge));
            }
            if complete {
                return Ok(body);
            }
        }
    }

    async fn fill_buffer(&mut self) -> Result<usize, ConnectionError> {
        self.input.reserve(READ_BUFFER_BYTES);
        while self.may_wait {
            let readable = tokio::time::timeout(CHECK_PERIOD, self.stream.readable());
            if let Ok(readable) = readable.await {
                readable.map_err(ConnectionError::Broken)?;
                // A server that responds has read the request, unless it said so early.
                self.may_wait = self.early_response;
                break;
            }
            self.watch.check(&self.stream);
            self.may_wait = self.watch.is_waiting();
        }
        let read = self.stream.read_buf(&mut self.input).await;
        read.map_err(ConnectionError::Broken)
    }
}
