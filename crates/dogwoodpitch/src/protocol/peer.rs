//! Messages between nodes: CBOR on WebSocket links, and the payloads of control frames.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    protocol::{
        code::Code,
        request::{Head, Reply},
    },
    state::{config::Snapshot, load::Load, roster::Node, service::Id},
};

/// First message, sent by the accepting side.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Challenge {
    /// Random bytes that [`Hello::mac`] covers.
    pub nonce: [u8; 16],
}

/// Reply of the connecting side to a [`Challenge`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Name of the node.
    pub node: String,
    /// Random bytes that [`Welcome::mac`] covers.
    pub nonce: [u8; 16],
    /// HMAC-SHA256 with the cluster key over `"hello"`, both nonces and the name.
    pub mac: Bytes,
}

/// Reply of the accepting side to a [`Hello`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Welcome {
    /// HMAC-SHA256 with the cluster key over `"welcome"` and both nonces.
    pub mac: Bytes,
}

/// Message on an authenticated link.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// Requests the configuration newer than a revision, and announces the sender.
    Pull {
        /// Configuration revision of the sender.
        revision: u64,
        /// Lowest incarnation of the nodes to include in the reply; 0 for all nodes.
        incarnation: u32,
        /// Roster entry of the sender.
        node: Box<Node>,
    },
    /// Reply to `Pull`.
    Snapshot(Box<Snapshot>),
    /// Offers a request. The body is sent only after `Admitted`.
    Run {
        /// Service of the request.
        service: Id,
        /// Caller, for fair queueing and the log.
        caller: String,
        /// Head of the request, with the time left when it was sent.
        head: Head,
    },
    /// The peer has a slot for the request.
    Admitted,
    /// The request did not run.
    Refused {
        /// Reason.
        code: Code,
        /// Delay before a retry, in milliseconds.
        retry_after_ms: u32,
        /// Load of the refusing agent.
        load: Load,
    },
    /// Part of a request or reply body.
    Body(Bytes),
    /// End of the request body.
    BodyEnd,
    /// Head of the reply.
    Reply(Reply),
    /// End of the reply. The link may be used for another request.
    End,
}

/// Payload of a `Digest` frame.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Name of the sender.
    pub node: String,
    /// Configuration revision of the sender.
    pub revision: u64,
    /// Number of roster entries of the sender; detects missing entries.
    pub nodes: u32,
    /// Highest incarnation in the roster of the sender; detects restarted nodes.
    pub incarnation: u32,
    /// Link address of the sender, which the receiver pulls from even if the sender is not in its roster yet.
    pub peer: SocketAddr,
}

/// Payload of a `Load` frame.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the sender.
    pub node: String,
    /// Load of the sender.
    pub load: Load,
}
