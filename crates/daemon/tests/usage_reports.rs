//! No usage window is reported twice with different figures, or by two processes.

mod support;

use applefold_standins::{PlatformFaults, UsageView};
use support::cluster::{chat, ClusterPlan, TestCluster};
use support::{run, until};

const TOKENS: u64 = 5;
const CHATS: u64 = 4;

fn plan() -> ClusterPlan {
    ClusterPlan {
        entries: 2,
        settings: vec![("--usage-window", "2s".to_owned())],
        ..ClusterPlan::default()
    }
}

async fn generate_usage(cluster: &TestCluster) {
    for number in 0..CHATS {
        let entry = &cluster.entries[number as usize % cluster.entries.len()];
        let call = chat(&format!("use {number}"), TOKENS);
        let mut stream = entry
            .caller()
            .chat_stream(&call)
            .await
            .expect("the stream starts");
        stream.read_to_end().await.expect("the stream is complete");
    }
}

fn answer_tokens(view: &UsageView) -> u64 {
    view.reports.iter().map(|report| report.answer_tokens).sum()
}

async fn wait_reported(cluster: &TestCluster) -> UsageView {
    let platform = cluster.platform_client();
    until(|| async {
        let view = platform.usage().await;
        view.is_ok_and(|view| answer_tokens(&view) >= TOKENS * CHATS)
    })
    .await;
    platform.usage().await.expect("the platform responds")
}

#[test]
fn every_token_is_billed_once() {
    run(async {
        let cluster = TestCluster::start(plan()).await;
        generate_usage(&cluster).await;
        let view = wait_reported(&cluster).await;
        assert_eq!(answer_tokens(&view), TOKENS * CHATS);
        assert!(view.violations.is_empty(), "{:?}", view.violations);
        assert!(view.reports.iter().all(|report| report.team == "brigada"));
        let requests: u64 = view.reports.iter().map(|report| report.requests).sum();
        assert_eq!(requests, CHATS);
    });
}

#[test]
fn report_with_a_lost_response_is_billed_once() {
    run(async {
        let cluster = TestCluster::start(plan()).await;
        cluster.wait_leases().await;
        generate_usage(&cluster).await;
        let platform = cluster.platform_client();
        let lose = PlatformFaults {
            lose_answers: 12,
            ..PlatformFaults::default()
        };
        platform.set_faults(&lose).await.expect("the fault is set");
        let view = wait_reported(&cluster).await;
        assert_eq!(answer_tokens(&view), TOKENS * CHATS);
        assert!(view.violations.is_empty(), "{:?}", view.violations);
    });
}

#[test]
fn successor_of_a_killed_reporter_reports_the_same_figures() {
    run(async {
        let mut cluster = TestCluster::start(plan()).await;
        cluster.wait_leases().await;
        generate_usage(&cluster).await;
        let status = cluster.entries[0].status().await;
        let leases = status["leases"].as_array().cloned().unwrap_or_default();
        let mut held = leases.iter().filter(|row| row["held_here"] == true);
        let holder = usize::from(!held.any(|row| row["scope"] == "usage"));
        // The figures have to reach the aggregator that survives.
        actix_rt::time::sleep(std::time::Duration::from_millis(2_500)).await;
        cluster.entries[holder].process.kill();
        let view = wait_reported(&cluster).await;
        assert_eq!(answer_tokens(&view), TOKENS * CHATS);
        assert!(view.violations.is_empty(), "{:?}", view.violations);
    });
}

#[test]
fn stopping_sidecar_hands_its_figures_to_aggregators() {
    run(async {
        let cluster = TestCluster::start(plan()).await;
        cluster.wait_leases().await;
        generate_usage(&cluster).await;
        for slot in &cluster.backends {
            slot.sidecar.terminate();
        }
        let view = wait_reported(&cluster).await;
        assert_eq!(answer_tokens(&view), TOKENS * CHATS);
        assert!(view.violations.is_empty(), "{:?}", view.violations);
    });
}
