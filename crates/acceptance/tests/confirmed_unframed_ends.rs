//! Ends of unframed streams whose targets live, by what the target says that is asked to confirm them.

#[path = "support/played_answer.rs"]
mod played_answer;
mod support;

use std::cell::Cell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::{ensure, Context, Result};
use curlewcleat_standins::deployment::{get_text, wait_until};
use curlewcleat_standins::fleet::stream_engine::UNFRAMED_MARK;
use curlewcleat_standins::fleet::stream_record::record_begun;
use curlewcleat_standins::fleet::stream_script::{
    HALF_MARK, LATE_MARK, MUTE_MARK, SHORT_ENGINE, SHORT_MARK, STUCK_MARK, UNNUMBERED_MARK,
};
use played_answer::PlayedAnswer;
use rstest::rstest;
use serde_json::Value;
use support::event_streams::{EventFleet, EVENTS};

/// Answers of one test.
const ROUNDS: usize = 3;
/// Streams that end together.
const TOGETHER: usize = 60;
/// Time from the last event of a stream to its end after which callers give it up.
const CALLER_PATIENCE: Duration = Duration::from_secs(2);
/// Number of the longest pauses of a route for which callers wait, if that is longer.
const PATIENCE_PAUSES: u32 = 8;

async fn ready(name: &str) -> Result<(EventFleet, String)> {
    let fleet = EventFleet::start(&format!("review-{name}")).await?;
    let daemon = &fleet.deployment.daemons[0];
    wait_until("ready", || async { get_text(&daemon.operators, "/readyz").await.is_ok() }).await?;
    let entry = daemon.callers.clone();
    Ok((fleet, entry))
}

fn path(mark: &str) -> String {
    format!("/resumed/stream{UNFRAMED_MARK}{mark}/a")
}

/// Guards against streams that end as complete although the target that was asked showed that they go on.
#[rstest]
#[case::within_an_event("half", HALF_MARK)]
#[case::without_a_number("unnumbered", UNNUMBERED_MARK)]
#[case::late("late", LATE_MARK)]
#[actix_rt::test]
async fn stream_that_another_target_begins_to_continue_is_not_ended_as_complete(
    #[case] name: &str,
    #[case] mark: &str,
) -> Result<()> {
    let (_fleet, entry) = ready(name).await?;
    for round in 0..ROUNDS {
        let mut answer =
            PlayedAnswer::begin(&entry, &path(mark), &format!("{name}{round}")).await?;
        let ended = answer.read_to_end().await;
        let events = answer.events().len();
        ensure!(!ended || answer.is_whole_stream(), "round {round}: complete with {events} events");
    }
    Ok(())
}

/// Guards against ends that count as confirmed by themselves while ends are doubted.
#[rstest]
#[case::not_doubted("calm", false)]
#[case::doubted("doubted", true)]
#[actix_rt::test]
async fn stream_that_each_target_closes_early_is_continued_to_its_end(
    #[case] name: &str,
    #[case] is_doubted: bool,
) -> Result<()> {
    let (_fleet, entry) = ready(name).await?;
    for round in 0..ROUNDS {
        if is_doubted {
            let path = path(HALF_MARK);
            PlayedAnswer::begin(&entry, &path, &format!("b{round}")).await?.read_to_end().await;
            let path = format!("/resumed/stream{SHORT_MARK}/a");
            PlayedAnswer::begin(&entry, &path, &format!("c{round}")).await?.read_to_end().await;
        }
        let mut answer =
            PlayedAnswer::begin(&entry, &path(SHORT_MARK), &format!("{name}{round}")).await?;
        let ended = answer.read_to_end().await;
        let events = answer.events().len();
        ensure!(ended && answer.is_whole_stream(), "round {round}: {ended} {events} of {EVENTS}");
    }
    Ok(())
}

/// Guards against sound streams that end late, because the target that was asked does not end its error.
#[actix_rt::test]
async fn sound_stream_ends_in_time_while_another_target_sends_half_an_error() -> Result<()> {
    let (_fleet, entry) = ready("stuck").await?;
    check_sound_end(&entry, STUCK_MARK, CALLER_PATIENCE).await
}

/// Guards against sound streams that end late, because the target that was asked is silent behind its head.
#[actix_rt::test]
async fn sound_stream_ends_in_time_while_another_target_is_silent_behind_its_head() -> Result<()> {
    let (fleet, entry) = ready("mute").await?;
    let route = fleet.deployment.config.routes.iter().find(|route| route.name == "resumed-stream");
    let pause = route.and_then(|route| route.gap_aim_ms).context("no pause limit")?;
    let patience = CALLER_PATIENCE.max(Duration::from_millis(pause as u64) * PATIENCE_PAUSES);
    check_sound_end(&entry, MUTE_MARK, patience).await
}

