//! Key-value store in memory behind the subset of the etcd v3 JSON gateway that the system uses, with faults. It can come back
//! from an older copy of its data, and tells its era in a header. The tests of other crates include this file.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    io,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use dogwoodpitch::{
    protocol::store::{
        Entry, Grant, Header, KeepAlive, KeepAliveReply, Lease, Put, PutReply, Range, RangeReply, Step, StepReply, Txn,
        TxnReply,
    },
    transport::{
        http::{self, Body},
        time,
    },
};
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::{Request, Response, StatusCode, body::Incoming};
use monoio::net::TcpListener;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// Fault of all calls from now on.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
pub(crate) struct Fault {
    kind: FaultKind,
    #[serde(default)]
    millis: u64,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum FaultKind {
    /// Calls work.
    #[default]
    None,
    /// Connections break after `millis`; the call has no effect.
    Outage,
    /// The call takes effect after half of `millis` and is answered after the rest, even if the client has gone.
    Slow,
    /// Writes take effect, and the connection breaks after `millis` without an answer.
    LostReply,
}

/// Header with the number of returns from an older copy.
const ERA_HEADER: &str = "store-era";
/// Age of the oldest copy that is kept.
const MAX_COPY_AGE: Duration = Duration::from_mins(1);

/// Return from a copy of this age.
#[derive(Debug, Clone, Copy, Deserialize)]
struct Return {
    millis: u64,
}

#[derive(Debug, Clone)]
struct Granted {
    ttl: Duration,
    expires: Instant,
}

/// What is lost by a return from an older copy.
#[derive(Debug, Clone, Default)]
struct Data {
    revision: u64,
    entries: BTreeMap<Bytes, Entry>,
    leases: BTreeMap<u64, Granted>,
}

#[derive(Debug, Default)]
struct State {
    data: Data,
    /// Copies of the data after each call that has changed them, and when they were made.
    copies: Vec<(Instant, Data)>,
    era: u64,
    calls: BTreeMap<String, u64>,
    fault: Fault,
}

/// Serves the store until the future is dropped.
pub(crate) async fn serve(listener: TcpListener) {
    // As in etcd, an empty store has revision 1.
    let state = Rc::new(RefCell::new(State {
        data: Data {
            revision: 1,
            ..Data::default()
        },
        ..State::default()
    }));
    state.borrow_mut().copy();
    http::serve(listener, http::IDLE_TIMEOUT, move |_peer, request| {
        let state = Rc::clone(&state);
        async move {
            let mut response = answer(Rc::clone(&state), request).await;
            response.headers_mut().insert(ERA_HEADER, state.borrow().era.into());
            response
        }
    })
    .await;
}

async fn answer(state: Rc<RefCell<State>>, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    let Ok(body) = http::read_body(request.into_body(), Instant::now() + http::IDLE_TIMEOUT).await else {
        return error(StatusCode::BAD_REQUEST, "body cannot be read");
    };
    match path.as_str() {
        "/lab/stats" => return http::json_response(StatusCode::OK, &state.borrow().calls),
        "/lab/fault" => {
            return match serde_json::from_slice(&body) {
                Ok(fault) => {
                    state.borrow_mut().fault = fault;
                    http::json_response(StatusCode::OK, &serde_json::json!({}))
                }
                Err(problem) => error(StatusCode::BAD_REQUEST, &problem.to_string()),
            };
        }
        "/lab/restore" => {
            return run(&body, |back: Return| {
                state.borrow_mut().restore(Duration::from_millis(back.millis))
            });
        }
        "/lab/expire" => {
            let key = String::from_utf8_lossy(&body);
            let expired = state.borrow_mut().expire_lease_of(key.as_bytes());
            return http::json_response(StatusCode::OK, &expired);
        }
        _ => {}
    }
    let fault = state.borrow().fault;
    let delay = Duration::from_millis(fault.millis);
    *state.borrow_mut().calls.entry(path.clone()).or_default() += 1;
    match fault.kind {
        FaultKind::None => {}
        FaultKind::Outage => {
            time::sleep_until(Instant::now() + delay).await;
            return broken();
        }
        FaultKind::Slow => {
            // The effect happens in a task of its own, as a client that gives up ends only the task of its connection.
            let effect = monoio::spawn(async move {
                time::sleep_until(Instant::now() + delay / 2).await;
                state.borrow_mut().call(&path, &body)
            });
            let response = effect.await;
            time::sleep_until(Instant::now() + delay / 2).await;
            return response;
        }
        FaultKind::LostReply => {
            let before = state.borrow().data.revision;
            let response = state.borrow_mut().call(&path, &body);
            if state.borrow().data.revision == before {
                return response;
            }
            time::sleep_until(Instant::now() + delay).await;
            return broken();
        }
    }
    state.borrow_mut().call(&path, &body)
}

/// Response that breaks the connection.
fn broken() -> Response<Body> {
    let lost = io::Error::from(io::ErrorKind::ConnectionReset);
    Response::new(StreamBody::new(stream::iter([Err(lost)])).boxed_unsync())
}

fn error(status: StatusCode, text: &str) -> Response<Body> {
    http::json_response(
        status,
        &serde_json::json!({ "error": text, "code": 3, "message": text }),
    )
}

fn run<Q: DeserializeOwned, A: Serialize>(body: &[u8], call: impl FnOnce(Q) -> A) -> Response<Body> {
    match serde_json::from_slice(body) {
        Ok(query) => http::json_response(StatusCode::OK, &call(query)),
        Err(problem) => error(StatusCode::BAD_REQUEST, &problem.to_string()),
    }
}

impl State {
    fn call(&mut self, path: &str, body: &[u8]) -> Response<Body> {
        let response = self.data.call(path, body);
        self.copy();
        response
    }

