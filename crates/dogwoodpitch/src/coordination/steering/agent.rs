//! I/O of an agent: packets, heartbeats and health checks of its backend server, and packets that other nodes forward.

use std::{
    io,
    net::Ipv4Addr,
    rc::Rc,
    time::{Duration, Instant},
};

use hyper::StatusCode;
use monoio::net::{TcpListener, TcpStream};

use crate::{
    coordination::steering::{
        Backend, Call,
        node::{Life, Node, State, millis, reject},
        spawn_critical,
    },
    protocol::steer::{Header, Kind, Message},
    state::{
        roster::Role,
        steering::{
            agent::{Agent, Effect, Hop},
            backend::{Outcome, Phase},
            evidence::Evidence,
            member::Members,
            report::Stance,
            segment::{Flags, Flow},
        },
    },
    transport::{http, time},
};

/// Timeout for the body of a call of the backend server, which expects the reply within a second.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// How long packets may stay unanswered before the backend server's address is checked.
const UNANSWERED_LIMIT: Duration = Duration::from_millis(300);
/// Connect timeout of a check; the backend server is on the same VM.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval between checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between checks after a refused one, so that the flows of a backend server that has ended are reset soon.
const CLOSED_PORT_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between checks until the backend server is up.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Ticks for which an agent keeps serving after a stop request, so that short requests finish before the process exits.
const STOP_TICKS: u64 = 10;
/// Ticks for which a leaving agent keeps running, so that the report of it is sent twice.
const LEAVE_TICKS: u64 = 2;

/// Starts the tasks of an agent.
pub(super) fn spawn(node: &Rc<Node>) -> io::Result<()> {
    let Some(backend) = node.settings.backend.clone() else {
        return Ok(());
    };
    spawn_critical("outbound", receive(Rc::clone(node)));
    let listener = TcpListener::bind(backend.heartbeats)?;
    let heartbeats = Rc::clone(node);
    monoio::spawn(http::serve(listener, http::IDLE_TIMEOUT, move |_peer, request| {
        let node = Rc::clone(&heartbeats);
        async move {
            let (head, body) = request.into_parts();
            let body = match http::read_body(body, Instant::now() + CALL_TIMEOUT).await {
                Ok(body) => body,
                Err(error) => {
                    reject(node.settings.ip, &error.to_string());
                    return http::response(StatusCode::BAD_REQUEST, "text/plain", "the body cannot be read\n");
                }
            };
            let Some(backend) = &node.settings.backend else {
                return http::response(StatusCode::NOT_FOUND, "text/plain", "");
            };
            match (node.platform.decode_call)(backend, &head.method, head.uri.path(), &body) {
                Ok(call) if handle_backend_call(&node, &call) => {
                    http::response(StatusCode::OK, "application/json", "{}")
                }
                Ok(_) => http::response(StatusCode::CONFLICT, "text/plain", "another lifetime is present\n"),
                Err(error) => {
                    reject(node.settings.ip, &error);
                    http::response(StatusCode::BAD_REQUEST, "text/plain", error)
                }
            }
        }
    }));
    monoio::spawn(check_backend(Rc::clone(node), backend));
    Ok(())
}

/// Updates the agent state and applies the resulting effects. `packet` is the packet being handled, or empty. Returns
/// `None` at a balancer.
pub(super) fn update_agent<R>(
    node: &Rc<Node>,
    packet: &[u8],
    update: impl FnOnce(&mut Agent, &Members, &mut Vec<Effect>) -> R,
) -> Option<R> {
    let mut out = Vec::new();
    let result = match &mut *node.state.borrow_mut() {
        State::Agent(agent) => update(agent, &node.members.borrow(), &mut out),
        State::Balancer(_) => return None,
    };
    apply_effects(node, &out, packet);
    Some(result)
}

/// Handles a call of the backend server. Returns whether it was accepted.
fn handle_backend_call(node: &Rc<Node>, call: &Call) -> bool {
    let now = Instant::now();
    let before = node.life(now);
    let accepted = update_agent(node, &[], |agent, _, out| match call {
        Call::Heartbeat(beat) => {
            let outcome = agent.handle_heartbeat(beat, now, out);
            if outcome != Outcome::Continued {
                log::info!(
                    event = "backend.heartbeat", outcome:? = outcome, number = beat.number, draining = beat.draining;
                    "heartbeat is not the next one of the current backend lifetime"
                );
            }
            outcome != Outcome::Stale
        }
        Call::Leave(id) => {
            let present = agent.backend.handle_exit_notice(id, now);
            log::info!(event = "backend.leaves", present; "backend server announced its shutdown");
            true
        }
    });
    report_change(node, before, now);
    accepted.unwrap_or(false)
}

