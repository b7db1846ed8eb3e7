//! Header fields of a packet of an opaque flow.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

/// Identity of a flow: the addresses of both ends, which every packet carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Flow {
    /// Address of the client.
    pub client: SocketAddrV4,
    /// Address that the client sends to; a route maps it to a service.
    pub service: SocketAddrV4,
}

/// Set of TCP-like control bits.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Flags(u8);

impl Flags {
    /// Opens a flow.
    pub const SYN: Self = Self(1);
    /// Acknowledges received data.
    pub const ACK: Self = Self(2);
    /// The sender will send no more data.
    pub const FIN: Self = Self(4);
    /// Aborts the flow.
    pub const RST: Self = Self(8);
    /// A backend server returned the packet because it does not hold the flow or cannot accept it.
    pub const RETURNED: Self = Self(16);

    /// Whether all bits of `other` are set.
    pub fn contains(self, other: Self) -> bool {
        self.0 & other.0 == other.0
    }

    /// Union of both sets.
    #[must_use]
    pub fn union(self, other: Self) -> Self {
        Self(self.0 | other.0)
    }
}

/// Header of a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Segment {
    /// Sender's end of the flow.
    pub source: SocketAddrV4,
    /// Receiver's end of the flow.
    pub target: SocketAddrV4,
    /// Control bits.
    pub flags: Flags,
    /// Sequence number.
    pub seq: u32,
    /// Acknowledged sequence number. In an initial SYN: the number of earlier copies that the client has sent.
    pub ack: u32,
    /// Length of the data in bytes.
    pub data_len: u16,
}

impl Segment {
    /// Flow of a packet that a client sent.
    pub fn flow_from_client(&self) -> Flow {
        Flow {
            client: self.source,
            service: self.target,
        }
    }

    /// Flow of a packet that a backend server sent.
    pub fn flow_from_backend(&self) -> Flow {
        Flow {
            client: self.target,
            service: self.source,
        }
    }

    /// Whether the packet opens a flow: a SYN without an ACK.
    pub fn is_initial_syn(&self) -> bool {
        self.flags.contains(Flags::SYN) && !self.flags.contains(Flags::ACK)
    }
}

/// Builds a reset for the client of a flow. Once the flow is open, `seq` must be close to the client's last
/// acknowledgment.
pub fn reset(flow: Flow, seq: u32) -> Segment {
    Segment {
        source: flow.service,
        target: flow.client,
        flags: Flags::RST,
        seq,
        ack: 0,
        data_len: 0,
    }
}
