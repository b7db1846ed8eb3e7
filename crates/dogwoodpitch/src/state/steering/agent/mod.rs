//! Decisions of an agent: which packets to deliver to its backend server, and which peer holds any other flow.

mod effect;
mod established;
mod evacuation;
mod opening;
mod warming;

use std::{
    collections::{BTreeSet, HashMap},
    net::{Ipv4Addr, SocketAddrV4},
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;

pub use self::effect::{Effect, Hop, Note};
use self::{
    effect::{Origin, log, reset, send_note},
    established::reset_if_not_found,
};
use crate::state::steering::{
    admission::Queue,
    backend::{Backend, Heartbeat, Outcome, Phase, Refusal},
    coverage::{self, Coverage},
    evidence::{Evidence, Holding},
    member::{Member, Members, SUSPECT_AFTER},
    pointer::{self, Pointers},
    probe::Probes,
    rank,
    report::{Load, Stance},
    route::Table as Routes,
    search::Searches,
    segment::{Flags, Flow, Segment},
    table::{Entry, POINTER_MIN_AGE, State, Table},
    warm_up::Limit,
};

/// Maximum number of times that a packet is forwarded from agent to agent.
const MAX_HOPS: u8 = 3;
/// How long a backend server counts as full after it has returned a SYN.
const FULL_BACKOFF: Duration = Duration::from_millis(60);
/// Time until peers know an announced agent and query it when they search for one of its flows.
const JOIN_DELAY: Duration = Duration::from_millis(600);
/// Time after which an agent that could not be announced, because the store is down, relies on its greetings alone.
const UNANNOUNCED_JOIN_DELAY: Duration = Duration::from_secs(3);
/// Maximum number of flows in one note, which must fit into a datagram.
const MAX_FLOWS_PER_NOTE: usize = 80;

/// State of an agent.
#[derive(Debug)]
pub struct Agent {
    ip: Ipv4Addr,
    data_centre: Bytes,
    service: Bytes,
    started_at: Instant,
    coverage: Coverage,
    /// Whether this agent is announced in the store and has read the list of the other nodes since.
    announced: bool,
    /// From when on the reports of the peers are recent again after a pause of this process.
    reports_recent_at: Instant,
    /// From when on the peers whose announcements the store has lost have announced themselves again.
    peers_announced_at: Instant,
    stopping: bool,
    /// Whether the data centre of this agent is evacuated.
    evacuated: bool,
    /// Backend server of the agent.
    pub backend: Backend,
    /// Flows of the backend server.
    pub table: Table,
    /// Routes in force.
    pub routes: Rc<Routes>,
    /// Newest version of the routes with which a packet was forwarded to this agent.
    newest_version: u64,
    /// Services to which each route leads or has led since this process started. Their agents may hold open flows of it.
    route_services: HashMap<SocketAddrV4, BTreeSet<Bytes>>,
    pointers: Pointers,
    searches: Searches,
    queue: Queue,
    warm_up: Limit,
    /// From when on a heartbeat tells whether the backend server is warming up.
    warmth_known_from: Instant,
    /// Limit on the requests of the backend server at the last tick.
    last_cold_rate: Option<f64>,
    probes: Probes,
    backend_full_until: Instant,
    pointers_generation: u64,
}

/// Identity of an agent.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Address of the VM.
    pub ip: Ipv4Addr,
    /// Data centre.
    pub data_centre: Bytes,
    /// Service of the backend server.
    pub service: Bytes,
    /// Start of the process in milliseconds of the VM's clock.
    pub started_ms: u64,
}

