//! The memory and file descriptors that the connections of callers may hold together.
//!
//! `applefold_core::direct::HoldingTable` decides which connection gives way. See
//! [docs/design/memory-account.md](../../../docs/design/memory-account.md).

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use applefold_core::direct::{
    HolderId, HolderStage, HoldingTable, ScarceResource, YieldCause, YieldingHolder,
};
use applefold_core::unit::{ByteSize, TimePoint};
use opentelemetry::KeyValue;
use tokio::sync::Notify;

use crate::clock::BoottimeClock;
use crate::metrics::MetricSet;

/// The share of the memory limit that requests may hold together, in percent. The rest is for
/// buffered responses, the process itself and fragmentation.
const REQUEST_PERCENT: u64 = 40;
/// How often a request that waits for memory asks for it again, besides when some is released.
const WAIT_PERIOD: Duration = Duration::from_millis(100);
/// The time between two searches for a connection that gives way to the requests that wait for
/// memory. A search looks at all connections, so one of the waiting requests does it for all.
const SEARCH_PERIOD: Duration = Duration::from_millis(5);

/// The connection of a caller in the account.
#[derive(Debug)]
struct HolderSignal {
    peer: Option<SocketAddr>,
    /// Why the connection has to close, once it has to.
    cause: Cell<Option<YieldCause>>,
    /// Notified when `cause` is set.
    close: Notify,
}

/// The account of all connections of callers.
#[derive(Debug)]
pub(crate) struct MemoryAccount {
    table: RefCell<HoldingTable>,
    signals: RefCell<BTreeMap<HolderId, Rc<HolderSignal>>>,
    /// Notified when memory is released.
    released: Notify,
    /// Whether one of the waiting requests searches for memory.
    searching: Cell<bool>,
    clock: BoottimeClock,
    metrics: MetricSet,
}

impl MemoryAccount {
    /// Creates an account for a process with this memory limit.
    pub(crate) fn new(memory_mb: u64, clock: BoottimeClock, metrics: MetricSet) -> Self {
        let limit = ByteSize((memory_mb << 20) / 100 * REQUEST_PERCENT);
        Self {
            table: RefCell::new(HoldingTable::new(limit)),
            signals: RefCell::default(),
            released: Notify::new(),
            searching: Cell::new(false),
            clock,
            metrics,
        }
    }

    /// Adds a connection.
    pub(crate) fn begin(self: &Rc<Self>, peer: Option<SocketAddr>) -> HolderGuard {
        let id = self.table.borrow_mut().begin(self.clock.now());
        let signal = Rc::new(HolderSignal {
            peer,
            cause: Cell::new(None),
            close: Notify::new(),
        });
        self.signals.borrow_mut().insert(id, Rc::clone(&signal));
        HolderGuard {
            account: Rc::clone(self),
            id,
            signal,
        }
    }

    /// Returns the number of connections.
    pub(crate) fn connections(&self) -> usize {
        self.table.borrow().count()
    }

    /// Closes a connection to make room; returns whether there was one that may be closed.
    pub(crate) fn make_room(&self, scarce: ScarceResource) -> bool {
        let chosen = {
            let mut table = self.table.borrow_mut();
            table.choose(scarce, self.clock.now())
        };
        if let Some(yielding) = &chosen {
            self.close(yielding, scarce);
        }
        chosen.is_some()
    }

    fn close(&self, yielding: &YieldingHolder, scarce: ScarceResource) {
        let signals = self.signals.borrow();
        let signal = signals.get(&yielding.id);
        let peer = signal.and_then(|signal| signal.peer);
        log::info!(connection = yielding.id.0, peer = peer.map_or_else(String::new, |peer| peer.to_string()),
            cause = yielding.cause.name(), scarce = format!("{scarce:?}"), held = yielding.held.0,
            pause_ms = yielding.pause.as_millis(), all_held = self.table.borrow().held().0;
            "closing the connection of a caller to make room");
        self.count(yielding.cause.name());
        if let Some(signal) = signal {
            signal.cause.set(Some(yielding.cause));
            signal.close.notify_one();
        }
    }

