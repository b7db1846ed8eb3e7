//! Evacuations: the operators ask that a data centre get no new flow until they take it back.
//!
//! The facts reach a node from the store and from any peer, in any order, also late and twice. So each notice names the whole
//! set as of one revision of the store, and of those of the newest era the one with the highest revision holds.
//!
//! A store that has come back may lack an evacuation until the operators have written it again. The evacuations of earlier
//! eras are thus retained for as long as that may take, or until the store lists them.

use std::collections::BTreeSet;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::state::steering::{era::Era, freshness::Age};

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
        insert(&mut self.data_centres, data_centre)
    }
}

/// Inserts a name if there is room for it. Returns whether there is.
fn insert(names: &mut BTreeSet<Bytes>, name: Bytes) -> bool {
    let len: usize = names.iter().map(Bytes::len).sum();
    let has_room = names.contains(&name) || len + name.len() <= MAX_NAMES_LEN;
    if has_room {
        names.insert(name);
    }
    has_room
}

/// What nodes remember for a store that has come back recently. It is encoded without field names.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(Age, BTreeSet<Bytes>)", into = "(Age, BTreeSet<Bytes>)")]
pub struct Recovery {
    /// Age of the era.
    pub age: Age,
    /// Data centres that were evacuated in earlier eras.
    pub retained: BTreeSet<Bytes>,
}

impl From<(Age, BTreeSet<Bytes>)> for Recovery {
    fn from((age, retained): (Age, BTreeSet<Bytes>)) -> Self {
        Self { age, retained }
    }
}

impl From<Recovery> for (Age, BTreeSet<Bytes>) {
    fn from(recovery: Recovery) -> Self {
        (recovery.age, recovery.retained)
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
    /// Era of the newest notice.
    era: Option<Era>,
    newest: Notice,
    /// Evacuations of earlier eras that the store has not listed since.
    retained: BTreeSet<Bytes>,
    /// Those of the newest notice and those that are retained.
    in_force: BTreeSet<Bytes>,
    /// Whether the reports name the evacuations. They do not before the first one.
    reported: bool,
}

impl Evacuations {
    /// Begins another era, in which nothing has been read yet. All evacuations are retained.
    pub fn begin_era(&mut self, era: Era) {
        if self.era == Some(era) {
            return;
        }
        self.era = Some(era);
        for data_centre in std::mem::take(&mut self.newest).data_centres {
            insert(&mut self.retained, data_centre);
        }
    }

    /// Takes over a notice if it is of this era and newer, and returns what changes by it.
    pub fn merge(&mut self, era: Option<Era>, notice: &Notice) -> Vec<Change> {
        if era != self.era || notice.revision <= self.newest.revision {
            return Vec::new();
        }
        self.newest = notice.clone();
        // From now on the store is the one to tell of them.
        self.retained
            .retain(|data_centre| !notice.data_centres.contains(data_centre));
        self.reported |= !notice.data_centres.is_empty();
        self.update()
    }

    /// Takes over the notice in a peer's report. From then on the reports of this node name the evacuations too, so that a
    /// peer with an older notice learns that a data centre was taken back.
    pub fn merge_reported(&mut self, era: Option<Era>, notice: &Notice) -> Vec<Change> {
        self.reported = true;
        self.merge(era, notice)
    }

    /// Retains what a peer has retained for the newest era, and returns what changes by it.
    pub fn retain(&mut self, data_centres: &BTreeSet<Bytes>) -> Vec<Change> {
        for data_centre in data_centres.difference(&self.newest.data_centres) {
            insert(&mut self.retained, data_centre.clone());
        }
        self.update()
    }

    /// Ends the evacuations that nobody has written again, and returns what changes by it.
    pub fn release(&mut self) -> Vec<Change> {
        self.retained.clear();
        self.update()
    }

    fn update(&mut self) -> Vec<Change> {
        let in_force = self.newest.data_centres.union(&self.retained).cloned().collect();
        let before = std::mem::replace(&mut self.in_force, in_force);
        let change = |begins: bool| {
            move |data_centre: &Bytes| Change {
                data_centre: data_centre.clone(),
                begins,
            }
        };
        let begun = self.in_force.difference(&before).map(change(true));
        begun
            .chain(before.difference(&self.in_force).map(change(false)))
            .collect()
    }

    /// Notice for a report; `None` as long as the node knows of no evacuation, past or present.
    pub fn report(&self) -> Option<Notice> {
        self.reported.then(|| self.newest.clone())
    }

    /// Evacuations of earlier eras that the store has not listed since.
    pub fn retained(&self) -> &BTreeSet<Bytes> {
        &self.retained
    }

    /// Evacuated data centres.
    pub fn data_centres(&self) -> &BTreeSet<Bytes> {
        &self.in_force
    }

    /// Revision of the store as of which the evacuations are known.
    pub fn revision(&self) -> u64 {
        self.newest.revision
    }
}
