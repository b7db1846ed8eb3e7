//! Forwarding of packets between the fabric and the agents, without state per flow.

use std::{
    cell::{Cell, RefCell},
    fmt, io,
    net::SocketAddrV4,
    time::Instant,
};

use metrics::Counter;

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
pub enum Refusal {
    /// No PROXY protocol header, or one of another kind.
    BadProxyHeader,
    /// Too short for a QUIC packet.
    BadPacket,
    /// The connection ID was not issued by an agent, and the packet starts no flow.
    ForeignId,
    /// The connection ID names a service other than the one at the destination address.
    WrongService,
    /// No service has the address.
    NoService,
    /// A new flow while there is no configuration.
    NoConfiguration,
    /// A new flow, and the selector of the service matches no agent.
    NoAgent,
    /// A returned packet while no fabric is known.
    NoFabric,
    /// A frame of a kind that is not for balancers.
    UnexpectedFrame,
}

impl Refusal {
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

    /// Text for logs and metrics.
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
    port: Channel,
    codec: Codec,
    table: RefCell<Table>,
    watch: RefCell<Detector>,
    /// Where returned packets go: the sender of the last ingress datagram.
    fabric: Cell<Option<SocketAddrV4>>,
    last_packet: Cell<Instant>,
    draining: Cell<bool>,
    meter: Meter,
}

impl fmt::Debug for Forwarder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Forwarder")
            .field("ingress", &self.ingress)
            .field("port", &self.port)
            .finish_non_exhaustive()
    }
}

struct Meter {
    established: Counter,
    new_flows: Counter,
    returned: Counter,
    refusals: [Tally; Refusal::ALL.len()],
}

struct Tally {
    total: Counter,
    count: Cell<u64>,
    log: Throttle,
}

impl Meter {
    fn open() -> Self {
        Self {
            established: metrics::counter!("dogwoodpitch_packets_total", "direction" => "in", "kind" => "established"),
            new_flows: metrics::counter!("dogwoodpitch_packets_total", "direction" => "in", "kind" => "new-flow"),
            returned: metrics::counter!("dogwoodpitch_packets_total", "direction" => "out", "kind" => "returned"),
            refusals: Refusal::ALL.map(|reason| Tally {
                total: metrics::counter!("dogwoodpitch_packets_dropped_total", "reason" => reason.as_str()),
                count: Cell::new(0),
                log: Throttle::default(),
            }),
        }
    }
}

impl Forwarder {
    /// Creates a forwarder between the two sockets.
    pub fn new(ingress: Socket, port: Channel, codec: Codec) -> Self {
        Self {
            ingress,
            port,
            codec,
            table: RefCell::default(),
            watch: RefCell::default(),
            fabric: Cell::new(None),
            last_packet: Cell::new(Instant::now()),
            draining: Cell::new(false),
            meter: Meter::open(),
        }
    }

    /// Replaces the routes of new flows.
    pub fn set_table(&self, table: Table, agents: impl Iterator<Item = (SocketAddrV4, u32)>) {
        self.watch.borrow_mut().sync_roster(agents);
        self.table.replace(table);
    }

    /// Stops answering probes, so that agents choose other balancers for the packets that they return.
    pub fn drain(&self) {
        self.draining.set(true);
    }

    /// When the last packet of a flow came.
    pub fn last_packet(&self) -> Instant {
        self.last_packet.get()
    }

    /// Number of packets dropped for a reason.
    pub fn dropped(&self, reason: Refusal) -> u64 {
        self.meter.refusals[reason as usize].count.get()
    }

    /// Numbers of dropped packets by reason, without the reasons that did not occur.
    pub fn drops(&self) -> impl Iterator<Item = (&'static str, u64)> {
        let counts = Refusal::ALL
            .into_iter()
            .map(|reason| (reason.as_str(), self.dropped(reason)));
        counts.filter(|(_, count)| *count > 0)
    }

    /// Number of suspected agents.
    pub fn suspected(&self) -> usize {
        self.watch.borrow().suspected_count()
    }

    /// Applies the liveness rules and sends the probe that is due.
    pub fn check_agents(&self, now: Instant) -> Outcome {
        let due = self.watch.borrow_mut().check(now);
        if let Some(agent) = due.probe {
            self.port.send(agent, &Header::control(Kind::Probe), b"balancer");
        }
        self.port.flush();
        due
    }

    /// Forwards one batch of datagrams from the fabric.
    pub async fn forward_ingress(&self) -> io::Result<()> {
        let batch = self.ingress.recv(|from, datagram| {
            if let Err(reason) = self.ingress_datagram(from, datagram) {
                self.refuse(reason, from);
            }
        });
        batch.await?;
        self.port.flush();
        Ok(())
    }

