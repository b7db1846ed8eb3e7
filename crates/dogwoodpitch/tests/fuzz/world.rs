//! Simulated balancers, agents and callers that use the decision logic under test and exchange messages that are
//! delayed, reordered or lost.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddrV4},
    time::{Duration, Instant},
};

use dogwoodpitch::{
    protocol::{
        cid::{self, Codec, Target},
        code::Code,
    },
    state::{
        admission::{Changes, Discipline, Reason, Refusal, Scheduler, Ticket, Work},
        budget::Budget,
        config::Snapshot,
        estimate::Key,
        liveness::Detector,
        load::Load,
        placement::{self, Candidate, Pending, Table},
        roster::{Node, Role},
        route,
        service::Id,
    },
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

use crate::{
    Op,
    oracle::{Attempt, Counts, Oracle},
    store::{self, Item, Store},
};

pub const AGENTS: usize = 5;
pub const SERVICES: usize = 2;
const BALANCERS: usize = 3;
const CALLERS: usize = 4;
const SLOTS: u16 = 3;
/// Connection limit of each agent.
const CONNECTION_LIMIT: u32 = 60;
const TICK: Duration = Duration::from_millis(50);
/// Silence after which a caller abandons a connection.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time after which an offer without a reply has failed.
const OFFER_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of peers to which an attempt is offered.
const MAX_OFFERS: u32 = 2;
/// Time after a pause for which load reports are ignored, as in the load exchange: they may have waited in the socket.
const IGNORE_AFTER_PAUSE: Duration = Duration::from_millis(100);

pub fn agent_name(index: usize) -> String {
    format!("agent-{index}")
}

pub fn service_name(index: usize) -> String {
    ["counter", "cutting"][index].to_owned()
}

pub fn service_id(index: usize) -> Id {
    Id(u16::try_from(index).unwrap() + 1)
}

pub fn service_address(index: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(192, 0, 2, u8::try_from(index).unwrap() + 1), 443)
}

fn agent_address(index: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, u8::try_from(index).unwrap() + 1), 7_000)
}

/// Index of a node that holds a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Member {
    Balancer(usize),
    Agent(usize),
}

/// Link between two incarnations of agents for one offered request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Link {
    /// Index and incarnation of the agent that offers the request.
    origin: (usize, u32),
    /// Index and incarnation of the agent to which the request is offered.
    peer: (usize, u32),
    /// Unique number of the offer.
    offer: u64,
    attempt: Attempt,
}

/// Scheduled event of the simulation.
#[derive(Debug, Clone)]
enum Event {
    Tick,
    Load {
        from: usize,
        to: usize,
        load: Load,
    },
    Config {
        node: Member,
        incarnation: u32,
        snapshot: Box<Snapshot>,
    },
    Resume {
        agent: usize,
        incarnation: u32,
    },
    Initial {
        flow: usize,
    },
    Request {
        flow: usize,
        attempt: Attempt,
        deadline: Instant,
    },
    Reply {
        flow: usize,
        attempt: Attempt,
        code: Code,
    },
    Offer(Link, Instant),
    Admitted(Link),
    Refused(Link, Load),
    Body(Link),
    Answer(Link, Code),
    /// The link breaks at the end of the origin.
    LinkLost(Link),
    /// The peer has not replied to an offer in time.
    OfferTimeout(Link),
    /// The link breaks at the end of the peer.
    Closed(Link),
    Ended {
        agent: (usize, u32),
        ticket: Ticket,
    },
    Expire {
        agent: (usize, u32),
        ticket: Ticket,
    },
    Silence {
        flow: usize,
    },
    Deadline {
        request: u32,
    },
    Send {
        request: u32,
    },
}

struct Agent {
    node: Node,
    up: bool,
    paused: bool,
    paused_at: Instant,
    /// Events that arrive while the agent is paused.
    inbox: Vec<Event>,
    snapshot: Snapshot,
    table: Table,
    ignore_until: Option<Instant>,
    scheduler: Scheduler,
    sequence: u32,
    draining: bool,
    local_flows: Pending,
    work: BTreeMap<Attempt, Progress>,
    jobs: BTreeMap<Ticket, Job>,
    started_at: Instant,
}

/// Progress of an attempt at the agent of its flow.
#[derive(Debug, Clone, Copy)]
struct Progress {
    flow: usize,
    deadline: Instant,
    stage: Stage,
}

/// Where an attempt waits or runs.
#[derive(Debug, Clone, Copy)]
enum Stage {
    Arrived,
    Offered { link: Link, tries: u32, placed: Instant },
    Local,
    Peer { link: Link, placed: Instant },
}

/// Work that waits for a slot of an agent or occupies one.
#[derive(Debug, Clone, Copy)]
struct Job {
    attempt: Attempt,
    service: Id,
    /// Link on which a peer offered the work; `None` if it arrived on a flow of this agent.
    origin: Option<Link>,
    running: bool,
    draining_at_admission: bool,
}

struct Balancer {
    up: bool,
    incarnation: u32,
    snapshot: Snapshot,
    table: route::Table,
    detector: Detector,
}

struct Flow {
    caller: usize,
    service: usize,
    id: [u8; cid::LEN],
    target: Target,
    open: bool,
    ended: bool,
}

struct Caller {
    budget: Budget,
    flows: [Option<usize>; SERVICES],
    next_open: Instant,
}

struct Request {
    caller: usize,
    service: usize,
    idempotent: bool,
    upload: bool,
    run: Duration,
    deadline: Instant,
    attempts: u32,
    current: Option<(Attempt, usize)>,
    unknown: bool,
    done: Option<Code>,
}

/// State of the simulation: all nodes, callers and messages in transit.
pub struct World {
    now: Instant,
    rng: SmallRng,
    oracle: Oracle,
    store: Store,
    codec: Codec,
    events: BTreeMap<(Instant, u64), Event>,
    next_event: u64,
    next_offer: u64,
    ticks: u64,
    agents: Vec<Agent>,
    balancers: Vec<Balancer>,
    callers: Vec<Caller>,
    flows: Vec<Flow>,
    requests: BTreeMap<u32, Request>,
}

