//! Load patterns of overloaded backend servers, replayed against the queue of waiting SYNs and against handing over all.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use dogwoodpitch::state::steering::admission::{self, Queue, Syn, Work};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::build::{BALANCER, flow};

const MS: Duration = Duration::from_millis(1);
const SLOTS: usize = 2;
/// Requests that the backend server takes, running and waiting; it refuses more.
const CAPACITY: usize = 10;
/// Mean time of a request in a slot.
const MEAN_MS: u32 = 40;
/// From the moment when a SYN is handed over to the first request of its flow.
const HANDSHAKE_MS: u32 = 10;
/// Times after the start of a try at which a client sends its SYN and the copies.
const COPIES_MS: [u32; 3] = [0, 200, 600];
const TRIES: u32 = 3;
const DURATION_MS: u32 = 4_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    Queue,
    HandOverAll,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// The client sends SYNs.
    Opening { copy: usize },
    /// The flow is open, and its request arrives at this time.
    Arriving { at: u32 },
    /// At the backend server.
    Taken,
    /// Answered, or given up.
    Over,
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
    /// Urgent requests without an answer in time.
    fn missed(&self) -> u32 {
        self.urgent - self.urgent_in_time
    }
}

/// Clients and one backend server.
#[derive(Debug, Default)]
struct World {
    requests: Vec<Request>,
    /// Requests in slots, with the times of their ends.
    running: Vec<(u32, usize)>,
    waiting: VecDeque<usize>,
    queue: Queue,
    outcome: Outcome,
}

impl World {
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
        if copy >= COPIES_MS.len() || now < request.try_started + COPIES_MS[copy] {
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
            policy == Policy::HandOverAll || self.queue.offer(syn, self.work(), at) == admission::Outcome::Admitted;
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
        let full = self.running.len() + self.waiting.len() >= CAPACITY;
        let request = &mut self.requests[index];
        if !matches!(request.stage, Stage::Arriving { at } if at <= now) {
            return;
        }
        if !full {
            request.stage = Stage::Taken;
            self.waiting.push_back(index);
            return;
        }
        self.outcome.refused += 1;
        request.tries += 1;
        request.try_started = now;
        request.stage = if request.tries < TRIES {
            Stage::Opening { copy: 0 }
        } else {
            Stage::Over
        };
    }

    fn run(&mut self, now: u32, rng: &mut StdRng) {
        let ended: Vec<_> = self.running.extract_if(.., |(end, _)| *end <= now).collect();
        for (_, index) in ended {
            let request = &mut self.requests[index];
            request.stage = Stage::Over;
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

/// Plays requests at one backend server: usual ones on open flows, urgent ones with a flow of their own.
fn play(policy: Policy, usual_per_s: f64, urgent_per_s: f64, seed: u64) -> Outcome {
    let start = Instant::now();
    let mut rng = StdRng::seed_from_u64(seed);
    let mut world = World::default();
    for now in 0..DURATION_MS {
        let at = start + now * MS;
        for (per_s, urgent) in [(usual_per_s, false), (urgent_per_s, true)] {
            if rng.random_bool(per_s / 1_000.0) {
                world.outcome.urgent += u32::from(urgent);
                world.requests.push(Request {
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
        world.run(now, &mut rng);
        world.release(now, at);
        for index in 0..world.requests.len() {
            world.open(index, policy, now, at);
            world.arrive(index, now);
        }
    }
    world.outcome
}

/// nhsc-edge-grown scale-2 from 10.5 s on: a burst of 1.6 times what the backend servers can run, of which a quarter has
/// flows of its own and is urgent.
#[test]
fn urgent_requests_are_served_in_a_burst() {
    for seed in 1..=5 {
        let queue = play(Policy::Queue, 60.0, 20.0, seed);
        let all = play(Policy::HandOverAll, 60.0, 20.0, seed);
        assert!(queue.missed() * 2 <= all.missed(), "{queue:?} {all:?}");
        assert!(queue.refused < all.refused, "{queue:?} {all:?}");
        assert!(queue.served * 20 >= all.served * 19, "{queue:?} {all:?}");
    }
}

/// A calm load must not be slowed down: a SYN waits only while all slots are taken.
#[test]
fn nothing_waits_while_slots_are_free() {
    for seed in 1..=5 {
        let queue = play(Policy::Queue, 15.0, 5.0, seed);
        let all = play(Policy::HandOverAll, 15.0, 5.0, seed);
        assert_eq!(queue.urgent_in_time, all.urgent_in_time, "{queue:?} {all:?}");
    }
}