impl Agent {
    /// Creates an agent whose backend server has not been detected yet.
    pub fn new(identity: Identity, heartbeat_interval: Duration, now: Instant) -> Self {
        Self {
            ip: identity.ip,
            data_centre: identity.data_centre,
            service: identity.service,
            started_at: now,
            coverage: Coverage::new(now, identity.started_ms),
            announced: false,
            reports_recent_at: now,
            peers_announced_at: now,
            stopping: false,
            evacuated: false,
            backend: Backend::new(heartbeat_interval, now),
            table: Table::default(),
            routes: Rc::default(),
            newest_version: 0,
            route_services: HashMap::new(),
            pointers: Pointers::default(),
            searches: Searches::default(),
            queue: Queue::default(),
            warm_up: Limit::new(now),
            warmth_known_from: now,
            last_cold_rate: None,
            probes: Probes::default(),
            backend_full_until: now,
            pointers_generation: 0,
        }
    }

    /// Stance for the reports: which flows this agent serves.
    pub fn stance(&self, now: Instant) -> Stance {
        match self.backend.phase(now) {
            Phase::Down if self.stopping && !self.is_backend_undetected() => Stance::Leaving,
            _ if self.stopping && self.backend.has_announced_exit() => Stance::Leaving,
            _ if self.stopping => Stance::Restarting,
            Phase::Down if self.backend.has_heartbeat() => Stance::Draining,
            Phase::Down => Stance::Joining,
            Phase::Draining => Stance::Draining,
            Phase::Ready if now < self.joined_at() => Stance::Joining,
            Phase::Ready if self.evacuated => Stance::Draining,
            Phase::Ready => Stance::Open,
        }
    }

    fn joined_at(&self) -> Instant {
        self.started_at
            + if self.announced {
                JOIN_DELAY
            } else {
                UNANNOUNCED_JOIN_DELAY
            }
    }

    /// Whether some peers may not know this agent: it is not announced and its greetings are under way, or a peer that it
    /// has found in a list has not reported to it yet.
    fn is_unknown_to_peers(&self, members: &Members, now: Instant) -> bool {
        let unheard = |member: &Member| !member.heard && !member.is_unreachable(now);
        let starting = now < self.started_at + UNANNOUNCED_JOIN_DELAY;
        starting && (!self.announced || members.agents(&self.service).any(unheard))
    }

    /// Records that other nodes can find this agent in the store, and that it knows all nodes that were announced
    /// before it.
    pub fn mark_announced(&mut self) {
        self.announced = true;
    }

    /// Records that the lists of the store may lack nodes until the given time.
    pub fn expect_announcements(&mut self, until: Instant) {
        if until > self.peers_announced_at {
            self.peers_announced_at = until;
            self.searches.abandon_running();
        }
    }

    /// Records that the store lists no earlier process of this agent.
    pub fn mark_first_process(&mut self) {
        self.coverage.mark_first_process();
        self.warm_up.mark_first_process();
    }

    /// Handles a pause of this process that has just ended and was so long that it has missed reports of its peers. It may
    /// not know agents that were added meanwhile.
    pub fn handle_pause(&mut self, now: Instant) {
        self.reports_recent_at = now + SUSPECT_AFTER;
        self.searches.abandon_running();
    }

    /// Whether this agent knows all peers that may hold a flow. With older routes than those of a balancer, the services of a
    /// flow are not known.
    fn knows_all_peers(&self, now: Instant) -> bool {
        let knows_services = self.routes.is_loaded() && self.routes.version >= self.newest_version;
        let knows_nodes = self.announced && now >= self.peers_announced_at;
        knows_nodes && knows_services && now >= self.reports_recent_at
    }

    fn has_open_peer(&self, members: &Members, now: Instant) -> bool {
        members.iter().any(|member| member.is_open(&self.service, now))
    }

    /// Load for the reports. SYNs in the queue count as requests in progress.
    pub fn load(&self, now: Instant) -> Load {
        Load {
            slots: self.backend.slots,
            busy: self.table.busy() + self.queue.len(),
            flows: self.table.open_flows(),
            cold: self.backend.is_cold(now) || self.cold_rate(now).is_some(),
            latency_ms: u32::try_from(self.table.service_time().as_millis()).unwrap_or(u32::MAX),
            failed_percent: self.table.failed_percent(),
        }
    }

