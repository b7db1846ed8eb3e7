//! Decisions of an agent: which packets its backend server gets, and who else may hold a flow.

use std::{
    collections::{BTreeSet, HashMap},
    net::Ipv4Addr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::state::steering::{
    admission::{Offer, Opening, Queue, Work},
    backend::{Backend, Heartbeat, Outcome, Phase},
    member::Members,
    placement::{self, Candidate},
    pointer::{self, Pointers},
    probe::Probes,
    rank,
    report::{Load, Stance},
    route::{Retry, Table as Routes},
    search::{Progress, Searches},
    segment::{Flags, Flow, Segment},
    table::{Entry, POINT_AFTER, Stage, Table},
};

/// How often a packet is passed from agent to agent before it is refused.
const MAX_HOPS: u8 = 3;
/// How long a backend server that returned a SYN is taken for full.
const FULL: Duration = Duration::from_millis(60);
/// Age of an agent at which it knows all flows of a backend server that is older: no flow lives longer.
const COMPLETE_AFTER: Duration = Duration::from_secs(75);
/// Difference between the clocks' readings of two starts on one VM that still counts as the same moment.
const START_SLACK_MS: u64 = 500;
/// Time until peers have heard of an announced agent, so that a search for one of its flows asks it.
const JOIN: Duration = Duration::from_millis(600);
/// Time after which an agent that could not be announced relies on its greetings alone: the store is down.
const JOIN_UNANNOUNCED: Duration = Duration::from_secs(3);
/// Flows in one note; it must fit into a datagram.
const NOTE_FLOWS: usize = 80;

/// How a packet came to this agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hop {
    /// Node that sent it here.
    pub sender: Ipv4Addr,
    /// Balancer that took it from the client.
    pub balancer: Ipv4Addr,
    /// How often agents have passed it on.
    pub hops: u8,
    /// Whether the balancer does not know the owner of the flow.
    pub guessed: bool,
    /// Version of the balancer's routes.
    pub version: u64,
}

impl Hop {
    fn origin(&self) -> Origin {
        Origin {
            balancer: self.balancer,
            hops: self.hops,
        }
    }
}

/// Way of a packet up to this agent.
#[derive(Debug, Clone, Copy)]
struct Origin {
    balancer: Ipv4Addr,
    hops: u8,
}

impl Origin {
    /// Passes the packet to another agent.
    fn pass(self, to: Ipv4Addr) -> Effect {
        Effect::Forward {
            to,
            hops: self.hops + 1,
            balancer: self.balancer,
        }
    }

    /// Way of the last packet of a flow; unspecified if it is not known.
    fn of(entry: Option<Entry>) -> Self {
        Self {
            balancer: entry.and_then(|entry| entry.balancer).unwrap_or(Ipv4Addr::UNSPECIFIED),
            hops: entry.map_or(0, |entry| entry.hops),
        }
    }
}

/// What one node tells another about flows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Note {
    /// To a balancer: the sender holds the flow.
    Learn(Flow),
    /// Answer to a search: the sender holds the flow.
    Claim(Flow),
    /// Answer to a search: the sender's backend server does not hold the flow.
    Deny(Flow),
    /// The sender holds these flows and asks the receiver to keep pointers.
    Point(Vec<Flow>),
    /// The receiver's backend server was draining when its agent was heard last, before it restarted.
    WasDraining,
    /// The receiver's backend server holds these flows, as it said before its agent restarted.
    Restore(Vec<Flow>),
}

/// What the agent does with the packet at hand, or besides.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Hands the packet to the backend server.
    Deliver,
    /// Keeps the SYN at hand until the backend server has room.
    Hold {
        /// Flow.
        flow: Flow,
    },
    /// Hands a SYN that was kept to the backend server.
    Release {
        /// Flow.
        flow: Flow,
    },
    /// Forgets a SYN that was kept.
    Discard {
        /// Flow.
        flow: Flow,
    },
    /// Passes the packet to another agent.
    Forward {
        /// Agent.
        to: Ipv4Addr,
        /// How often the packet has been passed on, this time included.
        hops: u8,
        /// Balancer that took the packet from the client.
        balancer: Ipv4Addr,
    },
    /// Asks another agent whether it holds the flow; the question carries the packet.
    Query {
        /// Agent.
        to: Ipv4Addr,
        /// Balancer that took the packet from the client.
        balancer: Ipv4Addr,
    },
    /// Sends the backend server's packet to the client.
    SendToClient {
        /// Address of the client.
        client: Ipv4Addr,
    },
    /// The backend server has begun to answer a request after this time.
    RecordLatency(Duration),
    /// Resets a flow.
    Reset {
        /// Flow.
        flow: Flow,
        /// Sequence number that the client accepts.
        seq: u32,
    },
    /// Tells another node something.
    SendNote {
        /// Node.
        to: Ipv4Addr,
        /// What.
        note: Note,
    },
    /// Event for the log.
    Log {
        /// Flow.
        flow: Flow,
        /// Decision and its reason.
        event: &'static str,
    },
}

