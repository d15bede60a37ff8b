//! Entries that share the quota of a team, in virtual time.
//!
//! The tests guard against a team that gets several times its quota, since each entry applies it
//! alone, loses its state or issues while it is cut off, and against requests within the quota that
//! are refused.

use std::collections::BTreeMap;
use std::rc::Rc;

use applefold_core::direct::{
    choose_issuer, choose_successor, grant_ttl, EntryCensus, IssuerChoice, LiveShare, PeerReach,
    QuotaAmount, QuotaIssuer, QuotaLedger, QuotaReply, QuotaStep, QuotaTransfer, QuotaUnit,
    TeamQuota, TimedReply,
};
use applefold_core::id::{InstanceId, TeamId};
use applefold_core::rank::NameRank;
use applefold_core::unit::{RequestRate, TimePoint, TimeSpan};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SECOND: u64 = 1_000_000;
/// The fleet sizes of the tests.
const COUNTS: [usize; 2] = [6, 103];
/// The window, the overage and the slack of the users' platform.
const WINDOW: u64 = 8 * SECOND;
const OVERAGE: f64 = 0.1;
const SLACK: u64 = 140_000;
/// How long a peer counts as live, and a report of whom it does not hear.
const LIVE_TIME: u64 = SECOND;
const REPORT_TIME: u64 = 1_500_000;
/// How long a registration outlasts its entry.
const LEASE_TIME: u64 = 3 * SECOND;
const GOSSIP_PERIOD: u64 = 100_000;
const TICK_PERIOD: u64 = 100_000;
const DISCOVERY_TIME: u64 = 1_500_000;
const REPLY_TIMEOUTS: [u64; 2] = [50_000, 100_000];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    /// The process is killed and starts again at the end.
    Killed(usize),
    /// All processes are.
    AllKilled,
    /// The process stands still.
    Paused(usize),
    /// The entries below this number, and the others, do not reach each other. Only the former
    /// reach the store.
    Split(usize),
    /// Nothing that this entry sends arrives.
    Mute(usize),
}

#[derive(Clone, Copy, Debug)]
struct Fault {
    start: u64,
    end: u64,
    trouble: Trouble,
}

/// One request of the team, and the entry that it comes to.
#[derive(Clone, Copy, Debug)]
struct Demand {
    at: u64,
    entry: usize,
    cost: u64,
}

#[derive(Clone, Debug)]
enum Event {
    Demand(usize, u64),
    Gossip,
    Tick(usize),
    Ask {
        from: usize,
        to: usize,
        request: u64,
        attempt: usize,
        ask: applefold_core::direct::QuotaAsk,
        expires_at: u64,
    },
    Reply {
        from: usize,
        to: usize,
        request: u64,
        attempt: usize,
        reply: Option<QuotaReply>,
        expires_at: u64,
    },
    Timeout {
        request: u64,
        attempt: usize,
    },
    Retire(usize),
    Retired {
        from: usize,
        to: usize,
    },
    Handover {
        from: usize,
        to: usize,
        transfer: QuotaTransfer,
    },
    Debt(usize, u64),
}

#[derive(Default)]
struct Entry {
    issuer: QuotaIssuer,
    ledger: QuotaLedger,
    census: EntryCensus,
    started_at: u64,
    heard_at: Vec<Option<u64>>,
    listed: Vec<bool>,
    /// Whom this entry does not hear from.
    silent: Vec<bool>,
    /// Whether this entry is about to end.
    retiring: bool,
}

#[derive(Clone, Copy, Debug)]
struct Outcome {
    at: u64,
    cost: u64,
    /// The time after which to retry; `None` for a request that was served.
    wait: Option<u64>,
}

/// What an entry knows of the others that it has listed, and their numbers.
type ReachView = (Vec<PeerReach>, Vec<usize>);

/// A request that has asked the issuer `attempt` times.
#[derive(Clone, Copy, Debug)]
struct Asker {
    entry: usize,
    request: u64,
    cost: u64,
    attempt: usize,
}

struct Simulation {
    team: TeamId,
    names: Vec<InstanceId>,
    /// What each entry knows of the others, until the next gossip.
    reaches: Vec<Option<Rc<ReachView>>>,
    ranks: Vec<NameRank>,
    entries: Vec<Entry>,
    registered_at: Vec<u64>,
    queue: BTreeMap<(u64, u64), (u64, usize, Event)>,
    sequence: u64,
    /// The requests that wait for a reply: entry, cost and question.
    waiting: BTreeMap<u64, (usize, u64, usize)>,
    /// The entries that have declined to answer a request.
    declined: BTreeMap<u64, usize>,
    /// The quota, and when each revision is in force everywhere. Until `late` later, odd entries
    /// have the revision before.
    quotas: Vec<(u64, TeamQuota)>,
    late: u64,
    faults: Vec<Fault>,
    loss_percent: u32,
    rng: Pcg64Mcg,
    outcomes: Vec<Outcome>,
}

fn tokens(rate: u64, burst: u64) -> TeamQuota {
    TeamQuota {
        rate: RequestRate(rate * 1_000),
        burst: QuotaAmount(burst),
        unit: QuotaUnit::Token {
            plain: QuotaAmount(900),
        },
    }
}

