//! Client of the platform store.

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
use serde::{Serialize, de::DeserializeOwned};
use snafu::Snafu;

use crate::{
    protocol::{
        code::Code,
        store::{
            CONFIG_HEAD_KEY, CONFIG_PREFIX, Entry, Grant, KeepAlive, KeepAliveReply, LABEL_PREFIX, Lease, NODE_PREFIX,
            Range, RangeReply, Record, SELECTOR_PREFIX, SERVICE_PREFIX, Step, Txn, TxnReply,
        },
    },
    state::config::{Item, Snapshot},
    transport::{http, time},
};

/// Time for one attempt at first. The store answers in milliseconds; an address without an answer is left for the next.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for one attempt after several time-outs: a slow store is still usable.
const MAX_ATTEMPT_TIMEOUT: Duration = Duration::from_secs(4);
/// Rounds over all addresses in one call.
const MAX_ROUNDS: u32 = 3;
/// Mean pause after the first round; it doubles each time.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// Client of the store. Clones share the address that answered last.
#[derive(Debug, Clone)]
pub struct Store(Rc<Inner>);

#[derive(Debug)]
struct Inner {
    addresses: Vec<SocketAddr>,
    current: Cell<usize>,
    /// Doubles with each time-out and follows the time of the answers.
    attempt_timeout: Cell<Duration>,
    bytes: Cell<u64>,
}