async fn check_sound_end(entry: &str, mark: &str, patience: Duration) -> Result<()> {
    for round in 0..ROUNDS {
        let mut answer = PlayedAnswer::begin(entry, &path(mark), &format!("s{round}")).await?;
        answer.read_events(EVENTS as usize).await?;
        let latest = answer.latest;
        let ended = answer.read_to_end().await;
        let late = latest.elapsed();
        ensure!(ended && late < patience, "round {round}: {ended} after {late:?}");
    }
    Ok(())
}

/// Guards against sound engines that are ejected since other ones are asked to confirm ends that come together.
#[actix_rt::test]
async fn sound_engines_whose_streams_end_together_are_not_ejected() -> Result<()> {
    let (fleet, entry) = ready("together").await?;
    let ended = Rc::new(Cell::new(false));
    let watch = actix_rt::spawn(ejections(
        fleet.deployment.daemons.iter().map(|daemon| daemon.operators.clone()).collect(),
        Rc::clone(&ended),
    ));
    let path = path("");
    for round in 0..ROUNDS {
        let streams = (0..TOGETHER).map(|index| {
            let (entry, path) = (entry.clone(), path.clone());
            async move {
                let attempt = format!("t{round}x{index}");
                let mut answer = PlayedAnswer::begin(&entry, &path, &attempt).await?;
                let ended = answer.read_to_end().await;
                ensure!(ended && answer.is_whole_stream(), "{} {ended}", answer.status);
                anyhow::Ok(())
            }
        });
        futures_util::future::try_join_all(streams).await?;
    }
    ended.set(true);
    let ejected = watch.await??;
    ensure!(ejected.is_empty(), "ejected: {ejected:?}");
    Ok(())
}

/// Returns the engines that schedulers have ejected by their status.
async fn ejections(operators: Vec<String>, ended: Rc<Cell<bool>>) -> Result<BTreeSet<String>> {
    let mut ejected = BTreeSet::new();
    while !ended.get() {
        for operators in &operators {
            let status: Value = serde_json::from_str(&get_text(operators, "/status").await?)?;
            for pool in status["pools"].as_array().into_iter().flatten() {
                let targets = pool["targets"].as_array().into_iter().flatten();
                let names = targets.filter(|target| target["ejected"] == true);
                ejected.extend(names.map(|target| target["id"].to_string()));
            }
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    Ok(ejected)
}

/// Guards against records that end as complete without their second half although their target lives.
#[actix_rt::test]
async fn record_that_a_living_target_closes_early_is_not_served_as_whole() -> Result<()> {
    let (_fleet, entry) = ready("record").await?;
    let path = format!("/engine-record-again{SHORT_MARK}/a");
    let mut short = 0;
    for round in 0..4 * ROUNDS {
        let mut answer = PlayedAnswer::begin(&entry, &path, &format!("r{round}")).await?;
        let ended = answer.read_to_end().await;
        let is_whole = answer.text.contains("second half");
        println!("{round}: {} {ended} {}", answer.status, answer.text);
        short += usize::from(answer.status == 200 && ended && !is_whole);
    }
    ensure!(short == 0, "{short} of {} records are half", 4 * ROUNDS);
    Ok(())
}

/// Guards against sound records that are held until a slow target, which was asked for the same one, has sent it.
#[actix_rt::test]
async fn sound_record_is_not_held_until_a_slow_target_has_repeated_it() -> Result<()> {
    let (_fleet, entry) = ready("slow-record").await?;
    let path = format!("/engine-record-again{LATE_MARK}/a");
    for round in 0..4 * ROUNDS {
        let (attempt, begun) = (format!("l{round}"), Instant::now());
        let mut answer = PlayedAnswer::begin(&entry, &path, &attempt).await?;
        let ended = answer.read_to_end().await;
        let (took, text) = (begun.elapsed(), answer.text.as_str());
        println!("{round}: {} {ended} {text} after {took:?}", answer.status);
        ensure!(ended && text.contains("second half"), "round {round}: {text:?}");
        let is_slow = text.contains(&format!("by {SHORT_ENGINE},"));
        ensure!(is_slow || took < CALLER_PATIENCE, "round {round}: after {took:?}");
    }
    Ok(())
}

/// Guards against records that run again, because another target is asked for them, although they may run only once.
#[actix_rt::test]
async fn record_that_may_not_be_repeated_runs_once() -> Result<()> {
    let (fleet, entry) = ready("once-record").await?;
    for round in 0..ROUNDS {
        let attempt = format!("o{round}");
        let mut answer = PlayedAnswer::begin(&entry, "/engine-record-once/a", &attempt).await?;
        let ended = answer.read_to_end().await;
        ensure!(ended && answer.text.contains("second half"), "round {round}: {}", answer.text);
        let mut runs = 0;
        for id in &fleet.ids {
            let output = std::fs::read_to_string(fleet.folder.join(format!("{id}.log")))?;
            runs += output.lines().filter(|line| **line == record_begun(&attempt)).count();
        }
        ensure!(runs == 1, "round {round}: {runs} runs");
    }
    Ok(())
}
