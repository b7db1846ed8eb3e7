//! Admission control with a queue of SYNs, compared with admitting all SYNs, at a simulated overloaded backend server.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use dogwoodpitch::state::steering::admission::{self, Queue, Syn, Work};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::build::{BALANCER, flow};

const MS: Duration = Duration::from_millis(1);
const SLOTS: usize = 2;
/// Maximum number of requests, running and queued, that the backend server accepts. It refuses more.
const MAX_REQUESTS: usize = 10;
/// Mean service time of a request.
const MEAN_MS: u32 = 40;
/// Time from the delivery of a SYN to the first request of its flow.
const HANDSHAKE_MS: u32 = 10;
/// Times after the start of a try at which a client sends its SYN and its copies.
const SYN_TIMES_MS: [u32; 3] = [0, 200, 600];
const MAX_TRIES: u32 = 3;
const DURATION_MS: u32 = 4_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    Queue,
    AdmitAll,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// The client is sending SYNs; `copy` is the number of the next one.
    Opening { copy: usize },
    /// The flow is open, and its request arrives at the given time.
    Arriving { at: u32 },
    /// The request is at the backend server, running or queued.
    Accepted,
    /// The request was answered, or the client has given up.
    Finished,
}

#[derive(Debug, Clone, Copy)]
struct Request {
    urgent: bool,
    sent: u32,
    tries: u32,
    try_started: u32,
    stage: Stage,
}

impl Request {
    fn goal_ms(self) -> u32 {
        if self.urgent { 400 } else { 300 }
    }
}

#[derive(Debug, Default)]
struct Outcome {
    urgent: u32,
    urgent_in_time: u32,
    served: u32,
    refused: u32,
}

impl Outcome {
    /// Number of urgent requests without a timely response.
    fn missed(&self) -> u32 {
        self.urgent - self.urgent_in_time
    }
}

/// Clients and one backend server.
#[derive(Debug, Default)]
struct Simulation {
    requests: Vec<Request>,
    /// Requests in slots, with the times at which they end.
    running: Vec<(u32, usize)>,
    waiting: VecDeque<usize>,
    queue: Queue,
    outcome: Outcome,
}

impl Simulation {
    fn work(&self) -> Work {
        let expected = |request: &&Request| request.urgent && matches!(request.stage, Stage::Arriving { .. });
        let expected = self.requests.iter().filter(expected).count();
        Work {
            slots: 2,
            requests: u32::try_from(self.running.len() + self.waiting.len() + expected).unwrap(),
            service_time: MEAN_MS * MS,
        }
    }

    fn open(&mut self, index: usize, policy: Policy, now: u32, at: Instant) {
        let request = self.requests[index];
        let Stage::Opening { copy } = request.stage else { return };
        if copy >= SYN_TIMES_MS.len() || now < request.try_started + SYN_TIMES_MS[copy] {
            return;
        }
        let syn = Syn {
            flow: flow(u16::try_from(index).unwrap()),
            goal: request.goal_ms() * MS,
            priority: if request.urgent { 1 } else { 2 },
            copy: u32::try_from(copy).unwrap(),
            balancer: BALANCER,
            hops: 0,
        };
        let taken =
            policy == Policy::AdmitAll || self.queue.offer(syn, self.work(), at) == admission::Outcome::Admitted;
        self.requests[index].stage = if taken {
            Stage::Arriving { at: now + HANDSHAKE_MS }
        } else {
            Stage::Opening { copy: copy + 1 }
        };
    }

    fn release(&mut self, now: u32, at: Instant) {
        self.queue.expire(at);
        while let Some(syn) = self.queue.next(self.work()) {
            let index = usize::from(syn.flow.client.port() - flow(0).client.port());
            self.requests[index].stage = Stage::Arriving { at: now + HANDSHAKE_MS };
        }
    }

    fn arrive(&mut self, index: usize, now: u32) {
        let full = self.running.len() + self.waiting.len() >= MAX_REQUESTS;
        let request = &mut self.requests[index];
        if !matches!(request.stage, Stage::Arriving { at } if at <= now) {
            return;
        }
        if !full {
            request.stage = Stage::Accepted;
            self.waiting.push_back(index);
            return;
        }
        self.outcome.refused += 1;
        request.tries += 1;
        request.try_started = now;
        request.stage = if request.tries < MAX_TRIES {
            Stage::Opening { copy: 0 }
        } else {
            Stage::Finished
        };
    }

    fn run(&mut self, now: u32, rng: &mut StdRng) {
        let ended: Vec<_> = self.running.extract_if(.., |(end, _)| *end <= now).collect();
        for (_, index) in ended {
            let request = &mut self.requests[index];
            request.stage = Stage::Finished;
            self.outcome.served += 1;
            self.outcome.urgent_in_time += u32::from(request.urgent && now - request.sent <= request.goal_ms());
        }
        while self.running.len() < SLOTS
            && let Some(index) = self.waiting.pop_front()
        {
            let work = rng.random_range(MEAN_MS / 2..MEAN_MS * 3 / 2);
            self.running.push((now + work, index));
        }
    }
}

/// Simulates requests at one backend server: normal ones on open flows, and urgent ones that each open a flow.
fn simulate(policy: Policy, normal_per_s: f64, urgent_per_s: f64, seed: u64) -> Outcome {
    let start = Instant::now();
    let mut rng = StdRng::seed_from_u64(seed);
    let mut simulation = Simulation::default();
    for now in 0..DURATION_MS {
        let at = start + now * MS;
        for (per_s, urgent) in [(normal_per_s, false), (urgent_per_s, true)] {
            if rng.random_bool(per_s / 1_000.0) {
                simulation.outcome.urgent += u32::from(urgent);
                simulation.requests.push(Request {
                    urgent,
                    sent: now,
                    tries: 0,
                    try_started: now,
                    stage: if urgent {
                        Stage::Opening { copy: 0 }
                    } else {
                        Stage::Arriving { at: now }
                    },
                });
            }
        }
        simulation.run(now, &mut rng);
        simulation.release(now, at);
        for index in 0..simulation.requests.len() {
            simulation.open(index, policy, now, at);
            simulation.arrive(index, now);
        }
    }
    simulation.outcome
}

/// A burst of 1.6 times the capacity of the backend server. A quarter of the requests is urgent and opens its own flows
/// (nhsc-edge-grown scale-2 from 10.5 s on).
#[test]
fn urgent_requests_are_served_in_a_burst() {
    for seed in 1..=5 {
        let queue = simulate(Policy::Queue, 60.0, 20.0, seed);
        let all = simulate(Policy::AdmitAll, 60.0, 20.0, seed);
        assert!(queue.missed() * 2 <= all.missed(), "{queue:?} {all:?}");
        assert!(queue.refused < all.refused, "{queue:?} {all:?}");
        assert!(queue.served * 20 >= all.served * 19, "{queue:?} {all:?}");
    }
}

/// Admission control must not delay requests at low load: a SYN waits only while all slots are busy.
#[test]
fn nothing_waits_while_slots_are_free() {
    for seed in 1..=5 {
        let queue = simulate(Policy::Queue, 15.0, 5.0, seed);
        let all = simulate(Policy::AdmitAll, 15.0, 5.0, seed);
        assert_eq!(queue.urgent_in_time, all.urgent_in_time, "{queue:?} {all:?}");
    }
}