impl Simulation {
    fn new(count: usize, quota: TeamQuota, seed: u64) -> Self {
        let names = (0..count).map(|number| format!("entry-{number}").parse().unwrap());
        let names: Vec<InstanceId> = names.collect();
        let ranks = names
            .iter()
            .map(|name| NameRank::of("reader", name.as_str()));
        let entries = (0..count).map(|_| Entry {
            heard_at: vec![None; count],
            listed: vec![false; count],
            silent: vec![false; count],
            ..Entry::default()
        });
        let mut simulation = Self {
            team: "team-1".parse().unwrap(),
            ranks: ranks.collect(),
            names,
            reaches: vec![None; count],
            entries: entries.collect(),
            registered_at: vec![0; count],
            queue: BTreeMap::new(),
            sequence: 0,
            waiting: BTreeMap::new(),
            declined: BTreeMap::new(),
            quotas: vec![(0, quota)],
            late: 0,
            faults: Vec::new(),
            loss_percent: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            outcomes: Vec::new(),
        };
        simulation.push(0, 0, Event::Gossip);
        for entry in 0..count {
            let at = simulation.rng.gen_range(0..TICK_PERIOD);
            simulation.push(at, entry, Event::Tick(entry));
        }
        simulation
    }

    fn fault(&mut self, start: u64, end: u64, trouble: Trouble) {
        self.faults.push(Fault {
            start,
            end,
            trouble,
        });
    }

    fn push(&mut self, at: u64, owner: usize, event: Event) {
        self.sequence += 1;
        let run = self.entries[owner].started_at;
        self.queue.insert((at, self.sequence), (run, owner, event));
    }

    fn demand(&mut self, demands: &[Demand]) {
        for demand in demands {
            let event = Event::Demand(demand.entry, demand.cost);
            self.push(demand.at, demand.entry, event);
        }
    }

