//! Layer-4 load balancer for clients that use QUIC.
//!
//! The library has four layers, and a layer never imports a higher one:
//! [`state`] (data model and decisions, no I/O), [`protocol`] (messages and codecs),
//! [`transport`] (sockets, HTTP, WebSocket, QUIC) and [`coordination`] (tasks that involve several nodes).
//! The roles [`balancer`], [`agent`] and [`caller`] are built on top of them.

pub mod agent;
pub mod balancer;
pub mod caller;
pub mod coordination;
pub mod daemon;
pub mod protocol;
pub mod state;
pub mod transport;
