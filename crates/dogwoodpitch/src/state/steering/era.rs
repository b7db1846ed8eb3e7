//! Eras of the store: spans of its history between two returns from an older copy of its data.
//!
//! A return takes back what was written since the copy, and the store gives out the same revisions and leases again. They can
//! thus be compared within one era only. Each answer of the store tells its era, and nodes tell one another the newest one.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::state::steering::freshness::Age;

/// Time after a return in which the operators write again what the store has lost, as long as it can be reached. Until then,
/// a key that is missing may have been lost.
const REWRITE_TIME: Duration = Duration::from_secs(10);
/// Time after a return in which the nodes announce themselves again: they hear of it by reports, and read the list.
const ANNOUNCE_TIME: Duration = Duration::from_secs(3);
/// Largest rise that is taken for one. The era rises by one at a time.
const MAX_RISE: u64 = 1_000;
/// Time for which all answers have to tell an earlier era than the newest one until that is taken for wrong. An answer that
/// was sent before a return arrives within the timeout of its call.
const MAX_CONTRADICTION: Duration = Duration::from_secs(3);
/// Time after such a correction in which peers may still report the wrong era.
const CORRECTION_TIME: Duration = Duration::from_secs(10);

/// Number of an era, which rises with each return.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Era(pub u64);

/// What an era means to a node that hears of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// The first era that the node knows.
    First,
    /// The store has come back since the given era.
    Newer(Era),
    /// The newest era that the node knows.
    Current,
    /// The store has come back since.
    Outdated,
    /// The given era, which was taken for the newest, was wrong.
    Corrected(Era),
    /// It cannot be the newest: too far above the one that the node knows, or found wrong recently.
    Implausible,
}

/// What a node knows of the eras.
#[derive(Debug, Clone, Copy, Default)]
pub struct Eras {
    newest: Option<Era>,
    /// When the newest era began, or since when the store can be reached again in it. `None` if no node is known to have seen
    /// the return.
    returned_at: Option<Instant>,
    /// Since when all answers tell an earlier era.
    contradicted_since: Option<Instant>,
    /// Until when peers may report an era that was found wrong.
    corrected_until: Option<Instant>,
}

impl Eras {
    /// Records the era of an answer of the store to a call that was not allowed to be stale.
    pub fn record(&mut self, era: Era, now: Instant) -> Order {
        let mut order = self.order(era);
        if order == Order::Outdated {
            let since = *self.contradicted_since.get_or_insert(now);
            if let Some(newest) = self.newest.filter(|_| now >= since + MAX_CONTRADICTION) {
                self.corrected_until = Some(now + CORRECTION_TIME);
                order = Order::Corrected(newest);
            }
        } else if order != Order::Implausible {
            self.contradicted_since = None;
        }
        self.begin(era, order, now);
        order
    }

    /// Records the era in the report of a peer, and the age of that era if the peer knows it.
    pub fn record_reported(&mut self, era: Era, age: Option<Age>, now: Instant) -> Order {
        let order = match self.order(era) {
            Order::Newer(_) if self.corrected_until.is_some_and(|until| now < until) => Order::Implausible,
            order => order,
        };
        self.begin(era, order, now);
        if self.newest == Some(era)
            && let Some(returned_at) = age.and_then(|age| age.moment(now))
        {
            self.returned_at = Some(self.returned_at.map_or(returned_at, |known| known.min(returned_at)));
        }
        order
    }

    fn order(&self, era: Era) -> Order {
        match self.newest {
            None => Order::First,
            Some(newest) if era == newest => Order::Current,
            Some(newest) if era < newest => Order::Outdated,
            Some(newest) if era.0 - newest.0 > MAX_RISE => Order::Implausible,
            Some(newest) => Order::Newer(newest),
        }
    }

    fn begin(&mut self, era: Era, order: Order, now: Instant) {
        let returned_at = match order {
            Order::First => None,
            Order::Newer(_) | Order::Corrected(_) => Some(now),
            Order::Current | Order::Outdated | Order::Implausible => return,
        };
        self.newest = Some(era);
        self.returned_at = returned_at;
        self.contradicted_since = None;
    }

    /// Newest era; `None` before the first answer that tells one.
    pub fn newest(&self) -> Option<Era> {
        self.newest
    }

    /// Whether operators may not have written again yet what the store has lost.
    pub fn is_rewriting(&self, now: Instant) -> bool {
        self.returned_at
            .is_some_and(|returned_at| now < returned_at + REWRITE_TIME)
    }

    /// Begins the time for the operators anew, because the store cannot be reached.
    pub fn postpone(&mut self, now: Instant) {
        if self.is_rewriting(now) {
            self.returned_at = Some(now);
        }
    }

    /// Until when lists of the store may lack nodes that have not announced themselves again yet.
    pub fn announced_by(&self) -> Option<Instant> {
        self.returned_at.map(|returned_at| returned_at + ANNOUNCE_TIME)
    }

    /// Age of the newest era for a report, while operators may be writing again.
    pub fn reported_age(&self, now: Instant) -> Option<Age> {
        let returned_at = self.returned_at.filter(|_| self.is_rewriting(now))?;
        Age::encode_least(now.saturating_duration_since(returned_at))
    }
}
