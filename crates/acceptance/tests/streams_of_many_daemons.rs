//! The same streams beside the same damaged answers, spread over few or many daemons.
//!
//! The load is held constant, so that each daemon of a large fleet sees only a few streams of each kind. Run the ignored test
//! with `FLEET_DAEMONS` (`3,30,100`), `FLEET_SEEDS` (`1..4`), `FLEET_SECONDS`, `FLEET_SOUND_RUNS` and `FLEET_KILLS`
//! (`one` or `all` daemons) for other plays.

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

use std::str::FromStr;
use std::time::Duration;

use anyhow::{bail, ensure, Context, Result};
use curlewcleat_standins::fleet::stream_damage::StreamDamage;
use damage_plays::{DamagePlay, SoundPhase};
use play_counts::PlayCounts;
use rstest::rstest;
use support::event_streams::{DaemonKills, StreamRoute};

/// Time during which engines damage answers.
const TIME: Duration = Duration::from_secs(12);
/// Streams of 55, 42 and 3 events in two framings.
const MARKS: [&str; 6] = [
    "/events-55",
    "/events-42",
    "/events-3",
    "/measured/events-55",
    "/measured/events-42",
    "/measured/events-3",
];
/// Routes whose streams may be repeated, or may not.
const ROUTES: [StreamRoute; 3] = [StreamRoute::Resumed, StreamRoute::Split, StreamRoute::Plain];
/// Streams in progress at the same time, over all daemons.
const CALLERS: usize = 130;
/// Runs of which one is damaged.
const DAMAGED_ONE_IN: u32 = 50;
/// Fewest damaged answers of a play.
const MIN_DAMAGED: usize = 15;
/// Sound streams, which three daemons learn the forms from.
const SOUND_PHASE: SoundPhase = SoundPhase { streams: 1_800, runs: [300, 120] };

fn play(seed: u64, daemons: usize) -> DamagePlay {
    DamagePlay {
        seed,
        daemons,
        callers: CALLERS,
        routes: ROUTES.to_vec(),
        marks: &MARKS,
        forms: StreamDamage::all(),
        every: DAMAGED_ONE_IN,
        sound: Some(SOUND_PHASE),
        daemon_kills: DaemonKills::None,
        time: TIME,
    }
}

fn check(counts: &PlayCounts) -> Result<()> {
    println!("{counts}");
    ensure!(counts.wrong() == 0, "{} streams are wrong: {:#?}", counts.wrong(), counts.samples);
    ensure!(counts.damaged >= MIN_DAMAGED, "too few damaged answers: {counts}");
    Ok(())
}

/// Guards against damaged events that pass since each daemon knows too few streams to judge them by.
#[rstest]
#[case::three(1, 3)]
#[case::twenty_four(1, 24)]
#[actix_rt::test]
async fn damaged_events_pass_where_each_of_many_daemons_sees_few_streams(
    #[case] seed: u64,
    #[case] daemons: usize,
) -> Result<()> {
    check(&play(seed, daemons).run().await?)
}

fn setting<T: FromStr>(name: &str, default: T) -> Result<T> {
    match std::env::var(name) {
        Ok(text) => text.parse().ok().with_context(|| format!("{name}: {text:?} is not valid")),
        Err(_) => Ok(default),
    }
}

#[ignore = "plays for minutes"]
#[actix_rt::test]
async fn many_streams_over_few_and_many_daemons() -> Result<()> {
    let numbers: String = setting("FLEET_DAEMONS", "3,30,100".to_string())?;
    let seeds: String = setting("FLEET_SEEDS", "1..4".to_string())?;
    let (first, end) = seeds.split_once("..").context("FLEET_SEEDS: no range")?;
    let runs = setting("FLEET_SOUND_RUNS", SOUND_PHASE.runs[0])?;
    let sound = SoundPhase { runs: [runs, runs * 2 / 5], ..SOUND_PHASE };
    let daemon_kills = match setting("FLEET_KILLS", String::new())?.as_str() {
        "" => DaemonKills::None,
        "one" => DaemonKills::One,
        "all" => DaemonKills::All,
        other => bail!("FLEET_KILLS: {other:?} does not exist"),
    };
    let mut wrong = 0;
    for daemons in numbers.split(',') {
        let mut total = PlayCounts::default();
        for seed in first.parse::<u64>()?..end.parse()? {
            let time = Duration::from_secs(setting("FLEET_SECONDS", TIME.as_secs())?);
            let counts = DamagePlay {
                time,
                daemon_kills,
                sound: (runs > 0).then_some(sound),
                ..play(seed, daemons.parse()?)
            }
            .run()
            .await?;
            println!("{daemons} daemons, seed {seed}: {counts}{:#?}", counts.samples);
            total.add(counts);
        }
        println!("{daemons} daemons, all: {total}");
        wrong += total.wrong();
    }
    ensure!(wrong == 0, "{wrong} streams are wrong");
    Ok(())
}
