//! The seeded faults of a run.

use applefold_core::unit::{TimePoint, TimeSpan};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::workload::exponential;

const CRASH_EVERY: TimeSpan = TimeSpan::from_secs(240);
const WITHDRAWAL_EVERY: TimeSpan = TimeSpan::from_secs(600);
const LATE_REPORTS_EVERY: TimeSpan = TimeSpan::from_secs(300);
const LATE_REPORTS_LAST: TimeSpan = TimeSpan::from_secs(30);
const OUTAGE_EVERY: TimeSpan = TimeSpan::from_secs(600);
const OUTAGE_LASTS: TimeSpan = TimeSpan::from_secs(60);
const PLAIN_CRASH_EVERY: TimeSpan = TimeSpan::from_secs(240);

/// What goes wrong. `pick` chooses among those that are there at that time.
#[derive(Clone, Copy, Debug)]
pub(crate) enum FaultKind {
    Crash { pick: usize },
    Withdrawal { pick: usize },
    PlainCrash { pick: usize },
    LateReports { until: TimePoint },
    Outage { until: TimePoint },
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct FaultEvent {
    pub(crate) at: TimePoint,
    pub(crate) kind: FaultKind,
}

/// Draws the faults of a run.
pub(crate) fn faults(seed: u64, span: TimeSpan) -> Vec<FaultEvent> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed.wrapping_mul(7).wrapping_add(3));
    let mut faults = Vec::new();
    for at in times(&mut rng, CRASH_EVERY, span) {
        let pick = rng.gen_range(0..1_000);
        let kind = FaultKind::Crash { pick };
        faults.push(FaultEvent { at, kind });
    }
    for at in times(&mut rng, WITHDRAWAL_EVERY, span) {
        let pick = rng.gen_range(0..1_000);
        let kind = FaultKind::Withdrawal { pick };
        faults.push(FaultEvent { at, kind });
    }
    for at in times(&mut rng, PLAIN_CRASH_EVERY, span) {
        let pick = rng.gen_range(0..1_000);
        let kind = FaultKind::PlainCrash { pick };
        faults.push(FaultEvent { at, kind });
    }
    for at in times(&mut rng, LATE_REPORTS_EVERY, span) {
        let until = at + LATE_REPORTS_LAST;
        let kind = FaultKind::LateReports { until };
        faults.push(FaultEvent { at, kind });
    }
    for at in times(&mut rng, OUTAGE_EVERY, span) {
        let until = at + OUTAGE_LASTS;
        let kind = FaultKind::Outage { until };
        faults.push(FaultEvent { at, kind });
    }
    faults
}

fn times(rng: &mut Pcg64Mcg, every: TimeSpan, span: TimeSpan) -> Vec<TimePoint> {
    let mean = every.as_secs_f64();
    let mut times = Vec::new();
    let mut secs = exponential(rng, mean);
    while secs < span.as_secs_f64() {
        times.push(TimePoint::START + TimeSpan::from_secs_f64(secs));
        secs += exponential(rng, mean);
    }
    times
}
