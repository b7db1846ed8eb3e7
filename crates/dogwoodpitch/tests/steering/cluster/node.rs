//! Nodes: the schedule of the running process around the decisions of a balancer or an agent.

use std::{
    collections::{HashMap, VecDeque},
    net::Ipv4Addr,
    rc::Rc,
    time::Instant,
};

use bytes::Bytes;
use dogwoodpitch::state::{
    roster::Role,
    steering::{
        agent::{Agent, Effect, Hop, Identity, Note},
        backend::{Heartbeat, Outcome, Phase},
        balancer::{Balancer, Decision},
        discovery,
        evidence::Evidence,
        member::{Change, Members},
        report::{Load, Report, Stance},
        route::Table,
        segment::{Flags, Flow, Segment},
    },
};

use super::{
    Event, MS, Time, World,
    backend::{BackendEvent, HEARTBEAT_INTERVAL},
    duration,
    oracle::Reset,
};
use crate::build::{self, SERVICE_NAME};

const TICK: Time = 100 * MS;
const LOAD_TICKS: u64 = 2;
const REPORT_TICKS: u64 = 5;
const PAUSE_THRESHOLD: Time = 400 * MS;
const UNANSWERED_LIMIT: Time = 300 * MS;
const CHECK_INTERVAL: Time = 500 * MS;
const CLOSED_PORT_CHECK_INTERVAL: Time = 100 * MS;
const START_CHECK_INTERVAL: Time = 100 * MS;
const STOP_TICKS: u64 = 10;
const LEAVE_TICKS: u64 = 2;
const MAX_STOP: Time = 3_000 * MS;
const RENEW_INTERVAL: Time = 18_000 * MS;
const LIST_INTERVAL: Time = 9_000 * MS;
const MIN_PAUSE: Time = 250 * MS;
const MAX_PAUSE: Time = 2_000 * MS;
/// Longest planned restart, with the time until the new process is known.
const MAX_RESTART: Time = 5_000 * MS;
const RESTART_POLL: Time = 300 * MS;
/// Datagrams that a socket stores while its process is paused.
const SOCKET_CAPACITY: usize = 400;

/// Frame between nodes.
#[derive(Debug, Clone)]
pub(super) enum Frame {
    Packet { hop: Hop, segment: Segment, is_query: bool },
    Report(Box<Report>),
    Note(Note),
    NodeListRequest,
    NodeList(Vec<(Ipv4Addr, Report)>),
}

/// Call of a backend server.
#[derive(Debug, Clone)]
pub(super) enum Call {
    Heartbeat(Heartbeat),
    ExitNotice(Bytes),
}

/// Input from a socket.
#[derive(Debug, Clone)]
pub(super) enum Input {
    Frame { from: Ipv4Addr, frame: Frame },
    FromClient(Segment),
    FromBackend(Segment),
    Call { lifetime: u64, call: Call },
}

/// Step of the task that announces a node and lists the others.
#[derive(Debug, Clone, Copy)]
pub(super) enum Membership {
    Begin,
    Listed { ok: bool, stale: bool },
    Announced { ok: bool },
    ListedAgain { ok: bool },
}

/// Timer of a process.
#[derive(Debug, Clone)]
pub(super) enum Timer {
    Tick,
    Check,
    CheckResult { checked_at: Time, accepted: bool },
    Membership(Membership),
    LoadRoutes { ok: bool, version: u64 },
    Wake,
}

#[derive(Debug)]
enum State {
    Balancer(Balancer),
    Agent(Box<Agent>),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Life {
    stance: Stance,
    vacant: bool,
}

#[derive(Debug, Clone, Copy)]
struct Stop {
    deadline: Time,
    ticks: u64,
}

/// Running process of a node.
#[derive(Debug)]
#[expect(clippy::struct_excessive_bools, reason = "the flags are independent")]
pub(super) struct Node {
    pub(super) process: u64,
    pub(super) started_at: Time,
    data_centre: Bytes,
    state: State,
    members: Members,
    version: u64,
    reports: u64,
    last_life: Life,
    ticks: u64,
    tick_due: Time,
    paused_until: Time,
    tick_waits: bool,
    /// Inputs that arrive during a pause: frames, packets and calls.
    waiting: [VecDeque<Input>; 3],
    held_syns: HashMap<Flow, Segment>,
    unanswered_since: Option<Time>,
    check_interval: Time,
    stop_requested: bool,
    stop: Option<Stop>,
    has_lease: bool,
    renew_at: Time,
    listed: bool,
    pause: Time,
}

impl Node {
    pub(super) fn is_agent(&self) -> bool {
        matches!(self.state, State::Agent(_))
    }

