//! Claims on the record of a lease in a store that loses replies and executes calls late.
//!
//! An entry that claims again after a lost reply has several store leases. It must renew the one that its
//! record is bound to, or the record expires under a holder that renews with success for ever.

use std::collections::BTreeMap;

use applefold_core::claim::store::CallNumber;
use applefold_core::direct::StoreEra;
use applefold_core::id::{FencingNumber, InstanceId};
use applefold_core::lease::{
    HolderName, LeaseAction, LeaseCompletion, LeaseHolder, LeaseOptions, LeaseReply, RecordClaim,
    RecordLease, StoredRecord, TakeoverRule,
};
use applefold_core::unit::{TimePoint, TimeSpan};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

const TICK: TimeSpan = TimeSpan::from_millis(10);
const LEASE_TTL: TimeSpan = TimeSpan::from_millis(3_000);
const LEASE_MARGIN: TimeSpan = TimeSpan::from_millis(700);
/// The time after which a store call without a reply fails.
const CALL_TIMEOUT: TimeSpan = TimeSpan::from_millis(1_000);
/// The period at which a claimant steps its holder, and at which a holder sends orders.
const STEP_PERIOD: TimeSpan = TimeSpan::from_millis(150);
const ORDER_PERIOD: TimeSpan = TimeSpan::from_millis(100);
/// How long an order is on its way at most.
const MAX_ORDER_DELAY: TimeSpan = TimeSpan::from_millis(500);
const RECHECK_DELAY: TimeSpan = TimeSpan::from_secs(1);
/// When the first holder stops, and for how long calls are lost from then on.
const STOP_AT: TimeSpan = TimeSpan::from_secs(12);
const LOSS_TIME: TimeSpan = TimeSpan::from_millis(4_500);
/// How long a late call takes to be executed: up to the limit of the platform, or while its lease lives.
const LATE_MS: std::ops::Range<u64> = 1_000..6_000;
const LATE_CLAIM_MS: std::ops::Range<u64> = 1_000..2_500;
const PLAY_TIME: TimeSpan = TimeSpan::from_secs(40);
/// How long nobody may act once no call is lost or late: a lease, its recheck, and the pause of a new holder.
const MAX_GAP: TimeSpan = TimeSpan::from_secs(8);
const SIZES: [(usize, u64); 4] = [(2, 150), (6, 100), (22, 40), (103, 8)];

/// Which store lease a claimant renews.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RenewalRule {
    /// The one that its record is bound to.
    Record,
    /// The one of its last claim.
    LastClaim,
}

/// Which calls are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Losses {
    AnyCalls,
    /// Most claims, each executed while its lease lives.
    Claims,
}

#[derive(Clone, Debug)]
enum Call {
    ReadRecord,
    ReadFencing,
    Grant,
    Claim {
        record: StoredRecord,
        fencing_revision: u64,
        lease: RecordLease,
    },
    Renew(RecordLease),
    Revoke(RecordLease),
}

impl Call {
    fn is_write(&self) -> bool {
        !matches!(self, Self::ReadRecord | Self::ReadFencing)
    }
}

#[derive(Clone, Debug)]
enum Reply {
    Record(Option<StoredRecord>),
    Fencing(FencingNumber, u64),
    Granted(RecordLease),
    Changed,
    Conflict(Option<StoredRecord>),
    Renewed,
    Gone,
}

/// The record of the lease, its fencing number and the store's leases.
#[derive(Default)]
struct Store {
    record: Option<StoredRecord>,
    fencing: FencingNumber,
    fencing_revision: u64,
    leases: BTreeMap<RecordLease, TimePoint>,
    last_lease: u64,
}

impl Store {
    fn expire(&mut self, now: TimePoint) {
        self.leases.retain(|_, end| *end > now);
        let leases = &self.leases;
        let is_bound = |record: &StoredRecord| {
            let lease = record.lease.expect("each record has a lease");
            leases.contains_key(&lease)
        };
        self.record = self.record.take().filter(is_bound);
    }

