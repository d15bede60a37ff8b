//! The `explain` command.

use std::fs::File;
use std::io::{BufRead, BufReader};

use eyre::WrapErr;
use serde_json::{json, Value};
use smol_str::SmolStr;

use crate::cmd::args::ExplainArgs;
use crate::exit::ExitStatus;

/// How long before the last line of a request state changes are shown, in microseconds.
const CONTEXT_MICROS: u64 = 5_000_000;
/// Prefixes of log lines that report a state change of a process.
const STATE_CHANGE_PREFIXES: [&str; 9] = [
    "authority ",
    "backend server ",
    "configuration ",
    "engine ordered",
    "entry st",
    "number of entries",
    "settings ",
    "store ",
    "usage window",
];
/// Fields that every log line has; they are left out of the list of further fields.
const HEAD_FIELDS: [&str; 4] = ["at_us", "level", "target", "text"];

/// A line of a log file.
struct LogLine {
    file: SmolStr,
    /// When it was written, in microseconds.
    at_us: u64,
    text: SmolStr,
    /// The whole JSON object.
    fields: Value,
}

impl ExplainArgs {
    pub(crate) fn run(self) -> eyre::Result<ExitStatus> {
        let mut lines = Vec::new();
        for file in &self.files {
            lines.extend(read_file(file)?);
        }
        lines.sort_by_key(|line| line.at_us);
        let is_own = |line: &LogLine| line.fields["request"].as_str() == Some(&self.request);
        let Some(last) = lines
            .iter()
            .filter(|line| is_own(line))
            .map(|line| line.at_us)
            .max()
        else {
            eprintln!(
                "no line of {} in {} log files",
                self.request,
                self.files.len()
            );
            return Ok(ExitStatus::Refused);
        };
        let start = last.saturating_sub(CONTEXT_MICROS);
        let is_recent = |line: &LogLine| (start..=last).contains(&line.at_us);
        lines.retain(|line| is_own(line) || (is_recent(line) && is_state_change(line)));
        for line in &lines {
            match self.json {
                true => println!("{}", json!({"file": line.file, "line": line.fields})),
                false => print_line(line, is_own(line), last),
            }
        }
        Ok(ExitStatus::Done)
    }
}

/// Reads the log lines of a file. Text before the JSON object of a line and lines without one are
/// ignored.
fn read_file(name: &str) -> eyre::Result<Vec<LogLine>> {
    let file = File::open(name).wrap_err_with(|| format!("could not open {name}"))?;
    let mut lines = Vec::new();
    for line in BufReader::new(file).lines() {
        let line = line.wrap_err_with(|| format!("could not read {name}"))?;
        lines.extend(read_line(name, &line));
    }
    Ok(lines)
}

fn read_line(file: &str, line: &str) -> Option<LogLine> {
    let fields: Value = serde_json::from_str(&line[line.find('{')?..]).ok()?;
    Some(LogLine {
        file: SmolStr::new(file),
        at_us: fields["at_us"].as_u64()?,
        text: SmolStr::new(fields["text"].as_str()?),
        fields,
    })
}

fn is_state_change(line: &LogLine) -> bool {
    line.fields.get("request").is_none()
        && STATE_CHANGE_PREFIXES
            .iter()
            .any(|prefix| line.text.starts_with(prefix))
}

/// Prints a line with its time before the last line of the request, which is at `last`.
fn print_line(line: &LogLine, is_own: bool, last: u64) {
    let marker = if is_own { '>' } else { ' ' };
    let before_ms = last.saturating_sub(line.at_us) as f64 / 1_000.0;
    let fields = line.fields.as_object().into_iter().flatten();
    let fields = fields.filter(|(name, _)| !HEAD_FIELDS.contains(&name.as_str()));
    let fields: Vec<String> = fields
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    println!(
        "{marker} {before_ms:>9.1} ms before the end  {}  {}  {}",
        line.file,
        line.text,
        fields.join(" ")
    );
}
