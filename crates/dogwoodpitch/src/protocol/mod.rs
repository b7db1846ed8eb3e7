//! Messages and codecs. This layer performs no I/O on sockets.

pub mod cid;
pub mod code;
pub mod datagram;
pub mod peer;
pub mod proxy;
pub mod quic;
pub mod request;
pub mod settings;
pub mod steer;
pub mod store;
