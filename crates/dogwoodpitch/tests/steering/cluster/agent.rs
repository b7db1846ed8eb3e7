//! Packets and effects at a node, and the calls and checks of its backend server.

use std::{net::Ipv4Addr, time::Instant};

use dogwoodpitch::state::steering::{
    agent::{Agent, Effect, Hop, Note},
    backend::{Outcome, Phase},
    balancer::Decision,
    evidence::Evidence,
    member::Members,
    segment::{Flags, Flow, Segment},
};

use super::{
    Event, MS, Time, World,
    backend::BackendEvent,
    message::Frame,
    node::{Call, State, Timer},
    oracle::Reset,
};

const UNANSWERED_LIMIT: Time = 300 * MS;
const CHECK_INTERVAL: Time = 500 * MS;
const CLOSED_PORT_CHECK_INTERVAL: Time = 100 * MS;

impl World {
    /// Updates the agent of a node and executes the effects. Does nothing at a balancer.
    pub(super) fn update_agent<R>(
        &mut self,
        ip: Ipv4Addr,
        packet: Option<Segment>,
        update: impl FnOnce(&mut Agent, &Members, &mut Vec<Effect>) -> R,
    ) -> Option<R> {
        let mut out = Vec::new();
        let node = self.nodes.get_mut(&ip)?;
        let State::Agent(agent) = &mut node.state else {
            return None;
        };
        let result = update(agent, &node.members, &mut out);
        if packet.is_none() {
            // The order of the agent's tables is random, but a simulation repeats exactly.
            for effect in &mut out {
                if let Effect::SendNote {
                    note: Note::Point(flows) | Note::Restore(flows),
                    ..
                } = effect
                {
                    flows.sort_unstable();
                }
            }
            out.sort_by_key(order);
        }
        for effect in out {
            self.execute(ip, effect, packet);
        }
        Some(result)
    }

    fn execute(&mut self, ip: Ipv4Addr, effect: Effect, packet: Option<Segment>) {
        match (effect, packet) {
            (Effect::Deliver, Some(segment)) => self.deliver(ip, segment),
            (Effect::Hold { flow }, Some(segment)) => {
                self.nodes
                    .get_mut(&ip)
                    .expect("the node runs")
                    .held_syns
                    .insert(flow, segment);
            }
            (Effect::Release { flow }, _) => {
                let held = self.nodes.get_mut(&ip).expect("the node runs").held_syns.remove(&flow);
                if let Some(segment) = held {
                    self.deliver(ip, segment);
                }
            }
            (Effect::Discard { flow }, _) => {
                self.nodes.get_mut(&ip).expect("the node runs").held_syns.remove(&flow);
            }
            (Effect::Forward { to, hops, balancer }, Some(segment)) => {
                self.send_packet(ip, to, hops, balancer, segment, false);
            }
            (
                Effect::ForwardHeld {
                    flow,
                    to,
                    hops,
                    balancer,
                },
                _,
            ) => {
                let held = self.nodes.get_mut(&ip).expect("the node runs").held_syns.remove(&flow);
                if let Some(segment) = held {
                    self.send_packet(ip, to, hops, balancer, segment, false);
                }
            }
            (Effect::Query { to, balancer }, Some(segment)) => self.send_packet(ip, to, 0, balancer, segment, true),
            (Effect::SendToClient { .. }, Some(segment)) => self.send_to_client(segment, None),
            (Effect::Reset { flow, seq, evidence }, _) => {
                let silent = matches!(&evidence, Evidence::DeniedByAll(denials) if denials.silent > 0);
                let reset = Reset {
                    by: ip,
                    kind: if silent {
                        "silence for a denial"
                    } else {
                        evidence.decision()
                    },
                    evidence: self.describe_evidence(&evidence),
                };
                self.send_reset(flow, seq, reset);
            }
            (Effect::SendNote { to, note }, _) if !to.is_unspecified() => self.send_frame(ip, to, Frame::Note(note)),
            (Effect::Log { flow, event }, _) => self.trace(flow, || format!("{ip} logs {event}")),
            _ => {}
        }
    }

