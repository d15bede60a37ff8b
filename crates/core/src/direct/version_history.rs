//! Which software versions of a service have served lately, and which of them can have begun a
//! stream of which nothing else is known.

use std::collections::{BTreeMap, BTreeSet};

use crate::direct::{ServerTable, SoftwareVersion};
use crate::id::ServiceId;
use crate::unit::{TimePoint, TimeSpan};

/// The time for which no stream begins at a version that is new to a service. In this time the
/// other entries learn of the version, or their list is older than [`MAX_LIST_AGE`].
pub const SETTLE_TIME: TimeSpan = TimeSpan::from_millis(1_500);
/// The age of the backend list up to which it counts as naming every version at which a stream can
/// have begun.
pub const MAX_LIST_AGE: TimeSpan = SETTLE_TIME;

/// When a version of a service was seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionSpan {
    /// When it was listed first; [`TimePoint::START`] if it was the only one then, or if all entries
    /// have had the time to learn of it.
    pub first_seen: TimePoint,
    /// When it was listed last.
    pub last_seen: TimePoint,
    /// Whether the platform's store names it to entries that start.
    pub recorded: bool,
}

/// Why the version at which a stream began is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnknownCause {
    /// Several versions can have begun it, or one that the registration does not state.
    SeveralVersions,
    /// No version is known to have served.
    NoVersion,
    /// The entry does not know of all versions that have served for the longest life of a stream.
    ShortHistory,
    /// The backend list is too old to name all versions.
    OldList,
}

impl UnknownCause {
    /// Returns the name in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::SeveralVersions => "several versions have served",
            Self::NoVersion => "no version has served",
            Self::ShortHistory => "the versions that have served are not known yet",
            Self::OldList => "the list of backend servers is not confirmed",
        }
    }

    /// Returns whether the version may become known soon.
    pub const fn is_temporary(self) -> bool {
        match self {
            Self::SeveralVersions => false,
            Self::NoVersion | Self::ShortHistory | Self::OldList => true,
        }
    }
}

/// The software versions that have served each service. A version is `None` for backend servers
/// whose version is unknown.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    services: BTreeMap<ServiceId, BTreeMap<Option<SoftwareVersion>, VersionSpan>>,
    /// Since when every version that has served is known here; `None` if the list was never read.
    known_since: Option<TimePoint>,
    /// When the list was confirmed last.
    confirmed_at: TimePoint,
}

impl VersionHistory {
    /// Records the versions on a list that the store confirmed at `confirmed_at`. If the list had not
    /// been confirmed for longer than [`MAX_LIST_AGE`], a version may have served unnoticed.
    pub fn observe(&mut self, table: &ServerTable, confirmed_at: TimePoint, now: TimePoint) {
        let gap = confirmed_at.since(self.confirmed_at);
        if self.known_since.is_none() || gap > MAX_LIST_AGE {
            self.known_since = Some(now);
        }
        self.confirmed_at = self.confirmed_at.max(confirmed_at);
        for row in table.rows() {
            self.note_seen(&row.spec.service, row.spec.version.as_ref(), now, now);
        }
    }

