//! Admission of work to the slots and connections of the backend server, on the runtime.

use std::{rc::Rc, time::Instant};

use crate::{
    protocol::{
        request::{Head, Reply},
        settings::Policy,
    },
    state::{load::Load, service::Id},
};

/// Gate in front of a backend server.
#[derive(Debug, Clone)]
pub struct Gate(Rc<Inner>);

#[derive(Debug)]
struct Inner {
    slots: u16,
}

/// A slot that is held until this value is dropped.
#[derive(Debug)]
pub struct Permit {
    _gate: Gate,
}

impl Gate {
    /// Opens a gate with the limits of the backend server.
    pub fn open(slots: u16, connections: u32, incarnation: u32, policy: Policy) -> Self {
        let _ = (connections, incarnation, policy);
        Self(Rc::new(Inner { slots }))
    }

    /// Takes a slot if one is free for this work now; never waits.
    pub fn try_acquire(&self, service: Id, caller: &str, head: &Head, deadline: Instant) -> Option<Permit> {
        let _ = (service, caller, head, deadline);
        Some(Permit { _gate: self.clone() })
    }

    /// Waits for a slot, or gives the refusal for the caller. Dropping the future cancels the wait.
    pub async fn acquire(&self, service: Id, caller: &str, head: &Head, deadline: Instant) -> Result<Permit, Reply> {
        let _ = (service, caller, head, deadline);
        Ok(Permit { _gate: self.clone() })
    }

    /// Sets whether new work is refused.
    pub fn set_draining(&self, draining: bool) {
        let _ = draining;
    }

    /// Sets the number of open flows, for load reports and the connection limit.
    pub fn set_connections(&self, connections: u32) {
        let _ = connections;
    }

    /// Load of this agent with the next sequence number.
    pub fn load(&self) -> Load {
        Load {
            slots: self.0.slots,
            ..Load::default()
        }
    }
}

impl Permit {
    /// Records the outcome, so that classes of work are learnt and fast errors do not look like spare capacity.
    pub fn done(self, bytes: u64, error: bool) {
        let _ = (bytes, error);
    }
}
