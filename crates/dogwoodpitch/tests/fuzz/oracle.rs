//! Record of what has happened in the simulation, and checks of the invariants.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use dogwoodpitch::{
    protocol::code::Code,
    state::{load::Load, service::Id},
};

use crate::store::{Item, Value};

/// One attempt of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Attempt {
    pub request: u32,
    pub number: u32,
}

/// What has happened to one request.
#[derive(Debug, Clone)]
struct Request {
    service: Id,
    idempotent: bool,
    runs: u32,
    /// Final result that the caller got.
    result: Option<Code>,
}

/// Numbers of events, to show that the sequences reach them.
#[derive(Debug, Default, Clone, Copy)]
pub struct Counts {
    pub flows: u32,
    pub ran: u32,
    pub ran_at_peer: u32,
    pub answered: u32,
    pub not_run: u32,
    pub unknown: u32,
    pub retries: u32,
    pub placed_beside_draining: u32,
    pub misaddressed_refused: u32,
    pub forged_refused: u32,
    pub stale_ids: u32,
    pub late_answers: u32,
    pub conflicts: u32,
    pub lost_replies_resolved: u32,
    pub old_snapshots: u32,
    pub suspicions: u32,
}

impl Counts {
    pub fn named(&self) -> [(&'static str, u32); 16] {
        [
            ("flows", self.flows),
            ("ran", self.ran),
            ("ran at peer", self.ran_at_peer),
            ("answered", self.answered),
            ("not run", self.not_run),
            ("unknown", self.unknown),
            ("retries", self.retries),
            ("placed beside draining", self.placed_beside_draining),
            ("misaddressed refused", self.misaddressed_refused),
            ("forged refused", self.forged_refused),
            ("stale ids", self.stale_ids),
            ("late answers", self.late_answers),
            ("conflicts", self.conflicts),
            ("lost replies resolved", self.lost_replies_resolved),
            ("old snapshots", self.old_snapshots),
            ("suspicions", self.suspicions),
        ]
    }

    pub fn add(&mut self, other: &Self) {
        self.flows += other.flows;
        self.ran += other.ran;
        self.ran_at_peer += other.ran_at_peer;
        self.answered += other.answered;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.retries += other.retries;
        self.placed_beside_draining += other.placed_beside_draining;
        self.misaddressed_refused += other.misaddressed_refused;
        self.forged_refused += other.forged_refused;
        self.stale_ids += other.stale_ids;
        self.late_answers += other.late_answers;
        self.conflicts += other.conflicts;
        self.lost_replies_resolved += other.lost_replies_resolved;
        self.old_snapshots += other.old_snapshots;
        self.suspicions += other.suspicions;
    }
}

/// Records the events and checks the invariants.
#[derive(Debug, Default)]
pub struct Oracle {
    pub counts: Counts,
    failure: Option<String>,
    requests: BTreeMap<u32, Request>,
    ran: BTreeSet<Attempt>,
    refused: BTreeSet<Attempt>,
    /// Newest report that has arrived at an observer about a subject, and the time of its arrival, by (observer,
    /// subject).
    reports: BTreeMap<(usize, usize), (Load, Instant)>,
    /// Accepted values of each item, by revision.
    accepted: BTreeMap<Item, BTreeMap<u64, Value>>,
    applied_changes: BTreeSet<u64>,
    /// Last revision of each node, and of each item at each node.
    revisions: BTreeMap<String, u64>,
}

impl Oracle {
    pub fn fail(&mut self, failure: String) {
        self.failure.get_or_insert(failure);
    }

    pub fn has_failed(&self) -> bool {
        self.failure.is_some()
    }

    pub fn into_failure(self) -> Option<String> {
        self.failure
    }

    pub fn requested(&mut self, request: u32, service: Id, idempotent: bool) {
        let record = Request {
            service,
            idempotent,
            runs: 0,
            result: None,
        };
        self.requests.insert(request, record);
    }

    /// A backend server starts to run an attempt as work of `service`.
    pub fn ran(&mut self, attempt: Attempt, service: Id, draining_at_admission: bool, at_peer: bool) {
        self.counts.ran += 1;
        self.counts.ran_at_peer += u32::from(at_peer);
        self.ran.insert(attempt);
        let request = self.requests.get_mut(&attempt.request).expect("known request");
        request.runs += 1;
        let request = request.clone();
        if request.service != service {
            self.fail(format!(
                "misrouted: {attempt:?} of service {} ran as {service}",
                request.service
            ));
        }
        if request.runs > 1 && !request.idempotent {
            self.fail(format!("{attempt:?} is not idempotent and ran again"));
        }
        if self.refused.contains(&attempt) {
            self.fail(format!("{attempt:?} ran after it was refused as not run"));
        }
        if request.result.is_some_and(Code::is_not_run) {
            self.fail(format!(
                "{attempt:?} ran after its caller was told {:?}",
                request.result
            ));
        }
        if draining_at_admission {
            self.fail(format!("{attempt:?} got a slot on a draining agent"));
        }
    }

