//! Entries that share the rate limit of a backend server, in virtual time.
//!
//! The tests guard against a backend server that gets several times its limit, since each entry
//! applies the limit alone, hears of it late or loses its state, and against one whose limit is
//! left unused.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use applefold_core::direct::{
    choose_issuer, IssuerChoice, LimitEffect, LimitStatement, LimitedBackend, LiveShare, PeerReach,
    PermitIssuer, PermitReply, RateLimit, PERMIT_TTL,
};
use applefold_core::id::InstanceId;
use applefold_core::rank::NameRank;
use applefold_core::unit::{RequestRate, TimePoint, TimeSpan};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SECOND: u64 = 1_000_000;
/// When the backend server names its limit, and when all entries are to keep to it.
const NAMED_AT: u64 = 2 * SECOND;
const APPLIED_AT: u64 = NAMED_AT + 3 * SECOND;
/// The span in which requests are counted.
const WINDOW: u64 = 4 * SECOND;
/// How long a peer counts as live after its last message.
const LIVE_TIME: u64 = SECOND;
/// How long a report of whom a peer does not hear counts.
const REPORT_TIME: u64 = 1_500_000;
const REPLY_TIMEOUT: u64 = 60_000;
const SILENT_ISSUER_WAIT: u64 = 150_000;
const RESPONSE_TIME: u64 = 30_000;

/// Returns how long a fleet of this size is simulated; each second of a large one costs much.
fn length(count: usize) -> u64 {
    match count {
        0..=50 => 40 * SECOND,
        51..=150 => 15 * SECOND,
        _ => 12 * SECOND,
    }
}

/// How an entry applies a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LimitRule {
    /// With permits, like the shipped decisions.
    Permits,
    /// Each entry by itself, with a token bucket of its own.
    Alone,
}

/// A fault of one or more entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    /// The process is killed and starts again a second later.
    Killed(usize),
    /// The process stands still.
    Paused(usize),
    /// The entries below this number, and the others, do not reach each other.
    Split(usize),
    /// Nothing that this entry sends arrives.
    Mute(usize),
}

#[derive(Clone, Debug)]
enum Event {
    Demand(usize),
    Gossip(usize),
    Heard {
        from: usize,
        to: usize,
        news: Option<(Option<u64>, u64)>,
        unheard: Rc<BTreeSet<usize>>,
    },
    Ask {
        from: usize,
        to: usize,
        ticket: u64,
        asked_at: u64,
    },
    Reply {
        to: usize,
        ticket: u64,
        asked_at: u64,
        reply: PermitReply,
    },
    GiveUp {
        entry: usize,
        ticket: u64,
    },
    Response {
        entry: usize,
        sent_at: u64,
        rate: Option<u64>,
    },
}

#[derive(Default)]
struct Entry {
    limit: RateLimit,
    issuer: PermitIssuer,
    heard_at: BTreeMap<usize, u64>,
    /// Whom each peer does not hear from, and when it said so.
    unheard: BTreeMap<usize, (u64, Rc<BTreeSet<usize>>)>,
    /// The latest statement that the backend server made to this entry.
    statement: Option<(Option<u64>, u64)>,
    pending: Option<u64>,
    spare_until: u64,
    /// The run of its process; events of an earlier run are dropped.
    run: u64,
    /// Used by [`LimitRule::Alone`].
    next_send_at: u64,
}

impl Entry {
    fn hears(&self, other: usize, now: u64) -> bool {
        let heard_at = self.heard_at.get(&other);
        heard_at.is_some_and(|at| now - at <= LIVE_TIME)
    }
}

struct Simulation {
    ranks: Vec<NameRank>,
    rng: Pcg64Mcg,
    rule: LimitRule,
    rate: u64,
    entries: Vec<Entry>,
    names: Vec<InstanceId>,
    queue: BTreeMap<(u64, u64), (u64, usize, Event)>,
    sequence: u64,
    troubles: Vec<(u64, u64, Trouble)>,
    loss_percent: u32,
    demand_interval: u64,
    arrivals: Vec<u64>,
    end: u64,
}

