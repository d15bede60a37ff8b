//! The decision who is served while capacity is short.
//!
//! Placement predicts how long a request would wait for others; this module decides whether that is
//! accepted, by the urgency and the size of the request, by how short capacity is, and by the shares
//! in which requests of each kind were admitted. See
//! [docs/design/competition.md](../../../../docs/design/competition.md).

mod ledger;

use crate::direct::{FlightClass, UrgencyClass};
use crate::id::TeamId;
use crate::rank::NameRank;
use crate::unit::TimeSpan;

pub use ledger::{CompetitionLedger, KindShares, RequestSize, TrafficShare};

/// What tells the requests apart that compete for capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CompetitorKind<'a> {
    /// The priority of the request, from 0 to 9; 0 is the most urgent.
    pub urgency: u8,
    /// The name of its route, which is its type.
    pub route: &'a str,
    /// The team that it belongs to.
    pub team: Option<&'a TeamId>,
}

impl CompetitorKind<'_> {
    /// Returns the class of its urgency.
    pub fn class(&self) -> UrgencyClass {
        UrgencyClass::of_priority(self.urgency)
    }
}

/// A request that competes with others for capacity.
#[derive(Clone, Copy, Debug)]
pub struct Competitor<'a> {
    /// What tells it from others.
    pub kind: CompetitorKind<'a>,
    /// Whether nothing was decided on the request before. Later attempts are admitted as without
    /// competition, so that what has begun is not displaced.
    pub is_new: bool,
    /// What this entry has admitted and refused lately.
    pub ledger: &'a CompetitionLedger,
}

/// The limits by which waits are accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CompetitionPolicy {
    /// The wait for what is queued, in percent of the latency objective, up to which there is room: the
    /// request does not compete with others and is admitted.
    pub room_percent: u64,
    /// The part of the accepted wait, in percent, from which an entry with a very small share of the
    /// demand begins to refuse some requests. It sees the work that other entries have sent meanwhile
    /// only with the next gossip.
    pub thinning_percent: u64,
    /// The share of the backend servers, in percent, that are reserved for requests that are admitted
    /// for their minimum shares while there are any.
    pub reserved_percent: usize,
    /// The highest share of an engine's time, in percent, that more urgent requests are assumed to
    /// take while a request waits.
    pub max_urgent_percent: u64,
}

impl Default for CompetitionPolicy {
    fn default() -> Self {
        Self {
            room_percent: 10,
            thinning_percent: 50,
            reserved_percent: 25,
            max_urgent_percent: 75,
        }
    }
}

/// Why a request is admitted or refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CompetitionOutcome {
    /// Admitted: it hardly waits for others.
    Room,
    /// Admitted: its wait is accepted.
    Waits,
    /// Admitted although it waits longer, since requests of its kind got too small a share.
    MinimumShare,
    /// Refused: it would end after its deadline.
    Hopeless,
    /// Refused: it would wait longer than accepted.
    Late,
    /// Refused: more urgent requests of the service are served less often.
    Yields,
    /// Refused: this entry's part of the refusals while the accepted wait is nearly reached.
    Thinned,
}

impl CompetitionOutcome {
    /// Returns whether the request is admitted.
    pub const fn is_admitted(self) -> bool {
        match self {
            Self::Room | Self::Waits | Self::MinimumShare => true,
            Self::Hopeless | Self::Late | Self::Yields | Self::Thinned => false,
        }
    }

    /// Returns whether the request was admitted as it would be without competition.
    pub const fn is_plain(self) -> bool {
        matches!(self, Self::Room | Self::Waits)
    }

    /// Returns its name in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Room => "room",
            Self::Waits => "waits",
            Self::MinimumShare => "minimum_share",
            Self::Hopeless => "hopeless",
            Self::Late => "late",
            Self::Yields => "yields",
            Self::Thinned => "thinned",
        }
    }
}

/// The figures of a request at the backend server that would serve it first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CompetitionInput<'a> {
    /// The name of the request, which decides by its hash where only some requests are refused.
    pub name: &'a str,
    /// The predicted time to the response, or to its first token.
    pub predicted: TimeSpan,
    /// The part of it that the request takes without others.
    pub unloaded: TimeSpan,
    /// The time within which it is on time.
    pub latency_objective: TimeSpan,
    /// The time left before the deadline.
    pub time_left: TimeSpan,
    /// Its size.
    pub size: RequestSize,
    /// The age of the oldest load of a peer that the prediction rests on.
    pub load_age: TimeSpan,
    /// This entry's current share of the requests in flight.
    pub share: TrafficShare,
}

/// A decision, with the figures that it rests on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CompetitionReport {
    /// The decision.
    pub outcome: CompetitionOutcome,
    /// What the request counts as while it is in flight.
    pub class: FlightClass,
    /// The predicted wait for other requests, including more urgent ones that are still to come.
    pub wait: TimeSpan,
    /// The wait that was accepted.
    pub accepted_wait: TimeSpan,
    /// The wait with which the request is still on time, or as late as is accepted from one that is
    /// late by itself.
    pub longest_wait: TimeSpan,
    /// The size of the request.
    pub size: RequestSize,
    /// The share of the more urgent requests that were refused lately, in percent.
    pub shortage_percent: u64,
    /// This entry's share of the requests in flight.
    pub share: TrafficShare,
    /// The age of the oldest load of a peer that the prediction rests on.
    pub load_age: TimeSpan,
}