/// Reports to all nodes immediately if the advertised state changed. Returns whether it did.
pub(super) fn report_change(node: &Node, before: Life, now: Instant) -> bool {
    let after = node.life(now);
    let changed = before != after;
    if changed {
        log::info!(event = "agent.stance", before:? = before, after:? = after; "advertised state changed");
        node.send_report_to(|_member| true);
    }
    changed
}

async fn receive(node: Rc<Node>) -> io::Result<()> {
    loop {
        node.packets
            .recv(|_from, packet| handle_backend_packet(&node, packet))
            .await?;
        node.flush();
    }
}

fn handle_backend_packet(node: &Rc<Node>, packet: &[u8]) {
    let Some(segment) = (node.platform.codec.decode)(packet) else {
        reject(node.settings.ip, "packet of the backend server is malformed");
        return;
    };
    node.unanswered_since.set(None);
    let now = Instant::now();
    node.detect_stall(now);
    if !segment.flags.contains(Flags::RETURNED) {
        update_agent(node, packet, |agent, _, out| {
            agent.handle_backend_packet(&segment, now, out);
        });
        return;
    }
    let mut packet = packet.to_vec();
    (node.platform.codec.clear_bounced)(&mut packet);
    update_agent(node, &packet, |agent, members, out| {
        agent.handle_returned_packet(&segment, members, now, out);
    });
}

/// Handles a client's packet that another node forwarded to this one.
pub(super) fn handle_client_frame(node: &Rc<Node>, from: Ipv4Addr, header: &Header, packet: &[u8]) {
    let Some(segment) = (node.platform.codec.decode)(packet) else {
        reject(from, "packet in a frame is malformed");
        return;
    };
    let now = Instant::now();
    node.detect_stall(now);
    let via = Hop {
        sender: from,
        balancer: header.balancer,
        hops: header.hops,
        guessed: header.guessed,
        version: header.version,
    };
    update_agent(node, packet, |agent, members, out| match header.kind {
        Kind::Query => agent.handle_query(&segment, via, now, out),
        _ => agent.handle_client_packet(&segment, via, members, now, out),
    });
}

fn apply_effects(node: &Rc<Node>, effects: &[Effect], packet: &[u8]) {
    for effect in effects {
        match effect {
            Effect::Deliver => deliver(node, packet),
            Effect::Hold { flow } => {
                node.held_syns.borrow_mut().insert(*flow, packet.to_vec());
            }
            Effect::Release { flow } => {
                let held = node.held_syns.borrow_mut().remove(flow);
                if let Some(packet) = held {
                    deliver(node, &packet);
                }
            }
            Effect::Discard { flow } => {
                node.held_syns.borrow_mut().remove(flow);
            }
            Effect::Forward { to, hops, balancer } => send_frame(node, Kind::Packet, *to, *hops, *balancer, packet),
            Effect::ForwardHeld {
                flow,
                to,
                hops,
                balancer,
            } => {
                let held = node.held_syns.borrow_mut().remove(flow);
                if let Some(packet) = held {
                    send_frame(node, Kind::Packet, *to, *hops, *balancer, &packet);
                }
            }
            Effect::Query { to, balancer } => send_frame(node, Kind::Query, *to, 0, *balancer, packet),
            Effect::SendToClient { client } => node.send_to_client(*client, packet),
            Effect::RecordLatency(time) => {
                metrics::histogram!("dogwoodpitch_request_seconds").record(time.as_secs_f64());
            }
            Effect::Reset { flow, seq, evidence } => {
                log_reset(flow, evidence);
                node.send_to_client(*flow.client.ip(), &(node.platform.codec.reset)(*flow, *seq));
            }
            Effect::SendNote { to, note } => node.send_message(*to, &Message::Note(note.clone())),
            Effect::LogOpened { flow } => log_opened(node, flow),
            Effect::LogColdRate(rate) => log_cold_rate(*rate),
            Effect::Log { flow, event } => log_decision(node, flow, event),
        }
    }
}

fn log_decision(node: &Node, flow: &Flow, decision: &'static str) {
    metrics::counter!("dogwoodpitch_flows_decided_total", "decision" => decision).increment(1);
    let now = Instant::now();
    let (phase, load) = match &*node.state.borrow() {
        State::Agent(agent) => (agent.backend.phase(now), agent.load(now)),
        State::Balancer(_) => return,
    };
    log::info!(
        event = "flow.decided", client:% = flow.client, service:% = flow.service, decision, backend:? = phase,
        busy = load.busy, slots = load.slots, flows = load.flows, version = node.routes().version;
        "flow decided"
    );
}

fn log_cold_rate(rate: Option<f64>) {
    metrics::gauge!("dogwoodpitch_cold_limit").set(rate.unwrap_or(0.0));
    match rate {
        Some(rate) => log::info!(
            event = "backend.cold", rate;
            "backend server is or may be warming up, and its requests a second are limited"
        ),
        None => log::info!(event = "backend.warm"; "backend server is warm, and its requests are not limited"),
    }
}

