//! Notices that a target reports about itself, and how a scheduler and a daemon's gate apply them, as sequences of
//! events. A target that stated a limit of 1.8 requests per second got 23 requests in 4 s where 16 were allowed,
//! since the limit was not applied.

use std::collections::BTreeSet;
use std::time::Duration;

use curlewcleat_core::{
    AttemptEnd, DaemonId, LatencyObjectives, LimitNotice, LimitReport, NoticeReport,
    PermitDecision, PermitId, PermitRequest, PermitReturn, RefusalReason, RequestId, RequestRate,
    TargetEntry, TargetInstance, TargetNotice, TargetPool, TargetStart, VmId,
};
use curlewcleat_sched::{
    GateStop, NoticeState, PoolOptions, PoolScheduler, RateRole, RateShare, ReceivedNotice,
    SchedulerAction, TargetGate,
};
use proptest::prelude::*;
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);
const STEP: Duration = Duration::from_millis(20);
/// Span over which requests are counted against a limit.
const SPAN: Duration = Duration::from_secs(4);

fn instance(id: &str) -> TargetInstance {
    TargetInstance { id: id.to_string(), start: None }
}

/// Returns the list entry of a target instance.
fn entry_of(instance: &TargetInstance) -> TargetEntry {
    TargetEntry { id: instance.id.clone(), start: instance.start, ..TargetEntry::default() }
}

fn rate(per_second: f64) -> RequestRate {
    RequestRate::per_second(per_second).expect("a rate")
}

fn limit_notice(per_second: f64) -> TargetNotice {
    TargetNotice { limit: LimitNotice::Stated(rate(per_second)), ..TargetNotice::default() }
}

fn limited(id: &str, per_second: f64) -> NoticeReport {
    let limit = LimitReport { rate: Some(rate(per_second)), age: Duration::ZERO };
    NoticeReport { instance: instance(id), leaving: false, rest: None, limit: Some(limit) }
}

fn unlimited(id: &str, age: Duration) -> NoticeReport {
    let limit = LimitReport { rate: None, age };
    NoticeReport { limit: Some(limit), ..limited(id, 1.0) }
}

fn leader(reached: usize, all: usize) -> RateShare {
    RateShare { reached, all, role: RateRole::Leader }
}

fn scheduler(ids: &[&str], slots: u32) -> PoolScheduler {
    let entry = |id: &&str| {
        let entry =
            TargetEntry { id: id.to_string(), vm: id.to_string(), slots, ..TargetEntry::default() };
        (id.to_string(), entry)
    };
    let targets = ids.iter().map(entry).collect();
    let pool = TargetPool { id: "p".to_string(), targets, ..TargetPool::default() };
    let mut scheduler = PoolScheduler::new("p".to_string(), PoolOptions::default());
    scheduler.configure(PoolOptions::default(), &pool);
    scheduler
}

fn permit_request(number: u128, tier: u8) -> PermitRequest {
    PermitRequest {
        permit: PermitId { request: RequestId::from_u128(number), attempt: 0 },
        pool: "p".to_string(),
        tier,
        account: "a".to_string(),
        cost: 1,
        objectives: LatencyObjectives::default(),
        time_left: Duration::from_secs(3_600),
        prompt_work: 0,
        output_work: 1_000,
        prefix: None,
        avoid: Vec::new(),
        version: None,
    }
}

/// Returns the VM of the entry daemon that received the notices.
fn vm() -> VmId {
    "e".to_string()
}

fn entry(vm: &str) -> DaemonId {
    DaemonId { vm: vm.to_string(), incarnation: 1 }
}

fn granted(actions: &[SchedulerAction]) -> Vec<u128> {
    let grants = actions
        .iter()
        .filter(|action| matches!(action.answer.decision, PermitDecision::Granted(_)));
    grants.map(|action| action.answer.permit.request.as_u128()).collect()
}

