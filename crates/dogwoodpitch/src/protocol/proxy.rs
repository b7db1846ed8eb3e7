//! PROXY protocol version 2 header for UDP over IPv4, which the fabric prepends to each packet.

use std::net::{Ipv4Addr, SocketAddrV4};

/// Length of the header in bytes.
pub const HEADER_LEN: usize = 28;

const SIGNATURE: [u8; 12] = *b"\r\n\r\n\0\r\nQUIT\n";
/// Version 2, command PROXY.
const VERSION_COMMAND: u8 = 0x21;
/// Version 2, command LOCAL: a health check by the sender, without a packet.
const VERSION_LOCAL: u8 = 0x20;
/// Datagram without a packet, by which the fabric announces its own address.
pub const LOCAL_HEADER: [u8; 16] = local_header();

const fn local_header() -> [u8; 16] {
    let mut bytes = [0; 16];
    let mut index = 0;
    while index < SIGNATURE.len() {
        bytes[index] = SIGNATURE[index];
        index += 1;
    }
    bytes[12] = VERSION_LOCAL;
    bytes
}

/// Whether a datagram is a health check of the fabric, without a packet.
pub fn is_local(datagram: &[u8]) -> bool {
    datagram.get(..13).is_some_and(|head| head == &LOCAL_HEADER[..13])
}

/// `AF_INET`, `SOCK_DGRAM`.
const FAMILY: u8 = 0x12;
/// Length of the addresses that follow, big-endian.
const ADDRESS_LEN: [u8; 2] = [0, 12];

/// Addresses of the packet that follows the header.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Header {
    /// Sender of the packet.
    pub source: SocketAddrV4,
    /// Receiver of the packet.
    pub destination: SocketAddrV4,
}

impl Header {
    /// Encodes the header.
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

    /// Splits a datagram into header and packet. Returns `None` if there is no header of this version, command and
    /// family.
    pub fn decode(datagram: &[u8]) -> Option<(Self, &[u8])> {
        let (head, packet) = datagram.split_at_checked(HEADER_LEN)?;
        let valid =
            head[..12] == SIGNATURE && head[12] == VERSION_COMMAND && head[13] == FAMILY && head[14..16] == ADDRESS_LEN;
        let ip = |offset: usize| Ipv4Addr::new(head[offset], head[offset + 1], head[offset + 2], head[offset + 3]);
        let port = |offset: usize| u16::from_be_bytes([head[offset], head[offset + 1]]);
        valid.then(|| {
            let source = SocketAddrV4::new(ip(16), port(24));
            let destination = SocketAddrV4::new(ip(20), port(26));
            (Self { source, destination }, packet)
        })
    }
}
