//! Admission control for new flows at an agent.
//!
//! In a burst, or when all clients return after a power failure, more requests arrive than the backend servers of a
//! service can run. A backend server refuses requests that exceed its queue, and resets flows under heavier overload.
//! Each refusal or reset costs the client one of its few retries, or a request that must not be repeated. A SYN that
//! waits in the agent's queue costs nothing: it is delivered as soon as there is room, urgent ones first. The client
//! retransmits it after 200 and 600 ms, and the balancer sends each copy to another agent.

use std::{
    net::Ipv4Addr,
    time::{Duration, Instant},
};

use crate::state::steering::segment::Flow;

/// Requests per slot, running or queued, from which on a backend server gets no new flow of an urgent route. Backend
/// servers queue a few requests per slot.
const URGENT_WORK_PER_SLOT: u32 = 5;
/// The same limit for all other routes. It is lower, so that room is left for urgent requests.
const NORMAL_WORK_PER_SLOT: u32 = 3;
/// Share of an urgent route's response-time goal that the expected response time may take for a SYN to be admitted.
const URGENT_GOAL_SHARE: f64 = 0.8;
/// The same share for all other routes.
const NORMAL_GOAL_SHARE: f64 = 0.4;
/// Largest priority value that counts as urgent; 0 is the highest priority.
const MAX_URGENT_PRIORITY: u8 = 1;
/// Number of the last copy of a SYN that a client sends.
const LAST_COPY: u32 = 2;
/// Maximum time in the queue. After it, the next copy is on the way to another agent.
const MAX_WAIT: Duration = Duration::from_millis(190);
/// The same limit for the last copy. The client's try ends 800 ms after it.
const MAX_LAST_WAIT: Duration = Duration::from_millis(700);
/// Maximum length of the queue. More SYNs could not be delivered within their time limit.
const MAX_QUEUED: usize = 256;

/// Current work of a backend server.
#[derive(Debug, Clone, Copy)]
pub struct Work {
    /// Maximum number of concurrent requests; 0 if the backend server has not reported it.
    pub slots: u32,
    /// Requests that are running, queued, or expected on flows that were just opened.
    pub requests: u32,
    /// Mean service time of a request, without queueing; zero if it is not known.
    pub service_time: Duration,
}

/// SYN of a new flow.
#[derive(Debug, Clone, Copy)]
pub struct Syn {
    /// Flow.
    pub flow: Flow,
    /// Response-time goal of the route.
    pub goal: Duration,
    /// Priority of the route; 0 is the highest.
    pub priority: u8,
    /// Number of earlier copies that the client has sent.
    pub copy: u32,
    /// Balancer that received the SYN from the client.
    pub balancer: Ipv4Addr,
    /// Number of times that agents have forwarded the SYN.
    pub hops: u8,
}

impl Syn {
    /// Whether a backend server with this work can be expected to answer the flow's first request well within the goal.
    fn has_room(&self, work: Work) -> bool {
        let (work_per_slot, share) = if self.priority <= MAX_URGENT_PRIORITY {
            (URGENT_WORK_PER_SLOT, URGENT_GOAL_SHARE)
        } else {
            (NORMAL_WORK_PER_SLOT, NORMAL_GOAL_SHARE)
        };
        let slots = work.slots.max(1);
        let rounds = f64::from(work.requests + 1) / f64::from(slots);
        let answered_after = work.service_time.mul_f64(rounds);
        let in_time = work.requests < slots.saturating_mul(work_per_slot) && answered_after <= self.goal.mul_f64(share);
        work.slots == 0 || work.requests < work.slots || in_time
    }

    /// Whether this is the last copy that the client sends.
    fn is_last(&self) -> bool {
        self.copy >= LAST_COPY
    }

    fn max_wait(&self) -> Duration {
        if self.is_last() { MAX_LAST_WAIT } else { MAX_WAIT }
    }
}

/// Outcome of offering a SYN.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The backend server has room for the flow.
    Admitted,
    /// The SYN was added to the queue.
    Queued,
    /// The queue is full.
    QueueFull,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    syn: Syn,
    expires_at: Instant,
}

/// Queue of SYNs that wait for room at a backend server.
#[derive(Debug, Clone, Default)]
pub struct Queue {
    syns: Vec<Entry>,
}

impl Queue {
    /// Offers a SYN, whose flow must not be in the queue.
    pub fn offer(&mut self, syn: Syn, work: Work, now: Instant) -> Outcome {
        if syn.has_room(work) {
            return Outcome::Admitted;
        }
        self.hold(syn, now)
    }

    /// Adds a SYN, whose flow must not be in the queue.
    pub fn hold(&mut self, syn: Syn, now: Instant) -> Outcome {
        if self.syns.len() >= MAX_QUEUED {
            return Outcome::QueueFull;
        }
        let expires_at = now + syn.max_wait();
        self.syns.push(Entry { syn, expires_at });
        Outcome::Queued
    }

    /// Removes the SYN of a flow. Returns whether it was in the queue.
    pub fn remove(&mut self, flow: Flow) -> bool {
        !self.remove_where(|entry| entry.syn.flow == flow).is_empty()
    }

    /// Removes and returns the next SYN for which there is room: by priority, last copies after earlier ones because
    /// their requests can hardly meet the goal any more, then by the end of the wait.
    pub fn next(&mut self, work: Work) -> Option<Syn> {
        let candidates = self.syns.iter().enumerate();
        let (index, _) = candidates
            .filter(|(_, entry)| entry.syn.has_room(work))
            .min_by_key(|(_, entry)| (entry.syn.priority, entry.syn.is_last(), entry.expires_at))?;
        Some(self.syns.remove(index).syn)
    }

    /// Removes expired SYNs and returns their flows. They must not be reset, because another agent may have accepted a
    /// copy.
    pub fn expire(&mut self, now: Instant) -> Vec<Flow> {
        self.remove_where(|entry| now >= entry.expires_at)
    }

    /// Removes and returns all SYNs.
    pub fn take_all(&mut self) -> Vec<Syn> {
        self.syns.drain(..).map(|entry| entry.syn).collect()
    }

    /// Removes all SYNs and returns their flows.
    pub fn clear(&mut self) -> Vec<Flow> {
        self.remove_where(|_| true)
    }

    fn remove_where(&mut self, predicate: impl Fn(&Entry) -> bool) -> Vec<Flow> {
        let removed = self.syns.extract_if(.., |entry| predicate(entry));
        removed.map(|entry| entry.syn.flow).collect()
    }

    /// Number of SYNs that are served before a new one of the given priority, which is not the last copy.
    pub fn ahead_of(&self, priority: u8) -> u32 {
        let ahead = self.syns.iter().filter(|entry| entry.syn.priority <= priority);
        u32::try_from(ahead.count()).unwrap_or(u32::MAX)
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.syns.is_empty()
    }

    /// Number of SYNs in the queue.
    pub fn len(&self) -> u32 {
        u32::try_from(self.syns.len()).unwrap_or(u32::MAX)
    }
}
