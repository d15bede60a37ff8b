//! The memory of which backend servers began which streams.
//!
//! What backend servers of two software versions write does not fit together, so a caller's stream
//! may be resumed only at the version that began it. See
//! [docs/design/versions.md](../../../../docs/design/versions.md).

use std::collections::{BTreeMap, VecDeque};

use crate::direct::SoftwareVersion;
use crate::id::{ServiceId, TeamId};
use crate::rank::NameRank;
use crate::unit::{TimePoint, TimeSpan};

/// The most streams that are remembered: those that 380 entries with 5,200 requests per second in
/// all begin in [`MIN_STREAM_LIFE`], and a quarter more.
const MAX_STREAMS: usize = 200_000;
/// The least time for which the origin of a stream is remembered.
pub const MIN_STREAM_LIFE: TimeSpan = TimeSpan::from_secs(30);

/// A stream: the hash of its team and of the attempt of the caller that received its first event.
/// A team therefore never finds the stream of another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// Returns the key of the stream that began in response to `request`.
    pub fn of(team: Option<&TeamId>, request: &str) -> Self {
        Self(NameRank::of(team.map_or("", TeamId::as_str), request).value())
    }
}

/// Where a stream began.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StreamOrigin {
    /// The service.
    pub service: ServiceId,
    /// The software version of the backend server; `None` if it is unknown.
    pub version: Option<SoftwareVersion>,
}

/// How an entry learned of the origin of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OriginSource {
    /// It relayed the first event itself.
    Own,
    /// Another entry gossiped it.
    Peer,
    /// It is in the platform's store.
    Store,
}

impl OriginSource {
    /// Returns the name in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Peer => "gossip",
            Self::Store => "store",
        }
    }
}

/// A remembered stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownStream<'a> {
    /// Where it began.
    pub origin: &'a StreamOrigin,
    /// When its first event was relayed.
    pub began_at: TimePoint,
    /// How this entry learned of it.
    pub source: OriginSource,
}

#[derive(Clone, Copy, Debug)]
struct OriginRow {
    /// The index in [`OriginTable::origins`].
    origin: usize,
    began_at: TimePoint,
    source: OriginSource,
}

/// The origins of the streams that began lately, at this entry and at others.
#[derive(Clone, Debug, Default)]
pub struct OriginTable {
    /// The distinct origins, which many streams share.
    origins: Vec<StreamOrigin>,
    rows: BTreeMap<StreamKey, OriginRow>,
    /// The streams in the order in which they became known.
    order: VecDeque<StreamKey>,
    /// The streams that this entry began, oldest first.
    own: VecDeque<StreamKey>,
}

impl OriginTable {
    /// Records the origin of a stream; returns whether the stream is new. If two origins are stated
    /// for one stream, its version counts as unknown.
    pub fn record(
        &mut self,
        key: StreamKey,
        origin: &StreamOrigin,
        began_at: TimePoint,
        source: OriginSource,
    ) -> bool {
        let index = self.intern(origin);
        if let Some(row) = self.rows.get(&key).copied() {
            if row.origin != index {
                let unknown = StreamOrigin {
                    service: origin.service.clone(),
                    version: None,
                };
                let unknown = self.intern(&unknown);
                self.rows.insert(
                    key,
                    OriginRow {
                        origin: unknown,
                        ..row
                    },
                );
            }
            return false;
        }
        let row = OriginRow {
            origin: index,
            began_at,
            source,
        };
        self.rows.insert(key, row);
        self.order.push_back(key);
        if source == OriginSource::Own {
            self.own.push_back(key);
        }
        if self.order.len() > MAX_STREAMS {
            self.drop_first();
        }
        true
    }

    /// Returns what is known of a stream.
    pub fn get(&self, key: StreamKey) -> Option<KnownStream<'_>> {
        let row = self.rows.get(&key)?;
        Some(KnownStream {
            origin: &self.origins[row.origin],
            began_at: row.began_at,
            source: row.source,
        })
    }

    /// Returns the streams that this entry began, oldest first.
    pub fn own(&self) -> impl DoubleEndedIterator<Item = (StreamKey, KnownStream<'_>)> {
        let keys = self.own.iter();
        keys.filter_map(|key| Some((*key, self.get(*key)?)))
    }

    /// Drops the streams that began before `oldest`.
    pub fn expire(&mut self, oldest: TimePoint) {
        while let Some(row) = self.order.front().and_then(|key| self.rows.get(key)) {
            if row.began_at >= oldest {
                return;
            }
            self.drop_first();
        }
    }

    fn drop_first(&mut self) {
        let Some(key) = self.order.pop_front() else {
            return;
        };
        self.rows.remove(&key);
        if self.own.front() == Some(&key) {
            self.own.pop_front();
        }
    }

    fn intern(&mut self, origin: &StreamOrigin) -> usize {
        let known = self.origins.iter().position(|known| known == origin);
        known.unwrap_or_else(|| {
            self.origins.push(origin.clone());
            self.origins.len() - 1
        })
    }
}
