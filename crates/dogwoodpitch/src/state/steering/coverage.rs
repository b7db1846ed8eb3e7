//! Coverage: whether the table of an agent holds all flows of its backend server. Flows that were opened through a previous
//! process of the agent are not in the table.

use std::time::{Duration, Instant};

/// Age of an agent at which its table holds all flows of a backend server that started earlier. No flow lives longer.
const COMPLETE_AFTER: Duration = Duration::from_secs(75);
/// Maximum time between two starts on one VM that count as simultaneous.
const SIMULTANEOUS_START: Duration = Duration::from_millis(500);

/// Start of a lifetime of the backend server, as its heartbeats tell it.
#[derive(Debug, Clone, Copy)]
pub struct Start {
    /// Start in milliseconds of the VM's clock, if it is reported.
    pub clock_ms: Option<u64>,
    /// Time since the first heartbeat of the lifetime.
    pub heartbeating_for: Duration,
}

/// Coverage of one agent's table.
#[derive(Debug, Clone)]
pub struct Coverage {
    started_at: Instant,
    started_ms: u64,
    complete: bool,
    /// Whether the backend server started at the same time as this process, by its first heartbeat.
    started_with_backend: bool,
    /// Whether no earlier process of this agent was announced in the store.
    is_first_process: bool,
}

impl Coverage {
    /// Coverage of a process that starts at this time; `started_ms` is the same in milliseconds of the VM's clock.
    pub fn new(started_at: Instant, started_ms: u64) -> Self {
        Self {
            started_at,
            started_ms,
            complete: false,
            started_with_backend: false,
            is_first_process: false,
        }
    }

    /// Whether the table holds all flows.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Whether flows that are older than this process may still be open.
    pub fn may_miss_older_flows(&self, now: Instant) -> bool {
        now < self.started_at + COMPLETE_AFTER
    }

    /// Records that the store lists no earlier process of this agent. A backend server that started shortly before this
    /// process has thus opened no flow unseen by it.
    pub fn mark_first_process(&mut self) {
        self.is_first_process = true;
        self.complete |= self.started_with_backend;
    }

    /// Handles the first lifetime of the backend server that is heard. Returns whether the table is complete.
    pub fn handle_first_lifetime(&mut self, start: Start, now: Instant) -> bool {
        self.started_with_backend = self.has_started_with(start, SIMULTANEOUS_START, now);
        let has_seen_all = self.has_started_with(start, Duration::ZERO, now);
        self.complete = has_seen_all || (self.is_first_process && self.started_with_backend);
        self.complete
    }

    /// Handles a further lifetime of the backend server. The table is complete if it began during this process.
    pub fn handle_further_lifetime(&mut self, start: Start, now: Instant) {
        self.complete |= self.has_started_with(start, Duration::ZERO, now);
    }

    /// Completes the table once no flow can be older than this process.
    pub fn tick(&mut self, now: Instant) {
        self.complete |= !self.may_miss_older_flows(now);
    }

    /// Whether a lifetime has started at most `margin` before this process. The clock may have been set in between, so its
    /// heartbeats must not have begun earlier either.
    fn has_started_with(&self, start: Start, margin: Duration, now: Instant) -> bool {
        let running_for = now.saturating_duration_since(self.started_at);
        let is_in_time = |clock_ms| Duration::from_millis(clock_ms) + margin >= Duration::from_millis(self.started_ms);
        start.clock_ms.is_some_and(is_in_time) && start.heartbeating_for <= running_for + margin
    }
}
