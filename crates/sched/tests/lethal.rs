//! Which requests count as lethal: what counts against a request, merging of reports, and expiry.

use std::time::Duration;

use curlewcleat_core::{
    InterruptionKind, RequestFeature, RequestIdentity, RequestInterruption, TargetInstance,
    TargetStart,
};
use curlewcleat_sched::{InstancePresence, LethalOptions, LethalRequests, LethalVerdict};
use proptest::prelude::*;
use rstest::rstest;

const TARGETS: usize = 20;
const MOMENT: Duration = Duration::from_millis(100);

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn digest(number: u64) -> RequestFeature {
    let body = number.to_be_bytes();
    RequestIdentity { method: "POST", host: "h", path: "/p", caller: "a", body: &body }
        .digest()
        .into()
}

fn instance(number: usize) -> TargetInstance {
    TargetInstance { id: format!("i-{number}"), start: Some(TargetStart(1)) }
}

fn interruption(number: usize, kind: InterruptionKind) -> RequestInterruption {
    RequestInterruption { instance: instance(number), kind, begun: false }
}

fn closed(number: usize) -> RequestInterruption {
    interruption(number, InterruptionKind::Closed)
}

fn new() -> LethalRequests {
    LethalRequests::new(LethalOptions::default())
}

/// Reviews with the same answer for every instance.
fn review(requests: &mut LethalRequests, now: Duration, presence: InstancePresence) {
    requests.review(now, TARGETS, &|_| presence);
}

/// Returns the state with request 0 interrupted at these instances, all of which have terminated.
fn after_terminations(now: Duration, instances: &[usize]) -> LethalRequests {
    let mut requests = new();
    for number in instances {
        requests.record_interruption(now, digest(0), closed(*number));
    }
    review(&mut requests, now, InstancePresence::Unlisted);
    requests
}

#[test]
fn request_is_held_after_three_closed_connections_and_refused_after_three_terminations() {
    let mut requests = new();
    let now = seconds(100);
    for number in 0..2 {
        requests.record_interruption(now, digest(0), closed(number));
    }
    assert_eq!(requests.verdict(now, &[digest(0)]), LethalVerdict::Clear);
    requests.record_interruption(now, digest(0), closed(2));
    assert!(matches!(requests.verdict(now, &[digest(0)]), LethalVerdict::Held(_)));
    review(&mut requests, now + MOMENT, InstancePresence::Unlisted);
    assert_eq!(requests.verdict(now + MOMENT, &[digest(0)]), LethalVerdict::Refused);
    assert_eq!(requests.verdict(now + MOMENT, &[digest(1)]), LethalVerdict::Clear);
}

/// A cut link, reset connections or invalid answers must not count: the platform still lists the targets.
#[test]
fn closed_connections_of_listed_targets_do_not_count() {
    let mut requests = new();
    let now = seconds(100);
    for number in 0..8 {
        requests.record_interruption(now, digest(0), closed(number));
    }
    review(&mut requests, now + seconds(7), InstancePresence::Listed);
    let LethalVerdict::Held(remaining) = requests.verdict(now + seconds(7), &[digest(0)]) else {
        panic!("held until the list entries would have expired");
    };
    assert_eq!(remaining, seconds(1));
    review(&mut requests, now + seconds(8), InstancePresence::Listed);
    assert_eq!(requests.verdict(now + seconds(8), &[digest(0)]), LethalVerdict::Clear);
    assert!(requests.is_empty());
}

/// While the platform fails it is unknown which targets terminated, so no interruption may be dropped.
#[test]
fn interruptions_are_kept_while_the_platform_fails() {
    let mut requests = new();
    let now = seconds(100);
    for number in 0..3 {
        requests.record_interruption(now, digest(0), closed(number));
    }
    review(&mut requests, now + seconds(30), InstancePresence::Unknown);
    assert!(matches!(requests.verdict(now + seconds(30), &[digest(0)]), LethalVerdict::Held(_)));
    review(&mut requests, now + seconds(31), InstancePresence::Unlisted);
    assert_eq!(requests.verdict(now + seconds(31), &[digest(0)]), LethalVerdict::Refused);
}

