//! Ends of answers that are doubted after answers of the same pool broke off.

use std::time::Duration;

use curlewcleat_sched::BrokenAnswers;

#[test]
fn ends_are_doubted_in_the_pool_of_a_broken_answer_and_for_a_bounded_time() {
    let (pool, other) = ("engines".into(), "records".into());
    let mut broken = BrokenAnswers::default();
    let seconds = Duration::from_secs;
    assert!(!broken.are_recent(seconds(1), &pool));
    broken.record(seconds(10), &pool);
    assert!(broken.are_recent(seconds(14), &pool));
    assert!(!broken.are_recent(seconds(14), &other));
    broken.record(seconds(14), &other);
    assert!(!broken.are_recent(seconds(15), &pool));
    assert!(broken.are_recent(seconds(15), &other));
}
