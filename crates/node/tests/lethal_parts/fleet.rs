//! A fleet whose targets terminate under a part, and requests with and without it.

use std::time::Duration;

use curlewcleat_core::{
    InterruptionKind, RefusalReason, RequestFeature, RequestId, RequestIdentity,
    RequestInterruption, SharedParts, TargetInstance,
};
use curlewcleat_node::{CallerDecision, NodeEvent};
use curlewcleat_sched::RequestSpec;

use crate::support::{spec, target, Fleet};

/// Time within which every daemon has to know: the users' shortest bound.
pub const SPREAD_LIMIT: Duration = Duration::from_secs(3);
/// Time after which the list entry of a terminated target expires.
pub const EXPIRY: Duration = Duration::from_millis(3_500);
pub const PAUSE: Duration = Duration::from_millis(100);
pub const TARGETS: usize = 12;
/// Terminations after which requests with a part are held.
pub const TERMINATIONS: usize = 4;
pub const LETHAL: &[&str] = &["system", "lethal"];
pub const SOUND: &[&str] = &["system", "other"];

pub fn part_features(account: &str, parts: &[&str]) -> Vec<RequestFeature> {
    SharedParts { pool: "p", account: Some(account), ids: parts }.features()
}

/// Returns the features of a request like no other.
pub fn features(number: u128, account: &str, parts: &[&str]) -> Vec<RequestFeature> {
    let body = number.to_be_bytes();
    let identity =
        RequestIdentity { method: "POST", host: "h", path: "/p", caller: account, body: &body };
    let whole = RequestFeature::from(identity.digest());
    [whole].into_iter().chain(part_features(account, parts)).collect()
}

pub fn list_targets(fleet: &mut Fleet, first: usize) {
    let listed = (first..TARGETS).map(|number| target(&format!("t{number}"), false)).collect();
    fleet.targets = (listed, fleet.targets.1 + 1);
}

pub fn fleet_of(daemons: usize) -> Fleet {
    let mut fleet = Fleet::new(daemons);
    list_targets(&mut fleet, 0);
    fleet.run(Duration::from_secs(3));
    fleet
}

/// Terminates a target under a request with these parts, seen by a daemon.
pub fn terminate(fleet: &mut Fleet, index: usize, number: usize, parts: &[&str]) {
    let account = if number.is_multiple_of(2) { "a" } else { "b" };
    let interruption = RequestInterruption {
        instance: TargetInstance { id: format!("t{number}"), start: None },
        kind: InterruptionKind::Closed,
        begun: false,
    };
    let features = features(number as u128, account, parts);
    fleet.event(index, NodeEvent::RequestInterrupted(features, interruption));
    fleet.run(PAUSE);
}

/// Sends a request with these parts to a daemon; returns the reason if it is refused, and has it served otherwise.
pub fn submit(
    fleet: &mut Fleet,
    index: usize,
    number: u128,
    parts: &[&str],
) -> Option<RefusalReason> {
    let part_features = part_features("a", parts);
    let spec = RequestSpec { part_features, ..spec(number) };
    fleet.event(index, NodeEvent::Admit(Box::new(spec)));
    if fleet.decision(number).is_none() {
        fleet.run(PAUSE);
    }
    match fleet.decision(number) {
        Some(CallerDecision::Refuse(refusal)) => Some(refusal.reason),
        Some(CallerDecision::Dispatch(..)) => {
            fleet.event(index, NodeEvent::AnswerEstablished(RequestId::from_u128(number)));
            fleet.finish(index, number);
            None
        }
        other => panic!("no decision: {other:?}"),
    }
}

/// Terminates a target at each of these daemons in turn, with an answer to another request in between.
pub fn terminations(fleet: &mut Fleet, seen_by: [usize; TERMINATIONS]) {
    for (number, index) in seen_by.into_iter().enumerate() {
        terminate(fleet, index, number, LETHAL);
        let reason = submit(fleet, seen_by[0], 900_000 + number as u128, SOUND);
        assert_eq!(reason, None, "a request without the part");
    }
}

pub fn assert_all(fleet: &mut Fleet, daemons: &[usize], number: u128, reason: RefusalReason) {
    for (number, index) in (number * 1_000..).zip(daemons) {
        assert_eq!(submit(fleet, *index, number, LETHAL), Some(reason), "daemon {index}");
    }
}
