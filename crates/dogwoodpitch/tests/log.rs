//! The log does not block, and the number of lines per event is limited.

use std::{
    io::{BufRead, BufReader, Read},
    time::{Duration, Instant},
};

use dogwoodpitch::transport::log::{Limiter, Writer};
use serde_json::{Map, json};

fn object(number: u64) -> Map<String, serde_json::Value> {
    let mut object = Map::new();
    object.insert("number".to_owned(), json!(number));
    object.insert("text".to_owned(), json!("x".repeat(1_000)));
    object
}

/// Guards against a process that blocks because the reader of its log has stalled.
#[test]
fn stalled_reader_does_not_block_writes() {
    let (reader, pipe) = std::io::pipe().unwrap();
    let mut writer = Writer::open(&pipe);
    // A pipe holds 64 KiB, so a blocking writer would not get through this loop.
    for number in 0..1_000 {
        writer.write(&object(number));
    }
    let mut reader = BufReader::new(reader);
    let mut first = String::new();
    reader.read_line(&mut first).unwrap();
    assert!(first.contains("\"number\":0"));
    let mut rest = vec![0; 40_000];
    reader.read_exact(&mut rest).unwrap();
    writer.write(&object(1_000));
    drop(pipe);
    let mut text = String::new();
    reader.read_to_string(&mut text).unwrap();
    let last: serde_json::Value = serde_json::from_str(text.lines().last().unwrap()).unwrap();
    assert_eq!(last["number"], 1_000);
    assert!(last["dropped"].as_u64().unwrap() > 900, "{}", last["dropped"]);
}

/// Guards against a log that grows with the load, and against lines that are suppressed without being counted.
#[test]
fn limiter_limits_each_event_and_counts_suppressed_lines() {
    let start = Instant::now();
    let mut limiter = Limiter::default();
    let admitted = (0..1_000)
        .filter(|_| limiter.admit("flow.forwarded", start).is_some())
        .count();
    assert_eq!(admitted, 60);
    assert_eq!(limiter.admit("config.applied", start), Some(0));
    assert_eq!(
        limiter.admit("flow.forwarded", start + Duration::from_secs(1)),
        Some(940)
    );
}
