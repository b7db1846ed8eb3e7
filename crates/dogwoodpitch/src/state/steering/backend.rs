//! State of an agent's backend server, derived from its heartbeats and from connection checks of its address.

use std::time::{Duration, Instant};

use bytes::Bytes;

/// Number of missed heartbeats after which a backend server gets no new flows.
const MAX_MISSED_HEARTBEATS: u32 = 3;
/// Time without heartbeats after which a lifetime with an earlier start may replace the current one. Its clock was set
/// back.
const CLOCK_RESET_SILENCE: Duration = Duration::from_secs(3);

/// Time between the exit notice of a backend server and its exit.
const EXIT_DELAY: Duration = Duration::from_millis(200);
/// Maximum time that a backend server serves flows while its port is closed, before its exit or after its start.
const MAX_CLOSED_PORT_TIME: Duration = Duration::from_millis(1_500);
/// Minimum time between the last packet of a lifetime and the first one of the next.
const MIN_RESTART_TIME: Duration = Duration::from_millis(200);
/// Slots assumed for a backend server that accepts connections but has not sent a heartbeat yet.
const ASSUMED_SLOTS: u32 = 4;

/// Phase of a backend server's lifetime.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Accepts new flows.
    Ready,
    /// Finishes its flows and accepts no new ones.
    Draining,
    /// Has exited, or has not been detected yet.
    Down,
}

/// Heartbeat of a backend server.
#[derive(Debug, Clone)]
pub struct Heartbeat {
    /// Identifier of the lifetime.
    pub id: Bytes,
    /// Start of the lifetime in milliseconds of the backend server's clock, if it is reported.
    pub started_ms: Option<u64>,
    /// Sequence number of the heartbeat within the lifetime.
    pub number: u64,
    /// Whether the backend server is draining.
    pub draining: bool,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Remaining time until the backend server reaches its full speed.
    pub warm_up: Duration,
}

/// Outcome of a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A new lifetime began; the flows of the previous one are gone.
    Started,
    /// The heartbeat is the newest of the current lifetime.
    Continued,
    /// The heartbeat is a duplicate or an older one of the current lifetime.
    Repeated,
    /// The heartbeat belongs to an ended lifetime and must not be confirmed. If it were from a newer lifetime whose
    /// clock was set back, confirming it would lose its notice that it is draining.
    Stale,
}

/// What a refused connection to the backend server's address proves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The backend server may still serve all of its flows.
    Inconclusive,
    /// The current lifetime has ended. Flows that were opened after the given time may belong to a new lifetime, which
    /// has not opened its port yet.
    EndedUntil(Instant),
    /// The backend server has exited.
    Exited,
}

/// Backend server of an agent.
#[derive(Debug, Clone)]
pub struct Backend {
    lifetime: Option<Lifetime>,
    /// Phase without regard to missed heartbeats.
    phase: Phase,
    /// When a backend server that has sent an exit notice is expected to have exited.
    exits_at: Option<Instant>,
    /// From when on refused connections mean that the backend server has exited without a notice, although it may have
    /// served flows with a closed port.
    refusals_mean_exit_at: Option<Instant>,
    /// Time of the last heartbeat or packet of the backend server.
    last_seen_at: Option<Instant>,
    /// When the first silence began after which the backend server sent packets, but nothing that tells its lifetime.
    /// It may have restarted in that time.
    may_have_restarted_at: Option<Instant>,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// When the backend server reaches its full speed.
    pub warm_at: Instant,
    heartbeat_due_at: Instant,
    heartbeat_interval: Duration,
}

#[derive(Debug, Clone)]
struct Lifetime {
    id: Bytes,
    started_ms: Option<u64>,
    number: u64,
    last_heartbeat_at: Instant,
}

impl Backend {
    /// Creates the state of a backend server that has not been detected yet.
    pub fn new(heartbeat_interval: Duration, now: Instant) -> Self {
        Self {
            lifetime: None,
            phase: Phase::Down,
            exits_at: None,
            refusals_mean_exit_at: None,
            last_seen_at: None,
            may_have_restarted_at: None,
            slots: 0,
            warm_at: now,
            heartbeat_due_at: now,
            heartbeat_interval,
        }
    }