/// Returns the times at which a scheduler grants its target, with more requests than it can grant and instant
/// answers.
fn grants(scheduler: &mut PoolScheduler, from: Duration, time: Duration) -> Vec<Duration> {
    let mut times = Vec::new();
    let mut now = from;
    let mut number = from.as_millis() * 1_000;
    while now < from + time {
        now += STEP;
        number += 1;
        let mut actions = scheduler.request_permit(now, entry("e"), permit_request(number, 0));
        actions.extend(scheduler.tick(now));
        while let Some(number) = granted(&actions).pop() {
            times.push(now);
            actions.retain(|action| action.answer.permit.request.as_u128() != number);
            actions.extend(scheduler.return_permit(now, &served(number)));
        }
    }
    times
}

fn served(number: u128) -> PermitReturn {
    let permit = PermitId { request: RequestId::from_u128(number), attempt: 0 };
    let end = AttemptEnd::Whole(Duration::from_millis(1));
    PermitReturn { permit, pool: "p".to_string(), end }
}

fn most_in_span(times: &[Duration]) -> usize {
    let within =
        |from: Duration| times.iter().filter(|at| (from..from + SPAN).contains(at)).count();
    times.iter().map(|from| within(*from)).max().unwrap_or(0)
}

/// Returns 1.2 times the requests that the limit allows in a span, plus five.
fn allowed(per_second: f64) -> usize {
    (1.2 * per_second * SPAN.as_secs_f64()) as usize + 5
}

#[rstest]
#[case::low(0.3)]
#[case::of_the_report(1.8)]
#[case::high(40.0)]
fn scheduler_grants_the_limit_and_no_more(#[case] limit: f64) {
    let mut scheduler = scheduler(&["t"], 1_000);
    scheduler.apply_notice_report(SECOND, &vm(), &limited("t", limit));
    let times = grants(&mut scheduler, SECOND, SECOND * 60);
    assert!(most_in_span(&times) <= allowed(limit), "{}", most_in_span(&times));
    let least = (limit * 60.0 * 0.9) as usize;
    assert!(times.len() >= least, "{} of {least}", times.len());
}

/// The limit rises, falls, becomes zero, and ends.
#[test]
fn changes_of_the_limit_allow_no_burst() {
    let mut scheduler = scheduler(&["t"], 10_000);
    scheduler.apply_notice_report(SECOND, &vm(), &limited("t", 2.0));
    let mut times = Vec::new();
    for (index, limit) in [2.0, 20.0, 1.0, 0.0, 5.0].into_iter().enumerate() {
        let from = SECOND * (1 + 10 * index as u32);
        scheduler.apply_notice_report(from, &vm(), &limited("t", limit));
        times = grants(&mut scheduler, from, SECOND * 10);
        assert!(most_in_span(&times) <= allowed(limit), "{limit}: {}", most_in_span(&times));
    }
    assert!(!times.is_empty());
    scheduler.apply_notice_report(SECOND * 60, &vm(), &unlimited("t", Duration::ZERO));
    let times = grants(&mut scheduler, SECOND * 60, SECOND * 4);
    assert!(times.len() > 100, "{}", times.len());
}

/// A target with a limit of zero is probed at a low rate.
#[test]
fn target_with_a_limit_of_zero_is_probed() {
    let mut scheduler = scheduler(&["t"], 10);
    scheduler.apply_notice_report(SECOND, &vm(), &limited("t", 0.0));
    let times = grants(&mut scheduler, SECOND, SECOND * 60);
    assert!((5..=7).contains(&times.len()), "{}", times.len());
}

