//! Chooses the agent of a new flow and the peer that takes over a request.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use rand::{Rng, RngExt};

use crate::state::load::Load;

/// How long a load report proves that an agent is alive.
pub const REPORT_VALIDITY: Duration = Duration::from_secs(2);
/// How long the last report of a silent agent is kept, so that a late copy of an older one is recognized.
const FORGET: Duration = Duration::from_mins(1);
/// Agents in the table, to bound memory whatever the frames say.
const MAX_AGENTS: usize = 4_096;
/// Own placements on one agent that are remembered.
const MAX_RECENT: usize = 1_024;
/// How long a flow takes from its placement to the connection count of its agent: a round trip and the handshake.
const FLOW_DELAY: Duration = Duration::from_millis(100);
/// How long an offered request takes to show in the load of its agent.
const REQUEST_DELAY: Duration = Duration::from_millis(20);
/// Longest time that an own placement counts if no report follows it.
const MAX_RECENT_AGE: Duration = Duration::from_secs(1);
/// How long a peer gets no request after it refused one although it reported free slots.
const AVOID_REFUSED: Duration = Duration::from_millis(20);
/// How long a peer gets no request after an offer to it failed.
const AVOID_FAILED: Duration = Duration::from_secs(1);
/// The own data centre is preferred until its agents are this much fuller than those of the others.
const NEAR_FACTOR: f64 = 1.25;
/// A flow stays in the own data centre only if its agent is at most this much fuller than the mean. The target of 1.10
/// for the imbalance leaves no room for more.
const NEAR_IMBALANCE: f64 = 1.05;

/// Shortest time between two counters that gives a mean.
const MIN_USAGE_INTERVAL: Duration = Duration::from_millis(100);
/// Time over which the load of an agent is averaged.
const USAGE_MEMORY: Duration = Duration::from_secs(1);
/// Change of the share for a load of twice the mean.
const GAIN: f64 = 0.1;
/// Part of its requests that an agent hands over at most although it has a free slot.
const MAX_SHARE: f64 = 0.9;
/// Mean number of busy slots below which agents are not equalized further.
const MIN_MEAN_BUSY: f64 = 0.5;

/// One agent that may be chosen.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Whether the agent is in the data centre of the one that decides.
    pub local: bool,
    /// Last reported load.
    pub load: Load,
    /// Own placements that the load does not contain yet.
    pub pending: u32,
    /// Mean number of busy slots over the last reports, if there are two.
    pub mean_busy: Option<f64>,
}

/// Index of the chosen candidate and the reason for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice {
    /// Index in the list of candidates.
    pub index: usize,
    /// Reason.
    pub reason: &'static str,
}

/// Loads of peers by node name.
#[derive(Debug, Clone, Default)]
pub struct Table {
    agents: HashMap<String, Entry>,
}

#[derive(Debug, Clone)]
struct Entry {
    load: Load,
    heard: Instant,
    usage: Usage,
    flows: Pending,
    requests: Pending,
    avoid_until: Option<Instant>,
}

/// Times of own placements that no report contains yet.
#[derive(Debug, Clone, Default)]
pub struct Pending(VecDeque<Instant>);

impl Pending {
    /// Adds a placement.
    pub fn add(&mut self, now: Instant) {
        if self.0.len() == MAX_RECENT {
            self.0.pop_front();
        }
        self.0.push_back(now);
    }

    /// Drops placements that a load of the moment `now` contains.
    pub fn remove_reported(&mut self, now: Instant, delay: Duration) {
        while self
            .0
            .front()
            .is_some_and(|placed| now.saturating_duration_since(*placed) >= delay)
        {
            self.0.pop_front();
        }
    }

    /// Drops flows that the agent's own connection count contains.
    pub fn remove_reported_flows(&mut self, now: Instant) {
        self.remove_reported(now, FLOW_DELAY);
    }

    /// Removes a placement that has ended.
    pub fn remove(&mut self, placed: Instant) {
        if let Some(index) = self.0.iter().position(|other| *other == placed) {
            self.0.remove(index);
        }
    }

    /// Number of placements.
    pub fn count(&self, now: Instant) -> u32 {
        let fresh = |placed: &&Instant| now.saturating_duration_since(**placed) < MAX_RECENT_AGE;
        u32::try_from(self.0.iter().filter(fresh).count()).unwrap_or(u32::MAX)
    }
}

