//! The version of the targets at which a stream is continued, and the targets that such requests get.

use std::collections::BTreeSet;
use std::time::Duration;

use curlewcleat_core::{
    AttemptEnd, DaemonId, LatencyObjectives, PermitDecision, PermitId, PermitRequest, PermitReturn,
    RefusalReason, RequestId, RolloutOrder, RolloutReport, RolloutStage, StreamId, StreamVersion,
    TargetEntry, TargetPool, Uptime, VersionDigest,
};
use curlewcleat_sched::{
    PoolOptions, PoolScheduler, PoolVersions, RolloutLimits, SchedulerAction, StreamVersions,
};
use rstest::rstest;

const POOL: &str = "p";
const SLOTS: u32 = 2;

const fn at(seconds: u64) -> Uptime {
    Duration::from_secs(seconds)
}

fn version(name: &str) -> VersionDigest {
    VersionDigest::of(Some(&name.to_string()))
}

fn stream(attempt: &str) -> StreamId {
    StreamId::new(POOL, "a", attempt)
}

/// Returns the versions of a pool whose targets changed at these times.
fn pool_versions(changes: &[(u64, &[&str])]) -> StreamVersions {
    let mut versions = StreamVersions::default();
    for (time, names) in changes {
        let present: BTreeSet<_> = names.iter().map(|name| version(name)).collect();
        versions.set_versions(at(*time), &POOL.to_string(), &present);
    }
    versions
}

#[test]
fn stream_is_remembered_for_its_time_and_at_its_first_version() {
    let mut versions = pool_versions(&[(1, &["v1", "v2"])]);
    let begun = |name| StreamVersion { stream: stream("x"), version: version(name) };
    versions.remember(at(10), begun("v1"), false);
    versions.remember(at(20), begun("v2"), false);
    assert_eq!(versions.version_of(&stream("x")), Some(version("v1")));
    versions.remember(at(30), begun("v1"), true);
    let other = StreamVersion { stream: stream("y"), version: version("v2") };
    versions.remember(at(59), other, false);
    assert_eq!(versions.version_of(&stream("x")), Some(version("v1")), "continued at 30 s");
    assert_eq!(versions.own_streams(at(59)), vec![begun("v1")]);
    versions.remember(at(60), other, false);
    assert_eq!(versions.version_of(&stream("x")), None);
}

/// Guards against reports of every stream of a pool that has one version.
#[test]
fn streams_of_one_version_are_reported_for_a_short_time_after_the_first_one() {
    let mut versions = pool_versions(&[(1, &["v1"])]);
    assert!(!versions.is_reported(at(20), POOL), "nothing has begun");
    versions.record_begin(at(20), &POOL.to_string());
    versions.record_begin(at(29), &POOL.to_string());
    assert!(versions.is_reported(at(29), POOL));
    assert!(!versions.is_reported(at(30), POOL));
    assert!(!versions.is_reported(at(21), "q"), "another pool");
}

#[rstest]
#[case::pool("q", "a", "x")]
#[case::account("p", "b", "x")]
#[case::attempt("p", "a", "y")]
#[case::moved_bytes("pa", "", "x")]
fn stream_of_another_caller_is_another_stream(
    #[case] pool: &str,
    #[case] account: &str,
    #[case] attempt: &str,
) {
    assert_ne!(StreamId::new(pool, account, attempt), stream("x"));
}

fn pool(versions: &[&str]) -> TargetPool {
    let entry = |(index, version): (usize, &&str)| {
        let id = format!("t{index}");
        let version = Some(version.to_string());
        let entry =
            TargetEntry { vm: id.clone(), slots: SLOTS, version, id, ..TargetEntry::default() };
        (entry.id.clone(), entry)
    };
    let targets = versions.iter().enumerate().map(entry).collect();
    TargetPool { id: POOL.to_string(), targets, ..TargetPool::default() }
}

fn scheduler(versions: &[&str]) -> PoolScheduler {
    let mut scheduler = PoolScheduler::new(POOL.to_string(), PoolOptions::default());
    scheduler.configure(PoolOptions::default(), &pool(versions));
    scheduler
}

fn daemon() -> DaemonId {
    DaemonId { vm: "e".to_string(), incarnation: 1 }
}

fn permit(number: u128) -> PermitId {
    PermitId { request: RequestId::from_u128(number), attempt: 0 }
}

fn permit_request(number: u128, limited_to: Option<&str>) -> PermitRequest {
    PermitRequest {
        permit: permit(number),
        pool: POOL.to_string(),
        tier: 0,
        account: "a".to_string(),
        time_left: Duration::from_secs(60),
        objectives: LatencyObjectives::default(),
        prompt_work: 0,
        output_work: 100_000,
        prefix: None,
        cost: 1,
        avoid: Vec::new(),
        version: limited_to.map(version),
    }
}

fn granted(actions: &[SchedulerAction]) -> Vec<&str> {
    let decisions = actions.iter().map(|action| &action.answer.decision);
    let targets = decisions.filter_map(|decision| match decision {
        PermitDecision::Granted(target) => Some(target.as_str()),
        _ => None,
    });
    targets.collect()
}

fn refused(actions: &[SchedulerAction]) -> Vec<RefusalReason> {
    let decisions = actions.iter().map(|action| &action.answer.decision);
    let reasons = decisions.filter_map(|decision| match decision {
        PermitDecision::Refused(refusal) => Some(refusal.reason),
        _ => None,
    });
    reasons.collect()
}

