//! Shares of a limit stay within the whole when heartbeats are out of step, late or lost.

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

struct EntryClock {
    shares: TeamShares,
    phase: u64,
    delay: u64,
    demand: u64,
}

struct SentBeat {
    due: u64,
    sender: usize,
    uses: Vec<TeamDemand>,
}

fn team() -> TeamId {
    "oficinas".parse().expect("a valid identifier")
}

fn entry(rng: &mut Pcg64Mcg) -> EntryClock {
    let mut shares = TeamShares::new(TimeSpan::from_millis(PERIOD_MILLIS));
    shares.set_entry_count(ENTRIES as u32);
    let step = STEP_MILLIS as u64;
    EntryClock {
        shares,
        phase: rng.gen_range(0..PERIOD_MILLIS / step) * step,
        delay: rng.gen_range(0..900),
        demand: rng.gen_range(0..4),
    }
}

/// Returns the largest sum of the shares of the entries that are asked at one moment.
fn largest_sum(seed: u64, loss: f64) -> f64 {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut entries: Vec<EntryClock> = (0..ENTRIES).map(|_| entry(&mut rng)).collect();
    let mut beats: Vec<SentBeat> = Vec::new();
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
                let uses = one.shares.publish(now);
                let due = millis + one.delay;
                beats.push(SentBeat { due, sender, uses });
            }
        }
        deliver(&mut entries, &mut beats, millis, loss, &mut rng);
        let asked = entries.iter().filter(|one| one.demand > 0);
        largest = largest.max(asked.map(|one| one.shares.share(&team(), now)).sum());
    }
    largest
}

fn deliver(
    entries: &mut [EntryClock],
    beats: &mut Vec<SentBeat>,
    millis: u64,
    loss: f64,
    rng: &mut Pcg64Mcg,
) {
    let now = TimePoint::START + TimeSpan::from_millis(millis);
    let (due, later): (Vec<_>, Vec<_>) = beats.drain(..).partition(|beat| beat.due <= millis);
    *beats = later;
    for beat in due {
        let peer: applefold_core::id::InstanceId = format!("e{}", beat.sender)
            .parse()
            .expect("a valid identifier");
        for (hearer, one) in entries.iter_mut().enumerate() {
            if hearer != beat.sender && !rng.gen_bool(loss) {
                one.shares.observe(peer.clone(), 1, &beat.uses, now);
            }
        }
    }
}

#[test]
fn shares_stay_within_the_whole() {
    for (loss, most) in [(0.0, 1.0), (0.02, 1.0), (0.2, 1.1)] {
        let sums = (0..SEEDS).map(|seed| largest_sum(seed, loss));
        let largest = sums.fold(0.0, f64::max);
        assert!(largest <= most + 1e-9, "{largest} at a loss of {loss}");
    }
}
