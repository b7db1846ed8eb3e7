//! Common parts of both roles: sockets, reports, messages, stop.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    io,
    net::{Ipv4Addr, SocketAddrV4},
    rc::Rc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use hyper::StatusCode;
use monoio::net::TcpListener;

use crate::{
    coordination::steering::{Platform, Settings, agent, balancer, config, membership, reload, spawn_vital},
    protocol::steer::{self, Header, Kind, Message},
    state::{
        roster::Role,
        steering::{
            agent::{Agent, Identity, Note},
            balancer::Balancer,
            discovery,
            member::{Change, Members},
            report::{Load, Report, Stance},
            route::Table,
            segment::Flow,
        },
    },
    transport::{
        http,
        metric::Recorder,
        signal::{Reload, Termination},
        time,
        udp::{MAX_DATAGRAM, Socket},
    },
};

/// Time between two looks at what time brings.
const TICK: Duration = Duration::from_millis(100);
/// Ticks between two reports of an agent to the balancers: placement uses loads of this age.
const LOAD_TICKS: u64 = 2;
/// Ticks between two reports of a node to the others.
const REPORT_TICKS: u64 = 5;
/// A longer tick means that the process stood still and has not read the reports of others.
const STALL: Duration = Duration::from_millis(400);

/// State of the role.
#[derive(Debug)]
pub(super) enum State {
    /// Balancer.
    Balancer(Balancer),
    /// Agent.
    Agent(Box<Agent>),
}

/// What the others must hear of at once when it changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Life {
    /// What the node wants to be used for.
    pub(super) stance: Stance,
    /// Whether it is an agent without a backend server.
    pub(super) vacant: bool,
}

/// A running node.
#[derive(Debug)]
pub(super) struct Node {
    pub(super) settings: Settings,
    pub(super) platform: Platform,
    pub(super) state: RefCell<State>,
    pub(super) members: RefCell<Members>,
    pub(super) config: config::Config,
    pub(super) frames: Socket,
    /// Packets of clients at a balancer, of the backend server at an agent.
    pub(super) packets: Socket,
    pub(super) termination: Termination,
    pub(super) reload: Reload,
    /// Settings as they were read last; the identity and the sockets are those of `settings`.
    pub(super) live: RefCell<Settings>,
    /// SYNs that wait at an agent.
    pub(super) held: RefCell<HashMap<Flow, Vec<u8>>>,
    pub(super) lease: Cell<Option<u64>>,
    /// Since when the backend server has sent nothing although it was given packets.
    pub(super) unanswered_since: Cell<Option<Instant>>,
    incarnation: u64,
    reports: Cell<u64>,
    /// As the last tick saw it.
    last_life: Cell<Life>,
}

/// Runs a node until it is asked to stop.
pub async fn run(settings: Settings, platform: Platform) -> io::Result<()> {
    let recorder = Recorder::open();
    let node = Node::open(settings, platform)?;
    log::info!(
        event = "node.started", ip:% = node.settings.ip, incarnation = node.incarnation;
        "node started"
    );
    spawn_vital("frames", receive_frames(Rc::clone(&node)));
    spawn_vital("pages", serve_pages(&node, recorder)?);
    monoio::spawn(config::follow(Rc::clone(&node)));
    monoio::spawn(membership::announce(Rc::clone(&node)));
    match node.settings.role() {
        Role::Balancer => spawn_vital("packets", balancer::receive(Rc::clone(&node))),
        Role::Agent => agent::spawn(&node)?,
    }
    tick(&node).await;
    stop(&node).await;
    Ok(())
}

