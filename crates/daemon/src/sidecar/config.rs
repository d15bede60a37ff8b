//! The configuration, as entries push it to the sidecar.
//!
//! A sidecar confirms its configuration with nobody. An entry dispatches a request only while it
//! may serve, and the newer of the two configurations decides whether the key is valid. See
//! [docs/design/spreading.md](../../../../docs/design/spreading.md).

use std::cell::RefCell;

use applefold_core::config::ServingConfig;
use applefold_core::id::Revision;
use applefold_core::replication::Confirmation;
use applefold_core::ticket::{ConfigPush, ConfigReader};
use applefold_core::unit::TimeSpan;
use tokio::sync::Notify;

use crate::signal;

/// The configuration in force at a sidecar, and the notification of changes.
pub(crate) struct ConfigCell {
    reader: RefCell<ConfigReader>,
    changed: Notify,
}

impl ConfigCell {
    pub(crate) fn new() -> Self {
        let reader = ConfigReader::new(ServingConfig::default());
        Self {
            reader: RefCell::new(reader),
            changed: Notify::new(),
        }
    }

    /// Calls `read` with the configuration and returns its result.
    pub(crate) fn with<T, F>(&self, read: F) -> T
    where
        F: FnOnce(&ServingConfig) -> T,
    {
        read(self.reader.borrow().config())
    }

    pub(crate) fn revision(&self) -> Revision {
        self.with(|config| config.revision)
    }

    /// Applies a push of an entry. Returns whether the revision increased.
    pub(crate) fn apply_push(&self, push: ConfigPush) -> bool {
        let increased = self.reader.borrow_mut().apply_push(push);
        if increased {
            self.changed.notify_waiters();
        }
        increased
    }

    /// Returns the changes that a peer at revision `known` lacks.
    pub(crate) fn push_since(&self, known: Revision) -> ConfigPush {
        self.reader.borrow().push_since(known)
    }

    /// Waits until `revision` is in force, at most for `limit`.
    pub(crate) async fn wait_revision(&self, revision: Revision, limit: TimeSpan) {
        let reached = async {
            loop {
                let changed = self.changed.notified();
                if self.revision() >= revision {
                    return;
                }
                changed.await;
            }
        };
        signal::finished_within(limit, reached).await;
    }

    /// Returns the revision to report to entries. A sidecar confirms nothing itself, so the age is
    /// the default.
    pub(crate) fn confirmation(&self) -> Confirmation {
        Confirmation {
            revision: self.revision(),
            ..Confirmation::default()
        }
    }
}