    /// Records that a version served at `seen_at`, as this entry's list, another entry or the
    /// platform's store states.
    pub fn note_seen(
        &mut self,
        service: &ServiceId,
        version: Option<&SoftwareVersion>,
        seen_at: TimePoint,
        now: TimePoint,
    ) {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), BTreeMap::new());
        }
        let Some(versions) = self.services.get_mut(service) else {
            return;
        };
        let alone = versions.is_empty();
        let known = versions.get_mut(&version.cloned());
        if let Some(span) = known {
            span.last_seen = span.last_seen.max(seen_at);
            return;
        }
        let span = VersionSpan {
            first_seen: if alone { TimePoint::START } else { now },
            last_seen: seen_at,
            recorded: false,
        };
        versions.insert(version.cloned(), span);
    }

    /// Records that the platform's store names a version.
    pub fn note_recorded(&mut self, service: &ServiceId, version: Option<&SoftwareVersion>) {
        let versions = self.services.get_mut(service);
        if let Some(span) = versions.and_then(|versions| versions.get_mut(&version.cloned())) {
            span.recorded = true;
        }
    }

    /// Records that all other entries have had the time to learn of a version that is known here.
    pub fn note_settled(&mut self, service: &ServiceId, version: Option<&SoftwareVersion>) {
        let versions = self.services.get_mut(service);
        if let Some(span) = versions.and_then(|versions| versions.get_mut(&version.cloned())) {
            span.first_seen = TimePoint::START;
        }
    }

    /// Records that the platform's store may have lost what it named.
    pub fn forget_recorded(&mut self) {
        let spans = self.services.values_mut().flat_map(BTreeMap::values_mut);
        for span in spans {
            span.recorded = false;
        }
    }

    /// Records that the platform's store has named all versions that served before `now`.
    pub fn note_complete(&mut self) {
        self.known_since = Some(TimePoint::START);
    }

    /// Returns whether all versions are known that served for `life` before `now`.
    pub fn is_complete(&self, now: TimePoint, life: TimeSpan) -> bool {
        self.known_since
            .is_some_and(|since| since == TimePoint::START || now.since(since) >= life)
    }

    /// Returns the versions of each service with the times when they were seen.
    pub fn spans(
        &self,
    ) -> impl Iterator<Item = (&ServiceId, Option<&SoftwareVersion>, VersionSpan)> {
        let services = self.services.iter();
        services.flat_map(|(service, versions)| {
            let versions = versions.iter();
            versions.map(move |(version, span)| (service, version.as_ref(), *span))
        })
    }

    /// Returns whether several versions of a service have served since `oldest`.
    pub fn is_mixed(&self, service: &ServiceId, oldest: TimePoint) -> bool {
        self.since(service, oldest).nth(1).is_some()
    }

    /// Returns the versions of a service at which no stream begins yet, since other entries may not
    /// know them, or would not learn of them if all entries were killed.
    pub fn unsettled(&self, service: &ServiceId, now: TimePoint) -> BTreeSet<SoftwareVersion> {
        let versions = self.services.get(service).into_iter().flatten();
        let unsettled = versions.filter(|(_, span)| {
            let settled = span.recorded && now.since(span.first_seen) >= SETTLE_TIME;
            span.first_seen != TimePoint::START && !settled
        });
        unsettled
            .filter_map(|(version, _)| version.clone())
            .collect()
    }

    /// Returns the only version that can have begun a stream of one of `services` since `oldest`.
    ///
    /// # Errors
    ///
    /// Returns why there is no such version.
    pub fn only_version(
        &self,
        services: &[&ServiceId],
        now: TimePoint,
        life: TimeSpan,
    ) -> Result<&SoftwareVersion, UnknownCause> {
        let oldest = now - life;
        let versions = services.iter();
        let mut versions = versions.flat_map(|service| self.since(service, oldest));
        let (first, second) = (versions.next(), versions.next());
        if second.is_some() {
            return Err(UnknownCause::SeveralVersions);
        }
        if !self.is_complete(now, life) {
            return Err(UnknownCause::ShortHistory);
        }
        if now.since(self.confirmed_at) > MAX_LIST_AGE {
            return Err(UnknownCause::OldList);
        }
        match first {
            Some(Some(version)) => Ok(version),
            Some(None) => Err(UnknownCause::SeveralVersions),
            None => Err(UnknownCause::NoVersion),
        }
    }

    /// Drops the versions that were last seen before `oldest`.
    pub fn expire(&mut self, oldest: TimePoint) {
        for versions in self.services.values_mut() {
            versions.retain(|_, span| span.last_seen >= oldest);
        }
        self.services.retain(|_, versions| !versions.is_empty());
    }

    fn since<'a>(
        &'a self,
        service: &ServiceId,
        oldest: TimePoint,
    ) -> impl Iterator<Item = Option<&'a SoftwareVersion>> + 'a {
        let versions = self.services.get(service).into_iter().flatten();
        let recent = versions.filter(move |(_, span)| span.last_seen >= oldest);
        recent.map(|(version, _)| version.as_ref())
    }
}
