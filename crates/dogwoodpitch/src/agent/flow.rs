//! Flows: one QUIC endpoint per service, routing of forwarded packets to it, and placement of new connections.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::{SocketAddr, SocketAddrV4},
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::BytesMut;
use metrics::counter;
use quinn_proto::{EndpointConfig, Incoming, ServerConfig, VarInt, crypto::rustls::QuicServerConfig};
use ring::{hkdf, hmac};
use rustls::pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject};
use slotmap::{DefaultKey, SlotMap};
use snafu::{ResultExt, Snafu};

use crate::{
    agent::{Agent, request},
    protocol::{
        cid::{Codec, Target},
        datagram::{Header, Kind},
        quic as packet,
        settings::Certificate,
    },
    state::service::{Id, Service},
    transport::quic::{self, Connection, Endpoint, Generator, Relay, Sender, Verdict},
};

/// Idle timeout of a connection. Callers send a keepalive every 500 ms.
const IDLE_TIMEOUT_MS: u32 = 10_000;
/// Maximum number of open streams per connection.
const MAX_STREAMS: u32 = 256;
/// Receive window of a stream in bytes, which limits the memory held by a waiting upload.
const STREAM_WINDOW: u32 = 256 * 1024;

/// A service that this agent serves, with its QUIC endpoint.
struct Listener {
    name: String,
    address: Rc<Cell<SocketAddrV4>>,
    endpoint: Endpoint,
}

/// An open flow.
pub(super) struct Flow {
    /// Identifier in the log.
    pub(super) id: String,
    /// Service of the flow.
    pub(super) service: Id,
    /// Address of the caller when the flow was accepted.
    pub(super) caller: String,
    /// Connection of the flow.
    pub(super) connection: Connection,
    /// Stream of notices, opened for the first notice.
    pub(super) notices: Cell<Option<Sender>>,
    /// Whether the caller was asked to move in the current drain.
    notified: Cell<bool>,
}

/// Why a forwarded packet is dropped instead of reaching an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Misroute {
    /// The packet is too short, or its connection ID cannot be decrypted.
    UnknownId,
    /// The connection ID names another agent.
    OtherAgent,
    /// The connection ID names a newer incarnation of this agent.
    NewerIncarnation,
    /// This agent has no endpoint for the service of the connection ID or of the frame.
    UnknownService,
    /// The packet was sent to the address of a service other than the one that its connection ID names.
    WrongService,
}

impl Misroute {
    fn label(self) -> &'static str {
        match self {
            Self::UnknownId => "unknown_id",
            Self::OtherAgent => "other_agent",
            Self::NewerIncarnation => "newer_incarnation",
            Self::UnknownService => "unknown_service",
            Self::WrongService => "wrong_service",
        }
    }
}

/// Addresses of the served services, as needed by [`route`].
pub trait Addresses {
    /// Address of a service.
    fn address(&self, service: Id) -> Option<SocketAddrV4>;
    /// Service with an address.
    fn at(&self, address: SocketAddrV4) -> Option<Id>;
}

/// Finds the service whose endpoint gets a packet that a balancer forwarded for the address `service`. `own` is the
/// address and the incarnation of this agent.
pub fn route(
    codec: &Codec,
    own: (SocketAddrV4, u32),
    listeners: &impl Addresses,
    service: SocketAddrV4,
    datagram: &[u8],
) -> Result<Id, Misroute> {
    let packet = packet::parse_header(datagram).ok_or(Misroute::UnknownId)?;
    let Some(target) = codec.open(packet.destination) else {
        // Only Initial packets carry a connection ID that the caller has chosen.
        return match packet.kind {
            packet::Kind::Initial => listeners.at(service).ok_or(Misroute::UnknownService),
            packet::Kind::Long | packet::Kind::Short => Err(Misroute::UnknownId),
        };
    };
    if target.agent != own.0 {
        return Err(Misroute::OtherAgent);
    }
    if target.incarnation > own.1 {
        return Err(Misroute::NewerIncarnation);
    }
    match listeners.address(target.service) {
        None => Err(Misroute::UnknownService),
        Some(address) if address != service => Err(Misroute::WrongService),
        Some(_) => Ok(target.service),
    }
}

