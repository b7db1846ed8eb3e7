//! Driver of `quinn_proto` on the runtime: one task a connection.
//!
//! The endpoint owns no socket. Received datagrams are passed to [`Endpoint::handle_datagram`], and datagrams to send go to the
//! output closure, since an agent sends through balancers and a caller changes its socket.

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
