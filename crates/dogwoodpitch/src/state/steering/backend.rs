//! Life of the backend server beside an agent, as its heartbeats and its packets show it.

use std::time::{Duration, Instant};

use bytes::Bytes;

/// Missed heartbeats after which a backend server gets no new flows.
const MISSED_HEARTBEATS: u32 = 3;
/// Silence after which a lifetime with an earlier start may replace the present one: its clock was set back.
const CLOCK_SET_BACK: Duration = Duration::from_secs(3);

/// Time between the word of a backend server that it ends and its end.
const EXIT: Duration = Duration::from_millis(200);
/// Longest time that a draining backend server serves its flows with a closed port.
const CLOSED_PORT: Duration = Duration::from_millis(1_500);
/// Slots of a backend server that accepts connections but has not told them yet.
const ASSUMED_SLOTS: u32 = 4;

/// What a backend server says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Takes new flows.
    Ready,
    /// Finishes its flows and takes no new ones.
    Draining,
    /// Has ended or was never heard.
    Down,
}

/// One heartbeat.
#[derive(Debug, Clone)]
pub struct Heartbeat {
    /// Name of the lifetime.
    pub id: Bytes,
    /// Start of the lifetime in milliseconds of the backend server's clock, if it is told.
    pub started_ms: Option<u64>,
    /// Number of the heartbeat within its lifetime.
    pub number: u64,
    /// Whether the backend server is draining.
    pub draining: bool,
    /// Requests that run at the same time.
    pub slots: u32,
    /// How much longer the backend server is slow after its start.
    pub warm_up: Duration,
}

/// Effect of a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A lifetime began; the flows of the one before are gone.
    Started,
    /// The present lifetime goes on.
    Continued,
    /// The heartbeat is an older one of the present lifetime.
    Repeated,
    /// The heartbeat is of a lifetime that has ended. It must not be confirmed: were it of a newer one, whose clock was set
    /// back, its word that it drains would be lost.
    Stale,
}

/// Backend server beside an agent.
#[derive(Debug, Clone)]
pub struct Backend {
    lifetime: Option<Lifetime>,
    /// Phase by its own word.
    phase: Phase,
    /// When a backend server that said that it ends has ended.
    gone_at: Option<Instant>,
    /// When refused connections mean that a draining backend server has ended without a word.
    refused_until: Option<Instant>,
    /// Requests that run at the same time.
    pub slots: u32,
    /// When the backend server reaches its full speed.
    pub warm_at: Instant,
    silent_at: Instant,
    heartbeat_interval: Duration,
}

#[derive(Debug, Clone)]
struct Lifetime {
    id: Bytes,
    started_ms: Option<u64>,
    number: u64,
    heard: Instant,
}

impl Backend {
    /// Backend server that has not been heard.
    pub fn new(heartbeat_interval: Duration, now: Instant) -> Self {
        Self {
            lifetime: None,
            phase: Phase::Down,
            gone_at: None,
            refused_until: None,
            slots: 0,
            warm_at: now,
            silent_at: now,
            heartbeat_interval,
        }
    }

    /// Longest time between the start of a backend server and its first heartbeat.
    pub fn first_heartbeat(&self) -> Duration {
        self.heartbeat_interval * MISSED_HEARTBEATS
    }

    /// Takes a heartbeat.
    pub fn heartbeat(&mut self, beat: &Heartbeat, now: Instant) -> Outcome {
        let outcome = self.compare(beat, now);
        if matches!(outcome, Outcome::Repeated | Outcome::Stale) {
            return outcome;
        }
        self.lifetime = Some(Lifetime {
            id: beat.id.clone(),
            started_ms: beat.started_ms,
            number: beat.number,
            heard: now,
        });
        if outcome == Outcome::Started {
            self.gone_at = None;
            self.refused_until = None;
        }
        // A drain is never taken back within a lifetime.
        let drained = outcome == Outcome::Continued && self.phase == Phase::Draining;
        self.phase = if beat.draining || drained {
            Phase::Draining
        } else {
            Phase::Ready
        };
        self.slots = beat.slots.max(1);
        self.warm_at = now + beat.warm_up;
        self.silent_at = now + self.heartbeat_interval * MISSED_HEARTBEATS;
        outcome
    }

    fn compare(&self, beat: &Heartbeat, now: Instant) -> Outcome {
        let Some(known) = &self.lifetime else {
            return Outcome::Started;
        };
        if known.id == beat.id && known.started_ms == beat.started_ms {
            return if beat.number > known.number {
                Outcome::Continued
            } else {
                Outcome::Repeated
            };
        }
        let silent = now > known.heard + CLOCK_SET_BACK;
        if beat.started_ms < known.started_ms && !silent {
            return Outcome::Stale;
        }
        Outcome::Started
    }

    /// The address accepts connections before the first heartbeat of the backend server: it is up, and how it is shows
    /// with the heartbeat.
    pub fn handle_connection_accepted(&mut self, now: Instant) {
        self.refused_until = None;
        if self.lifetime.is_none() && self.phase == Phase::Down {
            self.phase = Phase::Ready;
            self.slots = ASSUMED_SLOTS;
            self.silent_at = now + self.heartbeat_interval * MISSED_HEARTBEATS;
        }
    }

    /// A peer says that the backend server was draining before its agent restarted; its next heartbeat decides.
    pub fn was_draining(&mut self) {
        if self.lifetime.is_none() {
            self.phase = Phase::Draining;
        }
    }

    /// Takes the word that a lifetime is about to end. Its flows last until its address refuses connections. Returns
    /// whether it is the present one.
    pub fn handle_exit_notice(&mut self, id: &Bytes, now: Instant) -> bool {
        let present = self.lifetime.as_ref().is_some_and(|lifetime| lifetime.id == *id);
        if present && self.phase != Phase::Down {
            self.phase = Phase::Draining;
            self.gone_at = Some(now + EXIT);
        }
        present
    }

    /// Whether the present lifetime has said that it ends.
    pub fn has_left(&self) -> bool {
        self.gone_at.is_some()
    }

    /// The address of the backend server refused a connection. Returns whether that means its end: a draining one closes
    /// its port a little before it ends, and its flows are served meanwhile.
    pub fn refused(&mut self, now: Instant) -> bool {
        let refused_until = *self.refused_until.get_or_insert(now + CLOSED_PORT);
        let ended = match self.phase {
            Phase::Ready => true,
            Phase::Draining => now >= self.gone_at.unwrap_or(refused_until),
            Phase::Down => false,
        };
        if ended {
            self.phase = Phase::Down;
        }
        ended
    }

    /// Phase at a time. A backend server without heartbeats takes no new flows but keeps its open ones.
    pub fn phase(&self, now: Instant) -> Phase {
        match self.phase {
            Phase::Ready if now >= self.silent_at => Phase::Draining,
            phase => phase,
        }
    }

    /// Whether the backend server is known to have ended.
    pub fn is_down(&self) -> bool {
        self.phase == Phase::Down
    }

    /// Whether no backend server is there: it has ended, or its address has refused connections since the agent's start.
    pub fn is_absent(&self) -> bool {
        self.phase == Phase::Down && self.refused_until.is_some()
    }

    /// Whether a heartbeat has been taken.
    pub fn has_heartbeat(&self) -> bool {
        self.lifetime.is_some()
    }

    /// Whether the backend server is still slow after its start.
    pub fn is_cold(&self, now: Instant) -> bool {
        now < self.warm_at
    }
}
