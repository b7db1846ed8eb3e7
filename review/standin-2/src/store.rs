//! Stand-in for the platform's metadata store (PROTOCOL.md). Each node is given an address of its own, so that a fault can
//! concern the calls of one node; all addresses serve the same items.

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader, Write},
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use base64::{Engine, engine::general_purpose::STANDARD};
use serde_json::{Value, json};

use crate::record::Record;

/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Item {
    value: String,
    rev: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    rev: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
    /// Addresses whose next write is done later and not answered, with the delay.
    late_writes: BTreeMap<Ipv4Addr, Duration>,
}

#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    record: Record,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.rev += 1;
        let created = self.items.get(key).map_or(self.rev, |item| item.created);
        let item = Item { value, rev: self.rev, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((self.rev, key.to_owned(), Some(item)));
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.rev += 1;
            self.history.push((self.rev, key.to_owned(), None));
        }
    }

    /// Ends the leases whose time is over, and removes their keys.
    fn expire(&mut self, now: Instant) -> Vec<String> {
        self.leases.retain(|_, (until, _)| now < *until);
        let leases = &self.leases;
        let gone = self.items.iter().filter(|(_, item)| item.lease != 0 && !leases.contains_key(&item.lease));
        let gone: Vec<_> = gone.map(|(key, _)| key.clone()).collect();
        for key in &gone {
            self.delete(key);
        }
        gone
    }
}

fn item_json(key: &str, item: &Item) -> Value {
    json!({ "key": key, "value": item.value, "rev": item.rev, "created": item.created, "lease": item.lease })
}