/// State of an agent.
#[derive(Debug)]
pub struct Agent {
    ip: Ipv4Addr,
    data_centre: Bytes,
    service: Bytes,
    started: Instant,
    started_ms: u64,
    /// Whether the table holds all flows of the backend server.
    complete: bool,
    /// Whether this agent is announced and has read the list of all others since.
    announced: bool,
    stopping: bool,
    /// Backend server beside the agent.
    pub backend: Backend,
    /// Flows of the backend server.
    pub table: Table,
    /// Routes in force.
    pub routes: Rc<Routes>,
    pointers: Pointers,
    searches: Searches,
    queue: Queue,
    probes: Probes,
    full_until: Instant,
    pointed_generation: u64,
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
    /// Agent of a backend server that has not been heard.
    pub fn new(identity: Identity, heartbeat_interval: Duration, now: Instant) -> Self {
        Self {
            ip: identity.ip,
            data_centre: identity.data_centre,
            service: identity.service,
            started: now,
            started_ms: identity.started_ms,
            complete: false,
            announced: false,
            stopping: false,
            backend: Backend::new(heartbeat_interval, now),
            table: Table::default(),
            routes: Rc::default(),
            pointers: Pointers::default(),
            searches: Searches::default(),
            queue: Queue::default(),
            probes: Probes::default(),
            full_until: now,
            pointed_generation: 0,
        }
    }

    /// What this agent wants to be used for.
    pub fn stance(&self, now: Instant) -> Stance {
        match self.backend.phase(now) {
            Phase::Down if self.stopping => Stance::Leaving,
            _ if self.stopping && self.backend.has_left() => Stance::Leaving,
            _ if self.stopping => Stance::Restarting,
            Phase::Down if self.backend.has_heartbeat() => Stance::Draining,
            Phase::Down => Stance::Joining,
            Phase::Draining => Stance::Draining,
            Phase::Ready if now < self.joined_at() => Stance::Joining,
            Phase::Ready => Stance::Open,
        }
    }

    fn joined_at(&self) -> Instant {
        self.started + if self.announced { JOIN } else { JOIN_UNANNOUNCED }
    }

    /// The others can find this agent in the store, and this agent knows all that were there before it.
    pub fn mark_announced(&mut self) {
        self.announced = true;
    }

    /// Load for the report.
    pub fn load(&self, now: Instant) -> Load {
        Load {
            slots: self.backend.slots,
            busy: self.table.busy() + self.queue.waiting(),
            flows: self.table.open(),
            cold: self.backend.is_cold(now),
            latency_ms: u32::try_from(self.table.service_time().as_millis()).unwrap_or(u32::MAX),
            failed_percent: self.table.failed_percent(),
        }
    }

    /// The process is asked to stop.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Takes a heartbeat of the backend server. A new lifetime holds no flow of the one before.
    pub fn handle_heartbeat(&mut self, beat: &Heartbeat, now: Instant, out: &mut Vec<Effect>) -> Outcome {
        let first = !self.backend.has_heartbeat();
        let outcome = self.backend.heartbeat(beat, now);
        if outcome != Outcome::Started {
            return outcome;
        }
        if first {
            // A backend server that started with this process or later has opened no flow without it.
            let started_with = |started_ms| started_ms + START_SLACK_MS >= self.started_ms;
            self.complete = beat.started_ms.is_some_and(started_with);
            if self.complete {
                self.table.extract(|entry| entry.stage == Stage::Restored);
            }
        } else {
            self.complete = true;
            // The youngest flows may already be those of the new lifetime; if not, it returns their packets.
            let younger = now.checked_sub(self.backend.first_heartbeat()).unwrap_or(now);
            self.end_flows(|entry| entry.opened_at < younger, out);
        }
        outcome
    }

