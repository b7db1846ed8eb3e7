//! Load of an agent and its backend server, as exchanged among the agents of a service.

use serde::{Deserialize, Serialize};

/// Load of one agent at one moment. It is encoded as an array without field names: each agent sends it up to four times
/// a second to all peers, within 4 KB/s of control traffic.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Fields", into = "Fields")]
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
    /// Slots that long work may occupy now.
    pub long_limit: u16,
    /// Time that all slots together have been busy, in milliseconds; it wraps around. The difference of two reports gives
    /// the mean load between them, which the number of busy slots at one moment does not show.
    pub slot_ms: u32,
}

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
    /// Whether this report is newer than another one of the same agent.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        (self.incarnation, self.sequence) > (other.incarnation, other.sequence)
    }

    /// Free slots.
    pub fn free_slots(&self) -> u16 {
        self.slots.saturating_sub(self.busy)
    }
}
