//! Joins the log lines of many processes that belong to one flow.

use std::{
    fs::File,
    io::{BufRead, BufReader},
};

use serde_json::{Map, Value, json};

use crate::{Error, Output};

/// Fields that each line has; they are not repeated among the details.
const COMMON: [&str; 5] = ["time", "level", "node", "event", "message"];

/// A line that belongs to the flow.
struct Line {
    time: f64,
    fields: Map<String, Value>,
}

/// Lines of the files that name the flow, in the order of time, whatever process wrote them. An id is the address and port
/// of a client.
pub(crate) fn explain(id: &str, files: &[&str]) -> Result<Output, Error> {
    let mut lines = Vec::new();
    for name in files {
        let file = File::open(name).map_err(|error| Error::usage(format!("{name}: {error}")))?;
        for line in BufReader::new(file).split(b'\n') {
            let line = line.map_err(|error| Error::usage(format!("{name}: {error}")))?;
            lines.extend(parse(&line).filter(|line| names(&line.fields, id)));
        }
    }
    lines.sort_by(|a, b| a.time.total_cmp(&b.time));
    let text = lines.iter().map(print).collect();
    let lines = lines.into_iter().map(|line| Value::Object(line.fields)).collect();
    Ok(Output {
        json: json!({ "id": id, "lines": Value::Array(lines) }),
        text,
    })
}

/// A log line, which may follow a prefix of whatever collected it. Other lines are skipped.
fn parse(line: &[u8]) -> Option<Line> {
    let start = line.iter().position(|byte| *byte == b'{')?;
    let Ok(Value::Object(fields)) = serde_json::from_slice(&line[start..]) else {
        return None;
    };
    let time = fields.get("time")?.as_f64()?;
    Some(Line { time, fields })
}

fn names(fields: &Map<String, Value>, id: &str) -> bool {
    fields.values().any(|value| value.as_str() == Some(id))
}

fn print(line: &Line) -> String {
    let word = |name: &str| line.fields.get(name).and_then(Value::as_str).unwrap_or("-");
    let mut words = vec![
        format!("{:.3}", line.time),
        word("node").to_owned(),
        word("event").to_owned(),
    ];
    let details = line.fields.iter().filter(|(name, _)| !COMMON.contains(&name.as_str()));
    words.extend(details.map(|(name, value)| format!("{name}={value}")));
    words.join(" ") + "\n"
}