    pub(super) fn is_stopping(&self) -> bool {
        self.stop_requested
    }
}

impl World {
    pub(super) fn start_node(&mut self, ip: Ipv4Addr) {
        let Some(vm) = self.vms.get(&ip) else { return };
        if self.nodes.contains_key(&ip) {
            return;
        }
        let (role, data_centre) = (vm.role, vm.data_centre.clone());
        let now = self.instant();
        let state = match role {
            Role::Agent => {
                let identity = Identity {
                    ip,
                    data_centre: data_centre.clone(),
                    service: SERVICE_NAME.into(),
                    started_ms: self.clock_ms(ip),
                };
                State::Agent(Box::new(Agent::new(identity, duration(HEARTBEAT_INTERVAL), now)))
            }
            Role::Balancer => State::Balancer(Balancer::new(data_centre.clone(), 10_000)),
        };
        self.last_change = self.now;
        let process = self.next_number();
        let node = Node {
            process,
            started_at: self.now,
            data_centre,
            state,
            members: Members::default(),
            version: 0,
            reports: 0,
            last_life: Life {
                stance: Stance::Joining,
                vacant: false,
            },
            ticks: 0,
            tick_due: self.now + TICK,
            paused_until: 0,
            tick_waits: false,
            waiting: Default::default(),
            held_syns: HashMap::new(),
            unanswered_since: None,
            check_interval: START_CHECK_INTERVAL,
            stop_requested: false,
            stop: None,
            has_lease: false,
            renew_at: 0,
            listed: false,
            pause: MIN_PAUSE,
        };
        self.nodes.insert(ip, node);
        self.note(ip, || format!("process {process} starts"));
        self.timer(ip, TICK, Timer::Tick);
        if role == Role::Agent {
            self.timer(ip, MS, Timer::Check);
        } else {
            let delay = self.random.range(300 * MS, 900 * MS);
            self.schedule(delay, Event::Rotate(ip, process));
        }
        self.contact_seeds(ip);
        self.timer(ip, 0, Timer::Membership(Membership::Begin));
        self.read_routes(ip);
    }

    /// Ends the process of a node at once.
    pub(super) fn kill_node(&mut self, ip: Ipv4Addr, reason: &str) {
        if self.nodes.remove(&ip).is_some() {
            self.last_change = self.now;
            self.note(ip, || format!("process ends: {reason}"));
            let delay = self.random.range(500 * MS, 1_000 * MS);
            self.schedule(delay, Event::Unrotate(ip));
        }
    }

    /// Asks the process of a node to stop.
    pub(super) fn stop_node(&mut self, ip: Ipv4Addr) {
        let Some(node) = self.nodes.get_mut(&ip) else {
            if self.vms.contains_key(&ip) {
                self.schedule(RESTART_POLL, Event::StopNode(ip));
            }
            return;
        };
        node.stop_requested = true;
        self.oracle
            .record_impairment(ip, "restart", self.now, self.now + MAX_RESTART);
        let node = self.nodes.get_mut(&ip).expect("checked above");
        if !node.is_agent() {
            let delay = self.random.range(500 * MS, 1_000 * MS);
            self.schedule(delay, Event::Unrotate(ip));
        }
        self.note(ip, || "stop requested".to_owned());
    }

    pub(super) fn pause_node(&mut self, ip: Ipv4Addr, time: Time) {
        let until = self.now + time;
        let Some(node) = self.nodes.get_mut(&ip) else { return };
        if until <= node.paused_until {
            return;
        }
        node.paused_until = until;
        self.timer(ip, time, Timer::Wake);
        self.note(ip, || format!("process pauses for {} ms", time / MS));
    }

    fn timer(&mut self, ip: Ipv4Addr, delay: Time, timer: Timer) {
        let Some(node) = self.nodes.get(&ip) else { return };
        let process = node.process;
        self.schedule(delay, Event::Timer { ip, process, timer });
    }

    pub(super) fn handle_timer(&mut self, ip: Ipv4Addr, process: u64, timer: Timer) {
        let Some(node) = self.nodes.get_mut(&ip).filter(|node| node.process == process) else {
            return;
        };
        if self.now < node.paused_until {
            let delay = node.paused_until - self.now + MS / 10;
            match timer {
                Timer::Tick => node.tick_waits = true,
                Timer::Wake => {}
                Timer::CheckResult { .. } if self.random.chance(50) => {}
                _ => self.timer(ip, delay, timer),
            }
            return;
        }
        match timer {
            Timer::Tick => self.run_tick(ip),
            Timer::Check => self.check_backend(ip),
            Timer::CheckResult { checked_at, accepted } => self.handle_check_result(ip, checked_at, accepted),
            Timer::Membership(step) => self.maintain_membership(ip, step),
            Timer::LoadRoutes { ok, version } => self.load_routes(ip, ok, version),
            Timer::Wake => self.wake(ip),
        }
    }

