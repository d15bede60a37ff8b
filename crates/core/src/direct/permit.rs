//! Permits by which entries share the rate limit of a backend server.
//!
//! A backend server may name the requests per second that it takes from all entries together. For
//! each one, the entries ask one of them, the issuer, for a permit before each request. The issuer
//! follows from rendezvous hashing over the live entries, so it needs no election. An issuer that
//! does not exchange messages with all known entries issues only its share: entries that cannot
//! reach each other ask different issuers. See
//! [docs/design/sending.md](../../../../docs/design/sending.md#rate-limits).

use std::collections::BTreeMap;

use super::bucket::{refill_time, RateBucket, TOKEN_COST};
use crate::id::{BackendId, InstanceId};
use crate::rank::NameRank;
use crate::unit::{RequestRate, TimePoint, TimeSpan};

/// How long a permit is valid, from the time when it was asked for.
pub const PERMIT_TTL: TimeSpan = TimeSpan::from_millis(500);
/// How long unused permits accumulate.
const BUCKET_SPAN: TimeSpan = TimeSpan::from_millis(500);
/// The lowest rate at which permits are issued. The end of a limit is known only from a response,
/// so even a backend server that takes nothing gets a request now and then.
const MIN_RATE: RequestRate = RequestRate(100);
/// How long an entry that was denied a permit counts as waiting for one.
const WAITING_TIME: TimeSpan = TimeSpan::from_secs(2);
/// The bounds of the time after which a denied entry asks again.
const MIN_WAIT: TimeSpan = TimeSpan::from_millis(5);
const MAX_WAIT: TimeSpan = TimeSpan::from_secs(2);
/// The permits that a bucket holds at least, so that those of a low limit are not lost before
/// anyone asks.
const MIN_BUCKET: i128 = 2;
/// How long an issuer keeps the bucket of a backend server that nobody asks for.
const BUCKET_TTL: TimeSpan = TimeSpan::from_secs(60);
/// The span that a bucket is refilled for at once: an unused bucket is full long before.
const MAX_REFILL_SPAN: TimeSpan = BUCKET_TTL;

/// One incarnation of a backend server, by its name and its start time in milliseconds since the
/// Unix epoch.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LimitedBackend {
    /// The name.
    pub backend: BackendId,
    /// The start time.
    pub incarnation: u64,
}

/// The entries that an issuer exchanges messages with, out of those that it knows. It issues this
/// share of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LiveShare {
    /// The entries that it hears and that hear it, itself included.
    pub live: u64,
    /// The entries that it knows, itself included.
    pub known: u64,
}

impl LiveShare {
    /// Returns the share of an entry with these peers, which knows `known` entries.
    pub fn of_peers(peers: &[PeerReach], known: u64) -> Self {
        let mutual = peers.iter().filter(|peer| peer.heard && !peer.deaf);
        Self {
            live: mutual.count() as u64 + 1,
            known,
        }
    }

    /// Returns this share of a number.
    pub(super) fn of(self, number: u64) -> u64 {
        let known = self.known.max(self.live).max(1);
        let part = u128::from(number) * u128::from(self.live.max(1)) / u128::from(known);
        u64::try_from(part).unwrap_or(u64::MAX)
    }

    /// Returns whether these are more than half of the known entries. No other issuer can have such
    /// a share at the same time.
    pub(super) fn is_majority(self) -> bool {
        2 * self.live > self.known
    }
}

/// The answer to an entry that asks for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitReply {
    /// It may send one request.
    Granted,
    /// It may not, and should ask again only after this time.
    Denied(TimeSpan),
}

/// The permits of one backend server: a token bucket, and the entries that wait for one.
#[derive(Clone, Debug)]
struct PermitBucket {
    bucket: RateBucket,
    /// The entries that were denied a permit, and when.
    waiting: BTreeMap<InstanceId, TimePoint>,
}

impl PermitBucket {
    fn new(now: TimePoint) -> Self {
        Self {
            bucket: RateBucket::new(now),
            waiting: BTreeMap::new(),
        }
    }

    fn issue(&mut self, rate: RequestRate, asker: &InstanceId, now: TimePoint) -> PermitReply {
        let full = (MIN_BUCKET * TOKEN_COST).max(i128::from(rate.0) * i128::from(BUCKET_SPAN.0));
        self.bucket.refill(rate, full, MAX_REFILL_SPAN, now);
        self.waiting
            .retain(|_, denied_at| now.since(*denied_at) < WAITING_TIME);
        if self.bucket.try_take(TOKEN_COST, TOKEN_COST) {
            self.waiting.remove(asker);
            return PermitReply::Granted;
        }
        self.waiting.insert(asker.clone(), now);
        let missing = TOKEN_COST * self.waiting.len() as i128 - self.bucket.balance();
        let wait = refill_time(missing, rate);
        PermitReply::Denied(wait.clamp(MIN_WAIT, MAX_WAIT))
    }
}

