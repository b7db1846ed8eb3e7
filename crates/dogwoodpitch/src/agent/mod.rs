//! Agent: terminates the callers' QUIC connections next to a backend server and runs their requests.

pub mod backend;
pub mod drain;
pub mod flow;
pub mod return_path;

mod feed;
mod handover;
mod request;
mod stream;

use std::{
    cell::Cell,
    collections::HashMap,
    fmt,
    future::poll_fn,
    io,
    rc::Rc,
    task::{Poll, Waker},
    time::{Duration, Instant},
};

use metrics::{counter, gauge};
use rand::{RngExt, seq::IteratorRandom};

use crate::{
    coordination::{admission::Controller, config::Replica, exchange::Exchange, peer, status},
    protocol::{
        cid::Codec,
        datagram::{Header, Kind},
        peer::{Digest, Report},
        request as message, settings,
    },
    state::{roster::Role, service::Id},
    transport::{metric::Recorder, signal::Termination, time, udp::Channel},
};

/// Interval at which the agent re-evaluates its drain state, its load and its gauges.
const STATE_INTERVAL: Duration = Duration::from_millis(100);
/// Time from one state check to the next above which the process counts as paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);
/// Interval between polls of `/health` and `/load` of the backend server.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between probes. Only a few balancers are probed each time: probing all of them would be 610 probes a second.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Balancers probed per interval.
const PROBES_PER_INTERVAL: usize = 3;
/// How long the backend server must be unreachable before callers are asked to move their open flows. A short outage
/// must not move thousands of flows.
const UNREACHABLE_MOVE_DELAY: Duration = Duration::from_secs(1);
/// Minimum duration of a graceful stop. New flows keep arriving until the other nodes know that this agent drains, and
/// it redirects them meanwhile.
const MIN_STOP_TIME: Duration = Duration::from_secs(3);

/// State of a running agent.
pub(crate) struct Agent {
    settings: settings::Agent,
    incarnation: u32,
    codec: Codec,
    replica: Replica,
    controller: Controller,
    exchange: Exchange,
    channel: Channel,
    flush: Flush,
    balancers: return_path::Balancers,
    backend: backend::Client,
    flows: flow::Flows,
    stopping: Cell<bool>,
    /// Number of requests being processed.
    running: Cell<usize>,
    /// Whether an offer of a queued request to a peer is in progress.
    offering: Cell<bool>,
}

/// Requests a flush of the buffered frames after the currently runnable tasks have run, so that their frames are sent in
/// one batch.
#[derive(Default)]
struct Flush {
    requested: Cell<bool>,
    waker: Cell<Option<Waker>>,
}

impl Flush {
    fn request(&self) {
        self.requested.set(true);
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    async fn requested(&self) {
        poll_fn(|cx| {
            if self.requested.replace(false) {
                return Poll::Ready(());
            }
            self.waker.set(Some(cx.waker().clone()));
            Poll::Pending
        })
        .await;
    }
}

impl Agent {
    /// Why the backend server of this agent gets no new work of a service.
    fn drain_reason(&self, service: Id) -> Option<drain::Reason> {
        if let Some(reason) = self.drain_reason_of_all() {
            return Some(reason);
        }
        let name = self.flows.name(service)?;
        let selected = self.replica.snapshot().selects(&name, &self.settings.node.name);
        (!selected).then_some(drain::Reason::NotSelected)
    }

    /// Whether another agent of the service has recently reported its load.
    fn has_live_peer(&self, service: Id) -> bool {
        let Some(name) = self.flows.name(service) else {
            return false;
        };
        let snapshot = self.replica.snapshot();
        let own = &self.settings.node.name;
        let mut agents = snapshot.agents(&name);
        agents.any(|node| node.name != *own && self.exchange.is_alive(node))
    }

    /// Why the backend server gets no new work of any service.
    fn drain_reason_of_all(&self) -> Option<drain::Reason> {
        if self.stopping.get() {
            Some(drain::Reason::Stop)
        } else if self.backend.is_unreachable() {
            Some(drain::Reason::Unreachable)
        } else if self.backend.is_draining(Instant::now()) {
            Some(drain::Reason::Backend)
        } else {
            None
        }
    }
}

/// Checks that the certificates and keys in the settings are usable.
pub fn check(settings: &settings::Agent) -> Result<(), flow::Error> {
    let certificates = settings.certificates.iter();
    certificates
        .map(|certificate| flow::server_config(certificate, &settings.token.0))
        .try_for_each(|config| config.map(drop))
}

/// Runs an agent until SIGTERM, followed by a graceful stop.
pub async fn run(settings: settings::Agent) -> io::Result<()> {
    let termination = Termination::open()?;
    let node = &settings.node;
    let channel =
        Channel::bind(node.datagram, node.keys.frame()).map_err(bind_error("node.datagram", node.datagram))?;
    let replica = Replica::spawn(node, Role::Agent, time::new_incarnation(), channel.clone());
    let running = Handle::open(settings, &replica, channel)?;
    termination.requested().await;
    running.stop().await;
    Ok(())
}

fn bind_error<A: fmt::Display>(field: &'static str, address: A) -> impl Fn(io::Error) -> io::Error {
    move |error| io::Error::new(error.kind(), format!("field `{field}`: bind {address}: {error}"))
}

/// A running agent.
#[derive(Clone)]
pub struct Handle(Rc<Agent>);

impl fmt::Debug for Handle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Handle").field(&self.0.settings.node.name).finish()
    }
}

