//! Stand-in for the store, with compare-and-swap, leases and outages, and two operators that write to it.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use dogwoodpitch::state::{
    config::{self, Snapshot},
    label,
    roster::{Node, Roster},
    selector::Selector,
    service::Service,
};

use crate::{oracle::Oracle, world};

/// Lease time. It is shorter than in production, so that leases expire during a pause.
pub const LEASE_TIME: Duration = Duration::from_secs(5);
/// Maximum number of previous change IDs that a record keeps.
const MAX_HISTORY: usize = 8;

/// A configuration item.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Item {
    Label(usize),
    Selector(usize),
}

/// Value of an item, as an index into [`APPS`] or [`SELECTORS`].
pub type Value = u8;

/// Possible values of the label `app` of an agent.
const APPS: [&str; 3] = ["counter", "cutting", "spare"];
/// Possible selectors of a service, with `{}` for its name.
const SELECTORS: [&str; 4] = ["app={}", "app in (counter,cutting)", "app={},!missing", "app!=spare"];

/// State of the store and of the operators.
#[derive(Debug)]
pub struct Store {
    pub up: bool,
    pub revision: u64,
    records: BTreeMap<Item, Record>,
    nodes: BTreeMap<String, (Node, Instant)>,
    next_change: u64,
    operators: [Operator; 2],
}

/// Stored item with the change that wrote it.
#[derive(Debug, Clone)]
struct Record {
    revision: u64,
    value: Value,
    change: u64,
    history: Vec<u64>,
}

/// Operator that reads items and writes them with compare-and-swap.
#[derive(Debug, Default)]
struct Operator {
    /// Item that was read last, with its revision.
    base: Option<(Item, u64)>,
    /// Write whose reply was lost.
    unresolved: Option<Write>,
}

#[derive(Debug, Clone, Copy)]
struct Write {
    item: Item,
    base: u64,
    value: Value,
    change: u64,
}

impl Store {
    pub fn new(oracle: &mut Oracle) -> Self {
        let mut store = Self {
            up: true,
            revision: 1,
            records: BTreeMap::new(),
            nodes: BTreeMap::new(),
            next_change: 0,
            operators: Default::default(),
        };
        for agent in 0..world::AGENTS {
            let value = Value::from(agent % 5 >= 3);
            store.create(Item::Label(agent), value, oracle);
        }
        for service in 0..world::SERVICES {
            store.create(Item::Selector(service), 0, oracle);
        }
        store
    }

    fn create(&mut self, item: Item, value: Value, oracle: &mut Oracle) {
        let change = self.next_change_id();
        let write = Write {
            item,
            base: 0,
            value,
            change,
        };
        assert!(self.compare_and_swap(write, oracle));
    }

    fn next_change_id(&mut self) -> u64 {
        self.next_change += 1;
        self.next_change
    }

    fn compare_and_swap(&mut self, write: Write, oracle: &mut Oracle) -> bool {
        let known = self.records.get(&write.item);
        if known.map_or(0, |record| record.revision) != write.base {
            return false;
        }
        let mut history: Vec<u64> = known.map_or_else(Vec::new, |record| {
            std::iter::once(record.change)
                .chain(record.history.iter().copied())
                .collect()
        });
        history.truncate(MAX_HISTORY);
        self.revision += 1;
        let record = Record {
            revision: self.revision,
            value: write.value,
            change: write.change,
            history,
        };
        self.records.insert(write.item, record);
        oracle.accepted(write.item, write.base, self.revision, write.value, write.change);
        true
    }

    pub fn read(&mut self, operator: u8, item: u8) {
        if !self.up {
            return;
        }
        let items: Vec<Item> = self.records.keys().copied().collect();
        let item = items[usize::from(item) % items.len()];
        let operator = &mut self.operators[usize::from(operator) % 2];
        operator.base = Some((item, self.records[&item].revision));
    }

