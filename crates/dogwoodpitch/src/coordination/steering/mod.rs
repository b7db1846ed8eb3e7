//! Socket I/O for steering opaque flows. The decisions are made in [`state::steering`](crate::state::steering).

mod agent;
mod balancer;
mod config;
mod era;
mod evacuation;
mod membership;
mod node;
mod overflow;
mod reload;
mod ticks;

use std::{
    fmt,
    future::Future,
    io,
    net::{Ipv4Addr, SocketAddrV4},
    time::Duration,
};

use bytes::Bytes;
use hyper::Method;
use serde::Deserialize;

pub use self::node::run;
use crate::{
    coordination::kv,
    protocol::{settings::Check, steer::Codec},
    state::{
        roster::Role,
        steering::{backend::Heartbeat, overflow::Mode, route::Table},
    },
};

/// TCP port of the metrics endpoint on every VM.
const METRICS_PORT: u16 = 9_464;
/// Memory of one entry in the flow cache of a balancer, including the spare capacity of the hash table.
const CACHE_ENTRY_BYTES: usize = 96;
/// The flow cache may take one eighth of the memory.
const CACHE_MEMORY_DIVISOR: usize = 8;
/// Margin between the end of a graceful stop and the moment when the platform kills the process.
const STOP_RESERVE: Duration = Duration::from_millis(1_500);
/// Longest graceful stop. The platform stops sending packets to a balancer after two failed readiness checks, one second.
const MAX_STOP: Duration = Duration::from_secs(3);

/// Settings of the backend server beside an agent.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Backend {
    /// Service of the backend server.
    pub service: Bytes,
    /// UDP address of the backend server; it accepts TCP there too.
    pub address: SocketAddrV4,
    /// UDP address to which the backend server sends its packets.
    pub outbound: SocketAddrV4,
    /// TCP address that receives the backend server's heartbeats.
    pub heartbeats: SocketAddrV4,
    /// Heartbeat interval in milliseconds.
    pub heartbeat_interval_ms: u32,
}

/// Settings of a node.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Settings {
    /// Name of the node in logs.
    pub name: String,
    /// IP address of the VM.
    pub ip: Ipv4Addr,
    /// Data centre.
    pub data_centre: Bytes,
    /// Port for frames (UDP) and for HTTP calls of other nodes (TCP); the same on all VMs.
    pub port: u16,
    /// UDP address that receives client packets. Clients listen on the same port.
    pub packets: SocketAddrV4,
    /// TCP address of the readiness endpoint.
    pub ready: SocketAddrV4,
    /// Nodes to ask for the other nodes while the store is down; only their IP addresses are used.
    #[serde(default)]
    pub seeds: Vec<SocketAddrV4>,
    /// Memory limit of the process in MB.
    pub memory_mb: u32,
    /// Time in seconds between a stop request of the platform and its kill of the process.
    pub stop_timeout_s: f64,
    /// Whether new flows leave the data centre. If it is not set, the deployment's requirement decides.
    #[serde(default)]
    pub overflow: Option<Mode>,
    /// Number of data centres whose loss the deployment has to bear.
    #[serde(default)]
    pub tolerated_data_centre_losses: u32,
    /// Backend server of an agent; `None` for a balancer.
    pub backend: Option<Backend>,
}

impl Settings {
    /// Role of the node.
    pub fn role(&self) -> Role {
        if self.backend.is_some() {
            Role::Agent
        } else {
            Role::Balancer
        }
    }

    /// Address of the metrics endpoint.
    pub fn metrics(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, METRICS_PORT)
    }

    /// Whether new flows leave the data centre. A deployment that has to bear the loss of a data centre has room for its
    /// load in the others, which a peak may use too.
    pub fn overflow(&self) -> Mode {
        self.overflow.unwrap_or(if self.tolerated_data_centre_losses > 0 {
            Mode::Adaptive
        } else {
            Mode::Penalty
        })
    }

    /// Longest graceful stop.
    pub fn stop_timeout(&self) -> Duration {
        let killed_after = Duration::from_secs_f64(self.stop_timeout_s);
        killed_after.saturating_sub(STOP_RESERVE).min(MAX_STOP)
    }

    /// Number of entries in the flow cache of a balancer.
    pub fn cache_capacity(&self) -> usize {
        self.memory_mb as usize * 1024 * 1024 / CACHE_MEMORY_DIVISOR / CACHE_ENTRY_BYTES
    }

    /// IP addresses of the seeds.
    pub fn seeds(&self) -> impl Iterator<Item = Ipv4Addr> {
        self.seeds.iter().map(|seed| *seed.ip())
    }
}

impl Check for Settings {
    fn check(&self, problems: &mut Vec<String>) {
        let mut expect = |ok: bool, text: &str| {
            if !ok {
                problems.push(text.to_owned());
            }
        };
        expect(!self.ip.is_unspecified(), "field `ip`: expected the address of the VM");
        expect(self.port != 0, "field `port`: expected a port other than 0");
        expect(self.memory_mb > 0, "field `memory_mb`: expected at least 1");
        expect(
            self.stop_timeout_s.is_finite() && self.stop_timeout_s >= 0.0,
            "field `stop_timeout_s`: expected seconds",
        );
        if let Some(backend) = &self.backend {
            expect(!backend.service.is_empty(), "field `backend.service`: expected a name");
            expect(
                backend.heartbeat_interval_ms > 0,
                "field `backend.heartbeat_interval_ms`: expected at least 1",
            );
        }
    }
}

/// A decoded HTTP call of the backend server.
#[derive(Debug, Clone)]
pub enum Call {
    /// The backend server is alive.
    Heartbeat(Heartbeat),
    /// The backend lifetime with this ID is shutting down.
    Leave(Bytes),
}

/// Adapter to the platform on which the nodes run.
pub struct Platform {
    /// Reads the settings again. An error says why they are invalid.
    pub reload: Box<dyn Fn() -> Result<Settings, String>>,
    /// Client of the platform's key-value store.
    pub store: kv::Store,
    /// Codec of the packet format.
    pub codec: Codec,
    /// Prefix of the operators' keys in the store.
    pub operator_prefix: &'static str,
    /// Store key of the operators' configuration, under that prefix.
    pub config_key: &'static str,
    /// Returns the data centre that a store key evacuates as long as it exists.
    pub decode_evacuation: fn(&[u8]) -> Option<Bytes>,
    /// Decodes a configuration into routes. An error says why it is invalid.
    pub decode_routes: fn(&[u8]) -> Result<Table, String>,
    /// Decodes an HTTP call of the backend server. An error says why it is malformed.
    pub decode_call: fn(&Backend, &Method, &str, &[u8]) -> Result<Call, String>,
}

impl fmt::Debug for Platform {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Platform")
            .field("config_key", &self.config_key)
            .finish_non_exhaustive()
    }
}

/// Spawns a task whose failure exits the process, so that the platform restarts it.
fn spawn_critical(name: &'static str, task: impl Future<Output = io::Result<()>> + 'static) {
    monoio::spawn(async move {
        if let Err(error) = task.await {
            log::error!(event = "task.failed", task = name, error:% = error; "critical task failed; exiting");
            std::process::exit(1);
        }
    });
}