/// Mean number of busy slots of one agent, from the counter in its reports.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    last: Option<(u32, Instant)>,
    mean: Option<f64>,
}

impl Usage {
    /// Records a counter.
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
        let weight = 1.0 - (-elapsed.as_secs_f64() / USAGE_MEMORY.as_secs_f64()).exp();
        self.mean = Some(self.mean.map_or(busy, |mean| mean + weight * (busy - mean)));
    }

    /// Mean number of busy slots.
    pub fn mean(&self) -> Option<f64> {
        self.mean
    }
}

/// Share of the requests of one service that an agent hands over although it has a free slot.
///
/// Flows last for hours, so a new agent has none and would stay idle while the others are half loaded. The share is
/// raised while this agent is busier than the mean of the service and lowered while it is less busy, so that it settles
/// where both are equal.
#[derive(Debug, Clone, Copy, Default)]
pub struct Offload {
    share: f64,
}

impl Offload {
    /// Adapts the share, at each report interval.
    pub fn update(&mut self, own: f64, mean: f64) {
        // Below this load a few requests are a large ratio.
        let error = (own - mean) / mean.max(MIN_MEAN_BUSY);
        self.share = (self.share + GAIN * error.clamp(-1.0, 1.0)).clamp(0.0, MAX_SHARE);
    }

    /// Share of the requests that are handed over.
    pub fn share(&self) -> f64 {
        self.share
    }
}

impl Table {
    /// Takes a report. Older reports than the known one are ignored, however late they arrive. Returns whether it was
    /// taken.
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
            entry.heard = now;
            entry.usage.record(load.slot_ms, now);
            entry.flows.remove_reported(now, FLOW_DELAY);
            entry.requests.remove_reported(now, REQUEST_DELAY);
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

    /// Takes the load in a refusal, and gives the peer no request for a moment.
    pub fn record_refusal(&mut self, node: &str, load: Load, now: Instant) {
        self.record_report(node, load, now);
        self.avoid(node, now + AVOID_REFUSED);
    }

    /// Gives a peer no request for a while after a failed offer.
    pub fn record_failure(&mut self, node: &str, now: Instant) {
        self.avoid(node, now + AVOID_FAILED);
    }

    fn avoid(&mut self, node: &str, until: Instant) {
        if let Some(entry) = self.agents.get_mut(node) {
            entry.avoid_until = Some(until);
        }
    }

    /// Forgets everything. An agent that was frozen cannot tell how old its reports are.
    pub fn clear(&mut self) {
        self.agents.clear();
    }

    /// Removes agents that have been silent for a long time.
    pub fn evict_stale(&mut self, now: Instant) {
        self.agents
            .retain(|_, entry| now.saturating_duration_since(entry.heard) < FORGET);
    }

    /// Load of an agent that is alive: a report of this or a newer incarnation has arrived within [`REPORT_VALIDITY`].
    pub fn load(&self, node: &str, incarnation: u32, now: Instant) -> Option<Load> {
        Some(self.alive(node, incarnation, now)?.load)
    }

    /// Candidate for a new flow, if the agent is alive.
    pub fn flow_candidate(&self, node: &str, incarnation: u32, local: bool, now: Instant) -> Option<Candidate> {
        let entry = self.alive(node, incarnation, now)?;
        Some(Candidate {
            local,
            load: entry.load,
            pending: entry.flows.count(now),
            mean_busy: entry.usage.mean(),
        })
    }

    /// Candidate for a request, if the agent is alive and has not just refused one.
    pub fn request_candidate(&self, node: &str, incarnation: u32, local: bool, now: Instant) -> Option<Candidate> {
        let entry = self.alive(node, incarnation, now)?;
        if entry.avoid_until.is_some_and(|until| now < until) {
            return None;
        }
        Some(Candidate {
            local,
            load: entry.load,
            pending: entry.requests.count(now),
            mean_busy: entry.usage.mean(),
        })
    }

    fn alive(&self, node: &str, incarnation: u32, now: Instant) -> Option<&Entry> {
        let entry = self.agents.get(node)?;
        let fresh = now.saturating_duration_since(entry.heard) < REPORT_VALIDITY;
        (fresh && entry.load.incarnation >= incarnation).then_some(entry)
    }

