//! Sockets and connections. This layer transfers bytes and messages, and makes no placement decisions.

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