/// A stalled target that is still listed has not terminated; one whose list entry expired has.
#[rstest]
#[case::expired(InstancePresence::Unlisted, LethalVerdict::Refused)]
#[case::listed(InstancePresence::Listed, LethalVerdict::Clear)]
fn stalled_connection_counts_only_after_the_target_terminated(
    #[case] presence: InstancePresence,
    #[case] verdict: LethalVerdict,
) {
    let mut requests = new();
    let now = seconds(100);
    for number in 0..3 {
        requests.record_interruption(
            now,
            digest(0),
            interruption(number, InterruptionKind::Stalled),
        );
    }
    assert_eq!(requests.verdict(now, &[digest(0)]), LethalVerdict::Clear);
    review(&mut requests, now + MOMENT, presence);
    assert_eq!(requests.verdict(now + MOMENT, &[digest(0)]), verdict);
}

/// Two copies of the request at one target, each reported by two daemons, must count as one instance.
#[test]
fn one_instance_counts_once_however_often_it_is_reported() {
    let now = seconds(100);
    let mut requests = after_terminations(now, &[0, 1]);
    let mut other = after_terminations(now, &[0, 1]);
    other.merge(now, requests.changes_since(now, 0));
    requests.merge(now, other.changes_since(now, 0));
    requests.record_interruption(now, digest(0), closed(1));
    assert_eq!(requests.interruption_count(&digest(0)), 2);
    assert_eq!(requests.verdict(now, &[digest(0)]), LethalVerdict::Clear);
}

/// A restarted target is another instance, and its termination counts again.
#[test]
fn restarted_target_counts_as_another_instance() {
    let now = seconds(100);
    let mut requests = after_terminations(now, &[0, 1]);
    let again = TargetInstance { start: Some(TargetStart(2)), ..instance(1) };
    let again =
        RequestInterruption { instance: again, kind: InterruptionKind::Closed, begun: false };
    requests.record_interruption(now, digest(0), again);
    review(&mut requests, now, InstancePresence::Unlisted);
    assert_eq!(requests.verdict(now, &[digest(0)]), LethalVerdict::Refused);
}

#[test]
fn served_request_is_cleared_of_earlier_interruptions() {
    let now = seconds(100);
    let mut requests = after_terminations(now, &[0, 1]);
    assert!(requests.record_served(now, &digest(0)));
    assert!(!requests.record_served(now, &digest(0)), "reported once");
    // A late report of the earlier terminations, one of which was not known here.
    requests.merge(now, after_terminations(now, &[0, 1, 2]).changes_since(now, 0));
    assert_eq!(requests.interruption_count(&digest(0)), 0);
    for number in 3..6 {
        requests.record_interruption(now, digest(0), closed(number));
    }
    review(&mut requests, now, InstancePresence::Unlisted);
    assert_eq!(requests.verdict(now, &[digest(0)]), LethalVerdict::Refused);
}

/// The report of the interruptions reaches the daemon that served the request only afterwards.
#[test]
fn late_report_about_a_served_request_is_cleared_by_the_daemon_that_served_it() {
    let now = seconds(100);
    let mut other = after_terminations(now, &[0, 1, 2]);
    let mut requests = new();
    requests.record_served(now + MOMENT, &digest(0));
    let later = now + MOMENT * 5;
    let cleared = requests.merge(later, other.changes_since(later, 0));
    assert_eq!(cleared, [digest(0)]);
    other.merge(later, requests.changes_since(later, 0));
    assert_eq!(other.verdict(later, &[digest(0)]), LethalVerdict::Clear);
    // Later interruptions count.
    for number in 3..6 {
        other.record_interruption(later, digest(0), closed(number));
    }
    review(&mut other, later, InstancePresence::Unlisted);
    requests.merge(later, other.changes_since(later, 0));
    assert_eq!(requests.verdict(later, &[digest(0)]), LethalVerdict::Refused);
}

