//! Flows that the backend server beside an agent holds.

use std::{
    collections::HashMap,
    net::Ipv4Addr,
    time::{Duration, Instant},
};

use crate::state::steering::{
    rank::HOMES,
    segment::{Flags, Flow, Segment},
};

/// Idle time after which a flow is dropped from the table. It exceeds the longest idle time that clients are promised.
const IDLE: Duration = Duration::from_secs(75);
/// How long an ended flow is kept for late packets.
const LINGER: Duration = Duration::from_secs(3);
/// How long a SYN waits for its SYN+ACK and a client's answer.
const OPENING: Duration = Duration::from_secs(5);
/// Flows in the table; the platform's backend servers hold 2,000 each.
const MAX_FLOWS: usize = 16_384;
/// Distance of an acknowledgment from the backend server's sequence numbers within which it belongs to the same flow.
/// Initial numbers are random over 32 bits, and less than this is in flight.
const ACK_WINDOW: u32 = 1 << 22;
/// Weight of the newest request in the mean time that a request takes in a slot.
const SERVICE_GAIN: f64 = 0.1;
/// Weight of the newest request in the share of failed ones.
const FAILURE_GAIN: f64 = 0.2;
/// Part of the share of failed requests that is left after each tick of 100 ms: half of it after 4 s, so that a backend
/// server that gets few flows is tried again.
const FAILURE_DECAY: f64 = 0.983;
/// Age at which a request without an answer counts as failed. Most deadlines are longer.
const UNANSWERED: Duration = Duration::from_secs(1);
/// Requests for each slot beyond which a backend server resets flows because it is overloaded, not because it is broken.
const OVERLOAD_PER_SLOT: u32 = 5;
/// Time from a SYN to the first request of the flow: two round trips to a client of another data centre, with some slack.
const FIRST_REQUEST: Duration = Duration::from_millis(60);

/// Progress of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// The SYN was handed to the backend server.
    Opening,
    /// The backend server has answered.
    Open,
    /// A peer says that the backend server holds the flow; no packet of it was seen since this process started.
    Restored,
    /// An end has closed or reset the flow.
    Ended,
}

/// A flow.
#[derive(Debug, Clone, Copy)]
pub struct Entry {
    /// Progress.
    pub stage: Stage,
    /// Last acknowledgment of the client.
    pub client_ack: u32,
    /// Last sequence number of the backend server.
    pub server_seq: Option<u32>,
    /// Balancer that carried the last packet.
    pub balancer: Option<Ipv4Addr>,
    /// How often the SYN was passed on before it came here.
    pub hops: u8,
    /// When the flow came into the table.
    pub opened_at: Instant,
    /// When all homes need a pointer to this flow, for the first time or again.
    pub point_at: Instant,
    /// Agents that have a pointer to this flow.
    pub homes: [Option<Ipv4Addr>; HOMES],
    /// Request in progress.
    request: Option<Request>,
    /// Sequence number after the last byte that the client has sent; a repetition does not go beyond it.
    client_end: Option<u32>,
    discard_at: Instant,
}

/// Request that the backend server has not begun to answer.
#[derive(Debug, Clone, Copy)]
struct Request {
    started: Instant,
    /// Requests in progress when it came, itself included.
    position: u32,
    /// Whether it was counted as failed.
    failed: bool,
}

/// All flows of one backend server.
#[derive(Debug, Clone, Default)]
pub struct Table {
    flows: HashMap<Flow, Entry>,
    busy: u32,
    service_ms: f64,
    failed: f64,
}

/// Age at which a flow gets pointers; flows of one short request need none.
pub const POINT_AFTER: Duration = Duration::from_millis(150);

impl Table {
    /// Adds a flow. A full table keeps its flows and takes no others.
    pub fn insert(&mut self, flow: Flow, stage: Stage, hops: u8, balancer: Option<Ipv4Addr>, now: Instant) -> bool {
        if self.flows.len() >= MAX_FLOWS && !self.flows.contains_key(&flow) {
            return false;
        }
        self.remove(flow);
        let lifetime = if stage == Stage::Opening { OPENING } else { IDLE };
        let entry = Entry {
            stage,
            client_ack: 0,
            server_seq: None,
            balancer,
            hops,
            opened_at: now,
            point_at: now,
            homes: [None; HOMES],
            request: None,
            client_end: None,
            discard_at: now + lifetime,
        };
        self.flows.insert(flow, entry);
        true
    }

    /// Removes a flow.
    pub fn remove(&mut self, flow: Flow) -> Option<Entry> {
        let entry = self.flows.remove(&flow)?;
        self.busy -= u32::from(entry.request.is_some());
        Some(entry)
    }

    /// Removes the flows that a test admits.
    pub fn extract(&mut self, admits: impl Fn(&Entry) -> bool) -> Vec<(Flow, Entry)> {
        let admitted = self.flows.iter().filter(|(_, entry)| admits(entry));
        let flows: Vec<_> = admitted.map(|(flow, _)| *flow).collect();
        flows
            .into_iter()
            .filter_map(|flow| Some((flow, self.remove(flow)?)))
            .collect()
    }

    /// A flow.
    pub fn get(&self, flow: Flow) -> Option<&Entry> {
        self.flows.get(&flow)
    }