    /// Records that the process was asked to stop.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Handles a heartbeat of the backend server. A new lifetime holds no flow of the previous one.
    pub fn handle_heartbeat(&mut self, heartbeat: &Heartbeat, now: Instant, out: &mut Vec<Effect>) -> Outcome {
        let last_heartbeat_at = self.backend.last_heartbeat_at();
        let outcome = self.backend.handle_heartbeat(heartbeat, now);
        if outcome != Outcome::Started {
            return outcome;
        }
        let start = coverage::Start {
            clock_ms: heartbeat.started_ms,
            heartbeating_for: self.backend.heartbeating_for(heartbeat),
        };
        if let Some(last_heartbeat_at) = last_heartbeat_at {
            self.coverage.handle_further_lifetime(start, now);
            // Flows since the last heartbeat of the previous lifetime may belong to the new one, unless they are older than
            // that can be. If they do not, the backend server returns their packets.
            let before = |age| now.checked_sub(age).unwrap_or(self.started_at);
            let first_heartbeat_delay = self.backend.max_first_heartbeat_delay();
            let earliest_start = before(start.heartbeating_for.saturating_add(first_heartbeat_delay));
            let ended_until = before(first_heartbeat_delay).min(last_heartbeat_at).max(earliest_start);
            self.close_flows(|entry| entry.opened_at <= ended_until, out);
        } else if self.coverage.handle_first_lifetime(start, now) {
            self.table.remove_where(|entry| entry.state == State::Restored);
            self.warm_up.mark_first_process();
        }
        outcome
    }

    /// Handles a refused connection to the backend server's address, by a check that began at `checked_at`. Returns
    /// whether a lifetime of the backend server has ended, and its flows with it.
    pub fn handle_connection_refused(&mut self, checked_at: Instant, out: &mut Vec<Effect>) -> bool {
        let was_down = self.backend.is_down();
        match self.backend.handle_connection_refused(checked_at) {
            Refusal::Inconclusive => return false,
            Refusal::EndedUntil(restart_at) => self.close_flows(|entry| entry.opened_at <= restart_at, out),
            Refusal::Exited => self.close_flows(|_entry| true, out),
        }
        !was_down
    }

    fn close_flows(&mut self, predicate: impl Fn(&Entry) -> bool, out: &mut Vec<Effect>) {
        self.probes.clear();
        for (flow, entry) in self.table.remove_where(predicate) {
            if entry.state == State::Open {
                let evidence = Evidence::BackendEnded(Holding::from(&entry));
                reset(out, flow, entry.client_ack, evidence);
            }
        }
    }

    /// Handles a client's packet that a balancer or another agent forwarded.
    pub fn handle_client_packet(
        &mut self,
        segment: &Segment,
        hop: Hop,
        members: &Members,
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        self.newest_version = self.newest_version.max(hop.version);
        if segment.is_initial_syn() {
            self.handle_syn(segment, hop, members, now, out);
        } else {
            self.handle_established(segment, hop, members, now, out);
        }
    }

    /// Whether the route of a flow leads to this agent's service. A sender with newer routes, of the given version, is
    /// trusted.
    fn may_serve(&self, flow: Flow, version: u64) -> bool {
        match self.routes.get(flow.service) {
            Some(route) => route.has_service(&self.service) || version > self.routes.version,
            None => version > self.routes.version || !self.routes.is_loaded(),
        }
    }

