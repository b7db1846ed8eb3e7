//! Load exchange among the agents of a service, placement of flows and requests by it, and hand-over of requests to peers.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet, HashMap},
    io,
    net::SocketAddr,
    rc::{Rc, Weak},
    time::{Duration, Instant},
};

use bytes::Bytes;

use crate::{
    coordination::{admission::Controller, config::Replica},
    protocol::{
        cid::Target,
        code::Code,
        datagram::{Header, Kind},
        peer::{Message, Report},
        request::{self, Head, Reply},
        settings::Policy,
    },
    state::{
        config::Snapshot,
        load::Load,
        placement::{self, Candidate, Choice, Offload, Pending, Table, Usage},
        roster::Node,
        service::Id,
    },
    transport::{time, udp::Channel, websocket::Link},
};

/// Shortest interval between load reports, and the interval of periodic work.
const MIN_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between reports while the load changes constantly. A report has about 112 bytes with all headers, so reports to
/// and from 7 peers take 3.1 KB/s of the 4 KB/s for control traffic.
const CHANGED_INTERVAL: Duration = Duration::from_millis(500);
/// Refill of the token bucket for urgent reports per [`MIN_INTERVAL`]: two reports per second on average.
const TOKENS_PER_TICK: f64 = 0.5;
/// Size of the token bucket: reports that may be sent in a burst when slots run out or become free again.
const MAX_TOKENS: f64 = 4.0;
/// Longest interval between reports; half of the time for which a report is valid.
const MAX_INTERVAL: Duration = Duration::from_secs(1);
/// How long reports are ignored after a pause of this process: the socket still holds frames from before it.
const IGNORE_AFTER_PAUSE: Duration = Duration::from_millis(100);
/// Timeout for connecting to a peer and its reply to an offer.
const OFFER_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of links to one peer, idle or in use. A peer admits no more requests than it has slots.
const MAX_LINKS: usize = 32;
/// How long an idle link is kept.
const MAX_IDLE: Duration = Duration::from_secs(30);

/// Running load exchange of one agent.
#[derive(Debug, Clone)]
pub struct Exchange(Rc<Inner>);

#[derive(Debug)]
struct Inner {
    replica: Replica,
    controller: Controller,
    channel: Channel,
    key: [u8; 32],
    policy: Policy,
    round_robin_index: Cell<usize>,
    table: RefCell<Table>,
    local_flows: RefCell<Pending>,
    local_usage: Cell<Usage>,
    excess: RefCell<HashMap<Id, Offload>>,
    reported: Cell<Load>,
    reported_at: Cell<Instant>,
    tokens: Cell<f64>,
    view: RefCell<Rc<View>>,
    pools: RefCell<HashMap<SocketAddr, Pool>>,
    last_tick: Cell<Instant>,
    ignore_until: Cell<Option<Instant>>,
}

/// Agents that are relevant to this one in one version of the configuration.
#[derive(Debug)]
struct View {
    snapshot: Rc<Snapshot>,
    /// Agents that share a service with this one, without it.
    peers: Vec<Node>,
    /// Agents by service, filled on demand.
    services: RefCell<HashMap<Id, Rc<Vec<Node>>>>,
}

#[derive(Debug, Default)]
struct Pool {
    idle: Vec<(Link, Instant)>,
    in_use: usize,
}

/// Accounts for one offered request: a link in the pool and load of the peer, until it is dropped.
#[derive(Debug)]
struct Guard {
    exchange: Rc<Inner>,
    peer: SocketAddr,
    name: String,
    placed: Instant,
}

/// A request that a peer has admitted.
#[derive(Debug)]
pub struct Remote {
    /// Name of the peer.
    pub peer: String,
    link: Link,
    /// Whether the response has been read to its end, so that the link can carry another request.
    response_complete: bool,
    guard: Guard,
}

