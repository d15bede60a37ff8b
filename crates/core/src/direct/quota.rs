//! Quotas of teams, which hold for all entries together.
//!
//! One entry issues the quota of a team from a token bucket, the issuer; it is chosen as for send
//! permits. The others ask it for grants, a little in advance where a team has much demand. See
//! [docs/design/quotas.md](../../../../docs/design/quotas.md).

use std::collections::BTreeMap;

use super::bucket::{refill_time, RateBucket, TOKEN_COST};
use super::permit::LiveShare;
use crate::id::{InstanceId, TeamId};
use crate::unit::{RequestRate, TimePoint, TimeSpan};

/// The span of its recent demand that an entry asks for in advance.
const ADVANCE_SPAN: TimeSpan = TimeSpan::from_millis(100);
/// The time for which a grant must still be valid to count for a request that asks for more.
const REPLY_MARGIN: TimeSpan = TimeSpan::from_millis(100);
/// The span over which demand is counted.
const DEMAND_SPAN: TimeSpan = TimeSpan::from_secs(1);
/// The longest span that a bucket is refilled for at once. An issuer whose process stood still does
/// not know what the entries served without it in the meantime; they do so after about 150 ms.
const MAX_REFILL_SPAN: TimeSpan = TimeSpan::from_millis(200);
/// The wait of a request that costs more than the share of an entry cut off from the others. It can
/// be admitted only when the entry reaches them again.
const ISOLATED_WAIT: TimeSpan = TimeSpan::from_secs(1);
/// The longest time for which a denial refuses further requests.
const MAX_DENIAL: TimeSpan = TimeSpan::from_secs(1);
/// The span after the first free slot over which refused requests are spread.
const MAX_SPREAD: TimeSpan = TimeSpan::from_secs(4);
/// The bounds of the time for which a grant is valid.
const MIN_GRANT_TTL: TimeSpan = TimeSpan::from_millis(100);
const MAX_GRANT_TTL: TimeSpan = TimeSpan::from_millis(500);
/// The share of the permitted overage that outstanding grants may use, as its reciprocal. The rest
/// is left to changes of the issuer.
const GRANT_OVERAGE_PARTS: f64 = 2.0;

/// How long an entry counts after it was last listed. Partitions last for minutes.
const ENTRY_MEMORY: TimeSpan = TimeSpan::from_secs(600);
/// How long an announced end counts. The registration of the entry lasts some seconds longer.
const RETIREMENT_MEMORY: TimeSpan = TimeSpan::from_secs(30);
/// How long the count of a peer is used.
const REPORT_MEMORY: TimeSpan = TimeSpan::from_secs(10);

/// The highest cost of a request. Callers state it, and sums of costs must not overflow.
const MAX_COST: QuotaAmount = QuotaAmount(1_000_000_000_000);

/// Returns for how long a grant is valid, from the time when it was asked for. In a window, an
/// entry may also spend what was granted within this time before the window.
pub fn grant_ttl(window: TimeSpan, overage: f64) -> TimeSpan {
    let ttl = TimeSpan::from_secs_f64(window.as_secs_f64() * overage / GRANT_OVERAGE_PARTS);
    ttl.clamp(MIN_GRANT_TTL, MAX_GRANT_TTL)
}

/// What requests cost: tokens, or their number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct QuotaAmount(pub u64);

impl QuotaAmount {
    /// Nothing.
    pub const ZERO: Self = Self(0);

    fn weight(self) -> i128 {
        i128::from(self.0) * TOKEN_COST
    }

    /// Returns the whole units of a balance.
    fn of_weight(weight: i128) -> Self {
        Self(u64::try_from(weight.max(0) / TOKEN_COST).unwrap_or(u64::MAX))
    }
}

/// What the cost of a request is measured in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaUnit {
    /// Each request costs 1.
    Request,
    /// A request costs its tokens.
    Token {
        /// The cost of a request that does not state them.
        plain: QuotaAmount,
    },
}

