//! Targets that fail requests of many daemons, once each.

mod support;

use std::time::Duration;

use curlewcleat_core::{AttemptEnd, RequestId, RetryReason};
use curlewcleat_node::NodeEvent;
use rstest::rstest;
use support::streams::{begin, fleet_of};

/// Failures after which one of the three targets has failed three times in a row.
const FAILURES: usize = 7;

/// Guards against a target that fails requests of a hundred daemons and is ejected once one of them has met it three times.
#[rstest]
#[case::six(6)]
#[case::thirty(30)]
#[case::hundred_and_ten(110)]
fn failures_at_many_daemons_eject_a_target_like_those_at_one(#[case] daemons: usize) {
    let mut fleet = fleet_of(daemons);
    let leader = fleet.leader();
    let entries: Vec<usize> = (0..daemons).filter(|entry| *entry != leader).collect();
    for number in 0..FAILURES {
        let (entry, request) = (entries[number % entries.len()], number as u128 + 1);
        begin(&mut fleet, entry, request);
        let (end, retry) = (AttemptEnd::Failed, RetryReason::TargetFailed);
        fleet.event(entry, NodeEvent::AttemptNotRun(RequestId::from_u128(request), end, retry));
        fleet.run(Duration::from_millis(100));
    }
    let scheduler = fleet.daemons[leader].node.scheduler("p").expect("a scheduler");
    let ejected = scheduler.targets().values().filter(|target| target.ejected()).count();
    assert_eq!(ejected, 1);
}