impl Simulation {
    fn new(rule: LimitRule, count: usize, rate: u64, seed: u64) -> Self {
        let names = (0..count).map(|number| format!("entry-{number}").parse().unwrap());
        let names: Vec<InstanceId> = names.collect();
        let ranks = names.iter();
        let mut simulation = Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            rule,
            rate,
            entries: (0..count).map(|_| Entry::default()).collect(),
            ranks: ranks
                .map(|name| NameRank::of("reader", name.as_str()))
                .collect(),
            names,
            queue: BTreeMap::new(),
            sequence: 0,
            troubles: Vec::new(),
            loss_percent: 1,
            // Together, the entries want to send ten times the limit.
            demand_interval: 1_000 * SECOND * count as u64 / (10 * rate),
            arrivals: Vec::new(),
            end: length(count),
        };
        for entry in 0..count {
            let first = simulation.rng.gen_range(0..50_000);
            simulation.push(first, entry, Event::Gossip(entry));
            simulation.push(first, entry, Event::Demand(entry));
        }
        simulation
    }

    /// Adds random troubles at random times, some of which overlap.
    fn trouble(&mut self) {
        let count = self.entries.len();
        for _ in 0..8 {
            let start = self.rng.gen_range(0..self.end);
            let entry = self.rng.gen_range(0..count);
            let length = self.rng.gen_range(SECOND / 5..4 * SECOND);
            let (length, trouble) = match self.rng.gen_range(0..4) {
                0 => (SECOND, Trouble::Killed(entry)),
                1 => (length, Trouble::Paused(entry)),
                2 => (2 * length, Trouble::Split(entry)),
                _ => (2 * length, Trouble::Mute(entry)),
            };
            self.troubles.push((start, start + length, trouble));
        }
        self.loss_percent = 5;
    }

    fn push(&mut self, at: u64, owner: usize, event: Event) {
        self.sequence += 1;
        let run = self.entries[owner].run;
        self.queue.insert((at, self.sequence), (run, owner, event));
    }

    fn active(&self, now: u64) -> impl Iterator<Item = (u64, Trouble)> + '_ {
        let troubles = self.troubles.iter();
        let active = troubles.filter(move |(start, end, _)| (*start..*end).contains(&now));
        active.map(|(_, end, trouble)| (*end, *trouble))
    }

    fn reaches(&self, from: usize, to: usize, now: u64) -> bool {
        self.active(now).all(|(_, trouble)| match trouble {
            Trouble::Split(at) => (from < at) == (to < at),
            Trouble::Mute(entry) => from != entry,
            Trouble::Killed(_) | Trouble::Paused(_) => true,
        })
    }

    /// Sends a message to another entry; it may be lost.
    fn send(&mut self, from: usize, to: usize, now: u64, event: Event) {
        if from != to
            && (!self.reaches(from, to, now) || self.rng.gen_ratio(self.loss_percent, 100))
        {
            return;
        }
        let delay = self.rng.gen_range(500..5_000);
        self.push(now + delay, to, event);
    }

    fn run(mut self) -> Vec<u64> {
        while let Some(((now, sequence), (run, owner, event))) = self.queue.pop_first() {
            if now > self.end {
                break;
            }
            let killed = Trouble::Killed(owner);
            let restart = self.active(now).find(|(_, trouble)| *trouble == killed);
            if let Some((end, _)) = restart {
                if self.entries[owner].run < end {
                    self.entries[owner] = Entry {
                        run: end,
                        ..Entry::default()
                    };
                    self.queue.retain(|_, (_, other, _)| *other != owner);
                    self.push(end, owner, Event::Gossip(owner));
                    self.push(end, owner, Event::Demand(owner));
                }
                continue;
            }
            if run < self.entries[owner].run {
                continue;
            }
            let paused = Trouble::Paused(owner);
            let wake = self.active(now).find(|(_, trouble)| *trouble == paused);
            match wake {
                Some((end, _)) => {
                    self.queue.insert((end, sequence), (run, owner, event));
                }
                None => self.handle(event, now),
            }
        }
        self.arrivals
    }

    /// Returns what an entry knows of the reach of the others.
    fn reach(&self, entry: usize, now: u64) -> Vec<PeerReach> {
        let own = &self.entries[entry];
        let mut unheard_by = vec![0; self.entries.len()];
        let mut deaf = BTreeSet::new();
        for (voice, (at, missed)) in &own.unheard {
            if now - at > REPORT_TIME {
                continue;
            }
            if missed.contains(&entry) {
                deaf.insert(*voice);
            }
            for other in missed.iter().filter(|_| own.hears(*voice, now)) {
                unheard_by[*other] += 1;
            }
        }
        let peers = (0..self.entries.len()).map(|other| PeerReach {
            rank: self.ranks[other],
            heard: own.hears(other, now),
            deaf: deaf.contains(&other),
            unheard_by: unheard_by[other],
        });
        peers.collect()
    }

    fn issuer_of(&self, entry: usize, now: u64) -> usize {
        let backend = NameRank::of("backend", "e-1");
        let mut peers = self.reach(entry, now);
        let own = peers.remove(entry).rank;
        match choose_issuer(own, &peers, backend) {
            IssuerChoice::Own => entry,
            IssuerChoice::Peer(index) if index >= entry => index + 1,
            IssuerChoice::Peer(index) => index,
        }
    }

    fn issue(&mut self, issuer: usize, asker: usize, now: u64) -> PermitReply {
        if self.issuer_of(issuer, now) != issuer {
            return PermitReply::Denied(TimeSpan(100_000));
        }
        let limited = LimitedBackend {
            backend: "e-1".parse().unwrap(),
            incarnation: 1,
        };
        let mut peers = self.reach(issuer, now);
        peers.remove(issuer);
        let share = LiveShare::of_peers(&peers, self.entries.len() as u64);
        let asker = self.names[asker].clone();
        let rate = RequestRate(self.rate);
        let issuer = &mut self.entries[issuer].issuer;
        issuer.issue(&limited, rate, share, &asker, TimePoint(now))
    }

    fn request(&mut self, entry: usize, now: u64) {
        let limit = self.rate;
        let row = &mut self.entries[entry];
        if row.limit.rate().is_none() {
            return self.arrive(entry, now);
        }
        if self.rule == LimitRule::Alone {
            if row.next_send_at <= now {
                row.next_send_at = now + 1_000 * SECOND / limit;
                self.arrive(entry, now);
            }
            return;
        }
        if row.spare_until > now {
            row.spare_until = 0;
            return self.arrive(entry, now);
        }
        if row.limit.wait(TimePoint(now)).is_some() || row.pending.is_some() {
            return;
        }
        self.sequence += 1;
        let ticket = self.sequence;
        self.entries[entry].pending = Some(ticket);
        let issuer = self.issuer_of(entry, now);
        let ask = Event::Ask {
            from: entry,
            to: issuer,
            ticket,
            asked_at: now,
        };
        self.send(entry, issuer, now, ask);
        self.push(now + REPLY_TIMEOUT, entry, Event::GiveUp { entry, ticket });
    }

    fn arrive(&mut self, entry: usize, now: u64) {
        self.arrivals.push(now);
        let rate = (now >= NAMED_AT).then_some(self.rate);
        let response = Event::Response {
            entry,
            sent_at: now,
            rate,
        };
        self.push(now + RESPONSE_TIME, entry, response);
    }

    fn handle(&mut self, event: Event, now: u64) {
        match event {
            Event::Demand(entry) => {
                let interval = self.demand_interval;
                let next = now + self.rng.gen_range(interval / 2..interval * 3 / 2);
                self.push(next, entry, Event::Demand(entry));
                self.request(entry, now);
            }
            Event::Gossip(from) => {
                let round = 50_000 * (self.entries.len() as u64).div_ceil(64);
                self.push(now + round, from, Event::Gossip(from));
                let statement = self.entries[from].statement;
                let news = statement.filter(|(_, at)| now - at < 30 * SECOND);
                let row = &self.entries[from];
                let silent = (0..self.entries.len()).filter(|to| *to != from);
                let silent = silent.filter(|to| !row.hears(*to, now));
                let unheard = Rc::new(silent.collect::<BTreeSet<usize>>());
                for to in (0..self.entries.len()).filter(|to| *to != from) {
                    let unheard = Rc::clone(&unheard);
                    let heard = Event::Heard {
                        from,
                        to,
                        news,
                        unheard,
                    };
                    self.send(from, to, now, heard);
                }
            }
            Event::Heard {
                from,
                to,
                news,
                unheard,
            } => {
                self.entries[to].heard_at.insert(from, now);
                self.entries[to].unheard.insert(from, (now, unheard));
                if let Some((rate, at)) = news {
                    self.state_limit(to, rate, at, at);
                }
            }
            Event::Ask {
                from,
                to,
                ticket,
                asked_at,
            } => {
                let reply = self.issue(to, from, now);
                let reply = Event::Reply {
                    to: from,
                    ticket,
                    asked_at,
                    reply,
                };
                self.send(to, from, now, reply);
            }
            Event::Reply {
                to,
                ticket,
                asked_at,
                reply,
            } => {
                let waits = self.entries[to].pending == Some(ticket);
                let valid = asked_at + PERMIT_TTL.0 > now;
                match reply {
                    PermitReply::Granted if waits => self.arrive(to, now),
                    PermitReply::Granted if valid => {
                        self.entries[to].spare_until = asked_at + PERMIT_TTL.0;
                    }
                    PermitReply::Denied(wait) if waits => {
                        self.entries[to].limit.defer(TimePoint(now) + wait);
                    }
                    PermitReply::Granted | PermitReply::Denied(_) => {}
                }
                if waits {
                    self.entries[to].pending = None;
                }
            }
            Event::GiveUp { entry, ticket } => {
                let row = &mut self.entries[entry];
                if row.pending == Some(ticket) {
                    row.pending = None;
                    row.limit.defer(TimePoint(now + SILENT_ISSUER_WAIT));
                }
            }
            Event::Response {
                entry,
                sent_at,
                rate,
            } => {
                self.entries[entry].statement = rate.map(|rate| (Some(rate), now));
                self.state_limit(entry, rate, now, sent_at);
            }
        }
    }

    fn state_limit(&mut self, entry: usize, rate: Option<u64>, at: u64, sent_at: u64) {
        self.entries[entry].limit.apply(&LimitStatement {
            rate: rate.map(RequestRate),
            stated_at: TimePoint(at),
            sent_at: TimePoint(sent_at),
        });
    }
}

