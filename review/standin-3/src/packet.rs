//! Packets as clients and backend servers write them.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    net::{Ipv4Addr, SocketAddrV4},
};

pub const SYN: u8 = 32;
pub const ACK: u8 = 128;
pub const FIN: u8 = 8;
pub const RST: u8 = 4;
pub const BOUNCED: u8 = 2;
const HEADER_LEN: usize = 36;

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Packet {
    pub source: SocketAddrV4,
    pub target: SocketAddrV4,
    pub flags: u8,
    pub seq: u32,
    pub ack: u32,
    pub data: Vec<u8>,
}

impl Packet {
    fn sum(&self) -> u32 {
        let mut hasher = DefaultHasher::new();
        (
            self.source,
            self.target,
            self.flags & !BOUNCED,
            self.seq,
            self.ack,
            &self.data,
        )
            .hash(&mut hasher);
        (hasher.finish() >> 33) as u32 | 1
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![0; HEADER_LEN];
        bytes[0..2].copy_from_slice(&(self.data.len() as u16).to_be_bytes());
        bytes[2..4].copy_from_slice(&self.target.port().to_be_bytes());
        bytes[4..6].copy_from_slice(&self.source.port().to_be_bytes());
        bytes[6..10].copy_from_slice(&self.source.ip().octets());
        bytes[10..14].copy_from_slice(&self.target.ip().octets());
        bytes[14..18].copy_from_slice(&self.sum().to_be_bytes());
        bytes[18] = self.flags;
        bytes[24..28].copy_from_slice(&self.seq.to_be_bytes());
        bytes[28..32].copy_from_slice(&self.ack.to_be_bytes());
        bytes.extend_from_slice(&self.data);
        bytes
    }

    /// Decodes a packet. Returns it with its sum, and whether its sender has written it so.
    pub fn decode(bytes: &[u8]) -> Option<(Self, u32, bool)> {
        let number = |at: usize, len: usize| {
            bytes[at..at + len]
                .iter()
                .fold(0_u32, |all, byte| all << 8 | u32::from(*byte))
        };
        if bytes.len() < HEADER_LEN || bytes.len() != HEADER_LEN + number(0, 2) as usize {
            return None;
        }
        let packet = Self {
            source: SocketAddrV4::new(Ipv4Addr::from(number(6, 4)), number(4, 2) as u16),
            target: SocketAddrV4::new(Ipv4Addr::from(number(10, 4)), number(2, 2) as u16),
            flags: bytes[18],
            seq: number(24, 4),
            ack: number(28, 4),
            data: bytes[HEADER_LEN..].to_vec(),
        };
        let sum = number(14, 4);
        let is_own = sum == packet.sum();
        Some((packet, sum, is_own))
    }
}
