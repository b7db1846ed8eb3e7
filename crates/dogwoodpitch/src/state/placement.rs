//! Choice of the agent for a new flow, and of the peer to which a request is offered.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use rand::{Rng, RngExt};

use crate::state::load::Load;

/// Age up to which a load report counts as proof that the agent is alive.
pub const REPORT_VALIDITY: Duration = Duration::from_secs(2);
/// Time for which the last report of a silent agent is kept, so that a delayed older report is recognized as such.
const RETENTION: Duration = Duration::from_mins(1);
/// Maximum number of agents in the table, which bounds its memory whatever the frames contain.
const MAX_AGENTS: usize = 4_096;
/// Maximum number of pending placements per agent.
const MAX_PENDING: usize = 1_024;
/// Time from the placement of a flow until it shows in the connection count of its agent: a round trip and the
/// handshake.
const FLOW_REPORT_DELAY: Duration = Duration::from_millis(100);
/// Time from the offer of a request until it shows in the load of its agent.
const REQUEST_REPORT_DELAY: Duration = Duration::from_millis(20);
/// Age from which a placement no longer counts as pending, even without a later report.
const MAX_PENDING_AGE: Duration = Duration::from_secs(1);
/// Time for which a peer gets no request after it refused one despite the free slots in its report.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(20);
/// Time for which a peer gets no request after an offer to it failed.
const FAILURE_BACKOFF: Duration = Duration::from_secs(1);
/// Ratio of the mean utilization of the local agents to that of the remote ones, up to which new flows prefer the local
/// data centre.
const MAX_LOCAL_RATIO: f64 = 1.25;
/// Ratio of the utilization of an agent to the mean, up to which a flow stays in the local data centre. The target of
/// 1.10 for the imbalance leaves no room for a higher value.
const MAX_LOCAL_IMBALANCE: f64 = 1.05;

/// Minimum time between two counter values from which a mean is computed.
const MIN_USAGE_INTERVAL: Duration = Duration::from_millis(100);
/// Time constant of the moving average of the busy slots.
const USAGE_TIME_CONSTANT: Duration = Duration::from_secs(1);
/// Change of the offload share per update at a load of twice the mean.
const OFFLOAD_GAIN: f64 = 0.1;
/// Maximum share of the requests that an agent offloads.
const MAX_OFFLOAD_SHARE: f64 = 0.9;
/// Minimum divisor for relative differences of busy slots. At a lower load a few requests are a large ratio.
const MIN_MEAN_BUSY: f64 = 0.5;

/// An agent that may be chosen.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Whether the agent is in the local data centre.
    pub local: bool,
    /// Last reported load.
    pub load: Load,
    /// Number of local placements that `load` does not include yet.
    pub pending: u32,
    /// Moving average of the busy slots, once there are two reports.
    pub mean_busy: Option<f64>,
}

/// The chosen candidate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice {
    /// Index in the list of candidates.
    pub index: usize,
    /// Why it was chosen, for the log.
    pub reason: &'static str,
}

/// Load reports of the peers, by node name.
#[derive(Debug, Clone, Default)]
pub struct Table {
    agents: HashMap<String, Entry>,
}

/// Last report of an agent, and what the local node has placed on it since.
#[derive(Debug, Clone)]
struct Entry {
    load: Load,
    received_at: Instant,
    usage: Usage,
    pending_flows: Pending,
    pending_requests: Pending,
    excluded_until: Option<Instant>,
}

/// Times of local placements that no report includes yet.
#[derive(Debug, Clone, Default)]
pub struct Pending(VecDeque<Instant>);

impl Pending {
    /// Adds a placement.
    pub fn add(&mut self, now: Instant) {
        if self.0.len() == MAX_PENDING {
            self.0.pop_front();
        }
        self.0.push_back(now);
    }

    /// Removes the placements that a report of the time `now` includes: those that are at least `delay` old.
    pub fn remove_reported(&mut self, now: Instant, delay: Duration) {
        while self
            .0
            .front()
            .is_some_and(|placed| now.saturating_duration_since(*placed) >= delay)
        {
            self.0.pop_front();
        }
    }