impl Exchange {
    /// Starts to exchange load reports with the agents of the same services.
    pub fn spawn(replica: &Replica, controller: Controller, channel: Channel, key: [u8; 32], policy: Policy) -> Self {
        let exchange = Self(Rc::new(Inner {
            replica: replica.clone(),
            reported: Cell::new(controller.current_load()),
            reported_at: Cell::new(Instant::now()),
            tokens: Cell::new(MAX_TOKENS),
            controller,
            channel,
            key,
            policy,
            round_robin_index: Cell::default(),
            table: RefCell::default(),
            local_flows: RefCell::default(),
            local_usage: Cell::default(),
            excess: RefCell::default(),
            view: RefCell::new(Rc::new(View::new(&replica.snapshot(), &replica.local_node().name))),
            pools: RefCell::default(),
            last_tick: Cell::new(Instant::now()),
            ignore_until: Cell::default(),
        }));
        let weak = Rc::downgrade(&exchange.0);
        monoio::spawn(async move {
            let mut last_full_report = None;
            while let Some(inner) = weak.upgrade() {
                let exchange = Self(inner);
                let now = Instant::now();
                exchange.check_pause(now);
                exchange.0.last_tick.set(now);
                exchange.tick(now, &mut last_full_report);
                drop(exchange);
                time::sleep_until(now + MIN_INTERVAL).await;
            }
        });
        monoio::spawn(report_to_new_peers(Rc::downgrade(&exchange.0), replica.clone()));
        exchange
    }

    /// Handles a `Load` frame.
    pub fn receive_load(&self, report: &Report) {
        let now = Instant::now();
        self.check_pause(now);
        if report.node == self.0.replica.local_node().name || self.0.ignore_until.get().is_some_and(|until| now < until)
        {
            return;
        }
        self.0.table.borrow_mut().record_report(&report.node, report.load, now);
    }

    /// Discards the loads of peers and closes idle links. Called after a pause of this process, because it cannot tell how
    /// old they are.
    pub fn discard_loads(&self) {
        let now = Instant::now();
        self.0.table.borrow_mut().clear();
        self.0
            .pools
            .borrow_mut()
            .values_mut()
            .for_each(|pool| pool.idle.clear());
        self.0.ignore_until.set(Some(now + IGNORE_AFTER_PAUSE));
        self.0.last_tick.set(now);
    }

    /// Whether a report of the agent has arrived recently. An entry in the roster does not prove that it is alive.
    pub fn is_alive(&self, node: &Node) -> bool {
        let table = self.0.table.borrow();
        table.load(&node.name, node.incarnation, Instant::now()).is_some()
    }

    /// Chooses the agent of a new flow, which may be this one. `None` if no agent of the service is known to be alive and to
    /// have a free connection.
    pub fn place_flow(&self, service: Id) -> Option<Target> {
        let now = Instant::now();
        self.check_pause(now);
        let view = self.view();
        let own = self.0.replica.local_node();
        let agents = view.agents(service);
        let mut nodes = Vec::new();
        let mut candidates = Vec::new();
        for node in agents.iter() {
            let candidate = if node.name == own.name {
                Some(self.local_candidate(now))
            } else {
                let near = node.data_centre == own.data_centre;
                let table = self.0.table.borrow();
                table.flow_candidate(&node.name, node.incarnation, near, now)
            };
            if let Some(candidate) = candidate {
                nodes.push(node);
                candidates.push(candidate);
            }
        }
        let choice = self.choose_flow(&candidates);
        let revision = view.snapshot.revision;
        let Some(Choice { index, reason }) = choice else {
            log::warn!(
                event = "flow.not_placed", service:% = service, alive = nodes.len(), revision = revision;
                "no agent for a new flow"
            );
            return None;
        };
        let node = nodes[index];
        let load = &candidates[index].load;
        log::info!(
            event = "flow.placed", service:% = service, agent = node.name.as_str(), reason = reason,
            connections = load.connections, recent = candidates[index].pending, alive = nodes.len(),
            revision = revision;
            "new flow placed"
        );
        if node.name == own.name {
            self.0.local_flows.borrow_mut().add(now);
        } else {
            self.0.table.borrow_mut().record_flow(&node.name, now);
        }
        Some(Target {
            service,
            agent: node.datagram,
            incarnation: load.incarnation,
        })
    }

