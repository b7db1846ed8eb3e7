//! Load reports that the agents of a service exchange.

use serde::{Deserialize, Serialize};

/// Load of one agent and its backend server at one time. It is encoded as an array without field names, because each
/// agent sends it to all its peers up to four times a second within 4 KB/s of control traffic.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Fields", into = "Fields")]
pub struct Load {
    /// Incarnation of the agent.
    pub incarnation: u32,
    /// Sequence number within the incarnation. Receivers ignore reports that are older than the last one.
    pub sequence: u32,
    /// Number of slots of the backend server.
    pub slots: u16,
    /// Number of slots in use.
    pub busy: u16,
    /// Number of slots that long work occupies.
    pub long: u16,
    /// Number of requests that wait for a slot.
    pub queued: u16,
    /// Maximum number of connections of the backend server.
    pub connection_limit: u32,
    /// Number of open flows.
    pub connections: u32,
    /// Whether the agent or its backend server is draining.
    pub draining: bool,
    /// Share of new flows that the backend server takes while it warms up after its start, in percent; 100 once it is
    /// warm.
    pub warm_percent: u8,
    /// Maximum number of slots that long work may occupy now.
    pub long_limit: u16,
    /// Cumulative busy time of all slots in milliseconds, wrapping around. The difference between two reports gives the
    /// mean number of busy slots between them, while `busy` is only a sample.
    pub slot_ms: u32,
}

/// Fields of [`Load`] in the order of the encoding.
type Fields = (u32, u32, u16, u16, u16, u16, u32, u32, bool, u8, u16, u32);

impl From<Load> for Fields {
    fn from(load: Load) -> Self {
        (
            load.incarnation,
            load.sequence,
            load.slots,
            load.busy,
            load.long,
            load.queued,
            load.connection_limit,
            load.connections,
            load.draining,
            load.warm_percent,
            load.long_limit,
            load.slot_ms,
        )
    }
}

impl From<Fields> for Load {
    fn from(fields: Fields) -> Self {
        Self {
            incarnation: fields.0,
            sequence: fields.1,
            slots: fields.2,
            busy: fields.3,
            long: fields.4,
            queued: fields.5,
            connection_limit: fields.6,
            connections: fields.7,
            draining: fields.8,
            warm_percent: fields.9,
            long_limit: fields.10,
            slot_ms: fields.11,
        }
    }
}

impl Load {
    /// Whether this report is newer than another report of the same agent.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        (self.incarnation, self.sequence) > (other.incarnation, other.sequence)
    }

    /// Number of free slots.
    pub fn free_slots(&self) -> u16 {
        self.slots.saturating_sub(self.busy)
    }
}
