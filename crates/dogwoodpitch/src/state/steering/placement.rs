//! Placement of new flows on agents.
//!
//! Loads are reported every 200 ms while a request takes about 50 ms, so balancers that all chose the least reported
//! load would overload one backend server after another in a burst of short requests. The hash of the flow therefore
//! samples a few candidates, and the smoothed load decides only among these.

use std::net::Ipv4Addr;

use bytes::Bytes;

use crate::state::steering::{member::Member, rank, report::Load, segment::Flow};

/// Expected load of an open flow that is idle, in slots. Clients of the sites' feeds send about one request of 50 ms a
/// second.
const IDLE_FLOW_WORK: f64 = 0.05;
/// Share of this node's placements since the last report that is still running, averaged over a report interval.
const PLACED_WORK: f64 = 0.5;
/// Speed of a backend server that is warming up, relative to a warm one.
const COLD_SPEED: f64 = 0.5;
/// Ratio of a backend server's latency to the median of its service above which it counts as slow. Means over a few
/// requests vary by less.
const SLOW_RATIO: f64 = 1.5;
/// Minimum speed of a slow or failing backend server. It still gets a few flows, so that its recovery is noticed.
const MIN_SPEED: f64 = 0.1;
/// Percentage of failed requests up to which a backend server counts as healthy.
const MAX_HEALTHY_FAILED_PERCENT: u32 = 15;
/// Slots assumed for a backend server whose agent does not know the number yet.
const DEFAULT_SLOTS: u32 = 4;
/// Number of candidates sampled in the local data centre.
pub(super) const LOCAL_CHOICES: usize = 2;
/// Number of candidates sampled in remote data centres.
const REMOTE_CHOICES: usize = 1;
/// Added to the relative load of a remote candidate. Traffic between data centres costs money, but a queue costs more
/// time than the longer round trip.
const REMOTE_PENALTY: f64 = 0.15;

/// Which of the candidates are compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// Some local ones and a remote one, which has to be less loaded by a margin.
    Near,
    /// Some local ones. Remote ones only if there is no local one.
    Local,
    /// All.
    All,
}

/// An agent that may get a new flow.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Address of the agent.
    pub ip: Ipv4Addr,
    /// Whether the agent is in the data centre of the placing node, or in the one to which the flow
    /// [overflows](super::overflow).
    pub local: bool,
    /// Last reported load of the backend server.
    pub load: Load,
    /// Requests in progress, smoothed over the latest reports.
    pub busy: f64,
    /// Placements by this node that the reported load does not include yet.
    pub pending_placements: u32,
    /// Speed relative to the service's other backend servers, at most 1.
    pub speed: f64,
    /// Requests a second that the backend server bears while it is warming up; `None` if there is no limit.
    pub cold_rate: Option<f64>,
}

impl Candidate {
    /// Candidate for an agent, as seen from `data_centre`. `cold_rate` is that of its service.
    pub fn from_member(member: &Member, data_centre: &Bytes, cold_rate: Option<f64>) -> Self {
        Self {
            ip: member.ip,
            local: member.report.data_centre == *data_centre,
            load: member.report.load,
            busy: member.busy,
            pending_placements: member.pending_placements,
            speed: 1.0,
            cold_rate,
        }
    }

    /// Number of slots, scaled by the speed of the backend server.
    pub(super) fn capacity(&self) -> f64 {
        let speed = if self.load.cold { COLD_SPEED } else { 1.0 };
        let slots = if self.load.slots == 0 {
            DEFAULT_SLOTS
        } else {
            self.load.slots
        };
        (f64::from(slots) * speed.min(self.speed)).min(self.cold_slots())
    }

    /// Number of slots that a backend server which is warming up can keep busy at its limit, and that of any other is not
    /// bounded here.
    fn cold_slots(&self) -> f64 {
        match self.cold_rate {
            Some(rate) if self.load.cold && self.load.latency_ms > 0 => {
                (rate * f64::from(self.load.latency_ms) / 1_000.0).max(MIN_SPEED)
            }
            _ => f64::INFINITY,
        }
    }

