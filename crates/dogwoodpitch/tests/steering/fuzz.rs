//! Random sequences of traffic and faults over the decisions of all nodes, against an oracle that knows which backend
//! server holds each flow.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::Ipv4Addr,
    time::{Duration, Instant},
};

use dogwoodpitch::state::steering::{
    agent::{Agent, Effect, Hop, Note},
    balancer::{Balancer, Decision},
    member::{Change, Members},
    report::{Report, Stance},
    segment::{Flags, Flow, Segment},
};
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

use crate::build::{
    A, B, BALANCER, C, STARTED_MS, agent, agent_at, agent_report, beat, data, flow, from_backend, routes, started, syn,
};

const AGENTS: [Ipv4Addr; 3] = [A, B, C];
const CLIENTS: u16 = 6;
/// Time after a confirmed drain from which a backend server gets no new flow, whatever happens to its agent.
const DRAIN: Duration = Duration::from_secs(3);
/// Longest sequence.
const SEQUENCE: usize = 100;
/// Least time between starts on the VMs.
const RESTART_MS: u64 = 1_000;

#[derive(Debug, Clone)]
enum Op {
    /// A client opens a flow, or opens another one instead of its present one.
    Open(u16),
    /// A client sends data through one of the balancers.
    Send(u16, usize),
    /// An agent's process is killed and starts again.
    RestartAgent(usize),
    /// A backend server crashes and starts again.
    Crash(usize),
    /// A backend server drains.
    Drain(usize),
    /// A balancer loses its cache.
    RestartBalancer(usize),
    /// The next frames between nodes are lost.
    Lose(u8),
    /// Time passes.
    Wait(u16),
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let client = u16::arbitrary(g) % CLIENTS;
        let index = usize::arbitrary(g) % AGENTS.len();
        match u8::arbitrary(g) % 16 {
            0..=3 => Self::Open(client),
            4..=8 => Self::Send(client, index % 2),
            9 => Self::RestartAgent(index),
            10 => Self::Crash(index),
            11 => Self::Drain(index),
            12 => Self::RestartBalancer(index % 2),
            13 => Self::Lose(u8::arbitrary(g) % 4),
            _ => Self::Wait(u16::arbitrary(g) % 400),
        }
    }
}

/// Backend server as the bench describes it: it returns packets of flows that it does not hold.
#[derive(Debug, Default)]
struct Backend {
    lifetime: u64,
    started_ms: u64,
    beats: u64,
    draining: bool,
    /// When a SYN breaks the promise: at once, or a few seconds after the drain if the agent has restarted since.
    no_syn_from: Option<Instant>,
    flows: BTreeSet<Flow>,
}

#[derive(Debug)]
enum Frame {
    Packet {
        to: Ipv4Addr,
        via: Hop,
        segment: Segment,
        ask: bool,
    },
    Note {
        from: Ipv4Addr,
        to: Ipv4Addr,
        note: Note,
    },
}

#[derive(Debug)]
struct World {
    now: Instant,
    balancers: [Balancer; 2],
    agents: BTreeMap<Ipv4Addr, Agent>,
    backends: BTreeMap<Ipv4Addr, Backend>,
    members: BTreeMap<Ipv4Addr, Members>,
    numbers: u64,
    incarnations: BTreeMap<Ipv4Addr, u64>,
    queue: VecDeque<Frame>,
    lose: u8,
    ports: [u16; CLIENTS as usize],
    next_port: u16,
    /// Time of day of all VMs.
    wall_ms: u64,
    /// Flows whose clients were reset.
    reset: BTreeSet<Flow>,
    faults: Vec<String>,
}

