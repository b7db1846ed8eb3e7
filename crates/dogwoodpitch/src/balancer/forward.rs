//! Forwarding of packets between the fabric and the agents, without per-flow state.

use std::{
    cell::{Cell, RefCell},
    fmt, io,
    net::SocketAddrV4,
    time::Instant,
};

use crate::{
    protocol::{
        cid::Codec,
        datagram::{Header, Kind},
        proxy, quic,
    },
    state::{
        liveness::{Detector, Outcome},
        route::Table,
        throttle::Throttle,
    },
    transport::udp::{Channel, Socket},
};

/// Why a packet was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The PROXY protocol header is missing or of an unsupported kind.
    BadProxyHeader,
    /// The packet is too short for QUIC.
    BadPacket,
    /// The connection ID was not issued by an agent, and the packet does not start a flow.
    ForeignId,
    /// The connection ID names a service other than that of the destination address.
    WrongService,
    /// No service has the destination address.
    NoService,
    /// The packet starts a flow, and there is no configuration yet.
    NoConfiguration,
    /// The packet starts a flow, and the selector of the service matches no agent.
    NoAgent,
    /// An agent returned the packet, and the address of the fabric is not known yet.
    NoFabric,
    /// The frame is of a kind that balancers do not handle.
    UnexpectedFrame,
}

impl Reason {
    const ALL: [Self; 9] = [
        Self::BadProxyHeader,
        Self::BadPacket,
        Self::ForeignId,
        Self::WrongService,
        Self::NoService,
        Self::NoConfiguration,
        Self::NoAgent,
        Self::NoFabric,
        Self::UnexpectedFrame,
    ];

    /// Name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BadProxyHeader => "bad-proxy-header",
            Self::BadPacket => "bad-packet",
            Self::ForeignId => "foreign-id",
            Self::WrongService => "wrong-service",
            Self::NoService => "no-service",
            Self::NoConfiguration => "no-configuration",
            Self::NoAgent => "no-agent",
            Self::NoFabric => "no-fabric",
            Self::UnexpectedFrame => "unexpected-frame",
        }
    }
}

/// The forwarding path of a balancer.
pub struct Forwarder {
    ingress: Socket,
    channel: Channel,
    codec: Codec,
    table: RefCell<Table>,
    liveness: RefCell<Detector>,
    /// Destination of returned packets: the sender of the last ingress datagram.
    fabric: Cell<Option<SocketAddrV4>>,
    last_packet_at: Cell<Instant>,
    draining: Cell<bool>,
    metrics: Metrics,
}

impl fmt::Debug for Forwarder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Forwarder")
            .field("ingress", &self.ingress)
            .field("channel", &self.channel)
            .finish_non_exhaustive()
    }
}

struct Metrics {
    established: metrics::Counter,
    new_flows: metrics::Counter,
    returned: metrics::Counter,
    drops: [Counter; Reason::ALL.len()],
}

struct Counter {
    total: metrics::Counter,
    count: Cell<u64>,
    log: Throttle,
}

impl Metrics {
    fn open() -> Self {
        Self {
            established: metrics::counter!("dogwoodpitch_packets_total", "direction" => "in", "kind" => "established"),
            new_flows: metrics::counter!("dogwoodpitch_packets_total", "direction" => "in", "kind" => "new-flow"),
            returned: metrics::counter!("dogwoodpitch_packets_total", "direction" => "out", "kind" => "returned"),
            drops: Reason::ALL.map(|reason| Counter {
                total: metrics::counter!("dogwoodpitch_packets_dropped_total", "reason" => reason.as_str()),
                count: Cell::new(0),
                log: Throttle::default(),
            }),
        }
    }
}

impl Forwarder {
    /// Creates a forwarder between the ingress socket and the frame channel to the agents.
    pub fn new(ingress: Socket, channel: Channel, codec: Codec) -> Self {
        Self {
            ingress,
            channel,
            codec,
            table: RefCell::default(),
            liveness: RefCell::default(),
            fabric: Cell::new(None),
            last_packet_at: Cell::new(Instant::now()),
            draining: Cell::new(false),
            metrics: Metrics::open(),
        }
    }

    /// Replaces the routes of new flows and the agents whose liveness is monitored.
    pub fn set_table(&self, table: Table, agents: impl Iterator<Item = (SocketAddrV4, u32)>) {
        self.liveness.borrow_mut().sync_roster(agents);
        self.table.replace(table);
    }

    /// Stops replying to probes, so that agents return packets through other balancers.
    pub fn drain(&self) {
        self.draining.set(true);
    }

    /// When the last packet of a flow was forwarded.
    pub fn last_packet_at(&self) -> Instant {
        self.last_packet_at.get()
    }

    /// Number of packets that were dropped for a reason.
    pub fn dropped(&self, reason: Reason) -> u64 {
        self.metrics.drops[reason as usize].count.get()
    }

    /// Numbers of dropped packets by reason, without reasons that did not occur.
    pub fn drop_counts(&self) -> impl Iterator<Item = (&'static str, u64)> {
        let counts = Reason::ALL
            .into_iter()
            .map(|reason| (reason.as_str(), self.dropped(reason)));
        counts.filter(|(_, count)| *count > 0)
    }

    /// Number of suspected agents, which get no new flows.
    pub fn suspected_agents(&self) -> usize {
        self.liveness.borrow().suspected_count()
    }

