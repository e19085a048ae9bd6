//! Streams of several lengths and framings beside two troubles at a time: engines and daemons, processes of their own,
//! that are killed, stand still, leave and are replaced, changes of the configuration, and releases.
//!
//! Every event is judged at the callers. Run the ignored test with `PAIR_SEEDS` (`11..16`) for other plays, and with
//! `PAIR_COUNT` for this many pairs of each seed.

#[path = "../../targets/tests/support/caller_events.rs"]
mod caller_events;
#[path = "support/damage_callers.rs"]
mod damage_callers;
#[path = "support/damage_judge.rs"]
mod damage_judge;
#[path = "support/paired_troubles.rs"]
mod paired_troubles;
#[path = "support/play_counts.rs"]
mod play_counts;
#[path = "support/process_troubles.rs"]
mod process_troubles;
#[path = "../../targets/tests/support/sound_beginning.rs"]
mod sound_beginning;
mod support;
#[path = "support/trouble_kinds.rs"]
mod trouble_kinds;

use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::time::Instant;

use anyhow::{ensure, Context, Result};
use caller_events::CallerEvent;
use damage_callers::{AttemptResult, PlayedAttempt, PlayedStream};
use damage_judge::{DamageJudge, StreamFlaw, StreamOutcome};
use paired_troubles::{all_pairs, pairs_with_damage, PairCounts, PairPlay, TroublePair, ROUTES};
use rstest::rstest;
use support::event_streams::{StreamRoute, SERVICES};
use trouble_kinds::TroubleKind;

/// Pairs of a short play.
const SHORT_PAIRS: usize = 6;
/// Seeds by hand, unless `PAIR_SEEDS` states others.
const SEEDS: &str = "11..16";

fn check(counts: &PairCounts, pairs: RangeInclusive<usize>) -> Result<()> {
    println!("{counts}");
    let all = &counts.all;
    ensure!(all.wrong() == 0, "{} streams are wrong: {:#?}", all.wrong(), all.samples);
    let played = counts.by_pair.len();
    ensure!(pairs.contains(&played), "{played} pairs were played");
    let without = counts.by_pair.iter().find(|(_, streams)| streams.streams == 0);
    ensure!(without.is_none(), "no stream was in progress: {without:?}");
    ensure!(all.taken_up > 0 && all.moved > 0, "no stream met a trouble: {counts}");
    Ok(())
}

fn play(seed: u64, among: Vec<TroublePair>, pairs: usize) -> PairPlay {
    PairPlay { seed, routes: ROUTES.to_vec(), among, pairs }
}

/// Guards against streams that reach their callers out of order or complete too early where two troubles overlap.
#[rstest]
#[case::seed_1(1)]
#[case::seed_2(2)]
#[actix_rt::test]
async fn streams_beside_paired_troubles_are_whole_or_visibly_cut(#[case] seed: u64) -> Result<()> {
    check(&play(seed, all_pairs(), SHORT_PAIRS).run().await?, SHORT_PAIRS..=SHORT_PAIRS)
}

/// Troubles behind which daemons know no form of the streams of some targets.
const NEW_SOURCES: [TroubleKind; 3] =
    [TroubleKind::Release, TroubleKind::DaemonKill, TroubleKind::DaemonLeave];
/// Times that each of them is played.
const NEW_SOURCE_PLAYS: usize = 3;
/// Fewest damaged answers beside them.
const MIN_DAMAGED: usize = 10;

/// Guards against damaged events that count as sound at a daemon that has just started, or of a version that is new.
#[rstest]
#[case::seed_1(1)]
#[case::seed_2(2)]
#[actix_rt::test]
async fn damaged_events_of_an_unknown_form_are_not_passed_on(#[case] seed: u64) -> Result<()> {
    let among = pairs_with_damage(NEW_SOURCES.repeat(NEW_SOURCE_PLAYS));
    let (pairs, routes) = (among.len(), vec![StreamRoute::Resumed, StreamRoute::Split]);
    let counts = PairPlay { seed, routes, among, pairs }.run().await?;
    let damaged = counts.all.damaged;
    ensure!(damaged >= MIN_DAMAGED, "{damaged} damaged answers: {counts}");
    check(&counts, NEW_SOURCES.len()..=NEW_SOURCES.len())
}

