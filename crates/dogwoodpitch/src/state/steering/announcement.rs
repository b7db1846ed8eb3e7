//! Announcement of a node in the store, and the lease on which it hangs.
//!
//! The answer to a write or to a renewal does not prove that the announcement is there: a write that was given up may be done
//! later, under a lease that nobody renews, and a store that has come back has lost what was younger than its copy and gives
//! out its leases again. So each list of the store decides whether the announcement stands.

use crate::state::steering::era::Era;

/// Lease that this node renews.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// Number. Another node may have got it in another era.
    pub id: u64,
    /// Era in which the announcement was last known to hang on it.
    pub era: Option<Era>,
}

/// Announcement of this node in a list of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Listing {
    /// Lease on which it hangs; 0 for none.
    pub lease: u64,
    /// Whether the announcement of another node hangs on the same lease.
    pub shared: bool,
    /// Whether it describes this node, and not one that had the address before.
    pub same_node: bool,
}

/// What a list of the store means for the announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It hangs on this lease, which has to be renewed.
    Stands(u64),
    /// It has to be written under a new lease.
    Missing,
}

/// Judges the announcement by a list of the store. Without a lease of its own, a process goes on with the announcement of the
/// process before it.
pub fn judge(renewed: Option<Lease>, listed: Option<Listing>) -> Verdict {
    match listed {
        Some(listed) if listed.lease != 0 && listed.same_node && !listed.shared => {
            if renewed.is_none_or(|renewed| renewed.id == listed.lease) {
                Verdict::Stands(listed.lease)
            } else {
                Verdict::Missing
            }
        }
        _ => Verdict::Missing,
    }
}