/// Returns the most requests in a [`WINDOW`] after all entries are to keep to the limit.
fn worst_window(arrivals: &[u64]) -> usize {
    let arrivals: Vec<u64> = arrivals
        .iter()
        .copied()
        .filter(|at| *at >= APPLIED_AT)
        .collect();
    let counts = arrivals.iter().enumerate().map(|(index, start)| {
        let later = arrivals[index..].iter();
        later.take_while(|at| **at < start + WINDOW).count()
    });
    counts.max().unwrap_or(0)
}

/// Returns the share of the limit that was used, in percent.
fn used_percent(arrivals: &[u64], rate: u64, count: usize) -> u64 {
    let used = arrivals.iter().filter(|at| **at >= APPLIED_AT).count() as u64;
    used * 1_000 * 100 * SECOND / (rate * (length(count) - APPLIED_AT))
}

/// One and a half times the limit, and five requests.
fn allowed(rate: u64) -> usize {
    (rate * WINDOW * 3 / (2_000 * SECOND)) as usize + 5
}

/// Fleets of each size, with limits in thousandths of a request per second.
const FLEETS: [(usize, u64); 7] = [
    (1, 5_800),
    (2, 4_300),
    (6, 700),
    (6, 5_800),
    (28, 12_000),
    (100, 4_300),
    (300, 5_800),
];

