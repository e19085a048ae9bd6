//! Describes values of a configuration that cannot be used as they stand.
//!
//! Owns: the effects of such values and their codes, which are stable. Relies on: nothing.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Longest value, in characters, that a fault quotes.
const MAX_QUOTED_CHARS: usize = 80;

/// What follows from a value that cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum FaultEffect {
    /// All requests under its rule are refused.
    RuleClosed,
    /// No request can be under its rule, since it is not known which requests the rule matches.
    RuleUnmatched,
    /// All requests of its account are refused.
    AccountClosed,
    /// Another value holds in its place, or none.
    ValueReplaced,
}

impl FaultEffect {
    /// All effects.
    pub const ALL: [FaultEffect; 4] = [
        FaultEffect::RuleClosed,
        FaultEffect::RuleUnmatched,
        FaultEffect::AccountClosed,
        FaultEffect::ValueReplaced,
    ];

    /// Returns the stable code used in logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            FaultEffect::RuleClosed => "rule_closed",
            FaultEffect::RuleUnmatched => "rule_unmatched",
            FaultEffect::AccountClosed => "account_closed",
            FaultEffect::ValueReplaced => "value_replaced",
        }
    }
}

/// A value of a configuration that cannot be used as it stands. The rest of the configuration is in force.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ConfigFault {
    /// Where the value stands, such as `routes[3].backend`.
    pub path: String,
    /// The beginning of the value.
    pub value: String,
    /// What is wrong with it.
    pub problem: String,
    /// What follows from it.
    pub effect: FaultEffect,
}

impl ConfigFault {
    /// Creates a fault that quotes the beginning of a value.
    pub fn new(
        path: impl Into<String>,
        value: &str,
        problem: impl Into<String>,
        effect: FaultEffect,
    ) -> ConfigFault {
        let value = value.chars().take(MAX_QUOTED_CHARS).collect();
        ConfigFault { path: path.into(), value, problem: problem.into(), effect }
    }
}

impl fmt::Display for ConfigFault {
    fn fmt(&self, form: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ConfigFault { path, value, problem, effect } = self;
        write!(form, "{path}: {value} {problem} ({})", effect.code())
    }
}
