//! Driver of `quinn_proto` on the runtime: one task a connection.
//!
//! The endpoint owns no socket. Received datagrams are passed to [`Endpoint::input`], and datagrams to send go to the
//! output closure, since an agent sends through balancers and a caller changes its socket.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, VecDeque},
    fmt,
    future::poll_fn,
    net::{SocketAddr, SocketAddrV4},
    pin::Pin,
    rc::Rc,
    sync::{Arc, Mutex, PoisonError},
    task::{Poll, Waker},
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use quinn_proto::{
    ClientConfig, ConnectError, ConnectionError, ConnectionHandle, ConnectionId, ConnectionIdGenerator, DatagramEvent,
    Dir, EndpointConfig, Event, Incoming, InvalidCid, MtuDiscoveryConfig, ReadError, ServerConfig, StreamEvent,
    StreamId, TransportConfig, VarInt, WriteError,
};
use rand::RngExt;
use snafu::Snafu;

use crate::protocol::cid::{self, Codec, Target};

/// A failed operation on a connection or a stream.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The connection is lost or closed.
    #[snafu(display("connection lost: {reason}"))]
    Lost {
        /// Cause.
        reason: ConnectionError,
    },
    /// The peer has reset or stopped the stream.
    #[snafu(display("stream reset by peer with code {code}"))]
    Reset {
        /// Code from the peer.
        code: u64,
    },
    /// The stream is already closed on this side.
    #[snafu(display("stream is closed"))]
    Closed,
}

/// Largest QUIC packet in bytes. PROXY header and frame header must fit into an Ethernet packet beside it; larger probes are
/// lost and never fragmented.
const MAX_PACKET: u16 = 1400;
/// Later packets whose receipt makes an earlier one count as lost. The fabric sprays packets over balancers, so they
/// overtake each other.
const PACKET_THRESHOLD: u32 = 64;
/// Round-trip times after which a packet counts as lost when a later one was received.
const TIME_THRESHOLD: f32 = 2.0;

/// Transport parameters that both ends of a sprayed path need.
pub fn transport() -> TransportConfig {
    let mut discovery = MtuDiscoveryConfig::default();
    discovery.upper_bound(MAX_PACKET);
    let mut transport = TransportConfig::default();
    transport
        .mtu_discovery_config(Some(discovery))
        .packet_threshold(PACKET_THRESHOLD)
        .time_threshold(TIME_THRESHOLD);
    transport
}

/// Makes sealed connection IDs that name an agent.
#[derive(Debug, Clone)]
pub struct Generator {
    codec: Codec,
    own: Target,
    next: Arc<Mutex<Option<Target>>>,
}

impl Generator {
    /// Creates a generator whose IDs name `own`.
    pub fn new(codec: Codec, own: Target) -> Self {
        Self {
            codec,
            own,
            next: Arc::default(),
        }
    }

    /// Lets the next ID name another agent. A Retry takes exactly one ID, so that it names the agent of the flow.
    pub fn name_next(&self, target: Target) {
        *self.next.lock().unwrap_or_else(PoisonError::into_inner) = Some(target);
    }
}

impl ConnectionIdGenerator for Generator {
    fn generate_cid(&mut self) -> ConnectionId {
        let next = self.next.lock().unwrap_or_else(PoisonError::into_inner).take();
        ConnectionId::new(&self.codec.seal(&next.unwrap_or(self.own), rand::rng().random()))
    }

    /// Accepts the IDs of this agent up to its incarnation, so that flows of a former incarnation are reset and those of a
    /// newer one are not.
    fn validate(&self, id: &ConnectionId) -> Result<(), InvalidCid> {
        let target = self.codec.open(id).ok_or(InvalidCid)?;
        let ours = target.service == self.own.service && target.agent == self.own.agent;
        if ours && target.incarnation <= self.own.incarnation {
            Ok(())
        } else {
            Err(InvalidCid)
        }
    }

    fn cid_len(&self) -> usize {
        cid::LEN
    }

    fn cid_lifetime(&self) -> Option<Duration> {
        None
    }
}

/// What to do with the first packet of a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Accept the connection here.
    Accept,
    /// Send a Retry. The ID generator decides which agent it names.
    Retry,
    /// Refuse with `CONNECTION_REFUSED`.
    Refuse,
    /// Drop the packet.
    Ignore,
}

