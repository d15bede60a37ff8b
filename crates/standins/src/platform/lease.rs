//! Leases with fencing numbers that only grow.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// A request for a lease, or its renewal where `fencing` is given.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Who asks.
    pub holder: String,
    /// The number of the lease to renew.
    #[serde(default)]
    pub fencing: u64,
    /// For how long.
    pub ttl_ms: u64,
}

/// A granted lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// Its number.
    pub fencing: u64,
}

/// Who holds a lease, and the last number given out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseView {
    /// The holder, where there is one.
    pub holder: Option<String>,
    /// The last number given out.
    pub fencing: u64,
    /// How long the lease still holds.
    pub remaining_ms: u64,
}

#[derive(Default)]
struct LeaseRow {
    fencing: u64,
    holder: Option<LeaseHolder>,
}

struct LeaseHolder {
    name: String,
    until: Instant,
}

impl LeaseRow {
    fn live(&self, now: Instant) -> Option<&LeaseHolder> {
        self.holder.as_ref().filter(|holder| holder.until > now)
    }

    fn is_held_by(&self, name: &str, fencing: u64, now: Instant) -> bool {
        let live = self.live(now);
        live.is_some_and(|holder| holder.name == name && self.fencing == fencing)
    }

    fn view(&self, now: Instant) -> LeaseView {
        let live = self.live(now);
        LeaseView {
            holder: live.map(|holder| holder.name.clone()),
            fencing: self.fencing,
            remaining_ms: live.map_or(0, |holder| (holder.until - now).as_millis() as u64),
        }
    }
}

/// All leases by name.
#[derive(Default)]
pub(crate) struct LeaseTable {
    rows: BTreeMap<String, LeaseRow>,
}

impl LeaseTable {
    /// Grants a lease that nobody holds, not even the asker.
    pub(crate) fn take(
        &mut self,
        name: &str,
        request: LeaseRequest,
        now: Instant,
    ) -> Result<LeaseGrant, LeaseView> {
        let row = self.rows.entry(name.to_owned()).or_default();
        if row.live(now).is_some() {
            return Err(row.view(now));
        }
        row.fencing += 1;
        row.holder = Some(holder(request, now));
        Ok(LeaseGrant {
            fencing: row.fencing,
        })
    }

    /// Lengthens a lease that has not run out.
    pub(crate) fn renew(
        &mut self,
        name: &str,
        request: LeaseRequest,
        now: Instant,
    ) -> Result<LeaseGrant, LeaseView> {
        let row = self.rows.entry(name.to_owned()).or_default();
        if !row.is_held_by(&request.holder, request.fencing, now) {
            return Err(row.view(now));
        }
        row.holder = Some(holder(request, now));
        Ok(LeaseGrant {
            fencing: row.fencing,
        })
    }

    /// Gives a lease back.
    pub(crate) fn release(
        &mut self,
        name: &str,
        holder: &str,
        fencing: u64,
        now: Instant,
    ) -> Result<LeaseGrant, LeaseView> {
        let row = self.rows.entry(name.to_owned()).or_default();
        if !row.is_held_by(holder, fencing, now) {
            return Err(row.view(now));
        }
        row.holder = None;
        Ok(LeaseGrant { fencing })
    }

    pub(crate) fn view(&self, name: &str, now: Instant) -> Option<LeaseView> {
        let row = self.rows.get(name)?;
        Some(row.view(now))
    }
}

fn holder(request: LeaseRequest, now: Instant) -> LeaseHolder {
    LeaseHolder {
        name: request.holder,
        until: now + Duration::from_millis(request.ttl_ms),
    }
}
