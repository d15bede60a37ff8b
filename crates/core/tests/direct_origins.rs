//! Streams of several software versions that callers resume at any entry, over kills of all
//! entries, store outages and entries whose list is old.

use std::collections::{BTreeMap, BTreeSet};

use applefold_core::code::{CallRefusal, ResultCode};
use applefold_core::direct::{
    FindingSource, OriginFinding, OriginMemory, OriginSource, OriginTable, RetryRule, RouteRule,
    ServerSpec, ServerTable, ServiceShare, SoftwareVersion, StreamBinding, StreamKey, StreamOrigin,
    UnknownCause, MAX_LIST_AGE, MIN_STREAM_LIFE, SETTLE_TIME,
};
use applefold_core::id::{ServiceId, TeamId};
use applefold_core::routing::BackendRole;
use applefold_core::unit::{TimePoint, TimeSpan};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SECOND: u64 = 1_000_000;
const NOW: TimePoint = TimePoint(100 * SECOND);

fn service() -> ServiceId {
    "s".parse().unwrap()
}

fn spec(number: usize, version: &str) -> ServerSpec {
    ServerSpec {
        id: format!("e-{number}").parse().unwrap(),
        service: service(),
        address: "127.0.0.1:1".parse().unwrap(),
        domain: "a".parse().unwrap(),
        role: BackendRole::Plain,
        slots: 8,
        draining: false,
        started_at_ms: 1,
        version: version.parse().ok(),
        models: BTreeSet::new(),
    }
}

fn version(text: &str) -> SoftwareVersion {
    text.parse().unwrap()
}

fn origin(text: &str) -> StreamOrigin {
    StreamOrigin {
        service: service(),
        version: text.parse().ok(),
    }
}

fn route(services: &[&str]) -> RouteRule {
    let shares = services.iter().map(|name| ServiceShare {
        service: name.parse().unwrap(),
        weight: 1,
    });
    RouteRule {
        name: "r".into(),
        host: "h".into(),
        prefix: "/".into(),
        retry_rule: RetryRule::Stream { resumable: true },
        timeout: TimeSpan::from_secs(8),
        latency_objective: TimeSpan::from_millis(300),
        max_event_gap: None,
        priority: 0,
        max_attempts: 2,
        public: true,
        shares: shares.collect(),
    }
}

fn table<'a, I>(versions: I) -> ServerTable
where
    I: IntoIterator<Item = &'a str>,
{
    let mut table = ServerTable::default();
    for (number, text) in versions.into_iter().enumerate() {
        table.upsert(spec(number, text), TimePoint::START);
    }
    table
}

/// Returns a memory that knows all versions that served, and a list of these.
fn memory(versions: &[&str]) -> OriginMemory {
    let mut memory = OriginMemory::default();
    let table = table(versions.iter().copied());
    memory.history.observe(&table, NOW, NOW);
    memory.history.note_complete();
    memory
}

fn find(memory: &OriginMemory, key: Option<StreamKey>, now: TimePoint) -> OriginFinding {
    let route = route(&["s"]);
    memory.find(key, &route, now, MIN_STREAM_LIFE)
}

/// Guards against a stream of one team that a caller of another team finds.
#[test]
fn a_stream_is_found_by_its_team_and_request_only() {
    let (team, other): (TeamId, TeamId) = ("t-1".parse().unwrap(), "t-2".parse().unwrap());
    let mut memory = memory(&["v1", "v2"]);
    let key = StreamKey::of(Some(&team), "r-1");
    memory
        .streams
        .record(key, &origin("v1"), NOW, OriginSource::Own);
    let finding = find(&memory, Some(key), NOW);
    assert_eq!(finding.binding, StreamBinding::Version(version("v1")));
    assert_eq!(finding.source, FindingSource::Remembered(OriginSource::Own));
    let others = [
        None,
        Some(StreamKey::of(Some(&other), "r-1")),
        Some(StreamKey::of(None, "r-1")),
        Some(StreamKey::of(Some(&team), "r-2")),
        Some(StreamKey::of(None, "t-1r-1")),
    ];
    for key in others {
        let finding = find(&memory, key, NOW);
        assert_eq!(finding.binding, StreamBinding::Unknown, "{key:?}");
        assert_eq!(
            finding.binding.bound(&BTreeSet::new()).map(|_| ()),
            Err(CallRefusal::permanent(ResultCode::OriginUnknown))
        );
    }
}

