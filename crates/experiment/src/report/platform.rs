//! The simulated platform of the usage reports: lease, key-value store and billing.

use std::collections::BTreeMap;

use applefold_core::claim::store::{StoreCall, StoreEntry, StoreKey, StoreReply, StoreVersion};
use applefold_core::id::{FencingNumber, WindowId};
use applefold_core::lease::{HolderName, LeaseReply};
use applefold_core::unit::{TimePoint, TimeSpan};
use applefold_core::usage::UsageReport;
use rand_pcg::Pcg64Mcg;

use crate::control::OutageSpan;

use super::{loses_response, window_of, ReportScore};

#[derive(Clone, Debug)]
struct LeaseEntry {
    holder: HolderName,
    fencing: FencingNumber,
    expires_at: TimePoint,
}

/// The simulated platform.
///
/// It fails all calls during an outage, and loses some responses to calls that it has applied.
pub(super) struct BillingPlatform {
    now: TimePoint,
    outages: Vec<OutageSpan>,
    rng: Pcg64Mcg,
    lease: Option<LeaseEntry>,
    last_fencing: FencingNumber,
    store: BTreeMap<StoreKey, StoreEntry>,
    revision: u64,
    billed: BTreeMap<String, UsageReport>,
    score: ReportScore,
}

impl BillingPlatform {
    pub(super) fn new(outages: Vec<OutageSpan>, rng: Pcg64Mcg) -> Self {
        Self {
            now: TimePoint::START,
            outages,
            rng,
            lease: None,
            last_fencing: FencingNumber(0),
            store: BTreeMap::new(),
            revision: 0,
            billed: BTreeMap::new(),
            score: ReportScore::default(),
        }
    }

    pub(super) fn set_time(&mut self, now: TimePoint) {
        self.now = now;
    }

    fn is_down(&self) -> bool {
        let now = self.now;
        let mut outages = self.outages.iter();
        outages.any(|outage| outage.since <= now && now < outage.until)
    }

    /// Grants or renews the lease. Returns `Failed` in an outage and if the response is lost.
    pub(super) fn lease(&mut self, holder: &HolderName, ttl: TimeSpan) -> LeaseReply {
        if self.is_down() {
            return LeaseReply::Failed;
        }
        let now = self.now;
        let live = self.lease.as_ref().filter(|lease| lease.expires_at > now);
        let reply = match live {
            Some(lease) if lease.holder != *holder => LeaseReply::Held {
                holder: Some(lease.holder.clone()),
                fencing: lease.fencing,
                remaining: lease.expires_at.since(now),
            },
            Some(lease) => LeaseReply::Granted {
                fencing: lease.fencing,
            },
            None => {
                self.last_fencing = self.last_fencing.next();
                LeaseReply::Granted {
                    fencing: self.last_fencing,
                }
            }
        };
        if let LeaseReply::Granted { fencing } = reply {
            self.lease = Some(LeaseEntry {
                holder: holder.clone(),
                fencing,
                expires_at: now + ttl,
            });
        }
        match loses_response(&mut self.rng) {
            true => LeaseReply::Failed,
            false => reply,
        }
    }

    /// Applies a call to the store. Returns `Failed` in an outage and if the response is lost.
    pub(super) fn store(&mut self, call: &StoreCall) -> StoreReply {
        if self.is_down() {
            return StoreReply::Failed;
        }
        let reply = self.apply(call);
        match loses_response(&mut self.rng) {
            true => StoreReply::Failed,
            false => reply,
        }
    }

    fn apply(&mut self, call: &StoreCall) -> StoreReply {
        match call {
            StoreCall::Put {
                key, value, expect, ..
            } => self.put(key, value, *expect),
            StoreCall::Get { key, .. } => match self.store.get(key) {
                Some(entry) => StoreReply::Found(entry.clone()),
                None => StoreReply::Absent,
            },
            StoreCall::List {
                prefix,
                after,
                limit,
                ..
            } => {
                let rows = self.store.values();
                let found = rows.filter(|entry| {
                    let later = after.as_ref().is_none_or(|after| entry.key > *after);
                    later && entry.key.as_str().starts_with(prefix.as_str())
                });
                StoreReply::Listed(found.take(*limit).cloned().collect())
            }
            StoreCall::Delete { key, .. } => {
                self.store.remove(key);
                self.revision += 1;
                StoreReply::Written(StoreVersion(self.revision))
            }
        }
    }

    fn put(&mut self, key: &StoreKey, value: &str, expect: StoreVersion) -> StoreReply {
        let current = self.store.get(key).map(|entry| entry.version);
        let version = current.unwrap_or(StoreVersion::ABSENT);
        if version != expect {
            return StoreReply::Conflict(version);
        }
        self.revision += 1;
        let version = StoreVersion(self.revision);
        let entry = StoreEntry {
            key: key.clone(),
            value: value.to_owned(),
            version,
        };
        self.store.insert(key.clone(), entry);
        StoreReply::Written(version)
    }

    /// Records a report; returns whether the caller receives an acknowledgement.
    ///
    /// A report with a known id is a duplicate and leaves the first one in place.
    pub(super) fn bill(&mut self, report: UsageReport) -> bool {
        if self.is_down() {
            return false;
        }
        let id = report.id.to_string();
        match self.billed.get(&id) {
            None => {
                self.score.reports += 1;
                let late = report.late || self.is_late(report.key.window);
                self.score.late += u64::from(late);
                self.billed.insert(id, report);
            }
            Some(first) => self.score.differing += u64::from(first.totals != report.totals),
        }
        !loses_response(&mut self.rng)
    }

    /// Returns whether a report is late: its deadline is the end of the window after its own.
    fn is_late(&self, window: WindowId) -> bool {
        window_of(self.now).0 >= window.0 + 2
    }

    /// Returns the score, given the number of requests that should have been billed.
    pub(super) fn score(&self, due: u64) -> ReportScore {
        let billed: u64 = self
            .billed
            .values()
            .map(|report| report.totals.requests)
            .sum();
        ReportScore {
            miscounted: billed.abs_diff(due),
            ..self.score
        }
    }
}
