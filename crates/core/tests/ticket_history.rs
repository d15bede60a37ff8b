//! Histories of concurrent operators on a store that loses, delays and refuses calls.
//!
//! They guard against an outcome that the log contradicts: a ticket reported as refused
//! although its delayed write takes effect, or one accepted and then lost. The same checker
//! also runs over naive filings, which treat a missing reply as a failure, and must reject them.

mod support;

use std::collections::BTreeMap;

use applefold_core::code::ResultCode;
use applefold_core::config::{ServingConfig, MAX_TICKET_RECORDS};
use applefold_core::id::{Revision, TicketNumber};
use applefold_core::ticket::{
    ChangeTicket, ConfigReader, FilingOutcome, FilingStep, LogCompaction, ReadProgress, StoreCall,
    StoreReply, TicketDigest, TicketFiling, TicketRefusal,
};
use applefold_core::unit::{TimePoint, TimeSpan};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::support::store::{changes, MemoryStore};
use crate::support::weight_ticket;

const STEP: TimeSpan = TimeSpan::from_millis(10);
const FILING_TIME: TimeSpan = TimeSpan::from_secs(5);
const RETAINED_REVISIONS: u64 = 2;
const MAX_STEPS: usize = 20_000;

/// How many of 100 calls fail, for each kind of fault.
#[derive(Clone, Copy, Debug)]
struct StoreFaults {
    reply_lost: u32,
    call_lost: u32,
    delayed: u32,
    unavailable: u32,
}

#[derive(Clone, Copy, Debug)]
enum StoreFault {
    None,
    ReplyLost,
    CallLost,
    Delayed,
    Unavailable,
}

impl StoreFaults {
    fn draw(self, rng: &mut Pcg64Mcg) -> StoreFault {
        let shares = [
            (self.reply_lost, StoreFault::ReplyLost),
            (self.call_lost, StoreFault::CallLost),
            (self.delayed, StoreFault::Delayed),
            (self.unavailable, StoreFault::Unavailable),
        ];
        let mut drawn = rng.gen_range(0..100);
        for (share, fault) in shares {
            if drawn < share {
                return fault;
            }
            drawn -= share;
        }
        StoreFault::None
    }
}

/// A store whose delayed writes may take effect long after the caller gave up.
struct FaultyStore {
    store: MemoryStore,
    faults: StoreFaults,
    delayed_writes: Vec<StoreCall>,
    rng: Pcg64Mcg,
}

impl FaultyStore {
    fn call(&mut self, call: &StoreCall) -> StoreReply {
        if !self.delayed_writes.is_empty() && self.rng.gen_ratio(1, 10) {
            let at = self.rng.gen_range(0..self.delayed_writes.len());
            let delayed = self.delayed_writes.swap_remove(at);
            self.store.call(&delayed);
        }
        match self.faults.draw(&mut self.rng) {
            StoreFault::Unavailable => StoreReply::Unavailable,
            StoreFault::CallLost => StoreReply::NoResponse,
            StoreFault::Delayed => {
                self.delayed_writes
                    .extend(changes(call).then(|| call.clone()));
                StoreReply::NoResponse
            }
            StoreFault::ReplyLost => {
                self.store.call(call);
                StoreReply::NoResponse
            }
            StoreFault::None => self.store.call(call),
        }
    }
}

/// An operator that files one ticket.
struct Operator {
    ticket: ChangeTicket,
    filing: TicketFiling,
    naive: bool,
    paused_steps: usize,
}

impl Operator {
    fn advance(&mut self, store: &mut FaultyStore, now: TimePoint) -> Option<FilingOutcome> {
        match self.filing.step(now) {
            FilingStep::Done(outcome) => Some(outcome),
            FilingStep::Wait(_) => None,
            FilingStep::Call(call) => {
                let reply = store.call(&call);
                let naive_outcome = self.naive_outcome(&call, &reply);
                self.filing.handle_reply(reply, now, now);
                naive_outcome.filter(|_| self.naive)
            }
        }
    }