/// Daemons are cut off from each other: each side's scheduler grants the share of the daemons that it reaches. A
/// daemon that is not the leader grants nothing.
#[test]
fn shares_add_up_to_the_limit() {
    let limit = 10.0;
    let mut times = Vec::new();
    for share in [leader(4, 7), leader(2, 7), leader(1, 7)] {
        let mut scheduler = scheduler(&["t"], 1_000);
        scheduler.set_rate_share(SECOND, share);
        scheduler.apply_notice_report(SECOND, &vm(), &limited("t", limit));
        times.extend(grants(&mut scheduler, SECOND, SECOND * 30));
    }
    times.sort();
    assert!(most_in_span(&times) <= allowed(limit), "{}", most_in_span(&times));
    let mut scheduler = scheduler(&["t"], 1_000);
    scheduler.set_rate_share(SECOND, RateShare { reached: 0, all: 1, role: RateRole::Deputy });
    scheduler.apply_notice_report(SECOND, &vm(), &limited("t", limit));
    assert_eq!(grants(&mut scheduler, SECOND, SECOND * 30), []);
    // It becomes the leader. What it did not grant before was granted by others, so it has no credit for a burst.
    scheduler.set_rate_share(SECOND * 31, leader(7, 7));
    let times = grants(&mut scheduler, SECOND * 31, SECOND * 8);
    assert!(most_in_span(&times) <= allowed(limit) - 2, "{}", most_in_span(&times));
}

/// A higher tier has priority within the limit.
#[test]
fn lower_tier_does_not_use_up_the_limit() {
    let mut scheduler = scheduler(&["t"], 100);
    scheduler.apply_notice_report(SECOND, &vm(), &limited("t", 2.0));
    let mut known = BTreeSet::new();
    let mut served = [0, 0];
    for step in 0..500u32 {
        let now = SECOND + STEP * step;
        let number = u128::from(step) * 2;
        let mut actions = scheduler.request_permit(now, entry("e"), permit_request(number, 1));
        // One request of the higher tier a second.
        if step % 50 == 0 {
            actions.extend(scheduler.request_permit(
                now,
                entry("e"),
                permit_request(number + 1, 0),
            ));
        }
        actions.extend(scheduler.tick(now));
        let new = granted(&actions).into_iter().filter(|number| known.insert(*number));
        new.for_each(|number| served[(number % 2) as usize] += 1);
    }
    assert_eq!(served[1], 10, "of the higher tier");
    assert!(served[0] >= 7, "{} of the lower one", served[0]);
}

fn resting(id: &str, rest: Duration) -> NoticeReport {
    NoticeReport { rest: Some(rest), limit: None, ..limited(id, 1.0) }
}

/// Returns the targets of the grants among these answers.
fn targets(actions: &[SchedulerAction]) -> Vec<String> {
    let target = |action: &SchedulerAction| match &action.answer.decision {
        PermitDecision::Granted(target) => Some(target.clone()),
        _ => None,
    };
    actions.iter().filter_map(target).collect()
}

/// A rest holds for the entry daemon from which it was requested. Others use the target only when no other one has
/// capacity.
#[test]
fn rest_holds_only_for_the_entry_daemon_from_which_it_was_requested() {
    let mut scheduler = scheduler(&["a", "b"], 2);
    let mut now = SECOND;
    scheduler.apply_notice_report(now, &vm(), &resting("a", SECOND * 3));
    let mut number = 0;
    let mut request_from = |scheduler: &mut PoolScheduler, now, vm: &str| {
        number += 1;
        let request = PermitRequest { time_left: SECOND * 10, ..permit_request(number, 0) };
        scheduler.request_permit(now, entry(vm), request)
    };
    assert_eq!(targets(&request_from(&mut scheduler, now, "e")), ["b"]);
    assert_eq!(
        targets(&request_from(&mut scheduler, now, "other")),
        ["b"],
        "as long as it has capacity"
    );
    assert_eq!(targets(&request_from(&mut scheduler, now, "other")), ["a"]);
    assert_eq!(
        targets(&request_from(&mut scheduler, now, "e")),
        [""; 0],
        "waits for the other target"
    );
    assert!(!scheduler.targets()["a"].ejected());
    now += SECOND * 3;
    assert_eq!(targets(&scheduler.tick(now)), ["a"], "the rest is over");
}