    fn active(&self, now: u64) -> impl Iterator<Item = Fault> + '_ {
        let faults = self.faults.iter().copied();
        faults.filter(move |fault| (fault.start..fault.end).contains(&now))
    }

    fn killed_until(&self, entry: usize, now: u64) -> Option<u64> {
        let ends = self.active(now).filter(|fault| {
            fault.trouble == Trouble::Killed(entry) || fault.trouble == Trouble::AllKilled
        });
        ends.map(|fault| fault.end).max()
    }

    fn paused_until(&self, entry: usize, now: u64) -> Option<u64> {
        let ends = self
            .active(now)
            .filter(|fault| fault.trouble == Trouble::Paused(entry));
        ends.map(|fault| fault.end).max()
    }

    fn is_up(&self, entry: usize, now: u64) -> bool {
        self.killed_until(entry, now).is_none() && self.paused_until(entry, now).is_none()
    }

    fn reaches(&self, from: usize, to: usize, now: u64) -> bool {
        self.active(now).all(|fault| match fault.trouble {
            Trouble::Split(at) => (from < at) == (to < at),
            Trouble::Mute(entry) => from != entry,
            Trouble::Killed(_) | Trouble::AllKilled | Trouble::Paused(_) => true,
        })
    }

    fn reaches_store(&self, entry: usize, now: u64) -> bool {
        let mut splits = self.active(now);
        splits.all(|fault| !matches!(fault.trouble, Trouble::Split(at) if entry >= at))
    }

    fn send(&mut self, from: usize, to: usize, now: u64, event: Event) {
        if from != to
            && (!self.reaches(from, to, now) || self.rng.gen_ratio(self.loss_percent, 100))
        {
            return;
        }
        let delay = self.rng.gen_range(500..5_000);
        self.push(now + delay, to, event);
    }

    fn run(&mut self, end: u64) {
        while let Some(((now, sequence), (run, owner, event))) = self.queue.pop_first() {
            if now > end {
                break;
            }
            if let Event::Gossip = event {
                self.gossip(now);
                continue;
            }
            if let Some(end) = self.killed_until(owner, now) {
                self.restart(owner, end);
                continue;
            }
            let started_at = self.entries[owner].started_at;
            if run < started_at && !matches!(event, Event::Demand(..)) {
                continue;
            }
            match self.paused_until(owner, now) {
                Some(end) => {
                    self.queue.insert((end, sequence), (run, owner, event));
                }
                None => self.handle(event, now),
            }
        }
    }

    fn restart(&mut self, entry: usize, at: u64) {
        if self.entries[entry].started_at >= at {
            return;
        }
        let count = self.entries.len();
        self.entries[entry] = Entry {
            started_at: at,
            heard_at: vec![None; count],
            listed: vec![false; count],
            silent: vec![false; count],
            ..Entry::default()
        };
        self.reaches[entry] = None;
        self.waiting.retain(|_, (owner, _, _)| *owner != entry);
        self.push(at, entry, Event::Tick(entry));
    }

    /// Exchanges heartbeats, and reads the membership list from the store once a second.
    fn gossip(&mut self, now: u64) {
        let count = self.entries.len();
        let up: Vec<bool> = (0..count).map(|entry| self.is_up(entry, now)).collect();
        for (entry, up) in up.iter().enumerate() {
            if *up && self.reaches_store(entry, now) {
                self.registered_at[entry] = now;
            }
        }
        for to in (0..count).filter(|entry| up[*entry]) {
            let started_at = self.entries[to].started_at;
            let reads = (now - started_at) % SECOND < GOSSIP_PERIOD;
            if reads && self.reaches_store(to, now) {
                let listed = self.registered_at.iter();
                let listed = listed.map(|at| now.saturating_sub(*at) < LEASE_TIME);
                self.entries[to].listed = listed.collect();
            }
            for from in (0..count).filter(|from| *from != to && up[*from]) {
                let arrives = self.reaches(from, to, now)
                    && (self.loss_percent == 0 || !self.rng.gen_ratio(self.loss_percent, 100));
                if arrives {
                    self.entries[to].heard_at[from] = Some(now);
                    self.entries[to].listed[from] = true;
                    if self.entries[from].retiring && !self.entries[from].issuer.holds(&self.team) {
                        let census = &mut self.entries[to].census;
                        census.note_retirement(&self.names[from], TimePoint(now));
                    } else if now % SECOND < GOSSIP_PERIOD {
                        let known = self.entries[from].census.listed();
                        let peer = self.names[from].clone();
                        let census = &mut self.entries[to].census;
                        census.note_report(&peer, known, TimePoint(now));
                    }
                }
            }
        }
        for entry in 0..count {
            let silent = (0..count).map(|other| {
                let listed = self.entries[entry].listed[other];
                other != entry && listed && !self.hears(entry, other, now)
            });
            let silent = silent.collect();
            self.entries[entry].silent = silent;
        }
        self.reaches = vec![None; count];
        self.push(now + GOSSIP_PERIOD, 0, Event::Gossip);
    }

    fn hears(&self, entry: usize, other: usize, now: u64) -> bool {
        let heard_at = self.entries[entry].heard_at[other];
        heard_at.is_some_and(|at| now - at <= LIVE_TIME)
    }

    /// Returns what an entry knows of the others that it has listed, with their numbers.
    fn reach(&mut self, entry: usize, now: u64) -> Rc<ReachView> {
        if let Some(known) = &self.reaches[entry] {
            return Rc::clone(known);
        }
        let reach = Rc::new(self.find_reach(entry, now));
        self.reaches[entry] = Some(Rc::clone(&reach));
        reach
    }

    fn find_reach(&self, entry: usize, now: u64) -> ReachView {
        let own = &self.entries[entry];
        let count = self.entries.len();
        let fresh = |other: usize| own.heard_at[other].is_some_and(|at| now - at <= REPORT_TIME);
        let mut unheard_by = vec![0; count];
        for voice in (0..count).filter(|voice| self.hears(entry, *voice, now)) {
            for (other, silent) in self.entries[voice].silent.iter().enumerate() {
                unheard_by[other] += usize::from(*silent);
            }
        }
        let numbers = (0..count).filter(|other| *other != entry && own.listed[*other]);
        let numbers: Vec<usize> = numbers.collect();
        let peers = numbers.iter().map(|other| {
            let retired = own.census.is_retired(&self.names[*other]);
            PeerReach {
                rank: self.ranks[*other],
                heard: self.hears(entry, *other, now) && !retired,
                deaf: fresh(*other) && self.entries[*other].silent[entry],
                unheard_by: if retired { count } else { unheard_by[*other] },
            }
        });
        (peers.collect(), numbers)
    }

    /// Returns the issuer, as far as an entry can tell. `declined` has said that it is not.
    fn issuer_of(&mut self, entry: usize, declined: Option<usize>, now: u64) -> usize {
        let (mut peers, numbers) = self.reach(entry, now).as_ref().clone();
        for (peer, number) in peers.iter_mut().zip(&numbers) {
            if declined == Some(*number) {
                (peer.heard, peer.unheard_by) = (false, usize::MAX / 2);
            }
        }
        let team = NameRank::of("team", self.team.as_str());
        if self.entries[entry].retiring {
            return choose_successor(&peers, team).map_or(entry, |index| numbers[index]);
        }
        match choose_issuer(self.ranks[entry], &peers, team) {
            IssuerChoice::Own => entry,
            IssuerChoice::Peer(index) => numbers[index],
        }
    }

    fn share(&mut self, entry: usize, now: u64) -> Option<LiveShare> {
        let reach = self.reach(entry, now);
        let own = &self.entries[entry];
        let known = own.census.known();
        (now - own.started_at >= DISCOVERY_TIME).then(|| LiveShare::of_peers(&reach.0, known))
    }

    fn quota(&self, entry: usize, now: u64) -> TeamQuota {
        let late = self.late * (entry as u64 % 2);
        let revisions = self.quotas.iter().rev();
        let mut current = revisions.filter(|(at, _)| *at == 0 || *at + late <= now);
        current.next().unwrap().1
    }

    fn handle(&mut self, event: Event, now: u64) {
        match event {
            Event::Gossip => {}
            Event::Tick(entry) => self.tick(entry, now),
            Event::Retire(entry) => {
                self.entries[entry].retiring = true;
                self.reaches[entry] = None;
            }
            Event::Retired { from, to } => {
                let census = &mut self.entries[to].census;
                census.note_retirement(&self.names[from], TimePoint(now));
                self.reaches[to] = None;
            }
            Event::Demand(entry, cost) => {
                let quota = self.quota(entry, now);
                self.sequence += 1;
                let request = self.sequence;
                let ledger = &mut self.entries[entry].ledger;
                let step = ledger.admit(&self.team, &quota, QuotaAmount(cost), TimePoint(now));
                self.follow(
                    Asker {
                        entry,
                        request,
                        cost,
                        attempt: 0,
                    },
                    step,
                    now,
                );
            }
            Event::Ask {
                from,
                to,
                request,
                attempt,
                ask,
                expires_at,
            } => {
                let holds = self.entries[to].issuer.holds(&self.team);
                let held = holds || self.issuer_of(to, None, now) == to;
                let reply = held.then(|| {
                    let (quota, share) = (self.quota(to, now), self.share(to, now));
                    let issuer = &mut self.entries[to].issuer;
                    issuer.issue(&self.team, &quota, share, &ask, TimePoint(now))
                });
                let reply = reply.flatten();
                let reply = Event::Reply {
                    from: to,
                    to: from,
                    request,
                    attempt,
                    reply,
                    expires_at,
                };
                self.send(to, from, now, reply);
            }
            Event::Reply {
                from,
                to,
                request,
                attempt,
                reply,
                expires_at,
            } => {
                let expires_at = TimePoint(expires_at);
                let waits = self.waiting.get(&request).copied();
                let Some((entry, cost, _)) = waits.filter(|waits| waits.2 == attempt) else {
                    if let Some(QuotaReply::Granted(amount)) = reply {
                        let ledger = &mut self.entries[to].ledger;
                        ledger.keep(&self.team, amount, expires_at, TimePoint(now));
                    }
                    return;
                };
                self.waiting.remove(&request);
                if reply.is_none() {
                    self.declined.insert(request, from);
                }
                let quota = self.quota(entry, now);
                let ledger = &mut self.entries[entry].ledger;
                let (amount, time) = (QuotaAmount(cost), TimePoint(now));
                let step = match reply {
                    Some(reply) => ledger.apply(
                        &self.team,
                        &quota,
                        amount,
                        TimedReply { reply, expires_at },
                        time,
                    ),
                    None => ledger.check(&self.team, &quota, amount, time),
                };
                self.follow(
                    Asker {
                        entry,
                        request,
                        cost,
                        attempt: attempt + 1,
                    },
                    step,
                    now,
                );
            }
            Event::Timeout { request, attempt } => {
                let waits = self.waiting.get(&request).copied();
                if let Some((entry, cost, _)) = waits.filter(|waits| waits.2 == attempt) {
                    self.waiting.remove(&request);
                    let quota = self.quota(entry, now);
                    let ledger = &mut self.entries[entry].ledger;
                    let step = ledger.check(&self.team, &quota, QuotaAmount(cost), TimePoint(now));
                    self.follow(
                        Asker {
                            entry,
                            request,
                            cost,
                            attempt: attempt + 1,
                        },
                        step,
                        now,
                    );
                }
            }
            Event::Handover { from, to, transfer } => {
                if self.issuer_of(to, Some(from), now) == to {
                    let issuer = &mut self.entries[to].issuer;
                    issuer.receive(&transfer, TimePoint(now));
                }
            }
            Event::Debt(entry, debt) => {
                let (quota, share) = (self.quota(entry, now), self.share(entry, now));
                let ask = applefold_core::direct::QuotaAsk {
                    debt: QuotaAmount(debt),
                    ..Default::default()
                };
                let issuer = &mut self.entries[entry].issuer;
                issuer.issue(&self.team, &quota, share, &ask, TimePoint(now));
            }
        }
    }

    /// Does the next step for a request.
    fn follow(&mut self, asker: Asker, step: QuotaStep, now: u64) {
        let Asker {
            entry,
            request,
            cost,
            attempt,
        } = asker;
        let wait = match step {
            QuotaStep::Charged(_) => None,
            QuotaStep::Refused(wait) => Some(wait.0),
            QuotaStep::Ask(ask) => {
                let quota = self.quota(entry, now);
                let Some(timeout) = REPLY_TIMEOUTS.get(attempt) else {
                    let known = self.entries[entry].census.known();
                    let ledger = &mut self.entries[entry].ledger;
                    let amount = QuotaAmount(cost);
                    let step = ledger.fall_back(&self.team, &quota, amount, known, TimePoint(now));
                    return self.follow(
                        Asker {
                            entry,
                            request,
                            cost,
                            attempt,
                        },
                        step,
                        now,
                    );
                };
                let ttl = grant_ttl(TimeSpan(WINDOW), OVERAGE);
                let expires_at = TimePoint(now) + ttl;
                let declined = self.declined.remove(&request);
                let issuer = self.issuer_of(entry, declined, now);
                if issuer == entry {
                    let share = self.share(entry, now);
                    let (row, time) = (&mut self.entries[entry], TimePoint(now));
                    let holds = declined.is_none() || row.issuer.holds(&self.team);
                    let reply = holds
                        .then(|| row.issuer.issue(&self.team, &quota, share, &ask, time))
                        .flatten();
                    let (amount, ledger) = (QuotaAmount(cost), &mut row.ledger);
                    let step = match reply {
                        Some(reply) => ledger.apply(
                            &self.team,
                            &quota,
                            amount,
                            TimedReply { reply, expires_at },
                            time,
                        ),
                        None => ledger.check(&self.team, &quota, amount, time),
                    };
                    return self.follow(
                        Asker {
                            entry,
                            request,
                            cost,
                            attempt: attempt + 1,
                        },
                        step,
                        now,
                    );
                }
                self.waiting.insert(request, (entry, cost, attempt));
                let expires_at = expires_at.0;
                let event = Event::Ask {
                    from: entry,
                    to: issuer,
                    request,
                    attempt,
                    ask,
                    expires_at,
                };
                self.send(entry, issuer, now, event);
                return self.push(now + timeout, entry, Event::Timeout { request, attempt });
            }
        };
        let at = now;
        self.outcomes.push(Outcome { at, cost, wait });
    }

    fn tick(&mut self, entry: usize, now: u64) {
        let listed = (0..self.entries.len())
            .filter(|other| *other != entry && self.entries[entry].listed[*other]);
        let listed: Vec<InstanceId> = listed.map(|other| self.names[other].clone()).collect();
        let issuer = self.issuer_of(entry, None, now);
        let (share, quota) = (self.share(entry, now), self.quota(entry, now));
        let row = &mut self.entries[entry];
        row.census.note_listed(listed, TimePoint(now));
        let held = (issuer == entry && !row.retiring).then_some((&self.team, &quota));
        let transfers = row.issuer.tick(held, share, TimePoint(now));
        let debts = row.ledger.take_debts();
        for transfer in transfers {
            let to = issuer;
            let from = entry;
            if self.entries[entry].retiring {
                self.send(from, to, now, Event::Retired { from, to });
            }
            let handover = Event::Handover { from, to, transfer };
            self.send(entry, issuer, now, handover);
        }
        for (_, debt) in debts {
            self.send(entry, issuer, now, Event::Debt(issuer, debt.0));
        }
        self.push(now + TICK_PERIOD, entry, Event::Tick(entry));
    }

    fn served(&self) -> impl Iterator<Item = &Outcome> {
        self.outcomes
            .iter()
            .filter(|outcome| outcome.wait.is_none())
    }

    fn refused(&self, since: u64) -> Vec<Outcome> {
        let refused = self.outcomes.iter();
        let refused = refused.filter(|outcome| outcome.wait.is_some() && outcome.at >= since);
        refused.copied().collect()
    }

    /// Returns the cost per second that was served in a span.
    fn rate(&self, from: u64, to: u64) -> f64 {
        let costs = self.served();
        let costs = costs.filter(|outcome| (from..to).contains(&outcome.at));
        let cost: u64 = costs.map(|outcome| outcome.cost).sum();
        cost as f64 / ((to - from) as f64 / SECOND as f64)
    }

    /// Returns the highest cost served in a window that begins at `since` or later.
    fn worst_window(&self, since: u64) -> u64 {
        let served = self.served().filter(|end| end.at >= since);
        worst_window(served.collect())
    }

    fn issuer(&self) -> usize {
        let team = NameRank::of("team", self.team.as_str());
        let ranked = self.ranks.iter().enumerate();
        let ranked = ranked.map(|(index, rank)| (rank.combine(team), index));
        ranked.max().unwrap().1
    }
}

