//! Services and their IDs.

use std::{fmt, net::SocketAddrV4};

use serde::{Deserialize, Serialize};

/// ID of a service. It is encrypted into connection IDs and never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Id(pub u16);

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A service, as defined by the operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// ID of the service.
    pub id: Id,
    /// Name, which callers also use as the TLS server name.
    pub name: String,
    /// UDP address to which callers send their packets.
    pub address: SocketAddrV4,
}
