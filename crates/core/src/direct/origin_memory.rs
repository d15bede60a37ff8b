//! What an entry knows of the streams that callers resume, and where they may go on.

use crate::direct::{
    KnownStream, OriginSource, OriginTable, RouteRule, StreamBinding, StreamKey, StreamOrigin,
    UnknownCause, VersionHistory,
};
use crate::id::ServiceId;
use crate::unit::{TimePoint, TimeSpan};

/// How the version of a resumed stream was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FindingSource {
    /// The stream is remembered.
    Remembered(OriginSource),
    /// One version alone can have begun it.
    OnlyVersion,
    /// It cannot be known, and why.
    Unknown(UnknownCause),
    /// The stream is remembered, of a service that no longer serves the route.
    Rerouted,
}

impl FindingSource {
    /// Returns the name in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Remembered(source) => source.name(),
            Self::OnlyVersion => "only version",
            Self::Unknown(_) => "unknown",
            Self::Rerouted => "rerouted",
        }
    }
}

/// Where a resumed stream may go on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OriginFinding {
    /// The service that began it, if it is known.
    pub service: Option<ServiceId>,
    /// The version that began it.
    pub binding: StreamBinding,
    /// How that was found.
    pub source: FindingSource,
    /// How long ago the stream began, if it is remembered.
    pub age: Option<TimeSpan>,
}

/// The streams that began lately, and the versions that can have begun any other one.
#[derive(Clone, Debug, Default)]
pub struct OriginMemory {
    /// The streams.
    pub streams: OriginTable,
    /// The versions.
    pub history: VersionHistory,
}

impl OriginMemory {
    /// Records a stream that another entry or the store names, and that its version has served.
    pub fn learn(
        &mut self,
        key: StreamKey,
        origin: &StreamOrigin,
        began_at: TimePoint,
        source: OriginSource,
        now: TimePoint,
    ) {
        let version = origin.version.as_ref();
        self.history
            .note_seen(&origin.service, version, began_at, now);
        self.streams.record(key, origin, began_at, source);
    }

    /// Finds where a stream of `route` may go on. `key` is `None` if the caller does not name it.
    pub fn find(
        &self,
        key: Option<StreamKey>,
        route: &RouteRule,
        now: TimePoint,
        life: TimeSpan,
    ) -> OriginFinding {
        let services: Vec<&ServiceId> = route.shares.iter().map(|share| &share.service).collect();
        if let Some(known) = key.and_then(|key| self.streams.get(key)) {
            return remembered(&known, &services, now);
        }
        let only = self.history.only_version(&services, now, life);
        let (binding, source) = match only {
            Ok(version) => (
                StreamBinding::Version(version.clone()),
                FindingSource::OnlyVersion,
            ),
            Err(cause) => (StreamBinding::Unknown, FindingSource::Unknown(cause)),
        };
        OriginFinding {
            service: None,
            binding,
            source,
            age: None,
        }
    }

    /// Drops what is older than `life`.
    pub fn expire(&mut self, now: TimePoint, life: TimeSpan) {
        let oldest = now - life;
        self.streams.expire(oldest);
        self.history.expire(oldest);
    }
}

fn remembered(known: &KnownStream<'_>, services: &[&ServiceId], now: TimePoint) -> OriginFinding {
    let routed = services.contains(&&known.origin.service);
    OriginFinding {
        service: routed.then(|| known.origin.service.clone()),
        binding: match routed {
            true => StreamBinding::begun_at(known.origin.version.as_ref()),
            false => StreamBinding::Unknown,
        },
        source: match routed {
            true => FindingSource::Remembered(known.source),
            false => FindingSource::Rerouted,
        },
        age: Some(now.since(known.began_at)),
    }
}
