//! Nodes: the schedule of the running process around the decisions of a balancer or an agent.

use std::{
    collections::{HashMap, VecDeque},
    net::Ipv4Addr,
    rc::Rc,
};

use bytes::Bytes;
use dogwoodpitch::state::{
    roster::Role,
    steering::{
        agent::{Agent, Identity},
        announcement::Lease,
        backend::Heartbeat,
        balancer::Balancer,
        era::Era,
        member::Members,
        report::{Load, Report, Stance},
        route::Table,
        segment::{Flow, Segment},
        view::View,
    },
};

use super::{Event, MS, Time, World, backend::HEARTBEAT_INTERVAL, duration, message::Frame};
use crate::build::{self, SERVICE_NAME};

const TICK: Time = 100 * MS;
const EXPIRE_TICKS: u64 = 5;
const PAUSE_THRESHOLD: Time = 400 * MS;
const START_CHECK_INTERVAL: Time = 100 * MS;
const STOP_TICKS: u64 = 10;
const LEAVE_TICKS: u64 = 2;
const MAX_STOP: Time = 3_000 * MS;
pub(super) const MIN_PAUSE: Time = 250 * MS;
/// Longest planned restart, with the time until the new process is known.
const MAX_RESTART: Time = 5_000 * MS;
const RESTART_POLL: Time = 300 * MS;
const STALL_THRESHOLD: Time = 180 * MS;
/// Datagrams that a socket stores while its process is paused.
const SOCKET_CAPACITY: usize = 400;

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
    Begin { number: u64 },
    Listed { ok: bool, stale: bool },
    Announced { ok: bool },
    ListedAgain { ok: bool },
}

/// Where a node gets the routes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Source {
    Store,
    FailedStore,
    Peer,
}

/// Timer of a process.
#[derive(Debug, Clone)]
pub(super) enum Timer {
    Tick,
    Check,
    CheckResult {
        checked_at: Time,
        accepted: bool,
    },
    Membership(Membership),
    LoadRoutes {
        from: Source,
        version: u64,
    },
    /// A watch of the store replies.
    Watch {
        ok: bool,
    },
    Wake,
}

