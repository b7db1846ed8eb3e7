//! Tests of the admission to the slots of a backend server, in simulated time.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::{Duration, Instant},
};

use dogwoodpitch::state::{
    admission::{Discipline, Reason, Scheduler, Ticket, Work},
    estimate::Key,
    service::Id,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

const SHORT: Duration = Duration::from_millis(20);
const LONG: Duration = Duration::from_secs(2);
/// Time at the start of a simulation that is not measured, as the scheduler does not know the demand of short work yet.
const WARM_UP: Duration = Duration::from_secs(5);

fn work(caller: &str, class: &str, upload: bool, deadline: Instant) -> Work {
    Work {
        key: Key {
            service: Id(1),
            upload,
            class: class.to_owned(),
        },
        caller: caller.to_owned(),
        length: None,
        deadline,
    }
}

/// Runs work of a class on an idle scheduler, which learns its run time.
fn train(scheduler: &mut Scheduler, class: &str, upload: bool, time: Duration, now: &mut Instant) {
    for _ in 0..5 {
        let work = work("trainer", class, upload, *now + 20 * time);
        let ticket = scheduler.try_start(work, *now).expect("an idle scheduler has a slot");
        *now += time;
        assert_eq!(scheduler.finish(ticket, *now, 0, false), None);
    }
}

/// Guards against long work that occupies all slots, and against long work that gets none.
#[test]
fn long_work_leaves_two_slots_and_always_gets_one() {
    for (slots, expected) in [(7, 5), (5, 3), (3, 1), (2, 1), (1, 1)] {
        let mut now = Instant::now();
        let mut scheduler = Scheduler::new(slots, Discipline::FairDeadline);
        for index in 0..20 {
            let work = work(&format!("caller-{index}"), "photos", true, now + LONG);
            scheduler.enqueue(work, now).unwrap();
            scheduler.dispatch(now);
        }
        assert_eq!(scheduler.busy(), expected, "{slots} slots");
        assert_eq!(scheduler.busy_long(now), expected, "{slots} slots");
        let short = scheduler.try_start(work("other", "reserve", false, now + LONG), now);
        assert_eq!(short.is_some(), slots > expected && slots > 1, "{slots} slots");
        now += SHORT;
        assert_eq!(scheduler.queued(), 20 - usize::from(expected));
    }
}

/// Guards against callers that get the slots reserved for short work by declaring a false kind or class.
#[test]
fn long_work_is_learned_from_time_and_size() {
    let mut now = Instant::now();
    // (class, upload, run time, bytes, declared length, expected)
    let cases = [
        ("reserve", false, SHORT, 100, None, false),
        ("report", false, LONG, 100, None, true),
        ("bulk", false, SHORT, 8 << 20, None, true),
        ("reserve", false, SHORT, 100, Some(8 << 20), true),
        ("photos", true, LONG, 8 << 20, Some(8 << 20), true),
        ("tiny", true, SHORT, 100, Some(100), false),
    ];
    for (class, upload, time, bytes, length, expected) in cases {
        let mut scheduler = Scheduler::new(7, Discipline::FairDeadline);
        train(&mut scheduler, "usual", false, SHORT, &mut now);
        for _ in 0..4 {
            let ticket = scheduler
                .try_start(work("a", class, upload, now + 10 * LONG), now)
                .unwrap();
            now += time;
            scheduler.finish(ticket, now, bytes, false);
        }
        let key = work("a", class, upload, now).key;
        assert_eq!(
            scheduler.is_long(&key, length),
            expected,
            "class {class}, length {length:?}"
        );
    }
    let mut scheduler = Scheduler::new(7, Discipline::FairDeadline);
    train(&mut scheduler, "usual", false, SHORT, &mut now);
    for index in 0..1_100 {
        let ticket = scheduler.try_start(work("a", &format!("new-{index}"), false, now + 10 * LONG), now);
        now += LONG;
        scheduler.finish(ticket.unwrap(), now, 0, false);
        train(&mut scheduler, "usual", false, SHORT, &mut now);
    }
    let key = work("a", "never seen", false, now).key;
    assert!(
        scheduler.is_long(&key, None),
        "unknown classes are estimated from the first samples of earlier ones"
    );
    let key = work("a", "usual", false, now).key;
    assert!(
        !scheduler.is_long(&key, None),
        "class names that are used once do not evict a class in use"
    );
}

/// Guards against long work of an unknown class that occupies the slots reserved for short work.
#[test]
fn running_work_counts_as_long_once_it_exceeds_the_threshold() {
    let mut now = Instant::now();
    let mut scheduler = Scheduler::new(7, Discipline::FairDeadline);
    train(&mut scheduler, "usual", false, SHORT, &mut now);
    for _ in 0..5 {
        scheduler.try_start(work("a", "usual", false, now + LONG), now).unwrap();
    }
    assert_eq!(scheduler.busy_long(now), 0);
    now += 20 * SHORT;
    assert_eq!(scheduler.busy_long(now), 5);
    assert!(
        scheduler
            .try_start(work("b", "photos", true, now + LONG), now)
            .is_none()
    );
    assert!(
        scheduler
            .try_start(work("b", "usual", false, now + LONG), now)
            .is_some()
    );
}

/// Guards against an unfair order. An offer has a caller, a service and a deadline in units of 100 ms.
#[test]
fn services_and_callers_rotate_and_the_earliest_deadline_goes_first() {
    type Offers = &'static [(&'static str, u16, u32)];
    let cases: [(Offers, &str); 4] = [
        (&[("a", 1, 30), ("b", 1, 20), ("c", 1, 10)], "c10 b20 a30"),
        (&[("a", 1, 30), ("a", 1, 10), ("a", 1, 20)], "a10 a20 a30"),
        (
            &[("a", 1, 10), ("a", 1, 11), ("a", 1, 12), ("b", 1, 30), ("b", 1, 31)],
            "a10 b30 a11 b31 a12",
        ),
        (
            &[("a", 1, 10), ("b", 1, 11), ("c", 1, 12), ("d", 2, 30), ("d", 2, 31)],
            "a10 d30 b11 d31 c12",
        ),
    ];
    for (offers, expected) in cases {
        let now = Instant::now();
        let mut scheduler = Scheduler::new(1, Discipline::FairDeadline);
        let first = scheduler.try_start(work("x", "usual", false, now + LONG), now).unwrap();
        let mut names = HashMap::new();
        for &(caller, service, deadline) in offers {
            let mut work = work(caller, "usual", false, now + Duration::from_millis(100) * deadline);
            work.key.service = Id(service);
            let ticket = scheduler.enqueue(work, now).unwrap();
            scheduler.dispatch(now);
            names.insert(ticket, format!("{caller}{deadline}"));
        }
        let mut running = first;
        let mut order = Vec::new();
        for _ in offers {
            scheduler.finish(running, now, 0, false);
            let started = scheduler.dispatch(now).started;
            assert_eq!(started.len(), 1);
            running = started[0];
            order.push(names[&running].clone());
        }
        assert_eq!(order.join(" "), expected);
    }
}

