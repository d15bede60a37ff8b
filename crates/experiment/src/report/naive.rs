//! A process that reports its present sums until an answer comes.

use applefold_core::claim::store::{CallNumber, StoreCall, StoreKey, StoreReply, StoreVersion};
use applefold_core::id::{FencingNumber, WindowId};
use applefold_core::lease::{HolderName, LeaseReply, LEASE_TTL};
use applefold_core::unit::{TimePoint, TimeSpan};
use applefold_core::usage::{UsageAggregator, UsageReport};

use super::platform::BillingPlatform;
use super::{ended_window, keeper_id, FIRST_WINDOW};

const RENEW_EVERY: TimeSpan = TimeSpan::from_secs(2);
const LAST_REPORTED: &str = "last-reported";

/// Believes in its lease until it is told otherwise.
pub(super) struct NaiveReporter {
    index: usize,
    holder: HolderName,
    held: Option<FencingNumber>,
    ask_at: TimePoint,
    next: Option<WindowId>,
    version: StoreVersion,
    /// Reports of the window that have been answered.
    confirmed: Vec<String>,
}

impl NaiveReporter {
    pub(super) fn new(index: usize) -> Self {
        Self {
            index,
            holder: HolderName::new(&keeper_id(index), 1),
            held: None,
            ask_at: TimePoint::START,
            next: None,
            version: StoreVersion::ABSENT,
            confirmed: Vec::new(),
        }
    }

    pub(super) fn step(
        &mut self,
        now: TimePoint,
        platform: &mut BillingPlatform,
        keepers: &mut [UsageAggregator],
    ) {
        if now >= self.ask_at {
            self.ask_at = now + RENEW_EVERY;
            match platform.lease(&self.holder, LEASE_TTL) {
                LeaseReply::Granted { fencing } if self.held != Some(fencing) => {
                    self.held = Some(fencing);
                    self.next = None;
                }
                LeaseReply::Held { .. } => self.held = None,
                LeaseReply::Granted { .. } | LeaseReply::Failed => {}
            }
        }
        if self.held.is_none() {
            return;
        }
        let ended = ended_window(now);
        if self.next.is_none() && !self.read_next(platform) {
            return;
        }
        while let Some(window) = self.next.filter(|next| *next <= ended) {
            if !self.report(window, platform, &keepers[self.index]) || !self.note(window, platform)
            {
                return;
            }
            self.next = Some(window.next());
            self.confirmed.clear();
        }
    }

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

    fn report(
        &mut self,
        window: WindowId,
        platform: &mut BillingPlatform,
        keeper: &UsageAggregator,
    ) -> bool {
        let sums = keeper.sums(window, window);
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

    fn note(&mut self, window: WindowId, platform: &mut BillingPlatform) -> bool {
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
