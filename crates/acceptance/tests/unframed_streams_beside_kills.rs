//! Streams that end with their connection, beside engines and daemons, processes of their own, that are killed, stopped and
//! continued.
//!
//! Every event is judged at the callers. Run the ignored test with `KILL_SEEDS` (`11..61`) and `KILL_SECONDS` for other
//! plays.

#[path = "../../targets/tests/support/caller_events.rs"]
mod caller_events;
#[path = "support/damage_callers.rs"]
mod damage_callers;
#[path = "support/damage_judge.rs"]
mod damage_judge;
#[path = "support/damage_plays.rs"]
mod damage_plays;
#[path = "support/play_counts.rs"]
mod play_counts;
#[path = "../../targets/tests/support/sound_beginning.rs"]
mod sound_beginning;
mod support;

use std::time::Duration;

use anyhow::{ensure, Context, Result};
use curlewcleat_standins::fleet::stream_engine::UNFRAMED_MARK;
use damage_plays::DamagePlay;
use play_counts::PlayCounts;
use rstest::rstest;
use support::event_streams::{DaemonKills, StreamRoute, CALLERS, DAEMONS};

/// Time during which processes are killed.
const TIME: Duration = Duration::from_secs(8);
/// Routes of all kinds.
const ROUTES: [StreamRoute; 3] = [StreamRoute::Resumed, StreamRoute::Split, StreamRoute::Plain];
/// Seeds by hand, unless `KILL_SEEDS` states others.
const SEEDS: &str = "11..61";

fn play(seed: u64, daemon_kills: DaemonKills) -> DamagePlay {
    DamagePlay {
        seed,
        daemons: DAEMONS,
        callers: CALLERS,
        routes: ROUTES.to_vec(),
        marks: &[UNFRAMED_MARK],
        forms: Vec::new(),
        every: 1,
        sound: None,
        daemon_kills,
        time: TIME,
    }
}

fn check(counts: &PlayCounts) -> Result<()> {
    println!("{counts}");
    ensure!(counts.wrong() == 0, "{} streams are wrong: {:#?}", counts.wrong(), counts.samples);
    ensure!(counts.moved + counts.taken_up > 0, "no stream met a kill: {counts}");
    Ok(())
}

/// Guards against streams of killed engines that end as complete without their last events.
#[rstest]
#[case::engines(1, DaemonKills::None)]
#[case::engines_and_daemons(2, DaemonKills::One)]
#[actix_rt::test]
async fn unframed_streams_beside_kills_are_whole_or_visibly_cut(
    #[case] seed: u64,
    #[case] daemon_kills: DaemonKills,
) -> Result<()> {
    check(&play(seed, daemon_kills).run().await?)
}

#[ignore = "plays for minutes"]
#[actix_rt::test]
async fn many_unframed_streams_beside_kills() -> Result<()> {
    // A variable that is not set stands for the default.
    let seeds = std::env::var("KILL_SEEDS").unwrap_or_else(|_| SEEDS.to_string());
    let (first, end) = seeds.split_once("..").context("KILL_SEEDS: no range")?;
    let mut total = PlayCounts::default();
    for seed in first.parse::<u64>()?..end.parse()? {
        let mut play = play(seed, if seed % 2 == 0 { DaemonKills::One } else { DaemonKills::None });
        if let Ok(seconds) = std::env::var("KILL_SECONDS") {
            play.time = Duration::from_secs(seconds.parse()?);
        }
        let counts = play.run().await?;
        println!("seed {seed}: {counts}{:#?}", counts.samples);
        total.add(counts);
    }
    check(&total)
}