    /// Removes the flows that the connection count of the agent includes at the time `now`.
    pub fn remove_reported_flows(&mut self, now: Instant) {
        self.remove_reported(now, FLOW_REPORT_DELAY);
    }

    /// Removes a placement that has ended.
    pub fn remove(&mut self, placed: Instant) {
        if let Some(index) = self.0.iter().position(|other| *other == placed) {
            self.0.remove(index);
        }
    }

    /// Number of pending placements.
    pub fn count(&self, now: Instant) -> u32 {
        let fresh = |placed: &&Instant| now.saturating_duration_since(**placed) < MAX_PENDING_AGE;
        u32::try_from(self.0.iter().filter(fresh).count()).unwrap_or(u32::MAX)
    }
}

/// Moving average of the busy slots of one agent, from [`Load::slot_ms`] in its reports.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    last: Option<(u32, Instant)>,
    mean: Option<f64>,
}

impl Usage {
    /// Records a counter value.
    pub fn record(&mut self, slot_ms: u32, now: Instant) {
        let Some((counter, at)) = self.last else {
            self.last = Some((slot_ms, now));
            return;
        };
        let elapsed = now.saturating_duration_since(at);
        if elapsed < MIN_USAGE_INTERVAL {
            return;
        }
        self.last = Some((slot_ms, now));
        let busy = f64::from(slot_ms.wrapping_sub(counter)) / (elapsed.as_secs_f64() * 1_000.0);
        let weight = 1.0 - (-elapsed.as_secs_f64() / USAGE_TIME_CONSTANT.as_secs_f64()).exp();
        self.mean = Some(self.mean.map_or(busy, |mean| mean + weight * (busy - mean)));
    }

    /// Moving average of the busy slots, once there are two values.
    pub fn mean(&self) -> Option<f64> {
        self.mean
    }
}

/// Controller for the share of the requests of one service that an agent offers to peers although it has a free slot.
///
/// Flows last for hours, so a new agent has none and would stay idle while its peers are half loaded. The share
/// increases while the local agent is busier than the mean of the service and decreases while it is less busy, so that
/// it converges to the value at which both are equal.
#[derive(Debug, Clone, Copy, Default)]
pub struct Offload {
    share: f64,
}

impl Offload {
    /// Adapts the share. Must be called once per report interval.
    pub fn update(&mut self, local: f64, mean: f64) {
        let error = (local - mean) / mean.max(MIN_MEAN_BUSY);
        self.share = (self.share + OFFLOAD_GAIN * error.clamp(-1.0, 1.0)).clamp(0.0, MAX_OFFLOAD_SHARE);
    }

    /// Share of the requests to offload.
    pub fn share(&self) -> f64 {
        self.share
    }
}

impl Table {
    /// Records a load report. A delayed report that is not newer than the known one is ignored. Returns whether the report
    /// was recorded.
    pub fn record_report(&mut self, node: &str, load: Load, now: Instant) -> bool {
        if let Some(entry) = self.agents.get_mut(node) {
            if !load.is_newer_than(&entry.load) {
                return false;
            }
            if load.incarnation != entry.load.incarnation {
                *entry = Entry::new(load, now);
                return true;
            }
            entry.load = load;
            entry.received_at = now;
            entry.usage.record(load.slot_ms, now);
            entry.pending_flows.remove_reported(now, FLOW_REPORT_DELAY);
            entry.pending_requests.remove_reported(now, REQUEST_REPORT_DELAY);
            return true;
        }
        if self.agents.len() >= MAX_AGENTS {
            self.evict_stale(now);
        }
        if self.agents.len() >= MAX_AGENTS {
            return false;
        }
        self.agents.insert(node.to_owned(), Entry::new(load, now));
        true
    }

    /// Records the load from a refusal, and excludes the peer from requests for a short backoff time.
    pub fn record_refusal(&mut self, node: &str, load: Load, now: Instant) {
        self.record_report(node, load, now);
        self.exclude(node, now + REFUSAL_BACKOFF);
    }