/// Two requests at the same three targets are equally suspect until a fourth termination decides between them.
#[test]
fn bystander_is_freed_once_the_lethal_request_has_more_terminations() {
    let now = seconds(100);
    let mut requests = new();
    for number in 0..3 {
        requests.record_interruption(now, digest(0), closed(number));
        requests.record_interruption(now, digest(1), closed(number));
    }
    review(&mut requests, now, InstancePresence::Unlisted);
    assert_eq!(requests.verdict(now, &[digest(1)]), LethalVerdict::Refused);
    requests.record_interruption(now, digest(0), closed(3));
    review(&mut requests, now, InstancePresence::Unlisted);
    assert_eq!(requests.verdict(now, &[digest(0)]), LethalVerdict::Refused);
    assert_eq!(requests.verdict(now, &[digest(1)]), LethalVerdict::Clear);
}

/// An answer had begun at one of the instances, so something else may have terminated it.
#[test]
fn one_more_termination_is_needed_where_an_answer_had_begun() {
    let now = seconds(100);
    let mut requests = after_terminations(now, &[0, 1]);
    requests.record_interruption(now, digest(0), RequestInterruption { begun: true, ..closed(2) });
    review(&mut requests, now, InstancePresence::Unlisted);
    assert_eq!(requests.verdict(now, &[digest(0)]), LethalVerdict::Clear);
    requests.record_interruption(now, digest(0), RequestInterruption { begun: true, ..closed(3) });
    review(&mut requests, now, InstancePresence::Unlisted);
    assert_eq!(requests.verdict(now, &[digest(0)]), LethalVerdict::Refused);
}

/// A daemon that receives a report before it has read the list entry of the target must not treat the missing entry as
/// a termination.
#[test]
fn unread_list_entry_is_not_treated_as_expired() {
    let mut observer = new();
    let mut receiver = new();
    let now = seconds(100);
    for number in 0..3 {
        observer.record_interruption(now, digest(0), closed(number));
    }
    receiver.merge(now, observer.changes_since(now, 0));
    review(&mut receiver, now + seconds(1), InstancePresence::Unlisted);
    assert!(matches!(receiver.verdict(now + seconds(1), &[digest(0)]), LethalVerdict::Held(_)));
    review(&mut receiver, now + seconds(3), InstancePresence::Unlisted);
    assert_eq!(receiver.verdict(now + seconds(3), &[digest(0)]), LethalVerdict::Refused);
}

#[test]
fn refusal_lasts_an_hour_beyond_the_latest_repeat() {
    let hour = seconds(3_600);
    let now = seconds(100);
    let mut requests = after_terminations(now, &[0, 1, 2]);
    let later = now + hour - MOMENT;
    review(&mut requests, later, InstancePresence::Unlisted);
    assert_eq!(requests.verdict(later, &[digest(0)]), LethalVerdict::Refused);
    review(&mut requests, later + hour - MOMENT, InstancePresence::Unlisted);
    assert_eq!(requests.verdict(later + hour - MOMENT, &[digest(0)]), LethalVerdict::Refused);
    review(&mut requests, later + hour * 2, InstancePresence::Unlisted);
    assert_eq!(requests.verdict(later + hour * 2, &[digest(0)]), LethalVerdict::Clear);
    assert!(requests.is_empty());
}

#[test]
fn suspect_expires_after_ten_minutes() {
    let now = seconds(100);
    let mut requests = after_terminations(now, &[0, 1]);
    review(&mut requests, now + seconds(599), InstancePresence::Unlisted);
    assert_eq!(requests.len(), 1);
    review(&mut requests, now + seconds(600), InstancePresence::Unlisted);
    assert!(requests.is_empty());
}

/// A daemon that had run for longer than ten minutes and received only cleared instances forgot them at once, and
/// accepted the same instances as new interruptions.
#[test]
fn cleared_instances_are_kept_by_a_daemon_that_only_received_them() {
    let now = seconds(2_000);
    let mut observer = after_terminations(now, &[0, 1]);
    observer.record_served(now, &digest(0));
    let mut receiver = new();
    receiver.merge(now, observer.changes_since(now, 0));
    review(&mut receiver, now + MOMENT, InstancePresence::Unlisted);
    receiver.merge(now + MOMENT, after_terminations(now, &[0, 1]).changes_since(now + MOMENT, 0));
    assert_eq!(receiver.interruption_count(&digest(0)), 0);
}