impl World {
    pub fn new(seed: u64) -> Self {
        let now = Instant::now();
        let mut oracle = Oracle::default();
        let store = Store::new(&mut oracle);
        let key = cid::Key {
            epoch: 1,
            secret: [5; 16],
        };
        let mut world = Self {
            now,
            rng: SmallRng::seed_from_u64(seed),
            oracle,
            store,
            codec: Codec::new(&[key]),
            events: BTreeMap::new(),
            next_event: 0,
            next_offer: 0,
            ticks: 0,
            agents: (0..AGENTS).map(|index| agent(index, 10, now)).collect(),
            balancers: (0..BALANCERS).map(|_| balancer(1)).collect(),
            callers: (0..CALLERS)
                .map(|_| Caller {
                    budget: Budget::new(),
                    flows: [None; SERVICES],
                    next_open: now,
                })
                .collect(),
            flows: Vec::new(),
            requests: BTreeMap::new(),
        };
        world.schedule(now, Event::Tick);
        world.wait(Duration::from_secs(3));
        world
    }

    pub fn counts(&self) -> &Counts {
        &self.oracle.counts
    }

    pub fn into_failure(self) -> Option<String> {
        self.oracle.into_failure()
    }

    pub fn apply(&mut self, op: Op) {
        if self.oracle.has_failed() {
            return;
        }
        self.wait(Duration::from_millis(3));
        let agent = |index: u8| usize::from(index) % AGENTS;
        match op {
            Op::Wait { ms } => self.wait(Duration::from_millis(ms.into())),
            Op::Open { caller, service } => {
                self.open_flow(usize::from(caller) % CALLERS, usize::from(service) % SERVICES);
            }
            Op::Request {
                caller,
                service,
                idempotent,
                upload,
                timeout_ms,
                run_ms,
            } => {
                let request = Request {
                    caller: usize::from(caller) % CALLERS,
                    service: usize::from(service) % SERVICES,
                    idempotent,
                    upload,
                    run: Duration::from_millis(run_ms.into()),
                    deadline: self.now + Duration::from_millis(timeout_ms.into()),
                    attempts: 0,
                    current: None,
                    unknown: false,
                    done: None,
                };
                self.request(request);
            }
            Op::Misaddress { caller } => self.misaddress(usize::from(caller) % CALLERS),
            Op::Forge { service, seed } => self.forge(usize::from(service) % SERVICES, seed),
            Op::Drain { agent: index, on } => self.drain(agent(index), on),
            Op::KillAgent { agent: index } => self.kill_agent(agent(index)),
            Op::StartAgent => {
                let crashed = (0..AGENTS).find(|index| !self.agents[*index].up);
                if let Some(index) = crashed {
                    self.start_agent(index);
                }
            }
            Op::Pause { agent: index, ms } => self.pause(agent(index), Duration::from_millis(ms.into())),
            Op::KillBalancer { balancer } => {
                self.balancers[usize::from(balancer) % BALANCERS].up = false;
            }
            Op::StartBalancer => {
                let crashed = (0..BALANCERS).find(|index| !self.balancers[*index].up);
                if let Some(index) = crashed {
                    self.start_balancer(index);
                }
            }
            Op::Store { up } => self.store.up = up,
            Op::Read { operator, item } => self.store.read(operator, item),
            Op::Write {
                operator,
                value,
                lose_reply,
            } => self.store.write(operator, value, lose_reply, &mut self.oracle),
            Op::Pull { from, to } => self.pull(usize::from(from), usize::from(to)),
        }
    }

    /// Ends all faults and checks that the system recovers, without leaked slots and with the accepted configuration.
    pub fn check_recovery(&mut self) {
        self.store.up = true;
        (0..AGENTS).for_each(|index| self.start_agent(index));
        (0..BALANCERS).for_each(|index| self.start_balancer(index));
        // The longest pause lasts 9 s.
        self.wait(Duration::from_secs(9));
        (0..AGENTS).for_each(|index| self.drain(index, false));
        self.wait(Duration::from_secs(8));
        for index in 0..AGENTS {
            let agent = &self.agents[index];
            let (busy, queued) = (agent.scheduler.busy(), agent.scheduler.queued());
            if busy > 0 || queued > 0 || !agent.work.is_empty() || !agent.jobs.is_empty() {
                let left = format!("{:?} {:?}", agent.work, agent.jobs);
                self.oracle.fail(format!(
                    "agent {index} has {busy} busy slots and {queued} waiting at the end: {left}"
                ));
            }
        }
        let suspected: usize = self
            .balancers
            .iter()
            .map(|balancer| balancer.detector.suspected_count())
            .sum();
        if suspected > 0 {
            self.oracle
                .fail(format!("{suspected} suspicions of live agents remain at the end"));
        }
        for request in self.oracle.unfinished_requests() {
            self.oracle.fail(format!("request {request} got no result"));
        }
        self.check_configuration();
        let selected = |service| self.store.delta(0).agents(&service_name(service)).next().is_some();
        let served: Vec<usize> = (0..SERVICES).filter(|service| selected(*service)).collect();
        for service in served {
            let id = self.request(Request {
                caller: service,
                service,
                idempotent: false,
                upload: false,
                run: Duration::from_millis(5),
                deadline: self.now + Duration::from_secs(8),
                attempts: 0,
                current: None,
                unknown: false,
                done: None,
            });
            self.wait(Duration::from_secs(10));
            let done = self.requests[&id].done;
            if !matches!(done, Some(Code::OK | Code::BACKEND_ERROR)) {
                self.oracle.fail(format!(
                    "a request to service {service} gets {done:?} after all faults have ended"
                ));
            }
        }
    }

    fn check_configuration(&mut self) {
        let items = (0..AGENTS).map(Item::Label).chain((0..SERVICES).map(Item::Selector));
        let latest: Vec<_> = items
            .map(|item| {
                let (revision, value) = self.oracle.latest(item).expect("each item was written at the start");
                (item, revision, value)
            })
            .collect();
        let nodes = self.balancers.iter().map(|balancer| &balancer.snapshot);
        let nodes = nodes.chain(self.agents.iter().map(|agent| &agent.snapshot));
        let behind = nodes.filter(|snapshot| store::items(snapshot) != latest).count();
        if behind > 0 {
            self.oracle.fail(format!(
                "{behind} nodes do not have the accepted configuration after all faults have ended"
            ));
        }
    }