/// Returns the highest cost of a window.
fn worst_window(served: Vec<&Outcome>) -> u64 {
    let (mut worst, mut sum, mut first) = (0, 0, 0);
    for last in &served {
        sum += last.cost;
        while last.at - served[first].at >= WINDOW {
            sum -= served[first].cost;
            first += 1;
        }
        worst = worst.max(sum);
    }
    worst
}

/// Returns what may be served within [`WINDOW`], without the slack.
fn allowed(quota: &TeamQuota) -> u64 {
    let cost = quota.rate.0 as f64 / 1_000.0 * (WINDOW / SECOND) as f64 + quota.burst.0 as f64;
    (cost * (1.0 + OVERAGE)) as u64
}

/// Returns requests of `cost` tokens, on average one per `interval`, at these entries in turn.
fn steady(entries: &[usize], from: u64, to: u64, interval: u64, cost: u64) -> Vec<Demand> {
    let times = (0..).map(|number| (number, from + number * interval));
    let times = times.take_while(|(_, at)| *at < to);
    let demands = times.map(|(number, at)| Demand {
        at,
        entry: entries[number as usize % entries.len()],
        cost,
    });
    demands.collect()
}

fn all(count: usize) -> Vec<usize> {
    (0..count).collect()
}

/// Requests of random sizes at random entries that together are four times the quota.
fn overload(simulation: &mut Simulation, count: usize, to: u64) {
    let mut at = 0;
    let rate = simulation.quotas[0].1.rate.0 / 1_000;
    let mut demands = Vec::new();
    while at < to {
        let cost = simulation.rng.gen_range(100..3_000);
        let entry = simulation.rng.gen_range(0..count);
        demands.push(Demand { at, entry, cost });
        at += simulation.rng.gen_range(0..2 * 1_550 * SECOND / (4 * rate));
    }
    simulation.demand(&demands);
}

