//! What daemons learn of parts from each other.

use curlewcleat_core::FeatureKind;
use curlewcleat_sched::{LethalVerdict, UpdateScope};

use crate::daemon::{request, Daemon};

/// Answers and interruptions are seen by different daemons.
#[test]
fn daemon_that_saw_the_answer_corrects_the_one_that_saw_the_interruptions() {
    let (mut first, mut second) = (Daemon::new(), Daemon::new());
    for account in ["a", "b", "a", "b"] {
        first.terminate(account, &["shared"]);
        first.answer("b", &["other"]);
    }
    assert!(first.is_held("a", &["shared"]));
    second.now = first.now;
    second.answer("a", &["shared"]);
    let cleared = first.report_to(&mut second);
    assert!(!cleared.is_empty(), "the other daemon must be told");
    second.report_to(&mut first);
    assert_eq!(first.verdict("a", &["shared"]), LethalVerdict::Clear);
    assert_eq!(second.verdict("a", &["shared"]), LethalVerdict::Clear);
}

/// A daemon whose callers send nothing but lethal requests has seen no other answer begin.
#[test]
fn contrast_is_learned_from_other_daemons() {
    let (mut first, mut second) = (Daemon::new(), Daemon::new());
    for account in ["a", "b", "a", "b"] {
        first.terminate(account, &["lethal"]);
    }
    assert_eq!(first.verdict("a", &["lethal"]), LethalVerdict::Clear);
    first.report_to(&mut second);
    second.answer("a", &["other"]);
    second.report_to(&mut first);
    first.terminate("a", &["lethal"]);
    assert!(first.is_held("a", &["lethal"]));
    first.report_to(&mut second);
    assert!(second.is_held("a", &["lethal"]));
}

/// Daemons of an earlier version know whole requests only.
#[test]
fn reports_on_parts_are_not_among_those_on_whole_requests() {
    let mut daemon = Daemon::new();
    daemon.terminate("a", &["shared"]);
    let kinds = |scope| {
        let updates = daemon.lethal.updates(daemon.now, 0, scope);
        updates.reports.iter().map(|report| report.feature.kind).collect::<Vec<_>>()
    };
    assert_eq!(kinds(UpdateScope::Requests), [FeatureKind::Request]);
    assert_eq!(kinds(UpdateScope::Features).len(), 3);
}

/// A daemon that is told of a part only once it is cleared must not keep it held until then.
#[test]
fn cleared_part_is_reported_before_parts_with_one_interruption() {
    let mut daemon = Daemon::new();
    for account in ["a", "b", "a", "b"] {
        daemon.terminate(account, &["shared"]);
    }
    let known = daemon.lethal.next_change();
    for number in 0..100 {
        daemon.terminate("a", &[&format!("single-{number}")]);
    }
    daemon.answer("a", &["shared"]);
    let updates = daemon.lethal.updates(daemon.now, known, UpdateScope::Features);
    let shared = request(0, "a", &["shared"])[2];
    assert!(
        updates.reports.iter().any(|report| report.feature == shared),
        "{}",
        updates.reports.len()
    );
}
