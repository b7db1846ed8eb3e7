//! Version-independent properties of QUIC packets (RFC 8999) and the packet type of version 1.

/// Kind of a QUIC packet as far as routing needs it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Long header, version 1 Initial.
    Initial,
    /// Any other long header.
    Long,
    /// Short header.
    Short,
}

/// Routing view of a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Header<'a> {
    /// Kind of the packet.
    pub kind: Kind,
    /// Destination connection ID. For a short header it is taken to be `cid::LEN` bytes long.
    pub destination: &'a [u8],
}

/// Reads the routing view; `None` if the packet is too short for it.
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