    fn execute(&mut self, call: &Call, now: TimePoint) -> Reply {
        self.expire(now);
        match call {
            Call::ReadRecord => Reply::Record(self.record.clone()),
            Call::ReadFencing => Reply::Fencing(self.fencing, self.fencing_revision),
            Call::Grant => {
                self.last_lease += 1;
                let lease = RecordLease(self.last_lease);
                self.leases.insert(lease, now + LEASE_TTL);
                Reply::Granted(lease)
            }
            Call::Claim {
                record,
                fencing_revision,
                lease,
            } => {
                if self.record.is_some() || self.fencing_revision != *fencing_revision {
                    return Reply::Conflict(self.record.clone());
                }
                if !self.leases.contains_key(lease) {
                    return Reply::Gone;
                }
                self.fencing = record.fencing;
                self.fencing_revision += 1;
                self.record = Some(record.clone());
                Reply::Changed
            }
            Call::Renew(lease) => match self.leases.get_mut(lease) {
                Some(end) => {
                    *end = now + LEASE_TTL;
                    Reply::Renewed
                }
                None => Reply::Gone,
            },
            Call::Revoke(lease) => {
                self.leases.remove(lease);
                self.expire(now);
                Reply::Changed
            }
        }
    }
}

/// A call of a claimant whose reply is on its way or lost.
struct Pending {
    call: Call,
    completion: CallNumber,
    /// When the reply arrives; `None` for a failure.
    reply: Option<Reply>,
    due_at: TimePoint,
    /// The fencing number and its revision, once read.
    fencing: (FencingNumber, u64),
}

struct Claimant {
    name: HolderName,
    holder: LeaseHolder,
    claim: RecordClaim,
    rule: RenewalRule,
    /// The lease of the last claim, for [`RenewalRule::LastClaim`].
    last_claim: Option<RecordLease>,
    pending: Option<Pending>,
    queue: Vec<LeaseAction>,
    next_step_at: TimePoint,
    next_order_at: TimePoint,
    starts_at: TimePoint,
}

impl Claimant {
    fn new(number: usize, incarnation: u64, rule: RenewalRule, starts_at: TimePoint) -> Self {
        let instance: InstanceId = format!("entry-{number}").parse().expect("a valid name");
        let name = HolderName::new(&instance, incarnation);
        let scope = "usage".parse().expect("a valid name");
        let options = LeaseOptions {
            takeover: TakeoverRule::AfterDelivery,
            ..LeaseOptions::new(LEASE_TTL, LEASE_MARGIN)
        };
        Self {
            holder: LeaseHolder::new(scope, name.clone(), options),
            claim: RecordClaim::new(name.clone()),
            name,
            rule,
            last_claim: None,
            pending: None,
            queue: Vec::new(),
            next_step_at: starts_at,
            next_order_at: starts_at,
            starts_at,
        }
    }

    fn renewed_lease(&self) -> Option<RecordLease> {
        match self.rule {
            RenewalRule::Record => self.claim.lease(StoreEra::default()),
            RenewalRule::LastClaim => self.last_claim,
        }
    }

    fn adopt(&mut self, record: &StoredRecord) -> LeaseReply {
        let own = match self.rule {
            RenewalRule::Record => self.claim.adopt(record, StoreEra::default()),
            RenewalRule::LastClaim => record.holder == self.name,
        };
        LeaseReply::Held {
            holder: own.then(|| self.name.clone()),
            fencing: record.fencing,
            remaining: RECHECK_DELAY,
        }
    }

    fn acting(&self, now: TimePoint) -> Option<FencingNumber> {
        let held = self.holder.authority(now);
        held.map(|authority| authority.fencing())
    }
}

struct Simulation {
    rng: Pcg64,
    now: TimePoint,
    store: Store,
    /// Calls whose reply was lost, by the time at which they are executed.
    late: Vec<(TimePoint, Call)>,
    claimants: Vec<Claimant>,
    /// The orders on their way by arrival time and number.
    orders: BTreeMap<(TimePoint, u64), FencingNumber>,
    sent: u64,
    highest: FencingNumber,
    acted_at: TimePoint,
    calm_from: TimePoint,
    losses: Losses,
    loss_share: f64,
}

