//! Audience of periodic reports: which nodes get one at a tick.
//!
//! The number of reports grows with the square of the fleet, and most of them cross data centres. Placement needs the loads
//! of agents that are some hundred milliseconds old, and agents judge the life of one another. The reports of a balancer
//! tell its peers only its configuration, and a change of that is reported immediately.

use bytes::Bytes;

use crate::state::{roster::Role, steering::report::Report};

/// Ticks between reports of an agent to a balancer. Placement works with loads of up to this age.
const LOAD_TICKS: u64 = 2;
/// Ticks between reports to other nodes.
const REPORT_TICKS: u64 = 5;
/// Ticks between reports of a balancer to a node in another data centre.
const REMOTE_BALANCER_TICKS: u64 = 20;

/// Sender of reports.
#[derive(Debug, Clone)]
pub struct Sender {
    /// Role of the node.
    pub role: Role,
    /// Data centre.
    pub data_centre: Bytes,
}

impl Sender {
    /// Whether a periodic report to the node with the given report is due at this tick. Ticks are 100 ms apart.
    pub fn is_due(&self, receiver: &Report, ticks: u64) -> bool {
        let interval = match (self.role, receiver.role) {
            (Role::Agent, Role::Balancer) => LOAD_TICKS,
            (Role::Balancer, _) if receiver.data_centre != self.data_centre => REMOTE_BALANCER_TICKS,
            (Role::Agent | Role::Balancer, _) => REPORT_TICKS,
        };
        ticks.is_multiple_of(interval)
    }
}