impl Handle {
    /// Starts an agent on an existing configuration replica and frame channel.
    pub fn open(settings: settings::Agent, replica: &Replica, channel: Channel) -> io::Result<Self> {
        let incarnation = replica.local_node().incarnation;
        let backend = &settings.backend;
        let controller = Controller::new(backend.slots, backend.connections, incarnation, settings.policy);
        let cluster = settings.node.keys.cluster.0;
        let exchange = Exchange::spawn(replica, controller.clone(), channel.clone(), cluster, settings.policy);
        let agent = Rc::new(Agent {
            incarnation,
            codec: settings.node.keys.codec(),
            replica: replica.clone(),
            controller,
            exchange,
            channel,
            flush: Flush::default(),
            balancers: return_path::Balancers::default(),
            backend: backend::Client::new(backend.address),
            flows: flow::Flows::default(),
            stopping: Cell::default(),
            running: Cell::default(),
            offering: Cell::default(),
            settings,
        });
        let node = &agent.settings.node;
        let draining = status::Draining::default();
        status::serve(replica, Recorder::open(), Rc::clone(&draining), status_fields(&agent))
            .map_err(bind_error("node.http", node.http))?;
        let serving = Rc::clone(&agent);
        peer::listen(replica, cluster, move |link, message| {
            handover::serve(Rc::clone(&serving), link, message)
        })
        .map_err(bind_error("node.peer", node.peer))?;
        monoio::spawn(follow_config(Rc::clone(&agent)));
        monoio::spawn(receive(Rc::clone(&agent)));
        monoio::spawn(flush(Rc::clone(&agent)));
        monoio::spawn(poll_backend(Rc::clone(&agent)));
        monoio::spawn(probe(Rc::clone(&agent)));
        monoio::spawn(monitor(Rc::clone(&agent), draining));
        log::info!(
            event = "agent.started", node = node.name, incarnation = incarnation, datagram:% = node.datagram,
            backend:% = agent.settings.backend.address; "agent started"
        );
        Ok(Self(agent))
    }

    /// Stops gracefully: refuses new work and waits until all callers have left and all requests have finished, or until
    /// the stop deadline.
    pub async fn stop(self) {
        stop(&self.0).await;
    }

    /// Number of connections that are not fully closed yet.
    pub fn connections(&self) -> usize {
        self.0.flows.connections()
    }
}

/// Refuses new work, then waits until all callers have left and all requests have finished, or until the stop deadline.
async fn stop(agent: &Agent) {
    let now = Instant::now();
    let timeout = Duration::from_millis(agent.settings.node.stop_timeout_ms.into());
    let (earliest, deadline) = (now + MIN_STOP_TIME.min(timeout), now + timeout);
    agent.stopping.set(true);
    log::info!(
        event = "agent.stopping", connections = agent.flows.connections(), running = agent.running.get();
        "agent is stopping"
    );
    loop {
        let now = Instant::now();
        let idle = agent.flows.connections() == 0 && agent.running.get() == 0;
        if now >= deadline || (idle && now >= earliest) {
            break;
        }
        monoio::time::sleep(STATE_INTERVAL).await;
    }
    log::info!(
        event = "agent.stopped", connections = agent.flows.connections(), running = agent.running.get();
        "agent stopped"
    );
    agent.flows.close("agent stopped");
    monoio::time::sleep(flow::CLOSE_FLUSH_TIME).await;
}

fn status_fields(agent: &Rc<Agent>) -> impl Fn() -> serde_json::Value + 'static {
    let agent = Rc::clone(agent);
    move || {
        let load = agent.controller.current_load();
        serde_json::json!({
            "connections": agent.flows.connections(),
            "slots": load.slots,
            "busy_slots": load.busy,
            "long_slots": load.long,
            "queue": load.queued,
            "running": agent.running.get(),
            "balancers": agent.balancers.live_count(Instant::now()),
        })
    }
}

async fn follow_config(agent: Rc<Agent>) {
    let mut snapshot = agent.replica.snapshot();
    loop {
        agent.update_listeners();
        snapshot = agent.replica.changed(&snapshot).await;
    }
}

