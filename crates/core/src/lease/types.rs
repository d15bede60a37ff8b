//! What a lease holder is told, what it wants done, and its proof of authority.

use std::convert::Infallible;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use smol_str::{format_smolstr, SmolStr};

use crate::claim::store::CallNumber;
use crate::id::{FencingNumber, InstanceId, ScopeId};
use crate::unit::{TimePoint, TimeSpan};

/// The name under which one run of a process holds leases.
///
/// It differs between two runs on the same instance, so that a restarted
/// process never takes an earlier run's lease for its own.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct HolderName(SmolStr);

impl HolderName {
    /// Names the run `incarnation` of a process.
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

/// Proof that the holder may act at the time it was asked for.
///
/// It is made for one send, in the same step; it cannot be cloned, so that it
/// is not kept for later.
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

    /// Returns the number that goes with everything sent.
    pub fn fencing(&self) -> FencingNumber {
        self.fencing
    }

    /// Returns when it ends unless the lease is renewed.
    pub fn expires_at(&self) -> TimePoint {
        self.expires_at
    }
}

/// What the holder wants done, or has to tell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Ask for the lease.
    Acquire {
        /// Finds the answer's place.
        call: CallNumber,
        /// The length to ask for.
        ttl: TimeSpan,
    },
    /// Renew the lease.
    Renew {
        /// Finds the answer's place.
        call: CallNumber,
        /// The number under which it is held.
        fencing: FencingNumber,
        /// The length to ask for.
        ttl: TimeSpan,
    },
    /// Give the lease back; nothing waits for the answer.
    Release {
        /// The number under which it was held.
        fencing: FencingNumber,
    },
    /// Authority has begun.
    StartActing {
        /// The number to act under.
        fencing: FencingNumber,
    },
    /// Authority has ended.
    StopActing {
        /// The number that was acted under.
        fencing: FencingNumber,
    },
}

/// What came of a lease call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseReply {
    /// The lease was given or renewed.
    Granted {
        /// The number under which it is held.
        fencing: FencingNumber,
    },
    /// Somebody holds the lease, or the renewal came too late.
    Held {
        /// Who holds it; `None` where the platform did not say.
        holder: Option<HolderName>,
        /// The number under which it is held.
        fencing: FencingNumber,
        /// How long it lasts unless renewed.
        remaining: TimeSpan,
    },
    /// No answer, or an error; the call may have taken effect.
    Failed,
}

/// The answer to a lease call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseCompletion {
    /// The call that it answers.
    pub call: CallNumber,
    /// What came of it.
    pub reply: LeaseReply,
}