    /// Chooses a peer that is likely to admit a request now.
    pub fn place_request(&self, service: Id, head: &Head) -> Option<Node> {
        let now = Instant::now();
        self.check_pause(now);
        let view = self.view();
        let (nodes, candidates) = self.request_candidates(&view, service, now);
        let own = self.0.controller.current_load();
        let rng = &mut rand::rng();
        let choice = match self.0.policy {
            // A feed takes a connection and no slot, as a flow does.
            Policy::Product if head.kind == request::Kind::Feed => placement::choose_for_flow(&candidates, rng),
            Policy::Product => {
                placement::choose_for_request(&own, &candidates, self.0.controller.is_long(service, head), rng)
            }
            Policy::Random | Policy::RoundRobin => None,
            Policy::LeastLoadStale => {
                let work = |load: &Load| u32::from(load.busy) + u32::from(load.queued);
                let own = work(&self.0.reported.get());
                let choice = placement::choose_least_loaded(&candidates, work, rng);
                choice.filter(|choice| work(&candidates[choice.index].load) < own)
            }
        };
        let Choice { index, reason } = choice?;
        Self::log_request(&view, service, head, &nodes[index], reason);
        Some(nodes[index].clone())
    }

    /// Chooses a peer for a request that could run here, if this agent is busier than its peers. Call it before
    /// [`Controller::try_acquire`]: otherwise agents without flows stay idle until the others are full.
    pub fn place_excess(&self, service: Id, head: &Head) -> Option<Node> {
        let now = Instant::now();
        if self.0.policy != Policy::Product || head.kind != request::Kind::Request {
            return None;
        }
        self.check_pause(now);
        let view = self.view();
        let share = self.0.excess.borrow_mut().entry(service).or_default().share();
        if share <= 0.0 || self.0.controller.is_long(service, head) {
            return None;
        }
        let (nodes, candidates) = self.request_candidates(&view, service, now);
        let mean = self.mean_busy(&candidates)?;
        let Choice { index, reason } = placement::choose_for_offload(share, &candidates, mean, &mut rand::rng())?;
        Self::log_request(&view, service, head, &nodes[index], reason);
        Some(nodes[index].clone())
    }

    /// Mean number of busy slots of this agent and its peers.
    fn mean_busy(&self, peers: &[Candidate]) -> Option<f64> {
        let own = self.0.local_usage.get().mean()?;
        let active = peers.iter().filter(|peer| !peer.load.draining);
        let busy: Vec<f64> = active.filter_map(|peer| peer.mean_busy).chain([own]).collect();
        let count = u32::try_from(busy.len()).ok()?;
        Some(busy.iter().sum::<f64>() / f64::from(count))
    }

    fn update_excess(&self, now: Instant) {
        let mut usage = self.0.local_usage.get();
        usage.record(self.0.controller.current_load().slot_ms, now);
        self.0.local_usage.set(usage);
        let Some(own) = usage.mean() else { return };
        let view = self.view();
        // The map only contains services that have had a request.
        self.0.excess.borrow_mut().retain(|service, excess| {
            let (_, candidates) = self.request_candidates(&view, *service, now);
            if let Some(mean) = self.mean_busy(&candidates) {
                excess.update(own, mean);
            }
            !candidates.is_empty()
        });
    }

    /// Offers a request to a peer. After an error the request was not run: only its head was sent, and the peer starts a
    /// request no earlier than the first chunk or the end of its body.
    pub async fn offer(
        &self,
        peer: SocketAddr,
        service: Id,
        caller: &str,
        head: &Head,
        deadline: Instant,
    ) -> Result<Remote, Reply> {
        let view = self.view();
        let node = view.peers.iter().find(|node| node.peer == peer);
        let name = node.map_or_else(|| peer.to_string(), |node| node.name.clone());
        // Boxed, because the future contains a handshake and would enlarge the futures of whole requests that contain it.
        let offered = Box::pin(self.offer_link(peer, &name, service, caller, head, deadline)).await;
        let (link, guard, message) = match offered {
            Ok(offered) => offered,
            Err(error) => {
                self.0.table.borrow_mut().record_failure(&name, Instant::now());
                log::info!(
                    event = "offer.failed", request:% = head.id, peer = name.as_str(), error:% = error;
                    "offer failed"
                );
                return Err(not_run(Code::NO_BACKEND, 0, format!("offer to {name}: {error}")));
            }
        };
        match message {
            Message::Admitted => Ok(Remote {
                peer: name,
                link,
                response_complete: false,
                guard,
            }),
            Message::Refused {
                code,
                retry_after_ms,
                load,
            } => {
                self.0.table.borrow_mut().record_refusal(&name, load, Instant::now());
                guard.return_link(link);
                log::info!(
                    event = "offer.refused", request:% = head.id, peer = name.as_str(), code:% = code,
                    busy = load.busy, queued = load.queued;
                    "offered request refused"
                );
                let code = if code.is_not_run() { code } else { Code::REFUSED };
                Err(not_run(code, retry_after_ms, format!("refused by {name}")))
            }
            _ => {
                self.0.table.borrow_mut().record_failure(&name, Instant::now());
                Err(not_run(
                    Code::NO_BACKEND,
                    0,
                    format!("offer to {name}: unexpected message"),
                ))
            }
        }
    }

