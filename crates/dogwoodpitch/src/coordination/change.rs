//! Configuration changes by operators: compare-and-swap transactions, with change IDs that tell after a lost reply whether
//! a change took effect.

use std::time::{Duration, Instant};

use bytes::Bytes;
use rand::RngExt;
use serde::{Serialize, de::DeserializeOwned};
use snafu::Snafu;

use crate::{
    coordination::store::{self, Store},
    protocol::{
        code::Code,
        store::{CONFIG_HEAD_KEY, Compare, Entry, MAX_HISTORY_LEN, Put, Range, Record, Step, Txn},
    },
    transport::time,
};

/// Mean pause between attempts while the outcome is unknown.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Version of an item on which a change is based.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Base<T> {
    /// Revision of the item; 0 if it never existed.
    pub revision: u64,
    /// Record of the item; `None` if it does not exist or does not parse.
    pub record: Option<Record<T>>,
}

impl<T: DeserializeOwned> Base<T> {
    /// Decodes an entry of the store. A value that does not parse is treated as missing, so that it can be replaced.
    pub fn from_entry(entry: Option<&Entry>) -> Self {
        Self {
            revision: entry.map_or(0, |entry| entry.mod_revision),
            record: entry.and_then(|entry| serde_json::from_slice(&entry.value).ok()),
        }
    }
}

impl<T> Base<T> {
    /// Value; `None` if the item does not exist or is deleted.
    pub fn value(&self) -> Option<&T> {
        self.record.as_ref()?.value.as_ref()
    }
}

/// A change of one item, with writes of other keys that take effect atomically with it.
#[derive(Debug, Clone)]
pub struct Change {
    id: String,
    key: String,
    /// ID of the change that wrote the base of the item.
    base_id: Option<String>,
    txn: Txn,
}

/// A change that took effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Commit {
    /// Revision of the change, or of a later change of the same item if `superseded`.
    pub revision: u64,
    /// Whether a later change replaced this one before its outcome was known.
    pub superseded: bool,
}

/// A change that failed or whose outcome is unknown.
#[derive(Debug, Snafu)]
pub enum Error {
    /// Another change of the item was committed first. This one has not taken effect and never will.
    #[snafu(display("another change came first"))]
    Conflict {
        /// Current version of the item.
        current: Base<serde_json::Value>,
    },
    /// Another key of the change was written concurrently. This change has not taken effect and never will; it may be
    /// retried on a new base.
    #[snafu(display("another change of {key} came first"))]
    Contention {
        /// The other key.
        key: String,
        /// Current version of that key.
        current: Base<serde_json::Value>,
    },
    /// The change did not take effect.
    #[snafu(display("{source}"))]
    Store {
        /// Cause.
        source: store::Error,
    },
    /// The change may have taken effect, or may still do so.
    #[snafu(display("outcome of change {id} is unknown: {text}"))]
    Unknown {
        /// ID of the change.
        id: String,
        /// Cause.
        text: String,
    },
}

impl Error {
    /// Result code.
    pub fn code(&self) -> Code {
        match self {
            Self::Conflict { .. } | Self::Contention { .. } => Code::CONFLICT,
            Self::Store { source } => source.code(),
            Self::Unknown { .. } => Code::WRITE_UNKNOWN,
        }
    }
}

impl Change {
    /// Creates a change that sets an item to a value, or deletes it if the value is `None`.
    pub fn new<T: Serialize>(key: String, base: &Base<T>, value: Option<&T>) -> Self {
        let id = format!("{:032x}", rand::rng().random::<u128>());
        let mut change = Self {
            base_id: base.record.as_ref().map(|record| record.change.clone()),
            id,
            key: key.clone(),
            txn: Txn::default(),
        };
        change.add_item(key, base, value);
        let head = serde_json::json!({ "change": change.id });
        change.put(CONFIG_HEAD_KEY.to_owned(), &head);
        change
    }

    /// Adds a write of another item, on condition that it still has the revision of its base.
    pub fn add_item<T: Serialize>(&mut self, key: String, base: &Base<T>, value: Option<&T>) {
        let base_record = base.record.as_ref();
        let history = base_record.into_iter().flat_map(|record| {
            let latest = std::iter::once(&record.change);
            latest.chain(&record.history).take(MAX_HISTORY_LEN).cloned()
        });
        let record = Record {
            value,
            change: self.id.clone(),
            history: history.collect(),
        };
        self.compare_and_put(key, base.revision, &record);
    }

    /// Adds a write of a plain value to a key, on condition that the key still has a revision.
    pub fn compare_and_put<T: Serialize>(&mut self, key: String, revision: u64, value: &T) {
        self.compare(&key, revision);
        self.put(key, value);
    }

