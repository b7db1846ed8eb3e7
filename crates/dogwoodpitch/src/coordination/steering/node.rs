//! The running node: sockets, reports, messages and shutdown, common to both roles.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeSet, HashMap},
    io,
    net::{Ipv4Addr, SocketAddrV4},
    rc::Rc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use ciborium::Value;
use hyper::StatusCode;
use monoio::net::TcpListener;

use crate::{
    coordination::steering::{Platform, Settings, agent, balancer, config, era, membership, spawn_critical, ticks},
    protocol::steer::{self, Header, Kind, Message},
    state::{
        roster::Role,
        steering::{
            agent::{Agent, Identity, Note},
            announcement::Lease,
            balancer::Balancer,
            discovery,
            era::Era,
            member::{Change, Member, Members},
            report::{Load, Report, Stance},
            route::Table,
            segment::Flow,
            view::View,
        },
    },
    transport::{
        http,
        metric::Recorder,
        notify::Notify,
        signal::{Reload, Termination},
        udp::{MAX_DATAGRAM, Socket},
    },
};

/// Time without a tick or a packet after which packets may have waited in the sockets for so long that clients have sent
/// copies of their SYNs, which they do after 200 ms.
const STALL_THRESHOLD: Duration = Duration::from_millis(180);

/// Maximum number of rejected entries that are logged.
const MAX_REJECTED_ENTRIES: usize = 64;

/// State of the node's role.
#[derive(Debug)]
pub(super) enum State {
    /// Balancer.
    Balancer(Balancer),
    /// Agent.
    Agent(Box<Agent>),
}

/// The part of a node's state whose changes are reported immediately.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Life {
    /// Use for which the node is available.
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
    /// What is known of the store.
    pub(super) view: RefCell<View>,
    pub(super) era_changed: Notify,
    /// Era of the first list of nodes that this process has read after its announcement.
    pub(super) first_listed_in: Cell<Option<Era>>,
    pub(super) frames: Socket,
    /// Packets of clients at a balancer, of the backend server at an agent.
    pub(super) packets: Socket,
    pub(super) termination: Termination,
    pub(super) reload: Reload,
    /// Settings as last reloaded. The identity and the sockets keep those of `settings`.
    pub(super) live_settings: RefCell<Settings>,
    /// SYN packets queued at an agent, by flow.
    pub(super) held_syns: RefCell<HashMap<Flow, Vec<u8>>>,
    pub(super) lease: Cell<Option<Lease>>,
    /// Time of the first packet delivered to the backend server since its last packet.
    pub(super) unanswered_since: Cell<Option<Instant>>,
    /// Reasons for which entries were rejected and logged.
    rejected_entries: RefCell<BTreeSet<String>>,
    incarnation: u64,
    reports: Cell<u64>,
    /// Value at the last tick.
    pub(super) last_life: Cell<Life>,
    /// Time of the last tick or packet.
    active_at: Cell<Instant>,
}

