//! Eras of the store: spans of its history between two returns from an older copy of its data.

use serde::{Deserialize, Serialize};

/// Number of an era, which rises with each return. Revisions and leases of different eras cannot be compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Era(pub u64);
