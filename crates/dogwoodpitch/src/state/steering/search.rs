//! Searches for the owner of a flow among the agents of a service.

use std::{
    collections::{BTreeSet, HashMap},
    net::Ipv4Addr,
    time::{Duration, Instant},
};

use crate::state::steering::segment::Flow;

/// Time until a search counts as unanswered. A client repeats its packet after 200 ms.
const TIMEOUT: Duration = Duration::from_millis(180);
/// How long the result that nobody holds a flow is remembered.
const DENIED: Duration = Duration::from_secs(2);
/// Searches at the same time. Packets beyond are dropped; the client repeats them.
const MAX_PENDING: usize = 1_024;

#[derive(Debug, Clone)]
struct Pending {
    waiting: BTreeSet<Ipv4Addr>,
    client_ack: u32,
    expires_at: Instant,
}

/// State of a search after an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Progress {
    /// Answers are missing, or no search is known.
    Waiting,
    /// All agents denied the flow; the client's last acknowledgment is given for the reset.
    Nobody {
        /// Last acknowledgment of the client.
        client_ack: u32,
    },
}

/// Searches of one agent.
#[derive(Debug, Clone, Default)]
pub struct Searches {
    pending: HashMap<Flow, Pending>,
    denied: HashMap<Flow, Instant>,
}

impl Searches {
    /// Begins a search, unless one for the flow is running or too many are.
    pub fn begin(&mut self, flow: Flow, asked: BTreeSet<Ipv4Addr>, client_ack: u32, now: Instant) -> bool {
        let running = self.pending.get(&flow).is_some_and(|pending| now < pending.expires_at);
        if running || (self.pending.len() >= MAX_PENDING && !self.pending.contains_key(&flow)) {
            return false;
        }
        let pending = Pending {
            waiting: asked,
            client_ack,
            expires_at: now + TIMEOUT,
        };
        self.pending.insert(flow, pending);
        true
    }

    /// An agent does not hold the flow, or cannot be waited for.
    pub fn deny(&mut self, flow: Flow, agent: Ipv4Addr, now: Instant) -> Progress {
        let Some(pending) = self.pending.get_mut(&flow) else {
            return Progress::Waiting;
        };
        pending.waiting.remove(&agent);
        self.settle(flow, now)
    }

    /// Ends a search that nobody is left to answer.
    pub fn settle(&mut self, flow: Flow, now: Instant) -> Progress {
        let Some(pending) = self.pending.get(&flow).filter(|pending| pending.waiting.is_empty()) else {
            return Progress::Waiting;
        };
        let client_ack = pending.client_ack;
        self.pending.remove(&flow);
        self.denied.insert(flow, now + DENIED);
        Progress::Nobody { client_ack }
    }

    /// The owner was found.
    pub fn claim(&mut self, flow: Flow) {
        self.pending.remove(&flow);
        self.denied.remove(&flow);
    }

    /// Whether nobody held the flow a moment ago.
    pub fn is_denied(&self, flow: Flow, now: Instant) -> bool {
        self.denied.get(&flow).is_some_and(|until| now < *until)
    }

    /// Forgets old results and unanswered searches.
    pub fn expire(&mut self, now: Instant) {
        self.pending.retain(|_, pending| now < pending.expires_at);
        self.denied.retain(|_, until| now < *until);
    }
}
