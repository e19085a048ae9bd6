//! Streams that end with their connection, beside engines that live and close some of them between two events.
//!
//! Every event is judged at the callers. Run the ignored test with `EARLY_SEEDS` (`11..61`), `EARLY_DAEMONS` (`3,24`),
//! `EARLY_ENGINES` (`1`) and `EARLY_COUNTED` for other plays. The load is the same for any number of daemons.

#[path = "../../targets/tests/support/caller_events.rs"]
mod caller_events;
#[path = "support/damage_callers.rs"]
mod damage_callers;
#[path = "support/damage_judge.rs"]
mod damage_judge;
#[path = "support/play_counts.rs"]
mod play_counts;
#[path = "../../targets/tests/support/sound_beginning.rs"]
mod sound_beginning;
mod support;

use std::time::Duration;

use anyhow::{ensure, Context, Result};
use curlewcleat_standins::deployment::{get_text, post, wait_until};
use curlewcleat_standins::fleet::stream_engine::UNFRAMED_MARK;
use curlewcleat_standins::fleet::stream_trouble::{StreamTrouble, NO_TROUBLE, TROUBLE_PATH};
use damage_callers::DamageCallers;
use damage_judge::{DamageJudge, StreamOutcome};
use play_counts::PlayCounts;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use serde_json::Value;
use support::event_streams::{EventFleet, StreamRoute, BOUNDS, COUNTED_BOUNDS, DAEMONS};

/// Streams that may be taken up, of one service and of two.
const ROUTES: [StreamRoute; 2] = [StreamRoute::Resumed, StreamRoute::Split];
/// Streams in progress at the same time.
const CALLERS: usize = 60;
/// Most attempts at which a caller takes up a stream.
const TAKE_UPS: usize = 3;
/// Engines that close answers early, one after the other.
const TROUBLES: usize = 8;
/// Time for which an engine does so, in milliseconds: a few answers of some hundred.
const TROUBLE_MS: std::ops::RangeInclusive<u64> = 200..=500;
/// Time between two such engines, in milliseconds.
const CALM_MS: std::ops::RangeInclusive<u64> = 300..=900;
/// Daemons of a fleet in which each meets few early ends.
const MANY_DAEMONS: usize = 24;
/// Seeds by hand, unless `EARLY_SEEDS` states others.
const SEEDS: &str = "11..61";
/// Share of the streams, in percent, that reach their callers whole.
const MIN_WHOLE_PERCENT: usize = 95;

/// Plays streams beside engines that close a share of their answers early.
async fn play(seed: u64) -> Result<PlayCounts> {
    play_before(&EventFleet::start(&format!("early-{seed}")).await?, seed, 1).await
}

/// Plays streams beside this many engines at a time that close a share of their answers early.
async fn play_before(fleet: &EventFleet, seed: u64, engines: usize) -> Result<PlayCounts> {
    for daemon in &fleet.deployment.daemons {
        wait_until("ready", || async { get_text(&daemon.operators, "/readyz").await.is_ok() })
            .await?;
    }
    let callers = DamageCallers::start(fleet, &ROUTES, &[UNFRAMED_MARK], seed, CALLERS, TAKE_UPS);
    wait_until("streams", || async { callers.streams() >= CALLERS }).await?;
    let disturbed = disturb(fleet, seed, engines).await;
    let streams = callers.close().await;
    disturbed?;
    Ok(PlayCounts::of(&DamageJudge::read(fleet)?, &streams))
}

async fn disturb(fleet: &EventFleet, seed: u64, engines: usize) -> Result<()> {
    let mut random = StdRng::seed_from_u64(seed);
    for _ in 0..TROUBLES {
        let first = random.random_range(0..fleet.engines.len());
        let names = [StreamTrouble::Closed.name(), NO_TROUBLE.to_string()];
        for (name, time_ms) in names.iter().zip([TROUBLE_MS, CALM_MS]) {
            let path = format!("{TROUBLE_PATH}{name}");
            for index in (first..).take(engines).map(|index| index % fleet.engines.len()) {
                post(fleet.address(index), &path, &Value::Null).await?;
            }
            tokio::time::sleep(Duration::from_millis(random.random_range(time_ms))).await;
        }
    }
    Ok(())
}

