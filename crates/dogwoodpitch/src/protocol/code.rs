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
    /// Not run: no slot became free in time.
    pub const OVERLOADED: Self = Self(100);
    /// Not run: the backend server is draining.
    pub const DRAINING: Self = Self(101);
    /// Not run: the request could not start before its deadline.
    pub const DEADLINE: Self = Self(102);
    /// Not run: no backend server is selected or reachable.
    pub const NO_BACKEND: Self = Self(103);
    /// Not run: the backend server refused it.
    pub const REFUSED: Self = Self(104);
    /// Not run: cancelled before it started.
    pub const CANCELLED: Self = Self(105);
    /// Not run: the request is not valid.
    pub const BAD_REQUEST: Self = Self(106);
    /// Outcome unknown: a link was lost after the request was handed over.
    pub const LINK_LOST: Self = Self(200);
    /// Outcome unknown: the deadline passed while the request ran.
    pub const DEADLINE_RUNNING: Self = Self(201);
    /// Outcome unknown: the connection to the backend server was lost.
    pub const BACKEND_LOST: Self = Self(202);
    /// The request ran and the backend server reported an error.
    pub const BACKEND_ERROR: Self = Self(300);
    /// A message does not parse.
    pub const MALFORMED: Self = Self(400);
    /// A peer did not prove that it belongs to the system.
    pub const UNAUTHENTICATED: Self = Self(401);
    /// A packet or request names another service.
    pub const WRONG_SERVICE: Self = Self(402);
    /// A connection ID names an older incarnation.
    pub const STALE_ID: Self = Self(403);
    /// A message exceeds its limit.
    pub const TOO_LARGE: Self = Self(404);
    /// Another operator changed the item first.
    pub const CONFLICT: Self = Self(500);
    /// The store does not answer.
    pub const STORE_UNAVAILABLE: Self = Self(501);
    /// It is not known whether a write took effect.
    pub const WRITE_UNKNOWN: Self = Self(502);
    /// A value of the configuration is not valid.
    pub const INVALID: Self = Self(503);
    /// The item does not exist.
    pub const NOT_FOUND: Self = Self(504);
    /// A wait ended before its condition held.
    pub const TIMED_OUT: Self = Self(505);
    /// The settings file cannot be read.
    pub const SETTINGS_UNREADABLE: Self = Self(600);
    /// A field of the settings is not valid.
    pub const SETTINGS_INVALID: Self = Self(601);

    /// Whether the request truly did not run.
    pub fn is_not_run(self) -> bool {
        (100..200).contains(&self.0)
    }

    /// Whether the same request may be sent again: work that was not run may, and work that may have run only if it is
    /// idempotent.
    pub fn may_retry(self, idempotent: bool) -> bool {
        match self {
            // A later attempt has even less time, and an invalid or cancelled request stays so.
            Self::DEADLINE | Self::BAD_REQUEST | Self::CANCELLED => false,
            Self::LINK_LOST | Self::BACKEND_LOST => idempotent,
            other => other.is_not_run(),
        }
    }

    /// Whether it is unknown if the request ran.
    pub fn is_unknown(self) -> bool {
        (200..300).contains(&self.0)
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