    /// Handles what has waited during a pause. Each source keeps its order, but the sources are read in any order.
    fn wake(&mut self, ip: Ipv4Addr) {
        let mut sources = vec![0, 1, 2, 3];
        while !sources.is_empty() {
            let index = usize::try_from(self.random.below(sources.len() as u64)).expect("small");
            let source = sources.remove(index);
            let Some(node) = self.nodes.get_mut(&ip) else { return };
            if source == 3 {
                if std::mem::take(&mut node.tick_waits) {
                    self.run_tick(ip);
                }
                continue;
            }
            for input in std::mem::take(&mut node.waiting[source]) {
                self.handle_input(ip, input);
            }
        }
    }

    pub(super) fn handle_input(&mut self, ip: Ipv4Addr, input: Input) {
        let Some(node) = self.nodes.get_mut(&ip) else { return };
        if self.now < node.paused_until {
            let source = match input {
                Input::Frame { .. } => 0,
                Input::FromClient(_) | Input::FromBackend(_) => 1,
                Input::Call { .. } => 2,
            };
            if node.waiting[source].len() < SOCKET_CAPACITY {
                node.waiting[source].push_back(input);
            }
            return;
        }
        match input {
            Input::Frame { from, frame } => self.handle_frame(ip, from, frame),
            Input::FromClient(segment) => self.handle_client_packet(ip, segment),
            Input::FromBackend(segment) => self.handle_backend_packet(ip, segment),
            Input::Call { lifetime, call } => self.handle_call(ip, lifetime, &call),
        }
    }

    fn life(&self, ip: Ipv4Addr) -> Life {
        let now = self.instant();
        match self.nodes.get(&ip).map(|node| &node.state) {
            Some(State::Agent(agent)) => Life {
                stance: agent.stance(now),
                vacant: agent.backend.is_absent(),
            },
            _ => Life {
                stance: Stance::Open,
                vacant: false,
            },
        }
    }

    fn build_report(&mut self, ip: Ipv4Addr, greeting: bool) -> Report {
        let now = self.instant();
        let life = self.life(ip);
        let node = self.nodes.get_mut(&ip).expect("the node runs");
        node.reports += 1;
        let (role, load, service) = match &node.state {
            State::Agent(agent) => (Role::Agent, agent.load(now), SERVICE_NAME.into()),
            State::Balancer(_) => (Role::Balancer, Load::default(), Bytes::new()),
        };
        Report {
            role,
            incarnation: node.process,
            number: node.reports,
            data_centre: node.data_centre.clone(),
            service,
            stance: life.stance,
            load,
            version: node.version,
            vacant: life.vacant,
            greeting,
        }
    }

    fn send_frame(&mut self, from: Ipv4Addr, to: Ipv4Addr, frame: Frame) {
        let transit = self.network.transit(&mut self.random, from, to, self.now);
        if let Some((flow, text)) = self.describe(&frame) {
            let fate = transit.map_or("lost".to_owned(), |time| format!("{time} us"));
            self.trace(flow, || format!("{from} -> {to}: {text} ({fate})"));
        }
        if let Frame::Report(report) = &frame
            && transit.is_none_or(|time| time > 20 * MS)
        {
            let stance = report.stance;
            self.note(to, || {
                format!("report {stance:?} of {from} is lost or late: {transit:?}")
            });
        }
        if let Some(delay) = transit {
            self.schedule(delay, Event::Input(to, Input::Frame { from, frame }));
        }
    }

    fn describe(&self, frame: &Frame) -> Option<(Flow, String)> {
        if !self.is_tracing() {
            return None;
        }
        match frame {
            Frame::Packet { hop, segment, is_query } => {
                let kind = if *is_query { "query" } else { "packet" };
                let text = format!(
                    "{kind} {:?} seq {} ack {} hops {}",
                    segment.flags, segment.seq, segment.ack, hop.hops
                );
                Some((segment.flow_from_client(), text))
            }
            Frame::Note(Note::Learn(flow) | Note::Claim(flow) | Note::Deny(flow)) => {
                Some((*flow, format!("{frame:?}").split('(').take(2).collect()))
            }
            Frame::Note(Note::Point(flows) | Note::Restore(flows)) => {
                let kind = if matches!(frame, Frame::Note(Note::Point(_))) {
                    "Point"
                } else {
                    "Restore"
                };
                let traced = flows.iter().find(|flow| self.traces(**flow))?;
                Some((*traced, kind.to_owned()))
            }
            _ => None,
        }
    }

