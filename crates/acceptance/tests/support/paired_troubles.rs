//! Plays streams beside two troubles at a time, and counts for each pair what its streams met.
//!
//! Owns: the order of the pairs. Relies on: [`OpenTrouble`] for what each trouble does, [`DamageJudge`] for what is wrong.

use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, Instant};

use anyhow::Result;
use curlewcleat_standins::deployment::{get_text, wait_until};
use curlewcleat_standins::fleet::stream_trouble::StreamTrouble;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

use crate::damage_callers::{DamageCallers, PlayedAttempt, PlayedStream};
use crate::damage_judge::{DamageJudge, StreamOutcome};
use crate::play_counts::{moves, take_ups, PlayCounts};
use crate::process_troubles::OpenTrouble;
use crate::support::event_streams::{EventFleet, StreamRoute};
use crate::trouble_kinds::TroubleKind;

/// Streams in progress at the same time.
const CALLERS: usize = 90;
/// Longest time for the first streams, one of each caller, before the first trouble.
const WARM_UP_LIMIT: Duration = Duration::from_secs(5);
/// Time between two looks at these streams, in milliseconds.
const WARM_UP_POLL_MS: u64 = 50;
/// Most attempts at which a caller takes up a stream.
const TAKE_UPS: usize = 3;
/// Streams that may be taken up, of one service and of two, and streams that may not.
pub const ROUTES: [StreamRoute; 3] = [StreamRoute::Resumed, StreamRoute::Split, StreamRoute::Plain];
/// Marks of the paths: each framing with each number of events.
const MARKS: [&str; 9] = [
    "/events-55",
    "/events-42",
    "/events-3",
    "/measured/events-55",
    "/measured/events-42",
    "/measured/events-3",
    "/unframed/events-55",
    "/unframed/events-42",
    "/unframed/events-3",
];
/// Longest time from the beginning of a trouble to that of the other one, in milliseconds.
const BETWEEN_MS: u64 = 300;
/// Time for which both troubles last, in milliseconds.
const TOGETHER_MS: std::ops::RangeInclusive<u64> = 200..=1_200;
/// Time between two pairs, in milliseconds.
const CALM_MS: std::ops::RangeInclusive<u64> = 100..=400;

/// Two kinds of trouble, the lesser one first.
pub type TroublePair = (TroubleKind, TroubleKind);

/// Streams beside pairs of troubles.
pub struct PairPlay {
    pub seed: u64,
    pub routes: Vec<StreamRoute>,
    /// Pairs of which some are played.
    pub among: Vec<TroublePair>,
    /// Pairs that are played, all if there are no more.
    pub pairs: usize,
}

/// Time of a pair, from the beginning of one trouble to the end of the other one.
struct PairWindow {
    pair: TroublePair,
    began: Instant,
    ended: Instant,
}

impl PairWindow {
    fn overlaps(&self, attempt: &PlayedAttempt) -> bool {
        attempt.began < self.ended && self.began < attempt.ended
    }
}

impl PairPlay {
    /// Runs the play and judges its streams.
    pub async fn run(&self) -> Result<PairCounts> {
        let mut fleet = EventFleet::start_with_links(&format!("pairs-{}", self.seed)).await?;
        for daemon in &fleet.deployment.daemons {
            wait_until("ready", || async { get_text(&daemon.operators, "/readyz").await.is_ok() })
                .await?;
        }
        let callers =
            DamageCallers::start(&fleet, &self.routes, &MARKS, self.seed, CALLERS, TAKE_UPS);
        let until = Instant::now() + WARM_UP_LIMIT;
        while callers.streams() < CALLERS && Instant::now() < until {
            sleep_ms(WARM_UP_POLL_MS).await;
        }
        let windows = self.disturb(&mut fleet).await;
        let streams = callers.close().await;
        let windows = windows?;
        let judge = DamageJudge::read(&fleet)?;
        Ok(PairCounts::of(&judge, &streams, &windows))
    }

