//! Layer-4 load balancer for callers that speak QUIC.
//!
//! The library is built in four layers, and a lower layer never imports a higher one:
//! [`state`] (data model and decisions, no I/O), [`protocol`] (messages and codecs),
//! [`transport`] (sockets, HTTP, WebSocket, QUIC) and [`coordination`] (tasks that span several nodes).
//! The roles [`balancer`], [`agent`] and [`caller`] are built on top of them.

pub mod agent;
pub mod balancer;
pub mod caller;
pub mod coordination;
pub mod daemon;
pub mod protocol;
pub mod state;
pub mod transport;
