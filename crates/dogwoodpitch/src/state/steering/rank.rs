//! Rendezvous hashing: all nodes derive the same order of agents for a flow, and adding or removing an agent remaps few
//! flows.

use std::{
    hash::{Hash, Hasher},
    net::Ipv4Addr,
};

use siphasher::sip::SipHasher13;

use crate::state::steering::segment::Flow;

/// Number of homes of a flow: the agents that store a [pointer](super::pointer) to its owner. With two, one may fail
/// without a search.
pub const HOMES: usize = 2;

/// Rendezvous weight of an agent for a flow.
pub fn weight(flow: Flow, agent: Ipv4Addr) -> u64 {
    let mut hasher = SipHasher13::new();
    flow.client.ip().octets().hash(&mut hasher);
    flow.client.port().hash(&mut hasher);
    flow.service.ip().octets().hash(&mut hasher);
    flow.service.port().hash(&mut hasher);
    agent.octets().hash(&mut hasher);
    hasher.finish()
}

/// Homes of a flow: the agents with the highest weights, in descending order.
pub fn homes(flow: Flow, agents: impl Iterator<Item = Ipv4Addr>) -> [Option<Ipv4Addr>; HOMES] {
    let mut best: [Option<(u64, Ipv4Addr)>; HOMES] = [None; HOMES];
    for agent in agents {
        let mut candidate = Some((weight(flow, agent), agent));
        for place in &mut best {
            if candidate > *place {
                std::mem::swap(place, &mut candidate);
            }
        }
    }
    best.map(|place| place.map(|(_, agent)| agent))
}
