//! Runs in which an engine joins after daemons stood still.

use std::time::Duration;

use curlewcleat_soak::{
    run_soak, ExtraKind, FaultStep, JoinKind, SoakFault, SoakOptions, WEAK_PERCENT,
};
use curlewcleat_standins::deployment::create_temp_folder;
use rstest::rstest;

const DAEMONS: usize = 3;

/// Guards against new streams that wait for the one engine in whose streams no daemon stood still.
#[rstest]
#[case::none_stood_still(0)]
#[case::whole_fleet_stood_still(DAEMONS)]
fn engines_are_granted_after_daemons_stood_still_in_their_streams(#[case] daemons: usize) {
    let step = |at, time, fault| FaultStep {
        at: Duration::from_millis(at),
        time: Duration::from_millis(time),
        fault,
    };
    let freezes = (0..daemons).map(|daemon| step(3_000, 600, SoakFault::Freeze(daemon)));
    let joins = step(4_500, 100, SoakFault::Join(JoinKind::Beside, 1));
    let options = SoakOptions {
        seed: 1,
        daemons: DAEMONS,
        engines: 3,
        callers: 80,
        time: Duration::from_secs(5),
        planned_only: false,
        routes: 0,
        link_mbps: None,
        extra: Some(ExtraKind::Steps),
        weak_percent: WEAK_PERCENT,
        loader_variable: None,
        script: Some(freezes.chain([joins]).collect()),
        folder: create_temp_folder(&format!("soak-late-{daemons}")).expect("a folder"),
    };
    let report = actix_rt::System::new().block_on(run_soak(options)).expect("a run");
    println!("{:?} {:?}", report.outcomes, report.streams);
    assert!(report.violations.is_empty(), "{report:#?}");
}