    /// Returns the link of a finished request to the pool.
    pub fn release(&self, remote: Remote) {
        if remote.response_complete {
            remote.guard.return_link(remote.link);
        }
    }

    async fn offer_link(
        &self,
        peer: SocketAddr,
        name: &str,
        service: Id,
        caller: &str,
        head: &Head,
        deadline: Instant,
    ) -> io::Result<(Link, Guard, Message)> {
        let limit = deadline.min(Instant::now() + OFFER_TIMEOUT);
        let guard = self.reserve_link(peer, name)?;
        let mut pooled = guard.take_idle();
        loop {
            let from_pool = pooled.is_some();
            let mut link = match pooled.take() {
                Some(link) => link,
                None => Link::connect(peer, &self.0.key, &self.0.replica.local_node().name, limit).await?,
            };
            let time_left = deadline.saturating_duration_since(Instant::now());
            let run = Message::Run {
                service,
                caller: caller.to_owned(),
                head: Head {
                    timeout_ms: u32::try_from(time_left.as_millis()).unwrap_or(u32::MAX),
                    ..head.clone()
                },
            };
            let exchange = async {
                link.send(&run).await?;
                link.recv::<Message>().await
            };
            match time::timeout_at(limit, exchange).await {
                None => {
                    if from_pool {
                        guard.discard_idle();
                    }
                    return Err(io::ErrorKind::TimedOut.into());
                }
                Some(Ok(message)) => return Ok((link, guard, message)),
                // The peer may have closed an idle link, or is a new incarnation. Retrying is safe: the peer runs nothing
                // without a body, and the end of the link has cancelled the offer.
                Some(Err(_)) if from_pool => {}
                Some(Err(error)) => return Err(error),
            }
        }
    }

    fn reserve_link(&self, peer: SocketAddr, name: &str) -> io::Result<Guard> {
        let mut pools = self.0.pools.borrow_mut();
        let pool = pools.entry(peer).or_default();
        if pool.in_use >= MAX_LINKS {
            return Err(io::Error::other("all links are in use"));
        }
        pool.in_use += 1;
        let placed = Instant::now();
        self.0.table.borrow_mut().record_request(name, placed);
        Ok(Guard {
            exchange: Rc::clone(&self.0),
            peer,
            name: name.to_owned(),
            placed,
        })
    }

    fn local_candidate(&self, now: Instant) -> Candidate {
        let mut local_flows = self.0.local_flows.borrow_mut();
        local_flows.remove_reported_flows(now);
        Candidate {
            local: true,
            load: self.0.controller.current_load(),
            pending: local_flows.count(now),
            mean_busy: self.0.local_usage.get().mean(),
        }
    }

    fn choose_flow(&self, candidates: &[Candidate]) -> Option<Choice> {
        let rng = &mut rand::rng();
        match self.0.policy {
            Policy::Product => placement::choose_for_flow(candidates, rng),
            Policy::Random => placement::choose_random(candidates, rng),
            Policy::RoundRobin => {
                let round_robin_index = self.0.round_robin_index.get();
                self.0.round_robin_index.set(round_robin_index.wrapping_add(1));
                placement::choose_round_robin(candidates, round_robin_index)
            }
            Policy::LeastLoadStale => placement::choose_least_loaded(candidates, |load| load.connections, rng),
        }
    }

