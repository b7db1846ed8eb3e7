//! Probes: packets that an agent delivers to its backend server to find out whether it holds their flows.

use std::{
    collections::{BTreeSet, HashMap},
    net::Ipv4Addr,
    time::{Duration, Instant},
};

use crate::state::steering::segment::Flow;

/// Time after which a probe without an answer expires.
const TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Debug, Clone)]
struct Probe {
    requesters: BTreeSet<Ipv4Addr>,
    expires_at: Instant,
}

/// Pending probes of one agent. One probe serves all agents that query its flow meanwhile.
#[derive(Debug, Clone, Default)]
pub struct Probes(HashMap<Flow, Probe>);

impl Probes {
    /// Registers the query of an agent. Returns `true` if its packet is to be delivered as a probe, and `false` if a
    /// probe of the flow is pending already.
    pub fn request(&mut self, flow: Flow, requester: Ipv4Addr, now: Instant) -> bool {
        let pending = self.0.get_mut(&flow).filter(|probe| now < probe.expires_at);
        if let Some(probe) = pending {
            probe.requesters.insert(requester);
            return false;
        }
        let probe = Probe {
            requesters: BTreeSet::from([requester]),
            expires_at: now + TIMEOUT,
        };
        self.0.insert(flow, probe);
        true
    }

    /// Ends a probe that the backend server has answered. Returns the agents that wait for the result, or `None` if the
    /// flow was not probed.
    pub fn take_requesters(&mut self, flow: Flow) -> Option<BTreeSet<Ipv4Addr>> {
        self.0.remove(&flow).map(|probe| probe.requesters)
    }

    /// Removes all probes.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// Removes expired probes.
    pub fn expire(&mut self, now: Instant) {
        self.0.retain(|_, probe| now < probe.expires_at);
    }
}
