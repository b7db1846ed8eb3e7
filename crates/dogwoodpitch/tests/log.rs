//! The log never blocks and stays bounded.

use std::{
    io::{BufRead, BufReader, Read},
    time::{Duration, Instant},
};

use dogwoodpitch::transport::log::{Bound, Sink};
use serde_json::{Map, json};

fn object(number: u64) -> Map<String, serde_json::Value> {
    let mut object = Map::new();
    object.insert("number".to_owned(), json!(number));
    object.insert("text".to_owned(), json!("x".repeat(1_000)));
    object
}

/// Guards against a process that stands still because nobody reads its log.
#[test]
fn a_reader_that_stops_blocks_nobody() {
    let (reader, writer) = std::io::pipe().unwrap();
    let mut sink = Sink::open(&writer);
    // A pipe holds 64 KiB; without the check this loop would never end.
    for number in 0..1_000 {
        sink.write(&object(number));
    }
    let mut reader = BufReader::new(reader);
    let mut first = String::new();
    reader.read_line(&mut first).unwrap();
    assert!(first.contains("\"number\":0"));
    let mut rest = vec![0; 40_000];
    reader.read_exact(&mut rest).unwrap();
    sink.write(&object(1_000));
    drop(writer);
    let mut text = String::new();
    reader.read_to_string(&mut text).unwrap();
    let last: serde_json::Value = serde_json::from_str(text.lines().last().unwrap()).unwrap();
    assert_eq!(last["number"], 1_000);
    assert!(last["dropped"].as_u64().unwrap() > 900, "{}", last["dropped"]);
}

/// Guards against a log that grows with the load, and against lines that vanish without a count.
#[test]
fn each_event_has_its_own_bound_and_counts_what_it_left_out() {
    let start = Instant::now();
    let mut bound = Bound::default();
    let admitted = (0..1_000)
        .filter(|_| bound.admit("flow.forwarded", start).is_some())
        .count();
    assert_eq!(admitted, 60);
    assert_eq!(bound.admit("config.applied", start), Some(0));
    assert_eq!(bound.admit("flow.forwarded", start + Duration::from_secs(1)), Some(940));
}