/// Relay of a connection, for owners that reach the remote through other nodes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Relay {
    /// Relay that the next datagram takes if nothing speaks against it.
    pub address: Option<SocketAddrV4>,
    /// When the last datagram was received.
    pub received: Option<Instant>,
    /// When the last datagram was sent.
    pub sent: Option<Instant>,
}

type Output = Box<dyn Fn(SocketAddr, &[u8], &Cell<Relay>)>;
type Decide = Box<dyn Fn(&Incoming) -> Verdict>;

struct Shared {
    endpoint: RefCell<quinn_proto::Endpoint>,
    connections: RefCell<HashMap<ConnectionHandle, Rc<Inner>>>,
    accepted: RefCell<VecDeque<Connection>>,
    accept_waker: Cell<Option<Waker>>,
    output: Output,
    decide: Decide,
}

/// A QUIC endpoint without a socket.
#[derive(Clone)]
pub struct Endpoint(Rc<Shared>);

impl fmt::Debug for Endpoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Endpoint")
            .field("connections", &self.connections())
            .finish_non_exhaustive()
    }
}

impl Endpoint {
    /// Opens an endpoint. `output` sends one datagram to a remote address; `decide` judges first packets and may read
    /// the time-critical state of the owner, but must not call the endpoint.
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

    /// Opens an endpoint whose `output` also gets the relay of the connection, and may update it.
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

    /// Number of connections that are not yet drained.
    pub fn connections(&self) -> usize {
        self.0.connections.borrow().len()
    }

    /// Handles one received datagram.
    pub fn input(&self, remote: SocketAddr, datagram: BytesMut) {
        self.input_from(None, remote, datagram);
    }

    /// Handles one datagram that a relay has delivered.
    pub fn input_from(&self, relay: Option<SocketAddrV4>, remote: SocketAddr, datagram: BytesMut) {
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
                    wake(&shared.accept_waker);
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

    /// Starts a connection to a service.
    pub fn connect(&self, config: ClientConfig, remote: SocketAddr, name: &str) -> Result<Connection, ConnectError> {
        let now = Instant::now();
        let (handle, proto) = self.0.endpoint.borrow_mut().connect(now, config, remote, name)?;
        Ok(self.spawn(handle, proto, now, Relay::default()))
    }

    /// Next accepted connection. Its handshake may still be going on.
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
            driver: Cell::default(),
            work: Cell::new(true),
            last_received: Cell::new(now),
            relay: Cell::new(relay),
            connected: Cell::new(false),
            lost: RefCell::default(),
            wakers: RefCell::default(),
            streams: RefCell::default(),
        });
        self.0.connections.borrow_mut().insert(handle, Rc::clone(&inner));
        monoio::spawn(drive(self.clone(), handle, Rc::clone(&inner)));
        Connection(Rc::new(Guard(inner)))
    }
}

/// State of one connection, shared by its driver task and its handles.
struct Inner {
    proto: RefCell<quinn_proto::Connection>,
    driver: Cell<Option<Waker>>,
    work: Cell<bool>,
    last_received: Cell<Instant>,
    relay: Cell<Relay>,
    connected: Cell<bool>,
    lost: RefCell<Option<ConnectionError>>,
    /// Tasks that wait for connection events: handshake, new streams, stream credit, loss.
    wakers: RefCell<Vec<Waker>>,
    /// Tasks that wait for one stream.
    streams: RefCell<HashMap<(StreamId, Side), Waker>>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Side {
    Read,
    Write,
}

impl Inner {
    fn wake(&self) {
        self.work.set(true);
        wake(&self.driver);
    }

    /// Registers a waiting task once, since a task that waits for several things is polled many times between events.
    fn register(&self, waker: &Waker) {
        let mut wakers = self.wakers.borrow_mut();
        if !wakers.iter().any(|known| known.will_wake(waker)) {
            wakers.push(waker.clone());
        }
    }

    fn wake_connection(&self) {
        let wakers = std::mem::take(&mut *self.wakers.borrow_mut());
        wakers.into_iter().for_each(Waker::wake);
    }

    fn wake_stream(&self, id: StreamId, side: Side) {
        let waker = self.streams.borrow_mut().remove(&(id, side));
        if let Some(waker) = waker {
            waker.wake();
        }
    }

    fn wake_all(&self) {
        self.wake_connection();
        let streams = std::mem::take(&mut *self.streams.borrow_mut());
        streams.into_values().for_each(Waker::wake);
    }