    fn copy(&mut self) {
        let now = Instant::now();
        let is_old = |(copied_at, _): &(Instant, Data)| *copied_at + MAX_COPY_AGE < now;
        let old = self.copies.iter().filter(|copy| is_old(copy)).count();
        self.copies.drain(..old.saturating_sub(1));
        self.copies.push((now, self.data.clone()));
    }

    /// Comes back from the copy of this age, and returns the new era.
    fn restore(&mut self, age: Duration) -> u64 {
        let is_young = |(copied_at, _): &(Instant, Data)| copied_at.elapsed() < age;
        let young = self.copies.iter().rev().take_while(|copy| is_young(copy)).count();
        let last_kept = (self.copies.len() - young).saturating_sub(1);
        self.data = self.copies.swap_remove(last_kept).1;
        self.copies.clear();
        self.era += 1;
        self.copy();
        self.era
    }

    /// Ends the lease of a key before its time. Returns whether the key had one.
    fn expire_lease_of(&mut self, key: &[u8]) -> bool {
        let expired = self.data.expire_lease_of(key);
        self.copy();
        expired
    }
}

impl Data {
    fn call(&mut self, path: &str, body: &[u8]) -> Response<Body> {
        self.expire();
        match path {
            "/v3/kv/range" => run(body, |range| self.range(&range)),
            "/v3/kv/put" => run(body, |put: Put| {
                self.revision += 1;
                self.put(put)
            }),
            "/v3/kv/txn" => run(body, |txn| self.txn(txn)),
            "/v3/lease/grant" => run(body, |grant| self.grant(&grant)),
            "/v3/lease/keepalive" => run(body, |lease| self.keep_alive(&lease)),
            _ => error(StatusCode::NOT_FOUND, "unknown path"),
        }
    }

    fn header(&self) -> Header {
        Header {
            revision: self.revision,
        }
    }

    fn range(&self, range: &Range) -> RangeReply {
        let matches = |entry: &&Entry| {
            let in_range = if range.range_end.is_empty() {
                entry.key == range.key
            } else {
                entry.key >= range.key && entry.key < range.range_end
            };
            in_range && entry.mod_revision >= range.min_mod_revision
        };
        let mut kvs: Vec<_> = self.entries.values().filter(matches).cloned().collect();
        if range.keys_only {
            for entry in &mut kvs {
                entry.value.clear();
            }
        }
        RangeReply {
            header: self.header(),
            kvs,
        }
    }

    /// Writes at the current revision, which the caller has raised.
    fn put(&mut self, put: Put) -> PutReply {
        let entry = Entry {
            key: put.key.clone(),
            value: put.value,
            mod_revision: self.revision,
            lease: put.lease,
        };
        self.entries.insert(put.key, entry);
        PutReply { header: self.header() }
    }

    fn txn(&mut self, txn: Txn) -> TxnReply {
        let succeeded = txn.compare.iter().all(|compare| {
            let revision = self.entries.get(&compare.key).map_or(0, |entry| entry.mod_revision);
            revision == compare.mod_revision
        });
        let steps = if succeeded { txn.success } else { txn.failure };
        if steps.iter().any(|step| matches!(step, Step::Put(_))) {
            self.revision += 1;
        }
        let responses = steps
            .into_iter()
            .map(|step| match step {
                Step::Range(range) => StepReply::Range(self.range(&range)),
                Step::Put(put) => StepReply::Put(self.put(put)),
            })
            .collect();
        TxnReply {
            header: self.header(),
            succeeded,
            responses,
        }
    }

    fn grant(&mut self, grant: &Grant) -> Lease {
        let id = self.leases.last_key_value().map_or(1, |(id, _)| id + 1);
        let ttl = Duration::from_secs(grant.ttl);
        let expires = Instant::now() + ttl;
        self.leases.insert(id, Granted { ttl, expires });
        Lease { id, ttl: grant.ttl }
    }

    fn keep_alive(&mut self, lease: &KeepAlive) -> KeepAliveReply {
        let granted = self.leases.get_mut(&lease.id);
        let ttl = granted.map_or(0, |granted| {
            granted.expires = Instant::now() + granted.ttl;
            granted.ttl.as_secs()
        });
        KeepAliveReply {
            result: Lease { id: lease.id, ttl },
        }
    }

    fn expire_lease_of(&mut self, key: &[u8]) -> bool {
        let lease = self.entries.get(key).map_or(0, |entry| entry.lease);
        let expired = self.leases.remove(&lease).is_some();
        self.expire();
        expired
    }

    /// Drops expired leases and their keys.
    fn expire(&mut self) {
        let now = Instant::now();
        self.leases.retain(|_, granted| granted.expires > now);
        let leases = &self.leases;
        let before = self.entries.len();
        self.entries
            .retain(|_, entry| entry.lease == 0 || leases.contains_key(&entry.lease));
        if self.entries.len() < before {
            self.revision += 1;
        }
    }
}
