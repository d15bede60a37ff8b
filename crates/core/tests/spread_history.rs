//! Random histories of kills, pauses, partitions and outages over many processes: a withdrawn key is
//! refused within the bound, and no acknowledged ticket is lost.

mod support;

use std::collections::BTreeMap;

use applefold_core::replication::{ReplicationSettings, UnconfirmedRule};
use applefold_core::ticket::FilingOutcome;
use applefold_core::unit::TimeSpan;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::support::cluster::{Cluster, PlannedPartition};
use crate::support::key_ticket;

const WARM_UP: TimeSpan = TimeSpan::from_secs(6);
const FILING_TIME: TimeSpan = TimeSpan::from_secs(8);
/// The bound of docs/design/spreading.md, plus the drift of the clocks and a step.
const KEY_BOUND: TimeSpan = TimeSpan::from_millis(5_250);
/// How long the cluster is left undisturbed after the withdrawal.
const QUIET_TIME: TimeSpan = TimeSpan::from_secs(8);
/// How long after the withdrawal the use of the key is checked.
const WATCHED_TIME: TimeSpan = TimeSpan::from_secs(24);

fn settings(rule: UnconfirmedRule, max_counted_instances: usize) -> ReplicationSettings {
    ReplicationSettings {
        rule,
        max_counted_instances,
        ..ReplicationSettings::default()
    }
}

struct History {
    seed: u64,
    rule: UnconfirmedRule,
    max_counted_instances: usize,
}

fn accepted(outcome: &FilingOutcome) -> bool {
    matches!(outcome, FilingOutcome::Accepted { .. })
}

/// Draws a partition: each node on a random side, or each failure domain whole.
fn draw_sides(cluster: &Cluster, rng: &mut Pcg64Mcg) -> BTreeMap<usize, u32> {
    let domains = rng.gen_range(0..8_u32);
    let by_node = rng.gen_ratio(1, 3);
    let sides = (0..cluster.nodes.len()).map(|node| {
        let side = match by_node {
            true => u32::from(rng.gen_ratio(1, 2)),
            false => domains >> (node % 4) & 1,
        };
        (node, side)
    });
    sides.collect()
}

fn disturb(cluster: &mut Cluster, rng: &mut Pcg64Mcg, names: &mut u64) {
    let at = rng.gen_range(0..cluster.nodes.len());
    match rng.gen_range(0..7) {
        0 => cluster.store_down = !cluster.store_down,
        1 | 2 => cluster.sides = draw_sides(cluster, rng),
        3 => cluster.sides.clear(),
        4 => {
            let span = TimeSpan::from_millis(rng.gen_range(100..9_000));
            cluster.nodes[at].paused_until = cluster.now + span;
        }
        5 => {
            *names += 1;
            cluster.replace(at, &format!("r{names}"));
        }
        _ => cluster.loss_percent = rng.gen_range(0..30),
    }
}

/// Returns how long after the acknowledgement of its withdrawal the key was last accepted, or `None`
/// if the withdrawal was not acknowledged.
///
/// Fails if a ticket is refused without any fault, if an acknowledged withdrawal is lost, or if
/// processes refuse requests after all faults have ended.
fn run(history: &History) -> Result<Option<TimeSpan>, String> {
    let mut rng = Pcg64Mcg::seed_from_u64(history.seed);
    let settings = settings(history.rule, history.max_counted_instances);
    let mut cluster = Cluster::new(4, 4, settings, history.seed);
    cluster.naive = history.rule == UnconfirmedRule::ServeAlways;
    let mut names = 0;
    cluster.run(WARM_UP);
    let given = cluster.file(0, &key_ticket(1, "active"), FILING_TIME);
    if !accepted(&given) {
        return Err(format!(
            "a cluster without faults refuses a ticket: {given:?}"
        ));
    }
    cluster.run(TimeSpan::from_secs(3));
    if rng.gen_ratio(1, 4) {
        disturb(&mut cluster, &mut rng, &mut names);
        cluster.run(TimeSpan::from_millis(rng.gen_range(0..3_000)));
    }
    let at = rng.gen_range(0..cluster.nodes.len());
    cluster.planned = Some(PlannedPartition {
        at: cluster.now + TimeSpan::from_millis(rng.gen_range(0..700)),
        sides: draw_sides(&cluster, &mut rng),
    });
    let withdrawn = cluster.file(at, &key_ticket(2, "withdrawn"), FILING_TIME);
    let since = cluster.now;
    let mut last = TimeSpan::ZERO;
    let mut next = cluster.now + QUIET_TIME;
    while cluster.now.since(since) < WATCHED_TIME {
        if cluster.now >= next {
            disturb(&mut cluster, &mut rng, &mut names);
            next = cluster.now + TimeSpan::from_millis(rng.gen_range(0..8_000));
        }
        cluster.step();
        if accepted(&withdrawn) && !cluster.key_servers().is_empty() {
            last = cluster.now.since(since);
        }
    }
    heal(&mut cluster);
    if accepted(&withdrawn) && !cluster.key_servers().is_empty() {
        return Err("an acknowledged withdrawal is lost".to_owned());
    }
    if cluster.refusing() > 0 {
        return Err(format!(
            "{} processes refuse requests after all faults ended",
            cluster.refusing()
        ));
    }
    Ok(accepted(&withdrawn).then_some(last))
}

