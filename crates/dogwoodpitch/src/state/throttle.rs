//! Rate limit for repeated log lines.

use std::{
    cell::Cell,
    time::{Duration, Instant},
};

/// Minimum time between two log lines. Invalid packets can arrive at any rate; one line per second is enough to find
/// their source.
const MIN_INTERVAL: Duration = Duration::from_secs(1);

/// Allows one event per second and counts the suppressed ones.
#[derive(Debug, Default)]
pub struct Throttle {
    next_allowed_at: Cell<Option<Instant>>,
    suppressed: Cell<u64>,
}

impl Throttle {
    /// Returns the number of events suppressed since the last allowed one, or `None` if this event is suppressed too.
    pub fn allow(&self, now: Instant) -> Option<u64> {
        if self
            .next_allowed_at
            .get()
            .is_some_and(|next_allowed_at| now < next_allowed_at)
        {
            self.suppressed.set(self.suppressed.get() + 1);
            return None;
        }
        self.next_allowed_at.set(Some(now + MIN_INTERVAL));
        Some(self.suppressed.take())
    }
}
