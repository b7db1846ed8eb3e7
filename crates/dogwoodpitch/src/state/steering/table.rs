//! Flow table of an agent: the flows that its backend server holds.

use std::{
    collections::HashMap,
    net::Ipv4Addr,
    time::{Duration, Instant},
};

use crate::state::steering::{
    rank::HOMES,
    rate::Rate,
    segment::{Flags, Flow, Segment},
};

/// Idle time after which a flow is removed from the table. It exceeds the longest idle time that clients are promised.
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);
/// How long a closed flow is kept for late packets.
const CLOSED_TTL: Duration = Duration::from_secs(3);
/// How long a flow may take from its SYN to the SYN+ACK, and from the last SYN+ACK to the client's next packet.
const OPENING_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of flows in the table. The platform's backend servers hold 2,000 each.
const MAX_FLOWS: usize = 16_384;
/// Weight of the newest request in the moving average of the service time.
const SERVICE_TIME_GAIN: f64 = 0.1;
/// Weight of the newest request in the moving average of failed requests.
const FAILURE_GAIN: f64 = 0.2;
/// Decay factor of the share of failed requests per tick of 100 ms. The share halves in 4 s, so that a backend server
/// that gets few flows is tried again.
const FAILURE_DECAY: f64 = 0.983;
/// Age at which a request without a response counts as failed. Most deadlines are longer.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Requests per slot above which resets are attributed to overload and not counted as failures.
const OVERLOAD_PER_SLOT: u32 = 5;
/// Maximum time from a SYN to the first request of its flow: two round trips to a client in another data centre, and
/// some slack.
const FIRST_REQUEST_WINDOW: Duration = Duration::from_millis(60);

/// State of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// The SYN was delivered to the backend server. The client may open the flow with this backend server, or with
    /// another one that has got a copy of the SYN.
    Opening,
    /// The client has acknowledged the SYN+ACK of the backend server. No other backend server holds the flow.
    Open,
    /// A peer's pointer says that the backend server holds the flow. This process has not seen a packet of it.
    Restored,
    /// Both ends have closed the flow, or one has reset it.
    Closed,
}

/// Entry of a flow.
#[derive(Debug, Clone, Copy)]
pub struct Entry {
    /// State of the flow.
    pub state: State,
    /// Last acknowledgment of the client.
    pub client_ack: u32,
    /// Last sequence number of the backend server. Until the flow is open, that of its SYN+ACK.
    pub backend_seq: Option<u32>,
    /// Balancer that forwarded the last packet.
    pub balancer: Option<Ipv4Addr>,
    /// Number of times that agents forwarded the SYN before it arrived here.
    pub hops: u8,
    /// When the backend server answered the SYN. Before that, when the flow was added to the table.
    pub opened_at: Instant,
    /// When pointers to this flow must next be sent to all homes.
    pub pointers_due_at: Instant,
    /// Homes that have a pointer to this flow.
    pub homes: [Option<Ipv4Addr>; HOMES],
    /// Request in progress.
    request: Option<Request>,
    /// How the client has closed the flow.
    client_closing: Option<Closing>,
    /// Whether the backend server has sent a FIN.
    backend_finished: bool,
    /// Sequence number after the last byte that the backend server has sent, as far as it is known.
    backend_end: Option<u32>,
    /// Sequence number after the last byte that the client has sent. A retransmission does not exceed it.
    client_end: Option<u32>,
    expires_at: Instant,
}

/// Relation of a client's packet to the flows in the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Match {
    /// The packet belongs to no flow in the table, or acknowledges another backend server.
    Unknown,
    /// The packet belongs to a flow in the table.
    Known,
    /// The packet is the first one that acknowledges the backend server's SYN+ACK.
    Opening,
}

/// How an end closes a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Closing {
    /// By a FIN.
    Finished,
    /// By a reset.
    Reset,
}

/// Request without a response so far.
#[derive(Debug, Clone, Copy)]
struct Request {
    started_at: Instant,
    /// Number of requests in progress when this one arrived, including itself.
    position: u32,
    /// Whether the request was counted as failed.
    failed: bool,
}

impl Entry {
    /// Whether both ends have sent a FIN.
    fn is_finished(&self) -> bool {
        self.client_closing == Some(Closing::Finished) && self.backend_finished
    }

    /// Whether a packet of the backend server shows that it has sent data since the last one. Packets overtake one
    /// another: the FIN after a short response comes before its data.
    fn reveals_data(&self, segment: &Segment) -> bool {
        let is_ahead = self.backend_end.is_some_and(|end| is_after(segment.seq, end));
        segment.data_len > 0 || (segment.flags.contains(Flags::FIN) && is_ahead)
    }

    /// Whether a packet of the client acknowledges the SYN+ACK of the backend server. Each backend server starts at a
    /// random sequence number, so this tells with which of several ones the client opens the flow.
    fn is_acknowledged_by(&self, segment: &Segment) -> bool {
        self.backend_seq.is_some_and(|seq| segment.ack == seq.wrapping_add(1))
    }
}

