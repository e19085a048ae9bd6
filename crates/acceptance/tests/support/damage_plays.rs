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
use crate::support::event_streams::{DaemonKills, EventFleet, StreamRoute, SERVICES};

/// Most attempts at which a caller takes up a stream.
const TAKE_UPS: usize = 4;
/// Longest time for the sound streams.
const SOUND_TIME: Duration = Duration::from_secs(40);
/// Time for which an engine is stopped, or not replaced after a kill, in milliseconds.
const AWAY_MS: std::ops::RangeInclusive<u64> = 300..=1_500;
/// Time between two disturbances, in milliseconds.
const CALM_MS: std::ops::RangeInclusive<u64> = 200..=800;
/// Disturbances of engines of which one follows on the kill of a daemon.
const DAEMON_ONE_IN: u32 = 3;

/// Sound streams before the first damage.
#[derive(Clone, Copy)]
pub struct SoundPhase {
    /// Streams after which engines are disturbed.
    pub streams: usize,
    /// Sound runs of each engine, by its service: the first one serves most streams.
    pub runs: [u64; SERVICES.len()],
}

/// Streams beside damaged answers.
pub struct DamagePlay {
    pub seed: u64,
    /// Daemons that the streams are spread over.
    pub daemons: usize,
    /// Streams in progress at the same time.
    pub callers: usize,
    pub routes: Vec<StreamRoute>,
    /// Marks of the paths, which choose the framing of the answers.
    pub marks: &'static [&'static str],
    /// Damage of the runs, none if empty.
    pub forms: Vec<StreamDamage>,
    /// Runs of which one is damaged.
    pub every: u32,
    /// Sound streams that come first, `None` if answers are damaged from the start.
    pub sound: Option<SoundPhase>,
    pub daemon_kills: DaemonKills,
    pub time: Duration,
}

impl DamagePlay {
    /// Runs the play and judges its streams.
    pub async fn run(&self) -> Result<PlayCounts> {
        let DamagePlay { seed, daemons, callers, .. } = *self;
        let name = format!("damaged-{seed}-{daemons}-{}", self.sound.is_some());
        let options = |index| self.options(index as u64, index);
        let mut fleet = EventFleet::start_with_daemons(&name, daemons, options).await?;
        for daemon in &fleet.deployment.daemons {
            wait_until("ready", || async { get_text(&daemon.operators, "/readyz").await.is_ok() })
                .await?;
        }
        let callers =
            DamageCallers::start(&fleet, &self.routes, self.marks, seed, callers, TAKE_UPS);
        let until = Instant::now() + SOUND_TIME;
        let sound_streams = self.sound.map_or(0, |sound| sound.streams);
        while callers.streams() < sound_streams && Instant::now() < until {
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
        let sound = self.sound.filter(|_| is_first);
        let from = sound.map_or(1, |sound| sound.runs[index % SERVICES.len()]);
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

    async fn kill_daemons(&self, fleet: &mut EventFleet, random: &mut StdRng) -> Result<()> {
        let daemons = fleet.deployment.daemons.len();
        match self.daemon_kills {
            DaemonKills::None => Ok(()),
            DaemonKills::One => fleet.deployment.restart(random.random_range(0..daemons)).await,
            DaemonKills::All => {
                fleet.deployment.daemons.iter_mut().for_each(|daemon| daemon.process.kill());
                (0..daemons).try_for_each(|index| fleet.deployment.start_killed(index))
            }
        }
    }

    /// Kills, stops and continues engines until the time is over.
    async fn disturb(&self, fleet: &mut EventFleet) -> Result<()> {
        let mut random = StdRng::seed_from_u64(self.seed);
        let ended = Instant::now() + self.time;
        while Instant::now() < ended {
            if self.daemon_kills != DaemonKills::None && random.random_ratio(1, DAEMON_ONE_IN) {
                self.kill_daemons(fleet, &mut random).await?;
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