/// Returns the events of a stream that an engine made up to a number, and another one behind it.
fn events_of(engines: [&str; 2], moved_after: usize, count: usize) -> Vec<CallerEvent> {
    let event = |number: usize| {
        let engine = engines[usize::from(number > moved_after)];
        let data = format!("c0-0 {} {engine}#1 {number} end", SERVICES[0]);
        CallerEvent { id: Some(number.to_string()), data }
    };
    (1..=count).map(event).collect()
}

/// Guards against a judge that takes a stream out of order for a sound one.
#[rstest]
#[case::sound(StreamRoute::Resumed, events_of(["e-0", "e-1"], 20, 55), 2, StreamOutcome::Whole)]
#[case::other_version(
    StreamRoute::Resumed,
    events_of(["e-0", "e-2"], 20, 55),
    2,
    StreamOutcome::Wrong(StreamFlaw::OtherVersion)
)]
#[case::run_twice(
    StreamRoute::Plain,
    events_of(["e-0", "e-0"], 55, 55),
    2,
    StreamOutcome::Wrong(StreamFlaw::RunTwice)
)]
#[case::two_runs(
    StreamRoute::Plain,
    events_of(["e-0", "e-1"], 20, 55),
    1,
    StreamOutcome::Wrong(StreamFlaw::Mixed)
)]
#[case::complete_too_early(
    StreamRoute::Resumed,
    events_of(["e-0", "e-1"], 20, 54),
    2,
    StreamOutcome::Wrong(StreamFlaw::CompleteTooEarly)
)]
fn judge_finds_streams_out_of_order(
    #[case] route: StreamRoute,
    #[case] events: Vec<CallerEvent>,
    #[case] runs: usize,
    #[case] expected: StreamOutcome,
) {
    let versions = [("e-0", "v1"), ("e-1", "v1"), ("e-2", "v2")];
    let judge = DamageJudge {
        begun: BTreeMap::from([("c0-0".to_string(), runs)]),
        versions: versions.map(|(id, version)| (id.to_string(), version.to_string())).into(),
        ..DamageJudge::default()
    };
    let (began, result) = (Instant::now(), AttemptResult::Complete);
    let attempt = PlayedAttempt { events: events.len(), result, began, ended: began };
    let path = format!("{}events-55/a", route.prefix());
    let begun_as = "c0-0".to_string();
    let stream = PlayedStream { route, path, begun_as, events, attempts: vec![attempt] };
    assert_eq!(judge.judge(&stream), expected);
}

/// Prints each count on a line of its own: what is counted, where, and how many.
fn print_figures(counts: &PairCounts) {
    let all = &counts.all;
    println!("figure streams all {}", all.streams);
    println!("figure taken-up all {}", all.taken_up);
    println!("figure moved all {}", all.moved);
    let places = all.by_framing.iter().chain(&all.by_route);
    let all_streams = [(&"all", &all.outcomes)];
    for (place, outcomes) in all_streams.into_iter().chain(places) {
        for (outcome, count) in outcomes {
            println!("figure {outcome:?} {place} {count}");
        }
    }
    for ((one, other), streams) in &counts.by_pair {
        println!("figure streams {one:?}+{other:?} {}", streams.streams);
        println!("figure wrong {one:?}+{other:?} {}", streams.wrong);
    }
}

#[ignore = "plays for minutes"]
#[actix_rt::test]
async fn many_streams_beside_all_paired_troubles() -> Result<()> {
    play_many(all_pairs()).await
}

#[ignore = "plays for minutes"]
#[actix_rt::test]
async fn many_streams_beside_damaged_answers_and_another_trouble() -> Result<()> {
    play_many(pairs_with_damage(TroubleKind::all())).await
}

/// Plays pairs with several seeds.
async fn play_many(among: Vec<TroublePair>) -> Result<()> {
    // A variable that is not set stands for the default.
    let seeds = std::env::var("PAIR_SEEDS").unwrap_or_else(|_| SEEDS.to_string());
    let (first, end) = seeds.split_once("..").context("PAIR_SEEDS: no range")?;
    let pairs = match std::env::var("PAIR_COUNT") {
        Ok(count) => count.parse()?,
        Err(_) => among.len(),
    };
    let mut total = PairCounts::default();
    for seed in first.parse::<u64>()?..end.parse()? {
        let counts = play(seed, among.clone(), pairs).run().await?;
        println!("seed {seed}: {}{:#?}", counts.all, counts.all.samples);
        total.add(counts);
    }
    print_figures(&total);
    check(&total, pairs..=among.len())
}