    fn lost(&self) -> Option<Error> {
        self.lost.borrow().clone().map(|reason| Error::Lost { reason })
    }

    fn process_events(&self) {
        loop {
            let event = self.proto.borrow_mut().poll();
            let Some(event) = event else { return };
            match event {
                Event::Connected => {
                    self.connected.set(true);
                    self.wake_connection();
                }
                Event::ConnectionLost { reason } => {
                    self.lost.borrow_mut().get_or_insert(reason);
                    self.wake_all();
                }
                Event::Stream(StreamEvent::Readable { id }) => self.wake_stream(id, Side::Read),
                Event::Stream(StreamEvent::Writable { id } | StreamEvent::Finished { id }) => {
                    self.wake_stream(id, Side::Write);
                }
                Event::Stream(StreamEvent::Stopped { id, .. }) => self.wake_stream(id, Side::Write),
                Event::Stream(StreamEvent::Opened { .. } | StreamEvent::Available { .. }) => self.wake_connection(),
                _ => {}
            }
        }
    }
}

fn wake(cell: &Cell<Option<Waker>>) {
    if let Some(waker) = cell.take() {
        waker.wake();
    }
}

/// Runs one connection until it is drained.
async fn drive(endpoint: Endpoint, handle: ConnectionHandle, inner: Rc<Inner>) {
    let shared = &endpoint.0;
    let mut buffer = Vec::with_capacity(2048);
    let mut sleep: Option<(Instant, Pin<Box<monoio::time::Sleep>>)> = None;
    loop {
        let now = Instant::now();
        inner.work.set(false);
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
                inner.work.set(true);
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
            if inner.work.get() {
                return Poll::Ready(());
            }
            inner.driver.set(Some(cx.waker().clone()));
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
    inner.lost.borrow_mut().get_or_insert(ConnectionError::LocallyClosed);
    inner.wake_all();
    shared.connections.borrow_mut().remove(&handle);
}

/// Closes the connection when the last handle and the last stream are dropped.
struct Guard(Rc<Inner>);

impl Drop for Guard {
    fn drop(&mut self) {
        if self.0.lost.borrow().is_none() {
            self.0
                .proto
                .borrow_mut()
                .close(Instant::now(), VarInt::from_u32(0), Bytes::new());
            self.0.wake();
        }
    }
}

/// Handle of a connection. The connection is closed when all handles and streams are dropped.
#[derive(Clone)]
pub struct Connection(Rc<Guard>);

impl fmt::Debug for Connection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Connection")
            .field("lost", &self.inner().lost.borrow())
            .finish_non_exhaustive()
    }
}

impl Connection {
    fn inner(&self) -> &Inner {
        &self.0.0
    }

    /// Waits for `ready` to give a value, or for the loss of the connection.
    async fn wait<T>(&self, mut ready: impl FnMut(&Inner) -> Option<T>) -> Result<T, Error> {
        poll_fn(|cx| {
            let inner = self.inner();
            if let Some(value) = ready(inner) {
                return Poll::Ready(Ok(value));
            }
            if let Some(error) = inner.lost() {
                return Poll::Ready(Err(error));
            }
            inner.register(cx.waker());
            Poll::Pending
        })
        .await
    }

    /// Waits for the end of the handshake.
    pub async fn connected(&self) -> Result<(), Error> {
        self.wait(|inner| (inner.connected.get() && inner.lost.borrow().is_none()).then_some(()))
            .await
    }

    /// Waits for the loss of the connection.
    pub async fn closed(&self) -> ConnectionError {
        poll_fn(|cx| {
            let inner = self.inner();
            if let Some(reason) = inner.lost.borrow().clone() {
                return Poll::Ready(reason);
            }
            inner.register(cx.waker());
            Poll::Pending
        })
        .await
    }

    /// Opens a bidirectional stream when the peer allows one more.
    pub async fn open_bi(&self) -> Result<(Sender, Receiver), Error> {
        let id = self
            .wait(|inner| inner.proto.borrow_mut().streams().open(Dir::Bi))
            .await?;
        Ok((self.sender(id), self.receiver(id)))
    }

    /// Accepts a bidirectional stream.
    pub async fn accept_bi(&self) -> Result<(Sender, Receiver), Error> {
        let id = self
            .wait(|inner| inner.proto.borrow_mut().streams().accept(Dir::Bi))
            .await?;
        self.inner().wake();
        Ok((self.sender(id), self.receiver(id)))
    }

