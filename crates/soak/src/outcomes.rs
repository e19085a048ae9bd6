//! Counts of what callers got.

use std::collections::BTreeMap;

use crate::callers::{CallKind, CallOutcome, CallRecord};

/// Kinds and outcomes of a run, for its report.
pub fn summary(records: &[CallRecord]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for record in records {
        let outcome = match &record.outcome {
            CallOutcome::Unsent => "unsent".to_string(),
            CallOutcome::NoAnswer(_) => "no answer".to_string(),
            CallOutcome::Answer { status, whole: true, .. } => status.to_string(),
            CallOutcome::Answer { status, whole: false, .. } => format!("{status} cut"),
        };
        *counts.entry(outcome).or_default() += 1;
    }
    counts
}

/// Whether a kind was served at all, so that a run that serves nothing proves nothing.
pub fn unserved(records: &[CallRecord]) -> Vec<CallKind> {
    let kinds =
        [CallKind::Once, CallKind::Open, CallKind::Again, CallKind::Resumed, CallKind::Plain];
    let served = |kind: &CallKind| {
        records.iter().any(|record| {
            record.kind == *kind
                && matches!(&record.outcome, CallOutcome::Answer { status: 200, whole: true, .. })
        })
    };
    kinds.into_iter().filter(|kind| !served(kind)).collect()
}
