//! The memory that callers' connections hold, and which of them gives way when there is none left.
//!
//! An entry holds the bytes of requests that it has not received completely. Callers that are not
//! controlled can make that any number of bytes, so all connections share one limit. The same
//! decision frees a file descriptor for a new connection. See
//! [docs/design/memory-account.md](../../../../docs/design/memory-account.md).

use std::collections::BTreeMap;
use std::fmt;

use crate::unit::{ByteSize, TimePoint, TimeSpan};

/// How long a connection brings too few bytes before it may be closed for others.
pub const MIN_STALL: TimeSpan = TimeSpan::from_millis(1_000);
/// The bytes that count as progress. With fewer within [`MIN_STALL`], a connection has stalled.
pub const PROGRESS_BYTES: ByteSize = ByteSize(4_096);
/// How long a request waits for memory before it may be refused.
pub const MAX_WAIT: TimeSpan = TimeSpan::from_millis(1_000);
/// The shortest time between two refusals of waiting requests. Without it all requests that wait
/// for each other's memory would be refused at once. With 50 ms and 600 large bodies that stop
/// before their end, an ordinary caller was refused for 13 to 24 s.
pub const REFUSAL_SPACING: TimeSpan = TimeSpan::from_millis(5);
/// The most bytes of a small holder, which may use all memory; larger ones leave a part of it.
pub const SMALL_BYTES: ByteSize = ByteSize(65_536);
/// The share of the memory that larger holders may use, in percent.
const LARGE_PERCENT: u64 = 75;

/// Identifies a connection in a [`HoldingTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HolderId(pub u64);

impl fmt::Display for HolderId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HolderStage {
    /// It waits for the first byte of a request.
    Idle,
    /// Its request is being received.
    Receiving,
    /// Its request is received no further until there is memory for it.
    Waiting,
    /// Its request is complete and being served.
    Serving,
    /// Its request was refused, and the rest of it is discarded.
    Lingering,
    /// It has to close.
    Closing,
}

/// What an entry has too little of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScarceResource {
    /// Memory for requests.
    Memory,
    /// File descriptors for connections.
    Descriptors,
}

/// Why a connection gives way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum YieldCause {
    /// Its request has arrived too slowly for [`MIN_STALL`].
    Stalled,
    /// Its request has waited for memory for [`MAX_WAIT`].
    Unserved,
    /// It has had no request for [`MIN_STALL`].
    Idle,
    /// Its request has been refused already.
    Lingering,
}

impl YieldCause {
    /// Returns the label in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Stalled => "stalled",
            Self::Unserved => "no memory",
            Self::Idle => "idle",
            Self::Lingering => "lingering",
        }
    }
}

/// A connection that gives way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct YieldingHolder {
    /// The connection.
    pub id: HolderId,
    /// Why it gives way.
    pub cause: YieldCause,
    /// The bytes that it held.
    pub held: ByteSize,
    /// The time since its last progress, or since it began to wait.
    pub pause: TimeSpan,
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    stage: HolderStage,
    held: ByteSize,
    /// When it entered its stage, or last made progress in it.
    progressed_at: TimePoint,
    /// The bytes received since then.
    received: ByteSize,
    /// When its request began.
    request_at: TimePoint,
}

/// The connections of callers, with the memory that each holds.
#[derive(Clone, Debug)]
pub struct HoldingTable {
    limit: ByteSize,
    held: ByteSize,
    holders: BTreeMap<HolderId, Holder>,
    last_id: u64,
    /// When a waiting request was refused last.
    refused_at: Option<TimePoint>,
}

impl HoldingTable {
    /// Creates a table without connections whose requests may hold `limit` bytes together.
    pub fn new(limit: ByteSize) -> Self {
        Self {
            limit,
            held: ByteSize(0),
            holders: BTreeMap::new(),
            last_id: 0,
            refused_at: None,
        }
    }

    /// Returns the bytes that all connections hold.
    pub fn held(&self) -> ByteSize {
        self.held
    }

    /// Returns the number of connections.
    pub fn count(&self) -> usize {
        self.holders.len()
    }

    /// Adds an idle connection, which holds nothing.
    pub fn begin(&mut self, now: TimePoint) -> HolderId {
        self.last_id += 1;
        let id = HolderId(self.last_id);
        let holder = Holder {
            stage: HolderStage::Idle,
            held: ByteSize(0),
            progressed_at: now,
            received: ByteSize(0),
            request_at: now,
        };
        self.holders.insert(id, holder);
        id
    }

    /// Removes a connection, and releases what it holds.
    pub fn end(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.remove(&id) {
            self.held.0 -= holder.held.0;
        }
    }

    /// Changes the stage of a connection. One that has to close stays so.
    pub fn enter(&mut self, id: HolderId, stage: HolderStage, now: TimePoint) {
        let Some(holder) = self.holders.get_mut(&id) else {
            return;
        };
        if holder.stage == HolderStage::Closing || holder.stage == stage {
            return;
        }
        if holder.stage == HolderStage::Idle {
            holder.request_at = now;
        }
        holder.stage = stage;
        holder.progressed_at = now;
        holder.received = ByteSize(0);
    }

    /// Records bytes that a connection has brought.
    pub fn record_received(&mut self, id: HolderId, bytes: ByteSize, now: TimePoint) {
        let Some(holder) = self.holders.get_mut(&id) else {
            return;
        };
        holder.received.0 += bytes.0;
        if holder.received >= PROGRESS_BYTES {
            holder.received = ByteSize(0);
            holder.progressed_at = now;
        }
    }