#[test]
fn a_quota_holds_for_all_entries_together_under_overload() {
    for count in COUNTS {
        let quota = tokens(50_000, 100_000);
        let mut simulation = Simulation::new(count, quota, 1);
        overload(&mut simulation, count, 30 * SECOND);
        simulation.run(30 * SECOND);
        let offered = worst_window(simulation.outcomes.iter().collect());
        assert!(
            offered > 2 * allowed(&quota),
            "{offered} would exceed the quota"
        );
        let worst = simulation.worst_window(0);
        assert!(worst <= allowed(&quota), "{count} entries: {worst}");
        let used = simulation.rate(10 * SECOND, 30 * SECOND);
        assert!(used > 0.93 * 50_000.0, "{count} entries: {used}");
    }
}

/// Random faults, some of which overlap. The slack of the platform covers the moments in which two
/// entries take themselves for the issuer.
#[test]
fn a_quota_holds_under_random_faults() {
    for (count, seeds) in [(6, 40), (103, 3)] {
        for seed in 0..seeds {
            let quota = tokens(50_000, 100_000);
            let mut simulation = Simulation::new(count, quota, seed);
            for _ in 0..6 {
                let start = simulation.rng.gen_range(0..30 * SECOND);
                let entry = simulation.rng.gen_range(0..count);
                let length = simulation.rng.gen_range(SECOND / 5..6 * SECOND);
                let issuer = simulation.issuer();
                let trouble = match simulation.rng.gen_range(0..7) {
                    0 => Trouble::Killed(entry),
                    1 => Trouble::Killed(issuer),
                    2 => Trouble::AllKilled,
                    3 => Trouble::Paused(entry),
                    4 => Trouble::Paused(issuer),
                    5 => Trouble::Split(entry),
                    _ => Trouble::Mute(entry),
                };
                simulation.fault(start, start + length, trouble);
            }
            simulation.loss_percent = 5;
            overload(&mut simulation, count, 35 * SECOND);
            simulation.run(35 * SECOND);
            let worst = simulation.worst_window(0);
            let most = allowed(&quota) + SLACK;
            let faults = &simulation.faults;
            assert!(
                worst <= most,
                "{count}, seed {seed}: {worst} of {most}, {faults:?}"
            );
        }
    }
}

