//! Drain and cooldown notices that backend servers sent to this entry, for gossip to the others.
//!
//! Notices received by gossip are not forwarded, since each hop would extend a cooldown by its
//! transit time.

use std::collections::BTreeMap;

use applefold_core::id::BackendId;
use applefold_core::unit::{TimePoint, TimeSpan};
use applefold_platform::BackendNotice;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::turn::next_turn;

/// How long a drain notice is gossiped. By then the list shows the drain too.
const DRAIN_GOSSIP_TIME: TimeSpan = TimeSpan::from_secs(30);
/// The most notices in one datagram.
const MAX_NOTICES: usize = 16;

/// A notice of a backend server, as entries gossip it.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct NoticeReport {
    pub(crate) backend: SmolStr,
    /// The incarnation that sent the notice: the start time of its process.
    pub(crate) incarnation: u64,
    /// The remaining cooldown, in milliseconds; `None` for a drain notice.
    pub(crate) cooldown_ms: Option<u64>,
}

/// A notice that is still gossiped.
#[derive(Clone, Copy, Debug)]
struct ActiveNotice {
    incarnation: u64,
    draining: bool,
    /// The end of the cooldown, or of gossip about the drain.
    expires_at: TimePoint,
}

/// The latest notice of each backend server, and the round-robin position of gossip.
#[derive(Debug, Default)]
pub(crate) struct NoticeTable {
    notices: BTreeMap<BackendId, ActiveNotice>,
    /// The last backend server whose notice was sent.
    last: Option<BackendId>,
}

impl NoticeTable {
    /// Records a notice that an incarnation of a backend server sent to this entry. A cooldown
    /// does not replace the drain notice of the same incarnation.
    pub(crate) fn note(
        &mut self,
        backend: &BackendId,
        incarnation: u64,
        notice: &BackendNotice,
        now: TimePoint,
    ) {
        let span = match (notice.leaving, notice.cooldown) {
            (true, _) => DRAIN_GOSSIP_TIME,
            (false, Some(cooldown)) => cooldown,
            (false, None) => return,
        };
        let known = self.notices.get(backend);
        if known.is_some_and(|known| known.incarnation == incarnation && known.draining) {
            return;
        }
        let active = ActiveNotice {
            incarnation,
            draining: notice.leaving,
            expires_at: now + span,
        };
        self.notices.insert(backend.clone(), active);
    }

    /// Records a cooldown that an incarnation of a backend server requested before the list showed it.
    pub(crate) fn note_cooldown(
        &mut self,
        backend: &BackendId,
        incarnation: u64,
        expires_at: TimePoint,
    ) {
        let active = ActiveNotice {
            incarnation,
            draining: false,
            expires_at,
        };
        self.notices.insert(backend.clone(), active);
    }

    /// Returns the next notices in round-robin order, and removes the expired ones.
    pub(crate) fn next_batch(&mut self, now: TimePoint) -> Vec<NoticeReport> {
        self.notices.retain(|_, active| active.expires_at > now);
        let batch = next_turn(&self.notices, &mut self.last, MAX_NOTICES);
        let reports = batch.iter().map(|(backend, active)| NoticeReport {
            backend: SmolStr::new(backend.as_str()),
            incarnation: active.incarnation,
            cooldown_ms: (!active.draining).then(|| active.expires_at.since(now).as_millis()),
        });
        reports.collect()
    }
}
