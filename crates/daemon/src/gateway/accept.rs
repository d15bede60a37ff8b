//! Accepts caller connections and reads HTTP requests from them.

use std::io;
use std::mem::MaybeUninit;
use std::rc::Rc;
use std::time::Duration;

use applefold_core::code::{CallRefusal, ResultCode};
use applefold_core::direct::{
    CallerLimits, DescriptorShares, HolderStage, ScarceResource, YieldCause,
};
use applefold_core::drain::DrainPhase;
use applefold_core::unit::{ByteSize, TimePoint, TimeSpan};
use applefold_h1::{parse_request, BodyDecoder, BodyFraming, ParseError, RequestHead};
use applefold_platform::render_refusal;
use bytes::BytesMut;
use eyre::{Result, WrapErr};
use smol_str::SmolStr;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

use super::connection::configure_socket;
use super::delivery::{ConnectionWatch, CHECK_PERIOD};
use super::request;
use super::state::GatewayState;
use super::stop;
use crate::account::HolderGuard;
use crate::body::BodySegments;

/// The pause after a failed `accept`.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
const READ_BUFFER_BYTES: usize = 8_192;
/// The most bytes read ahead on a connection while its current request is being served.
const MAX_READ_AHEAD_BYTES: usize = 65_536;
/// How long one read of a request body may take.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a whole request body may take. One of 4 MiB arrives in time at 1.2 Mbit/s.
const BODY_TIME_LIMIT: Duration = Duration::from_secs(30);
/// The memory of an idle connection: its task and its buffers.
const CONNECTION_BYTES: usize = 4_096;
/// The memory of a request that is being received, beside its buffers.
const RECEIVING_BYTES: usize = 8_192;
/// The further memory of a request that is being served: the copy of its head, and the connection to
/// a backend server with its read buffer.
const SERVING_BYTES: usize = 32_768;
/// `Retry-After` if the entry has no memory or no connection left.
const FULL_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(1_000);
/// How long the rest of a refused request is still read before the connection is closed. Closing
/// with unread bytes would reset the connection, and the caller could lose the refusal.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
const LINGER_BUFFER_BYTES: usize = 1_024;
/// How long a draining process still waits for the first request of a new connection. In most
/// cases the caller has already sent it.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(300);
/// The pause before memory for bytes that are sent ahead is asked for again.
const READ_AHEAD_RETRY_DELAY: Duration = Duration::from_millis(50);
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
        let account = Rc::clone(&state.account);
        let descriptors = state.settings().max_descriptors;
        let max_open = DescriptorShares::of(descriptors).callers;
        loop {
            match listener.accept().await {
                Ok((stream, peer)) => {
                    let open = account.connections();
                    let full = open as u64 >= max_open;
                    if full && !account.make_room(ScarceResource::Descriptors) {
                        account.count("too many connections");
                        log::warn!(peer = peer.to_string(), open;
                            "closed a new connection: too many connections are open");
                        continue;
                    }
                    let holder = Rc::new(account.begin(Some(peer)));
                    // Without memory it is charged with its first request.
                    holder.try_resize(CONNECTION_BYTES);
                    actix_rt::spawn(serve_connection(Rc::clone(&state), stream, holder));
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

async fn serve_connection(state: Rc<GatewayState>, stream: TcpStream, holder: Rc<HolderGuard>) {
    configure_socket(&stream);
    let (half, mut writer) = stream.into_split();
    let mut reader = CallerReader {
        half,
        input: BytesMut::new(),
        held: CONNECTION_BYTES,
        holder: Rc::clone(&holder),
        watch: ConnectionWatch::new(CallerLimits::default().idle_timeout),
        has_failed: false,
        last_request: SmolStr::default(),
    };
    serve_requests(&state, &mut reader, &mut writer, &holder).await;
    reader.leave_undelivered(&state);
}

/// Serves the requests of a connection until it is to be closed.
async fn serve_requests(
    state: &Rc<GatewayState>,
    reader: &mut CallerReader,
    writer: &mut OwnedWriteHalf,
    holder: &Rc<HolderGuard>,
) {
    let max_backends = DescriptorShares::of(state.settings().max_descriptors).backends as usize;
    let mut arrival = Some(ArrivalGuard::new(state));
    loop {
        let next = tokio::select! {
            biased;
            cause = holder.closing() => Err(closing_error(cause)),
            next = reader.next(state, writer, &mut arrival) => next,
        };
        let busy = state.drain.borrow().running() >= max_backends;
        let request = match next {
            Ok(_) if busy => Err(ReadError::Refused(full_refusal())),
            next => next,
        };
        let request = match request {
            Ok(request) => request,
            Err(ReadError::Closed) => return,
            Err(ReadError::Refused(refusal)) => {
                log::info!(connection = holder.number(), code = refusal.code.number();
                    "refused a request before it was read: {}", refusal.code.meaning());
                holder.count(refusal.code.name());
                reader.refuse(&refusal, writer).await;
                return;
            }
        };
        holder.enter(HolderStage::Serving);
        let running = state.drain.borrow().running();
        state.pool.shrink(max_backends.saturating_sub(running + 1));
        let action = request::serve(state, &request, reader, writer).await;
        arrival = None;
        if action == ConnectionAction::Close {
            return;
        }
        drop(request);
        reader.finish_request();
    }
}

/// Returns the error of a connection that has to close to make room. Its request, if one has begun,
/// is incomplete and has not run.
fn closing_error(cause: YieldCause) -> ReadError {
    match cause {
        YieldCause::Stalled => {
            ReadError::Refused(CallRefusal::permanent(ResultCode::RequestStalled))
        }
        YieldCause::Unserved => ReadError::Refused(full_refusal()),
        YieldCause::Idle | YieldCause::Lingering => ReadError::Closed,
    }
}

fn full_refusal() -> CallRefusal {
    CallRefusal::retryable(ResultCode::InstanceFull, FULL_RETRY_AFTER)
}

/// For how long a connection is watched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WatchSpan {
    /// While a request is served, since its response may begin at any time.
    Always,
    /// Between requests, until the last response is delivered.
    UntilDelivered,
}

/// Reads the requests of one caller connection.
pub(crate) struct CallerReader {
    half: OwnedReadHalf,
    input: BytesMut,
    /// The bytes that are charged for the connection.
    held: usize,
    holder: Rc<HolderGuard>,
    watch: ConnectionWatch,
    /// Whether reading has failed, after which the system knows nothing of the connection.
    has_failed: bool,
    /// The identifier of the last request, for the log.
    last_request: SmolStr,
}

impl CallerReader {
    /// Returns once the caller has closed the connection. Never returns if the caller has sent
    /// `MAX_READ_AHEAD_BYTES` ahead, since a close can no longer be seen then.
    pub(crate) async fn wait_closed(&mut self) {
        loop {
            if self.input.len() >= MAX_READ_AHEAD_BYTES {
                actix_rt::time::sleep(CHECK_PERIOD).await;
                self.watch.check(self.half.as_ref());
                continue;
            }
            // Without memory for what is sent ahead, a close is seen only later.
            let held = self.held + 2 * MAX_READ_AHEAD_BYTES;
            if self.input.len() >= READ_BUFFER_BYTES && !self.holder.try_resize(held) {
                actix_rt::time::sleep(READ_AHEAD_RETRY_DELAY).await;
                continue;
            }
            self.input.reserve(READ_BUFFER_BYTES);
            match self.read_watched().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
    }

    /// Reads what the caller sends, and checks meanwhile whether it reads what it was sent.
    async fn read_watched(&mut self) -> io::Result<usize> {
        loop {
            self.wait_readable(WatchSpan::Always).await?;
            match self.half.try_read_buf(&mut self.input) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                read => {
                    self.has_failed |= read.is_err();
                    return read;
                }
            }
        }
    }

    /// Returns once there is something to read, or the connection has ended. Checks meanwhile whether the
    /// caller reads what it was sent, for as long as `span` says.
    async fn wait_readable(&mut self, span: WatchSpan) -> io::Result<()> {
        let mut watches = true;
        while watches {
            let readable = tokio::time::timeout(CHECK_PERIOD, self.half.readable());
            if let Ok(readable) = readable.await {
                self.has_failed |= readable.is_err();
                return readable;
            }
            self.watch.check(self.half.as_ref());
            watches = span == WatchSpan::Always || self.watch.is_waiting();
        }
        self.half.readable().await
    }

    /// Names the request that is being served, for the log.
    pub(super) fn begin_request(&mut self, id: &SmolStr) {
        self.last_request = id.clone();
    }

    /// Leaves a response that its caller has not read yet to the system, which goes on sending it after the
    /// connection is closed. Logs and counts it, since this process learns no more of it.
    fn leave_undelivered(&mut self, state: &GatewayState) {
        if !self.has_failed {
            self.watch.leave(self.half.as_ref());
        }
        if self.watch.is_waiting() {
            state.metrics.undelivered_responses.add(1, &[]);
            log::info!(connection = self.holder.number(), request = self.last_request.as_str(),
                failed = self.has_failed;
                "response not delivered when its connection was closed");
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
        self.watch.set_max_wait(limits.idle_timeout);
        if self.input.is_empty() {
            self.wait_first_byte(state, &limits, arrival.is_some())
                .await?;
        }
        arrival.get_or_insert_with(|| ArrivalGuard::new(state));
        self.holder.enter(HolderStage::Receiving);
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
        self.charge_input().await;
        let limit = Duration::from_micros(limits.head_timeout.0);
        let head = tokio::time::timeout(limit, self.read_head(limits.max_head)).await;
        let head = head.unwrap_or(Err(ReadError::Closed))?;
        if matches!(head.framing, BodyFraming::Length(length) if length > limits.max_body.0) {
            return Err(ReadError::Refused(refusal_for(ParseError::TooLarge)));
        }
        if head.expects_continue && writer.write_all(CONTINUE_RESPONSE).await.is_err() {
            return Err(ReadError::Closed);
        }
        let body = self.read_body(&head, limits.max_body);
        let body = tokio::time::timeout(BODY_TIME_LIMIT, body).await;
        let stalled = CallRefusal::permanent(ResultCode::RequestStalled);
        let body = body.unwrap_or(Err(ReadError::Refused(stalled)))?;
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
        let idle = Duration::from_micros(limits.idle_timeout.0);
        let closed = async {
            stop::reached(state, DrainPhase::Draining).await;
            if is_first {
                actix_rt::time::sleep(FIRST_REQUEST_GRACE).await;
            }
        };
        let first_byte = async {
            // No buffer is allocated before there is something to read.
            match self.wait_readable(WatchSpan::UntilDelivered).await {
                Ok(()) => self.fill_buffer().await,
                Err(_) => Err(ReadError::Closed),
            }
        };
        tokio::select! {
            biased;
            read = first_byte => read,
            () = closed => self.read_received().await,
            () = actix_rt::time::sleep(idle) => self.read_received().await,
        }
    }

    /// Reads bytes that the system has received; fails if there are none. It asks the system, since
    /// the runtime may not have reported them yet, and a close would discard a request.
    async fn read_received(&mut self) -> Result<(), ReadError> {
        let mut byte = [MaybeUninit::uninit()];
        match SockRef::from(self.half.as_ref()).peek(&mut byte) {
            Ok(count) if count > 0 => self.fill_buffer().await,
            _ => Err(ReadError::Closed),
        }
    }

    /// Charges the connection with the head of its request and what was sent ahead. Waits until there
    /// is memory for them.
    async fn charge_input(&mut self) {
        let held = CONNECTION_BYTES + RECEIVING_BYTES + self.input.capacity();
        if held > self.held {
            self.held = held;
            self.holder.resize(held).await;
        }
    }

    /// Releases what the last request held.
    fn finish_request(&mut self) {
        if self.input.is_empty() {
            self.input = BytesMut::new();
        }
        self.held = CONNECTION_BYTES + self.input.capacity();
        self.holder.try_resize(self.held);
        self.holder.enter(HolderStage::Idle);
    }

    async fn read_head(&mut self, limit: ByteSize) -> Result<RequestHead, ReadError> {
        loop {
            match parse_request(&self.input, limit.0 as usize) {
                Ok(Some((head, used))) => {
                    let _ = self.input.split_to(used);
                    return Ok(head);
                }
                Ok(None) => {
                    self.fill_buffer().await?;
                    self.charge_input().await;
                }
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
        let base = self.held;
        let end = match head.framing {
            BodyFraming::Length(length) => length,
            BodyFraming::Chunked | BodyFraming::UntilClose => limit.0,
        };
        let mut body = BodySegments::new(end as usize);
        loop {
            if let Some(size) = body.needed_segment(self.input.len()) {
                self.held = base + body.capacity() + size;
                self.holder.resize(self.held).await;
                body.add_segment(size);
            }
            match body.receive(|segment| decoder.decode(&mut self.input, segment)) {
                Ok(_) if body.len() as u64 > limit.0 => {
                    return Err(ReadError::Refused(refusal_for(ParseError::TooLarge)));
                }
                Ok(true) => break,
                Ok(false) => {
                    let filled = tokio::time::timeout(BODY_READ_TIMEOUT, self.fill_buffer()).await;
                    filled.unwrap_or(Err(ReadError::Closed))?;
                }
                Err(error) => return Err(ReadError::Refused(refusal_for(error))),
            }
        }
        // The body is joined, and each attempt sends a copy of it.
        self.held = base + SERVING_BYTES + body.capacity() + body.len();
        self.holder.resize(self.held).await;
        Ok(body.join())
    }

    async fn fill_buffer(&mut self) -> Result<(), ReadError> {
        self.input.reserve(READ_BUFFER_BYTES);
        match self.half.read_buf(&mut self.input).await {
            Ok(0) | Err(_) => Err(ReadError::Closed),
            Ok(count) => {
                self.holder.record_received(count);
                Ok(())
            }
        }
    }

    /// Sends a refusal to the caller, whose request is not read to its end, and releases what it
    /// held before.
    async fn refuse(&mut self, refusal: &CallRefusal, writer: &mut OwnedWriteHalf) {
        self.input = BytesMut::new();
        self.holder.enter(HolderStage::Lingering);
        // Another connection may be chosen to give way only once this one holds nothing.
        self.holder.try_resize(0);
        let mut bytes = Vec::new();
        render_refusal(refusal, None, false, &mut bytes);
        // A caller that has stalled has sent nothing that is unread.
        let lingers = refusal.code != ResultCode::RequestStalled;
        let written = tokio::time::timeout(LINGER_TIMEOUT, writer.write_all(&bytes)).await;
        if !lingers || !matches!(written, Ok(Ok(()))) {
            return;
        }
        if self.holder.is_closing() {
            return self.linger(writer).await;
        }
        let holder = Rc::clone(&self.holder);
        tokio::select! {
            _ = holder.closing() => {}
            () = self.linger(writer) => {}
        }
    }

    /// Closes the write side, then reads and discards what the caller still sends until
    /// `LINGER_TIMEOUT`.
    async fn linger(&mut self, writer: &mut OwnedWriteHalf) {
        if writer.shutdown().await.is_err() {
            return;
        }
        let drain = async {
            let mut discarded = [0; LINGER_BUFFER_BYTES];
            while matches!(self.half.read(&mut discarded).await, Ok(count) if count > 0) {}
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