#[test]
fn a_hot_team_uses_its_whole_quota_through_one_entry() {
    for count in COUNTS {
        for entry in [0, count - 1] {
            let quota = tokens(50_000, 20_000);
            let mut simulation = Simulation::new(count, quota, 2);
            simulation.demand(&steady(&[entry], 0, 20 * SECOND, 10_000, 1_000));
            simulation.run(20 * SECOND);
            let used = simulation.rate(5 * SECOND, 20 * SECOND);
            assert!(used > 0.97 * 50_000.0, "{count} entries: {used}");
            assert!(simulation.worst_window(0) <= allowed(&quota));
        }
    }
}

/// Tokens that are granted in advance and expire are lost, which must not refuse requests within
/// the quota, whether they come to one entry or to all.
#[test]
fn requests_within_the_quota_are_not_refused() {
    for count in COUNTS {
        for (rate, burst, cost, spread) in [
            (50_000, 20_000, 1_000, true),
            (50_000, 20_000, 1_000, false),
            // A team with a small quota: one request in two seconds.
            (500, 1_000, 1_000, true),
            (2_000, 2_000, 500, false),
        ] {
            let quota = tokens(rate, burst);
            let mut simulation = Simulation::new(count, quota, 3);
            let entries = match spread {
                true => all(count),
                false => vec![1],
            };
            // 95 percent of the rate.
            let interval = cost * SECOND * 100 / (rate * 95);
            let demands = steady(&entries, 5 * SECOND, 35 * SECOND, interval, cost);
            simulation.demand(&demands);
            simulation.run(36 * SECOND);
            let refused = simulation.refused(0).len();
            assert_eq!(refused, 0, "{count} entries, {rate}/s, {}", demands.len());
            assert_eq!(simulation.served().count(), demands.len());
        }
    }
}

#[test]
fn a_burst_up_to_the_limit_is_served_at_once() {
    for count in COUNTS {
        for entries in [vec![0], all(count)] {
            let quota = tokens(2_000, 30_000);
            let mut simulation = Simulation::new(count, quota, 4);
            // 30 requests of 1,000 tokens within 3 ms, after the bucket has filled.
            simulation.demand(&steady(
                &entries,
                20 * SECOND,
                20 * SECOND + 3_000,
                100,
                1_000,
            ));
            simulation.run(22 * SECOND);
            assert_eq!(simulation.refused(0).len(), 0, "{count} entries");
            assert_eq!(simulation.served().count(), 30);
        }
    }
}

#[test]
fn a_request_without_a_token_count_costs_the_plain_amount() {
    let quota = tokens(50_000, 20_000);
    assert_eq!(quota.cost(None), QuotaAmount(900));
    assert_eq!(quota.cost(Some(QuotaAmount(5_000))), QuotaAmount(5_000));
    let by_request = TeamQuota {
        unit: QuotaUnit::Request,
        ..quota
    };
    assert_eq!(by_request.cost(Some(QuotaAmount(5_000))), QuotaAmount(1));
    assert_eq!(by_request.cost(None), QuotaAmount(1));
}

/// A quota in requests is small numbers: five a second, four at once.
#[test]
fn a_quota_in_requests_holds_and_is_used() {
    for count in COUNTS {
        let quota = TeamQuota {
            rate: RequestRate(5_000),
            burst: QuotaAmount(4),
            unit: QuotaUnit::Request,
        };
        let mut simulation = Simulation::new(count, quota, 5);
        simulation.demand(&steady(&all(count), 0, 30 * SECOND, 50_000, 1));
        simulation.run(30 * SECOND);
        let worst = simulation.worst_window(0);
        assert!(worst <= allowed(&quota), "{count} entries: {worst}");
        let used = simulation.rate(5 * SECOND, 30 * SECOND);
        assert!(used > 0.9 * 5.0, "{count} entries: {used}");
    }
}

/// Such a request would never run if it had to wait for its whole cost; what it takes beyond the
/// burst must not be granted twice.
#[test]
fn a_request_larger_than_the_burst_is_served_when_the_bucket_is_full() {
    for count in COUNTS {
        let quota = tokens(10_000, 5_000);
        let mut simulation = Simulation::new(count, quota, 6);
        simulation.demand(&steady(&all(count), 0, 60 * SECOND, SECOND / 2, 40_000));
        simulation.run(60 * SECOND);
        let used = simulation.rate(10 * SECOND, 58 * SECOND);
        assert!(
            (7_000.0..11_500.0).contains(&used),
            "{count} entries: {used}"
        );
        let worst = simulation.worst_window(0);
        assert!(worst <= allowed(&quota) + SLACK, "{count} entries: {worst}");
    }
}

#[test]
fn a_reduced_rate_is_binding_one_window_after_it_is_applied() {
    for count in COUNTS {
        let (before, after) = (tokens(50_000, 50_000), tokens(5_000, 5_000));
        let mut simulation = Simulation::new(count, before, 7);
        simulation.quotas.push((15 * SECOND, after));
        simulation.late = 2 * SECOND;
        overload(&mut simulation, count, 40 * SECOND);
        simulation.run(40 * SECOND);
        assert!(simulation.worst_window(0) <= allowed(&before));
        let worst = simulation.worst_window(17 * SECOND + WINDOW);
        assert!(worst <= allowed(&after), "{count} entries: {worst}");
        let used = simulation.rate(27 * SECOND, 40 * SECOND);
        assert!(used > 0.9 * 5_000.0, "{count} entries: {used}");
    }
}

