//! The client of the platform's store.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;

use applefold_core::direct::StoreEra;
use applefold_core::unit::{TimePoint, TimeSpan};
use applefold_h1::{ParseError, ResponseHead};
use applefold_platform::{read_store_era, StoreCall, StoreError, StoreReply};
use opentelemetry::KeyValue;
use tokio::time::Instant;

use super::connection::{ClientConnection, ConnectionError, TransferLimits, TransferMeter};
use crate::clock::BoottimeClock;
use crate::metrics::MetricSet;

/// The time limit for connecting to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// The time limit for a response without progress, besides the long-poll time of the call. A lease renewal whose
/// response is lost must be repeated before the holder of the 3 s lease stops acting.
pub(crate) const CALL_TIMEOUT: TimeSpan = TimeSpan::from_millis(900);
/// The largest response. It leaves ample room for a value of 1 MiB, or a page of about that size,
/// with its encoding.
pub(crate) const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// The most idle connections that are kept.
const MAX_IDLE: usize = 4;

/// The availability of the store, as the last call showed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StoreAvailability {
    Unknown,
    Available,
    Unavailable,
}

/// Calls the store, and tracks and logs its availability.
pub(crate) struct StoreClient {
    address: Cell<SocketAddr>,
    clock: BoottimeClock,
    metrics: MetricSet,
    idle: RefCell<Vec<ClientConnection>>,
    availability: Cell<StoreAvailability>,
    /// When the availability last changed.
    changed_at: Cell<TimePoint>,
    /// The latest era that the store or a peer has named, and when this entry learned of it.
    era: Cell<StoreEra>,
    /// Whether the store has named its era to this process.
    era_known: Cell<bool>,
    /// Whether a new era has begun since.
    came_back: Cell<bool>,
    era_since: Cell<TimePoint>,
}

impl StoreClient {
    pub(crate) fn new(address: SocketAddr, clock: BoottimeClock, metrics: MetricSet) -> Self {
        Self {
            address: Cell::new(address),
            clock,
            metrics,
            idle: RefCell::default(),
            availability: Cell::new(StoreAvailability::Unknown),
            changed_at: Cell::new(clock.now()),
            era: Cell::default(),
            era_known: Cell::new(false),
            came_back: Cell::new(false),
            era_since: Cell::new(clock.now()),
        }
    }