    /// Records that this node has placed a flow on an agent.
    pub fn record_flow(&mut self, node: &str, now: Instant) {
        if let Some(entry) = self.agents.get_mut(node) {
            entry.flows.add(now);
        }
    }

    /// Records that this node offers a request to an agent.
    pub fn record_request(&mut self, node: &str, now: Instant) {
        if let Some(entry) = self.agents.get_mut(node) {
            entry.requests.add(now);
        }
    }

    /// Records the end of an offered request. Many short requests end between two reports; if they counted until the
    /// next one, an agent would get no more of them than it has slots.
    pub fn record_request_end(&mut self, node: &str, placed: Instant) {
        if let Some(entry) = self.agents.get_mut(node) {
            entry.requests.remove(placed);
        }
    }
}

impl Entry {
    fn new(load: Load, heard: Instant) -> Self {
        let mut usage = Usage::default();
        usage.record(load.slot_ms, heard);
        Self {
            load,
            heard,
            usage,
            flows: Pending::default(),
            requests: Pending::default(),
            avoid_until: None,
        }
    }
}

impl Candidate {
    fn connections(&self) -> u32 {
        self.load.connections.saturating_add(self.pending)
    }

    /// Share of the connection limit in use.
    fn fullness(&self) -> f64 {
        f64::from(self.connections()) / f64::from(self.load.connection_limit.max(1))
    }

    fn takes_flows(&self) -> bool {
        !self.load.draining && self.connections() < self.load.connection_limit
    }

    /// Slots that are free for this class of work.
    fn free(&self, long: bool) -> u32 {
        let free = u32::from(self.load.free_slots()).saturating_sub(self.pending);
        if !long {
            return free;
        }
        let free_for_long = u32::from(self.load.long_limit.saturating_sub(self.load.long)).saturating_sub(self.pending);
        free.min(free_for_long)
    }

    /// Waiting work for each slot.
    fn queue(&self) -> f64 {
        let waiting = u32::from(self.load.queued) + self.pending;
        f64::from(waiting) / f64::from(self.load.slots.max(1))
    }
}

/// Chooses the agent of a new flow: the emptier one of two random candidates, in the own data centre if that does not
/// make its agents fuller than the others.
pub fn choose_for_flow(candidates: &[Candidate], rng: &mut impl Rng) -> Option<Choice> {
    // The other agents place flows as well, which no report contains yet either. Counting only the own ones gave an
    // imbalance of 1.33 at 700 new flows between two reports.
    let placing = u32::try_from(candidates.len()).unwrap_or(u32::MAX);
    let candidates: &[Candidate] = &candidates
        .iter()
        .map(|candidate| Candidate {
            pending: candidate.pending.saturating_mul(placing),
            ..*candidate
        })
        .collect::<Vec<_>>();
    let mut usable: Vec<usize> = indices(candidates, Candidate::takes_flows);
    let warm = |index: &usize| {
        let warm = candidates[*index].load.warm_percent;
        warm >= 100 || rng.random_range(0..100) < warm
    };
    let warm: Vec<usize> = usable.iter().copied().filter(warm).collect();
    if !warm.is_empty() {
        usable = warm;
    }
    let near: Vec<usize> = usable
        .iter()
        .copied()
        .filter(|&index| candidates[index].local)
        .collect();
    let far: Vec<usize> = usable
        .iter()
        .copied()
        .filter(|&index| !candidates[index].local)
        .collect();
    if near.is_empty() || far.is_empty() {
        return emptier_of_two(candidates, &usable, "only data centre", rng);
    }
    let choice = emptier_of_two(candidates, &near, "own data centre", rng)?;
    let chosen = &candidates[choice.index];
    let one_flow = 1.0 / f64::from(chosen.load.connection_limit.max(1));
    let near_is_fuller = mean(candidates, &near) > NEAR_FACTOR * mean(candidates, &far) + one_flow;
    if !near_is_fuller && chosen.fullness() <= NEAR_IMBALANCE * mean(candidates, &usable) + one_flow {
        return Some(choice);
    }
    emptier_of_two(candidates, &usable, "own data centre is fuller", rng)
}

