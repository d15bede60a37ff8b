//! Leases with monotonically increasing fencing numbers.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// A request to acquire a lease, or to renew it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Identifier of the caller.
    pub holder: String,
    /// Fencing number of the lease to renew; ignored by an acquisition.
    #[serde(default)]
    pub fencing: u64,
    /// Lifetime of the lease, in milliseconds.
    pub ttl_ms: u64,
}

/// A granted lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// Fencing number of the lease.
    pub fencing: u64,
}

/// Current state of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseView {
    /// Identifier of the holder; `None` if the lease is free.
    pub holder: Option<String>,
    /// Last fencing number granted.
    pub fencing: u64,
    /// Remaining lifetime of the lease, in milliseconds.
    pub remaining_ms: u64,
}

#[derive(Default)]
struct LeaseEntry {
    fencing: u64,
    holder: Option<LeaseHolder>,
}

struct LeaseHolder {
    name: String,
    expires_at: Instant,
}

impl LeaseEntry {
    fn current_holder(&self, now: Instant) -> Option<&LeaseHolder> {
        self.holder
            .as_ref()
            .filter(|holder| holder.expires_at > now)
    }

    fn is_held_by(&self, name: &str, fencing: u64, now: Instant) -> bool {
        let holder = self.current_holder(now);
        holder.is_some_and(|holder| holder.name == name && self.fencing == fencing)
    }

    fn view(&self, now: Instant) -> LeaseView {
        let holder = self.current_holder(now);
        LeaseView {
            holder: holder.map(|holder| holder.name.clone()),
            fencing: self.fencing,
            remaining_ms: holder.map_or(0, |holder| (holder.expires_at - now).as_millis() as u64),
        }
    }
}

/// Leases by name.
#[derive(Default)]
pub(crate) struct LeaseTable {
    entries: BTreeMap<String, LeaseEntry>,
}

impl LeaseTable {
    /// Grants a lease that is free. A lease that the caller itself holds is not free.
    ///
    /// # Errors
    ///
    /// Returns the current state of the lease if it is held.
    pub(crate) fn acquire(
        &mut self,
        name: &str,
        request: LeaseRequest,
        now: Instant,
    ) -> Result<LeaseGrant, LeaseView> {
        let entry = self.entries.entry(name.to_owned()).or_default();
        if entry.current_holder(now).is_some() {
            return Err(entry.view(now));
        }
        entry.fencing += 1;
        entry.holder = Some(new_holder(request, now));
        Ok(LeaseGrant {
            fencing: entry.fencing,
        })
    }

    /// Extends a lease that has not expired.
    ///
    /// # Errors
    ///
    /// Returns the current state of the lease if the caller does not hold it under this
    /// fencing number.
    pub(crate) fn renew(
        &mut self,
        name: &str,
        request: LeaseRequest,
        now: Instant,
    ) -> Result<LeaseGrant, LeaseView> {
        let entry = self.entries.entry(name.to_owned()).or_default();
        if !entry.is_held_by(&request.holder, request.fencing, now) {
            return Err(entry.view(now));
        }
        entry.holder = Some(new_holder(request, now));
        Ok(LeaseGrant {
            fencing: entry.fencing,
        })
    }

    /// Releases a lease.
    ///
    /// # Errors
    ///
    /// Returns the current state of the lease if `holder` does not hold it under this
    /// fencing number.
    pub(crate) fn release(
        &mut self,
        name: &str,
        holder: &str,
        fencing: u64,
        now: Instant,
    ) -> Result<LeaseGrant, LeaseView> {
        let entry = self.entries.entry(name.to_owned()).or_default();
        if !entry.is_held_by(holder, fencing, now) {
            return Err(entry.view(now));
        }
        entry.holder = None;
        Ok(LeaseGrant { fencing })
    }

    pub(crate) fn view(&self, name: &str, now: Instant) -> Option<LeaseView> {
        let entry = self.entries.get(name)?;
        Some(entry.view(now))
    }
}

fn new_holder(request: LeaseRequest, now: Instant) -> LeaseHolder {
    LeaseHolder {
        name: request.holder,
        expires_at: now + Duration::from_millis(request.ttl_ms),
    }
}
