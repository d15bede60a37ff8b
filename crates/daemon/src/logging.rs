//! Logging as JSON, one object a line.
//!
//! An entry on the users' platform logs to standard output through a bounded queue, so that a slow
//! reader never delays a request. Lines that find the queue full are dropped and counted. The other
//! programs log to standard error.

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

/// Returns the system time in microseconds since the Unix epoch. It may step; timers use the clocks
/// of [`crate::clock`].
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

/// Starts logging to standard error at `level` and above.
pub(crate) fn start(level: LevelFilter) {
    env_logger::Builder::new()
        .filter_level(LevelFilter::Warn)
        .filter_module("applefoldd", level)
        .format(write_line)
        .init();
}

/// The capacity of the line queue: about one second of lines at peak load.
const QUEUE_LINES: usize = 2_048;
/// How long the writer thread batches lines, so that it wakes at most 20 times a second.
const BATCH_TIME: Duration = Duration::from_millis(50);

/// Queues lines for the writer thread, and counts those dropped because the queue was full.
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

/// Starts logging to standard output at `level` and above. Logging never blocks the caller.
///
/// # Errors
///
/// Fails if the writer thread cannot be started.
pub(crate) fn start_bounded(level: LevelFilter) -> Result<()> {
    let (lines, queue) = sync_channel(QUEUE_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let drop_count = Arc::clone(&dropped);
    std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&queue, &drop_count))
        .wrap_err("could not start the log writer thread")?;
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
        std::thread::sleep(BATCH_TIME);
        let mut batch = first;
        while let Ok(line) = queue.try_recv() {
            batch.extend_from_slice(&line);
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let line = json!({"at_us": unix_micros(), "level": "WARN", "lines": lost,
                "text": "log lines dropped: queue full"});
            batch.extend_from_slice(format!("{line}\n").as_bytes());
        }
        if std::io::stdout().write_all(&batch).is_err() {
            return;
        }
    }
}
