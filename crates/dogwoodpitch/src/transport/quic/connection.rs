//! Handles of connections, and the state that they share with the driver task.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    fmt,
    net::SocketAddr,
    rc::Rc,
    task::Waker,
    time::Instant,
};

use bytes::Bytes;
use quinn_proto::{ConnectionError, Dir, Event, StreamEvent, StreamId, VarInt};

use super::{Error, Receiver, Relay, Sender};
use crate::transport::notify::Notify;

/// State of one connection, shared by its driver task and its handles.
pub(super) struct Inner {
    pub(super) proto: RefCell<quinn_proto::Connection>,
    pub(super) driver: Cell<Option<Waker>>,
    pub(super) work: Cell<bool>,
    pub(super) last_received: Cell<Instant>,
    pub(super) relay: Cell<Relay>,
    pub(super) connected: Cell<bool>,
    pub(super) lost: RefCell<Option<ConnectionError>>,
    /// Tasks that wait for connection events: handshake, new streams, stream credit, loss.
    pub(super) change: Notify,
    /// Tasks that wait for one stream.
    pub(super) streams: RefCell<HashMap<(StreamId, Side), Waker>>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Side {
    Read,
    Write,
}

impl Inner {
    pub(super) fn wake(&self) {
        self.work.set(true);
        wake(&self.driver);
    }

    /// Registers the task that waits for one side of a stream.
    pub(super) fn park(&self, id: StreamId, side: Side, waker: &Waker) {
        self.streams.borrow_mut().insert((id, side), waker.clone());
    }

    /// Forgets the task that waits for one side of a stream.
    pub(super) fn forget(&self, id: StreamId, side: Side) {
        self.streams.borrow_mut().remove(&(id, side));
    }

    fn wake_stream(&self, id: StreamId, side: Side) {
        let waker = self.streams.borrow_mut().remove(&(id, side));
        if let Some(waker) = waker {
            waker.wake();
        }
    }

    pub(super) fn wake_all(&self) {
        self.change.notify_waiters();
        let streams = std::mem::take(&mut *self.streams.borrow_mut());
        streams.into_values().for_each(Waker::wake);
    }

    pub(super) fn lost(&self) -> Option<Error> {
        self.lost.borrow().clone().map(|reason| Error::Lost { reason })
    }

    pub(super) fn process_events(&self) {
        loop {
            let event = self.proto.borrow_mut().poll();
            let Some(event) = event else { return };
            match event {
                Event::Connected => {
                    self.connected.set(true);
                    self.change.notify_waiters();
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
                Event::Stream(StreamEvent::Opened { .. } | StreamEvent::Available { .. }) => {
                    self.change.notify_waiters();
                }
                _ => {}
            }
        }
    }
}

pub(super) fn wake(cell: &Cell<Option<Waker>>) {
    if let Some(waker) = cell.take() {
        waker.wake();
    }
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
    pub(super) fn new(inner: Rc<Inner>) -> Self {
        Self(Rc::new(Guard(inner)))
    }

    pub(super) fn inner(&self) -> &Inner {
        &self.0.0
    }

    /// Waits for `ready` to give a value, or for the loss of the connection.
    async fn wait<T>(&self, mut ready: impl FnMut(&Inner) -> Option<T>) -> Result<T, Error> {
        let inner = self.inner();
        let result = || ready(inner).map(Ok).or_else(|| inner.lost().map(Err));
        inner.change.wait(result).await
    }

    /// Waits for the end of the handshake.
    pub async fn connected(&self) -> Result<(), Error> {
        self.wait(|inner| (inner.connected.get() && inner.lost.borrow().is_none()).then_some(()))
            .await
    }

    /// Waits for the loss of the connection.
    pub async fn closed(&self) -> ConnectionError {
        let inner = self.inner();
        inner.change.wait(|| inner.lost.borrow().clone()).await
    }

    /// Opens a bidirectional stream when the peer allows one more.
    pub async fn open_bi(&self) -> Result<(Sender, Receiver), Error> {
        let id = self
            .wait(|inner| inner.proto.borrow_mut().streams().open(Dir::Bi))
            .await?;
        Ok((Sender::new(self, id), Receiver::new(self, id)))
    }

    /// Accepts a bidirectional stream.
    pub async fn accept_bi(&self) -> Result<(Sender, Receiver), Error> {
        let id = self
            .wait(|inner| inner.proto.borrow_mut().streams().accept(Dir::Bi))
            .await?;
        self.inner().wake();
        Ok((Sender::new(self, id), Receiver::new(self, id)))
    }

    /// Opens a unidirectional stream.
    pub async fn open_uni(&self) -> Result<Sender, Error> {
        let id = self
            .wait(|inner| inner.proto.borrow_mut().streams().open(Dir::Uni))
            .await?;
        Ok(Sender::new(self, id))
    }

    /// Accepts a unidirectional stream.
    pub async fn accept_uni(&self) -> Result<Receiver, Error> {
        let id = self
            .wait(|inner| inner.proto.borrow_mut().streams().accept(Dir::Uni))
            .await?;
        self.inner().wake();
        Ok(Receiver::new(self, id))
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
    pub fn is_closed(&self) -> bool {
        self.inner().lost.borrow().is_some()
    }

    /// When the last datagram of this connection arrived.
    pub fn last_received(&self) -> Instant {
        self.inner().last_received.get()
    }

    /// Address of the peer; it changes when the peer moves to another port.
    pub fn remote_address(&self) -> SocketAddr {
        self.inner().proto.borrow().remote_address()
    }

    /// Tells the connection that this side now sends from another port, and probes the new path.
    pub fn local_address_changed(&self) {
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
