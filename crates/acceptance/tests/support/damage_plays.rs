//! Plays streams beside damaged answers.
//!
//! Owns: the engines of a play. Relies on: [`PlayCounts`] for what the callers got.

use std::time::{Duration, Instant};

use anyhow::Result;
use curlewcleat_standins::deployment::{get_text, wait_until};
use curlewcleat_standins::fleet::stream_damage::StreamDamage;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::damage_callers::DamageCallers;
use crate::damage_judge::DamageJudge;
use crate::play_counts::PlayCounts;
use crate::support::event_streams::{EventFleet, StreamRoute, SERVICES};

/// Streams in progress at the same time.
const CALLERS: usize = 90;
/// Most attempts at which a caller takes up a stream.
const TAKE_UPS: usize = 4;
/// Streams after which all daemons know the form of all routes.
const SOUND_STREAMS: usize = 900;
/// Sound runs of each engine, by its service: the first one serves most streams.
const SOUND_RUNS: [u64; SERVICES.len()] = [150, 60];
/// Longest time for the sound streams.
const SOUND_TIME: Duration = Duration::from_secs(40);
/// Time for which an engine is stopped, or not replaced after a kill, in milliseconds.
const AWAY_MS: std::ops::RangeInclusive<u64> = 300..=1_500;
/// Time between two disturbances, in milliseconds.
const CALM_MS: std::ops::RangeInclusive<u64> = 200..=800;
/// Disturbances of engines of which one follows on the kill of a daemon.
const DAEMON_ONE_IN: u32 = 3;

/// Streams beside damaged answers.
pub struct DamagePlay {
    pub seed: u64,
    pub routes: Vec<StreamRoute>,
    /// Marks of the paths, which choose the framing of the answers.
    pub marks: &'static [&'static str],
    /// Damage of the runs, none if empty.
    pub forms: Vec<StreamDamage>,
    /// Runs of which one is damaged.
    pub every: u32,
    /// Whether sound streams come first.
    pub is_form_known: bool,
    /// Whether daemons are killed and started again as well.
    pub kills_daemons: bool,
    pub time: Duration,
}

impl DamagePlay {
    /// Runs the play and judges its streams.
    pub async fn run(&self) -> Result<PlayCounts> {
        let name = format!("damaged-{}-{}", self.seed, self.is_form_known);
        let mut fleet =
            EventFleet::start_with_options(&name, |index| self.options(index as u64, index))
                .await?;
        for daemon in &fleet.deployment.daemons {
            wait_until("ready", || async { get_text(&daemon.operators, "/readyz").await.is_ok() })
                .await?;
        }
        let callers =
            DamageCallers::start(&fleet, &self.routes, self.marks, self.seed, CALLERS, TAKE_UPS);
        let until = Instant::now() + SOUND_TIME;
        while self.is_form_known && callers.streams() < SOUND_STREAMS && Instant::now() < until {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        let disturbed = self.disturb(&mut fleet).await;
        let streams = callers.close().await;
        disturbed?;
        let judge = DamageJudge::read(&fleet)?;
        Ok(PlayCounts::of(&judge, &streams))
    }

    /// Returns the options of an engine; `start` is its place among all that were started.
    fn options(&self, start: u64, index: usize) -> Vec<String> {
        let is_first = start == index as u64;
        let from = match self.is_form_known && is_first {
            true => SOUND_RUNS[index % SERVICES.len()],
            false => 1,
        };
        if self.forms.is_empty() {
            return Vec::new();
        }
        let forms: Vec<String> = self.forms.iter().map(|form| form.name()).collect();
        let options = [
            ("--damage", forms.join(",")),
            ("--damage-every", self.every.to_string()),
            ("--damage-from", from.to_string()),
            ("--damage-seed", (self.seed << 8 | start).to_string()),
        ];
        options.into_iter().flat_map(|(name, value)| [name.to_string(), value]).collect()
    }

    /// Kills, stops and continues engines until the time is over.
    async fn disturb(&self, fleet: &mut EventFleet) -> Result<()> {
        let mut random = StdRng::seed_from_u64(self.seed);
        let ended = Instant::now() + self.time;
        while Instant::now() < ended {
            if self.kills_daemons && random.random_ratio(1, DAEMON_ONE_IN) {
                let daemon = random.random_range(0..fleet.deployment.daemons.len());
                fleet.deployment.restart(daemon).await?;
            }
            let index = random.random_range(0..fleet.engines.len());
            let away = Duration::from_millis(random.random_range(AWAY_MS));
            let is_killed = random.random_bool(0.5);
            match is_killed {
                true => fleet.kill_engine(index),
                false => fleet.signal(&[index], "STOP")?,
            }
            tokio::time::sleep(away).await;
            match is_killed {
                true => {
                    let options = self.options(fleet.ids.len() as u64, index);
                    fleet.replace_engine(index, options).await?;
                }
                false => fleet.signal(&[index], "CONT")?,
            }
            tokio::time::sleep(Duration::from_millis(random.random_range(CALM_MS))).await;
        }
        Ok(())
    }
}