impl Store {
    pub fn open(record: &Record) -> Self {
        let state = State { rev: 100, next_lease: 1_000, ..State::default() };
        let store = Self { shared: Arc::new((Mutex::new(state), Condvar::new())), record: record.clone() };
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                expiring.expire();
            }
        });
        store
    }

    fn expire(&self) {
        let gone = self.shared.0.lock().unwrap().expire(Instant::now());
        for key in gone {
            self.record.line(format!("store: {key} removed, its lease has ended"));
            self.shared.1.notify_all();
        }
    }

    /// Serves one more address.
    pub fn listen(&self, ip: Ipv4Addr, port: u16) -> std::io::Result<SocketAddrV4> {
        let listener = TcpListener::bind((ip, port))?;
        let SocketAddr::V4(address) = listener.local_addr()? else { unreachable!("the address is IPv4") };
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.serve(stream, ip));
            }
        });
        Ok(address)
    }

    /// Writes a desired state as the operator does.
    pub fn configure(&self, version: u64, routes: Vec<Value>, services: &[&str]) {
        let services: Vec<_> = services
            .iter()
            .map(|name| json!({ "name": name, "health_path": "/health", "max_conns": 2_000, "proto": "h1", "tls": false }))
            .collect();
        let limits = json!({ "max_header_bytes": 16_384, "max_body_bytes": 262_144, "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000 });
        let config = json!({ "version": version, "routes": routes, "services": services, "limits": limits });
        self.shared.0.lock().unwrap().put("op/config", STANDARD.encode(config.to_string()), 0);
        self.shared.1.notify_all();
        self.record.say(format!("operator: version {version} confirmed by the store"));
    }

    /// Executes the next write through an address late, without an answer.
    pub fn delay_next_write(&self, ip: Ipv4Addr, delay: Duration) {
        self.shared.0.lock().unwrap().late_writes.insert(ip, delay);
    }

    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.shared.0.lock().unwrap();
        state.items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    fn serve(&self, stream: TcpStream, ip: Ipv4Addr) {
        let Ok(writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        let mut writer = writer;
        while let Some((method, target, body)) = read_request(&mut reader) {
            thread::sleep(ANSWER_TIME);
            let body: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
            if target.starts_with("/kv-txn") {
                let delay = self.shared.0.lock().unwrap().late_writes.remove(&ip);
                if let Some(delay) = delay {
                    self.record.say(format!("store: a write through {ip} is not answered, and done after {delay:?}: {}", keys_of(&body)));
                    thread::sleep(delay);
                    let (status, _) = self.txn(&body);
                    self.record.say(format!("store: the delayed write of {} is done, with status {status}", keys_of(&body)));
                    // Nothing further returns on this connection.
                    thread::sleep(Duration::from_secs(30));
                    return;
                }
            }
            let (status, answer) = self.respond(&method, &target, &body);
            let answer = answer.to_string();
            let head = format!("HTTP/1.1 {status} Status\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n", answer.len());
            if writer.write_all((head + &answer).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn respond(&self, method: &str, target: &str, body: &Value) -> (u16, Value) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| unescape(value)).unwrap_or_default()
        };
        let lease: u64 = path.rsplit('/').next().and_then(|text| text.parse().ok()).unwrap_or(0);
        match (method, path) {
            ("GET", "/kv-key") => {
                let state = self.shared.0.lock().unwrap();
                let key = parameter("key");
                match state.items.get(&key) {
                    Some(item) => {
                        let mut answer = item_json(&key, item);
                        answer["current_rev"] = state.rev.into();
                        (200, answer)
                    }
                    None => (404, json!({ "current_rev": state.rev })),
                }
            }
            ("GET", "/kv-range") => {
                let (prefix, after) = (parameter("prefix"), parameter("after"));
                let state = self.shared.0.lock().unwrap();
                let found = state.items.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let found: Vec<_> = found.map(|(key, item)| item_json(key, item)).collect();
                let has_more = found.len() > 500;
                let items: Vec<_> = found.into_iter().take(500).collect();
                (200, json!({ "items": items, "has_more": has_more, "current_rev": state.rev }))
            }
            ("GET", "/kv-watch") => {
                let wait = Duration::from_millis(parameter("wait_ms").parse().unwrap_or(0));
                self.watch(&parameter("prefix"), parameter("after").parse().unwrap_or(0), wait)
            }
            ("POST", "/kv-txn") => self.txn(body),
            ("POST", "/kv-lease") => {
                let ttl_ms = body["ttl_ms"].as_u64().unwrap_or(0).clamp(1_000, 600_000);
                let mut state = self.shared.0.lock().unwrap();
                state.next_lease += 1;
                let (lease, ttl) = (state.next_lease, Duration::from_millis(ttl_ms));
                state.leases.insert(lease, (Instant::now() + ttl, ttl));
                (200, json!({ "lease": lease, "ttl_ms": ttl_ms }))
            }
            ("POST", _) if path.starts_with("/kv-keep/") => {
                let mut state = self.shared.0.lock().unwrap();
                let Some((until, ttl)) = state.leases.get_mut(&lease) else { return (404, json!({})) };
                *until = Instant::now() + *ttl;
                (200, json!({ "ttl_ms": u64::try_from(ttl.as_millis()).unwrap_or(0) }))
            }
            ("DELETE", _) if path.starts_with("/kv-lease-end/") => {
                let known = self.shared.0.lock().unwrap().leases.remove(&lease).is_some();
                self.expire();
                (if known { 200 } else { 404 }, json!({}))
            }
            _ => (404, json!({})),
        }
    }

    /// Does all puts and deletes of a transaction, or none.
    fn txn(&self, body: &Value) -> (u16, Value) {
        let list = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let mut state = self.shared.0.lock().unwrap();
        let key_of = |row: &Value| row["key"].as_str().unwrap_or_default().to_owned();
        let holds = |row: &Value| state.items.get(&key_of(row)).map_or(0, |item| item.rev) == row["rev"].as_u64().unwrap_or(0);
        if !list("precondition").iter().all(holds) {
            let items = list("precondition");
            let items = items.iter().filter_map(|row| Some(item_json(&key_of(row), state.items.get(&key_of(row))?)));
            return (412, json!({ "items": items.collect::<Vec<_>>() }));
        }
        let is_foreign = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
        if list("puts").iter().any(|put| is_foreign(&key_of(put))) {
            return (403, json!({}));
        }
        let lease_of = |put: &Value| put["lease"].as_u64().unwrap_or(0);
        if list("puts").iter().any(|put| lease_of(put) != 0 && !state.leases.contains_key(&lease_of(put))) {
            return (404, json!({}));
        }
        for put in list("puts") {
            state.put(&key_of(&put), put["value"].as_str().unwrap_or_default().to_owned(), lease_of(&put));
        }
        for key in list("deletes") {
            state.delete(key.as_str().unwrap_or_default());
        }
        let rev = state.rev;
        drop(state);
        self.shared.1.notify_all();
        (200, json!({ "rev": rev }))
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, Value) {
        let until = Instant::now() + wait;
        let mut state = self.shared.0.lock().unwrap();
        loop {
            let news = state.history.iter().filter(|(rev, key, _)| *rev > after && key.starts_with(prefix));
            let events: Vec<_> = news
                .map(|(rev, key, item)| match item {
                    Some(item) => item_json(key, item),
                    None => json!({ "key": key, "rev": rev, "deleted": true }),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return (200, json!({ "events": events, "current_rev": state.rev }));
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn keys_of(body: &Value) -> String {
    let puts = body["puts"].as_array().into_iter().flatten();
    puts.map(|put| format!("{} under lease {}", put["key"].as_str().unwrap_or_default(), put["lease"])).collect()
}

fn unescape(text: &str) -> String {
    let mut out = Vec::new();
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            out.push(byte);
            continue;
        }
        let digits = [bytes.next().unwrap_or(b'0'), bytes.next().unwrap_or(b'0')];
        out.push(u8::from_str_radix(&String::from_utf8_lossy(&digits), 16).unwrap_or(b'?'));
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads one HTTP/1.1 request: its method, target and body.
pub fn read_request(reader: &mut impl BufRead) -> Option<(String, String, Vec<u8>)> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut length = 0;
    loop {
        let mut header = String::new();
        if reader.read_line(&mut header).ok()? == 0 {
            return None;
        }
        let header = header.trim().to_ascii_lowercase();
        if header.is_empty() {
            break;
        }
        if let Some(value) = header.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((method, target, body))
}