/// Runs a node until it receives a stop request.
pub async fn run(settings: Settings, platform: Platform) -> io::Result<()> {
    let recorder = Recorder::open();
    let node = Node::open(settings, platform)?;
    log::info!(
        event = "node.started", ip:% = node.settings.ip, incarnation = node.incarnation;
        "node started"
    );
    spawn_critical("frames", receive_frames(Rc::clone(&node)));
    spawn_critical("pages", serve_http(&node, recorder)?);
    monoio::spawn(config::watch_config(Rc::clone(&node)));
    monoio::spawn(membership::maintain_membership(Rc::clone(&node)));
    match node.settings.role() {
        Role::Balancer => spawn_critical("packets", balancer::receive(Rc::clone(&node))),
        Role::Agent => agent::spawn(&node)?,
    }
    ticks::run(&node).await;
    ticks::shut_down(&node).await;
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
            live_settings: RefCell::new(settings.clone()),
            state: RefCell::new(state),
            members: RefCell::default(),
            config: config::Config::default(),
            view: RefCell::default(),
            era_changed: Notify::default(),
            first_listed_in: Cell::new(None),
            held_syns: RefCell::default(),
            lease: Cell::new(None),
            unanswered_since: Cell::new(None),
            rejected_entries: RefCell::default(),
            incarnation: rand::random(),
            reports: Cell::new(0),
            last_life: Cell::new(Life {
                stance: Stance::Joining,
                vacant: false,
            }),
            active_at: Cell::new(now),
            settings,
            platform,
        }))
    }

    /// Detects a stall of this process. Called at each tick, and before a packet is handled, because packets that have waited
    /// in a socket may be handled before the next tick.
    pub(super) fn detect_stall(&self, now: Instant) {
        let active_at = self.active_at.replace(now);
        if now.saturating_duration_since(active_at) > STALL_THRESHOLD {
            self.handle_stall(now);
        }
    }

    pub(super) fn handle_stall(&self, now: Instant) {
        if let State::Balancer(balancer) = &mut *self.state.borrow_mut() {
            balancer.handle_stall(now);
        }
    }

    /// Routes in force.
    pub(super) fn routes(&self) -> Rc<Table> {
        self.config.routes()
    }

    /// Use for which this node is available.
    pub(super) fn stance(&self, now: Instant) -> Stance {
        match &*self.state.borrow() {
            State::Balancer(_) => Stance::Open,
            State::Agent(agent) => agent.stance(now),
        }
    }

    /// Current stance and vacancy.
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

    /// Builds a report of this node with the next number. A `greeting` asks the receiver for a report in return.
    pub(super) fn build_report(&self, greeting: bool) -> Report {
        let now = Instant::now();
        let load = match &*self.state.borrow() {
            State::Balancer(_) => Load::default(),
            State::Agent(agent) => agent.load(now),
        };
        self.reports.set(self.reports.get() + 1);
        let report = Report {
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
            confirmed: self.config.freshness().reported_age(now),
            evacuations: None,
            era: None,
            recovery: None,
        };
        self.view.borrow().report(report, now)
    }

    /// Queues a frame, which is sent by [`Node::flush`] at the latest.
    pub(super) fn send(&self, to: Ipv4Addr, header: &Header, payload: &[u8]) {
        let to = SocketAddrV4::new(to, self.settings.port);
        self.frames.send(to, &header.encode(), payload);
    }

    /// Queues a message to a node. Does nothing if the address is unspecified.
    pub(super) fn send_message(&self, to: Ipv4Addr, message: &Message) {
        if !to.is_unspecified() {
            self.send(to, &Header::message(self.routes().version), &steer::encode(message));
        }
    }

    /// Sends all queued frames and packets.
    pub(super) fn flush(&self) {
        self.frames.flush();
        self.packets.flush();
    }

    /// Queues a packet to a client.
    pub(super) fn send_to_client(&self, client: Ipv4Addr, packet: &[u8]) {
        let to = SocketAddrV4::new(client, self.settings.packets.port());
        self.packets.send(to, &[], packet);
    }

    /// Sends a report to all nodes that match the predicate.
    pub(super) fn send_report_to(&self, matches: impl Fn(&Member) -> bool) {
        let members = self.members.borrow();
        let receivers: Vec<_> = members
            .iter()
            .filter(|member| matches(member))
            .map(|member| member.ip)
            .collect();
        drop(members);
        if receivers.is_empty() {
            return;
        }
        let report = steer::encode(&Message::Report(self.build_report(false)));
        let header = Header::message(self.routes().version);
        for ip in receivers {
            self.send(ip, &header, &report);
        }
        self.flush();
    }

    /// Asks nodes for the lists of nodes that they know.
    pub(super) fn request_node_lists(&self, nodes: impl IntoIterator<Item = Ipv4Addr>) {
        for ip in nodes {
            if ip != self.settings.ip {
                self.send_message(ip, &Message::Discovery);
            }
        }
        self.flush();
    }

    /// Sends greetings, which ask the receivers for a report.
    pub(super) fn send_greetings(&self, nodes: impl IntoIterator<Item = Ipv4Addr>) {
        let report = Message::Report(self.build_report(true));
        for ip in nodes {
            if ip != self.settings.ip {
                self.send_message(ip, &report);
            }
        }
        self.flush();
    }

    fn handle_frame(self: &Rc<Self>, from: Ipv4Addr, frame: &[u8]) {
        let Some((header, payload)) = Header::decode(frame) else {
            reject(from, "frame is malformed");
            return;
        };
        if header.kind != Kind::Message {
            agent::handle_client_frame(self, from, &header, payload);
            return;
        }
        match steer::decode(payload) {
            Ok(Message::Report(report)) => self.handle_report(from, report),
            Ok(Message::Note(note)) => self.handle_note(from, note),
            Ok(Message::Discovery) => self.reply(from, discovery::Message::NodeListRequest, false),
            Ok(Message::Nodes(nodes)) => self.handle_node_list(&nodes),
            Err(error) => reject(from, &error.to_string()),
        }
    }

    fn handle_node_list(&self, nodes: &[Value]) {
        let mut others = Vec::new();
        for node in nodes {
            match steer::decode_node(node) {
                Ok((ip, report)) if ip != self.settings.ip => others.push((ip, report)),
                Ok(_) => {}
                Err(reason) => self.reject_entry(&reason),
            }
        }
        let added = self.members.borrow_mut().add_listed(others, Instant::now());
        self.send_greetings(added);
    }

    /// Counts an entry that could not be decoded, and logs it the first time. Lists with such an entry are read again and
    /// again.
    pub(super) fn reject_entry(&self, reason: &str) {
        metrics::counter!("dogwoodpitch_malformed_total").increment(1);
        if self.is_first_rejection(reason) {
            log::warn!(event = "input.rejected", from:% = self.settings.ip, reason; "invalid entry left out");
        }
    }

    /// Whether something is rejected for this reason for the first time, so that it is logged.
    pub(super) fn is_first_rejection(&self, reason: &str) -> bool {
        let mut rejected = self.rejected_entries.borrow_mut();
        rejected.len() < MAX_REJECTED_ENTRIES && rejected.insert(reason.to_owned())
    }

    fn handle_report(self: &Rc<Self>, from: Ipv4Addr, report: Report) {
        let now = Instant::now();
        let knows_era = era::record_report(self, from, &report);
        let (version, confirmed, stance) = (report.version, report.confirmed, report.stance);
        let message = if report.greeting {
            discovery::Message::ReportRequest
        } else {
            discovery::Message::Report
        };
        let change = self.members.borrow_mut().record_report(from, report, now);
        if let Change::New { was_draining } = change {
            log::info!(
                event = "member.heard", node:% = from, stance:? = stance, was_draining;
                "first report of a node or of its new process"
            );
            if was_draining {
                self.send_message(from, &Message::Note(Note::WasDraining));
            }
            agent::update_agent(self, &[], |agent, _, out| agent.handle_peer_restart(from, out));
        }
        self.reply(from, message, matches!(change, Change::New { .. }));
        let confirmed = confirmed.filter(|_| knows_era && change != Change::Stale);
        config::handle_reported_version(self, from, version, confirmed, now);
    }

    fn reply(&self, to: Ipv4Addr, message: discovery::Message, new: bool) {
        match discovery::reply(message, new) {
            Some(discovery::Message::NodeList) => self.send_node_list(to),
            Some(_) => self.send_message(to, &Message::Report(self.build_report(false))),
            None => {}
        }
    }

    /// Sends a node the reports of all other nodes that have reported to this one.
    fn send_node_list(&self, to: Ipv4Addr) {
        let members = self.members.borrow();
        let nodes: Vec<_> = members
            .iter()
            .filter(|member| member.ip != to && member.heard)
            .map(|member| steer::encode_node(member.ip, &member.report))
            .collect();
        for nodes in nodes.chunks(steer::MAX_NODES_PER_MESSAGE) {
            self.send_message(to, &Message::Nodes(nodes.to_vec()));
        }
    }

    fn handle_note(self: &Rc<Self>, from: Ipv4Addr, note: Note) {
        let now = Instant::now();
        if self.settings.role() == Role::Balancer {
            balancer::handle_note(self, from, &note, now);
            return;
        }
        agent::update_agent(self, &[], |agent, _, out| agent.handle_note(from, note, now, out));
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
        node.frames
            .recv(|from, frame| node.handle_frame(*from.ip(), frame))
            .await?;
        node.flush();
    }
}