impl CompetitionReport {
    /// Corrects the decision on a request that is admitted for its minimum share by its figures at a
    /// reserved backend server. It is refused if it would be late there too.
    pub(super) fn check_reserved(&mut self, predicted: TimeSpan, unloaded: TimeSpan) {
        self.wait = predicted.saturating_sub(unloaded);
        self.accepted_wait = self.longest_wait;
        if self.wait > self.accepted_wait {
            self.outcome = CompetitionOutcome::Late;
            self.class.reserves = false;
        }
    }

    /// Returns the time after which a retry may be admitted: until the queue has drained to the
    /// accepted wait, at least `minimum`. It is spread up to twice that time by the hash of the
    /// request, so that retries do not arrive as a wave.
    pub fn retry_after(&self, name: &str, minimum: TimeSpan) -> TimeSpan {
        let drain = self.wait.saturating_sub(self.accepted_wait).max(minimum);
        let spread = drain.0 as f64 * unit_hash("retry", name);
        TimeSpan(drain.0 + spread as u64)
    }
}

impl CompetitionPolicy {
    /// Decides whether a request is admitted. `max_wait_percent` of the latency objective is the
    /// wait that is accepted from a request that is late by itself.
    pub fn decide(
        &self,
        input: &CompetitionInput<'_>,
        competitor: &Competitor<'_>,
        shares: &KindShares,
        max_wait_percent: u64,
    ) -> CompetitionReport {
        let objective = input.latency_objective;
        let slack = objective.saturating_sub(input.unloaded);
        let longest = slack.max(percent_of(objective, max_wait_percent));
        let queued = input.predicted.saturating_sub(input.unloaded);
        let urgent = shares
            .urgent_load
            .min(self.max_urgent_percent as f64 / 100.0);
        let wait = match competitor.is_new {
            true => {
                // Its own prefill is interrupted too. What exceeds the slack makes no difference: a
                // prompt that is late by itself is not refused for that.
                let interrupted = input.size.work.0 as f64 * urgent / (1.0 - urgent);
                let interrupted = TimeSpan(interrupted as u64).min(slack);
                TimeSpan((queued.0 as f64 / (1.0 - urgent)) as u64) + interrupted
            }
            false => queued,
        };
        let yielded = shares.shortage * shares.cost_share;
        let accepted_wait = match competitor.is_new {
            true => TimeSpan((longest.0 as f64 * (1.0 - yielded)) as u64),
            false => longest,
        };
        let outcome = match () {
            () if input.predicted > input.time_left => CompetitionOutcome::Hopeless,
            () if !competitor.is_new && wait > accepted_wait => CompetitionOutcome::Late,
            () if !competitor.is_new => CompetitionOutcome::Waits,
            () if queued <= percent_of(objective, self.room_percent) => CompetitionOutcome::Room,
            () if shares.is_starved => CompetitionOutcome::MinimumShare,
            () if wait > accepted_wait => CompetitionOutcome::Late,
            () if shares.exceeds_urgent => CompetitionOutcome::Yields,
            () if shares.refused_lately
                && self.is_thinned(input.name, shares, wait, accepted_wait) =>
            {
                CompetitionOutcome::Thinned
            }
            () => CompetitionOutcome::Waits,
        };
        let class = FlightClass {
            urgency: competitor.kind.class(),
            reserves: outcome == CompetitionOutcome::MinimumShare,
        };
        CompetitionReport {
            outcome,
            class,
            wait,
            accepted_wait,
            longest_wait: longest,
            size: input.size,
            shortage_percent: (shares.shortage * 100.0) as u64,
            share: input.share,
            load_age: input.load_age,
        }
    }

    /// Returns whether a request is one of those that this entry refuses before the accepted wait is
    /// reached. The smaller the entry's share of the demand, the more of the queue it does not see
    /// yet, and the earlier it begins to refuse some.
    fn is_thinned(
        &self,
        name: &str,
        shares: &KindShares,
        wait: TimeSpan,
        accepted_wait: TimeSpan,
    ) -> bool {
        let lowest = self.thinning_percent as f64 / 100.0;
        let share = shares.traffic.unwrap_or(1.0);
        let start = accepted_wait.0 as f64 * (lowest + (1.0 - lowest) * share);
        let excess = wait.0 as f64 - start;
        let range = accepted_wait.0 as f64 - start;
        excess > 0.0 && unit_hash("thin", name) * range < excess
    }
}

fn percent_of(span: TimeSpan, percent: u64) -> TimeSpan {
    TimeSpan(span.0 * percent / 100)
}

/// Returns a number from 0 to 1 by which requests are distributed evenly.
fn unit_hash(key: &str, name: &str) -> f64 {
    NameRank::of(key, name).value() as f64 / u64::MAX as f64
}
