//! Packets and heartbeats of the backend server beside an agent.

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
        node::{Life, Node, State, reject},
        spawn_vital,
    },
    protocol::steer::{Header, Kind, Message},
    state::{
        roster::Role,
        steering::{
            agent::{Agent, Effect, Hop},
            backend::{Outcome, Phase},
            member::Members,
            report::Stance,
            segment::{Flags, Flow},
        },
    },
    transport::{http, time},
};

/// Time without a packet of the backend server, after it was given some, before its address is tried.
const SILENCE: Duration = Duration::from_millis(300);
/// Time for the backend server's address to accept or refuse a connection; it is on the same VM.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);
/// Time between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two checks until the backend server is up.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Ticks that an agent serves on after it was asked to stop, so that short requests end before its process does.
const STOP_TICKS: u64 = 10;
/// Ticks until the word that the agent leaves has reached the others, with a repetition.
const LEAVE_TICKS: u64 = 2;

/// Starts the tasks of an agent.
pub(super) fn spawn(node: &Rc<Node>) -> io::Result<()> {
    let Some(backend) = node.settings.backend.clone() else {
        return Ok(());
    };
    spawn_vital("outbound", receive(Rc::clone(node)));
    let listener = TcpListener::bind(backend.heartbeats)?;
    let heartbeats = Rc::clone(node);
    monoio::spawn(http::serve(listener, move |_peer, request| {
        let node = Rc::clone(&heartbeats);
        async move {
            let (head, body) = request.into_parts();
            let body = match http::read_body(body).await {
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
                Ok(call) if take_call(&node, &call) => http::response(StatusCode::OK, "application/json", "{}"),
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

/// Lets the agent decide, and does what it decided. `packet` is the packet at hand, if there is one. `None` at a balancer.
pub(super) fn decide<R>(
    node: &Rc<Node>,
    packet: &[u8],
    decide: impl FnOnce(&mut Agent, &Members, &mut Vec<Effect>) -> R,
) -> Option<R> {
    let mut out = Vec::new();
    let result = match &mut *node.state.borrow_mut() {
        State::Agent(agent) => decide(agent, &node.members.borrow(), &mut out),
        State::Balancer(_) => return None,
    };
    execute(node, &out, packet);
    Some(result)
}

/// Takes a call of the backend server. Returns whether it counts.
fn take_call(node: &Rc<Node>, call: &Call) -> bool {
    let now = Instant::now();
    let before = node.life(now);
    let counts = decide(node, &[], |agent, _, out| match call {
        Call::Heartbeat(beat) => {
            let outcome = agent.handle_heartbeat(beat, now, out);
            if outcome != Outcome::Continued {
                log::info!(
                    event = "backend.heartbeat", outcome:? = outcome, number = beat.number, draining = beat.draining;
                    "heartbeat that is not the next one of the present lifetime"
                );
            }
            outcome != Outcome::Stale
        }
        Call::Leave(id) => {
            let present = agent.backend.handle_exit_notice(id, now);
            log::info!(event = "backend.leaves", present; "backend server says that it ends");
            true
        }
    });
    report_change(node, before, now);
    counts.unwrap_or(false)
}

/// Tells all nodes at once that the agent is to be used in another way.
fn report_change(node: &Node, before: Life, now: Instant) {
    let after = node.life(now);
    if before != after {
        log::info!(event = "agent.stance", before:? = before, after:? = after; "stance changed");
        node.report_to(|_role| true);
    }
}

async fn receive(node: Rc<Node>) -> io::Result<()> {
    loop {
        node.packets.recv(|_from, packet| from_backend(&node, packet)).await?;
        node.flush();
    }
}

fn from_backend(node: &Rc<Node>, packet: &[u8]) {
    let Some(segment) = (node.platform.codec.decode)(packet) else {
        reject(node.settings.ip, "packet of the backend server is malformed");
        return;
    };
    node.unanswered_since.set(None);
    let now = Instant::now();
    if !segment.flags.contains(Flags::RETURNED) {
        decide(node, packet, |agent, _, out| {
            agent.handle_backend_packet(&segment, now, out);
        });
        return;
    }
    let mut packet = packet.to_vec();
    (node.platform.codec.clear_bounced)(&mut packet);
    decide(node, &packet, |agent, members, out| {
        agent.handle_returned_packet(&segment, members, now, out);
    });
}

/// Takes a client's packet that another node sent here.
pub(super) fn frame(node: &Rc<Node>, from: Ipv4Addr, header: &Header, packet: &[u8]) {
    let Some(segment) = (node.platform.codec.decode)(packet) else {
        reject(from, "packet in a frame is malformed");
        return;
    };
    let now = Instant::now();
    let via = Hop {
        sender: from,
        balancer: header.balancer,
        hops: header.hops,
        guessed: header.guessed,
        version: header.version,
    };
    decide(node, packet, |agent, members, out| match header.kind {
        Kind::Query => agent.handle_query(&segment, via, now, out),
        _ => agent.handle_client_packet(&segment, via, members, now, out),
    });
}

fn execute(node: &Rc<Node>, effects: &[Effect], packet: &[u8]) {
    for effect in effects {
        match effect {
            Effect::Deliver => deliver(node, packet),
            Effect::Hold { flow } => {
                node.held.borrow_mut().insert(*flow, packet.to_vec());
            }
            Effect::Release { flow } => {
                let held = node.held.borrow_mut().remove(flow);
                if let Some(packet) = held {
                    deliver(node, &packet);
                }
            }
            Effect::Discard { flow } => {
                node.held.borrow_mut().remove(flow);
            }
            Effect::Forward { to, hops, balancer } => carry(node, Kind::Packet, *to, *hops, *balancer, packet),
            Effect::Query { to, balancer } => carry(node, Kind::Query, *to, 0, *balancer, packet),
            Effect::SendToClient { client } => node.send_client(*client, packet),
            Effect::RecordLatency(time) => {
                metrics::histogram!("dogwoodpitch_request_seconds").record(time.as_secs_f64());
            }
            Effect::Reset { flow, seq } => {
                metrics::counter!("dogwoodpitch_resets_total").increment(1);
                node.send_client(*flow.client.ip(), &(node.platform.codec.reset)(*flow, *seq));
            }
            Effect::SendNote { to, note } => node.tell(*to, &Message::Note(note.clone())),
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

fn deliver(node: &Node, packet: &[u8]) {
    if let Some(backend) = &node.settings.backend {
        node.packets.send(backend.address, &[], packet);
        node.packets.flush();
        if node.unanswered_since.get().is_none() {
            node.unanswered_since.set(Some(Instant::now()));
        }
    }
}

fn carry(node: &Node, kind: Kind, to: Ipv4Addr, hops: u8, balancer: Ipv4Addr, packet: &[u8]) {
    let header = Header {
        kind,
        hops,
        guessed: true,
        balancer,
        version: node.routes().version,
    };
    node.send(to, &header, packet);
}

/// Whether a node that was asked to stop may end.
pub(super) fn may_stop(node: &Node, ticks: u64) -> bool {
    match (node.settings.role(), node.stance(Instant::now())) {
        (Role::Balancer, _) => false,
        (Role::Agent, Stance::Leaving) => ticks >= LEAVE_TICKS,
        (Role::Agent, _) => ticks >= STOP_TICKS,
    }
}

/// Finds out quickly that the backend server is up after a start, or that it has ended without a word: its address then
/// accepts or refuses connections.
async fn check_backend(node: Rc<Node>, backend: Backend) {
    let mut interval = START_CHECK_INTERVAL;
    loop {
        let now = Instant::now();
        let silent = node.unanswered_since.get().is_some_and(|since| now >= since + SILENCE);
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
            take_check(&node, answer.map(|answer| answer.map(drop)));
        }
        if heard || phase == Phase::Ready {
            interval = CHECK_INTERVAL;
        }
        time::sleep_until(Instant::now() + interval).await;
    }
}

fn take_check(node: &Rc<Node>, answer: Option<io::Result<()>>) {
    let now = Instant::now();
    let before = node.life(now);
    decide(node, &[], |agent, _, out| match answer {
        Some(Ok(())) => agent.backend.handle_connection_accepted(now),
        Some(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
            if agent.handle_connection_refused(now, out) {
                log::warn!(event = "backend.refused"; "backend server has ended");
            }
        }
        // No answer in time, or another error: it may be slow, and says so by its heartbeats.
        Some(Err(_)) | None => {}
    });
    report_change(node, before, now);
}
