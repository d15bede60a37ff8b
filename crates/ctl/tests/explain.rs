//! Runs the `explain` command on two log files.

use std::process::{Command, Output};

const REQUEST_LINES: &str = r#"{"at_us":9000000,"level":"INFO","request":"r-1","backend":"e-1","text":"attempt: the connection broke"}
not a log line
12.5 entry-a {"at_us":9500000,"level":"INFO","request":"r-1","status":502,"text":"request ended: broken"}
{"at_us":9100000,"level":"INFO","request":"r-2","text":"request ended: answered"}
"#;
const STATE_CHANGES: &str = r#"{"at_us":1000,"level":"INFO","text":"entry started"}
{"at_us":9200000,"level":"INFO","backend":"e-1","reason":"Erring","text":"backend server is left out"}
{"at_us":9900000,"level":"INFO","backend":"e-1","text":"backend server is gone"}
"#;

fn explain(args: &[&str]) -> Output {
    let directory = std::env::temp_dir().join(format!("applefold-explain-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("the directory can be created");
    let (first, second) = (directory.join("a.log"), directory.join("b.log"));
    std::fs::write(&first, REQUEST_LINES).expect("the file can be written");
    std::fs::write(&second, STATE_CHANGES).expect("the file can be written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_applefoldctl"));
    command.arg("explain").args(args).arg(first).arg(second);
    command.output().expect("the program runs")
}

#[test]
fn shows_the_lines_of_a_request_with_recent_state_changes() {
    let output = explain(&["r-1"]);
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).expect("the output is UTF-8");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 3, "{text}");
    assert!(lines[0].starts_with('>') && lines[0].contains("the connection broke"));
    assert!(lines[1].contains("backend server is left out") && lines[1].contains("Erring"));
    assert!(lines[2].contains("status=502"));
    let output = explain(&["--json", "r-1"]);
    let text = String::from_utf8(output.stdout).expect("the output is UTF-8");
    for line in text.lines() {
        let value: serde_json::Value = serde_json::from_str(line).expect("each line is JSON");
        assert!(value["line"]["at_us"].is_u64());
    }
}

#[test]
fn reports_a_request_without_log_lines() {
    let output = explain(&["r-9"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains("no line of r-9"));
}
