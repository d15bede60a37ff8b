//! The platform never receives backend server orders from two processes that both act as the lease
//! holder, and it receives each order once.

mod support;

use std::collections::BTreeSet;

use applefold_standins::{FleetAction, FleetOrder, PlatformFaults};
use serde_json::{json, Value};
use support::cluster::{ClusterPlan, TestCluster};
use support::{run, until};

/// How long to wait for surplus orders before the orders are counted.
const SETTLE_TIME: std::time::Duration = std::time::Duration::from_secs(3);

fn plan() -> ClusterPlan {
    ClusterPlan {
        entries: 2,
        entry_settings: vec![("--restart-grace", "1s".to_owned())],
        ..ClusterPlan::default()
    }
}

fn pool_ticket(number: u64, min: u64) -> Value {
    json!({"ticket": number, "author": "ana", "pools": [
        {"id": "chat", "kind": "model", "min": min, "max": 8, "failure_domains": ["d1", "d2", "d3"]},
    ]})
}

async fn start_orders(cluster: &TestCluster) -> Vec<FleetOrder> {
    let records = cluster.platform_client().fleet_orders().await;
    let records = records.expect("the platform responds");
    let orders = records.into_iter().map(|record| record.order);
    orders
        .filter(|order| order.action == FleetAction::Start && order.pool == "chat")
        .collect()
}

/// Checks that fencing numbers never decrease and that each belongs to one holder.
fn check_fencing(orders: &[FleetOrder]) {
    for pair in orders.windows(2) {
        assert!(
            pair[0].fencing <= pair[1].fencing,
            "a superseded holder sent an order: {pair:?}"
        );
        if pair[0].fencing == pair[1].fencing {
            assert_eq!(
                pair[0].holder, pair[1].holder,
                "two holders share a fencing number"
            );
        }
    }
}

async fn holder(cluster: &TestCluster) -> usize {
    for (index, entry) in cluster.entries.iter().enumerate() {
        let status = entry.status().await;
        let leases = status["leases"].as_array().cloned().unwrap_or_default();
        let mut held = leases.iter().filter(|row| row["held_here"] == true);
        if held.any(|row| row["scope"] == "fleet") {
            return index;
        }
    }
    panic!("no entry holds the fleet lease");
}

#[test]
fn missing_servers_are_ordered_once_each() {
    run(async {
        let cluster = TestCluster::start(plan()).await;
        cluster.wait_leases().await;
        assert!(
            start_orders(&cluster).await.is_empty(),
            "existing servers were ordered again"
        );
        let filed = cluster.entries[0].file(&pool_ticket(2, 5)).await;
        assert_eq!(filed.status, 200, "{}", filed.text());
        until(|| async { start_orders(&cluster).await.len() >= 3 }).await;
        actix_rt::time::sleep(SETTLE_TIME).await;
        let orders = start_orders(&cluster).await;
        assert_eq!(orders.len(), 3, "{orders:?}");
        let ids: BTreeSet<&str> = orders.iter().map(|order| order.order_id.as_str()).collect();
        assert_eq!(ids.len(), 3, "an order was duplicated");
        check_fencing(&orders);
    });
}

#[test]
fn orders_with_lost_responses_are_not_duplicated() {
    run(async {
        let cluster = TestCluster::start(plan()).await;
        cluster.wait_leases().await;
        let lose = PlatformFaults {
            lose_answers: 6,
            ..PlatformFaults::default()
        };
        let platform = cluster.platform_client();
        let filed = cluster.entries[0].file(&pool_ticket(2, 4)).await;
        assert_eq!(filed.status, 200, "{}", filed.text());
        platform.set_faults(&lose).await.expect("the fault is set");
        until(|| async { start_orders(&cluster).await.len() >= 2 }).await;
        actix_rt::time::sleep(SETTLE_TIME).await;
        let orders = start_orders(&cluster).await;
        let ids: BTreeSet<&str> = orders.iter().map(|order| order.order_id.as_str()).collect();
        assert_eq!(ids.len(), 2, "{orders:?}");
        check_fencing(&orders);
    });
}

#[test]
fn only_the_successor_of_a_paused_holder_orders() {
    run(async {
        let cluster = TestCluster::start(plan()).await;
        cluster.wait_leases().await;
        let paused = holder(&cluster).await;
        let other = 1 - paused;
        cluster.entries[paused].process.pause();
        until(|| async {
            let status = cluster.entries[other].status().await;
            let leases = status["leases"].as_array().cloned().unwrap_or_default();
            leases
                .iter()
                .any(|row| row["scope"] == "fleet" && row["held_here"] == true)
        })
        .await;
        cluster.entries[paused].process.resume();
        until(|| async {
            let filed = cluster.entries[other].file(&pool_ticket(2, 4)).await;
            filed.status == 200
        })
        .await;
        until(|| async { start_orders(&cluster).await.len() >= 2 }).await;
        actix_rt::time::sleep(SETTLE_TIME).await;
        let orders = start_orders(&cluster).await;
        assert_eq!(orders.len(), 2, "{orders:?}");
        check_fencing(&orders);
        let name = &cluster.entries[other].name;
        assert!(orders
            .iter()
            .all(|order| order.holder.starts_with(name.as_str())));
    });
}