    pub fn write(&mut self, operator: u8, value: u8, lose_reply: bool, oracle: &mut Oracle) {
        let index = usize::from(operator) % 2;
        if !self.up || self.operators[index].unresolved.is_some() {
            return;
        }
        let Some((item, base)) = self.operators[index].base.take() else {
            return;
        };
        let value = match item {
            Item::Label(_) => value % 3,
            Item::Selector(_) => value % 4,
        };
        let write = Write {
            item,
            base,
            value,
            change: self.next_change_id(),
        };
        let accepted = self.compare_and_swap(write, oracle);
        if lose_reply {
            self.operators[index].unresolved = Some(write);
        } else {
            oracle.write_replied(write.change, accepted);
        }
    }

    /// Determines the outcome of writes whose reply was lost, and repeats those that were not accepted.
    pub fn resolve_lost_replies(&mut self, oracle: &mut Oracle) {
        if !self.up {
            return;
        }
        for index in 0..self.operators.len() {
            let Some(write) = self.operators[index].unresolved.take() else {
                continue;
            };
            let record = &self.records[&write.item];
            let found = record.change == write.change || record.history.contains(&write.change);
            let accepted = found || self.compare_and_swap(write, oracle);
            oracle.counts.lost_replies_resolved += 1;
            oracle.write_replied(write.change, accepted);
        }
    }

    pub fn announce(&mut self, node: &Node, now: Instant) {
        if self.up {
            self.nodes.insert(node.name.clone(), (node.clone(), now + LEASE_TIME));
        }
    }

    pub fn expire_leases(&mut self, now: Instant) {
        self.nodes.retain(|_, (_, until)| now < *until);
    }

    /// Nodes with a valid lease.
    pub fn roster(&self) -> Roster {
        let mut roster = Roster::default();
        for (node, _) in self.nodes.values() {
            roster.insert(node.clone());
        }
        roster
    }

    /// Items written after a revision, as a node reads them.
    pub fn delta(&self, after: u64) -> Snapshot {
        let mut snapshot = Snapshot {
            revision: self.revision,
            roster: self.roster(),
            ..Snapshot::default()
        };
        if after == 0 {
            snapshot.services = services();
        }
        for (item, record) in self.records.iter().filter(|(_, record)| record.revision > after) {
            match item {
                Item::Label(agent) => {
                    let item = config::Item {
                        revision: record.revision,
                        value: Some(labels(record.value)),
                    };
                    snapshot.labels.insert(world::agent_name(*agent), item);
                }
                Item::Selector(service) => {
                    let item = config::Item {
                        revision: record.revision,
                        value: Some(selector(*service, record.value)),
                    };
                    snapshot.selectors.insert(world::service_name(*service), item);
                }
            }
        }
        snapshot
    }
}

fn services() -> BTreeMap<String, config::Item<Service>> {
    let service = |index: usize| {
        let service = Service {
            id: world::service_id(index),
            name: world::service_name(index),
            address: world::service_address(index),
        };
        let item = config::Item {
            revision: 1,
            value: Some(service),
        };
        (world::service_name(index), item)
    };
    (0..world::SERVICES).map(service).collect()
}

fn labels(value: Value) -> label::Set {
    label::Set([("app".to_owned(), APPS[usize::from(value)].to_owned())].into())
}

fn selector(service: usize, value: Value) -> Selector {
    let text = SELECTORS[usize::from(value)].replace("{}", &world::service_name(service));
    text.parse().expect("a valid selector")
}

/// Items of a snapshot in the form that the oracle checks.
pub fn items(snapshot: &Snapshot) -> Vec<(Item, u64, Value)> {
    let mut items = Vec::new();
    for agent in 0..world::AGENTS {
        if let Some(item) = snapshot.labels.get(&world::agent_name(agent)) {
            let value = (0..3).find(|value| item.value.as_ref() == Some(&labels(*value)));
            items.push((Item::Label(agent), item.revision, value.unwrap_or(Value::MAX)));
        }
    }
    for service in 0..world::SERVICES {
        if let Some(item) = snapshot.selectors.get(&world::service_name(service)) {
            let value = (0..4).find(|value| item.value.as_ref() == Some(&selector(service, *value)));
            items.push((Item::Selector(service), item.revision, value.unwrap_or(Value::MAX)));
        }
    }
    items
}
