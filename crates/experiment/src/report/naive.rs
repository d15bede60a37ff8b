//! The naive reporter: sends the current sums of a window until the platform acknowledges them.

use applefold_core::claim::store::{CallNumber, StoreCall, StoreKey, StoreReply, StoreVersion};
use applefold_core::id::{FencingNumber, WindowId};
use applefold_core::lease::{HolderName, LeaseReply, LEASE_TTL};
use applefold_core::unit::{TimePoint, TimeSpan};
use applefold_core::usage::{UsageAggregator, UsageReport};

use super::platform::BillingPlatform;
use super::{ended_window, process_id, FIRST_WINDOW};

const RENEWAL_INTERVAL: TimeSpan = TimeSpan::from_secs(2);
const LAST_REPORTED: &str = "last-reported";

/// A process that reports without sealing windows.
///
/// It considers itself the lease holder until the platform says that another process holds the
/// lease, even after the lease has expired.
pub(super) struct NaiveReporter {
    index: usize,
    holder: HolderName,
    /// Fencing number of the lease; `None` while another process holds it.
    fencing_number: Option<FencingNumber>,
    /// Time of the next call that acquires or renews the lease.
    renew_at: TimePoint,
    /// The next window to report; `None` until it has been read from the store.
    next: Option<WindowId>,
    /// Version of the store entry that holds the last reported window.
    version: StoreVersion,
    /// Ids of the reports of this window that the platform has acknowledged.
    confirmed: Vec<String>,
}

impl NaiveReporter {
    pub(super) fn new(index: usize) -> Self {
        Self {
            index,
            holder: HolderName::new(&process_id(index), 1),
            fencing_number: None,
            renew_at: TimePoint::START,
            next: None,
            version: StoreVersion::ABSENT,
            confirmed: Vec::new(),
        }
    }

    /// Renews the lease when that is due, and reports all windows that have ended.
    pub(super) fn step(
        &mut self,
        now: TimePoint,
        platform: &mut BillingPlatform,
        aggregators: &mut [UsageAggregator],
    ) {
        if now >= self.renew_at {
            self.renew_at = now + RENEWAL_INTERVAL;
            match platform.lease(&self.holder, LEASE_TTL) {
                LeaseReply::Granted { fencing } if self.fencing_number != Some(fencing) => {
                    self.fencing_number = Some(fencing);
                    self.next = None;
                }
                LeaseReply::Held { .. } => self.fencing_number = None,
                LeaseReply::Granted { .. } | LeaseReply::Failed => {}
            }
        }
        if self.fencing_number.is_none() {
            return;
        }
        let ended = ended_window(now);
        if self.next.is_none() && !self.read_next(platform) {
            return;
        }
        while let Some(window) = self.next.filter(|next| *next <= ended) {
            if !self.report(window, platform, &aggregators[self.index])
                || !self.store_window(window, platform)
            {
                return;
            }
            self.next = Some(window.next());
            self.confirmed.clear();
        }
    }

    /// Reads the next window to report from the store; returns whether the store responded.
    fn read_next(&mut self, platform: &mut BillingPlatform) -> bool {
        let call = StoreCall::Get {
            call: CallNumber(0),
            key: StoreKey::new(LAST_REPORTED),
        };
        self.confirmed.clear();
        match platform.store(&call) {
            StoreReply::Found(entry) => {
                let last = entry.value.parse().map(WindowId::next);
                self.version = entry.version;
                self.next = last.ok();
                true
            }
            StoreReply::Absent => {
                self.next = Some(FIRST_WINDOW);
                true
            }
            _ => false,
        }
    }

    /// Reports the current sums of a window; returns whether all reports are acknowledged.
    fn report(
        &mut self,
        window: WindowId,
        platform: &mut BillingPlatform,
        aggregator: &UsageAggregator,
    ) -> bool {
        let sums = aggregator.sums(window, window);
        let mut all = true;
        for (key, totals) in sums {
            let name = format!("{window}/{}/{}/due", key.team, key.service);
            if self.confirmed.contains(&name) {
                continue;
            }
            let id = match name.parse() {
                Ok(id) => id,
                Err(never) => match never {},
            };
            let late = false;
            let report = UsageReport {
                id,
                key,
                totals,
                late,
            };
            match platform.bill(report) {
                true => self.confirmed.push(name),
                false => all = false,
            }
        }
        all
    }

    /// Stores the window as the last reported one; returns whether the store responded.
    ///
    /// A version conflict counts as a success, as the naive reporter goes on without a check.
    fn store_window(&mut self, window: WindowId, platform: &mut BillingPlatform) -> bool {
        let call = StoreCall::Put {
            call: CallNumber(0),
            key: StoreKey::new(LAST_REPORTED),
            value: window.to_string(),
            expect: self.version,
        };
        match platform.store(&call) {
            StoreReply::Written(version) => {
                self.version = version;
                true
            }
            StoreReply::Conflict(version) => {
                self.version = version;
                true
            }
            _ => false,
        }
    }
}
