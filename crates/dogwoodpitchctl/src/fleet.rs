//! Commands that ask the nodes for their state.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Write,
    time::{Duration, Instant},
};

use dogwoodpitch::{
    coordination::status::Status,
    protocol::code::Code,
    state::roster::{Node, Roster},
    transport::{http, time},
};
use futures_util::{StreamExt, stream};
use serde_json::{Value, json};

use crate::{Context, Error, Output, command};

/// Nodes that are asked at the same time.
const CONCURRENCY: usize = 64;
/// Longest time for the answer of a node.
const NODE_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause between two rounds of `wait`.
const ROUND_PAUSE: Duration = Duration::from_millis(250);
/// Rounds in a row without an answer after which a node counts as unreachable. Its announcement stays in the store for
/// ten minutes after its end.
const UNREACHABLE_ROUNDS: u32 = 2;
/// Time between two reads of the announced nodes during `wait`.
const ROSTER_INTERVAL: Duration = Duration::from_secs(2);

async fn ask(node: &Node) -> Result<Value, String> {
    let request = hyper::Request::get("/status")
        .header(hyper::header::HOST, node.http.to_string())
        .body(http_body_util::Full::default())
        .expect("the parts of the request are valid");
    let answer = http::call(node.http, Instant::now() + NODE_TIMEOUT, request).await;
    let (status, body) = answer.map_err(|error| error.to_string())?;
    if !status.is_success() {
        return Err(format!("HTTP status {status}"));
    }
    serde_json::from_slice(&body).map_err(|error| error.to_string())
}

/// Asks nodes for their `/status`. The answers are in the order of the nodes' names.
pub(crate) async fn ask_all<'a>(nodes: impl Iterator<Item = &'a Node>) -> Vec<(&'a Node, Result<Value, String>)> {
    let mut answers: Vec<_> = stream::iter(nodes)
        .map(|node| async move { (node, ask(node).await) })
        .buffer_unordered(CONCURRENCY)
        .collect()
        .await;
    answers.sort_by(|(a, _), (b, _)| a.name.cmp(&b.name));
    answers
}

pub(crate) async fn status(context: &Context) -> Result<Output, Error> {
    let snapshot = command::snapshot(context).await?;
    let answers = ask_all(snapshot.roster.iter()).await;
    let mut text = format!("store revision={}\n", snapshot.revision);
    let mut list = Vec::new();
    for (node, answer) in answers {
        match answer {
            Ok(status) => {
                let _ = writeln!(
                    text,
                    "{} role={} data_centre={} revision={} draining={}",
                    node.name, status["role"], status["data_centre"], status["revision"], status["draining"]
                );
                list.push(json!({ "node": node.name, "reachable": true, "status": status }));
            }
            Err(error) => {
                let _ = writeln!(text, "{} unreachable: {error}", node.name);
                list.push(json!({ "node": node.name, "reachable": false, "error": error }));
            }
        }
    }
    Ok(Output {
        json: json!({ "revision": snapshot.revision, "nodes": list }),
        text,
    })
}

pub(crate) async fn wait(context: &Context, revision: u64, timeout_s: u32) -> Result<Output, Error> {
    let deadline = Instant::now() + Duration::from_secs(timeout_s.into());
    let mut roster = command::snapshot(context).await?.roster;
    let mut read_at = Instant::now() + ROSTER_INTERVAL;
    // Nodes that use the revision, with the incarnation that said so: a restarted node has to show it again.
    let mut done = BTreeMap::new();
    let mut silent: BTreeMap<String, u32> = BTreeMap::new();
    loop {
        if Instant::now() >= read_at {
            // During an outage of the store the nodes that are known already are asked.
            if let Ok(snapshot) = command::snapshot(context).await {
                roster = snapshot.roster;
            }
            read_at = Instant::now() + ROSTER_INTERVAL;
        }
        let is_open = |node: &&Node| done.get(&node.name) != Some(&node.incarnation);
        let answers = ask_all(roster.iter().filter(is_open)).await;
        for (node, answer) in answers {
            match answer.and_then(|value| serde_json::from_value::<Status>(value).map_err(|e| e.to_string())) {
                Ok(status) => {
                    silent.remove(&node.name);
                    if status.revision >= revision {
                        done.insert(node.name.clone(), node.incarnation);
                    }
                }
                Err(_) => *silent.entry(node.name.clone()).or_default() += 1,
            }
        }
        let open = open(&roster, &done, &silent);
        if open.is_empty() && !done.is_empty() {
            let unreachable: Vec<_> = silent.into_keys().collect();
            let none = if unreachable.is_empty() { "none" } else { "" };
            return Ok(Output {
                text: format!(
                    "revision {revision} is in force on {} nodes; unreachable: {none}{}\n",
                    done.len(),
                    unreachable.join(",")
                ),
                json: json!({ "revision": revision, "nodes": done.len(), "unreachable": unreachable }),
            });
        }
        if Instant::now() + ROUND_PAUSE >= deadline {
            let mut error = Error::new(
                Code::TIMED_OUT,
                format!("revision {revision} is not in force on {} nodes", open.len()),
            );
            error.details = json!({ "behind": open, "nodes": done.len() });
            return Err(error);
        }
        time::sleep_until(Instant::now() + ROUND_PAUSE).await;
    }
}

/// Nodes that do not use the revision yet and are not known to be unreachable.
fn open(roster: &Roster, done: &BTreeMap<String, u32>, silent: &BTreeMap<String, u32>) -> BTreeSet<String> {
    let unreachable = |node: &Node| {
        silent
            .get(&node.name)
            .is_some_and(|rounds| *rounds >= UNREACHABLE_ROUNDS)
    };
    let open = roster
        .iter()
        .filter(|node| done.get(&node.name) != Some(&node.incarnation) && !unreachable(node));
    open.map(|node| node.name.clone()).collect()
}
