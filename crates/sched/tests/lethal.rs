//! Which requests are taken for the reason for which targets end: what counts, whoever tells of it, and for how long.

use std::time::Duration;

use curlewcleat_core::{
    BreakKind, RequestBreak, RequestDigest, RequestIdentity, TargetLife, TargetStart,
};
use curlewcleat_sched::{LethalOptions, LethalRequests, LethalVerdict, LifeSight};
use proptest::prelude::*;
use rstest::rstest;

const TARGETS: usize = 20;
const MOMENT: Duration = Duration::from_millis(100);

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn digest(number: u64) -> RequestDigest {
    let body = number.to_be_bytes();
    RequestIdentity { method: "POST", host: "h", path: "/p", caller: "a", body: &body }.digest()
}

fn life(number: usize) -> TargetLife {
    TargetLife { id: format!("i-{number}"), start: Some(TargetStart(1)) }
}

fn broke(number: usize, kind: BreakKind) -> RequestBreak {
    RequestBreak { life: life(number), kind, begun: false }
}

fn closed(number: usize) -> RequestBreak {
    broke(number, BreakKind::Closed)
}

fn new() -> LethalRequests {
    LethalRequests::new(LethalOptions::default())
}

/// All lives have ended, or none has.
fn review(requests: &mut LethalRequests, now: Duration, sight: LifeSight) {
    requests.review(now, TARGETS, &|_| sight);
}

/// A request under which these lives have ended.
fn under_ends(now: Duration, lives: &[usize]) -> LethalRequests {
    let mut requests = new();
    for number in lives {
        requests.broken_off(now, digest(0), closed(*number));
    }
    review(&mut requests, now, LifeSight::Gone);
    requests
}

#[test]
fn request_is_held_until_it_is_known_that_three_targets_ended_and_refused_from_then_on() {
    let mut requests = new();
    let now = seconds(100);
    for number in 0..2 {
        requests.broken_off(now, digest(0), closed(number));
    }
    assert_eq!(requests.verdict(now, &digest(0)), LethalVerdict::Clear);
    requests.broken_off(now, digest(0), closed(2));
    assert!(matches!(requests.verdict(now, &digest(0)), LethalVerdict::Held(_)));
    review(&mut requests, now + MOMENT, LifeSight::Gone);
    assert_eq!(requests.verdict(now + MOMENT, &digest(0)), LethalVerdict::Refused);
    assert_eq!(requests.verdict(now + MOMENT, &digest(1)), LethalVerdict::Clear);
}

/// A cut link, reset connections, spoilt answers: the platform still shows the targets.
#[test]
fn targets_that_are_still_shown_count_for_nothing() {
    let mut requests = new();
    let now = seconds(100);
    for number in 0..8 {
        requests.broken_off(now, digest(0), closed(number));
    }
    review(&mut requests, now + seconds(7), LifeSight::Shown);
    let LethalVerdict::Held(left) = requests.verdict(now + seconds(7), &digest(0)) else {
        panic!("held until the entries would have lapsed");
    };
    assert_eq!(left, seconds(1));
    review(&mut requests, now + seconds(8), LifeSight::Shown);
    assert_eq!(requests.verdict(now + seconds(8), &digest(0)), LethalVerdict::Clear);
    assert!(requests.is_empty());
}

/// While the platform fails nobody can say which targets ended, so that nothing is dropped.
#[test]
fn breaks_wait_for_the_platform_to_answer_again() {
    let mut requests = new();
    let now = seconds(100);
    for number in 0..3 {
        requests.broken_off(now, digest(0), closed(number));
    }
    review(&mut requests, now + seconds(30), LifeSight::Unknown);
    assert!(matches!(requests.verdict(now + seconds(30), &digest(0)), LethalVerdict::Held(_)));
    review(&mut requests, now + seconds(31), LifeSight::Gone);
    assert_eq!(requests.verdict(now + seconds(31), &digest(0)), LethalVerdict::Refused);
}