    fn send_report(&mut self, ip: Ipv4Addr, to_all: bool) {
        let report = self.build_report(ip, false);
        let node = &self.nodes[&ip];
        let receivers: Vec<_> = node
            .members
            .iter()
            .filter(|member| to_all || member.report.role == Role::Balancer)
            .map(|member| member.ip)
            .collect();
        for to in receivers {
            self.send_frame(ip, to, Frame::Report(Box::new(report.clone())));
        }
    }

    fn report_change(&mut self, ip: Ipv4Addr, before: Life) {
        let after = self.life(ip);
        if before != after {
            self.note(ip, || format!("{before:?} -> {after:?}"));
            self.send_report(ip, true);
        }
    }

    fn send_greetings(&mut self, ip: Ipv4Addr, nodes: &[Ipv4Addr]) {
        let report = self.build_report(ip, true);
        for to in nodes.iter().filter(|to| **to != ip) {
            self.send_frame(ip, *to, Frame::Report(Box::new(report.clone())));
        }
    }

    fn contact_seeds(&mut self, ip: Ipv4Addr) {
        let seeds = self.seeds.clone();
        self.send_greetings(ip, &seeds);
        for to in seeds.into_iter().filter(|to| *to != ip) {
            self.send_frame(ip, to, Frame::NodeListRequest);
        }
    }

    fn handle_frame(&mut self, ip: Ipv4Addr, from: Ipv4Addr, frame: Frame) {
        let now = self.instant();
        match frame {
            Frame::Packet { hop, segment, is_query } => {
                self.update_agent(ip, Some(segment), |agent, members, out| {
                    if is_query {
                        agent.handle_query(&segment, hop, now, out);
                    } else {
                        agent.handle_client_packet(&segment, hop, members, now, out);
                    }
                });
            }
            Frame::Report(report) => self.handle_report(ip, from, *report),
            Frame::Note(note) => {
                let receiver = self.nodes.get_mut(&ip).expect("the node runs");
                if let State::Balancer(balancer) = &mut receiver.state {
                    if let Note::Learn(flow) = note {
                        balancer.learn(flow, from, now);
                    }
                    return;
                }
                self.update_agent(ip, None, |agent, _, out| agent.handle_note(from, note, now, out));
            }
            Frame::NodeListRequest => self.reply(ip, from, discovery::Message::NodeListRequest, false),
            Frame::NodeList(nodes) => {
                let node = self.nodes.get_mut(&ip).expect("the node runs");
                let others = nodes.into_iter().filter(|(other, _)| *other != ip);
                let added = node.members.add_listed(others, now);
                self.send_greetings(ip, &added);
            }
        }
    }

    fn handle_report(&mut self, ip: Ipv4Addr, from: Ipv4Addr, report: Report) {
        let now = self.instant();
        let node = self.nodes.get_mut(&ip).expect("the node runs");
        let message = if report.greeting {
            discovery::Message::ReportRequest
        } else {
            discovery::Message::Report
        };
        let (version, known) = (report.version, node.version);
        let change = node.members.record_report(from, report, now);
        if let Change::New { was_draining } = change {
            if was_draining {
                self.send_frame(ip, from, Frame::Note(Note::WasDraining));
            }
            self.update_agent(ip, None, |agent, _, out| agent.handle_peer_restart(from, out));
        }
        self.reply(ip, from, message, matches!(change, Change::New { .. }));
        if version > known {
            let delay = self.random.range(2 * MS, 20 * MS);
            self.timer(ip, delay, Timer::LoadRoutes { ok: true, version });
        }
    }

    fn reply(&mut self, ip: Ipv4Addr, to: Ipv4Addr, message: discovery::Message, new: bool) {
        match discovery::reply(message, new) {
            Some(discovery::Message::NodeList) => {
                let members = &self.nodes[&ip].members;
                let nodes = members
                    .iter()
                    .filter(|member| member.ip != to && member.heard)
                    .map(|member| (member.ip, member.report.clone()))
                    .collect();
                self.send_frame(ip, to, Frame::NodeList(nodes));
            }
            Some(_) => {
                let report = self.build_report(ip, false);
                self.send_frame(ip, to, Frame::Report(Box::new(report)));
            }
            None => {}
        }
    }

