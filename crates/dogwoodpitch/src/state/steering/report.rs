//! Reports that nodes send to one another.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::state::{
    roster::Role,
    steering::{
        era::Era,
        evacuation::{Notice, Recovery},
        freshness::Age,
    },
};

/// Which flows a node serves, by its own report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stance {
    /// Not all peers know the node yet, or its backend server has not been detected yet.
    Joining,
    /// Accepts new flows.
    Open,
    /// Keeps its flows and accepts no new ones.
    Draining,
    /// The process is restarting; its backend server and its flows stay.
    Restarting,
    /// The node and its backend server are shutting down.
    Leaving,
    /// A stance that a newer build has added. The node gets no new flow, but it may take some, and its flows are waited for
    /// as during a restart.
    #[serde(other)]
    Unknown,
}

/// State of a node, as it reports it to its peers. It is encoded without field names, because each agent sends it to
/// all balancers five times a second.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "ReportFields", into = "ReportFields")]
pub struct Report {
    /// Role of the node.
    pub role: Role,
    /// Random number that identifies one run of the process.
    pub incarnation: u64,
    /// Sequence number of the report within the incarnation.
    pub number: u64,
    /// Data centre.
    pub data_centre: Bytes,
    /// Service of an agent's backend server; empty for a balancer.
    pub service: Bytes,
    /// Which flows the node serves.
    pub stance: Stance,
    /// Load of an agent's backend server.
    pub load: Load,
    /// Version of the configuration that the node uses.
    pub version: u64,
    /// Whether an agent has no backend server and therefore holds no flow.
    pub vacant: bool,
    /// Whether the sender requests a report in return, because it has not received one from the receiver yet.
    pub greeting: bool,
    /// Time since the last moment at which the store is known to have held no newer version.
    pub confirmed: Option<Age>,
    /// Evacuated data centres, if the node knows of an evacuation, past or present.
    pub evacuations: Option<Notice>,
    /// Newest era of the store that the node knows. It is also that of the evacuations.
    pub era: Option<Era>,
    /// What the node remembers for a store that has come back recently.
    pub recovery: Option<Recovery>,
}

impl Report {
    /// Whether the sender knows that its data centre is evacuated.
    pub fn is_evacuated(&self) -> bool {
        let listed = self.evacuations.as_ref().map(|notice| &notice.data_centres);
        let retained = self.recovery.as_ref().map(|recovery| &recovery.retained);
        let mut names = listed.into_iter().chain(retained);
        names.any(|names| names.contains(&self.data_centre))
    }

    /// Whether two reports describe the same node, regardless of its process, stance and load.
    pub fn is_same_node(&self, other: &Self) -> bool {
        self.role == other.role && self.data_centre == other.data_centre && self.service == other.service
    }
}

/// Fields of a [`Report`]. Processes of earlier builds do not send the last ones, and ignore them.
#[derive(Serialize, Deserialize)]
struct ReportFields(
    Role,
    u64,
    u64,
    Bytes,
    Bytes,
    Stance,
    Load,
    u64,
    bool,
    bool,
    #[serde(default)] Option<Age>,
    #[serde(default)] Option<Notice>,
    #[serde(default)] Option<Era>,
    #[serde(default)] Option<Recovery>,
);

impl From<Report> for ReportFields {
    fn from(report: Report) -> Self {
        Self(
            report.role,
            report.incarnation,
            report.number,
            report.data_centre,
            report.service,
            report.stance,
            report.load,
            report.version,
            report.vacant,
            report.greeting,
            report.confirmed,
            report.evacuations,
            report.era,
            report.recovery,
        )
    }
}

impl From<ReportFields> for Report {
    fn from(fields: ReportFields) -> Self {
        Self {
            role: fields.0,
            incarnation: fields.1,
            number: fields.2,
            data_centre: fields.3,
            service: fields.4,
            stance: fields.5,
            load: fields.6,
            version: fields.7,
            vacant: fields.8,
            greeting: fields.9,
            confirmed: fields.10,
            evacuations: fields.11,
            era: fields.12,
            recovery: fields.13,
        }
    }
}

/// Load of an agent's backend server. It is encoded without field names, like [`Report`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "LoadFields", into = "LoadFields")]
pub struct Load {
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Requests in progress.
    pub busy: u32,
    /// Open flows.
    pub flows: u32,
    /// Whether the backend server is still warming up after its start.
    pub cold: bool,
    /// Mean service time of a request in milliseconds, without queueing; 0 if it is not known.
    pub latency_ms: u32,
    /// Percentage of the latest requests that the backend server reset or did not answer.
    pub failed_percent: u32,
}

type LoadFields = (u32, u32, u32, bool, u32, u32);

impl From<Load> for LoadFields {
    fn from(load: Load) -> Self {
        (
            load.slots,
            load.busy,
            load.flows,
            load.cold,
            load.latency_ms,
            load.failed_percent,
        )
    }
}

impl From<LoadFields> for Load {
    fn from(fields: LoadFields) -> Self {
        Self {
            slots: fields.0,
            busy: fields.1,
            flows: fields.2,
            cold: fields.3,
            latency_ms: fields.4,
            failed_percent: fields.5,
        }
    }
}
