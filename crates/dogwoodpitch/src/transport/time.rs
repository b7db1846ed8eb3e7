//! Clock and deadlines.

use std::{
    future::Future,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use nix::time::{ClockId, clock_gettime};

/// Start of the incarnation numbers, 2025-01-01, in seconds since the Unix epoch.
const INCARNATION_EPOCH_S: u64 = 1_735_689_600;

/// Returns the incarnation of a process that starts now: deciseconds since 2025-01-01.
pub fn new_incarnation() -> u32 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let deciseconds = since_epoch
        .saturating_sub(Duration::from_secs(INCARNATION_EPOCH_S))
        .as_millis()
        / 100;
    u32::try_from(deciseconds).unwrap_or(u32::MAX)
}

/// Returns for how long the VM has been suspended since its start. [`Instant`] does not count that time.
pub fn suspended() -> Duration {
    let read = |clock| clock_gettime(clock).map_or(Duration::ZERO, Duration::from);
    read(ClockId::CLOCK_BOOTTIME).saturating_sub(read(ClockId::CLOCK_MONOTONIC))
}

/// Waits until a deadline.
pub async fn sleep_until(deadline: Instant) {
    monoio::time::sleep_until(deadline.into()).await;
}

/// Returns the output of a future, or `None` if the deadline passes first.
pub async fn timeout_at<F: Future>(deadline: Instant, future: F) -> Option<F::Output> {
    monoio::time::timeout_at(deadline.into(), future).await.ok()
}