    fn request_candidates(&self, view: &View, service: Id, now: Instant) -> (Vec<Node>, Vec<Candidate>) {
        let own = self.0.replica.local_node();
        let table = self.0.table.borrow();
        let agents = view.agents(service);
        let candidates = agents.iter().filter(|node| node.name != own.name).filter_map(|node| {
            let near = node.data_centre == own.data_centre;
            let candidate = table.request_candidate(&node.name, node.incarnation, near, now)?;
            Some((node.clone(), candidate))
        });
        candidates.unzip()
    }

    fn log_request(view: &View, service: Id, head: &Head, node: &Node, reason: &str) {
        log::info!(
            event = "request.offered", request:% = head.id, service:% = service, agent = node.name.as_str(),
            reason = reason, revision = view.snapshot.revision;
            "request offered to a peer"
        );
    }

    /// Current view, rebuilt when the configuration has changed.
    fn view(&self) -> Rc<View> {
        let snapshot = self.0.replica.snapshot();
        let mut view = self.0.view.borrow_mut();
        if !Rc::ptr_eq(&view.snapshot, &snapshot) {
            *view = Rc::new(View::new(&snapshot, &self.0.replica.local_node().name));
        }
        Rc::clone(&view)
    }

    /// Discards the loads of peers if this process was paused for longer than a report is valid.
    fn check_pause(&self, now: Instant) {
        let silence = now.saturating_duration_since(self.0.last_tick.get());
        if silence > placement::REPORT_VALIDITY {
            log::warn!(
                event = "agent.resumed", silence_ms:? = silence.as_millis();
                "this process was paused; loads of peers discarded"
            );
            self.discard_loads();
        }
    }

    /// Whether a change of this agent's load is reported before [`MAX_INTERVAL`] has passed.
    fn should_report(&self, now: Instant) -> bool {
        let tokens = (self.0.tokens.get() + TOKENS_PER_TICK).min(MAX_TOKENS);
        self.0.tokens.set(tokens);
        let reported = self.0.reported.get();
        // Changes of these two are not worth a report: other users of the controller take sequence numbers too, and the
        // counter of busy time grows with every request.
        let current = Load {
            sequence: reported.sequence,
            slot_ms: reported.slot_ms,
            ..self.0.controller.current_load()
        };
        if current.draining != reported.draining {
            return true;
        }
        if current == reported || self.0.policy == Policy::LeastLoadStale {
            return false;
        }
        let urgent = (current.free_slots() == 0) != (reported.free_slots() == 0) && tokens >= 1.0;
        urgent || now.saturating_duration_since(self.0.reported_at.get()) >= CHANGED_INTERVAL
    }

    fn tick(&self, now: Instant, last_full_report: &mut Option<Instant>) {
        self.0.table.borrow_mut().evict_stale(now);
        self.update_excess(now);
        self.0.pools.borrow_mut().retain(|_, pool| {
            pool.idle
                .retain(|(_, since)| now.saturating_duration_since(*since) < MAX_IDLE);
            pool.in_use > 0 || !pool.idle.is_empty()
        });
        let due = last_full_report.is_none_or(|last| now.saturating_duration_since(last) >= MAX_INTERVAL);
        if !due && !self.should_report(now) {
            return;
        }
        if due {
            *last_full_report = Some(now);
        }
        self.0.reported_at.set(now);
        self.0.tokens.set(self.0.tokens.get() - 1.0);
        // Agents that are not known to be alive only get the regular reports, from which they learn of this agent.
        let report = self.report_to(|node| due || self.is_alive(node));
        self.0.reported.set(report);
    }

    /// Sends a report to the peers that match the predicate, and returns the reported load.
    fn report_to(&self, matches: impl Fn(&Node) -> bool) -> Load {
        let load = self.0.controller.next_load();
        let report = Report {
            node: self.0.replica.local_node().name.clone(),
            load,
        };
        let mut payload = Vec::new();
        ciborium::into_writer(&report, &mut payload).expect("writing CBOR to memory does not fail");
        let header = Header::control(Kind::Load);
        for node in self.view().peers.iter().filter(|node| matches(node)) {
            self.0.channel.send(node.datagram, &header, &payload);
        }
        self.0.channel.flush();
        load
    }
}

