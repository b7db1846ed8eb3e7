//! Routes of new flows: which agents a balancer may give the first packet of a flow.

use std::{cell::Cell, collections::HashMap, net::SocketAddrV4};

use crate::state::{config::Snapshot, roster::Node, service::Id};

/// Routing view of one configuration.
#[derive(Debug, Default)]
pub struct Table {
    /// Revision of the configuration; 0 without one.
    pub revision: u64,
    routes: HashMap<SocketAddrV4, Route>,
}

/// Route of one service address.
#[derive(Debug)]
pub struct Route {
    /// Number of the service.
    pub id: Id,
    /// Name of the service.
    pub service: String,
    near: Vec<Agent>,
    far: Vec<Agent>,
    turn: Cell<usize>,
}

/// An agent that a selector matches.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Agent {
    /// Name of the agent.
    pub name: String,
    /// Address of its frames.
    pub address: SocketAddrV4,
}

/// Why an agent was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// Its turn in the own data centre.
    Local,
    /// Its turn in another data centre; the own one has no live agent.
    Remote,
    /// Its turn among suspected agents; there is no other.
    AllSuspected,
}

impl Reason {
    /// Text for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Local => "turn-near",
            Self::Remote => "turn-far",
            Self::AllSuspected => "all-suspected",
        }
    }
}

impl Table {
    /// Derives the routes of a configuration for a balancer in a data centre. `turn` is where the turns begin; balancers
    /// should differ in it, so that they don't all begin with the same agent.
    pub fn new(snapshot: &Snapshot, data_centre: &str, turn: usize) -> Self {
        let mut routes = HashMap::new();
        for service in snapshot.live_services() {
            let (near, far) = snapshot
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
                near: agents(near),
                far: agents(far),
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
    /// Chooses the next agent in turn: an unsuspected one of the own data centre, else of another one, else any.
    pub fn choose(&self, is_suspected: impl Fn(SocketAddrV4) -> bool) -> Option<(&Agent, Reason)> {
        let turn = self.turn.get();
        self.turn.set(turn.wrapping_add(1));
        let alive = |agent: &&Agent| !is_suspected(agent.address);
        let in_turn = |agents: &[Agent]| if agents.is_empty() { 0 } else { turn % agents.len() };
        let rotated = |agents| {
            let (before, after) = <[Agent]>::split_at(agents, in_turn(agents));
            after.iter().chain(before)
        };
        let near = rotated(&self.near).find(alive).map(|agent| (agent, Reason::Local));
        near.or_else(|| rotated(&self.far).find(alive).map(|agent| (agent, Reason::Remote)))
            .or_else(|| {
                let count = (self.near.len() + self.far.len()).max(1);
                let mut all = self.near.iter().chain(&self.far);
                all.nth(turn % count).map(|agent| (agent, Reason::AllSuspected))
            })
    }
}