    /// Handles one batch of frames. `digest` gets the payloads of Digest frames.
    pub async fn forward_frames(&self, mut digest: impl FnMut(SocketAddrV4, &[u8])) -> io::Result<()> {
        let batch = self.port.recv(|from, header, payload| {
            let outcome = match header.kind {
                Kind::Return => self.returned(from, &header, payload),
                Kind::Probe => {
                    self.heard(from);
                    // Agents return packets through balancers that answer probes.
                    if !self.draining.get() && self.fabric.get().is_some() {
                        self.port.send(from, &Header::control(Kind::ProbeReply), payload);
                    }
                    Ok(())
                }
                Kind::ProbeReply => {
                    self.heard(from);
                    Ok(())
                }
                Kind::Digest => {
                    self.heard(from);
                    digest(from, payload);
                    Ok(())
                }
                Kind::Forward | Kind::Load => Err(Refusal::UnexpectedFrame),
            };
            if let Err(reason) = outcome {
                self.refuse(reason, from);
            }
        });
        batch.await?;
        self.ingress.flush();
        Ok(())
    }

    fn ingress_datagram(&self, from: SocketAddrV4, datagram: &[u8]) -> Result<(), Refusal> {
        let Some((route, packet)) = proxy::Header::decode(datagram) else {
            if proxy::is_local(datagram) {
                self.fabric.set(Some(from));
                return Ok(());
            }
            return Err(Refusal::BadProxyHeader);
        };
        self.fabric.set(Some(from));
        let view = quic::parse_header(packet).ok_or(Refusal::BadPacket)?;
        let agent = match self.codec.open(view.destination) {
            Some(target) => {
                let table = self.table.borrow();
                // Without a configuration, the agent's own check of the service protects the flow.
                if table.is_configured() {
                    let expected = table.route(route.destination).ok_or(Refusal::NoService)?;
                    if expected.id != target.service {
                        return Err(Refusal::WrongService);
                    }
                }
                self.meter.established.increment(1);
                target.agent
            }
            None if view.kind == quic::Kind::Initial => self.place(&route)?,
            None => return Err(Refusal::ForeignId),
        };
        let now = Instant::now();
        if view.kind == quic::Kind::Initial {
            self.watch.borrow_mut().record_initial(agent, now);
        }
        self.last_packet.set(now);
        let header = Header {
            kind: Kind::Forward,
            flags: 0,
            service: route.destination,
            caller: route.source,
        };
        self.port.send(agent, &header, packet);
        Ok(())
    }

    fn place(&self, packet: &proxy::Header) -> Result<SocketAddrV4, Refusal> {
        let table = self.table.borrow();
        if !table.is_configured() {
            return Err(Refusal::NoConfiguration);
        }
        let route = table.route(packet.destination).ok_or(Refusal::NoService)?;
        let watch = self.watch.borrow();
        let (agent, reason) = route
            .choose(|agent| watch.is_suspected(agent))
            .ok_or(Refusal::NoAgent)?;
        self.meter.new_flows.increment(1);
        ::log::info!(
            event = "flow.routed", caller:% = packet.source, service = route.service, agent = agent.name,
            reason = reason.as_str(), revision = table.revision;
            "new flow"
        );
        Ok(agent.address)
    }

    fn returned(&self, from: SocketAddrV4, header: &Header, packet: &[u8]) -> Result<(), Refusal> {
        self.heard(from);
        {
            let table = self.table.borrow();
            if table.is_configured() && table.route(header.service).is_none() {
                return Err(Refusal::NoService);
            }
        }
        let fabric = self.fabric.get().ok_or(Refusal::NoFabric)?;
        let route = proxy::Header {
            source: header.service,
            destination: header.caller,
        };
        self.meter.returned.increment(1);
        self.last_packet.set(Instant::now());
        self.ingress.send(fabric, &route.encode(), packet);
        Ok(())
    }

    fn heard(&self, agent: SocketAddrV4) {
        if let Some(suspicion) = self.watch.borrow_mut().record_frame(agent) {
            ::log::info!(
                event = "agent.heard", agent:% = agent, incarnation = suspicion.incarnation;
                "suspected agent answers again"
            );
        }
    }

    fn refuse(&self, reason: Refusal, from: SocketAddrV4) {
        let tally = &self.meter.refusals[reason as usize];
        tally.total.increment(1);
        tally.count.set(tally.count.get() + 1);
        if let Some(suppressed) = tally.log.allow(Instant::now()) {
            ::log::warn!(
                event = "packet.dropped", reason = reason.as_str(), from:% = from, suppressed;
                "packet dropped"
            );
        }
    }
}
