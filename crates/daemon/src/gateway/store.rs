//! The one client of the platform's store.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;

use applefold_core::unit::{TimePoint, TimeSpan};
use applefold_platform::{StoreCall, StoreError, StoreReply};
use opentelemetry::KeyValue;

use super::connection::{ClientConnection, ConnectionError};
use crate::clock::BoottimeClock;
use crate::metrics::MetricSet;

/// How long a connection to the store may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// How long an answer may take besides what the call itself waits for: a renewal whose answer
/// is lost must be made again before the lease of 3 s is no longer acted under.
pub(crate) const CALL_TIMEOUT: TimeSpan = TimeSpan::from_millis(900);
/// The largest answer: a value of 1 MiB or a page of about as much, encoded, several times over.
pub(crate) const MAX_ANSWER_BYTES: usize = 16 << 20;
/// The most connections kept for calls.
const MAX_IDLE: usize = 4;

/// What is known of the store's own state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StoreStanding {
    Unknown,
    Answering,
    Failing,
}

/// Calls the store, and notes when it is lost and regained.
pub(crate) struct StoreClient {
    address: Cell<SocketAddr>,
    clock: BoottimeClock,
    metrics: MetricSet,
    idle: RefCell<Vec<ClientConnection>>,
    standing: Cell<StoreStanding>,
    changed_at: Cell<TimePoint>,
}

impl StoreClient {
    pub(crate) fn new(address: SocketAddr, clock: BoottimeClock, metrics: MetricSet) -> Self {
        Self {
            address: Cell::new(address),
            clock,
            metrics,
            idle: RefCell::default(),
            standing: Cell::new(StoreStanding::Unknown),
            changed_at: Cell::new(clock.now()),
        }
    }

    /// Goes to another address from the next call on.
    pub(crate) fn set_address(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.idle.borrow_mut().clear();
        }
    }

    /// Returns whether the store has answered without a failure for `span`.
    pub(crate) fn is_steady(&self, span: TimeSpan) -> bool {
        self.standing.get() == StoreStanding::Answering
            && self.clock.now().since(self.changed_at.get()) >= span
    }

    /// Makes a call.
    ///
    /// # Errors
    ///
    /// Fails with [`StoreError::NoResponse`] where no answer came; a change may then have been
    /// made.
    pub(crate) async fn call(&self, call: &StoreCall) -> Result<StoreReply, StoreError> {
        let kind = KeyValue::new("call", call.kind());
        self.metrics.platform_calls.add(1, &[kind]);
        let wait = match call {
            StoreCall::Watch { wait, .. } => *wait,
            _ => TimeSpan::ZERO,
        };
        let limit = Duration::from_micros((wait + CALL_TIMEOUT).0);
        let result = tokio::time::timeout(limit, self.exchange(call)).await;
        let result =
            result.unwrap_or_else(|_| Err(StoreError::NoResponse("it took too long".into())));
        self.note(call, &result);
        result
    }

    async fn exchange(&self, call: &StoreCall) -> Result<StoreReply, StoreError> {
        let lost = |fault: ConnectionError| StoreError::NoResponse(fault.to_string());
        let mut connection = match self.take() {
            Some(connection) => connection,
            None => ClientConnection::open(self.address.get(), CONNECT_TIMEOUT)
                .await
                .map_err(|error| StoreError::NoResponse(error.to_string()))?,
        };
        connection.send(&call.render()).await.map_err(lost)?;
        let head = connection.read_head().await.map_err(lost)?;
        let body = connection.read_full_body(&head, MAX_ANSWER_BYTES).await;
        let body = body.map_err(lost)?;
        if head.keep_alive && self.idle.borrow().len() < MAX_IDLE {
            self.idle.borrow_mut().push(connection);
        }
        call.read(head.status, &body)
    }

    fn take(&self) -> Option<ClientConnection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(mut connection) = idle.pop() {
            if connection.is_idle() {
                return Some(connection);
            }
        }
        None
    }

    fn note(&self, call: &StoreCall, result: &Result<StoreReply, StoreError>) {
        let standing = match result {
            Ok(_) | Err(StoreError::Compacted) => StoreStanding::Answering,
            Err(_) => StoreStanding::Failing,
        };
        if let Err(error) = result {
            self.idle.borrow_mut().clear();
            log::debug!(call = call.kind(), error = error.to_string(); "store call failed");
        }
        let before = self.standing.replace(standing);
        if before == standing {
            return;
        }
        let since_ms = self.clock.now().since(self.changed_at.get()).as_millis();
        self.changed_at.set(self.clock.now());
        match result {
            Err(error) if standing == StoreStanding::Failing => {
                log::warn!(call = call.kind(), error = error.to_string(), answered_ms = since_ms;
                    "store lost");
            }
            _ => log::info!(call = call.kind(), failed_ms = since_ms; "store reached"),
        }
    }
}
