//! Encrypted connection IDs that encode the agent of a flow.
//!
//! Format: `epoch:1 | nonce:3 | AES-128 block:16`. The block holds the service, the agent's address, its incarnation
//! and a copy of the nonce, which detects forged and modified IDs.

use std::net::{Ipv4Addr, SocketAddrV4};

use aes::{
    Aes128,
    cipher::{BlockCipherDecrypt, BlockCipherEncrypt, KeyInit},
};

use crate::state::service::Id;

/// Length of a connection ID in bytes.
pub const LEN: usize = 20;

/// Agent and service that a connection ID encodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Target {
    /// Service of the flow.
    pub service: Id,
    /// UDP address of the agent.
    pub agent: SocketAddrV4,
    /// Incarnation of the agent.
    pub incarnation: u32,
}

/// Encryption key, identified by its epoch.
#[derive(Debug, Clone, Copy)]
pub struct Key {
    /// Identifies the key; the first byte of each ID, not encrypted.
    pub epoch: u8,
    /// AES-128 key.
    pub secret: [u8; 16],
}

/// Encrypts and decrypts connection IDs: encrypts with the first key, decrypts with any.
#[derive(Debug, Clone)]
pub struct Codec {
    keys: Vec<(u8, Aes128)>,
}

impl Codec {
    /// Creates a codec. `keys` must not be empty; it holds two keys during a key rotation.
    pub fn new(keys: &[Key]) -> Self {
        assert!(!keys.is_empty(), "a codec needs at least one key");
        Self {
            keys: keys
                .iter()
                .map(|key| (key.epoch, Aes128::new(&key.secret.into())))
                .collect(),
        }
    }

    /// Encrypts a target with the first key.
    pub fn seal(&self, target: &Target, nonce: [u8; 3]) -> [u8; LEN] {
        let mut block = [0; 16];
        block[0..2].copy_from_slice(&target.service.0.to_be_bytes());
        block[2..6].copy_from_slice(&target.agent.ip().octets());
        block[6..8].copy_from_slice(&target.agent.port().to_be_bytes());
        block[8..12].copy_from_slice(&target.incarnation.to_be_bytes());
        block[13..16].copy_from_slice(&nonce);
        let (epoch, cipher) = &self.keys[0];
        let mut block = block.into();
        cipher.encrypt_block(&mut block);
        let mut id = [0; LEN];
        id[0] = *epoch;
        id[1..4].copy_from_slice(&nonce);
        id[4..].copy_from_slice(&block);
        id
    }

    /// Decrypts an ID. Returns `None` if it was not made with one of the keys.
    pub fn open(&self, id: &[u8]) -> Option<Target> {
        let id: &[u8; LEN] = id.try_into().ok()?;
        let (_, cipher) = self.keys.iter().find(|(epoch, _)| *epoch == id[0])?;
        let mut block = [0; 16];
        block.copy_from_slice(&id[4..]);
        let mut block = block.into();
        cipher.decrypt_block(&mut block);
        if block[12] != 0 || block[13..16] != id[1..4] {
            return None;
        }
        Some(Target {
            service: Id(u16::from_be_bytes([block[0], block[1]])),
            agent: SocketAddrV4::new(
                Ipv4Addr::new(block[2], block[3], block[4], block[5]),
                u16::from_be_bytes([block[6], block[7]]),
            ),
            incarnation: u32::from_be_bytes([block[8], block[9], block[10], block[11]]),
        })
    }
}
