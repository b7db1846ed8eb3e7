//! Authenticated UDP frames between the nodes of the system.
//!
//! Format: `kind:1 | flags:1 | service ip:4 port:2 | caller ip:4 port:2 | tag:8 | payload`. The tag is SipHash-2-4 over
//! the header and the first 32 bytes of the payload. QUIC authenticates the rest of a forwarded packet itself.

use std::{
    hash::Hasher,
    net::{Ipv4Addr, SocketAddrV4},
};

use siphasher::sip::SipHasher24;

/// Bytes before the payload.
pub const HEADER_LEN: usize = 22;
/// Payload bytes that the tag covers.
const TAGGED_PAYLOAD: usize = 32;
const TAG_AT: usize = 14;

/// Kind of a frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Kind {
    /// A caller's packet on its way to an agent.
    Forward = 1,
    /// An agent's packet on its way to a caller.
    Return = 2,
    /// Asks for a `ProbeReply`.
    Probe = 3,
    /// Answers a `Probe` with the same payload.
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
    /// Kind of the frame.
    pub kind: Kind,
    /// Reserved, 0.
    pub flags: u8,
    /// Address of the service; unspecified in control frames.
    pub service: SocketAddrV4,
    /// Address of the caller; unspecified in control frames.
    pub caller: SocketAddrV4,
}

impl Header {
    /// Header of a control frame, which belongs to no flow.
    pub fn control(kind: Kind) -> Self {
        let none = SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0);
        Self {
            kind,
            flags: 0,
            service: none,
            caller: none,
        }
    }
}

/// Shared key of the frames.
#[derive(Debug, Clone, Copy)]
pub struct Key(pub [u8; 16]);

impl Key {
    fn tag(self, head: &[u8], payload: &[u8]) -> [u8; 8] {
        let mut hasher = SipHasher24::new_with_key(&self.0);
        hasher.write(head);
        hasher.write(&payload[..payload.len().min(TAGGED_PAYLOAD)]);
        hasher.finish().to_be_bytes()
    }

    /// Header bytes of a frame with this payload.
    pub fn encode(self, header: &Header, payload: &[u8]) -> [u8; HEADER_LEN] {
        let mut bytes = [0; HEADER_LEN];
        bytes[0] = header.kind as u8;
        bytes[1] = header.flags;
        put_address(&mut bytes[2..8], header.service);
        put_address(&mut bytes[8..14], header.caller);
        let tag = self.tag(&bytes[..TAG_AT], payload);
        bytes[TAG_AT..].copy_from_slice(&tag);
        bytes
    }

    /// Checks a frame and splits it into header and payload; `None` if it is short, unknown or not authentic.
    pub fn decode(self, frame: &[u8]) -> Option<(Header, &[u8])> {
        let (head, payload) = frame.split_at_checked(HEADER_LEN)?;
        if self.tag(&head[..TAG_AT], payload) != head[TAG_AT..] {
            return None;
        }
        let header = Header {
            kind: Kind::from_byte(head[0])?,
            flags: head[1],
            service: address(&head[2..8]),
            caller: address(&head[8..14]),
        };
        Some((header, payload))
    }
}

fn put_address(bytes: &mut [u8], address: SocketAddrV4) {
    bytes[..4].copy_from_slice(&address.ip().octets());
    bytes[4..6].copy_from_slice(&address.port().to_be_bytes());
}

fn address(bytes: &[u8]) -> SocketAddrV4 {
    SocketAddrV4::new(
        Ipv4Addr::new(bytes[0], bytes[1], bytes[2], bytes[3]),
        u16::from_be_bytes([bytes[4], bytes[5]]),
    )
}