/// The quota of one team.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TeamQuota {
    /// The rate, in thousandths of a unit per second.
    pub rate: RequestRate,
    /// How much of the quota accumulates while it is not used.
    pub burst: QuotaAmount,
    /// The unit of rate and burst.
    pub unit: QuotaUnit,
}

impl TeamQuota {
    /// Returns the cost of a request that states this many tokens.
    pub fn cost(&self, tokens: Option<QuotaAmount>) -> QuotaAmount {
        match self.unit {
            QuotaUnit::Request => QuotaAmount(1),
            QuotaUnit::Token { plain } => tokens.unwrap_or(plain).min(MAX_COST),
        }
    }

    /// Returns the part of the quota that belongs to a share of the entries.
    fn share(&self, share: LiveShare) -> Self {
        Self {
            rate: RequestRate(share.of(self.rate.0).max(1)),
            burst: QuotaAmount(share.of(self.burst.0)),
            unit: self.unit,
        }
    }
}

/// A question of an entry to the issuer of a team's quota.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QuotaAsk {
    /// The cost of a request that waits for the reply.
    pub need: QuotaAmount,
    /// What the entry expects to need soon after.
    pub advance: QuotaAmount,
    /// The cost of repeated attempts, which is charged in any case.
    pub debt: QuotaAmount,
}

/// The issuer's reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaReply {
    /// The entry may spend this, which is at least what it needs.
    Granted(QuotaAmount),
    /// The bucket will hold what the request needs only after this time.
    Denied(TimeSpan),
}

/// A reply, and when a grant in it expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimedReply {
    /// The issuer's reply.
    pub reply: QuotaReply,
    /// The time until which a grant may be used, counted from the question.
    pub expires_at: TimePoint,
}

/// What an entry that is no longer the issuer had left, for its successor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuotaTransfer {
    /// The team.
    pub team: TeamId,
    /// The balance of its bucket.
    pub amount: QuotaAmount,
}

/// Issues the quotas of the teams that this entry is the issuer of.
#[derive(Clone, Debug, Default)]
pub struct QuotaIssuer {
    buckets: BTreeMap<TeamId, RateBucket>,
}

impl QuotaIssuer {
    /// Refills the buckets of these teams, and gives up the others. It is called ten times a
    /// second, since a bucket is refilled only while its issuer is sure of its role.
    ///
    /// `share` is `None` while the entry does not know the others yet.
    pub fn tick<'a, I>(
        &mut self,
        held: I,
        share: Option<LiveShare>,
        now: TimePoint,
    ) -> Vec<QuotaTransfer>
    where
        I: IntoIterator<Item = (&'a TeamId, &'a TeamQuota)>,
    {
        let mut former = std::mem::take(&mut self.buckets);
        for (team, quota) in held {
            let bucket = former.remove(team);
            let mut bucket = bucket.unwrap_or_else(|| RateBucket::new(now));
            refill(&mut bucket, quota, share, now);
            self.buckets.insert(team.clone(), bucket);
        }
        let given_up = former.into_iter().map(|(team, bucket)| QuotaTransfer {
            team,
            amount: QuotaAmount::of_weight(bucket.balance()),
        });
        given_up
            .filter(|transfer| transfer.amount > QuotaAmount::ZERO)
            .collect()
    }

    /// Takes over what the former issuer of a team's quota had left. The next refill cuts it to what
    /// the bucket may hold.
    pub fn receive(&mut self, transfer: &QuotaTransfer, now: TimePoint) {
        let bucket = self.bucket(&transfer.team, now);
        bucket.deposit(transfer.amount.weight());
    }

    /// Returns whether this entry holds something of a team's quota. A former issuer answers until
    /// it has handed over.
    pub fn holds(&self, team: &TeamId) -> bool {
        let bucket = self.buckets.get(team);
        bucket.is_some_and(|bucket| bucket.balance() > 0)
    }

    /// Returns whether this entry has buckets.
    pub fn holds_any(&self) -> bool {
        !self.buckets.is_empty()
    }

    /// Answers an entry that asks for a part of a team's quota.
    ///
    /// A request that costs more than the bucket holds is admitted when that is full, but only by an
    /// issuer that reaches most entries: there is one of those, and the balance pays for it later.
    ///
    /// Returns `None` if this entry has just started and has nothing: the former issuer may.
    pub fn issue(
        &mut self,
        team: &TeamId,
        quota: &TeamQuota,
        share: Option<LiveShare>,
        ask: &QuotaAsk,
        now: TimePoint,
    ) -> Option<QuotaReply> {
        let bucket = self.bucket(team, now);
        refill(bucket, quota, share, now);
        bucket.force(ask.debt.weight());
        if ask.need == QuotaAmount::ZERO {
            return Some(QuotaReply::Granted(QuotaAmount::ZERO));
        }
        let Some(share) = share else {
            let taken = bucket.try_take(ask.need.weight(), ask.need.weight());
            return taken.then_some(QuotaReply::Granted(ask.need));
        };
        let part = quota.share(share);
        let exceeds = ask.need > part.burst;
        let price = match exceeds && share.is_majority() {
            true => part.burst,
            false => ask.need,
        };
        if bucket.try_take(ask.need.weight(), price.weight()) {
            // From a low bucket nothing is granted in advance: another entry may need it first.
            let rest = QuotaAmount::of_weight(bucket.balance() - part.burst.weight() / 2);
            let advance = ask.advance.min(rest);
            bucket.force(advance.weight());
            return Some(QuotaReply::Granted(QuotaAmount(ask.need.0 + advance.0)));
        }
        let wait = match price > part.burst {
            true => ISOLATED_WAIT,
            false => refill_time(price.weight() - bucket.balance(), part.rate),
        };
        Some(QuotaReply::Denied(wait))
    }

    fn bucket(&mut self, team: &TeamId, now: TimePoint) -> &mut RateBucket {
        let bucket = self.buckets.entry(team.clone());
        bucket.or_insert_with(|| RateBucket::new(now))
    }
}

