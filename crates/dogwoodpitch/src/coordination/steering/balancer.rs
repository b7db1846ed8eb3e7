//! Receives client packets at a balancer and forwards, resets or drops them.

use std::{io, net::Ipv4Addr, rc::Rc, time::Instant};

use crate::{
    coordination::steering::{
        node::{Node, State, millis, reject},
        overflow,
    },
    protocol::steer::{Header, Kind},
    state::steering::{agent::Note, balancer::Decision, segment::Flow},
};

/// Receives client packets and acts on the balancer's decision for each.
pub(super) async fn receive(node: Rc<Node>) -> io::Result<()> {
    monoio::spawn(overflow::run(Rc::clone(&node)));
    loop {
        node.packets
            .recv(|from, packet| forward(&node, *from.ip(), packet))
            .await?;
        node.flush();
    }
}

fn forward(node: &Node, from: Ipv4Addr, packet: &[u8]) {
    let Some(segment) = (node.platform.codec.decode)(packet) else {
        reject(from, "packet is malformed");
        return;
    };
    let now = Instant::now();
    node.detect_stall(now);
    let decision = match &mut *node.state.borrow_mut() {
        State::Balancer(balancer) => balancer.handle_client_packet(&segment, &mut node.members.borrow_mut(), now),
        State::Agent(_) => return,
    };
    let flow = segment.flow_from_client();
    match decision {
        Decision::Forward { to, guessed, reason } => {
            let header = Header {
                kind: Kind::Packet,
                hops: 0,
                guessed,
                balancer: node.settings.ip,
                version: node.routes().version,
            };
            node.send(to, &header, packet);
            if reason != "owner" {
                log_forward(node, &flow, to, reason, now);
            }
        }
        Decision::Reset { seq, reason } => reset(node, flow, seq, reason),
        Decision::Drop { reason } => log_refusal(node, &flow, "drop", reason),
    }
}

/// Handles a note of an agent.
pub(super) fn handle_note(node: &Node, from: Ipv4Addr, received: &Note, now: Instant) {
    let State::Balancer(balancer) = &mut *node.state.borrow_mut() else {
        return;
    };
    match *received {
        Note::Learn(flow) => {
            let previous = balancer.learn(flow, from, now);
            log_owner(&flow, from, previous);
        }
        Note::Refuse(flow) => match balancer.handle_refusal(flow, now) {
            Decision::Reset { seq, reason } => reset(node, flow, seq, reason),
            Decision::Drop { reason } => log_refusal(node, &flow, "drop", reason),
            Decision::Forward { .. } => {}
        },
        _ => {}
    }
}

fn reset(node: &Node, flow: Flow, seq: u32, reason: &'static str) {
    let packet = (node.platform.codec.reset)(flow, seq);
    node.send_to_client(*flow.client.ip(), &packet);
    log_refusal(node, &flow, "reset", reason);
}

fn log_forward(node: &Node, flow: &Flow, to: Ipv4Addr, reason: &'static str, now: Instant) {
    metrics::counter!("dogwoodpitch_packets_decided_total", "reason" => reason).increment(1);
    let members = node.members.borrow();
    let Some(member) = members.get(to) else { return };
    let load = member.report.load;
    log::info!(
        event = "flow.forwarded", client:% = flow.client, service:% = flow.service, agent:% = to, reason,
        busy = load.busy, slots = load.slots, flows = load.flows, placed = member.pending_placements,
        age_ms = millis(member.age(now)), version = node.routes().version;
        "packet of a flow without a known owner forwarded to an agent"
    );
}

/// Logs that an agent has taken over a flow that was cached for another one.
fn log_owner(flow: &Flow, agent: Ipv4Addr, previous: Option<Ipv4Addr>) {
    if let Some(previous) = previous.filter(|previous| *previous != agent) {
        log::info!(
            event = "flow.owner", client:% = flow.client, service:% = flow.service, agent:% = agent, previous:% = previous;
            "another agent holds the flow"
        );
    }
}

fn log_refusal(node: &Node, flow: &Flow, outcome: &'static str, reason: &'static str) {
    metrics::counter!("dogwoodpitch_packets_refused_total", "outcome" => outcome, "reason" => reason).increment(1);
    log::info!(
        event = "flow.refused", client:% = flow.client, service:% = flow.service, outcome, reason,
        version = node.routes().version;
        "packet refused"
    );
}
