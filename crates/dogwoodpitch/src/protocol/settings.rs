//! Settings of the daemons, loaded from one JSON file and checked before use.

use std::{
    fmt, fs, io,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    path::{Path, PathBuf},
};

use base64::{Engine, engine::general_purpose::STANDARD};
use serde::{Deserialize, Deserializer, de::DeserializeOwned, de::Error as _};
use snafu::{ResultExt, Snafu, ensure};

use crate::protocol::{cid, datagram};

/// Secret bytes, base64 in the file. `Debug` does not print them.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Secret<const N: usize>(pub [u8; N]);

impl<const N: usize> fmt::Debug for Secret<N> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

impl<'de, const N: usize> Deserialize<'de> for Secret<N> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let expected = || D::Error::custom(format!("expected {N} bytes in base64"));
        let bytes = STANDARD.decode(text).map_err(|_invalid| expected())?;
        bytes.try_into().map(Self).map_err(|_len| expected())
    }
}

/// Keys shared by all nodes.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Keys {
    /// Keys of connection IDs. The first one encrypts; all decrypt.
    pub connection_id: Vec<IdKey>,
    /// Key that authenticates frames.
    pub frame: Secret<16>,
    /// Key that authenticates links between nodes.
    pub cluster: Secret<32>,
}

/// Key of connection IDs.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IdKey {
    /// Epoch of the key; the first byte of each ID.
    pub epoch: u8,
    /// AES-128 key.
    pub secret: Secret<16>,
}

impl Keys {
    /// Returns the codec of connection IDs.
    pub fn codec(&self) -> cid::Codec {
        let keys: Vec<_> = self
            .connection_id
            .iter()
            .map(|key| cid::Key {
                epoch: key.epoch,
                secret: key.secret.0,
            })
            .collect();
        cid::Codec::new(&keys)
    }

    /// Returns the key that authenticates frames.
    pub fn frame(&self) -> datagram::Key {
        datagram::Key(self.frame.0)
    }
}

/// Settings common to all daemons.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Node {
    /// Unique name.
    pub name: String,
    /// Data centre.
    pub data_centre: String,
    /// UDP address for frames.
    pub datagram: SocketAddrV4,
    /// TCP address of WebSocket links between nodes.
    pub peer: SocketAddr,
    /// TCP address of `/metrics`, `/status` and `/health`.
    pub http: SocketAddr,
    /// Addresses of the platform store's HTTP gateway.
    pub store: Vec<SocketAddr>,
    /// Link addresses of nodes from which the configuration is pulled while the store is unreachable.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Shared keys.
    pub keys: Keys,
    /// Log level: error, warn, info, debug or trace.
    #[serde(default = "default_log")]
    pub log: String,
    /// Maximum duration of a graceful stop, in milliseconds.
    #[serde(default = "default_stop_timeout_ms")]
    pub stop_timeout_ms: u32,
}

fn default_log() -> String {
    "info".to_owned()
}

fn default_stop_timeout_ms() -> u32 {
    30_000
}

/// Settings of a balancer.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Balancer {
    /// Common fields.
    pub node: Node,
    /// UDP address that the fabric sends packets to, each with a PROXY protocol header.
    pub ingress: SocketAddrV4,
}

/// Backend server beside an agent.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Backend {
    /// HTTP address.
    pub address: SocketAddr,
    /// Slots for requests and uploads.
    pub slots: u16,
    /// Maximum number of connections that the backend server accepts.
    pub connections: u32,
}

/// Certificate of a service.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Certificate {
    /// Name of the service.
    pub service: String,
    /// Certificate chain in PEM.
    pub certificate: String,
    /// Private key in PEM (PKCS #8).
    pub key: Pem,
}

/// Secret in PEM. `Debug` does not print it.
#[derive(Clone, PartialEq, Eq, Deserialize)]
#[serde(transparent)]
pub struct Pem(pub String);

impl fmt::Debug for Pem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Pem(..)")
    }
}

