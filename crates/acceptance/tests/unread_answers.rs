//! Streams whose callers read slowly, or whose daemon stands still, before engines that cut off an answer that is left
//! unread. Every event is judged at the callers.

mod support;
#[path = "support/unread_callers.rs"]
mod unread_callers;

use std::time::Duration;

use anyhow::{ensure, Result};
use curlewcleat_standins::deployment::{get_text, wait_until};
use curlewcleat_standins::fleet::stream_engine::{MEASURED_MARK, UNFRAMED_MARK};
use curlewcleat_standins::fleet::stream_unread::{
    UNREAD_CLOSED_MARK, UNREAD_LINE, UNREAD_RESET_MARK,
};
use futures_util::future::join_all;
use support::event_streams::{EventFleet, StreamRoute};
use unread_callers::{ReadPace, UnreadAnswer};

/// Memory of a daemon's VM, which bounds what waits for a caller.
const VM_SETTINGS: &str = "memory_limit = 16MB\n";
/// Time that callers state.
const TIME_LEFT: Duration = Duration::from_secs(20);
/// Events of a stream, of some four kilobytes each: more than may wait between an engine and a caller.
const EVENTS: u64 = 300;
/// Reads of which each lets the daemon go on, but not the engine.
const fn trickle(interval_ms: u64) -> ReadPace {
    ReadPace::Parts(8 << 10, Duration::from_millis(interval_ms), Duration::from_secs(8))
}

const PART_A_SECOND: ReadPace =
    ReadPace::Parts(16 << 10, Duration::from_secs(1), Duration::from_secs(5));
/// Length of an attempt id, which each event of its stream repeats.
const ATTEMPT_LENGTH: usize = 4_000;
const ROUTES: [StreamRoute; 2] = [StreamRoute::Resumed, StreamRoute::Plain];
const FRAMINGS: [&str; 3] = [UNFRAMED_MARK, MEASURED_MARK, ""];
const CUTS: [&str; 2] = [UNREAD_CLOSED_MARK, UNREAD_RESET_MARK];
/// Time for which a daemon stands still, and time after the requests until it does.
const STANDSTILL: Duration = Duration::from_secs(3);
const STANDSTILL_AFTER: Duration = Duration::from_millis(500);

async fn ready(name: &str) -> Result<EventFleet> {
    let fleet = EventFleet::start_on_vms(name, VM_SETTINGS, TIME_LEFT).await?;
    for daemon in &fleet.deployment.daemons {
        wait_until("ready", || async { get_text(&daemon.operators, "/readyz").await.is_ok() })
            .await?;
    }
    // The changed configuration arrives.
    tokio::time::sleep(Duration::from_secs(1)).await;
    Ok(fleet)
}

/// Returns the paths of all kinds of streams.
fn paths() -> Vec<String> {
    let framed = FRAMINGS.iter().flat_map(|framing| CUTS.map(|cut| format!("{framing}{cut}")));
    let marks: Vec<String> = framed.collect();
    let prefixes = ROUTES.iter().map(|route| route.prefix().trim_end_matches('/'));
    let path = |prefix, mark: &String| format!("{prefix}{mark}/events-{EVENTS}/a");
    prefixes.flat_map(|prefix| marks.iter().map(move |mark| path(prefix, mark))).collect()
}

/// Gets a stream of each kind at each of these paces from the first daemons in turn, and judges it; returns the faults.
async fn play(fleet: &EventFleet, daemons: usize, paces: &[ReadPace]) -> Vec<String> {
    let streams = paces.iter().flat_map(|pace| paths().into_iter().map(move |path| (*pace, path)));
    let played = streams.enumerate().map(|(number, (pace, path))| async move {
        let entry = &fleet.deployment.daemons[number % daemons].callers;
        let attempt = format!("{number:0ATTEMPT_LENGTH$}");
        let answer = UnreadAnswer::get(entry, &path, &attempt, TIME_LEFT, pace).await;
        let outcome = answer.as_ref().map(|answer| {
            (answer.status, answer.is_complete, answer.events.len() as u64 == EVENTS)
        });
        println!("{pace:?} {path}: {outcome:?}");
        let answer = answer.ok().filter(|answer| answer.status == 200)?;
        answer.check(&attempt, EVENTS).err().map(|fault| format!("{pace:?} {path}: {fault}"))
    });
    join_all(played).await.into_iter().flatten().collect()
}

/// Returns the number of answers that engines have cut off.
fn count_cuts(fleet: &EventFleet) -> Result<usize> {
    let mut count = 0;
    for id in &fleet.ids {
        let output = std::fs::read_to_string(fleet.folder.join(format!("{id}.log")))?;
        count += output.lines().filter(|line| line.starts_with(UNREAD_LINE)).count();
    }
    Ok(count)
}

fn check(fleet: &EventFleet, faults: &[String]) -> Result<()> {
    let cuts = count_cuts(fleet)?;
    println!("{cuts} answers cut off, {} faults", faults.len());
    ensure!(faults.is_empty(), "{faults:#?}");
    ensure!(cuts > 0, "no engine cut off an answer");
    Ok(())
}

/// Guards against answers that end as complete where their target cut them off because the daemon left them unread.
#[actix_rt::test]
async fn streams_of_slow_callers_do_not_end_as_complete_without_their_last_events() -> Result<()> {
    let fleet = ready("unread-slow").await?;
    let paces = [
        trickle(250),
        trickle(300),
        trickle(350),
        PART_A_SECOND,
        ReadPace::Pause(Duration::from_secs(1)),
        ReadPace::Pause(Duration::from_millis(1_900)),
        ReadPace::Pause(Duration::from_secs(4)),
    ];
    let faults = play(&fleet, fleet.deployment.daemons.len(), &paces).await;
    check(&fleet, &faults)
}

/// Guards against the same where the daemon itself stood still.
#[actix_rt::test]
async fn streams_of_a_daemon_that_stood_still_do_not_end_as_complete_without_their_last_events(
) -> Result<()> {
    let fleet = ready("unread-standstill").await?;
    let daemon = &fleet.deployment.daemons[0].process;
    let standstill = async {
        tokio::time::sleep(STANDSTILL_AFTER).await;
        daemon.signal("STOP")?;
        tokio::time::sleep(STANDSTILL).await;
        daemon.signal("CONT")
    };
    let (faults, stood_still) =
        futures_util::future::join(play(&fleet, 1, &[ReadPace::Quick]), standstill).await;
    stood_still?;
    check(&fleet, &faults)
}