impl World {
    fn new() -> Self {
        let now = Instant::now();
        let balancer = || {
            let mut balancer = Balancer::new("east".into(), 1_000);
            balancer.routes = routes(1);
            balancer
        };
        let mut world = Self {
            now,
            balancers: [balancer(), balancer()],
            agents: AGENTS.iter().map(|ip| (*ip, agent(*ip, now))).collect(),
            backends: AGENTS
                .iter()
                .map(|ip| {
                    (
                        *ip,
                        Backend {
                            lifetime: 1,
                            started_ms: STARTED_MS,
                            ..Backend::default()
                        },
                    )
                })
                .collect(),
            members: AGENTS
                .iter()
                .chain([&BALANCER])
                .map(|ip| (*ip, Members::default()))
                .collect(),
            numbers: 0,
            incarnations: AGENTS.iter().map(|ip| (*ip, 1)).collect(),
            queue: VecDeque::new(),
            lose: 0,
            ports: [0; CLIENTS as usize],
            next_port: 0,
            wall_ms: STARTED_MS,
            reset: BTreeSet::new(),
            faults: Vec::new(),
        };
        for agent in world.agents.values_mut() {
            agent.mark_announced();
        }
        world.wait(1_000);
        world
    }

    fn apply(&mut self, op: &Op) {
        match *op {
            Op::Open(client) => {
                self.next_port += 1;
                self.ports[usize::from(client)] = self.next_port;
                self.client(syn(self.next_port, 0), usize::from(client) % 2);
                self.deliver();
            }
            Op::Send(client, balancer) => {
                let port = self.ports[usize::from(client)];
                if port > 0 {
                    self.client(data(port, seq(port) + 1), balancer);
                    self.deliver();
                }
            }
            Op::RestartAgent(index) => {
                let ip = AGENTS[index];
                self.wall_ms += RESTART_MS;
                let backend = self.backends.get_mut(&ip).unwrap();
                backend.no_syn_from = backend.no_syn_from.map(|from| from + DRAIN);
                let mut fresh = agent_at(ip, self.now, self.wall_ms);
                fresh.mark_announced();
                self.agents.insert(ip, fresh);
                *self.incarnations.get_mut(&ip).unwrap() += 1;
                self.report(ip);
                self.deliver();
                // A process reports a changed stance long before it can start once more.
                self.report(ip);
            }
            Op::Crash(index) => {
                let ip = AGENTS[index];
                let backend = self.backends.get_mut(&ip).unwrap();
                self.wall_ms += RESTART_MS;
                *backend = Backend {
                    lifetime: backend.lifetime + 1,
                    started_ms: self.wall_ms,
                    ..Backend::default()
                };
                self.beat(ip);
            }
            Op::Drain(index) => {
                let backend = self.backends.get_mut(&AGENTS[index]).unwrap();
                backend.draining = true;
                backend.no_syn_from = Some(self.now);
                self.beat(AGENTS[index]);
                // A changed stance is reported before the heartbeat is confirmed.
                self.report(AGENTS[index]);
            }
            Op::RestartBalancer(index) => {
                let mut balancer = Balancer::new("east".into(), 1_000);
                balancer.routes = routes(1);
                self.balancers[index] = balancer;
            }
            Op::Lose(count) => self.lose = count,
            Op::Wait(ms) => self.wait(ms),
        }
    }

    fn wait(&mut self, ms: u16) {
        for _ in 0..=ms / 100 {
            self.now += Duration::from_millis(100);
            for ip in AGENTS {
                self.beat(ip);
                let mut out = Vec::new();
                let members = &self.members[&ip];
                self.agents.get_mut(&ip).unwrap().tick(members, self.now, &mut out);
                self.execute(ip, &out, None);
                self.report(ip);
            }
            self.deliver();
        }
    }

    fn beat(&mut self, ip: Ipv4Addr) {
        let backend = self.backends.get_mut(&ip).unwrap();
        backend.beats += 1;
        let mut word = beat(backend.lifetime, backend.beats, backend.draining);
        word.started_ms = Some(backend.started_ms);
        let mut out = Vec::new();
        self.agents
            .get_mut(&ip)
            .unwrap()
            .handle_heartbeat(&word, self.now, &mut out);
        self.execute(ip, &out, None);
    }