impl Simulation {
    fn new(count: usize, seed: u64, rule: RenewalRule) -> Self {
        let mut rng = Pcg64::seed_from_u64(seed);
        let claimants = (0..count).map(|number| {
            let starts_at = TimePoint::START + TimeSpan::from_millis(rng.gen_range(0..2_000));
            Claimant::new(number, 1, rule, starts_at)
        });
        Self {
            claimants: claimants.collect(),
            now: TimePoint::START,
            store: Store::default(),
            late: Vec::new(),
            orders: BTreeMap::new(),
            sent: 0,
            highest: FencingNumber(0),
            acted_at: TimePoint::START,
            calm_from: TimePoint::START,
            losses: match seed % 2 {
                0 => Losses::AnyCalls,
                _ => Losses::Claims,
            },
            loss_share: rng.gen_range(0.2..0.9),
            rng,
        }
    }

    fn loses(&self) -> bool {
        let start = TimePoint::START + STOP_AT;
        self.now >= start && self.now < start + LOSS_TIME
    }

    /// Sends a call: its reply arrives with the next tick, or it is lost and the call is executed late or
    /// never.
    fn send(&mut self, call: &Call) -> (Option<Reply>, TimePoint) {
        let may_lose = self.losses == Losses::AnyCalls || matches!(call, Call::Claim { .. });
        if !may_lose || !self.loses() || !self.rng.gen_bool(self.loss_share) {
            let reply = self.store.execute(call, self.now);
            return (Some(reply), self.now + TICK);
        }
        let late_ms = match (self.losses, self.rng.gen_range(0..4)) {
            (Losses::Claims, _) => Some(self.rng.gen_range(LATE_CLAIM_MS)),
            (Losses::AnyCalls, 0) => None,
            (Losses::AnyCalls, 1) => Some(0),
            (Losses::AnyCalls, _) => Some(self.rng.gen_range(LATE_MS)),
        };
        if let Some(delay) = late_ms.filter(|_| call.is_write()) {
            let at = self.now + TimeSpan::from_millis(delay);
            self.late.push((at, call.clone()));
            self.calm_from = self.calm_from.max(at);
        }
        (None, self.now + CALL_TIMEOUT)
    }

    fn begin(
        &mut self,
        at: usize,
        call: Call,
        completion: CallNumber,
        fencing: (FencingNumber, u64),
    ) {
        if let Call::Claim { lease, .. } = &call {
            let claimant = &mut self.claimants[at];
            claimant.claim.begin(*lease, StoreEra::default());
        }
        let (reply, due_at) = self.send(&call);
        self.claimants[at].pending = Some(Pending {
            call,
            completion,
            reply,
            due_at,
            fencing,
        });
    }

    fn complete(&mut self, at: usize, call: CallNumber, reply: LeaseReply) {
        let claimant = &mut self.claimants[at];
        let completion = LeaseCompletion { call, reply };
        let actions = claimant.holder.handle(self.now, completion);
        claimant.queue.extend(actions);
    }

    /// Continues with the reply that is due, as the gateway does.
    fn continue_call(&mut self, at: usize, pending: Pending) {
        let Pending {
            call,
            completion,
            reply,
            fencing,
            ..
        } = pending;
        let claimant = &mut self.claimants[at];
        let lost = LeaseReply::Held {
            holder: None,
            fencing: FencingNumber(0),
            remaining: TimeSpan::ZERO,
        };
        match (call, reply) {
            (Call::ReadRecord, Some(Reply::Record(None))) => {
                self.begin(at, Call::ReadFencing, completion, fencing);
            }
            (Call::ReadRecord, Some(Reply::Record(Some(record)))) => {
                let reply = claimant.adopt(&record);
                self.complete(at, completion, reply);
            }
            (Call::ReadFencing, Some(Reply::Fencing(last, revision))) => {
                self.begin(at, Call::Grant, completion, (last.next(), revision));
            }
            (Call::Grant, Some(Reply::Granted(lease))) => {
                let record = StoredRecord {
                    holder: claimant.name.clone(),
                    fencing: fencing.0,
                    lease: Some(lease),
                };
                let claim = Call::Claim {
                    record,
                    fencing_revision: fencing.1,
                    lease,
                };
                self.begin(at, claim, completion, fencing);
            }
            (Call::Claim { lease, .. }, Some(Reply::Changed)) => {
                claimant.claim.confirm(lease);
                claimant.last_claim = Some(lease);
                let reply = LeaseReply::Granted { fencing: fencing.0 };
                self.complete(at, completion, reply);
            }
            (Call::Claim { lease, .. }, Some(reply)) => {
                claimant.claim.settle(lease);
                let standing = match reply {
                    Reply::Conflict(standing) => standing,
                    _ => None,
                };
                let known = standing.filter(|_| claimant.rule == RenewalRule::Record);
                let reply = known.map_or(LeaseReply::Failed, |record| claimant.adopt(&record));
                // The reply to the revocation is not waited for here, which changes no outcome.
                self.send(&Call::Revoke(lease));
                self.complete(at, completion, reply);
            }
            (Call::Claim { lease, .. }, None) => {
                claimant.last_claim = Some(lease);
                self.complete(at, completion, LeaseReply::Failed);
            }
            (Call::Renew(_), Some(Reply::Renewed)) => {
                let reply = LeaseReply::Granted { fencing: fencing.0 };
                self.complete(at, completion, reply);
            }
            (Call::Renew(_), Some(_)) => {
                claimant.claim.expire();
                claimant.last_claim = None;
                self.complete(at, completion, lost);
            }
            _ => self.complete(at, completion, LeaseReply::Failed),
        }
    }

