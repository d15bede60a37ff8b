//! `explain`.

use std::fs::File;
use std::io::{BufRead, BufReader};

use eyre::WrapErr;
use serde_json::{json, Value};
use smol_str::SmolStr;

use crate::cmd::args::ExplainArgs;
use crate::exit::ExitStatus;

/// How long before a request's last line changes of belief are shown, in microseconds.
const BELIEF_MICROS: u64 = 5_000_000;
/// How the lines begin that tell of a changed belief.
const BELIEFS: [&str; 9] = [
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
/// Fields that are shown apart from the rest.
const HEAD_FIELDS: [&str; 4] = ["at_us", "level", "target", "text"];

/// A line of a log file.
struct LogLine {
    file: SmolStr,
    at_us: u64,
    text: SmolStr,
    fields: Value,
}

impl ExplainArgs {
    pub(crate) fn run(self) -> eyre::Result<ExitStatus> {
        let mut lines = Vec::new();
        for file in &self.files {
            lines.extend(read_file(file)?);
        }
        lines.sort_by_key(|line| line.at_us);
        let own = |line: &LogLine| line.fields["request"].as_str() == Some(&self.request);
        let Some(last) = lines
            .iter()
            .filter(|line| own(line))
            .map(|line| line.at_us)
            .max()
        else {
            eprintln!("no line of {} in {} files", self.request, self.files.len());
            return Ok(ExitStatus::Refused);
        };
        let from = last.saturating_sub(BELIEF_MICROS);
        let near = |line: &LogLine| (from..=last).contains(&line.at_us);
        lines.retain(|line| own(line) || (near(line) && is_belief(line)));
        for line in &lines {
            match self.json {
                true => println!("{}", json!({"file": line.file, "line": line.fields})),
                false => print_line(line, own(line), last),
            }
        }
        Ok(ExitStatus::Done)
    }
}

/// Reads the lines that are log lines; what stands before the JSON object is passed over.
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

fn is_belief(line: &LogLine) -> bool {
    line.fields.get("request").is_none() && BELIEFS.iter().any(|begin| line.text.starts_with(begin))
}

fn print_line(line: &LogLine, own: bool, last: u64) {
    let mark = if own { '>' } else { ' ' };
    let before_ms = last.saturating_sub(line.at_us) as f64 / 1_000.0;
    let fields = line.fields.as_object().into_iter().flatten();
    let fields = fields.filter(|(name, _)| !HEAD_FIELDS.contains(&name.as_str()));
    let fields: Vec<String> = fields
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    println!(
        "{mark} {before_ms:>9.1} ms before the end  {}  {}  {}",
        line.file,
        line.text,
        fields.join(" ")
    );
}
