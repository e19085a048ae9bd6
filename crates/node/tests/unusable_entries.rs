//! Tests list entries of the platform that name no target, where their id named one before.

mod support;

use std::time::Duration;

use curlewcleat_core::DiscoveredTarget;
use curlewcleat_node::CallerDecision;

use support::{target, Fleet};

/// Sends requests and asserts that all go to one target.
fn all_go_to(fleet: &mut Fleet, expected: &str, numbers: std::ops::Range<u128>) {
    for number in numbers {
        fleet.admit(number as usize % 5, number);
        fleet.run(Duration::from_millis(200));
        match fleet.decision(number) {
            Some(CallerDecision::Dispatch(_, target)) => assert_eq!(target.id, expected),
            other => panic!("{other:?}"),
        }
        fleet.finish(number as usize % 5, number);
    }
}

/// A target that is missing after an outage stays in use until it is listed again. A target whose list entry exists
/// but is unusable is not missing: it would have stayed in use as before.
#[test]
fn target_whose_entry_is_unusable_after_an_outage_is_not_used() {
    let mut fleet = Fleet::new(5);
    for index in 0..5 {
        fleet.daemons[index].reaches_platform = false;
    }
    fleet.run(Duration::from_secs(4));
    fleet.targets = (vec![DiscoveredTarget::unusable("x".to_string()), target("y", false)], 20);
    for index in 0..5 {
        fleet.daemons[index].reaches_platform = true;
    }
    fleet.run(Duration::from_secs(1));
    all_go_to(&mut fleet, "y", 1..5);
}

#[test]
fn target_whose_entry_is_usable_again_is_used_again() {
    let mut fleet = Fleet::new(5);
    let unusable = |id: &str| DiscoveredTarget::unusable(id.to_string());
    fleet.targets = (vec![unusable("x"), target("y", false)], 20);
    fleet.run(Duration::from_secs(1));
    all_go_to(&mut fleet, "y", 1..4);
    fleet.targets = (vec![target("x", false), unusable("y")], 21);
    fleet.run(Duration::from_secs(1));
    all_go_to(&mut fleet, "x", 4..8);
}
