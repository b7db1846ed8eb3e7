//! Network between the nodes: latency, loss, reordering and cut links.

use std::net::Ipv4Addr;

use super::{MS, Time, random::Random};

/// Link that carries no packets in one direction.
#[derive(Debug, Clone, Copy)]
struct Cut {
    /// Sender, or `None` for all.
    from: Option<Ipv4Addr>,
    /// Receiver, or `None` for all.
    to: Option<Ipv4Addr>,
    until: Time,
}

/// Whether a node is in the first of the two data centres.
pub(super) fn is_east(ip: Ipv4Addr) -> bool {
    ip.octets()[3].is_multiple_of(2)
}

/// Network between nodes, and between nodes and clients.
#[derive(Debug, Clone)]
pub(super) struct Network {
    /// Latency of most frames.
    latency: Time,
    /// Additional latency between data centres.
    distance: Time,
    /// Loss at all times, in tenths of a percent.
    loss: u64,
    /// Loss in percent until a given time.
    burst: (u64, Time),
    cuts: Vec<Cut>,
}

impl Network {
    pub(super) fn new(random: &mut Random) -> Self {
        Self {
            latency: random.range(200, 4_000),
            distance: random.choose(&[0, 3 * MS, 25 * MS]).unwrap_or(0),
            loss: random.choose(&[0, 0, 2, 10, 30]).unwrap_or(0),
            burst: (0, 0),
            cuts: Vec::new(),
        }
    }

    pub(super) fn cut(&mut self, from: Option<Ipv4Addr>, to: Option<Ipv4Addr>, until: Time) {
        self.cuts.push(Cut { from, to, until });
    }

    pub(super) fn set_burst(&mut self, percent: u64, until: Time) {
        self.burst = (percent, until);
    }

    /// Ends all impairments.
    pub(super) fn heal(&mut self) {
        self.cuts.clear();
        self.burst = (0, 0);
        self.loss = self.loss.min(2);
    }

    fn is_cut(&self, from: Ipv4Addr, to: Ipv4Addr, now: Time) -> bool {
        self.cuts
            .iter()
            .any(|cut| now < cut.until && cut.from.is_none_or(|ip| ip == from) && cut.to.is_none_or(|ip| ip == to))
    }

    fn is_lost(&self, random: &mut Random, now: Time) -> bool {
        let burst = now < self.burst.1 && random.chance(self.burst.0);
        random.below(1_000) < self.loss || burst
    }

    /// Time that a frame between two nodes takes, or `None` if it is lost.
    pub(super) fn transit(&self, random: &mut Random, from: Ipv4Addr, to: Ipv4Addr, now: Time) -> Option<Time> {
        if self.is_cut(from, to, now) || self.is_lost(random, now) {
            return None;
        }
        let jitter = match random.below(1_000) {
            0..=2 => random.range(20 * MS, 300 * MS),
            3..=29 => random.range(2 * MS, 20 * MS),
            _ => random.below(300),
        };
        let distance = if is_east(from) == is_east(to) { 0 } else { self.distance };
        Some(self.latency + distance + jitter)
    }

    /// Time that a packet between a client and a node takes, or `None` if it is lost.
    pub(super) fn transit_to_client(&self, random: &mut Random, now: Time) -> Option<Time> {
        (!self.is_lost(random, now)).then(|| random.range(2 * MS, 12 * MS))
    }
}