/// A target that pauses for long has not ended; one that falls silent and lapses has.
#[rstest]
#[case::lapsed(LifeSight::Gone, LethalVerdict::Refused)]
#[case::at_work(LifeSight::Shown, LethalVerdict::Clear)]
fn silence_counts_only_once_the_target_is_known_to_have_ended(
    #[case] sight: LifeSight,
    #[case] verdict: LethalVerdict,
) {
    let mut requests = new();
    let now = seconds(100);
    for number in 0..3 {
        requests.broken_off(now, digest(0), broke(number, BreakKind::Stalled));
    }
    assert_eq!(requests.verdict(now, &digest(0)), LethalVerdict::Clear);
    review(&mut requests, now + MOMENT, sight);
    assert_eq!(requests.verdict(now + MOMENT, &digest(0)), verdict);
}

/// Two copies at one target, each told by two daemons.
#[test]
fn one_life_counts_once_whoever_tells_of_it() {
    let now = seconds(100);
    let mut requests = under_ends(now, &[0, 1]);
    let mut other = under_ends(now, &[0, 1]);
    other.merge(now, requests.since(now, 0));
    requests.merge(now, other.since(now, 0));
    requests.broken_off(now, digest(0), closed(1));
    assert_eq!(requests.breaks_of(&digest(0)), 2);
    assert_eq!(requests.verdict(now, &digest(0)), LethalVerdict::Clear);
}

/// A later life of the same target is another end.
#[test]
fn later_life_counts_for_itself() {
    let now = seconds(100);
    let mut requests = under_ends(now, &[0, 1]);
    let again = TargetLife { start: Some(TargetStart(2)), ..life(1) };
    let again = RequestBreak { life: again, kind: BreakKind::Closed, begun: false };
    requests.broken_off(now, digest(0), again);
    review(&mut requests, now, LifeSight::Gone);
    assert_eq!(requests.verdict(now, &digest(0)), LethalVerdict::Refused);
}

#[test]
fn request_that_is_served_whole_begins_anew() {
    let now = seconds(100);
    let mut requests = under_ends(now, &[0, 1]);
    assert!(requests.served(now, &digest(0)));
    assert!(!requests.served(now, &digest(0)), "told once");
    // Someone else tells late of the ends of before, of which one was not known here.
    requests.merge(now, under_ends(now, &[0, 1, 2]).since(now, 0));
    assert_eq!(requests.breaks_of(&digest(0)), 0);
    for number in 3..6 {
        requests.broken_off(now, digest(0), closed(number));
    }
    review(&mut requests, now, LifeSight::Gone);
    assert_eq!(requests.verdict(now, &digest(0)), LethalVerdict::Refused);
}

/// The daemon that serves it hears of the breaks only then.
#[test]
fn request_that_was_served_before_its_breaks_were_told_of_is_cleared_by_whoever_served_it() {
    let now = seconds(100);
    let mut other = under_ends(now, &[0, 1, 2]);
    let mut requests = new();
    requests.served(now + MOMENT, &digest(0));
    let later = now + MOMENT * 5;
    let cleared = requests.merge(later, other.since(later, 0));
    assert_eq!(cleared, [digest(0)]);
    other.merge(later, requests.since(later, 0));
    assert_eq!(other.verdict(later, &digest(0)), LethalVerdict::Clear);
    // What breaks off afterwards counts.
    for number in 3..6 {
        other.broken_off(later, digest(0), closed(number));
    }
    review(&mut other, later, LifeSight::Gone);
    requests.merge(later, other.since(later, 0));
    assert_eq!(requests.verdict(later, &digest(0)), LethalVerdict::Refused);
}

