//! Membership: the nodes of the system, as the store lists them and as they report to one another.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::Ipv4Addr,
    time::{Duration, Instant},
};

use bytes::Bytes;

use crate::state::{
    roster::Role,
    steering::report::{Report, Stance},
};

/// Time without a report after which an agent is suspect and gets no new flows: three reports are missing.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(700);
/// Time without a report after which a node is unreachable: waiting for it no longer helps the clients of its flows.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(1_200);
/// Time without a report after which a node that is not listed either is removed.
const REMOVE_AFTER: Duration = Duration::from_secs(10);
/// Maximum duration of a planned restart: the platform's stop timeout and the start of the process.
const RESTART_TIMEOUT: Duration = Duration::from_secs(8);

/// Weight of the newest report in the smoothed load. Most requests are shorter than the report interval, so a single
/// report predicts little.
pub(super) const BUSY_GAIN: f64 = 0.3;

/// A node other than the local one.
#[derive(Debug, Clone)]
pub struct Member {
    /// Address of the VM.
    pub ip: Ipv4Addr,
    /// Last report of the node, or its entry in the list of the store or of a peer.
    pub report: Report,
    /// Whether the node itself has reported, and was not only listed.
    pub heard: bool,
    /// Requests in progress at an agent, smoothed over its latest reports.
    pub busy: f64,
    /// Placements by this node since the last report.
    pub pending_placements: u32,
    heard_at: Instant,
    suspect_at: Instant,
    unreachable_at: Instant,
    remove_at: Instant,
    restarting_until: Option<Instant>,
    /// Whether the backend server of an agent was draining by the last report that tells it. That of a restart does not, nor
    /// that of an evacuated agent. Lists leave the evacuations out, so what they tell of one that is known to be evacuated
    /// does not count.
    backend_draining: bool,
    /// Whether the data centre of the node is evacuated, by the newest notice known here.
    evacuated: bool,
}

/// Change that a report brings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The node has not reported before, or runs as a new process.
    New {
        /// Whether the previous process reported that its backend server was draining.
        was_draining: bool,
    },
    /// The stance changed.
    Stance,
    /// The stance is the same; the load or other details may have changed.
    Load,
    /// The report is not newer than the last one.
    Stale,
}

/// All known nodes except the local one.
#[derive(Debug, Clone, Default)]
pub struct Members {
    nodes: BTreeMap<Ipv4Addr, Member>,
    evacuated: BTreeSet<Bytes>,
    generation: u64,
}

impl Member {
    fn new(ip: Ipv4Addr, report: Report, now: Instant) -> Self {
        Self {
            ip,
            busy: report.load.busy.into(),
            restarting_until: restarting_until(&report, now),
            backend_draining: report.stance == Stance::Draining && !report.is_evacuated(),
            evacuated: false,
            report,
            heard: false,
            pending_placements: 0,
            heard_at: now,
            suspect_at: now,
            unreachable_at: now + UNREACHABLE_AFTER,
            remove_at: now + REMOVE_AFTER,
        }
    }

    /// Takes over a report that is newer than the last one from a list. An unreachable node is replaced if its address
    /// has got another role or service, because its VM is gone. Returns whether it was.
    fn update_listed(&mut self, listed: Report, now: Instant) -> bool {
        if !self.report.is_same_node(&listed) && self.is_unreachable(now) {
            *self = Self::new(self.ip, listed, now);
            return true;
        }
        let same_process = self.report.incarnation == listed.incarnation;
        if same_process && listed.number > self.report.number {
            let draining_before = self.backend_draining;
            self.set_report(listed, now);
            if self.evacuated {
                self.backend_draining = draining_before;
            }
        }
        false
    }

    fn set_report(&mut self, report: Report, now: Instant) {
        self.restarting_until = restarting_until(&report, now);
        if !matches!(report.stance, Stance::Restarting | Stance::Unknown) && !report.is_evacuated() {
            self.backend_draining = report.stance == Stance::Draining;
        }
        self.report = report;
    }

