//! Routing of new flows: the agents to which a balancer may forward the first packet of a flow.

use std::{cell::Cell, collections::HashMap, net::SocketAddrV4};

use crate::state::{config::Snapshot, roster::Node, service::Id};

/// Routes derived from one configuration.
#[derive(Debug, Default)]
pub struct Table {
    /// Revision of the configuration; 0 if there is none yet.
    pub revision: u64,
    routes: HashMap<SocketAddrV4, Route>,
}

/// Agents of one service address, served round-robin.
#[derive(Debug)]
pub struct Route {
    /// ID of the service.
    pub id: Id,
    /// Name of the service.
    pub service: String,
    local: Vec<Agent>,
    remote: Vec<Agent>,
    turn: Cell<usize>,
}

/// An agent of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Agent {
    /// Name of the agent.
    pub name: String,
    /// UDP address of the agent for frames.
    pub address: SocketAddrV4,
}

/// Why an agent was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// Round-robin among the agents of the local data centre that are not suspect.
    Local,
    /// Round-robin among the agents of remote data centres that are not suspect, as there is none in the local one.
    Remote,
    /// Round-robin among all agents, as all of them are suspect.
    AllSuspected,
}

impl Reason {
    /// Name of the reason in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Local => "turn-near",
            Self::Remote => "turn-far",
            Self::AllSuspected => "all-suspected",
        }
    }
}

impl Table {
    /// Derives the routes for a balancer in `data_centre` from a configuration. The round-robin starts at `turn`, which
    /// should differ between balancers so that they don't all start with the same agent.
    pub fn new(snapshot: &Snapshot, data_centre: &str, turn: usize) -> Self {
        let mut routes = HashMap::new();
        for service in snapshot.live_services() {
            let (local, remote) = snapshot
                .agents(&service.name)
                .partition::<Vec<_>, _>(|node| node.data_centre == data_centre);
            let agents = |nodes: Vec<&Node>| {
                nodes
                    .into_iter()
                    .map(|node| Agent {
                        name: node.name.clone(),
                        address: node.datagram,
                    })
                    .collect()
            };
            let route = Route {
                id: service.id,
                service: service.name.clone(),
                local: agents(local),
                remote: agents(remote),
                turn: Cell::new(turn),
            };
            routes.insert(service.address, route);
        }
        Self {
            revision: snapshot.revision,
            routes,
        }
    }

    /// Whether there is a configuration.
    pub fn is_configured(&self) -> bool {
        self.revision > 0
    }

    /// Route of a service address.
    pub fn route(&self, service: SocketAddrV4) -> Option<&Route> {
        self.routes.get(&service)
    }
}

impl Route {
    /// Chooses the next agent round-robin: one of the local data centre that is not suspect, else one of a remote data
    /// centre that is not suspect, else any agent.
    pub fn choose(&self, is_suspected: impl Fn(SocketAddrV4) -> bool) -> Option<(&Agent, Reason)> {
        let turn = self.turn.get();
        self.turn.set(turn.wrapping_add(1));
        let is_alive = |agent: &&Agent| !is_suspected(agent.address);
        let offset = |agents: &[Agent]| if agents.is_empty() { 0 } else { turn % agents.len() };
        let rotated = |agents| {
            let (head, tail) = <[Agent]>::split_at(agents, offset(agents));
            tail.iter().chain(head)
        };
        let local = rotated(&self.local).find(is_alive).map(|agent| (agent, Reason::Local));
        local
            .or_else(|| {
                rotated(&self.remote)
                    .find(is_alive)
                    .map(|agent| (agent, Reason::Remote))
            })
            .or_else(|| {
                let count = (self.local.len() + self.remote.len()).max(1);
                let mut all = self.local.iter().chain(&self.remote);
                all.nth(turn % count).map(|agent| (agent, Reason::AllSuspected))
            })
    }
}
