//! Load patterns of the worst windows, replayed against the placement of new flows and against baselines.

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

/// Backend servers of the pattern, with the slots that each has.
const BACKENDS: usize = 7;
const SLOTS: u32 = 7;
/// Age of the loads that balancers see, in milliseconds.
const REPORT_MS: f64 = 200.0;
/// Balancers that place at the same time without seeing each other's placements.
const BALANCERS: usize = 4;
/// A request counts as late beyond this time.
const AIM_MS: f64 = 300.0;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Policy {
    Product,
    Hash,
    RoundRobin,
    LeastLoad,
}

/// One backend server: the ends of the work in its slots.
#[derive(Debug, Clone)]
struct Backend {
    free_at: [f64; SLOTS as usize],
    speed: f64,
}

impl Backend {
    /// Runs work on the slot that is free first; returns its end.
    fn run(&mut self, now: f64, work: f64) -> f64 {
        let slot = self.free_at.iter_mut().min_by(|a, b| a.total_cmp(b)).unwrap();
        *slot = slot.max(now) + work / self.speed;
        *slot
    }

    /// Work in progress or waiting at a time, in slots of mean work.
    fn busy(&self, now: f64, mean_ms: f64) -> u32 {
        let ahead: f64 = self.free_at.iter().map(|end| (end - now).max(0.0)).sum();
        whole(ahead * self.speed / mean_ms)
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "work is small and not negative"
)]
fn whole(work: f64) -> u32 {
    work.round() as u32
}

/// Share of late requests when each request is a flow of its own.
fn late(policy: Policy, per_s: f64, speeds: [f64; BACKENDS], seed: u64) -> f64 {
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
        now += -f64::ln(1.0 - rng.random::<f64>()) * 1_000.0 / per_s;
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
                        // What the agent of a cold backend server is told, and what that of a slow one sees.
                        cold: (0.5..1.0).contains(&speeds[index]),
                        latency_ms: if speeds[index] < 0.5 {
                            whole(MEAN_MS / speeds[index])
                        } else {
                            whole(MEAN_MS)
                        },
                        ..reported[balancer][index]
                    },
                    busy: smoothed[index],
                    pending_placements: placed[balancer][index],
                    speed: 1.0,
                });
                placement::choose(flow, candidates).unwrap().ip
            }
        };
        let index = ips.iter().position(|ip| *ip == chosen).unwrap();
        placed[balancer][index] += 1;
        let tail = if rng.random_bool(0.03) { 4.0 } else { 1.0 };
        let work = MEAN_MS * tail * rng.random_range(0.5..1.5);
        late += u32::from(backends[index].run(now, work) - now > AIM_MS);
        count += 1;
    }
    f64::from(late) / f64::from(count)
}

/// Share of the flows that a backend server gets while it fails a part of its requests, at once and so with little load.
fn share_of_failing(failed_percent: [u32; BACKENDS], seed: u64) -> f64 {
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
        });
        taken += u32::from(placement::choose(flow, candidates).unwrap().ip == Ipv4Addr::new(10, 1, 0, 0));
    }
    f64::from(taken) / f64::from(FLOWS)
}

/// A backend server that resets all its requests looks idle and must not draw the flows of the others; if all fail, the
/// flows are spread as usual.
#[test]
fn a_failing_backend_server_gets_few_flows() {
    let fair = 1.0 / 7.0;
    assert!(share_of_failing([100, 0, 0, 0, 0, 0, 0], 1) < fair / 2.0);
    assert!(share_of_failing([100; BACKENDS], 1) > fair / 2.0);
}

fn compare(per_s: f64, speeds: [f64; BACKENDS]) -> BTreeMap<Policy, f64> {
    [Policy::Product, Policy::Hash, Policy::RoundRobin, Policy::LeastLoad]
        .into_iter()
        .map(|policy| {
            let shares = (1..=5).map(|seed| late(policy, per_s, speeds, seed));
            (policy, shares.sum::<f64>() / 5.0)
        })
        .collect()
}

/// A burst of 1.94 times the usual load (kalo-workshop trouble-3, 1.5 s): 85% of all slots are busy.
#[test]
fn burst() {
    let late = compare(710.0, [1.0; BACKENDS]);
    assert!(late[&Policy::Product] < late[&Policy::Hash], "{late:?}");
    assert!(late[&Policy::Product] < late[&Policy::LeastLoad] / 10.0, "{late:?}");
}

/// A release under load: two of seven backend servers have just started and run at half their speed.
#[test]
fn cold_backends() {
    let late = compare(500.0, [1.0, 1.0, 0.5, 1.0, 1.0, 0.5, 1.0]);
    for baseline in [Policy::Hash, Policy::RoundRobin, Policy::LeastLoad] {
        assert!(late[&Policy::Product] < late[&baseline], "{late:?}");
    }
}

/// Two of seven backend servers take four times as long for each request and say nothing of it (nhsc-edge, 28 to 33 s of a
/// recorded day).
#[test]
fn slow_backends() {
    let late = compare(400.0, [1.0, 0.25, 1.0, 1.0, 0.25, 1.0, 1.0]);
    for baseline in [Policy::Hash, Policy::RoundRobin, Policy::LeastLoad] {
        assert!(late[&Policy::Product] < late[&baseline], "{late:?}");
    }
}
