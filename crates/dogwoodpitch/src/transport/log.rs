//! Log output: one line an event, with structured fields, on standard error.

use std::{
    fmt::Write,
    time::{SystemTime, UNIX_EPOCH},
};

use log::{
    LevelFilter, SetLoggerError,
    kv::{self, Key, Value, VisitSource},
};

/// Starts logging for a node.
pub fn open(node: &str, level: LevelFilter) -> Result<(), SetLoggerError> {
    let node = node.to_owned();
    fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("dogwoodpitch", level)
        .format(move |out, message, record| {
            let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            let mut fields = Fields(String::new());
            let _ = record.key_values().visit(&mut fields);
            out.finish(format_args!(
                "{}.{:03} {} {} {}{}",
                time.as_secs(),
                time.subsec_millis(),
                record.level(),
                node,
                message,
                fields.0
            ));
        })
        .chain(std::io::stderr())
        .apply()
}

struct Fields(String);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        write!(self.0, " {key}={value}").map_err(kv::Error::from)
    }
}
