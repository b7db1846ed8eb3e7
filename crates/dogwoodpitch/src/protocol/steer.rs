//! Frames between nodes that steer flows whose contents are opaque to the system.
//!
//! Format: `magic:1 | kind:1 | hops:1 | flags:1 | balancer ip:4 | version:8 | payload`. The payload is a client's
//! packet or a [`Message`] in CBOR.

use std::net::Ipv4Addr;

use ciborium::Value;
use serde::{Deserialize, Serialize};

use crate::state::steering::{
    agent::Note,
    report::Report,
    segment::{Flow, Segment},
};

/// Length of the header in bytes.
pub const HEADER_LEN: usize = 16;
/// Maximum number of nodes in one [`Message::Nodes`], which must fit into a datagram.
pub const MAX_NODES_PER_MESSAGE: usize = 8;
const MAGIC: u8 = 0xd7;
const GUESSED: u8 = 1;

/// Kind of a frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Kind {
    /// Client packet for the backend server of the receiving agent.
    Packet = 1,
    /// Client packet, by which the receiver is asked whether its backend server holds the flow.
    Query = 2,
    /// A [`Message`].
    Message = 3,
}

/// Header of a frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Header {
    /// Kind of the frame.
    pub kind: Kind,
    /// Number of times that agents have forwarded the packet.
    pub hops: u8,
    /// Whether the balancer chose the receiver without knowing the owner of the flow.
    pub guessed: bool,
    /// Balancer that received the packet from the client.
    pub balancer: Ipv4Addr,
    /// Version of the routing table that the sender used.
    pub version: u64,
}

/// Message between nodes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// State of the sender.
    Report(Report),
    /// Message about flows.
    Note(Note),
    /// Requests the nodes that the receiver knows.
    Discovery,
    /// Other nodes that the sender knows, each encoded by [`encode_node`]. One that cannot be decoded leaves the others
    /// unaffected.
    Nodes(Vec<Value>),
}

/// Functions of the packet format of the users' network.
#[derive(Debug, Clone, Copy)]
pub struct Codec {
    /// Decodes the header of a packet. Returns `None` if it is malformed.
    pub decode: fn(&[u8]) -> Option<Segment>,
    /// Clears the flag by which a backend server marks a packet that it returns.
    pub clear_bounced: fn(&mut [u8]),
    /// Builds a reset to the client of a flow, with this sequence number.
    pub reset: fn(Flow, u32) -> Vec<u8>,
}

impl Header {
    /// Returns the header of a message.
    pub fn message(version: u64) -> Self {
        Self {
            kind: Kind::Message,
            hops: 0,
            guessed: false,
            balancer: Ipv4Addr::UNSPECIFIED,
            version,
        }
    }

    /// Encodes the header.
    pub fn encode(&self) -> [u8; HEADER_LEN] {
        let mut bytes = [0; HEADER_LEN];
        bytes[0] = MAGIC;
        bytes[1] = self.kind as u8;
        bytes[2] = self.hops;
        bytes[3] = if self.guessed { GUESSED } else { 0 };
        bytes[4..8].copy_from_slice(&self.balancer.octets());
        bytes[8..].copy_from_slice(&self.version.to_be_bytes());
        bytes
    }

    /// Splits a frame into header and payload. Returns `None` if it is not a frame of this format.
    pub fn decode(frame: &[u8]) -> Option<(Self, &[u8])> {
        let (head, payload) = frame.split_first_chunk::<HEADER_LEN>()?;
        let [MAGIC, kind, hops, flags, a, b, c, d, version @ ..] = *head else {
            return None;
        };
        let kind = [Kind::Packet, Kind::Query, Kind::Message]
            .into_iter()
            .find(|known| *known as u8 == kind)?;
        let header = Self {
            kind,
            hops,
            guessed: flags & GUESSED != 0,
            balancer: Ipv4Addr::new(a, b, c, d),
            version: u64::from_be_bytes(version),
        };
        Some((header, payload))
    }
}

/// Encodes an entry of [`Message::Nodes`]. What the node knows of the store is left out: the sender's own reports tell it.
pub fn encode_node(ip: Ipv4Addr, report: &Report) -> Value {
    let report = Report {
        evacuations: None,
        era: None,
        recovery: None,
        ..report.clone()
    };
    Value::serialized(&(ip, report)).expect("reports have no failing serializers")
}

/// Decodes an entry of [`Message::Nodes`]. An error says why it is malformed.
pub fn decode_node(value: &Value) -> Result<(Ipv4Addr, Report), String> {
    let (ip, report) = value
        .deserialized()
        .map_err(|error| format!("node in a list of a peer: {error}"))?;
    check_node(ip)?;
    Ok((ip, report))
}

/// Checks that an address can be that of a node.
pub fn check_node(ip: Ipv4Addr) -> Result<(), String> {
    if ip.is_unspecified() || ip.is_broadcast() || ip.is_multicast() {
        return Err(format!("{ip} cannot be the address of a node"));
    }
    Ok(())
}

/// Encodes a message.
pub fn encode(message: &Message) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).expect("messages have no failing serializers");
    bytes
}

/// Decodes a message.
pub fn decode(bytes: &[u8]) -> Result<Message, ciborium::de::Error<std::io::Error>> {
    ciborium::from_reader(bytes)
}