#[derive(Debug)]
pub(super) enum State {
    Balancer(Balancer),
    Agent(Box<Agent>),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Life {
    pub(super) stance: Stance,
    pub(super) vacant: bool,
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
    pub(super) data_centre: Bytes,
    pub(super) state: State,
    pub(super) members: Members,
    pub(super) version: u64,
    pub(super) view: View,
    pub(super) reports: u64,
    last_life: Life,
    ticks: u64,
    tick_due: Time,
    pub(super) paused_until: Time,
    /// Time of the last tick or packet.
    active_at: Time,
    tick_waits: bool,
    /// Inputs that arrive during a pause: frames, packets and calls.
    waiting: [VecDeque<Input>; 3],
    pub(super) held_syns: HashMap<Flow, Segment>,
    pub(super) unanswered_since: Option<Time>,
    pub(super) check_interval: Time,
    stop_requested: bool,
    stop: Option<Stop>,
    pub(super) lease: Option<Lease>,
    pub(super) renew_at: Time,
    /// Era of the last renewal.
    pub(super) renewed_in: Option<Era>,
    /// Era of the last list, and of the first.
    pub(super) listed_in: Option<Era>,
    pub(super) first_listed_in: Option<Era>,
    /// Number of the next list, which begins at a time or earlier after a return of the store.
    pub(super) list_number: u64,
    /// Whether the calls of a list are in progress.
    pub(super) is_listing: bool,
    pub(super) listed: bool,
    pub(super) pause: Time,
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
            view: View::default(),
            reports: 0,
            last_life: Life {
                stance: Stance::Joining,
                vacant: false,
            },
            ticks: 0,
            tick_due: self.now + TICK,
            paused_until: 0,
            active_at: self.now,
            tick_waits: false,
            waiting: Default::default(),
            held_syns: HashMap::new(),
            unanswered_since: None,
            check_interval: START_CHECK_INTERVAL,
            stop_requested: false,
            stop: None,
            lease: None,
            renew_at: 0,
            renewed_in: None,
            listed_in: None,
            first_listed_in: None,
            list_number: 0,
            is_listing: false,
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
        self.timer(ip, 0, Timer::Membership(Membership::Begin { number: 0 }));
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

    pub(super) fn timer(&mut self, ip: Ipv4Addr, delay: Time, timer: Timer) {
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
            Timer::LoadRoutes { from, version } => self.load_routes(ip, from, version),
            Timer::Watch { ok } => self.watch(ip, ok),
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
        if matches!(
            input,
            Input::Frame {
                frame: Frame::Packet { .. },
                ..
            } | Input::FromClient(_)
                | Input::FromBackend(_)
        ) {
            self.detect_stall(ip);
        }
        match input {
            Input::Frame { from, frame } => self.handle_frame(ip, from, frame),
            Input::FromClient(segment) => self.handle_client_packet(ip, segment),
            Input::FromBackend(segment) => self.handle_backend_packet(ip, segment),
            Input::Call { lifetime, call } => self.handle_call(ip, lifetime, &call),
        }
    }

    /// Tells the node that packets may have waited, as the real node finds out before it handles a packet.
    fn detect_stall(&mut self, ip: Ipv4Addr) {
        let (now, instant) = (self.now, self.instant());
        let Some(node) = self.nodes.get_mut(&ip) else { return };
        let active_at = std::mem::replace(&mut node.active_at, now);
        if now > active_at + STALL_THRESHOLD
            && let State::Balancer(balancer) = &mut node.state
        {
            balancer.handle_stall(instant);
        }
    }

    pub(super) fn life(&self, ip: Ipv4Addr) -> Life {
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

    pub(super) fn build_report(&mut self, ip: Ipv4Addr, greeting: bool) -> Report {
        let now = self.instant();
        let life = self.life(ip);
        let node = self.nodes.get_mut(&ip).expect("the node runs");
        node.reports += 1;
        let (role, load, service) = match &node.state {
            State::Agent(agent) => (Role::Agent, agent.load(now), SERVICE_NAME.into()),
            State::Balancer(_) => (Role::Balancer, Load::default(), Bytes::new()),
        };
        let report = Report {
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
            confirmed: None,
            evacuations: None,
            era: None,
            recovery: None,
        };
        node.view.report(report, now)
    }

    fn run_tick(&mut self, ip: Ipv4Addr) {
        let (now, instant) = (self.now, self.instant());
        self.detect_stall(ip);
        let node = self.nodes.get_mut(&ip).expect("the node runs");
        if now > node.tick_due + PAUSE_THRESHOLD {
            node.members.extend_deadlines(instant);
            if let State::Agent(agent) = &mut node.state {
                agent.handle_pause(instant);
            }
            node.tick_due = now;
        }
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
                self.send_report(ip, None);
                if stance == Stance::Leaving {
                    self.store.withdraw(ip, now);
                }
                self.kill_node(ip, "stopped");
                self.handle_node_exit(ip);
                return;
            }
            let node = self.nodes.get_mut(&ip).expect("the node runs");
            node.tick_due += TICK;
            let delay = node.tick_due.saturating_sub(now);
            self.timer(ip, delay, Timer::Tick);
            return;
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
        let released = !node.view.expire(!self.store.is_unreachable(self.now), now).is_empty();
        if !gone.is_empty() {
            self.note(ip, || format!("removes {gone:?}"));
        }
        if released {
            self.enforce_evacuations(ip);
        }
        self.update_agent(ip, None, |agent, members, out| {
            agent.remove_nodes(&gone);
            agent.tick(members, now, out);
        });
        let life = self.life(ip);
        let node = self.nodes.get_mut(&ip).expect("the node runs");
        if let State::Balancer(balancer) = &mut node.state
            && ticks.is_multiple_of(EXPIRE_TICKS)
        {
            balancer.expire(now);
        }
        let changed = std::mem::replace(&mut node.last_life, life) != life;
        self.send_report(ip, (!changed).then_some(ticks));
    }

    fn read_routes(&mut self, ip: Ipv4Addr) {
        let (time, ok) = self.store.call(&mut self.random, self.now);
        let from = if ok { Source::Store } else { Source::FailedStore };
        self.timer(ip, time, Timer::LoadRoutes { from, version: 1 });
    }

    pub(super) fn load_routes(&mut self, ip: Ipv4Addr, from: Source, version: u64) {
        if from == Source::Store {
            self.watch(ip, true);
        }
        let node = self.nodes.get_mut(&ip).expect("the node runs");
        if node.version >= version {
            return;
        }
        if from == Source::FailedStore {
            let (time, ok) = self.store.call(&mut self.random, self.now);
            let from = if ok { Source::Store } else { Source::FailedStore };
            self.timer(ip, MIN_PAUSE + time, Timer::LoadRoutes { from, version });
            return;
        }
        let node = self.nodes.get_mut(&ip).expect("the node runs");
        node.version = version;
        let routes: Rc<Table> = build::routes(version);
        if let State::Balancer(balancer) = &mut node.state {
            balancer.routes = Rc::clone(&routes);
        }
        self.update_agent(ip, None, |agent, _, out| agent.set_routes(routes, out));
    }

    /// Evacuates a data centre, or takes it back. All balancers watch the store.
    pub(super) fn evacuate(&mut self, begins: bool) {
        if self.store.is_down(self.now) {
            // The operator has no answer yet and repeats the call.
            self.schedule(MIN_PAUSE, Event::Evacuate(begins));
            return;
        }
        if begins {
            let time = self.random.range(7_000 * MS, 12_000 * MS);
            self.schedule(time, Event::Evacuate(false));
        }
        self.store.evacuate("west".into(), begins, self.now);
        self.is_evacuated = begins;
        self.evacuated_at = begins.then_some(self.now);
        self.note(Ipv4Addr::UNSPECIFIED, || format!("evacuation of west, begins {begins}"));
        self.answer_watches();
    }

    fn answer_watches(&mut self) {
        for ip in self.balancers() {
            let (time, ok) = self.store.call(&mut self.random, self.now);
            self.timer(ip, time, Timer::Watch { ok });
        }
    }

    /// The store comes back from an older copy. The operators write again what was lost, some time later.
    pub(super) fn return_store(&mut self, copied_at: Time) {
        self.store.return_to(copied_at, self.now);
        let era = self.store.era();
        self.note(Ipv4Addr::UNSPECIFIED, || format!("store is back in {era:?}"));
        let is_known = |node: &Node| !node.view.evacuations().data_centres().is_empty();
        if self.store.evacuations().data_centres.is_empty() && !self.nodes.values().any(is_known) {
            // The store has lost the evacuation before any node could read it.
            self.evacuated_at = None;
        }
        let delay = self.random.choose(&[0, 200 * MS, 3_000 * MS]).unwrap_or(0);
        self.schedule(delay, Event::WriteAgain);
        for ip in self.balancers() {
            let delay = self.random.below(1_000 * MS);
            let (time, ok) = self.store.call(&mut self.random, self.now);
            self.timer(ip, delay + time, Timer::Watch { ok });
        }
    }

    pub(super) fn write_again(&mut self) {
        if self.store.is_down(self.now) {
            self.schedule(MIN_PAUSE, Event::WriteAgain);
            return;
        }
        let evacuated = self.is_evacuated;
        if self.store.evacuations().data_centres.is_empty() == evacuated {
            self.store.evacuate("west".into(), evacuated, self.now);
            self.evacuated_at = self.evacuated_at.or_else(|| evacuated.then_some(self.now));
            self.note(Ipv4Addr::UNSPECIFIED, || "operators write again".to_owned());
            self.answer_watches();
        }
    }

    /// What a node does when it hears of a return of the store.
    pub(super) fn follow_era(&mut self, ip: Ipv4Addr) {
        let node = self.nodes.get_mut(&ip).expect("the node runs");
        let newest = node.view.eras().newest();
        if let (Some(announced_by), State::Agent(agent)) = (node.view.eras().announced_by(), &mut node.state)
            && node.first_listed_in.is_none_or(|first| Some(first) == newest)
        {
            agent.expect_announcements(announced_by);
        }
        if node.listed && !node.is_listing && node.listed_in != newest {
            node.list_number += 1;
            node.listed_in = newest;
            let number = node.list_number;
            let delay = self.random.below(1_000 * MS);
            self.timer(ip, delay, Timer::Membership(Membership::Begin { number }));
        }
    }

    fn watch(&mut self, ip: Ipv4Addr, ok: bool) {
        if !ok {
            let (time, ok) = self.store.call(&mut self.random, self.now);
            self.timer(ip, MIN_PAUSE + time, Timer::Watch { ok });
            return;
        }
        let (now, era, notice) = (self.instant(), self.store.era(), self.store.evacuations());
        let node = self.nodes.get_mut(&ip).expect("the node runs");
        node.view.record_answer(era, now);
        let changes = node.view.merge(Some(era), &notice);
        self.follow_era(ip);
        if !changes.is_empty() {
            self.enforce_evacuations(ip);
        }
    }

    pub(super) fn enforce_evacuations(&mut self, ip: Ipv4Addr) {
        let now = self.instant();
        let node = self.nodes.get_mut(&ip).expect("the node runs");
        let in_force = node.view.evacuations().data_centres();
        node.members.set_evacuated(in_force);
        let evacuated = in_force.contains(&node.data_centre);
        self.note(ip, || format!("hears of an evacuation; own data centre {evacuated}"));
        self.update_agent(ip, None, |agent, members, out| {
            agent.set_evacuated(evacuated, members, now, out);
        });
        self.send_report(ip, None);
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
