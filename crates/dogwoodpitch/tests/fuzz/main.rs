//! Random sequences of operations and faults for the decision logic, checked against an oracle.
//!
//! Each seed determines one sequence. `DOGWOODPITCH_FUZZ_SEED` sets the first seed and `DOGWOODPITCH_FUZZ_CASES` the
//! number of seeds. A failure prints the seed that reproduces it and the shortest sequence that still fails.

mod oracle;
mod store;
mod world;

use std::env;

use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

use world::World;

/// Maximum number of operations in a sequence.
const MAX_OPS: usize = 120;
/// Default first seed, as in CI.
const FIRST_SEED: u64 = 1;
/// Default number of seeds, as in CI.
const CASES: u64 = 150;

/// One operation or fault. Indices are taken modulo the number of agents, balancers, callers or items.
#[derive(Debug, Clone, Copy)]
enum Op {
    /// Time passes.
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
    /// A caller sends a packet of each of its flows to the address of another service.
    Misaddress { caller: u8 },
    /// A packet with a forged connection ID arrives at the address of a service.
    Forge { service: u8, seed: u64 },
    /// A backend server starts or stops draining.
    Drain { agent: u8, on: bool },
    /// An agent crashes; its address stays silent.
    KillAgent { agent: u8 },
    /// The first crashed agent restarts.
    StartAgent,
    /// An agent is paused.
    Pause { agent: u8, ms: u16 },
    /// A balancer crashes.
    KillBalancer { balancer: u8 },
    /// The first crashed balancer restarts.
    StartBalancer,
    /// The store becomes available or unavailable.
    Store { up: bool },
    /// An operator reads an item.
    Read { operator: u8, item: u8 },
    /// An operator writes the item that it read last.
    Write { operator: u8, value: u8, lose_reply: bool },
    /// The node `to` pulls the configuration of the node `from`.
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
            25 => Self::Misaddress { caller },
            26 => Self::Forge {
                service,
                seed: u64::arbitrary(g),
            },
            27..=28 => Self::Drain { agent, on },
            29 => Self::KillAgent { agent },
            30 => Self::StartAgent,
            31 => Self::Pause {
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

/// One sequence, with the seed for its delays, losses and random choices.
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
    world.check_recovery();
    match world.into_failure() {
        None => TestResult::passed(),
        Some(failure) => TestResult::error(failure),
    }
}

fn env_number(name: &str, default: u64) -> u64 {
    let Ok(text) = env::var(name) else { return default };
    text.parse()
        .unwrap_or_else(|_| panic!("{name}: expected a number, got {text:?}"))
}

/// Guards against misrouting, requests that run after a refusal or run twice, new work for draining agents, leaked
/// slots, and reverted configuration, in any order of faults.
#[test]
fn sequences_keep_the_invariants() {
    let first = env_number("DOGWOODPITCH_FUZZ_SEED", FIRST_SEED);
    let cases = env_number("DOGWOODPITCH_FUZZ_CASES", CASES);
    for seed in first..first + cases {
        let r#gen = Gen::from_size_and_seed(MAX_OPS, seed);
        let result = QuickCheck::new()
            .rng(r#gen)
            .tests(1)
            .quicktest(check as fn(Case) -> TestResult);
        if let Err(failure) = result {
            panic!(
                "DOGWOODPITCH_FUZZ_SEED={seed} DOGWOODPITCH_FUZZ_CASES=1 cargo test -p dogwoodpitch --test fuzz \
                 reproduces this:\n{failure:#?}"
            );
        }
    }
}

/// Guards against sequences that pass because the checked events do not occur in them.
#[test]
fn sequences_reach_all_counted_events() {
    let mut totals = oracle::Counts::default();
    for seed in 1..=40 {
        let case = Case::arbitrary(&mut Gen::from_size_and_seed(MAX_OPS, seed));
        let mut world = World::new(case.seed);
        case.ops.into_iter().for_each(|op| world.apply(op));
        world.check_recovery();
        totals.add(world.counts());
    }
    println!("{totals:?}");
    for (name, count) in totals.named() {
        assert!(count > 0, "no sequence reached: {name}");
    }
}
