//! Random sequences of operations and faults over the decision code, checked against an oracle.
//!
//! Each seed gives one sequence. `DOGWOODPITCH_FUZZ_SEED` sets the first seed and `DOGWOODPITCH_FUZZ_CASES` the number
//! of seeds. A failure prints the seed that repeats it and the shortest sequence that still fails.

mod oracle;
mod store;
mod world;

use std::env;

use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

use world::World;

/// Operations of one sequence at most.
const SIZE: usize = 120;
/// Seeds that CI runs.
const FIRST_SEED: u64 = 1;
const CASES: u64 = 150;

/// One operation. Numbers are taken modulo the number of nodes, callers or items.
#[derive(Debug, Clone, Copy)]
enum Op {
    /// Lets time pass.
    Wait { ms: u16 },
    /// A caller opens a flow to a service.
    Open { caller: u8, service: u8 },
    /// A caller sends a request.
    Request {
        caller: u8,
        service: u8,
        idempotent: bool,
        upload: bool,
        timeout_ms: u16,
        run_ms: u16,
    },
    /// A caller sends a packet of one of its flows to the address of another service.
    Cross { caller: u8 },
    /// Someone sends a forged connection ID to the address of a service.
    Forge { service: u8, seed: u64 },
    /// A backend server starts or stops to drain.
    Drain { agent: u8, on: bool },
    /// An agent dies; its address stays silent.
    KillAgent { agent: u8 },
    /// The first dead agent starts again.
    StartAgent,
    /// An agent stands still.
    Freeze { agent: u8, ms: u16 },
    /// A balancer dies.
    KillBalancer { balancer: u8 },
    /// The first dead balancer starts again.
    StartBalancer,
    /// The store stops or starts to answer.
    Store { up: bool },
    /// An operator reads an item.
    Read { operator: u8, item: u8 },
    /// An operator writes the item that it has read.
    Write { operator: u8, value: u8, lose_reply: bool },
    /// One node pulls the configuration of another.
    Pull { from: u8, to: u8 },
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let agent = u8::arbitrary(g);
        let service = u8::arbitrary(g);
        let caller = u8::arbitrary(g);
        let on = bool::arbitrary(g);
        let ms = |g: &mut Gen, max: u16| u16::arbitrary(g) % max;
        match u8::arbitrary(g) % 40 {
            0..=7 => Self::Wait { ms: ms(g, 400) },
            8 => Self::Wait { ms: ms(g, 6_000) },
            9..=11 => Self::Open { caller, service },
            12..=24 => Self::Request {
                caller,
                service,
                idempotent: on,
                upload: u8::arbitrary(g) % 4 == 0,
                timeout_ms: 50 + ms(g, 4_000),
                run_ms: 1 + ms(g, 600),
            },
            25 => Self::Cross { caller },
            26 => Self::Forge {
                service,
                seed: u64::arbitrary(g),
            },
            27..=28 => Self::Drain { agent, on },
            29 => Self::KillAgent { agent },
            30 => Self::StartAgent,
            31 => Self::Freeze {
                agent,
                ms: ms(g, 9_000),
            },
            32 => Self::KillBalancer { balancer: agent },
            33 => Self::StartBalancer,
            34 => Self::Store { up: on },
            35..=36 => Self::Read {
                operator: caller,
                item: agent % 3,
            },
            37..=38 => Self::Write {
                operator: caller,
                value: service,
                lose_reply: on,
            },
            _ => Self::Pull {
                from: agent,
                to: caller,
            },
        }
    }
}

/// One sequence with the seed of its delays, losses and choices.
#[derive(Debug, Clone)]
struct Case {
    seed: u64,
    ops: Vec<Op>,
}

impl Arbitrary for Case {
    fn arbitrary(g: &mut Gen) -> Self {
        let seed = u64::arbitrary(g);
        let len = g.size();
        Self {
            seed,
            ops: (0..len).map(|_| Op::arbitrary(g)).collect(),
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let seed = self.seed;
        Box::new(self.ops.shrink().map(move |ops| Self { seed, ops }))
    }
}

fn check(case: Case) -> TestResult {
    let mut world = World::new(case.seed);
    for op in case.ops {
        world.apply(op);
    }
    world.settle();
    match world.into_failure() {
        None => TestResult::passed(),
        Some(failure) => TestResult::error(failure),
    }
}

fn number(name: &str, default: u64) -> u64 {
    let Ok(text) = env::var(name) else { return default };
    text.parse()
        .unwrap_or_else(|_| panic!("{name}: expected a number, got {text:?}"))
}

/// Guards against misrouting, requests that run although they were refused or run twice, work for draining agents,
/// leaked slots and reverted configuration, whatever order the faults come in.
#[test]
fn sequences_keep_the_invariants() {
    let first = number("DOGWOODPITCH_FUZZ_SEED", FIRST_SEED);
    let cases = number("DOGWOODPITCH_FUZZ_CASES", CASES);
    for seed in first..first + cases {
        let r#gen = Gen::from_size_and_seed(SIZE, seed);
        let result = QuickCheck::new()
            .rng(r#gen)
            .tests(1)
            .quicktest(check as fn(Case) -> TestResult);
        if let Err(failure) = result {
            panic!(
                "DOGWOODPITCH_FUZZ_SEED={seed} DOGWOODPITCH_FUZZ_CASES=1 cargo test -p dogwoodpitch --test fuzz \
                 repeats this:\n{failure:#?}"
            );
        }
    }
}

/// Guards against a fuzzer that passes because nothing happens in its sequences.
#[test]
fn sequences_reach_the_interesting_states() {
    let mut totals = oracle::Counts::default();
    for seed in 1..=40 {
        let case = Case::arbitrary(&mut Gen::from_size_and_seed(SIZE, seed));
        let mut world = World::new(case.seed);
        case.ops.into_iter().for_each(|op| world.apply(op));
        world.settle();
        totals.add(world.counts());
    }
    println!("{totals:?}");
    for (name, count) in totals.named() {
        assert!(count > 0, "no sequence reached: {name}");
    }
}
