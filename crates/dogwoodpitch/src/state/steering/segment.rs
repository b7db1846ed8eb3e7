//! What the system reads of a packet of an opaque flow.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

/// Both ends of a flow, as each of its packets names them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Flow {
    /// Address of the client.
    pub client: SocketAddrV4,
    /// Address that the client sends to; a route leads from it to a service.
    pub service: SocketAddrV4,
}

/// Set of control bits.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Flags(u8);

impl Flags {
    /// Opens a flow.
    pub const SYN: Self = Self(1);
    /// Acknowledges received data.
    pub const ACK: Self = Self(2);
    /// The sender has no more data.
    pub const FIN: Self = Self(4);
    /// Ends the flow at once.
    pub const RST: Self = Self(8);
    /// A backend server returned the packet because it does not hold the flow or cannot take it.
    pub const RETURNED: Self = Self(16);

    /// Whether all bits of `other` are set.
    pub fn contains(self, other: Self) -> bool {
        self.0 & other.0 == other.0
    }

    /// Both sets.
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
    /// Acknowledged sequence number. In a SYN: how many copies of it were sent before.
    pub ack: u32,
    /// Bytes of data.
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

    /// Whether the packet opens a flow.
    pub fn is_opening(&self) -> bool {
        self.flags.contains(Flags::SYN) && !self.flags.contains(Flags::ACK)
    }
}

/// Reset to the client of a flow. `seq` must be near the client's last acknowledgment once the flow is open.
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
