//! Packet of a flow, as its two ends write it (PROTOCOL.md, "Packets").

use std::net::{Ipv4Addr, SocketAddrV4};

pub const SYN: u8 = 32;
pub const ACK: u8 = 128;
pub const FIN: u8 = 8;
pub const RST: u8 = 4;
pub const BOUNCED: u8 = 2;
const HEADER_LEN: usize = 36;

#[derive(Clone, Debug)]
pub struct Packet {
    pub src: SocketAddrV4,
    pub dst: SocketAddrV4,
    pub flags: u8,
    pub seq: u32,
    pub ack: u32,
    pub data: Vec<u8>,
}

impl Packet {
    /// Sum over all fields except `echo`, `pad` and BOUNCED. The system does not know how it is computed.
    fn sum(&self) -> u32 {
        let head = format!("key {} {} {} {} {} ", self.src, self.dst, self.flags & !BOUNCED, self.seq, self.ack);
        let bytes = head.bytes().chain(self.data.iter().copied());
        bytes.fold(0x811c_9dc5_u32, |sum, byte| (sum ^ u32::from(byte)).wrapping_mul(0x0100_0193)) | 1
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(HEADER_LEN + self.data.len());
        out.extend((self.data.len() as u16).to_be_bytes());
        out.extend(self.dst.port().to_be_bytes());
        out.extend(self.src.port().to_be_bytes());
        out.extend(self.src.ip().octets());
        out.extend(self.dst.ip().octets());
        out.extend(self.sum().to_be_bytes());
        out.push(self.flags);
        out.extend([0; 5]);
        out.extend(self.seq.to_be_bytes());
        out.extend(self.ack.to_be_bytes());
        out.extend([0; 4]);
        out.extend(&self.data);
        out
    }

    /// Decodes a packet, and returns its `sum` and whether that is the one that its sender wrote.
    pub fn decode(bytes: &[u8]) -> Option<(Self, u32, bool)> {
        if bytes.len() < HEADER_LEN || bytes.len() > HEADER_LEN + 1_200 {
            return None;
        }
        let word = |at: usize| u32::from_be_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]]);
        let port = |at: usize| u16::from_be_bytes([bytes[at], bytes[at + 1]]);
        let packet = Self {
            src: SocketAddrV4::new(Ipv4Addr::from(word(6)), port(4)),
            dst: SocketAddrV4::new(Ipv4Addr::from(word(10)), port(2)),
            flags: bytes[18],
            seq: word(24),
            ack: word(28),
            data: bytes[HEADER_LEN..].to_vec(),
        };
        let sum = word(14);
        let as_written = sum == packet.sum();
        Some((packet, sum, as_written))
    }
}
