//! Log lines in JSON, one object a line.
//!
//! An entry on the users' platform writes them to standard output through a
//! bounded queue, so that a reader that falls behind never holds up a request;
//! what is left out is counted. The other programs write to standard error.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::sync::Arc;
use std::time::Duration;
use std::time::{SystemTime, UNIX_EPOCH};

use env_logger::fmt::Formatter;
use env_logger::Target;
use eyre::{Result, WrapErr};
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
pub(crate) fn unix_micros() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |span| span.as_micros() as u64)
}

fn write_line(formatter: &mut Formatter, record: &Record<'_>) -> std::io::Result<()> {
    let mut line = Map::new();
    line.insert("at_us".into(), json!(unix_micros()));
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

/// Lines that wait for a slow reader; about a second at the busiest.
const QUEUE_LINES: usize = 2_048;
/// How long the writer gathers lines, so that it wakes a few times a second only.
const GATHER_TIME: Duration = Duration::from_millis(50);

/// Hands lines to the thread that writes them, and counts those that found no room.
struct QueueWriter {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl Write for QueueWriter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        match self.lines.try_send(bytes.to_vec()) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Starts logging to standard output at `level` and above, without ever blocking.
///
/// # Errors
///
/// Fails where the thread that writes cannot be started.
pub(crate) fn start_bounded(level: LevelFilter) -> Result<()> {
    let (lines, queue) = sync_channel(QUEUE_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let counted = Arc::clone(&dropped);
    std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&queue, &counted))
        .wrap_err("could not start the thread that writes the log")?;
    env_logger::Builder::new()
        .filter_level(LevelFilter::Warn)
        .filter_module("applefoldd", level)
        .format(write_line)
        .target(Target::Pipe(Box::new(QueueWriter { lines, dropped })))
        .init();
    Ok(())
}

fn write_lines(queue: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    while let Ok(first) = queue.recv() {
        std::thread::sleep(GATHER_TIME);
        let mut batch = first;
        while let Ok(line) = queue.try_recv() {
            batch.extend_from_slice(&line);
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let line = json!({"at_us": unix_micros(), "level": "WARN", "lines": lost,
                "text": "log lines left out"});
            batch.extend_from_slice(format!("{line}\n").as_bytes());
        }
        if std::io::stdout().write_all(&batch).is_err() {
            return;
        }
    }
}
