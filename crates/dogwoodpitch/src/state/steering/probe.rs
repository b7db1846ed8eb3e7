//! Packets that an agent hands to its backend server to find out whether that holds their flows.

use std::{
    collections::{BTreeSet, HashMap},
    net::Ipv4Addr,
    time::{Duration, Instant},
};

use crate::state::steering::segment::Flow;

/// How long a probe may stay without an answer.
const TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Debug, Clone)]
struct Probe {
    askers: BTreeSet<Ipv4Addr>,
    expires_at: Instant,
}

/// Probes of one agent. One answers all agents that ask for its flow meanwhile.
#[derive(Debug, Clone, Default)]
pub struct Probes(HashMap<Flow, Probe>);

impl Probes {
    /// An agent asks for a flow. True if its packet is to be handed over as a probe; another one is on the way otherwise.
    pub fn ask(&mut self, flow: Flow, asker: Ipv4Addr, now: Instant) -> bool {
        let pending = self.0.get_mut(&flow).filter(|probe| now < probe.expires_at);
        if let Some(probe) = pending {
            probe.askers.insert(asker);
            return false;
        }
        let probe = Probe {
            askers: BTreeSet::from([asker]),
            expires_at: now + TIMEOUT,
        };
        self.0.insert(flow, probe);
        true
    }

    /// The backend server has answered: agents that asked, or `None` if the flow was not probed.
    pub fn answered(&mut self, flow: Flow) -> Option<BTreeSet<Ipv4Addr>> {
        self.0.remove(&flow).map(|probe| probe.askers)
    }

    /// Forgets all probes.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// Forgets probes without an answer.
    pub fn expire(&mut self, now: Instant) {
        self.0.retain(|_, probe| now < probe.expires_at);
    }
}