#[test]
fn request_cleared_by_an_operator_stays_cleared() {
    let now = seconds(100);
    let mut requests = after_terminations(now, &[0, 1, 2]);
    let mut other = after_terminations(now, &[0, 1, 2]);
    assert!(requests.clear(&digest(0)));
    assert_eq!(requests.verdict(now, &[digest(0)]), LethalVerdict::Clear);
    other.merge(now, requests.changes_since(now, 0));
    assert_eq!(other.verdict(now, &[digest(0)]), LethalVerdict::Clear);
    // A later report of the other daemon has no effect.
    requests.merge(now, after_terminations(now, &[0, 1, 2]).changes_since(now, 0));
    assert_eq!(requests.verdict(now, &[digest(0)]), LethalVerdict::Clear);
}

/// Half a million bodies with one termination each must not evict the request with three.
#[test]
fn flood_of_suspects_is_bounded_and_evicts_no_lethal_request() {
    let now = seconds(100);
    let mut requests = after_terminations(now, &[0, 1, 2]);
    for number in 1..20_000 {
        requests.record_interruption(now + MOMENT, digest(number), closed(number as usize + 10));
    }
    review(&mut requests, now + MOMENT * 2, InstancePresence::Unlisted);
    assert!(requests.len() <= 512, "{}", requests.len());
    assert_eq!(requests.verdict(now, &[digest(0)]), LethalVerdict::Refused);
}

/// A request that terminates targets for hours must take no more memory than one that terminated a dozen.
#[test]
fn instances_of_one_request_are_bounded() {
    let now = seconds(100);
    let mut requests = new();
    for number in 0..1_000 {
        requests.record_interruption(now, digest(0), closed(number));
    }
    assert!(requests.interruption_count(&digest(0)) <= 12);
    for number in 0..1_000 {
        requests.record_served(now, &digest(0));
        requests.record_interruption(now, digest(0), closed(number));
    }
    let report = requests.report(now, &digest(0)).expect("a suspect");
    assert!(report.cleared.len() <= 12, "{report:?}");
}

/// A step of one daemon.
#[derive(Clone, Copy, Debug)]
enum Step {
    Interrupted(u64, usize),
    Served(u64),
    Reports(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..3u64, 0..6usize).prop_map(|(request, number)| Step::Interrupted(request, number)),
        (0..3u64).prop_map(Step::Served),
        (0..3usize).prop_map(Step::Reports),
    ]
}

proptest! {
    /// Reports may be reordered, lost or repeated: once each daemon has sent the others its whole state, all must
    /// return the same verdicts.
    #[test]
    fn daemons_with_the_same_reports_agree(steps in prop::collection::vec((0..3usize, step()), 0..40)) {
        let now = seconds(100);
        let mut daemons = vec![new(), new(), new()];
        for (index, step) in steps {
            match step {
                Step::Interrupted(request, number) => {
                    daemons[index].record_interruption(now, digest(request), closed(number));
                }
                Step::Served(request) => {
                    daemons[index].record_served(now, &digest(request));
                }
                Step::Reports(to) => {
                    let reports = daemons[index].changes_since(now, 0);
                    daemons[to].merge(now, reports);
                }
            }
        }
        for round in 0..2 {
            for from in 0..3 {
                for to in 0..3 {
                    let reports = daemons[from].changes_since(now, 0);
                    daemons[to].merge(now, reports);
                }
                review(&mut daemons[from], now + MOMENT * round, InstancePresence::Unlisted);
            }
        }
        for daemon in &mut daemons {
            review(daemon, now + seconds(4), InstancePresence::Unlisted);
        }
        for request in 0..3 {
            let verdicts: Vec<LethalVerdict> = daemons
                .iter_mut()
                .map(|daemon| daemon.verdict(now + seconds(4), &[digest(request)]))
                .collect();
            prop_assert!(verdicts.iter().all(|verdict| *verdict == verdicts[0]), "{verdicts:?}");
        }
    }
}