    fn schedule(&mut self, at: Instant, event: Event) {
        self.next_event += 1;
        self.events.insert((at, self.next_event), event);
    }

    fn after_ms(&mut self, range: std::ops::Range<u64>) -> Instant {
        self.now + Duration::from_millis(self.rng.random_range(range))
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    fn wait(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(((at, _), _)) = self.events.first_key_value()
            && *at <= end
            && !self.oracle.has_failed()
        {
            let ((at, _), event) = self.events.pop_first().expect("not empty");
            self.now = at;
            self.deliver(event);
        }
        self.now = end;
    }

    /// Agent that receives an event, with its incarnation if the event belongs to one.
    fn receiver(event: &Event) -> Option<(usize, Option<u32>)> {
        let of = |(agent, incarnation): (usize, u32)| Some((agent, Some(incarnation)));
        match event {
            Event::Load { to, .. } => Some((*to, None)),
            Event::Config {
                node: Member::Agent(agent),
                incarnation,
                ..
            } => of((*agent, *incarnation)),
            Event::Offer(link, _) | Event::Body(link) | Event::Closed(link) => of(link.peer),
            Event::Admitted(link)
            | Event::Refused(link, _)
            | Event::Answer(link, _)
            | Event::LinkLost(link)
            | Event::OfferTimeout(link) => of(link.origin),
            Event::Ended { agent, .. } | Event::Expire { agent, .. } => of(*agent),
            _ => None,
        }
    }

    fn deliver(&mut self, event: Event) {
        if let Some((index, incarnation)) = Self::receiver(&event) {
            let agent = &mut self.agents[index];
            if !agent.up || incarnation.is_some_and(|incarnation| incarnation != agent.node.incarnation) {
                match event {
                    Event::Offer(link, _) | Event::Body(link) => {
                        let at = self.after_ms(1..800);
                        self.schedule(at, Event::LinkLost(link));
                    }
                    Event::Admitted(link) => self.schedule(self.now, Event::Closed(link)),
                    _ => {}
                }
                return;
            }
            if agent.paused {
                agent.inbox.push(event);
                return;
            }
        }
        match event {
            Event::Tick => self.tick(),
            Event::Load { from, to, load } => self.receive_load(from, to, load),
            Event::Config {
                node,
                incarnation,
                snapshot,
            } => self.configure(node, incarnation, *snapshot),
            Event::Resume { agent, incarnation } => self.resume(agent, incarnation),
            Event::Initial { flow } => self.receive_second_initial(flow),
            Event::Request {
                flow,
                attempt,
                deadline,
            } => self.receive_request(flow, attempt, deadline),
            Event::Reply { flow, attempt, code } => self.receive_reply(flow, attempt, code),
            Event::Offer(link, deadline) => self.receive_offer(link, deadline),
            Event::Admitted(link) => self.receive_admission(link),
            Event::Refused(link, load) => self.receive_refusal(link, load),
            Event::Body(link) => self.receive_body(link),
            Event::Answer(link, code) => self.receive_answer(link, code),
            Event::LinkLost(link) => self.link_lost(link),
            Event::OfferTimeout(link) => {
                self.offer_failed(link);
            }
            Event::Closed(link) => self.close_link(link),
            Event::Ended { agent, ticket } => self.finish_job(agent.0, ticket),
            Event::Expire { agent, ticket } => {
                if let Some(refusal) = self.agents[agent.0].scheduler.expire(ticket) {
                    self.refuse_waiting(agent.0, ticket, refusal);
                }
            }
            Event::Silence { flow } => self.abandon_silent_flow(flow),
            Event::Deadline { request } => self.expire_request(request),
            Event::Send { request } => self.send(request),
        }
    }

    fn tick(&mut self) {
        self.ticks += 1;
        self.schedule(self.now + TICK, Event::Tick);
        for index in 0..BALANCERS {
            self.check_agents(index);
        }
        for index in 0..AGENTS {
            if self.agents[index].up && !self.agents[index].paused {
                self.advance(index);
                if self.ticks.is_multiple_of(5) {
                    self.report(index);
                }
            }
        }
        if self.ticks.is_multiple_of(20) {
            self.synchronize();
        }
    }

    fn check_agents(&mut self, index: usize) {
        // A check probes only one agent, so one check per agent makes the result independent of their order.
        for _ in 0..AGENTS {
            let balancer = &mut self.balancers[index];
            if !balancer.up {
                return;
            }
            let due = balancer.detector.check(self.now);
            self.oracle.counts.suspicions += u32::try_from(due.suspicions.len()).unwrap();
            if let Some(address) = due.probe {
                let agent = self.agents.iter().find(|agent| agent.node.datagram == address);
                if agent.is_some_and(|agent| agent.up && !agent.paused) {
                    balancer.detector.record_frame(address);
                }
            }
        }
    }

    fn report(&mut self, index: usize) {
        let load = self.next_load(index);
        for to in (0..AGENTS).filter(|to| *to != index) {
            if self.chance(3) {
                continue;
            }
            let late = self.chance(4);
            let at = self.after_ms(if late { 300..3_000 } else { 1..12 });
            self.schedule(at, Event::Load { from: index, to, load });
        }
    }

    fn next_load(&mut self, index: usize) -> Load {
        self.agents[index].sequence += 1;
        self.load(index)
    }

    fn load(&mut self, index: usize) -> Load {
        let connections = self.flows.iter().filter(|flow| {
            let node = &self.agents[index].node;
            flow.open
                && !flow.ended
                && (flow.target.agent, flow.target.incarnation) == (node.datagram, node.incarnation)
        });
        let connections = u32::try_from(connections.count()).unwrap();
        let now = self.now;
        let agent = &mut self.agents[index];
        let warm = now.saturating_duration_since(agent.started_at).as_millis() / 100;
        Load {
            incarnation: agent.node.incarnation,
            sequence: agent.sequence,
            slots: SLOTS,
            busy: agent.scheduler.busy(),
            long: agent.scheduler.busy_long(now),
            queued: u16::try_from(agent.scheduler.queued()).unwrap(),
            connection_limit: CONNECTION_LIMIT,
            connections,
            draining: agent.draining,
            warm_percent: u8::try_from(warm.clamp(10, 100)).unwrap(),
            long_limit: agent.scheduler.long_limit(),
            slot_ms: u32::try_from(agent.scheduler.busy_slot_time(now).as_millis()).unwrap(),
        }
    }

    fn receive_load(&mut self, from: usize, to: usize, load: Load) {
        let agent = &mut self.agents[to];
        if agent.ignore_until.is_some_and(|until| self.now < until) {
            return;
        }
        agent.table.record_report(&agent_name(from), load, self.now);
        self.oracle.reported(to, from, load, self.now);
    }

    /// Announces the agents, reads the configuration from the store and from random nodes, and resolves lost replies.
    fn synchronize(&mut self) {
        self.store.expire_leases(self.now);
        self.store.resolve_lost_replies(&mut self.oracle);
        for index in 0..AGENTS {
            if self.agents[index].up && !self.agents[index].paused {
                self.store.announce(&self.agents[index].node, self.now);
            }
        }
        for number in 0..AGENTS + BALANCERS {
            if self.store.up
                && let Some((node, incarnation, known)) = self.member(number)
            {
                let delta = self.store.delta(known.revision);
                self.send_config(node, incarnation, delta);
            }
            let from = self.rng.random_range(0..AGENTS + BALANCERS);
            self.pull(from, number);
        }
    }

    fn node(number: usize) -> Member {
        let number = number % (AGENTS + BALANCERS);
        if number < AGENTS {
            Member::Agent(number)
        } else {
            Member::Balancer(number - AGENTS)
        }
    }

    /// A running node, with its incarnation and configuration.
    fn member(&self, number: usize) -> Option<(Member, u32, &Snapshot)> {
        let member = Self::node(number);
        match member {
            Member::Agent(index) => {
                let agent = &self.agents[index];
                (agent.up && !agent.paused).then_some((member, agent.node.incarnation, &agent.snapshot))
            }
            Member::Balancer(index) => {
                let balancer = &self.balancers[index];
                balancer
                    .up
                    .then_some((member, balancer.incarnation, &balancer.snapshot))
            }
        }
    }

    fn pull(&mut self, from: usize, to: usize) {
        let Some((_, _, peer)) = self.member(from) else { return };
        let Some((node, incarnation, known)) = self.member(to) else {
            return;
        };
        let after = known.revision;
        let mut delta = peer.clone();
        delta.services.retain(|_, item| item.revision > after);
        delta.labels.retain(|_, item| item.revision > after);
        delta.selectors.retain(|_, item| item.revision > after);
        self.send_config(node, incarnation, delta);
    }

    fn send_config(&mut self, node: Member, incarnation: u32, snapshot: Snapshot) {
        let late = self.chance(10);
        let at = self.after_ms(if late { 500..5_000 } else { 1..60 });
        let snapshot = Box::new(snapshot);
        self.schedule(
            at,
            Event::Config {
                node,
                incarnation,
                snapshot,
            },
        );
    }

    fn configure(&mut self, node: Member, incarnation: u32, snapshot: Snapshot) {
        let (name, known) = match node {
            Member::Agent(index) => (agent_name(index), &mut self.agents[index].snapshot),
            Member::Balancer(index) => {
                let balancer = &mut self.balancers[index];
                if !balancer.up || balancer.incarnation != incarnation {
                    return;
                }
                (format!("balancer-{index}"), &mut balancer.snapshot)
            }
        };
        self.oracle.counts.old_snapshots += u32::from(snapshot.revision < known.revision);
        known.merge(snapshot);
        let (revision, items) = (known.revision, store::items(known));
        self.oracle.configured(&name, revision, &items);
        if let Member::Balancer(index) = node {
            let balancer = &mut self.balancers[index];
            balancer.table = route::Table::new(&balancer.snapshot, "dc-0", index);
            let agents = balancer.snapshot.roster.with_role(Role::Agent);
            let agents: Vec<_> = agents.map(|node| (node.datagram, node.incarnation)).collect();
            balancer.detector.sync_roster(agents.into_iter());
        }
    }

    fn start_balancer(&mut self, index: usize) {
        let old = &self.balancers[index];
        if !old.up {
            self.balancers[index] = balancer(old.incarnation + 1);
            self.oracle.forget_node(&format!("balancer-{index}"));
        }
    }

    fn drain(&mut self, index: usize, on: bool) {
        let agent = &mut self.agents[index];
        if !agent.up || agent.paused {
            return;
        }
        agent.draining = on;
        let changes = agent.scheduler.set_draining(on);
        self.handle_changes(index, changes);
    }

    fn kill_agent(&mut self, index: usize) {
        let agent = &mut self.agents[index];
        if !agent.up {
            return;
        }
        agent.up = false;
        agent.paused = false;
        agent.inbox.clear();
        let dead = (index, agent.node.incarnation);
        let origins: Vec<Link> = agent.jobs.values().filter_map(|job| job.origin).collect();
        let peers = agent.work.values().filter_map(|progress| match progress.stage {
            Stage::Offered { link, .. } | Stage::Peer { link, .. } => Some(link),
            Stage::Arrived | Stage::Local => None,
        });
        let peers: Vec<Link> = peers.collect();
        for link in origins {
            let at = self.after_ms(1..800);
            self.schedule(at, Event::LinkLost(link));
        }
        for link in peers {
            let at = self.after_ms(1..800);
            self.schedule(at, Event::Closed(link));
        }
        self.schedule_silence(dead);
        self.oracle.forget_observer(index);
        self.oracle.forget_node(&agent_name(index));
    }

    /// Lets callers notice that an agent is silent.
    fn schedule_silence(&mut self, (index, incarnation): (usize, u32)) {
        let of_agent =
            |flow: &Flow| flow.target.agent == agent_address(index) && flow.target.incarnation == incarnation;
        for flow in 0..self.flows.len() {
            if of_agent(&self.flows[flow]) {
                self.schedule(self.now + SILENCE_TIMEOUT, Event::Silence { flow });
            }
        }
    }

    fn start_agent(&mut self, index: usize) {
        if !self.agents[index].up {
            let incarnation = self.agents[index].node.incarnation + 10;
            self.agents[index] = agent(index, incarnation, self.now);
        }
    }

    fn pause(&mut self, index: usize, time: Duration) {
        let agent = &mut self.agents[index];
        if !agent.up || agent.paused {
            return;
        }
        agent.paused = true;
        agent.paused_at = self.now;
        let incarnation = agent.node.incarnation;
        self.schedule(
            self.now + time,
            Event::Resume {
                agent: index,
                incarnation,
            },
        );
        if time > SILENCE_TIMEOUT {
            self.schedule_silence((index, incarnation));
        }
    }

    fn resume(&mut self, index: usize, incarnation: u32) {
        let agent = &mut self.agents[index];
        if !agent.paused || agent.node.incarnation != incarnation {
            return;
        }
        agent.paused = false;
        if self.now.saturating_duration_since(agent.paused_at) > placement::REPORT_VALIDITY {
            agent.table.clear();
            agent.ignore_until = Some(self.now + IGNORE_AFTER_PAUSE);
            self.oracle.forget_observer(index);
        }
        for event in std::mem::take(&mut self.agents[index].inbox) {
            self.deliver(event);
        }
    }

    /// Routes a packet as a balancer does.
    fn route(&mut self, id: &[u8], initial: bool, address: SocketAddrV4) -> Option<usize> {
        let running: Vec<usize> = (0..BALANCERS).filter(|index| self.balancers[*index].up).collect();
        let index = *running.get(self.rng.random_range(0..running.len().max(1)))?;
        let balancer = &mut self.balancers[index];
        let to = match self.codec.open(id) {
            Some(target) => {
                if balancer.table.is_configured() && balancer.table.route(address)?.id != target.service {
                    return None;
                }
                target.agent
            }
            None if initial && balancer.table.is_configured() => {
                let detector = &balancer.detector;
                let (agent, _) = balancer
                    .table
                    .route(address)?
                    .choose(|agent| detector.is_suspected(agent))?;
                agent.address
            }
            None => return None,
        };
        if initial {
            balancer.detector.record_initial(to, self.now);
        }
        let agent = (0..AGENTS).find(|index| agent_address(*index) == to)?;
        let answers = self.agents[agent].up && !self.agents[agent].paused;
        if initial && answers {
            balancer.detector.record_frame(to);
        }
        Some(agent)
    }

    /// Checks a packet of a flow as an agent does.
    fn accepts(&mut self, index: usize, id: &[u8], address: SocketAddrV4) -> Option<Target> {
        let target = self.codec.open(id)?;
        let agent = &self.agents[index];
        if target.agent != agent.node.datagram {
            self.oracle
                .fail(format!("a packet for {} reached agent {index}", target.agent));
        }
        if target.incarnation != agent.node.incarnation {
            self.oracle.counts.stale_ids += 1;
            return None;
        }
        let service = agent.snapshot.service_by_address(address)?;
        (service.id == target.service).then_some(target)
    }

    fn open_flow(&mut self, caller: usize, service: usize) {
        if self.now < self.callers[caller].next_open {
            return;
        }
        self.callers[caller].next_open = self.now + Duration::from_millis(100);
        let len = self.rng.random_range(8..=20);
        let random: Vec<u8> = (0..len).map(|_| self.rng.random()).collect();
        let Some(entry) = self.route(&random, true, service_address(service)) else {
            return;
        };
        if !self.agents[entry].up || self.agents[entry].paused {
            return;
        }
        let Some(target) = self.place_flow(entry, service_address(service)) else {
            return;
        };
        let nonce = self.rng.random();
        self.flows.push(Flow {
            caller,
            service,
            id: self.codec.seal(&target, nonce),
            target,
            open: false,
            ended: false,
        });
        let late = self.chance(10);
        let at = self.after_ms(if late { 300..4_000 } else { 2..30 });
        let flow = self.flows.len() - 1;
        self.schedule(at, Event::Initial { flow });
    }

    fn place_flow(&mut self, index: usize, address: SocketAddrV4) -> Option<Target> {
        let load = self.load(index);
        let now = self.now;
        let agent = &mut self.agents[index];
        agent.local_flows.remove_reported_flows(now);
        let service = agent.snapshot.service_by_address(address)?.clone();
        let mut nodes = Vec::new();
        let mut candidates = Vec::new();
        for node in agent.snapshot.agents(&service.name) {
            let candidate = if node.name == agent.node.name {
                Some(Candidate {
                    local: true,
                    load,
                    pending: agent.local_flows.count(now),
                    mean_busy: None,
                })
            } else {
                let local = node.data_centre == agent.node.data_centre;
                agent.table.flow_candidate(&node.name, node.incarnation, local, now)
            };
            if let Some(candidate) = candidate {
                nodes.push(node.clone());
                candidates.push(candidate);
            }
        }
        let choice = placement::choose_for_flow(&candidates, &mut self.rng)?;
        let node = &nodes[choice.index];
        let subject = agent_index(&node.name);
        agent.table.record_flow(&node.name, now);
        self.oracle.placed(index, subject, "a flow", now);
        Some(Target {
            service: service.id,
            agent: node.datagram,
            incarnation: candidates[choice.index].load.incarnation,
        })
    }

    /// Handles the Initial that follows a Retry and opens the flow.
    fn receive_second_initial(&mut self, flow: usize) {
        let (id, service) = (self.flows[flow].id, self.flows[flow].service);
        let address = service_address(service);
        let Some(index) = self.route(&id, true, address) else {
            return;
        };
        if !self.agents[index].up || self.agents[index].paused {
            return;
        }
        let Some(target) = self.accepts(index, &id, address) else {
            return;
        };
        if target.service != service_id(service) {
            self.oracle
                .fail(format!("a flow for service {service} opened as {}", target.service));
        }
        self.oracle.counts.flows += 1;
        let caller = self.flows[flow].caller;
        self.flows[flow].open = true;
        self.callers[caller].flows[service] = Some(flow);
    }

    fn misaddress(&mut self, caller: usize) {
        let flows = self.callers[caller].flows;
        for (service, flow) in flows.into_iter().enumerate() {
            let Some(flow) = flow else { continue };
            let id = self.flows[flow].id;
            let other = service_address((service + 1) % SERVICES);
            let accepted = match self.route(&id, false, other) {
                Some(index) => self.agents[index].up && self.accepts(index, &id, other).is_some(),
                None => false,
            };
            if accepted {
                self.oracle.fail(format!(
                    "a packet of a flow of service {service} was accepted at {other}"
                ));
            }
            self.oracle.counts.misaddressed_refused += 1;
        }
    }

    fn forge(&mut self, service: usize, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut id: [u8; cid::LEN] = rng.random();
        id[0] = 1;
        if let Some(flow) = self.flows.last() {
            // A valid connection ID with one bit changed.
            id = flow.id;
            id[rng.random_range(1..cid::LEN)] ^= 1 << rng.random_range(0..8);
        }
        if self.route(&id, false, service_address(service)).is_some() {
            self.oracle
                .fail(format!("a forged connection ID was routed: {id:02x?}"));
        }
        self.oracle.counts.forged_refused += 1;
    }

    fn request(&mut self, request: Request) -> u32 {
        let id = u32::try_from(self.requests.len()).unwrap();
        self.oracle
            .requested(id, service_id(request.service), request.idempotent);
        self.callers[request.caller].budget.record_request(self.now);
        self.schedule(request.deadline, Event::Deadline { request: id });
        self.requests.insert(id, request);
        self.send(id);
        id
    }

    /// Sends an attempt on the flow of the caller, or opens a flow first.
    fn send(&mut self, id: u32) {
        let request = self.requests.get_mut(&id).expect("known request");
        if request.done.is_some() || request.current.is_some() {
            return;
        }
        let (caller, service) = (request.caller, request.service);
        let Some(flow) = self.callers[caller].flows[service] else {
            self.open_flow(caller, service);
            self.schedule(self.now + Duration::from_millis(40), Event::Send { request: id });
            return;
        };
        request.attempts += 1;
        let attempt = Attempt {
            request: id,
            number: request.attempts,
        };
        request.current = Some((attempt, flow));
        let deadline = request.deadline;
        let late = self.chance(5);
        let at = self.after_ms(if late { 100..2_000 } else { 1..6 });
        self.schedule(
            at,
            Event::Request {
                flow,
                attempt,
                deadline,
            },
        );
    }

    fn receive_request(&mut self, flow: usize, attempt: Attempt, deadline: Instant) {
        let (id, service) = (self.flows[flow].id, self.flows[flow].service);
        let retransmission = Event::Request {
            flow,
            attempt,
            deadline,
        };
        // No packets are sent on a connection that its caller has abandoned.
        let current = self.requests[&attempt.request].current;
        if current != Some((attempt, flow)) || self.flows[flow].ended {
            return;
        }
        let address = service_address(service);
        let Some(index) = self.route(&id, false, address) else {
            self.schedule(self.now + Duration::from_millis(200), retransmission);
            return;
        };
        if !self.agents[index].up {
            return;
        }
        if self.agents[index].paused {
            self.agents[index].inbox.push(retransmission);
            return;
        }
        let Some(target) = self.accepts(index, &id, address) else {
            // The new incarnation resets the connection.
            self.schedule(self.now, Event::Silence { flow });
            return;
        };
        let progress = Progress {
            flow,
            deadline,
            stage: Stage::Arrived,
        };
        self.agents[index].work.insert(attempt, progress);
        self.place_request(index, attempt, target.service, 0);
    }

    fn key(&self, attempt: Attempt, service: Id) -> Key {
        Key {
            service,
            upload: self.requests[&attempt.request].upload,
            class: "work".to_owned(),
        }
    }

    fn work(&self, attempt: Attempt, service: Id, deadline: Instant) -> Work {
        Work {
            key: self.key(attempt, service),
            caller: self.requests[&attempt.request].caller.to_string(),
            length: None,
            deadline,
        }
    }

    /// Finds a slot: a free one at the local agent, one at a peer, or one at the local agent after a wait.
    fn place_request(&mut self, index: usize, attempt: Attempt, service: Id, tries: u32) {
        let Some(progress) = self.agents[index].work.get(&attempt).copied() else {
            return;
        };
        if progress.deadline <= self.now {
            return self.reply(index, attempt, Code::DEADLINE);
        }
        let work = self.work(attempt, service, progress.deadline);
        if let Some(ticket) = self.agents[index].scheduler.try_start(work.clone(), self.now) {
            self.add_job(index, ticket, attempt, service, None);
            return self.run(index, ticket);
        }
        if tries < MAX_OFFERS && self.offer(index, attempt, service, tries) {
            return;
        }
        let enqueued = self.agents[index].scheduler.enqueue(work, self.now);
        match enqueued {
            Err(refusal) => self.reply(index, attempt, code(refusal)),
            Ok(ticket) => {
                self.add_job(index, ticket, attempt, service, None);
                let agent = (index, self.agents[index].node.incarnation);
                let latest = self.agents[index].scheduler.latest_start(ticket).expect("it waits");
                self.schedule(latest, Event::Expire { agent, ticket });
                self.advance(index);
            }
        }
    }

    fn add_job(&mut self, index: usize, ticket: Ticket, attempt: Attempt, service: Id, origin: Option<Link>) {
        let job = Job {
            attempt,
            service,
            origin,
            running: false,
            draining_at_admission: self.agents[index].draining,
        };
        let agent = &mut self.agents[index];
        agent.jobs.insert(ticket, job);
        if origin.is_none()
            && let Some(progress) = agent.work.get_mut(&attempt)
        {
            progress.stage = Stage::Local;
        }
    }

    fn offer(&mut self, index: usize, attempt: Attempt, service: Id, tries: u32) -> bool {
        let local_load = self.load(index);
        let key = self.key(attempt, service);
        let now = self.now;
        let agent = &mut self.agents[index];
        let Some(name) = agent
            .snapshot
            .service_by_id(service)
            .map(|service| service.name.clone())
        else {
            return false;
        };
        let peers = agent.snapshot.agents(&name).filter(|node| node.name != agent.node.name);
        let peers = peers.filter_map(|node| {
            let local = node.data_centre == agent.node.data_centre;
            let candidate = agent
                .table
                .request_candidate(&node.name, node.incarnation, local, now)?;
            Some((agent_index(&node.name), candidate))
        });
        let (peers, candidates): (Vec<usize>, Vec<Candidate>) = peers.unzip();
        let long = agent.scheduler.is_long(&key, None);
        let Some(choice) = placement::choose_for_request(&local_load, &candidates, long, &mut self.rng) else {
            return false;
        };
        let peer = peers[choice.index];
        agent.table.record_request(&agent_name(peer), now);
        self.next_offer += 1;
        let link = Link {
            origin: (index, agent.node.incarnation),
            peer: (peer, 0),
            offer: self.next_offer,
            attempt,
        };
        let link = Link {
            peer: (peer, self.agents[peer].node.incarnation),
            ..link
        };
        let progress = self.agents[index].work.get_mut(&attempt).expect("known work");
        let deadline = progress.deadline;
        progress.stage = Stage::Offered {
            link,
            tries,
            placed: now,
        };
        self.oracle.placed(index, peer, "a request", now);
        self.schedule(now + OFFER_TIMEOUT, Event::OfferTimeout(link));
        self.send_link(link, Event::Offer(link, deadline));
        true
    }

    /// Sends a message on a link, which may break before or after the message.
    fn send_link(&mut self, link: Link, event: Event) {
        let late = self.chance(3);
        let at = self.after_ms(if late { 200..2_000 } else { 1..9 });
        if self.chance(4) {
            let origin = self.after_ms(10..600);
            let peer = self.after_ms(10..600);
            self.schedule(origin, Event::LinkLost(link));
            self.schedule(peer, Event::Closed(link));
            if self.chance(50) {
                return;
            }
        }
        self.schedule(at, event);
    }

    fn receive_offer(&mut self, link: Link, deadline: Instant) {
        let index = link.peer.0;
        let service = service_id(self.requests[&link.attempt.request].service);
        let work = self.work(link.attempt, service, deadline);
        if let Some(ticket) = self.agents[index].scheduler.try_start(work, self.now) {
            self.add_job(index, ticket, link.attempt, service, Some(link));
            self.send_link(link, Event::Admitted(link));
        } else {
            let load = self.next_load(index);
            self.send_link(link, Event::Refused(link, load));
        }
    }

    fn offer_progress(&self, link: Link) -> Option<(u32, Instant)> {
        match self.agents[link.origin.0].work.get(&link.attempt)?.stage {
            Stage::Offered {
                link: offered,
                tries,
                placed,
            } if offered == link => Some((tries, placed)),
            _ => None,
        }
    }

    fn receive_admission(&mut self, link: Link) {
        let Some((_, placed)) = self.offer_progress(link) else {
            self.schedule(self.now, Event::Closed(link));
            return;
        };
        let progress = self.agents[link.origin.0]
            .work
            .get_mut(&link.attempt)
            .expect("known work");
        progress.stage = Stage::Peer { link, placed };
        self.send_link(link, Event::Body(link));
    }

    fn receive_refusal(&mut self, link: Link, load: Load) {
        let Some((tries, placed)) = self.offer_progress(link) else {
            return;
        };
        let index = link.origin.0;
        let name = agent_name(link.peer.0);
        let table = &mut self.agents[index].table;
        table.record_request_end(&name, placed);
        table.record_refusal(&name, load, self.now);
        self.oracle.reported(index, link.peer.0, load, self.now);
        let service = service_id(self.requests[&link.attempt.request].service);
        self.place_request(index, link.attempt, service, tries + 1);
    }

    fn offer_failed(&mut self, link: Link) -> bool {
        let Some((tries, placed)) = self.offer_progress(link) else {
            return false;
        };
        let index = link.origin.0;
        let name = agent_name(link.peer.0);
        let table = &mut self.agents[index].table;
        table.record_request_end(&name, placed);
        table.record_failure(&name, self.now);
        let at = self.after_ms(1..500);
        self.schedule(at, Event::Closed(link));
        let service = service_id(self.requests[&link.attempt.request].service);
        self.place_request(index, link.attempt, service, tries + 1);
        true
    }

    fn link_lost(&mut self, link: Link) {
        if self.offer_failed(link) {
            return;
        }
        let index = link.origin.0;
        if let Some(placed) = self.running_at_peer(link) {
            let table = &mut self.agents[index].table;
            table.record_request_end(&agent_name(link.peer.0), placed);
            self.reply(index, link.attempt, Code::LINK_LOST);
            self.schedule(self.now, Event::Closed(link));
        }
    }

    fn running_at_peer(&self, link: Link) -> Option<Instant> {
        match self.agents[link.origin.0].work.get(&link.attempt)?.stage {
            Stage::Peer { link: other, placed } if other == link => Some(placed),
            _ => None,
        }
    }

    fn job_of(&self, link: Link) -> Option<Ticket> {
        let jobs = &self.agents[link.peer.0].jobs;
        let (ticket, _) = jobs.iter().find(|(_, job)| job.origin == Some(link))?;
        Some(*ticket)
    }

    fn receive_body(&mut self, link: Link) {
        if let Some(ticket) = self.job_of(link) {
            self.run(link.peer.0, ticket);
        }
    }

    fn close_link(&mut self, link: Link) {
        if let Some(ticket) = self.job_of(link) {
            let agent = &mut self.agents[link.peer.0];
            agent.jobs.remove(&ticket);
            agent.scheduler.cancel(ticket, self.now);
            self.advance(link.peer.0);
        }
    }

    fn receive_answer(&mut self, link: Link, code: Code) {
        let index = link.origin.0;
        if let Some(placed) = self.running_at_peer(link) {
            let table = &mut self.agents[index].table;
            table.record_request_end(&agent_name(link.peer.0), placed);
            self.reply(index, link.attempt, code);
        }
    }

    fn run(&mut self, index: usize, ticket: Ticket) {
        let agent = (index, self.agents[index].node.incarnation);
        let Some(job) = self.agents[index].jobs.get_mut(&ticket) else {
            return;
        };
        job.running = true;
        let job = *job;
        self.oracle.ran(
            job.attempt,
            job.service,
            job.draining_at_admission,
            job.origin.is_some(),
        );
        let at = self.now + self.requests[&job.attempt.request].run;
        self.schedule(at, Event::Ended { agent, ticket });
    }

    fn finish_job(&mut self, index: usize, ticket: Ticket) {
        let error = self.chance(10);
        let agent = &mut self.agents[index];
        let Some(job) = agent.jobs.remove(&ticket) else {
            return;
        };
        agent.scheduler.finish(ticket, self.now, 100, error);
        let code = if error { Code::BACKEND_ERROR } else { Code::OK };
        match job.origin {
            None => self.reply(index, job.attempt, code),
            Some(link) => self.send_link(link, Event::Answer(link, code)),
        }
        self.advance(index);
    }

    fn advance(&mut self, index: usize) {
        let changes = self.agents[index].scheduler.dispatch(self.now);
        self.handle_changes(index, changes);
    }

    fn handle_changes(&mut self, index: usize, changes: Changes) {
        for ticket in changes.started {
            let draining = self.agents[index].draining;
            if let Some(job) = self.agents[index].jobs.get_mut(&ticket) {
                job.draining_at_admission = draining;
            }
            self.run(index, ticket);
        }
        for (ticket, refusal) in changes.refused {
            self.refuse_waiting(index, ticket, refusal);
        }
    }

    fn refuse_waiting(&mut self, index: usize, ticket: Ticket, refusal: Refusal) {
        if let Some(job) = self.agents[index].jobs.remove(&ticket) {
            self.reply(index, job.attempt, code(refusal));
        }
    }

    fn reply(&mut self, index: usize, attempt: Attempt, code: Code) {
        let Some(progress) = self.agents[index].work.remove(&attempt) else {
            return;
        };
        self.oracle.replied(attempt, code);
        let late = self.chance(10);
        let at = self.after_ms(if late { 300..3_000 } else { 1..6 });
        self.schedule(
            at,
            Event::Reply {
                flow: progress.flow,
                attempt,
                code,
            },
        );
    }

    fn receive_reply(&mut self, flow: usize, attempt: Attempt, code: Code) {
        let current = self.requests[&attempt.request].current;
        if current != Some((attempt, flow)) || self.flows[flow].ended {
            self.oracle.counts.late_answers += 1;
            return;
        }
        self.end_attempt(attempt, code);
    }

    /// Ends an attempt as the caller library does: retries it or finishes the request.
    fn end_attempt(&mut self, attempt: Attempt, code: Code) {
        let delay = self.rng.random_range(50..75);
        let request = self.requests.get_mut(&attempt.request).expect("known request");
        request.current = None;
        request.unknown |= code.is_unknown();
        let may_retry = code.may_retry(request.idempotent);
        let at = self.now + Duration::from_millis(delay);
        if may_retry && at < request.deadline && self.callers[request.caller].budget.try_retry(self.now) {
            self.oracle.counts.retries += 1;
            let request = attempt.request;
            self.schedule(at, Event::Send { request });
            return;
        }
        self.finish_request(attempt, code);
    }

    fn finish_request(&mut self, attempt: Attempt, code: Code) {
        let request = self.requests.get_mut(&attempt.request).expect("known request");
        let code = if code.is_not_run() && request.unknown {
            Code::LINK_LOST
        } else {
            code
        };
        request.current = None;
        request.done = Some(code);
        self.oracle.finished(attempt.request, code, Some(attempt.request));
    }

    fn expire_request(&mut self, id: u32) {
        let request = &self.requests[&id];
        if request.done.is_some() {
            return;
        }
        let attempt = Attempt {
            request: id,
            number: request.attempts,
        };
        let code = if request.current.is_some() {
            Code::DEADLINE_RUNNING
        } else {
            Code::DEADLINE
        };
        self.finish_request(attempt, code);
    }

    /// Lets a caller abandon a flow whose agent is silent or has restarted.
    fn abandon_silent_flow(&mut self, flow: usize) {
        let target = self.flows[flow].target;
        let agent = self.agents.iter().find(|agent| agent.node.datagram == target.agent);
        let agent = agent.expect("known agent");
        let same = agent.up && agent.node.incarnation == target.incarnation;
        if (same && !agent.paused) || self.flows[flow].ended {
            return;
        }
        let (caller, service) = (self.flows[flow].caller, self.flows[flow].service);
        if self.callers[caller].flows[service] == Some(flow) {
            self.callers[caller].flows[service] = None;
        }
        // While the agent may resume, work that must not run twice waits for its answer on the old connection.
        self.flows[flow].ended = !same;
        let lost = self.requests.values().filter_map(|request| {
            let (attempt, at) = request.current?;
            (at == flow && (request.idempotent || !same)).then_some(attempt)
        });
        for attempt in lost.collect::<Vec<_>>() {
            self.end_attempt(attempt, Code::LINK_LOST);
        }
    }
}

fn code(refusal: Refusal) -> Code {
    match refusal.reason {
        Reason::Overloaded => Code::OVERLOADED,
        Reason::Draining => Code::DRAINING,
        Reason::Deadline => Code::DEADLINE,
    }
}

fn agent_index(name: &str) -> usize {
    (0..AGENTS)
        .find(|index| agent_name(*index) == name)
        .expect("known agent")
}

fn agent(index: usize, incarnation: u32, now: Instant) -> Agent {
    let address = agent_address(index);
    let node = Node {
        name: agent_name(index),
        role: Role::Agent,
        data_centre: format!("dc-{}", index % 2),
        datagram: address,
        peer: address.into(),
        http: address.into(),
        incarnation,
    };
    let mut snapshot = Snapshot::default();
    snapshot.roster.insert(node.clone());
    Agent {
        node,
        up: true,
        paused: false,
        paused_at: now,
        inbox: Vec::new(),
        snapshot,
        table: Table::default(),
        ignore_until: None,
        scheduler: Scheduler::new(SLOTS, Discipline::FairDeadline),
        sequence: 0,
        draining: false,
        local_flows: Pending::default(),
        work: BTreeMap::new(),
        jobs: BTreeMap::new(),
        started_at: now,
    }
}

fn balancer(incarnation: u32) -> Balancer {
    Balancer {
        up: true,
        incarnation,
        snapshot: Snapshot::default(),
        table: route::Table::default(),
        detector: Detector::default(),
    }
}
