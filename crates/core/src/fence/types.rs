//! Inputs, outputs and options of the fence.

use smol_str::SmolStr;

use crate::claim::store::CallNumber;
use crate::code::CallRefusal;
use crate::id::{FencingNumber, OrderId, ScopeId};
use crate::lease::HolderName;
use crate::unit::{TimePoint, TimeSpan};

/// Limits and timeouts of a fence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FenceOptions {
    /// The maximum time between the start of the lease read and the sending of the order.
    pub lease_check_timeout: TimeSpan,
    /// The maximum timeout of an order; longer ones are reduced to it.
    pub max_order_timeout: TimeSpan,
    /// How long after the deadline of an order the backend server may still carry it out.
    pub overrun_limit: TimeSpan,
    /// The number of completed orders that are remembered to detect duplicates.
    pub max_completed_orders: usize,
}

impl Default for FenceOptions {
    fn default() -> Self {
        Self {
            lease_check_timeout: TimeSpan::from_secs(1),
            max_order_timeout: TimeSpan::from_secs(20),
            overrun_limit: TimeSpan::from_secs(10),
            max_completed_orders: 64,
        }
    }
}

/// An order to a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineOrder {
    /// The order's ID, by which a repeated order is recognized.
    pub id: OrderId,
    /// The scope under whose lease it is sent.
    pub scope: ScopeId,
    /// The holder that sends it.
    pub holder: HolderName,
    /// The fencing number under which the sender holds the lease.
    pub fencing: FencingNumber,
    /// How long the backend server may take to carry out the order.
    pub timeout: TimeSpan,
    /// The action to perform, in JSON.
    pub body: SmolStr,
}

/// The status of a lease, as read from the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseStatus {
    /// The lease is held.
    Held {
        /// The holder.
        holder: HolderName,
        /// The fencing number under which it is held.
        fencing: FencingNumber,
    },
    /// The lease is not held.
    Free,
    /// The lease could not be read.
    Unreadable,
}

/// A backend server's reply to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineReply {
    /// The backend server has carried out the order.
    Done,
    /// The backend server has refused the order because its fencing number is outdated.
    Outdated,
    /// The backend server has refused the order for another reason.
    Refused,
    /// The connection was lost before a response arrived.
    NoResponse,
}

/// What is known about a backend server's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineState {
    /// The last order determines the state.
    Known,
    /// The backend server is carrying out an order.
    Changing,
    /// It is not known whether the last order took effect. The next completed order determines the
    /// state.
    Unknown,
}

/// An input of the fence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FenceEvent {
    /// An order has arrived.
    Order {
        /// Identifies the call in the reply.
        call: CallNumber,
        /// The order.
        order: EngineOrder,
    },
    /// A lease has been read.
    LeaseRead {
        /// The number of the call.
        call: CallNumber,
        /// The status of the lease.
        status: LeaseStatus,
    },
    /// The backend server has replied to an order.
    EngineReplied {
        /// The order's ID.
        order: OrderId,
        /// The reply.
        reply: EngineReply,
    },
    /// The backend server's process has ended; a new one starts in its initial state.
    EngineCrashed,
    /// The backend server is known to carry out no order, for example because it has just started.
    EngineIdle,
}

/// The result of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderResult {
    /// The order has been carried out.
    Done,
    /// The order has not been carried out, or its outcome is not known.
    Refused(CallRefusal),
}

/// An output of the fence, to be carried out by the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FenceAction {
    /// Read the lease of a scope in the platform's service.
    ReadLease {
        /// Identifies the call in its completion.
        call: CallNumber,
        /// The scope of the lease.
        scope: ScopeId,
    },
    /// Send an order to the backend server in this step.
    Send {
        /// The order.
        order: EngineOrder,
        /// When to abort the connection.
        deadline: TimePoint,
    },
    /// Reply to the sender of an order.
    Reply {
        /// The call to reply to.
        call: CallNumber,
        /// The result.
        result: OrderResult,
    },
}