/// Serves the readiness endpoint, the metrics, and the configuration for other nodes.
fn serve_http(node: &Rc<Node>, recorder: Recorder) -> io::Result<impl Future<Output = io::Result<()>> + use<>> {
    let ready = TcpListener::bind(node.settings.ready)?;
    let calls = TcpListener::bind(SocketAddrV4::new(node.settings.ip, node.settings.port))?;
    let readiness = Rc::clone(node);
    monoio::spawn(http::serve(ready, http::IDLE_TIMEOUT, move |_peer, _request| {
        // A node that serves the other routes stays in rotation.
        let (status, body) = if readiness.is_ready() {
            (StatusCode::OK, readiness.routes().problems())
        } else {
            (StatusCode::SERVICE_UNAVAILABLE, String::new())
        };
        async move { http::response(status, "text/plain", body) }
    }));
    match TcpListener::bind(node.settings.metrics()) {
        Ok(metrics) => {
            monoio::spawn(http::serve(metrics, http::IDLE_TIMEOUT, move |_peer, _request| {
                let text = recorder.render();
                async move { http::response(StatusCode::OK, "text/plain; version=0.0.4", text) }
            }));
        }
        // A node without a metrics endpoint still serves clients.
        Err(error) => log::warn!(event = "metrics.unavailable", error:% = error; "metrics are not served"),
    }
    let pulled = Rc::clone(node);
    Ok(async move {
        http::serve(calls, http::IDLE_TIMEOUT, move |_peer, _request| {
            let body: Bytes = pulled.config.document();
            async move { http::response(StatusCode::OK, "application/octet-stream", body) }
        })
        .await;
        Ok(())
    })
}

fn unix_ms() -> u64 {
    millis(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default())
}

/// Counts and logs invalid input.
pub(super) fn reject(from: Ipv4Addr, reason: &str) {
    metrics::counter!("dogwoodpitch_malformed_total").increment(1);
    log::warn!(event = "input.rejected", from:% = from, reason; "invalid input ignored");
}

/// Whole milliseconds of a duration.
pub(super) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Longest packet of a flow in bytes; with a frame header it has to fit into a datagram.
const MAX_PACKET_LEN: usize = 1_236;
const _: () = assert!(steer::HEADER_LEN + MAX_PACKET_LEN <= MAX_DATAGRAM);
