//! Program: the reported listen address, exit codes, `call` and `load`.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, ExitStatus, Stdio};

use applefold_standins::{run_load, LoadPlan, StandinClient};
use serde_json::{json, Value};

const PROGRAM: &str = env!("CARGO_BIN_EXE_applefold-standin");

/// Child process that is killed when the guard is dropped.
struct ProcessGuard {
    child: Child,
    address: SocketAddr,
}

impl ProcessGuard {
    fn start(args: &[&str]) -> Self {
        let mut command = Command::new(PROGRAM);
        command
            .args(args)
            .args(["--listen", "127.0.0.1:0"])
            .stdout(Stdio::piped());
        let mut child = command.spawn().unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap())
            .read_line(&mut line)
            .unwrap();
        let ready: Value = serde_json::from_str(&line).unwrap();
        let address = ready["listening"].as_str().unwrap().parse().unwrap();
        Self { child, address }
    }

    fn wait(mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }
}

impl Drop for ProcessGuard {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn call(address: SocketAddr, args: &[&str]) -> (bool, String) {
    let address = address.to_string();
    let mut command = Command::new(PROGRAM);
    let output = command
        .args(["call", "--address", &address])
        .args(args)
        .output()
        .unwrap();
    (
        output.status.success(),
        String::from_utf8(output.stdout).unwrap(),
    )
}

#[actix_rt::test]
async fn crash_exits_with_the_code_of_a_kill() {
    for kind in ["engine", "plain"] {
        let process = ProcessGuard::start(&[kind]);
        StandinClient::new(process.address).crash().await.unwrap();
        assert_eq!(process.wait().code(), Some(137), "{kind}");
    }
}

#[test]
fn sigterm_exits_successfully() {
    for kind in ["platform", "engine", "plain"] {
        let process = ProcessGuard::start(&[kind]);
        let pid = process.child.id().to_string();
        assert!(Command::new("kill")
            .args(["-TERM", &pid])
            .status()
            .unwrap()
            .success());
        assert!(process.wait().success(), "{kind}");
    }
}

#[test]
fn call_checks_the_complete_response() {
    let process = ProcessGuard::start(&["engine", "--step-ms", "1"]);
    let body = json!({
        "model": "tiny-1", "messages": [{ "role": "user", "content": "hi" }],
        "max_tokens": 6, "stream": true,
    });
    let body = body.to_string();
    let chat = [
        "--path",
        "/v1/chat/completions",
        "--body",
        &body,
        "--stream",
    ];
    for (tokens, is_expected) in [("6", true), ("7", false), ("5", false)] {
        let args = [&chat[..], &["--expect-tokens", tokens]].concat();
        let (success, text) = call(process.address, &args);
        assert_eq!(success, is_expected, "{tokens}");
        assert_eq!(text.split_whitespace().count(), 6);
    }
    assert!(!call(process.address, &["--path", "/nowhere"]).0);
}

#[actix_rt::test]
async fn load_counts_complete_responses_and_failures() {
    let process = ProcessGuard::start(&["engine", "--step-ms", "0"]);
    let plan = LoadPlan {
        address: process.address,
        bearer: None,
        model: "tiny-1".to_owned(),
        requests: 50,
        concurrency: 4,
        stream: true,
        max_tokens: 8,
        prompt_bytes: 100,
    };
    let client = StandinClient::new(process.address);
    client
        .set_faults(&json!({ "cut_after_tokens": 3 }))
        .await
        .unwrap();
    let summary = run_load(&plan).await;
    assert_eq!((summary.whole, summary.wrong), (49, 0));
    assert_eq!(summary.errors["cut"], 1);
    let unknown = LoadPlan {
        model: "nobody".to_owned(),
        stream: false,
        ..plan
    };
    let summary = run_load(&unknown).await;
    assert_eq!(summary.errors["404 404"], 50);
}