#[test]
fn a_calm_fleet_of_any_size_uses_the_limit_and_keeps_to_it() {
    for (count, rate) in FLEETS {
        let arrivals = Simulation::new(LimitRule::Permits, count, rate, 1).run();
        let most = worst_window(&arrivals);
        assert!(most <= allowed(rate), "{count} entries: {most} requests");
        let used = used_percent(&arrivals, rate, count);
        assert!(used >= 80, "{count} entries use {used} percent");
    }
}

#[test]
fn a_limit_holds_through_kills_pauses_splits_and_cuts() {
    for (count, rate) in FLEETS {
        let seeds = match count {
            0..=10 => 40,
            11..=50 => 8,
            _ => 1,
        };
        for seed in 0..seeds {
            let mut simulation = Simulation::new(LimitRule::Permits, count, rate, seed);
            simulation.trouble();
            let troubles = simulation.troubles.clone();
            let arrivals = simulation.run();
            let most = worst_window(&arrivals);
            assert!(
                most <= allowed(rate),
                "{count} entries, seed {seed}: {most} requests, {} allowed; {troubles:?}",
                allowed(rate)
            );
            let used = used_percent(&arrivals, rate, count);
            assert!(
                used >= 40,
                "{count} entries, seed {seed}: {used} percent used; {troubles:?}"
            );
        }
    }
}

