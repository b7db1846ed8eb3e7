//! Label selectors, which determine the backend servers of a service.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

use crate::state::label;

/// Conjunction of requirements on labels. An empty selector matches nothing.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Selector {
    requirements: Vec<Requirement>,
}

/// Requirement on the label with one key.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Requirement {
    In {
        key: String,
        values: Vec<String>,
    },
    /// Also holds if there is no label with this key.
    NotIn {
        key: String,
        values: Vec<String>,
    },
    Exists {
        key: String,
    },
    DoesNotExist {
        key: String,
    },
}

/// Syntax error in a selector.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(display(
    "selector: requirement {position} {text:?}: expected `key=value`, `key!=value`, `key in (a,b)`, `key notin (a,b)`, `key` or `!key`"
))]
pub struct Error {
    position: usize,
    text: String,
}

impl Selector {
    /// Whether the labels satisfy all requirements.
    pub fn matches(&self, labels: &label::Set) -> bool {
        !self.requirements.is_empty() && self.requirements.iter().all(|requirement| requirement.matches(labels))
    }

    /// A label, as key and value, that all matching backend servers have, if a requirement allows exactly one value.
    pub fn required_label(&self) -> Option<(&str, &str)> {
        self.requirements.iter().find_map(|requirement| match requirement {
            Requirement::In { key, values } if values.len() == 1 => Some((key.as_str(), values[0].as_str())),
            _ => None,
        })
    }

    /// Whether the selector has no requirements and so matches nothing.
    pub fn is_empty(&self) -> bool {
        self.requirements.is_empty()
    }
}

impl Requirement {
    fn matches(&self, labels: &label::Set) -> bool {
        match self {
            Self::In { key, values } => labels.get(key).is_some_and(|value| values.iter().any(|v| v == value)),
            Self::NotIn { key, values } => labels.get(key).is_none_or(|value| values.iter().all(|v| v != value)),
            Self::Exists { key } => labels.get(key).is_some(),
            Self::DoesNotExist { key } => labels.get(key).is_none(),
        }
    }

    fn parse(text: &str) -> Option<Self> {
        let key = |text: &str| {
            let text = text.trim();
            label::check(text).ok().map(|()| text.to_owned())
        };
        let values = |text: &str| {
            let inner = text.trim().strip_prefix('(')?.strip_suffix(')')?;
            inner.split(',').map(key).collect::<Option<Vec<_>>>()
        };
        if let Some((left, right)) = text.split_once(" notin ") {
            return Some(Self::NotIn {
                key: key(left)?,
                values: values(right)?,
            });
        }
        if let Some((left, right)) = text.split_once(" in ") {
            return Some(Self::In {
                key: key(left)?,
                values: values(right)?,
            });
        }
        if let Some((left, right)) = text.split_once("!=") {
            return Some(Self::NotIn {
                key: key(left)?,
                values: vec![key(right)?],
            });
        }
        if let Some((left, right)) = text.split_once('=') {
            return Some(Self::In {
                key: key(left)?,
                values: vec![key(right)?],
            });
        }
        if let Some(rest) = text.strip_prefix('!') {
            return Some(Self::DoesNotExist { key: key(rest)? });
        }
        Some(Self::Exists { key: key(text)? })
    }
}

impl FromStr for Selector {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        if text.trim().is_empty() {
            return Ok(Self::default());
        }
        let mut requirements = Vec::new();
        for (position, part) in split_requirements(text).into_iter().enumerate() {
            let requirement = Requirement::parse(part.trim());
            ensure!(
                requirement.is_some(),
                Snafu {
                    position: position + 1,
                    text: part.trim()
                }
            );
            requirements.extend(requirement);
        }
        Ok(Self { requirements })
    }
}

/// Splits a selector at the commas outside of parentheses.
fn split_requirements(text: &str) -> Vec<&str> {
    let mut depth = 0_usize;
    text.split(|c| {
        match c {
            '(' => depth += 1,
            ')' => depth = depth.saturating_sub(1),
            _ => {}
        }
        c == ',' && depth == 0
    })
    .collect()
}

impl fmt::Display for Selector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, requirement) in self.requirements.iter().enumerate() {
            if index > 0 {
                f.write_str(",")?;
            }
            match requirement {
                Requirement::In { key, values } if values.len() == 1 => write!(f, "{key}={}", values[0])?,
                Requirement::NotIn { key, values } if values.len() == 1 => write!(f, "{key}!={}", values[0])?,
                Requirement::In { key, values } => write!(f, "{key} in ({})", values.join(","))?,
                Requirement::NotIn { key, values } => write!(f, "{key} notin ({})", values.join(","))?,
                Requirement::Exists { key } => f.write_str(key)?,
                Requirement::DoesNotExist { key } => write!(f, "!{key}")?,
            }
        }
        Ok(())
    }
}

impl TryFrom<String> for Selector {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        text.parse()
    }
}

impl From<Selector> for String {
    fn from(selector: Selector) -> Self {
        selector.to_string()
    }
}
