//! Client of the store: the JSON gateway of etcd v3.

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode, header};
use rand::RngExt;
use serde::{
    Serialize,
    de::{DeserializeOwned, Error as _},
};
use snafu::Snafu;

use crate::{
    protocol::{
        code::Code,
        store::{
            CONFIG_HEAD_KEY, CONFIG_PREFIX, Entry, Grant, KeepAlive, KeepAliveReply, LABEL_PREFIX, Lease, NODE_PREFIX,
            Range, RangeReply, Record, SELECTOR_PREFIX, SERVICE_PREFIX, Step, Txn, TxnReply,
        },
    },
    state::{
        config::{Item, Snapshot},
        roster::Node,
    },
    transport::{http, time},
};

/// Initial timeout of one attempt. The store replies in milliseconds, so an address that does not is given up for the next.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest timeout of one attempt, reached after several timeouts, so that a slow store stays usable.
const MAX_ATTEMPT_TIMEOUT: Duration = Duration::from_secs(4);
/// Attempts per address in one call.
const MAX_ROUNDS: u32 = 3;
/// Mean pause after the first round over all addresses; it doubles after each round.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// Client of the store. Clones share the address in use and the attempt timeout.
#[derive(Debug, Clone)]
pub struct Store(Rc<Inner>);

#[derive(Debug)]
struct Inner {
    addresses: Vec<SocketAddr>,
    current: Cell<usize>,
    /// Doubles after each timeout; twice the response time after each success.
    attempt_timeout: Cell<Duration>,
    bytes: Cell<u64>,
}

/// A failed call to the store.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The call had no effect: no address accepted a connection, or it was a read without a response.
    #[snafu(display("store unavailable: {text}"))]
    Unavailable {
        /// Failure of the last address.
        text: String,
    },
    /// The call was sent and no response arrived: it may have taken effect, or may still do so.
    #[snafu(display("outcome of the call to the store is unknown: {text}"))]
    Unknown {
        /// Cause.
        text: String,
    },
    /// The store refused the call: it had no effect.
    #[snafu(display(
        "code {}: store refused the call: HTTP status {status}: {text}",
        Code::STORE_UNAVAILABLE
    ))]
    Refused {
        /// HTTP status.
        status: StatusCode,
        /// Body of the response.
        text: String,
    },
}

impl Error {
    /// Whether the call may have taken effect.
    pub fn is_unknown(&self) -> bool {
        matches!(self, Self::Unknown { .. })
    }

    /// Result code.
    pub fn code(&self) -> Code {
        match self {
            Self::Unknown { .. } => Code::WRITE_UNKNOWN,
            Self::Unavailable { .. } | Self::Refused { .. } => Code::STORE_UNAVAILABLE,
        }
    }
}

impl Store {
    /// Creates a client for the addresses of a store. No connection is made before the first call.
    pub fn open(addresses: Vec<SocketAddr>) -> Self {
        let current = rand::rng().random_range(0..addresses.len().max(1));
        Self(Rc::new(Inner {
            addresses,
            current: Cell::new(current),
            attempt_timeout: Cell::new(MIN_ATTEMPT_TIMEOUT),
            bytes: Cell::new(0),
        }))
    }

    /// Total bytes of the bodies sent and received.
    pub fn bytes(&self) -> u64 {
        self.0.bytes.get()
    }

    /// Reads a range of keys.
    pub async fn range(&self, range: &Range, deadline: Instant) -> Result<RangeReply, Error> {
        self.call_idempotent("/v3/kv/range", range, deadline).await
    }

    /// Reads several ranges at one revision of the store.
    pub async fn ranges(&self, ranges: Vec<Range>, deadline: Instant) -> Result<TxnReply, Error> {
        let txn = Txn {
            success: ranges.into_iter().map(Step::Range).collect(),
            ..Txn::default()
        };
        self.call_idempotent("/v3/kv/txn", &txn, deadline).await
    }

    /// Runs a transaction at most once. After [`Error::Unknown`], the caller has to find out whether it took effect.
    pub async fn txn(&self, txn: &Txn, deadline: Instant) -> Result<TxnReply, Error> {
        self.call("/v3/kv/txn", txn, deadline, false).await
    }

    /// Grants a lease. A call of unknown outcome is retried, because a lease whose reply was lost expires unused.
    pub async fn grant(&self, ttl: Duration, deadline: Instant) -> Result<Lease, Error> {
        let grant = Grant { ttl: ttl.as_secs() };
        self.call_idempotent("/v3/lease/grant", &grant, deadline).await
    }

    /// Renews a lease. A time to live of 0 in the reply means that the lease has expired.
    pub async fn keep_alive(&self, id: u64, deadline: Instant) -> Result<Lease, Error> {
        let reply: KeepAliveReply = self
            .call_idempotent("/v3/lease/keepalive", &KeepAlive { id }, deadline)
            .await?;
        Ok(reply.result)
    }

