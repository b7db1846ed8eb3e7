//! Chooses the agent of a new flow.

use std::net::Ipv4Addr;

use crate::state::steering::{member::Load, rank, segment::Flow};

/// Work of an open flow that is idle now, in slots. A client of the sites' feeds sends about one request of 50 ms a second.
const IDLE_FLOW_WORK: f64 = 0.05;
/// Speed of a backend server that has just started, relative to a warm one.
const COLD_SPEED: f64 = 0.5;
/// Slots of a backend server whose agent does not know them yet.
const UNKNOWN_SLOTS: u32 = 4;
/// How much fuller a backend server of the own data centre may be before another data centre is used, as a share of its
/// slots. Bytes between data centres cost money, and a round trip is short beside a queue.
const NEAR_PREFERENCE: f64 = 0.15;
/// Range of the flow's own preference. Balancers that see the same loads then choose different agents for different
/// flows instead of all the same one.
const SPREAD: f64 = 0.15;

/// An agent that takes new flows.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Address of the agent.
    pub ip: Ipv4Addr,
    /// Whether it is in the data centre of the node that places.
    pub near: bool,
    /// Last reported load.
    pub load: Load,
    /// Own placements that the load does not contain yet.
    pub placed: u32,
}

impl Candidate {
    /// Work that is waiting or in progress, relative to the speed of the backend server.
    pub fn pressure(&self) -> f64 {
        let speed = if self.load.cold { COLD_SPEED } else { 1.0 };
        let slots = if self.load.slots == 0 {
            UNKNOWN_SLOTS
        } else {
            self.load.slots
        };
        let slots = f64::from(slots) * speed;
        let idle = self.load.flows.saturating_sub(self.load.busy);
        let work = f64::from(self.load.busy) + f64::from(self.placed) + IDLE_FLOW_WORK * f64::from(idle);
        work / slots
    }

    #[expect(clippy::cast_precision_loss, reason = "the weight only breaks ties")]
    fn score(&self, flow: Flow) -> f64 {
        let distance = if self.near { 0.0 } else { NEAR_PREFERENCE };
        let preference = 1.0 - rank::weight(flow, self.ip) as f64 / u64::MAX as f64;
        self.pressure() + distance + SPREAD * preference
    }
}

/// Agent with the least work ahead of a new flow.
pub fn choose(flow: Flow, candidates: impl Iterator<Item = Candidate>) -> Option<Candidate> {
    candidates.min_by(|a, b| a.score(flow).total_cmp(&b.score(flow)))
}