    /// Maximum time between the start of a backend server and its first heartbeat.
    pub fn max_first_heartbeat_delay(&self) -> Duration {
        self.heartbeat_interval * MAX_MISSED_HEARTBEATS
    }

    /// Time between the first heartbeat of a lifetime and this one, as its number tells.
    pub fn heartbeating_for(&self, heartbeat: &Heartbeat) -> Duration {
        let earlier = u32::try_from(heartbeat.number.saturating_sub(1)).unwrap_or(u32::MAX);
        self.heartbeat_interval.saturating_mul(earlier)
    }

    /// Handles a heartbeat.
    pub fn handle_heartbeat(&mut self, heartbeat: &Heartbeat, now: Instant) -> Outcome {
        let outcome = self.compare(heartbeat, now);
        if matches!(outcome, Outcome::Repeated | Outcome::Stale) {
            return outcome;
        }
        self.lifetime = Some(Lifetime {
            id: heartbeat.id.clone(),
            started_ms: heartbeat.started_ms,
            number: heartbeat.number,
            last_heartbeat_at: now,
        });
        if outcome == Outcome::Started {
            self.exits_at = None;
        }
        self.refusals_mean_exit_at = None;
        self.last_seen_at = Some(now);
        self.may_have_restarted_at = None;
        // A drain is never revoked within a lifetime.
        let was_draining = outcome == Outcome::Continued && self.phase == Phase::Draining;
        self.phase = if heartbeat.draining || was_draining {
            Phase::Draining
        } else {
            Phase::Ready
        };
        self.slots = heartbeat.slots.max(1);
        self.warm_at = now.checked_add(heartbeat.warm_up).unwrap_or(now);
        self.heartbeat_due_at = now + self.heartbeat_interval * MAX_MISSED_HEARTBEATS;
        outcome
    }

    fn compare(&self, heartbeat: &Heartbeat, now: Instant) -> Outcome {
        let Some(known) = &self.lifetime else {
            return Outcome::Started;
        };
        if known.id == heartbeat.id && known.started_ms == heartbeat.started_ms {
            return if heartbeat.number > known.number {
                Outcome::Continued
            } else {
                Outcome::Repeated
            };
        }
        let silent = now > known.last_heartbeat_at + CLOCK_RESET_SILENCE;
        if heartbeat.started_ms < known.started_ms && !silent {
            return Outcome::Stale;
        }
        Outcome::Started
    }

    /// Handles an accepted connection to the backend server's address. Before the first heartbeat, it means that the
    /// backend server is up; the heartbeat will tell the details.
    pub fn handle_connection_accepted(&mut self, now: Instant) {
        self.refusals_mean_exit_at = None;
        self.may_have_restarted_at = None;
        if self.lifetime.is_none() && self.phase == Phase::Down {
            self.phase = Phase::Ready;
            self.slots = ASSUMED_SLOTS;
            self.heartbeat_due_at = now + self.heartbeat_interval * MAX_MISSED_HEARTBEATS;
        }
    }

    /// Handles the notice of a peer that the backend server was draining before its agent restarted. The phase is
    /// draining until the next heartbeat tells it.
    pub fn assume_draining(&mut self) {
        if self.lifetime.is_none() {
            self.phase = Phase::Draining;
        }
    }

    /// Handles the notice that a lifetime is about to end. Its flows last until its address refuses connections.
    /// Returns whether it is the current lifetime.
    pub fn handle_exit_notice(&mut self, id: &Bytes, now: Instant) -> bool {
        let present = self.lifetime.as_ref().is_some_and(|lifetime| lifetime.id == *id);
        if present && self.phase != Phase::Down {
            self.phase = Phase::Draining;
            self.exits_at = Some(now + EXIT_DELAY);
        }
        present
    }

