//! Streams that callers take up at a daemon that is or was out of step, while engines of a new version join.
//!
//! Guards against streams that are joined of two versions: a daemon that was cut off or stood still does not know at
//! which version the others have begun a stream.

#[path = "out_of_step_daemons/callers.rs"]
mod callers;
#[path = "out_of_step_daemons/fleet.rs"]
mod fleet;
#[path = "out_of_step_daemons/verdict.rs"]
mod verdict;

use std::time::{Duration, Instant};

use anyhow::Result;
use futures_util::future::join_all;
use rstest::rstest;
use tokio::time::sleep_until;

use callers::{run_caller, CallerPlan};
use fleet::{AffectedDaemon, FirstVersion, OutOfStep, ReleaseFleet};
use verdict::{judge, StreamVerdict};

const STREAMS: u32 = 40;
/// Time between the beginnings of two streams.
const STREAM_INTERVAL: Duration = Duration::from_millis(50);
/// Time from the start of the fault after which the version joins, and streams begin.
const JOINS_AFTER: Duration = Duration::from_millis(300);
/// Time after which streams break off.
const BREAKS_AFTER: Duration = Duration::from_millis(2_400);
/// Time after which the daemon is no longer out of step.
const FAULT_TIME: Duration = Duration::from_millis(3_000);

/// What breaks streams off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BrokenBy {
    /// Engines end, and three of four callers lose their connections.
    Engines,
    /// The daemon at which they began is killed.
    EntryDaemon,
}

/// Returns what each caller does. Of four callers one asks the daemon that is out of step first, one does so when it is
/// back, and two ask the others first.
fn plan_callers(fleet: &ReleaseFleet, broken_by: BrokenBy, since: Instant) -> Vec<CallerPlan> {
    let entry = |index: &usize| fleet.fleet.daemons[*index].callers.clone();
    let in_step: Vec<String> = fleet.in_step().iter().map(entry).collect();
    let survivors = match broken_by {
        BrokenBy::Engines => &in_step[..],
        BrokenBy::EntryDaemon => &in_step[1..],
    };
    let plan = |number: u32| {
        let mut entries = in_step.clone();
        if broken_by == BrokenBy::Engines {
            entries.rotate_left(number as usize % in_step.len());
        }
        let mut take_up_entries = survivors.to_vec();
        let place = if number % 4 < 2 { 0 } else { survivors.len() };
        take_up_entries.insert(place, fleet.out_of_step_entry());
        let is_disconnected = broken_by == BrokenBy::Engines && number % 4 < 3;
        CallerPlan {
            name: format!("s{number}"),
            begin: since + JOINS_AFTER + STREAM_INTERVAL * number,
            entries,
            disconnect: is_disconnected.then_some(since + BREAKS_AFTER),
            take_up: since + if number % 4 == 1 { FAULT_TIME } else { BREAKS_AFTER },
            take_up_entries,
        }
    };
    (0..STREAMS).map(plan).collect()
}

/// Puts a daemon out of step while a version joins and streams break off; returns what the callers got.
async fn play(
    affected: AffectedDaemon,
    fault: OutOfStep,
    first: FirstVersion,
    broken_by: BrokenBy,
) -> Result<StreamVerdict> {
    let name = format!("out-{affected:?}-{fault:?}-{first:?}-{broken_by:?}").to_lowercase();
    let mut fleet = ReleaseFleet::start(&name, affected).await?;
    let since = Instant::now();
    fleet.begin_fault(fault)?;
    let plans = plan_callers(&fleet, broken_by, since);
    plans.iter().for_each(|plan| fleet.pause_in(&plan.name));
    let callers: Vec<_> = plans.into_iter().map(|plan| actix_rt::spawn(run_caller(plan))).collect();
    sleep_until((since + JOINS_AFTER).into()).await;
    fleet.join_second_version(first).await?;
    sleep_until((since + BREAKS_AFTER).into()).await;
    match broken_by {
        BrokenBy::Engines => fleet.terminate_joined_engines().await,
        BrokenBy::EntryDaemon => fleet.kill_entry(),
    }
    sleep_until((since + FAULT_TIME).into()).await;
    fleet.end_fault(fault)?;
    let records: Result<Vec<_>, _> = join_all(callers).await.into_iter().collect();
    let verdict = judge(&fleet, &records?);
    println!("{name}: {verdict:?}");
    Ok(verdict)
}

/// Guards against streams that go on at another version at a daemon that did not see the version join.
#[rstest]
#[actix_rt::test]
async fn streams_are_not_joined_at_a_daemon_out_of_step_while_a_version_joins(
    #[values(AffectedDaemon::Scheduler, AffectedDaemon::Other)] affected: AffectedDaemon,
    #[values(OutOfStep::Stopped, OutOfStep::StoppedThenWithoutStore, OutOfStep::CutOff)]
    fault: OutOfStep,
    #[values(
        (FirstVersion::Stays, BrokenBy::EntryDaemon),
        (FirstVersion::Stays, BrokenBy::Engines),
        (FirstVersion::Leaves, BrokenBy::EntryDaemon),
    )]
    case: (FirstVersion, BrokenBy),
) -> Result<()> {
    let verdict = play(affected, fault, case.0, case.1).await?;
    assert!(verdict.joined.is_empty(), "{} joined: {verdict:#?}", verdict.joined.len());
    assert!(verdict.out_of_order.is_empty(), "{verdict:#?}");
    assert!(verdict.untrue_refusals.is_empty(), "{verdict:#?}");
    assert!(verdict.broken > 0 && verdict.went_on * 2 >= verdict.broken, "{verdict:#?}");
    Ok(())
}

/// Guards against streams that are refused although daemons in step can be asked.
#[rstest]
#[case::scheduler_stopped(AffectedDaemon::Scheduler, OutOfStep::Stopped)]
#[case::scheduler_without_store(AffectedDaemon::Scheduler, OutOfStep::StoppedThenWithoutStore)]
#[case::scheduler_cut_off(AffectedDaemon::Scheduler, OutOfStep::CutOff)]
#[case::another_cut_off(AffectedDaemon::Other, OutOfStep::CutOff)]
#[actix_rt::test]
async fn streams_begin_and_go_on_at_daemons_in_step_while_one_is_out_of_step(
    #[case] affected: AffectedDaemon,
    #[case] fault: OutOfStep,
) -> Result<()> {
    let verdict = play(affected, fault, FirstVersion::Stays, BrokenBy::EntryDaemon).await?;
    let (went_on, begun) = verdict.shares();
    assert!(begun >= 95, "{begun} of 100 began: {verdict:#?}");
    assert!(went_on + 5 >= begun, "{went_on} of 100 went on, {begun} began: {verdict:#?}");
    Ok(())
}

/// Guards against callers who give up a stream at a daemon that is cut off, while others can continue it.
#[rstest]
#[case::the_scheduler(AffectedDaemon::Scheduler)]
#[case::another_daemon(AffectedDaemon::Other)]
#[actix_rt::test]
async fn daemon_that_is_cut_off_does_not_refuse_streams_without_a_retry_after(
    #[case] affected: AffectedDaemon,
) -> Result<()> {
    let verdict =
        play(affected, OutOfStep::CutOff, FirstVersion::Stays, BrokenBy::EntryDaemon).await?;
    let unadvised = &verdict.without_advice;
    assert!(unadvised.is_empty(), "{} of {}: {unadvised:#?}", unadvised.len(), verdict.broken);
    Ok(())
}
