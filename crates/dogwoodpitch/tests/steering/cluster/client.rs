//! Clients: open flows, send requests with retransmissions, and close flows.

use std::net::{Ipv4Addr, SocketAddrV4};

use dogwoodpitch::state::steering::segment::{Flags, Flow, Segment};

use super::{
    Event, MS, Time, World,
    backend::{Unacknowledged, covers},
    node::Input,
    oracle::Reset,
};
use crate::build::{NON_IDEMPOTENT_SERVICE, SERVICE};

/// Times at which a client sends its SYN and the copies.
const SYN_TIMES: [Time; 3] = [0, 200 * MS, 600 * MS];
const OPEN_TIMEOUT: Time = 1_400 * MS;
/// Maximum distance between the number of a reset and the client's last acknowledgment.
const RESET_WINDOW: u32 = 76_800;
/// Time for which a client waits for the acknowledgment of its FIN.
const CLOSE_TIMEOUT: Time = 3_000 * MS;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ClientState {
    Opening,
    Open,
    Ended,
}

/// Client's end of a flow.
#[derive(Debug, Clone)]
pub(super) struct Client {
    slot: u16,
    pub(super) state: ClientState,
    initial_seq: u32,
    next_seq: u32,
    backend_initial_seq: u32,
    /// Next sequence number that is expected from the backend server.
    backend_next: u32,
    unacknowledged: Vec<Unacknowledged>,
    requests_left: u64,
    max_pause: Time,
    /// When the request that is waiting for its response was sent.
    pub(super) waiting_since: Option<Time>,
    /// Last acknowledgment that the client has sent.
    sent_ack: u32,
    fin_sent: bool,
    fin_received: bool,
}

#[derive(Debug, Clone)]
pub(super) enum ClientEvent {
    Syn(usize),
    OpenTimeout,
    Request,
    Retransmit,
    Deadline(Time),
    CloseTimeout,
}

impl Client {
    /// Whether the client still retransmits something.
    pub(super) fn has_unacknowledged(&self) -> bool {
        !self.unacknowledged.is_empty()
    }
}

impl World {
    /// Opens a new flow of a client.
    pub(super) fn open_flow(&mut self, slot: u16) {
        self.next_port += 1;
        // Ports are used once; the address tells the clients apart.
        let port = 1_024 + self.next_port;
        let client = SocketAddrV4::new(Ipv4Addr::from(0x6440_0000 + u32::from(slot)), port);
        let service = if self.random.chance(75) {
            SERVICE
        } else {
            NON_IDEMPOTENT_SERVICE
        };
        let flow = Flow { client, service };
        let initial_seq = self.random.seq();
        let (requests_left, max_pause) = match self.random.below(10) {
            0..=4 => (1, 50 * MS),
            5..=7 => (self.random.range(5, 60), 600 * MS),
            8 => (self.random.range(3, 50), 3_000 * MS),
            _ => (self.random.range(3, 50), 12_000 * MS),
        };
        let client = Client {
            slot,
            state: ClientState::Opening,
            initial_seq,
            next_seq: initial_seq.wrapping_add(1),
            backend_initial_seq: 0,
            backend_next: 0,
            unacknowledged: Vec::new(),
            requests_left,
            max_pause,
            waiting_since: None,
            sent_ack: 0,
            fin_sent: false,
            fin_received: false,
        };
        self.clients.insert(flow, client);
        for (copy, at) in SYN_TIMES.into_iter().enumerate() {
            self.schedule(at, Event::Client(flow, ClientEvent::Syn(copy)));
        }
        self.schedule(OPEN_TIMEOUT, Event::Client(flow, ClientEvent::OpenTimeout));
    }

    fn end_client(&mut self, flow: Flow, reason: &'static str) {
        let Some(client) = self.clients.get_mut(&flow) else {
            return;
        };
        if client.state == ClientState::Ended {
            return;
        }
        client.state = ClientState::Ended;
        client.waiting_since = None;
        let slot = client.slot;
        *self.oracle.ends.entry(reason).or_default() += 1;
        self.trace(flow, || format!("client ends: {reason}"));
        let delay = self.random.range(20 * MS, 600 * MS);
        self.schedule(delay, Event::OpenFlow(slot));
    }

