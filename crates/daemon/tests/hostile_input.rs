//! Invalid input at any port gets a clear error and affects no other caller, and invalid settings
//! are all reported at once.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::time::Duration;

use actix_http::Method;
use applefold_standins::StandinClient;
use bytes::Bytes;
use support::cluster::{chat, ClusterPlan, TestCluster, CALLER_KEY};
use support::run;

const READ_TIMEOUT: Duration = Duration::from_secs(30);

/// Sends bytes and returns the response up to the end of the connection.
fn send_raw(address: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).expect("the port is open");
    stream
        .set_read_timeout(Some(READ_TIMEOUT))
        .expect("the timeout is set");
    let _ = stream.write_all(bytes);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    answer
}

async fn assert_still_serving(cluster: &TestCluster) {
    let body = chat("still here", 2).body(false);
    let caller = cluster.entries[0].caller();
    let answer = caller
        .call(Method::POST, "/v1/chat/completions", body)
        .await;
    assert_eq!(answer.expect("the entry responds").status, 200);
}

#[test]
fn invalid_requests_get_a_numbered_error() {
    run(async {
        let cluster = TestCluster::start(ClusterPlan::default()).await;
        let caller = StandinClient::new(cluster.entries[0].address()).with_bearer(CALLER_KEY);
        let oversized = format!(
            "{{\"model\":\"m1\",\"messages\":[\"{}\"]}}",
            "x".repeat(1_100_000)
        );
        let endless = vec![b' '; 9 * 1024 * 1024];
        let cases: [(Vec<u8>, u16, u64); 7] = [
            (b"{".to_vec(), 400, 1006),
            (b"[]".to_vec(), 400, 1006),
            (b"{\"model\":\"m1\"}".to_vec(), 400, 1006),
            (b"{\"model\":7,\"messages\":[]}".to_vec(), 400, 1006),
            (b"{\"model\":\"none\",\"messages\":[]}".to_vec(), 404, 1005),
            (oversized.into_bytes(), 413, 1007),
            (endless, 413, 1007),
        ];
        for (body, status, code) in cases {
            let shown = String::from_utf8_lossy(&body[..body.len().min(30)]).into_owned();
            let path = "/v1/chat/completions";
            let answer = caller.call(Method::POST, path, Bytes::from(body)).await;
            let answer = answer.expect("the entry responds");
            let value: serde_json::Value = answer.json().expect("the body is JSON");
            assert_eq!(answer.status, status, "{shown}");
            assert_eq!(value["error"]["code"].as_u64(), Some(code), "{shown}");
        }
        assert_still_serving(&cluster).await;
    });
}

#[test]
fn garbage_at_the_ports_affects_no_other_caller() {
    run(async {
        let cluster = TestCluster::start(ClusterPlan::default()).await;
        let ports = [
            cluster.entries[0].address(),
            cluster.entries[0].process.addresses["peers"],
            cluster.backends[0].sidecar.addresses["peers"],
        ];
        let inputs: [&[u8]; 4] = [
            b"\x00\xff\x00\xff garbage",
            b"GET / HTTP/9.9\r\n\r\n",
            &[0xff; 64],
            &[0, 0, 0, 0, 0xff, 0xff, 0xff, 0x7f, 0, 0, 0, 0],
        ];
        for port in ports {
            for input in inputs {
                send_raw(port, input);
            }
        }
        assert_still_serving(&cluster).await;
    });
}

#[test]
fn peer_without_the_secret_is_disconnected() {
    run(async {
        let cluster = TestCluster::start(ClusterPlan::default()).await;
        let port = cluster.backends[0].sidecar.addresses["peers"];
        let silent: Vec<_> = (0..80).map(|_| TcpStream::connect(port)).collect();
        let answer = send_raw(port, b"");
        assert!(
            answer.is_empty(),
            "a peer without the secret got a response"
        );
        drop(silent);
        assert_still_serving(&cluster).await;
    });
}

#[test]
fn all_faults_of_the_settings_are_reported_at_once() {
    let output = Command::new(env!("CARGO_BIN_EXE_applefoldd"))
        .args(["sidecar", "--peer-listen", "nowhere", "--slots", "0"])
        .args(["--instance", "a b", "--cluster-secret", "short"])
        .env("APPLEFOLD_DRAIN_TIMEOUT", "soon")
        .output()
        .expect("the daemon starts");
    assert!(!output.status.success());
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    let faults = [
        "6002 --peer-listen (APPLEFOLD_PEER_LISTEN)",
        "6001 --platform (APPLEFOLD_PLATFORM)",
        "6001 --backend (APPLEFOLD_BACKEND)",
        "6002 --instance (APPLEFOLD_INSTANCE)",
        "6001 --domain (APPLEFOLD_DOMAIN)",
        "6001 --pool (APPLEFOLD_POOL)",
        "6002 --cluster-secret (APPLEFOLD_CLUSTER_SECRET)",
        "6003 --slots (APPLEFOLD_SLOTS)",
        "6002 --drain-timeout (APPLEFOLD_DRAIN_TIMEOUT)",
    ];
    for fault in faults {
        assert!(stderr.contains(fault), "missing {fault} in {stderr}");
    }
}

#[test]
fn settings_can_be_checked_without_starting() {
    let output = Command::new(env!("CARGO_BIN_EXE_applefoldd"))
        .args([
            "sidecar",
            "--check-settings",
            "--peer-listen",
            "127.0.0.1:0",
        ])
        .args([
            "--platform",
            "127.0.0.1:1",
            "--backend",
            "127.0.0.1:2",
            "--pool",
            "chat",
        ])
        .args(["--instance", "b1", "--domain", "d1"])
        .args(["--cluster-secret", "cluster-secret-for-tests"])
        .output()
        .expect("the daemon starts");
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
}
