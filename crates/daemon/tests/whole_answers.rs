//! A caller gets the complete response to its own request despite failures of engines, sidecars and
//! connections.

mod support;

use applefold_standins::EngineFaults;
use bytes::Bytes;
use support::cluster::{chat, first_ticket, ClusterPlan, TestCluster};
use support::run;

const TOKENS: u64 = 60;
/// The number of tokens received before the fault.
const RECEIVED_TOKENS: usize = 10;
const STREAMS: usize = 48;

/// Starts a stream and returns it, its first tokens and the index of the engine that runs it.
async fn begin(
    cluster: &TestCluster,
    prompt: &str,
) -> (applefold_standins::ChatStream, String, usize) {
    let call = chat(prompt, TOKENS);
    let stream = cluster.entries[0].caller().chat_stream(&call).await;
    let mut stream = stream.expect("the stream starts");
    let mut text = String::new();
    for _ in 0..RECEIVED_TOKENS {
        let part = stream.next_text().await.expect("the stream continues");
        text.push_str(&part.expect("the stream has not ended"));
    }
    let running = running_backend(cluster).await;
    (stream, text, running)
}

async fn running_backend(cluster: &TestCluster) -> usize {
    for (index, slot) in cluster.backends.iter().enumerate() {
        let history = slot
            .client()
            .engine_history()
            .await
            .expect("the engine responds");
        if !history.requests.is_empty() {
            return index;
        }
    }
    panic!("no engine has the request");
}

#[test]
fn stream_and_body_match_the_engine_response() {
    run(async {
        let cluster = TestCluster::start(ClusterPlan::default()).await;
        let call = chat("plain sailing", TOKENS);
        let caller = cluster.entries[0].caller();
        let mut stream = caller.chat_stream(&call).await.expect("the stream starts");
        let text = stream.read_to_end().await.expect("the stream is complete");
        assert_eq!(text, call.expected_text());
        let path = "/v1/chat/completions";
        let answer = caller
            .call(actix_http::Method::POST, path, call.body(false))
            .await;
        let answer = answer.expect("the entry responds");
        let text = applefold_standins::whole_text(&answer.body);
        assert_eq!(text, Some(call.expected_text()));
        let models = caller
            .call(actix_http::Method::GET, "/v1/models", Bytes::new())
            .await;
        assert!(models
            .expect("the entry responds")
            .text()
            .contains("\"m1\""));
    });
}

#[test]
fn stream_completes_when_the_engine_crashes() {
    run(async {
        let cluster = TestCluster::start(ClusterPlan::default()).await;
        let (mut stream, mut text, running) = begin(&cluster, "crash").await;
        cluster.backends[running]
            .client()
            .crash()
            .await
            .expect("the engine crashes");
        text.push_str(&stream.read_to_end().await.expect("the stream is complete"));
        assert_eq!(text, chat("crash", TOKENS).expected_text());
    });
}

#[test]
fn stream_completes_when_the_engine_freezes() {
    run(async {
        let settings = vec![("--progress-timeout", "500ms".to_owned())];
        let plan = ClusterPlan {
            settings,
            ..ClusterPlan::default()
        };
        let cluster = TestCluster::start(plan).await;
        let (mut stream, mut text, running) = begin(&cluster, "freeze").await;
        let faults = EngineFaults {
            freeze: true,
            ..EngineFaults::default()
        };
        let client = cluster.backends[running].client();
        client
            .set_faults(&faults)
            .await
            .expect("the engine freezes");
        text.push_str(&stream.read_to_end().await.expect("the stream is complete"));
        assert_eq!(text, chat("freeze", TOKENS).expected_text());
    });
}

#[test]
fn stream_completes_when_the_sidecar_is_killed() {
    run(async {
        let mut cluster = TestCluster::start(ClusterPlan::default()).await;
        let (mut stream, mut text, running) = begin(&cluster, "kill").await;
        cluster.backends[running].sidecar.kill();
        text.push_str(&stream.read_to_end().await.expect("the stream is complete"));
        assert_eq!(text, chat("kill", TOKENS).expected_text());
    });
}

