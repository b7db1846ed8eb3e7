//! Endpoints, and the driver task of each connection.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, VecDeque},
    fmt,
    future::{Future, poll_fn},
    net::{SocketAddr, SocketAddrV4},
    pin::Pin,
    rc::Rc,
    sync::Arc,
    task::{Poll, Waker},
    time::Instant,
};

use bytes::BytesMut;
use quinn_proto::{
    ClientConfig, ConnectError, ConnectionError, ConnectionHandle, DatagramEvent, EndpointConfig, Incoming,
    ServerConfig,
};

use super::{
    Connection,
    connection::{Inner, wake_task},
};
use crate::transport::notify::Notify;

/// Action for the first packet of a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Accept the connection.
    Accept,
    /// Send a Retry. Its connection ID comes from the ID generator, which determines the agent.
    Retry,
    /// Refuse the connection with `CONNECTION_REFUSED`.
    Refuse,
    /// Drop the packet.
    Ignore,
}

/// Relay of a connection, for endpoints that reach the peer through other nodes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Relay {
    /// Relay for the next datagram, unless the output closure chooses another.
    pub address: Option<SocketAddrV4>,
    /// When the last datagram was received.
    pub received: Option<Instant>,
    /// When the last datagram was sent.
    pub sent: Option<Instant>,
}

type Output = Box<dyn Fn(SocketAddr, &[u8], &Cell<Relay>)>;
type Decision = Box<dyn Fn(&Incoming) -> Verdict>;

struct Shared {
    endpoint: RefCell<quinn_proto::Endpoint>,
    connections: RefCell<HashMap<ConnectionHandle, Rc<Inner>>>,
    accepted: RefCell<VecDeque<Connection>>,
    accept_waker: Cell<Option<Waker>>,
    output: Output,
    decide: Decision,
}

/// QUIC endpoint without a socket.
#[derive(Clone)]
pub struct Endpoint(Rc<Shared>);

impl fmt::Debug for Endpoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Endpoint")
            .field("connections", &self.connection_count())
            .finish_non_exhaustive()
    }
}

impl Endpoint {
    /// Opens an endpoint. `output` sends one datagram to a remote address. `decide` returns the verdict on the first
    /// packet of a connection; it may read time-critical state of the owner, but must not call the endpoint.
    pub fn open(
        config: EndpointConfig,
        server: Option<Arc<ServerConfig>>,
        output: impl Fn(SocketAddr, &[u8]) + 'static,
        decide: impl Fn(&Incoming) -> Verdict + 'static,
    ) -> Self {
        Self::open_relayed(
            config,
            server,
            move |remote, datagram, _| output(remote, datagram),
            decide,
        )
    }

    /// Opens an endpoint whose `output` also gets the relay of the connection and may update it.
    pub fn open_relayed(
        config: EndpointConfig,
        server: Option<Arc<ServerConfig>>,
        output: impl Fn(SocketAddr, &[u8], &Cell<Relay>) + 'static,
        decide: impl Fn(&Incoming) -> Verdict + 'static,
    ) -> Self {
        let endpoint = quinn_proto::Endpoint::new(Arc::new(config), server, true, None);
        Self(Rc::new(Shared {
            endpoint: RefCell::new(endpoint),
            connections: RefCell::default(),
            accepted: RefCell::default(),
            accept_waker: Cell::default(),
            output: Box::new(output),
            decide: Box::new(decide),
        }))
    }

    /// Returns the number of connections that are not drained yet.
    pub fn connection_count(&self) -> usize {
        self.0.connections.borrow().len()
    }

    /// Handles one received datagram.
    pub fn handle_datagram(&self, remote: SocketAddr, datagram: BytesMut) {
        self.handle_relayed_datagram(None, remote, datagram);
    }

    /// Handles one datagram that was received through a relay.
    pub fn handle_relayed_datagram(&self, relay: Option<SocketAddrV4>, remote: SocketAddr, datagram: BytesMut) {
        let shared = &self.0;
        let now = Instant::now();
        let relay = Relay {
            address: relay,
            received: Some(now),
            sent: None,
        };
        let mut buffer = Vec::new();
        let event = shared
            .endpoint
            .borrow_mut()
            .handle(now, remote, None, None, datagram, &mut buffer);
        match event {
            Some(DatagramEvent::ConnectionEvent(handle, event)) => {
                let inner = shared.connections.borrow().get(&handle).cloned();
                if let Some(inner) = inner {
                    inner.last_received.set(now);
                    inner.relay.set(relay);
                    inner.proto.borrow_mut().handle_event(event);
                    inner.wake();
                }
            }
            Some(DatagramEvent::NewConnection(incoming)) => self.incoming(now, relay, incoming, buffer),
            Some(DatagramEvent::Response(transmit)) => {
                (shared.output)(transmit.destination, &buffer[..transmit.size], &Cell::new(relay));
            }
            None => {}
        }
    }

