//! Daemons that reach no target, while callers, the store and the other daemons still reach them.
//!
//! Guards against first tries that fail because the daemon that holds the caller's connection has lost its links to all
//! targets: such a daemon refused every request as `connect_failed` for as long as the cut lasted.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use anyhow::Result;
use curlewcleat_standins::deployment::get_text;
use curlewcleat_standins::fleet::{EngineLinkFault, FleetDaemon, FleetDeployment};
use rstest::rstest;

use support::{load, wait_served, CallerResult};

/// Variable in which the system's loader expects additional libraries.
const LOADER_VARIABLE: &str = "LD_PRELOAD";
const ENGINES: usize = 6;
/// Time that an engine takes for a record, or for an event of a stream.
const RECORD_TIME: Duration = Duration::from_millis(5);
const EVENTS: u64 = 3;
/// Time from the start of a cut from which first tries have to be served.
const SERVED_AFTER: Duration = Duration::from_secs(3);
/// Time for which answers are counted.
const MEASURED: Duration = Duration::from_secs(4);
/// Time after the end of a cut within which a daemon uses its own links again.
const BACK_WITHIN: Duration = Duration::from_secs(1);

const ONCE: &str = "/once/open/a";
const AGAIN: &str = "/again/a";
const STREAM: &str = "/plain/stream/a";

async fn ready(name: &str, daemons: usize) -> Result<FleetDeployment> {
    let mut fleet = FleetDeployment::start(name).await?;
    fleet.store_config()?;
    for _ in 0..ENGINES {
        fleet.engine("records", 0, RECORD_TIME).await?;
        fleet.engine("engines", EVENTS, RECORD_TIME).await?;
    }
    fleet.use_engine_links(LOADER_VARIABLE)?;
    fleet.daemons(daemons, "retry_saved = 1000").await?;
    for path in [ONCE, STREAM] {
        wait_served(&fleet, path).await?;
    }
    Ok(fleet)
}

fn set_links(fleet: &FleetDeployment, daemons: &[usize], fault: EngineLinkFault) -> Result<()> {
    let links = fleet.engine_links.as_ref().expect("the links can fail");
    daemons.iter().try_for_each(|daemon| links.set(&format!("vm-{daemon}"), fault))
}

/// Sends requests of each kind to a daemon. Their ids begin with the name of the load.
async fn load_all(
    fleet: &FleetDeployment,
    daemon: usize,
    name: &str,
    time: Duration,
) -> Vec<CallerResult> {
    let callers = &fleet.daemons[daemon].callers;
    let loads = [ONCE, AGAIN, STREAM].map(|path| {
        let entry = vec![(format!("{name}{path}"), callers.clone())];
        actix_rt::spawn(load(entry, path, time))
    });
    let mut results = Vec::new();
    for load in loads {
        results.extend(load.await.expect("the load ends"));
    }
    results
}

/// Returns the attempts that may run once and ran more often.
fn attempts_run_twice(fleet: &FleetDeployment) -> Vec<String> {
    let mut runs = BTreeMap::<String, usize>::new();
    for run in fleet.engines.iter().flat_map(|engine| engine.runs()).filter(|run| run.ran) {
        *runs.entry(run.attempt).or_default() += 1;
    }
    let twice = runs.into_iter().filter(|(attempt, count)| *count > 1 && !attempt.contains(AGAIN));
    twice.map(|(attempt, _)| attempt).filter(|attempt| attempt != "warm").collect()
}

/// Returns the number of connections that a daemon has asked its peers for.
async fn relays_asked(daemon: &FleetDaemon) -> Result<usize> {
    let metrics = get_text(&daemon.operators, "/metrics").await?;
    let asked =
        metrics.lines().filter(|line| line.contains("relays_total") && line.contains("asked"));
    Ok(asked.filter_map(|line| line.rsplit(' ').next()?.parse::<usize>().ok()).sum())
}

/// Returns the share of results that were served, in percent.
fn served_percent(results: &[CallerResult]) -> usize {
    results.iter().filter(|result| result.status == 200).count() * 100 / results.len().max(1)
}

/// Cuts the first daemons from all engines. Their callers have to be served as often as those of the last one, within 5
/// in 100, and no target may run a request twice.
#[rstest]
#[case::silent("cut-silent", 1, EngineLinkFault::Silent)]
#[case::reset("cut-reset", 1, EngineLinkFault::Reset)]
#[case::open_connections_live_on("cut-live", 1, EngineLinkFault::RefuseNew)]
#[case::half_of_the_targets("cut-half", 1, EngineLinkFault::SilentForHalf)]
#[case::all_daemons_but_one("cut-most", 2, EngineLinkFault::Silent)]
#[actix_rt::test]
async fn callers_of_a_daemon_that_reaches_no_target_are_served(
    #[case] name: &str,
    #[case] cut: usize,
    #[case] fault: EngineLinkFault,
) -> Result<()> {
    let fleet = ready(name, cut + 1).await?;
    let cut_daemons: Vec<usize> = (0..cut).collect();
    set_links(&fleet, &cut_daemons, fault)?;
    // Callers send requests from the start of the cut on.
    let before = load_all(&fleet, 0, "before", SERVED_AFTER).await;
    let (at_cut, at_other) = tokio::join!(
        load_all(&fleet, 0, "cut", MEASURED),
        load_all(&fleet, cut, "other", MEASURED)
    );
    let (cut_percent, other_percent) = (served_percent(&at_cut), served_percent(&at_other));
    assert!(other_percent >= 95, "at the other daemon {other_percent} of 100 are served");
    assert!(
        cut_percent + 5 >= other_percent,
        "{cut_percent} of 100 are served at a cut daemon, {other_percent} at the other; {} in the first {SERVED_AFTER:?}",
        served_percent(&before)
    );
    set_links(&fleet, &cut_daemons, EngineLinkFault::None)?;
    tokio::time::sleep(BACK_WITHIN).await;
    let asked = relays_asked(&fleet.daemons[0]).await?;
    let healed = served_percent(&load_all(&fleet, 0, "healed", MEASURED / 2).await);
    assert!(healed >= 95, "{healed} of 100 are served after the cut");
    let asked_after = relays_asked(&fleet.daemons[0]).await?;
    assert_eq!(asked_after, asked, "the daemon's own links are used again");
    assert_eq!(attempts_run_twice(&fleet), Vec::<String>::new());
    Ok(())
}

/// A daemon that starts while it is cut knows no target that it reaches.
#[actix_rt::test]
async fn callers_of_a_daemon_that_starts_in_a_cut_are_served() -> Result<()> {
    let mut fleet = ready("cut-start", 2).await?;
    set_links(&fleet, &[0], EngineLinkFault::Silent)?;
    fleet.restart(0).await?;
    for path in [ONCE, STREAM] {
        wait_served(&fleet, path).await?;
    }
    let served = served_percent(&load_all(&fleet, 0, "started", MEASURED / 2).await);
    assert!(served >= 95, "{served} of 100 are served at the daemon that started in the cut");
    assert_eq!(attempts_run_twice(&fleet), Vec::<String>::new());
    Ok(())
}