/// Two requests at the same three targets cannot be told apart; a fourth end tells.
#[test]
fn request_beside_a_lethal_one_is_freed_once_that_has_ended_more() {
    let now = seconds(100);
    let mut requests = new();
    for number in 0..3 {
        requests.broken_off(now, digest(0), closed(number));
        requests.broken_off(now, digest(1), closed(number));
    }
    review(&mut requests, now, LifeSight::Gone);
    assert_eq!(requests.verdict(now, &digest(1)), LethalVerdict::Refused);
    requests.broken_off(now, digest(0), closed(3));
    review(&mut requests, now, LifeSight::Gone);
    assert_eq!(requests.verdict(now, &digest(0)), LethalVerdict::Refused);
    assert_eq!(requests.verdict(now, &digest(1)), LethalVerdict::Clear);
}

/// An answer had begun at one of them, so that something else may have ended it.
#[test]
fn one_more_end_is_needed_where_an_answer_had_begun() {
    let now = seconds(100);
    let mut requests = under_ends(now, &[0, 1]);
    requests.broken_off(now, digest(0), RequestBreak { begun: true, ..closed(2) });
    review(&mut requests, now, LifeSight::Gone);
    assert_eq!(requests.verdict(now, &digest(0)), LethalVerdict::Clear);
    requests.broken_off(now, digest(0), RequestBreak { begun: true, ..closed(3) });
    review(&mut requests, now, LifeSight::Gone);
    assert_eq!(requests.verdict(now, &digest(0)), LethalVerdict::Refused);
}

/// A daemon that hears of an end before it has heard of the target does not take that for proof.
#[test]
fn entry_that_is_not_known_yet_is_not_taken_for_one_that_has_lapsed() {
    let mut seen = new();
    let mut told = new();
    let now = seconds(100);
    for number in 0..3 {
        seen.broken_off(now, digest(0), closed(number));
    }
    told.merge(now, seen.since(now, 0));
    review(&mut told, now + seconds(1), LifeSight::Gone);
    assert!(matches!(told.verdict(now + seconds(1), &digest(0)), LethalVerdict::Held(_)));
    review(&mut told, now + seconds(3), LifeSight::Gone);
    assert_eq!(told.verdict(now + seconds(3), &digest(0)), LethalVerdict::Refused);
}

#[test]
fn request_is_refused_as_long_as_it_comes_back_and_for_an_hour() {
    let hour = seconds(3_600);
    let now = seconds(100);
    let mut requests = under_ends(now, &[0, 1, 2]);
    let later = now + hour - MOMENT;
    review(&mut requests, later, LifeSight::Gone);
    assert_eq!(requests.verdict(later, &digest(0)), LethalVerdict::Refused);
    review(&mut requests, later + hour - MOMENT, LifeSight::Gone);
    assert_eq!(requests.verdict(later + hour - MOMENT, &digest(0)), LethalVerdict::Refused);
    review(&mut requests, later + hour * 2, LifeSight::Gone);
    assert_eq!(requests.verdict(later + hour * 2, &digest(0)), LethalVerdict::Clear);
    assert!(requests.is_empty());
}

#[test]
fn suspect_is_forgotten_after_ten_minutes() {
    let now = seconds(100);
    let mut requests = under_ends(now, &[0, 1]);
    review(&mut requests, now + seconds(599), LifeSight::Gone);
    assert_eq!(requests.len(), 1);
    review(&mut requests, now + seconds(600), LifeSight::Gone);
    assert!(requests.is_empty());
}

/// A daemon that heard only that lives do not count forgot that at once where it had run for longer than ten minutes, and
/// took the same lives for news again.
#[test]
fn what_does_not_count_is_remembered_by_those_who_only_heard_of_it() {
    let now = seconds(2_000);
    let mut seen = under_ends(now, &[0, 1]);
    seen.served(now, &digest(0));
    let mut told = new();
    told.merge(now, seen.since(now, 0));
    review(&mut told, now + MOMENT, LifeSight::Gone);
    told.merge(now + MOMENT, under_ends(now, &[0, 1]).since(now + MOMENT, 0));
    assert_eq!(told.breaks_of(&digest(0)), 0);
}

