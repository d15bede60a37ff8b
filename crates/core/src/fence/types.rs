//! What the fence is told and what it wants done.

use smol_str::SmolStr;

use crate::claim::store::CallNumber;
use crate::code::CallRefusal;
use crate::id::{FencingNumber, OrderId, ScopeId};
use crate::lease::HolderName;
use crate::unit::{TimePoint, TimeSpan};

/// The times and sizes of a fence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FenceOptions {
    /// The oldest that the reading of a lease may be when an order is sent.
    pub lease_check_timeout: TimeSpan,
    /// The longest time that an order may give a backend server.
    pub max_order_timeout: TimeSpan,
    /// How long after its deadline a backend server may still be at an order.
    pub overrun_limit: TimeSpan,
    /// How many carried out orders are remembered.
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
    /// Makes a repeat recognizable.
    pub id: OrderId,
    /// The scope whose holder sends it.
    pub scope: ScopeId,
    /// Who sends it.
    pub holder: HolderName,
    /// The number that the sender holds the scope's lease under.
    pub fencing: FencingNumber,
    /// How long the backend server may take.
    pub timeout: TimeSpan,
    /// What is to be done, in JSON.
    pub body: SmolStr,
}

/// What a lease says when it is read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseStatus {
    /// It is held.
    Held {
        /// Who holds it.
        holder: HolderName,
        /// The number under which it is held.
        fencing: FencingNumber,
    },
    /// Nobody holds it.
    Free,
    /// It could not be read.
    Unreadable,
}

/// What a backend server makes of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineReply {
    /// It has carried the order out.
    Done,
    /// It has refused the order for its fencing number.
    Outdated,
    /// It has refused the order for another reason.
    Refused,
    /// The connection was lost before an answer came.
    NoResponse,
}

/// What is known of a backend server's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineState {
    /// It is as the last order left it.
    Known,
    /// It is carrying an order out.
    Changing,
    /// Whether the last order took effect is not known; a new one settles it.
    Unknown,
}

/// What the fence is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FenceEvent {
    /// An order has come.
    Order {
        /// Finds the reply's place.
        call: CallNumber,
        /// The order.
        order: EngineOrder,
    },
    /// A lease has been read.
    LeaseRead {
        /// The call that it answers.
        call: CallNumber,
        /// What it says.
        status: LeaseStatus,
    },
    /// The backend server has answered an order.
    EngineReplied {
        /// The order.
        order: OrderId,
        /// The answer.
        reply: EngineReply,
    },
    /// The backend server's process has ended; a later one starts afresh.
    EngineCrashed,
    /// The backend server is known to be at no order, as when it has just started.
    EngineIdle,
}

/// The answer to an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderResult {
    /// It has been carried out.
    Done,
    /// It has not been carried out, or that is not known.
    Refused(CallRefusal),
}

/// What the fence wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FenceAction {
    /// Read the lease of a scope in the platform's service.
    ReadLease {
        /// Finds the answer's place.
        call: CallNumber,
        /// The scope.
        scope: ScopeId,
    },
    /// Send an order to the backend server, in this step.
    Send {
        /// The order.
        order: EngineOrder,
        /// When the connection is to be given up.
        deadline: TimePoint,
    },
    /// Answer the sender of an order.
    Reply {
        /// The call to answer.
        call: CallNumber,
        /// The answer.
        result: OrderResult,
    },
}