    /// Handles a client's packet that the backend server returned.
    pub fn handle_returned_packet(
        &mut self,
        segment: &Segment,
        members: &Members,
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        self.backend.handle_packet(now);
        let flow = segment.flow_from_client();
        let entry = self.table.get(flow).copied();
        if segment.is_initial_syn() {
            // The backend server may return a copy of a SYN although it has answered the first one.
            if entry.is_some_and(|entry| entry.backend_seq.is_some()) {
                return;
            }
            self.table.remove(flow);
            self.backend_full_until = now + FULL_BACKOFF;
            self.redirect_syn(segment, Origin::of(entry), members, now, out);
            return;
        }
        if let Some(requesters) = self.probes.take_requesters(flow) {
            self.deny_probed(flow, &requesters, now, out);
            return;
        }
        let Some(held) = entry.filter(|entry| entry.state != State::Opening) else {
            // A late answer to a probe. Starting another search would cause further probes, without end.
            return;
        };
        self.table.remove(flow);
        if held.state == State::Restored {
            self.start_search(segment, Origin::of(entry), members, now, out);
        } else {
            reset(out, flow, segment.ack, Evidence::Returned(Holding::from(&held)));
        }
    }

    /// Handles a packet from the backend server to a client.
    pub fn handle_backend_packet(&mut self, segment: &Segment, now: Instant, out: &mut Vec<Effect>) {
        self.backend.handle_packet(now);
        let flow = segment.flow_from_backend();
        // A repeated SYN+ACK may belong to a handshake that the client has not chosen, so it answers no probe.
        let requesters = if segment.flags.contains(Flags::SYN) {
            None
        } else {
            self.probes.take_requesters(flow)
        };
        let entry = self.table.get(flow);
        let opened = entry.is_some_and(|entry| matches!(entry.state, State::Open | State::Closed));
        if segment.flags.contains(Flags::RST) && !opened {
            // A backend server that has just started resets flows that it never held. Another one may hold this flow, also
            // if a pointer has named this agent.
            log(out, flow, "drop: reset of a flow that the client has not opened here");
            if entry.is_some_and(|entry| entry.state == State::Restored) {
                self.table.remove(flow);
            }
            if let Some(requesters) = requesters {
                self.deny_probed(flow, &requesters, now, out);
            }
            return;
        }
        if segment.flags.contains(Flags::RST) {
            log(out, flow, "pass: backend server resets the flow");
        }
        out.extend(
            self.table
                .record_backend_packet(flow, segment, self.backend.slots, now)
                .map(Effect::RecordLatency),
        );
        out.push(Effect::SendToClient {
            client: *flow.client.ip(),
        });
        self.serve_queue(now, out);
        if let Some(requesters) = requesters {
            self.searches.record_owner(flow);
            for requester in requesters.into_iter().filter(|requester| *requester != self.ip) {
                send_note(out, requester, Note::Claim(flow));
            }
        }
    }

    /// Handles a note of another node.
    pub fn handle_note(&mut self, sender: Ipv4Addr, note: Note, now: Instant, out: &mut Vec<Effect>) {
        match note {
            Note::Learn(_) | Note::Refuse(_) => {}
            Note::WasDraining => self.backend.assume_draining(),
            Note::Claim(flow) => self.record_owner(flow, sender, now),
            Note::Deny(flow) => {
                self.pointers.remove_if_owner(flow, sender);
                let progress = self.searches.record_denial(flow, sender, now);
                reset_if_not_found(flow, &progress, out);
            }
            Note::Point(flows) => flows.into_iter().for_each(|flow| self.record_owner(flow, sender, now)),
            Note::Restore(flows) => {
                for flow in flows {
                    if !self.coverage.is_complete() && self.table.get(flow).is_none() {
                        self.table.insert(flow, State::Restored, 0, None, now);
                    }
                }
            }
        }
    }

    fn record_owner(&mut self, flow: Flow, owner: Ipv4Addr, now: Instant) {
        self.searches.record_owner(flow);
        self.pointers.insert(flow, owner, now);
    }

    /// Handles the restart of a peer's process, which has lost its pointers and its table.
    pub fn handle_peer_restart(&mut self, peer: Ipv4Addr, out: &mut Vec<Effect>) {
        for (_, entry) in self.table.iter_mut() {
            for home in &mut entry.homes {
                if *home == Some(peer) {
                    *home = None;
                    entry.pointers_due_at = entry.opened_at;
                }
            }
        }
        for flows in self.pointers.flows_owned_by(peer).chunks(MAX_FLOWS_PER_NOTE) {
            send_note(out, peer, Note::Restore(flows.to_vec()));
        }
    }

