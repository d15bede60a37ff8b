//! What the system knows of the bytes that a connection has still to deliver, and how long it lets them wait.
//!
//! See [docs/design/sending.md](../../../../docs/design/sending.md#peers-that-read-late).

use std::io;
use std::os::fd::AsRawFd;
use std::time::{Duration, Instant};

use applefold_core::direct::{DeliveryReport, DeliveryStep, DeliveryWatch};
use applefold_core::unit::{TimePoint, TimeSpan};
use socket2::SockRef;
use tokio::net::TcpStream;

/// How long sent bytes, or probes of the peer's window, may stay unacknowledged (`TCP_USER_TIMEOUT`).
pub(super) const ACK_TIMEOUT: Duration = Duration::from_millis(2_000);
/// How often a connection whose bytes may still wait is checked. Several checks fit in [`ACK_TIMEOUT`].
pub(super) const CHECK_PERIOD: Duration = Duration::from_millis(500);

/// The length of `struct tcp_info` up to its field `tcpi_notsent_bytes`, which systems since Linux 4.6 have,
/// and the offsets of the fields that are read.
const TCP_INFO_BYTES: usize = 148;
const PROBES_AT: usize = 3;
const UNACKED_AT: usize = 24;
const LAST_DATA_SENT_AT: usize = 44;
const LAST_ACK_RECEIVED_AT: usize = 56;
const BYTES_ACKED_AT: usize = 120;
const NOT_SENT_AT: usize = 144;

/// Reads what the system knows of a connection (`TCP_INFO`).
fn read_report(stream: &TcpStream) -> io::Result<DeliveryReport> {
    let mut info = [0_u8; TCP_INFO_BYTES];
    let (level, option) = (uapi::c::IPPROTO_TCP, uapi::c::TCP_INFO);
    let read = uapi::getsockopt(stream.as_raw_fd(), level, option, &mut info);
    let length = read.map_err(|error| io::Error::from_raw_os_error(error.0))?;
    if length < TCP_INFO_BYTES {
        return Err(io::ErrorKind::Unsupported.into());
    }
    let word = |at: usize| {
        let bytes = info[at..].first_chunk();
        bytes.map_or(0, |bytes| u32::from_ne_bytes(*bytes))
    };
    let acknowledged = info[BYTES_ACKED_AT..].first_chunk();
    Ok(DeliveryReport {
        is_pending: word(UNACKED_AT) > 0 || word(NOT_SENT_AT) > 0,
        // Probes have no data, and are counted until one is acknowledged. Both times are ages.
        is_answered: info[PROBES_AT] == 0 && word(LAST_ACK_RECEIVED_AT) <= word(LAST_DATA_SENT_AT),
        acknowledged: acknowledged.map_or(0, |bytes| u64::from_ne_bytes(*bytes)),
    })
}

/// Watches the bytes of one connection. While its peer is there and reads late, these may wait for longer
/// than [`ACK_TIMEOUT`].
#[derive(Debug)]
pub(super) struct ConnectionWatch {
    watch: DeliveryWatch,
    opened_at: Instant,
    /// Whether the system's timeout is longer than [`ACK_TIMEOUT`] now.
    is_extended: bool,
}

impl ConnectionWatch {
    /// Creates a watch that lets bytes wait for up to `max_wait`.
    pub(super) fn new(max_wait: TimeSpan) -> Self {
        let span = |duration: Duration| TimeSpan(duration.as_micros() as u64);
        Self {
            watch: DeliveryWatch::new(span(ACK_TIMEOUT), span(CHECK_PERIOD), max_wait),
            opened_at: Instant::now(),
            is_extended: false,
        }
    }

    /// Sets how long bytes may wait for a peer that is there.
    pub(super) fn set_max_wait(&mut self, max_wait: TimeSpan) {
        self.watch.set_max_wait(max_wait);
    }

    /// Returns whether bytes were waiting when the connection was last checked.
    pub(super) fn is_waiting(&self) -> bool {
        self.watch.is_waiting()
    }

    /// Checks a connection, and extends the time that its bytes may wait if its peer is there.
    pub(super) fn check(&mut self, stream: &TcpStream) -> DeliveryStep {
        let report = match read_report(stream) {
            Ok(report) => report,
            Err(error) => {
                log::debug!(error = error.to_string();
                    "could not determine whether a peer is there; its bytes wait no longer than usual");
                return DeliveryStep::Keep;
            }
        };
        let now = TimePoint(self.opened_at.elapsed().as_micros() as u64);
        let step = self.watch.observe(report, now);
        match step {
            DeliveryStep::Delivered if self.is_extended => self.set_timeout(stream, ACK_TIMEOUT),
            DeliveryStep::Extend(timeout) => {
                self.set_timeout(stream, Duration::from_micros(timeout.0));
            }
            DeliveryStep::Delivered | DeliveryStep::Keep => {}
        }
        step
    }

    /// Checks a connection that is about to be closed. If its peer is there, the system goes on sending what
    /// is left for as long as it would have waited here.
    pub(super) fn leave(&mut self, stream: &TcpStream) {
        if let DeliveryStep::Extend(_) = self.check(stream) {
            let max_wait = Duration::from_micros(self.watch.max_wait().0);
            self.set_timeout(stream, max_wait + ACK_TIMEOUT);
        }
    }

    fn set_timeout(&mut self, stream: &TcpStream, timeout: Duration) {
        self.is_extended = timeout > ACK_TIMEOUT;
        if let Err(error) = SockRef::from(stream).set_tcp_user_timeout(Some(timeout)) {
            log::warn!(error = error.to_string();
                "could not set how long the bytes of a connection may wait");
        }
    }
}