    pub(super) fn handle_client_event(&mut self, flow: Flow, event: &ClientEvent) {
        let now = self.now;
        let Some(client) = self.clients.get_mut(&flow) else {
            return;
        };
        match *event {
            ClientEvent::Syn(copy) if client.state == ClientState::Opening => {
                let seq = client.initial_seq;
                let ack = u32::try_from(copy).expect("few copies");
                self.send_from_client(flow, Flags::SYN, seq, ack, 0);
            }
            ClientEvent::OpenTimeout if client.state == ClientState::Opening => self.end_client(flow, "no answer"),
            ClientEvent::Request if client.state == ClientState::Open && !client.fin_sent => self.send_request(flow),
            ClientEvent::Retransmit if client.state == ClientState::Open => {
                let ack = client.backend_next;
                let Some(packet) = client.unacknowledged.first_mut() else {
                    return;
                };
                if now < packet.due_at {
                    let delay = packet.due_at - now;
                    self.schedule(delay, Event::Client(flow, ClientEvent::Retransmit));
                    return;
                }
                packet.retransmit(now);
                let packet = *packet;
                self.send_from_client(flow, packet.flags, packet.seq, ack, packet.len);
                self.schedule(packet.due_at - now, Event::Client(flow, ClientEvent::Retransmit));
            }
            ClientEvent::Deadline(since)
                if client.state == ClientState::Open
                    && client.waiting_since == Some(since)
                    && now < self.quiet_from =>
            {
                let (seq, ack) = (client.next_seq, client.backend_next);
                if self.random.chance(40) {
                    self.send_from_client(flow, Flags::RST, seq, ack, 0);
                }
                self.oracle.close(flow);
                self.end_client(flow, "deadline");
            }
            ClientEvent::CloseTimeout => {
                self.oracle.close(flow);
                self.end_client(flow, "close timeout");
            }
            _ => {}
        }
    }

    fn send_request(&mut self, flow: Flow) {
        let now = self.now;
        let client = self.clients.get_mut(&flow).expect("the caller checks it");
        let len = 300;
        let (seq, ack) = (client.next_seq, client.backend_next);
        client.next_seq = seq.wrapping_add(u32::from(len));
        client.waiting_since = Some(now);
        client
            .unacknowledged
            .push(Unacknowledged::first(seq, len, Flags::ACK, now));
        self.send_from_client(flow, Flags::ACK, seq, ack, len);
        self.schedule(200 * MS, Event::Client(flow, ClientEvent::Retransmit));
        let deadline = self.random.choose(&[2_000 * MS, 4_000 * MS, 8_000 * MS]).unwrap_or(0);
        self.schedule(deadline, Event::Client(flow, ClientEvent::Deadline(now)));
    }

    fn send_fin(&mut self, flow: Flow) {
        let now = self.now;
        let client = self.clients.get_mut(&flow).expect("the caller checks it");
        if client.fin_sent {
            return;
        }
        client.fin_sent = true;
        let (seq, ack) = (client.next_seq, client.backend_next);
        client.next_seq = seq.wrapping_add(1);
        let flags = Flags::FIN.union(Flags::ACK);
        client.unacknowledged.push(Unacknowledged::first(seq, 0, flags, now));
        if client.fin_received {
            self.oracle.close(flow);
        }
        self.send_from_client(flow, flags, seq, ack, 0);
        self.schedule(200 * MS, Event::Client(flow, ClientEvent::Retransmit));
        self.schedule(CLOSE_TIMEOUT, Event::Client(flow, ClientEvent::CloseTimeout));
    }