    fn report(&mut self, ip: Ipv4Addr) {
        self.numbers += 1;
        let agent = &self.agents[&ip];
        let report = Report {
            load: agent.load(self.now),
            ..agent_report(self.incarnations[&ip], self.numbers, agent.stance(self.now))
        };
        for (other, members) in &mut self.members {
            if *other == ip {
                continue;
            }
            let change = members.record_report(ip, report.clone(), self.now);
            let Change::New { was_draining } = change else { continue };
            let Some(sibling) = self.agents.get_mut(other) else {
                continue;
            };
            let mut out = Vec::new();
            sibling.handle_peer_restart(ip, &mut out);
            if was_draining {
                let note = Note::WasDraining;
                out.push(Effect::SendNote { to: ip, note });
            }
            for effect in out {
                if let Effect::SendNote { to, note } = effect {
                    self.queue.push_back(Frame::Note { from: *other, to, note });
                }
            }
        }
    }

    fn client(&mut self, segment: Segment, balancer: usize) {
        let members = self.members.get_mut(&BALANCER).unwrap();
        match self.balancers[balancer].handle_client_packet(&segment, members, self.now) {
            Decision::Forward { to, guessed, .. } => {
                let via = Hop {
                    sender: BALANCER,
                    balancer: BALANCER,
                    hops: 0,
                    guessed,
                    version: 1,
                };
                self.queue.push_back(Frame::Packet {
                    to,
                    via,
                    segment,
                    ask: false,
                });
            }
            Decision::Reset { .. } => self.reset_client(segment.flow_from_client(), "balancer"),
            Decision::Drop { .. } => {}
        }
    }

    fn deliver(&mut self) {
        let mut steps = 0;
        while let Some(frame) = self.queue.pop_front() {
            steps += 1;
            if steps > 10_000 {
                self.faults.push("frames travel for ever".to_owned());
                return;
            }
            if self.lose > 0 {
                self.lose -= 1;
                continue;
            }
            let mut out = Vec::new();
            match frame {
                Frame::Packet { to, via, segment, ask } => {
                    let agent = self.agents.get_mut(&to).unwrap();
                    if ask {
                        agent.handle_query(&segment, via, self.now, &mut out);
                    } else {
                        agent.handle_client_packet(&segment, via, &self.members[&to], self.now, &mut out);
                    }
                    self.execute(to, &out, Some(&segment));
                }
                Frame::Note { from, to, note } => match self.agents.get_mut(&to) {
                    Some(agent) => {
                        agent.handle_note(from, note, self.now, &mut out);
                        self.execute(to, &out, None);
                    }
                    None => {
                        if let Note::Learn(flow) = note {
                            self.balancers[0].learn(flow, from, self.now);
                        }
                    }
                },
            }
        }
    }

    /// Sends a client's packet from one agent to another.
    fn carry(&mut self, sender: Ipv4Addr, to: Ipv4Addr, hops: u8, balancer: Ipv4Addr, segment: Segment, ask: bool) {
        let via = Hop {
            sender,
            balancer,
            hops,
            guessed: true,
            version: 1,
        };
        self.queue.push_back(Frame::Packet { to, via, segment, ask });
    }

    fn execute(&mut self, ip: Ipv4Addr, effects: &[Effect], segment: Option<&Segment>) {
        for effect in effects {
            match (effect, segment) {
                (Effect::Deliver, Some(segment)) => self.backend(ip, segment),
                (Effect::Forward { to, hops, balancer }, Some(segment)) => {
                    self.carry(ip, *to, *hops, *balancer, *segment, false);
                }
                (Effect::Query { to, balancer }, Some(segment)) => self.carry(ip, *to, 0, *balancer, *segment, true),
                (Effect::Reset { flow, .. }, _) => self.reset_client(*flow, "agent"),
                (Effect::SendNote { to, note }, _) => {
                    self.queue.push_back(Frame::Note {
                        from: ip,
                        to: *to,
                        note: note.clone(),
                    });
                }
                _ => {}
            }
        }
    }

