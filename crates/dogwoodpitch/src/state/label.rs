//! Labels that operators assign to backend servers.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

/// Maximum length of a label key or value in bytes.
pub const MAX_LEN: usize = 63;

/// Labels of one backend server, by key.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Set(pub BTreeMap<String, String>);

/// An invalid label key or value.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(display("label {text:?}: expected 1 to {MAX_LEN} characters from a-z, A-Z, 0-9, '-', '_', '.', '/'"))]
pub struct Error {
    text: String,
}

/// Checks the characters and the length of a label key or value.
pub fn check(text: &str) -> Result<(), Error> {
    let valid = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | '/');
    ensure!(
        !text.is_empty() && text.len() <= MAX_LEN && text.chars().all(valid),
        Snafu { text }
    );
    Ok(())
}

impl Set {
    /// Checks all keys and values.
    pub fn check(&self) -> Result<(), Error> {
        self.0
            .iter()
            .try_for_each(|(key, value)| check(key).and_then(|()| check(value)))
    }

    /// Value of the label with this key.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key).map(String::as_str)
    }
}
