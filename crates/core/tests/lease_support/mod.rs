//! A fake lease of the platform, on the reference clock.

use applefold_core::id::{FencingNumber, InstanceId};
use applefold_core::lease::{HolderName, LeaseAction, LeaseReply};
use applefold_core::unit::{TimePoint, TimeSpan};

pub(crate) fn holder_name(node: usize) -> HolderName {
    let instance: InstanceId = format!("entry-{node}").parse().unwrap();
    HolderName::new(&instance, 1)
}

#[derive(Default)]
pub(crate) struct FakeLease {
    /// The holding node, its fencing number and the expiry.
    held: Option<(usize, FencingNumber, TimePoint)>,
    last_fencing: FencingNumber,
    renews_expired: bool,
}

impl FakeLease {
    /// Creates a free lease; `renews_expired` is whether an expired lease can be renewed.
    pub(crate) fn new(renews_expired: bool) -> Self {
        Self {
            renews_expired,
            ..Self::default()
        }
    }

    pub(crate) fn apply(
        &mut self,
        node: usize,
        action: &LeaseAction,
        now: TimePoint,
    ) -> LeaseReply {
        let current = self.held.filter(|(_, _, expires_at)| now < *expires_at);
        match action {
            LeaseAction::Acquire { ttl, .. } => match current {
                Some(held) => self.refuse(held, now),
                None => {
                    self.last_fencing = self.last_fencing.next();
                    self.held = Some((node, self.last_fencing, now + *ttl));
                    LeaseReply::Granted {
                        fencing: self.last_fencing,
                    }
                }
            },
            LeaseAction::Renew { fencing, ttl, .. } => {
                let held = if self.renews_expired {
                    self.held
                } else {
                    current
                };
                match held {
                    Some((holder, number, _)) if holder == node && number == *fencing => {
                        self.held = Some((node, number, now + *ttl));
                        LeaseReply::Granted { fencing: number }
                    }
                    Some(held) => self.refuse(held, now),
                    None => LeaseReply::Held {
                        holder: None,
                        fencing: self.last_fencing,
                        remaining: TimeSpan::ZERO,
                    },
                }
            }
            LeaseAction::Release { fencing } => {
                let is_own = |(holder, number, _)| holder == node && number == *fencing;
                if self.held.is_some_and(is_own) {
                    self.held = None;
                }
                LeaseReply::Failed
            }
            LeaseAction::StartActing { .. } | LeaseAction::StopActing { .. } => LeaseReply::Failed,
        }
    }

    fn refuse(&self, held: (usize, FencingNumber, TimePoint), now: TimePoint) -> LeaseReply {
        LeaseReply::Held {
            holder: Some(holder_name(held.0)),
            fencing: held.1,
            remaining: held.2.since(now),
        }
    }
}
