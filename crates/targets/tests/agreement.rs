//! Deviations that several targets state alike: when they count as sound.

use curlewcleat_targets::{
    AgreementRule, DamageEvidence, EventForm, EventSplitter, FormEvidence, FormExpectation,
    ServingTargets,
};
use rstest::rstest;

/// Whole streams after which shown damage no longer counts.
const DAMAGE_STREAMS: u32 = 1_024;
/// Two events of which the blank line between them is lost.
const MERGED: &str = "id: 3\ndata: event 3\nid: 4\ndata: event 4\n\n";

fn event(number: u64) -> String {
    format!("id: {number}\ndata: event {number}\n\n")
}

fn dense(from: u64, to: u64) -> String {
    (from..=to).map(event).collect()
}

fn dense_form() -> Option<EventForm> {
    let mut evidence = FormEvidence::default();
    for _ in 0..10 {
        let mut splitter = EventSplitter::default();
        splitter.push(dense(1, 10).as_bytes());
        evidence.record_whole(splitter.shape());
    }
    evidence.form(true)
}

/// Passes on the answers of targets, each up to the first event that deviates; returns what the caller gets.
fn relay(splitter: &mut EventSplitter, rule: AgreementRule, answers: &[(&str, &str)]) -> String {
    let mut caller = String::new();
    for (target, events) in answers {
        splitter.discard_incomplete();
        splitter.expect(dense_form(), target);
        splitter.judge_by(FormExpectation { agreement: rule, ..FormExpectation::default() });
        for event in events.split_inclusive("\n\n") {
            caller += &String::from_utf8_lossy(&splitter.push(event.as_bytes()));
        }
    }
    caller
}

/// Guards against a merged event that counts as sound because a second damaged answer has merged the same.
#[rstest]
#[case::three_targets(AgreementRule::Targets(3))]
#[case::no_number(AgreementRule::Never)]
fn merged_event_of_two_damaged_answers_is_not_passed_on(#[case] rule: AgreementRule) {
    let mut splitter = EventSplitter::default();
    let damaged = dense(1, 2) + MERGED;
    let answers = [("a", &*damaged), ("b", MERGED), ("c", &dense(3, 10))];
    assert_eq!(relay(&mut splitter, rule, &answers), dense(1, 10));
    let targets: Vec<usize> =
        splitter.take_deviations().iter().map(|deviation| deviation.targets).collect();
    assert_eq!(targets, [1, 2]);
    assert!(splitter.take_shown_damage(), "the third target has shown the damage");
    assert!(!splitter.take_shown_damage());
}

#[test]
fn deviation_that_as_many_targets_state_as_required_is_passed_on() {
    let sparse = dense(1, 3) + &dense(5, 9);
    for (rule, is_passed_on) in [
        (AgreementRule::Targets(2), true),
        (AgreementRule::Targets(3), true),
        (AgreementRule::Never, false),
    ] {
        let mut splitter = EventSplitter::default();
        let answers = [("a", &*sparse), ("a", &sparse), ("b", &sparse), ("c", &sparse)];
        let expected = if is_passed_on { sparse.clone() } else { dense(1, 3) };
        assert_eq!(relay(&mut splitter, rule, &answers), expected, "{rule:?}");
        let deviations = splitter.take_deviations();
        assert_eq!(deviations.iter().any(|deviation| deviation.is_accepted), is_passed_on);
        assert!(!splitter.take_shown_damage(), "no target has shown another event");
    }
}

#[test]
fn three_targets_have_to_agree_where_as_many_serve_and_can_be_asked() {
    let mut targets = ServingTargets::default();
    let rule = |targets: &ServingTargets, has_further_attempt| {
        targets.agreement_rule(DamageEvidence::default(), has_further_attempt)
    };
    for (target, required) in [("a", 2), ("b", 2), ("a", 2), ("c", 3), ("d", 3)] {
        targets.record(target);
        assert_eq!(rule(&targets, true), AgreementRule::Targets(required));
        assert_eq!(rule(&targets, false), AgreementRule::Targets(2));
    }
}

#[test]
fn no_agreement_counts_until_enough_streams_have_come_whole_since_the_damage() {
    let (targets, mut damage) = (ServingTargets::default(), DamageEvidence::default());
    damage.record_damage();
    for _ in 0..DAMAGE_STREAMS {
        assert_eq!(targets.agreement_rule(damage, false), AgreementRule::Never);
        damage.record_whole();
    }
    assert_eq!(targets.agreement_rule(damage, false), AgreementRule::Targets(2));
}
