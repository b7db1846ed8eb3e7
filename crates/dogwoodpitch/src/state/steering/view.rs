//! View of the store: what a node knows of its era and of the operators' evacuations, from answers and from reports of peers.

use std::time::Instant;

use crate::state::steering::{
    era::{Era, Eras, Order},
    evacuation::{Change, Evacuations, Notice, Recovery},
    report::Report,
};

/// View of one node.
#[derive(Debug, Clone, Default)]
pub struct View {
    eras: Eras,
    evacuations: Evacuations,
}

/// What the report of a peer tells of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// What its era means, if it tells one.
    pub order: Option<Order>,
    /// Whether the peer knows the newest era.
    pub is_current: bool,
    /// Evacuations that begin or end by it.
    pub changes: Vec<Change>,
}

impl View {
    /// Records the era of an answer.
    pub fn record_answer(&mut self, era: Era, now: Instant) -> Order {
        let order = self.eras.record(era, now);
        self.begin_era();
        order
    }

    /// Records what a peer reports of the store. A peer that does not know the newest era is told it by the next report of
    /// this node; its evacuations are of an earlier history.
    pub fn record_report(&mut self, report: &Report, now: Instant) -> Outcome {
        let age = report.recovery.as_ref().map(|recovery| recovery.age);
        let order = report.era.map(|era| self.eras.record_reported(era, age, now));
        self.begin_era();
        let is_current = report.era == self.eras.newest();
        let mut changes = Vec::new();
        if is_current {
            if let Some(notice) = &report.evacuations {
                changes.extend(self.evacuations.merge_reported(report.era, notice));
            }
            if let Some(recovery) = report.recovery.as_ref().filter(|_| self.eras.is_rewriting(now)) {
                changes.extend(self.evacuations.retain(&recovery.retained));
            }
        }
        Outcome {
            order,
            is_current,
            changes,
        }
    }

    fn begin_era(&mut self) {
        if let Some(era) = self.eras.newest() {
            self.evacuations.begin_era(era);
        }
    }

    /// Takes over what the store tells of the evacuations, if it is newer, and returns what changes by it.
    pub fn merge(&mut self, era: Option<Era>, notice: &Notice) -> Vec<Change> {
        self.evacuations.merge(era, notice)
    }

    /// Ends the evacuations of earlier eras that were not written again in time, and returns what changes by it. The time does
    /// not run while the store cannot be reached.
    pub fn expire(&mut self, is_store_reached: bool, now: Instant) -> Vec<Change> {
        if !is_store_reached {
            self.eras.postpone(now);
        }
        if self.eras.is_rewriting(now) || self.evacuations.retained().is_empty() {
            return Vec::new();
        }
        self.evacuations.release()
    }

    /// Adds the view to a report.
    pub fn report(&self, report: Report, now: Instant) -> Report {
        Report {
            evacuations: self.evacuations.report(),
            era: self.eras.newest(),
            recovery: self.eras.reported_age(now).map(|age| Recovery {
                age,
                retained: self.evacuations.retained().clone(),
            }),
            ..report
        }
    }

    /// Eras.
    pub fn eras(&self) -> &Eras {
        &self.eras
    }

    /// Evacuations.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }
}
