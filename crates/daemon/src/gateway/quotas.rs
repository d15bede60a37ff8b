//! Quotas of teams, which hold for all entries together.
//!
//! The entry asks the issuer of a team's quota over the gossip socket, and answers for the teams
//! that it is the issuer of itself. Decisions are made in `applefold_core::direct`.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use applefold_core::code::{CallRefusal, ResultCode};
use applefold_core::direct::{
    choose_issuer, choose_successor, grant_ttl, AttemptEnd, EntryCensus, IssuerChoice, LiveShare,
    PeerReach, PlacementWork, QuotaAmount, QuotaAsk, QuotaGrant, QuotaIssuer, QuotaLedger,
    QuotaReply, QuotaStep, QuotaTransfer, RuleSet, TeamQuota, TimedReply,
};
use applefold_core::id::{InstanceId, TeamId};
use applefold_core::rank::NameRank;
use applefold_core::unit::{TimePoint, TimeSpan};
use opentelemetry::KeyValue;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::sync::oneshot;

use super::gossip;
use super::messages::GossipPayload;
use super::peers::reader_name_rank;
use super::state::GatewayState;

/// How long a request waits for the issuer's reply, by question. It asks twice, since a lost
/// datagram must not refuse a request.
const REPLY_TIMEOUTS: [Duration; 2] = [Duration::from_millis(50), Duration::from_millis(100)];
/// The interval at which buckets are refilled: half of the longest span that is refilled at once.
const TICK_PERIOD: Duration = Duration::from_millis(100);
/// The number of known entries is sent every this many ticks.
const COUNT_TICKS: u64 = 10;
/// `Retry-After` of an entry that is about to end and gets no reply from the issuer. It has given up
/// its own share; another entry serves the next attempt.
const RETIRED_WAIT: TimeSpan = TimeSpan::from_millis(100);
/// The time after its start by which an entry knows the others, or nobody can tell it. Before that
/// it issues nothing by itself.
const DISCOVERY_TIME: TimeSpan = TimeSpan::from_millis(1_500);

/// A question to the issuer of a team's quota.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct QuotaRequest {
    /// Identifies the request in the reply.
    ticket: u64,
    team: SmolStr,
    /// The cost of the request that waits; 0 if the sender only reports `debt` and wants no reply.
    need: u64,
    /// What the sender expects to need soon after.
    advance: u64,
    /// The cost of repeated attempts since the last question.
    debt: u64,
}

/// The issuer's reply.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct QuotaAnswer {
    ticket: u64,
    verdict: QuotaVerdict,
}

/// The outcome of a question.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
enum QuotaVerdict {
    /// The sender may spend this.
    Granted(u64),
    /// The bucket will hold what the request needs after this time, in microseconds.
    Denied(u64),
    /// The receiver is not the issuer, or knows no quota of the team.
    NotIssuer,
}

/// What the sender, a former issuer or the entry of a request that did not run, has left of a team's
/// quota.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct QuotaHandover {
    team: SmolStr,
    amount: u64,
}

/// What an entry says of the number of entries.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) enum EntryCount {
    /// It knows this many.
    Known(u32),
    /// It is about to end, and issues nothing more.
    Retiring,
}

/// A question that has not been answered.
#[derive(Debug)]
struct PendingQuota {
    team: TeamId,
    asked_at: TimePoint,
    /// When a grant expires.
    expires_at: TimePoint,
    /// The request that waits for the reply; gone once it has stopped waiting.
    reply: oneshot::Sender<Option<QuotaReply>>,
}

/// The quotas that this entry issues, asks for and has left.
#[derive(Debug, Default)]
pub(crate) struct QuotaDesk {
    issuer: RefCell<QuotaIssuer>,
    ledger: RefCell<QuotaLedger>,
    census: RefCell<EntryCensus>,
    /// When [`run`] has started; `None` before.
    started_at: Cell<Option<TimePoint>>,
    /// Whether this entry was about to end at the last tick.
    retiring: Cell<bool>,
    last_ticket: Cell<u64>,
    pending: RefCell<BTreeMap<u64, PendingQuota>>,
}