    fn perform(&mut self, at: usize, action: LeaseAction) {
        match action {
            LeaseAction::Acquire { call, .. } => {
                self.begin(at, Call::ReadRecord, call, Default::default());
            }
            LeaseAction::Renew { call, fencing, .. } => match self.claimants[at].renewed_lease() {
                Some(lease) => self.begin(at, Call::Renew(lease), call, (fencing, 0)),
                None => {
                    let lost = LeaseReply::Held {
                        holder: None,
                        fencing,
                        remaining: TimeSpan::ZERO,
                    };
                    self.complete(at, call, lost);
                }
            },
            LeaseAction::Release { .. } => {
                for lease in self.claimants[at].claim.release() {
                    self.send(&Call::Revoke(lease));
                }
            }
            LeaseAction::StartActing { .. } | LeaseAction::StopActing { .. } => {}
        }
    }

    /// Stops the holder, which gives the record back, and starts it again as a new incarnation.
    fn restart_holder(&mut self) {
        let now = self.now;
        let holder = self
            .claimants
            .iter()
            .position(|claimant| claimant.acting(now).is_some());
        let Some(at) = holder else { return };
        for action in self.claimants[at].holder.release(now) {
            self.perform(at, action);
        }
        let starts_at = now + TimeSpan::from_secs(3);
        self.claimants[at] = Claimant::new(at, 2, self.claimants[at].rule, starts_at);
    }

    fn step(&mut self, at: usize) {
        let now = self.now;
        let claimant = &mut self.claimants[at];
        if now < claimant.starts_at {
            return;
        }
        if let Some(pending) = claimant.pending.take() {
            if pending.due_at > now {
                claimant.pending = Some(pending);
                return self.order(at);
            }
            self.continue_call(at, pending);
        } else if claimant.queue.is_empty() && claimant.next_step_at <= now {
            claimant.next_step_at = now + STEP_PERIOD;
            let actions = claimant.holder.tick(now);
            claimant.queue.extend(actions);
        }
        while self.claimants[at].pending.is_none() && !self.claimants[at].queue.is_empty() {
            let action = self.claimants[at].queue.remove(0);
            self.perform(at, action);
        }
        self.order(at);
    }

    fn order(&mut self, at: usize) {
        let now = self.now;
        let claimant = &mut self.claimants[at];
        let Some(fencing) = claimant.acting(now) else {
            return;
        };
        self.acted_at = now;
        if claimant.next_order_at <= now {
            claimant.next_order_at = now + ORDER_PERIOD;
            self.sent += 1;
            let delay = TimeSpan(self.rng.gen_range(0..MAX_ORDER_DELAY.0));
            self.orders.insert((now + delay, self.sent), fencing);
        }
    }

