//! Retry budget. Guards against retry storms and against callers that can never retry.

use std::time::{Duration, Instant};

use dogwoodpitch::state::budget::Budget;

#[test]
fn retries_are_a_tenth_of_recent_requests_plus_a_floor() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    // (requests, time of the requests, time of the retries, retries that pass)
    let cases = [
        (0, 0, 0, 3),
        (9, 0, 0, 3),
        (100, 0, 0, 13),
        (100, 0, 9_500, 13),
        (100, 0, 10_000, 3),
        (100, 0, 3_600_000, 3),
    ];
    for (requests, recorded, tried, expected) in cases {
        let mut budget = Budget::new();
        (0..requests).for_each(|_| budget.record_request(at(recorded)));
        let passed = (0..1_000).filter(|_| budget.try_retry(at(tried))).count();
        assert_eq!(
            passed, expected,
            "{requests} requests at {recorded} ms, retries at {tried} ms"
        );
    }
}

#[test]
fn spent_retries_return_when_they_leave_the_window() {
    let start = Instant::now();
    let mut budget = Budget::new();
    let mut passed = 0;
    for second in 0..60 {
        let now = start + Duration::from_secs(second);
        (0..20).for_each(|_| budget.record_request(now));
        passed += (0..20).filter(|_| budget.try_retry(now)).count();
    }
    // 1,200 requests allow 120 retries, and the floor allows 3 in each of 6 windows.
    assert!((110..=138).contains(&passed), "{passed} retries of 1200 requests");
}
