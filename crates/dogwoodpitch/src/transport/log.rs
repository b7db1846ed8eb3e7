//! Log output: one JSON object per line, with an event name and structured fields.
//!
//! The number of lines is limited per event, and a stalled reader does not block the process: lines that cannot be
//! written are dropped and counted.

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

/// Maximum number of lines of one event per [`WINDOW`]. A balancer of today's sites places 25 flows a second.
const MAX_LINES_PER_WINDOW: u32 = 60;
/// Period of the limit on lines.
const WINDOW: Duration = Duration::from_secs(1);
/// Maximum length of a line in bytes: `PIPE_BUF`, up to which a writable pipe takes a line whole and without blocking.
const MAX_LINE_LEN: usize = 4_096;
/// Maximum number of events with a window of their own; all further events share one.
const MAX_EVENTS: usize = 256;

/// Initializes logging to standard output for a node.
pub fn init(node: &str, level: LevelFilter) -> Result<(), SetLoggerError> {
    init_to(node, level, Writer::open(std::io::stdout()))
}

/// Initializes logging to standard error, for tools that print their result to standard output.
pub fn init_stderr(node: &str, level: LevelFilter) -> Result<(), SetLoggerError> {
    init_to(node, level, Writer::open(std::io::stderr()))
}

fn init_to<T: AsFd + Send + 'static>(node: &str, level: LevelFilter, writer: Writer<T>) -> Result<(), SetLoggerError> {
    let node = node.to_owned();
    let state = Mutex::new((Limiter::default(), writer));
    fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("dogwoodpitch", level)
        .level_for("dogwoodpitch_platform", level)
        .chain(fern::Output::call(move |record| {
            let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
            let (limiter, writer) = &mut *state;
            let event = event_name(record);
            if let Some(suppressed) = limiter.admit(&event, Instant::now()) {
                writer.write(&object(&node, &event, record, suppressed));
            }
        }))
        .apply()
}

fn event_name(record: &Record<'_>) -> String {
    let event = record.key_values().get(Key::from("event"));
    event.map_or_else(|| record.target().to_owned(), |event| event.to_string())
}

fn object(node: &str, event: &str, record: &Record<'_>, suppressed: u64) -> Map<String, serde_json::Value> {
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
            (_, _, Some(boolean)) => json!(boolean),
            _ => json!(value.to_string()),
        };
        self.0.insert(key.as_str().to_owned(), json);
        Ok(())
    }
}

/// Limits the number of lines per event.
#[derive(Debug, Default)]
pub struct Limiter {
    windows: HashMap<String, Window>,
}

#[derive(Debug)]
struct Window {
    end: Instant,
    lines: u32,
    suppressed: u64,
}

impl Limiter {
    /// Returns the number of lines of the event that were suppressed since the last one, or `None` if this line is to
    /// be suppressed, too.
    pub fn admit(&mut self, event: &str, now: Instant) -> Option<u64> {
        let has_window = self.windows.contains_key(event) || self.windows.len() < MAX_EVENTS;
        let event = if has_window { event } else { "" };
        let window = self.windows.entry(event.to_owned()).or_insert_with(|| Window {
            end: now + WINDOW,
            lines: 0,
            suppressed: 0,
        });
        if now >= window.end {
            window.end = now + WINDOW;
            window.lines = 0;
        }
        if window.lines >= MAX_LINES_PER_WINDOW {
            window.suppressed += 1;
            return None;
        }
        window.lines += 1;
        Some(std::mem::take(&mut window.suppressed))
    }
}

/// Non-blocking writer of lines.
#[derive(Debug)]
pub struct Writer<T> {
    output: T,
    dropped: u64,
}

impl<T: AsFd> Writer<T> {
    /// Opens a writer to an open file descriptor.
    pub fn open(output: T) -> Self {
        Self { output, dropped: 0 }
    }

    /// Writes an object as one line, or drops it if the write would block. The next line has the number of dropped
    /// lines.
    pub fn write(&mut self, object: &Map<String, serde_json::Value>) {
        let mut object = object.clone();
        if self.dropped > 0 {
            object.insert("dropped".to_owned(), json!(self.dropped));
        }
        let mut line = serde_json::Value::Object(object).to_string();
        line.push('\n');
        if line.len() <= MAX_LINE_LEN && self.try_write(line.as_bytes()) {
            self.dropped = 0;
        } else {
            self.dropped += 1;
        }
    }

    fn try_write(&self, line: &[u8]) -> bool {
        let mut poll_fds = [PollFd::new(self.output.as_fd(), PollFlags::POLLOUT)];
        let is_ready = poll(&mut poll_fds, PollTimeout::ZERO).is_ok_and(|count| count > 0);
        is_ready && unistd::write(&self.output, line).is_ok_and(|written| written == line.len())
    }
}
