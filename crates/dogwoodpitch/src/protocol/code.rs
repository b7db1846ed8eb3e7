//! Numbered result codes. The table is in `docs/result-codes.md`.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Result of a request or an operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Code(pub u16);

impl Code {
    /// The request ran and succeeded.
    pub const OK: Self = Self(0);
    /// Not run: no slot became free before the deadline.
    pub const OVERLOADED: Self = Self(100);
    /// Not run: the backend server is draining.
    pub const DRAINING: Self = Self(101);
    /// Not run: the deadline passed before the request could start.
    pub const DEADLINE: Self = Self(102);
    /// Not run: no backend server is selected or reachable.
    pub const NO_BACKEND: Self = Self(103);
    /// Not run: the backend server refused it.
    pub const REFUSED: Self = Self(104);
    /// Not run: cancelled before it started.
    pub const CANCELLED: Self = Self(105);
    /// Not run: the request is invalid.
    pub const BAD_REQUEST: Self = Self(106);
    /// Outcome unknown: the link to the peer was lost after the request was sent on it.
    pub const LINK_LOST: Self = Self(200);
    /// Outcome unknown: the deadline passed while the request was running.
    pub const DEADLINE_RUNNING: Self = Self(201);
    /// Outcome unknown: the connection to the backend server was lost.
    pub const BACKEND_LOST: Self = Self(202);
    /// The request ran, and the backend server reported an error.
    pub const BACKEND_ERROR: Self = Self(300);
    /// A message cannot be parsed.
    pub const MALFORMED: Self = Self(400);
    /// A peer failed to authenticate.
    pub const UNAUTHENTICATED: Self = Self(401);
    /// A packet or request is for another service.
    pub const WRONG_SERVICE: Self = Self(402);
    /// A connection ID is of an older incarnation of the agent.
    pub const STALE_ID: Self = Self(403);
    /// A message exceeds its size limit.
    pub const TOO_LARGE: Self = Self(404);
    /// The item was changed concurrently.
    pub const CONFLICT: Self = Self(500);
    /// The store does not respond.
    pub const STORE_UNAVAILABLE: Self = Self(501);
    /// Outcome unknown: the store did not confirm a write.
    pub const WRITE_UNKNOWN: Self = Self(502);
    /// A value of the configuration is invalid.
    pub const INVALID: Self = Self(503);
    /// The item does not exist.
    pub const NOT_FOUND: Self = Self(504);
    /// The condition did not hold before the timeout.
    pub const TIMED_OUT: Self = Self(505);
    /// The settings file cannot be read.
    pub const SETTINGS_UNREADABLE: Self = Self(600);
    /// A field of the settings is invalid.
    pub const SETTINGS_INVALID: Self = Self(601);

    /// Whether the request is known not to have run.
    pub fn is_not_run(self) -> bool {
        (100..200).contains(&self.0)
    }

    /// Whether the same request may be sent again: always if it did not run, and only if it is idempotent where it may
    /// have run.
    pub fn may_retry(self, idempotent: bool) -> bool {
        match self {
            // A retry has less time left, and an invalid or cancelled request stays invalid or cancelled.
            Self::DEADLINE | Self::BAD_REQUEST | Self::CANCELLED => false,
            Self::LINK_LOST | Self::BACKEND_LOST => idempotent,
            other => other.is_not_run(),
        }
    }

    /// Whether it is unknown whether the request ran.
    pub fn is_unknown(self) -> bool {
        (200..300).contains(&self.0)
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