/// Endpoints and open flows of an agent.
#[derive(Default)]
pub(super) struct Flows {
    listeners: RefCell<HashMap<Id, Listener>>,
    open: RefCell<SlotMap<DefaultKey, Rc<Flow>>>,
}

impl Addresses for Flows {
    fn address(&self, service: Id) -> Option<SocketAddrV4> {
        self.listeners
            .borrow()
            .get(&service)
            .map(|listener| listener.address.get())
    }

    fn at(&self, address: SocketAddrV4) -> Option<Id> {
        let listeners = self.listeners.borrow();
        let mut found = listeners
            .iter()
            .filter(|(_, listener)| listener.address.get() == address);
        found.next().map(|(id, _)| *id)
    }
}

impl Flows {
    /// Number of connections of all services that are not fully closed yet.
    pub(super) fn connections(&self) -> usize {
        self.listeners
            .borrow()
            .values()
            .map(|listener| listener.endpoint.connection_count())
            .sum()
    }

    /// Services with an endpoint.
    pub(super) fn services(&self) -> Vec<Id> {
        self.listeners.borrow().keys().copied().collect()
    }

    /// Name of a service.
    pub(super) fn name(&self, service: Id) -> Option<String> {
        self.listeners
            .borrow()
            .get(&service)
            .map(|listener| listener.name.clone())
    }

    /// Returns the flows of a service whose callers were not asked to move yet, and marks them as notified.
    pub(super) fn take_unnotified(&self, service: Id) -> Vec<Rc<Flow>> {
        let open = self.open.borrow();
        let flows = open
            .values()
            .filter(|flow| flow.service == service && !flow.notified.replace(true));
        flows.cloned().collect()
    }

    /// Marks the flows of a service as not notified, so that their callers are asked to move at the next drain.
    pub(super) fn reset_notified(&self, service: Id) {
        let open = self.open.borrow();
        let flows = open.values().filter(|flow| flow.service == service);
        flows.for_each(|flow| flow.notified.set(false));
    }

    /// Closes all flows.
    pub(super) fn close(&self, reason: &str) {
        for flow in self.open.borrow().values() {
            flow.connection.close(0, reason);
        }
    }
}

/// A certificate that cannot be used.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The certificate or the key is not valid PEM.
    #[snafu(display("code 601: certificate of {service:?}: {source}"))]
    Pem {
        /// Service.
        service: String,
        /// Cause.
        source: rustls::pki_types::pem::Error,
    },
    /// The key does not fit the certificate.
    #[snafu(display("code 601: certificate of {service:?}: {source}"))]
    Key {
        /// Service.
        service: String,
        /// Cause.
        source: rustls::Error,
    },
}

/// QUIC server configuration of a service. All agents share the token key, so that a Retry token issued by one agent is
/// valid at another.
pub fn server_config(certificate: &Certificate, token: &[u8; 32]) -> Result<ServerConfig, Error> {
    let service = &certificate.service;
    let chain = CertificateDer::pem_slice_iter(certificate.certificate.as_bytes())
        .collect::<Result<Vec<_>, _>>()
        .context(PemSnafu { service })?;
    let key = PrivateKeyDer::from_pem_slice(certificate.key.0.as_bytes()).context(PemSnafu { service })?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut tls = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .context(KeySnafu { service })?
        .with_no_client_auth()
        .with_single_cert(chain, key)
        .context(KeySnafu { service })?;
    // A resuming connection usually reaches another agent, which cannot decrypt the ticket.
    tls.send_tls13_tickets = 0;
    let crypto = QuicServerConfig::try_from(tls).expect("the ring provider has the initial cipher suite");
    let token = hkdf::Salt::new(hkdf::HKDF_SHA256, &[]).extract(token);
    let mut transport = quic::transport_config();
    transport
        .max_idle_timeout(Some(VarInt::from_u32(IDLE_TIMEOUT_MS).into()))
        .max_concurrent_bidi_streams(VarInt::from_u32(MAX_STREAMS))
        .max_concurrent_uni_streams(VarInt::from_u32(0))
        .stream_receive_window(VarInt::from_u32(STREAM_WINDOW))
        // The connection window covers the windows of all streams, so that waiting uploads do not block short requests.
        .receive_window(VarInt::from_u32(STREAM_WINDOW * MAX_STREAMS));
    let mut config = ServerConfig::new(Arc::new(crypto), Arc::new(token));
    config.transport_config(Arc::new(transport));
    Ok(config)
}

