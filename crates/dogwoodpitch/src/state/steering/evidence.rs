//! Evidence on which an agent resets a flow.

use std::time::Instant;

use crate::state::steering::table::{Entry, State};

/// Why a flow is reset, with the inputs of the decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// The lifetime of the backend server has ended.
    BackendEnded(Holding),
    /// The backend server returned a packet of the flow.
    Returned(Holding),
    /// All agents that may hold the flow have denied it.
    DeniedByAll(Denials),
    /// A search for the flow has recently ended with a denial by all agents.
    DeniedRecently,
    /// The route of the flow was removed.
    RouteRemoved,
}

/// State of a flow in the table of the agent that resets it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holding {
    /// State of the flow.
    pub state: State,
    /// Last acknowledgment of the client.
    pub client_ack: u32,
    /// Last sequence number of the backend server.
    pub backend_seq: Option<u32>,
    /// When the flow was added to the table.
    pub opened_at: Instant,
}

/// Answers to a search.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Denials {
    /// When the search was started.
    pub started_at: Instant,
    /// Number of agents that were queried.
    pub queried: usize,
    /// Number of agents whose silence was counted as a denial.
    pub silent: usize,
}

impl Evidence {
    /// Decision for the log.
    pub fn decision(&self) -> &'static str {
        match self {
            Self::BackendEnded(_) => "reset: backend server ended",
            Self::Returned(_) => "reset: backend server dropped the flow",
            Self::DeniedByAll(_) => "reset: no agent holds the flow",
            Self::DeniedRecently => "reset: no agent held the flow",
            Self::RouteRemoved => "reset: route was removed",
        }
    }
}

impl From<&Entry> for Holding {
    fn from(entry: &Entry) -> Self {
        Self {
            state: entry.state,
            client_ack: entry.client_ack,
            backend_seq: entry.backend_seq,
            opened_at: entry.opened_at,
        }
    }
}