    /// Updates the agent of a node and executes the effects. Does nothing at a balancer.
    fn update_agent<R>(
        &mut self,
        ip: Ipv4Addr,
        packet: Option<Segment>,
        update: impl FnOnce(&mut Agent, &Members, &mut Vec<Effect>) -> R,
    ) -> Option<R> {
        let mut out = Vec::new();
        let node = self.nodes.get_mut(&ip)?;
        let State::Agent(agent) = &mut node.state else {
            return None;
        };
        let result = update(agent, &node.members, &mut out);
        if packet.is_none() {
            // The order of the agent's tables is random, but a simulation repeats exactly.
            for effect in &mut out {
                if let Effect::SendNote {
                    note: Note::Point(flows) | Note::Restore(flows),
                    ..
                } = effect
                {
                    flows.sort_unstable();
                }
            }
            out.sort_by_key(order);
        }
        for effect in out {
            self.execute(ip, effect, packet);
        }
        Some(result)
    }

    fn execute(&mut self, ip: Ipv4Addr, effect: Effect, packet: Option<Segment>) {
        match (effect, packet) {
            (Effect::Deliver, Some(segment)) => self.deliver(ip, segment),
            (Effect::Hold { flow }, Some(segment)) => {
                self.nodes
                    .get_mut(&ip)
                    .expect("the node runs")
                    .held_syns
                    .insert(flow, segment);
            }
            (Effect::Release { flow }, _) => {
                let held = self.nodes.get_mut(&ip).expect("the node runs").held_syns.remove(&flow);
                if let Some(segment) = held {
                    self.deliver(ip, segment);
                }
            }
            (Effect::Discard { flow }, _) => {
                self.nodes.get_mut(&ip).expect("the node runs").held_syns.remove(&flow);
            }
            (Effect::Forward { to, hops, balancer }, Some(segment)) => {
                self.send_packet(ip, to, hops, balancer, segment, false);
            }
            (Effect::Query { to, balancer }, Some(segment)) => self.send_packet(ip, to, 0, balancer, segment, true),
            (Effect::SendToClient { .. }, Some(segment)) => self.send_to_client(segment, None),
            (Effect::Reset { flow, seq, evidence }, _) => {
                let silent = matches!(&evidence, Evidence::DeniedByAll(denials) if denials.silent > 0);
                let reset = Reset {
                    by: ip,
                    kind: if silent {
                        "silence for a denial"
                    } else {
                        evidence.decision()
                    },
                    evidence: self.describe_evidence(&evidence),
                };
                self.send_reset(flow, seq, reset);
            }
            (Effect::SendNote { to, note }, _) if !to.is_unspecified() => self.send_frame(ip, to, Frame::Note(note)),
            (Effect::Log { flow, event }, _) => self.trace(flow, || format!("{ip} logs {event}")),
            _ => {}
        }
    }

    fn describe_evidence(&self, evidence: &Evidence) -> String {
        let age = |since: Instant| self.instant().saturating_duration_since(since).as_millis();
        match evidence {
            Evidence::BackendEnded(held) | Evidence::Returned(held) => format!(
                "{:?}, ack {}, seq {:?}, opened {} ms ago",
                held.state,
                held.client_ack,
                held.backend_seq,
                age(held.opened_at)
            ),
            Evidence::DeniedByAll(denials) => format!(
                "queried {}, silent {}, started {} ms ago",
                denials.queried,
                denials.silent,
                age(denials.started_at)
            ),
            Evidence::SynRefused | Evidence::DeniedRecently | Evidence::RouteRemoved => String::new(),
        }
    }

    fn send_packet(
        &mut self,
        ip: Ipv4Addr,
        to: Ipv4Addr,
        hops: u8,
        balancer: Ipv4Addr,
        segment: Segment,
        is_query: bool,
    ) {
        let hop = Hop {
            sender: ip,
            balancer,
            hops,
            guessed: true,
            version: self.nodes[&ip].version,
        };
        self.send_frame(ip, to, Frame::Packet { hop, segment, is_query });
    }

    fn deliver(&mut self, ip: Ipv4Addr, segment: Segment) {
        let now = self.now;
        let node = self.nodes.get_mut(&ip).expect("the node runs");
        node.unanswered_since.get_or_insert(now);
        let delay = self.random.range(50, 200);
        self.schedule(delay, Event::Delivery(ip, segment));
    }

    fn send_to_client(&mut self, segment: Segment, reset: Option<Reset>) {
        if let Some(delay) = self.network.transit_to_client(&mut self.random, self.now) {
            self.schedule(delay, Event::ToClient(segment, reset));
        }
    }