    fn set_evacuated(&mut self, data_centres: &BTreeSet<Bytes>) {
        self.evacuated = data_centres.contains(&self.report.data_centre);
        if self.evacuated && !self.heard {
            self.backend_draining = false;
        }
    }

    fn record_contact(&mut self, now: Instant) {
        self.heard = true;
        self.heard_at = now;
        self.suspect_at = now + SUSPECT_AFTER;
        self.unreachable_at = now + UNREACHABLE_AFTER;
        self.remove_at = now + REMOVE_AFTER;
    }

    /// Time since the last report.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.heard_at)
    }

    /// Whether the node has reported recently and is not suspect.
    pub fn is_alive(&self, now: Instant) -> bool {
        now < self.suspect_at
    }

    /// Whether the node has not reported for so long that its flows should not wait for it.
    pub fn is_unreachable(&self, now: Instant) -> bool {
        now >= self.unreachable_at && !self.is_restarting(now)
    }

    /// Whether the node has announced a restart that may still be in progress.
    pub fn is_restarting(&self, now: Instant) -> bool {
        self.restarting_until.is_some_and(|until| now < until)
    }

    /// Whether the node is an agent that accepts new flows of a service.
    pub fn is_open(&self, service: &Bytes, now: Instant) -> bool {
        self.is_agent(service) && self.report.stance == Stance::Open && self.is_alive(now) && !self.evacuated
    }

    /// Whether the node is an agent of a service that has reported recently and is not ready for new flows yet.
    pub fn is_joining(&self, service: &Bytes, now: Instant) -> bool {
        self.is_agent(service) && self.is_new() && self.is_alive(now) && !self.evacuated
    }

    /// Whether the node may not know all others yet.
    pub fn is_new(&self) -> bool {
        self.report.stance == Stance::Joining
    }

    /// Whether the node is an agent that will soon accept new flows of a service, or may do so without having reported
    /// it.
    pub fn is_starting(&self, service: &Bytes, now: Instant) -> bool {
        self.is_agent(service) && !self.evacuated && (!self.heard || self.is_new() || self.is_restarting(now))
    }

    /// Whether the node is known to accept no new flow. The last report of a silent one may be out of date.
    pub fn refuses_flows(&self, now: Instant) -> bool {
        let open = matches!(self.report.stance, Stance::Open | Stance::Joining | Stance::Unknown);
        self.evacuated || self.report.stance == Stance::Leaving || (self.is_alive(now) && !open)
    }

    /// Whether an agent holds no flow by its own report: it is leaving, or it has recently reported that it has no
    /// backend server. A listed report may be out of date, and so may the report of no backend server once the agent is
    /// suspect. Flows that are younger than the report are not known to it.
    pub fn holds_no_flows(&self, now: Instant) -> bool {
        let vacant = self.report.stance == Stance::Leaving || (self.report.vacant && self.is_alive(now));
        self.heard && vacant
    }

    /// Whether the node is an agent of a service.
    pub fn is_agent(&self, service: &Bytes) -> bool {
        self.report.role == Role::Agent && self.report.service == *service
    }
}

/// Until when a node may be restarting, if it reports a restart or a stance that may be one.
fn restarting_until(report: &Report, now: Instant) -> Option<Instant> {
    matches!(report.stance, Stance::Restarting | Stance::Unknown).then(|| now + RESTART_TIMEOUT)
}

impl Members {
    /// Records a report of a node.
    pub fn record_report(&mut self, ip: Ipv4Addr, report: Report, now: Instant) -> Change {
        let Some(known) = self.nodes.get_mut(&ip) else {
            let mut member = Member::new(ip, report, now);
            member.record_contact(now);
            self.nodes.insert(ip, member);
            self.mark_evacuated(ip);
            self.generation += 1;
            return Change::New { was_draining: false };
        };
        let same_process = known.report.incarnation == report.incarnation;
        if same_process && known.heard && report.number <= known.report.number {
            return Change::Stale;
        }
        let change = if !same_process || !known.heard {
            Change::New {
                was_draining: known.backend_draining,
            }
        } else if known.report.stance != report.stance {
            Change::Stance
        } else {
            Change::Load
        };
        if change != Change::Load {
            self.generation += 1;
        }
        known.pending_placements = 0;
        let busy = f64::from(report.load.busy);
        let gain = if matches!(change, Change::New { .. }) {
            1.0
        } else {
            BUSY_GAIN
        };
        known.busy += gain * (busy - known.busy);
        known.set_report(report, now);
        known.record_contact(now);
        self.mark_evacuated(ip);
        change
    }