fn refill(bucket: &mut RateBucket, quota: &TeamQuota, share: Option<LiveShare>, now: TimePoint) {
    match share {
        Some(share) => {
            let part = quota.share(share);
            bucket.refill(part.rate, part.burst.weight(), MAX_REFILL_SPAN, now);
        }
        None => bucket.refill(RequestRate::ZERO, quota.burst.weight(), TimeSpan::ZERO, now),
    }
}

/// The demand of a team at one entry, by spans of [`DEMAND_SPAN`].
#[derive(Clone, Copy, Debug, Default)]
struct DemandMeter {
    began_at: TimePoint,
    requests: u64,
    cost: u64,
    /// The demand in the span before, which a sudden burst does not raise.
    sustained_requests: u64,
    sustained_cost: u64,
}

impl DemandMeter {
    fn record(&mut self, cost: QuotaAmount, now: TimePoint) {
        let span = now.since(self.began_at);
        if span >= DEMAND_SPAN {
            let adjacent = span < DEMAND_SPAN + DEMAND_SPAN;
            *self = Self {
                began_at: now,
                sustained_requests: if adjacent { self.requests } else { 0 },
                sustained_cost: if adjacent { self.cost } else { 0 },
                ..Self::default()
            };
        }
        self.requests += 1;
        self.cost = self.cost.saturating_add(cost.0);
    }

    /// Returns what to ask for in advance: nothing if no request is expected within the span, since
    /// the team would lose it, and no more than the rate yields in that span.
    fn advance(&self, rate: RequestRate) -> QuotaAmount {
        let spans = DEMAND_SPAN.0 / ADVANCE_SPAN.0;
        let most = rate.0 / 1_000;
        match self.sustained_requests >= spans {
            true => QuotaAmount(self.sustained_cost.min(most) / spans),
            false => QuotaAmount::ZERO,
        }
    }
}

/// A denial by the issuer.
#[derive(Clone, Copy, Debug)]
struct QuotaDenial {
    need: QuotaAmount,
    denied_at: TimePoint,
    /// When the bucket will hold this at the earliest.
    ready_at: TimePoint,
    /// When the issuer is asked again. By then another entry may be the issuer.
    ask_again_at: TimePoint,
}