/// Guards against work that waits in vain, and against the refusal of work that could start in time.
#[test]
fn work_that_cannot_start_in_time_is_refused_at_once() {
    let mut now = Instant::now();
    let mut scheduler = Scheduler::new(1, Discipline::FairDeadline);
    train(&mut scheduler, "usual", false, Duration::from_millis(100), &mut now);
    let expired = scheduler.enqueue(work("a", "usual", false, now), now);
    assert_eq!(expired.unwrap_err().reason, Reason::Deadline);
    let _running = scheduler.try_start(work("a", "usual", false, now + LONG), now).unwrap();
    // With one slot and a run time of 100 ms, two requests with a deadline of 350 ms fit behind the running one, and
    // 150 ms are left for the third.
    let outcomes: Vec<_> = (0..6)
        .map(|index| {
            let caller = format!("caller-{index}");
            scheduler.enqueue(work(&caller, "usual", false, now + Duration::from_millis(350)), now)
        })
        .collect();
    let admitted = outcomes.iter().filter(|outcome| outcome.is_ok()).count();
    assert!((1..=3).contains(&admitted), "{outcomes:?}");
    let refusal = outcomes[5].unwrap_err();
    assert_eq!(refusal.reason, Reason::Overloaded);
    assert!(refusal.retry_after > Duration::ZERO);
    assert!(scheduler.enqueue(work("late", "usual", false, now + LONG), now).is_ok());
}

/// Guards against a wrong estimate that refuses a class forever.
#[test]
fn an_idle_server_admits_work_despite_a_long_estimate() {
    let mut now = Instant::now();
    let mut scheduler = Scheduler::new(3, Discipline::FairDeadline);
    train(&mut scheduler, "usual", false, LONG, &mut now);
    let ticket = scheduler.enqueue(work("a", "usual", false, now + SHORT), now).unwrap();
    assert_eq!(scheduler.dispatch(now).started, [ticket]);
}