/// What a request costs of its team's quota. If the request has not run, the cost is returned.
pub(crate) struct QuotaCharge {
    state: Rc<GatewayState>,
    team: TeamId,
    grant: QuotaGrant,
    /// The attempts that have run, or may have.
    attempts: Cell<u32>,
    /// Whether an engine prefills the prompt or has prefilled it.
    prefilled: Cell<bool>,
    /// Whether the request costs more than its team's burst.
    exceeds_burst: bool,
}

impl QuotaCharge {
    /// Charges an attempt that begins. The first one is paid already, and so is its prefill.
    pub(crate) fn begin(&self, work: PlacementWork) {
        match work {
            PlacementWork::Prefill => self.prefilled.set(true),
            PlacementWork::Run => {
                if self.attempts.get() > 0 {
                    let mut ledger = self.state.quotas.ledger.borrow_mut();
                    ledger.charge_again(&self.team, self.grant.amount);
                }
                self.attempts.set(self.attempts.get() + 1);
            }
        }
    }

    /// Records how an attempt ended that did not succeed. One that did not run costs nothing.
    pub(crate) fn settle(&self, work: PlacementWork, end: AttemptEnd) {
        let unrun = matches!(end, AttemptEnd::NotSent | AttemptEnd::NotRun { .. });
        match (work, unrun) {
            (PlacementWork::Prefill, true) => self.prefilled.set(false),
            // The next attempt computes the prompt again.
            (PlacementWork::Prefill, false) => self.attempts.set(self.attempts.get() + 1),
            (PlacementWork::Run, false) => {}
            (PlacementWork::Run, true) => {
                self.attempts.set(self.attempts.get().saturating_sub(1));
                if self.attempts.get() > 0 {
                    let mut ledger = self.state.quotas.ledger.borrow_mut();
                    ledger.cancel_charge(&self.team, self.grant.amount);
                }
            }
        }
    }
}

impl Drop for QuotaCharge {
    fn drop(&mut self) {
        if self.attempts.get() == 0 && !self.prefilled.get() {
            let (grant, now) = (self.grant, self.state.now());
            if self.exceeds_burst {
                // The issuer's balance is negative; no other request would use such a grant up.
                self.state.return_quota(&self.team, grant.amount);
                return;
            }
            let mut ledger = self.state.quotas.ledger.borrow_mut();
            ledger.keep(&self.team, grant.amount, grant.expires_at, now);
        }
    }
}

/// The entry that issues the quota of a team.
enum IssuerEntry {
    Own,
    Peer(InstanceId, SocketAddr),
}

/// How a request was decided, for the log and the metrics.
#[derive(Clone, Copy, PartialEq, Eq)]
enum CheckSource {
    /// From a grant or a denial that the entry had.
    Known,
    /// By the issuer.
    Issuer,
    /// From the entry's own share, since the issuer did not answer.
    OwnShare,
}

impl CheckSource {
    const fn name(self, charged: bool) -> &'static str {
        match (self, charged) {
            (Self::Known, true) => "granted ahead",
            (Self::Known, false) => "denied before",
            (Self::Issuer, true) => "granted",
            (Self::Issuer, false) => "denied",
            (Self::OwnShare, true) => "own share",
            (Self::OwnShare, false) => "over own share",
        }
    }
}

/// Keeps the buckets of this entry filled for as long as the process runs.
pub(crate) async fn run(state: Rc<GatewayState>) {
    state.quotas.started_at.set(Some(state.now()));
    let mut ticks: u64 = 0;
    loop {
        actix_rt::time::sleep(TICK_PERIOD).await;
        ticks += 1;
        if let Some(rules) = state.rules() {
            state.tick_quotas(&rules, ticks.is_multiple_of(COUNT_TICKS));
        }
    }
}