    /// Replaces the set of evacuated data centres, whose agents accept no new flow whatever they report.
    pub fn set_evacuated(&mut self, data_centres: &BTreeSet<Bytes>) {
        self.evacuated.clone_from(data_centres);
        for member in self.nodes.values_mut() {
            member.set_evacuated(data_centres);
        }
    }

    fn mark_evacuated(&mut self, ip: Ipv4Addr) {
        if let Some(member) = self.nodes.get_mut(&ip) {
            member.set_evacuated(&self.evacuated);
        }
    }

    /// Adds the nodes that the store or a peer lists, and returns the new ones. A listed node is not removed, even if
    /// it does not report.
    pub fn add_listed(&mut self, listed: impl IntoIterator<Item = (Ipv4Addr, Report)>, now: Instant) -> Vec<Ipv4Addr> {
        let mut added = Vec::new();
        for (ip, report) in listed {
            let is_new = if let Some(known) = self.nodes.get_mut(&ip) {
                known.remove_at = known.remove_at.max(now + REMOVE_AFTER);
                known.update_listed(report, now)
            } else {
                self.nodes.insert(ip, Member::new(ip, report, now));
                true
            };
            self.mark_evacuated(ip);
            if is_new {
                self.generation += 1;
                added.push(ip);
            }
        }
        added
    }

    /// Removes and returns nodes that have left, and nodes that neither report nor are listed any longer.
    pub fn expire(&mut self, now: Instant) -> BTreeSet<Ipv4Addr> {
        let removed = |member: &Member| {
            now >= member.remove_at || (member.report.stance == Stance::Leaving && !member.is_alive(now))
        };
        let removed: BTreeSet<_> = self
            .iter()
            .filter(|member| removed(member))
            .map(|member| member.ip)
            .collect();
        for ip in &removed {
            self.nodes.remove(ip);
            self.generation += 1;
        }
        removed
    }

    /// Restarts all timeouts after a pause of this process, because it received no reports meanwhile.
    pub fn extend_deadlines(&mut self, now: Instant) {
        for member in self.nodes.values_mut() {
            member.suspect_at = member.suspect_at.max(now + SUSPECT_AFTER);
            member.unreachable_at = member.unreachable_at.max(now + UNREACHABLE_AFTER);
            member.remove_at = member.remove_at.max(now + REMOVE_AFTER);
        }
    }

    /// Returns the node at an address.
    pub fn get(&self, ip: Ipv4Addr) -> Option<&Member> {
        self.nodes.get(&ip)
    }

    /// Counts a placement on an agent until its next report.
    pub fn count_placement(&mut self, ip: Ipv4Addr) {
        if let Some(member) = self.nodes.get_mut(&ip) {
            member.pending_placements += 1;
        }
    }

    /// All nodes in the order of their addresses.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.nodes.values()
    }

    /// Agents of a service, whether they have reported or were only listed.
    pub fn agents<'a>(&'a self, service: &'a Bytes) -> impl Iterator<Item = &'a Member> {
        self.iter().filter(move |member| member.is_agent(service))
    }

    /// Agents of a service that hold flows by their reports. Agents that are leaving or have recently reported that they
    /// have no backend server may exit at any moment.
    pub fn holders<'a>(&'a self, service: &'a Bytes, now: Instant) -> impl Iterator<Item = &'a Member> {
        self.agents(service).filter(move |member| !member.holds_no_flows(now))
    }

    /// Counter that grows with each change of the set of nodes or of a stance.
    pub fn generation(&self) -> u64 {
        self.generation
    }
}
