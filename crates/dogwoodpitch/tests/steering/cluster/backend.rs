//! Backend server: answers SYNs and requests, and returns packets of flows that it does not hold.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::Ipv4Addr,
};

use dogwoodpitch::state::steering::{
    backend::Heartbeat,
    segment::{Flags, Flow, Segment},
};

use super::{
    Event, MS, Time, World,
    node::{Call, Input},
    random::Random,
};

/// Interval of heartbeats.
pub(super) const HEARTBEAT_INTERVAL: Time = 770 * MS;
/// Time after which a backend server discards a flow that its client has not opened.
const HANDSHAKE_TIMEOUT: Time = 4_000 * MS;
const MIN_RETRANSMISSION: Time = 200 * MS;
const MAX_RETRANSMISSION: Time = 1_600 * MS;
const MAX_RETRANSMISSIONS: u32 = 8;
const DRAIN: Time = 3_000 * MS;
/// Longest time between the exit notice and the exit.
const MAX_EXIT_DELAY: Time = 190 * MS;
/// Longest time between the start and the first heartbeat.
const MAX_FIRST_HEARTBEAT: Time = 2_200 * MS;
/// Longest time between the start and the moment when the port accepts connections. It does so before the first heartbeat.
const MAX_CLOSED_PORT: Time = 1_200 * MS;

/// Packet that has not been acknowledged.
#[derive(Debug, Clone, Copy)]
pub(super) struct Unacknowledged {
    pub(super) seq: u32,
    pub(super) len: u16,
    pub(super) flags: Flags,
    pub(super) sent: u32,
    pub(super) due_at: Time,
}

impl Unacknowledged {
    pub(super) fn end(&self) -> u32 {
        let closing = u32::from(self.flags.contains(Flags::FIN) || self.flags.contains(Flags::SYN));
        self.seq.wrapping_add(u32::from(self.len)).wrapping_add(closing)
    }

    /// Schedules the next retransmission.
    pub(super) fn retransmit(&mut self, now: Time) {
        self.sent += 1;
        self.due_at = now + (MIN_RETRANSMISSION << self.sent.min(3)).min(MAX_RETRANSMISSION);
    }

    pub(super) fn first(seq: u32, len: u16, flags: Flags, now: Time) -> Self {
        Self {
            seq,
            len,
            flags,
            sent: 0,
            due_at: now + MIN_RETRANSMISSION,
        }
    }
}

/// Whether `ack` covers everything before `end`.
pub(super) fn covers(ack: u32, end: u32) -> bool {
    ack.wrapping_sub(end) < u32::MAX / 2
}

#[derive(Debug, Clone)]
#[expect(clippy::struct_excessive_bools, reason = "the flags are independent")]
struct Held {
    initial_seq: u32,
    opened: bool,
    started_at: Time,
    next_seq: u32,
    /// Next sequence number that is expected from the client.
    client_next: u32,
    unacknowledged: Vec<Unacknowledged>,
    requests: u32,
    fin_sent: bool,
    fin_received: bool,
    /// Whether the backend server closes the flow after its next response.
    one_shot: bool,
}

/// Backend server beside an agent.
#[derive(Debug, Clone)]
pub(super) struct Backend {
    pub(super) lifetime: u64,
    pub(super) id: u64,
    started_ms: u64,
    slots: u32,
    heartbeats: u64,
    pub(super) draining: bool,
    pub(super) port_open: bool,
    /// Whether the VM is paused. Events wait until its end.
    pub(super) paused_until: Time,
    slow_until: Time,
    running: u32,
    waiting: VecDeque<Flow>,
    flows: BTreeMap<Flow, Held>,
    ended: BTreeSet<Flow>,
    drain_confirmed: bool,
    max_flows: usize,
}

/// Event at a backend server.
#[derive(Debug, Clone)]
pub(super) enum BackendEvent {
    Heartbeat,
    OpenPort,
    RespondTo(Flow),
    Retransmit(Flow),
    HeartbeatConfirmed { draining: bool },
    ClosePort,
    ExitNotice,
    Exit,
}

impl Backend {
    pub(super) fn holds(&self, flow: Flow) -> bool {
        self.flows.get(&flow).is_some_and(|held| held.opened)
    }

