//! Sockets and connections. This layer moves bytes and messages and decides nothing.

pub mod http;
pub mod log;
pub mod metric;
pub(crate) mod notify;
pub mod quic;
pub mod runtime;
pub mod signal;
pub mod time;
pub mod udp;
pub mod websocket;