    /// Records a failed offer, and excludes the peer from requests for a longer backoff time.
    pub fn record_failure(&mut self, node: &str, now: Instant) {
        self.exclude(node, now + FAILURE_BACKOFF);
    }

    fn exclude(&mut self, node: &str, until: Instant) {
        if let Some(entry) = self.agents.get_mut(node) {
            entry.excluded_until = Some(until);
        }
    }

    /// Removes all reports. After a pause, the local agent cannot tell how old they are.
    pub fn clear(&mut self) {
        self.agents.clear();
    }

    /// Removes the agents that have been silent for longer than the retention time.
    pub fn evict_stale(&mut self, now: Instant) {
        self.agents
            .retain(|_, entry| now.saturating_duration_since(entry.received_at) < RETENTION);
    }

    /// Load of an agent, if it is alive: a report of this or a newer incarnation has arrived within
    /// [`REPORT_VALIDITY`].
    pub fn load(&self, node: &str, incarnation: u32, now: Instant) -> Option<Load> {
        Some(self.alive(node, incarnation, now)?.load)
    }

    /// Candidate for a new flow, if the agent is alive.
    pub fn flow_candidate(&self, node: &str, incarnation: u32, local: bool, now: Instant) -> Option<Candidate> {
        let entry = self.alive(node, incarnation, now)?;
        Some(Candidate {
            local,
            load: entry.load,
            pending: entry.pending_flows.count(now),
            mean_busy: entry.usage.mean(),
        })
    }

    /// Candidate for a request, if the agent is alive and not excluded after a refusal or failure.
    pub fn request_candidate(&self, node: &str, incarnation: u32, local: bool, now: Instant) -> Option<Candidate> {
        let entry = self.alive(node, incarnation, now)?;
        if entry.excluded_until.is_some_and(|until| now < until) {
            return None;
        }
        Some(Candidate {
            local,
            load: entry.load,
            pending: entry.pending_requests.count(now),
            mean_busy: entry.usage.mean(),
        })
    }

    fn alive(&self, node: &str, incarnation: u32, now: Instant) -> Option<&Entry> {
        let entry = self.agents.get(node)?;
        let fresh = now.saturating_duration_since(entry.received_at) < REPORT_VALIDITY;
        (fresh && entry.load.incarnation >= incarnation).then_some(entry)
    }

    /// Records that the local node has placed a flow on an agent.
    pub fn record_flow(&mut self, node: &str, now: Instant) {
        if let Some(entry) = self.agents.get_mut(node) {
            entry.pending_flows.add(now);
        }
    }

    /// Records that the local node offers a request to an agent.
    pub fn record_request(&mut self, node: &str, now: Instant) {
        if let Some(entry) = self.agents.get_mut(node) {
            entry.pending_requests.add(now);
        }
    }

    /// Records the end of an offered request. Many short requests end between two reports. If they counted until the
    /// next report, an agent would get at most as many of them as it has slots.
    pub fn record_request_end(&mut self, node: &str, placed: Instant) {
        if let Some(entry) = self.agents.get_mut(node) {
            entry.pending_requests.remove(placed);
        }
    }
}

impl Entry {
    fn new(load: Load, received_at: Instant) -> Self {
        let mut usage = Usage::default();
        usage.record(load.slot_ms, received_at);
        Self {
            load,
            received_at,
            usage,
            pending_flows: Pending::default(),
            pending_requests: Pending::default(),
            excluded_until: None,
        }
    }
}

impl Candidate {
    fn connections(&self) -> u32 {
        self.load.connections.saturating_add(self.pending)
    }

    /// Share of the connection limit that is in use.
    fn utilization(&self) -> f64 {
        f64::from(self.connections()) / f64::from(self.load.connection_limit.max(1))
    }

    fn accepts_flows(&self) -> bool {
        !self.load.draining && self.connections() < self.load.connection_limit
    }