/// Reports immediately to agents that a configuration change makes peers. Until the next regular report, up to a second later,
/// each agent would otherwise keep all new flows of a service for itself.
async fn report_to_new_peers(exchange: Weak<Inner>, replica: Replica) {
    let mut known = replica.snapshot();
    let mut peers = BTreeSet::new();
    while let Some(inner) = exchange.upgrade() {
        let exchange = Exchange(inner);
        let current: BTreeSet<_> = exchange.view().peers.iter().map(|node| node.name.clone()).collect();
        if !current.is_subset(&peers) {
            exchange.report_to(|node| !peers.contains(&node.name));
        }
        peers = current;
        drop(exchange);
        known = replica.changed(&known).await;
    }
}

impl View {
    fn new(snapshot: &Rc<Snapshot>, own: &str) -> Self {
        let shared = snapshot
            .live_services()
            .filter(|service| snapshot.selects(&service.name, own));
        let agents = shared.flat_map(|service| snapshot.agents(&service.name));
        let peers: BTreeMap<&str, &Node> = agents.map(|node| (node.name.as_str(), node)).collect();
        Self {
            peers: peers.into_values().filter(|node| node.name != own).cloned().collect(),
            services: RefCell::default(),
            snapshot: Rc::clone(snapshot),
        }
    }

    fn agents(&self, service: Id) -> Rc<Vec<Node>> {
        let mut services = self.services.borrow_mut();
        let agents = services.entry(service).or_insert_with(|| {
            let service = self.snapshot.service_by_id(service);
            let agents = service.map(|service| self.snapshot.agents(&service.name).cloned().collect());
            Rc::new(agents.unwrap_or_default())
        });
        Rc::clone(agents)
    }
}

impl Guard {
    fn take_idle(&self) -> Option<Link> {
        let mut pools = self.exchange.pools.borrow_mut();
        Some(pools.get_mut(&self.peer)?.idle.pop()?.0)
    }

    /// Closes the idle links to the peer: what has made one of them silent may have reached all.
    fn discard_idle(&self) {
        if let Some(pool) = self.exchange.pools.borrow_mut().get_mut(&self.peer) {
            pool.idle.clear();
        }
    }

    fn return_link(self, link: Link) {
        let mut pools = self.exchange.pools.borrow_mut();
        if let Some(pool) = pools.get_mut(&self.peer)
            && pool.idle.len() + pool.in_use <= MAX_LINKS
        {
            pool.idle.push((link, Instant::now()));
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.exchange
            .table
            .borrow_mut()
            .record_request_end(&self.name, self.placed);
        if let Some(pool) = self.exchange.pools.borrow_mut().get_mut(&self.peer) {
            pool.in_use = pool.in_use.saturating_sub(1);
        }
    }
}

impl Remote {
    /// Sends a chunk of the body. After an error the outcome of the request is unknown.
    pub async fn send_body(&mut self, bytes: Bytes) -> io::Result<()> {
        self.link.send(&Message::Body(bytes)).await
    }

    /// Ends the body.
    pub async fn end_body(&mut self) -> io::Result<()> {
        self.link.send(&Message::BodyEnd).await
    }

    /// Receives the head of the response. After an error the outcome of the request is unknown.
    pub async fn recv_reply(&mut self) -> io::Result<Reply> {
        match self.link.recv().await? {
            Message::Reply(reply) => Ok(reply),
            _ => Err(io::ErrorKind::InvalidData.into()),
        }
    }

    /// Receives the next chunk of the response; `None` at its end.
    pub async fn recv_body(&mut self) -> io::Result<Option<Bytes>> {
        match self.link.recv().await? {
            Message::Body(bytes) => Ok(Some(bytes)),
            Message::End => {
                self.response_complete = true;
                Ok(None)
            }
            _ => Err(io::ErrorKind::InvalidData.into()),
        }
    }
}

fn not_run(code: Code, retry_after_ms: u32, detail: String) -> Reply {
    Reply {
        code,
        retry_after_ms,
        detail,
    }
}
