//! What the versions of a pool may get, and what a scheduler grants of one that is on trial.

use std::collections::BTreeMap;
use std::time::Duration;

use curlewcleat_core::{RolloutNews, RolloutOrder, RolloutRecord, RolloutStage};
use curlewcleat_sched::{
    PoolVersions, RatePart, RateTurn, RolloutLimits, RolloutSight, RolloutStep, ToldVersion,
    TrialShare, VersionAccess,
};
use rstest::rstest;

const NOW: Duration = Duration::from_secs(100);
const LIMITS: RolloutLimits = RolloutLimits { permille: 50, slack: 25 };
const WHOLE: RatePart = RatePart { reached: 9, all: 9, turn: RateTurn::Leader };

fn told(version: &str) -> ToldVersion {
    Some(version.to_string())
}

fn shown(versions: &[(&str, usize)]) -> BTreeMap<ToldVersion, usize> {
    versions.iter().map(|(version, count)| (told(version), *count)).collect()
}

fn order(version: &str) -> RolloutOrder {
    RolloutOrder {
        pool: "p".to_string(),
        version: version.to_string(),
        time: Some(Duration::from_secs(12)),
    }
}

fn record(version: &str, ended: Option<RolloutStage>, revision: u64) -> RolloutRecord {
    let noted = ended.is_some();
    RolloutRecord { name: "p".to_string(), order: order(version), ended, noted, revision }
}

fn news(version: &str, stage: RolloutStage, revision: u64) -> RolloutNews {
    RolloutNews {
        name: "p".to_string(),
        order: order(version),
        stage,
        revision,
        age: Duration::ZERO,
    }
}

/// Versions of a pool whose targets all have `v1`, with the orders known to be none.
fn in_service() -> PoolVersions {
    let mut versions = PoolVersions::default();
    versions.shown(NOW, &shown(&[("v1", 4)]), Some(NOW));
    versions
}

fn access(versions: &PoolVersions, names: [&str; 2]) -> [VersionAccess; 2] {
    names.map(|name| versions.access(&told(name)))
}

#[test]
fn version_that_comes_later_waits_until_the_orders_are_read_after_it() {
    let mut versions = in_service();
    let both = shown(&[("v1", 4), ("v2", 1)]);
    versions.shown(NOW, &both, Some(NOW));
    assert_eq!(access(&versions, ["v1", "v2"]), [VersionAccess::Open, VersionAccess::Closed]);
    let later = NOW + Duration::from_secs(60);
    versions.shown(later, &both, Some(NOW + Duration::from_millis(500)));
    assert_eq!(
        versions.access(&told("v2")),
        VersionAccess::Closed,
        "the order may have come since"
    );
    versions.shown(later, &both, Some(NOW + Duration::from_secs(2)));
    assert_eq!(versions.access(&told("v2")), VersionAccess::Open);
}

#[test]
fn version_without_any_other_is_in_service_at_once() {
    let mut versions = in_service();
    versions.shown(NOW, &shown(&[("v2", 4)]), None);
    assert_eq!(versions.access(&told("v2")), VersionAccess::Open);
}

/// A daemon that has begun anew, and knows targets of two versions but not the orders.
#[test]
fn version_of_most_targets_is_in_service_while_the_orders_are_unknown() {
    let mut versions = PoolVersions::default();
    versions.shown(NOW, &shown(&[("v1", 4), ("v2", 3)]), None);
    assert_eq!(access(&versions, ["v1", "v2"]), [VersionAccess::Open, VersionAccess::Closed]);
}

#[rstest]
#[case::trial(RolloutStage::Trial, [VersionAccess::Open, VersionAccess::Trial], [false, false])]
#[case::moving(RolloutStage::Move, [VersionAccess::Closed, VersionAccess::Open], [true, false])]
#[case::rolled_back(RolloutStage::RolledBack, [VersionAccess::Open, VersionAccess::Closed], [false, true])]
#[case::completed(RolloutStage::Completed, [VersionAccess::Closed, VersionAccess::Open], [true, false])]
fn stages(
    #[case] stage: RolloutStage,
    #[case] expected: [VersionAccess; 2],
    #[case] shut: [bool; 2],
) {
    let mut versions = in_service();
    versions.order_told(NOW, &news("v2", stage, 3));
    versions.shown(NOW, &shown(&[("v1", 4), ("v2", 4)]), Some(NOW));
    assert_eq!(access(&versions, ["v1", "v2"]), expected);
    assert_eq!(["v1", "v2"].map(|name| versions.is_shut(&told(name))), shut);
}