    /// Returns the outcome of a naive filing, which concludes from the reply to its write alone.
    fn naive_outcome(&self, call: &StoreCall, reply: &StoreReply) -> Option<FilingOutcome> {
        match (call, reply) {
            (StoreCall::Write { .. }, StoreReply::Done) => Some(FilingOutcome::Accepted {
                revision: self.filing.config().revision.next(),
                duplicate: false,
            }),
            (StoreCall::Write { .. }, StoreReply::NoResponse) => {
                Some(FilingOutcome::Refused(TicketRefusal {
                    code: ResultCode::PlatformUnavailable,
                    faults: Vec::new(),
                }))
            }
            _ => None,
        }
    }
}

struct History {
    seed: u64,
    faults: StoreFaults,
    naive: bool,
    pauses: bool,
}

struct EndedFiling {
    ticket: ChangeTicket,
    outcome: FilingOutcome,
}

struct Observer {
    reader: ConfigReader,
    last: Revision,
}

impl Observer {
    fn advance(&mut self, store: &mut FaultyStore, now: TimePoint) -> Result<(), String> {
        let call = self.reader.next_call();
        let reply = store.call(&call);
        self.reader.handle_reply(reply, now);
        let revision = self.reader.config().revision;
        if revision < self.last {
            return Err(format!(
                "an observer's revision decreased from {} to {revision}",
                self.last
            ));
        }
        self.last = revision;
        Ok(())
    }
}

fn catch_up(reader: &mut ConfigReader, store: &mut MemoryStore) -> Result<(), String> {
    reader.refresh();
    for _ in 0..1_000 {
        let reply = store.call(&reader.next_call());
        let progress = reader.handle_reply(reply, TimePoint::START);
        if matches!(progress, ReadProgress::Confirmed(_)) {
            return Ok(());
        }
    }
    Err("a reader does not catch up with a healthy store".to_owned())
}

/// Draws a ticket from few numbers and teams, so that tickets conflict. Tickets with the same number
/// may differ in content.
fn draw_ticket(rng: &mut Pcg64Mcg) -> ChangeTicket {
    let number = rng.gen_range(1..40);
    let team = format!("t{}", rng.gen_range(0..4));
    weight_ticket(number, &team, 1 + number * 2 + rng.gen_range(0..2))
}

fn run(history: &History) -> Result<Vec<EndedFiling>, String> {
    let mut rng = Pcg64Mcg::seed_from_u64(history.seed);
    let mut store = FaultyStore {
        store: MemoryStore::default(),
        faults: history.faults,
        delayed_writes: Vec::new(),
        rng: Pcg64Mcg::seed_from_u64(history.seed + 1),
    };
    let mut tickets: Vec<ChangeTicket> = (0..24).map(|_| draw_ticket(&mut rng)).collect();
    let mut operators: Vec<Operator> = Vec::new();
    let mut observers: Vec<Observer> = (0..3)
        .map(|_| Observer {
            reader: ConfigReader::new(ServingConfig::default()),
            last: Revision::default(),
        })
        .collect();
    let mut compactions: Vec<LogCompaction> = Vec::new();
    let mut ended = Vec::new();
    let mut now = TimePoint::START;
    for _ in 0..MAX_STEPS {
        now = now + STEP;
        if operators.len() < 3 {
            if let Some(ticket) = tickets.pop() {
                let at = rng.gen_range(0..observers.len());
                let config = observers[at].reader.config().clone();
                operators.push(start(history, ticket, config, now));
            }
        }
        if operators.is_empty() {
            break;
        }
        let at = rng.gen_range(0..operators.len());
        let operator = &mut operators[at];
        if operator.paused_steps > 0 {
            operator.paused_steps -= 1;
        } else {
            operator.paused_steps = match history.pauses && rng.gen_ratio(1, 12) {
                true => rng.gen_range(1..60),
                false => 0,
            };
            if let Some(outcome) = operator.advance(&mut store, now) {
                let ticket = operators.swap_remove(at).ticket;
                ended.push(EndedFiling { ticket, outcome });
            }
        }
        let at = rng.gen_range(0..observers.len());
        observers[at].advance(&mut store, now)?;
        if rng.gen_ratio(1, 15) {
            let config = observers[at].reader.config().clone();
            compactions.push(LogCompaction::retaining(config, RETAINED_REVISIONS));
        }
        advance_compaction(&mut compactions, &mut store, &mut rng);
    }
    check(&ended, &mut observers, &mut store)?;
    Ok(ended)
}

