//! A lease of the platform, on the true clock.

use applefold_core::id::{FencingNumber, InstanceId};
use applefold_core::lease::{HolderName, LeaseAction, LeaseReply};
use applefold_core::unit::{TimePoint, TimeSpan};

pub(crate) fn name(node: usize) -> HolderName {
    let instance: InstanceId = format!("entry-{node}").parse().unwrap();
    HolderName::new(&instance, 1)
}

#[derive(Default)]
pub(crate) struct FakeLease {
    held: Option<(usize, FencingNumber, TimePoint)>,
    last: FencingNumber,
    renews_lapsed: bool,
}

impl FakeLease {
    /// A free lease; `renews_lapsed` says whether a lapsed one can be renewed.
    pub(crate) fn new(renews_lapsed: bool) -> Self {
        Self {
            renews_lapsed,
            ..Self::default()
        }
    }

    pub(crate) fn apply(
        &mut self,
        node: usize,
        action: &LeaseAction,
        now: TimePoint,
    ) -> LeaseReply {
        let live = self.held.filter(|(_, _, until)| now < *until);
        match action {
            LeaseAction::Acquire { ttl, .. } => match live {
                Some(held) => self.refuse(held, now),
                None => {
                    self.last = self.last.next();
                    self.held = Some((node, self.last, now + *ttl));
                    LeaseReply::Granted { fencing: self.last }
                }
            },
            LeaseAction::Renew { fencing, ttl, .. } => {
                let held = if self.renews_lapsed { self.held } else { live };
                match held {
                    Some((holder, number, _)) if holder == node && number == *fencing => {
                        self.held = Some((node, number, now + *ttl));
                        LeaseReply::Granted { fencing: number }
                    }
                    Some(held) => self.refuse(held, now),
                    None => LeaseReply::Held {
                        holder: None,
                        fencing: self.last,
                        remaining: TimeSpan::ZERO,
                    },
                }
            }
            LeaseAction::Release { fencing } => {
                let mine = |(holder, number, _)| holder == node && number == *fencing;
                if self.held.is_some_and(mine) {
                    self.held = None;
                }
                LeaseReply::Failed
            }
            LeaseAction::StartActing { .. } | LeaseAction::StopActing { .. } => LeaseReply::Failed,
        }
    }

    fn refuse(&self, held: (usize, FencingNumber, TimePoint), now: TimePoint) -> LeaseReply {
        LeaseReply::Held {
            holder: Some(name(held.0)),
            fencing: held.1,
            remaining: held.2.since(now),
        }
    }
}
