//! Nodes of the system as the store lists them and as they report to one another.

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

/// Silence after which an agent gets no new flows: three reports are missing.
const SUSPECT_AFTER: Duration = Duration::from_millis(700);
/// Silence after which waiting for a node no longer helps the clients of its flows.
const LOST_AFTER: Duration = Duration::from_millis(1_200);
/// Silence after which a node that the store does not list is dropped.
const FORGET_AFTER: Duration = Duration::from_secs(10);
/// How long a planned restart of a process may take: the grace of the platform and the start.
const RESTART: Duration = Duration::from_secs(8);

/// Weight of the newest report in the smoothed load. Reports are further apart than most requests take, so one alone says
/// little about the next.
const BUSY_GAIN: f64 = 0.3;

/// A node.
#[derive(Debug, Clone)]
pub struct Member {
    /// Address of the VM.
    pub ip: Ipv4Addr,
    /// Last report, or what the store says.
    pub report: Report,
    /// Whether the node itself was heard, and not only listed.
    pub heard: bool,
    /// Requests in progress at an agent, smoothed over its last reports.
    pub busy: f64,
    /// Own placements since the last report.
    pub pending_placements: u32,
    heard_at: Instant,
    suspect_at: Instant,
    lost_at: Instant,
    forget_at: Instant,
    restarting_until: Option<Instant>,
}

/// Effect of a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The node was not known, or another process runs there now.
    New {
        /// Whether the process before said that its backend server drains.
        was_draining: bool,
    },
    /// The stance changed.
    Stance,
    /// Only figures changed.
    Load,
    /// The report is older than the last one.
    Stale,
}

/// All known nodes but the own one.
#[derive(Debug, Clone, Default)]
pub struct Members {
    nodes: BTreeMap<Ipv4Addr, Member>,
    generation: u64,
}

impl Member {
    fn new(ip: Ipv4Addr, report: Report, now: Instant) -> Self {
        Self {
            ip,
            busy: report.load.busy.into(),
            report,
            heard: false,
            pending_placements: 0,
            heard_at: now,
            suspect_at: now,
            lost_at: now + LOST_AFTER,
            forget_at: now + FORGET_AFTER,
            restarting_until: None,
        }
    }

    fn hear(&mut self, now: Instant) {
        self.heard = true;
        self.heard_at = now;
        self.suspect_at = now + SUSPECT_AFTER;
        self.lost_at = now + LOST_AFTER;
        self.forget_at = now + FORGET_AFTER;
    }

    /// Age of the last report.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.heard_at)
    }

    /// Whether the node reported lately.
    pub fn is_alive(&self, now: Instant) -> bool {
        now < self.suspect_at
    }

    /// Whether the node has been silent for so long that its flows should not wait for it.
    pub fn is_unreachable(&self, now: Instant) -> bool {
        now >= self.lost_at && !self.is_restarting(now)
    }

    /// Whether the process announced a restart.
    pub fn is_restarting(&self, now: Instant) -> bool {
        self.restarting_until.is_some_and(|until| now < until)
    }

    /// Whether the node is an agent that takes new flows of a service.
    pub fn is_open(&self, service: &Bytes, now: Instant) -> bool {
        self.is_agent(service) && self.report.stance == Stance::Open && self.is_alive(now)
    }

    /// Whether the node is an agent of a service that was heard lately and is not ready for new flows yet.
    pub fn is_joining(&self, service: &Bytes, now: Instant) -> bool {
        self.is_agent(service) && self.report.stance == Stance::Joining && self.is_alive(now)
    }

    /// Whether the node is an agent that will soon take new flows of a service, or may do so unheard.
    pub fn is_starting(&self, service: &Bytes, now: Instant) -> bool {
        self.is_agent(service) && (!self.heard || self.report.stance == Stance::Joining || self.is_restarting(now))
    }

    /// Whether an agent holds no flow. What the store or others tell of it may be out of date, and so is its own word once
    /// it is silent.
    fn holds_nothing(&self, now: Instant) -> bool {
        let vacant = self.report.stance == Stance::Leaving || (self.report.vacant && self.is_alive(now));
        self.heard && vacant
    }

    /// Whether the node is an agent of a service.
    pub fn is_agent(&self, service: &Bytes) -> bool {
        self.report.role == Role::Agent && self.report.service == *service
    }
}

