//! Roster entries that the store no longer lists.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use crate::state::roster::{Node, Roster};

/// Time that an entry stays in the roster after the store stopped to list it. It is two leases: after a long outage of
/// the store all leases may have expired at once, and the nodes that live announce themselves again before.
pub const GRACE_PERIOD: Duration = Duration::from_mins(20);

/// Entries that are missing in the store, and those that were dropped for it.
#[derive(Debug, Default)]
pub struct Expiry {
    since: BTreeMap<String, Instant>,
    /// Incarnation of each dropped entry. Peers that still have the entry must not bring it back.
    dropped: BTreeMap<String, u32>,
}

impl Expiry {
    /// Compares the roster with a complete list of the names in the store, and gives the names to drop.
    pub fn expire_missing(&mut self, roster: &Roster, listed: &BTreeSet<String>, now: Instant) -> Vec<String> {
        self.since
            .retain(|name, _| roster.get(name).is_some() && !listed.contains(name));
        self.dropped.retain(|name, _| !listed.contains(name));
        let mut names = Vec::new();
        for node in roster.iter().filter(|node| !listed.contains(&node.name)) {
            let since = *self.since.entry(node.name.clone()).or_insert(now);
            if now >= since + GRACE_PERIOD {
                self.since.remove(&node.name);
                self.dropped.insert(node.name.clone(), node.incarnation);
                names.push(node.name.clone());
            }
        }
        names
    }

    /// Whether an entry that a peer gave is newer than the dropped one of the same name.
    pub fn accepts(&self, node: &Node) -> bool {
        self.dropped
            .get(&node.name)
            .is_none_or(|incarnation| node.incarnation > *incarnation)
    }
}