    /// Number of slots that are free for short or long work.
    fn free_slots(&self, long: bool) -> u32 {
        let free = u32::from(self.load.free_slots()).saturating_sub(self.pending);
        if !long {
            return free;
        }
        let free_for_long = u32::from(self.load.long_limit.saturating_sub(self.load.long)).saturating_sub(self.pending);
        free.min(free_for_long)
    }

    /// Number of waiting requests per slot.
    fn queued_per_slot(&self) -> f64 {
        let waiting = u32::from(self.load.queued) + self.pending;
        f64::from(waiting) / f64::from(self.load.slots.max(1))
    }
}

/// Chooses the agent for a new flow by the power of two choices: the less utilized of two random candidates. Candidates
/// of the local data centre are preferred as long as that keeps the utilization balanced.
pub fn choose_for_flow(candidates: &[Candidate], rng: &mut impl Rng) -> Option<Choice> {
    // Peers place flows too, which no report includes yet. This assumes that each of them has placed as many as the
    // local agent. With local placements alone the imbalance was 1.33 at 700 new flows between two reports.
    let placing_agents = u32::try_from(candidates.len()).unwrap_or(u32::MAX);
    let candidates: &[Candidate] = &candidates
        .iter()
        .map(|candidate| Candidate {
            pending: candidate.pending.saturating_mul(placing_agents),
            ..*candidate
        })
        .collect::<Vec<_>>();
    let mut usable: Vec<usize> = usable_indices(candidates, Candidate::accepts_flows);
    let passes_warm_up = |index: &usize| {
        let percent = candidates[*index].load.warm_percent;
        percent >= 100 || rng.random_range(0..100) < percent
    };
    let warm: Vec<usize> = usable.iter().copied().filter(passes_warm_up).collect();
    if !warm.is_empty() {
        usable = warm;
    }
    let local: Vec<usize> = usable
        .iter()
        .copied()
        .filter(|&index| candidates[index].local)
        .collect();
    let remote: Vec<usize> = usable
        .iter()
        .copied()
        .filter(|&index| !candidates[index].local)
        .collect();
    if local.is_empty() || remote.is_empty() {
        return less_utilized_of_two(candidates, &usable, "only data centre", rng);
    }
    let choice = less_utilized_of_two(candidates, &local, "own data centre", rng)?;
    let chosen = &candidates[choice.index];
    let one_flow = 1.0 / f64::from(chosen.load.connection_limit.max(1));
    let local_is_overused =
        mean_utilization(candidates, &local) > MAX_LOCAL_RATIO * mean_utilization(candidates, &remote) + one_flow;
    if !local_is_overused
        && chosen.utilization() <= MAX_LOCAL_IMBALANCE * mean_utilization(candidates, &usable) + one_flow
    {
        return Some(choice);
    }
    less_utilized_of_two(candidates, &usable, "own data centre is fuller", rng)
}

/// Chooses a peer for a request that has no free slot at the local agent: a peer with free slots, in the local data
/// centre if possible, else a peer with a much shorter queue.
pub fn choose_for_request(local_load: &Load, peers: &[Candidate], long: bool, rng: &mut impl Rng) -> Option<Choice> {
    for (local, reason) in [(true, "free slots"), (false, "free slots in another data centre")] {
        let free = |peer: &Candidate| u32::from(peer.local == local && !peer.load.draining) * peer.free_slots(long);
        if let Some(index) = weighted_random(peers, |peer| f64::from(free(peer)), rng) {
            return Some(Choice { index, reason });
        }
    }
    let usable = usable_indices(peers, |peer| !peer.load.draining);
    let shortest = usable
        .into_iter()
        .min_by(|&a, &b| peers[a].queued_per_slot().total_cmp(&peers[b].queued_per_slot()))?;
    let local_queue = f64::from(local_load.queued) / f64::from(local_load.slots.max(1));
    // A difference of less than one request per slot can arise between two reports.
    (local_queue > peers[shortest].queued_per_slot() + 1.0).then_some(Choice {
        index: shortest,
        reason: "shorter queue",
    })
}

