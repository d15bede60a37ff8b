//! Runs the program against a fake entry that responds, drops responses or is unreachable.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Command, Output, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;

use serde_json::{json, Value};

const CREDENTIAL: &str = "operator-secret";

/// How the fake entry handles a call.
enum CallReaction {
    /// Responds with this status and body.
    Respond(u16, Value),
    /// Closes the connection without a response.
    Close,
}

/// The calls that an entry received, as `METHOD path`.
type CallLog = Arc<Mutex<Vec<String>>>;

struct FakeEntry {
    address: String,
    calls: CallLog,
}

impl FakeEntry {
    fn start<F>(handle: F) -> Self
    where
        F: Fn(&str, usize) -> CallReaction + Send + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener
            .local_addr()
            .expect("the listener is bound")
            .to_string();
        let calls = CallLog::default();
        let log = Arc::clone(&calls);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let call = read_call(&stream);
                let mut log = log.lock().expect("no holder panics");
                let previous = log.iter().filter(|seen| **seen == call).count();
                log.push(call.clone());
                drop(log);
                if let CallReaction::Respond(status, body) = handle(&call, previous) {
                    write_response(&stream, status, &body.to_string());
                }
            }
        });
        Self { address, calls }
    }

    fn count(&self, call: &str) -> usize {
        let calls = self.calls.lock().expect("no holder panics");
        calls.iter().filter(|seen| *seen == call).count()
    }
}

fn read_call(stream: &TcpStream) -> String {
    let mut reader = BufReader::new(stream);
    let mut request_line = String::new();
    reader
        .read_line(&mut request_line)
        .expect("a request line arrives");
    let mut length = 0;
    let mut credential = false;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).expect("a header line arrives");
        let line = line.trim().to_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().expect("the length is a number");
        }
        credential |= line == format!("authorization: bearer {CREDENTIAL}");
    }
    assert!(credential, "the call has no operator credential");
    reader
        .take(length)
        .read_to_end(&mut Vec::new())
        .expect("the body arrives");
    let parts: Vec<&str> = request_line.split(' ').take(2).collect();
    parts.join(" ")
}

fn write_response(mut stream: &TcpStream, status: u16, body: &str) {
    let length = body.len();
    let head =
        format!("HTTP/1.1 {status} X\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n");
    stream
        .write_all(head.as_bytes())
        .expect("the program reads");
    stream
        .write_all(body.as_bytes())
        .expect("the program reads");
}

fn run(entries: &str, args: &[&str], input: &str) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_applefoldctl"));
    let command = command.args(args).env_remove("APPLEFOLD_TIMEOUT");
    let command = command
        .env("APPLEFOLD_ENTRY", entries)
        .env("APPLEFOLD_OPERATOR_CREDENTIAL", CREDENTIAL)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    let mut child = command.spawn().expect("the program starts");
    let mut stdin = child.stdin.take().expect("standard input is piped");
    // Fails if the program exits without reading its input, which closes the pipe.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    child.wait_with_output().expect("the program exits")
}

fn ticket() -> Value {
    json!({"ticket": 7, "author": "ana", "teams": [{"id": "t", "weight": 3}]})
}

fn committed(ticket: Value) -> CallReaction {
    CallReaction::Respond(200, json!({"ticket": 7, "revision": 4, "body": ticket}))
}

fn status(revision: u64) -> CallReaction {
    let row = |id: &str, revision: u64, state: &str| json!({"id": id, "kind": "entry", "domain": "d", "revision": revision, "age_ms": 1, "state": state});
    let instances = [
        row("a", 4, "live"),
        row("b", revision, "live"),
        row("c", 1, "leaving"),
    ];
    let reach = json!({"reached": 2, "listed": 2, "holds": true});
    let body = json!({"instance": "a", "revision": 4, "confirmed_ms_ago": 5, "reach": reach,
        "instances": instances, "leases": [], "alarms": []});
    CallReaction::Respond(200, body)
}

fn unknown_ticket() -> CallReaction {
    let error = json!({"code": 3006, "message": "no such ticket", "run_state": "not_run"});
    CallReaction::Respond(404, json!({"error": error}))
}

fn file(entries: &str) -> Output {
    let args = ["--timeout", "2s", "ticket", "file", "-", "--json"];
    run(entries, &args, &ticket().to_string())
}

const FILE_TICKET: &str = "POST /operator/tickets";
const READ_TICKET: &str = "GET /operator/tickets/7";

#[test]
fn reads_the_log_instead_of_refiling_after_a_lost_response() {
    let entry = FakeEntry::start(|call, previous| match call {
        READ_TICKET => committed(ticket()),
        "GET /operator/status" => status(3 + previous as u64),
        _ => CallReaction::Close,
    });
    let output = file(&entry.address);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let printed: Value = serde_json::from_slice(&output.stdout).expect("the output is JSON");
    assert_eq!(printed["revision"], json!(4));
    assert_eq!(printed["acknowledged"], json!(true));
    assert_eq!(entry.count(FILE_TICKET), 1);
}