impl GatewayState {
    /// Charges a request to the quota of its team. `request` is for the log.
    ///
    /// # Errors
    ///
    /// Refuses with [`ResultCode::TeamOverLimit`] and the time after which to retry.
    pub(crate) async fn charge_quota(
        self: &Rc<Self>,
        team: &TeamId,
        quota: &TeamQuota,
        cost: QuotaAmount,
        request: &str,
    ) -> Result<QuotaCharge, CallRefusal> {
        let asked_at = self.now();
        let (mut source, mut issuer) = (CheckSource::Known, None);
        // A peer that is to be the issuer, but has just started and has nothing to issue.
        let mut declined = None;
        let desk = &self.quotas;
        let mut step = desk.ledger.borrow_mut().admit(team, quota, cost, asked_at);
        for timeout in REPLY_TIMEOUTS {
            let QuotaStep::Ask(ask) = step else {
                break;
            };
            source = CheckSource::Issuer;
            let expires_at = self.now() + self.grant_ttl();
            let reply = match self.quota_issuer(team, declined.as_ref()) {
                IssuerEntry::Own => {
                    issuer = Some(self.settings().instance.clone());
                    let holds = declined.is_none() || desk.issuer.borrow().holds(team);
                    let reply = holds.then(|| self.issue_quota(team, quota, &ask));
                    reply.flatten()
                }
                IssuerEntry::Peer(id, address) => {
                    let asked = self.ask_quota(team, &ask, address, expires_at);
                    let replied = tokio::time::timeout(timeout, asked).await;
                    if let Ok(None) = replied {
                        declined = Some(id.clone());
                    }
                    issuer = Some(id);
                    replied.ok().flatten()
                }
            };
            let (now, mut ledger) = (self.now(), desk.ledger.borrow_mut());
            step = match reply {
                Some(reply) => {
                    let timed = TimedReply { reply, expires_at };
                    ledger.apply(team, quota, cost, timed, now)
                }
                None => ledger.check(team, quota, cost, now),
            };
        }
        let now = self.now();
        if let QuotaStep::Ask(_) = step {
            source = CheckSource::OwnShare;
            let known = desk.census.borrow().known();
            let mut ledger = desk.ledger.borrow_mut();
            step = match self.drain.borrow().is_stopping() {
                true => QuotaStep::Refused(RETIRED_WAIT),
                false => ledger.fall_back(team, quota, cost, known, now),
            };
        }
        let charged = matches!(step, QuotaStep::Charged(_));
        let outcome = source.name(charged);
        let label = KeyValue::new("outcome", outcome);
        self.metrics.quota_checks.add(1, &[label]);
        let wait = match step {
            QuotaStep::Charged(grant) if source != CheckSource::OwnShare => {
                return Ok(self.quota_charge(team, quota, grant));
            }
            QuotaStep::Charged(_) => TimeSpan::ZERO,
            QuotaStep::Refused(wait) => wait,
            QuotaStep::Ask(_) => TimeSpan::ZERO,
        };
        let text = match charged {
            true => "request charged to the entry's own share: the issuer did not answer",
            false => "request refused: the team is over its quota",
        };
        let denial_age = desk.ledger.borrow().denial_age(team, now);
        log::info!(request, team = team.as_str(), cost = cost.0, rate = quota.rate.to_string(),
            burst = quota.burst.0, issuer = issuer.as_ref().map_or("", InstanceId::as_str), outcome,
            asked_ms = now.since(asked_at).as_millis(),
            denied_ms = denial_age.map_or(0, TimeSpan::as_millis),
            known = desk.census.borrow().known(), wait_ms = wait.as_millis(); "{text}");
        match step {
            QuotaStep::Charged(grant) => Ok(self.quota_charge(team, quota, grant)),
            QuotaStep::Refused(_) | QuotaStep::Ask(_) => {
                Err(CallRefusal::retryable(ResultCode::TeamOverLimit, wait))
            }
        }
    }