    fn send_reset(&mut self, flow: Flow, seq: u32, reset: Reset) {
        let segment = Segment {
            source: flow.service,
            target: flow.client,
            flags: Flags::RST,
            seq,
            ack: 0,
            data_len: 0,
        };
        self.send_to_client(segment, Some(reset));
    }

    fn handle_client_packet(&mut self, ip: Ipv4Addr, segment: Segment) {
        let now = self.instant();
        let node = self.nodes.get_mut(&ip).expect("the node runs");
        let version = node.version;
        let State::Balancer(balancer) = &mut node.state else {
            return;
        };
        let decision = balancer.handle_client_packet(&segment, &mut node.members, now);
        let flow = segment.flow_from_client();
        match decision {
            Decision::Forward { to, guessed, reason } => {
                self.trace(flow, || format!("{ip} forwards: {reason}"));
                let hop = Hop {
                    sender: ip,
                    balancer: ip,
                    hops: 0,
                    guessed,
                    version,
                };
                let frame = Frame::Packet {
                    hop,
                    segment,
                    is_query: false,
                };
                self.send_frame(ip, to, frame);
            }
            Decision::Reset { seq, reason } => {
                let reset = Reset {
                    by: ip,
                    kind: reason,
                    evidence: "balancer".to_owned(),
                };
                self.send_reset(flow, seq, reset);
            }
            Decision::Drop { reason } => self.trace(flow, || format!("{ip} drops: {reason}")),
        }
    }

    fn handle_backend_packet(&mut self, ip: Ipv4Addr, segment: Segment) {
        let now = self.instant();
        let node = self.nodes.get_mut(&ip).expect("the node runs");
        node.unanswered_since = None;
        if !segment.flags.contains(Flags::RETURNED) {
            self.update_agent(ip, Some(segment), |agent, _, out| {
                agent.handle_backend_packet(&segment, now, out);
            });
            return;
        }
        let cleared = [Flags::SYN, Flags::ACK, Flags::FIN, Flags::RST]
            .into_iter()
            .filter(|flag| segment.flags.contains(*flag))
            .fold(Flags::default(), Flags::union);
        let packet = Segment {
            flags: cleared,
            ..segment
        };
        self.update_agent(ip, Some(packet), |agent, members, out| {
            agent.handle_returned_packet(&segment, members, now, out);
        });
    }

    fn handle_call(&mut self, ip: Ipv4Addr, lifetime: u64, call: &Call) {
        let now = self.instant();
        let before = self.life(ip);
        match call {
            Call::Heartbeat(heartbeat) => {
                let outcome = self.update_agent(ip, None, |agent, _, out| agent.handle_heartbeat(heartbeat, now, out));
                if outcome != Some(Outcome::Continued) {
                    let number = heartbeat.number;
                    self.note(ip, || format!("heartbeat {number} of lifetime {lifetime}: {outcome:?}"));
                }
                if outcome != Some(Outcome::Stale) {
                    let draining = heartbeat.draining;
                    let event = BackendEvent::HeartbeatConfirmed { draining };
                    self.schedule(MS / 2, Event::Backend { ip, lifetime, event });
                }
            }
            Call::ExitNotice(id) => {
                self.update_agent(ip, None, |agent, _, _| agent.backend.handle_exit_notice(id, now));
            }
        }
        self.report_change(ip, before);
    }

    fn run_tick(&mut self, ip: Ipv4Addr) {
        let (now, instant) = (self.now, self.instant());
        let node = self.nodes.get_mut(&ip).expect("the node runs");
        if let Some(stop) = &mut node.stop {
            stop.ticks += 1;
            let stop = *stop;
            self.tick(ip, stop.ticks);
            let stance = self.life(ip).stance;
            let may_stop = match (self.nodes[&ip].is_agent(), stance) {
                (false, _) => false,
                (true, Stance::Leaving) => stop.ticks >= LEAVE_TICKS,
                (true, _) => stop.ticks >= STOP_TICKS,
            };
            if now >= stop.deadline || may_stop {
                self.send_report(ip, true);
                if stance == Stance::Leaving {
                    self.store.withdraw(ip, now);
                }
                self.kill_node(ip, "stopped");
                self.handle_node_exit(ip);
                return;
            }
            self.timer(ip, TICK, Timer::Tick);
            return;
        }
        if now > node.tick_due + PAUSE_THRESHOLD {
            node.members.extend_deadlines(instant);
            node.tick_due = now;
        }
        node.ticks += 1;
        let ticks = node.ticks;
        self.tick(ip, ticks);
        let node = self.nodes.get_mut(&ip).expect("the node runs");
        if node.stop_requested {
            node.stop = Some(Stop {
                deadline: now + MAX_STOP,
                ticks: 0,
            });
            if let State::Agent(agent) = &mut node.state {
                agent.stop();
            }
            self.timer(ip, 0, Timer::Tick);
            return;
        }
        node.tick_due += TICK;
        let delay = node.tick_due.saturating_sub(now);
        self.timer(ip, delay, Timer::Tick);
    }