#[test]
fn refiles_a_ticket_that_is_not_in_the_log() {
    let entry = FakeEntry::start(|call, previous| match (call, previous) {
        (FILE_TICKET, 0) => CallReaction::Close,
        (FILE_TICKET, _) => {
            CallReaction::Respond(200, json!({"ticket": 7, "revision": 4, "repeat": false}))
        }
        _ => unknown_ticket(),
    });
    let output = file(&entry.address);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    assert_eq!(entry.count(FILE_TICKET), 2);
}

#[test]
fn reports_a_conflict_if_the_log_holds_a_different_ticket() {
    let mut other = ticket();
    other["teams"][0]["weight"] = json!(4);
    let entry = FakeEntry::start(move |call, _| match call {
        READ_TICKET => committed(other.clone()),
        _ => CallReaction::Close,
    });
    assert_eq!(file(&entry.address).status.code(), Some(1));
}

#[test]
fn reports_an_unresolved_outcome_as_unknown() {
    let refusal = json!({"code": 3009, "message": "down", "run_state": "not_run"});
    let entry = FakeEntry::start(move |call, previous| match (call, previous) {
        (FILE_TICKET, 0) => CallReaction::Close,
        _ => CallReaction::Respond(503, json!({"error": refusal})),
    });
    let output = file(&entry.address);
    assert_eq!(output.status.code(), Some(3), "{output:?}");
}

#[test]
fn reports_a_ticket_as_pending_while_an_instance_lags() {
    let entry = FakeEntry::start(|call, _| match call {
        READ_TICKET => committed(ticket()),
        "GET /operator/status" => status(3),
        _ => CallReaction::Close,
    });
    let output = file(&entry.address);
    assert_eq!(output.status.code(), Some(3), "{output:?}");
}

#[test]
fn prints_a_refusal_with_its_faults() {
    let fault = json!({"path": "teams[0].weight", "expected": "a whole number", "code": 3005});
    let error =
        json!({"code": 3005, "message": "out of range", "run_state": "not_run", "faults": [fault]});
    let entry = FakeEntry::start(move |_, _| CallReaction::Respond(422, json!({"error": error})));
    let output = file(&entry.address);
    assert_eq!(output.status.code(), Some(1));
    let printed: Value = serde_json::from_slice(&output.stdout).expect("the output is JSON");
    assert_eq!(printed["error"]["faults"][0]["code"], json!(3005));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        text.contains("teams[0].weight: expected a whole number (3005)"),
        "{text}"
    );
    assert_eq!(entry.count(FILE_TICKET), 1);
}

#[test]
fn fails_over_to_the_next_entry() {
    let unreachable = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let unreachable = unreachable
        .local_addr()
        .expect("the listener is bound")
        .to_string();
    let entry = FakeEntry::start(|_, _| status(4));
    let output = run(&format!("{unreachable},{}", entry.address), &["status"], "");
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(text.contains("a runs revision 4"), "{text}");
}

#[test]
fn waits_until_every_live_instance_has_the_revision() {
    let entry = FakeEntry::start(|call, previous| match call {
        READ_TICKET => committed(ticket()),
        _ => status(if previous < 3 { 3 } else { 4 }),
    });
    let output = run(
        &entry.address,
        &["ticket", "wait", "7", "--timeout", "5s"],
        "",
    );
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let lagging = FakeEntry::start(|call, _| match call {
        READ_TICKET => committed(ticket()),
        _ => status(3),
    });
    let output = run(
        &lagging.address,
        &["ticket", "wait", "7", "--timeout", "500ms"],
        "",
    );
    assert_eq!(output.status.code(), Some(3), "{output:?}");
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(text.contains("b in d: revision 3"), "{text}");
}

#[test]
fn offline_check_and_hash_need_no_entry() {
    let output = run(
        "",
        &["ticket", "check", "--offline", "-"],
        &ticket().to_string(),
    );
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let output = run(
        "",
        &["ticket", "check", "--offline", "-"],
        "{\"ticket\": 0}",
    );
    assert_eq!(output.status.code(), Some(1), "{output:?}");
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        text.contains("author: expected") && text.contains("ticket: expected"),
        "{text}"
    );
    let output = run("", &["key", "hash"], "abc\n");
    let digest = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad\n";
    assert_eq!(String::from_utf8_lossy(&output.stdout), digest);
}

#[test]
fn invalid_usage_has_its_own_exit_code() {
    assert_eq!(run("", &["ticket", "burn"], "").status.code(), Some(2));
    assert_eq!(run("", &["status"], "").status.code(), Some(2));
    assert_eq!(
        run("x", &["--timeout", "soon", "status"], "").status.code(),
        Some(2)
    );
    assert_eq!(
        run("x", &["ticket", "file", "/does/not/exist"], "")
            .status
            .code(),
        Some(2)
    );
    assert_eq!(run("", &["--help"], "").status.code(), Some(0));
}
