//! Requests run only for the team whose caller key they carry, the key reaches no backend server
//! and no log, and a withdrawn key stops working within seconds, also during an outage of the
//! platform.

mod support;

use actix_http::Method;
use applefold_standins::{ClientAnswer, PlatformFaults, StandinClient};
use bytes::Bytes;
use support::cluster::{chat, key_ticket, ClusterPlan, TestCluster, CALLER_KEY, OTHER_KEY};
use support::{run, until};

const CHAT_PATH: &str = "/v1/chat/completions";

async fn ask(caller: &StandinClient) -> ClientAnswer {
    let body = chat("a question", 2).body(false);
    let answer = caller.call(Method::POST, CHAT_PATH, body).await;
    answer.expect("the entry responds")
}

fn code_of(answer: &ClientAnswer) -> u64 {
    let body: serde_json::Value = answer.json().expect("the body is JSON");
    body["error"]["code"].as_u64().unwrap_or_default()
}

#[test]
fn unauthorized_calls_are_refused() {
    run(async {
        let plan = ClusterPlan {
            plain: 1,
            ..ClusterPlan::default()
        };
        let cluster = TestCluster::start(plan).await;
        let address = cluster.entries[0].address();
        let cases = [
            (StandinClient::new(address), CHAT_PATH, 401, 1001),
            (
                StandinClient::new(address).with_bearer("guess"),
                CHAT_PATH,
                401,
                1002,
            ),
            (
                StandinClient::new(address).with_bearer(""),
                CHAT_PATH,
                401,
                1001,
            ),
            (
                StandinClient::new(address).with_bearer(OTHER_KEY),
                "/till/balance",
                403,
                1003,
            ),
            (
                StandinClient::new(address).with_bearer(CALLER_KEY),
                "/nowhere",
                404,
                1004,
            ),
            (
                StandinClient::new(address).with_bearer(CALLER_KEY),
                "/operator/status",
                401,
                3012,
            ),
        ];
        for (caller, path, status, code) in cases {
            let body = chat("a question", 2).body(false);
            let answer = caller.call(Method::POST, path, body).await;
            let answer = answer.expect("the entry responds");
            assert_eq!((answer.status, code_of(&answer)), (status, code), "{path}");
            assert_eq!(answer.headers["x-applefold-run-state"], "not_run");
        }
        for slot in &cluster.backends[..2] {
            let history = slot
                .client()
                .engine_history()
                .await
                .expect("the engine responds");
            assert!(
                history.requests.is_empty(),
                "a refused request reached an engine"
            );
        }
    });
}

#[test]
fn key_reaches_no_backend_server_and_no_log() {
    run(async {
        let plan = ClusterPlan {
            plain: 1,
            ..ClusterPlan::default()
        };
        let cluster = TestCluster::start(plan).await;
        cluster.wait_leases().await;
        let caller = cluster.entries[0]
            .caller()
            .with_header("cookie", CALLER_KEY);
        assert_eq!(ask(&caller).await.status, 200);
        assert_eq!(
            cluster.entries[0].charge(Some("one"), "{}").await.status,
            200
        );
        for slot in &cluster.backends {
            let history = slot
                .client()
                .call(Method::GET, "/history", Bytes::new())
                .await;
            let history = history.expect("the backend server responds").text();
            assert!(!history.contains(CALLER_KEY), "{} saw the key", slot.name);
            assert!(!slot.sidecar.log().contains(CALLER_KEY));
        }
        assert!(!cluster.entries[0].process.log().contains(CALLER_KEY));
        let status = cluster.entries[0].status().await.to_string();
        assert!(!status.contains(CALLER_KEY));
    });
}

#[test]
fn withdrawn_key_stops_working_at_every_entry() {
    run(async {
        let plan = ClusterPlan {
            entries: 2,
            ..ClusterPlan::default()
        };
        let cluster = TestCluster::start(plan).await;
        let callers = [cluster.entries[0].caller(), cluster.entries[1].caller()];
        let call = chat("a long answer", 100);
        let mut stream = callers[1]
            .chat_stream(&call)
            .await
            .expect("the stream begins");
        stream.next_text().await.expect("the stream goes on");
        let filed = cluster.entries[0].file(&key_ticket(2, "withdrawn")).await;
        assert_eq!(filed.status, 200, "{}", filed.text());
        // The callers reuse their connections.
        for caller in &callers {
            until(|| async { code_of(&ask(caller).await) == 1002 }).await;
        }
        // A request admitted before the withdrawal completes.
        let rest = stream.read_to_end().await.expect("the stream is complete");
        assert!(call.expected_text().ends_with(&rest));
    });
}

#[test]
fn withdrawn_key_is_refused_at_an_entry_without_the_platform() {
    run(async {
        let plan = ClusterPlan {
            entries: 2,
            ..ClusterPlan::default()
        };
        let cluster = TestCluster::start(plan).await;
        cluster.entries[1].platform_relay.partition();
        let filed = cluster.entries[0].file(&key_ticket(2, "withdrawn")).await;
        assert_eq!(filed.status, 200, "{}", filed.text());
        let caller = cluster.entries[1].caller();
        until(|| async { ask(&caller).await.status != 200 }).await;
        until(|| async { code_of(&ask(&caller).await) == 1002 }).await;
    });
}

#[test]
fn withdrawn_key_stays_refused_in_a_platform_outage() {
    run(async {
        let plan = ClusterPlan {
            entries: 2,
            ..ClusterPlan::default()
        };
        let cluster = TestCluster::start(plan).await;
        let filed = cluster.entries[0].file(&key_ticket(2, "withdrawn")).await;
        assert_eq!(filed.status, 200, "{}", filed.text());
        let down = PlatformFaults {
            down: true,
            ..PlatformFaults::default()
        };
        let platform = cluster.platform_client();
        platform.set_faults(&down).await.expect("the fault is set");
        for entry in &cluster.entries {
            let caller = entry.caller();
            until(|| async { code_of(&ask(&caller).await) == 1002 }).await;
            assert_ne!(ask(&caller).await.status, 200, "the key was accepted again");
        }
    });
}

#[test]
fn platform_outage_alone_refuses_no_caller() {
    run(async {
        let entry_settings = vec![("--confirm-bound", "2s".to_owned())];
        let plan = ClusterPlan {
            entries: 2,
            entry_settings,
            ..ClusterPlan::default()
        };
        let cluster = TestCluster::start(plan).await;
        let down = PlatformFaults {
            down: true,
            ..PlatformFaults::default()
        };
        let platform = cluster.platform_client();
        platform.set_faults(&down).await.expect("the fault is set");
        let caller = cluster.entries[0].caller();
        // Waits until the age of the confirmation, as the entry reports it, is well past the bound.
        until(|| async {
            let status = cluster.entries[0].status().await;
            status["confirmed_ms_ago"].as_u64() > Some(4_000)
        })
        .await;
        for _ in 0..10 {
            assert_eq!(
                ask(&caller).await.status,
                200,
                "a caller was refused during the outage"
            );
        }
    });
}