    pub(super) fn slow_down(&mut self, until: Time) {
        self.slow_until = until;
    }
}

impl World {
    /// Starts a backend server, with a new lifetime.
    pub(super) fn start_backend(&mut self, ip: Ipv4Addr, same_id: bool) {
        self.last_change = self.now;
        let lifetime = self.next_number();
        let previous = self.last_backend_ids.get(&ip).copied();
        let id = previous.filter(|_| same_id).unwrap_or(lifetime);
        self.last_backend_ids.insert(ip, id);
        let started_ms = self.clock_ms(ip);
        let late_heartbeat = self.random.chance(15);
        let late_port = self.random.chance(25);
        let slots = u32::try_from(self.random.range(2, 9)).expect("small");
        let max_flows = if self.random.chance(15) { 4 } else { 200 };
        self.backends.insert(
            ip,
            Backend {
                lifetime,
                id,
                started_ms,
                slots,
                heartbeats: 0,
                draining: false,
                port_open: !late_port,
                paused_until: 0,
                slow_until: self.now + self.random.below(2_000 * MS),
                running: 0,
                waiting: VecDeque::new(),
                flows: BTreeMap::new(),
                ended: BTreeSet::new(),
                drain_confirmed: false,
                max_flows,
            },
        );
        let first = if late_heartbeat {
            self.random.range(HEARTBEAT_INTERVAL, MAX_FIRST_HEARTBEAT)
        } else {
            self.random.below(400 * MS)
        };
        self.at_backend(ip, lifetime, first, BackendEvent::Heartbeat);
        if late_port {
            let delay = self.random.below(MAX_CLOSED_PORT.min(first).max(1));
            self.at_backend(ip, lifetime, delay, BackendEvent::OpenPort);
        }
        self.note(ip, || {
            format!(
                "backend server starts: lifetime {lifetime}, id {id}, first heartbeat in {} ms, late port {late_port}",
                first / MS
            )
        });
    }

    /// Ends the lifetime of a backend server.
    pub(super) fn end_backend(&mut self, ip: Ipv4Addr, reason: &str) {
        if let Some(backend) = self.backends.remove(&ip) {
            self.last_change = self.now;
            self.note(ip, || {
                format!("backend server ends: lifetime {}, {reason}", backend.lifetime)
            });
            self.oracle.end_lifetime(backend.lifetime, self.now);
        }
    }

    /// Begins to drain a backend server; it exits after that.
    pub(super) fn drain_backend(&mut self, ip: Ipv4Addr) {
        let Some(backend) = self.backends.get_mut(&ip) else {
            return;
        };
        if backend.draining {
            return;
        }
        backend.draining = true;
        let lifetime = backend.lifetime;
        self.note(ip, || "backend server drains".to_owned());
        self.at_backend(ip, lifetime, 0, BackendEvent::Heartbeat);
        // Without a confirmation it exits anyway.
        self.at_backend(ip, lifetime, 8_000 * MS, BackendEvent::ExitNotice);
    }

    fn at_backend(&mut self, ip: Ipv4Addr, lifetime: u64, delay: Time, event: BackendEvent) {
        self.schedule(delay, Event::Backend { ip, lifetime, event });
    }

