//! Failure detector for the agents, as observed by one balancer. The roster and the leases don't count as signs of
//! life.
//!
//! An announced agent is presumed alive. It becomes suspect when it sends nothing after a forwarded Initial, until the
//! next frame from it arrives. A suspicion applies to one incarnation: a restarted agent is presumed alive again.

use std::{
    collections::HashMap,
    net::SocketAddrV4,
    time::{Duration, Instant},
};

/// Interval between calls of [`Detector::check`].
pub const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Silence after a forwarded Initial until the agent is probed. The Retry packet in answer to an Initial takes one
/// round trip of at most 8 ms plus the jitter of the links.
const PROBE_AFTER: Duration = Duration::from_millis(150);
/// Silence after a forwarded Initial until the agent becomes suspect. A caller retransmits its Initial after about a
/// second, and the retransmission should already go to another agent.
const SUSPECT_AFTER: Duration = Duration::from_millis(400);
/// Interval between the first probes of a suspect agent. It doubles up to [`MAX_PROBE_INTERVAL`].
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(4);
/// A longer gap between two checks shows that this process was paused. Frames may then wait unread in its socket.
const MAX_CHECK_GAP: Duration = Duration::from_millis(250);

/// Failure detector of one balancer.
#[derive(Debug, Default)]
pub struct Detector {
    agents: HashMap<SocketAddrV4, Record>,
    checked_at: Option<Instant>,
}

/// State of one agent.
#[derive(Debug)]
struct Record {
    incarnation: u32,
    /// When the agent becomes suspect unless a frame from it arrives before.
    suspect_at: Option<Instant>,
    /// When the agent is due for a probe.
    probe_at: Option<Instant>,
    probe_interval: Duration,
    suspicion: Option<Suspicion>,
}

/// Suspicion that an incarnation of an agent has failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Suspicion {
    /// Address of the agent.
    pub agent: SocketAddrV4,
    /// Incarnation that stopped sending.
    pub incarnation: u32,
}

/// Result of a check.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Agent to probe now: the one whose probe is most overdue. At 20 checks per second and 58 bytes per probe, probes
    /// take less than 1.2 KB/s even when a whole data centre is suspect.
    pub probe: Option<SocketAddrV4>,
    /// Suspicions that this check raised.
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
    /// Adds and removes agents to match the roster, and ends the suspicions of older incarnations.
    pub fn sync_roster(&mut self, roster: impl Iterator<Item = (SocketAddrV4, u32)>) {
        let mut known = std::mem::take(&mut self.agents);
        for (agent, incarnation) in roster {
            let record = known.remove(&agent).filter(|record| record.incarnation >= incarnation);
            let record = record.unwrap_or_else(|| Record::new(incarnation));
            self.agents.insert(agent, record);
        }
    }

    /// Records that a frame from an agent has arrived. Returns the suspicion that this ends.
    pub fn record_frame(&mut self, agent: SocketAddrV4) -> Option<Suspicion> {
        let record = self.agents.get_mut(&agent)?;
        record.suspect_at = None;
        record.probe_at = None;
        record.probe_interval = PROBE_INTERVAL;
        record.suspicion.take()
    }

    /// Records that an Initial was forwarded to an agent, which must answer it.
    pub fn record_initial(&mut self, agent: SocketAddrV4, now: Instant) {
        let Some(record) = self.agents.get_mut(&agent) else {
            return;
        };
        if record.suspicion.is_none() && record.suspect_at.is_none() {
            record.suspect_at = Some(now + SUSPECT_AFTER);
            record.probe_at = Some(now + PROBE_AFTER);
        }
    }

    /// Whether an agent is suspect.
    pub fn is_suspected(&self, agent: SocketAddrV4) -> bool {
        self.agents.get(&agent).is_some_and(|record| record.suspicion.is_some())
    }

    /// Number of suspect agents.
    pub fn suspected_count(&self) -> usize {
        self.agents.values().filter(|record| record.suspicion.is_some()).count()
    }

    /// Raises suspicions of silent agents and selects the agent to probe. Must be called every [`CHECK_INTERVAL`].
    pub fn check(&mut self, now: Instant) -> Outcome {
        let was_paused = self
            .checked_at
            .is_some_and(|checked_at| now > checked_at + MAX_CHECK_GAP);
        self.checked_at = Some(now);
        let mut outcome = Outcome::default();
        let mut next_probe = None;
        for (&agent, record) in &mut self.agents {
            if was_paused {
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
                outcome.suspicions.push(suspicion);
            }
            if let Some(probe_at) = record.probe_at.filter(|probe_at| *probe_at <= now)
                && next_probe.is_none_or(|(earliest, _)| probe_at < earliest)
            {
                next_probe = Some((probe_at, agent));
            }
        }
        if let Some((_, agent)) = next_probe
            && let Some(record) = self.agents.get_mut(&agent)
        {
            record.probe_at = record.suspicion.map(|_| now + record.probe_interval);
            record.probe_interval = (record.probe_interval * 2).min(MAX_PROBE_INTERVAL);
            outcome.probe = Some(agent);
        }
        outcome
    }
}
