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

/// First message of the accepting side.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Challenge {
    /// Random bytes that the client's proof covers.
    pub nonce: [u8; 16],
}

/// Answer of the connecting side.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Name of the node.
    pub node: String,
    /// Random bytes that the server's proof covers.
    pub nonce: [u8; 16],
    /// HMAC-SHA256 with the cluster key over `"hello"`, both nonces and the name.
    pub mac: Bytes,
}

/// Proof of the accepting side.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Welcome {
    /// HMAC-SHA256 with the cluster key over `"welcome"` and both nonces.
    pub mac: Bytes,
}

/// Message on an authenticated link.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// Asks for the configuration newer than a revision, and announces the sender.
    Pull {
        /// Revision of the sender.
        revision: u64,
        /// Lowest incarnation of the nodes to answer with; 0 for all nodes.
        incarnation: u32,
        /// Entry of the sender.
        node: Box<Node>,
    },
    /// Answers `Pull`.
    Snapshot(Box<Snapshot>),
    /// Offers a request. Body chunks follow only after `Admitted`.
    Run {
        /// Service of the request.
        service: Id,
        /// Caller, for fairness and the log.
        caller: String,
        /// Head of the request with the time left at sending.
        head: Head,
    },
    /// The request has a slot.
    Admitted,
    /// The request did not run.
    Refused {
        /// Reason.
        code: Code,
        /// When to try again, in milliseconds.
        retry_after_ms: u32,
        /// Load of the refusing agent.
        load: Load,
    },
    /// Part of the body.
    Body(Bytes),
    /// End of the request body.
    BodyEnd,
    /// Head of the answer.
    Reply(Reply),
    /// End of the answer. The link may be used for another request.
    End,
}

/// Payload of a `Digest` frame.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Name of the sender.
    pub node: String,
    /// Configuration revision of the sender.
    pub revision: u64,
    /// Number of roster entries of the sender, so that missing entries are noticed.
    pub nodes: u32,
    /// Highest incarnation in the roster of the sender, so that restarted nodes are noticed.
    pub incarnation: u32,
    /// Link address of the sender, for a pull by a node that does not know the sender yet.
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
