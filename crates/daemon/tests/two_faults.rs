//! Guards against failures that appear only when two faults occur at the same time.

mod support;

use actix_http::Method;
use applefold_standins::{FleetOrder, PlatformFaults, StandinClient};
use serde_json::json;
use support::cluster::{chat, key_ticket, ClusterPlan, TestCluster, OTHER_KEY};
use support::{run, until};

const CHAT_PATH: &str = "/v1/chat/completions";
const TOKENS: u64 = 100;

async fn status_of(caller: &StandinClient) -> u16 {
    let body = chat("a question", 2).body(false);
    let answer = caller.call(Method::POST, CHAT_PATH, body).await;
    answer.expect("the entry responds").status
}

async fn holds(cluster: &TestCluster, entry: usize, scope: &str) -> bool {
    let status = cluster.entries[entry].status().await;
    let leases = status["leases"].as_array().cloned().unwrap_or_default();
    let mut held = leases.iter().filter(|row| row["held_here"] == true);
    held.any(|row| row["scope"] == scope)
}

async fn chat_orders(cluster: &TestCluster) -> Vec<FleetOrder> {
    let records = cluster.platform_client().fleet_orders().await;
    let orders = records.expect("the platform responds").into_iter();
    let orders = orders.map(|record| record.order);
    orders.filter(|order| order.pool == "chat").collect()
}

#[test]
fn entry_killed_in_a_platform_outage_affects_no_other_entry() {
    run(async {
        let entry_settings = vec![("--confirm-bound", "2s".to_owned())];
        let plan = ClusterPlan {
            entries: 3,
            entry_settings,
            ..ClusterPlan::default()
        };
        let mut cluster = TestCluster::start(plan).await;
        let down = PlatformFaults {
            down: true,
            ..PlatformFaults::default()
        };
        let platform = cluster.platform_client();
        platform.set_faults(&down).await.expect("the fault is set");
        cluster.entries[0].process.kill();
        for entry in &cluster.entries[1..] {
            until(|| async { entry.status().await["confirmed_ms_ago"].as_u64() > Some(5_000) })
                .await;
            assert_eq!(status_of(&entry.caller()).await, 200);
        }
    });
}

#[test]
fn partitioned_and_paused_holder_sends_no_orders_after_its_successor() {
    run(async {
        let plan = ClusterPlan {
            entries: 3,
            ..ClusterPlan::default()
        };
        let cluster = TestCluster::start(plan).await;
        cluster.wait_leases().await;
        let mut old = 0;
        while !holds(&cluster, old, "fleet").await {
            old += 1;
        }
        cluster.entries[old].platform_relay.partition();
        cluster.entries[old].process.pause();
        let others: Vec<usize> = (0..3).filter(|entry| *entry != old).collect();
        until(|| async {
            holds(&cluster, others[0], "fleet").await || holds(&cluster, others[1], "fleet").await
        })
        .await;
        cluster.entries[old].process.resume();
        let ticket = json!({"ticket": 2, "author": "ana", "pools": [
            {"id": "chat", "kind": "model", "min": 4, "max": 8, "failure_domains": ["d1", "d2"]},
        ]});
        until(|| async { cluster.entries[others[0]].file(&ticket).await.status == 200 }).await;
        cluster.entries[old].platform_relay.heal();
        until(|| async { chat_orders(&cluster).await.len() >= 2 }).await;
        let orders = chat_orders(&cluster).await;
        assert_eq!(orders.len(), 2, "{orders:?}");
        let name = &cluster.entries[old].name;
        for order in orders {
            assert!(!order.holder.starts_with(name.as_str()), "{order:?}");
        }
    });
}

#[test]
fn engine_crash_during_a_key_withdrawal_affects_no_other_team() {
    run(async {
        let cluster = TestCluster::start(ClusterPlan::default()).await;
        let own = cluster.entries[0].caller();
        let other = StandinClient::new(cluster.entries[0].address()).with_bearer(OTHER_KEY);
        let calls = [chat("of the one", TOKENS), chat("of the other", TOKENS)];
        let mut withdrawn = own.chat_stream(&calls[0]).await.expect("the stream starts");
        let mut unaffected = other
            .chat_stream(&calls[1])
            .await
            .expect("the stream starts");
        withdrawn.next_text().await.expect("the stream continues");
        let filed = cluster.entries[0].file(&key_ticket(2, "withdrawn")).await;
        assert_eq!(filed.status, 200, "{}", filed.text());
        for slot in &cluster.backends[..1] {
            slot.client().crash().await.expect("the engine crashes");
        }
        let text = unaffected
            .read_to_end()
            .await
            .expect("the stream is complete");
        assert_eq!(text, calls[1].expected_text());
        // A stream of the withdrawn key completes or fails; it is never truncated without an error.
        if let Ok(rest) = withdrawn.read_to_end().await {
            assert!(calls[0].expected_text().ends_with(&rest) && !rest.is_empty());
        }
        assert_eq!(status_of(&own).await, 401);
    });
}
