//! Faults of a file, as an operator reads them.
//!
//! Owns: the wording of what is wrong with a file. Relies on: nothing.

use std::fmt;

use serde::Serialize;

/// One fault, with its place and what would be right.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct ConfigProblem {
    /// File name.
    pub file: String,
    /// Section as written, empty for faults of the whole file.
    pub section: String,
    /// Key, empty for faults of the whole section.
    pub key: String,
    /// What is wrong and what would be right.
    pub message: String,
}

impl fmt::Display for ConfigProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file)?;
        if !self.section.is_empty() {
            write!(f, ": [{}]", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, " {}", self.key)?;
        }
        write!(f, ": {}", self.message)
    }
}

/// Every fault that a check found.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, thiserror::Error)]
#[error("config: {} problem(s): {}", problems.len(), join(problems))]
pub struct CheckReport {
    /// The faults in the order of the files.
    pub problems: Vec<ConfigProblem>,
}

impl CheckReport {
    /// Adds a fault.
    pub fn add(&mut self, file: &str, section: &str, key: &str, message: impl Into<String>) {
        self.problems.push(ConfigProblem {
            file: file.to_string(),
            section: section.to_string(),
            key: key.to_string(),
            message: message.into(),
        });
    }

    /// Gives the value back if there is no fault.
    pub fn into_result<T>(self, value: T) -> Result<T, CheckReport> {
        if self.problems.is_empty() {
            Ok(value)
        } else {
            Err(self)
        }
    }
}

fn join(problems: &[ConfigProblem]) -> String {
    problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
}
