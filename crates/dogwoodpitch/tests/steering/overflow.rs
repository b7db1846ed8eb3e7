//! Flows that leave their data centre, in simulated load patterns without a network.

use std::{
    collections::{BTreeMap, VecDeque},
    net::{Ipv4Addr, SocketAddrV4},
    time::{Duration, Instant},
};

use bytes::Bytes;
use dogwoodpitch::{
    coordination::steering::Settings,
    state::steering::{
        member::Members,
        overflow::{self, Mode, Overflow, Pool, Pools},
        placement::{self, Candidate, Scope},
        rank,
        report::{Load, Report, Stance},
        route::Table,
        segment::Flow,
    },
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::build::{SERVICE, SERVICE_NAME, agent_report};

const MS: Duration = Duration::from_millis(1);
/// Simulated time between steps in milliseconds.
const STEP_MS: u32 = 50;
/// Balancers in each data centre.
const BALANCERS: u32 = 4;
/// Data centres.
const NAMES: [&str; 3] = ["east", "north", "west"];
const SERVICE_MS: f64 = 25.0;

/// Slots and demand in slots of a data centre at a time in milliseconds; no slots if it is cut off.
type Pattern = fn(u32) -> [(f64, f64); 3];

/// State of the data centres at one step.
#[derive(Debug, Clone, Copy)]
struct Sample {
    /// Mean share of the balancers of each data centre.
    shares: [f64; 3],
    /// Work in slots, with the queue.
    work: [f64; 3],
    /// Work that arrives, in slots.
    offered: [f64; 3],
}

/// Simulates the balancers of all data centres, which see loads that are 200 to 700 ms old, as a fluid.
fn simulate(pattern: Pattern, duration_ms: u32, noise: f64, seed: u64) -> Vec<Sample> {
    let mut rng = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut balancers: Vec<Vec<_>> = NAMES
        .iter()
        .map(|name| (0..BALANCERS).map(|_| Overflow::new((*name).into())).collect())
        .collect();
    let mut queue = pattern(0).map(|(slots, demand)| if demand > slots { 2.0 * slots } else { 0.0 });
    let mut smoothed = pattern(0).map(|(slots, demand)| if demand > slots { 3.0 * slots } else { demand });
    let mut reported: VecDeque<(u32, [f64; 3])> = VecDeque::new();
    let mut samples = Vec::new();
    for now_ms in (0..duration_ms).step_by(STEP_MS.try_into().unwrap()) {
        let now = start + now_ms * MS;
        let pattern_now = pattern(now_ms);
        let mut sample = Sample {
            shares: [0.0; 3],
            work: [0.0; 3],
            offered: [0.0; 3],
        };
        for (from, balancers) in balancers.iter().enumerate() {
            for balancer in balancers {
                let demand = pattern_now[from].1 / f64::from(BALANCERS);
                let shares = balancer.plans().next().map(|(_, plan)| plan.shares.clone());
                let shares = shares.unwrap_or_default();
                let total: f64 = shares.values().sum();
                sample.shares[from] += total / f64::from(BALANCERS);
                sample.offered[from] += demand * (1.0 - total);
                for (to, name) in NAMES.iter().enumerate() {
                    sample.offered[to] += demand * shares.get(name.as_bytes()).copied().unwrap_or_default();
                }
            }
        }
        for (index, (slots, _)) in pattern_now.iter().enumerate() {
            let served = sample.offered[index].min(*slots);
            let queued = queue[index] + (sample.offered[index] - slots) * f64::from(STEP_MS) / SERVICE_MS;
            // The rest is refused or has given up.
            queue[index] = queued.clamp(0.0, 2.0 * slots);
            sample.work[index] = served + queue[index];
        }
        if now_ms.is_multiple_of(200) {
            for (smoothed, work) in smoothed.iter_mut().zip(sample.work) {
                let factor = 1.0 + noise * rng.random_range(-1.0..1.0);
                *smoothed += 0.3 * (work * factor - *smoothed);
            }
            reported.push_back((now_ms, smoothed));
        }
        for (own, balancers) in (0..).zip(&mut balancers) {
            for (index, balancer) in (own..).zip(balancers) {
                if (now_ms / STEP_MS + index).is_multiple_of(4) {
                    let age_ms = rng.random_range(200..500);
                    let known = reported.iter().rev().find(|(at, _)| at + age_ms <= now_ms);
                    let Some((at, work)) = known else { continue };
                    let pools = pools(pattern_now, *work, (now_ms - at) * MS);
                    balancer.plan(BTreeMap::from([(Bytes::from(SERVICE_NAME), pools)]), now);
                }
            }
        }
        samples.push(sample);
    }
    samples
}

fn pools(pattern: [(f64, f64); 3], work: [f64; 3], age: Duration) -> Pools {
    let known = NAMES
        .iter()
        .zip(pattern)
        .zip(work)
        .filter(|((_, (slots, _)), _)| *slots > 0.0);
    known
        .map(|((name, (slots, _)), work)| {
            let pool = Pool {
                backends: slots / 2.0,
                capacity: slots,
                work,
                idle_work: 0.0,
                service_ms: SERVICE_MS,
                age,
            };
            (Bytes::from(*name), pool)
        })
        .collect()
}

fn at(samples: &[Sample], ms: u32) -> &Sample {
    &samples[usize::try_from(ms / STEP_MS).unwrap()]
}

/// Data centres of any size that are equally loaded must not exchange flows, whether they have room or are full.
#[test]
fn even_load_sends_nothing() {
    let patterns: [Pattern; 4] = [
        |_| [(28.0, 8.0), (26.0, 8.0), (26.0, 8.0)],
        |_| [(28.0, 19.6), (26.0, 18.2), (26.0, 18.2)],
        |_| [(80.0, 72.0), (8.0, 7.2), (2.0, 1.8)],
        |_| [(28.0, 40.0), (26.0, 36.0), (26.0, 60.0)],
    ];
    for (index, pattern) in patterns.into_iter().enumerate() {
        for sample in simulate(pattern, 10_000, 0.05, 1) {
            assert!(
                sample.shares.iter().all(|share| *share < f64::EPSILON),
                "pattern {index}: {sample:?}"
            );
        }
    }
}

/// A hot data centre must send what pays, not so much that the others become as full as it was, and stop soon after.
/// Its share must not oscillate on loads that are 200 to 700 ms old, however many data centres send to one target.
#[test]
fn a_peak_is_levelled_without_oscillation() {
    // Slots and demand after 2 s until 62 s; 0.4 of the slots before and after.
    const PEAKS: [[(f64, f64); 3]; 6] = [
        [(28.0, 42.0), (26.0, 10.4), (26.0, 10.4)],
        [(28.0, 24.0), (26.0, 10.4), (26.0, 13.0)],
        [(28.0, 34.0), (26.0, 32.0), (26.0, 8.0)],
        [(80.0, 90.0), (8.0, 3.2), (20.0, 4.0)],
        [(8.0, 14.0), (80.0, 32.0), (80.0, 48.0)],
        [(28.0, 30.0), (26.0, 31.0), (200.0, 60.0)],
    ];
    fn pattern<const INDEX: usize>(ms: u32) -> [(f64, f64); 3] {
        let peak = (2_000..62_000).contains(&ms);
        PEAKS[INDEX].map(|(slots, demand)| (slots, if peak { demand } else { 0.4 * slots }))
    }
    let patterns: [Pattern; 6] = [
        pattern::<0>,
        pattern::<1>,
        pattern::<2>,
        pattern::<3>,
        pattern::<4>,
        pattern::<5>,
    ];
    for (index, pattern) in patterns.into_iter().enumerate() {
        for seed in 1..=3 {
            let samples = simulate(pattern, 70_000, 0.02, seed);
            let steady =
                &samples[usize::try_from(7_000 / STEP_MS).unwrap()..usize::try_from(62_000 / STEP_MS).unwrap()];
            for centre in 0..3 {
                let name = NAMES[centre];
                let shares = || steady.iter().map(|sample| sample.shares[centre]);
                let (low, high) = (shares().fold(1.0, f64::min), shares().fold(0.0, f64::max));
                assert!(high - low < 0.12, "pattern {index}, {name}: share from {low} to {high}");
                let (slots, demand) = PEAKS[index][centre];
                let own = demand / slots;
                for sample in steady {
                    let utilisation = sample.offered[centre] / slots;
                    let limit = own.max(0.95);
                    assert!(
                        utilisation < limit,
                        "pattern {index}, {name}: utilisation {utilisation}"
                    );
                    if own < 0.6 {
                        assert!(sample.shares[centre] < f64::EPSILON, "pattern {index}, {name} sends on");
                    }
                    if own > 1.0 {
                        assert!(
                            utilisation < own,
                            "pattern {index}, {name}: {utilisation} is not relieved"
                        );
                    }
                }
                assert!(
                    at(&samples, 64_000).shares[centre] < 0.02,
                    "pattern {index}, {name}: {} 2 s after the peak",
                    at(&samples, 64_000).shares[centre]
                );
            }
        }
    }
}

/// All flows must leave a data centre as soon as it has no open backend server, to where there is room, and come back.
#[test]
fn all_flows_leave_a_data_centre_without_backend_servers() {
    let pattern: Pattern = |ms| {
        let slots = if (5_000..10_000).contains(&ms) { 0.0 } else { 28.0 };
        [(slots, 11.0), (26.0, 8.0), (26.0, 16.0)]
    };
    let samples = simulate(pattern, 20_000, 0.02, 1);
    assert!(at(&samples, 5_250).shares[0] > 0.99);
    for sample in &samples[140..200] {
        assert!(sample.shares[0] > 0.99 && sample.offered[2] < 0.9 * 26.0, "{sample:?}");
    }
    assert!(at(&samples, 13_000).shares[0] < 0.02, "{:?}", at(&samples, 13_000));
    // A balancer that starts meanwhile does not know the demand.
    let mut started = Overflow::new("east".into());
    let known = pools(pattern(6_000), [0.0, 16.0, 16.0], 300 * MS);
    let changed = started.plan(BTreeMap::from([(SERVICE_NAME.into(), known)]), Instant::now());
    assert_eq!(changed.len(), 1);
    assert!(started.plans().all(|(_, plan)| (plan.share() - 1.0).abs() < 1e-9));
}

/// Silent, draining and departed agents must not count as room. New flows of a service whose flows last must not be moved
/// by a load that does not follow them.
#[test]
fn only_open_agents_whose_load_follows_count() {
    let start = Instant::now();
    let now = start + 1_000 * MS;
    let mut members = Members::default();
    let mut add = |last: u8, data_centre: &str, busy, flows, stance, age: Duration| {
        let load = Load {
            slots: 2,
            busy,
            flows,
            // Not measured yet by those without requests.
            latency_ms: if busy > 0 { 25 } else { 0 },
            ..Load::default()
        };
        let report = Report {
            data_centre: Bytes::from(data_centre.to_owned()),
            load,
            ..agent_report(last.into(), 1, stance)
        };
        members.record_report(
            Ipv4Addr::new(10, 1, 0, last),
            report,
            start + (1_000 * MS).saturating_sub(age),
        );
    };
    add(1, "east", 4, 4, Stance::Open, 100 * MS);
    add(2, "west", 0, 0, Stance::Open, 800 * MS);
    add(3, "west", 0, 0, Stance::Draining, 100 * MS);
    add(4, "west", 2, 2, Stance::Open, 300 * MS);
    add(5, "north", 1, 1, Stance::Open, 300 * MS);
    add(6, "north", 0, 0, Stance::Open, 300 * MS);
    let services = overflow::pools(&members, &Table::default(), now);
    let pools = &services[SERVICE_NAME.as_bytes()];
    assert_eq!(
        (pools["east".as_bytes()].work, pools["west".as_bytes()].work),
        (4.0, 2.0)
    );
    assert!((pools["north".as_bytes()].service_ms - 25.0).abs() < f64::EPSILON);
    assert_eq!(
        (pools["west".as_bytes()].capacity, pools["west".as_bytes()].age),
        (2.0, 300 * MS)
    );
    let mut overflow = Overflow::new("north".into());
    overflow.mode = Mode::Adaptive;
    overflow.plan(services, now);
    let service = Bytes::from(SERVICE_NAME);
    let (scope, _) = overflow.direct(&service, flow(1), now);
    assert_eq!(scope, Scope::Local);
    members.record_report(
        Ipv4Addr::new(10, 1, 0, 4),
        Report {
            load: Load {
                flows: 400,
                ..agent_report(4, 2, Stance::Open).load
            },
            ..agent_report(4, 2, Stance::Open)
        },
        now,
    );
    overflow.plan(overflow::pools(&members, &Table::default(), now), now);
    let (scope, _) = overflow.direct(&service, flow(1), now);
    assert_eq!(scope, Scope::Near);
}

/// In a burst of three times the demand of one data centre, the plan found no lasting room in the others. Its flows queued
/// in their data centre while backend servers elsewhere were free for moments.
#[test]
fn flows_of_a_busy_data_centre_that_stay_are_compared_with_a_remote_one() {
    let now = Instant::now();
    let service = Bytes::from(SERVICE_NAME);
    for (work, expected) in [
        (6.0, Scope::Local),
        (16.0, Scope::Local),
        (23.0, Scope::Near),
        (900.0, Scope::Near),
    ] {
        let pool = |work: f64| Pool {
            backends: 12.0,
            capacity: 24.0,
            work,
            service_ms: 24.0,
            ..Pool::default()
        };
        let pools = Pools::from([("east".into(), pool(work)), ("west".into(), pool(22.0))]);
        let mut overflow = Overflow::new("east".into());
        overflow.mode = Mode::Adaptive;
        overflow.plan([(service.clone(), pools)].into(), now);
        let staying = (1..=100)
            .map(|port| overflow.direct(&service, flow(port), now))
            .filter(|(_, data_centre)| *data_centre == "east");
        let scopes: Vec<_> = staying.map(|(scope, _)| scope).collect();
        assert!(scopes.len() > 50, "{work}");
        assert!(scopes.iter().all(|scope| *scope == expected), "{work}: {scopes:?}");
    }
}

/// Agents that join must not be passed over for the few that opened first when all start at the same time.
#[test]
fn a_mass_start_ends_the_plan() {
    let now = Instant::now();
    let mut overflow = Overflow::new("north".into());
    overflow.mode = Mode::Adaptive;
    for (open_count, scope) in [(3, Scope::Local), (2, Scope::Near), (1, Scope::Near)] {
        let mut members = Members::default();
        for last in 1..=6 {
            let (data_centre, stance) = if last <= open_count {
                ("east", Stance::Open)
            } else {
                ("north", Stance::Joining)
            };
            let report = Report {
                data_centre: data_centre.into(),
                ..agent_report(last.into(), 1, stance)
            };
            members.record_report(Ipv4Addr::new(10, 1, 0, last), report, now);
        }
        overflow.plan(overflow::pools(&members, &Table::default(), now), now);
        let (chosen, data_centre) = overflow.direct(&SERVICE_NAME.into(), flow(1), now);
        let expected = if scope == Scope::Local { "east" } else { "north" };
        assert_eq!(
            (chosen, &data_centre[..]),
            (scope, expected.as_bytes()),
            "{open_count} open"
        );
    }
}

/// A service near the bound on idle flows must not change its rule with each plan.
#[test]
fn lasting_flows_are_told_with_hysteresis() {
    let now = Instant::now();
    let mut overflow = Overflow::new("east".into());
    overflow.mode = Mode::Adaptive;
    for (idle_work, scope) in [
        (5.5, Scope::Local),
        (6.5, Scope::Near),
        (5.5, Scope::Near),
        (4.0, Scope::Local),
    ] {
        let mut pools = pools(
            [(28.0, 0.0), (0.0, 0.0), (0.0, 0.0)],
            [5.0 + idle_work, 0.0, 0.0],
            300 * MS,
        );
        pools.get_mut("east".as_bytes()).unwrap().idle_work = idle_work;
        overflow.plan(BTreeMap::from([(SERVICE_NAME.into(), pools)]), now);
        assert_eq!(
            overflow.direct(&SERVICE_NAME.into(), flow(1), now).0,
            scope,
            "{idle_work}"
        );
    }
}

/// A tiny data centre that is full must not break the levelling of the others.
#[test]
fn a_pool_of_less_work_than_a_part_is_left_alone() {
    let mut overflow = Overflow::new("east".into());
    let pools = pools([(28.0, 0.0), (0.4, 0.0), (26.0, 0.0)], [26.0, 0.35, 8.0], 300 * MS);
    overflow.plan(BTreeMap::from([(SERVICE_NAME.into(), pools)]), Instant::now());
    // Half of the planned share is reached in one interval.
    let shares = &overflow.plans().next().unwrap().1.shares;
    assert_eq!(shares.len(), 1, "{shares:?}");
    assert!((shares["west".as_bytes()] - 0.13).abs() < 0.021, "{shares:?}");
}

/// The first backend servers that are back must not get the flows of all, however long the others take.
#[test]
fn a_staggered_return_gets_what_it_can_bear() {
    fn pattern<const CUT_OFF_MS: u32>(ms: u32) -> [(f64, f64); 3] {
        let slots = match ms.checked_sub(5_000) {
            None => 28.0,
            Some(ms) if ms < CUT_OFF_MS => 0.0,
            Some(ms) => f64::from(2 + 2 * ((ms - CUT_OFF_MS) / 1_000).min(13)),
        };
        [(slots, 16.0), (26.0, 8.0), (26.0, 10.0)]
    }
    for (pattern, back_ms) in [(pattern::<800> as Pattern, 5_800), (pattern::<3_000>, 8_000)] {
        let samples = simulate(pattern, 30_000, 0.02, 1);
        for ms in (back_ms..30_000).step_by(50) {
            let (sample, slots) = (at(&samples, ms), pattern(ms)[0].0);
            assert!(sample.offered[0] <= slots, "{ms} ms, {slots} slots: {sample:?}");
        }
        assert!(at(&samples, 29_000).shares[0] < 0.02, "{:?}", at(&samples, 29_000));
    }
}

/// The backend servers that are left when many of a data centre die at once must not get the flows of all.
#[test]
fn a_sudden_loss_of_capacity_is_followed_at_once() {
    let pattern: Pattern = |ms| {
        let slots = if ms < 5_000 { 28.0 } else { 8.0 };
        [(slots, 18.0), (26.0, 8.0), (26.0, 10.0)]
    };
    let samples = simulate(pattern, 20_000, 0.02, 1);
    for ms in (5_400..20_000).step_by(50) {
        assert!(at(&samples, ms).offered[0] < 8.0, "{ms} ms: {:?}", at(&samples, ms));
    }
}

/// The silence of all agents during a pause of the balancer's process must not end or replace the plan.
#[test]
fn a_pause_of_the_process_is_no_cut_off() {
    let now = Instant::now();
    let mut overflow = Overflow::new("east".into());
    let shares = |overflow: &Overflow| overflow.plans().next().map(|(_, plan)| plan.share());
    let mut plan = |slots, ms: u32| {
        let pools = pools([(slots, 0.0), (26.0, 0.0), (26.0, 0.0)], [8.0; 3], 300 * MS);
        overflow.plan(BTreeMap::from([(SERVICE_NAME.into(), pools)]), now + ms * MS);
        shares(&overflow).unwrap()
    };
    let found = [(28.0, 0), (28.0, 200), (0.0, 1_000), (28.0, 1_200), (0.0, 1_400)].map(|(slots, ms)| plan(slots, ms));
    assert!(found[..4].iter().all(|share| *share < f64::EPSILON), "{found:?}");
    assert!(found[4] > 0.99, "{found:?}");
}

/// Each balancer must send its share by the flow's hash, so that copies of a SYN go the same way, and the share must be
/// followed. A plan that is not renewed must not be.
#[test]
fn the_hash_of_the_flow_follows_the_share() {
    let now = Instant::now();
    let service = Bytes::from(SERVICE_NAME);
    let mut balancers = [Overflow::new("east".into()), Overflow::new("east".into())];
    for balancer in &mut balancers {
        balancer.mode = Mode::Adaptive;
        for interval in 0..20 {
            let pools = pools([(28.0, 0.0), (26.0, 0.0), (26.0, 0.0)], [56.0, 8.0, 12.0], 300 * MS);
            balancer.plan(BTreeMap::from([(service.clone(), pools)]), now + interval * 200 * MS);
        }
    }
    let now = now + 4_000 * MS;
    let mut counts: BTreeMap<Bytes, f64> = BTreeMap::new();
    for number in 0..10_000 {
        let [first, second] = balancers
            .each_ref()
            .map(|balancer| balancer.direct(&service, flow(number), now));
        assert_eq!(first, second);
        *counts.entry(first.1.clone()).or_default() += 1.0 / 10_000.0;
    }
    let plan = balancers[0].plans().next().unwrap().1;
    assert!(plan.share() > 0.2, "{:?}", plan.shares);
    for (data_centre, share) in &plan.shares {
        assert!(
            (counts[data_centre] - share).abs() < 0.02,
            "{counts:?} {:?}",
            plan.shares
        );
    }
    let (scope, data_centre) = balancers[0].direct(&service, flow(1), now + 2_000 * MS);
    assert_eq!((scope, &data_centre[..]), (Scope::Near, &b"east"[..]));
}

fn flow(number: u32) -> Flow {
    Flow {
        client: SocketAddrV4::new(
            Ipv4Addr::from(0x6440_0000 + number / 100),
            1_024 + (number % 100) as u16,
        ),
        service: SERVICE,
    }
}

/// Capacity and relative load of a candidate by the former build's estimate of speeds.
fn former_load(candidate: &Candidate, candidates: &[Candidate]) -> (f64, f64) {
    let mut latencies: Vec<_> = candidates.iter().map(|candidate| candidate.load.latency_ms).collect();
    latencies.retain(|latency| *latency > 0);
    latencies.sort_unstable();
    let median = latencies.get(latencies.len() / 2).copied().map(f64::from);
    let load = &candidate.load;
    let latency = f64::from(load.latency_ms);
    let mut speed: f64 = if load.failed_percent > 15 { 0.1 } else { 1.0 };
    if let Some(median) = median.filter(|median| latency > median * 1.5) {
        speed = speed.min(median / latency).max(0.1);
    }
    let mut capacity = f64::from(load.slots) * speed.min(if load.cold { 0.5 } else { 1.0 });
    if let Some(rate) = candidate.cold_rate.filter(|_| load.cold && load.latency_ms > 0) {
        capacity = capacity.min((rate * latency / 1_000.0).max(0.1));
    }
    let idle = load.flows.saturating_sub(load.busy);
    let work = candidate.busy + 0.5 * f64::from(candidate.pending_placements) + 0.05 * f64::from(idle);
    (capacity, work / capacity)
}

/// The choice of the former build: full sort of both samples, with the penalty.
#[expect(clippy::cast_precision_loss, reason = "as in the former build")]
fn reference(flow: Flow, candidates: &[Candidate]) -> Option<Ipv4Addr> {
    let key = |candidate: &Candidate| {
        let uniform = (rank::weight(flow, candidate.ip) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
        -uniform.ln() / former_load(candidate, candidates).0
    };
    let (mut local, mut remote): (Vec<_>, Vec<_>) = candidates.iter().partition(|candidate| candidate.local);
    for sorted in [&mut local, &mut remote] {
        sorted.sort_by(|a, b| key(a).total_cmp(&key(b)));
    }
    local.truncate(2);
    remote.truncate(3 - local.len());
    let cost = |candidate: &Candidate| former_load(candidate, candidates).1 + if candidate.local { 0.0 } else { 0.15 };
    let all = local.into_iter().chain(remote);
    all.min_by(|a, b| cost(a).total_cmp(&cost(b))).map(|chosen| chosen.ip)
}

/// Deployments that do not ask for another mode must be served exactly as by former builds. No mode may lose a flow while
/// there is any candidate, and none may leave the data centre against its meaning.
#[test]
fn modes_choose_among_the_candidates_that_they_allow() {
    let mut rng = StdRng::seed_from_u64(1);
    for number in 0..2_000 {
        let candidates: Vec<_> = (0..rng.random_range(0..12))
            .map(|index| Candidate {
                ip: Ipv4Addr::new(10, 1, 0, index),
                local: rng.random_bool(0.4),
                load: Load {
                    slots: rng.random_range(1..5),
                    busy: 1,
                    flows: rng.random_range(0..9),
                    latency_ms: rng.random_range(0..5) * 20,
                    failed_percent: rng.random_range(0..20),
                    cold: rng.random_bool(0.2),
                },
                busy: rng.random_range(0.0..4.0),
                pending_placements: rng.random_range(0..3),
                speed: 1.0,
                cold_rate: rng.random_bool(0.5).then_some(20.0),
            })
            .collect();
        let chosen = |scope| placement::choose_in(flow(number), candidates.iter().copied(), scope);
        let near = chosen(Scope::Near).map(|chosen| chosen.ip);
        assert_eq!(near, reference(flow(number), &candidates));
        assert_eq!(
            near,
            placement::choose(flow(number), candidates.iter().copied()).map(|chosen| chosen.ip)
        );
        let any_local = candidates.iter().any(|candidate| candidate.local);
        assert_eq!(chosen(Scope::Local).map(|chosen| chosen.local), near.map(|_| any_local));
        let loads = candidates.iter().map(|candidate| former_load(candidate, &candidates).1);
        let least = loads.min_by(f64::total_cmp);
        assert_eq!(chosen(Scope::All).map(|chosen| chosen.relative_load()), least);
    }
    assert_eq!(
        Overflow::new("east".into())
            .direct(&SERVICE_NAME.into(), flow(1), Instant::now())
            .0,
        Scope::Near
    );
}

/// A deployment whose settings say nothing, or that need not bear the loss of a data centre, must keep the former rule.
#[test]
fn settings_select_the_mode() {
    for (fields, mode) in [
        ("", Mode::Penalty),
        (r#""tolerated_data_centre_losses": 0,"#, Mode::Penalty),
        (r#""tolerated_data_centre_losses": 1,"#, Mode::Adaptive),
        (
            r#""tolerated_data_centre_losses": 1, "overflow": "penalty","#,
            Mode::Penalty,
        ),
        (r#""overflow": "least-loaded","#, Mode::LeastLoaded),
    ] {
        let text = format!(
            r#"{{"name": "n", "ip": "10.1.0.1", "data_centre": "east", "port": 1, "packets": "10.1.0.1:2", {fields}
            "ready": "10.1.0.1:3", "memory_mb": 64, "stop_timeout_s": 6, "backend": null}}"#
        );
        let settings: Settings = serde_json::from_str(&text).unwrap();
        assert_eq!(settings.overflow(), mode, "{fields}");
    }
}