impl Members {
    /// Takes a report.
    pub fn record_report(&mut self, ip: Ipv4Addr, report: Report, now: Instant) -> Change {
        let Some(known) = self.nodes.get_mut(&ip) else {
            let mut member = Member::new(ip, report, now);
            member.hear(now);
            self.nodes.insert(ip, member);
            self.generation += 1;
            return Change::New { was_draining: false };
        };
        let same_process = known.report.incarnation == report.incarnation;
        if same_process && known.heard && report.number <= known.report.number {
            return Change::Stale;
        }
        let change = if !same_process || !known.heard {
            Change::New {
                was_draining: known.report.stance == Stance::Draining,
            }
        } else if known.report.stance != report.stance {
            Change::Stance
        } else {
            Change::Load
        };
        if change != Change::Load {
            self.generation += 1;
        }
        known.restarting_until = (report.stance == Stance::Restarting).then(|| now + RESTART);
        known.pending_placements = 0;
        let busy = f64::from(report.load.busy);
        let gain = if matches!(change, Change::New { .. }) {
            1.0
        } else {
            BUSY_GAIN
        };
        known.busy += gain * (busy - known.busy);
        known.report = report;
        known.hear(now);
        change
    }

    /// Takes the nodes that the store or a peer lists. Nodes that are listed stay known although they are silent.
    pub fn add_listed(&mut self, listed: impl IntoIterator<Item = (Ipv4Addr, Report)>, now: Instant) -> Vec<Ipv4Addr> {
        let mut added = Vec::new();
        for (ip, report) in listed {
            if let Some(known) = self.nodes.get_mut(&ip) {
                known.forget_at = known.forget_at.max(now + FORGET_AFTER);
                continue;
            }
            self.nodes.insert(ip, Member::new(ip, report, now));
            self.generation += 1;
            added.push(ip);
        }
        added
    }

    /// Drops nodes that left, and silent ones that nobody lists.
    pub fn expire(&mut self, now: Instant) -> BTreeSet<Ipv4Addr> {
        let gone = |member: &Member| {
            now >= member.forget_at || (member.report.stance == Stance::Leaving && !member.is_alive(now))
        };
        let gone: BTreeSet<_> = self
            .iter()
            .filter(|member| gone(member))
            .map(|member| member.ip)
            .collect();
        for ip in &gone {
            self.nodes.remove(ip);
            self.generation += 1;
        }
        gone
    }

    /// Starts all silence anew after the own process stood still, since it read nothing meanwhile.
    pub fn extend_deadlines(&mut self, now: Instant) {
        for member in self.nodes.values_mut() {
            member.suspect_at = member.suspect_at.max(now + SUSPECT_AFTER);
            member.lost_at = member.lost_at.max(now + LOST_AFTER);
            member.forget_at = member.forget_at.max(now + FORGET_AFTER);
        }
    }

    /// A node of an address.
    pub fn get(&self, ip: Ipv4Addr) -> Option<&Member> {
        self.nodes.get(&ip)
    }

    /// Counts a placement until the next report.
    pub fn count_placement(&mut self, ip: Ipv4Addr) {
        if let Some(member) = self.nodes.get_mut(&ip) {
            member.pending_placements += 1;
        }
    }

    /// All nodes by address.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.nodes.values()
    }

    /// Agents of a service, whether they were heard or not.
    pub fn agents<'a>(&'a self, service: &'a Bytes) -> impl Iterator<Item = &'a Member> {
        self.iter().filter(move |member| member.is_agent(service))
    }

    /// Agents of a service that may hold flows. Those that said lately that they have no backend server do not, and may be
    /// gone at any moment.
    pub fn holders<'a>(&'a self, service: &'a Bytes, now: Instant) -> impl Iterator<Item = &'a Member> {
        self.agents(service).filter(move |member| !member.holds_nothing(now))
    }

    /// Grows with each change of the nodes or their stances.
    pub fn generation(&self) -> u64 {
        self.generation
    }
}
