//! Streams of a daemon that asks the scheduler of another one for a further target.

mod support;

use std::time::Duration;

use curlewcleat_core::{AttemptEnd, RequestId, RetryReason};
use curlewcleat_node::NodeEvent;
use rstest::rstest;
use support::streams::{begin, fleet_of, last_daemon};

/// Streams that are put to another target although theirs has not failed.
const STREAMS: u128 = 12;

/// Guards against sound targets that are ejected since the request for a further target arrives before the permit that is
/// returned: the daemon sends messages that need a frame of their own first.
#[rstest]
#[case::at_the_scheduler(true)]
#[case::at_another_daemon(false)]
fn targets_that_return_unused_permits_do_not_count_as_failed(#[case] is_scheduler: bool) {
    let mut fleet = fleet_of(6);
    let leader = fleet.leader();
    let entry = if is_scheduler { leader } else { last_daemon(&fleet) };
    for number in 1..=STREAMS {
        begin(&mut fleet, entry, number);
        let id = RequestId::from_u128(number);
        fleet.event(entry, NodeEvent::AnswerBegun(id));
        let (end, retry) = (AttemptEnd::Unused, RetryReason::TargetUnwilling);
        fleet.event(entry, NodeEvent::AttemptNotRun(id, end, retry));
        fleet.run(Duration::from_millis(500));
    }
    let scheduler = fleet.daemons[leader].node.scheduler("p").expect("a scheduler");
    let failing: Vec<_> = scheduler
        .targets()
        .iter()
        .map(|(id, target)| (id, target.failing(), target.ejected()))
        .filter(|(_, failing, is_ejected)| *failing > 0 || *is_ejected)
        .collect();
    assert_eq!(failing, []);
}
