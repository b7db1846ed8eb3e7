//! Limit on repeated log lines.

use std::{
    cell::Cell,
    time::{Duration, Instant},
};

/// Time between two lines of one limit. Bad packets arrive at any rate; one line a second is enough to find their source.
const INTERVAL: Duration = Duration::from_secs(1);

/// Lets one event a second through and counts the others.
#[derive(Debug, Default)]
pub struct Throttle {
    open_at: Cell<Option<Instant>>,
    suppressed: Cell<u64>,
}

impl Throttle {
    /// Number of suppressed events since the last admitted one, if this event is admitted.
    pub fn allow(&self, now: Instant) -> Option<u64> {
        if self.open_at.get().is_some_and(|open_at| now < open_at) {
            self.suppressed.set(self.suppressed.get() + 1);
            return None;
        }
        self.open_at.set(Some(now + INTERVAL));
        Some(self.suppressed.take())
    }
}
