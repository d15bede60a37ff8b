//! The claim of a holder on its record in the store, and the store lease that the record is bound to.
//!
//! A claim whose outcome is unknown may take effect later, as long as its condition holds. A holder that
//! has claimed several times therefore takes the lease to renew from the record, and not from its
//! last claim. See [docs/design/authority.md](../../../../docs/design/authority.md#the-record-in-the-store).

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use super::HolderName;
use crate::direct::StoreEra;
use crate::id::FencingNumber;

/// The most claims of unknown outcome that are remembered. A claim is made once per renewal interval,
/// so that the leases of earlier ones have expired.
const MAX_UNSETTLED: usize = 4;

/// A lease of the store, by the number that the store gave it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RecordLease(pub u64);

impl fmt::Display for RecordLease {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for RecordLease {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// The record of a holder as it was read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRecord {
    /// The holder.
    pub holder: HolderName,
    /// The fencing number under which it holds the scope.
    pub fencing: FencingNumber,
    /// The lease whose end removes the record; `None` if the store named none.
    pub lease: Option<RecordLease>,
}

/// The claims of one holder on its record, and the lease by which it keeps it.
#[derive(Debug)]
pub struct RecordClaim {
    holder: HolderName,
    /// The era of the store in which the holder has claimed since it last gave the record up.
    era: Option<StoreEra>,
    /// The lease that the record is bound to, if the holder knows that the record is its own.
    lease: Option<RecordLease>,
    /// The leases of claims of unknown outcome.
    unsettled: Vec<RecordLease>,
}

impl RecordClaim {
    /// Creates the claim of a holder that has made none yet.
    pub fn new(holder: HolderName) -> Self {
        Self {
            holder,
            era: None,
            lease: None,
            unsettled: Vec::new(),
        }
    }

    /// Records that a change is sent that binds the record to `lease`.
    pub fn begin(&mut self, lease: RecordLease, era: StoreEra) {
        if self.era.replace(era) != Some(era) {
            self.lease = None;
            self.unsettled.clear();
        }
        if self.unsettled.len() >= MAX_UNSETTLED {
            self.unsettled.remove(0);
        }
        self.unsettled.push(lease);
    }

    /// Records that the store has confirmed the change that binds the record to `lease`.
    pub fn confirm(&mut self, lease: RecordLease) {
        self.settle(lease);
        self.lease = Some(lease);
    }

    /// Records that the change with `lease` had no effect and will have none.
    pub fn settle(&mut self, lease: RecordLease) {
        self.unsettled.retain(|unsettled| *unsettled != lease);
    }

    /// Takes in the record that stands in the store in this era; returns whether it is the holder's own,
    /// so that it may be renewed. A record that the holder has given up, or that an older copy of the
    /// store has brought back, is not: it is waited for until it expires.
    pub fn adopt(&mut self, record: &StoredRecord, era: StoreEra) -> bool {
        let is_own = self.era == Some(era) && record.holder == self.holder;
        self.lease = record.lease.filter(|_| is_own);
        self.lease.is_some()
    }

    /// Returns the lease to renew; `None` if the record is not the holder's own in this era.
    pub fn lease(&self, era: StoreEra) -> Option<RecordLease> {
        self.lease.filter(|_| self.era == Some(era))
    }

    /// Records that the lease of the record has ended.
    pub fn expire(&mut self) {
        self.lease = None;
    }

    /// Gives the record up. Returns the leases to revoke: a claim of unknown outcome has no effect once
    /// its lease has ended.
    pub fn release(&mut self) -> Vec<RecordLease> {
        self.era = None;
        let mut leases = std::mem::take(&mut self.unsettled);
        leases.extend(self.lease.take());
        leases
    }
}
