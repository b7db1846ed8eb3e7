//! Choice of the balancer that takes a datagram back to the caller.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddrV4,
    ops::Bound,
    time::{Duration, Instant},
};

use crate::transport::quic::Relay;

/// Silence of a flow after which a datagram that follows another one takes another balancer. A caller acknowledges within
/// one round trip and 25 ms, so a longer silence suggests that the last balancer does not deliver.
const QUIET: Duration = Duration::from_millis(200);
/// How long a balancer counts as alive after a frame from it. Two of three probes may be lost.
const ALIVE: Duration = Duration::from_millis(2500);

/// Balancers that this agent has heard from.
#[derive(Debug, Default)]
pub struct Balancers(RefCell<BTreeMap<SocketAddrV4, Instant>>);

impl Balancers {
    /// Records a frame from a balancer.
    pub fn hear(&self, balancer: SocketAddrV4, now: Instant) {
        self.0.borrow_mut().insert(balancer, now);
    }

    /// Records a frame from a node that may be no balancer.
    pub fn hear_known(&self, node: SocketAddrV4, now: Instant) {
        if let Some(heard) = self.0.borrow_mut().get_mut(&node) {
            *heard = now;
        }
    }

    /// Forgets the balancers that are silent.
    pub fn prune(&self, now: Instant) {
        self.0
            .borrow_mut()
            .retain(|_, heard| now.saturating_duration_since(*heard) <= ALIVE);
    }

    /// Number of live balancers.
    pub fn live(&self, now: Instant) -> usize {
        self.0.borrow().values().filter(|heard| is_alive(**heard, now)).count()
    }

    /// Chooses the balancer of the next datagram and records that it is sent. The balancer that delivered last is kept
    /// until the flow is silent after a datagram; then each datagram takes the next live balancer.
    pub fn choose(&self, relay: &Cell<Relay>, now: Instant) -> Option<SocketAddrV4> {
        let state = relay.get();
        let silent = state
            .received
            .is_none_or(|at| now.saturating_duration_since(at) > QUIET);
        let heard = self.0.borrow();
        let lives = |balancer: &SocketAddrV4| heard.get(balancer).is_some_and(|heard| is_alive(*heard, now));
        let choice = match state.address {
            Some(current) if (!silent || state.sent.is_none()) && lives(&current) => Some(current),
            Some(current) => heard
                .range((Bound::Excluded(current), Bound::Unbounded))
                .chain(heard.range(..current))
                .find(|(_, heard)| is_alive(**heard, now))
                .map(|(balancer, _)| *balancer)
                .or(Some(current)),
            None => heard.keys().copied().find(|balancer| lives(balancer)),
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
    now.saturating_duration_since(heard) <= ALIVE
}
