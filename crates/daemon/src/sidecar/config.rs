//! The configuration as entries have pushed it.
//!
//! A sidecar asks nobody: an entry sends a request only while it may serve, and
//! the newer of the two configurations decides about the key. See
//! [docs/design/spreading.md](../../../../docs/design/spreading.md).

use std::cell::RefCell;

use applefold_core::config::ServingConfig;
use applefold_core::id::Revision;
use applefold_core::replication::Confirmation;
use applefold_core::ticket::{ConfigPush, ConfigReader};
use applefold_core::unit::TimeSpan;
use tokio::sync::Notify;

use crate::signal;

/// The configuration in force beside one backend server.
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

    /// Looks something up in the configuration.
    pub(crate) fn with<T, F>(&self, look: F) -> T
    where
        F: FnOnce(&ServingConfig) -> T,
    {
        look(self.reader.borrow().config())
    }

    pub(crate) fn revision(&self) -> Revision {
        self.with(|config| config.revision)
    }

    /// Takes what an entry pushed; returns whether the configuration went forward.
    pub(crate) fn take_push(&self, push: ConfigPush) -> bool {
        let forward = self.reader.borrow_mut().apply_push(push);
        if forward {
            self.changed.notify_waiters();
        }
        forward
    }

    /// Returns what a peer at `known` lacks.
    pub(crate) fn push_since(&self, known: Revision) -> ConfigPush {
        self.reader.borrow().push_since(known)
    }

    /// Waits for a revision, at most for `limit`.
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

    /// Returns what to tell entries; a sidecar confirms nothing of its own.
    pub(crate) fn confirmation(&self) -> Confirmation {
        Confirmation {
            revision: self.revision(),
            ..Confirmation::default()
        }
    }
}
