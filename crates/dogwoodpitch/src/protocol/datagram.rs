//! Authenticated UDP frames between nodes.
//!
//! Format: `kind:1 | flags:1 | service ip:4 port:2 | caller ip:4 port:2 | tag:8 | payload`. The tag is SipHash-2-4 over
//! the header and the first 32 bytes of the payload. The rest of a forwarded packet is authenticated by QUIC.

use std::{
    hash::Hasher,
    net::{Ipv4Addr, SocketAddrV4},
};

use siphasher::sip::SipHasher24;

/// Length of the header in bytes.
pub const HEADER_LEN: usize = 22;
/// Number of payload bytes that the tag covers.
const TAGGED_PAYLOAD_LEN: usize = 32;
const TAG_OFFSET: usize = 14;

/// Kind of a frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Kind {
    /// Packet from a caller to an agent.
    Forward = 1,
    /// Packet from an agent to a caller.
    Return = 2,
    /// Requests a `ProbeReply`.
    Probe = 3,
    /// Reply to a `Probe`, with the same payload.
    ProbeReply = 4,
    /// Configuration revision of the sender (CBOR `peer::Digest`).
    Digest = 5,
    /// Load of the sender (CBOR `peer::Report`).
    Load = 6,
}

impl Kind {
    fn from_byte(byte: u8) -> Option<Self> {
        [
            Self::Forward,
            Self::Return,
            Self::Probe,
            Self::ProbeReply,
            Self::Digest,
            Self::Load,
        ]
        .into_iter()
        .find(|kind| *kind as u8 == byte)
    }
}

/// Header of a frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Header {
    /// Frame kind.
    pub kind: Kind,
    /// Reserved; sent as 0.
    pub flags: u8,
    /// Address of the service; unspecified in control frames.
    pub service: SocketAddrV4,
    /// Address of the caller; unspecified in control frames.
    pub caller: SocketAddrV4,
}

impl Header {
    /// Returns the header of a control frame, which belongs to no flow.
    pub fn control(kind: Kind) -> Self {
        let unspecified = SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0);
        Self {
            kind,
            flags: 0,
            service: unspecified,
            caller: unspecified,
        }
    }
}

/// Key that authenticates frames, shared by all nodes.
#[derive(Debug, Clone, Copy)]
pub struct Key(pub [u8; 16]);

impl Key {
    fn tag(self, head: &[u8], payload: &[u8]) -> [u8; 8] {
        let mut hasher = SipHasher24::new_with_key(&self.0);
        hasher.write(head);
        hasher.write(&payload[..payload.len().min(TAGGED_PAYLOAD_LEN)]);
        hasher.finish().to_be_bytes()
    }

    /// Encodes the header of a frame with this payload.
    pub fn encode(self, header: &Header, payload: &[u8]) -> [u8; HEADER_LEN] {
        let mut bytes = [0; HEADER_LEN];
        bytes[0] = header.kind as u8;
        bytes[1] = header.flags;
        encode_address(&mut bytes[2..8], header.service);
        encode_address(&mut bytes[8..14], header.caller);
        let tag = self.tag(&bytes[..TAG_OFFSET], payload);
        bytes[TAG_OFFSET..].copy_from_slice(&tag);
        bytes
    }

    /// Verifies a frame and splits it into header and payload. Returns `None` if it is too short, of an unknown kind or
    /// not authentic.
    pub fn decode(self, frame: &[u8]) -> Option<(Header, &[u8])> {
        let (head, payload) = frame.split_at_checked(HEADER_LEN)?;
        if self.tag(&head[..TAG_OFFSET], payload) != head[TAG_OFFSET..] {
            return None;
        }
        let header = Header {
            kind: Kind::from_byte(head[0])?,
            flags: head[1],
            service: decode_address(&head[2..8]),
            caller: decode_address(&head[8..14]),
        };
        Some((header, payload))
    }
}

fn encode_address(bytes: &mut [u8], address: SocketAddrV4) {
    bytes[..4].copy_from_slice(&address.ip().octets());
    bytes[4..6].copy_from_slice(&address.port().to_be_bytes());
}

fn decode_address(bytes: &[u8]) -> SocketAddrV4 {
    SocketAddrV4::new(
        Ipv4Addr::new(bytes[0], bytes[1], bytes[2], bytes[3]),
        u16::from_be_bytes([bytes[4], bytes[5]]),
    )
}
