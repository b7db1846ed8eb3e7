//! PROXY protocol version 2 header for UDP over IPv4, which the fabric puts before each packet.

use std::net::{Ipv4Addr, SocketAddrV4};

/// Length of the header in bytes.
pub const HEADER_LEN: usize = 28;

const SIGNATURE: [u8; 12] = *b"\r\n\r\n\0\r\nQUIT\n";
/// Version 2, command PROXY.
const VERSION_COMMAND: u8 = 0x21;
/// Version 2, command LOCAL: the sender checks the receiver, and no packet follows.
const VERSION_LOCAL: u8 = 0x20;
/// Header of a datagram that carries no packet, by which a fabric makes its own address known.
pub const LOCAL_HEADER: [u8; 16] = local();

const fn local() -> [u8; 16] {
    let mut bytes = [0; 16];
    let mut at = 0;
    while at < SIGNATURE.len() {
        bytes[at] = SIGNATURE[at];
        at += 1;
    }
    bytes[12] = VERSION_LOCAL;
    bytes
}

/// Whether a datagram carries no packet, only the sign of life of a fabric.
pub fn is_local(datagram: &[u8]) -> bool {
    datagram.get(..13).is_some_and(|head| head == &LOCAL_HEADER[..13])
}
/// `AF_INET`, DGRAM.
const FAMILY: u8 = 0x12;
const ADDRESS_LEN: [u8; 2] = [0, 12];

/// Source and destination of the packet behind the header.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Header {
    /// Sender of the packet.
    pub source: SocketAddrV4,
    /// Receiver of the packet.
    pub destination: SocketAddrV4,
}

impl Header {
    /// Bytes of the header.
    pub fn encode(&self) -> [u8; HEADER_LEN] {
        let mut bytes = [0; HEADER_LEN];
        bytes[..12].copy_from_slice(&SIGNATURE);
        bytes[12] = VERSION_COMMAND;
        bytes[13] = FAMILY;
        bytes[14..16].copy_from_slice(&ADDRESS_LEN);
        bytes[16..20].copy_from_slice(&self.source.ip().octets());
        bytes[20..24].copy_from_slice(&self.destination.ip().octets());
        bytes[24..26].copy_from_slice(&self.source.port().to_be_bytes());
        bytes[26..28].copy_from_slice(&self.destination.port().to_be_bytes());
        bytes
    }

    /// Splits a datagram into header and packet; `None` if the header is missing or of another kind.
    pub fn decode(datagram: &[u8]) -> Option<(Self, &[u8])> {
        let (head, packet) = datagram.split_at_checked(HEADER_LEN)?;
        let valid =
            head[..12] == SIGNATURE && head[12] == VERSION_COMMAND && head[13] == FAMILY && head[14..16] == ADDRESS_LEN;
        let ip = |at: usize| Ipv4Addr::new(head[at], head[at + 1], head[at + 2], head[at + 3]);
        let port = |at: usize| u16::from_be_bytes([head[at], head[at + 1]]);
        valid.then(|| {
            let source = SocketAddrV4::new(ip(16), port(24));
            let destination = SocketAddrV4::new(ip(20), port(26));
            (Self { source, destination }, packet)
        })
    }
}