    /// Answers a peer that asks for a part of a team's quota.
    pub(crate) fn answer_quota(&self, from: SocketAddr, request: &QuotaRequest) {
        let verdict = self.quota_verdict(request);
        if request.need == 0 {
            return;
        }
        let answer = QuotaAnswer {
            ticket: request.ticket,
            verdict,
        };
        gossip::send_to(self, from, GossipPayload::QuotaAnswer(answer));
    }

    fn quota_verdict(&self, request: &QuotaRequest) -> QuotaVerdict {
        let Some((team, quota)) = self.held_quota(&request.team) else {
            return QuotaVerdict::NotIssuer;
        };
        let ask = QuotaAsk {
            need: QuotaAmount(request.need),
            advance: QuotaAmount(request.advance),
            debt: QuotaAmount(request.debt),
        };
        match self.issue_quota(&team, &quota, &ask) {
            Some(QuotaReply::Granted(amount)) => QuotaVerdict::Granted(amount.0),
            Some(QuotaReply::Denied(wait)) => QuotaVerdict::Denied(wait.0),
            None => QuotaVerdict::NotIssuer,
        }
    }

    /// Passes the issuer's reply on to the request that waits for it. A grant that comes too late for
    /// its request is kept for the next ones.
    pub(crate) fn receive_quota(&self, answer: &QuotaAnswer) {
        let pending = self.quotas.pending.borrow_mut().remove(&answer.ticket);
        let Some(pending) = pending else {
            return;
        };
        let reply = match answer.verdict {
            QuotaVerdict::Granted(amount) => Some(QuotaReply::Granted(QuotaAmount(amount))),
            QuotaVerdict::Denied(wait) => Some(QuotaReply::Denied(TimeSpan(wait))),
            QuotaVerdict::NotIssuer => None,
        };
        let unclaimed = pending.reply.send(reply).is_err();
        if let (true, Some(QuotaReply::Granted(amount))) = (unclaimed, reply) {
            let label = KeyValue::new("outcome", "late");
            self.metrics.quota_checks.add(1, &[label]);
            let mut ledger = self.quotas.ledger.borrow_mut();
            ledger.keep(&pending.team, amount, pending.expires_at, self.now());
        }
    }

    /// Adds what a peer had left of a team's quota to the bucket.
    pub(crate) fn receive_handover(&self, peer: &InstanceId, handover: &QuotaHandover) {
        let team = handover.team.parse::<TeamId>();
        // A sender that is about to end may still count as the issuer here.
        let issues =
            |team: &TeamId| matches!(self.quota_issuer(team, Some(peer)), IssuerEntry::Own);
        let team = team.ok().filter(issues);
        let Some(team) = team else {
            log::debug!(peer = peer.as_str(), team = handover.team.as_str();
                "unused quota of a team ignored: this entry does not issue the team's quota");
            return;
        };
        log::info!(peer = peer.as_str(), team = team.as_str(), amount = handover.amount;
            "unused quota of a team received");
        let amount = QuotaAmount(handover.amount);
        let transfer = QuotaTransfer { team, amount };
        let now = self.now();
        self.quotas.issuer.borrow_mut().receive(&transfer, now);
    }

    /// Records what a peer says of the number of entries.
    pub(crate) fn note_entry_count(&self, peer: &InstanceId, count: EntryCount, now: TimePoint) {
        let mut census = self.quotas.census.borrow_mut();
        match count {
            EntryCount::Known(known) => census.note_report(peer, u64::from(known), now),
            EntryCount::Retiring => census.note_retirement(peer, now),
        }
    }

