//! Log lines in JSON, one object a line, on standard error.

use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

use env_logger::fmt::Formatter;
use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Record};
use serde_json::{json, Map, Value as Json};

struct FieldVisitor<'a>(&'a mut Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for FieldVisitor<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let json = match (value.to_u64(), value.to_bool()) {
            (Some(number), _) => json!(number),
            (None, Some(truth)) => json!(truth),
            (None, None) => json!(value.to_string()),
        };
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}

/// Returns microseconds since the Unix epoch, for log lines and spans only.
pub(crate) fn wall_micros() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |span| span.as_micros() as u64)
}

fn write_line(formatter: &mut Formatter, record: &Record<'_>) -> std::io::Result<()> {
    let mut line = Map::new();
    line.insert("at_us".into(), json!(wall_micros()));
    line.insert("level".into(), json!(record.level().as_str()));
    line.insert("target".into(), json!(record.target()));
    line.insert("text".into(), json!(record.args().to_string()));
    let visited = record.key_values().visit(&mut FieldVisitor(&mut line));
    if visited.is_err() {
        line.insert("fields_lost".into(), json!(true));
    }
    writeln!(formatter, "{}", Json::Object(line))
}

/// Starts logging at `level` and above.
pub(crate) fn start(level: LevelFilter) {
    env_logger::Builder::new()
        .filter_level(LevelFilter::Warn)
        .filter_module("applefoldd", level)
        .format(write_line)
        .init();
}