    /// An agent replies with the result of an attempt.
    pub fn replied(&mut self, attempt: Attempt, code: Code) {
        if code.is_not_run() {
            self.refused.insert(attempt);
            if self.ran.contains(&attempt) {
                self.fail(format!("{attempt:?} ran and was refused with {code}"));
            }
        }
    }

    /// The caller gets the final result of a request, from the answer to the request `answer_of`.
    pub fn finished(&mut self, request: u32, code: Code, answer_of: Option<u32>) {
        let record = self.requests.get_mut(&request).expect("known request");
        let previous = record.result.replace(code);
        let runs = record.runs;
        match code {
            Code::OK => self.counts.answered += 1,
            code if code.is_not_run() => self.counts.not_run += 1,
            _ => self.counts.unknown += 1,
        }
        if let Some(first) = previous {
            self.fail(format!("request {request} got two results: {first} and {code}"));
        }
        if code.is_not_run() && runs > 0 {
            self.fail(format!(
                "request {request} ran {runs} times and its caller was told {code}"
            ));
        }
        if code == Code::OK && (runs == 0 || answer_of != Some(request)) {
            self.fail(format!(
                "request {request} ran {runs} times and got the answer of {answer_of:?}"
            ));
        }
    }

    /// Requests without a final result.
    pub fn unfinished_requests(&self) -> Vec<u32> {
        let unfinished = self.requests.iter().filter(|(_, request)| request.result.is_none());
        unfinished.map(|(id, _)| *id).collect()
    }

    /// A load report of `subject` arrives at `observer`.
    pub fn reported(&mut self, observer: usize, subject: usize, load: Load, now: Instant) {
        let known = self.reports.entry((observer, subject)).or_insert((load, now));
        if (load.incarnation, load.sequence) > (known.0.incarnation, known.0.sequence) {
            *known = (load, now);
        }
    }

    /// An observer discards its reports.
    pub fn forget_observer(&mut self, observer: usize) {
        self.reports.retain(|(other, _), _| *other != observer);
    }

    /// The agent `observer` places new work on the agent `subject`.
    pub fn placed(&mut self, observer: usize, subject: usize, what: &str, now: Instant) {
        if observer == subject {
            return;
        }
        let peer_is_draining = self
            .reports
            .iter()
            .any(|((other, _), (load, _))| *other == observer && load.draining);
        self.counts.placed_beside_draining += u32::from(peer_is_draining);
        match self.reports.get(&(observer, subject)) {
            Some((load, _)) if load.draining => self.fail(format!(
                "agent {observer} placed {what} on agent {subject} after its report of draining"
            )),
            Some((_, heard)) if now.saturating_duration_since(*heard) >= Duration::from_secs(2) => {
                self.fail(format!(
                    "agent {observer} placed {what} on agent {subject}, silent for 2 s"
                ));
            }
            Some(_) => {}
            None => self.fail(format!(
                "agent {observer} placed {what} on agent {subject} without any report"
            )),
        }
    }

    /// The store accepts a write.
    pub fn accepted(&mut self, item: Item, base: u64, revision: u64, value: Value, change: u64) {
        let replaced = self.latest(item).map_or(0, |(revision, _)| revision);
        if replaced != base {
            self.fail(format!(
                "a write of {item:?} based on {base} replaced {replaced}, which its operator has not read"
            ));
        }
        self.accepted.entry(item).or_default().insert(revision, value);
        if !self.applied_changes.insert(change) {
            self.fail(format!("change {change} took effect twice"));
        }
    }

    /// An operator gets the outcome of a write.
    pub fn write_replied(&mut self, change: u64, accepted: bool) {
        self.counts.conflicts += u32::from(!accepted);
        if accepted != self.applied_changes.contains(&change) {
            self.fail(format!("operator was told accepted={accepted} for change {change}"));
        }
    }

    /// A node has merged a snapshot. Each item must have the value accepted at its revision, and no revision may
    /// decrease.
    pub fn configured(&mut self, node: &str, revision: u64, items: &[(Item, u64, Value)]) {
        let mut record_revision = |key: String, revision: u64| {
            let known = self.revisions.entry(key).or_default();
            let decreased = revision < *known;
            *known = revision;
            decreased
        };
        let mut reverted = record_revision(node.to_owned(), revision);
        for (item, revision, _) in items {
            reverted |= record_revision(format!("{node} {item:?}"), *revision);
        }
        if reverted {
            self.fail(format!("{node} reverted to an older revision"));
        }
        for (item, revision, value) in items {
            let accepted = self.accepted.get(item).and_then(|values| values.get(revision));
            if accepted != Some(value) {
                self.fail(format!(
                    "{node} has {item:?} = {value:?} at {revision}, accepted was {accepted:?}"
                ));
            }
        }
    }

    /// A node restarts without a configuration.
    pub fn forget_node(&mut self, node: &str) {
        let prefix = format!("{node} ");
        self.revisions.retain(|key, _| key != node && !key.starts_with(&prefix));
    }

    /// Revision and value of the last accepted write of an item.
    pub fn latest(&self, item: Item) -> Option<(u64, Value)> {
        let (revision, value) = self.accepted.get(&item)?.last_key_value()?;
        Some((*revision, *value))
    }
}