    /// Sets what a connection holds if that is less than before or there is memory for it; returns
    /// whether it is set.
    pub fn resize(&mut self, id: HolderId, bytes: ByteSize) -> bool {
        let Some(holder) = self.holders.get_mut(&id) else {
            return false;
        };
        let others = self.held.0 - holder.held.0;
        let limit = match bytes <= SMALL_BYTES {
            true => self.limit.0,
            false => self.limit.0 * LARGE_PERCENT / 100,
        };
        if bytes > holder.held && others + bytes.0 > limit {
            return false;
        }
        self.held.0 = others + bytes.0;
        holder.held = bytes;
        true
    }

    /// Chooses a connection that gives way, and marks it as one that has to close. Returns `None`
    /// if none may be chosen, or if one that was chosen has not released its memory yet.
    ///
    /// A connection whose request is being served, or that brings its request fast enough, is never
    /// chosen. Of those that have stalled, the one with the largest product of bytes and time is.
    pub fn choose(&mut self, scarce: ScarceResource, now: TimePoint) -> Option<YieldingHolder> {
        let chosen = match scarce {
            ScarceResource::Memory if self.is_releasing() => None,
            ScarceResource::Memory => self.stalled(now).or_else(|| self.unserved(now)),
            ScarceResource::Descriptors => self
                .lingering(now)
                .or_else(|| self.stalled(now))
                .or_else(|| self.idle(now)),
        };
        let chosen = chosen?;
        if chosen.cause == YieldCause::Unserved {
            self.refused_at = Some(now);
        }
        let holder = self.holders.get_mut(&chosen.id)?;
        holder.stage = HolderStage::Closing;
        Some(chosen)
    }

    fn is_releasing(&self) -> bool {
        let mut holders = self.holders.values();
        holders.any(|holder| holder.stage == HolderStage::Closing && holder.held.0 > 0)
    }

    fn in_stage(&self, stage: HolderStage) -> impl Iterator<Item = (HolderId, &Holder)> {
        let holders = self.holders.iter().map(|(id, holder)| (*id, holder));
        holders.filter(move |(_, holder)| holder.stage == stage)
    }

    fn stalled(&self, now: TimePoint) -> Option<YieldingHolder> {
        let stalled = self.in_stage(HolderStage::Receiving);
        let stalled = stalled.filter(|(_, holder)| holder.pause(now) >= MIN_STALL);
        let weight = |holder: &Holder| u128::from(holder.held.0) * u128::from(holder.pause(now).0);
        let most = stalled.max_by_key(|(id, holder)| (weight(holder), std::cmp::Reverse(*id)));
        most.map(|(id, holder)| holder.yielding(id, YieldCause::Stalled, now))
    }

    /// Returns the large request that began last, or else the small one, if one has waited too long.
    /// Those that began earlier have received more in most cases and end sooner.
    fn unserved(&self, now: TimePoint) -> Option<YieldingHolder> {
        let spaced = |refused_at: TimePoint| now.since(refused_at) >= REFUSAL_SPACING;
        if !self.refused_at.is_none_or(spaced) {
            return None;
        }
        let waiting = self.in_stage(HolderStage::Waiting);
        let waiting = waiting.filter(|(_, holder)| holder.pause(now) >= MAX_WAIT);
        let last =
            waiting.max_by_key(|(id, holder)| (holder.held > SMALL_BYTES, holder.request_at, *id));
        last.map(|(id, holder)| holder.yielding(id, YieldCause::Unserved, now))
    }

    fn idle(&self, now: TimePoint) -> Option<YieldingHolder> {
        let idle = self.in_stage(HolderStage::Idle);
        let idle = idle.filter(|(_, holder)| holder.pause(now) >= MIN_STALL);
        let longest = idle.min_by_key(|(id, holder)| (holder.progressed_at, *id));
        longest.map(|(id, holder)| holder.yielding(id, YieldCause::Idle, now))
    }

    fn lingering(&self, now: TimePoint) -> Option<YieldingHolder> {
        let lingering = self.in_stage(HolderStage::Lingering);
        let longest = lingering.min_by_key(|(id, holder)| (holder.progressed_at, *id));
        longest.map(|(id, holder)| holder.yielding(id, YieldCause::Lingering, now))
    }
}

impl Holder {
    fn pause(&self, now: TimePoint) -> TimeSpan {
        now.since(self.progressed_at)
    }

    fn yielding(&self, id: HolderId, cause: YieldCause, now: TimePoint) -> YieldingHolder {
        YieldingHolder {
            id,
            cause,
            held: self.held,
            pause: self.pause(now),
        }
    }
}

/// How the file descriptors of an entry are divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorShares {
    /// The most connections of callers.
    pub callers: u64,
    /// The most connections to backend servers.
    pub backends: u64,
}

impl DescriptorShares {
    /// Descriptors for backend servers, the store, other entries and files.
    const RESERVED: u64 = 1_200;
    /// The part of the reserve for the store, other entries and files.
    const OTHERS: u64 = 100;

    /// Divides `limit` descriptors. With few of them, each part gets less.
    pub fn of(limit: u64) -> Self {
        let reserved = Self::RESERVED.min(limit / 2);
        Self {
            callers: limit - reserved,
            backends: reserved - Self::OTHERS.min(reserved / 4),
        }
    }
}