    fn describe_evidence(&self, evidence: &Evidence) -> String {
        let age = |since: Instant| self.instant().saturating_duration_since(since).as_millis();
        match evidence {
            Evidence::BackendEnded(held) | Evidence::Returned(held) => format!(
                "{:?}, ack {}, seq {:?}, opened {} ms ago",
                held.state,
                held.client_ack,
                held.backend_seq,
                age(held.opened_at)
            ),
            Evidence::DeniedByAll(denials) => format!(
                "queried {}, silent {}, started {} ms ago",
                denials.queried,
                denials.silent,
                age(denials.started_at)
            ),
            Evidence::DeniedRecently | Evidence::RouteRemoved => String::new(),
        }
    }

    fn send_packet(
        &mut self,
        ip: Ipv4Addr,
        to: Ipv4Addr,
        hops: u8,
        balancer: Ipv4Addr,
        segment: Segment,
        is_query: bool,
    ) {
        let hop = Hop {
            sender: ip,
            balancer,
            hops,
            guessed: true,
            version: self.nodes[&ip].version,
        };
        self.send_frame(ip, to, Frame::Packet { hop, segment, is_query });
    }

    fn deliver(&mut self, ip: Ipv4Addr, segment: Segment) {
        let now = self.now;
        let node = self.nodes.get_mut(&ip).expect("the node runs");
        node.unanswered_since.get_or_insert(now);
        let delay = self.random.range(50, 200);
        self.schedule(delay, Event::Delivery(ip, segment));
    }

    fn send_to_client(&mut self, segment: Segment, reset: Option<Reset>) {
        if let Some(delay) = self.network.transit_to_client(&mut self.random, self.now) {
            self.schedule(delay, Event::ToClient(segment, reset));
        }
    }

    fn send_reset(&mut self, flow: Flow, seq: u32, reset: Reset) {
        let segment = Segment {
            source: flow.service,
            target: flow.client,
            flags: Flags::RST,
            seq,
            ack: 0,
            data_len: 0,
        };
        self.send_to_client(segment, Some(reset));
    }

    pub(super) fn handle_client_packet(&mut self, ip: Ipv4Addr, segment: Segment) {
        let now = self.instant();
        let node = self.nodes.get_mut(&ip).expect("the node runs");
        let version = node.version;
        let State::Balancer(balancer) = &mut node.state else {
            return;
        };
        let decision = balancer.handle_client_packet(&segment, &mut node.members, now);
        let flow = segment.flow_from_client();
        match decision {
            Decision::Forward { to, guessed, reason } => {
                self.trace(flow, || format!("{ip} forwards: {reason}"));
                let hop = Hop {
                    sender: ip,
                    balancer: ip,
                    hops: 0,
                    guessed,
                    version,
                };
                let frame = Frame::Packet {
                    hop,
                    segment,
                    is_query: false,
                };
                self.send_frame(ip, to, frame);
            }
            refusal => self.apply_refusal(ip, flow, refusal),
        }
    }

    /// Executes a decision of a balancer that forwards nothing.
    pub(super) fn apply_refusal(&mut self, ip: Ipv4Addr, flow: Flow, decision: Decision) {
        match decision {
            Decision::Reset { seq, reason } => {
                let reset = Reset {
                    by: ip,
                    kind: reason,
                    evidence: "balancer".to_owned(),
                };
                self.send_reset(flow, seq, reset);
            }
            Decision::Drop { reason } => self.trace(flow, || format!("{ip} drops: {reason}")),
            Decision::Forward { .. } => {}
        }
    }

    pub(super) fn handle_backend_packet(&mut self, ip: Ipv4Addr, segment: Segment) {
        let now = self.instant();
        let node = self.nodes.get_mut(&ip).expect("the node runs");
        node.unanswered_since = None;
        if !segment.flags.contains(Flags::RETURNED) {
            self.update_agent(ip, Some(segment), |agent, _, out| {
                agent.handle_backend_packet(&segment, now, out);
            });
            return;
        }
        let cleared = [Flags::SYN, Flags::ACK, Flags::FIN, Flags::RST]
            .into_iter()
            .filter(|flag| segment.flags.contains(*flag))
            .fold(Flags::default(), Flags::union);
        let packet = Segment {
            flags: cleared,
            ..segment
        };
        self.update_agent(ip, Some(packet), |agent, members, out| {
            agent.handle_returned_packet(&segment, members, now, out);
        });
    }

