//! Roster of the announced nodes. An entry does not prove that its node is alive.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, SocketAddrV4},
};

use serde::{Deserialize, Serialize};

/// Role of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Forwards packets to agents, on an entry VM.
    Balancer,
    /// Terminates flows beside a backend server.
    Agent,
}

/// A balancer or agent process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    /// Unique name, from the settings.
    pub name: String,
    /// Role of the node.
    pub role: Role,
    /// Data centre, from the settings.
    pub data_centre: String,
    /// UDP address for frames.
    pub datagram: SocketAddrV4,
    /// TCP address for WebSocket links between nodes.
    pub peer: SocketAddr,
    /// TCP address of `/metrics`, `/status` and `/health`.
    pub http: SocketAddr,
    /// Start time of the process in deciseconds since 2025-01-01, so that each restart has a higher value.
    pub incarnation: u32,
}

/// Announced nodes by name.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Roster {
    nodes: BTreeMap<String, Node>,
}

impl Roster {
    /// Adds a node or replaces its entry, unless the known entry is of a newer incarnation. Returns whether the roster
    /// changed.
    pub fn insert(&mut self, node: Node) -> bool {
        match self.nodes.get(&node.name) {
            Some(known) if known.incarnation > node.incarnation || *known == node => false,
            _ => {
                self.nodes.insert(node.name.clone(), node);
                true
            }
        }
    }

    /// Removes a node.
    pub fn remove(&mut self, name: &str) -> Option<Node> {
        self.nodes.remove(name)
    }

    /// Node with this name.
    pub fn get(&self, name: &str) -> Option<&Node> {
        self.nodes.get(name)
    }

    /// Nodes, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = &Node> {
        self.nodes.values()
    }

    /// Nodes with this role.
    pub fn with_role(&self, role: Role) -> impl Iterator<Item = &Node> {
        self.iter().filter(move |node| node.role == role)
    }

    /// Number of nodes.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Whether the roster has no node.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }
}
