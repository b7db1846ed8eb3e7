//! Streams of a connection.

use std::{fmt, future::poll_fn, task::Poll};

use bytes::Bytes;
use quinn_proto::{ReadError, StreamId, VarInt, WriteError};

use super::{Connection, Error, connection::Side};

/// Sending side of a stream. Dropping it before [`Sender::finish`] is called resets the stream.
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
    pub(super) fn new(connection: &Connection, id: StreamId) -> Self {
        Self {
            connection: connection.clone(),
            id,
            finished: false,
            written: 0,
        }
    }

    /// Writes all bytes, waiting for flow-control credit.
    pub async fn write(&mut self, mut data: &[u8]) -> Result<(), Error> {
        while !data.is_empty() {
            let written = poll_fn(|cx| {
                let inner = self.connection.inner();
                if let Some(error) = inner.close_error() {
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
                        inner.register_waker(self.id, Side::Write, cx.waker());
                        Poll::Pending
                    }
                    Err(WriteError::Stopped(code)) => Poll::Ready(Err(reset(code))),
                    Err(WriteError::ClosedStream) => Poll::Ready(Err(Error::Closed)),
                }
            })
            .await?;
            data = &data[written..];
        }
        Ok(())
    }

    /// Returns the number of bytes written to the connection; they may have been sent.
    pub fn written(&self) -> u64 {
        self.written
    }

    /// Finishes the stream. Data already written is still delivered while the connection is open.
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
            if let Some(error) = inner.close_error() {
                return Poll::Ready(error);
            }
            let stopped = inner.proto.borrow_mut().send_stream(self.id).stopped();
            match stopped {
                Ok(Some(code)) => Poll::Ready(reset(code)),
                Ok(None) => {
                    inner.register_waker(self.id, Side::Write, cx.waker());
                    Poll::Pending
                }
                Err(_closed) => Poll::Ready(Error::Closed),
            }
        })
        .await
    }

    /// Sets the priority of the stream within the connection; higher values are sent first.
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
        let inner = self.connection.inner();
        inner.remove_waker(self.id, Side::Write);
        if !self.finished {
            let _ = inner.proto.borrow_mut().send_stream(self.id).reset(VarInt::from_u32(0));
            inner.wake();
        }
    }
}

/// Receiving side of a stream. Dropping it before the end of the stream asks the peer to stop sending.
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
    pub(super) fn new(connection: &Connection, id: StreamId) -> Self {
        Self {
            connection: connection.clone(),
            id,
            ended: false,
        }
    }

    /// Reads up to `max` bytes. Returns `None` at the end of the stream.
    pub async fn read(&mut self, max: usize) -> Result<Option<Bytes>, Error> {
        if self.ended {
            return Ok(None);
        }
        let result = poll_fn(|cx| {
            let inner = self.connection.inner();
            let result = read_chunk(&mut inner.proto.borrow_mut(), self.id, max);
            match result {
                Err(ReadError::Blocked) => {
                    if let Some(error) = inner.close_error() {
                        return Poll::Ready(Err(error));
                    }
                    inner.register_waker(self.id, Side::Read, cx.waker());
                    Poll::Pending
                }
                Err(ReadError::Reset(code)) => Poll::Ready(Err(reset(code))),
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

    /// Waits until the peer resets the stream or the connection is lost. Received data stays unread.
    pub async fn reset(&mut self) -> Error {
        let result = poll_fn(|cx| {
            let inner = self.connection.inner();
            let received = inner.proto.borrow_mut().recv_stream(self.id).received_reset();
            match received {
                Ok(Some(code)) => Poll::Ready(Some(reset(code))),
                Ok(None) => {
                    if let Some(error) = inner.close_error() {
                        return Poll::Ready(Some(error));
                    }
                    inner.register_waker(self.id, Side::Read, cx.waker());
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
            // The stream was read to its end, so that it cannot be reset anymore.
            None => std::future::pending().await,
        }
    }
}

fn reset(code: VarInt) -> Error {
    Error::Reset {
        code: code.into_inner(),
    }
}

fn read_chunk(proto: &mut quinn_proto::Connection, id: StreamId, max: usize) -> Result<Option<Bytes>, ReadError> {
    let mut stream = proto.recv_stream(id);
    // A closed stream was read to its end.
    let Ok(mut chunks) = stream.read(true) else {
        return Ok(None);
    };
    let chunk = chunks.next(max);
    let _ = chunks.finalize();
    chunk.map(|chunk| chunk.map(|chunk| chunk.bytes))
}

impl Drop for Receiver {
    fn drop(&mut self) {
        let inner = self.connection.inner();
        inner.remove_waker(self.id, Side::Read);
        if !self.ended {
            let _ = inner.proto.borrow_mut().recv_stream(self.id).stop(VarInt::from_u32(0));
            inner.wake();
        }
    }
}