    /// The backend server's address refused a connection. Returns whether the backend server has ended, and with it its
    /// flows.
    pub fn handle_connection_refused(&mut self, now: Instant, out: &mut Vec<Effect>) -> bool {
        let ended = self.backend.refused(now);
        if ended {
            self.end_flows(|_entry| true, out);
        }
        ended
    }

    fn end_flows(&mut self, admits: impl Fn(&Entry) -> bool, out: &mut Vec<Effect>) {
        self.probes.clear();
        for (flow, entry) in self.table.extract(admits) {
            if entry.stage == Stage::Open {
                log(out, flow, "reset: backend server ended");
                out.push(Effect::Reset {
                    flow,
                    seq: entry.client_ack,
                });
            }
        }
    }

    /// Decides on a client's packet that a balancer or another agent sent here.
    pub fn handle_client_packet(
        &mut self,
        segment: &Segment,
        via: Hop,
        members: &Members,
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        if segment.is_opening() {
            self.open(segment, via, members, now, out);
        } else {
            self.follow(segment, via, members, now, out);
        }
    }

    fn open(&mut self, segment: &Segment, via: Hop, members: &Members, now: Instant, out: &mut Vec<Effect>) {
        let flow = segment.flow_from_client();
        if !self.may_serve(flow, via.version) {
            // The balancer's routes are older than ours: it learns the newer version from our report.
            log(out, flow, "drop: route leads to another service");
            return;
        }
        let known = self.table.get(flow).is_some_and(|entry| entry.stage != Stage::Ended);
        let takes = self.may_take(now) && now >= self.full_until;
        if self.queue.forget(flow) {
            out.push(Effect::Discard { flow });
        }
        if takes && !known {
            match self.offer(segment, via, now) {
                Offer::Taken => {}
                Offer::Waiting => {
                    log(out, flow, "wait: backend server is loaded");
                    out.push(Effect::Hold { flow });
                    return;
                }
                Offer::Refused => {
                    log(out, flow, "drop: too many flows wait for the backend server");
                    return;
                }
            }
        }
        let balancer = Some(via.balancer);
        let accepted = known || (takes && self.table.insert(flow, Stage::Opening, via.hops, balancer, now));
        if !accepted {
            self.divert(segment, via.origin(), members, now, out);
            return;
        }
        self.searches.claim(flow);
        out.push(Effect::Deliver);
        if via.hops > 0 || via.guessed {
            tell(out, via.balancer, Note::Learn(flow));
        }
    }

    /// Offers a new flow to the backend server.
    fn offer(&mut self, segment: &Segment, via: Hop, now: Instant) -> Offer {
        let flow = segment.flow_from_client();
        let Some(route) = self.routes.get(flow.service) else {
            return Offer::Taken;
        };
        let opening = Opening {
            flow,
            goal: route.goal,
            priority: route.priority,
            copy: segment.ack,
            balancer: via.balancer,
            hops: via.hops,
        };
        self.queue.offer(opening, self.work(now), now)
    }

    fn work(&self, now: Instant) -> Work {
        Work {
            slots: self.backend.slots,
            requests: self.table.busy() + self.table.expected(now),
            service_time: self.table.service_time(),
        }
    }

    /// Hands over the SYNs for which there is room now, and gives up those that have waited for too long.
    fn serve_queue(&mut self, now: Instant, out: &mut Vec<Effect>) {
        if self.queue.is_empty() {
            return;
        }
        let open = self.may_take(now);
        let removed = if open {
            self.queue.expire(now)
        } else {
            self.queue.clear()
        };
        out.extend(removed.into_iter().map(|flow| Effect::Discard { flow }));
        while open && let Some(opening) = self.queue.next(self.work(now)) {
            let flow = opening.flow;
            let balancer = Some(opening.balancer);
            if self.table.insert(flow, Stage::Opening, opening.hops, balancer, now) {
                self.searches.claim(flow);
                out.push(Effect::Release { flow });
                tell(out, opening.balancer, Note::Learn(flow));
            } else {
                out.push(Effect::Discard { flow });
            }
        }
    }