impl Node {
    fn open(settings: Settings, platform: Platform) -> io::Result<Rc<Self>> {
        let now = Instant::now();
        let state = match &settings.backend {
            None => State::Balancer(Balancer::new(settings.data_centre.clone(), settings.cache_capacity())),
            Some(backend) => State::Agent(Box::new(Agent::new(
                Identity {
                    ip: settings.ip,
                    data_centre: settings.data_centre.clone(),
                    service: backend.service.clone(),
                    started_ms: unix_ms(),
                },
                Duration::from_millis(backend.heartbeat_interval_ms.into()),
                now,
            ))),
        };
        let packets = settings
            .backend
            .as_ref()
            .map_or(settings.packets, |backend| backend.outbound);
        Ok(Rc::new(Self {
            frames: Socket::bind(SocketAddrV4::new(settings.ip, settings.port))?,
            packets: Socket::bind(packets)?,
            termination: Termination::open()?,
            reload: Reload::open()?,
            live: RefCell::new(settings.clone()),
            state: RefCell::new(state),
            members: RefCell::default(),
            config: config::Config::default(),
            held: RefCell::default(),
            lease: Cell::new(None),
            unanswered_since: Cell::new(None),
            incarnation: rand::random(),
            reports: Cell::new(0),
            last_life: Cell::new(Life {
                stance: Stance::Joining,
                vacant: false,
            }),
            settings,
            platform,
        }))
    }

    /// Routes in force.
    pub(super) fn routes(&self) -> Rc<Table> {
        self.config.routes()
    }

    /// What this node wants to be used for.
    pub(super) fn stance(&self, now: Instant) -> Stance {
        match &*self.state.borrow() {
            State::Balancer(_) => Stance::Open,
            State::Agent(agent) => agent.stance(now),
        }
    }

    /// Stance, and whether a backend server is there.
    pub(super) fn life(&self, now: Instant) -> Life {
        Life {
            stance: self.stance(now),
            vacant: self.is_vacant(),
        }
    }

    fn is_vacant(&self) -> bool {
        match &*self.state.borrow() {
            State::Balancer(_) => false,
            State::Agent(agent) => agent.backend.is_absent(),
        }
    }

    /// What this node tells the others of itself.
    pub(super) fn report(&self, greeting: bool) -> Report {
        let now = Instant::now();
        let load = match &*self.state.borrow() {
            State::Balancer(_) => Load::default(),
            State::Agent(agent) => agent.load(now),
        };
        self.reports.set(self.reports.get() + 1);
        Report {
            role: self.settings.role(),
            incarnation: self.incarnation,
            number: self.reports.get(),
            data_centre: self.settings.data_centre.clone(),
            service: self
                .settings
                .backend
                .as_ref()
                .map(|backend| backend.service.clone())
                .unwrap_or_default(),
            stance: self.stance(now),
            load,
            version: self.routes().version,
            vacant: self.is_vacant(),
            greeting,
        }
    }

    /// Sends a frame; it may be collected until [`Node::flush`].
    pub(super) fn send(&self, to: Ipv4Addr, header: &Header, payload: &[u8]) {
        let to = SocketAddrV4::new(to, self.settings.port);
        self.frames.send(to, &header.encode(), payload);
    }

    /// Sends a message.
    pub(super) fn tell(&self, to: Ipv4Addr, message: &Message) {
        if !to.is_unspecified() {
            self.send(to, &Header::message(self.routes().version), &steer::encode(message));
        }
    }

    /// Sends what was collected.
    pub(super) fn flush(&self) {
        self.frames.flush();
        self.packets.flush();
    }

    /// Sends a packet to a client.
    pub(super) fn send_client(&self, client: Ipv4Addr, packet: &[u8]) {
        let to = SocketAddrV4::new(client, self.settings.packets.port());
        self.packets.send(to, &[], packet);
    }

    /// Reports to the nodes that the test admits.
    pub(super) fn report_to(&self, admits: impl Fn(Role) -> bool) {
        let report = Message::Report(self.report(false));
        let members = self.members.borrow();
        for member in members.iter().filter(|member| admits(member.report.role)) {
            self.tell(member.ip, &report);
        }
        drop(members);
        self.flush();
    }

    /// Asks nodes for the others that they know.
    pub(super) fn discover(&self, nodes: impl IntoIterator<Item = Ipv4Addr>) {
        for ip in nodes {
            if ip != self.settings.ip {
                self.tell(ip, &Message::Discovery);
            }
        }
        self.flush();
    }