    pub(super) fn handle_backend_event(&mut self, ip: Ipv4Addr, lifetime: u64, event: BackendEvent) {
        let Some(backend) = self
            .backends
            .get_mut(&ip)
            .filter(|backend| backend.lifetime == lifetime)
        else {
            return;
        };
        if self.now < backend.paused_until {
            let delay = backend.paused_until - self.now;
            self.at_backend(ip, lifetime, delay, event);
            return;
        }
        match event {
            BackendEvent::Heartbeat => {
                backend.heartbeats += 1;
                let heartbeat = Heartbeat {
                    id: format!("i-{}", backend.id).into(),
                    started_ms: Some(backend.started_ms),
                    number: backend.heartbeats,
                    draining: backend.draining,
                    slots: backend.slots,
                    warm_up: super::duration(backend.slow_until.saturating_sub(self.now)),
                };
                let delay = HEARTBEAT_INTERVAL * self.random.range(92, 108) / 100;
                self.at_backend(ip, lifetime, delay, BackendEvent::Heartbeat);
                self.schedule(
                    MS / 2,
                    Event::Input(
                        ip,
                        Input::Call {
                            lifetime,
                            call: Call::Heartbeat(heartbeat),
                        },
                    ),
                );
            }
            BackendEvent::OpenPort => backend.port_open = true,
            BackendEvent::ClosePort => backend.port_open = false,
            BackendEvent::HeartbeatConfirmed { draining } => {
                if draining && !backend.drain_confirmed {
                    backend.drain_confirmed = true;
                    let extra = if self.random.chance(30) {
                        self.random.below(6_000 * MS)
                    } else {
                        self.random.below(800 * MS)
                    };
                    self.at_backend(ip, lifetime, DRAIN + extra, BackendEvent::ExitNotice);
                }
            }
            BackendEvent::ExitNotice => {
                let id = format!("i-{}", backend.id).into();
                self.note(ip, || "backend server sends its exit notice".to_owned());
                self.schedule(
                    MS / 2,
                    Event::Input(
                        ip,
                        Input::Call {
                            lifetime,
                            call: Call::ExitNotice(id),
                        },
                    ),
                );
                let exit = self.random.below(MAX_EXIT_DELAY);
                let close = self.random.below(exit.max(1));
                self.at_backend(ip, lifetime, close, BackendEvent::ClosePort);
                self.at_backend(ip, lifetime, exit, BackendEvent::Exit);
            }
            BackendEvent::Exit => {
                self.end_backend(ip, "exits");
                self.handle_backend_exit(ip);
            }
            BackendEvent::RespondTo(flow) => self.respond(ip, flow),
            BackendEvent::Retransmit(flow) => self.retransmit_from_backend(ip, flow),
        }
    }

    /// Delivers a client's packet to the backend server.
    pub(super) fn handle_delivery(&mut self, ip: Ipv4Addr, segment: Segment) {
        let now = self.now;
        let Some(backend) = self.backends.get_mut(&ip) else {
            return;
        };
        if now < backend.paused_until {
            let delay = backend.paused_until - now;
            self.schedule(delay, Event::Delivery(ip, segment));
            return;
        }
        let flow = segment.flow_from_client();
        let lifetime = backend.lifetime;
        if segment.is_initial_syn() {
            self.check_evacuation(flow, ip);
            self.handle_syn_at_backend(ip, segment);
            return;
        }
        let is_returned = match backend.flows.get(&flow) {
            None => !backend.ended.contains(&flow),
            Some(held) => !held.opened && segment.ack != held.initial_seq.wrapping_add(1),
        };
        self.oracle.record_arrival(flow, ip, lifetime, now);
        if is_returned {
            self.trace(flow, || {
                format!("backend server of {ip} returns a packet, ack {}", segment.ack)
            });
            self.return_packet(ip, segment);
            return;
        }
        let backend = self.backends.get_mut(&ip).expect("checked above");
        let Some(held) = backend.flows.get_mut(&flow) else {
            // The flow has ended here.
            if segment.flags.contains(Flags::FIN) {
                let seq = segment.ack;
                let ack = segment.seq.wrapping_add(u32::from(segment.data_len)).wrapping_add(1);
                self.send_from_backend(ip, flow, Flags::ACK, seq, ack, 0);
            } else if segment.data_len > 0 {
                self.send_from_backend(ip, flow, Flags::RST, segment.ack, 0, 0);
            }
            return;
        };
        if segment.flags.contains(Flags::RST) {
            backend.flows.remove(&flow);
            self.oracle.close(flow);
            return;
        }
        if !held.opened {
            held.opened = true;
            held.unacknowledged.clear();
            let initial_seq = held.initial_seq;
            self.oracle.open(flow, ip, lifetime, now);
            self.trace(flow, || {
                format!("opens at {ip}, lifetime {lifetime}, seq {initial_seq}")
            });
        }
        self.handle_data_at_backend(ip, segment);
    }

