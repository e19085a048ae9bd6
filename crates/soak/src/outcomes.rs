//! Counts the outcomes of the requests.

use std::collections::BTreeMap;

use crate::callers::{CallKind, CallOutcome, CallRecord};

/// Returns the number of requests of a run by outcome, for its report.
pub fn count_outcomes<'a>(
    records: impl Iterator<Item = &'a CallRecord>,
) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for record in records {
        let outcome = match &record.outcome {
            CallOutcome::Unsent => "unsent".to_string(),
            CallOutcome::NoAnswer(_) => "no answer".to_string(),
            CallOutcome::Answer { status, complete: true, .. } => status.to_string(),
            CallOutcome::Answer { status, complete: false, .. } => format!("{status} cut"),
        };
        *counts.entry(outcome).or_default() += 1;
    }
    counts
}

/// Returns the kinds of which no request was served: a run shows nothing about them.
pub fn unserved_kinds(kinds: &[CallKind], records: &[CallRecord]) -> Vec<CallKind> {
    let served = |kind: &CallKind| {
        records.iter().any(|record| {
            record.kind == *kind
                && matches!(
                    &record.outcome,
                    CallOutcome::Answer { status: 200, complete: true, .. }
                )
        })
    };
    kinds.iter().copied().filter(|kind| !served(kind)).collect()
}