/// Chooses a peer for a request that has no slot here: one with free slots, in the own data centre if possible, or else
/// one with a much shorter queue.
pub fn choose_for_request(own: &Load, peers: &[Candidate], long: bool, rng: &mut impl Rng) -> Option<Choice> {
    for (near, reason) in [(true, "free slots"), (false, "free slots in another data centre")] {
        let free = |peer: &Candidate| u32::from(peer.local == near && !peer.load.draining) * peer.free(long);
        if let Some(index) = weighted(peers, |peer| f64::from(free(peer)), rng) {
            return Some(Choice { index, reason });
        }
    }
    let usable = indices(peers, |peer| !peer.load.draining);
    let shortest = usable
        .into_iter()
        .min_by(|&a, &b| peers[a].queue().total_cmp(&peers[b].queue()))?;
    let own_queue = f64::from(own.queued) / f64::from(own.slots.max(1));
    // A difference of less than one request a slot is within what happens between two reports.
    (own_queue > peers[shortest].queue() + 1.0).then_some(Choice {
        index: shortest,
        reason: "shorter queue",
    })
}

/// Chooses a peer for a request that could run here, so that the agents of the service are equally busy: with the
/// probability `share`, a peer that is less busy than the mean.
pub fn choose_for_offload(share: f64, peers: &[Candidate], mean: f64, rng: &mut impl Rng) -> Option<Choice> {
    if !rng.random_bool(share.clamp(0.0, 1.0)) {
        return None;
    }
    // The number of busy slots at the moment of the report is out of date after a few short requests; the mean is not.
    let lack = |peer: &Candidate| match peer.mean_busy {
        Some(busy) if !peer.load.draining && peer.pending < u32::from(peer.load.slots) => (mean - busy).max(0.0),
        _ => 0.0,
    };
    let index = weighted(peers, lack, rng)?;
    Some(Choice {
        index,
        reason: "less busy than the mean",
    })
}

/// Baseline: any candidate.
pub fn choose_random(candidates: &[Candidate], rng: &mut impl Rng) -> Option<Choice> {
    let usable = indices(candidates, |candidate| !candidate.load.draining);
    let index = *usable.get(rng.random_range(0..usable.len().max(1)))?;
    Some(Choice {
        index,
        reason: "random",
    })
}

/// Baseline: the candidates in turn. `turn` counts the choices.
pub fn choose_round_robin(candidates: &[Candidate], turn: usize) -> Option<Choice> {
    let usable = indices(candidates, |candidate| !candidate.load.draining);
    let index = *usable.get(turn.checked_rem(usable.len())?)?;
    Some(Choice {
        index,
        reason: "round robin",
    })
}

/// Baseline: the candidate with the least reported value of `key`.
pub fn choose_least_loaded(candidates: &[Candidate], key: impl Fn(&Load) -> u32, rng: &mut impl Rng) -> Option<Choice> {
    let usable = indices(candidates, |candidate| !candidate.load.draining);
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

fn indices(candidates: &[Candidate], usable: impl Fn(&Candidate) -> bool) -> Vec<usize> {
    (0..candidates.len())
        .filter(|&index| usable(&candidates[index]))
        .collect()
}

fn mean(candidates: &[Candidate], of: &[usize]) -> f64 {
    let sum: f64 = of.iter().map(|&index| candidates[index].fullness()).sum();
    sum / f64::from(u32::try_from(of.len()).unwrap_or(u32::MAX).max(1))
}

fn emptier_of_two(candidates: &[Candidate], of: &[usize], reason: &'static str, rng: &mut impl Rng) -> Option<Choice> {
    if of.is_empty() {
        return None;
    }
    let first = rng.random_range(0..of.len());
    let mut second = rng.random_range(0..of.len());
    if second == first {
        second = (second + 1) % of.len();
    }
    let (first, second) = (of[first], of[second]);
    let index = if candidates[second].fullness() < candidates[first].fullness() {
        second
    } else {
        first
    };
    Some(Choice { index, reason })
}

/// Random index with a probability in proportion to its weight. Agents that decide at the same time on the same reports
/// would all choose the same peer if each took the best one.
fn weighted(candidates: &[Candidate], weight: impl Fn(&Candidate) -> f64, rng: &mut impl Rng) -> Option<usize> {
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
