//! Life of the backend server beside an agent, as its heartbeats and its packets show it.

use std::time::{Duration, Instant};

use bytes::Bytes;

/// Missed heartbeats after which a backend server gets no new flows.
const MISSED_HEARTBEATS: u32 = 3;
/// Silence after which a lifetime with an earlier start may replace the present one: its clock was set back.
const CLOCK_SET_BACK: Duration = Duration::from_secs(3);

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
    pub cold: Duration,
}

/// Effect of a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A lifetime began; the flows of the one before are gone.
    Started,
    /// The present lifetime goes on.
    Continued,
    /// The heartbeat is older than what is known.
    Stale,
}

/// Backend server beside an agent.
#[derive(Debug, Clone)]
pub struct Backend {
    lifetime: Option<Lifetime>,
    /// Phase by its own word.
    phase: Phase,
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
            slots: 0,
            warm_at: now,
            silent_at: now,
            heartbeat_interval,
        }
    }

    /// Takes a heartbeat.
    pub fn heartbeat(&mut self, beat: &Heartbeat, now: Instant) -> Outcome {
        let outcome = self.compare(beat, now);
        if outcome == Outcome::Stale {
            return outcome;
        }
        self.lifetime = Some(Lifetime {
            id: beat.id.clone(),
            started_ms: beat.started_ms,
            number: beat.number,
            heard: now,
        });
        // A drain is never taken back within a lifetime.
        let drained = outcome == Outcome::Continued && self.phase == Phase::Draining;
        self.phase = if beat.draining || drained {
            Phase::Draining
        } else {
            Phase::Ready
        };
        self.slots = beat.slots.max(1);
        self.warm_at = now + beat.cold;
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
                Outcome::Stale
            };
        }
        let silent = now > known.heard + CLOCK_SET_BACK;
        if beat.started_ms < known.started_ms && !silent {
            return Outcome::Stale;
        }
        Outcome::Started
    }

    /// Takes the word that a lifetime ends. Returns whether it is the present one.
    pub fn leave(&mut self, id: &Bytes) -> bool {
        let present = self.lifetime.as_ref().is_some_and(|lifetime| lifetime.id == *id);
        if present {
            self.phase = Phase::Down;
        }
        present
    }

    /// The address of the backend server refuses packets: it has ended.
    pub fn refused(&mut self) {
        self.phase = Phase::Down;
    }

    /// Phase at a time. A backend server without heartbeats takes no new flows but keeps its open ones.
    pub fn phase(&self, now: Instant) -> Phase {
        match self.phase {
            Phase::Ready if now >= self.silent_at => Phase::Draining,
            phase => phase,
        }
    }

    /// Start of the present lifetime in milliseconds of the backend server's clock.
    pub fn started_ms(&self) -> Option<u64> {
        self.lifetime.as_ref().and_then(|lifetime| lifetime.started_ms)
    }

    /// Whether the backend server is known to have ended.
    pub fn is_down(&self) -> bool {
        self.phase == Phase::Down
    }

    /// Whether a heartbeat has been taken.
    pub fn is_heard(&self) -> bool {
        self.lifetime.is_some()
    }

    /// Whether the backend server is still slow after its start.
    pub fn is_cold(&self, now: Instant) -> bool {
        now < self.warm_at
    }
}