fn start(
    history: &History,
    ticket: ChangeTicket,
    config: ServingConfig,
    now: TimePoint,
) -> Operator {
    Operator {
        filing: TicketFiling::new(ticket.clone(), config, now + FILING_TIME),
        ticket,
        naive: history.naive,
        paused_steps: 0,
    }
}

fn advance_compaction(
    compactions: &mut Vec<LogCompaction>,
    store: &mut FaultyStore,
    rng: &mut Pcg64Mcg,
) {
    if compactions.is_empty() {
        return;
    }
    let at = rng.gen_range(0..compactions.len());
    let Some(call) = compactions[at].next_call() else {
        compactions.swap_remove(at);
        return;
    };
    let reply = store.call(&call);
    compactions[at].handle_reply(reply);
}

/// Checks that each outcome agrees with the log after every delayed write has taken effect.
fn check(
    ended: &[EndedFiling],
    observers: &mut [Observer],
    store: &mut FaultyStore,
) -> Result<(), String> {
    for call in std::mem::take(&mut store.delayed_writes) {
        store.store.call(&call);
    }
    let mut fresh = ConfigReader::new(ServingConfig::default());
    catch_up(&mut fresh, &mut store.store)?;
    if fresh.refused_entries() > 0 {
        return Err("the log contains a refused ticket".to_owned());
    }
    let config = fresh.config();
    for observer in observers {
        catch_up(&mut observer.reader, &mut store.store)?;
        if observer.reader.config() != config {
            return Err("an observer's configuration differs from a fresh reader's".to_owned());
        }
    }
    let mut accepted: BTreeMap<TicketNumber, TicketDigest> = BTreeMap::new();
    for filing in ended {
        check_outcome(filing, ended, config, &mut accepted)?;
    }
    Ok(())
}

fn check_outcome(
    filing: &EndedFiling,
    ended: &[EndedFiling],
    config: &ServingConfig,
    accepted: &mut BTreeMap<TicketNumber, TicketDigest>,
) -> Result<(), String> {
    let number = filing.ticket.number;
    let digest = filing.ticket.digest();
    let record = config.ticket_record(number);
    let is_committed = record.is_some_and(|record| record.digest == digest);
    match &filing.outcome {
        FilingOutcome::Accepted { revision, .. } => {
            if accepted
                .insert(number, digest)
                .is_some_and(|other| other != digest)
            {
                return Err(format!("ticket {number} was accepted with two contents"));
            }
            if !is_committed {
                return Err(format!(
                    "ticket {number} was accepted but is not in the log"
                ));
            }
            if record.map(|record| record.revision) != Some(*revision) {
                return Err(format!("ticket {number} is not at revision {revision}"));
            }
        }
        FilingOutcome::Refused(_) => {
            let by_another_filing = ended.iter().any(|other| {
                other.ticket == filing.ticket && !matches!(other.outcome, FilingOutcome::Refused(_))
            });
            if is_committed && !by_another_filing {
                return Err(format!("ticket {number} was refused but is in the log"));
            }
        }
        FilingOutcome::Unknown => {}
    }
    Ok(())
}

const FREQUENT_FAULTS: StoreFaults = StoreFaults {
    reply_lost: 8,
    call_lost: 6,
    delayed: 8,
    unavailable: 6,
};

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn outcomes_match_the_log(seed: u64) {
        let history = History { seed: seed >> 1, faults: FREQUENT_FAULTS, naive: false, pauses: true };
        let outcome = run(&history).map(|ended| ended.len());
        prop_assert_eq!(outcome, Ok(24));
    }
}

#[test]
fn most_outcomes_are_known_under_frequent_faults() {
    let mut unknown = 0;
    let mut accepted = 0;
    for seed in 0..50 {
        let history = History {
            seed,
            faults: FREQUENT_FAULTS,
            naive: false,
            pauses: false,
        };
        for filing in run(&history).expect("the history holds") {
            unknown += u32::from(filing.outcome == FilingOutcome::Unknown);
            accepted += u32::from(matches!(filing.outcome, FilingOutcome::Accepted { .. }));
        }
    }
    println!("of 1200 filings {accepted} accepted, {unknown} unknown");
    assert!(accepted > 200, "{accepted}");
    assert!(unknown < 60, "{unknown}");
}

