//! Which requests the versions of a pool may get, and what a scheduler grants of a version on trial.

use std::collections::BTreeMap;
use std::time::Duration;

use curlewcleat_core::{RolloutOrder, RolloutRecord, RolloutReport, RolloutStage};
use curlewcleat_sched::{
    PoolVersions, RateRole, RateShare, ReportedVersion, RolloutLimits, RolloutStep, RolloutView,
    TrialShare, VersionAccess,
};
use rstest::rstest;

const NOW: Duration = Duration::from_secs(100);
const LIMITS: RolloutLimits = RolloutLimits { permille: 50, slack: 25 };
const WHOLE: RateShare = RateShare { reached: 9, all: 9, role: RateRole::Leader };

fn reported(version: &str) -> ReportedVersion {
    Some(version.to_string())
}

fn target_counts(versions: &[(&str, usize)]) -> BTreeMap<ReportedVersion, usize> {
    versions.iter().map(|(version, count)| (reported(version), *count)).collect()
}

fn order(version: &str) -> RolloutOrder {
    RolloutOrder {
        pool: "p".to_string(),
        version: version.to_string(),
        time: Some(Duration::from_secs(12)),
    }
}

fn record(version: &str, ended: Option<RolloutStage>, revision: u64) -> RolloutRecord {
    let has_status = ended.is_some();
    RolloutRecord { name: "p".to_string(), order: order(version), ended, has_status, revision }
}

fn report(version: &str, stage: RolloutStage, revision: u64) -> RolloutReport {
    RolloutReport {
        name: "p".to_string(),
        order: order(version),
        stage,
        revision,
        age: Duration::ZERO,
    }
}

/// Returns the versions of a pool whose targets all have `v1`, with no order known.
fn in_service() -> PoolVersions {
    let mut versions = PoolVersions::default();
    versions.update_reported(NOW, &target_counts(&[("v1", 4)]), Some(NOW));
    versions
}

fn access(versions: &PoolVersions, names: [&str; 2]) -> [VersionAccess; 2] {
    names.map(|name| versions.access(&reported(name)))
}

#[test]
fn new_version_is_held_until_the_orders_are_read_after_it() {
    let mut versions = in_service();
    let both = target_counts(&[("v1", 4), ("v2", 1)]);
    versions.update_reported(NOW, &both, Some(NOW));
    assert_eq!(access(&versions, ["v1", "v2"]), [VersionAccess::Open, VersionAccess::Closed]);
    let later = NOW + Duration::from_secs(60);
    versions.update_reported(later, &both, Some(NOW + Duration::from_millis(500)));
    assert_eq!(
        versions.access(&reported("v2")),
        VersionAccess::Closed,
        "the order may have been created since"
    );
    versions.update_reported(later, &both, Some(NOW + Duration::from_secs(2)));
    assert_eq!(versions.access(&reported("v2")), VersionAccess::Open);
}

#[test]
fn only_version_is_in_service_at_once() {
    let mut versions = in_service();
    versions.update_reported(NOW, &target_counts(&[("v2", 4)]), None);
    assert_eq!(versions.access(&reported("v2")), VersionAccess::Open);
}

/// A restarted daemon that knows targets of two versions but has not read the orders.
#[test]
fn version_of_most_targets_is_in_service_until_the_orders_are_read() {
    let mut versions = PoolVersions::default();
    versions.update_reported(NOW, &target_counts(&[("v1", 4), ("v2", 3)]), None);
    assert_eq!(access(&versions, ["v1", "v2"]), [VersionAccess::Open, VersionAccess::Closed]);
}

#[rstest]
#[case::trial(RolloutStage::Trial, [VersionAccess::Open, VersionAccess::Trial], [false, false])]
#[case::moving(RolloutStage::Move, [VersionAccess::Closed, VersionAccess::Open], [true, false])]
#[case::rolled_back(RolloutStage::RolledBack, [VersionAccess::Open, VersionAccess::Closed], [false, true])]
#[case::completed(RolloutStage::Completed, [VersionAccess::Closed, VersionAccess::Open], [true, false])]
fn access_follows_the_stage_of_the_order(
    #[case] stage: RolloutStage,
    #[case] expected: [VersionAccess; 2],
    #[case] blocked: [bool; 2],
) {
    let mut versions = in_service();
    versions.merge_report(NOW, &report("v2", stage, 3));
    versions.update_reported(NOW, &target_counts(&[("v1", 4), ("v2", 4)]), Some(NOW));
    assert_eq!(access(&versions, ["v1", "v2"]), expected);
    assert_eq!(["v1", "v2"].map(|name| versions.is_blocked(&reported(name))), blocked);
}

