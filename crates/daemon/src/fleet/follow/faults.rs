//! Logs and counts unusable list entries of the platform.
//!
//! An engine writes to its list entry with each heartbeat, so the same unusable list entry is read several times a
//! second. It is logged once, and again when its reason changes.
//!
//! Owns: the faults logged so far. Relies on: the platform for the reasons.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use curlewcleat_store::{EntryFault, FaultReason};
use spdlog::prelude::*;

use crate::metrics::DaemonMetrics;

/// Most lines logged for one answer of the platform. A further line gives the number of entries left out. An operator
/// needs some of the names, and a page of the list has 500 entries.
const LINES_PER_ANSWER: usize = 20;
/// Longest name or detail in a log line, in bytes; in an entry, either may be one megabyte long.
const TEXT_LIMIT: usize = 120;

/// Unusable list entries, as last read from the platform. There are at most as many as the list has entries.
#[derive(Default)]
pub struct EntryFaults {
    known: BTreeMap<String, FaultReason>,
}

impl EntryFaults {
    /// Applies the faults of a complete list. Entries without a fault are usable or no longer listed.
    pub fn apply_list(&mut self, faults: Vec<EntryFault>) -> FaultChange {
        let before = std::mem::take(&mut self.known);
        let known: BTreeMap<String, FaultReason> =
            faults.iter().map(|fault| (fault.name.clone(), fault.reason)).collect();
        let ended = before.keys().filter(|name| !known.contains_key(*name)).cloned().collect();
        self.known = known;
        FaultChange { started: unlogged_faults(&before, faults), ended }
    }

    /// Applies the faults found in changes to the entries with these names.
    pub fn apply_changes<'n>(
        &mut self,
        names: impl Iterator<Item = &'n String>,
        faults: Vec<EntryFault>,
    ) -> FaultChange {
        let mut before = BTreeMap::new();
        for name in names {
            if let Some((name, reason)) = self.known.remove_entry(name) {
                before.insert(name, reason);
            }
        }
        // No change shows that the entry without a name has become readable; only a list does.
        if let Some(reason) = self.known.get("") {
            before.insert(String::new(), *reason);
        }
        self.known.extend(faults.iter().map(|fault| (fault.name.clone(), fault.reason)));
        let ended = before.keys().filter(|name| !self.known.contains_key(*name)).cloned().collect();
        FaultChange { started: unlogged_faults(&before, faults), ended }
    }
}

/// Returns the faults that have not been logged yet, each once.
fn unlogged_faults(
    before: &BTreeMap<String, FaultReason>,
    faults: Vec<EntryFault>,
) -> Vec<EntryFault> {
    let mut known = before.clone();
    let mut is_new =
        |fault: &EntryFault| known.insert(fault.name.clone(), fault.reason) != Some(fault.reason);
    faults.into_iter().filter(|fault| is_new(fault)).collect()
}

/// A change to the set of unusable list entries.
#[derive(Debug, PartialEq, Eq)]
pub struct FaultChange {
    /// Faults that are new or have a new reason.
    pub started: Vec<EntryFault>,
    /// Names of entries that are usable again or no longer listed.
    pub ended: Vec<String>,
}

impl FaultChange {
    /// Returns whether one of the new faults is of an entry without a name.
    pub fn has_nameless(&self) -> bool {
        self.started.iter().any(|fault| fault.name.is_empty())
    }

    /// Logs and counts the changes.
    pub fn report(&self, kind: &str, metrics: &DaemonMetrics) {
        for fault in &self.started {
            metrics.count_unusable_entry(kind, fault.reason);
        }
        for fault in self.started.iter().take(LINES_PER_ANSWER) {
            let (entry, detail) = (truncate(&fault.name), truncate(&fault.detail));
            warn!("entry_unusable", kv: { kind, entry, reason = fault.reason.code(), detail });
        }
        let remaining_lines = LINES_PER_ANSWER.saturating_sub(self.started.len());
        for name in self.ended.iter().take(remaining_lines) {
            info!("entry_fault_ended", kv: { kind, entry = truncate(name) });
        }
        let left_out = (self.started.len() + self.ended.len()).saturating_sub(LINES_PER_ANSWER);
        if left_out > 0 {
            warn!("entry_lines_left_out", kv: { kind, count = left_out });
        }
    }
}

/// Returns the beginning of a text, cut between characters to at most [`TEXT_LIMIT`] bytes.
fn truncate(text: &str) -> &str {
    &text[..text.floor_char_boundary(TEXT_LIMIT)]
}
