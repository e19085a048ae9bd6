//! What callers can turn on others, and bounds on what they send.

use curlewcleat_core::{FeatureKind, SharedParts, PART_LIMIT};
use curlewcleat_sched::LethalVerdict;

use crate::daemon::{closed, request, Daemon, LATER, POOL};

/// A caller that sends requests that terminate targets under parts of others must not get those refused.
#[test]
fn terminations_of_one_account_count_against_that_account_only() {
    let mut daemon = Daemon::new();
    for _ in 0..5 {
        daemon.terminate("attacker", &["part-of-others"]);
        daemon.answer("b", &["other"]);
    }
    assert!(daemon.is_held("attacker", &["part-of-others"]));
    assert_eq!(daemon.verdict("victim", &["part-of-others"]), LethalVerdict::Clear);
    daemon.expire_entries();
    assert_eq!(daemon.verdict("attacker", &["part-of-others"]), LethalVerdict::Refused);
    assert_eq!(daemon.verdict("victim", &["part-of-others"]), LethalVerdict::Clear);
}

/// The parts of an attacker's requests are in use by others, whose answers begin meanwhile.
#[test]
fn part_that_others_use_is_not_refused_for_the_terminations_of_two_accounts() {
    let mut daemon = Daemon::new();
    for account in ["attacker", "accomplice"].repeat(3) {
        daemon.terminate(account, &["part-of-others"]);
        daemon.answer("victim", &["part-of-others"]);
        daemon.now += LATER;
    }
    daemon.expire_entries();
    assert_eq!(daemon.verdict("victim", &["part-of-others"]), LethalVerdict::Clear);
}

/// The last part of a prompt is not among the features; the limit on parts keeps those of a long list apart.
#[test]
fn parts_beyond_the_limit_are_no_features() {
    let ids: Vec<String> = (0..PART_LIMIT + 1).map(|number| number.to_string()).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let features = SharedParts { pool: POOL, account: None, ids: &ids }.features();
    assert_eq!(features.len(), PART_LIMIT);
    assert!(features.iter().all(|feature| feature.kind == FeatureKind::Part));
}

/// Callers that invent parts must push neither a lethal part nor a lethal request out of the table.
#[test]
fn flood_of_parts_is_bounded_and_evicts_no_lethal_feature() {
    let mut daemon = Daemon::new();
    let lethal = request(0, "c", &[]);
    for number in 0..3 {
        daemon.lethal.record_interruptions(daemon.now, &lethal, &closed(1_000_000 + number));
    }
    for account in ["a", "b", "a", "b"] {
        daemon.terminate(account, &["lethal"]);
        daemon.answer("b", &["other"]);
    }
    daemon.expire_entries();
    for number in 0..3_000 {
        let ids: Vec<String> = (0..PART_LIMIT).map(|id| format!("{number}-{id}")).collect();
        let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
        daemon.next += 1;
        let features = request(daemon.next, "attacker", &ids);
        daemon.lethal.record_interruptions(daemon.now, &features, &closed(number));
    }
    daemon.expire_entries();
    assert!(daemon.lethal.len() <= 1_024, "{}", daemon.lethal.len());
    assert_eq!(daemon.verdict("c", &["lethal"]), LethalVerdict::Refused);
    assert_eq!(daemon.lethal.verdict(daemon.now, &lethal[..1]), LethalVerdict::Refused);
}