/// Reports of peers and of the platform arrive in any order; a final stage must not be left.
#[test]
fn late_reports_do_not_reverse_a_final_stage() {
    let mut versions = in_service();
    versions.merge_report(NOW, &report("v2", RolloutStage::RolledBack, 3));
    versions.merge_report(NOW, &report("v2", RolloutStage::Move, 4));
    versions.merge_record(NOW, &record("v2", None, 5));
    assert_eq!(versions.access(&reported("v2")), VersionAccess::Closed);
    // The platform stored that the version is completed before it received the rollback.
    versions.merge_record(NOW, &record("v2", Some(RolloutStage::Completed), 6));
    versions.merge_report(NOW, &report("v2", RolloutStage::RolledBack, 7));
    assert_eq!(access(&versions, ["v1", "v2"]), [VersionAccess::Closed, VersionAccess::Open]);
}

/// Once the platform may have stored that the version is completed, the targets of the previous version may stop at any
/// moment. When the answers then showed a fault of the new version, those targets got requests again at once, and the
/// pending write terminated them while they ran these.
#[test]
fn version_that_may_be_completed_is_rolled_back_only_by_the_platform() {
    let mut versions = in_service();
    versions.merge_record(NOW, &record("v2", None, 3));
    versions.merge_report(NOW, &report("v2", RolloutStage::Move, 3));
    let later = NOW + Duration::from_secs(5);
    let view = RolloutView { targets: 4, others: 4, ..RolloutView::default() };
    let rollout = versions.rollout_mut().expect("an order");
    assert_eq!(rollout.step(later, &view), Some(RolloutStep::Write(RolloutStage::Completed)));
    versions.merge_report(later, &report("v2", RolloutStage::RolledBack, 3));
    assert_eq!(access(&versions, ["v1", "v2"]), [VersionAccess::Closed, VersionAccess::Open]);
    let rollout = versions.rollout_mut().expect("an order");
    assert_eq!(rollout.step(later, &view), Some(RolloutStep::Write(RolloutStage::RolledBack)));
    versions.merge_record(later, &record("v2", Some(RolloutStage::RolledBack), 4));
    assert_eq!(access(&versions, ["v1", "v2"]), [VersionAccess::Open, VersionAccess::Closed]);
}

#[test]
fn replaced_order_closes_its_version() {
    let mut versions = in_service();
    versions.merge_record(NOW, &record("v2", None, 3));
    versions.merge_record(NOW, &record("v3", None, 4));
    assert_eq!(access(&versions, ["v2", "v3"]), [VersionAccess::Closed, VersionAccess::Trial]);
    assert!(versions.is_blocked(&reported("v2")));
    // An older list has no effect.
    versions.merge_record(NOW, &record("v2", None, 3));
    assert!(!versions.remove_missing_order(3));
    assert_eq!(versions.access(&reported("v3")), VersionAccess::Trial);
}

#[test]
fn rolled_back_version_may_be_ordered_again() {
    let mut versions = in_service();
    versions.merge_record(NOW, &record("v2", Some(RolloutStage::RolledBack), 3));
    assert!(versions.is_blocked(&reported("v2")));
    assert!(versions.remove_missing_order(4));
    versions.merge_record(NOW, &record("v2", None, 5));
    assert_eq!(versions.access(&reported("v2")), VersionAccess::Trial);
}

fn grant_requests(share: &mut TrialShare, requests: u64, share_of_daemons: RateShare) {
    for _ in 0..requests {
        let of_version = share.admits(0, share_of_daemons);
        share.record(0, of_version);
    }
}

#[rstest]
#[case::since_the_order(true, WHOLE, 75)]
#[case::later_scheduler(false, WHOLE, 50)]
#[case::of_a_third_of_the_daemons(true, RateShare { reached: 3, ..WHOLE }, 25)]
#[case::not_first_in_order(true, RateShare { role: RateRole::Deputy, ..WHOLE }, 0)]
fn trial_gets_its_share_and_no_more(
    #[case] is_first: bool,
    #[case] share_of_daemons: RateShare,
    #[case] expected: u64,
) {
    let mut share = TrialShare::new(LIMITS, is_first);
    grant_requests(&mut share, 1_000, share_of_daemons);
    // A request that is granted now is not yet among the requests that its share is taken of.
    assert!(
        (expected.saturating_sub(1)..=expected).contains(&share.granted_on_trial()),
        "{}",
        share.granted_on_trial()
    );
}

/// Requests of one urgency are twenty times as frequent; the other must be tried too.
#[test]
fn rare_urgency_is_tried_too() {
    let mut share = TrialShare::new(LIMITS, false);
    for number in 0..2_000u64 {
        let urgency = u8::from(number % 20 == 0);
        let of_version = share.admits(urgency, WHOLE);
        share.record(urgency, of_version);
    }
    assert!(
        share.granted_to_urgency(1) >= 40,
        "{} of {}",
        share.granted_to_urgency(1),
        share.granted_on_trial()
    );
    assert!(share.granted_on_trial() <= 100);
}