#[test]
fn the_checker_rejects_naive_filings() {
    let rejected = (0..50).filter(|seed| {
        let history = History {
            seed: *seed,
            faults: FREQUENT_FAULTS,
            naive: true,
            pauses: true,
        };
        run(&history).is_err()
    });
    let rejected = rejected.count();
    println!("of 50 naive histories {rejected} are rejected");
    assert!(rejected > 30, "{rejected}");
}

fn run_filing<F>(filing: &mut TicketFiling, call_store: F) -> FilingOutcome
where
    F: Fn(&StoreCall) -> StoreReply,
{
    let mut now = TimePoint::START;
    loop {
        now = now + STEP;
        match filing.step(now) {
            FilingStep::Done(outcome) => return outcome,
            FilingStep::Wait(span) => now = now + span,
            FilingStep::Call(call) => filing.handle_reply(call_store(&call), now, now),
        }
    }
}

#[test]
fn an_outage_before_the_write_is_a_refusal_and_after_it_is_unknown() {
    let ticket = weight_ticket(1, "t", 1);
    let deadline = TimePoint::START + FILING_TIME;
    let mut filing = TicketFiling::new(ticket.clone(), ServingConfig::default(), deadline);
    let outcome = run_filing(&mut filing, |_| StoreReply::Unavailable);
    let FilingOutcome::Refused(refusal) = outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!(refusal.code, ResultCode::PlatformUnavailable);

    let store = std::cell::RefCell::new(MemoryStore::default());
    let written = std::cell::Cell::new(false);
    let mut filing = TicketFiling::new(ticket.clone(), ServingConfig::default(), deadline);
    let outcome = run_filing(&mut filing, |call| match call {
        _ if written.get() => StoreReply::Unavailable,
        StoreCall::Write { .. } => {
            written.set(true);
            store.borrow_mut().call(call);
            StoreReply::NoResponse
        }
        _ => store.borrow_mut().call(call),
    });
    assert_eq!(outcome, FilingOutcome::Unknown);

    let mut filing = TicketFiling::new(ticket, ServingConfig::default(), deadline);
    let outcome = run_filing(&mut filing, |call| store.borrow_mut().call(call));
    let revision = Revision(1);
    assert_eq!(
        outcome,
        FilingOutcome::Accepted {
            revision,
            duplicate: true
        }
    );
}

#[test]
fn the_log_is_compacted_and_ticket_records_are_pruned_in_order() {
    let mut store = MemoryStore::default();
    let mut reader = ConfigReader::new(ServingConfig::default());
    let tickets = MAX_TICKET_RECORDS as u64 + 600;
    let mut config = ServingConfig::default();
    for number in 1..=tickets {
        let ticket = weight_ticket(number, &format!("t{}", number % 50), 1);
        let deadline = TimePoint::START + FILING_TIME;
        let mut filing = TicketFiling::new(ticket, config, deadline);
        loop {
            match filing.step(TimePoint::START) {
                FilingStep::Call(call) => {
                    let reply = store.call(&call);
                    filing.handle_reply(reply, TimePoint::START, TimePoint::START);
                }
                step => {
                    config = filing.config().clone();
                    let done = matches!(step, FilingStep::Done(FilingOutcome::Accepted { .. }));
                    assert!(done, "{step:?}");
                    break;
                }
            }
        }
        if number % 256 == 0 {
            catch_up(&mut reader, &mut store).expect("the store is healthy");
            let due = LogCompaction::due(reader.config(), reader.snapshot_revision());
            if let Some(mut compaction) = due {
                while let Some(call) = compaction.next_call() {
                    compaction.handle_reply(store.call(&call));
                }
            }
        }
    }
    let mut fresh = ConfigReader::new(ServingConfig::default());
    catch_up(&mut fresh, &mut store).expect("the store is healthy");
    let config = fresh.config();
    assert_eq!(config.revision, Revision(tickets));
    assert_eq!(config.last_pruned_ticket(), TicketNumber(600));
    let refusal = weight_ticket(600, "t1", 9)
        .check(config)
        .expect_err("too low a number");
    assert_eq!(refusal.code, ResultCode::TicketStale);
    assert!(
        store.len() < MAX_TICKET_RECORDS + 600,
        "{} keys",
        store.len()
    );
}