    /// Takes a packet of a client that does not open a flow. Returns whether the flow is in the table.
    pub fn client(&mut self, flow: Flow, segment: &Segment, balancer: Option<Ipv4Addr>, now: Instant) -> bool {
        let Some(entry) = self.flows.get_mut(&flow) else {
            return false;
        };
        if entry.server_seq.is_some_and(|seq| !is_near(seq, segment.ack)) {
            return false;
        }
        entry.client_ack = segment.ack;
        entry.balancer = balancer.or(entry.balancer);
        entry.discard_at = now + if entry.stage == Stage::Ended { LINGER } else { IDLE };
        let end = segment.seq.wrapping_add(segment.data_len.into());
        let is_new = segment.data_len > 0 && entry.client_end.is_none_or(|last| is_after(end, last));
        if is_new {
            entry.client_end = Some(end);
        }
        if is_new && entry.request.is_none() && entry.stage != Stage::Ended {
            self.busy += 1;
            entry.request = Some(Request {
                started: now,
                position: self.busy,
                failed: false,
            });
        }
        if segment.flags.contains(Flags::RST) {
            self.end(flow, now);
        }
        true
    }

    /// Takes a packet of the backend server. Returns the time of a request that it begins to answer.
    pub fn server(&mut self, flow: Flow, segment: &Segment, slots: u32, now: Instant) -> Option<Duration> {
        if !self.flows.contains_key(&flow) {
            self.insert(flow, Stage::Open, 0, None, now);
        }
        let entry = self.flows.get_mut(&flow)?;
        entry.server_seq = Some(segment.seq);
        if entry.stage != Stage::Ended {
            entry.stage = Stage::Open;
            entry.discard_at = now + IDLE;
        }
        let request = if segment.data_len > 0 {
            entry.request.take()
        } else {
            None
        };
        let taken = request.map(|request| now.saturating_duration_since(request.started));
        if let (Some(request), Some(taken)) = (request, taken) {
            self.busy -= 1;
            let rounds = f64::from(request.position) / f64::from(slots.max(1));
            let service_ms = taken.as_secs_f64() * 1_000.0 / rounds.max(1.0);
            self.service_ms += SERVICE_GAIN * (service_ms - self.service_ms);
            self.failed -= FAILURE_GAIN * self.failed;
        }
        let reset = segment.flags.contains(Flags::RST);
        let overloaded = self.busy > slots * OVERLOAD_PER_SLOT;
        if reset && !overloaded && self.flows[&flow].request.is_some() {
            self.failed += FAILURE_GAIN * (1.0 - self.failed);
        }
        if reset || segment.flags.contains(Flags::FIN) {
            self.end(flow, now);
        }
        taken
    }

    fn end(&mut self, flow: Flow, now: Instant) {
        if let Some(entry) = self.flows.get_mut(&flow) {
            self.busy -= u32::from(entry.request.take().is_some());
            entry.stage = Stage::Ended;
            entry.discard_at = now + LINGER;
        }
    }

    /// Drops flows that are over or idle, and counts requests that stay without an answer. Called each tick.
    pub fn expire(&mut self, now: Instant) {
        self.extract(|entry| now >= entry.discard_at);
        self.failed *= FAILURE_DECAY;
        for request in self.flows.values_mut().filter_map(|entry| entry.request.as_mut()) {
            if !request.failed && now >= request.started + UNANSWERED {
                request.failed = true;
                self.failed += FAILURE_GAIN * (1.0 - self.failed);
            }
        }
    }

    /// Share of the last requests that the backend server reset or left unanswered, in percent.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a share is between 0 and 1"
    )]
    pub fn failed_percent(&self) -> u32 {
        (self.failed * 100.0) as u32
    }

    /// Flows to change in place.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (Flow, &mut Entry)> {
        self.flows.iter_mut().map(|(flow, entry)| (*flow, entry))
    }

    /// Requests in progress.
    pub fn busy(&self) -> u32 {
        self.busy
    }

    /// Number of flows that are not over.
    pub fn open(&self) -> u32 {
        let open = self.flows.values().filter(|entry| entry.stage != Stage::Ended);
        u32::try_from(open.count()).unwrap_or(u32::MAX)
    }

    /// Flows that were opened a moment ago and whose first request has not come.
    pub fn expected(&self, now: Instant) -> u32 {
        let is_expected = |entry: &&Entry| {
            matches!(entry.stage, Stage::Opening | Stage::Open)
                && entry.client_end.is_none()
                && now < entry.opened_at + FIRST_REQUEST
        };
        let expected = self.flows.values().filter(is_expected).count();
        u32::try_from(expected).unwrap_or(u32::MAX)
    }

    /// Mean time that a request takes in a slot, without the time that it waits for one.
    pub fn service_time(&self) -> Duration {
        Duration::from_secs_f64(self.service_ms / 1_000.0)
    }
}

fn is_after(seq: u32, other: u32) -> bool {
    let distance = seq.wrapping_sub(other);
    distance != 0 && distance < u32::MAX / 2
}

fn is_near(seq: u32, ack: u32) -> bool {
    let distance = ack.wrapping_sub(seq);
    distance < ACK_WINDOW || distance.wrapping_neg() < ACK_WINDOW
}