    /// Uses another address from the next call on.
    pub(crate) fn set_address(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.idle.borrow_mut().clear();
        }
    }

    /// Sends a call to the store and returns its reply.
    ///
    /// # Errors
    ///
    /// Fails with [`StoreError::NoResponse`] if no response came. A change may have been made
    /// nevertheless.
    pub(crate) async fn call(&self, call: &StoreCall) -> Result<StoreReply, StoreError> {
        Ok(self.call_in_era(call).await?.0)
    }

    /// Sends a call to the store and returns its reply with the era that the store was in.
    ///
    /// # Errors
    ///
    /// Fails like [`Self::call`].
    pub(crate) async fn call_in_era(
        &self,
        call: &StoreCall,
    ) -> Result<(StoreReply, StoreEra), StoreError> {
        self.call_within(call, MAX_RESPONSE_BYTES, &TransferMeter::default())
            .await
    }

    /// Sends a call like [`Self::call_in_era`]. Counts the bytes of its response in `meter`.
    ///
    /// # Errors
    ///
    /// Fails like [`Self::call`], and with [`StoreError::TooLarge`] if the response has more than
    /// `max_bytes`.
    pub(crate) async fn call_within(
        &self,
        call: &StoreCall,
        max_bytes: usize,
        meter: &TransferMeter,
    ) -> Result<(StoreReply, StoreEra), StoreError> {
        let kind = KeyValue::new("call", call.kind());
        self.metrics.platform_calls.add(1, &[kind]);
        let wait = match call {
            StoreCall::Watch { wait, .. } => *wait,
            _ => TimeSpan::ZERO,
        };
        let limits = TransferLimits {
            max_bytes,
            deadline: Instant::now() + Duration::from_micros((wait + CALL_TIMEOUT).0),
            stall: Duration::from_micros(CALL_TIMEOUT.0),
        };
        let result = self.exchange(call, &limits, meter).await;
        self.note_result(call, &result);
        result
    }

    /// Sends the call and reads its reply. A small one arrives within the time limit of the call, and a
    /// large one takes as long as it makes progress.
    async fn exchange(
        &self,
        call: &StoreCall,
        limits: &TransferLimits,
        meter: &TransferMeter,
    ) -> Result<(StoreReply, StoreEra), StoreError> {
        let lost = |error: ConnectionError| match error {
            ConnectionError::InvalidResponse(ParseError::TooLarge) => StoreError::TooLarge,
            error => StoreError::NoResponse(error.to_string()),
        };
        let sent = tokio::time::timeout_at(limits.deadline, self.send(call)).await;
        let sent = sent.unwrap_or_else(|_| {
            let reason = "no response head within the time limit";
            Err(StoreError::NoResponse(reason.into()))
        });
        let (mut connection, head) = sent?;
        let body = connection.read_moving_body(&head, limits, meter).await;
        let body = body.map_err(lost)?;
        if head.keep_alive && self.idle.borrow().len() < MAX_IDLE {
            self.idle.borrow_mut().push(connection);
        }
        let era = read_store_era(&head).unwrap_or(self.era.get());
        if era < self.era.get() {
            let reason = format!("the reply is of era {era}, which has ended");
            return Err(StoreError::NoResponse(reason));
        }
        self.note_era(era, "store");
        self.era_known.set(true);
        Ok((call.read(head.status, &body)?, era))
    }

    /// Sends the call and reads the head of its reply, without a time limit.
    async fn send(&self, call: &StoreCall) -> Result<(ClientConnection, ResponseHead), StoreError> {
        let lost = |error: ConnectionError| StoreError::NoResponse(error.to_string());
        let mut connection = match self.take_idle() {
            Some(connection) => connection,
            None => ClientConnection::open(self.address.get(), CONNECT_TIMEOUT)
                .await
                .map_err(|error| StoreError::NoResponse(error.to_string()))?,
        };
        connection.send(&call.render()).await.map_err(lost)?;
        let head = connection.read_head().await.map_err(lost)?;
        Ok((connection, head))
    }

    /// Returns the latest era of the store that this entry knows of.
    pub(crate) fn era(&self) -> StoreEra {
        self.era.get()
    }

    /// Returns when this entry learned of the latest era.
    pub(crate) fn era_since(&self) -> TimePoint {
        self.era_since.get()
    }

    /// Returns whether the store has come back from an older copy since this process started.
    pub(crate) fn came_back(&self) -> bool {
        self.came_back.get()
    }

    /// Records the era that the store or a peer has named. After a new one, registrations may be
    /// missing that have not been written again yet, as after an outage.
    pub(crate) fn note_era(&self, era: StoreEra, source: &str) {
        let before = self.era.get();
        if era <= before {
            return;
        }
        self.era.set(era);
        self.era_since.set(self.clock.now());
        self.changed_at.set(self.clock.now());
        if !self.era_known.get() {
            log::info!(era = era.number(), source; "store named its era");
            return;
        }
        self.came_back.set(true);
        self.metrics.store_eras.add(1, &[]);
        log::warn!(before = before.number(), era = era.number(), source;
            "store is in a new era: it came back from an older copy");
    }

    /// Takes an idle connection that is still open.
    fn take_idle(&self) -> Option<ClientConnection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(mut connection) = idle.pop() {
            if connection.is_idle() {
                return Some(connection);
            }
        }
        None
    }

    /// Updates the availability after a call; logs it if it has changed.
    fn note_result(&self, call: &StoreCall, result: &Result<(StoreReply, StoreEra), StoreError>) {
        let availability = match result {
            Ok(_) | Err(StoreError::Compacted | StoreError::TooLarge) => {
                StoreAvailability::Available
            }
            Err(_) => StoreAvailability::Unavailable,
        };
        if let Err(error) = result {
            self.idle.borrow_mut().clear();
            log::debug!(call = call.kind(), error = error.to_string(); "store call failed");
        }
        let before = self.availability.replace(availability);
        if before == availability {
            return;
        }
        let since_ms = self.clock.now().since(self.changed_at.get()).as_millis();
        self.changed_at.set(self.clock.now());
        match result {
            Err(error) if availability == StoreAvailability::Unavailable => {
                log::warn!(call = call.kind(), error = error.to_string(), answered_ms = since_ms;
                    "store unavailable");
            }
            _ => log::info!(call = call.kind(), failed_ms = since_ms; "store available"),
        }
    }
}