    /// Whether the backend server takes new flows. One that has not been heard since this process started may.
    fn may_take(&self, now: Instant) -> bool {
        let phase = self.backend.phase(now);
        let unheard = !self.backend.has_heartbeat() && phase == Phase::Down && !self.backend.is_absent();
        !self.stopping && (phase == Phase::Ready || unheard)
    }

    fn may_serve(&self, flow: Flow, version: u64) -> bool {
        match self.routes.get(flow.service) {
            Some(route) => route.allows(&self.service) || version > self.routes.version,
            None => version > self.routes.version || !self.routes.is_loaded(),
        }
    }

    /// Passes a SYN to the sibling with the least work, or refuses it if nobody takes it. A copy is not reset: an agent that
    /// takes no new flows any more may have taken an earlier one.
    fn divert(&self, segment: &Segment, from: Origin, members: &Members, now: Instant, out: &mut Vec<Effect>) {
        let flow = segment.flow_from_client();
        match self.sibling(flow, members, now) {
            Some(to) if from.hops < MAX_HOPS => {
                log(out, flow, "divert: backend server takes no new flow");
                out.push(from.pass(to));
            }
            None if members.iter().any(|member| member.is_starting(&self.service, now)) => {
                log(out, flow, "drop: agents are starting");
            }
            _ if segment.ack > 0 => log(out, flow, "drop: no backend server takes the flow"),
            _ => {
                log(out, flow, "reset: no backend server takes the flow");
                out.push(Effect::Reset { flow, seq: 0 });
            }
        }
    }

    /// Sibling for a flow that this agent does not take.
    fn sibling(&self, flow: Flow, members: &Members, now: Instant) -> Option<Ipv4Addr> {
        let open = members.iter().filter(|member| member.is_open(&self.service, now));
        let chosen = placement::choose(flow, open.map(|member| Candidate::of(member, &self.data_centre)));
        chosen.map(|chosen| chosen.ip)
    }

    fn follow(&mut self, segment: &Segment, via: Hop, members: &Members, now: Instant, out: &mut Vec<Effect>) {
        let flow = segment.flow_from_client();
        if self.table.client(flow, segment, Some(via.balancer), now) {
            out.push(Effect::Deliver);
            if via.guessed || via.hops > 0 {
                tell(out, via.balancer, Note::Learn(flow));
            }
            return;
        }
        let pointed = self.pointers.owner(flow);
        if let Some(owner) = pointed.filter(|owner| *owner != via.sender && via.hops < MAX_HOPS)
            && members.get(owner).is_some_and(|member| !member.is_unreachable(now))
        {
            out.push(via.origin().pass(owner));
            return;
        }
        if self.searches.is_denied(flow, now) {
            out.push(Effect::Reset { flow, seq: segment.ack });
            return;
        }
        self.search(segment, via.origin(), members, now, out);
    }

    /// Asks all siblings. Ends at once if there is nobody to ask.
    fn search(&mut self, segment: &Segment, from: Origin, members: &Members, now: Instant, out: &mut Vec<Effect>) {
        let flow = segment.flow_from_client();
        let mut asked: BTreeSet<_> = members.holders(&self.service, now).map(|member| member.ip).collect();
        let probes_own = self.needs_probe();
        if probes_own {
            asked.insert(self.ip);
        }
        if !self.announced {
            // Siblings may be missing among the known ones, so this search cannot prove that nobody holds the flow.
            asked.insert(Ipv4Addr::UNSPECIFIED);
        }
        if !self.searches.begin(flow, asked.clone(), segment.ack, now) {
            return;
        }
        log(out, flow, "search: owner is not known");
        if probes_own {
            self.probe(flow, self.ip, now, out);
        }
        let balancer = from.balancer;
        let siblings = asked.into_iter().filter(|ip| *ip != self.ip && !ip.is_unspecified());
        out.extend(siblings.map(|to| Effect::Query { to, balancer }));
        self.give_up_on_lost(flow, members, now, out);
        self.settle(flow, now, out);
    }

    /// Counts siblings that are lost as having no answer, if the clients of the flow gain by a quick end.
    fn give_up_on_lost(&mut self, flow: Flow, members: &Members, now: Instant, out: &mut Vec<Effect>) {
        let repeats = self
            .routes
            .get(flow.service)
            .is_some_and(|route| route.retry == Retry::Always);
        if !repeats {
            return;
        }
        let lost: Vec<_> = members
            .holders(&self.service, now)
            .filter(|member| member.is_unreachable(now))
            .collect();
        for member in lost {
            let progress = self.searches.deny(flow, member.ip, now);
            reset_if_nobody(flow, &progress, out);
        }
    }