    /// Whether the current lifetime has sent an exit notice.
    pub fn has_announced_exit(&self) -> bool {
        self.exits_at.is_some()
    }

    /// Handles a packet of the backend server, which proves that it lives.
    pub fn handle_packet(&mut self, now: Instant) {
        if let Some(last_seen_at) = self.last_seen_at
            && now >= last_seen_at + MIN_RESTART_TIME
        {
            self.may_have_restarted_at.get_or_insert(last_seen_at);
        }
        self.last_seen_at = Some(now);
        if self.phase == Phase::Down {
            self.refusals_mean_exit_at = None;
        }
    }

    /// Handles a refused connection to the backend server's address, by a check that began at `checked_at`. A draining
    /// backend server closes its port shortly before it exits, and one that has just started may open it late; both
    /// serve flows meanwhile.
    pub fn handle_connection_refused(&mut self, checked_at: Instant) -> Refusal {
        if self.last_seen_at.is_some_and(|last_seen_at| last_seen_at > checked_at) {
            return Refusal::Inconclusive;
        }
        let is_first = self.refusals_mean_exit_at.is_none();
        let refusals_mean_exit_at = *self
            .refusals_mean_exit_at
            .get_or_insert(checked_at + MAX_CLOSED_PORT_TIME);
        let is_due = |due_at: Instant, max_silence: Duration| {
            let silent_at = self.last_seen_at.map(|seen_at| seen_at + max_silence);
            checked_at >= due_at && silent_at.is_none_or(|silent_at| checked_at >= silent_at)
        };
        let unannounced_exit = is_due(refusals_mean_exit_at, MAX_CLOSED_PORT_TIME);
        let announced_exit = self.exits_at.map(|exits_at| is_due(exits_at, EXIT_DELAY));
        let refusal = match (self.phase, self.may_have_restarted_at) {
            (Phase::Ready, Some(restart_at)) if !unannounced_exit && is_first => Refusal::EndedUntil(restart_at),
            (Phase::Ready, Some(_)) if !unannounced_exit => Refusal::Inconclusive,
            (Phase::Ready, _) => Refusal::Exited,
            (Phase::Draining, _) if announced_exit.unwrap_or(unannounced_exit) => Refusal::Exited,
            // Its agent may have started after it has exited.
            (Phase::Down, _) if unannounced_exit => Refusal::Exited,
            (Phase::Draining | Phase::Down, _) => Refusal::Inconclusive,
        };
        if refusal == Refusal::Exited {
            self.phase = Phase::Down;
        }
        refusal
    }

    /// Whether the backend server's address refused the last connection, and nothing has shown since that its port is
    /// open.
    pub fn refuses_connections(&self) -> bool {
        self.refusals_mean_exit_at.is_some()
    }

    /// Phase at a given time. A backend server that misses heartbeats or refuses connections gets no new flows but keeps
    /// its open ones.
    pub fn phase(&self, now: Instant) -> Phase {
        match self.phase {
            Phase::Ready if now >= self.heartbeat_due_at || self.refuses_connections() => Phase::Draining,
            phase => phase,
        }
    }

    /// Whether the backend server has exited or has not been detected yet.
    pub fn is_down(&self) -> bool {
        self.phase == Phase::Down
    }

    /// Whether there is no backend server: it has exited, or its address has refused connections since the agent
    /// started. It has sent no packet since then.
    pub fn is_absent(&self) -> bool {
        self.phase == Phase::Down && self.refuses_connections()
    }

    /// Time of the last heartbeat of the current lifetime.
    pub fn last_heartbeat_at(&self) -> Option<Instant> {
        self.lifetime.as_ref().map(|lifetime| lifetime.last_heartbeat_at)
    }

    /// Whether a heartbeat has been accepted.
    pub fn has_heartbeat(&self) -> bool {
        self.lifetime.is_some()
    }

    /// Whether the backend server is still warming up after its start.
    pub fn is_cold(&self, now: Instant) -> bool {
        now < self.warm_at
    }
}
