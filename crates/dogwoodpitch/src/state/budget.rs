//! Retry budget: limits retries to a share of the recent requests, so that retries cannot amplify an overload.

use std::time::{Duration, Instant};

/// Recent requests that allow one retry.
const REQUESTS_PER_RETRY: u32 = 10;
/// Retries per window that are always allowed, so that a caller with few requests can recover from a lost one.
const MIN_RETRIES_PER_WINDOW: u32 = 3;
/// Length of a bucket; the sliding window has [`BUCKETS`] of them.
const BUCKET_LENGTH: Duration = Duration::from_secs(1);
const BUCKETS: usize = 10;

/// Requests and retries of one session in a sliding window.
#[derive(Debug, Clone, Default)]
pub struct Budget {
    start: Option<Instant>,
    /// Number of the newest bucket, counted from `start`.
    newest_bucket: u64,
    requests: [u32; BUCKETS],
    retries: [u32; BUCKETS],
}

impl Budget {
    /// Creates a budget without recorded requests.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a first attempt.
    pub fn record_request(&mut self, now: Instant) {
        let bucket_index = self.rotate(now);
        self.requests[bucket_index] = self.requests[bucket_index].saturating_add(1);
    }

    /// Withdraws one retry from the budget. Returns `false` if the retry must not be sent.
    pub fn try_retry(&mut self, now: Instant) -> bool {
        let bucket_index = self.rotate(now);
        let requests: u64 = self.requests.iter().copied().map(u64::from).sum();
        let retries: u64 = self.retries.iter().copied().map(u64::from).sum();
        if retries >= u64::from(MIN_RETRIES_PER_WINDOW) + requests / u64::from(REQUESTS_PER_RETRY) {
            return false;
        }
        self.retries[bucket_index] += 1;
        true
    }

    /// Clears the buckets that have left the window, and returns the index of the current bucket.
    fn rotate(&mut self, now: Instant) -> usize {
        let start = *self.start.get_or_insert(now);
        let age = now.saturating_duration_since(start).as_secs() / BUCKET_LENGTH.as_secs();
        let buckets = BUCKETS as u64;
        for bucket in (self.newest_bucket + 1)..=age.min(self.newest_bucket + buckets) {
            let bucket_index = bucket_index(bucket);
            self.requests[bucket_index] = 0;
            self.retries[bucket_index] = 0;
        }
        if age > self.newest_bucket + buckets {
            self.requests = [0; BUCKETS];
            self.retries = [0; BUCKETS];
        }
        self.newest_bucket = self.newest_bucket.max(age);
        bucket_index(self.newest_bucket)
    }
}

fn bucket_index(bucket: u64) -> usize {
    usize::try_from(bucket % BUCKETS as u64).unwrap_or(0)
}
