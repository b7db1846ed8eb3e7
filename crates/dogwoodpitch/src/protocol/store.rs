//! JSON messages of the platform store: the subset of the etcd v3 gateway API that the system uses, and the layout of
//! keys and values.
//!
//! As in the etcd gateway, keys and values are base64, 64-bit integers are decimal strings, and fields with their
//! default value may be absent.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Prefix of the operators' configuration.
pub const CONFIG_PREFIX: &str = "dogwoodpitch/config/";
/// Key written by each configuration change. Its revision is the configuration revision.
pub const CONFIG_HEAD_KEY: &str = "dogwoodpitch/config/head";
/// Key of the next free service number. Each change of a service writes it, so that concurrent changes conflict.
pub const NEXT_SERVICE_ID_KEY: &str = "dogwoodpitch/config/service-id";
/// Prefix of services; the service name follows.
pub const SERVICE_PREFIX: &str = "dogwoodpitch/config/service/";
/// Prefix of labels; the node name follows.
pub const LABEL_PREFIX: &str = "dogwoodpitch/config/label/";
/// Prefix of selectors; the service name follows.
pub const SELECTOR_PREFIX: &str = "dogwoodpitch/config/selector/";
/// Prefix of node announcements.
pub const NODE_PREFIX: &str = "dogwoodpitch/nodes/";
/// Key written by each announcement, so that nodes read the announcements only after a change.
pub const NODE_HEAD_KEY: &str = "dogwoodpitch/nodes-head";

/// Maximum number of former change IDs in a record.
pub const MAX_HISTORY_LEN: usize = 8;

/// Value of a configuration item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record<T> {
    /// Value, or `None` after a deletion.
    pub value: Option<T>,
    /// ID of the change that wrote this record.
    pub change: String,
    /// IDs of earlier changes, latest first.
    #[serde(default)]
    pub history: Vec<String>,
}

/// Value of [`NEXT_SERVICE_ID_KEY`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NextId {
    /// Lowest number that no service has ever had.
    pub next: u32,
}

/// Returns the exclusive end of the range of keys with a prefix.
pub fn prefix_end(prefix: &str) -> Bytes {
    let mut end = prefix.as_bytes().to_vec();
    if let Some(last) = end.last_mut() {
        *last += 1;
    }
    end.into()
}

/// A key with its value and metadata.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Entry {
    /// Key.
    #[serde(with = "base64_bytes")]
    pub key: Bytes,
    /// Value.
    #[serde(with = "base64_bytes")]
    pub value: Bytes,
    /// Revision of the last write.
    #[serde(with = "decimal_u64")]
    pub mod_revision: u64,
    /// Lease, 0 for none.
    #[serde(with = "decimal_u64")]
    pub lease: u64,
}

/// Header common to all replies.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Header {
    /// Revision of the store.
    #[serde(with = "decimal_u64")]
    pub revision: u64,
}

/// Reads one key, or the keys from `key` up to `range_end`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Range {
    /// First key.
    #[serde(with = "base64_bytes")]
    pub key: Bytes,
    /// Exclusive end of the range; empty for one key.
    #[serde(with = "base64_bytes", skip_serializing_if = "Bytes::is_empty")]
    pub range_end: Bytes,
    /// Lowest revision of the last write; entries written earlier are omitted.
    #[serde(with = "decimal_u64")]
    pub min_mod_revision: u64,
    /// Whether to omit the values.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub keys_only: bool,
}

impl Range {
    /// Range of one key.
    pub fn key(key: &str) -> Self {
        Self {
            key: Bytes::copy_from_slice(key.as_bytes()),
            ..Self::default()
        }
    }

    /// Range of the entries with a prefix that were written after a revision.
    pub fn prefix_after(prefix: &str, revision: u64) -> Self {
        Self {
            range_end: prefix_end(prefix),
            min_mod_revision: revision + 1,
            ..Self::key(prefix)
        }
    }
}

/// Reply to [`Range`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeReply {
    /// Common part.
    pub header: Header,
    /// Entries, sorted by key.
    pub kvs: Vec<Entry>,
}