/// Guards against a stream whose version is guessed where several can have begun it, or where the
/// entry does not know all of them.
#[test]
fn an_unknown_origin_goes_on_only_if_one_version_can_have_begun_it() {
    let key = Some(StreamKey(1));
    let cause = |memory: &OriginMemory, now| match find(memory, key, now).source {
        FindingSource::Unknown(cause) => Some(cause),
        _ => None,
    };
    let one = memory(&["v1", "v1"]);
    assert_eq!(cause(&one, NOW), None);
    assert_eq!(
        find(&one, key, NOW).binding,
        StreamBinding::Version(version("v1"))
    );
    let later = NOW + MAX_LIST_AGE + TimeSpan(1);
    assert_eq!(cause(&one, later), Some(UnknownCause::OldList));
    let mut unconfirmed = one.clone();
    unconfirmed.history.observe(&table(["v1"]), later, later);
    assert_eq!(
        cause(&unconfirmed, later),
        Some(UnknownCause::ShortHistory),
        "a version may have come and gone"
    );
    let two = memory(&["v1", "v2"]);
    assert_eq!(cause(&two, NOW), Some(UnknownCause::SeveralVersions));
    let unstated = memory(&["", ""]);
    assert_eq!(cause(&unstated, NOW), Some(UnknownCause::SeveralVersions));
    assert_eq!(cause(&memory(&[]), NOW), Some(UnknownCause::NoVersion));
    let mut started = OriginMemory::default();
    started.history.observe(&table(["v1"]), NOW, NOW);
    assert_eq!(cause(&started, NOW), Some(UnknownCause::ShortHistory));
    let mut gone = memory(&["v2"]);
    let left_at = NOW - TimeSpan::from_secs(29);
    gone.history
        .note_seen(&service(), Some(&version("v1")), left_at, NOW);
    assert_eq!(cause(&gone, NOW), Some(UnknownCause::SeveralVersions));
    gone.expire(NOW + TimeSpan::from_secs(2), MIN_STREAM_LIFE);
    assert_eq!(cause(&gone, NOW), None);
}

/// Guards against a stream that goes on at another service of a split route, or at one that has taken
/// over the route.
#[test]
fn a_stream_goes_on_at_its_service_or_not_at_all() {
    let mut memory = memory(&["v1"]);
    let key = StreamKey(7);
    memory
        .streams
        .record(key, &origin("v1"), NOW, OriginSource::Peer);
    let find = |services: &[&str]| {
        let route = route(services);
        memory.find(Some(key), &route, NOW, MIN_STREAM_LIFE)
    };
    let own: ServiceId = service();
    assert_eq!(find(&["t", "s"]).service, Some(own));
    let moved = find(&["t"]);
    assert_eq!(
        (moved.service, moved.binding),
        (None, StreamBinding::Unknown)
    );
    assert_eq!(moved.source, FindingSource::Rerouted);
}

/// Guards against a stream that is bound to one of two versions that are stated for it.
#[test]
fn two_statements_about_one_stream_make_its_version_unknown() {
    let mut streams = OriginTable::default();
    let key = StreamKey(3);
    assert!(streams.record(key, &origin("v1"), NOW, OriginSource::Own));
    assert!(!streams.record(key, &origin("v1"), NOW, OriginSource::Peer));
    assert_eq!(streams.get(key).unwrap().origin, &origin("v1"));
    assert!(!streams.record(key, &origin("v2"), NOW, OriginSource::Store));
    assert_eq!(streams.get(key).unwrap().origin.version, None);
    assert!(!streams.record(key, &origin("v1"), NOW, OriginSource::Peer));
    assert_eq!(streams.get(key).unwrap().origin.version, None);
}

/// Guards against a memory that grows without bound.
#[test]
fn old_streams_are_forgotten() {
    let mut streams = OriginTable::default();
    for number in 0..250_000_u64 {
        let at = TimePoint(number);
        streams.record(StreamKey(number), &origin("v1"), at, OriginSource::Own);
    }
    assert_eq!(streams.own().count(), 200_000);
    streams.expire(TimePoint(240_000));
    assert_eq!(streams.own().count(), 10_000);
    assert!(streams.get(StreamKey(239_999)).is_none());
    assert!(streams.get(StreamKey(240_000)).is_some());
}

