//! Evacuations: the operators ask that a data centre get no new flow until they take it back.
//!
//! The facts reach a node from the store and from any peer, in any order, also late and twice. So each notice names the whole
//! set as of one revision of the store, and the one with the highest revision holds.

use std::collections::BTreeSet;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Maximum total length of the names in a notice, which travels in each report.
const MAX_NAMES_LEN: usize = 512;

/// Set of the evacuated data centres as of a revision of the store. It is encoded without field names.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, BTreeSet<Bytes>)", into = "(u64, BTreeSet<Bytes>)")]
pub struct Notice {
    /// Revision of the store.
    pub revision: u64,
    /// Evacuated data centres.
    pub data_centres: BTreeSet<Bytes>,
}

impl From<(u64, BTreeSet<Bytes>)> for Notice {
    fn from((revision, data_centres): (u64, BTreeSet<Bytes>)) -> Self {
        Self { revision, data_centres }
    }
}

impl From<Notice> for (u64, BTreeSet<Bytes>) {
    fn from(notice: Notice) -> Self {
        (notice.revision, notice.data_centres)
    }
}

impl Notice {
    /// Applies one change of the store. Returns whether there is room for the name.
    pub fn set(&mut self, data_centre: Bytes, evacuated: bool) -> bool {
        if !evacuated {
            self.data_centres.remove(&data_centre);
            return true;
        }
        let len: usize = self.data_centres.iter().map(Bytes::len).sum();
        let known = self.data_centres.contains(&data_centre);
        if !known && len + data_centre.len() > MAX_NAMES_LEN {
            return false;
        }
        self.data_centres.insert(data_centre);
        true
    }
}

/// Evacuations as a watcher of the store reads them.
#[derive(Debug, Default)]
pub struct Watched {
    /// What the store holds, as far as there is room.
    pub notice: Notice,
    /// Whether there was no room for a name.
    rejected: bool,
    /// Whether there may be room for a rejected name since a removal, so that the store has to be read again. The notice
    /// must not be applied then, because the one that is read may have the same revision.
    pub outdated: bool,
}

impl Watched {
    /// Applies one change of the store. Returns whether there is room for the name.
    pub fn set(&mut self, data_centre: Bytes, evacuated: bool) -> bool {
        let frees_room = !evacuated && self.notice.data_centres.contains(&data_centre);
        let has_room = self.notice.set(data_centre, evacuated);
        self.rejected |= !has_room;
        self.outdated |= self.rejected && frees_room;
        has_room
    }
}

/// Beginning or end of an evacuation, as a node learns it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Data centre.
    pub data_centre: Bytes,
    /// Whether the evacuation begins.
    pub begins: bool,
}

/// What a node knows of evacuations.
#[derive(Debug, Clone, Default)]
pub struct Evacuations {
    newest: Notice,
    /// Whether the reports name the evacuations. They do not before the first one.
    reported: bool,
}

impl Evacuations {
    /// Takes over a notice if it is newer, and returns what changes by it.
    pub fn merge(&mut self, notice: &Notice) -> Vec<Change> {
        if notice.revision <= self.newest.revision {
            return Vec::new();
        }
        let change = |begins: bool| {
            move |data_centre: &Bytes| Change {
                data_centre: data_centre.clone(),
                begins,
            }
        };
        let (before, after) = (&self.newest.data_centres, &notice.data_centres);
        let begun = after.difference(before).map(change(true));
        let changes = begun.chain(before.difference(after).map(change(false))).collect();
        self.newest = notice.clone();
        self.reported |= !notice.data_centres.is_empty();
        changes
    }

    /// Takes over the notice in a peer's report. From then on the reports of this node name the evacuations too, so that a
    /// peer with an older notice learns that a data centre was taken back.
    pub fn merge_reported(&mut self, notice: &Notice) -> Vec<Change> {
        self.reported = true;
        self.merge(notice)
    }

    /// Notice for a report; `None` as long as the node knows of no evacuation, past or present.
    pub fn report(&self) -> Option<Notice> {
        self.reported.then(|| self.newest.clone())
    }

    /// Evacuated data centres.
    pub fn data_centres(&self) -> &BTreeSet<Bytes> {
        &self.newest.data_centres
    }

    /// Revision of the store as of which the evacuations are known.
    pub fn revision(&self) -> u64 {
        self.newest.revision
    }
}
