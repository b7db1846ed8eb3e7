//! Interface to a key-value store that [`steering`](crate::coordination::steering) uses. Each platform provides an adapter
//! for its store.

use std::{
    fmt,
    future::Future,
    pin::Pin,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_util::{StreamExt, stream::FuturesUnordered};

use crate::{coordination::store::Error, state::steering::era::Era, transport::time};

/// Pending reply of a store.
pub type Reply<T> = Pin<Box<dyn Future<Output = Result<T, Error>>>>;

/// Value of a reply, with the era of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer<T> {
    /// Value.
    pub value: T,
    /// Era, or why the answer does not tell it.
    pub era: Result<Era, String>,
}

impl<T> Answer<T> {
    /// Converts the value, if it is valid.
    pub fn try_map<U>(self, convert: impl FnOnce(T) -> Result<U, Error>) -> Result<Answer<U>, Error> {
        Ok(Answer {
            value: convert(self.value)?,
            era: self.era,
        })
    }
}

/// A key with its value and lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Key.
    pub key: Bytes,
    /// Value.
    pub value: Bytes,
    /// Lease whose end removes the key; 0 for none.
    pub lease: u64,
}

/// A key in a reply, also one whose value could not be decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Key {
    /// Key.
    pub key: Bytes,
    /// Whether the key exists after the event; false for a removal.
    pub present: bool,
}

/// Result of a read or of a watch.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Response {
    /// Entries that were read, or that changed.
    pub entries: Vec<Entry>,
    /// All keys, in the order of the events of a watch.
    pub keys: Vec<Key>,
    /// Why further entries could not be decoded.
    pub rejected: Vec<String>,
    /// Revision of the store, from which a watch can continue.
    pub revision: u64,
}

/// Result of a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Watch {
    /// Changes since the given revision; none if the wait timed out.
    Changes(Response),
    /// The store no longer has the history since the given revision.
    Compacted,
}

/// Operations of a store. Each makes one attempt within the given deadline; retries are up to the caller.
pub struct Store {
    /// Reads all keys with a prefix. The result may be seconds old if the flag `stale` is set.
    pub list: Box<dyn Fn(String, bool, Instant) -> Reply<Answer<Response>>>,
    /// Waits for changes under a prefix after a revision.
    pub watch: Box<dyn Fn(String, u64, Instant) -> Reply<Answer<Watch>>>,
    /// Writes a key under its lease. Returns false if there is no such lease.
    pub put: Box<dyn Fn(Entry, Instant) -> Reply<Answer<bool>>>,
    /// Grants a lease with a time to live.
    pub grant: Box<dyn Fn(Duration, Instant) -> Reply<Answer<u64>>>,
    /// Renews a lease. Returns false if it has expired.
    pub keep_alive: Box<dyn Fn(u64, Instant) -> Reply<Answer<bool>>>,
    /// Revokes a lease and removes its keys.
    pub revoke: Box<dyn Fn(u64, Instant) -> Reply<Answer<()>>>,
}

impl fmt::Debug for Store {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Store")
    }
}

/// Hedged read: starts another attempt after each interval while earlier ones are pending, and returns the first success. The
/// read thus succeeds as soon as an unresponsive store replies again, without waiting for the timeout of a lost attempt.
pub async fn read_hedged<T>(read: impl Fn() -> Reply<T>, interval: Duration, deadline: Instant) -> Result<T, Error> {
    let mut pending = FuturesUnordered::new();
    let mut last_error = None;
    loop {
        pending.push(read());
        let next_attempt = (Instant::now() + interval).min(deadline);
        while let Some(reply) = time::timeout_at(next_attempt, pending.next()).await.flatten() {
            match reply {
                Ok(value) => return Ok(value),
                Err(error) => last_error = Some(error),
            }
        }
        time::sleep_until(next_attempt).await;
        if next_attempt == deadline {
            return Err(last_error.unwrap_or_else(|| Error::Unavailable {
                text: "the store did not answer".to_owned(),
            }));
        }
    }
}
