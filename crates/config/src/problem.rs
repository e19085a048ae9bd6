//! Problems found in the operators' files.
//!
//! Owns: the form in which operators read a problem. Relies on: nothing.

use std::fmt;

use serde::Serialize;

/// One problem, with its location and what is expected there.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct ConfigProblem {
    /// File name.
    pub file: String,
    /// Section title as written, empty for problems of the whole file.
    pub section: String,
    /// Key, empty for problems of the whole section.
    pub key: String,
    /// What is wrong and what is expected.
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

/// All problems that a check found.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, thiserror::Error)]
#[error("config: {} problem(s): {}", problems.len(), join_problems(problems))]
pub struct CheckReport {
    /// The problems in the order of the files.
    pub problems: Vec<ConfigProblem>,
}

impl CheckReport {
    /// Adds a problem.
    pub fn add(&mut self, file: &str, section: &str, key: &str, message: impl Into<String>) {
        self.problems.push(ConfigProblem {
            file: file.to_string(),
            section: section.to_string(),
            key: key.to_string(),
            message: message.into(),
        });
    }

    /// Returns the value if there are no problems, otherwise the report as the error.
    pub fn into_result<T>(self, value: T) -> Result<T, CheckReport> {
        if self.problems.is_empty() {
            Ok(value)
        } else {
            Err(self)
        }
    }
}

fn join_problems(problems: &[ConfigProblem]) -> String {
    problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
}