impl Agent {
    fn target(&self, service: Id) -> Target {
        Target {
            service,
            agent: self.settings.node.datagram,
            incarnation: self.incarnation,
        }
    }

    /// Opens endpoints for the services that have none yet. An endpoint stays open when the configuration no longer needs
    /// it, to serve its open flows and to redirect new ones.
    pub(super) fn update_listeners(self: &Rc<Self>) {
        let snapshot = self.replica.snapshot();
        for service in snapshot.live_services() {
            if let Some(listener) = self.flows.listeners.borrow().get(&service.id) {
                listener.address.set(service.address);
                continue;
            }
            let certificates = &self.settings.certificates;
            let Some(certificate) = certificates.iter().find(|known| known.service == service.name) else {
                if snapshot.selects(&service.name, &self.settings.node.name) {
                    log::warn!(
                        event = "service.no_certificate", service = service.name, revision = snapshot.revision;
                        "this agent is selected for a service, but its settings have no certificate for it"
                    );
                }
                continue;
            };
            match server_config(certificate, &self.settings.token.0) {
                Ok(config) => self.open_listener(service, config),
                Err(error) => {
                    log::error!(event = "service.bad_certificate", service = service.name, error:% = error; "cannot serve a service");
                }
            }
        }
    }

    fn open_listener(self: &Rc<Self>, service: &Service, server: ServerConfig) {
        let generator = Generator::new(self.codec.clone(), self.target(service.id));
        let reset = hmac::Key::new(hmac::HMAC_SHA256, &self.settings.reset.0);
        let mut config = EndpointConfig::new(Arc::new(reset));
        let ids = generator.clone();
        config.cid_generator(move || Box::new(ids.clone()));
        let address = Rc::new(Cell::new(service.address));
        let output = {
            let agent = Rc::clone(self);
            let address = Rc::clone(&address);
            move |remote: SocketAddr, datagram: &[u8], relay: &Cell<Relay>| {
                agent.send_to_caller(address.get(), remote, datagram, relay);
            }
        };
        let decide = {
            let agent = Rc::clone(self);
            let id = service.id;
            move |incoming: &Incoming| agent.place(id, &generator, incoming)
        };
        let endpoint = Endpoint::open_relayed(config, Some(Arc::new(server)), output, decide);
        monoio::spawn(accept(Rc::clone(self), service.id, endpoint.clone()));
        let listener = Listener {
            name: service.name.clone(),
            address,
            endpoint,
        };
        self.flows.listeners.borrow_mut().insert(service.id, listener);
        log::info!(event = "service.open", service = service.name, id:% = service.id; "endpoint opened");
    }

    fn send_to_caller(&self, service: SocketAddrV4, remote: SocketAddr, datagram: &[u8], relay: &Cell<Relay>) {
        let SocketAddr::V4(caller) = remote else { return };
        let Some(balancer) = self.balancers.choose(relay, Instant::now()) else {
            counter!("dogwoodpitch_agent_packets_dropped_total", "reason" => "no_balancer").increment(1);
            return;
        };
        let header = Header {
            kind: Kind::Return,
            flags: 0,
            service,
            caller,
        };
        self.channel.send(balancer, &header, datagram);
        self.flush.request();
    }