/// The side that is cut off from the store still counts, although its registrations expire.
#[test]
fn partitioned_entries_share_the_quota() {
    for count in COUNTS {
        let quota = tokens(50_000, 100_000);
        let mut simulation = Simulation::new(count, quota, 8);
        let split = Trouble::Split(count / 2);
        simulation.fault(10 * SECOND, 35 * SECOND, split);
        overload(&mut simulation, count, 50 * SECOND);
        simulation.run(50 * SECOND);
        let worst = simulation.worst_window(0);
        assert!(worst <= allowed(&quota), "{count} entries: {worst}");
        let split = simulation.rate(15 * SECOND, 35 * SECOND);
        assert!(
            split > 0.8 * 50_000.0,
            "{count} entries: {split} when split"
        );
        let healed = simulation.rate(40 * SECOND, 50 * SECOND);
        assert!(healed > 0.9 * 50_000.0, "{count} entries: {healed} healed");
    }
}

/// The successor does not know what the issuer has issued last, and the entries must not be left
/// without one. Nor may a process that stood still make up for what others have issued since.
#[test]
fn a_quota_holds_and_is_used_when_its_issuer_dies_or_stands_still() {
    for count in COUNTS {
        for pause in [false, true] {
            let quota = tokens(50_000, 100_000);
            let mut simulation = Simulation::new(count, quota, 9);
            let issuer = simulation.issuer();
            let trouble = match pause {
                true => Trouble::Paused(issuer),
                false => Trouble::Killed(issuer),
            };
            simulation.fault(15 * SECOND, 20 * SECOND, trouble);
            overload(&mut simulation, count, 40 * SECOND);
            simulation.run(40 * SECOND);
            let worst = simulation.worst_window(0);
            let most = allowed(&quota);
            assert!(worst <= most, "{count} entries, {pause}: {worst} of {most}");
            let used = simulation.rate(17 * SECOND, 20 * SECOND);
            assert!(used > 0.7 * 50_000.0, "{count} entries, {pause}: {used}");
            let used = simulation.rate(24 * SECOND, 40 * SECOND);
            assert!(used > 0.9 * 50_000.0, "{count} entries, {pause}: {used}");
        }
    }
}

/// Each time it stands still, the others serve from their own shares, which the issuer must not
/// issue again.
#[test]
fn a_quota_holds_while_its_issuer_stops_again_and_again() {
    for count in COUNTS {
        let quota = tokens(50_000, 100_000);
        let mut simulation = Simulation::new(count, quota, 15);
        let issuer = simulation.issuer();
        for second in 5..25 {
            let start = second * SECOND;
            simulation.fault(start, start + 700_000, Trouble::Paused(issuer));
        }
        // Twice the rate, in requests that the share of one entry pays for.
        simulation.demand(&steady(&all(count), 0, 25 * SECOND, 2_000, 200));
        simulation.run(25 * SECOND);
        let worst = simulation.worst_window(0);
        let most = allowed(&quota);
        assert!(worst <= most, "{count} entries: {worst} of {most}");
        let used = simulation.rate(5 * SECOND, 25 * SECOND);
        assert!(used > 0.3 * 50_000.0, "{count} entries: {used}");
    }
}

#[test]
fn a_quota_holds_when_all_entries_restart() {
    for count in COUNTS {
        let quota = tokens(50_000, 100_000);
        let mut simulation = Simulation::new(count, quota, 10);
        for start in [12, 17, 22] {
            let start = start * SECOND;
            simulation.fault(start, start + SECOND, Trouble::AllKilled);
        }
        overload(&mut simulation, count, 40 * SECOND);
        simulation.run(40 * SECOND);
        let worst = simulation.worst_window(0);
        assert!(worst <= allowed(&quota), "{count} entries: {worst}");
        let used = simulation.rate(28 * SECOND, 40 * SECOND);
        assert!(used > 0.9 * 50_000.0, "{count} entries: {used}");
    }
}

/// A question or a reply that is lost must neither refuse a request within the quota, nor let the
/// entries serve from their own shares while the issuer serves others.
#[test]
fn a_quota_holds_and_is_used_while_messages_are_lost() {
    for count in COUNTS {
        let quota = tokens(50_000, 50_000);
        let mut simulation = Simulation::new(count, quota, 11);
        simulation.loss_percent = 10;
        overload(&mut simulation, count, 30 * SECOND);
        simulation.run(30 * SECOND);
        let worst = simulation.worst_window(0);
        assert!(worst <= allowed(&quota), "{count} entries: {worst}");
        let mut simulation = Simulation::new(count, quota, 12);
        simulation.loss_percent = 3;
        // 80 percent of the rate.
        simulation.demand(&steady(&all(count), 5 * SECOND, 35 * SECOND, 25_000, 1_000));
        simulation.run(36 * SECOND);
        let refused = simulation.refused(0).len();
        assert!(refused <= 12, "{count} entries: {refused} of 1,200 refused");
    }
}