/// Chooses, with the probability `share`, a peer for a request that the local agent could run: one that is less busy
/// than the mean. This equalizes the load of the agents of a service.
pub fn choose_for_offload(share: f64, peers: &[Candidate], mean: f64, rng: &mut impl Rng) -> Option<Choice> {
    if !rng.random_bool(share.clamp(0.0, 1.0)) {
        return None;
    }
    // The moving average is used because the reported number of busy slots is outdated after a few short requests.
    let deficit = |peer: &Candidate| match peer.mean_busy {
        Some(busy) if !peer.load.draining && peer.pending < u32::from(peer.load.slots) => (mean - busy).max(0.0),
        _ => 0.0,
    };
    let index = weighted_random(peers, deficit, rng)?;
    Some(Choice {
        index,
        reason: "less busy than the mean",
    })
}

/// Baseline: a random candidate.
pub fn choose_random(candidates: &[Candidate], rng: &mut impl Rng) -> Option<Choice> {
    let usable = usable_indices(candidates, |candidate| !candidate.load.draining);
    let index = *usable.get(rng.random_range(0..usable.len().max(1)))?;
    Some(Choice {
        index,
        reason: "random",
    })
}

/// Baseline: the candidates round-robin. `turn` is the number of previous choices.
pub fn choose_round_robin(candidates: &[Candidate], turn: usize) -> Option<Choice> {
    let usable = usable_indices(candidates, |candidate| !candidate.load.draining);
    let index = *usable.get(turn.checked_rem(usable.len())?)?;
    Some(Choice {
        index,
        reason: "round robin",
    })
}

/// Baseline: a random one of the candidates with the lowest reported value of `key`.
pub fn choose_least_loaded(candidates: &[Candidate], key: impl Fn(&Load) -> u32, rng: &mut impl Rng) -> Option<Choice> {
    let usable = usable_indices(candidates, |candidate| !candidate.load.draining);
    let least = usable.iter().map(|&index| key(&candidates[index].load)).min()?;
    let equal: Vec<usize> = usable
        .into_iter()
        .filter(|&index| key(&candidates[index].load) == least)
        .collect();
    Some(Choice {
        index: equal[rng.random_range(0..equal.len())],
        reason: "least reported load",
    })
}

fn usable_indices(candidates: &[Candidate], usable: impl Fn(&Candidate) -> bool) -> Vec<usize> {
    (0..candidates.len())
        .filter(|&index| usable(&candidates[index]))
        .collect()
}

fn mean_utilization(candidates: &[Candidate], of: &[usize]) -> f64 {
    let sum: f64 = of.iter().map(|&index| candidates[index].utilization()).sum();
    sum / f64::from(u32::try_from(of.len()).unwrap_or(u32::MAX).max(1))
}

fn less_utilized_of_two(
    candidates: &[Candidate],
    of: &[usize],
    reason: &'static str,
    rng: &mut impl Rng,
) -> Option<Choice> {
    if of.is_empty() {
        return None;
    }
    let first = rng.random_range(0..of.len());
    let mut second = rng.random_range(0..of.len());
    if second == first {
        second = (second + 1) % of.len();
    }
    let (first, second) = (of[first], of[second]);
    let index = if candidates[second].utilization() < candidates[first].utilization() {
        second
    } else {
        first
    };
    Some(Choice { index, reason })
}

/// Random index with a probability proportional to its weight. If each agent took the best peer, agents that decide at
/// the same time from the same reports would all choose the same one.
fn weighted_random(candidates: &[Candidate], weight: impl Fn(&Candidate) -> f64, rng: &mut impl Rng) -> Option<usize> {
    let total: f64 = candidates.iter().map(&weight).sum();
    if total <= 0.0 {
        return None;
    }
    let mut point = rng.random_range(0.0..total);
    for (index, candidate) in candidates.iter().enumerate() {
        let weight = weight(candidate);
        if weight > 0.0 && point < weight {
            return Some(index);
        }
        point -= weight;
    }
    (0..candidates.len())
        .rev()
        .find(|&index| weight(&candidates[index]) > 0.0)
}
