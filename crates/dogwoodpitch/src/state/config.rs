//! Configuration of the operators, as known to one node.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, SocketAddrV4},
};

use serde::{Deserialize, Serialize};

use crate::state::{
    index::Index,
    label,
    roster::{Node, Roster},
    selector::Selector,
    service::{Id, Service},
};

/// One configuration item and the revision that wrote it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item<T> {
    /// Revision of the last write.
    pub revision: u64,
    /// Value, or `None` if the item was deleted (a tombstone).
    pub value: Option<T>,
}

/// Configuration up to a revision. The revision of an item never decreases.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Highest revision up to which the snapshot is complete.
    pub revision: u64,
    /// Services by name.
    pub services: BTreeMap<String, Item<Service>>,
    /// Labels by node name.
    pub labels: BTreeMap<String, Item<label::Set>>,
    /// Selectors by service name.
    pub selectors: BTreeMap<String, Item<Selector>>,
    /// Announced nodes.
    pub roster: Roster,
    /// Agents of each service, derived from the other fields.
    #[serde(skip)]
    pub index: Index,
}

impl Snapshot {
    /// Merges another, possibly partial, snapshot item by item. Older items never replace newer ones, so a delayed
    /// reply cannot revert an accepted change. Returns whether anything changed.
    pub fn merge(&mut self, other: Self) -> bool {
        let mut changed = merge_items(&mut self.services, other.services);
        changed |= merge_items(&mut self.labels, other.labels);
        changed |= merge_items(&mut self.selectors, other.selectors);
        for node in other.roster.iter() {
            changed |= self.roster.insert(node.clone());
        }
        if other.revision > self.revision {
            self.revision = other.revision;
            changed = true;
        }
        if changed {
            self.index.invalidate();
        }
        changed
    }

    /// Removes a node from the roster.
    pub fn remove_node(&mut self, name: &str) {
        self.roster.remove(name);
        self.index.invalidate();
    }

    /// Service with this name, unless it is deleted.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)?.value.as_ref()
    }

    /// Service with this ID.
    pub fn service_by_id(&self, id: Id) -> Option<&Service> {
        self.live_services().find(|service| service.id == id)
    }

    /// Service that callers reach at this address.
    pub fn service_by_address(&self, address: SocketAddrV4) -> Option<&Service> {
        self.live_services().find(|service| service.address == address)
    }

    /// Services that are not deleted.
    pub fn live_services(&self) -> impl Iterator<Item = &Service> {
        self.services.values().filter_map(|item| item.value.as_ref())
    }

    /// Whether the selector of the service matches the labels of the node.
    pub fn selects(&self, service: &str, node: &str) -> bool {
        let selector = self.selectors.get(service).and_then(|item| item.value.as_ref());
        let labels = self.labels.get(node).and_then(|item| item.value.as_ref());
        matches!((selector, labels), (Some(selector), Some(labels)) if selector.matches(labels))
    }

    /// Agents whose labels match the selector of the service, in the order of their names.
    pub fn agents<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a Node> + use<'a> {
        self.index
            .agents(self, service)
            .iter()
            .filter_map(|name| self.roster.get(name))
    }

    /// Addresses for WebSocket links to all nodes except the local one.
    pub fn peer_addresses<'a>(&'a self, local: &'a str) -> impl Iterator<Item = SocketAddr> + 'a {
        self.roster
            .iter()
            .filter(move |node| node.name != local)
            .map(|node| node.peer)
    }
}

fn merge_items<T: PartialEq>(known: &mut BTreeMap<String, Item<T>>, other: BTreeMap<String, Item<T>>) -> bool {
    let mut changed = false;
    for (name, item) in other {
        if known.get(&name).is_none_or(|old| old.revision < item.revision) {
            known.insert(name, item);
            changed = true;
        }
    }
    changed
}
