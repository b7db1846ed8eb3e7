//! Tasks that span several nodes: configuration, membership, load exchange, hand-over, admission.

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
