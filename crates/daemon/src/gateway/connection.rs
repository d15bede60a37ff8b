//! One connection, with what is known of the bytes that crossed it.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use applefold_h1::{parse_response, BodyDecoder, BodyFraming, HeadError, ResponseHead};
use bytes::BytesMut;
use eyre::{Result, WrapErr};
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncReadExt, Interest};
use tokio::net::TcpStream;

/// The largest head of an answer, twice what callers may send.
const MAX_HEAD_BYTES: usize = 32_768;
/// The most interim answers before a final one.
const MAX_INTERIM: usize = 8;
/// How long a peer may leave sent bytes or probes unacknowledged.
const PEER_TIMEOUT: Duration = Duration::from_millis(2_000);
/// After how much silence the peer is asked for a sign of life, and how often.
const PROBE_PERIOD: Duration = Duration::from_secs(1);
const READ_BYTES: usize = 16_384;

/// Why a connection gave no whole answer.
#[derive(Debug)]
pub(crate) enum ConnectionError {
    /// No byte of the request left.
    NotSent(io::Error),
    /// The request left, and the connection ended or broke.
    Broken(io::Error),
    /// The peer sent something else than an answer.
    InvalidResponse(HeadError),
}

impl std::fmt::Display for ConnectionError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotSent(error) => write!(f, "nothing was sent: {error}"),
            Self::Broken(error) => write!(f, "the connection broke: {error}"),
            Self::InvalidResponse(error) => write!(f, "no answer: {error}"),
        }
    }
}

impl std::error::Error for ConnectionError {}

/// Sets what finds a peer that has silently gone.
pub(crate) fn configure_socket(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_PERIOD)
        .with_interval(PROBE_PERIOD)
        .with_retries(2);
    let set = socket
        .set_tcp_keepalive(&probes)
        .and_then(|()| socket.set_tcp_user_timeout(Some(PEER_TIMEOUT)))
        .and_then(|()| stream.set_nodelay(true));
    if let Err(error) = set {
        log::warn!(error = error.to_string(); "could not set the options of a connection");
    }
}

/// A connection to a server, on which one exchange runs at a time.
#[derive(Debug)]
pub(crate) struct ClientConnection {
    stream: TcpStream,
    input: BytesMut,
    /// Whether an answer began before its request had left.
    early: bool,
}

impl ClientConnection {
    pub(crate) async fn open(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let connect = TcpStream::connect(address);
        let stream = tokio::time::timeout(limit, connect).await??;
        configure_socket(&stream);
        Ok(Self {
            stream,
            input: BytesMut::with_capacity(READ_BYTES),
            early: false,
        })
    }

    /// Returns whether nothing has come since the last exchange.
    pub(crate) fn is_idle(&mut self) -> bool {
        if self.early || !self.input.is_empty() {
            return false;
        }
        let read = self.stream.try_read_buf(&mut self.input);
        matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends a whole request; an answer that begins earlier ends the sending.
    pub(crate) async fn send(&mut self, bytes: &[u8]) -> Result<(), ConnectionError> {
        let mut sent = 0;
        while sent < bytes.len() {
            let fault = |error| match sent {
                0 => ConnectionError::NotSent(error),
                _ => ConnectionError::Broken(error),
            };
            let interest = Interest::READABLE | Interest::WRITABLE;
            let ready = self.stream.ready(interest).await.map_err(fault)?;
            if ready.is_readable() {
                match self.stream.try_read_buf(&mut self.input) {
                    Ok(0) => return Err(fault(io::ErrorKind::UnexpectedEof.into())),
                    Ok(_) => {
                        self.early = true;
                        return Ok(());
                    }
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                    Err(error) => return Err(fault(error)),
                }
            }
            match self.stream.try_write(&bytes[sent..]) {
                Ok(count) => sent += count,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(fault(error)),
            }
        }
        Ok(())
    }

    /// Sends a whole request and reads the head of its answer, within `limit`.
    pub(crate) async fn call(&mut self, bytes: &[u8], limit: Duration) -> Result<ResponseHead> {
        let exchange = async {
            self.send(bytes).await?;
            self.read_head().await
        };
        let answered = tokio::time::timeout(limit, exchange).await;
        let head = answered.wrap_err("no answer in time")?;
        head.wrap_err("no answer")
    }

    /// Reads the head of the next final answer.
    pub(crate) async fn read_head(&mut self) -> Result<ResponseHead, ConnectionError> {
        let mut interim = 0;
        loop {
            let parsed = parse_response(&self.input, MAX_HEAD_BYTES);
            match parsed.map_err(ConnectionError::InvalidResponse)? {
                Some((head, used)) => {
                    let _ = self.input.split_to(used);
                    if head.status >= 200 {
                        return Ok(head);
                    }
                    interim += 1;
                    if interim > MAX_INTERIM {
                        return Err(ConnectionError::InvalidResponse(HeadError::TooLarge));
                    }
                }
                None => {
                    if self.fill().await? == 0 {
                        return Err(ConnectionError::Broken(io::ErrorKind::UnexpectedEof.into()));
                    }
                }
            }
        }
    }

    /// Reads more of a body into `output`; returns whether the body is whole.
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
            if self.fill().await? == 0 {
                return match decoder.ends_with_connection() {
                    true => Ok(true),
                    false => Err(ConnectionError::Broken(io::ErrorKind::UnexpectedEof.into())),
                };
            }
        }
    }

    /// Reads a whole body of up to `limit` bytes.
    pub(crate) async fn read_full_body(
        &mut self,
        head: &ResponseHead,
        limit: usize,
    ) -> Result<Vec<u8>, ConnectionError> {
        let too_large = ConnectionError::InvalidResponse(HeadError::TooLarge);
        if matches!(head.framing, BodyFraming::Length(length) if length > limit as u64) {
            return Err(too_large);
        }
        let mut decoder = BodyDecoder::new(head.framing);
        let mut body = Vec::new();
        loop {
            let whole = self.read_body(&mut decoder, &mut body).await?;
            if body.len() > limit {
                return Err(too_large);
            }
            if whole {
                return Ok(body);
            }
        }
    }

    async fn fill(&mut self) -> Result<usize, ConnectionError> {
        self.input.reserve(READ_BYTES);
        let read = self.stream.read_buf(&mut self.input).await;
        read.map_err(ConnectionError::Broken)
    }
}
