//! Retry budget: bounds retries to a share of recent requests, so that retries cannot multiply an overload.

use std::time::{Duration, Instant};

/// Requests per retry that is allowed.
const REQUESTS_PER_RETRY: u32 = 10;
/// Retries a window that are allowed without any request, so that a quiet caller can still recover from one loss.
const FLOOR: u32 = 3;
/// Length of a bucket; a window is [`BUCKETS`] of them.
const BUCKET: Duration = Duration::from_secs(1);
const BUCKETS: usize = 10;

/// Counts of recent requests and retries of one session.
#[derive(Debug, Clone, Default)]
pub struct Budget {
    start: Option<Instant>,
    /// Number of the newest bucket, counted from `start`.
    newest: u64,
    requests: [u32; BUCKETS],
    retries: [u32; BUCKETS],
}

impl Budget {
    /// Opens a budget without any recorded request.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a first attempt.
    pub fn record_request(&mut self, now: Instant) {
        let index = self.advance(now);
        self.requests[index] = self.requests[index].saturating_add(1);
    }

    /// Takes one retry from the budget. `false` means that the retry must not be sent.
    pub fn try_retry(&mut self, now: Instant) -> bool {
        let index = self.advance(now);
        let requests: u64 = self.requests.iter().copied().map(u64::from).sum();
        let retries: u64 = self.retries.iter().copied().map(u64::from).sum();
        if retries >= u64::from(FLOOR) + requests / u64::from(REQUESTS_PER_RETRY) {
            return false;
        }
        self.retries[index] += 1;
        true
    }

    /// Clears the buckets that have left the window and returns the index of the current one.
    fn advance(&mut self, now: Instant) -> usize {
        let start = *self.start.get_or_insert(now);
        let age = now.saturating_duration_since(start).as_secs() / BUCKET.as_secs();
        let buckets = BUCKETS as u64;
        for bucket in (self.newest + 1)..=age.min(self.newest + buckets) {
            let index = index(bucket);
            self.requests[index] = 0;
            self.retries[index] = 0;
        }
        if age > self.newest + buckets {
            self.requests = [0; BUCKETS];
            self.retries = [0; BUCKETS];
        }
        self.newest = self.newest.max(age);
        index(self.newest)
    }
}

fn index(bucket: u64) -> usize {
    usize::try_from(bucket % BUCKETS as u64).unwrap_or(0)
}
