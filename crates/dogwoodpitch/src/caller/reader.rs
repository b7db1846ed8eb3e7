//! Reader of the messages and the body on the receiving side of a stream.

use bytes::BytesMut;
use serde::de::DeserializeOwned;
use snafu::Snafu;

use crate::{protocol::request, transport::quic};

/// Maximum number of bytes read from the stream at once.
const READ_SIZE: usize = 64 * 1024;

/// A failed read.
#[derive(Debug, Snafu)]
pub(super) enum Error {
    /// The stream failed.
    #[snafu(display("{source}"), context(false))]
    Stream {
        /// Cause.
        source: quic::Error,
    },
    /// A message cannot be parsed or is too long.
    #[snafu(display("malformed message: {source}"), context(false))]
    Malformed {
        /// Cause.
        source: std::io::Error,
    },
    /// The response is longer than the limit.
    #[snafu(display("answer exceeds {limit} bytes"))]
    TooLong {
        /// Limit.
        limit: usize,
    },
}

/// Reads messages and a body from a stream.
#[derive(Debug)]
pub(super) struct Reader {
    receiver: quic::Receiver,
    buffer: BytesMut,
}

impl Reader {
    pub(super) fn open(receiver: quic::Receiver) -> Self {
        Self {
            receiver,
            buffer: BytesMut::new(),
        }
    }

    /// Returns the next message, or `None` at the end of the stream. Cancel-safe.
    pub(super) async fn read_message<T: DeserializeOwned>(&mut self) -> Result<Option<T>, Error> {
        loop {
            if let Some(message) = request::decode(&mut self.buffer)? {
                return Ok(Some(message));
            }
            match self.receiver.read(READ_SIZE).await? {
                Some(bytes) => self.buffer.extend_from_slice(&bytes),
                None => return Ok(None),
            }
        }
    }

    /// Returns the rest of the stream, at most `limit` bytes.
    pub(super) async fn read_to_end(&mut self, limit: usize) -> Result<bytes::Bytes, Error> {
        while let Some(bytes) = self.receiver.read(READ_SIZE).await? {
            self.buffer.extend_from_slice(&bytes);
            if self.buffer.len() > limit {
                return TooLongSnafu { limit }.fail();
            }
        }
        Ok(self.buffer.split().freeze())
    }
}
