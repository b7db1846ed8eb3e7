//! Limit on the requests that a backend server gets while it is warming up.
//!
//! A backend server that has just started bears only a few requests a second. When all clients return to a data centre,
//! or a backend server is added in a burst, every balancer takes it for idle and sends it more than that at once. Only
//! the agent beside it sees the requests of all balancers, so the agent keeps the limit. It holds in any span of a
//! second; a count per second would allow twice as many around the border of two seconds.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Maximum number of requests that are remembered. A backend server that bears more a second is not limited.
const MAX_RECORDED: u16 = 2_048;
/// Time by which the delays of two requests, from the decision to the backend server, may differ.
const DELIVERY_JITTER: Duration = Duration::from_millis(20);
/// Longest time between two requests, so that a span stays within the range of the clock at any rate.
const MAX_SPACING: Duration = Duration::from_hours(24);

/// Requests that a backend server got while it was warming up, or while that was not known.
#[derive(Debug, Clone)]
pub struct Limit {
    /// Times of the newest requests, oldest first.
    requests: VecDeque<Instant>,
    /// Start of this process, if an earlier process may have delivered any number of requests until then.
    unknown_until: Option<Instant>,
}

impl Limit {
    /// Creates the limit of a process that starts now. An earlier process may have used up the limit just before.
    pub fn new(now: Instant) -> Self {
        Self {
            requests: VecDeque::new(),
            unknown_until: Some(now),
        }
    }

    /// Records that no earlier process has delivered any request to the backend server.
    pub fn mark_first_process(&mut self) {
        self.unknown_until = None;
    }

    /// Records a request at the backend server.
    pub fn record(&mut self, now: Instant) {
        if self.requests.len() == usize::from(MAX_RECORDED) {
            self.requests.pop_front();
        }
        self.requests.push_back(now);
    }

    /// Whether the backend server bears another request, at a rate above 0 in requests a second.
    pub fn admits(&self, rate: f64, now: Instant) -> bool {
        self.room_at(rate).is_none_or(|room_at| now >= room_at)
    }

    /// When the backend server bears another request; `None` if it has had room all the time. A span is a second, or
    /// longer so that it holds a whole number of requests.
    pub fn room_at(&self, rate: f64) -> Option<Instant> {
        let count = requests_per_span(rate)?;
        let span = spacing(rate) * u32::from(count) + DELIVERY_JITTER;
        let oldest = self.requests.len().checked_sub(count.into());
        let limiting = oldest.and_then(|index| self.requests.get(index)).copied();
        Some(limiting.max(self.unknown_until)? + span)
    }
}

/// Mean time between two requests.
pub fn spacing(rate: f64) -> Duration {
    Duration::try_from_secs_f64(1.0 / rate).map_or(MAX_SPACING, |spacing| spacing.min(MAX_SPACING))
}

/// Number of requests in a span, or `None` if there are too many to remember.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the number is between 1 and the maximum"
)]
fn requests_per_span(rate: f64) -> Option<u16> {
    let count = rate.ceil().max(1.0);
    (count <= f64::from(MAX_RECORDED)).then_some(count as u16)
}