/// Issues permits for the backend servers that this entry is the issuer of.
#[derive(Clone, Debug, Default)]
pub struct PermitIssuer {
    buckets: BTreeMap<LimitedBackend, PermitBucket>,
}

impl PermitIssuer {
    /// Answers an entry that asks for a permit under this limit.
    pub fn issue(
        &mut self,
        limited: &LimitedBackend,
        limit: RequestRate,
        share: LiveShare,
        asker: &InstanceId,
        now: TimePoint,
    ) -> PermitReply {
        self.buckets
            .retain(|_, bucket| now.since(bucket.bucket.refilled_at()) < BUCKET_TTL);
        let bucket = self.buckets.entry(limited.clone());
        let bucket = bucket.or_insert_with(|| PermitBucket::new(now));
        let rate = RequestRate(share.of(limit.0.max(MIN_RATE.0)));
        bucket.issue(rate, asker, now)
    }
}

/// What an entry knows of the reach of one of its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerReach {
    /// The rank of its name.
    pub rank: NameRank,
    /// Whether this entry hears from it.
    pub heard: bool,
    /// Whether it does not hear from this entry, as far as it has said.
    pub deaf: bool,
    /// How many of the peers that this entry hears do not hear from it.
    pub unheard_by: usize,
}

/// The entry that issues the permits of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IssuerChoice {
    /// This entry.
    Own,
    /// The peer with this index.
    Peer(usize),
}

/// Returns the issuer of a backend server's permits: the entry with the highest rank that is live.
/// A peer that this entry does not hear is live if most of the peers that it hears do.
pub fn choose_issuer(own: NameRank, peers: &[PeerReach], backend: NameRank) -> IssuerChoice {
    match highest_live(peers, backend) {
        Some((rank, index)) if rank > own.combine(backend) => IssuerChoice::Peer(index),
        _ => IssuerChoice::Own,
    }
}

/// Returns the issuer among the peers of an entry that gives up the role.
pub fn choose_successor(peers: &[PeerReach], subject: NameRank) -> Option<usize> {
    highest_live(peers, subject).map(|(_, index)| index)
}

fn highest_live(peers: &[PeerReach], subject: NameRank) -> Option<(NameRank, usize)> {
    let voices = peers.iter().filter(|peer| peer.heard).count();
    let live = peers
        .iter()
        .enumerate()
        .filter(|(_, peer)| peer.heard || 2 * peer.unheard_by < voices);
    live.map(|(index, peer)| (peer.rank.combine(subject), index))
        .max()
}

/// The rate limit of a backend server, as an entry knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RateLimit {
    /// The limit; `None` if there is none.
    rate: Option<RequestRate>,
    /// When the response arrived that last named the limit or showed its end.
    stated_at: TimePoint,
    /// When this entry asks for a permit again.
    next_ask_at: TimePoint,
}

/// A statement of a backend server about its rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitStatement {
    /// The limit; `None` if a response named none.
    pub rate: Option<RequestRate>,
    /// When the response arrived.
    pub stated_at: TimePoint,
    /// When its request was sent.
    pub sent_at: TimePoint,
}

/// The effect of a statement on what is known of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitEffect {
    /// It is older than what is known and was ignored.
    Outdated,
    /// It repeats what is known.
    Confirmed,
    /// The limit changed.
    Changed,
}

impl RateLimit {
    /// Returns the limit; `None` if there is none.
    pub fn rate(&self) -> Option<RequestRate> {
        self.rate
    }

    /// Applies a statement. An older one is ignored, and so is the lack of a limit in the response to
    /// a request that was sent before the limit was named.
    pub fn apply(&mut self, statement: &LimitStatement) -> LimitEffect {
        let outdated = match statement.rate {
            Some(_) => statement.stated_at < self.stated_at,
            None => self.rate.is_none() || statement.sent_at < self.stated_at,
        };
        if outdated {
            return LimitEffect::Outdated;
        }
        self.stated_at = statement.stated_at;
        if self.rate == statement.rate {
            return LimitEffect::Confirmed;
        }
        self.rate = statement.rate;
        self.next_ask_at = TimePoint::START;
        LimitEffect::Changed
    }

    /// Sends nothing until this time, when the entry asks for a permit again.
    pub fn defer(&mut self, until: TimePoint) {
        self.next_ask_at = until;
    }

    /// Returns when a permit may be had; `None` if that is now, or if there is no limit.
    pub fn wait(&self, now: TimePoint) -> Option<TimePoint> {
        self.rate
            .is_some()
            .then_some(self.next_ask_at)
            .filter(|until| *until > now)
    }
}
