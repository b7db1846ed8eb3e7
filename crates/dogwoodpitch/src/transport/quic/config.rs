//! Transport configuration and generation of connection IDs.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use quinn_proto::{ConnectionId, ConnectionIdGenerator, InvalidCid, MtuDiscoveryConfig, TransportConfig};
use rand::RngExt;

use crate::protocol::cid::{self, Codec, Target};

/// Maximum length of a QUIC packet in bytes, which leaves room for PROXY header and frame header in an Ethernet frame.
/// Larger MTU probes are lost, since they are never fragmented.
const MAX_PACKET_LEN: u16 = 1400;
/// Reordering threshold: number of later packets whose acknowledgement makes a packet count as lost. It is high because
/// the fabric sprays packets over balancers, which reorders them.
const PACKET_THRESHOLD: u32 = 64;
/// Number of round-trip times after which a packet counts as lost if a later one was acknowledged.
const TIME_THRESHOLD: f32 = 2.0;

/// Returns the transport configuration that both ends need where packets are sprayed over paths.
pub fn transport_config() -> TransportConfig {
    let mut discovery = MtuDiscoveryConfig::default();
    discovery.upper_bound(MAX_PACKET_LEN);
    let mut transport = TransportConfig::default();
    transport
        .mtu_discovery_config(Some(discovery))
        .packet_threshold(PACKET_THRESHOLD)
        .time_threshold(TIME_THRESHOLD);
    transport
}

/// Generates encrypted connection IDs that encode an agent.
#[derive(Debug, Clone)]
pub struct Generator {
    codec: Codec,
    local: Target,
    next: Arc<Mutex<Option<Target>>>,
}

impl Generator {
    /// Creates a generator of IDs that encode `local`.
    pub fn new(codec: Codec, local: Target) -> Self {
        Self {
            codec,
            local,
            next: Arc::default(),
        }
    }

    /// Makes the next ID encode another agent. A Retry uses exactly one ID, which must encode the agent of the flow.
    pub fn set_next_target(&self, target: Target) {
        *self.next.lock().unwrap_or_else(PoisonError::into_inner) = Some(target);
    }
}

impl ConnectionIdGenerator for Generator {
    fn generate_cid(&mut self) -> ConnectionId {
        let next = self.next.lock().unwrap_or_else(PoisonError::into_inner).take();
        ConnectionId::new(&self.codec.seal(&next.unwrap_or(self.local), rand::rng().random()))
    }

    /// Accepts IDs of this agent up to its incarnation, so that flows of an earlier incarnation are reset, and flows of
    /// a later one are not.
    fn validate(&self, id: &ConnectionId) -> Result<(), InvalidCid> {
        let target = self.codec.open(id).ok_or(InvalidCid)?;
        let is_local = target.service == self.local.service && target.agent == self.local.agent;
        if is_local && target.incarnation <= self.local.incarnation {
            Ok(())
        } else {
            Err(InvalidCid)
        }
    }

    fn cid_len(&self) -> usize {
        cid::LEN
    }

    fn cid_lifetime(&self) -> Option<Duration> {
        None
    }
}