    /// Forgets pointers to nodes that were removed from the membership.
    pub fn remove_nodes(&mut self, removed: &BTreeSet<Ipv4Addr>) {
        self.pointers.remove_owners(removed);
    }

    /// Handles timeouts, delivers queued SYNs and sends pointers. Called every 100 ms.
    pub fn tick(&mut self, members: &Members, now: Instant, out: &mut Vec<Effect>) {
        self.coverage.tick(now);
        if !members.iter().any(|member| member.is_alive(now)) {
            // An agent that is cut off misses reports like one that is paused.
            self.reports_recent_at = now + SUSPECT_AFTER;
        }
        self.table.expire(now);
        // A search that a late tick finds expired may have answers that have not been read yet.
        self.searches.expire(now);
        self.deny_for_silent(members, now, out);
        self.probes.expire(now);
        self.pointers.expire(now);
        self.log_cold_rate(now, out);
        self.serve_queue(now, out);
        self.place_pointers(members, now, out);
    }

    /// Sends pointers for open flows to their homes: when a flow is old enough, when its homes change, and as a
    /// refresh.
    fn place_pointers(&mut self, members: &Members, now: Instant, out: &mut Vec<Effect>) {
        let changed = members.generation() != self.pointers_generation;
        self.pointers_generation = members.generation();
        let mut notes: HashMap<Ipv4Addr, Vec<Flow>> = HashMap::new();
        let peers: Vec<_> = members.holders(&self.service, now).map(|member| member.ip).collect();
        for (flow, entry) in self.table.iter_mut() {
            let refresh = now >= entry.pointers_due_at;
            let lasting = entry.state == State::Open && now >= entry.opened_at + POINTER_MIN_AGE;
            if !lasting || !(changed || refresh) {
                continue;
            }
            if refresh {
                entry.homes = [None; rank::HOMES];
                entry.pointers_due_at = now + pointer::REFRESH_INTERVAL;
            }
            let homes = rank::homes(flow, peers.iter().copied().chain([self.ip]));
            let new = homes
                .iter()
                .flatten()
                .filter(|home| !entry.homes.contains(&Some(**home)));
            for home in new.filter(|home| **home != self.ip) {
                notes.entry(*home).or_default().push(flow);
            }
            entry.homes = homes;
        }
        for (home, flows) in notes {
            for flows in flows.chunks(MAX_FLOWS_PER_NOTE) {
                send_note(out, home, Note::Point(flows.to_vec()));
            }
        }
    }

    /// Replaces the routes. Flows whose route was removed are reset, unless a balancer has used newer routes: the route may
    /// have been added again and the flow opened since.
    pub fn set_routes(&mut self, routes: Rc<Routes>, out: &mut Vec<Effect>) {
        self.routes = routes;
        // A route that could not be decoded may be any of those that are missing.
        let is_conclusive = self.routes.version >= self.newest_version && self.routes.rejected.is_empty();
        let is_removed =
            |address| is_conclusive && self.route_services.contains_key(&address) && self.routes.get(address).is_none();
        let dropped: Vec<_> = self
            .table
            .iter_mut()
            .map(|(flow, entry)| (flow, entry.client_ack))
            .filter(|(flow, _)| is_removed(flow.service))
            .collect();
        for (flow, seq) in dropped {
            self.table.remove(flow);
            reset(out, flow, seq, Evidence::RouteRemoved);
        }
        self.route_services
            .retain(|address, _| !is_conclusive || self.routes.get(*address).is_some());
        for (address, route) in &self.routes.routes {
            let services = route.shares.iter().map(|share| share.service.clone());
            self.route_services.entry(*address).or_default().extend(services);
        }
    }
}