    fn handle_data_at_backend(&mut self, ip: Ipv4Addr, segment: Segment) {
        let now = self.now;
        let flow = segment.flow_from_client();
        let backend = self.backends.get_mut(&ip).expect("it has the flow");
        let held = backend.flows.get_mut(&flow).expect("it has the flow");
        held.unacknowledged.retain(|packet| !covers(segment.ack, packet.end()));
        let len = u32::from(segment.data_len);
        let carries = len > 0 || segment.flags.contains(Flags::FIN);
        if carries && segment.seq == held.client_next {
            held.client_next = held.client_next.wrapping_add(len);
            if len > 0 {
                held.requests += 1;
                if !held.fin_sent {
                    backend.waiting.push_back(flow);
                }
            }
            if segment.flags.contains(Flags::FIN) {
                held.client_next = held.client_next.wrapping_add(1);
                held.fin_received = true;
            }
        }
        let (next_seq, client_next) = (held.next_seq, held.client_next);
        let closes = held.fin_received && held.requests == 0 && !held.fin_sent;
        let finished = held.fin_received && held.fin_sent && held.unacknowledged.is_empty();
        if carries {
            self.send_from_backend(ip, flow, Flags::ACK, next_seq, client_next, 0);
        }
        if closes {
            self.send_fin_from_backend(ip, flow, now);
        }
        if finished || closes {
            self.oracle.close(flow);
        }
        if finished {
            let backend = self.backends.get_mut(&ip).expect("it has the flow");
            backend.flows.remove(&flow);
            backend.ended.insert(flow);
        }
        self.run_requests(ip);
    }

    fn handle_syn_at_backend(&mut self, ip: Ipv4Addr, segment: Segment) {
        let now = self.now;
        let flow = segment.flow_from_client();
        let full = self.random.chance(3);
        let returns_copy = self.random.chance(20);
        let initial_seq = self.random.seq();
        let one_shot = self.random.chance(10);
        let backend = self.backends.get_mut(&ip).expect("the caller checks it");
        let lifetime = backend.lifetime;
        if let Some(held) = backend.flows.get(&flow) {
            let (seq, opened) = (held.initial_seq, held.opened);
            if opened || returns_copy {
                self.return_packet(ip, segment);
            } else {
                let flags = Flags::SYN.union(Flags::ACK);
                self.send_from_backend(ip, flow, flags, seq, segment.seq.wrapping_add(1), 0);
            }
            return;
        }
        let queued = backend.waiting.len() + usize::try_from(backend.running).expect("fits");
        let limit = usize::try_from(backend.slots * 3).expect("fits");
        if full || backend.flows.len() >= backend.max_flows || queued >= limit || backend.ended.contains(&flow) {
            self.trace(flow, || format!("backend server of {ip} returns the SYN"));
            self.return_packet(ip, segment);
            return;
        }
        let flags = Flags::SYN.union(Flags::ACK);
        backend.flows.insert(
            flow,
            Held {
                initial_seq,
                opened: false,
                started_at: now,
                next_seq: initial_seq.wrapping_add(1),
                client_next: segment.seq.wrapping_add(1),
                unacknowledged: vec![Unacknowledged::first(initial_seq, 0, flags, now)],
                requests: 0,
                fin_sent: false,
                fin_received: false,
                one_shot,
            },
        );
        self.trace(flow, || {
            format!("backend server of {ip} answers the SYN with seq {initial_seq}")
        });
        self.send_from_backend(ip, flow, flags, initial_seq, segment.seq.wrapping_add(1), 0);
        self.at_backend(ip, lifetime, MIN_RETRANSMISSION, BackendEvent::Retransmit(flow));
    }

    fn return_packet(&mut self, ip: Ipv4Addr, segment: Segment) {
        let returned = Segment {
            flags: segment.flags.union(Flags::RETURNED),
            ..segment
        };
        let delay = self.random.range(50, 200);
        self.schedule(delay, Event::Input(ip, Input::FromBackend(returned)));
    }

    fn send_from_backend(&mut self, ip: Ipv4Addr, flow: Flow, flags: Flags, seq: u32, ack: u32, data_len: u16) {
        let segment = Segment {
            source: flow.service,
            target: flow.client,
            flags,
            seq,
            ack,
            data_len,
        };
        let delay = self.random.range(50, 200);
        self.schedule(delay, Event::Input(ip, Input::FromBackend(segment)));
    }

