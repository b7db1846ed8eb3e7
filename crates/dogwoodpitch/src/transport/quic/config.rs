//! Transport parameters and connection IDs.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use quinn_proto::{ConnectionId, ConnectionIdGenerator, InvalidCid, MtuDiscoveryConfig, TransportConfig};
use rand::RngExt;

use crate::protocol::cid::{self, Codec, Target};

/// Largest QUIC packet in bytes. PROXY header and frame header must fit into an Ethernet packet beside it; larger probes are
/// lost and never fragmented.
const MAX_PACKET: u16 = 1400;
/// Later packets whose receipt makes an earlier one count as lost. The fabric sprays packets over balancers, so they
/// overtake each other.
const PACKET_THRESHOLD: u32 = 64;
/// Round-trip times after which a packet counts as lost when a later one was received.
const TIME_THRESHOLD: f32 = 2.0;

/// Transport parameters that both ends of a sprayed path need.
pub fn transport_config() -> TransportConfig {
    let mut discovery = MtuDiscoveryConfig::default();
    discovery.upper_bound(MAX_PACKET);
    let mut transport = TransportConfig::default();
    transport
        .mtu_discovery_config(Some(discovery))
        .packet_threshold(PACKET_THRESHOLD)
        .time_threshold(TIME_THRESHOLD);
    transport
}

/// Makes sealed connection IDs that name an agent.
#[derive(Debug, Clone)]
pub struct Generator {
    codec: Codec,
    own: Target,
    next: Arc<Mutex<Option<Target>>>,
}

impl Generator {
    /// Creates a generator whose IDs name `own`.
    pub fn new(codec: Codec, own: Target) -> Self {
        Self {
            codec,
            own,
            next: Arc::default(),
        }
    }

    /// Lets the next ID name another agent. A Retry takes exactly one ID, so that it names the agent of the flow.
    pub fn set_next_target(&self, target: Target) {
        *self.next.lock().unwrap_or_else(PoisonError::into_inner) = Some(target);
    }
}

impl ConnectionIdGenerator for Generator {
    fn generate_cid(&mut self) -> ConnectionId {
        let next = self.next.lock().unwrap_or_else(PoisonError::into_inner).take();
        ConnectionId::new(&self.codec.seal(&next.unwrap_or(self.own), rand::rng().random()))
    }

    /// Accepts the IDs of this agent up to its incarnation, so that flows of a former incarnation are reset and those of a
    /// newer one are not.
    fn validate(&self, id: &ConnectionId) -> Result<(), InvalidCid> {
        let target = self.codec.open(id).ok_or(InvalidCid)?;
        let ours = target.service == self.own.service && target.agent == self.own.agent;
        if ours && target.incarnation <= self.own.incarnation {
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
