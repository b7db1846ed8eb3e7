//! Driver of `quinn_proto` on the `monoio` runtime, with one task per connection.
//!
//! The endpoint owns no socket, because an agent sends through balancers and a caller changes its socket. Received
//! datagrams are passed to [`Endpoint::handle_datagram`], and the output closure sends datagrams.

mod config;
mod connection;
mod endpoint;
mod stream;

use quinn_proto::ConnectionError;
use snafu::Snafu;

pub use self::{
    config::{Generator, transport_config},
    connection::Connection,
    endpoint::{Endpoint, Relay, Verdict},
    stream::{Receiver, Sender},
};

/// Error of an operation on a connection or a stream.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The connection was lost or closed.
    #[snafu(display("connection lost: {reason}"))]
    Lost {
        /// Cause.
        reason: ConnectionError,
    },
    /// The peer reset or stopped the stream.
    #[snafu(display("stream reset by peer with code {code}"))]
    Reset {
        /// Error code of the peer.
        code: u64,
    },
    /// The stream is already closed on this side.
    #[snafu(display("stream is closed"))]
    Closed,
}