    fn tick(&mut self, ip: Ipv4Addr, ticks: u64) {
        let now = self.instant();
        let node = self.nodes.get_mut(&ip).expect("the node runs");
        let gone = node.members.expire(now);
        if !gone.is_empty() {
            self.note(ip, || format!("removes {gone:?}"));
        }
        self.update_agent(ip, None, |agent, members, out| {
            agent.remove_nodes(&gone);
            agent.tick(members, now, out);
        });
        let life = self.life(ip);
        let node = self.nodes.get_mut(&ip).expect("the node runs");
        if let State::Balancer(balancer) = &mut node.state
            && ticks.is_multiple_of(REPORT_TICKS)
        {
            balancer.expire(now);
        }
        let changed = std::mem::replace(&mut node.last_life, life) != life;
        let is_agent = node.is_agent();
        if changed || ticks.is_multiple_of(REPORT_TICKS) {
            self.send_report(ip, true);
        } else if is_agent && ticks.is_multiple_of(LOAD_TICKS) {
            self.send_report(ip, false);
        }
    }

    fn check_backend(&mut self, ip: Ipv4Addr) {
        let (now, instant) = (self.now, self.instant());
        let node = self.nodes.get_mut(&ip).expect("the node runs");
        let State::Agent(agent) = &node.state else { return };
        let silent = node
            .unanswered_since
            .is_some_and(|since| now >= since + UNANSWERED_LIMIT);
        let (heard, phase) = (agent.backend.has_heartbeat(), agent.backend.phase(instant));
        let due = match phase {
            Phase::Ready => silent,
            Phase::Draining => true,
            Phase::Down => !heard,
        };
        if heard || phase == Phase::Ready {
            node.check_interval = CHECK_INTERVAL;
        }
        if !due {
            self.schedule_check(ip, 0);
            return;
        }
        let accepted = self.backends.get(&ip).is_some_and(|backend| backend.port_open);
        let delay = self.random.range(100, MS);
        let result = Timer::CheckResult {
            checked_at: now,
            accepted,
        };
        self.timer(ip, delay, result);
        self.schedule_check(ip, delay);
    }

    fn schedule_check(&mut self, ip: Ipv4Addr, after: Time) {
        let node = &self.nodes[&ip];
        let State::Agent(agent) = &node.state else { return };
        let interval = if agent.backend.refuses_connections() {
            CLOSED_PORT_CHECK_INTERVAL
        } else {
            node.check_interval
        };
        self.timer(ip, after + interval, Timer::Check);
    }

    fn handle_check_result(&mut self, ip: Ipv4Addr, checked_at: Time, accepted: bool) {
        let now = self.instant();
        let checked_at = self.instant_at(checked_at);
        let before = self.life(ip);
        let ended = self.update_agent(ip, None, |agent, _, out| {
            if accepted {
                agent.backend.handle_connection_accepted(now);
                return false;
            }
            agent.handle_connection_refused(checked_at, out)
        });
        if !accepted {
            self.note(ip, || format!("check refused, lifetime ended: {ended:?}"));
        }
        self.report_change(ip, before);
    }