/// A team's account at one entry.
#[derive(Clone, Debug)]
struct TeamAccount {
    quota: TeamQuota,
    demand: DemandMeter,
    /// What is left of grants, by the time when they expire.
    grants: BTreeMap<TimePoint, u64>,
    denial: Option<QuotaDenial>,
    /// The earliest time that the next refused request is told.
    next_slot_at: TimePoint,
    /// The entry's own share, which accumulates while the issuer does not answer.
    own: Option<RateBucket>,
    debt: QuotaAmount,
}

/// A part of a team's quota that a request may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaGrant {
    /// The cost of the request.
    pub amount: QuotaAmount,
    /// The time until which an unused grant serves another request.
    pub expires_at: TimePoint,
}

/// What happens to a request of a team with a quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaStep {
    /// It is within the quota.
    Charged(QuotaGrant),
    /// It is over the quota, and may be within it after this time.
    Refused(TimeSpan),
    /// The issuer has to be asked.
    Ask(QuotaAsk),
}

/// The accounts of an entry for the teams with quotas.
#[derive(Clone, Debug, Default)]
pub struct QuotaLedger {
    accounts: BTreeMap<TeamId, TeamAccount>,
}

impl QuotaLedger {
    /// Decides on a new request.
    pub fn admit(
        &mut self,
        team: &TeamId,
        quota: &TeamQuota,
        cost: QuotaAmount,
        now: TimePoint,
    ) -> QuotaStep {
        let account = self.account(team, quota);
        account.demand.record(cost, now);
        account.check(cost, now)
    }

    /// Decides on a request whose question to the issuer has had no reply, before it is repeated.
    pub fn check(
        &mut self,
        team: &TeamId,
        quota: &TeamQuota,
        cost: QuotaAmount,
        now: TimePoint,
    ) -> QuotaStep {
        self.account(team, quota).check(cost, now)
    }

    /// Applies the issuer's reply to the request that waited for it. A grant that has expired on the
    /// way is not used.
    pub fn apply(
        &mut self,
        team: &TeamId,
        quota: &TeamQuota,
        cost: QuotaAmount,
        timed: TimedReply,
        now: TimePoint,
    ) -> QuotaStep {
        let account = self.account(team, quota);
        account.own = None;
        match timed.reply {
            QuotaReply::Granted(amount) => {
                account.add(amount, timed.expires_at, now);
                account.check(cost, now)
            }
            QuotaReply::Denied(wait) => {
                // Requests that asked at the same time may have left something.
                if let Some(grant) = account.spend(cost, now) {
                    return QuotaStep::Charged(grant);
                }
                let need = account.missing(cost, now);
                // Of replies to the same question, the one that came back soonest tells best.
                let former = account.denial;
                let former = former.filter(|denial| denial.ready_at > now && denial.need >= need);
                let ready_at = now + wait;
                let ready_at = former.map_or(ready_at, |denial| denial.ready_at.min(ready_at));
                account.denial = Some(QuotaDenial {
                    need,
                    denied_at: now,
                    ready_at,
                    ask_again_at: ready_at.min(now + MAX_DENIAL),
                });
                QuotaStep::Refused(account.next_slot(need, now))
            }
        }
    }

    /// Keeps a grant whose request no longer waits for it, or one that a request did not use.
    pub fn keep(
        &mut self,
        team: &TeamId,
        amount: QuotaAmount,
        expires_at: TimePoint,
        now: TimePoint,
    ) {
        if let Some(account) = self.accounts.get_mut(team) {
            account.add(amount, expires_at, now);
        }
    }

