//! Handing over a SYN that would wait for room, to an agent whose backend server has more.
//!
//! Balancers place flows by loads that are hundreds of milliseconds old, while a request takes 30 ms. At 85% of the
//! service's capacity, SYNs therefore wait at some agents while slots of others are free, and a wait of 200 ms is most
//! of a goal of 300 ms. The next agent decides by its present work, which makes an outdated load cost a hop and no
//! wait. The hash of the flow samples the peers, so that agents that are full at the same time hand over to different
//! ones.

use std::{net::Ipv4Addr, time::Duration};

use crate::state::steering::{rank, segment::Flow};

/// Number of times that a SYN is handed over. One more forward is left for a backend server that returns it.
pub const MAX_HANDOVERS: u8 = 2;
/// Number of peers sampled.
const CHOICES: usize = 2;
/// Share of this agent's expected response time that a peer's may take at most. Loads are averages, and a hop that
/// gains little is not worth its packets.
const MAX_SHARE: f64 = 0.5;

/// Agent that may get a SYN.
#[derive(Debug, Clone, Copy)]
pub struct Peer {
    /// Address of the agent.
    pub ip: Ipv4Addr,
    /// Expected response time of a request that is placed there now.
    pub answered_after: Duration,
}

/// Expected response time with the given service time at a backend server with `requests` in progress.
pub fn answered_after(service_time: Duration, requests: f64, slots: u32) -> Duration {
    let rounds = (requests + 1.0) / f64::from(slots.max(1));
    service_time.mul_f64(rounds.max(1.0))
}

/// Chooses the peer for a SYN that would wait here for `own` until its answer, if one has clearly more room.
pub fn choose(flow: Flow, own: Duration, peers: impl Iterator<Item = Peer>) -> Option<Ipv4Addr> {
    let mut roomy: Vec<_> = peers
        .filter(|peer| peer.answered_after <= own.mul_f64(MAX_SHARE))
        .collect();
    roomy.sort_unstable_by_key(|peer| std::cmp::Reverse(rank::weight(flow, peer.ip)));
    roomy.truncate(CHOICES);
    let best = roomy.into_iter().min_by_key(|peer| peer.answered_after)?;
    Some(best.ip)
}
