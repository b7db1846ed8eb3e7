//! Searches for the agent that holds a flow, by queries to all agents of the service.

use std::{
    collections::{BTreeSet, HashMap},
    net::Ipv4Addr,
    time::{Duration, Instant},
};

use crate::state::steering::{evidence::Denials, segment::Flow};

/// Time after which a search without a result expires. It ends before the client retransmits, after 200 ms, so that the
/// retransmission can start a new search.
const TIMEOUT: Duration = Duration::from_millis(180);
/// Time after which a query counts as unanswered. Most answers take less than a tenth of it.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(50);
/// How long the result that no agent holds a flow is cached.
const NOT_FOUND_TTL: Duration = Duration::from_secs(2);
/// Maximum number of concurrent searches. Packets that would start more are dropped; the client retransmits them.
const MAX_SEARCHES: usize = 1_024;

#[derive(Debug, Clone)]
struct Search {
    awaited: BTreeSet<Ipv4Addr>,
    denials: Denials,
    client_ack: u32,
    expires_at: Instant,
}

/// State of a search after a denial.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Progress {
    /// Answers are outstanding, or no search for the flow is running.
    Pending,
    /// All queried agents denied the flow.
    NotFound {
        /// Last acknowledgment of the client, from which the reset takes its sequence number.
        client_ack: u32,
        /// Answers to the search.
        denials: Denials,
    },
}

/// Running searches and cached negative results of one agent.
#[derive(Debug, Clone, Default)]
pub struct Searches {
    searches: HashMap<Flow, Search>,
    not_found: HashMap<Flow, Instant>,
}

impl Searches {
    /// Starts a search. Returns `false` if one for the flow is running already or too many are.
    pub fn start(&mut self, flow: Flow, queried: BTreeSet<Ipv4Addr>, client_ack: u32, now: Instant) -> bool {
        let running = self.searches.get(&flow).is_some_and(|search| now < search.expires_at);
        if running || (self.searches.len() >= MAX_SEARCHES && !self.searches.contains_key(&flow)) {
            return false;
        }
        let search = Search {
            denials: Denials {
                started_at: now,
                queried: queried.len(),
                silent: 0,
            },
            awaited: queried,
            client_ack,
            expires_at: now + TIMEOUT,
        };
        self.searches.insert(flow, search);
        true
    }

    /// Records that an agent does not hold the flow.
    pub fn record_denial(&mut self, flow: Flow, agent: Ipv4Addr, now: Instant) -> Progress {
        let Some(search) = self.searches.get_mut(&flow) else {
            return Progress::Pending;
        };
        search.awaited.remove(&agent);
        self.finish_if_denied_by_all(flow, now)
    }

    /// Running searches with queries that have not been answered in time, and the agents that have not answered.
    pub fn unanswered(&self, now: Instant) -> Vec<(Flow, BTreeSet<Ipv4Addr>)> {
        let is_due = |search: &Search| now >= search.denials.started_at + ANSWER_TIMEOUT;
        let due = self.searches.iter().filter(|(_, search)| is_due(search));
        due.map(|(flow, search)| (*flow, search.awaited.clone())).collect()
    }

    /// Records that the answer of a silent agent is not waited for any longer.
    pub fn record_silence(&mut self, flow: Flow, agent: Ipv4Addr, now: Instant) -> Progress {
        if let Some(search) = self.searches.get_mut(&flow) {
            search.denials.silent += usize::from(search.awaited.contains(&agent));
        }
        self.record_denial(flow, agent, now)
    }

    /// Finishes the search if no answer is outstanding.
    pub fn finish_if_denied_by_all(&mut self, flow: Flow, now: Instant) -> Progress {
        let Some(search) = self.searches.get(&flow).filter(|search| search.awaited.is_empty()) else {
            return Progress::Pending;
        };
        let (client_ack, denials) = (search.client_ack, search.denials);
        self.searches.remove(&flow);
        self.not_found.insert(flow, now + NOT_FOUND_TTL);
        Progress::NotFound { client_ack, denials }
    }

    /// Ends all running searches without a result.
    pub fn abandon_running(&mut self) {
        self.searches.clear();
    }

    /// Ends the search because the owner is known.
    pub fn record_owner(&mut self, flow: Flow) {
        self.searches.remove(&flow);
        self.not_found.remove(&flow);
    }

    /// Whether a recent search found no owner.
    pub fn is_not_found(&self, flow: Flow, now: Instant) -> bool {
        self.not_found.get(&flow).is_some_and(|until| now < *until)
    }

    /// Removes expired results and searches.
    pub fn expire(&mut self, now: Instant) {
        self.searches.retain(|_, search| now < search.expires_at);
        self.not_found.retain(|_, until| now < *until);
    }
}