    /// Updates the liveness of the agents, and sends the probe that is due.
    pub fn check_agents(&self, now: Instant) -> Outcome {
        let due = self.liveness.borrow_mut().check(now);
        if let Some(agent) = due.probe {
            self.channel.send(agent, &Header::control(Kind::Probe), b"balancer");
        }
        self.channel.flush();
        due
    }

    /// Forwards one batch of datagrams from the fabric.
    pub async fn forward_ingress(&self) -> io::Result<()> {
        let batch = self.ingress.recv(|from, datagram| {
            if let Err(reason) = self.forward_datagram(from, datagram) {
                self.record_drop(reason, from);
            }
        });
        batch.await?;
        self.channel.flush();
        Ok(())
    }

    /// Handles one batch of frames from other nodes. `digest` is called with the payload of each Digest frame.
    pub async fn forward_frames(&self, mut digest: impl FnMut(SocketAddrV4, &[u8])) -> io::Result<()> {
        let batch = self.channel.recv(|from, header, payload| {
            let outcome = match header.kind {
                Kind::Return => self.forward_returned(from, &header, payload),
                Kind::Probe => {
                    self.record_heard(from);
                    // Agents return packets through balancers that reply to probes.
                    if !self.draining.get() && self.fabric.get().is_some() {
                        self.channel.send(from, &Header::control(Kind::ProbeReply), payload);
                    }
                    Ok(())
                }
                Kind::ProbeReply => {
                    self.record_heard(from);
                    Ok(())
                }
                Kind::Digest => {
                    self.record_heard(from);
                    digest(from, payload);
                    Ok(())
                }
                Kind::Forward | Kind::Load => Err(Reason::UnexpectedFrame),
            };
            if let Err(reason) = outcome {
                self.record_drop(reason, from);
            }
        });
        batch.await?;
        self.ingress.flush();
        Ok(())
    }

    fn forward_datagram(&self, from: SocketAddrV4, datagram: &[u8]) -> Result<(), Reason> {
        let Some((route, packet)) = proxy::Header::decode(datagram) else {
            if proxy::is_local(datagram) {
                self.fabric.set(Some(from));
                return Ok(());
            }
            return Err(Reason::BadProxyHeader);
        };
        self.fabric.set(Some(from));
        let view = quic::parse_header(packet).ok_or(Reason::BadPacket)?;
        let agent = match self.codec.open(view.destination) {
            Some(target) => {
                let table = self.table.borrow();
                // Without a configuration, the agent still checks the service, which protects the flow.
                if table.is_configured() {
                    let expected = table.route(route.destination).ok_or(Reason::NoService)?;
                    if expected.id != target.service {
                        return Err(Reason::WrongService);
                    }
                }
                self.metrics.established.increment(1);
                target.agent
            }
            None if view.kind == quic::Kind::Initial => self.route_new_flow(&route)?,
            None => return Err(Reason::ForeignId),
        };
        let now = Instant::now();
        if view.kind == quic::Kind::Initial {
            self.liveness.borrow_mut().record_initial(agent, now);
        }
        self.last_packet_at.set(now);
        let header = Header {
            kind: Kind::Forward,
            flags: 0,
            service: route.destination,
            caller: route.source,
        };
        self.channel.send(agent, &header, packet);
        Ok(())
    }

    fn route_new_flow(&self, packet: &proxy::Header) -> Result<SocketAddrV4, Reason> {
        let table = self.table.borrow();
        if !table.is_configured() {
            return Err(Reason::NoConfiguration);
        }
        let route = table.route(packet.destination).ok_or(Reason::NoService)?;
        let liveness = self.liveness.borrow();
        let (agent, reason) = route
            .choose(|agent| liveness.is_suspected(agent))
            .ok_or(Reason::NoAgent)?;
        self.metrics.new_flows.increment(1);
        ::log::info!(
            event = "flow.routed", caller:% = packet.source, service = route.service, agent = agent.name,
            reason = reason.as_str(), revision = table.revision;
            "new flow"
        );
        Ok(agent.address)
    }

    fn forward_returned(&self, from: SocketAddrV4, header: &Header, packet: &[u8]) -> Result<(), Reason> {
        self.record_heard(from);
        {
            let table = self.table.borrow();
            if table.is_configured() && table.route(header.service).is_none() {
                return Err(Reason::NoService);
            }
        }
        let fabric = self.fabric.get().ok_or(Reason::NoFabric)?;
        let route = proxy::Header {
            source: header.service,
            destination: header.caller,
        };
        self.metrics.returned.increment(1);
        self.last_packet_at.set(Instant::now());
        self.ingress.send(fabric, &route.encode(), packet);
        Ok(())
    }

    fn record_heard(&self, agent: SocketAddrV4) {
        if let Some(suspicion) = self.liveness.borrow_mut().record_frame(agent) {
            ::log::info!(
                event = "agent.heard", agent:% = agent, incarnation = suspicion.incarnation;
                "suspected agent answers again"
            );
        }
    }

    fn record_drop(&self, reason: Reason, from: SocketAddrV4) {
        let counter = &self.metrics.drops[reason as usize];
        counter.total.increment(1);
        counter.count.set(counter.count.get() + 1);
        if let Some(suppressed) = counter.log.allow(Instant::now()) {
            ::log::warn!(
                event = "packet.dropped", reason = reason.as_str(), from:% = from, suppressed;
                "packet dropped"
            );
        }
    }
}
