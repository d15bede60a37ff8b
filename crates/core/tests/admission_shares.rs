//! The shares of a limit add up to at most the limit when heartbeats are out of phase or
//! delayed, and to little more when many are lost.

use applefold_core::admission::{TeamDemand, TeamShares};
use applefold_core::id::TeamId;
use applefold_core::unit::{TimePoint, TimeSpan, TokenCount};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const ENTRIES: usize = 6;
const PERIOD_MILLIS: u64 = 1_000;
const STEP_MILLIS: usize = 20;
const DEMAND_MILLIS: u64 = 3_000;
const RUN_MILLIS: u64 = 40_000;
const SEEDS: u64 = 60;

struct SimulatedEntry {
    shares: TeamShares,
    phase: u64,
    delay: u64,
    demand: u64,
}

struct SentHeartbeat {
    due: u64,
    sender: usize,
    demands: Vec<TeamDemand>,
}

fn team() -> TeamId {
    "oficinas".parse().expect("a valid identifier")
}

fn entry(rng: &mut Pcg64Mcg) -> SimulatedEntry {
    let mut shares = TeamShares::new(TimeSpan::from_millis(PERIOD_MILLIS));
    shares.set_entry_count(ENTRIES as u32);
    let step = STEP_MILLIS as u64;
    SimulatedEntry {
        shares,
        phase: rng.gen_range(0..PERIOD_MILLIS / step) * step,
        delay: rng.gen_range(0..900),
        demand: rng.gen_range(0..4),
    }
}

/// Returns the largest sum, at any moment, of the shares of the entries with demand.
fn max_share_sum(seed: u64, loss: f64) -> f64 {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut entries: Vec<SimulatedEntry> = (0..ENTRIES).map(|_| entry(&mut rng)).collect();
    let mut heartbeats: Vec<SentHeartbeat> = Vec::new();
    let mut largest: f64 = 0.0;
    for millis in (PERIOD_MILLIS..RUN_MILLIS).step_by(STEP_MILLIS) {
        let now = TimePoint::START + TimeSpan::from_millis(millis);
        for (sender, one) in entries.iter_mut().enumerate() {
            if millis % DEMAND_MILLIS < STEP_MILLIS as u64 {
                one.demand = [0, rng.gen_range(1..10)][rng.gen_range(0..2)];
            }
            if one.demand > 0 {
                one.shares
                    .record_demand(&team(), TokenCount(one.demand), now);
            }
            if millis % PERIOD_MILLIS == one.phase {
                let demands = one.shares.publish(now);
                let due = millis + one.delay;
                heartbeats.push(SentHeartbeat {
                    due,
                    sender,
                    demands,
                });
            }
        }
        deliver(&mut entries, &mut heartbeats, millis, loss, &mut rng);
        let with_demand = entries.iter().filter(|one| one.demand > 0);
        largest = largest.max(with_demand.map(|one| one.shares.share(&team(), now)).sum());
    }
    largest
}

fn deliver(
    entries: &mut [SimulatedEntry],
    heartbeats: &mut Vec<SentHeartbeat>,
    millis: u64,
    loss: f64,
    rng: &mut Pcg64Mcg,
) {
    let now = TimePoint::START + TimeSpan::from_millis(millis);
    let (due, later): (Vec<_>, Vec<_>) = heartbeats
        .drain(..)
        .partition(|heartbeat| heartbeat.due <= millis);
    *heartbeats = later;
    for heartbeat in due {
        let peer: applefold_core::id::InstanceId = format!("e{}", heartbeat.sender)
            .parse()
            .expect("a valid identifier");
        for (receiver, one) in entries.iter_mut().enumerate() {
            if receiver != heartbeat.sender && !rng.gen_bool(loss) {
                one.shares.observe(peer.clone(), 1, &heartbeat.demands, now);
            }
        }
    }
}

#[test]
fn sum_of_shares_stays_within_limit() {
    for (loss, bound) in [(0.0, 1.0), (0.02, 1.0), (0.2, 1.1)] {
        let sums = (0..SEEDS).map(|seed| max_share_sum(seed, loss));
        let largest = sums.fold(0.0, f64::max);
        assert!(largest <= bound + 1e-9, "{largest} at a loss of {loss}");
    }
}
