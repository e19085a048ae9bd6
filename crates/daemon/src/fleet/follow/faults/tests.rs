//! Tests which faults of list entries are logged.

use curlewcleat_store::{EntryFault, FaultReason};

use super::{truncate, EntryFaults, FaultChange, TEXT_LIMIT};

fn fault(name: &str, reason: FaultReason) -> EntryFault {
    EntryFault { name: name.to_string(), reason, detail: String::new() }
}

fn started(change: &FaultChange) -> Vec<&str> {
    change.started.iter().map(|fault| fault.name.as_str()).collect()
}

/// Guards against a log line with each heartbeat: an engine writes to its entry each time, so its fault is read again.
#[test]
fn fault_is_logged_once_and_again_where_its_reason_changes() {
    let mut faults = EntryFaults::default();
    let (one, two) = ("i-1".to_string(), "i-2".to_string());
    let first = faults.apply_list(vec![fault(&one, FaultReason::Fields)]);
    assert_eq!((started(&first), first.ended.len()), (vec!["i-1"], 0));
    for _ in 0..3 {
        let again =
            faults.apply_changes([&one, &two].into_iter(), vec![fault(&one, FaultReason::Fields)]);
        assert_eq!(again, FaultChange { started: vec![], ended: vec![] });
    }
    let other = faults.apply_changes([&one].into_iter(), vec![fault(&one, FaultReason::State)]);
    assert_eq!((started(&other), other.ended.len()), (vec!["i-1"], 0));
    let readable = faults.apply_changes([&one].into_iter(), Vec::new());
    assert_eq!((started(&readable).len(), readable.ended), (0, vec![one.clone()]));
    let back = faults.apply_changes([&one].into_iter(), vec![fault(&one, FaultReason::State)]);
    assert_eq!(started(&back), ["i-1"]);
    assert_eq!(faults.apply_list(Vec::new()).ended, [one]);
}

/// Guards against endless lists: a change without a name makes the daemon list the targets again, and a list that
/// shows the same entry must not do so once more.
#[test]
fn entry_without_a_name_requests_one_list() {
    let mut faults = EntryFaults::default();
    let nameless = || vec![fault("", FaultReason::NoName)];
    assert!(faults.apply_changes([].into_iter(), nameless()).has_nameless());
    assert!(!faults.apply_list(nameless()).has_nameless());
    for _ in 0..3 {
        assert!(!faults.apply_changes([].into_iter(), nameless()).has_nameless());
    }
    assert!(faults.apply_changes([].into_iter(), Vec::new()).ended.is_empty());
    assert_eq!(faults.apply_list(Vec::new()).ended, [""]);
}

#[test]
fn long_texts_are_cut_between_characters() {
    assert_eq!(truncate("i-1"), "i-1");
    let long = "ü".repeat(TEXT_LIMIT);
    assert_eq!(truncate(&long).len(), TEXT_LIMIT);
    assert_eq!(truncate(&format!("x{long}")).len(), TEXT_LIMIT - 1);
}