    fn settle(&mut self, flow: Flow, now: Instant, out: &mut Vec<Effect>) {
        let progress = self.searches.settle(flow, now);
        reset_if_nobody(flow, &progress, out);
    }

    /// Whether only the backend server can tell if it holds a flow that is not in the table.
    fn needs_probe(&self) -> bool {
        let ended = self.backend.has_heartbeat() && self.backend.is_down();
        !self.complete && !ended && !self.backend.is_absent()
    }

    fn probe(&mut self, flow: Flow, asker: Ipv4Addr, now: Instant, out: &mut Vec<Effect>) {
        if self.probes.ask(flow, asker, now) {
            out.push(Effect::Deliver);
        }
    }

    /// Answers the question of another agent whether this one holds the flow of a packet.
    pub fn handle_query(&mut self, segment: &Segment, via: Hop, now: Instant, out: &mut Vec<Effect>) {
        let flow = segment.flow_from_client();
        if self.table.client(flow, segment, Some(via.balancer), now) {
            out.push(Effect::Deliver);
            tell(out, via.sender, Note::Claim(flow));
            tell(out, via.balancer, Note::Learn(flow));
        } else if self.needs_probe() {
            self.probe(flow, via.sender, now, out);
        } else {
            tell(out, via.sender, Note::Deny(flow));
        }
    }

    /// Takes a packet that the backend server returned.
    pub fn handle_returned_packet(
        &mut self,
        segment: &Segment,
        members: &Members,
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        let flow = segment.flow_from_client();
        let entry = self.table.get(flow).copied();
        if segment.is_opening() {
            // A copy of a SYN may bounce although the backend server has answered the first one.
            if entry.is_some_and(|entry| entry.stage == Stage::Open) {
                return;
            }
            self.table.remove(flow);
            self.full_until = now + FULL;
            self.divert(segment, Origin::of(entry), members, now, out);
            return;
        }
        if let Some(askers) = self.probes.answered(flow) {
            self.deny(flow, &askers, now, out);
            return;
        }
        match self.table.remove(flow) {
            Some(Entry {
                stage: Stage::Open | Stage::Ended,
                ..
            }) => {
                log(out, flow, "reset: backend server dropped the flow");
                out.push(Effect::Reset { flow, seq: segment.ack });
            }
            Some(_) => self.search(segment, Origin::of(entry), members, now, out),
            // A late answer to a probe. Another search would be answered by further probes, and never end.
            None => {}
        }
    }

    /// Takes a packet that the backend server sends to a client.
    pub fn handle_backend_packet(&mut self, segment: &Segment, now: Instant, out: &mut Vec<Effect>) {
        let flow = segment.flow_from_backend();
        let askers = self.probes.answered(flow);
        if segment.flags.contains(Flags::RST) && self.table.get(flow).is_none() {
            // A backend server that has just started resets flows that it never held; another one may hold this flow.
            log(out, flow, "drop: reset of a flow that is not in the table");
            if let Some(askers) = askers {
                self.deny(flow, &askers, now, out);
            }
            return;
        }
        if segment.flags.contains(Flags::RST) {
            log(out, flow, "pass: backend server resets the flow");
        }
        out.extend(
            self.table
                .server(flow, segment, self.backend.slots, now)
                .map(Effect::RecordLatency),
        );
        out.push(Effect::SendToClient {
            client: *flow.client.ip(),
        });
        self.serve_queue(now, out);
        if let Some(askers) = askers {
            self.searches.claim(flow);
            for asker in askers.into_iter().filter(|asker| *asker != self.ip) {
                tell(out, asker, Note::Claim(flow));
            }
        }
    }

    /// Answers the searches that a probe was for: the backend server does not hold the flow.
    fn deny(&mut self, flow: Flow, askers: &BTreeSet<Ipv4Addr>, now: Instant, out: &mut Vec<Effect>) {
        for asker in askers {
            if *asker == self.ip {
                let progress = self.searches.deny(flow, self.ip, now);
                reset_if_nobody(flow, &progress, out);
            } else {
                tell(out, *asker, Note::Deny(flow));
            }
        }
    }

