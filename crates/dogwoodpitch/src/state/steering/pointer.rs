//! Pointers to flows that siblings hold.

use std::{
    collections::{BTreeSet, HashMap},
    net::Ipv4Addr,
    time::{Duration, Instant},
};

use crate::state::steering::segment::Flow;

/// Pointers at the same time.
const MAX_POINTERS: usize = 32_768;
/// Time after which the owner of an open flow sends its pointers again.
pub const REFRESH: Duration = Duration::from_secs(30);
/// How long a pointer is kept without a refresh; two may be lost.
const KEEP: Duration = Duration::from_secs(75);

#[derive(Debug, Clone, Copy)]
struct Pointer {
    owner: Ipv4Addr,
    expires_at: Instant,
}

/// Owners of flows that the own backend server does not hold.
#[derive(Debug, Clone, Default)]
pub struct Pointers(HashMap<Flow, Pointer>);

impl Pointers {
    /// Remembers the owner of a flow. Full pointers keep what they have; the flow is searched for instead.
    pub fn set(&mut self, flow: Flow, owner: Ipv4Addr, now: Instant) {
        if self.0.len() < MAX_POINTERS || self.0.contains_key(&flow) {
            let expires_at = now + KEEP;
            self.0.insert(flow, Pointer { owner, expires_at });
        }
    }

    /// Owner of a flow.
    pub fn owner(&self, flow: Flow) -> Option<Ipv4Addr> {
        self.0.get(&flow).map(|pointer| pointer.owner)
    }

    /// A sibling does not hold a flow.
    pub fn deny(&mut self, flow: Flow, sibling: Ipv4Addr) {
        if self.owner(flow) == Some(sibling) {
            self.0.remove(&flow);
        }
    }

    /// Flows that a sibling holds.
    pub fn flows_of(&self, sibling: Ipv4Addr) -> Vec<Flow> {
        let owned = self.0.iter().filter(|(_, pointer)| pointer.owner == sibling);
        owned.map(|(flow, _)| *flow).collect()
    }

    /// Drops the pointers to nodes that have gone for good.
    pub fn forget(&mut self, gone: &BTreeSet<Ipv4Addr>) {
        self.0.retain(|_, pointer| !gone.contains(&pointer.owner));
    }

    /// Drops pointers that were not refreshed.
    pub fn expire(&mut self, now: Instant) {
        self.0.retain(|_, pointer| now < pointer.expires_at);
    }
}