/// Guards against a version at which streams begin before other entries can know it.
#[test]
fn streams_begin_at_a_new_version_after_it_has_settled() {
    let mut memory = memory(&["v1"]);
    assert!(memory.history.unsettled(&service(), NOW).is_empty());
    memory.history.observe(&table(["v1", "v2"]), NOW, NOW);
    assert_eq!(
        memory.history.unsettled(&service(), NOW),
        [version("v2")].into()
    );
    let settled = NOW + SETTLE_TIME;
    memory
        .history
        .observe(&table(["v1", "v2"]), settled, settled);
    assert!(
        !memory.history.unsettled(&service(), settled).is_empty(),
        "an entry that starts would not know it"
    );
    let history = &mut memory.history;
    history.note_recorded(&service(), Some(&version("v2")));
    assert!(memory.history.unsettled(&service(), settled).is_empty());
}

/// A stream of the simulation.
struct Stream {
    key: StreamKey,
    version: String,
    began_at: TimePoint,
}

/// An entry of the simulation.
#[derive(Default)]
struct Entry {
    memory: OriginMemory,
    table: ServerTable,
    versions: BTreeSet<String>,
    confirmed_at: Option<TimePoint>,
    cut_until: TimePoint,
    unwritten: Vec<(StreamKey, StreamOrigin, TimePoint)>,
}

/// What the store holds: the list, the record of the versions that served, and the streams.
#[derive(Default)]
struct Store {
    listed: BTreeSet<String>,
    record: BTreeMap<String, TimePoint>,
    streams: Vec<(StreamKey, StreamOrigin, TimePoint)>,
}

/// The result of a simulation.
#[derive(Debug, Default)]
struct Tally {
    resumed: u64,
    refused: u64,
    crossed: u64,
    /// Streams that a version-blind entry would have resumed at another version.
    crossed_naively: u64,
}

const ENTRIES: usize = 4;
const STEP: TimeSpan = TimeSpan::from_millis(100);
const STEPS: u64 = 700;
/// The longest time after its beginning at which a stream is resumed.
const MAX_RESUMED_AGE: TimeSpan = TimeSpan::from_secs(12);

/// Plays versions that come and go, kills of all entries, store outages and entries that are cut off.
fn simulate(seed: u64, tally: &mut Tally) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut store = Store::default();
    store.listed.insert("v0".to_owned());
    let mut entries: Vec<Entry> = (0..ENTRIES).map(|_| Entry::default()).collect();
    let mut streams: Vec<Stream> = Vec::new();
    let (mut down_until, mut killed_until) = (TimePoint::START, TimePoint::START);
    let mut last_version = 0;
    for step in 0..STEPS {
        let now = TimePoint(50 * SECOND) + TimeSpan(STEP.0 * step);
        let up = now >= down_until;
        if rng.gen_bool(0.004) {
            down_until = now + TimeSpan::from_millis(rng.gen_range(500..6_000));
        }
        if up && rng.gen_bool(0.02) {
            last_version += u64::from(rng.gen_bool(0.7));
            store.listed.insert(format!("v{last_version}"));
        }
        if up && store.listed.len() > 1 && rng.gen_bool(0.02) {
            let left = rng.gen_range(0..store.listed.len());
            let left = store.listed.iter().nth(left).unwrap().clone();
            store.listed.remove(&left);
        }
        if rng.gen_bool(0.006) {
            killed_until = now + TimeSpan::from_millis(rng.gen_range(200..3_000));
            entries = (0..ENTRIES).map(|_| Entry::default()).collect();
        }
        if now < killed_until {
            continue;
        }
        for entry in &mut entries {
            if rng.gen_bool(0.004) {
                entry.cut_until = now + TimeSpan::from_millis(rng.gen_range(500..8_000));
            }
            if up && now >= entry.cut_until {
                sync(entry, &mut store, now);
            }
        }
        for _ in 0..4 {
            begin(&mut entries, &mut streams, &mut rng, now);
        }
        streams.retain(|stream| now.since(stream.began_at) <= MAX_RESUMED_AGE);
        for _ in 0..3 {
            resume(&mut entries, &streams, &mut rng, now, tally);
        }
    }
}

