//! Messages between callers and agents on QUIC streams.
//!
//! Each message is CBOR, preceded by its length in 4 bytes, big-endian. A request is one bidirectional stream: a
//! [`Head`], then the body until the end of the stream. The response is a [`Reply`] and a body, or [`Event`] messages
//! for a feed. An agent sends [`Notice`] messages on one unidirectional stream.

use std::io;

use bytes::Bytes;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::protocol::code::Code;

/// Maximum length of a message in bytes. Bodies of requests and responses are not messages.
pub const MAX_LEN: usize = 64 * 1024;

/// ID of a request, chosen at random by the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Id(#[serde(with = "id_bytes")] pub [u8; 16]);

impl std::fmt::Display for Id {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// Serializes an ID as a CBOR byte string.
mod id_bytes {
    use bytes::Bytes;
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    pub(super) fn serialize<S: Serializer>(id: &[u8; 16], serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(id)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<[u8; 16], D::Error> {
        let bytes = Bytes::deserialize(deserializer)?;
        bytes[..]
            .try_into()
            .map_err(|_invalid| Error::invalid_length(bytes.len(), &"16 bytes"))
    }
}

/// Kind of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A short request whose request and response both have a body.
    Request,
    /// A feed of events that stays open.
    Feed,
    /// A request with a long body.
    Upload,
}

/// First message of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// ID of the request.
    pub id: Id,
    /// Kind of work.
    pub kind: Kind,
    /// Class of the request, by which sizes and run times are estimated; not trusted.
    pub class: String,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Time left in milliseconds. It is not a deadline, because the clocks of caller and agent differ.
    pub timeout_ms: u32,
    /// Position of the last event received, after which a feed resumes; 0 for other kinds.
    pub position: u64,
    /// Length of the body in bytes, if known.
    pub length: Option<u64>,
}

/// First message of a response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Result of the request.
    pub code: Code,
    /// Delay before a retry, in milliseconds; 0 if the agent suggests none.
    pub retry_after_ms: u32,
    /// Text for the log, empty on success.
    pub detail: String,
}

/// One event of a feed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Position in the feed, identical on all backend servers of the service.
    pub position: u64,
    /// Content.
    pub payload: Bytes,
}

/// Message from an agent about the connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Notice {
    /// The caller should open a new connection, resume its feeds there and close this one.
    Move {
        /// Text for the log.
        reason: String,
    },
}

/// Encodes a message, preceded by its length.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    let mut bytes = vec![0; 4];
    ciborium::into_writer(message, &mut bytes).expect("writing CBOR to memory does not fail");
    let len = u32::try_from(bytes.len() - 4).expect("a message is shorter than 4 GiB");
    bytes[..4].copy_from_slice(&len.to_be_bytes());
    bytes
}

/// Removes one message from the front of `buffer`. Returns `Ok(None)` if it is not complete yet.
pub fn decode<T: DeserializeOwned>(buffer: &mut bytes::BytesMut) -> io::Result<Option<T>> {
    let Some(prefix) = buffer.first_chunk::<4>() else {
        return Ok(None);
    };
    let len = u32::from_be_bytes(*prefix) as usize;
    if len > MAX_LEN {
        return Err(io::Error::new(
            io::ErrorKind::InvalidData,
            format!("message of {len} bytes exceeds {MAX_LEN}"),
        ));
    }
    if buffer.len() < 4 + len {
        return Ok(None);
    }
    let message = buffer.split_to(4 + len);
    parse(&message[4..]).map(Some)
}

/// Parses one CBOR message without a length.
pub fn parse<T: DeserializeOwned>(bytes: &[u8]) -> io::Result<T> {
    ciborium::de::from_reader_with_recursion_limit(bytes, 16)
        .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error.to_string()))
}