    /// Handles a packet that a balancer forwarded.
    pub(super) fn receive_packet(&self, from: SocketAddrV4, header: &Header, datagram: &[u8]) {
        let own = (self.settings.node.datagram, self.incarnation);
        let routed = route(&self.codec, own, &self.flows, header.service, datagram);
        let id = match routed {
            Ok(id) => id,
            Err(misroute) => {
                counter!("dogwoodpitch_agent_packets_dropped_total", "reason" => misroute.label()).increment(1);
                return;
            }
        };
        let endpoint = self
            .flows
            .listeners
            .borrow()
            .get(&id)
            .map(|listener| listener.endpoint.clone());
        if let Some(endpoint) = endpoint {
            endpoint.handle_relayed_datagram(Some(from), header.caller.into(), BytesMut::from(datagram));
        }
    }

    /// Decides on the first packet of a connection. Without a valid token, the caller gets a Retry whose connection ID
    /// names the agent on which the flow is placed.
    fn place(&self, service: Id, generator: &Generator, incoming: &Incoming) -> Verdict {
        let drain = self.drain_reason(service);
        let own = self.target(service);
        let flow = incoming.orig_dst_cid();
        let (verdict, choice, reason) = if incoming.may_retry() {
            match (self.exchange.place_flow(service), drain) {
                (Some(target), _) if target.agent != own.agent => {
                    generator.set_next_target(target);
                    (Verdict::Retry, Some(target.agent), "placed on a peer".to_owned())
                }
                (_, Some(drain)) => (Verdict::Refuse, None, format!("no other agent, and {drain}")),
                (placed, None) => {
                    generator.set_next_target(own);
                    let reason = placed.map_or("no load of peers known", |_| "placed here");
                    (Verdict::Retry, Some(own.agent), reason.to_owned())
                }
            }
        } else if let Some(drain) = drain {
            (Verdict::Refuse, None, drain.to_string())
        } else if self.flows.connections() >= self.settings.backend.connections as usize {
            (Verdict::Refuse, None, "connection limit reached".to_owned())
        } else {
            (Verdict::Accept, Some(own.agent), "validated".to_owned())
        };
        let name = match verdict {
            Verdict::Accept => "accept",
            Verdict::Retry => "retry",
            Verdict::Refuse => "refuse",
            Verdict::Ignore => "ignore",
        };
        log::info!(
            event = "flow.placed", flow:% = flow, service:% = service, caller:% = incoming.remote_address(),
            verdict = name, choice:? = choice, reason = reason, revision = self.replica.snapshot().revision;
            "flow placed"
        );
        counter!("dogwoodpitch_agent_flows_placed_total", "verdict" => name).increment(1);
        verdict
    }
}

async fn accept(agent: Rc<Agent>, service: Id, endpoint: Endpoint) {
    loop {
        let connection = endpoint.accept().await;
        monoio::spawn(serve(Rc::clone(&agent), service, connection));
    }
}

/// Serves a connection until it is lost or closed.
async fn serve(agent: Rc<Agent>, service: Id, connection: Connection) {
    let caller = connection.remote_address().to_string();
    if let Err(error) = connection.connected().await {
        log::debug!(event = "flow.handshake_failed", caller = caller, error:% = error; "handshake failed");
        return;
    }
    let flow = Rc::new(Flow {
        id: caller.clone(),
        service,
        caller,
        connection,
        notices: Cell::default(),
        notified: Cell::default(),
    });
    let key = agent.flows.open.borrow_mut().insert(Rc::clone(&flow));
    let opened = Instant::now();
    let error = loop {
        match flow.connection.accept_bi().await {
            Ok((sender, receiver)) => {
                monoio::spawn(request::serve(Rc::clone(&agent), Rc::clone(&flow), sender, receiver));
            }
            Err(error) => break error,
        }
    };
    agent.flows.open.borrow_mut().remove(key);
    log::info!(
        event = "flow.closed", flow = flow.id, service:% = service, seconds = opened.elapsed().as_secs(), reason:% = error;
        "flow closed"
    );
}

/// Time at the end of a stop in which the packets that close the connections are sent.
pub(super) const CLOSE_FLUSH_TIME: Duration = Duration::from_millis(100);