fn heal(cluster: &mut Cluster) {
    cluster.store_down = false;
    cluster.sides.clear();
    cluster.loss_percent = 0;
    for node in &mut cluster.nodes {
        node.paused_until = cluster.now;
    }
    cluster.run(TimeSpan::from_secs(14));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 40,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn withdrawn_key_dies_within_the_bound(seed: u64, by_domain: bool) {
        let max_counted_instances = if by_domain { 0 } else { 64 };
        let rule = UnconfirmedRule::RequireQuorum;
        let last = run(&History { seed, rule, max_counted_instances });
        prop_assert!(last.is_ok(), "{last:?}");
        prop_assert!(last <= Ok(Some(KEY_BOUND)), "{last:?}");
    }
}

/// The naive reference serves without confirmation, and acknowledges a ticket as soon as it is in the
/// log. The checker must find that it accepts a withdrawn key for too long.
#[test]
fn the_checker_finds_fault_with_serving_on() {
    let outcomes = |rule: UnconfirmedRule| {
        let runs = (0..25).map(move |seed| {
            run(&History {
                seed,
                rule,
                max_counted_instances: 64,
            })
        });
        runs.collect::<Vec<_>>()
    };
    let naive = outcomes(UnconfirmedRule::ServeAlways);
    let late = naive
        .iter()
        .filter(|last| **last > Ok(Some(KEY_BOUND)))
        .count();
    let split = outcomes(UnconfirmedRule::RequireQuorum);
    let acknowledged = split
        .iter()
        .filter(|last| matches!(last, Ok(Some(_))))
        .count();
    println!("of 25 histories {acknowledged} acknowledged; the naive rule is late in {late}");
    assert!(late > 0, "{late}");
    assert!(acknowledged >= 8, "{acknowledged}");
}

#[test]
fn a_process_back_after_an_hour_catches_up() {
    let mut cluster = Cluster::new(3, 3, settings(UnconfirmedRule::RequireQuorum, 64), 5);
    cluster.run(WARM_UP);
    let given = cluster.file(0, &key_ticket(1, "active"), FILING_TIME);
    assert!(accepted(&given), "{given:?}");
    cluster.run(TimeSpan::from_secs(3));
    cluster.nodes[4].paused_until = cluster.now + TimeSpan::from_secs(60);
    cluster.run(TimeSpan::from_secs(5));
    let withdrawn = cluster.file(0, &key_ticket(2, "withdrawn"), FILING_TIME);
    assert!(accepted(&withdrawn), "{withdrawn:?}");
    cluster.run(TimeSpan::from_secs(5));
    let hour = TimeSpan::from_secs(3_600);
    cluster.now = cluster.now + hour;
    cluster.nodes[4].paused_until = cluster.now;
    for _ in 0..200 {
        assert!(
            !cluster.key_servers().contains(&4),
            "it serves by a configuration that is an hour old"
        );
        cluster.step();
    }
    assert_eq!(
        cluster.nodes[4].replica.config(),
        cluster.nodes[0].replica.config()
    );
    assert!(cluster.serves(4));
}
