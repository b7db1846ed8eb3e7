//! Steering of opaque flows on sockets: the decisions are in [`state::steering`](crate::state::steering).

mod agent;
mod balancer;
mod config;
mod membership;
mod node;
mod reload;

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
        steering::{backend::Heartbeat, route::Table},
    },
};

/// Port of the metrics page on every VM.
const METRICS_PORT: u16 = 9_464;
/// Memory for one flow in the cache of a balancer, in bytes, with the slack of the table.
const CACHE_ENTRY: usize = 96;
/// Part of the memory that the cache may take: one eighth.
const CACHE_SHARE: usize = 8;
/// Time left between the end of a graceful stop and the moment when the platform kills the process.
const STOP_RESERVE: Duration = Duration::from_millis(1_500);
/// Longest graceful stop of a balancer. The platform stops sending it packets after two missed checks, one second.
const MAX_STOP: Duration = Duration::from_secs(3);

/// Backend server beside an agent.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Backend {
    /// Service of the backend server.
    pub service: Bytes,
    /// UDP address of the backend server; it accepts TCP there too.
    pub address: SocketAddrV4,
    /// UDP address that the backend server sends its packets to.
    pub outbound: SocketAddrV4,
    /// TCP address for heartbeats.
    pub heartbeats: SocketAddrV4,
    /// Time between two heartbeats in milliseconds.
    pub heartbeat_interval_ms: u32,
}

/// Settings of a node.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Settings {
    /// Name of the node for logs.
    pub name: String,
    /// Address of the VM.
    pub ip: Ipv4Addr,
    /// Data centre.
    pub data_centre: Bytes,
    /// Port for frames over UDP and for calls of other nodes over TCP; the same on all VMs.
    pub port: u16,
    /// UDP address for the packets of clients. Clients listen on the same port.
    pub packets: SocketAddrV4,
    /// TCP address of the readiness page.
    pub ready: SocketAddrV4,
    /// Nodes to ask for others while the store is down; only their IP addresses are used.
    #[serde(default)]
    pub seeds: Vec<SocketAddrV4>,
    /// Memory of the process in MB.
    pub memory_mb: u32,
    /// Time in seconds after which the platform kills a process that it asked to stop.
    pub stop_timeout_s: f64,
    /// Backend server, for an agent.
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

    /// Address of the metrics page.
    pub fn metrics(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, METRICS_PORT)
    }

    /// Longest graceful stop.
    pub fn stop_timeout(&self) -> Duration {
        let killed_after = Duration::from_secs_f64(self.stop_timeout_s);
        killed_after.saturating_sub(STOP_RESERVE).min(MAX_STOP)
    }

    /// Flows that a balancer may remember.
    pub fn cache_capacity(&self) -> usize {
        self.memory_mb as usize * 1024 * 1024 / CACHE_SHARE / CACHE_ENTRY
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

/// What a backend server says in one call.
#[derive(Debug, Clone)]
pub enum Call {
    /// It lives.
    Heartbeat(Heartbeat),
    /// A lifetime ends now.
    Leave(Bytes),
}

/// What differs from platform to platform.
pub struct Platform {
    /// Reads the settings again, or says why they cannot be used.
    pub reload: Box<dyn Fn() -> Result<Settings, String>>,
    /// Store.
    pub store: kv::Store,
    /// Packet format.
    pub codec: Codec,
    /// Key of the operators' configuration.
    pub config_key: &'static str,
    /// Routes of a configuration, or why it cannot be used.
    pub decode_routes: fn(&[u8]) -> Result<Table, String>,
    /// Meaning of a call of the backend server beside the agent, or why it has none.
    pub decode_call: fn(&Backend, &Method, &str, &[u8]) -> Result<Call, String>,
}

impl fmt::Debug for Platform {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Platform")
            .field("config_key", &self.config_key)
            .finish_non_exhaustive()
    }
}

/// Runs a task and ends the process if it fails, so that it is started anew.
fn spawn_vital(name: &'static str, task: impl Future<Output = io::Result<()>> + 'static) {
    monoio::spawn(async move {
        if let Err(error) = task.await {
            log::error!(event = "task.failed", task = name, error:% = error; "a task failed; the process ends");
            std::process::exit(1);
        }
    });
}