    /// Opens a unidirectional stream.
    pub async fn open_uni(&self) -> Result<Sender, Error> {
        let id = self
            .wait(|inner| inner.proto.borrow_mut().streams().open(Dir::Uni))
            .await?;
        Ok(self.sender(id))
    }

    /// Accepts a unidirectional stream.
    pub async fn accept_uni(&self) -> Result<Receiver, Error> {
        let id = self
            .wait(|inner| inner.proto.borrow_mut().streams().accept(Dir::Uni))
            .await?;
        self.inner().wake();
        Ok(self.receiver(id))
    }

    fn sender(&self, id: StreamId) -> Sender {
        Sender {
            connection: self.clone(),
            id,
            finished: false,
            written: 0,
        }
    }

    fn receiver(&self, id: StreamId) -> Receiver {
        Receiver {
            connection: self.clone(),
            id,
            ended: false,
        }
    }

    /// Closes the connection with a code and a reason for the peer.
    pub fn close(&self, code: u32, reason: &str) {
        let reason = Bytes::copy_from_slice(reason.as_bytes());
        self.inner()
            .proto
            .borrow_mut()
            .close(Instant::now(), VarInt::from_u32(code), reason);
        self.inner()
            .lost
            .borrow_mut()
            .get_or_insert(ConnectionError::LocallyClosed);
        self.inner().wake_all();
        self.inner().wake();
    }

    /// Whether the connection is lost or closed.
    pub fn is_lost(&self) -> bool {
        self.inner().lost.borrow().is_some()
    }

    /// When the last datagram of this connection arrived.
    pub fn last_received(&self) -> Instant {
        self.inner().last_received.get()
    }

    /// Address of the peer; it changes when the peer moves to another port.
    pub fn remote(&self) -> SocketAddr {
        self.inner().proto.borrow().remote_address()
    }

    /// Tells the connection that this side now sends from another port, and probes the new path.
    pub fn rebound(&self) {
        let mut proto = self.inner().proto.borrow_mut();
        proto.local_address_changed();
        proto.ping();
        drop(proto);
        self.inner().wake();
    }

    /// Sends a PING, so that a live peer answers.
    pub fn ping(&self) {
        self.inner().proto.borrow_mut().ping();
        self.inner().wake();
    }
}

/// Sending side of a stream. Dropping it before [`Sender::finish`] resets the stream.
pub struct Sender {
    connection: Connection,
    id: StreamId,
    finished: bool,
    written: u64,
}

impl fmt::Debug for Sender {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Sender").field("id", &self.id).finish_non_exhaustive()
    }
}

impl Sender {
    /// Writes all bytes, waiting for flow control.
    pub async fn write(&mut self, mut data: &[u8]) -> Result<(), Error> {
        while !data.is_empty() {
            let written = poll_fn(|cx| {
                let inner = self.connection.inner();
                if let Some(error) = inner.lost() {
                    return Poll::Ready(Err(error));
                }
                let written = inner.proto.borrow_mut().send_stream(self.id).write(data);
                match written {
                    Ok(written) => {
                        self.written += written as u64;
                        inner.wake();
                        Poll::Ready(Ok(written))
                    }
                    Err(WriteError::Blocked) => {
                        inner
                            .streams
                            .borrow_mut()
                            .insert((self.id, Side::Write), cx.waker().clone());
                        Poll::Pending
                    }
                    Err(WriteError::Stopped(code)) => Poll::Ready(Err(Error::Reset {
                        code: code.into_inner(),
                    })),
                    Err(WriteError::ClosedStream) => Poll::Ready(Err(Error::Closed)),
                }
            })
            .await?;
            data = &data[written..];
        }
        Ok(())
    }

    /// Bytes that the connection has taken; they may have been sent.
    pub fn written(&self) -> u64 {
        self.written
    }

    /// Ends the stream. The data is still delivered as long as the connection lives.
    pub fn finish(&mut self) -> Result<(), Error> {
        self.finished = true;
        let result = self.connection.inner().proto.borrow_mut().send_stream(self.id).finish();
        self.connection.inner().wake();
        result.map_err(|_closed| Error::Closed)
    }

