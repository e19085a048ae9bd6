//! Runs with a fleet of weak VMs.

use std::time::Duration;

use curlewcleat_soak::{
    plan, run_soak, with_extra, ExtraKind, FaultStep, OutOfStep, PlanOptions, SoakFault,
    SoakOptions, WEAK_PERCENT,
};
use curlewcleat_standins::deployment::create_temp_folder;
use rstest::rstest;

/// Streams without which a run shows nothing.
const MIN_TAKEN_UP: usize = 20;

/// Guards against streams that are joined, or lack events, or end early, or bring events twice, on daemons that stand
/// still all the time.
#[rstest]
#[case::seed_21(21)]
#[case::seed_22(22)]
fn streams_are_whole_and_of_one_version_on_a_fleet_of_weak_vms(#[case] seed: u64) {
    let options = SoakOptions {
        seed,
        daemons: 12,
        engines: 4,
        callers: 60,
        time: Duration::from_secs(10),
        planned_only: false,
        routes: 0,
        link_mbps: Some(10),
        extra: Some(ExtraKind::WeakVms),
        weak_percent: WEAK_PERCENT,
        loader_variable: None,
        script: None,
        folder: create_temp_folder(&format!("soak-weak-{seed}")).expect("a folder"),
    };
    let report = actix_rt::System::new().block_on(run_soak(options)).expect("a run");
    assert!(report.violations.is_empty(), "{report:#?}");
    assert!(report.streams.taken_up >= MIN_TAKEN_UP, "{:?}", report.streams);
    println!("seed {seed}: {:?}", report.streams);
}

/// Guards against runs that show nothing: versions have to join while the store is slow or out of reach for a part of
/// the daemons.
#[test]
fn versions_join_while_a_part_of_the_daemons_has_trouble_with_the_store() {
    let options =
        PlanOptions { daemons: 12, engines: 8, time: Duration::from_secs(10), planned_only: false };
    let has_trouble = |step: &&FaultStep| match step.fault {
        SoakFault::SlowStore(group, _)
        | SoakFault::OutOfStep(group, OutOfStep::CutFromStore(_)) => group.count == 4,
        _ => false,
    };
    for seed in 0..20 {
        let steps = with_extra(plan(seed, &options), ExtraKind::WeakVms, seed, &options);
        let troubles: Vec<_> =
            steps.iter().filter(has_trouble).map(|step| step.at..step.at + step.time).collect();
        let joins = steps.iter().filter(|step| matches!(step.fault, SoakFault::Join(..)));
        let mut meanwhile = joins.filter(|step| troubles.iter().any(|it| it.contains(&step.at)));
        assert!(meanwhile.next().is_some(), "seed {seed}: {steps:#?}");
        assert!(steps.iter().all(|step| step.at + step.time <= options.time), "seed {seed}");
    }
}