/// All flows of one backend server.
#[derive(Debug, Clone, Default)]
pub struct Table {
    flows: HashMap<Flow, Entry>,
    busy: u32,
    service_ms: f64,
    rate: Rate,
    failed_ratio: f64,
}

/// Minimum age of a flow for which pointers are sent. Flows of one short request need none.
pub const POINTER_MIN_AGE: Duration = Duration::from_millis(150);

impl Table {
    /// Adds or replaces a flow. Returns `false` if the table is full and does not contain the flow.
    pub fn insert(&mut self, flow: Flow, state: State, hops: u8, balancer: Option<Ipv4Addr>, now: Instant) -> bool {
        if self.flows.len() >= MAX_FLOWS && !self.flows.contains_key(&flow) {
            return false;
        }
        self.remove(flow);
        let lifetime = if state == State::Opening {
            OPENING_TIMEOUT
        } else {
            IDLE_TIMEOUT
        };
        let entry = Entry {
            state,
            client_ack: 0,
            backend_seq: None,
            balancer,
            hops,
            opened_at: now,
            pointers_due_at: now,
            homes: [None; HOMES],
            request: None,
            client_closing: None,
            backend_finished: false,
            backend_end: None,
            client_end: None,
            expires_at: now + lifetime,
        };
        self.flows.insert(flow, entry);
        true
    }

    /// Removes a flow.
    pub fn remove(&mut self, flow: Flow) -> Option<Entry> {
        let entry = self.flows.remove(&flow)?;
        self.busy -= u32::from(entry.request.is_some());
        self.rate.forget(flow);
        Some(entry)
    }

    /// Removes and returns the flows that match a predicate.
    pub fn remove_where(&mut self, predicate: impl Fn(&Entry) -> bool) -> Vec<(Flow, Entry)> {
        let matching = self.flows.iter().filter(|(_, entry)| predicate(entry));
        let flows: Vec<_> = matching.map(|(flow, _)| *flow).collect();
        flows
            .into_iter()
            .filter_map(|flow| Some((flow, self.remove(flow)?)))
            .collect()
    }

    /// Returns the entry of a flow.
    pub fn get(&self, flow: Flow) -> Option<&Entry> {
        self.flows.get(&flow)
    }

    /// Updates a flow with a client's packet other than an initial SYN.
    pub fn record_client_packet(
        &mut self,
        flow: Flow,
        segment: &Segment,
        balancer: Option<Ipv4Addr>,
        now: Instant,
    ) -> Match {
        let Some(entry) = self.flows.get_mut(&flow) else {
            return Match::Unknown;
        };
        let opening = entry.state == State::Opening;
        if opening && !entry.is_acknowledged_by(segment) {
            return Match::Unknown;
        }
        if opening {
            entry.state = State::Open;
        }
        entry.client_ack = segment.ack;
        entry.balancer = balancer.or(entry.balancer);
        entry.expires_at = now
            + if entry.state == State::Closed {
                CLOSED_TTL
            } else {
                IDLE_TIMEOUT
            };
        let end = segment.seq.wrapping_add(segment.data_len.into());
        let is_new = segment.data_len > 0 && entry.client_end.is_none_or(|last| is_after(end, last));
        if is_new {
            entry.client_end = Some(end);
        }
        let may_respond = entry.state != State::Closed && !entry.backend_finished;
        if is_new && entry.request.is_none() && may_respond {
            self.busy += 1;
            entry.request = Some(Request {
                started_at: now,
                position: self.busy,
                failed: false,
            });
            self.rate.record_request(flow, now);
        }
        if segment.flags.contains(Flags::FIN) {
            entry.client_closing = Some(Closing::Finished);
        }
        let finished = entry.is_finished();
        if segment.flags.contains(Flags::RST) && !finished {
            entry.client_closing = Some(Closing::Reset);
        }
        if segment.flags.contains(Flags::RST) || finished {
            self.close(flow, now);
        }
        if opening { Match::Opening } else { Match::Known }
    }