    /// Waits until the peer stops the stream or the connection is lost.
    pub async fn stopped(&mut self) -> Error {
        poll_fn(|cx| {
            let inner = self.connection.inner();
            if let Some(error) = inner.lost() {
                return Poll::Ready(error);
            }
            let stopped = inner.proto.borrow_mut().send_stream(self.id).stopped();
            match stopped {
                Ok(Some(code)) => Poll::Ready(Error::Reset {
                    code: code.into_inner(),
                }),
                Ok(None) => {
                    inner
                        .streams
                        .borrow_mut()
                        .insert((self.id, Side::Write), cx.waker().clone());
                    Poll::Pending
                }
                Err(_closed) => Poll::Ready(Error::Closed),
            }
        })
        .await
    }

    /// Sets the priority among the streams of the connection; higher goes first.
    pub fn set_priority(&self, priority: i32) {
        let _ = self
            .connection
            .inner()
            .proto
            .borrow_mut()
            .send_stream(self.id)
            .set_priority(priority);
    }
}

impl Drop for Sender {
    fn drop(&mut self) {
        self.connection
            .inner()
            .streams
            .borrow_mut()
            .remove(&(self.id, Side::Write));
        if !self.finished {
            let _ = self
                .connection
                .inner()
                .proto
                .borrow_mut()
                .send_stream(self.id)
                .reset(VarInt::from_u32(0));
            self.connection.inner().wake();
        }
    }
}

/// Receiving side of a stream. Dropping it before its end tells the peer to stop.
pub struct Receiver {
    connection: Connection,
    id: StreamId,
    ended: bool,
}

impl fmt::Debug for Receiver {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Receiver").field("id", &self.id).finish_non_exhaustive()
    }
}

impl Receiver {
    /// Next bytes, at most `max`; `None` at the end of the stream.
    pub async fn read(&mut self, max: usize) -> Result<Option<Bytes>, Error> {
        if self.ended {
            return Ok(None);
        }
        let result = poll_fn(|cx| {
            let inner = self.connection.inner();
            let result = read_chunk(&mut inner.proto.borrow_mut(), self.id, max);
            match result {
                Err(ReadError::Blocked) => {
                    if let Some(error) = inner.lost() {
                        return Poll::Ready(Err(error));
                    }
                    inner
                        .streams
                        .borrow_mut()
                        .insert((self.id, Side::Read), cx.waker().clone());
                    Poll::Pending
                }
                Err(ReadError::Reset(code)) => Poll::Ready(Err(Error::Reset {
                    code: code.into_inner(),
                })),
                Ok(chunk) => {
                    inner.wake();
                    Poll::Ready(Ok(chunk))
                }
            }
        })
        .await;
        if matches!(result, Ok(None) | Err(Error::Reset { .. })) {
            self.ended = true;
        }
        result
    }

    /// Waits until the peer resets the stream or the connection is lost; received data stays unread.
    pub async fn reset(&mut self) -> Error {
        let result = poll_fn(|cx| {
            let inner = self.connection.inner();
            let reset = inner.proto.borrow_mut().recv_stream(self.id).received_reset();
            match reset {
                Ok(Some(code)) => Poll::Ready(Some(Error::Reset {
                    code: code.into_inner(),
                })),
                Ok(None) => {
                    if let Some(error) = inner.lost() {
                        return Poll::Ready(Some(error));
                    }
                    inner
                        .streams
                        .borrow_mut()
                        .insert((self.id, Side::Read), cx.waker().clone());
                    Poll::Pending
                }
                Err(_closed) => Poll::Ready(None),
            }
        })
        .await;
        match result {
            Some(error) => {
                self.ended |= matches!(error, Error::Reset { .. });
                error
            }
            // The stream was read to its end, so it can no longer be reset.
            None => std::future::pending().await,
        }
    }
}

fn read_chunk(proto: &mut quinn_proto::Connection, id: StreamId, max: usize) -> Result<Option<Bytes>, ReadError> {
    let mut stream = proto.recv_stream(id);
    // A closed stream has been read to its end.
    let Ok(mut chunks) = stream.read(true) else {
        return Ok(None);
    };
    let chunk = chunks.next(max);
    let _ = chunks.finalize();
    chunk.map(|chunk| chunk.map(|chunk| chunk.bytes))
}

impl Drop for Receiver {
    fn drop(&mut self) {
        self.connection
            .inner()
            .streams
            .borrow_mut()
            .remove(&(self.id, Side::Read));
        if !self.ended {
            let _ = self
                .connection
                .inner()
                .proto
                .borrow_mut()
                .recv_stream(self.id)
                .stop(VarInt::from_u32(0));
            self.connection.inner().wake();
        }
    }
}
