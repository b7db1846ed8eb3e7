//! Log output: one JSON object a line, with named events and structured fields.
//!
//! The volume is bounded for each event, and a reader that stops never blocks the process: lines that do not fit are
//! dropped and counted.

use std::{
    collections::HashMap,
    os::fd::AsFd,
    sync::{Mutex, PoisonError},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use log::{
    LevelFilter, Record, SetLoggerError,
    kv::{self, Key, Value, VisitSource},
};
use nix::{
    poll::{PollFd, PollFlags, PollTimeout, poll},
    unistd,
};
use serde_json::{Map, json};

/// Lines of one event in one [`WINDOW`]. A balancer of today's sites places 25 flows a second.
const MAX_LINES: u32 = 60;
/// Span of the bound.
const WINDOW: Duration = Duration::from_secs(1);
/// Longest line in bytes. Up to this length, a pipe that is ready takes a line whole and without blocking.
const MAX_LINE: usize = 4_096;
/// Events that are counted apart; the others share one count.
const MAX_EVENTS: usize = 256;

/// Starts logging to standard output for a node.
pub fn init(node: &str, level: LevelFilter) -> Result<(), SetLoggerError> {
    open_to(node, level, Sink::open(std::io::stdout()))
}

/// Starts logging to standard error, for tools whose standard output is a result.
pub fn init_stderr(node: &str, level: LevelFilter) -> Result<(), SetLoggerError> {
    open_to(node, level, Sink::open(std::io::stderr()))
}

fn open_to<T: AsFd + Send + 'static>(node: &str, level: LevelFilter, sink: Sink<T>) -> Result<(), SetLoggerError> {
    let node = node.to_owned();
    let state = Mutex::new((Bound::default(), sink));
    fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("dogwoodpitch", level)
        .level_for("dogwoodpitch_platform", level)
        .chain(fern::Output::call(move |record| {
            let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
            let (bound, sink) = &mut *state;
            let event = event(record);
            if let Some(suppressed) = bound.admit(&event, Instant::now()) {
                sink.write(&line(&node, &event, record, suppressed));
            }
        }))
        .apply()
}

fn event(record: &Record<'_>) -> String {
    let event = record.key_values().get(Key::from("event"));
    event.map_or_else(|| record.target().to_owned(), |event| event.to_string())
}

fn line(node: &str, event: &str, record: &Record<'_>, suppressed: u64) -> Map<String, serde_json::Value> {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let mut fields = Fields(Map::new());
    fields.0.insert("time".to_owned(), json!(since.as_secs_f64()));
    fields.0.insert("level".to_owned(), json!(record.level().as_str()));
    fields.0.insert("node".to_owned(), json!(node));
    fields.0.insert("event".to_owned(), json!(event));
    fields.0.insert("message".to_owned(), json!(record.args().to_string()));
    if suppressed > 0 {
        fields.0.insert("suppressed".to_owned(), json!(suppressed));
    }
    if let Err(error) = record.key_values().visit(&mut fields) {
        fields.0.insert("fields_error".to_owned(), json!(error.to_string()));
    }
    fields.0
}

struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let json = match (value.to_u64(), value.to_f64(), value.to_bool()) {
            (Some(number), _, _) => json!(number),
            (_, Some(number), _) => json!(number),
            (_, _, Some(truth)) => json!(truth),
            _ => json!(value.to_string()),
        };
        self.0.insert(key.as_str().to_owned(), json);
        Ok(())
    }
}

/// Bound on the lines of each event.
#[derive(Debug, Default)]
pub struct Bound {
    events: HashMap<String, Count>,
}

#[derive(Debug)]
struct Count {
    until: Instant,
    lines: u32,
    suppressed: u64,
}

impl Bound {
    /// Number of lines of the event that were left out since the last one, if this one may be written.
    pub fn admit(&mut self, event: &str, now: Instant) -> Option<u64> {
        let known = self.events.contains_key(event) || self.events.len() < MAX_EVENTS;
        let event = if known { event } else { "" };
        let count = self.events.entry(event.to_owned()).or_insert_with(|| Count {
            until: now + WINDOW,
            lines: 0,
            suppressed: 0,
        });
        if now >= count.until {
            count.until = now + WINDOW;
            count.lines = 0;
        }
        if count.lines >= MAX_LINES {
            count.suppressed += 1;
            return None;
        }
        count.lines += 1;
        Some(std::mem::take(&mut count.suppressed))
    }
}

/// Output that never blocks.
#[derive(Debug)]
pub struct Sink<T> {
    output: T,
    dropped: u64,
}

impl<T: AsFd> Sink<T> {
    /// Sink to an open file.
    pub fn open(output: T) -> Self {
        Self { output, dropped: 0 }
    }

    /// Writes an object as one line, unless its reader has stopped. The next line tells how many were dropped.
    pub fn write(&mut self, object: &Map<String, serde_json::Value>) {
        let mut object = object.clone();
        if self.dropped > 0 {
            object.insert("dropped".to_owned(), json!(self.dropped));
        }
        let mut line = serde_json::Value::Object(object).to_string();
        line.push('\n');
        if line.len() <= MAX_LINE && self.try_write(line.as_bytes()) {
            self.dropped = 0;
        } else {
            self.dropped += 1;
        }
    }

    fn try_write(&self, line: &[u8]) -> bool {
        let mut ready = [PollFd::new(self.output.as_fd(), PollFlags::POLLOUT)];
        let is_ready = poll(&mut ready, PollTimeout::ZERO).is_ok_and(|count| count > 0);
        is_ready && unistd::write(&self.output, line).is_ok_and(|written| written == line.len())
    }
}