    /// Decides on a request whose issuer does not answer: it is served from the share of this entry,
    /// one of `known`. The share accumulates only from the first such request on.
    pub fn fall_back(
        &mut self,
        team: &TeamId,
        quota: &TeamQuota,
        cost: QuotaAmount,
        known: u64,
        now: TimePoint,
    ) -> QuotaStep {
        let part = quota.share(LiveShare { live: 1, known });
        let account = self.account(team, quota);
        let own = account.own.get_or_insert_with(|| RateBucket::new(now));
        own.refill(part.rate, part.burst.weight(), MAX_REFILL_SPAN, now);
        if own.try_take(cost.weight(), cost.weight()) {
            return QuotaStep::Charged(QuotaGrant {
                amount: cost,
                expires_at: now,
            });
        }
        let wait = match cost > part.burst {
            true => ISOLATED_WAIT,
            false => refill_time(cost.weight() - own.balance(), part.rate),
        };
        QuotaStep::Refused(wait)
    }

    /// Returns the age of the issuer's last denial.
    pub fn denial_age(&self, team: &TeamId, now: TimePoint) -> Option<TimeSpan> {
        let denial = self.accounts.get(team)?.denial?;
        Some(now.since(denial.denied_at))
    }

    /// Charges a further attempt at a request after one that may have run.
    pub fn charge_again(&mut self, team: &TeamId, cost: QuotaAmount) {
        if let Some(account) = self.accounts.get_mut(team) {
            account.debt.0 += cost.0;
        }
    }

    /// Takes back the charge of a further attempt that did not run, unless the issuer knows of it.
    pub fn cancel_charge(&mut self, team: &TeamId, cost: QuotaAmount) {
        if let Some(account) = self.accounts.get_mut(team) {
            account.debt.0 = account.debt.0.saturating_sub(cost.0);
        }
    }

    /// Returns what further attempts have cost since the last call, to be reported to the issuers.
    pub fn take_debts(&mut self) -> Vec<(TeamId, QuotaAmount)> {
        let debts = self.accounts.iter_mut();
        let debts = debts.map(|(team, account)| (team.clone(), std::mem::take(&mut account.debt)));
        debts
            .filter(|(_, debt)| *debt > QuotaAmount::ZERO)
            .collect()
    }

    /// Removes the accounts of teams that have no quota any more.
    pub fn retain<F>(&mut self, has_quota: F)
    where
        F: Fn(&TeamId) -> bool,
    {
        self.accounts.retain(|team, _| has_quota(team));
    }

    fn account(&mut self, team: &TeamId, quota: &TeamQuota) -> &mut TeamAccount {
        let account = self.accounts.entry(team.clone());
        let account = account.or_insert_with(|| TeamAccount {
            quota: *quota,
            demand: DemandMeter::default(),
            grants: BTreeMap::new(),
            denial: None,
            next_slot_at: TimePoint::START,
            own: None,
            debt: QuotaAmount::ZERO,
        });
        if account.quota != *quota {
            account.quota = *quota;
            account.denial = None;
            account.next_slot_at = TimePoint::START;
        }
        account
    }
}

impl TeamAccount {
    fn check(&mut self, cost: QuotaAmount, now: TimePoint) -> QuotaStep {
        if let Some(grant) = self.spend(cost, now) {
            return QuotaStep::Charged(grant);
        }
        let need = self.missing(cost, now);
        let denied = self.denial;
        if denied.is_some_and(|denial| now < denial.ask_again_at && need >= denial.need) {
            return QuotaStep::Refused(self.next_slot(need, now));
        }
        QuotaStep::Ask(QuotaAsk {
            need,
            advance: self.demand.advance(self.quota.rate),
            debt: std::mem::take(&mut self.debt),
        })
    }

    fn add(&mut self, amount: QuotaAmount, expires_at: TimePoint, now: TimePoint) {
        if expires_at > now && amount > QuotaAmount::ZERO {
            *self.grants.entry(expires_at).or_default() += amount.0;
        }
    }

    /// Returns what grants do not cover of a cost. Those that may expire before the issuer has
    /// replied do not count.
    fn missing(&self, cost: QuotaAmount, now: TimePoint) -> QuotaAmount {
        let lasting = self.grants.range(now + REPLY_MARGIN..);
        let left: u64 = lasting.map(|(_, amount)| *amount).sum();
        QuotaAmount(cost.0.saturating_sub(left).max(1))
    }