/// Brings an entry's list up to date, and writes and reads what the store holds besides.
fn sync(entry: &mut Entry, store: &mut Store, now: TimePoint) {
    if entry.versions != store.listed {
        entry.versions.clone_from(&store.listed);
        entry.table = table(store.listed.iter().map(String::as_str));
    }
    let history = &mut entry.memory.history;
    history.observe(&entry.table, now, now);
    if !history.is_complete(now, MIN_STREAM_LIFE) {
        for (text, seen_at) in &store.record {
            let version = text.parse().ok();
            entry
                .memory
                .history
                .note_seen(&service(), version.as_ref(), *seen_at, now);
        }
        entry.memory.history.note_complete();
        for (key, origin, began_at) in &store.streams {
            entry
                .memory
                .learn(*key, origin, *began_at, OriginSource::Store, now);
        }
    }
    entry.confirmed_at = Some(now);
    for text in &store.listed {
        store.record.insert(text.clone(), now);
        let history = &mut entry.memory.history;
        history.note_recorded(&service(), Some(&version(text)));
    }
    store.streams.append(&mut entry.unwritten);
}

/// Begins a stream at an entry and tells the entries that are not cut off.
fn begin(entries: &mut [Entry], streams: &mut Vec<Stream>, rng: &mut Pcg64Mcg, now: TimePoint) {
    let index = rng.gen_range(0..entries.len());
    let entry = &mut entries[index];
    let Some(confirmed_at) = entry.confirmed_at else {
        return;
    };
    let history = &mut entry.memory.history;
    history.observe(&entry.table, confirmed_at, now);
    entry.memory.expire(now, MIN_STREAM_LIFE);
    let unsettled = entry.memory.history.unsettled(&service(), now);
    let settled = entry.versions.iter();
    let settled: Vec<&String> = settled
        .filter(|text| !unsettled.contains(&version(text)))
        .collect();
    if settled.is_empty() {
        return;
    }
    let text = settled[rng.gen_range(0..settled.len())].clone();
    let key = StreamKey(rng.gen());
    let origin = origin(&text);
    let cut = now < entry.cut_until;
    entry
        .memory
        .streams
        .record(key, &origin, now, OriginSource::Own);
    entry.unwritten.push((key, origin.clone(), now));
    for other in entries.iter_mut().filter(|other| now >= other.cut_until) {
        if !cut && rng.gen_bool(0.9) {
            other
                .memory
                .learn(key, &origin, now, OriginSource::Peer, now);
        }
    }
    streams.push(Stream {
        key,
        version: text,
        began_at: now,
    });
}

/// Resumes a stream at any entry, with its name, with another one or with none.
fn resume(
    entries: &mut [Entry],
    streams: &[Stream],
    rng: &mut Pcg64Mcg,
    now: TimePoint,
    tally: &mut Tally,
) {
    if streams.is_empty() {
        return;
    }
    let stream = &streams[rng.gen_range(0..streams.len())];
    let index = rng.gen_range(0..entries.len());
    let entry = &mut entries[index];
    let key = match rng.gen_range(0..10) {
        0 => None,
        1 => Some(StreamKey(rng.gen())),
        _ => Some(stream.key),
    };
    let memory = &mut entry.memory;
    if let Some(confirmed_at) = entry.confirmed_at {
        memory.history.observe(&entry.table, confirmed_at, now);
    }
    let route = route(&["s"]);
    let finding = memory.find(key, &route, now, MIN_STREAM_LIFE);
    match finding.binding {
        StreamBinding::Version(found) if found.as_str() == stream.version => tally.resumed += 1,
        StreamBinding::Version(_) | StreamBinding::Unbound => tally.crossed += 1,
        StreamBinding::Unknown => tally.refused += 1,
    }
    let naive = entry.versions.iter().next();
    tally.crossed_naively += u64::from(naive.is_some_and(|text| *text != stream.version));
}

/// Guards against a stream that goes on at a version other than the one that began it, whatever
/// fails, and against refusals of
/// more than half of the streams.
#[test]
fn no_history_joins_two_versions_unlike_with_version_blind_entries() {
    let mut tally = Tally::default();
    for seed in 0..120 {
        simulate(seed, &mut tally);
        assert_eq!(tally.crossed, 0, "seed {seed}: {tally:?}");
    }
    assert!(tally.crossed_naively > 1_000, "{tally:?}");
    assert!(tally.resumed >= tally.refused, "{tally:?}");
}
