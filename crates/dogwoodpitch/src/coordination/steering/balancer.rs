//! Packets of clients at a balancer.

use std::{io, net::Ipv4Addr, rc::Rc, time::Instant};

use crate::{
    coordination::steering::node::{Node, State},
    protocol::steer::{Header, Kind},
    state::steering::balancer::Decision,
};

/// Receives the clients' packets and sends each where the decision says.
pub(super) async fn receive(node: Rc<Node>) -> io::Result<()> {
    loop {
        node.packets
            .recv(|from, packet| forward(&node, *from.ip(), packet))
            .await?;
        node.flush();
    }
}

fn forward(node: &Node, from: Ipv4Addr, packet: &[u8]) {
    let Some(segment) = (node.platform.codec.decode)(packet) else {
        node.reject(from, "packet is malformed");
        return;
    };
    let now = Instant::now();
    let decision = match &mut *node.state.borrow_mut() {
        State::Balancer(balancer) => balancer.packet(&segment, &mut node.members.borrow_mut(), now),
        State::Agent(_) => return,
    };
    let flow = segment.from_client();
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
            if reason != "owner"
                && let Some(suppressed) = node.decisions.admit(now)
            {
                log::info!(
                    event = "packet.placed", client:% = flow.client, service:% = flow.service, agent:% = to, reason,
                    suppressed;
                    "packet placed"
                );
            }
        }
        Decision::Reset { seq, reason } => {
            let reset = (node.platform.codec.reset)(flow, seq);
            node.send_client(*flow.client.ip(), &reset);
            log_refusal(node, &flow, "reset", reason, now);
        }
        Decision::Drop { reason } => log_refusal(node, &flow, "drop", reason, now),
    }
}

fn log_refusal(
    node: &Node,
    flow: &crate::state::steering::segment::Flow,
    outcome: &'static str,
    reason: &'static str,
    now: Instant,
) {
    metrics::counter!("dogwoodpitch_packets_refused_total", "outcome" => outcome, "reason" => reason).increment(1);
    if let Some(suppressed) = node.decisions.admit(now) {
        log::info!(
            event = "packet.refused", client:% = flow.client, service:% = flow.service, outcome, reason, suppressed;
            "packet refused"
        );
    }
}