#[test]
fn stream_completes_when_the_sidecar_is_paused() {
    run(async {
        let cluster = TestCluster::start(ClusterPlan::default()).await;
        let (mut stream, mut text, running) = begin(&cluster, "pause").await;
        cluster.backends[running].sidecar.pause();
        text.push_str(&stream.read_to_end().await.expect("the stream is complete"));
        assert_eq!(text, chat("pause", TOKENS).expected_text());
        cluster.backends[running].sidecar.resume();
    });
}

#[test]
fn stream_completes_when_the_connection_drops_traffic() {
    run(async {
        let cluster = TestCluster::start(ClusterPlan::default()).await;
        let (mut stream, mut text, running) = begin(&cluster, "silence").await;
        cluster.backends[running].relay.silence();
        text.push_str(&stream.read_to_end().await.expect("the stream is complete"));
        assert_eq!(text, chat("silence", TOKENS).expected_text());
    });
}

#[test]
fn stream_completes_wherever_the_engine_truncates_it() {
    run(async {
        let cluster = TestCluster::start(ClusterPlan::default()).await;
        let caller = cluster.entries[0].caller();
        for cut_after in 1..8 {
            let faults = EngineFaults {
                cut_after_tokens: Some(cut_after),
                ..EngineFaults::default()
            };
            for slot in &cluster.backends {
                slot.client()
                    .set_faults(&faults)
                    .await
                    .expect("the fault is set");
            }
            let call = chat(&format!("cut after {cut_after}"), 10);
            let mut stream = caller.chat_stream(&call).await.expect("the stream starts");
            let text = stream.read_to_end().await.expect("the stream is complete");
            assert_eq!(text, call.expected_text(), "cut after {cut_after}");
        }
    });
}

#[test]
fn stream_that_breaks_after_its_deadline_completes() {
    run(async {
        let cluster = TestCluster::start(ClusterPlan::default()).await;
        let mut ticket = first_ticket();
        ticket["ticket"] = 2.into();
        ticket["services"][0]["deadline_ms"] = 300.into();
        let filed = cluster.entries[0].file(&ticket).await;
        assert_eq!(filed.status, 200, "{}", filed.text());
        let (mut stream, mut text, running) = begin(&cluster, "late").await;
        for _ in 0..RECEIVED_TOKENS * 3 {
            let part = stream.next_text().await.expect("the stream continues");
            text.push_str(&part.expect("the stream has not ended"));
        }
        let engine = cluster.backends[running].client();
        engine.crash().await.expect("the engine crashes");
        text.push_str(&stream.read_to_end().await.expect("the stream is complete"));
        assert_eq!(text, chat("late", TOKENS).expected_text());
    });
}

#[test]
fn every_stream_of_a_crashed_engine_completes() {
    run(async {
        let cluster = TestCluster::start(ClusterPlan::default()).await;
        let mut streams = Vec::new();
        for number in 0..STREAMS {
            let call = chat(&format!("stream {number}"), TOKENS);
            let stream = cluster.entries[0].caller().chat_stream(&call).await;
            let mut stream = stream.expect("the stream starts");
            let first = stream.next_text().await.expect("the stream continues");
            streams.push((call, stream, first.expect("the stream has not ended")));
        }
        cluster.backends[0]
            .client()
            .crash()
            .await
            .expect("the engine crashes");
        for (call, mut stream, mut text) in streams {
            text.push_str(&stream.read_to_end().await.expect("the stream is complete"));
            assert_eq!(text, call.expected_text());
        }
    });
}

/// The HTTP client accepts any status from 100 to 999, so that one which does not exist reached the
/// caller as the response.
#[test]
fn a_status_that_does_not_exist_reaches_no_caller() {
    run(async {
        let cluster = TestCluster::start(ClusterPlan::default()).await;
        let caller = cluster.entries[0].caller();
        for status in [600, 999] {
            let faults = EngineFaults {
                answer_status: Some(status),
                ..EngineFaults::default()
            };
            for slot in &cluster.backends {
                let set = slot.client().set_faults(&faults).await;
                set.expect("the fault is set");
            }
            let body = chat(&format!("status {status}"), 2).body(false);
            let path = "/v1/chat/completions";
            let answer = caller.call(actix_http::Method::POST, path, body).await;
            let answer = answer.expect("the entry responds");
            let valid = (500..600).contains(&answer.status);
            assert!(valid, "{status}: {} {}", answer.status, answer.text());
        }
    });
}