    /// Refills the buckets of this entry, passes on those that it no longer holds, and reports the
    /// cost of repeated attempts.
    fn tick_quotas(&self, rules: &RuleSet, send_count: bool) {
        let now = self.now();
        let own = self.settings().instance.clone();
        let quotas = rules
            .teams
            .iter()
            .filter_map(|(team, rule)| Some((team, rule.quota.as_ref()?)));
        let quotas: BTreeMap<&TeamId, &TeamQuota> = quotas.collect();
        if quotas.is_empty() && !self.quotas.issuer.borrow().holds_any() {
            return;
        }
        let peers: Vec<InstanceId> = self.peers.borrow().names().cloned().collect();
        self.quotas.census.borrow_mut().note_listed(peers, now);
        let retiring = self.drain.borrow().is_stopping();
        // The successors first get what this entry holds; until the others hear of the end, they
        // still ask here and are referred on.
        let announces = self.quotas.retiring.replace(retiring);
        if announces || (send_count && !retiring) {
            let listed = self.quotas.census.borrow().listed();
            let count = match retiring {
                true => EntryCount::Retiring,
                false => EntryCount::Known(u32::try_from(listed).unwrap_or(u32::MAX)),
            };
            for address in self.peers.borrow().addresses() {
                gossip::send_to(self, address, GossipPayload::EntryCount(count));
            }
        }
        let reach = self.quota_reach(None, now);
        let own_rank = reader_name_rank(&own);
        let held = quotas.iter().filter(|(team, _)| {
            !retiring && choose_issuer(own_rank, &reach, team_rank(team)) == IssuerChoice::Own
        });
        let held = held.map(|(team, quota)| (*team, *quota));
        let share = self.quota_share();
        let transfers = self.quotas.issuer.borrow_mut().tick(held, share, now);
        let debts = {
            let mut ledger = self.quotas.ledger.borrow_mut();
            ledger.retain(|team| quotas.contains_key(team));
            ledger.take_debts()
        };
        for transfer in transfers {
            self.hand_over(&transfer);
        }
        for (team, debt) in debts {
            if let Some(quota) = quotas.get(&team) {
                self.report_debt(&team, quota, debt);
            }
        }
    }

    /// Returns to the issuer what a request has not used.
    fn return_quota(&self, team: &TeamId, amount: QuotaAmount) {
        let transfer = QuotaTransfer {
            team: team.clone(),
            amount,
        };
        match self.quota_issuer(team, None) {
            IssuerEntry::Own => {
                let now = self.now();
                self.quotas.issuer.borrow_mut().receive(&transfer, now);
            }
            IssuerEntry::Peer(..) => self.hand_over(&transfer),
        }
    }

    fn hand_over(&self, transfer: &QuotaTransfer) {
        let IssuerEntry::Peer(id, address) = self.quota_issuer(&transfer.team, None) else {
            return;
        };
        log::info!(issuer = id.as_str(), team = transfer.team.as_str(), amount = transfer.amount.0;
            "unused quota of a team passed to its issuer");
        if self.drain.borrow().is_stopping() {
            let retiring = GossipPayload::EntryCount(EntryCount::Retiring);
            gossip::send_to(self, address, retiring);
        }
        let handover = QuotaHandover {
            team: SmolStr::new(transfer.team.as_str()),
            amount: transfer.amount.0,
        };
        gossip::send_to(self, address, GossipPayload::QuotaHandover(handover));
    }

    fn report_debt(&self, team: &TeamId, quota: &TeamQuota, debt: QuotaAmount) {
        let ask = QuotaAsk {
            debt,
            ..QuotaAsk::default()
        };
        match self.quota_issuer(team, None) {
            IssuerEntry::Own => {
                self.issue_quota(team, quota, &ask);
            }
            IssuerEntry::Peer(_, address) => {
                let request = quota_request(0, team, &ask);
                gossip::send_to(self, address, GossipPayload::QuotaRequest(request));
            }
        }
    }

    fn quota_charge(
        self: &Rc<Self>,
        team: &TeamId,
        quota: &TeamQuota,
        grant: QuotaGrant,
    ) -> QuotaCharge {
        QuotaCharge {
            state: Rc::clone(self),
            team: team.clone(),
            grant,
            attempts: Cell::new(0),
            prefilled: Cell::new(false),
            exceeds_burst: grant.amount > quota.burst,
        }
    }

    fn issues_quota(&self, team: &TeamId) -> bool {
        matches!(self.quota_issuer(team, None), IssuerEntry::Own)
    }