    fn tick(&mut self) -> Result<(), String> {
        self.now = self.now + TICK;
        let now = self.now;
        let late = std::mem::take(&mut self.late);
        for (at, call) in late {
            match at <= now {
                true => {
                    self.store.execute(&call, now);
                }
                false => self.late.push((at, call)),
            }
        }
        for at in 0..self.claimants.len() {
            self.step(at);
        }
        while let Some(order) = self.orders.first_entry() {
            if order.key().0 > now {
                break;
            }
            let fencing = order.remove();
            if fencing < self.highest {
                let highest = self.highest;
                return Err(format!("an order of {fencing} came after one of {highest}"));
            }
            self.highest = fencing;
        }
        Ok(())
    }

    /// Plays a hand-over whose calls are lost. Fails if orders of two holders reach an engine out of turn,
    /// or if nobody acts for longer than allowed once the store is sound.
    fn play(mut self) -> Result<(), String> {
        let mut stopped = false;
        while self.now < TimePoint::START + PLAY_TIME {
            if !stopped && self.now >= TimePoint::START + STOP_AT {
                stopped = true;
                self.calm_from = self.now + LOSS_TIME;
                self.restart_holder();
            }
            self.tick()?;
            let idle_from = self.acted_at.max(self.calm_from);
            if self.now.since(idle_from) > MAX_GAP {
                return Err(format!("nobody acts at {:?}", self.now));
            }
        }
        Ok(())
    }
}

/// Returns the first failure among these seeds.
fn first_failure(rule: RenewalRule, count: usize, seeds: u64) -> Option<String> {
    (0..seeds).find_map(|seed| {
        let played = Simulation::new(count, seed, rule).play();
        let failure = |error| format!("{count} claimants, seed {seed}: {error}");
        played.err().map(failure)
    })
}

/// ONE: two entries act as the holder after claims whose replies were lost.
#[test]
fn late_claims_leave_one_holder() {
    for (count, seeds) in SIZES {
        assert_eq!(first_failure(RenewalRule::Record, count, seeds), None);
    }
}

/// As a control: with the lease of the last claim, which one the store executed is left to chance.
#[test]
fn renewing_the_last_claim_lets_two_entries_act() {
    let failure = first_failure(RenewalRule::LastClaim, 6, 100);
    let error = failure.expect("a holder whose record has expired");
    println!("{error}");
    assert!(error.contains("came after"), "{error}");
}

/// ONE, the other side: a holder that an engine or the platform refused never claims again.
#[test]
fn a_holder_that_stepped_down_acquires_the_lease_again() {
    let mut simulation = Simulation::new(1, 1, RenewalRule::Record);
    let mut stepped_down = false;
    for _ in 0..2_000 {
        simulation.tick().expect("one claimant keeps the order");
        let now = simulation.now;
        if !stepped_down && simulation.claimants[0].acting(now).is_some() {
            stepped_down = true;
            let actions = simulation.claimants[0].holder.step_down(now);
            for action in actions {
                simulation.perform(0, action);
            }
        }
    }
    assert!(stepped_down);
    let acting = simulation.claimants[0].acting(simulation.now);
    assert_eq!(acting, Some(FencingNumber(2)), "it acts under a new number");
}

/// A record that was given up, or that an older copy of the store has brought back, is not taken up.
#[test]
fn only_a_record_claimed_in_this_era_is_taken_up() {
    let name: HolderName = "entry-0:1".parse().expect("any text is a name");
    let (older, newer) = (StoreEra::new(1), StoreEra::new(2));
    let record = StoredRecord {
        holder: name.clone(),
        fencing: FencingNumber(7),
        lease: Some(RecordLease(3)),
    };
    let mut claim = RecordClaim::new(name);
    assert!(!claim.adopt(&record, older), "nothing was claimed");
    claim.begin(RecordLease(3), older);
    claim.begin(RecordLease(4), older);
    assert!(claim.adopt(&record, older));
    assert_eq!(claim.lease(older), Some(RecordLease(3)));
    assert_eq!(claim.lease(newer), None);
    assert!(
        !claim.adopt(&record, newer),
        "the store has come back from a copy"
    );
    assert!(claim.adopt(&record, older));
    assert_eq!(
        claim.release(),
        [RecordLease(3), RecordLease(4), RecordLease(3)]
    );
    assert!(!claim.adopt(&record, older), "it was given up");
}
