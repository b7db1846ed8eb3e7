//! Tests of the retry budget. Guard against retry storms and against callers that can never retry.

use std::time::{Duration, Instant};

use dogwoodpitch::state::budget::Budget;

#[test]
fn retries_are_a_tenth_of_recent_requests_plus_a_minimum() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    // (requests, time of the requests in ms, time of the retries in ms, allowed retries)
    let cases = [
        (0, 0, 0, 3),
        (9, 0, 0, 3),
        (100, 0, 0, 13),
        (100, 0, 9_500, 13),
        (100, 0, 10_000, 3),
        (100, 0, 3_600_000, 3),
    ];
    for (requests, recorded_ms, retried_ms, expected) in cases {
        let mut budget = Budget::new();
        (0..requests).for_each(|_| budget.record_request(at(recorded_ms)));
        let allowed = (0..1_000).filter(|_| budget.try_retry(at(retried_ms))).count();
        assert_eq!(
            allowed, expected,
            "{requests} requests at {recorded_ms} ms, retries at {retried_ms} ms"
        );
    }
}

#[test]
fn spent_retries_return_when_they_leave_the_window() {
    let start = Instant::now();
    let mut budget = Budget::new();
    let mut allowed = 0;
    for second in 0..60 {
        let now = start + Duration::from_secs(second);
        (0..20).for_each(|_| budget.record_request(now));
        allowed += (0..20).filter(|_| budget.try_retry(now)).count();
    }
    // 1,200 requests allow 120 retries, and the minimum is 3 in each of 6 windows.
    assert!((110..=138).contains(&allowed), "{allowed} retries of 1200 requests");
}
