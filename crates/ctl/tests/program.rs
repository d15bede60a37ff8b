//! Runs the program against a small entry that answers, loses answers or is not there.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Command, Output, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;

use serde_json::{json, Value};

const CREDENTIAL: &str = "operator-secret";

/// What the entry does with a call.
enum Reaction {
    Answer(u16, Value),
    /// Closes the connection without an answer.
    Lose,
}

/// The calls that an entry saw, as `METHOD path`.
type CallLog = Arc<Mutex<Vec<String>>>;

struct FakeEntry {
    address: String,
    calls: CallLog,
}

impl FakeEntry {
    fn start<F>(react: F) -> Self
    where
        F: Fn(&str, usize) -> Reaction + Send + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("it is bound").to_string();
        let calls = CallLog::default();
        let log = Arc::clone(&calls);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let call = read_call(&stream);
                let mut log = log.lock().expect("no holder panics");
                let earlier = log.iter().filter(|seen| **seen == call).count();
                log.push(call.clone());
                drop(log);
                if let Reaction::Answer(status, body) = react(&call, earlier) {
                    answer(&stream, status, &body.to_string());
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
    let mut first = String::new();
    reader.read_line(&mut first).expect("a request line");
    let mut length = 0;
    let mut credential = false;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).expect("a header");
        let line = line.trim().to_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().expect("a length");
        }
        credential |= line == format!("authorization: bearer {CREDENTIAL}");
    }
    assert!(credential, "the call carries no credential");
    reader
        .take(length)
        .read_to_end(&mut Vec::new())
        .expect("a body");
    let words: Vec<&str> = first.split(' ').take(2).collect();
    words.join(" ")
}

fn answer(mut stream: &TcpStream, status: u16, body: &str) {
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
    let mut stdin = child.stdin.take().expect("it is piped");
    // A program that ends before it reads closes the pipe.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    child.wait_with_output().expect("the program ends")
}

fn ticket() -> Value {
    json!({"ticket": 7, "author": "ana", "teams": [{"id": "t", "weight": 3}]})
}

fn stored(ticket: Value) -> Reaction {
    Reaction::Answer(200, json!({"ticket": 7, "revision": 4, "body": ticket}))
}

fn status(revision: u64) -> Reaction {
    let row = |id: &str, revision: u64, state: &str| json!({"id": id, "kind": "entry", "domain": "d", "revision": revision, "age_ms": 1, "state": state});
    let instances = [
        row("a", 4, "live"),
        row("b", revision, "live"),
        row("c", 1, "leaving"),
    ];
    let reach = json!({"reached": 2, "listed": 2, "holds": true});
    let body = json!({"instance": "a", "revision": 4, "confirmed_ms_ago": 5, "reach": reach,
        "instances": instances, "leases": [], "alarms": []});
    Reaction::Answer(200, body)
}

fn unknown_ticket() -> Reaction {
    let error = json!({"code": 3006, "message": "no such ticket", "run_state": "not_run"});
    Reaction::Answer(404, json!({"error": error}))
}

fn file(entries: &str) -> Output {
    let args = ["--timeout", "2s", "ticket", "file", "-", "--json"];
    run(entries, &args, &ticket().to_string())
}

const POST: &str = "POST /operator/tickets";
const READ_BACK: &str = "GET /operator/tickets/7";

#[test]
fn a_lost_answer_is_settled_by_reading_back_and_not_by_filing_again() {
    let entry = FakeEntry::start(|call, earlier| match call {
        READ_BACK => stored(ticket()),
        "GET /operator/status" => status(3 + earlier as u64),
        _ => Reaction::Lose,
    });
    let output = file(&entry.address);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let printed: Value = serde_json::from_slice(&output.stdout).expect("it is JSON");
    assert_eq!(printed["revision"], json!(4));
    assert_eq!(printed["acknowledged"], json!(true));
    assert_eq!(entry.count(POST), 1);
}

#[test]
fn a_ticket_that_is_not_in_the_log_is_filed_again() {
    let entry = FakeEntry::start(|call, earlier| match (call, earlier) {
        (POST, 0) => Reaction::Lose,
        (POST, _) => Reaction::Answer(200, json!({"ticket": 7, "revision": 4, "repeat": false})),
        _ => unknown_ticket(),
    });
    let output = file(&entry.address);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    assert_eq!(entry.count(POST), 2);
}

#[test]
fn another_content_in_the_log_is_a_conflict() {
    let mut other = ticket();
    other["teams"][0]["weight"] = json!(4);
    let entry = FakeEntry::start(move |call, _| match call {
        READ_BACK => stored(other.clone()),
        _ => Reaction::Lose,
    });
    assert_eq!(file(&entry.address).status.code(), Some(1));
}

#[test]
fn what_cannot_be_settled_is_said_to_be_unknown() {
    let refusal = json!({"code": 3009, "message": "down", "run_state": "not_run"});
    let entry = FakeEntry::start(move |call, earlier| match (call, earlier) {
        (POST, 0) => Reaction::Lose,
        _ => Reaction::Answer(503, json!({"error": refusal})),
    });
    let output = file(&entry.address);
    assert_eq!(output.status.code(), Some(3), "{output:?}");
}

#[test]
fn a_ticket_in_the_log_that_some_instance_lacks_is_not_said_to_be_in_force() {
    let entry = FakeEntry::start(|call, _| match call {
        READ_BACK => stored(ticket()),
        "GET /operator/status" => status(3),
        _ => Reaction::Lose,
    });
    let output = file(&entry.address);
    assert_eq!(output.status.code(), Some(3), "{output:?}");
}

#[test]
fn a_refusal_is_printed_with_its_faults() {
    let fault = json!({"path": "teams[0].weight", "expected": "a whole number", "code": 3005});
    let error =
        json!({"code": 3005, "message": "out of range", "run_state": "not_run", "faults": [fault]});
    let entry = FakeEntry::start(move |_, _| Reaction::Answer(422, json!({"error": error})));
    let output = file(&entry.address);
    assert_eq!(output.status.code(), Some(1));
    let printed: Value = serde_json::from_slice(&output.stdout).expect("it is JSON");
    assert_eq!(printed["error"]["faults"][0]["code"], json!(3005));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        text.contains("teams[0].weight: expected a whole number (3005)"),
        "{text}"
    );
    assert_eq!(entry.count(POST), 1);
}

#[test]
fn the_next_entry_is_tried_where_one_is_not_there() {
    let gone = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let gone = gone.local_addr().expect("it is bound").to_string();
    let entry = FakeEntry::start(|_, _| status(4));
    let output = run(&format!("{gone},{}", entry.address), &["status"], "");
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(text.contains("a runs revision 4"), "{text}");
}

#[test]
fn waiting_ends_when_every_live_instance_has_the_revision() {
    let entry = FakeEntry::start(|call, earlier| match call {
        READ_BACK => stored(ticket()),
        _ => status(if earlier < 3 { 3 } else { 4 }),
    });
    let output = run(
        &entry.address,
        &["ticket", "wait", "7", "--timeout", "5s"],
        "",
    );
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let late = FakeEntry::start(|call, _| match call {
        READ_BACK => stored(ticket()),
        _ => status(3),
    });
    let output = run(
        &late.address,
        &["ticket", "wait", "7", "--timeout", "500ms"],
        "",
    );
    assert_eq!(output.status.code(), Some(3), "{output:?}");
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(text.contains("b in d: revision 3"), "{text}");
}

#[test]
fn checks_and_hashes_need_no_entry() {
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
fn wrong_usage_has_its_own_exit_code() {
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