    fn send_fin_from_backend(&mut self, ip: Ipv4Addr, flow: Flow, now: Time) {
        let Some(backend) = self.backends.get_mut(&ip) else {
            return;
        };
        let lifetime = backend.lifetime;
        let Some(held) = backend.flows.get_mut(&flow) else {
            return;
        };
        let (seq, ack) = (held.next_seq, held.client_next);
        let flags = Flags::FIN.union(Flags::ACK);
        held.fin_sent = true;
        held.next_seq = seq.wrapping_add(1);
        held.unacknowledged.push(Unacknowledged::first(seq, 0, flags, now));
        self.trace(flow, || format!("backend server of {ip} sends FIN"));
        self.send_from_backend(ip, flow, flags, seq, ack, 0);
        self.at_backend(ip, lifetime, MIN_RETRANSMISSION, BackendEvent::Retransmit(flow));
    }

    /// Starts waiting requests in free slots.
    fn run_requests(&mut self, ip: Ipv4Addr) {
        loop {
            let Some(backend) = self.backends.get_mut(&ip) else {
                return;
            };
            if backend.running >= backend.slots {
                return;
            }
            let Some(flow) = backend.waiting.pop_front() else {
                return;
            };
            backend.running += 1;
            let slowness = if self.now < backend.slow_until { 8 } else { 1 };
            let lifetime = backend.lifetime;
            let delay = service_time(&mut self.random) * slowness;
            self.at_backend(ip, lifetime, delay, BackendEvent::RespondTo(flow));
        }
    }

    fn respond(&mut self, ip: Ipv4Addr, flow: Flow) {
        let now = self.now;
        let backend = self.backends.get_mut(&ip).expect("the caller checks it");
        backend.running -= 1;
        let (lifetime, draining) = (backend.lifetime, backend.draining);
        let Some(held) = backend.flows.get_mut(&flow) else {
            self.run_requests(ip);
            return;
        };
        held.requests -= 1;
        let len = 700;
        let (seq, ack) = (held.next_seq, held.client_next);
        held.next_seq = seq.wrapping_add(u32::from(len));
        held.unacknowledged
            .push(Unacknowledged::first(seq, len, Flags::ACK, now));
        let closes = (draining || held.one_shot || held.fin_received) && !held.fin_sent;
        let both = held.fin_received;
        self.send_from_backend(ip, flow, Flags::ACK, seq, ack, len);
        self.at_backend(ip, lifetime, MIN_RETRANSMISSION, BackendEvent::Retransmit(flow));
        if closes {
            self.send_fin_from_backend(ip, flow, now);
            if both {
                self.oracle.close(flow);
            }
        }
        self.run_requests(ip);
    }

    fn retransmit_from_backend(&mut self, ip: Ipv4Addr, flow: Flow) {
        let now = self.now;
        let backend = self.backends.get_mut(&ip).expect("the caller checks it");
        let lifetime = backend.lifetime;
        let Some(held) = backend.flows.get_mut(&flow) else {
            return;
        };
        if !held.opened && now >= held.started_at + HANDSHAKE_TIMEOUT {
            backend.flows.remove(&flow);
            return;
        }
        let ack = held.client_next;
        let Some(packet) = held.unacknowledged.first_mut() else {
            return;
        };
        if now < packet.due_at {
            let delay = packet.due_at - now;
            self.at_backend(ip, lifetime, delay, BackendEvent::Retransmit(flow));
            return;
        }
        packet.retransmit(now);
        let packet = *packet;
        if packet.sent > MAX_RETRANSMISSIONS {
            backend.flows.remove(&flow);
            self.oracle.close(flow);
            self.trace(flow, || format!("backend server of {ip} gives up"));
            return;
        }
        self.send_from_backend(ip, flow, packet.flags, packet.seq, ack, packet.len);
        self.at_backend(ip, lifetime, packet.due_at - now, BackendEvent::Retransmit(flow));
    }
}

fn service_time(random: &mut Random) -> Time {
    if random.chance(5) {
        random.range(100 * MS, 900 * MS)
    } else {
        random.range(3 * MS, 60 * MS)
    }
}
