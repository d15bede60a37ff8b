//! The streams that began lately, their gossip to the other entries, and where a stream goes on that
//! a caller resumes.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

use applefold_core::direct::{
    FindingSource, KnownStream, OriginFinding, OriginMemory, OriginSource, RetryRule, RuleSet,
    SoftwareVersion, StreamKey, StreamOrigin, MIN_STREAM_LIFE,
};
use applefold_core::id::{InstanceId, ServiceId};
use applefold_core::unit::{TimePoint, TimeSpan};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::sync::Mutex;

use super::prepare::PreparedRequest;
use super::state::GatewayState;

/// The number of gossip rounds that send each stream, since a datagram may be lost.
const SENDS_PER_STREAM: u8 = 2;
/// The most streams in one datagram, and the bytes that a row of streams takes besides them.
const MAX_STREAMS_PER_REPORT: usize = 60;
/// The most datagrams about streams in one gossip round.
const MAX_REPORTS_PER_ROUND: usize = 3;
/// The versions that have served are gossiped every this many rounds.
const VERSION_ROUNDS: u64 = 4;
/// The age of the backend list from which the origins of all streams are gossiped. It is less
/// than the age up to which one version alone is believed to have begun a stream.
const UNCONFIRMED_AGE: TimeSpan = TimeSpan::from_millis(1_000);
/// The time between the end of a stream and its resumption by the caller for which its origin is
/// remembered.
const RESUME_MARGIN: TimeSpan = TimeSpan::from_secs(10);

/// Streams that began at one version of a service, as entries gossip them.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct OriginReport {
    service: SmolStr,
    /// The software version; `None` if it is unknown.
    version: Option<SmolStr>,
    /// The time since the version was last seen, in milliseconds.
    seen_ms: u64,
    /// The keys of the streams, and the time since each began, in milliseconds.
    streams: Vec<([u8; 8], u32)>,
}

impl OriginReport {
    pub(super) fn new(
        service: &ServiceId,
        version: Option<&SoftwareVersion>,
        seen: TimeSpan,
    ) -> Self {
        Self {
            service: SmolStr::new(service.as_str()),
            version: version.map(|version| SmolStr::new(version.as_str())),
            seen_ms: seen.as_millis(),
            streams: Vec::new(),
        }
    }

    pub(super) fn push(&mut self, key: StreamKey, age: TimeSpan) {
        let age_ms = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
        self.streams.push((key.0.to_be_bytes(), age_ms));
    }

    /// Returns where the streams began; `None` if the name of the service is invalid.
    fn origin(&self) -> Option<StreamOrigin> {
        let version = self.version.as_ref();
        Some(StreamOrigin {
            service: self.service.parse().ok()?,
            version: version.and_then(|text| text.parse().ok()),
        })
    }
}

/// The streams that are still to be gossiped, and the services for which that is done.
#[derive(Debug, Default)]
struct OriginNews {
    /// The streams, each with its number of remaining sends.
    queue: VecDeque<(StreamKey, u8)>,
    /// The services that several versions have served lately.
    mixed: BTreeSet<ServiceId>,
    /// Whether the list has gone unconfirmed, so that the other entries cannot rule out that an
    /// unknown version has begun a stream.
    list_old: bool,
    round: u64,
}

/// What this entry knows of streams that callers may resume.
#[derive(Debug, Default)]
pub(crate) struct StreamOrigins {
    memory: RefCell<OriginMemory>,
    news: RefCell<OriginNews>,
    /// When the store was last read for a stream that this entry does not know. Requests that need
    /// the read wait for the lock.
    pub(super) last_read: Mutex<Option<TimePoint>>,
}

impl StreamOrigins {
    /// Calls `act` with the memory.
    pub(super) fn with_memory<T, F>(&self, act: F) -> T
    where
        F: FnOnce(&mut OriginMemory) -> T,
    {
        act(&mut self.memory.borrow_mut())
    }

