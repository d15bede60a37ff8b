//! How long the bytes of a connection may wait for its peer.
//!
//! A peer that reads late acknowledges, with a window that is full; one that is gone acknowledges nothing.
//! The system ends a connection whose bytes have waited for a time, whatever the reason, so that this time
//! is extended for as long as the peer is there. See
//! [docs/design/sending.md](../../../../docs/design/sending.md#peers-that-read-late).

use crate::unit::{TimePoint, TimeSpan};

/// What the system knows of the bytes that a connection has still to deliver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeliveryReport {
    /// Whether written bytes are not sent, or sent and not acknowledged.
    pub is_pending: bool,
    /// Whether the peer has acknowledged whatever was sent last, probes of its window included.
    pub is_answered: bool,
    /// The bytes that the peer has acknowledged so far.
    pub acknowledged: u64,
}

/// What follows from a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryStep {
    /// Everything is delivered.
    Delivered,
    /// The peer reads late: its bytes may wait until this long after the first of them began to wait.
    Extend(TimeSpan),
    /// The time that bytes may wait stays as it is.
    Keep,
}

/// Bytes that wait for the peer.
#[derive(Clone, Copy, Debug)]
struct WaitingBytes {
    /// When they were first found waiting without progress since.
    since: TimePoint,
    acknowledged: u64,
}

/// Decides how long the bytes of one connection may wait.
#[derive(Clone, Debug)]
pub struct DeliveryWatch {
    ack_timeout: TimeSpan,
    check_period: TimeSpan,
    max_wait: TimeSpan,
    waiting: Option<WaitingBytes>,
}

impl DeliveryWatch {
    /// Creates the watch of a connection that the system ends once bytes have waited for `ack_timeout`. It
    /// is told what the system knows every `check_period`, and extends that time up to `max_wait`.
    pub fn new(ack_timeout: TimeSpan, check_period: TimeSpan, max_wait: TimeSpan) -> Self {
        Self {
            ack_timeout,
            check_period,
            max_wait,
            waiting: None,
        }
    }

    /// Sets how long bytes may wait for a peer that is there.
    pub fn set_max_wait(&mut self, max_wait: TimeSpan) {
        self.max_wait = max_wait;
    }

    /// Returns how long bytes may wait for a peer that is there.
    pub fn max_wait(&self) -> TimeSpan {
        self.max_wait
    }

    /// Returns whether bytes were waiting at the last report.
    pub fn is_waiting(&self) -> bool {
        self.waiting.is_some()
    }

    /// Takes in a report.
    pub fn observe(&mut self, report: DeliveryReport, now: TimePoint) -> DeliveryStep {
        if !report.is_pending {
            self.waiting = None;
            return DeliveryStep::Delivered;
        }
        let progressed = |waiting: &WaitingBytes| waiting.acknowledged != report.acknowledged;
        if self.waiting.as_ref().is_none_or(progressed) {
            self.waiting = Some(WaitingBytes {
                since: now,
                acknowledged: report.acknowledged,
            });
        }
        let waited = self
            .waiting
            .map_or(TimeSpan::ZERO, |waiting| now.since(waiting.since));
        if !report.is_answered || waited >= self.max_wait {
            return DeliveryStep::Keep;
        }
        // They may have begun to wait a period before the first report.
        DeliveryStep::Extend(waited + self.check_period + self.ack_timeout)
    }
}