/// A call to the store that failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The call did not take effect: no address accepted a connection, or it was a read without an answer.
    #[snafu(display("store unavailable: {text}"))]
    Unavailable {
        /// Failure of the last address.
        text: String,
    },
    /// The call was sent and no answer arrived: it may take effect, also later.
    #[snafu(display("outcome of the call to the store is unknown: {text}"))]
    Unknown {
        /// Cause.
        text: String,
    },
    /// The store refused the call: it did not take effect.
    #[snafu(display(
        "code {}: store refused the call: HTTP status {status}: {text}",
        Code::STORE_UNAVAILABLE
    ))]
    Refused {
        /// HTTP status.
        status: StatusCode,
        /// Body of the answer.
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
    /// Client of a store with these addresses. No connection is made before the first call.
    pub fn open(addresses: Vec<SocketAddr>) -> Self {
        let current = rand::rng().random_range(0..addresses.len().max(1));
        Self(Rc::new(Inner {
            addresses,
            current: Cell::new(current),
            attempt_timeout: Cell::new(MIN_ATTEMPT_TIMEOUT),
            bytes: Cell::new(0),
        }))
    }

    /// Bytes of the bodies sent and received.
    pub fn bytes(&self) -> u64 {
        self.0.bytes.get()
    }

    /// Reads keys.
    pub async fn range(&self, range: &Range, deadline: Instant) -> Result<RangeReply, Error> {
        self.read("/v3/kv/range", range, deadline).await
    }

    /// Runs several reads at one revision of the store.
    pub async fn ranges(&self, ranges: Vec<Range>, deadline: Instant) -> Result<TxnReply, Error> {
        let txn = Txn {
            success: ranges.into_iter().map(Step::Range).collect(),
            ..Txn::default()
        };
        self.read("/v3/kv/txn", &txn, deadline).await
    }

    /// Runs a transaction once. [`Error::Unknown`] leaves it to the caller to settle whether it took effect.
    pub async fn txn(&self, txn: &Txn, deadline: Instant) -> Result<TxnReply, Error> {
        self.call("/v3/kv/txn", txn, deadline, false).await
    }

    /// Grants a lease. A lease whose reply was lost expires unused, so a call of unknown outcome is repeated.
    pub async fn grant(&self, ttl: Duration, deadline: Instant) -> Result<Lease, Error> {
        let grant = Grant { ttl: ttl.as_secs() };
        self.read("/v3/lease/grant", &grant, deadline).await
    }

    /// Renews a lease. A time to live of 0 in the answer means that it has expired.
    pub async fn keep_alive(&self, id: u64, deadline: Instant) -> Result<Lease, Error> {
        let reply: KeepAliveReply = self.read("/v3/lease/keepalive", &KeepAlive { id }, deadline).await?;
        Ok(reply.result)
    }

    async fn read<Q: Serialize, A: DeserializeOwned>(&self, path: &str, query: &Q, until: Instant) -> Result<A, Error> {
        match self.call(path, query, until, true).await {
            Err(Error::Unknown { text }) => Err(Error::Unavailable { text }),
            outcome => outcome,
        }
    }

    /// Tries the addresses in turn. Attempts that cannot have taken effect are always repeated, others only if
    /// `repeatable`.
    async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        query: &Q,
        deadline: Instant,
        repeatable: bool,
    ) -> Result<A, Error> {
        let body = Bytes::from(serde_json::to_vec(query).expect("queries have string keys"));
        let mut pause = FIRST_PAUSE;
        let mut round = 1;
        loop {
            let mut failure = None;
            for _ in 0..self.0.addresses.len() {
                match self.attempt(path, &body, deadline).await {
                    Ok(answer) => return Ok(answer),
                    Err(error @ Error::Refused { .. }) => return Err(error),
                    Err(error) if error.is_unknown() && !repeatable => return Err(error),
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
        let answer = http::call(address, deadline, request).await;
        let received = answer.as_ref().map_or(0, |(_, body)| body.len());
        self.0.bytes.set(self.0.bytes.get() + (body.len() + received) as u64);
        let next_timeout = match &answer {
            Ok(_) => start.elapsed() * 2,
            Err(http::Error::Timeout { .. }) => timeout * 2,
            Err(_) => timeout,
        };
        self.0
            .attempt_timeout
            .set(next_timeout.clamp(MIN_ATTEMPT_TIMEOUT, MAX_ATTEMPT_TIMEOUT));
        match answer {
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

/// Configuration that entries of the store hold. Its revision is that of the head key among them. An entry that does
/// not parse is logged and left out, so the last good value of the item stays in force.
pub fn decode_snapshot(entries: impl IntoIterator<Item = Entry>) -> Snapshot {
    let mut snapshot = Snapshot::default();
    for entry in entries {
        if let Err(error) = insert(&mut snapshot, &entry) {
            let key = String::from_utf8_lossy(&entry.key).into_owned();
            log::warn!(
                event = "store.invalid_entry", key:% = key, revision = entry.mod_revision, error:% = error;
                "entry of the store does not parse"
            );
        }
    }
    snapshot
}

fn insert(snapshot: &mut Snapshot, entry: &Entry) -> Result<(), serde_json::Error> {
    let key = String::from_utf8_lossy(&entry.key);
    if key == CONFIG_HEAD_KEY {
        snapshot.revision = entry.mod_revision;
    } else if let Some(name) = key.strip_prefix(SERVICE_PREFIX) {
        snapshot.services.insert(name.to_owned(), item(entry)?);
    } else if let Some(name) = key.strip_prefix(LABEL_PREFIX) {
        snapshot.labels.insert(name.to_owned(), item(entry)?);
    } else if let Some(name) = key.strip_prefix(SELECTOR_PREFIX) {
        snapshot.selectors.insert(name.to_owned(), item(entry)?);
    } else if key.starts_with(NODE_PREFIX) {
        snapshot.roster.insert(serde_json::from_slice(&entry.value)?);
    }
    Ok(())
}

fn item<T: DeserializeOwned>(entry: &Entry) -> Result<Item<T>, serde_json::Error> {
    let record: Record<T> = serde_json::from_slice(&entry.value)?;
    Ok(Item {
        revision: entry.mod_revision,
        value: record.value,
    })
}

/// Reads for everything after the given revisions of the configuration and of the announcements.
pub fn ranges_after(config: u64, nodes: u64) -> Vec<Range> {
    vec![
        Range::prefix_after(CONFIG_PREFIX, config),
        Range::prefix_after(NODE_PREFIX, nodes),
    ]
}
