//! Streams that begin at the daemons of a fleet and that callers take up at others.

use std::time::Duration;

use curlewcleat_core::{RefusalReason, RequestId, StreamId, StreamVersion, VersionDigest};
use curlewcleat_node::{CallerDecision, NodeEvent};
use curlewcleat_sched::{RequestSpec, TakenUpStream};

use super::{spec, target, Fleet};

/// Time within which it is decided whether a stream goes on.
pub const DECISION_LIMIT: Duration = Duration::from_millis(500);
/// Longer than daemons remember the versions of targets that were removed.
pub const FORGOTTEN_AFTER: Duration = Duration::from_secs(40);
/// Time that callers have for a stream.
pub const CALLER_LIMIT: Duration = Duration::from_secs(30);
/// Targets of each version.
const TARGETS: usize = 3;

/// Returns a fleet whose targets are and were all of version `v1`.
pub fn fleet_of(daemons: usize) -> Fleet {
    let mut fleet = Fleet::new(daemons);
    set_versions(&mut fleet, &["v1"]);
    fleet.run(FORGOTTEN_AFTER);
    fleet
}

/// Replaces the targets by some of each of these versions.
pub fn set_versions(fleet: &mut Fleet, versions: &[&str]) {
    let targets = versions.iter().flat_map(|version| {
        (0..TARGETS).map(move |index| {
            let mut target = target(&format!("{version}-{index}"), false);
            target.entry.version = Some(version.to_string());
            target
        })
    });
    fleet.targets = (targets.collect(), fleet.targets.1 + 1);
}

/// Returns the stream whose first attempt has a number.
pub fn stream(number: u128) -> StreamId {
    StreamId::new("p", "a", &format!("first-{number}"))
}

/// Begins a stream at a daemon; returns the version that began it.
pub fn begin(fleet: &mut Fleet, index: usize, number: u128) -> String {
    let spec = RequestSpec {
        begins: Some(stream(number)),
        caller_time_left: Some(CALLER_LIMIT),
        ..spec(number)
    };
    fleet.event(index, NodeEvent::Admit(Box::new(spec)));
    fleet.run(DECISION_LIMIT);
    let Some(CallerDecision::Dispatch(_, entry)) = fleet.decision(number).cloned() else {
        panic!("{:?}", fleet.decision(number));
    };
    let version = VersionDigest::of(entry.version.as_ref());
    let begun = StreamVersion { stream: stream(number), version };
    let request = RequestId::from_u128(number);
    fleet.event(index, NodeEvent::StreamBegun(request, "p".to_string(), begun));
    entry.version.expect("a version")
}

/// Takes up a stream at a daemon; returns the version at which it goes on, or why it does not.
pub fn take_up(fleet: &mut Fleet, index: usize, number: u128) -> Result<String, RefusalReason> {
    take_up_after(fleet, index, number, CALLER_LIMIT)
}

/// Takes up a stream whose first attempt was made `age` ago.
pub fn take_up_after(
    fleet: &mut Fleet,
    index: usize,
    number: u128,
    age: Duration,
) -> Result<String, RefusalReason> {
    let second = 1_000_000 + number;
    let takes_up = Some(TakenUpStream { stream: Some(stream(number)) });
    let caller_time_left = Some(CALLER_LIMIT.saturating_sub(age));
    let spec = RequestSpec { takes_up, caller_time_left, ..spec(second) };
    fleet.event(index, NodeEvent::Admit(Box::new(spec)));
    fleet.run(DECISION_LIMIT);
    match fleet.decision(second).cloned() {
        Some(CallerDecision::Dispatch(_, entry)) => Ok(entry.version.expect("a version")),
        Some(CallerDecision::Refuse(refusal)) => Err(refusal.reason),
        other => panic!("{other:?}"),
    }
}

/// Cuts daemons off for good.
pub fn end(fleet: &mut Fleet, daemons: &[usize]) {
    for index in daemons {
        fleet.daemons[*index].cut = true;
        fleet.daemons[*index].reaches_platform = false;
    }
}

/// Returns a daemon that is none of the first in the order of schedulers.
pub fn last_daemon(fleet: &Fleet) -> usize {
    let candidates = fleet.candidates();
    (0..fleet.daemons.len()).rev().find(|index| !candidates[..2].contains(index)).expect("one")
}