    /// Asks nodes for a report.
    pub(super) fn greet(&self, nodes: impl IntoIterator<Item = Ipv4Addr>) {
        let report = Message::Report(self.report(true));
        for ip in nodes {
            if ip != self.settings.ip {
                self.tell(ip, &report);
            }
        }
        self.flush();
    }

    fn frame(self: &Rc<Self>, from: Ipv4Addr, frame: &[u8]) {
        let Some((header, payload)) = Header::decode(frame) else {
            reject(from, "frame is malformed");
            return;
        };
        if header.kind != Kind::Message {
            agent::frame(self, from, &header, payload);
            return;
        }
        match steer::decode(payload) {
            Ok(Message::Report(report)) => self.take_report(from, report),
            Ok(Message::Note(note)) => self.take_note(from, note),
            Ok(Message::Discovery) => self.answer(from, discovery::Message::NodeListRequest, false),
            Ok(Message::Nodes(nodes)) => {
                let own = self.settings.ip;
                let others = nodes.into_iter().filter(|(ip, _)| *ip != own);
                let added = self.members.borrow_mut().add_listed(others, Instant::now());
                self.greet(added);
            }
            Err(error) => reject(from, &error.to_string()),
        }
    }

    fn take_report(self: &Rc<Self>, from: Ipv4Addr, report: Report) {
        let now = Instant::now();
        let (version, stance) = (report.version, report.stance);
        let message = if report.greeting {
            discovery::Message::ReportRequest
        } else {
            discovery::Message::Report
        };
        let change = self.members.borrow_mut().record_report(from, report, now);
        if let Change::New { was_draining } = change {
            log::info!(
                event = "member.heard", node:% = from, stance:? = stance, was_draining;
                "node heard for the first time"
            );
            if was_draining {
                self.tell(from, &Message::Note(Note::WasDraining));
            }
            agent::decide(self, &[], |agent, _, out| agent.handle_peer_restart(from, out));
        }
        self.answer(from, message, matches!(change, Change::New { .. }));
        if version > self.routes().version {
            config::pull(self, from);
        }
    }

    fn answer(&self, to: Ipv4Addr, message: discovery::Message, new: bool) {
        match discovery::reply(message, new) {
            Some(discovery::Message::NodeList) => self.tell_nodes(to),
            Some(_) => self.tell(to, &Message::Report(self.report(false))),
            None => {}
        }
    }

    /// Tells a node of the others.
    fn tell_nodes(&self, to: Ipv4Addr) {
        let members = self.members.borrow();
        let nodes: Vec<_> = members
            .iter()
            .filter(|member| member.ip != to && member.heard)
            .map(|member| (member.ip, member.report.clone()))
            .collect();
        for nodes in nodes.chunks(steer::MAX_NODES_PER_MESSAGE) {
            self.tell(to, &Message::Nodes(nodes.to_vec()));
        }
    }

    fn take_note(self: &Rc<Self>, from: Ipv4Addr, note: Note) {
        let now = Instant::now();
        if let State::Balancer(balancer) = &mut *self.state.borrow_mut() {
            if let Note::Learn(flow) = note {
                balancer.learn(flow, from, now);
            }
            return;
        }
        agent::decide(self, &[], |agent, _, out| agent.handle_note(from, note, now, out));
    }

    fn is_ready(&self) -> bool {
        let now = Instant::now();
        let ready = match &*self.state.borrow() {
            State::Balancer(balancer) => balancer.is_ready(&self.members.borrow(), now),
            State::Agent(_) => self.routes().is_loaded(),
        };
        ready && !self.termination.is_requested()
    }
}

async fn receive_frames(node: Rc<Node>) -> io::Result<()> {
    loop {
        node.frames.recv(|from, frame| node.frame(*from.ip(), frame)).await?;
        node.flush();
    }
}

