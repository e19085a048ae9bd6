//! A run in which connections to a frozen daemon stall just before it runs again.

use std::time::Duration;

use curlewcleat_soak::{
    run_soak, FaultStep, SoakFault, SoakOptions, StalledConnections, WEAK_PERCENT,
};
use curlewcleat_standins::deployment::create_temp_folder;

const FROZEN: usize = 1;
/// Duration of a freeze: longer than the time for which heartbeats of peers count as due.
const FREEZE_MS: u64 = 2_400;
/// Times of the stalls, from the start of a freeze: before frames wait for the daemon, and so shortly before it runs
/// again that its peers do not redial in between.
const STALLS_MS: [u64; 2] = [10, FREEZE_MS - 15];
/// Starts of the freezes.
const STARTS_MS: [u64; 2] = [1_000, 5_030];

/// Guards against a daemon that hears some of its peers no more for the rest of the run, while they hear it.
#[test]
fn daemon_hears_its_peers_after_freezes_beside_stalls() {
    let step = |at, time, fault| FaultStep {
        at: Duration::from_millis(at),
        time: Duration::from_millis(time),
        fault,
    };
    let stall = SoakFault::StallConnections(StalledConnections::Peers(FROZEN));
    let steps = STARTS_MS.iter().flat_map(|start| {
        let freeze = step(*start, FREEZE_MS, SoakFault::Freeze(FROZEN));
        std::iter::once(freeze).chain(STALLS_MS.map(|after| step(start + after, 0, stall)))
    });
    let options = SoakOptions {
        seed: 1,
        daemons: 6,
        engines: 2,
        callers: 6,
        time: Duration::from_secs(8),
        planned_only: false,
        routes: 0,
        link_mbps: None,
        extra: None,
        weak_percent: WEAK_PERCENT,
        loader_variable: None,
        script: Some(steps.collect()),
        folder: create_temp_folder("frozen").expect("a folder"),
    };
    let report = actix_rt::System::new().block_on(run_soak(options)).expect("a run");
    assert!(report.violations.is_empty(), "{report:#?}");
}
