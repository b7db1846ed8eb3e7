//! Version-independent part of QUIC packet headers (RFC 8999), and the Initial packet type of version 1.

/// Packet type, as far as routing needs it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Version 1 Initial packet.
    Initial,
    /// Any other packet with a long header.
    Long,
    /// Packet with a short header.
    Short,
}

/// Header fields that routing needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Header<'a> {
    /// Packet type.
    pub kind: Kind,
    /// Destination connection ID. A short header does not contain its length, which is assumed to be `cid::LEN`.
    pub destination: &'a [u8],
}

/// Parses the header. Returns `None` if the packet is too short.
pub fn parse_header(packet: &[u8]) -> Option<Header<'_>> {
    let first = *packet.first()?;
    if first & 0x80 == 0 {
        let destination = packet.get(1..=super::cid::LEN)?;
        return Some(Header {
            kind: Kind::Short,
            destination,
        });
    }
    let version = u32::from_be_bytes(packet.get(1..5)?.try_into().ok()?);
    let len = usize::from(*packet.get(5)?);
    let destination = packet.get(6..6 + len)?;
    let initial = version == 1 && first & 0x30 == 0;
    Some(Header {
        kind: if initial { Kind::Initial } else { Kind::Long },
        destination,
    })
}
