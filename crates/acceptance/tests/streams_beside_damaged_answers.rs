//! Streams beside engines, processes of their own, that damage the bytes of some of their answers while others are killed,
//! stopped and continued.
//!
//! Every event is judged at the callers, which take their streams up by the last `id` that they have. What no relay can see is
//! counted apart, each with its reason. Run the ignored test with `DAMAGE_SEEDS` (`11..61`), `DAMAGE_SECONDS`,
//! `DAMAGE_EVERY`, `DAMAGE_ROUTES` (`repeatable`, `plain` or `all`), `DAMAGE_DAEMONS`, `DAMAGE_FORM_KNOWN` and `DAMAGE_FORMS`
//! (`id-lost,data-lost`) for other plays.

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
use curlewcleat_standins::fleet::stream_engine::{MEASURED_MARK, UNFRAMED_MARK};
use damage_plays::{DamagePlay, SoundPhase};
use play_counts::PlayCounts;
use rstest::rstest;
use support::event_streams::{DaemonKills, StreamRoute, CALLERS, DAEMONS};

/// Time during which engines damage answers.
const TIME: Duration = Duration::from_secs(10);
/// The same where only a few streams meet two damaged answers.
const LONG_TIME: Duration = Duration::from_secs(25);
/// Marks of streams in each framing.
const ALL_MARKS: [&str; 3] = ["", MEASURED_MARK, UNFRAMED_MARK];
/// Routes whose streams may be repeated.
const REPEATABLE: [StreamRoute; 2] = [StreamRoute::Resumed, StreamRoute::Split];
/// Routes whose streams may not.
const PLAIN: [StreamRoute; 1] = [StreamRoute::Plain];
/// Runs of which one is damaged.
const DAMAGED_ONE_IN: u32 = 50;
/// The same where many are.
const MANY_DAMAGED_ONE_IN: u32 = 12;
/// Sound streams after which all daemons know the form of all routes.
const SOUND_PHASE: SoundPhase = SoundPhase { streams: 900, runs: [150, 60] };
/// Fewest damaged answers of a play.
const MIN_DAMAGED: usize = 15;

fn default_play(seed: u64, routes: &[StreamRoute]) -> DamagePlay {
    DamagePlay {
        seed,
        daemons: DAEMONS,
        callers: CALLERS,
        routes: routes.to_vec(),
        marks: &ALL_MARKS,
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

/// Guards against damaged events that reach their callers as sound, and against streams that end as complete without events.
#[rstest]
#[case::seed_1(1, DAMAGED_ONE_IN)]
#[case::seed_2(2, DAMAGED_ONE_IN)]
#[case::many_damaged(1, MANY_DAMAGED_ONE_IN)]
#[actix_rt::test]
async fn streams_beside_damaged_answers_reach_their_callers_whole_or_are_cut(
    #[case] seed: u64,
    #[case] every: u32,
) -> Result<()> {
    let counts = DamagePlay { every, ..default_play(seed, &REPEATABLE) }.run().await?;
    check(&counts)?;
    ensure!(counts.taken_up > 0 && counts.moved > 0, "no stream was taken up or moved: {counts}");
    Ok(())
}

/// Guards against damaged answers of two engines that count as right because they deviate alike at the same place.
#[rstest]
#[case::blank_line_lost(1, StreamDamage::BlankLineLost)]
#[case::id_lost(2, StreamDamage::IdLost)]
#[actix_rt::test]
async fn damaged_answers_that_deviate_alike_do_not_confirm_each_other(
    #[case] seed: u64,
    #[case] form: StreamDamage,
) -> Result<()> {
    let play = default_play(seed, &REPEATABLE);
    let (forms, every) = (vec![form], MANY_DAMAGED_ONE_IN);
    check(&DamagePlay { forms, every, time: LONG_TIME, ..play }.run().await?)
}

/// Guards against the same where a stream may not be repeated, so that no other engine can show what is right.
#[rstest]
#[case::few(1, DAMAGED_ONE_IN)]
#[case::many(1, MANY_DAMAGED_ONE_IN)]
#[actix_rt::test]
async fn unrepeatable_streams_beside_damaged_answers_reach_their_callers_whole_or_are_cut(
    #[case] seed: u64,
    #[case] every: u32,
) -> Result<()> {
    check(&DamagePlay { every, ..default_play(seed, &PLAIN) }.run().await?)
}

/// Shows what reaches callers while the form of streams is not known yet.
#[actix_rt::test]
async fn most_streams_are_right_where_answers_are_damaged_from_the_start() -> Result<()> {
    let play = default_play(3, &[REPEATABLE.as_slice(), &PLAIN].concat());
    let counts = DamagePlay { sound: None, ..play }.run().await?;
    println!("{counts}");
    ensure!(counts.damaged >= MIN_DAMAGED, "too few damaged answers: {counts}");
    // A damaged answer that is not seen makes one stream wrong, and no other.
    ensure!(counts.wrong() <= counts.damaged, "{} streams are wrong: {counts}", counts.wrong());
    Ok(())
}

fn setting<T: FromStr>(name: &str, default: T) -> Result<T> {
    match std::env::var(name) {
        Ok(text) => text.parse().ok().with_context(|| format!("{name}: {text:?} is not valid")),
        Err(_) => Ok(default),
    }
}

#[ignore = "plays for minutes"]
#[actix_rt::test]
async fn many_streams_beside_damaged_answers() -> Result<()> {
    let seeds: String = setting("DAMAGE_SEEDS", "11..61".to_string())?;
    let (first, end) = seeds.split_once("..").context("DAMAGE_SEEDS: no range")?;
    let forms: String = setting("DAMAGE_FORMS", String::new())?;
    let forms = forms.split(',').filter(|name| !name.is_empty()).map(StreamDamage::named);
    let forms: Vec<StreamDamage> = forms.collect::<Result<_>>()?;
    let routes = match setting("DAMAGE_ROUTES", "all".to_string())?.as_str() {
        "repeatable" => REPEATABLE.to_vec(),
        "plain" => PLAIN.to_vec(),
        "all" => [REPEATABLE.as_slice(), &PLAIN].concat(),
        other => bail!("DAMAGE_ROUTES: {other:?} does not exist"),
    };
    let mut total = PlayCounts::default();
    for seed in first.parse::<u64>()?..end.parse()? {
        let mut play = default_play(seed, &routes);
        play.time = Duration::from_secs(setting("DAMAGE_SECONDS", TIME.as_secs())?);
        play.every = setting("DAMAGE_EVERY", DAMAGED_ONE_IN)?;
        play.daemons = setting("DAMAGE_DAEMONS", DAEMONS)?;
        play.sound = setting("DAMAGE_FORM_KNOWN", true)?.then_some(SOUND_PHASE);
        if !forms.is_empty() {
            play.forms = forms.clone();
        }
        let counts = play.run().await?;
        println!("seed {seed}: {counts}{:#?}", counts.samples);
        total.add(counts);
    }
    println!("all: {total}");
    check(&total)
}