#[test]
fn limited_requests_get_targets_of_their_version_only() {
    let mut scheduler = scheduler(&["v1", "v1", "v2", "v2"]);
    for number in 0..2 * u128::from(SLOTS) {
        let actions = scheduler.request_permit(at(1), daemon(), permit_request(number, Some("v2")));
        assert!(matches!(granted(&actions)[..], ["t2" | "t3"]), "{actions:?}");
    }
    let waiting = scheduler.request_permit(at(1), daemon(), permit_request(9, Some("v2")));
    assert!(granted(&waiting).is_empty() && refused(&waiting).is_empty(), "{waiting:?}");
    let other = scheduler.request_permit(at(1), daemon(), permit_request(10, None));
    assert!(matches!(granted(&other)[..], ["t0" | "t1"]), "{other:?}");
}

#[test]
fn limited_request_is_refused_at_once_when_the_last_target_of_its_version_is_gone() {
    let mut scheduler = scheduler(&["v1", "v2"]);
    let unserved = scheduler.request_permit(at(1), daemon(), permit_request(1, Some("v3")));
    assert_eq!(refused(&unserved), [RefusalReason::NoTarget]);
    for number in 2..=u128::from(SLOTS) + 2 {
        scheduler.request_permit(at(1), daemon(), permit_request(number, Some("v2")));
    }
    assert_eq!(scheduler.waiting(), 1);
    scheduler.configure(PoolOptions::default(), &pool(&["v1"]));
    assert_eq!(refused(&scheduler.tick(at(2))), [RefusalReason::NoTarget]);
}

/// Guards against requests behind others that wait for the targets of one version, while other targets are idle.
#[test]
fn requests_that_wait_for_a_version_do_not_delay_others() {
    let mut scheduler = scheduler(&["v1", "v2"]);
    for number in 0..20 {
        scheduler.request_permit(at(1), daemon(), permit_request(number, Some("v2")));
    }
    assert_eq!(scheduler.waiting(), 20 - SLOTS as usize);
    let other = scheduler.request_permit(at(1), daemon(), permit_request(30, None));
    assert_eq!(granted(&other), ["t0"]);
}

/// Guards against streams that cannot go on although targets of their version serve: a pool may eject half of its
/// targets, and these may be all of one version.
#[test]
fn limited_request_gets_an_ejected_target_where_its_version_has_no_other() {
    let mut scheduler = scheduler(&["v1", "v1", "v2"]);
    for number in 0..3 {
        scheduler.request_permit(at(1), daemon(), permit_request(number, Some("v2")));
        let returned = PermitReturn {
            permit: permit(number),
            pool: POOL.to_string(),
            end: AttemptEnd::Failed,
        };
        scheduler.return_permit(at(1), &returned);
    }
    assert!(scheduler.targets()["t2"].ejected());
    let limited = scheduler.request_permit(at(1), daemon(), permit_request(10, Some("v2")));
    assert_eq!(granted(&limited), ["t2"]);
    let other = scheduler.request_permit(at(1), daemon(), permit_request(11, None));
    assert!(matches!(granted(&other)[..], ["t0" | "t1"]), "{other:?}");
}

/// Returns the versions of a pool in which `v2` is on trial.
fn versions_with_trial() -> PoolVersions {
    let reported = |name: &str| Some(name.to_string());
    let counts = |names: &[&str]| names.iter().map(|name| (reported(name), 2)).collect();
    let mut versions = PoolVersions::default();
    versions.update_reported(at(1), &counts(&["v1"]), Some(at(1)));
    let order = RolloutOrder { pool: POOL.to_string(), version: "v2".to_string(), time: None };
    let (name, stage, age) = (POOL.to_string(), RolloutStage::Trial, Duration::ZERO);
    versions.merge_report(at(1), &RolloutReport { name, order, stage, revision: 3, age });
    versions.update_reported(at(1), &counts(&["v1", "v2"]), Some(at(1)));
    versions
}

/// Guards against callers that get a version on trial as often as they like, by naming a stream that it began.
#[test]
fn streams_that_a_version_on_trial_began_count_towards_its_share() {
    const SLACK: u64 = 3;
    let mut scheduler = scheduler(&["v1", "v1", "v2", "v2"]);
    scheduler.apply_version_access(&versions_with_trial());
    scheduler.begin_trial(RolloutLimits { permille: 50, slack: SLACK }, true);
    let mut on_trial = 0;
    for number in 0..40 {
        let actions = scheduler.request_permit(at(1), daemon(), permit_request(number, Some("v2")));
        on_trial += granted(&actions).len() as u64;
        let returned = PermitReturn {
            permit: permit(number),
            pool: POOL.to_string(),
            end: AttemptEnd::Unused,
        };
        scheduler.return_permit(at(1), &returned);
    }
    assert!(on_trial > 0, "a stream goes on within the share");
    assert!(on_trial <= SLACK + 2, "{on_trial} of 40");
}

/// Guards against a planned stop that hands over the streams of other daemons in place of its own, or more than a bound.
#[test]
fn streams_handed_over_are_own_ones_first_and_bounded() {
    let numbered = |number: u64| stream(&format!("first-{number}"));
    let mut known = StreamVersions::default();
    for number in 0..10 {
        let reported = StreamVersion { stream: numbered(number), version: version("v1") };
        known.remember(at(number), reported, number % 2 == 0);
    }
    let streams = |now, since, limit| -> Vec<StreamId> {
        let streams = known.streams_since(at(now), at(since), limit);
        streams.into_iter().map(|known| known.stream).collect()
    };
    assert_eq!(streams(9, 0, 6), [8, 6, 4, 2, 0, 9].map(numbered));
    assert_eq!(streams(9, 7, 6), [8, 9, 7].map(numbered));
    assert_eq!(streams(37, 0, 6), [8, 9].map(numbered), "7 is too old");
}
