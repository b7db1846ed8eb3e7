//! What the steering needs of a key-value store. Clients of different stores are turned into this one.

use std::{
    fmt,
    future::Future,
    pin::Pin,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_util::{StreamExt, stream::FuturesUnordered};

use crate::{coordination::store::Error, transport::time};

/// Pending answer of a store.
pub type Reply<T> = Pin<Box<dyn Future<Output = Result<T, Error>>>>;

/// Key with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Key.
    pub key: Bytes,
    /// Value.
    pub value: Bytes,
    /// Lease that the key ends with; 0 for none.
    pub lease: u64,
}

/// Result of a read or of a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// Items that were read, or that changed.
    pub entries: Vec<Entry>,
    /// Revision of the store, from which a watch goes on.
    pub revision: u64,
}

/// Result of a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Watch {
    /// Changes since the given revision; none if the wait is over.
    Changes(Response),
    /// The store no longer has the history since that revision.
    Compacted,
}

/// Calls of a store. Each is tried once; deadlines are given, and retries are the caller's.
pub struct Store {
    /// Reads one key; linearizable.
    pub get: Box<dyn Fn(String, Instant) -> Reply<Response>>,
    /// Reads all keys of a prefix. The result may be seconds old if `stale` is set.
    pub list: Box<dyn Fn(String, bool, Instant) -> Reply<Response>>,
    /// Waits for changes under a prefix after a revision.
    pub watch: Box<dyn Fn(String, u64, Instant) -> Reply<Watch>>,
    /// Writes a key under its lease. False if there is no such lease.
    pub put: Box<dyn Fn(Entry, Instant) -> Reply<bool>>,
    /// Grants a lease of a time to live.
    pub grant: Box<dyn Fn(Duration, Instant) -> Reply<u64>>,
    /// Renews a lease. False if it has ended.
    pub keep_alive: Box<dyn Fn(u64, Instant) -> Reply<bool>>,
    /// Ends a lease and removes its keys.
    pub revoke: Box<dyn Fn(u64, Instant) -> Reply<()>>,
}

impl fmt::Debug for Store {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Store")
    }
}

/// Reads from a store that may be silent. Further tries begin after each interval while earlier ones are pending, so that the
/// first moment at which the store answers again counts, not the end of a try that it never got.
pub async fn read_hedged<T>(read: impl Fn() -> Reply<T>, interval: Duration, deadline: Instant) -> Result<T, Error> {
    let mut pending = FuturesUnordered::new();
    let mut failure = None;
    loop {
        pending.push(read());
        let next_try = (Instant::now() + interval).min(deadline);
        while let Some(answer) = time::timeout_at(next_try, pending.next()).await.flatten() {
            match answer {
                Ok(value) => return Ok(value),
                Err(error) => failure = Some(error),
            }
        }
        time::sleep_until(next_try).await;
        if next_try == deadline {
            return Err(failure.unwrap_or_else(|| Error::Unavailable {
                text: "the store did not answer".to_owned(),
            }));
        }
    }
}