    /// Expected load of the open flows that are idle, in slots.
    pub(super) fn idle_work(&self) -> f64 {
        IDLE_FLOW_WORK * f64::from(self.load.flows.saturating_sub(self.load.busy))
    }

    /// Load that is queued, in progress or expected, in slots.
    pub(super) fn work(&self) -> f64 {
        self.busy + PLACED_WORK * f64::from(self.pending_placements) + self.idle_work()
    }

    /// Load that is queued, in progress or expected, relative to the capacity.
    pub fn relative_load(&self) -> f64 {
        self.work() / self.capacity()
    }

    /// Sort key of weighted random sampling: each candidate comes first with a probability in proportion to its
    /// capacity. Nodes with the same view of the candidates compute the same order.
    #[expect(clippy::cast_precision_loss, reason = "the weight is taken as a uniform number")]
    fn sampling_key(&self, flow: Flow) -> f64 {
        let uniform = (rank::weight(flow, self.ip) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
        -uniform.ln() / self.capacity()
    }

    fn cost(&self) -> f64 {
        self.relative_load() + if self.local { 0.0 } else { REMOTE_PENALTY }
    }
}

/// Sets the speed of each candidate. A backend server whose requests take much longer than the median counts as slow
/// even if its health check passes. One that fails requests keeps a small share of its flows, which reveal its
/// recovery, or its full share if no peer is healthy.
pub(super) fn estimate_speeds(candidates: &mut [Candidate]) {
    for candidate in &mut *candidates {
        if candidate.load.failed_percent > MAX_HEALTHY_FAILED_PERCENT {
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
        if latency > median * SLOW_RATIO {
            candidate.speed = candidate.speed.min(median / latency).max(MIN_SPEED);
        }
    }
}

/// Chooses the least loaded of the candidates that are sampled for the flow, near ones first.
pub fn choose(flow: Flow, candidates: impl Iterator<Item = Candidate>) -> Option<Candidate> {
    choose_in(flow, candidates, Scope::Near)
}

/// Chooses the least loaded of the candidates in the scope.
pub fn choose_in(flow: Flow, candidates: impl Iterator<Item = Candidate>, scope: Scope) -> Option<Candidate> {
    let mut candidates: Vec<_> = candidates.collect();
    estimate_speeds(&mut candidates);
    let is_local = |candidate: &&Candidate| candidate.local;
    let mut sampled = Vec::new();
    match scope {
        Scope::Near => {
            sample(flow, candidates.iter().filter(is_local), LOCAL_CHOICES, &mut sampled);
            let remote = REMOTE_CHOICES + LOCAL_CHOICES - sampled.len();
            sample(
                flow,
                candidates.iter().filter(|candidate| !candidate.local),
                remote,
                &mut sampled,
            );
        }
        Scope::Local => {
            sample(flow, candidates.iter().filter(is_local), LOCAL_CHOICES, &mut sampled);
            if sampled.is_empty() {
                sample(flow, candidates.iter(), LOCAL_CHOICES, &mut sampled);
            }
        }
        Scope::All => sampled.extend(candidates.iter().map(|candidate| (0.0, *candidate))),
    }
    let cost = |candidate: &Candidate| match scope {
        Scope::Near => candidate.cost(),
        Scope::Local | Scope::All => candidate.relative_load(),
    };
    sampled
        .into_iter()
        .map(|(_, candidate)| candidate)
        .min_by(|a, b| cost(a).total_cmp(&cost(b)))
}

/// Appends the first `count` candidates in the sampling order of the flow, with their keys.
fn sample<'a>(
    flow: Flow,
    candidates: impl Iterator<Item = &'a Candidate>,
    count: usize,
    sampled: &mut Vec<(f64, Candidate)>,
) {
    let start = sampled.len();
    for candidate in candidates {
        let key = candidate.sampling_key(flow);
        let place = start + sampled[start..].partition_point(|(known, _)| known.total_cmp(&key).is_le());
        if place < start + count {
            sampled.insert(place, (key, *candidate));
            sampled.truncate(start + count);
        }
    }
}