    fn incoming(&self, now: Instant, relay: Relay, incoming: Incoming, mut buffer: Vec<u8>) {
        let shared = &self.0;
        let verdict = (shared.decide)(&incoming);
        buffer.clear();
        let mut endpoint = shared.endpoint.borrow_mut();
        let transmit = match verdict {
            Verdict::Ignore => {
                endpoint.ignore(incoming);
                None
            }
            Verdict::Refuse => Some(endpoint.refuse(incoming, &mut buffer)),
            Verdict::Retry => match endpoint.retry(incoming, &mut buffer) {
                Ok(transmit) => Some(transmit),
                Err(error) => {
                    endpoint.ignore(error.into_incoming());
                    None
                }
            },
            Verdict::Accept => match endpoint.accept(incoming, now, &mut buffer, None) {
                Ok((handle, proto)) => {
                    drop(endpoint);
                    let connection = self.spawn(handle, proto, now, relay);
                    shared.accepted.borrow_mut().push_back(connection);
                    wake_task(&shared.accept_waker);
                    return;
                }
                Err(error) => error.response,
            },
        };
        drop(endpoint);
        if let Some(transmit) = transmit {
            (shared.output)(transmit.destination, &buffer[..transmit.size], &Cell::new(relay));
        }
    }

    /// Opens a connection to a service.
    pub fn connect(&self, config: ClientConfig, remote: SocketAddr, name: &str) -> Result<Connection, ConnectError> {
        let now = Instant::now();
        let (handle, proto) = self.0.endpoint.borrow_mut().connect(now, config, remote, name)?;
        Ok(self.spawn(handle, proto, now, Relay::default()))
    }

    /// Waits for an accepted connection, whose handshake may not be complete yet.
    pub async fn accept(&self) -> Connection {
        poll_fn(|cx| {
            if let Some(connection) = self.0.accepted.borrow_mut().pop_front() {
                return Poll::Ready(connection);
            }
            self.0.accept_waker.set(Some(cx.waker().clone()));
            Poll::Pending
        })
        .await
    }

    fn spawn(
        &self,
        handle: ConnectionHandle,
        proto: quinn_proto::Connection,
        now: Instant,
        relay: Relay,
    ) -> Connection {
        let inner = Rc::new(Inner {
            proto: RefCell::new(proto),
            driver_waker: Cell::default(),
            has_work: Cell::new(true),
            last_received: Cell::new(now),
            relay: Cell::new(relay),
            connected: Cell::new(false),
            close_reason: RefCell::default(),
            changed: Notify::default(),
            stream_wakers: RefCell::default(),
        });
        self.0.connections.borrow_mut().insert(handle, Rc::clone(&inner));
        monoio::spawn(drive(self.clone(), handle, Rc::clone(&inner)));
        Connection::new(inner)
    }
}

/// Drives one connection until it is drained.
async fn drive(endpoint: Endpoint, handle: ConnectionHandle, inner: Rc<Inner>) {
    let shared = &endpoint.0;
    let mut buffer = Vec::with_capacity(2048);
    let mut sleep: Option<(Instant, Pin<Box<monoio::time::Sleep>>)> = None;
    loop {
        let now = Instant::now();
        inner.has_work.set(false);
        let due = inner
            .proto
            .borrow_mut()
            .poll_timeout()
            .is_some_and(|deadline| deadline <= now);
        if due {
            inner.proto.borrow_mut().handle_timeout(now);
        }
        loop {
            buffer.clear();
            let transmit = inner.proto.borrow_mut().poll_transmit(now, 1, &mut buffer);
            let Some(transmit) = transmit else { break };
            (shared.output)(transmit.destination, &buffer[..transmit.size], &inner.relay);
        }
        inner.process_events();
        loop {
            let event = inner.proto.borrow_mut().poll_endpoint_events();
            let Some(event) = event else { break };
            let reply = shared.endpoint.borrow_mut().handle_event(handle, event);
            if let Some(reply) = reply {
                inner.proto.borrow_mut().handle_event(reply);
                inner.has_work.set(true);
            }
        }
        if inner.proto.borrow().is_drained() {
            break;
        }
        let deadline = inner.proto.borrow_mut().poll_timeout();
        if sleep.as_ref().map(|(at, _)| *at) != deadline {
            sleep = deadline.map(|at| (at, Box::pin(monoio::time::sleep_until(at.into()))));
        }
        poll_fn(|cx| {
            if inner.has_work.get() {
                return Poll::Ready(());
            }
            inner.driver_waker.set(Some(cx.waker().clone()));
            match &mut sleep {
                Some((_, sleep)) => sleep.as_mut().poll(cx),
                None => Poll::Pending,
            }
        })
        .await;
        if sleep.as_ref().is_some_and(|(at, _)| *at <= Instant::now()) {
            sleep = None;
        }
    }
    inner
        .close_reason
        .borrow_mut()
        .get_or_insert(ConnectionError::LocallyClosed);
    inner.wake_all();
    shared.connections.borrow_mut().remove(&handle);
}