/// Guards against slots and queue entries that leak after a cancellation, and against cancelled work that still starts.
#[test]
fn cancellation_frees_slots_and_queue_entries_at_once() {
    let now = Instant::now();
    let mut scheduler = Scheduler::new(1, Discipline::FairDeadline);
    let running = scheduler.try_start(work("a", "usual", false, now + LONG), now).unwrap();
    let waiting = scheduler.enqueue(work("b", "usual", false, now + LONG), now).unwrap();
    let next = scheduler.enqueue(work("c", "usual", false, now + LONG), now).unwrap();
    assert!(!scheduler.cancel(waiting, now), "queued work has no slot");
    assert!(scheduler.cancel(running, now));
    assert!(!scheduler.cancel(running, now), "a slot is freed once");
    assert_eq!(scheduler.dispatch(now).started, [next]);
    assert_eq!((scheduler.busy(), scheduler.queued()), (1, 0));
}

/// Guards against a backend server that looks idle because it fails at once.
#[test]
fn fast_errors_keep_the_slot_busy_for_the_usual_time() {
    for (order, busy) in [(Discipline::FairDeadline, 1), (Discipline::Fifo, 0)] {
        let mut now = Instant::now();
        let mut scheduler = Scheduler::new(2, order);
        train(&mut scheduler, "usual", false, SHORT, &mut now);
        let ticket = scheduler.try_start(work("a", "usual", false, now + LONG), now).unwrap();
        now += SHORT / 10;
        let until = scheduler.finish(ticket, now, 0, true);
        assert_eq!(scheduler.busy(), busy);
        if let Some(until) = until {
            scheduler.dispatch(now);
            assert_eq!(scheduler.busy(), 1);
            scheduler.dispatch(until);
            assert_eq!(scheduler.busy(), 0);
            assert!(!scheduler.is_running(ticket));
        }
    }
}

/// Guards against work that starts on a draining server, or waits there although it could run on a peer.
#[test]
fn draining_refuses_waiting_and_new_work() {
    for order in [Discipline::FairDeadline, Discipline::Fifo] {
        let now = Instant::now();
        let mut scheduler = Scheduler::new(1, order);
        let running = scheduler.try_start(work("a", "usual", false, now + LONG), now).unwrap();
        let waiting = scheduler.enqueue(work("b", "usual", false, now + LONG), now).unwrap();
        let refused = scheduler.set_draining(true).refused;
        assert_eq!(refused.len(), 1);
        assert_eq!((refused[0].0, refused[0].1.reason), (waiting, Reason::Draining));
        assert_eq!(
            scheduler
                .enqueue(work("c", "usual", false, now + LONG), now)
                .unwrap_err()
                .reason,
            Reason::Draining
        );
        assert!(scheduler.is_running(running), "running work finishes");
        scheduler.finish(running, now, 0, false);
        assert!(
            scheduler
                .try_start(work("c", "usual", false, now + LONG), now)
                .is_none()
        );
        assert!(scheduler.dispatch(now).started.is_empty());
        scheduler.set_draining(false);
        assert!(
            scheduler
                .try_start(work("c", "usual", false, now + LONG), now)
                .is_some()
        );
    }
}

/// Result of a simulated load on one server.
#[derive(Debug, Default)]
struct Outcome {
    offered: u32,
    in_time: u32,
    late: u32,
    refused: u32,
    short_refused: u32,
    /// Total run time of the work that ended in time.
    useful_time: Duration,
    short_times: Vec<Duration>,
}

impl Outcome {
    fn short_p99(&mut self) -> Duration {
        self.short_times.sort_unstable();
        self.short_times[self.short_times.len() * 99 / 100]
    }
}

/// Load of a simulation.
#[derive(Debug, Clone, Copy)]
struct Load {
    slots: u16,
    /// Mean number of slots that short work needs, relative to all slots.
    short_utilization: f64,
    /// Whether the run times of short work are distributed exponentially, or else uniformly from 0.5 to 1.5 of the
    /// mean.
    exponential: bool,
    uploads_per_s: f64,
    duration: Duration,
    seed: u64,
}