    /// Adds the condition that a key still has a revision. On failure the transaction returns the key's entry.
    pub fn compare(&mut self, key: &str, revision: u64) {
        self.txn.compare.push(Compare {
            key: Bytes::copy_from_slice(key.as_bytes()),
            mod_revision: revision,
            ..Compare::default()
        });
        self.txn.failure.push(Step::Range(Range::key(key)));
    }

    fn put<T: Serialize>(&mut self, key: String, value: &T) {
        self.txn.success.push(Step::Put(Put {
            key: key.into(),
            value: Bytes::from(serde_json::to_vec(value).expect("records have string keys")),
            lease: 0,
        }));
    }

    /// ID of the change.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Commits the change. After a lost reply, the item's history is searched for the change, and the same transaction is
    /// retried if it is not there. As the comparison stays the same, the change takes effect at most once.
    pub async fn commit(&self, store: &Store, deadline: Instant) -> Result<Commit, Error> {
        let mut unknown = None;
        loop {
            match self.attempt(store, deadline, unknown.is_some()).await {
                Ok(outcome) => return outcome,
                Err(error) if error.is_unknown() => unknown = Some(error.to_string()),
                Err(error) if unknown.is_none() => return Err(Error::Store { source: error }),
                Err(_) => {}
            }
            let next = Instant::now() + RETRY_PAUSE.mul_f64(rand::rng().random_range(0.5..1.5));
            if next >= deadline {
                let text = unknown.unwrap_or_default();
                return Err(Error::Unknown {
                    id: self.id.clone(),
                    text,
                });
            }
            time::sleep_until(next).await;
        }
    }

    /// Makes one attempt. After an attempt of unknown outcome, `check_first` is set to search the item's history before.
    async fn attempt(
        &self,
        store: &Store,
        deadline: Instant,
        check_first: bool,
    ) -> Result<Result<Commit, Error>, store::Error> {
        if check_first {
            let reply = store.range(&Range::key(&self.key), deadline).await?;
            if let Some(commit) = self.find_commit(reply.kvs.first()) {
                return Ok(Ok(commit));
            }
        }
        let reply = store.txn(&self.txn, deadline).await?;
        if reply.succeeded {
            return Ok(Ok(Commit {
                revision: reply.header.revision,
                superseded: false,
            }));
        }
        Ok(self.resolve_rejected(&reply.entries().collect::<Vec<_>>()))
    }

    /// Determines the outcome from the current entries after the comparison failed.
    fn resolve_rejected(&self, entries: &[Entry]) -> Result<Commit, Error> {
        let find = |key: &[u8]| entries.iter().find(|entry| entry.key == key);
        let current = find(self.key.as_bytes());
        if let Some(commit) = self.find_commit(current) {
            return Ok(commit);
        }
        let changed = self
            .txn
            .compare
            .iter()
            .find(|compare| find(&compare.key).map_or(0, |entry| entry.mod_revision) != compare.mod_revision);
        if let Some(changed) = changed.filter(|changed| changed.key != self.key.as_bytes()) {
            return Err(Error::Contention {
                key: String::from_utf8_lossy(&changed.key).into_owned(),
                current: Base::from_entry(find(&changed.key)),
            });
        }
        let current = Base::from_entry(current);
        // This change would be in the history, had it taken effect, if the history is not full or reaches back to the base.
        let conclusive = current.record.as_ref().is_none_or(|record: &Record<_>| {
            let knows_base = |base_id| record.history.contains(base_id);
            record.history.len() < MAX_HISTORY_LEN || self.base_id.as_ref().is_some_and(knows_base)
        });
        if conclusive {
            return Err(Error::Conflict { current });
        }
        Err(Error::Unknown {
            id: self.id.clone(),
            text: format!("more than {MAX_HISTORY_LEN} later changes of the item"),
        })
    }

    /// Searches an entry's record and history for this change.
    fn find_commit(&self, entry: Option<&Entry>) -> Option<Commit> {
        let entry = entry?;
        let record = record(entry)?;
        let superseded = record.history.contains(&self.id);
        (superseded || record.change == self.id).then_some(Commit {
            revision: entry.mod_revision,
            superseded,
        })
    }
}

fn record(entry: &Entry) -> Option<Record<serde_json::Value>> {
    serde_json::from_slice(&entry.value).ok()
}

/// Reads an item, as the base of a change.
pub async fn read_item<T: DeserializeOwned>(store: &Store, key: &str, deadline: Instant) -> Result<Base<T>, Error> {
    let reply = store.range(&Range::key(key), deadline).await;
    let mut reply = reply.map_err(|source| Error::Store { source })?;
    Ok(Base::from_entry(reply.kvs.pop().as_ref()))
}
