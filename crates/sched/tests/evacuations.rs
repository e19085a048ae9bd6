//! The gate of a daemon while data centres are evacuated.

use std::collections::BTreeSet;
use std::time::Duration;

use curlewcleat_core::{TargetEntry, TargetNotice};
use curlewcleat_sched::{GateStop, ReceivedNotice, TargetGate};

const SECOND: Duration = Duration::from_secs(1);

fn target(data_centre: &str) -> TargetEntry {
    TargetEntry {
        id: format!("t-{data_centre}"),
        data_centre: data_centre.to_string(),
        ..TargetEntry::default()
    }
}

fn only(data_centre: &str) -> BTreeSet<String> {
    [data_centre.to_string()].into()
}

#[test]
fn gate_stops_requests_to_evacuated_data_centres_only() {
    let mut gate = TargetGate::default();
    assert_eq!(gate.pass(SECOND, &target("d")), None);
    gate.set_evacuated(only("d"));
    assert_eq!(gate.stop(SECOND, &target("d")), Some(GateStop::Evacuated));
    assert_eq!(gate.pass(SECOND, &target("d")), Some(GateStop::Evacuated));
    assert_eq!(gate.pass(SECOND, &target("e")), None);
    gate.set_evacuated(only("e"));
    assert_eq!(gate.pass(SECOND, &target("d")), None);
    assert_eq!(gate.pass(SECOND, &target("e")), Some(GateStop::Evacuated));
}

/// A target whose data centre is unknown is in no data centre that could be evacuated.
#[test]
fn target_without_a_data_centre_is_not_evacuated() {
    let mut gate = TargetGate::default();
    gate.set_evacuated(only("d"));
    assert_eq!(gate.pass(SECOND, &target("")), None);
}

#[test]
fn end_of_an_evacuation_does_not_end_the_leaving_of_a_target() {
    let mut gate = TargetGate::default();
    let notice = TargetNotice { leaving: true, ..TargetNotice::default() };
    let target = target("d");
    gate.apply_notice(SECOND, &target.instance(), &ReceivedNotice { sent: SECOND, notice });
    gate.set_evacuated(only("d"));
    gate.set_evacuated(BTreeSet::new());
    assert_eq!(gate.pass(SECOND * 9, &target), Some(GateStop::Leaving));
}