fn check(counts: &PlayCounts) -> Result<()> {
    println!("{counts}");
    ensure!(counts.wrong() == 0, "{} streams are wrong: {:#?}", counts.wrong(), counts.samples);
    ensure!(counts.moved > 0, "no answer was closed early: {counts}");
    let whole = counts.outcomes.get(&StreamOutcome::Whole).copied().unwrap_or_default();
    ensure!(whole * 100 >= counts.streams * MIN_WHOLE_PERCENT, "{whole} are whole: {counts}");
    Ok(())
}

/// Guards against unframed streams that end as complete without their last events although their target lives.
#[rstest]
#[case::seed_1(1)]
#[case::seed_2(2)]
#[actix_rt::test]
async fn unframed_streams_that_living_engines_close_early_are_continued(
    #[case] seed: u64,
) -> Result<()> {
    check(&play(seed).await?)
}

/// Guards against the same where the platform counts retries.
#[rstest]
#[case::seed_1(1)]
#[case::seed_2(2)]
#[actix_rt::test]
async fn unframed_streams_closed_early_are_continued_within_counted_retries(
    #[case] seed: u64,
) -> Result<()> {
    let fleet = EventFleet::start_with_bounds(&format!("counted-{seed}"), COUNTED_BOUNDS).await?;
    check(&play_before(&fleet, seed, 1).await?)
}

/// Guards against an early end that counts as confirmed because a second engine has closed its answer early as well.
#[rstest]
#[case::seed_1(1)]
#[case::seed_2(2)]
#[actix_rt::test]
async fn unframed_streams_that_all_engines_close_early_do_not_end_as_complete(
    #[case] seed: u64,
) -> Result<()> {
    let fleet = EventFleet::start(&format!("all-early-{seed}")).await?;
    let counts = play_before(&fleet, seed, fleet.engines.len()).await?;
    println!("{counts}");
    ensure!(counts.wrong() == 0, "{} streams are wrong: {:#?}", counts.wrong(), counts.samples);
    ensure!(counts.moved > 0, "no answer was closed early: {counts}");
    Ok(())
}

/// Guards against early ends that pass as complete since each of many daemons meets few of them.
#[rstest]
#[case::one_engine_at_24(BOUNDS, 1)]
#[case::all_engines_at_24(BOUNDS, 8)]
#[case::counted_at_24(COUNTED_BOUNDS, 1)]
#[actix_rt::test]
async fn unframed_streams_closed_early_are_continued_by_each_of_many_daemons(
    #[case] bounds: &str,
    #[case] engines: usize,
) -> Result<()> {
    let name = format!("many-{engines}-{}", bounds.len());
    let fleet = EventFleet::start_bounded(&name, MANY_DAEMONS, bounds).await?;
    check(&play_before(&fleet, 1, engines).await?)
}

/// Returns the value of a variable, or a default where it is not set.
fn setting(name: &str, default: &str) -> String {
    std::env::var(name).unwrap_or_else(|_| default.to_string())
}

#[ignore = "plays for minutes"]
#[actix_rt::test]
async fn many_unframed_streams_that_living_engines_close_early() -> Result<()> {
    let seeds = setting("EARLY_SEEDS", SEEDS);
    let (first, end) = seeds.split_once("..").context("EARLY_SEEDS: no range")?;
    let engines = setting("EARLY_ENGINES", "1").parse()?;
    let is_counted = std::env::var("EARLY_COUNTED").is_ok();
    let bounds = if is_counted { COUNTED_BOUNDS } else { BOUNDS };
    let mut all = PlayCounts::default();
    for daemons in setting("EARLY_DAEMONS", &DAEMONS.to_string()).split(',') {
        let mut total = PlayCounts::default();
        for seed in first.parse::<u64>()?..end.parse()? {
            let name = format!("early-{daemons}-{seed}");
            let fleet = EventFleet::start_bounded(&name, daemons.parse()?, bounds).await?;
            let counts = play_before(&fleet, seed, engines).await?;
            println!("{daemons} daemons, seed {seed}: {counts}{:#?}", counts.samples);
            total.add(counts);
        }
        println!("{daemons} daemons, all: {total}");
        all.add(total);
    }
    check(&all)
}