/// Writes one key.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Put {
    /// Key.
    #[serde(with = "base64_bytes")]
    pub key: Bytes,
    /// Value.
    #[serde(with = "base64_bytes")]
    pub value: Bytes,
    /// Lease, 0 for none.
    #[serde(with = "decimal_u64")]
    pub lease: u64,
}

/// Reply to [`Put`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PutReply {
    /// Common part.
    pub header: Header,
}

/// Field that a comparison reads. The system uses only the revision of the last write.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Field {
    /// Revision of the last write, 0 for a missing key.
    #[default]
    Mod,
}

/// Relation of a comparison.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Relation {
    /// Both sides are equal.
    #[default]
    Equal,
}

/// Condition of a transaction.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Compare {
    /// Key.
    #[serde(with = "base64_bytes")]
    pub key: Bytes,
    /// Field of the entry.
    pub target: Field,
    /// Relation to the expected value.
    pub result: Relation,
    /// Expected revision of the last write, 0 for a missing key.
    #[serde(with = "decimal_u64", alias = "modRevision")]
    pub mod_revision: u64,
}

/// Operation of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    /// Reads a range.
    #[serde(rename = "requestRange", alias = "request_range")]
    Range(Range),
    /// Writes a key.
    #[serde(rename = "requestPut", alias = "request_put")]
    Put(Put),
}

/// Runs `success` if all conditions hold, and `failure` otherwise.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Txn {
    /// Conditions.
    pub compare: Vec<Compare>,
    /// Operations if all conditions hold.
    pub success: Vec<Step>,
    /// Operations if a condition does not hold.
    pub failure: Vec<Step>,
}

/// Reply to one operation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StepReply {
    /// Reply to [`Step::Range`].
    #[serde(rename = "response_range", alias = "responseRange")]
    Range(RangeReply),
    /// Reply to [`Step::Put`].
    #[serde(rename = "response_put", alias = "responsePut")]
    Put(PutReply),
}

/// Reply to [`Txn`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnReply {
    /// Header; its revision is that of the writes.
    pub header: Header,
    /// Whether all conditions held.
    pub succeeded: bool,
    /// One reply for each operation.
    pub responses: Vec<StepReply>,
}

impl TxnReply {
    /// Returns the entries of all reads, in the order of the operations.
    pub fn entries(self) -> impl Iterator<Item = Entry> {
        self.responses.into_iter().flat_map(|reply| match reply {
            StepReply::Range(range) => range.kvs,
            StepReply::Put(_) => Vec::new(),
        })
    }
}

/// Grants a lease.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Grant {
    /// Time to live in seconds.
    #[serde(rename = "TTL", with = "decimal_u64")]
    pub ttl: u64,
}

/// Renews a lease.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct KeepAlive {
    /// Lease.
    #[serde(rename = "ID", with = "decimal_u64")]
    pub id: u64,
}

/// State of a lease. A time to live of 0 means that it has expired.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Lease {
    /// Lease.
    #[serde(rename = "ID", with = "decimal_u64")]
    pub id: u64,
    /// Time to live in seconds.
    #[serde(rename = "TTL", with = "decimal_u64")]
    pub ttl: u64,
}

/// Reply to [`KeepAlive`]; the gateway wraps messages of a stream in `result`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct KeepAliveReply {
    /// Message.
    pub result: Lease,
}

/// Serializes bytes as a base64 string.
mod base64_bytes {
    use base64::{Engine, engine::general_purpose::STANDARD};
    use bytes::Bytes;
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    pub(super) fn serialize<S: Serializer>(bytes: &Bytes, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(bytes))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Bytes, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map(Bytes::from).map_err(Error::custom)
    }
}

/// Serializes integers as decimal strings; numbers are accepted too.
mod decimal_u64 {
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Text {
        String(String),
        Number(u64),
    }

    #[expect(clippy::trivially_copy_pass_by_ref, reason = "serde gives the field by reference")]
    pub(super) fn serialize<S: Serializer>(number: &u64, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(number)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
        match Text::deserialize(deserializer)? {
            Text::String(text) => text.parse().map_err(Error::custom),
            Text::Number(number) => Ok(number),
        }
    }
}
