//! What nodes report to one another.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::state::roster::Role;

/// What a node wants to be used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stance {
    /// Not all peers know the node yet, or its backend server has not been heard.
    Joining,
    /// Takes new flows.
    Open,
    /// Keeps its flows and takes no new ones.
    Draining,
    /// The process restarts; its backend server and its flows stay.
    Restarting,
    /// The node and its backend server end.
    Leaving,
}

/// What a node tells the others of itself. It is encoded without field names: each agent sends it to all balancers five
/// times a second.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "ReportFields", into = "ReportFields")]
pub struct Report {
    /// Role of the node.
    pub role: Role,
    /// Drawn at the start of the process.
    pub incarnation: u64,
    /// Number of the report within the incarnation.
    pub number: u64,
    /// Data centre.
    pub data_centre: Bytes,
    /// Service of the backend server beside an agent; empty for a balancer.
    pub service: Bytes,
    /// Use of the node.
    pub stance: Stance,
    /// Load of an agent.
    pub load: Load,
    /// Version of the configuration that the node routes by.
    pub version: u64,
    /// Whether no backend server is beside an agent, so that it holds no flow.
    pub vacant: bool,
    /// Whether the sender has not heard the receiver yet and asks for a report in return.
    pub greeting: bool,
}

impl Report {
    /// Whether another report tells of the same node, whatever process runs there and however it is used.
    pub fn is_same_node(&self, other: &Self) -> bool {
        self.role == other.role && self.data_centre == other.data_centre && self.service == other.service
    }
}

type ReportFields = (Role, u64, u64, Bytes, Bytes, Stance, Load, u64, bool, bool);

impl From<Report> for ReportFields {
    fn from(report: Report) -> Self {
        (
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
        }
    }
}

/// Load of the backend server beside an agent. It is encoded without field names, like [`Report`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "LoadFields", into = "LoadFields")]
pub struct Load {
    /// Requests that run at the same time.
    pub slots: u32,
    /// Requests in progress.
    pub busy: u32,
    /// Open flows.
    pub flows: u32,
    /// Whether the backend server is slow after its start.
    pub cold: bool,
    /// Mean time that a request takes in a slot in milliseconds; 0 if it is not known.
    pub latency_ms: u32,
    /// Share of the last requests that the backend server reset or left unanswered, in percent.
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