    /// Counts a connection that was refused or closed for this cause.
    pub(crate) fn count(&self, cause: &'static str) {
        let cause = KeyValue::new("cause", cause);
        self.metrics.caller_refusals.add(1, &[cause]);
    }

    fn note_held(&self) {
        let held = self.table.borrow().held().0;
        self.metrics.held_bytes.record(held, &[]);
    }

    fn now(&self) -> TimePoint {
        self.clock.now()
    }
}

/// A connection in the account, until it is dropped.
#[derive(Debug)]
pub(crate) struct HolderGuard {
    account: Rc<MemoryAccount>,
    id: HolderId,
    signal: Rc<HolderSignal>,
}

impl HolderGuard {
    /// Returns the number of the connection in log lines.
    pub(crate) fn number(&self) -> u64 {
        self.id.0
    }

    /// Sets what the connection does.
    pub(crate) fn enter(&self, stage: HolderStage) {
        let mut table = self.account.table.borrow_mut();
        table.enter(self.id, stage, self.account.now());
    }

    /// Records bytes that the connection has brought.
    pub(crate) fn record_received(&self, bytes: usize) {
        let mut table = self.account.table.borrow_mut();
        table.record_received(self.id, ByteSize(bytes as u64), self.account.now());
    }

    /// Sets what the connection holds, if there is memory for it; returns whether it is set.
    pub(crate) fn try_resize(&self, bytes: usize) -> bool {
        let (resized, shrunk) = {
            let mut table = self.account.table.borrow_mut();
            let before = table.held();
            let resized = table.resize(self.id, ByteSize(bytes as u64));
            (resized, table.held() < before)
        };
        if shrunk {
            self.account.released.notify_waiters();
        }
        if resized {
            self.account.note_held();
        }
        resized
    }

    /// Sets what the connection holds, once there is memory for it. The connection may have to close
    /// before, see [`Self::closing`].
    pub(crate) async fn resize(&self, bytes: usize) {
        if self.try_resize(bytes) {
            return;
        }
        self.enter(HolderStage::Waiting);
        let mut search = None;
        loop {
            let released = self.account.released.notified();
            search = search.or_else(|| SearchGuard::claim(&self.account));
            let period = match search {
                Some(_) => SEARCH_PERIOD,
                None => WAIT_PERIOD,
            };
            if search.is_some() {
                self.account.make_room(ScarceResource::Memory);
            }
            let _ = tokio::time::timeout(period, released).await;
            if self.try_resize(bytes) {
                self.enter(HolderStage::Receiving);
                return;
            }
        }
    }

    /// Returns whether the connection has to close.
    pub(crate) fn is_closing(&self) -> bool {
        self.signal.cause.get().is_some()
    }

    /// Returns once the connection has to close, with the reason.
    pub(crate) async fn closing(&self) -> YieldCause {
        loop {
            if let Some(cause) = self.signal.cause.get() {
                return cause;
            }
            self.signal.close.notified().await;
        }
    }

    /// Counts a refusal that has this cause.
    pub(crate) fn count(&self, cause: &'static str) {
        self.account.count(cause);
    }
}

impl Drop for HolderGuard {
    fn drop(&mut self) {
        self.account.signals.borrow_mut().remove(&self.id);
        self.account.table.borrow_mut().end(self.id);
        self.account.released.notify_waiters();
        self.account.note_held();
    }
}

/// The search for memory by one of the requests that wait, until it is dropped.
struct SearchGuard<'a>(&'a MemoryAccount);

impl<'a> SearchGuard<'a> {
    /// Begins to search unless another request does.
    fn claim(account: &'a MemoryAccount) -> Option<Self> {
        let claimed = !account.searching.replace(true);
        claimed.then(|| Self(account))
    }
}

impl Drop for SearchGuard<'_> {
    fn drop(&mut self) {
        self.0.searching.set(false);
        // Another waiting request takes over.
        self.0.released.notify_waiters();
    }
}