    /// Makes a call that is safe to repeat, so that an unknown outcome counts as none.
    async fn call_idempotent<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        query: &Q,
        deadline: Instant,
    ) -> Result<A, Error> {
        match self.call(path, query, deadline, true).await {
            Err(Error::Unknown { text }) => Err(Error::Unavailable { text }),
            outcome => outcome,
        }
    }

    /// Tries the addresses in turn. Attempts that cannot have taken effect are always retried, others only if the call is
    /// `idempotent`.
    async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        query: &Q,
        deadline: Instant,
        idempotent: bool,
    ) -> Result<A, Error> {
        let body = Bytes::from(serde_json::to_vec(query).expect("queries have string keys"));
        let mut pause = FIRST_PAUSE;
        let mut round = 1;
        loop {
            let mut failure = None;
            for _ in 0..self.0.addresses.len() {
                match self.attempt(path, &body, deadline).await {
                    Ok(reply) => return Ok(reply),
                    Err(error @ Error::Refused { .. }) => return Err(error),
                    Err(error) if error.is_unknown() && !idempotent => return Err(error),
                    Err(error) => failure = Some(error),
                }
                self.0.current.set((self.0.current.get() + 1) % self.0.addresses.len());
                if Instant::now() >= deadline {
                    break;
                }
            }
            let failure = failure.unwrap_or_else(|| Error::Unavailable {
                text: "no address of the store is known".to_owned(),
            });
            let next = Instant::now() + pause.mul_f64(rand::rng().random_range(0.5..1.5));
            if round == MAX_ROUNDS || next >= deadline {
                return Err(failure);
            }
            time::sleep_until(next).await;
            pause *= 2;
            round += 1;
        }
    }

    /// Makes one attempt at the current address and adapts the attempt timeout.
    async fn attempt<A: DeserializeOwned>(&self, path: &str, body: &Bytes, deadline: Instant) -> Result<A, Error> {
        let address = self.0.addresses[self.0.current.get()];
        let start = Instant::now();
        let timeout = self.0.attempt_timeout.get();
        let deadline = deadline.min(start + timeout);
        let request = Request::post(path)
            .header(header::HOST, address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body.clone()))
            .expect("the parts of the request are valid");
        let response = http::call(address, deadline, request).await;
        let received = response.as_ref().map_or(0, |(_, body)| body.len());
        self.0.bytes.set(self.0.bytes.get() + (body.len() + received) as u64);
        let next_timeout = match &response {
            Ok(_) => start.elapsed() * 2,
            Err(http::Error::Timeout { .. }) => timeout * 2,
            Err(_) => timeout,
        };
        self.0
            .attempt_timeout
            .set(next_timeout.clamp(MIN_ATTEMPT_TIMEOUT, MAX_ATTEMPT_TIMEOUT));
        match response {
            Ok((StatusCode::OK, body)) => serde_json::from_slice(&body).map_err(|error| Error::Unknown {
                text: format!("answer of {address}: {error}"),
            }),
            Ok((status, body)) if status.is_client_error() => Err(Error::Refused {
                status,
                text: String::from_utf8_lossy(&body).into_owned(),
            }),
            Ok((status, _)) => Err(Error::Unknown {
                text: format!("HTTP status {status} of {address}"),
            }),
            Err(error @ http::Error::Connect { .. }) => Err(Error::Unavailable {
                text: error.to_string(),
            }),
            Err(error) => Err(Error::Unknown {
                text: error.to_string(),
            }),
        }
    }
}

/// Decodes the configuration in entries of the store. Its revision is that of the head key among them. An entry that does
/// not parse is logged and skipped, so that the last valid value of the item stays in force.
pub fn decode_snapshot(entries: impl IntoIterator<Item = Entry>) -> Snapshot {
    let mut snapshot = Snapshot::default();
    for entry in entries {
        if let Err(error) = insert_entry(&mut snapshot, &entry) {
            let key = String::from_utf8_lossy(&entry.key).into_owned();
            log::warn!(
                event = "store.invalid_entry", key:% = key, revision = entry.mod_revision, error:% = error;
                "entry of the store does not parse; skipped"
            );
        }
    }
    snapshot
}

fn insert_entry(snapshot: &mut Snapshot, entry: &Entry) -> Result<(), serde_json::Error> {
    let key = String::from_utf8_lossy(&entry.key);
    if key == CONFIG_HEAD_KEY {
        snapshot.revision = entry.mod_revision;
    } else if let Some(name) = key.strip_prefix(SERVICE_PREFIX) {
        snapshot.services.insert(name.to_owned(), decode_item(entry)?);
    } else if let Some(name) = key.strip_prefix(LABEL_PREFIX) {
        snapshot.labels.insert(name.to_owned(), decode_item(entry)?);
    } else if let Some(name) = key.strip_prefix(SELECTOR_PREFIX) {
        snapshot.selectors.insert(name.to_owned(), decode_item(entry)?);
    } else if let Some(name) = key.strip_prefix(NODE_PREFIX) {
        snapshot.roster.insert(decode_node(name, &entry.value)?);
    }
    Ok(())
}

/// Decodes the announcement of a node. One under the name of another node would replace that node in the roster.
fn decode_node(name: &str, value: &[u8]) -> Result<Node, serde_json::Error> {
    let node: Node = serde_json::from_slice(value)?;
    let is_reachable = node.datagram.port() != 0 && !node.datagram.ip().is_unspecified();
    if node.name != name || !is_reachable {
        return Err(serde_json::Error::custom("not the announcement of a node of this name"));
    }
    Ok(node)
}

fn decode_item<T: DeserializeOwned>(entry: &Entry) -> Result<Item<T>, serde_json::Error> {
    let record: Record<T> = serde_json::from_slice(&entry.value)?;
    Ok(Item {
        revision: entry.mod_revision,
        value: record.value,
    })
}

/// Ranges of everything that was written after the given revisions of the configuration and of the announcements.
pub fn ranges_after(config_revision: u64, nodes_revision: u64) -> Vec<Range> {
    vec![
        Range::prefix_after(CONFIG_PREFIX, config_revision),
        Range::prefix_after(NODE_PREFIX, nodes_revision),
    ]
}
