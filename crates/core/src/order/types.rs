//! What the journal is told and what it wants done.

use serde::{Deserialize, Serialize};

use crate::claim::store::{CallNumber, StoreCall, StoreCompletion};
use crate::claim::write::WriteTiming;
use crate::id::{DomainId, FencingNumber, InstanceId, OrderId, PoolId};
use crate::lease::{DriftRate, HolderName, MAX_CLOCK_DRIFT, ORDER_DELIVERY_TIMEOUT};
use crate::unit::TimeSpan;

/// What the platform is asked to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlatformAction {
    /// Start a backend server.
    Start,
    /// Release a backend server.
    Release,
}

/// An order to the platform's own interface.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformOrder {
    /// Unique over all holders and times, so that it can be found again.
    pub id: OrderId,
    /// What is to be done.
    pub action: PlatformAction,
    /// The pool that gains or loses a backend server.
    pub pool: PoolId,
    /// The failure domain.
    pub domain: DomainId,
    /// The backend server's instance, where one is released.
    pub instance: Option<InstanceId>,
}

/// The times and sizes of a journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JournalOptions {
    /// The longest time that an order may stay on its way.
    pub delivery_timeout: TimeSpan,
    /// By how much the rates of two clocks may differ.
    pub max_drift: DriftRate,
    /// How long an answer of the store is waited for.
    pub call_timeout: TimeSpan,
    /// The time between a failed call and the next.
    pub backoff: TimeSpan,
    /// How often an order is sent before it counts as failed.
    pub max_attempts: u64,
    /// How many records one page of a list holds.
    pub page_size: usize,
}

impl JournalOptions {
    pub(super) fn write_timing(&self) -> WriteTiming {
        WriteTiming {
            timeout: self.call_timeout,
            backoff: self.backoff,
        }
    }
}

impl Default for JournalOptions {
    fn default() -> Self {
        Self {
            delivery_timeout: ORDER_DELIVERY_TIMEOUT,
            max_drift: MAX_CLOCK_DRIFT,
            call_timeout: TimeSpan::from_secs(2),
            backoff: TimeSpan::from_millis(200),
            max_attempts: 3,
            page_size: 64,
        }
    }
}

/// What came of sending an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PostReply {
    /// The platform has taken it.
    Accepted,
    /// The platform has refused it.
    Refused,
    /// No answer, or an error; it may have been taken.
    Failed,
}

/// What the journal is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JournalEvent {
    /// An order is to be carried out.
    Submit(PlatformOrder),
    /// The store has answered.
    StoreCompleted(StoreCompletion),
    /// The platform has answered an order.
    PostCompleted {
        /// The call that it answers.
        call: CallNumber,
        /// The answer.
        reply: PostReply,
    },
    /// The platform has said which orders it has taken.
    OrdersRead {
        /// The call that it answers.
        call: CallNumber,
        /// The orders; `None` where they could not be read.
        orders: Option<Vec<OrderId>>,
    },
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderOutcome {
    /// The platform has taken it.
    Done,
    /// The platform has refused it, or never took it.
    Failed,
    /// An earlier holder had planned it and never sent it, or it was not accepted here.
    NeverSent,
}

/// What the journal wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JournalAction {
    /// Call the platform's key-value service.
    Store(StoreCall),
    /// Send an order to the platform, in this step, and give up after the in-flight time.
    Post {
        /// Finds the answer's place.
        call: CallNumber,
        /// The order.
        order: PlatformOrder,
        /// Who sends it.
        holder: HolderName,
        /// The number under which it is sent.
        fencing: FencingNumber,
    },
    /// Read which orders the platform has taken.
    ReadOrders {
        /// Finds the answer's place.
        call: CallNumber,
    },
    /// An order has ended.
    Finished {
        /// The order.
        order: PlatformOrder,
        /// How it ended.
        outcome: OrderOutcome,
    },
}