fn log_reset(flow: &Flow, evidence: &Evidence) {
    metrics::counter!("dogwoodpitch_resets_total").increment(1);
    let decision = evidence.decision();
    metrics::counter!("dogwoodpitch_flows_decided_total", "decision" => decision).increment(1);
    let age_ms = |since: Instant| millis(since.elapsed());
    match evidence {
        Evidence::BackendEnded(held) | Evidence::Returned(held) => log::info!(
            event = "flow.reset", client:% = flow.client, service:% = flow.service, decision, state:? = held.state,
            client_ack = held.client_ack, backend_seq:? = held.backend_seq,
            age_ms = age_ms(held.opened_at);
            "flow of the local backend server reset"
        ),
        Evidence::DeniedByAll(denials) => log::info!(
            event = "flow.reset", client:% = flow.client, service:% = flow.service, decision,
            queried = denials.queried, silent = denials.silent, age_ms = age_ms(denials.started_at);
            "flow without an owner reset"
        ),
        Evidence::DeniedRecently | Evidence::RouteRemoved => log::info!(
            event = "flow.reset", client:% = flow.client, service:% = flow.service, decision;
            "flow reset"
        ),
    }
}

fn log_opened(node: &Node, flow: &Flow) {
    let State::Agent(agent) = &*node.state.borrow() else {
        return;
    };
    let Some(entry) = agent.table.get(*flow) else { return };
    log::info!(
        event = "flow.opened", client:% = flow.client, service:% = flow.service, hops = entry.hops,
        age_ms = millis(entry.opened_at.elapsed());
        "client opened the flow with the local backend server"
    );
}

fn deliver(node: &Node, packet: &[u8]) {
    if let Some(backend) = &node.settings.backend {
        node.packets.send(backend.address, &[], packet);
        node.packets.flush();
        if node.unanswered_since.get().is_none() {
            node.unanswered_since.set(Some(Instant::now()));
        }
    }
}

fn send_frame(node: &Node, kind: Kind, to: Ipv4Addr, hops: u8, balancer: Ipv4Addr, packet: &[u8]) {
    let header = Header {
        kind,
        hops,
        guessed: true,
        balancer,
        version: node.routes().version,
    };
    node.send(to, &header, packet);
}

/// Whether a stopping node may exit.
pub(super) fn may_stop(node: &Node, ticks: u64) -> bool {
    match (node.settings.role(), node.stance(Instant::now())) {
        (Role::Balancer, _) => false,
        (Role::Agent, Stance::Leaving) => ticks >= LEAVE_TICKS,
        (Role::Agent, _) => ticks >= STOP_TICKS,
    }
}

/// Checks the backend server's address by TCP connects. Detects sooner than heartbeats that the backend server is up after
/// a start, or that it ended without announcing it.
async fn check_backend(node: Rc<Node>, backend: Backend) {
    let mut interval = START_CHECK_INTERVAL;
    loop {
        let now = Instant::now();
        let silent = node
            .unanswered_since
            .get()
            .is_some_and(|since| now >= since + UNANSWERED_LIMIT);
        let (heard, phase) = match &*node.state.borrow() {
            State::Agent(agent) => (agent.backend.has_heartbeat(), agent.backend.phase(now)),
            State::Balancer(_) => return,
        };
        let due = match phase {
            Phase::Ready => silent,
            Phase::Draining => true,
            Phase::Down => !heard,
        };
        if due {
            let connect = TcpStream::connect(backend.address);
            let answer = time::timeout_at(now + CHECK_TIMEOUT, connect).await;
            handle_check_result(&node, now, answer.map(|answer| answer.map(drop)));
        }
        if heard || phase == Phase::Ready {
            interval = CHECK_INTERVAL;
        }
        let next = if refuses_connections(&node) {
            CLOSED_PORT_CHECK_INTERVAL
        } else {
            interval
        };
        time::sleep_until(Instant::now() + next).await;
    }
}

fn refuses_connections(node: &Node) -> bool {
    match &*node.state.borrow() {
        State::Agent(agent) => agent.backend.refuses_connections(),
        State::Balancer(_) => false,
    }
}

/// Handles the result of a check that began at `checked_at`.
fn handle_check_result(node: &Rc<Node>, checked_at: Instant, answer: Option<io::Result<()>>) {
    let now = Instant::now();
    let before = node.life(now);
    update_agent(node, &[], |agent, _, out| match answer {
        Some(Ok(())) => agent.backend.handle_connection_accepted(now),
        Some(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
            if agent.handle_connection_refused(checked_at, out) {
                log::warn!(
                    event = "backend.refused", flows = agent.table.open_flows();
                    "backend server refuses connections and its lifetime has ended"
                );
            }
        }
        // A timeout or another error is inconclusive: a slow backend server is still covered by its heartbeats.
        Some(Err(_)) | None => {}
    });
    report_change(node, before, now);
}