    /// Takes a note of another node.
    pub fn handle_note(&mut self, sender: Ipv4Addr, note: Note, now: Instant, out: &mut Vec<Effect>) {
        match note {
            Note::Learn(_) => {}
            Note::WasDraining => self.backend.was_draining(),
            Note::Claim(flow) => {
                self.searches.claim(flow);
                self.pointers.set(flow, sender, now);
            }
            Note::Deny(flow) => {
                self.pointers.deny(flow, sender);
                let progress = self.searches.deny(flow, sender, now);
                reset_if_nobody(flow, &progress, out);
            }
            Note::Point(flows) => flows.into_iter().for_each(|flow| self.pointers.set(flow, sender, now)),
            Note::Restore(flows) => {
                for flow in flows {
                    if !self.complete && self.table.get(flow).is_none() {
                        self.table.insert(flow, Stage::Restored, 0, None, now);
                    }
                }
            }
        }
    }

    /// Another process runs on the VM of a sibling: it has lost its pointers, and its table.
    pub fn handle_peer_restart(&mut self, sibling: Ipv4Addr, out: &mut Vec<Effect>) {
        for (_, entry) in self.table.iter_mut() {
            for home in &mut entry.homes {
                if *home == Some(sibling) {
                    *home = None;
                    entry.point_at = entry.opened_at;
                }
            }
        }
        for flows in self.pointers.flows_of(sibling).chunks(NOTE_FLOWS) {
            tell(out, sibling, Note::Restore(flows.to_vec()));
        }
    }

    /// Nodes have gone for good.
    pub fn remove_nodes(&mut self, gone: &BTreeSet<Ipv4Addr>) {
        self.pointers.forget(gone);
    }

    /// Does what time brings: pointers to new flows, ends of old ones.
    pub fn tick(&mut self, members: &Members, now: Instant, out: &mut Vec<Effect>) {
        if now >= self.started + COMPLETE_AFTER {
            self.complete = true;
        }
        self.table.expire(now);
        self.searches.expire(now);
        self.probes.expire(now);
        self.pointers.expire(now);
        self.serve_queue(now, out);
        self.place_pointers(members, now, out);
    }

    fn place_pointers(&mut self, members: &Members, now: Instant, out: &mut Vec<Effect>) {
        let changed = members.generation() != self.pointed_generation;
        self.pointed_generation = members.generation();
        let mut notes: HashMap<Ipv4Addr, Vec<Flow>> = HashMap::new();
        let siblings: Vec<_> = members.holders(&self.service, now).map(|member| member.ip).collect();
        for (flow, entry) in self.table.iter_mut() {
            let refresh = now >= entry.point_at;
            let lasting = entry.stage == Stage::Open && now >= entry.opened_at + POINT_AFTER;
            if !lasting || !(changed || refresh) {
                continue;
            }
            if refresh {
                entry.homes = [None; rank::HOMES];
                entry.point_at = now + pointer::REFRESH;
            }
            let homes = rank::homes(flow, siblings.iter().copied().chain([self.ip]));
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
            for flows in flows.chunks(NOTE_FLOWS) {
                tell(out, home, Note::Point(flows.to_vec()));
            }
        }
    }

    /// Routes of a newer version. Flows whose route was removed are reset.
    pub fn set_routes(&mut self, routes: Rc<Routes>, out: &mut Vec<Effect>) {
        let before = std::mem::replace(&mut self.routes, routes);
        let dropped: Vec<_> = self
            .table
            .iter_mut()
            .map(|(flow, entry)| (flow, entry.client_ack))
            .filter(|(flow, _)| before.get(flow.service).is_some() && self.routes.get(flow.service).is_none())
            .collect();
        for (flow, seq) in dropped {
            self.table.remove(flow);
            log(out, flow, "reset: route was removed");
            out.push(Effect::Reset { flow, seq });
        }
    }
}

fn reset_if_nobody(flow: Flow, progress: &Progress, out: &mut Vec<Effect>) {
    if let Progress::Nobody { client_ack } = *progress {
        log(out, flow, "reset: no agent holds the flow");
        out.push(Effect::Reset { flow, seq: client_ack });
    }
}

fn tell(out: &mut Vec<Effect>, to: Ipv4Addr, note: Note) {
    out.push(Effect::SendNote { to, note });
}

fn log(out: &mut Vec<Effect>, flow: Flow, event: &'static str) {
    out.push(Effect::Log { flow, event });
}
