//! Planned changes (stopping sidecars and entries, leaving and withdrawn backend servers) abort no
//! request, and a leaving backend server gets no new work.

mod support;

use actix_http::Method;
use applefold_standins::{ChatStream, EngineFaults, StandinHandle};
use bytes::Bytes;
use serde_json::json;
use support::cluster::{chat, engine_options, ClusterPlan, TestCluster};
use support::{run, until};

const TOKENS: u64 = 80;

async fn begin(cluster: &TestCluster, prompt: &str) -> (ChatStream, String) {
    let call = chat(prompt, TOKENS);
    let stream = cluster.entries[0].caller().chat_stream(&call).await;
    let mut stream = stream.expect("the stream begins");
    let first = stream.next_text().await.expect("the stream goes on");
    (stream, first.expect("the stream has not ended"))
}

async fn finish(mut stream: ChatStream, first: String, prompt: &str) {
    let rest = stream.read_to_end().await.expect("the stream is complete");
    assert_eq!(first + &rest, chat(prompt, TOKENS).expected_text());
}

async fn requests_at(cluster: &TestCluster, index: usize) -> usize {
    let history = cluster.backends[index].client().engine_history().await;
    history.expect("the engine responds").requests.len()
}

#[test]
fn stopping_sidecar_completes_its_streams_and_accepts_no_more() {
    run(async {
        let mut cluster = TestCluster::start(ClusterPlan::default()).await;
        let (stream, first) = begin(&cluster, "drain").await;
        let running = usize::from(requests_at(&cluster, 0).await == 0);
        cluster.backends[running].sidecar.terminate();
        // The stream completes without a second attempt.
        finish(stream, first, "drain").await;
        assert_eq!(
            requests_at(&cluster, 1 - running).await,
            0,
            "another attempt was made elsewhere"
        );
        for number in 0..6 {
            let prompt = format!("after {number}");
            let (stream, first) = begin(&cluster, &prompt).await;
            finish(stream, first, &prompt).await;
        }
        assert_eq!(
            requests_at(&cluster, running).await,
            1,
            "a leaving backend server got work"
        );
        let sidecar = &mut cluster.backends[running].sidecar;
        let ended = std::cell::RefCell::new(sidecar);
        until(|| async { ended.borrow_mut().has_exited_successfully() }).await;
    });
}

#[test]
fn stopping_entry_completes_its_streams() {
    run(async {
        let mut cluster = TestCluster::start(ClusterPlan::default()).await;
        let (stream, first) = begin(&cluster, "entry stops").await;
        cluster.entries[0].process.terminate();
        let caller = cluster.entries[0].caller();
        until(|| async {
            let health = caller.call(Method::GET, "/healthz", Bytes::new()).await;
            health.map_or(true, |answer| answer.status == 503)
        })
        .await;
        finish(stream, first, "entry stops").await;
        let ended = std::cell::RefCell::new(&mut cluster.entries[0].process);
        until(|| async { ended.borrow_mut().has_exited_successfully() }).await;
    });
}

#[test]
fn backend_server_listed_as_leaving_gets_no_new_work() {
    run(async {
        let cluster = TestCluster::start(ClusterPlan::default()).await;
        let (stream, first) = begin(&cluster, "leaving").await;
        let running = usize::from(requests_at(&cluster, 0).await == 0);
        cluster.mark_leaving(running).await;
        finish(stream, first, "leaving").await;
        until(|| async {
            let before = requests_at(&cluster, running).await;
            for number in 0..4 {
                let (stream, first) = begin(&cluster, &format!("spread {number}")).await;
                finish(stream, first, &format!("spread {number}")).await;
            }
            requests_at(&cluster, running).await == before
        })
        .await;
    });
}

#[test]
fn withdrawn_engine_completes_its_streams_and_gets_no_more() {
    run(async {
        let cluster = TestCluster::start(ClusterPlan::default()).await;
        let (stream, first) = begin(&cluster, "withdrawn").await;
        let running = usize::from(requests_at(&cluster, 0).await == 0);
        let name = cluster.backends[running].name.clone();
        let ticket = json!({"ticket": 2, "author": "ana", "engines": [
            {"id": name, "pool": "chat", "state": "withdrawn", "role": "both"},
        ]});
        let filed = cluster.entries[0].file(&ticket).await;
        assert_eq!(filed.status, 200, "{}", filed.text());
        finish(stream, first, "withdrawn").await;
        assert_eq!(
            requests_at(&cluster, 1 - running).await,
            0,
            "another attempt was made elsewhere"
        );
        until(|| async {
            let before = requests_at(&cluster, running).await;
            for number in 0..4 {
                let (stream, first) = begin(&cluster, &format!("other {number}")).await;
                finish(stream, first, &format!("other {number}")).await;
            }
            requests_at(&cluster, running).await == before
        })
        .await;
    });
}

#[test]
fn processes_can_be_replaced_one_by_one_under_load() {
    run(async {
        let plan = ClusterPlan {
            entries: 2,
            ..ClusterPlan::default()
        };
        let mut cluster = TestCluster::start(plan).await;
        for round in 0..2 {
            let prompt = format!("round {round}");
            let (stream, first) = begin(&cluster, &prompt).await;
            let engine = StandinHandle::engine(engine_options()).expect("the engine starts");
            cluster.add_backend("chat", engine).await;
            cluster.backends[round].sidecar.terminate();
            finish(stream, first, &prompt).await;
        }
        let (stream, first) = begin(&cluster, "last").await;
        cluster.entries[0].process.terminate();
        finish(stream, first, "last").await;
        let caller = cluster.entries[1].caller();
        let call = chat("through the other entry", TOKENS);
        let mut stream = caller.chat_stream(&call).await.expect("the stream begins");
        let text = stream.read_to_end().await.expect("the stream is complete");
        assert_eq!(text, call.expected_text());
    });
}

#[test]
fn request_in_flight_at_a_stopping_sidecar_is_served() {
    run(async {
        let settings = vec![("--progress-timeout", "10s".to_owned())];
        let plan = ClusterPlan {
            engines: vec![engine_options()],
            settings,
            ..ClusterPlan::default()
        };
        let cluster = TestCluster::start(plan).await;
        let faults = EngineFaults {
            slow_factor: 3,
            ..EngineFaults::default()
        };
        let client = cluster.backends[0].client();
        client
            .set_faults(&faults)
            .await
            .expect("the engine slows down");
        let caller = cluster.entries[0].caller();
        let call = chat("slow", 20);
        let body = call.body(false);
        let response = caller.call(Method::POST, "/v1/chat/completions", body);
        let stop = async {
            until(|| async { requests_at(&cluster, 0).await == 1 }).await;
            cluster.backends[0].sidecar.terminate();
        };
        let (answer, ()) = futures_util::join!(response, stop);
        let answer = answer.expect("the entry responds");
        let text = applefold_standins::whole_text(&answer.body);
        assert_eq!(text, Some(call.expected_text()));
    });
}
