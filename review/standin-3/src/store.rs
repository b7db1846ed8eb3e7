//! Stand-in for the platform's metadata store. Each node calls an address of its own, so that the record tells who calls.

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader, Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use base64::{Engine, engine::general_purpose::STANDARD};
use serde_json::{Value, json};

use crate::Record;

#[derive(Debug, Clone)]
struct Item {
    value: String,
    rev: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug, Default)]
struct State {
    rev: u64,
    items: BTreeMap<String, Item>,
    events: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
}

#[derive(Debug, Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    record: Record,
}

impl Store {
    pub fn new(record: &Record) -> Self {
        let store = Self {
            state: Arc::default(),
            record: record.clone(),
        };
        store.state.0.lock().unwrap().rev = 100;
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                expiring.expire();
            }
        });
        store
    }

    /// Serves the node with this address.
    pub fn listen(&self, own: Ipv4Addr, node: Ipv4Addr) -> Result<SocketAddr, String> {
        let listener = TcpListener::bind((own, 0)).map_err(|error| error.to_string())?;
        let address = listener.local_addr().map_err(|error| error.to_string())?;
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.serve(stream, node));
            }
        });
        Ok(address)
    }

    /// Writes as the operator does.
    pub fn put(&self, key: &str, value: &Value) {
        let mut state = self.state.0.lock().unwrap();
        state.write(key, Some((STANDARD.encode(value.to_string()), 0)));
        self.state.1.notify_all();
    }

    fn expire(&self) {
        let mut state = self.state.0.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<_> = state
            .leases
            .iter()
            .filter(|(_, (until, _))| now >= *until)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in ended {
            self.record.line(&format!("store: lease {lease} ends"));
            state.end_lease(lease, &self.record);
            self.state.1.notify_all();
        }
    }

    fn serve(&self, mut stream: TcpStream, node: Ipv4Addr) {
        let Ok(reading) = stream.try_clone() else { return };
        let mut reader = BufReader::new(reading);
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            let mut length = 0;
            loop {
                let mut header = String::new();
                if reader.read_line(&mut header).unwrap_or(0) <= 2 {
                    break;
                }
                if let Some(value) = header.to_ascii_lowercase().strip_prefix("content-length:") {
                    length = value.trim().parse().unwrap_or(0);
                }
            }
            let mut body = vec![0; length];
            if reader.read_exact(&mut body).is_err() {
                return;
            }
            let body: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
            let mut words = line.split(' ');
            let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
            let (status, answer) = self.answer(method, target, &body, node);
            if !target.starts_with("/kv-watch") {
                let what = if target == "/kv-txn" {
                    keys(&body)
                } else {
                    String::new()
                };
                self.record
                    .line(&format!("store: {node} {method} {target} {what} -> {status}"));
            }
            let answer = answer.to_string();
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                answer.len()
            );
            if stream.write_all(format!("{head}{answer}").as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, method: &str, target: &str, body: &Value, node: Ipv4Addr) -> (u16, Value) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            decode(pairs.find(|(key, _)| *key == name).map_or("", |(_, value)| value))
        };
        let lease = path.rsplit('/').next().and_then(|text| text.parse().ok()).unwrap_or(0);
        match (method, path) {
            ("GET", "/kv-key") => {
                let state = self.state.0.lock().unwrap();
                let key = parameter("key");
                match state.items.get(&key) {
                    Some(item) => {
                        let mut item = describe(&key, item);
                        item["current_rev"] = json!(state.rev);
                        (200, item)
                    }
                    None => (404, json!({ "current_rev": state.rev })),
                }
            }
            ("GET", "/kv-range") => {
                let (prefix, after) = (parameter("prefix"), parameter("after"));
                let state = self.state.0.lock().unwrap();
                let items = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let items: Vec<_> = items.map(|(key, item)| describe(key, item)).collect();
                (
                    200,
                    json!({ "items": items, "has_more": false, "current_rev": state.rev }),
                )
            }
            ("GET", "/kv-watch") => {
                let wait = Duration::from_millis(parameter("wait_ms").parse().unwrap_or(0));
                self.watch(&parameter("prefix"), parameter("after").parse().unwrap_or(0), wait)
            }
            ("POST", "/kv-txn") => self.write(body),
            ("POST", "/kv-lease") => {
                let ttl = Duration::from_millis(body["ttl_ms"].as_u64().unwrap_or(1_000).max(1_000));
                let mut state = self.state.0.lock().unwrap();
                state.next_lease += 1;
                let lease = state.next_lease;
                state.leases.insert(lease, (Instant::now() + ttl, ttl));
                self.record.line(&format!("store: lease {lease} for {node}"));
                (200, json!({ "lease": lease, "ttl_ms": ttl.as_millis() as u64 }))
            }
            ("POST", _) if path.starts_with("/kv-keep/") => {
                let mut state = self.state.0.lock().unwrap();
                match state.leases.get_mut(&lease) {
                    Some((until, ttl)) => {
                        *until = Instant::now() + *ttl;
                        (200, json!({ "lease": lease, "ttl_ms": ttl.as_millis() as u64 }))
                    }
                    None => (404, json!({})),
                }
            }
            ("DELETE", _) if path.starts_with("/kv-lease-end/") => {
                self.state.0.lock().unwrap().end_lease(lease, &self.record);
                self.state.1.notify_all();
                (200, json!({}))
            }
            _ => (404, json!({})),
        }
    }

    fn write(&self, body: &Value) -> (u16, Value) {
        let mut state = self.state.0.lock().unwrap();
        let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let rev = |state: &State, key: &str| state.items.get(key).map_or(0, |item| item.rev);
        for row in rows("precondition") {
            if row["rev"].as_u64() != Some(rev(&state, row["key"].as_str().unwrap_or(""))) {
                return (412, json!({ "items": [] }));
            }
        }
        for put in rows("puts") {
            let lease = put["lease"].as_u64().unwrap_or(0);
            if lease != 0 && !state.leases.contains_key(&lease) {
                return (404, json!({}));
            }
        }
        for put in rows("puts") {
            let value = put["value"].as_str().unwrap_or("").to_owned();
            state.write(
                put["key"].as_str().unwrap_or(""),
                Some((value, put["lease"].as_u64().unwrap_or(0))),
            );
        }
        for key in rows("deletes") {
            state.write(key.as_str().unwrap_or(""), None);
        }
        self.state.1.notify_all();
        (200, json!({ "rev": state.rev }))
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, Value) {
        let until = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        loop {
            let events = state
                .events
                .iter()
                .filter(|(rev, key, _)| *rev > after && key.starts_with(prefix));
            let events: Vec<_> = events
                .map(|(rev, key, item)| match item {
                    Some(item) => describe(key, item),
                    None => json!({ "key": key, "rev": rev, "deleted": true }),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return (200, json!({ "events": events, "current_rev": state.rev }));
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

impl State {
    fn write(&mut self, key: &str, value: Option<(String, u64)>) {
        self.rev += 1;
        let rev = self.rev;
        let known = self.items.remove(key);
        let item = value.map(|(value, lease)| Item {
            value,
            rev,
            created: known.map_or(rev, |known| known.created),
            lease,
        });
        self.events.push((rev, key.to_owned(), item.clone()));
        if let Some(item) = item {
            self.items.insert(key.to_owned(), item);
        }
    }

    fn end_lease(&mut self, lease: u64, record: &Record) {
        self.leases.remove(&lease);
        let keys: Vec<_> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            record.line(&format!("store: {key} is removed with lease {lease}"));
            self.write(&key, None);
        }
    }
}

fn describe(key: &str, item: &Item) -> Value {
    json!({ "key": key, "value": item.value, "rev": item.rev, "created": item.created, "lease": item.lease })
}

fn keys(body: &Value) -> String {
    let puts = body["puts"].as_array().cloned().unwrap_or_default();
    let told = puts
        .iter()
        .map(|put| format!("{} lease {}", put["key"].as_str().unwrap_or(""), put["lease"]));
    told.collect::<Vec<_>>().join(", ")
}

fn decode(text: &str) -> String {
    let (mut bytes, mut out) = (text.bytes(), Vec::new());
    while let Some(byte) = bytes.next() {
        if byte == b'%' {
            let hex: String = bytes.by_ref().take(2).map(char::from).collect();
            out.push(u8::from_str_radix(&hex, 16).unwrap_or(b'?'));
        } else {
            out.push(byte);
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