/// Placement of flows and requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Placement by current load, offers of requests to peers, and admission by class.
    #[default]
    Product,
    /// Baseline: each flow goes to a random agent, which runs its requests first in, first out.
    Random,
    /// Baseline: flows go to the agents in turn; each runs its requests first in, first out.
    RoundRobin,
    /// Baseline: flows and requests go to the lowest load, as the load endpoints report it with a delay.
    LeastLoadStale,
}

/// Settings of an agent.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Agent {
    /// Common fields.
    pub node: Node,
    /// Backend server of this agent.
    pub backend: Backend,
    /// Certificates of the services that the agent may serve.
    pub certificates: Vec<Certificate>,
    /// Key of retry tokens, shared by all agents.
    pub token: Secret<32>,
    /// Key of stateless resets, shared by all agents.
    pub reset: Secret<32>,
    /// Placement policy; the baselines are for measurements.
    #[serde(default)]
    pub policy: Policy,
}

/// Error in a settings file. Its text has the file, the field and the expected value.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The file cannot be read.
    #[snafu(display("code 600: {}: {source}", path.display()))]
    Unreadable {
        /// File.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// A field is missing, unknown or of the wrong type.
    #[snafu(display("code 601: {}: field `{}`: {}", path.display(), source.path(), source.inner()))]
    Field {
        /// File.
        path: PathBuf,
        /// Cause with the path of the field.
        source: serde_path_to_error::Error<serde_json::Error>,
    },
    /// Fields have invalid values.
    #[snafu(display("code 601: {}: {}", path.display(), problems.join("; ")))]
    Values {
        /// File.
        path: PathBuf,
        /// One message for each wrong field.
        problems: Vec<String>,
    },
}

/// Settings with checks beyond the types of their fields.
pub trait Check {
    /// Adds one message for each wrong field.
    fn check(&self, problems: &mut Vec<String>);
}

/// Loads and checks a settings file.
pub fn load<T: DeserializeOwned + Check>(path: &Path) -> Result<T, Error> {
    let text = fs::read_to_string(path).context(UnreadableSnafu { path })?;
    let mut json = serde_json::Deserializer::from_str(&text);
    let settings: T = serde_path_to_error::deserialize(&mut json).context(FieldSnafu { path })?;
    let mut problems = Vec::new();
    settings.check(&mut problems);
    ensure!(problems.is_empty(), ValuesSnafu { path, problems });
    Ok(settings)
}

impl Check for Node {
    fn check(&self, problems: &mut Vec<String>) {
        let mut expect = |valid: bool, problem: &str| {
            if !valid {
                problems.push(problem.to_owned());
            }
        };
        expect(
            crate::state::label::check(&self.name).is_ok(),
            "field `node.name`: expected letters, digits, '-', '_', '.'",
        );
        expect(
            !self.data_centre.is_empty(),
            "field `node.data_centre`: expected a name",
        );
        expect(
            *self.datagram.ip() != Ipv4Addr::UNSPECIFIED,
            "field `node.datagram`: expected the address other nodes send to",
        );
        expect(
            self.datagram.port() != 0,
            "field `node.datagram`: expected a port other than 0",
        );
        expect(
            !self.store.is_empty(),
            "field `node.store`: expected at least one address",
        );
        expect(
            !self.keys.connection_id.is_empty(),
            "field `node.keys.connection_id`: expected one or two keys",
        );
        expect(
            self.log.parse::<log::LevelFilter>().is_ok(),
            "field `node.log`: expected error, warn, info, debug or trace",
        );
    }
}

impl Check for Balancer {
    fn check(&self, problems: &mut Vec<String>) {
        self.node.check(problems);
        if self.ingress.port() == 0 {
            problems.push("field `ingress`: expected a port other than 0".to_owned());
        }
    }
}

impl Check for Agent {
    fn check(&self, problems: &mut Vec<String>) {
        self.node.check(problems);
        if self.backend.slots == 0 {
            problems.push("field `backend.slots`: expected at least 1".to_owned());
        }
        if self.backend.connections == 0 {
            problems.push("field `backend.connections`: expected at least 1".to_owned());
        }
        if self.certificates.is_empty() {
            problems.push("field `certificates`: expected at least one".to_owned());
        }
    }
}
