//! Chooses the agent of a new flow.
//!
//! Answers a burst of short requests: loads are reported every 200 ms, and a request takes 50 ms, so several balancers
//! that all choose the least reported load fill one backend server after the other. The flow's hash therefore draws a few
//! candidates, and the smoothed load decides only among these.

use std::{cmp::Ordering, net::Ipv4Addr};

use bytes::Bytes;

use crate::state::steering::{member::Member, rank, report::Load, segment::Flow};

/// Work of an open flow that is idle now, in slots. A client of the sites' feeds sends about one request of 50 ms a second.
const IDLE_FLOW_WORK: f64 = 0.05;
/// Part of the own placements since the last report that still runs, on average over the time between two reports.
const PLACED_WORK: f64 = 0.5;
/// Speed of a backend server that has just started, relative to a warm one.
const COLD_SPEED: f64 = 0.5;
/// How much longer than usual for its service a request takes at a backend server that counts as slow. Means of a few
/// requests differ by less.
const SLOW: f64 = 1.5;
/// Least speed that a slow backend server counts with, so that its recovery shows.
const MIN_SPEED: f64 = 0.1;
/// Share of failed requests, in percent, up to which a backend server counts as sound.
const SOUND_PERCENT: u32 = 15;
/// Slots of a backend server whose agent does not know them yet.
const UNKNOWN_SLOTS: u32 = 4;
/// Candidates of the own data centre, of which the less loaded is taken.
const NEAR_CHOICES: usize = 2;
/// Candidates of other data centres.
const FAR_CHOICES: usize = 1;
/// How much less loaded a candidate of another data centre must be, as a share of its slots. Bytes between data centres
/// cost money, and a round trip is short beside a queue.
const NEAR_PREFERENCE: f64 = 0.15;

/// An agent that takes new flows.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Address of the agent.
    pub ip: Ipv4Addr,
    /// Whether it is in the data centre of the node that places.
    pub near: bool,
    /// Last reported load.
    pub load: Load,
    /// Requests in progress, smoothed over the last reports.
    pub busy: f64,
    /// Own placements that the load does not contain yet.
    pub pending_placements: u32,
    /// Speed relative to the other agents of the service, at most 1.
    pub speed: f64,
}

impl Candidate {
    /// Agent as a node of a data centre sees it.
    pub fn of(member: &Member, data_centre: &Bytes) -> Self {
        Self {
            ip: member.ip,
            near: member.report.data_centre == *data_centre,
            load: member.report.load,
            busy: member.busy,
            pending_placements: member.pending_placements,
            speed: 1.0,
        }
    }

    /// Slots, corrected for the speed of a backend server that has just started.
    fn capacity(&self) -> f64 {
        let speed = if self.load.cold { COLD_SPEED } else { 1.0 };
        let slots = if self.load.slots == 0 {
            UNKNOWN_SLOTS
        } else {
            self.load.slots
        };
        f64::from(slots) * speed.min(self.speed)
    }

    /// Work that is waiting, in progress or expected, relative to the capacity.
    pub fn pressure(&self) -> f64 {
        let idle = f64::from(self.load.flows.saturating_sub(self.load.busy));
        let work = self.busy + PLACED_WORK * f64::from(self.pending_placements) + IDLE_FLOW_WORK * idle;
        work / self.capacity()
    }

    /// Order in which a flow draws its candidates: by chance in proportion to their capacity, the same at each node.
    #[expect(clippy::cast_precision_loss, reason = "the weight is taken as a uniform number")]
    fn draw(&self, flow: Flow) -> f64 {
        let uniform = (rank::weight(flow, self.ip) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
        -uniform.ln() / self.capacity()
    }

    fn cost(&self) -> f64 {
        self.pressure() + if self.near { 0.0 } else { NEAR_PREFERENCE }
    }
}

/// Gives each candidate its speed: a backend server at which requests take much longer than at most others is slow, also
/// if its own health check says nothing of it. One that fails requests keeps a small part of its flows, which show its
/// recovery, and all of them if it has no sound sibling.
fn rate(candidates: &mut [Candidate]) {
    for candidate in &mut *candidates {
        if candidate.load.failed_percent > SOUND_PERCENT {
            candidate.speed = MIN_SPEED;
        }
    }
    let mut latencies: Vec<_> = candidates.iter().map(|candidate| candidate.load.latency_ms).collect();
    latencies.retain(|latency| *latency > 0);
    latencies.sort_unstable();
    let Some(median) = latencies.get(latencies.len() / 2).copied().map(f64::from) else {
        return;
    };
    for candidate in candidates {
        let latency = f64::from(candidate.load.latency_ms);
        if latency > median * SLOW {
            candidate.speed = candidate.speed.min(median / latency).max(MIN_SPEED);
        }
    }
}

/// Least loaded of the candidates that the flow draws.
pub fn choose(flow: Flow, candidates: impl Iterator<Item = Candidate>) -> Option<Candidate> {
    let mut candidates: Vec<_> = candidates.collect();
    rate(&mut candidates);
    let (mut near, mut far): (Vec<_>, Vec<_>) = candidates.into_iter().partition(|candidate| candidate.near);
    draw(flow, &mut near, NEAR_CHOICES);
    draw(flow, &mut far, FAR_CHOICES + NEAR_CHOICES - near.len());
    near.into_iter().chain(far).min_by(|a, b| a.cost().total_cmp(&b.cost()))
}

/// Keeps the first candidates in the order of the flow.
fn draw(flow: Flow, candidates: &mut Vec<Candidate>, count: usize) {
    let order = |a: &Candidate, b: &Candidate| -> Ordering { a.draw(flow).total_cmp(&b.draw(flow)) };
    candidates.sort_unstable_by(order);
    candidates.truncate(count);
}
