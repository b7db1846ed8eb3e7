//! Placement of new flows, compared with baseline policies in simulated load patterns of the worst windows.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddrV4},
};

use dogwoodpitch::state::steering::{
    placement::{self, Candidate},
    rank,
    report::Load,
    segment::Flow,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::build::SERVICE;

/// Number of backend servers. Each has [`SLOTS`] slots.
const BACKENDS: usize = 7;
const SLOTS: u32 = 7;
/// Interval of load reports in milliseconds.
const REPORT_MS: f64 = 200.0;
/// Number of balancers that place concurrently without seeing the placements of one another.
const BALANCERS: usize = 4;
/// Response time in milliseconds above which a request counts as late.
const GOAL_MS: f64 = 300.0;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Policy {
    Product,
    Hash,
    RoundRobin,
    LeastLoad,
}

/// Backend server: when each of its slots becomes free, in milliseconds, and its speed.
#[derive(Debug, Clone)]
struct Backend {
    free_at: [f64; SLOTS as usize],
    speed: f64,
}

impl Backend {
    /// Runs work on the slot that becomes free first, and returns when it ends.
    fn run(&mut self, now: f64, work: f64) -> f64 {
        let slot = self.free_at.iter_mut().min_by(|a, b| a.total_cmp(b)).unwrap();
        *slot = slot.max(now) + work / self.speed;
        *slot
    }

    /// Requests running or queued at a given time, as a number of mean requests.
    fn busy(&self, now: f64, mean_ms: f64) -> u32 {
        let remaining: f64 = self.free_at.iter().map(|end| (end - now).max(0.0)).sum();
        round_to_u32(remaining * self.speed / mean_ms)
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "work is small and not negative"
)]
fn round_to_u32(work: f64) -> u32 {
    work.round() as u32
}

/// Share of late requests if each request opens its own flow.
fn late_ratio(policy: Policy, requests_per_s: f64, speeds: [f64; BACKENDS], seed: u64) -> f64 {
    const MEAN_MS: f64 = 55.0;
    let mut rng = StdRng::seed_from_u64(seed);
    let mut backends = speeds.map(|speed| Backend {
        free_at: [0.0; SLOTS as usize],
        speed,
    });
    let ips: Vec<_> = (0..)
        .map(|index| Ipv4Addr::new(10, 1, 0, index))
        .take(BACKENDS)
        .collect();
    let mut reported = [[Load::default(); BACKENDS]; BALANCERS];
    let mut smoothed = [0.0; BACKENDS];
    let mut placed = [[0; BACKENDS]; BALANCERS];
    let (mut now, mut report_at, mut late, mut count) = (0.0, 0.0, 0_u32, 0_u32);
    while now < 20_000.0 {
        now += -f64::ln(1.0 - rng.random::<f64>()) * 1_000.0 / requests_per_s;
        if now >= report_at {
            report_at = now + REPORT_MS;
            let loads = backends.each_ref().map(|backend| Load {
                slots: SLOTS,
                busy: backend.busy(now, MEAN_MS),
                ..Load::default()
            });
            for (smoothed, load) in smoothed.iter_mut().zip(loads) {
                *smoothed += 0.3 * (f64::from(load.busy) - *smoothed);
            }
            reported = [loads; BALANCERS];
            placed = [[0; BACKENDS]; BALANCERS];
        }
        let balancer = rng.random_range(0..BALANCERS);
        let flow = Flow {
            client: SocketAddrV4::new(Ipv4Addr::from(rng.random::<u32>()), rng.random()),
            service: SERVICE,
        };
        let chosen = match policy {
            Policy::Hash => rank::homes(flow, ips.iter().copied())[0].unwrap(),
            Policy::RoundRobin => ips[count as usize % BACKENDS],
            Policy::LeastLoad => {
                ips[(0..BACKENDS)
                    .min_by_key(|index| reported[balancer][*index].busy)
                    .unwrap()]
            }
            Policy::Product => {
                let candidates = (0..BACKENDS).map(|index| Candidate {
                    ip: ips[index],
                    local: true,
                    load: Load {
                        // A cold backend server reports that it is cold. The agent of a slow one measures its latency.
                        cold: (0.5..1.0).contains(&speeds[index]),
                        latency_ms: if speeds[index] < 0.5 {
                            round_to_u32(MEAN_MS / speeds[index])
                        } else {
                            round_to_u32(MEAN_MS)
                        },
                        ..reported[balancer][index]
                    },
                    busy: smoothed[index],
                    pending_placements: placed[balancer][index],
                    speed: 1.0,
                    cold_rate: None,
                });
                placement::choose(flow, candidates).unwrap().ip
            }
        };
        let index = ips.iter().position(|ip| *ip == chosen).unwrap();
        placed[balancer][index] += 1;
        let factor = if rng.random_bool(0.03) { 4.0 } else { 1.0 };
        let work = MEAN_MS * factor * rng.random_range(0.5..1.5);
        late += u32::from(backends[index].run(now, work) - now > GOAL_MS);
        count += 1;
    }
    f64::from(late) / f64::from(count)
}

/// Share of flows that the first backend server gets when backend servers fail the given percentages of their requests.
/// A failing backend server answers at once and therefore has little load.
fn share_of_first(failed_percent: [u32; BACKENDS], seed: u64) -> f64 {
    const FLOWS: u32 = 2_000;
    let mut rng = StdRng::seed_from_u64(seed);
    let mut taken = 0;
    for _ in 0..FLOWS {
        let flow = Flow {
            client: SocketAddrV4::new(Ipv4Addr::from(rng.random::<u32>()), rng.random()),
            service: SERVICE,
        };
        let candidates = (0_u8..).zip(failed_percent).map(|(index, failed_percent)| Candidate {
            ip: Ipv4Addr::new(10, 1, 0, index),
            local: true,
            load: Load {
                slots: SLOTS,
                failed_percent,
                ..Load::default()
            },
            busy: if failed_percent > 0 { 0.0 } else { 3.0 },
            pending_placements: 0,
            speed: 1.0,
            cold_rate: None,
        });
        taken += u32::from(placement::choose(flow, candidates).unwrap().ip == Ipv4Addr::new(10, 1, 0, 0));
    }
    f64::from(taken) / f64::from(FLOWS)
}

/// A backend server that resets all requests looks idle and must not attract the flows of others. If all fail, flows
/// are spread as usual.
#[test]
fn a_failing_backend_server_gets_few_flows() {
    let equal_share = 1.0 / 7.0;
    assert!(share_of_first([100, 0, 0, 0, 0, 0, 0], 1) < equal_share / 2.0);
    assert!(share_of_first([100; BACKENDS], 1) > equal_share / 2.0);
}

fn late_ratios(requests_per_s: f64, speeds: [f64; BACKENDS]) -> BTreeMap<Policy, f64> {
    [Policy::Product, Policy::Hash, Policy::RoundRobin, Policy::LeastLoad]
        .into_iter()
        .map(|policy| {
            let shares = (1..=5).map(|seed| late_ratio(policy, requests_per_s, speeds, seed));
            (policy, shares.sum::<f64>() / 5.0)
        })
        .collect()
}

/// A burst of 1.94 times the usual load, with 85% of all slots busy (kalo-workshop trouble-3, 1.5 s).
#[test]
fn burst() {
    let late = late_ratios(710.0, [1.0; BACKENDS]);
    assert!(late[&Policy::Product] < late[&Policy::Hash], "{late:?}");
    assert!(late[&Policy::Product] < late[&Policy::LeastLoad] / 10.0, "{late:?}");
}

/// A release under load: two of seven backend servers are warming up at half speed.
#[test]
fn cold_backends() {
    let late = late_ratios(500.0, [1.0, 1.0, 0.5, 1.0, 1.0, 0.5, 1.0]);
    for baseline in [Policy::Hash, Policy::RoundRobin, Policy::LeastLoad] {
        assert!(late[&Policy::Product] < late[&baseline], "{late:?}");
    }
}

/// Two of seven backend servers take four times as long for each request without reporting it (nhsc-edge, 28 to 33 s of
/// a recorded day).
#[test]
fn slow_backends() {
    let late = late_ratios(400.0, [1.0, 0.25, 1.0, 1.0, 0.25, 1.0, 1.0]);
    for baseline in [Policy::Hash, Policy::RoundRobin, Policy::LeastLoad] {
        assert!(late[&Policy::Product] < late[&baseline], "{late:?}");
    }
}
