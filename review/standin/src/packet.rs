//! Packets as clients and hosts write them (`PROTOCOL.md`, Packets).

use std::{
    hash::{DefaultHasher, Hasher},
    net::{Ipv4Addr, SocketAddrV4},
};

pub const SYN: u8 = 32;
pub const ACK: u8 = 128;
pub const FIN: u8 = 8;
pub const RST: u8 = 4;
pub const BOUNCED: u8 = 2;
pub const HEAD: usize = 36;

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Packet {
    pub src: SocketAddrV4,
    pub dst: SocketAddrV4,
    pub flags: u8,
    pub seq: u32,
    pub ack: u32,
    pub data: Vec<u8>,
}

/// Whose sum a packet carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sum {
    /// That of a client or host.
    Valid,
    /// 0, which only the system writes.
    Zero,
    Wrong,
}

impl Packet {
    fn sum(&self) -> u32 {
        let mut hasher = DefaultHasher::new();
        hasher.write(b"key of the stand-ins");
        hasher.write(&self.src.ip().octets());
        hasher.write_u16(self.src.port());
        hasher.write(&self.dst.ip().octets());
        hasher.write_u16(self.dst.port());
        hasher.write_u8(self.flags & !BOUNCED);
        hasher.write_u32(self.seq);
        hasher.write_u32(self.ack);
        hasher.write(&self.data);
        (hasher.finish() >> 32) as u32 | 1
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![0; HEAD];
        bytes[0..2].copy_from_slice(&u16::try_from(self.data.len()).unwrap().to_be_bytes());
        bytes[2..4].copy_from_slice(&self.dst.port().to_be_bytes());
        bytes[4..6].copy_from_slice(&self.src.port().to_be_bytes());
        bytes[6..10].copy_from_slice(&self.src.ip().octets());
        bytes[10..14].copy_from_slice(&self.dst.ip().octets());
        bytes[14..18].copy_from_slice(&self.sum().to_be_bytes());
        bytes[18] = self.flags;
        bytes[24..28].copy_from_slice(&self.seq.to_be_bytes());
        bytes[28..32].copy_from_slice(&self.ack.to_be_bytes());
        bytes.extend_from_slice(&self.data);
        bytes
    }

    pub fn decode(bytes: &[u8]) -> Option<(Self, Sum)> {
        if bytes.len() < HEAD {
            return None;
        }
        let port = |at: usize| u16::from_be_bytes([bytes[at], bytes[at + 1]]);
        let word = |at: usize| <[u8; 4]>::try_from(&bytes[at..at + 4]).unwrap();
        if bytes.len() != HEAD + usize::from(port(0)) {
            return None;
        }
        let packet = Self {
            src: SocketAddrV4::new(Ipv4Addr::from(word(6)), port(4)),
            dst: SocketAddrV4::new(Ipv4Addr::from(word(10)), port(2)),
            flags: bytes[18],
            seq: u32::from_be_bytes(word(24)),
            ack: u32::from_be_bytes(word(28)),
            data: bytes[HEAD..].to_vec(),
        };
        let sum = match u32::from_be_bytes(word(14)) {
            0 => Sum::Zero,
            sum if sum == packet.sum() => Sum::Valid,
            _ => Sum::Wrong,
        };
        Some((packet, sum))
    }
}

/// A number that no two calls share; stands for a random one.
pub fn random() -> u32 {
    use std::{
        hash::{BuildHasher, RandomState},
        sync::atomic::{AtomicU64, Ordering},
    };
    static COUNT: AtomicU64 = AtomicU64::new(0);
    (RandomState::new().hash_one(COUNT.fetch_add(1, Ordering::Relaxed)) >> 32) as u32
}
