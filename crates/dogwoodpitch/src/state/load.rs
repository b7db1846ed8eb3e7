//! Load of an agent and its backend server, as exchanged among the agents of a service.

use serde::{Deserialize, Serialize};

/// Load of one agent at one moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Incarnation of the agent.
    pub incarnation: u32,
    /// Increases with each report of an incarnation; older reports are ignored.
    pub sequence: u32,
    /// Slots of the backend server.
    pub slots: u16,
    /// Slots in use.
    pub busy: u16,
    /// Slots that long work occupies.
    pub long: u16,
    /// Requests that wait for a slot.
    pub queued: u16,
    /// Connections that the backend server accepts.
    pub connection_limit: u32,
    /// Open flows.
    pub connections: u32,
    /// Whether the agent or its backend server is draining.
    pub draining: bool,
    /// Share of the capacity that a cold backend server takes, in percent.
    pub warm_percent: u8,
}

impl Load {
    /// Whether this report is newer than another one of the same agent.
    pub fn is_newer(&self, other: &Self) -> bool {
        (self.incarnation, self.sequence) > (other.incarnation, other.sequence)
    }

    /// Free slots.
    pub fn free(&self) -> u16 {
        self.slots.saturating_sub(self.busy)
    }
}
