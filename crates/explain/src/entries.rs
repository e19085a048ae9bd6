//! Finds the list entries of targets that were unusable while a request ran.
//!
//! The daemons that read the platform log unusable list entries; the daemon that received the request need not be one
//! of them. A list entry stays unusable until it is written again. Therefore the log lines of all daemons, from any
//! earlier time, are considered.
//!
//! Owns: which list entries were unusable. Relies on: the log events of the daemon.

use std::collections::BTreeMap;

use crate::line::LogLine;

/// Event: a list entry became unusable.
pub const ENTRY_UNUSABLE: &str = "entry_unusable";
/// Event: an unusable list entry became usable or was removed.
pub const ENTRY_FAULT_ENDED: &str = "entry_fault_ended";
/// Field `kind` of list entries of targets.
const TARGET_KIND: &str = "target";

/// Returns the log line of each list entry of a target that was unusable at a time, from any daemon, oldest first.
pub fn unusable_targets(lines: &[LogLine], at_ms: u64) -> Vec<&LogLine> {
    let mut earlier: Vec<&LogLine> = lines
        .iter()
        .filter(|line| line.at_ms <= at_ms && line.text("kind") == TARGET_KIND)
        .collect();
    earlier.sort_by_key(|line| line.at_ms);
    let mut unusable = BTreeMap::new();
    for line in earlier {
        match line.event.as_str() {
            ENTRY_UNUSABLE => drop(unusable.insert(line.text("entry"), line)),
            ENTRY_FAULT_ENDED => drop(unusable.remove(line.text("entry"))),
            _ => {}
        }
    }
    let mut unusable: Vec<&LogLine> = unusable.into_values().collect();
    unusable.sort_by_key(|line| line.at_ms);
    unusable
}

/// Returns the addition to the cause that names the unusable list entries; empty if there are none.
pub fn unusable_text(unusable: &[&LogLine]) -> String {
    let Some(last) = unusable.last() else { return String::new() };
    format!(
        "; unusable list entries of targets: {}, the last {} ({}), see Entries of another writer",
        unusable.len(),
        last.text("entry"),
        last.text("reason")
    )
}