async fn receive(agent: Rc<Agent>) {
    loop {
        let received = agent
            .channel
            .recv(|from, header, payload| {
                let now = Instant::now();
                match header.kind {
                    Kind::Forward => {
                        agent.balancers.record_balancer(from, now);
                        agent.receive_packet(from, &header, payload);
                    }
                    Kind::ProbeReply => agent.balancers.record_balancer(from, now),
                    Kind::Probe => {
                        agent.balancers.record_known(from, now);
                        agent.channel.send(from, &Header::control(Kind::ProbeReply), payload);
                        agent.flush.request();
                    }
                    Kind::Digest => {
                        agent.balancers.record_known(from, now);
                        match message::parse::<Digest>(payload) {
                            Ok(digest) => agent.replica.receive_digest(from, &digest),
                            Err(_) => count_malformed("digest"),
                        }
                    }
                    Kind::Load => match message::parse::<Report>(payload) {
                        Ok(report) => agent.exchange.receive_load(&report),
                        Err(_) => count_malformed("load"),
                    },
                    Kind::Return => count_malformed("return"),
                }
            })
            .await;
        if let Err(error) = received {
            log::warn!(event = "port.receive_failed", error:% = error; "cannot receive frames");
            monoio::time::sleep(STATE_INTERVAL).await;
        }
    }
}

fn count_malformed(kind: &'static str) {
    counter!("dogwoodpitch_agent_frames_refused_total", "kind" => kind).increment(1);
}

async fn flush(agent: Rc<Agent>) {
    loop {
        agent.flush.requested().await;
        agent.channel.flush();
    }
}

async fn poll_backend(agent: Rc<Agent>) {
    loop {
        let next = Instant::now() + POLL_INTERVAL;
        agent.backend.poll().await;
        time::sleep_until(next).await;
    }
}

/// Probes a few balancers, so that live ones are known when the balancer of a flow goes silent.
async fn probe(agent: Rc<Agent>) {
    loop {
        let snapshot = agent.replica.snapshot();
        let balancers = snapshot.roster.with_role(Role::Balancer);
        let payload: [u8; 8] = rand::rng().random();
        for node in balancers.sample(&mut rand::rng(), PROBES_PER_INTERVAL) {
            agent
                .channel
                .send(node.datagram, &Header::control(Kind::Probe), &payload);
        }
        agent.channel.flush();
        monoio::time::sleep(PROBE_INTERVAL).await;
    }
}

/// Monitors the agent's own state: detects drains and process pauses, and updates the gauges.
async fn monitor(agent: Rc<Agent>, draining: status::Draining) {
    let mut notified: HashMap<Id, drain::Reason> = HashMap::new();
    let mut unreachable_since: Option<Instant> = None;
    let mut logged = None;
    loop {
        let before = Instant::now();
        monoio::time::sleep(STATE_INTERVAL).await;
        let now = Instant::now();
        let gap = now.saturating_duration_since(before);
        if gap > PAUSE_THRESHOLD {
            log::warn!(event = "agent.frozen", ms = gap.as_millis(); "process was paused; discarding the load reports of peers");
            counter!("dogwoodpitch_agent_frozen_total").increment(1);
            agent.exchange.discard_loads();
        }
        agent.balancers.prune(now);
        let reason = agent.drain_reason_of_all();
        if reason != logged {
            let text = reason.map_or_else(|| "none".to_owned(), |reason| reason.to_string());
            log::info!(event = "drain.changed", reason = text, revision = agent.replica.snapshot().revision; "drain state changed");
            logged = reason;
        }
        draining.set(reason.is_some());
        agent.controller.set_draining(reason.is_some());
        let connections = u32::try_from(agent.flows.connections()).unwrap_or(u32::MAX);
        agent.controller.set_connections(connections);
        gauge!("dogwoodpitch_agent_connections").set(f64::from(connections));
        let load = agent.controller.current_load();
        gauge!("dogwoodpitch_agent_slots_busy").set(f64::from(load.busy));
        gauge!("dogwoodpitch_agent_queue").set(f64::from(load.queued));
        if reason == Some(drain::Reason::Unreachable) {
            unreachable_since.get_or_insert(now);
        } else {
            unreachable_since = None;
        }
        let may_notify =
            unreachable_since.is_none_or(|since| now.saturating_duration_since(since) >= UNREACHABLE_MOVE_DELAY);
        for service in agent.flows.services() {
            match agent.drain_reason(service) {
                Some(reason) if may_notify => {
                    notified.insert(service, reason);
                    monoio::spawn(drain::notify_callers(Rc::clone(&agent), service, reason));
                }
                Some(_) => {}
                None => {
                    if notified.remove(&service).is_some() {
                        agent.flows.reset_notified(service);
                    }
                }
            }
        }
    }
}
