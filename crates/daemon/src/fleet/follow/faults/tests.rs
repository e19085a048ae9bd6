//! What is logged of entries that name nothing to use.

use curlewcleat_store::{EntryFault, FaultReason};

use super::{cut, EntryFaults, FaultChange, TEXT_LIMIT};

fn fault(name: &str, reason: FaultReason) -> EntryFault {
    EntryFault { name: name.to_string(), reason, detail: String::new() }
}

fn begun(news: &FaultChange) -> Vec<&str> {
    news.begun.iter().map(|fault| fault.name.as_str()).collect()
}

/// An engine writes to its entry with each heartbeat.
#[test]
fn fault_is_logged_once_and_again_where_its_reason_changes() {
    let mut faults = EntryFaults::default();
    let (one, two) = ("i-1".to_string(), "i-2".to_string());
    let first = faults.listed(vec![fault(&one, FaultReason::Fields)]);
    assert_eq!((begun(&first), first.ended.len()), (vec!["i-1"], 0));
    for _ in 0..3 {
        let again =
            faults.changed([&one, &two].into_iter(), vec![fault(&one, FaultReason::Fields)]);
        assert_eq!(again, FaultChange { begun: vec![], ended: vec![] });
    }
    let other = faults.changed([&one].into_iter(), vec![fault(&one, FaultReason::State)]);
    assert_eq!((begun(&other), other.ended.len()), (vec!["i-1"], 0));
    let readable = faults.changed([&one].into_iter(), Vec::new());
    assert_eq!((begun(&readable).len(), readable.ended), (0, vec![one.clone()]));
    let back = faults.changed([&one].into_iter(), vec![fault(&one, FaultReason::State)]);
    assert_eq!(begun(&back), ["i-1"]);
    assert_eq!(faults.listed(Vec::new()).ended, [one]);
}

/// The targets are listed again where a change has no name; a list that shows the same entry ends
/// that.
#[test]
fn entry_without_a_name_asks_for_one_list() {
    let mut faults = EntryFaults::default();
    let nameless = || vec![fault("", FaultReason::NoName)];
    assert!(faults.changed([].into_iter(), nameless()).has_nameless());
    assert!(!faults.listed(nameless()).has_nameless());
    for _ in 0..3 {
        assert!(!faults.changed([].into_iter(), nameless()).has_nameless());
    }
    assert!(faults.changed([].into_iter(), Vec::new()).ended.is_empty());
    assert_eq!(faults.listed(Vec::new()).ended, [""]);
}

#[test]
fn texts_of_any_length_are_cut_between_letters() {
    assert_eq!(cut("i-1"), "i-1");
    let long = "ü".repeat(TEXT_LIMIT);
    assert_eq!(cut(&long).len(), TEXT_LIMIT);
    assert_eq!(cut(&format!("x{long}")).len(), TEXT_LIMIT - 1);
}
