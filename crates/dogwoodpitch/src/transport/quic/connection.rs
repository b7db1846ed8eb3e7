//! Connection handles, and the state that they share with the driver task.

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

/// State of one connection, shared by the driver task and the handles.
pub(super) struct Inner {
    pub(super) proto: RefCell<quinn_proto::Connection>,
    pub(super) driver_waker: Cell<Option<Waker>>,
    pub(super) has_work: Cell<bool>,
    pub(super) last_received: Cell<Instant>,
    pub(super) relay: Cell<Relay>,
    pub(super) connected: Cell<bool>,
    pub(super) close_reason: RefCell<Option<ConnectionError>>,
    /// Tasks that wait for connection events: end of the handshake, new streams, stream credit, loss.
    pub(super) changed: Notify,
    /// Tasks that wait for one stream.
    pub(super) stream_wakers: RefCell<HashMap<(StreamId, Side), Waker>>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Side {
    Read,
    Write,
}

impl Inner {
    pub(super) fn wake(&self) {
        self.has_work.set(true);
        wake_task(&self.driver_waker);
    }

    /// Registers the waker of the task that waits for one side of a stream.
    pub(super) fn register_waker(&self, id: StreamId, side: Side, waker: &Waker) {
        self.stream_wakers.borrow_mut().insert((id, side), waker.clone());
    }

    /// Removes the waker of the task that waits for one side of a stream.
    pub(super) fn remove_waker(&self, id: StreamId, side: Side) {
        self.stream_wakers.borrow_mut().remove(&(id, side));
    }

    fn wake_stream(&self, id: StreamId, side: Side) {
        let waker = self.stream_wakers.borrow_mut().remove(&(id, side));
        if let Some(waker) = waker {
            waker.wake();
        }
    }

    pub(super) fn wake_all(&self) {
        self.changed.notify_waiters();
        let wakers = std::mem::take(&mut *self.stream_wakers.borrow_mut());
        wakers.into_values().for_each(Waker::wake);
    }

    pub(super) fn close_error(&self) -> Option<Error> {
        self.close_reason.borrow().clone().map(|reason| Error::Lost { reason })
    }

    pub(super) fn process_events(&self) {
        loop {
            let event = self.proto.borrow_mut().poll();
            let Some(event) = event else { return };
            match event {
                Event::Connected => {
                    self.connected.set(true);
                    self.changed.notify_waiters();
                }
                Event::ConnectionLost { reason } => {
                    self.close_reason.borrow_mut().get_or_insert(reason);
                    self.wake_all();
                }
                Event::Stream(StreamEvent::Readable { id }) => self.wake_stream(id, Side::Read),
                Event::Stream(StreamEvent::Writable { id } | StreamEvent::Finished { id }) => {
                    self.wake_stream(id, Side::Write);
                }
                Event::Stream(StreamEvent::Stopped { id, .. }) => self.wake_stream(id, Side::Write),
                Event::Stream(StreamEvent::Opened { .. } | StreamEvent::Available { .. }) => {
                    self.changed.notify_waiters();
                }
                _ => {}
            }
        }
    }
}

pub(super) fn wake_task(waker: &Cell<Option<Waker>>) {
    if let Some(waker) = waker.take() {
        waker.wake();
    }
}

/// Closes the connection when it is dropped, with the last handle and the last stream.
struct Guard(Rc<Inner>);

impl Drop for Guard {
    fn drop(&mut self) {
        if self.0.close_reason.borrow().is_none() {
            self.0
                .proto
                .borrow_mut()
                .close(Instant::now(), VarInt::from_u32(0), Bytes::new());
            self.0.wake();
        }
    }
}

/// Handle of a connection, which is closed when all handles and streams are dropped.
#[derive(Clone)]
pub struct Connection(Rc<Guard>);

impl fmt::Debug for Connection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Connection")
            .field("lost", &self.inner().close_reason.borrow())
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

    /// Waits until `ready` returns a value. Fails when the connection is lost or closed.
    async fn wait<T>(&self, mut ready: impl FnMut(&Inner) -> Option<T>) -> Result<T, Error> {
        let inner = self.inner();
        let result = || ready(inner).map(Ok).or_else(|| inner.close_error().map(Err));
        inner.changed.wait(result).await
    }

    /// Waits until the handshake is complete.
    pub async fn connected(&self) -> Result<(), Error> {
        self.wait(|inner| (inner.connected.get() && inner.close_reason.borrow().is_none()).then_some(()))
            .await
    }

    /// Waits until the connection is lost or closed.
    pub async fn closed(&self) -> ConnectionError {
        let inner = self.inner();
        inner.changed.wait(|| inner.close_reason.borrow().clone()).await
    }

    /// Opens a bidirectional stream, waiting for stream credit.
    pub async fn open_bi(&self) -> Result<(Sender, Receiver), Error> {
        let id = self
            .wait(|inner| inner.proto.borrow_mut().streams().open(Dir::Bi))
            .await?;
        Ok((Sender::new(self, id), Receiver::new(self, id)))
    }

    /// Waits for a bidirectional stream that the peer opens.
    pub async fn accept_bi(&self) -> Result<(Sender, Receiver), Error> {
        let id = self
            .wait(|inner| inner.proto.borrow_mut().streams().accept(Dir::Bi))
            .await?;
        self.inner().wake();
        Ok((Sender::new(self, id), Receiver::new(self, id)))
    }

    /// Opens a unidirectional stream, waiting for stream credit.
    pub async fn open_uni(&self) -> Result<Sender, Error> {
        let id = self
            .wait(|inner| inner.proto.borrow_mut().streams().open(Dir::Uni))
            .await?;
        Ok(Sender::new(self, id))
    }

    /// Waits for a unidirectional stream that the peer opens.
    pub async fn accept_uni(&self) -> Result<Receiver, Error> {
        let id = self
            .wait(|inner| inner.proto.borrow_mut().streams().accept(Dir::Uni))
            .await?;
        self.inner().wake();
        Ok(Receiver::new(self, id))
    }

    /// Closes the connection, with an error code and a reason for the peer.
    pub fn close(&self, code: u32, reason: &str) {
        let reason = Bytes::copy_from_slice(reason.as_bytes());
        self.inner()
            .proto
            .borrow_mut()
            .close(Instant::now(), VarInt::from_u32(code), reason);
        self.inner()
            .close_reason
            .borrow_mut()
            .get_or_insert(ConnectionError::LocallyClosed);
        self.inner().wake_all();
        self.inner().wake();
    }

    /// Whether the connection is lost or closed.
    pub fn is_closed(&self) -> bool {
        self.inner().close_reason.borrow().is_some()
    }

    /// Returns when the last datagram of this connection was received.
    pub fn last_received(&self) -> Instant {
        self.inner().last_received.get()
    }

    /// Returns the address of the peer, which changes when the peer migrates.
    pub fn remote_address(&self) -> SocketAddr {
        self.inner().proto.borrow().remote_address()
    }

    /// Notifies the connection that this side now sends from another port, and probes the new path.
    pub fn local_address_changed(&self) {
        let mut proto = self.inner().proto.borrow_mut();
        proto.local_address_changed();
        proto.ping();
        drop(proto);
        self.inner().wake();
    }

    /// Sends a PING, which a live peer acknowledges.
    pub fn ping(&self) {
        self.inner().proto.borrow_mut().ping();
        self.inner().wake();
    }
}
