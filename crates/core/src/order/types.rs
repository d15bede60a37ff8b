//! Inputs, outputs and options of the order journal.

use serde::{Deserialize, Serialize};

use crate::claim::store::{CallNumber, StoreCall, StoreCompletion};
use crate::claim::write::WriteTiming;
use crate::id::{DomainId, FencingNumber, InstanceId, OrderId, PoolId};
use crate::lease::{DriftRate, HolderName, MAX_CLOCK_DRIFT, ORDER_DELIVERY_TIMEOUT};
use crate::unit::TimeSpan;

/// The action that an order requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlatformAction {
    /// Start a backend server.
    Start,
    /// Release a backend server.
    Release,
}

/// An order to the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformOrder {
    /// The order's ID. It is never reused by any holder, so the order can be found in the platform's
    /// list.
    pub id: OrderId,
    /// The requested action.
    pub action: PlatformAction,
    /// The pool that gains or loses a backend server.
    pub pool: PoolId,
    /// The failure domain of the backend server.
    pub domain: DomainId,
    /// The instance of the backend server to release; `None` for a start.
    pub instance: Option<InstanceId>,
}

/// Limits and timeouts of an order journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JournalOptions {
    /// The maximum time between the sending and the arrival of an order.
    pub delivery_timeout: TimeSpan,
    /// The maximum difference between the rates of two clocks.
    pub max_drift: DriftRate,
    /// The timeout of a call to the store, and of a read of the platform's orders.
    pub call_timeout: TimeSpan,
    /// The delay between a failed call and the next.
    pub backoff: TimeSpan,
    /// The maximum number of attempts to send an order before it counts as failed.
    pub max_attempts: u64,
    /// The number of records requested with one list call.
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

/// The platform's reply to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PostReply {
    /// The platform has accepted the order.
    Accepted,
    /// The platform has refused the order.
    Refused,
    /// No response, or an error; the order may have been accepted.
    Failed,
}

/// An input of the journal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JournalEvent {
    /// An order was submitted.
    Submit(PlatformOrder),
    /// A store call has completed.
    StoreCompleted(StoreCompletion),
    /// A post of an order has completed.
    PostCompleted {
        /// The number of the call.
        call: CallNumber,
        /// The reply.
        reply: PostReply,
    },
    /// A read of the platform's accepted orders has completed.
    OrdersRead {
        /// The number of the call.
        call: CallNumber,
        /// The accepted orders; `None` if they could not be read.
        orders: Option<Vec<OrderId>>,
    },
}

/// The outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderOutcome {
    /// The platform has accepted it.
    Done,
    /// The platform has refused it, or did not accept it after the maximum number of attempts.
    Failed,
    /// An earlier holder's order was not found at the platform, or the journal was not ready when
    /// it was submitted.
    NeverSent,
}

/// An output of the journal, to be carried out by the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JournalAction {
    /// Call the platform's key-value service.
    Store(StoreCall),
    /// Send an order to the platform in this step, and give up after the delivery timeout.
    Post {
        /// Identifies the call in its completion.
        call: CallNumber,
        /// The order.
        order: PlatformOrder,
        /// The holder that sends it.
        holder: HolderName,
        /// The fencing number under which it is sent.
        fencing: FencingNumber,
    },
    /// Read the list of the orders that the platform has accepted.
    ReadOrders {
        /// Identifies the call in its completion.
        call: CallNumber,
    },
    /// An order has ended.
    Finished {
        /// The order.
        order: PlatformOrder,
        /// Its outcome.
        outcome: OrderOutcome,
    },
}
