//! Entries of targets that named none to use while a request ran.
//!
//! The daemons that read the platform note them, and not the one that took the request; an entry stays as it is
//! until it is written anew. So lines of all daemons count, from any time before.
//!
//! Owns: which entries were unusable. Relies on: the log events of the daemon.

use std::collections::BTreeMap;

use crate::line::LogLine;

/// An entry has come to name nothing to use.
pub const ENTRY_UNUSABLE: &str = "entry_unusable";
/// An entry that named nothing is usable, or gone.
pub const ENTRY_FAULT_ENDED: &str = "entry_fault_ended";
/// What entries of targets are called.
const TARGET_KIND: &str = "target";

/// The line of each entry of a target that named none at a time, by any daemon, in order.
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

/// What the cause of a request says of them, empty where there are none.
pub fn unusable_text(unusable: &[&LogLine]) -> String {
    let Some(last) = unusable.last() else { return String::new() };
    format!(
        "; entries noted as naming no target to use: {}, the last {} ({}), see Entries of another writer",
        unusable.len(),
        last.text("entry"),
        last.text("reason")
    )
}
