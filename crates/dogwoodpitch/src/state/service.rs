//! Services and their addresses.

use std::{fmt, net::SocketAddrV4};

use serde::{Deserialize, Serialize};

/// Number of a service. It is sealed into connection IDs and never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Id(pub u16);

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A service as the operators define it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Number of the service.
    pub id: Id,
    /// Name, which callers use as the TLS server name.
    pub name: String,
    /// UDP address that callers send to.
    pub address: SocketAddrV4,
}