    fn maintain_membership(&mut self, ip: Ipv4Addr, step: Membership) {
        let now = self.now;
        let (time, ok) = self.store.call(&mut self.random, now);
        let stale = self.nodes[&ip].listed;
        match step {
            Membership::Begin => self.timer(ip, time, Timer::Membership(Membership::Listed { ok, stale })),
            Membership::Listed { ok: true, stale } => {
                self.apply_list(ip, stale);
                if now < self.nodes[&ip].renew_at {
                    self.finish_membership(ip);
                } else {
                    self.timer(ip, time, Timer::Membership(Membership::Announced { ok }));
                }
            }
            Membership::Announced { ok: true } => {
                let has_lease = self.nodes[&ip].has_lease;
                let renewed = has_lease && self.store.renew(ip, now);
                if !renewed {
                    let report = self.build_report(ip, false);
                    self.store.announce(ip, report, now);
                }
                let node = self.nodes.get_mut(&ip).expect("the node runs");
                node.has_lease = true;
                node.renew_at = now + RENEW_INTERVAL;
                if renewed {
                    self.finish_membership(ip);
                } else {
                    self.timer(ip, time, Timer::Membership(Membership::ListedAgain { ok }));
                }
            }
            Membership::ListedAgain { ok: true } => {
                self.apply_list(ip, false);
                self.finish_membership(ip);
            }
            Membership::Listed { .. } | Membership::Announced { .. } | Membership::ListedAgain { .. } => {
                self.contact_seeds(ip);
                let factor = self.random.range(60, 140);
                let node = self.nodes.get_mut(&ip).expect("the node runs");
                let delay = node.pause * factor / 100;
                let max_pause = if node.listed { MAX_PAUSE } else { MIN_PAUSE };
                node.pause = (node.pause * 2).min(max_pause);
                self.timer(ip, delay, Timer::Membership(Membership::Begin));
            }
        }
    }

    fn finish_membership(&mut self, ip: Ipv4Addr) {
        self.update_agent(ip, None, |agent, _, _| agent.mark_announced());
        let node = self.nodes.get_mut(&ip).expect("the node runs");
        node.listed = true;
        node.pause = MIN_PAUSE;
        self.timer(ip, LIST_INTERVAL, Timer::Membership(Membership::Begin));
    }

    fn apply_list(&mut self, ip: Ipv4Addr, stale: bool) {
        let now = self.instant();
        let listed = self.store.list(stale, self.now);
        let node = self.nodes.get_mut(&ip).expect("the node runs");
        let (own, others): (Vec<_>, Vec<_>) = listed.into_iter().partition(|(other, _)| *other == ip);
        let added = node.members.add_listed(others, now);
        if let [(_, announced)] = own.as_slice() {
            let same = (announced.role == Role::Agent) == node.is_agent() && announced.data_centre == node.data_centre;
            node.has_lease |= same;
        }
        let silent = node
            .members
            .iter()
            .filter(|member| !member.heard)
            .map(|member| member.ip);
        let mut receivers: Vec<_> = silent.collect();
        receivers.extend(
            added
                .into_iter()
                .filter(|ip| !receivers.contains(ip))
                .collect::<Vec<_>>(),
        );
        self.send_greetings(ip, &receivers);
    }

    fn read_routes(&mut self, ip: Ipv4Addr) {
        let (time, ok) = self.store.call(&mut self.random, self.now);
        self.timer(ip, time, Timer::LoadRoutes { ok, version: 1 });
    }

    fn load_routes(&mut self, ip: Ipv4Addr, ok: bool, version: u64) {
        let node = self.nodes.get_mut(&ip).expect("the node runs");
        if node.version >= version {
            return;
        }
        if !ok {
            let (time, ok) = self.store.call(&mut self.random, self.now);
            self.timer(ip, MIN_PAUSE + time, Timer::LoadRoutes { ok, version });
            return;
        }
        node.version = version;
        let routes: Rc<Table> = build::routes(version);
        if let State::Balancer(balancer) = &mut node.state {
            balancer.routes = Rc::clone(&routes);
        }
        self.update_agent(ip, None, |agent, _, out| agent.set_routes(routes, out));
    }

    /// Whether a balancer answers the readiness check.
    pub(super) fn is_ready(&self, ip: Ipv4Addr) -> bool {
        let now = self.instant();
        self.nodes.get(&ip).is_some_and(|node| match &node.state {
            State::Balancer(balancer) => balancer.is_ready(&node.members, now) && !node.stop_requested,
            State::Agent(_) => false,
        })
    }
}

/// Order of the effects of an event that concerns several flows.
fn order(effect: &Effect) -> (u8, Option<Flow>, Option<Ipv4Addr>, usize) {
    match effect {
        Effect::Discard { flow } => (0, Some(*flow), None, 0),
        Effect::Release { flow } => (1, Some(*flow), None, 0),
        Effect::Reset { flow, .. } => (2, Some(*flow), None, 0),
        Effect::SendNote { to, note } => match note {
            Note::Learn(flow) | Note::Claim(flow) | Note::Deny(flow) => (3, Some(*flow), Some(*to), 0),
            Note::Point(flows) | Note::Restore(flows) => (4, flows.first().copied(), Some(*to), flows.len()),
            Note::WasDraining => (5, None, Some(*to), 0),
        },
        Effect::Log { flow, .. } => (6, Some(*flow), None, 0),
        _ => (7, None, None, 0),
    }
}
