//! Rate limits that backend servers named to this entry, for gossip to the others.

use std::collections::BTreeMap;

use applefold_core::direct::LimitStatement;
use applefold_core::id::BackendId;
use applefold_core::unit::{RequestRate, TimePoint, TimeSpan};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::turn::next_turn;

/// How long a statement is gossiped, unless a peer has received a later one.
const GOSSIP_TIME: TimeSpan = TimeSpan::from_secs(30);
/// How long a change of a limit is gossiped in each round.
const NEWS_TIME: TimeSpan = TimeSpan::from_millis(300);
/// The most statements in one datagram.
const MAX_REPORTS: usize = 16;

/// A statement of a backend server about its rate limit, as entries gossip it.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct LimitReport {
    pub(crate) backend: SmolStr,
    /// The incarnation that made the statement: the start time of its process.
    pub(crate) incarnation: u64,
    /// The limit in thousandths of a request per second; `None` if there is none any more.
    limit: Option<u64>,
    /// The time since the response arrived, in microseconds.
    age_us: u64,
}

impl LimitReport {
    /// Decodes the statement, which was in transit for `delay` until `now`.
    pub(crate) fn statement(&self, delay: TimeSpan, now: TimePoint) -> LimitStatement {
        let stated_at = now - (TimeSpan(self.age_us) + delay);
        LimitStatement {
            rate: self.limit.map(RequestRate),
            stated_at,
            sent_at: stated_at,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct ActiveStatement {
    incarnation: u64,
    rate: Option<RequestRate>,
    stated_at: TimePoint,
    /// When the limit changed.
    changed_at: TimePoint,
}

/// The latest statement of each backend server, and the round-robin position of gossip.
#[derive(Debug, Default)]
pub(crate) struct LimitTable {
    statements: BTreeMap<BackendId, ActiveStatement>,
    /// The last backend server whose statement was sent.
    last: Option<BackendId>,
}

impl LimitTable {
    /// Records a statement that an incarnation of a backend server made to this entry.
    pub(crate) fn note(
        &mut self,
        backend: &BackendId,
        incarnation: u64,
        statement: &LimitStatement,
    ) {
        let known = self.statements.get(backend);
        let known =
            known.filter(|known| known.incarnation == incarnation && known.rate == statement.rate);
        let active = ActiveStatement {
            incarnation,
            rate: statement.rate,
            stated_at: statement.stated_at,
            changed_at: known.map_or(statement.stated_at, |known| known.changed_at),
        };
        self.statements.insert(backend.clone(), active);
    }

    /// Stops the gossip about a backend server if a peer has received a later statement.
    pub(crate) fn note_peer(
        &mut self,
        backend: &BackendId,
        incarnation: u64,
        statement: &LimitStatement,
    ) {
        let known = self.statements.get(backend);
        if known.is_some_and(|known| {
            known.incarnation == incarnation && known.stated_at < statement.stated_at
        }) {
            self.statements.remove(backend);
        }
    }

    /// Returns whether a limit has just changed, so that gossip about it is urgent.
    pub(crate) fn has_news(&self, now: TimePoint) -> bool {
        let mut statements = self.statements.values();
        statements.any(|active| now.since(active.changed_at) < NEWS_TIME)
    }

    /// Returns the next statements in round-robin order, and removes the old ones.
    pub(crate) fn next_batch(&mut self, now: TimePoint) -> Vec<LimitReport> {
        self.statements
            .retain(|_, active| now.since(active.stated_at) < GOSSIP_TIME);
        let batch = next_turn(&self.statements, &mut self.last, MAX_REPORTS);
        let reports = batch.iter().map(|(backend, active)| LimitReport {
            backend: SmolStr::new(backend.as_str()),
            incarnation: active.incarnation,
            limit: active.rate.map(|rate| rate.0),
            age_us: now.since(active.stated_at).0,
        });
        reports.collect()
    }
}
