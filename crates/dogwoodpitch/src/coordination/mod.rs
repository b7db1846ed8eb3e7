//! Tasks that involve several nodes: configuration, membership, load exchange, request hand-over and admission.

pub mod admission;
pub mod change;
pub mod config;
pub mod exchange;
mod gossip;
pub mod kv;
mod membership;
pub mod peer;
pub mod status;
pub mod steering;
pub mod store;