/// Serves the readiness page, the metrics, and the configuration for other nodes.
fn serve_pages(node: &Rc<Node>, recorder: Recorder) -> io::Result<impl Future<Output = io::Result<()>> + use<>> {
    let ready = TcpListener::bind(node.settings.ready)?;
    let calls = TcpListener::bind(SocketAddrV4::new(node.settings.ip, node.settings.port))?;
    let page = Rc::clone(node);
    monoio::spawn(http::serve(ready, move |_peer, _request| {
        let status = if page.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        async move { http::response(status, "text/plain", "") }
    }));
    match TcpListener::bind(node.settings.metrics()) {
        Ok(metrics) => {
            monoio::spawn(http::serve(metrics, move |_peer, _request| {
                let text = recorder.render();
                async move { http::response(StatusCode::OK, "text/plain; version=0.0.4", text) }
            }));
        }
        // A node without metrics still serves its clients.
        Err(error) => log::warn!(event = "metrics.unavailable", error:% = error; "metrics are not served"),
    }
    let document = Rc::clone(node);
    Ok(async move {
        http::serve(calls, move |_peer, _request| {
            let body: Bytes = document.config.document();
            async move { http::response(StatusCode::OK, "application/octet-stream", body) }
        })
        .await;
        Ok(())
    })
}

async fn tick(node: &Rc<Node>) {
    let mut next = Instant::now();
    let mut count = 0_u64;
    while !node.termination.is_requested() {
        next += TICK;
        time::sleep_until(next).await;
        let now = Instant::now();
        if now > next + STALL {
            log::warn!(event = "node.stalled", ms = millis(now - next); "the process stood still");
            node.members.borrow_mut().extend_deadlines(now);
            next = now;
        }
        count += 1;
        step(node, count, now);
        reload::tick(node, count);
    }
}

fn step(node: &Rc<Node>, count: u64, now: Instant) {
    let gone = node.members.borrow_mut().expire(now);
    for ip in &gone {
        log::info!(event = "member.gone", node:% = ip; "node dropped");
    }
    agent::decide(node, &[], |agent, members, out| {
        agent.remove_nodes(&gone);
        agent.tick(members, now, out);
    });
    if let State::Balancer(balancer) = &mut *node.state.borrow_mut()
        && count.is_multiple_of(REPORT_TICKS)
    {
        balancer.expire(now);
    }
    let life = node.life(now);
    // A change was reported at once; this repeats it in case that report was lost.
    let changed = node.last_life.replace(life) != life;
    if changed || count.is_multiple_of(REPORT_TICKS) {
        node.report_to(|_role| true);
    } else if node.settings.role() == Role::Agent && count.is_multiple_of(LOAD_TICKS) {
        node.report_to(|role| role == Role::Balancer);
    }
    node.flush();
}

/// Stops without cutting flows: an agent hands new flows to its siblings, a balancer forwards until the clients' packets
/// come another way.
async fn stop(node: &Rc<Node>) {
    let stop_at = Instant::now() + node.live.borrow().stop_timeout();
    log::info!(event = "node.stopping"; "stop requested");
    if let State::Agent(agent) = &mut *node.state.borrow_mut() {
        agent.stop();
    }
    let mut count = 0;
    loop {
        let now = Instant::now();
        count += 1;
        step(node, count, now);
        let done = now >= stop_at || agent::may_stop(node, count);
        if done {
            break;
        }
        time::sleep_until(now + TICK).await;
    }
    node.report_to(|_role| true);
    membership::withdraw(node).await;
    log::info!(event = "node.stopped"; "node stopped");
}

fn unix_ms() -> u64 {
    millis(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default())
}

/// Counts and logs bytes that cannot be used.
pub(super) fn reject(from: Ipv4Addr, reason: &str) {
    metrics::counter!("dogwoodpitch_malformed_total").increment(1);
    log::warn!(event = "input.rejected", from:% = from, reason; "input cannot be used");
}

/// Whole milliseconds of a time.
pub(super) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Longest packet of a flow in bytes.
const MAX_PACKET: usize = 1_236;
const _: () = assert!(steer::HEADER_LEN + MAX_PACKET <= MAX_DATAGRAM);