#[test]
fn operator_clears_a_request() {
    let now = seconds(100);
    let mut requests = under_ends(now, &[0, 1, 2]);
    let mut other = under_ends(now, &[0, 1, 2]);
    assert!(requests.clear(&digest(0)));
    assert_eq!(requests.verdict(now, &digest(0)), LethalVerdict::Clear);
    other.merge(now, requests.since(now, 0));
    assert_eq!(other.verdict(now, &digest(0)), LethalVerdict::Clear);
    // What the other one says later brings nothing back.
    requests.merge(now, under_ends(now, &[0, 1, 2]).since(now, 0));
    assert_eq!(requests.verdict(now, &digest(0)), LethalVerdict::Clear);
}

/// Half a million bodies, each under one end: the one under which three ended stays.
#[test]
fn flood_of_suspects_takes_bounded_memory_and_frees_no_lethal_request() {
    let now = seconds(100);
    let mut requests = under_ends(now, &[0, 1, 2]);
    for number in 1..20_000 {
        requests.broken_off(now + MOMENT, digest(number), closed(number as usize + 10));
    }
    review(&mut requests, now + MOMENT * 2, LifeSight::Gone);
    assert!(requests.len() <= 512, "{}", requests.len());
    assert_eq!(requests.verdict(now, &digest(0)), LethalVerdict::Refused);
}

/// A request that ends targets for hours takes no more memory than one that ends a dozen.
#[test]
fn lives_of_one_request_are_bounded() {
    let now = seconds(100);
    let mut requests = new();
    for number in 0..1_000 {
        requests.broken_off(now, digest(0), closed(number));
    }
    assert!(requests.breaks_of(&digest(0)) <= 12);
    for number in 0..1_000 {
        requests.served(now, &digest(0));
        requests.broken_off(now, digest(0), closed(number));
    }
    let report = requests.report(now, &digest(0)).expect("a suspect");
    assert!(report.cleared.len() <= 12, "{report:?}");
}

/// What one daemon does.
#[derive(Clone, Copy, Debug)]
enum Step {
    Breaks(u64, usize),
    Served(u64),
    Tells(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..3u64, 0..6usize).prop_map(|(request, number)| Step::Breaks(request, number)),
        (0..3u64).prop_map(Step::Served),
        (0..3usize).prop_map(Step::Tells),
    ]
}

proptest! {
    /// Whatever the order in which daemons see and tell, and however much of it is lost or repeated: once each has
    /// told the others all that it knows, all judge alike.
    #[test]
    fn daemons_that_know_the_same_judge_alike(steps in prop::collection::vec((0..3usize, step()), 0..40)) {
        let now = seconds(100);
        let mut daemons = vec![new(), new(), new()];
        for (at, step) in steps {
            match step {
                Step::Breaks(request, number) => {
                    daemons[at].broken_off(now, digest(request), closed(number));
                }
                Step::Served(request) => {
                    daemons[at].served(now, &digest(request));
                }
                Step::Tells(to) => {
                    let told = daemons[at].since(now, 0);
                    daemons[to].merge(now, told);
                }
            }
        }
        for round in 0..2 {
            for from in 0..3 {
                for to in 0..3 {
                    let told = daemons[from].since(now, 0);
                    daemons[to].merge(now, told);
                }
                review(&mut daemons[from], now + MOMENT * round, LifeSight::Gone);
            }
        }
        for daemon in &mut daemons {
            review(daemon, now + seconds(4), LifeSight::Gone);
        }
        for request in 0..3 {
            let verdicts: Vec<LethalVerdict> = daemons
                .iter_mut()
                .map(|daemon| daemon.verdict(now + seconds(4), &digest(request)))
                .collect();
            prop_assert!(verdicts.iter().all(|verdict| *verdict == verdicts[0]), "{verdicts:?}");
        }
    }
}
