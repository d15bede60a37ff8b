//! Inputs and outputs of a lease holder, and its proof of authority.

use std::convert::Infallible;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use smol_str::{format_smolstr, SmolStr};

use crate::claim::store::CallNumber;
use crate::id::{FencingNumber, InstanceId, ScopeId};
use crate::unit::{TimePoint, TimeSpan};

/// The name under which one incarnation of a process holds leases.
///
/// It differs between incarnations on the same instance, so that a restarted
/// process never mistakes the lease of an earlier incarnation for its own.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct HolderName(SmolStr);

impl HolderName {
    /// Creates the name of one incarnation of the process on `instance`.
    pub fn new(instance: &InstanceId, incarnation: u64) -> Self {
        Self(format_smolstr!("{instance}:{incarnation}"))
    }

    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for HolderName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for HolderName {
    type Err = Infallible;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(Self(SmolStr::new(text)))
    }
}

/// Proof that the holder may act at the time of the check.
///
/// It is valid for one send in the same step. It cannot be cloned, so that it
/// is not kept for a later send.
#[derive(Debug, PartialEq, Eq)]
pub struct Authority {
    pub(super) scope: ScopeId,
    pub(super) holder: HolderName,
    pub(super) fencing: FencingNumber,
    pub(super) expires_at: TimePoint,
}

impl Authority {
    /// Returns the scope.
    pub fn scope(&self) -> &ScopeId {
        &self.scope
    }

    /// Returns the holder's name.
    pub fn holder(&self) -> &HolderName {
        &self.holder
    }

    /// Returns the fencing number to attach to every message.
    pub fn fencing(&self) -> FencingNumber {
        self.fencing
    }

    /// Returns when the authority ends, unless the lease is renewed.
    pub fn expires_at(&self) -> TimePoint {
        self.expires_at
    }
}

/// An output of a lease holder: a call to carry out, or a change of its authority.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Acquire the lease.
    Acquire {
        /// Identifies the call in its completion.
        call: CallNumber,
        /// The requested duration of the lease.
        ttl: TimeSpan,
    },
    /// Renew the lease.
    Renew {
        /// Identifies the call in its completion.
        call: CallNumber,
        /// The fencing number under which it is held.
        fencing: FencingNumber,
        /// The requested duration of the lease.
        ttl: TimeSpan,
    },
    /// Release the lease; no completion is expected.
    Release {
        /// The fencing number under which it was held.
        fencing: FencingNumber,
    },
    /// Authority has started.
    StartActing {
        /// The fencing number to act under.
        fencing: FencingNumber,
    },
    /// Authority has ended.
    StopActing {
        /// The fencing number that was acted under.
        fencing: FencingNumber,
    },
}

/// The reply to a lease call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseReply {
    /// The lease was acquired or renewed.
    Granted {
        /// The fencing number under which it is held.
        fencing: FencingNumber,
    },
    /// The lease is held, or the renewal came too late.
    Held {
        /// The holder; `None` if the platform did not name it.
        holder: Option<HolderName>,
        /// The fencing number under which it is held.
        fencing: FencingNumber,
        /// The time until it expires, unless it is renewed.
        remaining: TimeSpan,
    },
    /// No response, or an error; the call may have taken effect.
    Failed,
}

/// The completion of a lease call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseCompletion {
    /// The number of the call.
    pub call: CallNumber,
    /// The reply.
    pub reply: LeaseReply,
}