/// An entry that joins may become the issuer; its bucket is empty.
#[test]
fn a_new_issuer_takes_over_what_the_former_one_had_left() {
    for count in COUNTS {
        let quota = tokens(10_000, 30_000);
        let mut simulation = Simulation::new(count, quota, 13);
        let issuer = simulation.issuer();
        simulation.fault(0, 20 * SECOND, Trouble::Killed(issuer));
        let others: Vec<usize> = all(count).into_iter().filter(|i| *i != issuer).collect();
        simulation.demand(&steady(&others, 12 * SECOND, 30 * SECOND, 200_000, 1_000));
        simulation.run(31 * SECOND);
        assert_eq!(simulation.refused(0).len(), 0, "{count} entries");
        assert!(simulation.worst_window(0) <= allowed(&quota));
    }
}

/// An entry that ends in order must neither take the balance of its buckets with it, nor count for
/// the share of the others afterwards.
#[test]
fn an_issuer_that_retires_hands_over_its_role() {
    for count in COUNTS {
        let quota = tokens(10_000, 30_000);
        let mut simulation = Simulation::new(count, quota, 16);
        let issuer = simulation.issuer();
        simulation.push(15 * SECOND, issuer, Event::Retire(issuer));
        simulation.fault(17 * SECOND, 60 * SECOND, Trouble::Killed(issuer));
        let others: Vec<usize> = all(count).into_iter().filter(|i| *i != issuer).collect();
        // 99 percent of the rate.
        simulation.demand(&steady(&others, 12 * SECOND, 50 * SECOND, 101_010, 1_000));
        simulation.run(51 * SECOND);
        let refused = simulation.refused(0);
        assert_eq!(refused.len(), 0, "{count} entries: {refused:?}");
        assert!(simulation.worst_window(0) <= allowed(&quota));
    }
}

/// Callers that come back when they are told must be served, and not all at the same time.
#[test]
fn callers_that_come_back_when_told_are_served() {
    for count in COUNTS {
        let quota = tokens(10_000, 10_000);
        let mut simulation = Simulation::new(count, quota, 14);
        let start = 10 * SECOND;
        simulation.demand(&steady(&[2], start, start + 20, 1, 1_000));
        simulation.run(start + SECOND / 10);
        let refused = simulation.refused(0);
        assert_eq!(refused.len(), 10, "{count} entries");
        let again = refused.iter().map(|outcome| Demand {
            at: outcome.at + outcome.wait.unwrap() + 1_000,
            entry: 2,
            cost: outcome.cost,
        });
        let again: Vec<Demand> = again.collect();
        simulation.demand(&again);
        simulation.run(start + 5 * SECOND);
        let refused = simulation.refused(0);
        assert_eq!(refused.len(), 10, "{count} entries, {refused:?}");
        let last = again.iter().map(|demand| demand.at).max().unwrap();
        let span = last - start;
        assert!(
            (SECOND - 50_000..SECOND + 200_000).contains(&span),
            "{span}"
        );
    }
}

/// Repeated attempts of requests run as well, so they count for the quota of the requests after
/// them.
#[test]
fn repeated_attempts_are_charged() {
    let quota = tokens(10_000, 10_000);
    let team: TeamId = "team-1".parse().unwrap();
    let (mut issuer, mut ledger) = (QuotaIssuer::default(), QuotaLedger::default());
    let share = Some(LiveShare { live: 1, known: 1 });
    for tick in 0..20 {
        issuer.tick([(&team, &quota)], share, TimePoint(tick * 200_000));
    }
    let now = TimePoint(4 * SECOND);
    let cost = QuotaAmount(6_000);
    let QuotaStep::Ask(ask) = ledger.admit(&team, &quota, cost, now) else {
        panic!("no grant is left");
    };
    let reply = issuer.issue(&team, &quota, share, &ask, now);
    assert_eq!(reply, Some(QuotaReply::Granted(cost)));
    let reply = reply.unwrap();
    let expires_at = now + TimeSpan(SECOND);
    let step = ledger.apply(&team, &quota, cost, TimedReply { reply, expires_at }, now);
    assert!(matches!(step, QuotaStep::Charged(_)));
    ledger.charge_again(&team, cost);
    ledger.charge_again(&team, cost);
    ledger.cancel_charge(&team, cost);
    let debts = ledger.take_debts();
    assert_eq!(debts, [(team.clone(), cost)]);
    let ask = applefold_core::direct::QuotaAsk {
        need: QuotaAmount(1_000),
        debt: cost,
        ..Default::default()
    };
    let reply = issuer.issue(&team, &quota, share, &ask, now);
    // The balance is 10,000 less two attempts.
    assert_eq!(reply, Some(QuotaReply::Denied(TimeSpan(300_000))));
}

/// A request that was charged and not run must not use up the quota.
#[test]
fn a_returned_charge_serves_the_next_request() {
    let quota = tokens(10_000, 10_000);
    let team: TeamId = "team-1".parse().unwrap();
    let mut ledger = QuotaLedger::default();
    let (now, cost) = (TimePoint(SECOND), QuotaAmount(4_000));
    let expires_at = now + TimeSpan(SECOND);
    ledger.admit(&team, &quota, cost, now);
    let reply = QuotaReply::Granted(cost);
    let step = ledger.apply(&team, &quota, cost, TimedReply { reply, expires_at }, now);
    let QuotaStep::Charged(grant) = step else {
        panic!("the request is charged");
    };
    let step = ledger.check(&team, &quota, cost, now);
    assert!(matches!(step, QuotaStep::Ask(_)));
    ledger.keep(&team, grant.amount, grant.expires_at, now);
    let step = ledger.check(&team, &quota, cost, now);
    assert_eq!(step, QuotaStep::Charged(grant));
    ledger.keep(&team, grant.amount, grant.expires_at, now);
    let step = ledger.check(&team, &quota, cost, expires_at);
    assert!(matches!(step, QuotaStep::Ask(_)), "the grant has expired");
}
