//! Liveness of agents as one balancer observes it. The roster and leases prove nothing here.
//!
//! An agent that has announced itself is presumed alive. It is suspected when it stays silent after a forwarded Initial,
//! and any later frame of it ends the suspicion. A suspicion belongs to one incarnation: a restarted agent is presumed
//! alive again.

use std::{
    collections::HashMap,
    net::SocketAddrV4,
    time::{Duration, Instant},
};

/// Time between calls of [`Detector::check`].
pub const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Silence after a forwarded Initial until the agent is asked with a probe. Retry answers take one round trip of at most
/// 8 ms plus the jitter of the links.
const PROBE_AFTER: Duration = Duration::from_millis(150);
/// Silence after a forwarded Initial until the agent is suspected. A caller sends its Initial again after about a second,
/// and that one should already go to another agent.
const SUSPECT_AFTER: Duration = Duration::from_millis(400);
/// Time between the first probes of a suspected agent; it doubles up to [`MAX_PROBE_INTERVAL`].
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(4);
/// A check that comes this late shows that this process itself stood still; answers may wait unread in its socket.
const MAX_CHECK_GAP: Duration = Duration::from_millis(250);

/// What a balancer knows about the agents.
#[derive(Debug, Default)]
pub struct Detector {
    agents: HashMap<SocketAddrV4, Record>,
    checked_at: Option<Instant>,
}

#[derive(Debug)]
struct Record {
    incarnation: u32,
    /// When the agent is suspected unless it is heard before.
    suspect_at: Option<Instant>,
    /// When the next probe is due.
    probe_at: Option<Instant>,
    probe_interval: Duration,
    suspicion: Option<Suspicion>,
}

/// A suspicion that an incarnation of an agent is dead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Suspicion {
    /// Address of the agent.
    pub agent: SocketAddrV4,
    /// Incarnation that fell silent.
    pub incarnation: u32,
}

/// Result of a check.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Agent to probe now: the one whose probe is most overdue. With 20 checks a second and 58 bytes a probe this stays
    /// under 1.2 KB/s when a whole data centre is suspected.
    pub probe: Option<SocketAddrV4>,
    /// New suspicions.
    pub suspicions: Vec<Suspicion>,
}

impl Record {
    fn new(incarnation: u32) -> Self {
        Self {
            incarnation,
            suspect_at: None,
            probe_at: None,
            probe_interval: PROBE_INTERVAL,
            suspicion: None,
        }
    }
}

impl Detector {
    /// Follows the roster: adds and removes agents, and ends the suspicions of older incarnations.
    pub fn sync_roster(&mut self, roster: impl Iterator<Item = (SocketAddrV4, u32)>) {
        let mut known = std::mem::take(&mut self.agents);
        for (agent, incarnation) in roster {
            let record = known.remove(&agent).filter(|record| record.incarnation >= incarnation);
            let record = record.unwrap_or_else(|| Record::new(incarnation));
            self.agents.insert(agent, record);
        }
    }

    /// Notes that a frame of an agent arrived. Returns the suspicion that this ends.
    pub fn record_frame(&mut self, agent: SocketAddrV4) -> Option<Suspicion> {
        let record = self.agents.get_mut(&agent)?;
        record.suspect_at = None;
        record.probe_at = None;
        record.probe_interval = PROBE_INTERVAL;
        record.suspicion.take()
    }

    /// Notes that an Initial was forwarded to an agent, which has to answer it.
    pub fn record_initial(&mut self, agent: SocketAddrV4, now: Instant) {
        let Some(record) = self.agents.get_mut(&agent) else {
            return;
        };
        if record.suspicion.is_none() && record.suspect_at.is_none() {
            record.suspect_at = Some(now + SUSPECT_AFTER);
            record.probe_at = Some(now + PROBE_AFTER);
        }
    }

    /// Whether an agent is suspected.
    pub fn is_suspected(&self, agent: SocketAddrV4) -> bool {
        self.agents.get(&agent).is_some_and(|record| record.suspicion.is_some())
    }

    /// Number of suspected agents.
    pub fn suspected_count(&self) -> usize {
        self.agents.values().filter(|record| record.suspicion.is_some()).count()
    }

    /// Suspects silent agents and tells whom to probe. To be called every [`CHECK_INTERVAL`].
    pub fn check(&mut self, now: Instant) -> Outcome {
        let late = self
            .checked_at
            .is_some_and(|checked_at| now > checked_at + MAX_CHECK_GAP);
        self.checked_at = Some(now);
        let mut due = Outcome::default();
        let mut next = None;
        for (&agent, record) in &mut self.agents {
            if late {
                record.suspect_at = record.suspect_at.map(|_| now + SUSPECT_AFTER);
                record.probe_at = record.probe_at.map(|_| now);
            }
            if record.suspect_at.is_some_and(|suspect_at| suspect_at <= now) {
                record.suspect_at = None;
                record.probe_at = Some(now + record.probe_interval);
                let suspicion = Suspicion {
                    agent,
                    incarnation: record.incarnation,
                };
                record.suspicion = Some(suspicion);
                due.suspicions.push(suspicion);
            }
            if let Some(probe_at) = record.probe_at.filter(|probe_at| *probe_at <= now)
                && next.is_none_or(|(earliest, _)| probe_at < earliest)
            {
                next = Some((probe_at, agent));
            }
        }
        if let Some((_, agent)) = next
            && let Some(record) = self.agents.get_mut(&agent)
        {
            record.probe_at = record.suspicion.map(|_| now + record.probe_interval);
            record.probe_interval = (record.probe_interval * 2).min(MAX_PROBE_INTERVAL);
            due.probe = Some(agent);
        }
        due
    }
}