    async fn disturb(&self, fleet: &mut EventFleet) -> Result<Vec<PairWindow>> {
        let mut random = StdRng::seed_from_u64(self.seed);
        let mut pairs = self.among.clone();
        pairs.shuffle(&mut random);
        let mut windows = Vec::new();
        for pair in pairs.into_iter().take(self.pairs) {
            windows.push(play_pair(fleet, pair, &mut random).await?);
            sleep_ms(random.random_range(CALM_MS)).await;
        }
        Ok(windows)
    }
}

/// Returns all pairs that can be played.
pub fn all_pairs() -> Vec<TroublePair> {
    let kinds = TroubleKind::all();
    let pairs = kinds.iter().flat_map(|one| kinds.iter().map(|other| (*one, *other)));
    pairs.filter(|(one, other)| one <= other && one.pairs_with(*other)).collect()
}

/// Returns the pairs of damaged answers with each of these kinds.
pub fn pairs_with_damage(kinds: Vec<TroubleKind>) -> Vec<TroublePair> {
    let damaged = TroubleKind::Answers(StreamTrouble::Damaged);
    kinds.into_iter().map(|kind| (kind.min(damaged), kind.max(damaged))).collect()
}

/// Begins both troubles in either order, and ends them in either order.
async fn play_pair(
    fleet: &mut EventFleet,
    pair: TroublePair,
    random: &mut StdRng,
) -> Result<PairWindow> {
    let began = Instant::now();
    let (first, second) = if random.random() { pair } else { (pair.1, pair.0) };
    let first = OpenTrouble::begin(fleet, first, None, random).await?;
    sleep_ms(random.random_range(0..=BETWEEN_MS)).await;
    let second = OpenTrouble::begin(fleet, second, Some(&first), random).await?;
    sleep_ms(random.random_range(TOGETHER_MS)).await;
    let ends = if random.random() { [first, second] } else { [second, first] };
    for trouble in ends {
        trouble.end(fleet, random).await?;
        sleep_ms(random.random_range(0..=BETWEEN_MS)).await;
    }
    Ok(PairWindow { pair, began, ended: Instant::now() })
}

async fn sleep_ms(time: u64) {
    tokio::time::sleep(Duration::from_millis(time)).await;
}

/// Streams that were in progress beside a pair.
#[derive(Clone, Copy, Debug, Default)]
pub struct PairStreams {
    pub streams: usize,
    pub taken_up: usize,
    pub moved: usize,
    pub wrong: usize,
}

/// What callers got, for each pair.
#[derive(Debug, Default)]
pub struct PairCounts {
    pub all: PlayCounts,
    pub by_pair: BTreeMap<TroublePair, PairStreams>,
}

impl PairCounts {
    fn of(judge: &DamageJudge, streams: &[PlayedStream], windows: &[PairWindow]) -> PairCounts {
        let all = PlayCounts::of(judge, streams);
        let mut by_pair = BTreeMap::new();
        for window in windows {
            let is_beside = |attempt: &PlayedAttempt| window.overlaps(attempt);
            let counts: &mut PairStreams = by_pair.entry(window.pair).or_default();
            for stream in streams.iter().filter(|stream| stream.attempts.iter().any(is_beside)) {
                counts.streams += 1;
                counts.taken_up += take_ups(stream, is_beside);
                counts.moved += moves(stream, is_beside);
                counts.wrong += usize::from(matches!(judge.judge(stream), StreamOutcome::Wrong(_)));
            }
        }
        PairCounts { all, by_pair }
    }

    /// Adds the counts of another play.
    pub fn add(&mut self, other: PairCounts) {
        self.all.add(other.all);
        for (pair, streams) in other.by_pair {
            let sum = self.by_pair.entry(pair).or_default();
            sum.streams += streams.streams;
            sum.taken_up += streams.taken_up;
            sum.moved += streams.moved;
            sum.wrong += streams.wrong;
        }
    }
}

impl fmt::Display for PairCounts {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.all)?;
        for ((one, other), counts) in &self.by_pair {
            writeln!(formatter, "  {one:?} {other:?}: {counts:?}")?;
        }
        Ok(())
    }
}
