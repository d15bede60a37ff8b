//! The fingerprints that completed lately.

use std::collections::BTreeMap;

use crate::claim::RequestFingerprint;
use crate::unit::{TimePoint, TimeSpan};

/// When fingerprints completed last. It holds two generations, so that those that complete again and
/// again stay, however many others complete once.
#[derive(Debug)]
pub(super) struct SoundMemory {
    newer: BTreeMap<RequestFingerprint, TimePoint>,
    older: BTreeMap<RequestFingerprint, TimePoint>,
    capacity: usize,
}

impl SoundMemory {
    /// Creates a memory of up to `capacity` fingerprints in each generation.
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            newer: BTreeMap::new(),
            older: BTreeMap::new(),
            capacity,
        }
    }

    /// Records that a fingerprint completed at `at`.
    pub(super) fn insert(&mut self, fingerprint: RequestFingerprint, at: TimePoint) {
        if self.newer.len() >= self.capacity && !self.newer.contains_key(&fingerprint) {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(fingerprint, at);
    }

    /// Returns when a fingerprint completed last, if that is remembered.
    pub(super) fn get(&self, fingerprint: RequestFingerprint) -> Option<TimePoint> {
        let newer = self.newer.get(&fingerprint);
        newer.or_else(|| self.older.get(&fingerprint)).copied()
    }

    /// Forgets the completions that are as old as `retention`.
    pub(super) fn tick(&mut self, now: TimePoint, retention: TimeSpan) {
        for generation in [&mut self.newer, &mut self.older] {
            generation.retain(|_, at| now.since(*at) < retention);
        }
    }
}
