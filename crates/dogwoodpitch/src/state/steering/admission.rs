//! Admission of new flows by the agent of a loaded backend server.
//!
//! Answers a burst, and the return of all clients after a loss of power: more requests arrive than the backend servers of
//! a service can run. A backend server refuses what exceeds its queue, and resets flows far beyond that, each of which
//! costs the client one of its few tries, or a request that must not be repeated. A SYN that waits at the agent costs
//! nothing: it is handed over as soon as there is room, urgent ones first. The client repeats it after 200 and 600 ms,
//! and the balancer offers each copy to another agent.

use std::{
    net::Ipv4Addr,
    time::{Duration, Instant},
};

use crate::state::steering::segment::Flow;

/// Requests for each slot, running or waiting, beyond which a backend server gets no new flow of an urgent route. Backend
/// servers queue a few requests for each slot.
const URGENT_WORK_PER_SLOT: u32 = 5;
/// The same for all other routes, so that urgent requests find room.
const USUAL_WORK_PER_SLOT: u32 = 3;
/// Part of a route's response-time goal that may pass until a request of an urgent route is answered.
const URGENT_SHARE: f64 = 0.8;
/// The same for all other routes.
const USUAL_SHARE: f64 = 0.4;
/// Lowest priority that counts as urgent; 0 is the highest.
const URGENT: u8 = 1;
/// Copies of a SYN after which the client sends no further one.
const LAST_COPY: u32 = 2;
/// Longest wait of a SYN: its next copy is on the way to another agent then.
const MAX_WAIT: Duration = Duration::from_millis(190);
/// The same for the last copy; the client's try ends 800 ms after it.
const MAX_LAST_WAIT: Duration = Duration::from_millis(700);
/// SYNs that wait at the same time. More cannot be handed over within their wait.
const MAX_WAITING: usize = 256;

/// Work of a backend server.
#[derive(Debug, Clone, Copy)]
pub struct Work {
    /// Requests that run at the same time; 0 if the backend server has not told.
    pub slots: u32,
    /// Requests that run, wait or will arrive on flows that were just opened.
    pub requests: u32,
    /// Mean time that a request takes in a slot; zero if it is not known.
    pub service_time: Duration,
}

/// SYN of a new flow.
#[derive(Debug, Clone, Copy)]
pub struct Opening {
    /// Flow.
    pub flow: Flow,
    /// Time within which clients want their answer.
    pub goal: Duration,
    /// Priority of the route's requests; 0 is the highest.
    pub priority: u8,
    /// How many copies of the SYN were sent before.
    pub copy: u32,
    /// Balancer that took it from the client.
    pub balancer: Ipv4Addr,
    /// How often agents have passed it on.
    pub hops: u8,
}

impl Opening {
    /// Whether a backend server can answer the flow's first request well within the goal.
    fn has_room(&self, work: Work) -> bool {
        let (work_per_slot, share) = if self.priority <= URGENT {
            (URGENT_WORK_PER_SLOT, URGENT_SHARE)
        } else {
            (USUAL_WORK_PER_SLOT, USUAL_SHARE)
        };
        let slots = work.slots.max(1);
        let rounds = f64::from(work.requests + 1) / f64::from(slots);
        let answered_after = work.service_time.mul_f64(rounds);
        let in_time = work.requests < slots * work_per_slot && answered_after <= self.goal.mul_f64(share);
        work.slots == 0 || work.requests < work.slots || in_time
    }

    /// Whether the client sends no further copy.
    fn is_last(&self) -> bool {
        self.copy >= LAST_COPY
    }

    fn max_wait(&self) -> Duration {
        if self.is_last() { MAX_LAST_WAIT } else { MAX_WAIT }
    }
}

/// What becomes of a SYN.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Offer {
    /// The backend server has room for it.
    Taken,
    /// It waits for room.
    Waiting,
    /// Too many wait already.
    Refused,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    opening: Opening,
    expires_at: Instant,
}

/// SYNs that wait for room at a backend server.
#[derive(Debug, Clone, Default)]
pub struct Queue {
    waiting: Vec<Entry>,
}

impl Queue {
    /// Takes a SYN of a flow that does not wait.
    pub fn offer(&mut self, opening: Opening, work: Work, now: Instant) -> Offer {
        if opening.has_room(work) {
            return Offer::Taken;
        }
        if self.waiting.len() >= MAX_WAITING {
            return Offer::Refused;
        }
        let expires_at = now + opening.max_wait();
        self.waiting.push(Entry { opening, expires_at });
        Offer::Waiting
    }

    /// Removes the SYN of a flow. Returns whether it waited.
    pub fn forget(&mut self, flow: Flow) -> bool {
        !self.remove(|entry| entry.opening.flow == flow).is_empty()
    }

    /// Next SYN for which there is room: urgent ones first, then those whose request can still meet its goal, then the
    /// ones that have waited longest.
    pub fn next(&mut self, work: Work) -> Option<Opening> {
        let candidates = self.waiting.iter().enumerate();
        let (index, _) = candidates
            .filter(|(_, entry)| entry.opening.has_room(work))
            .min_by_key(|(_, entry)| (entry.opening.priority, entry.opening.is_last(), entry.expires_at))?;
        Some(self.waiting.remove(index).opening)
    }

    /// Removes the SYNs that have waited for too long. They are not reset: another agent may have taken a copy.
    pub fn expire(&mut self, now: Instant) -> Vec<Flow> {
        self.remove(|entry| now >= entry.expires_at)
    }

    /// Removes all SYNs.
    pub fn clear(&mut self) -> Vec<Flow> {
        self.remove(|_| true)
    }

    fn remove(&mut self, admits: impl Fn(&Entry) -> bool) -> Vec<Flow> {
        let removed = self.waiting.extract_if(.., |entry| admits(entry));
        removed.map(|entry| entry.opening.flow).collect()
    }

    /// Whether no SYN waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Number of SYNs that wait.
    pub fn waiting(&self) -> u32 {
        u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)
    }
}