    /// Updates a flow with a packet of the backend server. Returns the latency of the request if the packet begins its
    /// response.
    pub fn record_backend_packet(
        &mut self,
        flow: Flow,
        segment: &Segment,
        slots: u32,
        now: Instant,
    ) -> Option<Duration> {
        let handshake = segment.flags.contains(Flags::SYN);
        self.rate.set_slots(slots);
        if !self.flows.contains_key(&flow) {
            self.insert(flow, State::Opening, 0, None, now);
        }
        let entry = self.flows.get_mut(&flow)?;
        if entry.state == State::Opening && handshake && entry.backend_seq != Some(segment.seq) {
            // The SYN may have reached an earlier lifetime than the one that answers its copy.
            entry.opened_at = now;
        }
        entry.backend_seq = Some(segment.seq);
        entry.backend_finished |= segment.flags.contains(Flags::FIN);
        let finished = entry.is_finished();
        let reset = segment.flags.contains(Flags::RST);
        // A reset that the client meant for another handshake is ignored by the backend server, which goes on.
        let ignores_reset = entry.client_closing == Some(Closing::Reset) && segment.data_len > 0 && !reset;
        // A backend server sends anything but its SYN+ACK only after the client's acknowledgment.
        if (entry.state != State::Closed || ignores_reset) && !handshake {
            entry.state = State::Open;
        }
        if ignores_reset {
            entry.client_closing = None;
        }
        match entry.state {
            State::Opening => entry.expires_at = now + OPENING_TIMEOUT,
            State::Open => entry.expires_at = now + IDLE_TIMEOUT,
            State::Restored | State::Closed => {}
        }
        let request = if entry.reveals_data(segment) {
            entry.request.take()
        } else {
            None
        };
        if segment.flags.contains(Flags::FIN) {
            // A request that has had no response by now gets none.
            if entry.request.take().is_some() {
                self.busy -= 1;
                self.rate.forget(flow);
            }
        }
        let end = segment.seq.wrapping_add(segment.data_len.into());
        if handshake && entry.state == State::Opening {
            entry.backend_end = Some(end.wrapping_add(1));
        } else if entry.backend_end.is_none_or(|last| is_after(end, last)) {
            entry.backend_end = Some(end);
        }
        let elapsed = request.map(|request| now.saturating_duration_since(request.started_at));
        if let (Some(request), Some(elapsed)) = (request, elapsed) {
            self.busy -= 1;
            let rounds = f64::from(request.position) / f64::from(slots.max(1));
            let service_ms = elapsed.as_secs_f64() * 1_000.0 / rounds.max(1.0);
            self.service_ms += SERVICE_TIME_GAIN * (service_ms - self.service_ms);
            self.failed_ratio -= FAILURE_GAIN * self.failed_ratio;
            self.rate.record_answer(flow, now);
        }
        let overloaded = self.busy > slots.saturating_mul(OVERLOAD_PER_SLOT);
        if reset && !overloaded && self.flows[&flow].request.is_some() {
            self.failed_ratio += FAILURE_GAIN * (1.0 - self.failed_ratio);
        }
        if reset || finished {
            self.close(flow, now);
        }
        elapsed
    }

    fn close(&mut self, flow: Flow, now: Instant) {
        if let Some(entry) = self.flows.get_mut(&flow) {
            self.busy -= u32::from(entry.request.take().is_some());
            self.rate.forget(flow);
            entry.state = State::Closed;
            entry.expires_at = now + CLOSED_TTL;
        }
    }

    /// Removes closed and idle flows, and counts requests without a response as failed. Called once per tick.
    pub fn expire(&mut self, now: Instant) {
        self.remove_where(|entry| now >= entry.expires_at);
        self.failed_ratio *= FAILURE_DECAY;
        for request in self.flows.values_mut().filter_map(|entry| entry.request.as_mut()) {
            if !request.failed && now >= request.started_at + RESPONSE_TIMEOUT {
                request.failed = true;
                self.failed_ratio += FAILURE_GAIN * (1.0 - self.failed_ratio);
            }
        }
    }

    /// Percentage of the latest requests that the backend server reset or did not answer.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a share is between 0 and 1"
    )]
    pub fn failed_percent(&self) -> u32 {
        (self.failed_ratio * 100.0) as u32
    }

    /// Mutable iterator over all flows.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (Flow, &mut Entry)> {
        self.flows.iter_mut().map(|(flow, entry)| (*flow, entry))
    }

    /// Number of requests in progress.
    pub fn busy(&self) -> u32 {
        self.busy
    }

    /// Number of flows that are not closed.
    pub fn open_flows(&self) -> u32 {
        let open = self.flows.values().filter(|entry| entry.state != State::Closed);
        u32::try_from(open.count()).unwrap_or(u32::MAX)
    }

    /// Number of flows that were opened recently and whose first request has not arrived.
    pub fn expected_requests(&self, now: Instant) -> u32 {
        let is_expected = |entry: &&Entry| {
            matches!(entry.state, State::Opening | State::Open)
                && entry.client_end.is_none()
                && now < entry.opened_at + FIRST_REQUEST_WINDOW
        };
        let expected = self.flows.values().filter(is_expected).count();
        u32::try_from(expected).unwrap_or(u32::MAX)
    }

    /// Typical service time of a request, without queueing and regardless of a few long ones.
    pub fn typical_service_time(&self) -> Duration {
        self.rate.service_time()
    }

    /// Mean service time of a request, without queueing.
    pub fn service_time(&self) -> Duration {
        Duration::from_secs_f64(self.service_ms / 1_000.0)
    }
}

/// Whether `seq` follows `other` in the circular sequence space.
fn is_after(seq: u32, other: u32) -> bool {
    let distance = seq.wrapping_sub(other);
    distance != 0 && distance < u32::MAX / 2
}
