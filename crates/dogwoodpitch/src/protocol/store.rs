//! JSON messages of the platform store: the subset of the etcd v3 gateway that the system uses, and the layout of the
//! keys and values.
//!
//! As in the published gateway, keys and values are base64, 64-bit integers are decimal strings, and fields with their
//! default value may be absent.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Prefix of the operators' configuration.
pub const CONFIG_PREFIX: &str = "dogwoodpitch/config/";
/// Written by each configuration change; its revision is the configuration revision.
pub const CONFIG_HEAD_KEY: &str = "dogwoodpitch/config/head";
/// Next free service number. Each change of a service writes it, so changes of services never overlap.
pub const NEXT_SERVICE_ID_KEY: &str = "dogwoodpitch/config/service-id";
/// Prefix of services by name.
pub const SERVICE_PREFIX: &str = "dogwoodpitch/config/service/";
/// Prefix of labels by node.
pub const LABEL_PREFIX: &str = "dogwoodpitch/config/label/";
/// Prefix of selectors by service.
pub const SELECTOR_PREFIX: &str = "dogwoodpitch/config/selector/";
/// Prefix of the announced nodes.
pub const NODE_PREFIX: &str = "dogwoodpitch/nodes/";
/// Written by each announcement, so that nodes read the announcements only after a change.
pub const NODE_HEAD_KEY: &str = "dogwoodpitch/nodes-head";

/// Number of former change IDs that a record keeps.
pub const MAX_HISTORY_LEN: usize = 8;

/// Value of a configuration item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record<T> {
    /// Value, or `None` after a delete.
    pub value: Option<T>,
    /// ID of the change that wrote this record.
    pub change: String,
    /// IDs of the changes before, the latest first.
    #[serde(default)]
    pub history: Vec<String>,
}

/// Value of [`NEXT_SERVICE_ID_KEY`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NextId {
    /// Lowest number that no service ever had.
    pub next: u32,
}

/// End of the key range that has a prefix.
pub fn prefix_end(prefix: &str) -> Bytes {
    let mut end = prefix.as_bytes().to_vec();
    if let Some(last) = end.last_mut() {
        *last += 1;
    }
    end.into()
}

/// Key and value.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Entry {
    /// Key.
    #[serde(with = "blob")]
    pub key: Bytes,
    /// Value.
    #[serde(with = "blob")]
    pub value: Bytes,
    /// Revision of the last write.
    #[serde(with = "int")]
    pub mod_revision: u64,
    /// Lease, 0 for none.
    #[serde(with = "int")]
    pub lease: u64,
}

/// Common part of the replies.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Header {
    /// Revision of the store.
    #[serde(with = "int")]
    pub revision: u64,
}

/// Reads one key, or the keys from `key` up to `range_end`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Range {
    /// First key.
    #[serde(with = "blob")]
    pub key: Bytes,
    /// Key behind the last one; empty for one key.
    #[serde(with = "blob", skip_serializing_if = "Bytes::is_empty")]
    pub range_end: Bytes,
    /// Lowest revision of the last write; older entries are left out.
    #[serde(with = "int")]
    pub min_mod_revision: u64,
    /// Whether to leave the values out.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub keys_only: bool,
}

impl Range {
    /// Reads one key.
    pub fn key(key: &str) -> Self {
        Self {
            key: Bytes::copy_from_slice(key.as_bytes()),
            ..Self::default()
        }
    }

    /// Reads the entries under a prefix that were written after a revision.
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
    /// Entries in the order of their keys.
    pub kvs: Vec<Entry>,
}

/// Writes one key.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Put {
    /// Key.
    #[serde(with = "blob")]
    pub key: Bytes,
    /// Value.
    #[serde(with = "blob")]
    pub value: Bytes,
    /// Lease, 0 for none.
    #[serde(with = "int")]
    pub lease: u64,
}

/// Reply to [`Put`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PutReply {
    /// Common part.
    pub header: Header,
}

/// Field that a comparison reads. Only the revision of the last write is used.
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
    /// Both sides are the same.
    #[default]
    Equal,
}

/// Condition of a transaction.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Compare {
    /// Key.
    #[serde(with = "blob")]
    pub key: Bytes,
    /// Field of the entry.
    pub target: Field,
    /// Relation to the given value.
    pub result: Relation,
    /// Expected revision of the last write, 0 for a missing key.
    #[serde(with = "int", alias = "modRevision")]
    pub mod_revision: u64,
}

/// Step of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    /// Reads.
    #[serde(rename = "requestRange", alias = "request_range")]
    Range(Range),
    /// Writes.
    #[serde(rename = "requestPut", alias = "request_put")]
    Put(Put),
}

/// Runs `success` if all conditions hold, and `failure` otherwise.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Txn {
    /// Conditions.
    pub compare: Vec<Compare>,
    /// Steps if all conditions hold.
    pub success: Vec<Step>,
    /// Steps if a condition does not hold.
    pub failure: Vec<Step>,
}

/// Reply to one step.
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
    /// Common part; its revision is that of the writes.
    pub header: Header,
    /// Whether all conditions held.
    pub succeeded: bool,
    /// One reply a step.
    pub responses: Vec<StepReply>,
}

impl TxnReply {
    /// Entries of all reads, in order of the steps.
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
    #[serde(rename = "TTL", with = "int")]
    pub ttl: u64,
}

/// Renews a lease.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct KeepAlive {
    /// Lease.
    #[serde(rename = "ID", with = "int")]
    pub id: u64,
}

/// State of a lease. A time to live of 0 means that it has expired.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Lease {
    /// Lease.
    #[serde(rename = "ID", with = "int")]
    pub id: u64,
    /// Time to live in seconds.
    #[serde(rename = "TTL", with = "int")]
    pub ttl: u64,
}

/// Reply to [`KeepAlive`], one message of a stream.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct KeepAliveReply {
    /// Message.
    pub result: Lease,
}

/// Bytes as base64 text.
mod blob {
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

/// Integers as decimal strings; plain numbers are accepted too.
mod int {
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