    /// Takes the cost of a request from the grants, those that expire first before the others.
    fn spend(&mut self, cost: QuotaAmount, now: TimePoint) -> Option<QuotaGrant> {
        self.grants.retain(|expires_at, _| *expires_at > now);
        if self.grants.values().sum::<u64>() < cost.0 {
            return None;
        }
        let mut grant = QuotaGrant {
            amount: cost,
            expires_at: now,
        };
        let mut missing = cost.0;
        while let Some(mut first) = self.grants.first_entry().filter(|_| missing > 0) {
            // Taken back, the cost expires with the first of its parts.
            if missing == cost.0 {
                grant.expires_at = *first.key();
            }
            let part = missing.min(*first.get());
            missing -= part;
            *first.get_mut() -= part;
            if *first.get() == 0 {
                first.remove();
            }
        }
        Some(grant)
    }

    /// Returns the time after which a refused request may be within the quota, and gives the next
    /// one a later time. If all were told the same time, they would come back together.
    fn next_slot(&mut self, need: QuotaAmount, now: TimePoint) -> TimeSpan {
        let Some(denial) = self.denial else {
            return TimeSpan::ZERO;
        };
        let more = need.weight() - denial.need.weight();
        let earliest = denial.ready_at + refill_time(more, self.quota.rate);
        let slot_at = self.next_slot_at.clamp(earliest, earliest + MAX_SPREAD);
        self.next_slot_at = slot_at + refill_time(need.weight(), self.quota.rate);
        slot_at.since(now)
    }
}

/// The number of entries that share the quotas.
///
/// The registration of an entry that is cut off from the store expires while it still serves, so an
/// entry counts for [`ENTRY_MEMORY`] after it was last listed. An entry that has just started takes
/// over what the others know.
#[derive(Clone, Debug, Default)]
pub struct EntryCensus {
    listed_at: BTreeMap<InstanceId, TimePoint>,
    /// The counts of the peers, and when they arrived.
    reported: BTreeMap<InstanceId, (u64, TimePoint)>,
    /// The entries that have announced their end, and when.
    retired_at: BTreeMap<InstanceId, TimePoint>,
}

impl EntryCensus {
    /// Records the other entries that are listed or heard now.
    pub fn note_listed<I>(&mut self, entries: I, now: TimePoint)
    where
        I: IntoIterator<Item = InstanceId>,
    {
        self.retired_at
            .retain(|_, retired_at| now.since(*retired_at) < RETIREMENT_MEMORY);
        let counted = entries.into_iter();
        let counted = counted.filter(|entry| !self.retired_at.contains_key(entry));
        self.listed_at.extend(counted.map(|entry| (entry, now)));
        self.listed_at
            .retain(|_, listed_at| now.since(*listed_at) < ENTRY_MEMORY);
        self.reported
            .retain(|_, (_, at)| now.since(*at) < REPORT_MEMORY);
    }

    /// Records the count of a peer.
    pub fn note_report(&mut self, peer: &InstanceId, known: u64, now: TimePoint) {
        self.retired_at.remove(peer);
        self.reported.insert(peer.clone(), (known, now));
    }

    /// Records that a peer is about to end: it issues nothing more and has no share of its own.
    pub fn note_retirement(&mut self, peer: &InstanceId, now: TimePoint) {
        self.listed_at.remove(peer);
        self.reported.remove(peer);
        self.retired_at.insert(peer.clone(), now);
    }

    /// Returns whether an entry has announced its end.
    pub fn is_retired(&self, entry: &InstanceId) -> bool {
        self.retired_at.contains_key(entry)
    }

    /// Returns the number of entries that this one knows by itself, itself included.
    pub fn listed(&self) -> u64 {
        self.listed_at.len() as u64 + 1
    }

    /// Returns the number of entries, itself included.
    pub fn known(&self) -> u64 {
        let reported = self.reported.values().map(|(known, _)| *known).max();
        self.listed().max(reported.unwrap_or(0))
    }
}