/// Offers short work and uploads for the duration of the load, and runs until all work has ended.
fn simulate(order: Discipline, load: Load) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(load.seed);
    let mut uniform = SmallRng::seed_from_u64(!load.seed);
    let mut exponential = |mean: f64| Duration::from_secs_f64(-mean * (1.0 - rng.random_range(0.0..1.0_f64)).ln());
    let shorts_per_s = load.short_utilization * f64::from(load.slots) / SHORT.as_secs_f64();
    let start = Instant::now();
    let end = start + load.duration;
    let mut arrivals = Vec::new();
    for (upload, rate) in [(false, shorts_per_s), (true, load.uploads_per_s)] {
        let mut at = start;
        while rate > 0.0 && at < end {
            at += exponential(1.0 / rate);
            let time = match (upload, load.exponential) {
                (true, _) => LONG,
                (false, true) => exponential(SHORT.as_secs_f64()),
                (false, false) => SHORT / 2 + SHORT.mul_f64(uniform.random_range(0.0..1.0)),
            };
            arrivals.push((at, upload, time));
        }
    }
    arrivals.sort_unstable();
    let mut arrivals = arrivals.into_iter().peekable();
    let mut scheduler = Scheduler::new(load.slots, order);
    let mut outcome = Outcome::default();
    let mut ends: BinaryHeap<Reverse<(Instant, Ticket)>> = BinaryHeap::new();
    let mut items: HashMap<Ticket, (Instant, bool, Duration)> = HashMap::new();
    loop {
        let next_end = ends.peek().map(|Reverse((at, _))| *at);
        let next_arrival = arrivals.peek().map(|(at, _, _)| *at);
        let now = match (next_end, next_arrival) {
            (Some(end), Some(arrival)) => end.min(arrival),
            (end, arrival) => match end.or(arrival) {
                Some(at) => at,
                None => return outcome,
            },
        };
        if next_end == Some(now) {
            let Reverse((_, ticket)) = ends.pop().unwrap();
            let (arrived, upload, time) = items.remove(&ticket).unwrap();
            scheduler.finish(ticket, now, 100, false);
            if now <= arrived + timeout(upload) {
                outcome.in_time += 1;
                outcome.useful_time += time;
            } else {
                outcome.late += 1;
            }
            if !upload && arrived > start + WARM_UP {
                outcome.short_times.push(now - arrived);
            }
        } else if let Some((at, upload, time)) = arrivals.next() {
            outcome.offered += 1;
            let class = if upload { "photos" } else { "reserve" };
            let caller = format!("caller-{}", outcome.offered % 50);
            let offered = scheduler.enqueue(work(&caller, class, upload, at + timeout(upload)), now);
            if let Ok(ticket) = offered {
                items.insert(ticket, (at, upload, time));
            } else {
                outcome.refused += 1;
                outcome.short_refused += u32::from(!upload);
            }
        }
        let changes = scheduler.dispatch(now);
        for (ticket, _) in changes.refused {
            outcome.refused += 1;
            outcome.short_refused += u32::from(!items[&ticket].1);
        }
        for ticket in changes.started {
            ends.push(Reverse((now + items[&ticket].2, ticket)));
        }
    }
}

fn timeout(upload: bool) -> Duration {
    if upload { 5 * LONG } else { 10 * SHORT }
}

/// Guards against the collapse of the goodput at twice the capacity.
#[test]
fn goodput_holds_at_twice_the_capacity() {
    for (slots, exponential, seed) in [(7, true, 1), (7, false, 2), (5, true, 3), (5, false, 4)] {
        let load = Load {
            slots,
            short_utilization: 2.0,
            exponential,
            uploads_per_s: 0.0,
            duration: Duration::from_secs(20),
            seed,
        };
        let outcome = simulate(Discipline::FairDeadline, load);
        let goodput = outcome.useful_time.as_secs_f64() / (load.duration.as_secs_f64() * f64::from(slots));
        println!("goodput {goodput:.3} at {load:?}, {} late", outcome.late);
        assert!(goodput >= 0.9, "goodput {goodput:.3} at {load:?}");
        assert_eq!(outcome.offered, outcome.in_time + outcome.late + outcome.refused);
    }
}

/// Guards against uploads that delay short requests.
#[test]
fn uploads_do_not_delay_short_requests() {
    for (slots, short_utilization, uploads_per_s) in [
        (7, 0.25, 1.0),
        (7, 0.25, 8.0),
        (7, 0.5, 8.0),
        (5, 0.25, 8.0),
        (5, 0.5, 8.0),
    ] {
        let load = Load {
            slots,
            short_utilization,
            exponential: false,
            uploads_per_s: 0.0,
            duration: Duration::from_mins(1),
            seed: 1,
        };
        let alone = simulate(Discipline::FairDeadline, load).short_p99();
        let mut mixed = simulate(Discipline::FairDeadline, Load { uploads_per_s, ..load });
        let p99 = mixed.short_p99();
        println!("p99 {alone:?} alone, {p99:?} with {uploads_per_s} uploads/s at {load:?}");
        assert!(
            p99 <= alone.mul_f64(1.5),
            "p99 {alone:?} alone, {p99:?} with uploads at {load:?}"
        );
        assert!(mixed.short_refused * 100 <= mixed.offered, "short work is refused");
        assert!(
            mixed.useful_time > load.duration,
            "uploads starve: {:?}",
            mixed.useful_time
        );
    }
}
