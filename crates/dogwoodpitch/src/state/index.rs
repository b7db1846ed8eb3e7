//! Index of the agents of each service, derived from labels and selectors.

use std::{cell::OnceCell, collections::HashMap};

use crate::state::{
    config::Snapshot,
    roster::{Node, Role},
};

/// Names of the agents of each service, built on first use and invalidated by each change of the snapshot.
///
/// Matching every selector against every agent takes 650 ms with 3,800 agents and 470 services, and a balancer forwards
/// no packets in that time. The index matches a selector only against agents with a label that the selector requires.
#[derive(Debug, Clone, Default)]
pub struct Index(OnceCell<HashMap<String, Vec<String>>>);

impl PartialEq for Index {
    /// Always equal, since the index is derived from the other fields of the snapshot.
    fn eq(&self, _other: &Self) -> bool {
        true
    }
}

impl Eq for Index {}

impl Index {
    /// Names of the agents that the selector of the service matches, sorted.
    pub(super) fn agents(&self, snapshot: &Snapshot, service: &str) -> &[String] {
        self.0
            .get_or_init(|| build(snapshot))
            .get(service)
            .map_or(&[], Vec::as_slice)
    }

    pub(super) fn invalidate(&mut self) {
        self.0.take();
    }
}

fn build(snapshot: &Snapshot) -> HashMap<String, Vec<String>> {
    let mut by_label: HashMap<(&str, &str), Vec<&Node>> = HashMap::new();
    for node in snapshot.roster.with_role(Role::Agent) {
        let labels = snapshot.labels.get(&node.name).and_then(|item| item.value.as_ref());
        for (key, value) in labels.iter().flat_map(|labels| &labels.0) {
            by_label.entry((key, value)).or_default().push(node);
        }
    }
    let selectors = snapshot
        .selectors
        .iter()
        .filter_map(|(service, item)| Some((service, item.value.as_ref()?)));
    let matching = |service: &str, nodes: &mut dyn Iterator<Item = &Node>| {
        nodes
            .filter(|node| snapshot.selects(service, &node.name))
            .map(|node| node.name.clone())
            .collect::<Vec<_>>()
    };
    selectors
        .map(|(service, selector)| {
            let agents = match selector.required_label() {
                Some((key, value)) => {
                    matching(service, &mut by_label.get(&(key, value)).into_iter().flatten().copied())
                }
                None => matching(service, &mut snapshot.roster.with_role(Role::Agent)),
            };
            (service.clone(), agents)
        })
        .collect()
}
