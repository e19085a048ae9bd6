//! Streams that callers take up in the first seconds of a fleet, whose targets have one version and where nothing fails.

#[path = "../../targets/tests/support/caller_events.rs"]
mod caller_events;
#[path = "support/damage_callers.rs"]
mod damage_callers;
#[path = "support/damage_judge.rs"]
mod damage_judge;
#[allow(dead_code)]
#[path = "support/play_counts.rs"]
mod play_counts;
#[path = "../../targets/tests/support/sound_beginning.rs"]
mod sound_beginning;
mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use anyhow::{ensure, Result};
use damage_callers::{AttemptResult, DamageCallers, PlayedStream};
use damage_judge::DamageJudge;
use play_counts::PlayCounts;
use rstest::rstest;
use serde_json::Value;
use support::event_streams::{EventFleet, StreamRoute};

/// Routes whose streams may be taken up, or may not.
const ROUTES: [StreamRoute; 3] = [StreamRoute::Resumed, StreamRoute::Split, StreamRoute::Plain];
const MARKS: [&str; 1] = [""];
/// Streams in progress at the same time, over all daemons.
const CALLERS: usize = 130;
/// Most attempts at which a caller takes up a stream.
const TAKE_UPS: usize = 4;
/// Time in which streams begin.
const TIME: Duration = Duration::from_secs(8);
/// Fewest streams that callers take up.
const MIN_TAKEN_UP: usize = 50;

/// Returns the numbers of refusals that the daemons have logged, by their reasons.
fn refusals(fleet: &EventFleet) -> Result<BTreeMap<String, usize>> {
    let mut counts = BTreeMap::new();
    for index in 0..fleet.deployment.daemons.len() {
        let log = fleet.deployment.log(index)?;
        let lines = log.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
        for line in lines.filter(|line| line["payload"] == "request_refused") {
            let reason = line["kv"]["reason"].as_str().unwrap_or_default().to_string();
            *counts.entry(reason).or_default() += 1;
        }
    }
    Ok(counts)
}

/// Returns how many attempts took up a stream, and how many of them were refused.
fn take_ups(streams: &[PlayedStream]) -> (usize, usize) {
    let mut counts = (0, 0);
    for stream in streams {
        let begun = stream.attempts.iter().skip_while(|attempt| attempt.events == 0).skip(1);
        for attempt in begun {
            counts.0 += 1;
            counts.1 += usize::from(attempt.result == AttemptResult::Refused);
        }
    }
    counts
}

/// Guards against the first streams of a large fleet that only the daemon knows which began them.
#[rstest]
#[case::three(1, 3)]
#[case::twenty_four(1, 24)]
#[actix_rt::test]
async fn first_streams_of_a_large_fleet_are_refused_when_taken_up(
    #[case] seed: u64,
    #[case] daemons: usize,
) -> Result<()> {
    let name = format!("first-streams-{seed}-{daemons}");
    let fleet = EventFleet::start_with_daemons(&name, daemons, |_| Vec::new()).await?;
    let callers = DamageCallers::start(&fleet, &ROUTES, &MARKS, seed, CALLERS, TAKE_UPS);
    tokio::time::sleep(TIME).await;
    ensure!(callers.streams() > 0, "no stream has ended");
    let streams = callers.close().await;
    let counts = PlayCounts::of(&DamageJudge::read(&fleet)?, &streams);
    ensure!(counts.wrong() == 0, "{} streams are wrong: {:#?}", counts.wrong(), counts.samples);
    let ((taken_up, refused), reasons) = (take_ups(&streams), refusals(&fleet)?);
    println!("{} streams, {refused} of {taken_up} refused: {reasons:?}", streams.len());
    ensure!(taken_up >= MIN_TAKEN_UP, "too few streams are taken up: {taken_up}");
    let unknown = reasons.get("stream_version_unknown").copied().unwrap_or_default();
    ensure!(unknown == 0, "{unknown} of {taken_up} streams have an unknown version: {reasons:?}");
    Ok(())
}