    /// What the backend server does with a packet.
    fn backend(&mut self, ip: Ipv4Addr, segment: &Segment) {
        let flow = segment.flow_from_client();
        let backend = self.backends.get_mut(&ip).unwrap();
        let agent = self.agents.get_mut(&ip).unwrap();
        let port = flow.client.port() - 1_024;
        let mut out = Vec::new();
        if segment.is_initial_syn() {
            if backend.no_syn_from.is_some_and(|from| self.now >= from) {
                self.faults
                    .push(format!("{ip} got a SYN after its drain was confirmed"));
            }
            backend.flows.insert(flow);
            agent.handle_backend_packet(&from_backend(port, seq(port)), self.now, &mut out);
        } else if backend.flows.contains(&flow) {
            agent.handle_backend_packet(&from_backend(port, seq(port) + 1), self.now, &mut out);
        } else {
            let mut returned = *segment;
            returned.flags = returned.flags.union(Flags::RETURNED);
            agent.handle_returned_packet(&returned, &self.members[&ip], self.now, &mut out);
        }
        let passed_on = *segment;
        self.execute(ip, &out, Some(&passed_on));
    }

    fn reset_client(&mut self, flow: Flow, by: &str) {
        let holder = self.backends.iter().find(|(_, backend)| backend.flows.contains(&flow));
        if let Some((ip, _)) = holder {
            self.faults.push(format!("{by} reset {flow:?}, which {ip} holds"));
        }
        self.reset.insert(flow);
    }

    /// After a quiet time, each client's flow is either served or ended.
    fn settle(&mut self) {
        self.lose = 0;
        for _ in 0..3 {
            self.wait(700);
            for client in 0..CLIENTS {
                self.apply(&Op::Send(client, usize::from(client) % 2));
            }
        }
        for port in self.ports.into_iter().filter(|port| *port > 0) {
            let flow = flow(port);
            let held = self.backends.values().any(|backend| backend.flows.contains(&flow));
            if !held && !self.reset.contains(&flow) {
                self.faults
                    .push(format!("{flow:?} is held by nobody, and its client was not told"));
            }
        }
    }
}

/// First sequence number of the backend server in a flow. The multiples of the golden ratio lie far apart.
fn seq(port: u16) -> u32 {
    u32::from(port).wrapping_mul(0x9e37_79b9)
}

#[expect(clippy::needless_pass_by_value, reason = "quickcheck gives values")]
fn holds(ops: Vec<Op>) -> TestResult {
    let mut world = World::new();
    for op in &ops {
        world.apply(op);
    }
    world.settle();
    if world.faults.is_empty() {
        TestResult::passed()
    } else {
        TestResult::error(format!("{:?}", world.faults))
    }
}

/// No flow is reset while a backend server holds it, no SYN follows a confirmed drain, no frame travels for ever, and
/// the clients of lost flows are told.
#[test]
fn promises_hold_in_random_sequences() {
    let setting = |name| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let cases = setting("DOGWOODPITCH_FUZZ_CASES").unwrap_or(400);
    let seed = setting("DOGWOODPITCH_FUZZ_SEED").unwrap_or(1);
    QuickCheck::new()
        .tests(cases)
        .rng(Gen::from_size_and_seed(SEQUENCE, seed))
        .quickcheck(holds as fn(Vec<Op>) -> TestResult);
}

/// Stances that the sequences never reach by themselves are still told apart.
#[test]
fn a_stopping_agent_restarts_or_leaves() {
    let now = Instant::now();
    let mut agent = started(A, now);
    agent.stop();
    assert_eq!(agent.stance(now), Stance::Restarting);
    agent.handle_connection_refused(now, &mut Vec::new());
    assert_eq!(agent.stance(now), Stance::Leaving);
}
