//! Requests that are not idempotent run at most once, even when entries, services or the store
//! fail during a retry, and a response that says "not run" is correct.

mod support;

use applefold_standins::{ClientAnswer, ExecutionRecord, PlainFaults, PlatformFaults};
use support::cluster::{ClusterPlan, TestCluster};
use support::{run, until};

fn plan() -> ClusterPlan {
    ClusterPlan {
        entries: 2,
        engines: Vec::new(),
        plain: 2,
        ..ClusterPlan::default()
    }
}

async fn executions(cluster: &TestCluster) -> Vec<ExecutionRecord> {
    let mut all = Vec::new();
    for slot in &cluster.backends {
        all.extend(
            slot.client()
                .executions()
                .await
                .expect("the service responds"),
        );
    }
    all
}

fn code_of(answer: &ClientAnswer) -> u64 {
    let body: serde_json::Value = answer.json().expect("the body is JSON");
    body["error"]["code"].as_u64().unwrap_or_default()
}

/// Retries a charge until the response is final: not a refusal that asks the caller to wait.
async fn charge_until_final(cluster: &TestCluster, entry: usize, key: &str) -> ClientAnswer {
    let last = std::cell::RefCell::new(None);
    until(|| async {
        let answer = cluster.entries[entry]
            .charge(Some(key), "{\"amount\":3}")
            .await;
        let waiting = matches!(code_of(&answer), 1010 | 1014 | 2004);
        last.replace(Some(answer));
        !waiting
    })
    .await;
    last.into_inner().expect("a response came")
}

#[test]
fn retry_at_any_entry_replays_the_stored_response() {
    run(async {
        let cluster = TestCluster::start(plan()).await;
        cluster.wait_leases().await;
        let first = charge_until_final(&cluster, 0, "one").await;
        for entry in [1, 0, 1] {
            let again = charge_until_final(&cluster, entry, "one").await;
            assert_eq!((again.status, &again.body), (200, &first.body));
        }
        assert_eq!(executions(&cluster).await.len(), 1);
        let other = cluster.entries[0]
            .charge(Some("one"), "{\"amount\":4}")
            .await;
        assert_eq!((other.status, code_of(&other)), (409, 1015));
        assert_eq!(executions(&cluster).await.len(), 1);
    });
}

#[test]
fn every_entry_of_many_finds_the_owner_of_a_claim() {
    run(async {
        let many = ClusterPlan {
            entries: 5,
            ..plan()
        };
        let cluster = TestCluster::start(many).await;
        cluster.wait_leases().await;
        for entry in 0..5 {
            for number in 0..4 {
                let key = format!("key-{entry}-{number}");
                let answer = charge_until_final(&cluster, entry, &key).await;
                assert_eq!(answer.status, 200, "{}", answer.text());
            }
        }
        assert_eq!(executions(&cluster).await.len(), 20);
    });
}

#[test]
fn retry_while_the_first_entry_is_paused_runs_once() {
    run(async {
        let cluster = TestCluster::start(plan()).await;
        cluster.wait_leases().await;
        for slot in &cluster.backends {
            let slow = PlainFaults {
                slow_ms: 400,
                ..PlainFaults::default()
            };
            slot.client()
                .set_faults(&slow)
                .await
                .expect("the fault is set");
        }
        let first = async {
            let _ = cluster.entries[0]
                .charge(Some("paused"), "{\"amount\":3}")
                .await;
        };
        let second = async {
            until(|| async { !executions(&cluster).await.is_empty() }).await;
            cluster.entries[0].process.pause();
            // Nothing runs again before the owner of the claim or the outcome is known.
            for _ in 0..5 {
                let again = cluster.entries[1]
                    .charge(Some("paused"), "{\"amount\":3}")
                    .await;
                assert!(
                    matches!(code_of(&again), 0 | 1014 | 2001 | 2004),
                    "{}",
                    again.text()
                );
            }
            cluster.entries[0].process.resume();
        };
        futures_util::join!(first, second);
        let again = charge_until_final(&cluster, 1, "paused").await;
        assert!(
            matches!(code_of(&again), 0 | 2001 | 2003),
            "{}",
            again.text()
        );
        assert_eq!(executions(&cluster).await.len(), 1);
    });
}