#[test]
fn a_limit_that_each_entry_applies_alone_is_exceeded() {
    let (count, rate) = (6, 5_800);
    let arrivals = Simulation::new(LimitRule::Alone, count, rate, 1).run();
    assert!(worst_window(&arrivals) > 2 * allowed(rate));
}

/// An overtaken response does not end a limit, and an old statement does not bring it back.
#[test]
fn statements_about_a_limit_apply_in_their_order() {
    let statement = |rate: Option<u64>, stated_at: u64, sent_at: u64| LimitStatement {
        rate: rate.map(RequestRate),
        stated_at: TimePoint(stated_at),
        sent_at: TimePoint(sent_at),
    };
    let mut limit = RateLimit::default();
    let steps = [
        (Some(5_000), 100, 50, LimitEffect::Changed, "named"),
        (Some(5_000), 105, 60, LimitEffect::Confirmed, "named again"),
        (
            None,
            110,
            90,
            LimitEffect::Outdated,
            "sent before it was named",
        ),
        (Some(9_000), 95, 40, LimitEffect::Outdated, "older"),
        (None, 150, 120, LimitEffect::Changed, "ended"),
        (Some(5_000), 140, 130, LimitEffect::Outdated, "overtaken"),
        (Some(4_000), 160, 155, LimitEffect::Changed, "named anew"),
    ];
    for (rate, stated_at, sent_at, effect, text) in steps {
        let statement = statement(rate, stated_at, sent_at);
        assert_eq!(limit.apply(&statement), effect, "{text}");
    }
    assert_eq!(limit.rate(), Some(RequestRate(4_000)));
}

#[test]
fn rates_are_parsed_as_decimal_numbers() {
    let parsed = [
        ("5.8", 5_800),
        ("4", 4_000),
        ("0.25", 250),
        ("0", 0),
        ("3/s", 3_000),
    ];
    for (text, rate) in parsed {
        assert_eq!(text.parse(), Ok(RequestRate(rate)), "{text}");
    }
    for text in ["", "-1", "1e3", "5,8", ".", "5.", ".5", "NaN", "5 8"] {
        assert!(text.parse::<RequestRate>().is_err(), "{text}");
    }
    assert_eq!(RequestRate(5_800).to_string(), "5.8/s");
}