    /// Records the versions on the list, forgets old streams, and starts to gossip the streams of a
    /// service that a second version has begun to serve.
    pub(crate) fn refresh(&self, state: &GatewayState) {
        let Some(confirmed_at) = state.replicas.list.confirmed_at() else {
            return;
        };
        let (now, life) = (state.now(), stream_life(state));
        let mut memory = self.memory.borrow_mut();
        memory.expire(now, life);
        memory
            .history
            .observe(&state.table.borrow(), confirmed_at, now);
        let services: BTreeSet<ServiceId> = memory
            .history
            .spans()
            .map(|(service, ..)| service.clone())
            .collect();
        let mut news = self.news.borrow_mut();
        let list_old = now.since(confirmed_at) > UNCONFIRMED_AGE;
        if std::mem::replace(&mut news.list_old, list_old) != list_old {
            if list_old {
                let own = memory.streams.own();
                let own = own.filter(|(_, stream)| !news.mixed.contains(&stream.origin.service));
                let own: Vec<_> = own.map(|(key, _)| (key, SENDS_PER_STREAM)).collect();
                news.queue.extend(own);
            }
            log::info!(list_old, queued = news.queue.len();
                "gossip of the origins of all streams changed with the age of the backend list");
        }
        for service in services {
            let mixed = memory.history.is_mixed(&service, now - life);
            let changed = mixed != news.mixed.contains(&service);
            match (mixed, changed) {
                (_, false) => {}
                (true, true) => {
                    let own = memory.streams.own();
                    let own = own.filter(|(_, stream)| stream.origin.service == service);
                    let before = news.queue.len();
                    news.queue
                        .extend(own.map(|(key, _)| (key, SENDS_PER_STREAM)));
                    let streams = news.queue.len() - before;
                    log::info!(service = service.as_str(), streams;
                        "several software versions serve: gossiping the origins of streams");
                    news.mixed.insert(service);
                }
                (false, true) => {
                    log::info!(service = service.as_str();
                        "one software version serves: no longer gossiping the origins of streams");
                    news.mixed.remove(&service);
                }
            }
        }
    }

    /// Returns whether every version is known that can have begun a stream.
    pub(super) fn is_complete(&self, state: &GatewayState) -> bool {
        let life = stream_life(state);
        self.memory.borrow().history.is_complete(state.now(), life)
    }

    /// Returns when this entry began the newest stream of a service that several versions serve;
    /// `None` if there is none.
    pub(super) fn newest_mixed(&self, state: &GatewayState) -> Option<TimePoint> {
        let (now, life) = (state.now(), stream_life(state));
        let memory = self.memory.borrow();
        let news = self.news.borrow();
        let own = memory.streams.own().rev();
        let mut own = own.filter(|(_, stream)| {
            news.mixed.contains(&stream.origin.service) && now.since(stream.began_at) <= life
        });
        own.next().map(|(_, stream)| stream.began_at)
    }

    /// Returns the streams that this entry began at services that several versions serve.
    pub(super) fn own_reports(&self, state: &GatewayState) -> Vec<OriginReport> {
        let now = state.now();
        let memory = self.memory.borrow();
        let news = self.news.borrow();
        let own = memory.streams.own();
        let own = own.filter(|(_, stream)| news.mixed.contains(&stream.origin.service));
        group(own, now)
    }

    /// Returns the versions of a service at which no stream begins yet.
    pub(crate) fn unsettled(
        &self,
        service: &ServiceId,
        now: TimePoint,
    ) -> BTreeSet<SoftwareVersion> {
        self.memory.borrow().history.unsettled(service, now)
    }

    /// Records that a stream has begun in response to a request of a caller.
    pub(crate) fn record(
        &self,
        prepared: &PreparedRequest,
        version: Option<&SoftwareVersion>,
        now: TimePoint,
    ) {
        let key = StreamKey::of(prepared.team.as_ref(), &prepared.caller.id);
        let origin = StreamOrigin {
            service: prepared.service.clone(),
            version: version.cloned(),
        };
        let mut memory = self.memory.borrow_mut();
        memory.history.note_seen(&origin.service, version, now, now);
        memory.streams.record(key, &origin, now, OriginSource::Own);
        let mut news = self.news.borrow_mut();
        if news.list_old || news.mixed.contains(&origin.service) {
            news.queue.push_back((key, SENDS_PER_STREAM));
        }
    }

    /// Finds where the stream goes on that a request resumes.
    pub(super) fn find(&self, state: &GatewayState, prepared: &PreparedRequest) -> OriginFinding {
        let now = state.now();
        let mut memory = self.memory.borrow_mut();
        if let Some(confirmed_at) = state.replicas.list.confirmed_at() {
            let table = state.table.borrow();
            memory.history.observe(&table, confirmed_at, now);
        }
        let life = stream_life(state);
        let key = stream_key(prepared);
        memory.find(key, &prepared.route, now, life)
    }

    /// Returns the reports of this gossip round, in parts that fit a datagram.
    pub(crate) fn next_reports(&self, state: &GatewayState) -> Vec<Vec<OriginReport>> {
        let (now, life) = (state.now(), stream_life(state));
        let memory = self.memory.borrow();
        let mut news = self.news.borrow_mut();
        news.round += 1;
        let mut parts = Vec::new();
        for _ in 0..MAX_REPORTS_PER_ROUND {
            let count = news.queue.len().min(MAX_STREAMS_PER_REPORT);
            let batch: Vec<(StreamKey, u8)> = news.queue.drain(..count).collect();
            if batch.is_empty() {
                break;
            }
            let known = batch.iter();
            let known = known.filter_map(|(key, _)| Some((*key, memory.streams.get(*key)?)));
            parts.push(group(known, now));
            let again = batch.into_iter().filter(|(_, sends)| *sends > 1);
            let again: Vec<_> = again.map(|(key, sends)| (key, sends - 1)).collect();
            news.queue.extend(again);
            if count < MAX_STREAMS_PER_REPORT {
                break;
            }
        }
        if news.round.is_multiple_of(VERSION_ROUNDS) && !news.mixed.is_empty() {
            let spans = memory.history.spans();
            let spans = spans.filter(|(service, _, span)| {
                news.mixed.contains(*service) && span.last_seen >= now - life
            });
            let versions = spans.map(|(service, version, span)| {
                OriginReport::new(service, version, now.since(span.last_seen))
            });
            let versions: Vec<OriginReport> = versions.collect();
            parts.extend(split(versions));
        }
        parts
    }