    pub(super) fn handle_call(&mut self, ip: Ipv4Addr, lifetime: u64, call: &Call) {
        let now = self.instant();
        let before = self.life(ip);
        match call {
            Call::Heartbeat(heartbeat) => {
                let outcome = self.update_agent(ip, None, |agent, _, out| agent.handle_heartbeat(heartbeat, now, out));
                if outcome != Some(Outcome::Continued) {
                    let number = heartbeat.number;
                    self.note(ip, || format!("heartbeat {number} of lifetime {lifetime}: {outcome:?}"));
                }
                if outcome != Some(Outcome::Stale) {
                    let draining = heartbeat.draining;
                    let event = BackendEvent::HeartbeatConfirmed { draining };
                    self.schedule(MS / 2, Event::Backend { ip, lifetime, event });
                }
            }
            Call::ExitNotice(id) => {
                self.update_agent(ip, None, |agent, _, _| agent.backend.handle_exit_notice(id, now));
            }
        }
        self.report_change(ip, before);
    }

    pub(super) fn check_backend(&mut self, ip: Ipv4Addr) {
        let (now, instant) = (self.now, self.instant());
        let node = self.nodes.get_mut(&ip).expect("the node runs");
        let State::Agent(agent) = &node.state else { return };
        let silent = node
            .unanswered_since
            .is_some_and(|since| now >= since + UNANSWERED_LIMIT);
        let (heard, phase) = (agent.backend.has_heartbeat(), agent.backend.phase(instant));
        let due = match phase {
            Phase::Ready => silent,
            Phase::Draining => true,
            Phase::Down => !heard,
        };
        if heard || phase == Phase::Ready {
            node.check_interval = CHECK_INTERVAL;
        }
        if !due {
            self.schedule_check(ip, 0);
            return;
        }
        let accepted = self.backends.get(&ip).is_some_and(|backend| backend.port_open);
        let delay = self.random.range(100, MS);
        let result = Timer::CheckResult {
            checked_at: now,
            accepted,
        };
        self.timer(ip, delay, result);
        self.schedule_check(ip, delay);
    }

    fn schedule_check(&mut self, ip: Ipv4Addr, after: Time) {
        let node = &self.nodes[&ip];
        let State::Agent(agent) = &node.state else { return };
        let interval = if agent.backend.refuses_connections() {
            CLOSED_PORT_CHECK_INTERVAL
        } else {
            node.check_interval
        };
        self.timer(ip, after + interval, Timer::Check);
    }

    pub(super) fn handle_check_result(&mut self, ip: Ipv4Addr, checked_at: Time, accepted: bool) {
        let now = self.instant();
        let checked_at = self.instant_at(checked_at);
        let before = self.life(ip);
        let ended = self.update_agent(ip, None, |agent, _, out| {
            if accepted {
                agent.backend.handle_connection_accepted(now);
                return false;
            }
            agent.handle_connection_refused(checked_at, out)
        });
        if !accepted {
            self.note(ip, || format!("check refused, lifetime ended: {ended:?}"));
        }
        self.report_change(ip, before);
    }
}

/// Order of the effects of an event that concerns several flows.
fn order(effect: &Effect) -> (u8, Option<Flow>, Option<Ipv4Addr>, usize) {
    match effect {
        Effect::Discard { flow } => (0, Some(*flow), None, 0),
        Effect::Release { flow } => (1, Some(*flow), None, 0),
        Effect::Reset { flow, .. } => (2, Some(*flow), None, 0),
        Effect::SendNote { to, note } => match note {
            Note::Learn(flow) | Note::Claim(flow) | Note::Deny(flow) | Note::Refuse(flow) => {
                (3, Some(*flow), Some(*to), 0)
            }
            Note::Point(flows) | Note::Restore(flows) => (4, flows.first().copied(), Some(*to), flows.len()),
            Note::WasDraining => (5, None, Some(*to), 0),
        },
        Effect::Log { flow, .. } => (6, Some(*flow), None, 0),
        _ => (7, None, None, 0),
    }
}