/// What peers and the platform tell comes in any order; a stage never goes back.
#[test]
fn stage_never_goes_back() {
    let mut versions = in_service();
    versions.order_told(NOW, &news("v2", RolloutStage::RolledBack, 3));
    versions.order_told(NOW, &news("v2", RolloutStage::Move, 4));
    versions.order_shown(NOW, &record("v2", None, 5));
    assert_eq!(versions.access(&told("v2")), VersionAccess::Closed);
    // The platform has taken that it is completed, before the word that sent it back.
    versions.order_shown(NOW, &record("v2", Some(RolloutStage::Completed), 6));
    versions.order_told(NOW, &news("v2", RolloutStage::RolledBack, 7));
    assert_eq!(access(&versions, ["v1", "v2"]), [VersionAccess::Closed, VersionAccess::Open]);
}

/// Once the platform may have taken that the version is completed, the targets before it may stop at any moment. They were used
/// again as soon as the answers of the version spoke against it, and were ended under their requests by the write on its way.
#[test]
fn version_that_may_be_completed_is_sent_back_by_the_platforms_word_alone() {
    let mut versions = in_service();
    versions.order_shown(NOW, &record("v2", None, 3));
    versions.order_told(NOW, &news("v2", RolloutStage::Move, 3));
    let later = NOW + Duration::from_secs(5);
    let sight = RolloutSight { targets: 4, others: 4, ..RolloutSight::default() };
    let rollout = versions.rollout_mut().expect("an order");
    assert_eq!(rollout.step(later, &sight), Some(RolloutStep::Write(RolloutStage::Completed)));
    versions.order_told(later, &news("v2", RolloutStage::RolledBack, 3));
    assert_eq!(access(&versions, ["v1", "v2"]), [VersionAccess::Closed, VersionAccess::Open]);
    let rollout = versions.rollout_mut().expect("an order");
    assert_eq!(rollout.step(later, &sight), Some(RolloutStep::Write(RolloutStage::RolledBack)));
    versions.order_shown(later, &record("v2", Some(RolloutStage::RolledBack), 4));
    assert_eq!(access(&versions, ["v1", "v2"]), [VersionAccess::Open, VersionAccess::Closed]);
}

#[test]
fn order_that_is_replaced_closes_its_version() {
    let mut versions = in_service();
    versions.order_shown(NOW, &record("v2", None, 3));
    versions.order_shown(NOW, &record("v3", None, 4));
    assert_eq!(access(&versions, ["v2", "v3"]), [VersionAccess::Closed, VersionAccess::Trial]);
    assert!(versions.is_shut(&told("v2")));
    // An older list says nothing any more.
    versions.order_shown(NOW, &record("v2", None, 3));
    assert!(!versions.order_absent(3));
    assert_eq!(versions.access(&told("v3")), VersionAccess::Trial);
}

#[test]
fn version_that_was_sent_back_may_be_ordered_again() {
    let mut versions = in_service();
    versions.order_shown(NOW, &record("v2", Some(RolloutStage::RolledBack), 3));
    assert!(versions.is_shut(&told("v2")));
    assert!(versions.order_absent(4));
    versions.order_shown(NOW, &record("v2", None, 5));
    assert_eq!(versions.access(&told("v2")), VersionAccess::Trial);
}

fn granted(share: &mut TrialShare, requests: u64, part: RatePart) {
    for _ in 0..requests {
        let of_version = share.admits(0, part);
        share.note(0, of_version);
    }
}

#[rstest]
#[case::since_the_order(true, WHOLE, 75)]
#[case::one_that_came_later(false, WHOLE, 50)]
#[case::of_a_third_of_the_daemons(true, RatePart { reached: 3, ..WHOLE }, 25)]
#[case::out_of_turn(true, RatePart { turn: RateTurn::Deputy, ..WHOLE }, 0)]
fn part_of_a_version_on_trial(
    #[case] is_first: bool,
    #[case] part: RatePart,
    #[case] expected: u64,
) {
    let mut share = TrialShare::new(LIMITS, is_first);
    granted(&mut share, 1_000, part);
    // What is granted now is not among the requests that count for it.
    assert!((expected.saturating_sub(1)..=expected).contains(&share.tried()), "{}", share.tried());
}

/// Requests of one urgency come twenty times as often; the others are tried too.
#[test]
fn each_urgency_is_tried() {
    let mut share = TrialShare::new(LIMITS, false);
    for number in 0..2_000u64 {
        let urgency = u8::from(number % 20 == 0);
        let of_version = share.admits(urgency, WHOLE);
        share.note(urgency, of_version);
    }
    assert!(share.had(1) >= 40, "{} of {}", share.had(1), share.tried());
    assert!(share.tried() <= 100);
}