/// All targets require rest: the caller is refused at once, with the time when the first rest ends.
#[test]
fn refusal_states_when_the_first_rest_ends() {
    let mut scheduler = scheduler(&["a", "b"], 2);
    scheduler.apply_notice_report(SECOND, &vm(), &resting("a", SECOND * 3));
    scheduler.apply_notice_report(SECOND, &vm(), &resting("b", SECOND * 2));
    for number in 0..50 {
        let actions = scheduler.request_permit(SECOND, entry("e"), permit_request(number * 37, 0));
        let PermitDecision::Refused(refusal) = &actions[0].answer.decision else {
            panic!("{actions:?}")
        };
        assert_eq!(refusal.reason, RefusalReason::NoTarget);
        let wait = refusal.retry_after.expect("a retry advice");
        assert!((SECOND * 2..SECOND * 5 / 2).contains(&wait), "{wait:?}");
    }
    let actions = scheduler.request_permit(SECOND, entry("other"), permit_request(9_999, 0));
    assert_eq!(targets(&actions).len(), 1, "no rest was requested from another entry daemon");
}

/// A target that reports that it is leaving gets no permits, even though its list entry is unchanged.
#[test]
fn leaving_target_is_not_granted() {
    let mut scheduler = scheduler(&["a", "b"], 100);
    let leaving = NoticeReport { leaving: true, limit: None, ..limited("a", 1.0) };
    scheduler.apply_notice_report(SECOND, &vm(), &leaving);
    for number in 0..20 {
        let actions =
            scheduler.request_permit(SECOND * 2, entry("other"), permit_request(number, 0));
        assert_eq!(targets(&actions), ["b"]);
    }
}

/// The gate applies notices on its own, without reports of other daemons.
#[test]
fn gate_stops_requests_that_the_notices_exclude() {
    let mut gate = TargetGate::default();
    let received = |notice| ReceivedNotice { sent: SECOND, notice };
    let rest = TargetNotice { rest: Some(SECOND * 3), ..TargetNotice::default() };
    gate.apply_notice(SECOND, &instance("a"), &received(rest));
    // A shorter rest does not end a longer one.
    let short = TargetNotice { rest: Some(SECOND), ..TargetNotice::default() };
    gate.apply_notice(SECOND, &instance("a"), &received(short));
    assert_eq!(gate.pass(SECOND * 3, &entry_of(&instance("a"))), Some(GateStop::Resting));
    assert_eq!(gate.pass(SECOND * 4, &entry_of(&instance("a"))), None);
    let leaving = TargetNotice { leaving: true, ..TargetNotice::default() };
    gate.apply_notice(SECOND * 4, &instance("a"), &received(leaving));
    gate.apply_notice(SECOND * 5, &instance("a"), &received(TargetNotice::default()));
    assert_eq!(gate.pass(SECOND * 3_000, &entry_of(&instance("a"))), Some(GateStop::Leaving));
    let later = TargetInstance { start: Some(TargetStart(2)), ..instance("a") };
    assert_eq!(gate.pass(SECOND * 5, &entry_of(&later)), None, "a new instance has no notices");
}

/// A new instance begins without notices, and notices of an earlier instance are ignored.
#[test]
fn notices_belong_to_one_instance() {
    let start = |millis| Some(TargetStart(millis));
    let mut scheduler = scheduler(&["t"], 100);
    let pool = |start| {
        let entry = TargetEntry {
            id: "t".to_string(),
            vm: "t".to_string(),
            slots: 100,
            start,
            ..TargetEntry::default()
        };
        let targets = [("t".to_string(), entry)].into();
        TargetPool { id: "p".to_string(), targets, ..TargetPool::default() }
    };
    scheduler.configure(PoolOptions::default(), &pool(start(1)));
    let first = NoticeReport {
        instance: TargetInstance { id: "t".to_string(), start: start(1) },
        ..limited("t", 1.0)
    };
    scheduler.apply_notice_report(SECOND, &vm(), &first);
    assert_eq!(scheduler.targets()["t"].rate(), Some(rate(1.0)));
    scheduler.configure(PoolOptions::default(), &pool(start(2)));
    assert_eq!(scheduler.targets()["t"].rate(), None);
    scheduler.apply_notice_report(SECOND * 2, &vm(), &first);
    assert_eq!(scheduler.targets()["t"].rate(), None);
}