    /// Merges a report of another entry or of the platform's store, which is `age` old.
    pub(crate) fn receive(
        &self,
        state: &GatewayState,
        reports: &[OriginReport],
        source: OriginSource,
        age: TimeSpan,
    ) {
        let now = state.now();
        let oldest = now - stream_life(state);
        let mut memory = self.memory.borrow_mut();
        for report in reports {
            let Some(origin) = report.origin() else {
                log::warn!(service = report.service.as_str(), source = source.name();
                    "origins of streams ignored: invalid service name");
                continue;
            };
            let seen_at = now - (TimeSpan::from_millis(report.seen_ms) + age);
            let version = origin.version.as_ref();
            memory
                .history
                .note_seen(&origin.service, version, seen_at, now);
            for (key, age_ms) in &report.streams {
                let began_at = now - (TimeSpan::from_millis(u64::from(*age_ms)) + age);
                if began_at >= oldest {
                    let key = StreamKey(u64::from_be_bytes(*key));
                    memory.learn(key, &origin, began_at, source, now);
                }
            }
        }
    }

    /// Records streams that another entry has begun.
    pub(crate) fn receive_gossip(
        &self,
        state: &GatewayState,
        peer: &InstanceId,
        reports: &[OriginReport],
        delay: TimeSpan,
    ) {
        log::trace!(peer = peer.as_str(), reports = reports.len(); "origins of streams received");
        self.receive(state, reports, OriginSource::Peer, delay);
    }
}

/// Returns streams grouped by where they began.
fn group<'a, I>(streams: I, now: TimePoint) -> Vec<OriginReport>
where
    I: Iterator<Item = (StreamKey, KnownStream<'a>)>,
{
    let mut reports: BTreeMap<&StreamOrigin, OriginReport> = BTreeMap::new();
    for (key, stream) in streams {
        let age = now.since(stream.began_at);
        let report = reports.entry(stream.origin).or_insert_with(|| {
            let origin = stream.origin;
            OriginReport::new(&origin.service, origin.version.as_ref(), age)
        });
        report.push(key, age);
    }
    reports.into_values().collect()
}

/// Returns reports without streams in parts that fit a datagram.
fn split(reports: Vec<OriginReport>) -> Vec<Vec<OriginReport>> {
    const MAX_REPORTS: usize = 5;
    let mut parts: Vec<Vec<OriginReport>> = Vec::new();
    for report in reports {
        match parts.last_mut() {
            Some(part) if part.len() < MAX_REPORTS => part.push(report),
            _ => parts.push(vec![report]),
        }
    }
    parts
}

/// Returns the key of the stream that a request resumes, if the caller names it.
fn stream_key(prepared: &PreparedRequest) -> Option<StreamKey> {
    let resumed = prepared.caller.resumed_request.as_ref()?;
    Some(StreamKey::of(prepared.team.as_ref(), resumed))
}

/// Returns how long origins are remembered: the longest time that a stream may last, and a margin.
pub(super) fn stream_life(state: &GatewayState) -> TimeSpan {
    let longest = state
        .rules()
        .map_or(TimeSpan::ZERO, |rules| longest_stream(&rules));
    MIN_STREAM_LIFE.max(longest + RESUME_MARGIN)
}

fn longest_stream(rules: &RuleSet) -> TimeSpan {
    let routes = rules.routes.iter();
    let resumable = routes.filter(|route| is_resumable(route.retry_rule));
    let longest = resumable.map(|route| route.timeout).max();
    longest.unwrap_or(TimeSpan::ZERO)
}

/// Returns whether the responses of a route are streams that may be resumed.
pub(super) const fn is_resumable(rule: RetryRule) -> bool {
    matches!(rule, RetryRule::Stream { resumable: true })
}

/// Returns whether the store may hold the origin of a stream that this entry does not know.
pub(super) fn is_worth_reading(finding: &OriginFinding, prepared: &PreparedRequest) -> bool {
    let FindingSource::Unknown(cause) = finding.source else {
        return false;
    };
    cause.is_temporary() || prepared.caller.resumed_request.is_some()
}
