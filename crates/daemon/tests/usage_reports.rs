//! No usage window is reported twice with different figures, nor by two processes.

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

async fn use_some(cluster: &TestCluster) {
    for number in 0..CHATS {
        let entry = &cluster.entries[number as usize % cluster.entries.len()];
        let call = chat(&format!("use {number}"), TOKENS);
        let mut stream = entry
            .caller()
            .chat_stream(&call)
            .await
            .expect("the stream begins");
        stream.read_to_end().await.expect("the stream is whole");
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
    platform.usage().await.expect("the platform answers")
}

#[test]
fn every_token_is_billed_once() {
    run(async {
        let cluster = TestCluster::start(plan()).await;
        use_some(&cluster).await;
        let view = wait_reported(&cluster).await;
        assert_eq!(answer_tokens(&view), TOKENS * CHATS);
        assert!(view.violations.is_empty(), "{:?}", view.violations);
        assert!(view.reports.iter().all(|report| report.team == "brigada"));
        let requests: u64 = view.reports.iter().map(|report| report.requests).sum();
        assert_eq!(requests, CHATS);
    });
}

#[test]
fn lost_answers_of_reports_bill_once() {
    run(async {
        let cluster = TestCluster::start(plan()).await;
        cluster.wait_authority().await;
        use_some(&cluster).await;
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
fn killed_reporter_is_followed_without_a_difference() {
    run(async {
        let mut cluster = TestCluster::start(plan()).await;
        cluster.wait_authority().await;
        use_some(&cluster).await;
        let status = cluster.entries[0].status().await;
        let leases = status["leases"].as_array().cloned().unwrap_or_default();
        let mut held = leases.iter().filter(|row| row["held_here"] == true);
        let holder = usize::from(!held.any(|row| row["scope"] == "usage"));
        // The figures have to reach the keeper that stays.
        actix_rt::time::sleep(std::time::Duration::from_millis(2_500)).await;
        cluster.entries[holder].process.kill();
        let view = wait_reported(&cluster).await;
        assert_eq!(answer_tokens(&view), TOKENS * CHATS);
        assert!(view.violations.is_empty(), "{:?}", view.violations);
    });
}

#[test]
fn sidecar_that_stops_leaves_its_figures_with_keepers() {
    run(async {
        let cluster = TestCluster::start(plan()).await;
        cluster.wait_authority().await;
        use_some(&cluster).await;
        for slot in &cluster.backends {
            slot.sidecar.terminate();
        }
        let view = wait_reported(&cluster).await;
        assert_eq!(answer_tokens(&view), TOKENS * CHATS);
        assert!(view.violations.is_empty(), "{:?}", view.violations);
    });
}
