//! Removal of roster entries that the store no longer lists.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use crate::state::roster::{Node, Roster};

/// Time for which an entry stays in the roster after the store has stopped listing it. A long store outage can expire
/// all leases at once; two lease periods give the live nodes time to announce themselves again.
pub const GRACE_PERIOD: Duration = Duration::from_mins(20);

/// Tracks roster entries that are missing from the store, and entries that were removed for that reason.
#[derive(Debug, Default)]
pub struct Expiry {
    /// Time since which each entry has been missing, by node name.
    missing_since: BTreeMap<String, Instant>,
    /// Incarnation of each removed entry. Nodes that still have such an entry must not restore it by gossip.
    removed: BTreeMap<String, u32>,
}

impl Expiry {
    /// Compares the roster with the complete list of names in the store. Returns the names of the entries to remove.
    pub fn expire_missing(&mut self, roster: &Roster, listed: &BTreeSet<String>, now: Instant) -> Vec<String> {
        self.missing_since
            .retain(|name, _| roster.get(name).is_some() && !listed.contains(name));
        self.removed.retain(|name, _| !listed.contains(name));
        let mut names = Vec::new();
        for node in roster.iter().filter(|node| !listed.contains(&node.name)) {
            let since = *self.missing_since.entry(node.name.clone()).or_insert(now);
            if now >= since + GRACE_PERIOD {
                self.missing_since.remove(&node.name);
                self.removed.insert(node.name.clone(), node.incarnation);
                names.push(node.name.clone());
            }
        }
        names
    }

    /// Whether an entry received from another node may enter the roster: it was not removed, or it is of a newer
    /// incarnation than the removed one.
    pub fn accepts(&self, node: &Node) -> bool {
        self.removed
            .get(&node.name)
            .is_none_or(|incarnation| node.incarnation > *incarnation)
    }
}
