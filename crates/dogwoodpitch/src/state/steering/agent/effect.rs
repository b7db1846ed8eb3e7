//! Effects of an agent's decisions, and the notes that nodes send one another.

use std::{net::Ipv4Addr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::state::steering::{evidence::Evidence, segment::Flow, table::Entry};

/// How a packet reached this agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hop {
    /// Node that forwarded the packet to this agent.
    pub sender: Ipv4Addr,
    /// Balancer that received the packet from the client.
    pub balancer: Ipv4Addr,
    /// Number of times that agents have forwarded the packet.
    pub hops: u8,
    /// Whether the balancer does not know the owner of the flow. The owner then notifies it.
    pub guessed: bool,
    /// Version of the balancer's routes.
    pub version: u64,
}

impl Hop {
    pub(super) fn origin(&self) -> Origin {
        Origin {
            balancer: self.balancer,
            hops: self.hops,
        }
    }
}

/// Path of a packet up to this agent, as far as it is needed to forward the packet.
#[derive(Debug, Clone, Copy)]
pub(super) struct Origin {
    pub(super) balancer: Ipv4Addr,
    pub(super) hops: u8,
}

impl Origin {
    /// Effect that forwards the packet to another agent.
    pub(super) fn forward(self, to: Ipv4Addr) -> Effect {
        Effect::Forward {
            to,
            hops: self.hops + 1,
            balancer: self.balancer,
        }
    }

    /// Path of the last packet of a flow. The balancer is the unspecified address if it is unknown.
    pub(super) fn of(entry: Option<Entry>) -> Self {
        Self {
            balancer: entry.and_then(|entry| entry.balancer).unwrap_or(Ipv4Addr::UNSPECIFIED),
            hops: entry.map_or(0, |entry| entry.hops),
        }
    }
}

/// Notification about flows from one node to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Note {
    /// To a balancer: the sender holds the flow.
    Learn(Flow),
    /// Answer to a query: the sender holds the flow.
    Claim(Flow),
    /// Answer to a query: the sender's backend server does not hold the flow.
    Deny(Flow),
    /// The sender holds these flows, and the receiver, a home of each, stores pointers to it.
    Point(Vec<Flow>),
    /// The receiver's backend server was draining in the last report before the receiver restarted.
    WasDraining,
    /// The receiver's backend server holds these flows, by the pointers that the receiver sent before it restarted.
    Restore(Vec<Flow>),
    /// To the balancer that received the SYN of the flow from the client: no backend server accepts the flow.
    Refuse(Flow),
}

/// Effect of a decision, which the caller executes. "The packet" is the one that the decision was made on.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Delivers the packet to the backend server.
    Deliver,
    /// Stores the packet, a SYN, until the backend server has room.
    Hold {
        /// Flow.
        flow: Flow,
    },
    /// Delivers a stored SYN to the backend server.
    Release {
        /// Flow.
        flow: Flow,
    },
    /// Drops a stored SYN.
    Discard {
        /// Flow.
        flow: Flow,
    },
    /// Forwards a stored SYN to another agent.
    ForwardHeld {
        /// Flow.
        flow: Flow,
        /// Agent.
        to: Ipv4Addr,
        /// Number of times that agents have forwarded the SYN, including this time.
        hops: u8,
        /// Balancer that received the SYN from the client.
        balancer: Ipv4Addr,
    },
    /// Forwards the packet to another agent.
    Forward {
        /// Agent.
        to: Ipv4Addr,
        /// Number of times that agents have forwarded the packet, including this time.
        hops: u8,
        /// Balancer that received the packet from the client.
        balancer: Ipv4Addr,
    },
    /// Queries another agent whether it holds the flow. The query carries the packet.
    Query {
        /// Agent.
        to: Ipv4Addr,
        /// Balancer that received the packet from the client.
        balancer: Ipv4Addr,
    },
    /// Sends the packet, which comes from the backend server, to the client.
    SendToClient {
        /// Address of the client.
        client: Ipv4Addr,
    },
    /// Records the time that the backend server took to begin the response to a request.
    RecordLatency(Duration),
    /// Resets a flow.
    Reset {
        /// Flow.
        flow: Flow,
        /// Sequence number that the client accepts.
        seq: u32,
        /// Evidence for the log.
        evidence: Evidence,
    },
    /// Logs that the client has opened a flow with the local backend server.
    LogOpened {
        /// Flow.
        flow: Flow,
    },
    /// Logs a change of the limit on the requests of the backend server while it is warming up.
    LogColdRate(Option<f64>),
    /// Sends a note to another node.
    SendNote {
        /// Node.
        to: Ipv4Addr,
        /// Note.
        note: Note,
    },
    /// Logs a decision.
    Log {
        /// Flow.
        flow: Flow,
        /// Decision and its reason.
        event: &'static str,
    },
}
pub(super) fn reset(out: &mut Vec<Effect>, flow: Flow, seq: u32, evidence: Evidence) {
    out.push(Effect::Reset { flow, seq, evidence });
}

pub(super) fn send_note(out: &mut Vec<Effect>, to: Ipv4Addr, note: Note) {
    out.push(Effect::SendNote { to, note });
}

pub(super) fn log(out: &mut Vec<Effect>, flow: Flow, event: &'static str) {
    out.push(Effect::Log { flow, event });
}