#[test]
fn retry_after_the_first_entry_crashed_runs_at_most_once() {
    run(async {
        let mut cluster = TestCluster::start(plan()).await;
        cluster.wait_leases().await;
        for slot in &cluster.backends {
            let slow = PlainFaults {
                slow_ms: 400,
                ..PlainFaults::default()
            };
            slot.client()
                .set_faults(&slow)
                .await
                .expect("the fault is set");
        }
        let address = cluster.entries[0].address();
        let caller = applefold_standins::StandinClient::new(address)
            .with_bearer(support::cluster::CALLER_KEY)
            .with_header("idempotency-key", "died");
        let first = caller.call(
            actix_http::Method::POST,
            "/till/charge",
            "{\"amount\":3}".into(),
        );
        let started = async {
            until(|| async { !executions(&cluster).await.is_empty() }).await;
        };
        tokio::select! {
            _ = first => {}
            () = started => {}
        }
        cluster.entries[0].process.kill();
        let answer = charge_until_final(&cluster, 1, "died").await;
        assert!(
            matches!(code_of(&answer), 0 | 2001 | 2003),
            "{}",
            answer.text()
        );
        assert_eq!(executions(&cluster).await.len(), 1);
    });
}

#[test]
fn request_whose_claim_cannot_be_stored_is_not_run() {
    run(async {
        let cluster = TestCluster::start(plan()).await;
        cluster.wait_leases().await;
        let platform = cluster.platform_client();
        let down = PlatformFaults {
            down: true,
            ..PlatformFaults::default()
        };
        platform.set_faults(&down).await.expect("the fault is set");
        let refused = cluster.entries[0]
            .charge(Some("outage"), "{\"amount\":3}")
            .await;
        assert_eq!((refused.status, code_of(&refused)), (503, 1014));
        assert_eq!(refused.headers["x-applefold-run-state"], "not_run");
        assert!(refused.headers.contains_key("retry-after"));
        assert_eq!(
            executions(&cluster).await.len(),
            0,
            "the request ran although it was reported as not run"
        );
        let up = PlatformFaults::default();
        platform.set_faults(&up).await.expect("the fault ends");
        let answer = charge_until_final(&cluster, 0, "outage").await;
        assert_eq!(answer.status, 200, "{}", answer.text());
        assert_eq!(executions(&cluster).await.len(), 1);
    });
}

#[test]
fn lost_store_reply_to_a_claim_runs_once() {
    run(async {
        let cluster = TestCluster::start(plan()).await;
        cluster.wait_leases().await;
        let platform = cluster.platform_client();
        let lose = PlatformFaults {
            lose_answers: 3,
            ..PlatformFaults::default()
        };
        platform.set_faults(&lose).await.expect("the fault is set");
        let answer = charge_until_final(&cluster, 0, "lost").await;
        assert!(matches!(code_of(&answer), 0 | 2003), "{}", answer.text());
        assert_eq!(executions(&cluster).await.len(), 1);
    });
}

#[test]
fn charge_whose_service_crashes_gets_unknown_and_is_not_sent_again() {
    run(async {
        let cluster = TestCluster::start(plan()).await;
        cluster.wait_leases().await;
        for slot in &cluster.backends {
            let crash = PlainFaults {
                crash_on: Some("boom".to_owned()),
                ..PlainFaults::default()
            };
            slot.client()
                .set_faults(&crash)
                .await
                .expect("the fault is set");
        }
        for key in [None, Some("boom")] {
            let before = execution_count(&cluster).await;
            let answer = cluster.entries[0].charge(key, "{\"text\":\"boom\"}").await;
            assert_eq!(
                (answer.status, code_of(&answer)),
                (504, 2001),
                "{}",
                answer.text()
            );
            assert_eq!(answer.headers["x-applefold-run-state"], "unknown");
            until(|| async { execution_count(&cluster).await > before }).await;
            assert_eq!(execution_count(&cluster).await, before + 1);
            if let Some(key) = key {
                let again = cluster.entries[1]
                    .charge(Some(key), "{\"text\":\"boom\"}")
                    .await;
                assert!(matches!(code_of(&again), 2001 | 2004), "{}", again.text());
                assert_eq!(execution_count(&cluster).await, before + 1);
            }
        }
    });
}

/// Waits until every service is up, and returns the total number of requests that they executed.
async fn execution_count(cluster: &TestCluster) -> usize {
    let mut count = 0;
    for slot in &cluster.backends {
        let found = std::cell::Cell::new(None);
        until(|| async {
            let records = slot.client().executions().await;
            found.set(records.ok().map(|records| records.len()));
            found.get().is_some()
        })
        .await;
        count += found.get().unwrap_or_default();
    }
    count
}
