//! Compares the targets' ledgers with the outcomes that the callers recorded.

use std::collections::BTreeMap;

use anyhow::Result;

use crate::callers::{CallerOutcome, CallerRecord};
use crate::deployment::{get_json, Deployment};
use crate::ledger::LedgerEntry;

/// Returns the entries of the ledgers of all reachable targets.
pub async fn read_ledgers(fleet: &Deployment) -> Result<Vec<LedgerEntry>> {
    let mut entries = Vec::new();
    for target in &fleet.targets {
        if let Ok(value) = get_json(&target.address, "/_ledger").await {
            entries.extend(serde_json::from_value::<Vec<LedgerEntry>>(value)?);
        }
    }
    Ok(entries)
}

/// Returns a description of each contradiction between ledgers and callers; empty if there is none.
pub fn disagreements(entries: &[LedgerEntry], records: &[CallerRecord]) -> Vec<String> {
    let mut runs: BTreeMap<&str, usize> = BTreeMap::new();
    for entry in entries {
        *runs.entry(entry.nonce.as_str()).or_default() += 1;
    }
    let mut found = Vec::new();
    for (nonce, count) in runs.iter().filter(|(_, count)| **count > 1) {
        found.push(format!("{nonce} ran {count} times"));
    }
    for record in records {
        let ran = runs.contains_key(record.nonce.as_str());
        match &record.outcome {
            CallerOutcome::Complete if !ran => {
                found.push(format!("{} has an answer but did not run", record.nonce))
            }
            CallerOutcome::Unexpected(text) => {
                found.push(format!("{} got a wrong answer: {text}", record.nonce))
            }
            CallerOutcome::Refused { may_have_run: false, reason, .. } if ran => {
                found.push(format!("{} was refused as not run ({reason}) but ran", record.nonce));
            }
            _ => {}
        }
    }
    found
}