    /// Returns the quota of a team that this entry is the issuer of, or has been and still holds
    /// something of.
    fn held_quota(&self, team: &str) -> Option<(TeamId, TeamQuota)> {
        let team = team.parse::<TeamId>().ok()?;
        let quota = self.rules()?.teams.get(&team)?.quota?;
        let held = self.quotas.issuer.borrow().holds(&team) || self.issues_quota(&team);
        held.then_some((team, quota))
    }

    fn issue_quota(&self, team: &TeamId, quota: &TeamQuota, ask: &QuotaAsk) -> Option<QuotaReply> {
        let (share, now) = (self.quota_share(), self.now());
        let mut issuer = self.quotas.issuer.borrow_mut();
        issuer.issue(team, quota, share, ask, now)
    }

    /// Asks the issuer; `None` if it is not the issuer.
    async fn ask_quota(
        &self,
        team: &TeamId,
        ask: &QuotaAsk,
        issuer: SocketAddr,
        expires_at: TimePoint,
    ) -> Option<QuotaReply> {
        let desk = &self.quotas;
        let (ticket, asked_at) = (desk.last_ticket.get() + 1, self.now());
        desk.last_ticket.set(ticket);
        let (reply, replied) = oneshot::channel();
        let pending = PendingQuota {
            team: team.clone(),
            asked_at,
            expires_at,
            reply,
        };
        {
            let (mut waiting, ttl) = (desk.pending.borrow_mut(), self.grant_ttl());
            waiting.retain(|_, pending| asked_at.since(pending.asked_at) < ttl);
            waiting.insert(ticket, pending);
        }
        let request = quota_request(ticket, team, ask);
        gossip::send_to(self, issuer, GossipPayload::QuotaRequest(request));
        replied.await.ok().flatten()
    }

    /// Returns the entry that issues the quota of a team, as far as this entry can tell.
    fn quota_issuer(&self, team: &TeamId, declined: Option<&InstanceId>) -> IssuerEntry {
        let own = reader_name_rank(&self.settings().instance);
        let (reach, team) = (self.quota_reach(declined, self.now()), team_rank(team));
        let index = match self.drain.borrow().is_stopping() {
            true => choose_successor(&reach, team),
            false => match choose_issuer(own, &reach, team) {
                IssuerChoice::Own => None,
                IssuerChoice::Peer(index) => Some(index),
            },
        };
        let peer = index.and_then(|index| self.peers.borrow().peer_at(index));
        peer.map_or(IssuerEntry::Own, |(id, address)| {
            IssuerEntry::Peer(id, address)
        })
    }

    /// Returns what this entry knows of the reach of its peers, without those that are about to end.
    fn quota_reach(&self, declined: Option<&InstanceId>, now: TimePoint) -> Vec<PeerReach> {
        let census = self.quotas.census.borrow();
        let own = &self.settings().instance;
        let excluded = |id: &InstanceId| declined == Some(id) || census.is_retired(id);
        self.peers.borrow().reach_without(own, excluded, now)
    }

    /// Returns the share of the quotas that this entry issues; `None` shortly after its start.
    fn quota_share(&self) -> Option<LiveShare> {
        let now = self.now();
        let started_at = self.quotas.started_at.get()?;
        if now.since(started_at) < DISCOVERY_TIME {
            return None;
        }
        let reach = self.quota_reach(None, now);
        let known = self.quotas.census.borrow().known();
        Some(LiveShare::of_peers(&reach, known))
    }

    fn grant_ttl(&self) -> TimeSpan {
        let settings = self.settings();
        grant_ttl(settings.quota_window, settings.quota_overage)
    }
}

fn team_rank(team: &TeamId) -> NameRank {
    NameRank::of("team", team.as_str())
}

fn quota_request(ticket: u64, team: &TeamId, ask: &QuotaAsk) -> QuotaRequest {
    QuotaRequest {
        ticket,
        team: SmolStr::new(team.as_str()),
        need: ask.need.0,
        advance: ask.advance.0,
        debt: ask.debt.0,
    }
}
