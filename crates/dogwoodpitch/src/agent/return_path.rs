//! Selection of the balancer through which a datagram returns to the caller.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddrV4,
    ops::Bound,
    time::{Duration, Instant},
};

use crate::transport::quic::Relay;

/// If nothing arrived on a flow for this long after a datagram was sent, the next datagram takes another balancer. A
/// caller acknowledges within one round trip plus 25 ms, so a longer silence suggests that the balancer does not deliver.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(200);
/// How long a balancer counts as alive after its last frame. This tolerates the loss of two probes out of three.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(2500);

/// Balancers known to this agent, with the time of the last frame from each.
#[derive(Debug, Default)]
pub struct Balancers(RefCell<BTreeMap<SocketAddrV4, Instant>>);

impl Balancers {
    /// Records a frame from a balancer.
    pub fn record_balancer(&self, balancer: SocketAddrV4, now: Instant) {
        self.0.borrow_mut().insert(balancer, now);
    }

    /// Records a frame from a node if the node is a known balancer.
    pub fn record_known(&self, node: SocketAddrV4, now: Instant) {
        if let Some(heard) = self.0.borrow_mut().get_mut(&node) {
            *heard = now;
        }
    }

    /// Removes the balancers that are no longer alive.
    pub fn prune(&self, now: Instant) {
        self.0
            .borrow_mut()
            .retain(|_, heard| now.saturating_duration_since(*heard) <= LIVENESS_TIMEOUT);
    }

    /// Number of live balancers.
    pub fn live_count(&self, now: Instant) -> usize {
        self.0.borrow().values().filter(|heard| is_alive(**heard, now)).count()
    }

    /// Chooses the balancer for the next datagram of a flow and records the send time. The balancer that delivered the
    /// last packet is kept until the flow stays silent after a datagram; from then on, each datagram takes the next live
    /// balancer.
    pub fn choose(&self, relay: &Cell<Relay>, now: Instant) -> Option<SocketAddrV4> {
        let state = relay.get();
        let silent = state
            .received
            .is_none_or(|at| now.saturating_duration_since(at) > SILENCE_TIMEOUT);
        let balancers = self.0.borrow();
        let is_live = |balancer: &SocketAddrV4| balancers.get(balancer).is_some_and(|heard| is_alive(*heard, now));
        let choice = match state.address {
            Some(current) if (!silent || state.sent.is_none()) && is_live(&current) => Some(current),
            Some(current) => balancers
                .range((Bound::Excluded(current), Bound::Unbounded))
                .chain(balancers.range(..current))
                .find(|(_, heard)| is_alive(**heard, now))
                .map(|(balancer, _)| *balancer)
                .or(Some(current)),
            None => balancers.keys().copied().find(|balancer| is_live(balancer)),
        };
        relay.set(Relay {
            address: choice,
            sent: Some(now),
            ..state
        });
        choice
    }
}

fn is_alive(heard: Instant, now: Instant) -> bool {
    now.saturating_duration_since(heard) <= LIVENESS_TIMEOUT
}