    /// Sends a packet of a client through one of the balancers in rotation.
    fn send_from_client(&mut self, flow: Flow, flags: Flags, seq: u32, ack: u32, data_len: u16) {
        let segment = Segment {
            source: flow.client,
            target: flow.service,
            flags,
            seq,
            ack,
            data_len,
        };
        if let Some(client) = self.clients.get_mut(&flow).filter(|_| !segment.is_initial_syn()) {
            client.sent_ack = ack;
        }
        let Some(balancer) = self.choose_balancer(flow) else {
            return;
        };
        let transit = self.network.transit_to_client(&mut self.random, self.now);
        self.trace(flow, || {
            let fate = if transit.is_some() { "" } else { " (lost)" };
            format!("client sends {flags:?} seq {seq} ack {ack} len {data_len} by {balancer}{fate}")
        });
        if let Some(delay) = transit {
            self.schedule(delay, Event::Input(balancer, Input::FromClient(segment)));
        }
    }

    /// Handles a packet for a client.
    pub(super) fn handle_packet_to_client(&mut self, segment: Segment, reset: Option<&Reset>) {
        let flow = segment.flow_from_backend();
        if let Some(reset) = reset {
            self.check_reset(flow, reset);
        }
        let now = self.now;
        let Some(client) = self.clients.get_mut(&flow) else {
            return;
        };
        if segment.flags.contains(Flags::RST) {
            let distance = segment.seq.wrapping_sub(client.sent_ack);
            let near = distance < RESET_WINDOW || distance.wrapping_neg() < RESET_WINDOW;
            if client.state == ClientState::Opening || near {
                if reset.is_none() {
                    self.oracle.close(flow);
                }
                self.oracle.forget(flow);
                self.end_client(flow, "reset");
            }
            return;
        }
        let is_handshake = segment.flags.contains(Flags::SYN);
        match client.state {
            ClientState::Opening if is_handshake => {
                client.state = ClientState::Open;
                client.backend_initial_seq = segment.seq;
                client.backend_next = segment.seq.wrapping_add(1);
                let (seq, ack) = (client.next_seq, client.backend_next);
                self.send_from_client(flow, Flags::ACK, seq, ack, 0);
                let delay = self.random.range(MS, 10 * MS);
                self.schedule(delay, Event::Client(flow, ClientEvent::Request));
                return;
            }
            ClientState::Open if is_handshake => {
                if segment.seq == client.backend_initial_seq {
                    let (seq, ack) = (client.next_seq, client.backend_next);
                    self.send_from_client(flow, Flags::ACK, seq, ack, 0);
                }
                return;
            }
            ClientState::Ended if segment.flags.contains(Flags::FIN) => {
                let (seq, ack) = (client.next_seq, segment.seq.wrapping_add(1));
                self.send_from_client(flow, Flags::ACK, seq, ack, 0);
                return;
            }
            ClientState::Open => {}
            ClientState::Opening | ClientState::Ended => return,
        }
        client
            .unacknowledged
            .retain(|packet| !covers(segment.ack, packet.end()));
        let len = u32::from(segment.data_len);
        let is_next = segment.seq == client.backend_next;
        let is_fin = segment.flags.contains(Flags::FIN);
        let mut pause = None;
        if is_next && len > 0 {
            client.backend_next = client.backend_next.wrapping_add(len);
            client.waiting_since = None;
            client.requests_left -= 1;
            pause = Some(client.max_pause);
        }
        if is_next && is_fin {
            client.backend_next = client.backend_next.wrapping_add(1);
            client.fin_received = true;
            client.waiting_since = None;
        }
        let (seq, ack) = (client.next_seq, client.backend_next);
        let is_last = client.requests_left == 0 || client.fin_received;
        let ended = client.fin_received && client.fin_sent && client.unacknowledged.is_empty();
        if len > 0 || is_fin {
            self.send_from_client(flow, Flags::ACK, seq, ack, 0);
        }
        if ended {
            self.oracle.close(flow);
            self.end_client(flow, "closed");
        } else if is_last {
            self.send_fin(flow);
        } else if let Some(max_pause) = pause {
            let max_pause = if now >= self.quiet_from {
                max_pause.min(600 * MS)
            } else {
                max_pause
            };
            let delay = self.random.range(MS, max_pause);
            self.schedule(delay, Event::Client(flow, ClientEvent::Request));
        }
    }
}
