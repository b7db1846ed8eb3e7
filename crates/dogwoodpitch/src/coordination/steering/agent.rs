//! Packets and heartbeats of the backend server beside an agent.

use std::{
    collections::BTreeSet,
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
        node::{Node, State, reject},
        spawn_vital,
    },
    protocol::steer::{Header, Kind, Message},
    state::steering::{
        agent::{Agent, Effect, Via},
        backend::{Outcome, Phase},
        member::Stance,
        segment::{Flags, Flow},
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
            let body = match http::collect(body).await {
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
                Ok(word) if take_call(&node, &word) => http::response(StatusCode::OK, "application/json", "{}"),
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

fn with<R>(node: &Node, decide: impl FnOnce(&mut Agent, &mut Vec<Effect>) -> R) -> Option<(R, Vec<Effect>)> {
    let mut out = Vec::new();
    match &mut *node.state.borrow_mut() {
        State::Agent(agent) => {
            let result = decide(agent, &mut out);
            Some((result, out))
        }
        State::Balancer(_) => None,
    }
}

/// Takes the word of a backend server. Returns whether it counts.
fn take_call(node: &Rc<Node>, word: &Call) -> bool {
    let now = Instant::now();
    let result = with(node, |agent, out| {
        let before = agent.stance(now);
        let counts = match word {
            Call::Heartbeat(beat) => {
                let outcome = agent.heartbeat(beat, now, out);
                if outcome != Outcome::Continued {
                    log::info!(
                        event = "backend.heartbeat", outcome:? = outcome, number = beat.number, draining = beat.draining;
                        "heartbeat that is not the next one of the present lifetime"
                    );
                }
                outcome != Outcome::Stale
            }
            Call::Leave(id) => {
                let present = agent.backend.leave(id, now);
                log::info!(event = "backend.leaves", present; "backend server says that it ends");
                true
            }
        };
        (counts, before, agent.stance(now))
    });
    let Some(((counts, before, after), out)) = result else {
        return false;
    };
    execute(node, &out, &[]);
    if before != after {
        log::info!(event = "agent.stance", before:? = before, after:? = after; "stance changed");
        node.report_to(|_role| true);
    }
    counts
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
    if !segment.flags.contains(Flags::BOUNCED) {
        if let Some(((), out)) = with(node, |agent, out| agent.returned(&segment, now, out)) {
            execute(node, &out, packet);
        }
        return;
    }
    let members = node.members.borrow();
    let result = with(node, |agent, out| agent.bounced(&segment, &members, now, out));
    drop(members);
    if let Some(((), out)) = result {
        let mut packet = packet.to_vec();
        (node.platform.codec.clear_bounced)(&mut packet);
        execute(node, &out, &packet);
    }
}

/// Takes a client's packet that another node sent here.
pub(super) fn frame(node: &Rc<Node>, from: Ipv4Addr, header: &Header, packet: &[u8]) {
    let Some(segment) = (node.platform.codec.decode)(packet) else {
        reject(from, "packet in a frame is malformed");
        return;
    };
    let now = Instant::now();
    let via = Via {
        sender: from,
        balancer: header.balancer,
        hops: header.hops,
        guessed: header.guessed,
        version: header.version,
    };
    let members = node.members.borrow();
    let result = with(node, |agent, out| match header.kind {
        Kind::Ask => agent.asked(&segment, via, now, out),
        _ => agent.packet(&segment, via, &members, now, out),
    });
    drop(members);
    if let Some(((), out)) = result {
        execute(node, &out, packet);
    }
}

/// Does what was decided. `packet` is the packet at hand, if there is one.
pub(super) fn execute(node: &Rc<Node>, effects: &[Effect], packet: &[u8]) {
    for effect in effects {
        match effect {
            Effect::Deliver => deliver(node, packet),
            Effect::Pass { to, hops, balancer } => carry(node, Kind::Packet, *to, *hops, *balancer, packet),
            Effect::Ask { to, balancer } => carry(node, Kind::Ask, *to, 0, *balancer, packet),
            Effect::Return => {
                if let Some(segment) = (node.platform.codec.decode)(packet) {
                    node.send_client(*segment.target.ip(), packet);
                }
            }
            Effect::Answered(time) => {
                metrics::histogram!("dogwoodpitch_request_seconds").record(time.as_secs_f64());
            }
            Effect::Reset { flow, seq } => {
                metrics::counter!("dogwoodpitch_resets_total").increment(1);
                node.send_client(*flow.client.ip(), &(node.platform.codec.reset)(*flow, *seq));
            }
            Effect::Tell { to, note } => node.tell(*to, &Message::Note(note.clone())),
            Effect::Log { flow, event } => log_decision(node, flow, event),
        }
    }
}

fn log_decision(node: &Node, flow: &Flow, decision: &'static str) {
    metrics::counter!("dogwoodpitch_flows_decided_total", "decision" => decision).increment(1);
    let now = Instant::now();
    let Some(((phase, load), _)) = with(node, |agent, _| (agent.backend.phase(now), agent.load(now))) else {
        return;
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

/// Another process runs on the VM of a node.
pub(super) fn sibling_started(node: &Rc<Node>, sibling: Ipv4Addr) {
    if let Some(((), out)) = with(node, |agent, out| agent.sibling_started(sibling, out)) {
        execute(node, &out, &[]);
    }
}

/// The node is in the store's list and has read it.
pub(super) fn announced(node: &Node) {
    with(node, |agent, _| agent.announced());
}

/// Does what time brings.
pub(super) fn tick(node: &Rc<Node>, gone: &BTreeSet<Ipv4Addr>, now: Instant) {
    let members = node.members.borrow();
    let result = with(node, |agent, out| {
        agent.forget(gone);
        agent.tick(&members, now, out);
    });
    drop(members);
    if let Some(((), out)) = result {
        execute(node, &out, &[]);
    }
}

/// Whether a node that was asked to stop may end.
pub(super) fn may_stop(node: &Node, ticks: u64) -> bool {
    match &*node.state.borrow() {
        State::Balancer(_) => false,
        State::Agent(agent) if agent.stance(Instant::now()) == Stance::Leaving => ticks >= LEAVE_TICKS,
        State::Agent(_) => ticks >= STOP_TICKS,
    }
}

/// Whether the backend server has ended, so that the node does not come back.
pub(super) fn is_leaving(node: &Node) -> bool {
    match &*node.state.borrow() {
        State::Balancer(_) => false,
        State::Agent(agent) => agent.stance(Instant::now()) == Stance::Leaving,
    }
}

/// Finds out quickly that the backend server is up after a start, or that it has ended without a word: its address then
/// accepts or refuses connections.
async fn check_backend(node: Rc<Node>, backend: Backend) {
    let mut interval = START_CHECK_INTERVAL;
    loop {
        let now = Instant::now();
        let silent = node.unanswered_since.get().is_some_and(|since| now >= since + SILENCE);
        let state = with(&node, |agent, _| (agent.backend.is_heard(), agent.backend.phase(now)));
        let Some(((heard, phase), _)) = state else { return };
        let due = match phase {
            Phase::Ready => silent,
            Phase::Draining => true,
            Phase::Down => !heard,
        };
        if due {
            let connect = TcpStream::connect(backend.address);
            let answer = time::before(now + CHECK_TIMEOUT, connect).await;
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
    let result = with(node, |agent, out| match answer {
        Some(Ok(())) => agent.backend.accepted(now),
        Some(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
            if agent.refused(now, out) {
                log::warn!(event = "backend.refused"; "backend server has ended");
            }
        }
        // No answer in time, or another error: it may be slow, and says so by its heartbeats.
        Some(Err(_)) | None => {}
    });
    if let Some(((), out)) = result {
        execute(node, &out, &[]);
    }
}
