//! Entries of the platform that name nothing to use: what is logged of them, and counted.
//!
//! An engine writes to its entry with each heartbeat, so an entry that cannot be read is seen several times a
//! second. It is logged once, and once more where its reason changes.
//!
//! Owns: what has been logged. Relies on: the platform for the reasons.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use curlewcleat_store::{EntryFault, FaultReason};
use spdlog::prelude::*;

use crate::metrics::DaemonMetrics;

/// Lines for one answer of the platform; one more says how many were left out: an operator needs some names, and a
/// page has five hundred entries.
const LINES_PER_ANSWER: usize = 20;
/// Longest name or detail in a line, in bytes; an entry may have a megabyte of either.
const TEXT_LIMIT: usize = 120;

/// Entries that name nothing to use, as the platform showed them last. There are no more of them than entries.
#[derive(Default)]
pub struct EntryFaults {
    known: BTreeMap<String, FaultReason>,
}

impl EntryFaults {
    /// Takes the faults of a whole list; entries that are not among them are usable, or gone.
    pub fn listed(&mut self, faults: Vec<EntryFault>) -> FaultChange {
        let before = std::mem::take(&mut self.known);
        let known: BTreeMap<String, FaultReason> =
            faults.iter().map(|fault| (fault.name.clone(), fault.reason)).collect();
        let ended = before.keys().filter(|name| !known.contains_key(*name)).cloned().collect();
        self.known = known;
        FaultChange { begun: news(&before, faults), ended }
    }

    /// Takes the faults among changes of the entries with these names.
    pub fn changed<'n>(
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
        // No change tells that the entry without a name has become readable; only a list does.
        if let Some(reason) = self.known.get("") {
            before.insert(String::new(), *reason);
        }
        self.known.extend(faults.iter().map(|fault| (fault.name.clone(), fault.reason)));
        let ended = before.keys().filter(|name| !self.known.contains_key(*name)).cloned().collect();
        FaultChange { begun: news(&before, faults), ended }
    }
}

/// The faults that are not logged yet, each once.
fn news(before: &BTreeMap<String, FaultReason>, faults: Vec<EntryFault>) -> Vec<EntryFault> {
    let mut known = before.clone();
    let mut is_new =
        |fault: &EntryFault| known.insert(fault.name.clone(), fault.reason) != Some(fault.reason);
    faults.into_iter().filter(|fault| is_new(fault)).collect()
}

/// What has changed among the entries that name nothing to use.
#[derive(Debug, PartialEq, Eq)]
pub struct FaultChange {
    /// Faults that are new, or have another reason than before.
    pub begun: Vec<EntryFault>,
    /// Names of entries that are usable again, or gone.
    pub ended: Vec<String>,
}

impl FaultChange {
    /// Whether an entry is among the new ones without a name.
    pub fn has_nameless(&self) -> bool {
        self.begun.iter().any(|fault| fault.name.is_empty())
    }

    /// Logs and counts them.
    pub fn report(&self, kind: &str, metrics: &DaemonMetrics) {
        for fault in &self.begun {
            metrics.unusable_entry(kind, fault.reason);
        }
        for fault in self.begun.iter().take(LINES_PER_ANSWER) {
            let (entry, detail) = (cut(&fault.name), cut(&fault.detail));
            warn!("entry_unusable", kv: { kind, entry, reason = fault.reason.code(), detail });
        }
        let room = LINES_PER_ANSWER.saturating_sub(self.begun.len());
        for name in self.ended.iter().take(room) {
            info!("entry_fault_ended", kv: { kind, entry = cut(name) });
        }
        let left_out = (self.begun.len() + self.ended.len()).saturating_sub(LINES_PER_ANSWER);
        if left_out > 0 {
            warn!("entry_lines_left_out", kv: { kind, count = left_out });
        }
    }
}

/// The beginning of a text.
fn cut(text: &str) -> &str {
    &text[..text.floor_char_boundary(TEXT_LIMIT)]
}
