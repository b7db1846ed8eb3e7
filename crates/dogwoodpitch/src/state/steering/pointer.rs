//! Pointers: for flows that peers hold, which peer it is. The owner of a flow sends them to the flow's
//! [homes](super::rank::homes), where packets without a known owner are sent.

use std::{
    collections::{BTreeSet, HashMap},
    net::Ipv4Addr,
    time::{Duration, Instant},
};

use crate::state::steering::segment::Flow;

/// Maximum number of stored pointers.
const MAX_POINTERS: usize = 32_768;
/// Interval at which the owner of an open flow sends its pointers again.
pub const REFRESH_INTERVAL: Duration = Duration::from_secs(30);
/// Time to live of a pointer without a refresh. Two refreshes may be lost.
const TTL: Duration = Duration::from_secs(75);

#[derive(Debug, Clone, Copy)]
struct Pointer {
    owner: Ipv4Addr,
    expires_at: Instant,
}

/// Owners of flows that this node's backend server does not hold.
#[derive(Debug, Clone, Default)]
pub struct Pointers(HashMap<Flow, Pointer>);

impl Pointers {
    /// Stores the owner of a flow. If the table is full, a new pointer is discarded; packets of its flow start a search
    /// instead.
    pub fn insert(&mut self, flow: Flow, owner: Ipv4Addr, now: Instant) {
        if self.0.len() < MAX_POINTERS || self.0.contains_key(&flow) {
            let expires_at = now + TTL;
            self.0.insert(flow, Pointer { owner, expires_at });
        }
    }

    /// Returns the owner of a flow, if it is known.
    pub fn owner(&self, flow: Flow) -> Option<Ipv4Addr> {
        self.0.get(&flow).map(|pointer| pointer.owner)
    }

    /// Removes the pointer of a flow if it names `peer`, which has denied the flow.
    pub fn remove_if_owner(&mut self, flow: Flow, peer: Ipv4Addr) {
        if self.owner(flow) == Some(peer) {
            self.0.remove(&flow);
        }
    }

    /// Flows whose pointers name `peer`.
    pub fn flows_owned_by(&self, peer: Ipv4Addr) -> Vec<Flow> {
        let owned = self.0.iter().filter(|(_, pointer)| pointer.owner == peer);
        owned.map(|(flow, _)| *flow).collect()
    }

    /// Removes all pointers to nodes that were removed from the membership.
    pub fn remove_owners(&mut self, owners: &BTreeSet<Ipv4Addr>) {
        self.0.retain(|_, pointer| !owners.contains(&pointer.owner));
    }

    /// Removes pointers that were not refreshed in time.
    pub fn expire(&mut self, now: Instant) {
        self.0.retain(|_, pointer| now < pointer.expires_at);
    }
}