/// The gate of one daemon, which receives a notice with each request that it lets pass.
#[test]
fn gate_allows_no_more_than_the_whole_limit() {
    let mut gate = TargetGate::default();
    let received = ReceivedNotice { sent: SECOND, notice: limit_notice(1.8) };
    gate.apply_notice(SECOND, &instance("t"), &received);
    let mut times = Vec::new();
    for step in 0..1_000 {
        let now = SECOND + STEP * step;
        match gate.pass(now, &entry_of(&instance("t"))) {
            None => {
                times.push(now);
                gate.apply_notice(
                    now,
                    &instance("t"),
                    &ReceivedNotice { sent: now, notice: limit_notice(1.8) },
                );
            }
            Some(stop) => assert_eq!(stop, GateStop::Limited),
        }
    }
    assert!(most_in_span(&times) <= allowed(1.8), "{}", most_in_span(&times));
    assert!(times.len() >= 36, "{}", times.len());
    assert_eq!(gate.pass(SECOND * 2, &entry_of(&instance("other"))), None);
}

/// An answer that was overtaken by the one that states the limit does not end it; an answer to a later request does.
#[test]
fn limit_ends_with_a_later_request() {
    let mut notices = NoticeState::default();
    assert!(notices
        .apply_notice(SECOND * 5, &ReceivedNotice { sent: SECOND * 4, notice: limit_notice(2.0) }));
    let without_limit = TargetNotice::default();
    assert!(!notices
        .apply_notice(SECOND * 6, &ReceivedNotice { sent: SECOND * 3, notice: without_limit }));
    assert_eq!(notices.rate(), Some(rate(2.0)));
    let unreadable = TargetNotice { limit: LimitNotice::Unreadable, ..without_limit };
    assert!(
        !notices.apply_notice(SECOND * 7, &ReceivedNotice { sent: SECOND * 6, notice: unreadable })
    );
    assert_eq!(notices.rate(), Some(rate(2.0)));
    assert!(notices
        .apply_notice(SECOND * 8, &ReceivedNotice { sent: SECOND * 6, notice: without_limit }));
    assert_eq!(notices.rate(), None);
}

proptest! {
    /// Reports that arrive in any order and repeatedly lead to the state of the newest one.
    #[test]
    fn merged_reports_end_with_the_newest(
        limits in proptest::collection::vec((1u64..1_000, proptest::option::of(0u64..50)), 1..8),
        order in proptest::collection::vec(0usize..8, 1..24),
    ) {
        let now = SECOND * 10;
        let mut limits = limits;
        limits.sort();
        limits.dedup_by_key(|(at, _)| *at);
        let report = |(at, tenths): (u64, Option<u64>)| {
            let rate = tenths.map(|tenths| RequestRate(tenths * 100));
            let limit = LimitReport { rate, age: now - Duration::from_millis(at) };
            NoticeReport { limit: Some(limit), ..limited("t", 1.0) }
        };
        let mut notices = NoticeState::default();
        for index in order {
            notices.merge(now, &report(limits[index % limits.len()]));
        }
        for limit in &limits {
            notices.merge(now, &report(*limit));
        }
        let newest = limits.last().and_then(|(_, tenths)| tenths.map(|tenths| RequestRate(tenths * 100)));
        prop_assert_eq!(notices.rate(), newest);
    }
}
