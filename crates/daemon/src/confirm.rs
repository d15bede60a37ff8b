//! What this process knows of the configuration, and how fresh that is.

use std::cell::{Cell, RefCell};

use applefold_core::config::ServingConfig;
use applefold_core::id::Revision;
use applefold_core::unit::{TimePoint, TimeSpan};
use applefold_wire::beat::ConfirmationNote;
use tokio::sync::futures::Notified;
use tokio::sync::Notify;

use crate::signal;

/// The configuration in force here, with the time at which it was last confirmed.
#[derive(Debug, Default)]
pub(crate) struct ConfigCell {
    config: RefCell<ServingConfig>,
    confirmed_at: Cell<TimePoint>,
    reach_holds: Cell<bool>,
    changed: Notify,
}

impl ConfigCell {
    /// Looks something up in the configuration.
    pub(crate) fn with<T, F>(&self, look: F) -> T
    where
        F: FnOnce(&ServingConfig) -> T,
    {
        look(&self.config.borrow())
    }

    pub(crate) fn revision(&self) -> Revision {
        self.config.borrow().revision
    }

    /// Puts a configuration in force unless it is older than the one that is.
    pub(crate) fn apply(&self, config: ServingConfig) -> bool {
        let newer = config.revision > self.revision();
        if newer {
            self.config.replace(config);
            self.changed.notify_waiters();
        }
        newer
    }

    /// Returns when a newer configuration has been put in force.
    pub(crate) fn wait_change(&self) -> Notified<'_> {
        self.changed.notified()
    }

    /// Waits for a revision, at most for `limit`; returns whether it is in force.
    pub(crate) async fn wait_revision(&self, revision: Revision, limit: TimeSpan) -> bool {
        let reached = async {
            loop {
                let changed = self.changed.notified();
                if self.revision() >= revision {
                    return;
                }
                changed.await;
            }
        };
        signal::within(limit, reached).await
    }

    /// Takes in what a peer knows, if it speaks of at least this revision.
    pub(crate) fn merge(&self, note: &ConfirmationNote, now: TimePoint) {
        if note.revision < self.revision() {
            return;
        }
        let confirmed_at = now - note.age;
        if confirmed_at >= self.confirmed_at.get() {
            self.confirmed_at.set(confirmed_at);
            self.reach_holds.set(note.reach_holds);
        }
    }

    pub(crate) fn note(&self, now: TimePoint) -> ConfirmationNote {
        ConfirmationNote {
            revision: self.revision(),
            age: now.since(self.confirmed_at.get()),
            reach_holds: self.reach_holds.get(),
        }
    }
}
