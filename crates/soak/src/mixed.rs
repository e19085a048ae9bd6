//! Trouble of all kinds in series that overlap: answers that are lost, broken off, spoiled, sent twice or late, engines
//! that are silent, slow, drained and replaced, daemons that end or are cut off, a slow store, changes of the configuration.
//!
//! Owns: the series, answers in trouble and lowered rates. Relies on: the other kinds for most faults, callers that check
//! every event of their streams.

use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Result;
use curlewcleat_standins::fleet::{AnswerFrame, EngineStep, FleetEngine, SecondAnswer};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::Rng;

use crate::extra::{ExtraKind, RestartAddress};
use crate::fleet::SoakFleet;
use crate::plan::{FaultStep, PlanOptions, SoakFault};
use crate::releases::VERSIONS;
use crate::silences::StreamChange;
use crate::steps::{draw_out_of_step, DaemonGroup};

/// Number of faults in a series.
const SERIES: Range<usize> = 3..7;
/// Range of the time from the start of a series to one of its faults, in milliseconds.
const AFTER_MS: Range<u64> = 0..2_000;
/// Range of the duration of a fault, in milliseconds.
const FAULT_MS: Range<u64> = 100..2_500;
/// Range of the delay of bytes to and from a slow store, in milliseconds.
const STORE_DELAY_MS: Range<u64> = 50..400;
/// Share of the engines that are silent, in percent.
const SILENT_SHARE: u8 = 30;
/// Number of events before trouble within a stream.
const EVENTS_BEFORE: Range<u64> = 0..80;
/// Number of bytes before the end of an answer.
const BYTES_BEFORE: Range<usize> = 0..1_600;
/// Range of a pause within an answer, in milliseconds.
const PAUSE_MS: Range<u64> = 200..3_000;
/// One in this many engines answers in trouble.
const TROUBLE_RATIO: usize = 3;
/// Number of answers in trouble of each of these engines.
const TROUBLED_ANSWERS: usize = 3;
/// Account whose rate is lowered.
const ACCOUNT: &str = "drivers";
/// Lowered rate of the account, in units per second.
const LOW_RATE: f64 = 50.0;

/// Returns the lines about a daemon's VM in runs of this kind.
pub fn vm_settings(extra: Option<ExtraKind>) -> &'static str {
    match extra {
        Some(ExtraKind::Mixed) => "core_share = 0.25\nmemory_limit = 260MB\n",
        _ => "",
    }
}

/// Draws a series that starts at a time. Faults that would last longer than the run are left out.
pub fn draw_mixed_series(
    random: &mut StdRng,
    start: Duration,
    options: &PlanOptions,
) -> Vec<FaultStep> {
    let count = random.random_range(SERIES);
    let mut draw_step = || FaultStep {
        at: start + Duration::from_millis(random.random_range(AFTER_MS)),
        time: Duration::from_millis(random.random_range(FAULT_MS)),
        fault: draw_trouble(random, options),
    };
    let mut steps: Vec<FaultStep> = (0..count).map(|_| draw_step()).collect();
    steps.retain(|step| step.at + step.time <= options.time);
    steps
}

/// Draws one fault; half of them are answers in trouble.
pub fn draw_trouble(random: &mut StdRng, options: &PlanOptions) -> SoakFault {
    let engine = random.random_range(0..options.engines);
    if random.random_ratio(1, 2) {
        return SoakFault::AnswerTrouble(engine % TROUBLE_RATIO, draw_answer(random));
    }
    let daemon = random.random_range(0..options.daemons);
    match random.random_range(0..12) {
        0 => SoakFault::Kill(daemon),
        1 => SoakFault::Freeze(daemon),
        2 => SoakFault::Stop(daemon),
        3 | 4 => draw_out_of_step(random, options.daemons),
        5 => {
            let delay = Duration::from_millis(random.random_range(STORE_DELAY_MS));
            SoakFault::SlowStore(DaemonGroup { first: daemon, count: options.daemons }, delay)
        }
        6 => SoakFault::Release(engine, random.random_range(1..=VERSIONS)),
        7 => SoakFault::Restart(engine, RestartAddress::Same),
        8 => SoakFault::Restart(engine, RestartAddress::Other),
        9 => SoakFault::Silence(SILENT_SHARE),
        10 => SoakFault::LowerRate,
        _ => {
            let changes = [StreamChange::IdleLimit, StreamChange::Timeout, StreamChange::Objective];
            let change = changes.choose(random).copied();
            SoakFault::ChangeStreams(change.unwrap_or(StreamChange::IdleLimit))
        }
    }
}

fn draw_answer(random: &mut StdRng) -> EngineStep {
    let (events, bytes) = (random.random_range(EVENTS_BEFORE), random.random_range(BYTES_BEFORE));
    let pause = Duration::from_millis(random.random_range(PAUSE_MS));
    let steps = [
        EngineStep::Decline,
        EngineStep::Fail(500),
        EngineStep::Close,
        EngineStep::Reset,
        EngineStep::Stall,
        EngineStep::Interrupt(events),
        EngineStep::Spoil(events),
        EngineStep::Pause(events, pause),
        EngineStep::Delay(pause),
        EngineStep::WithoutLength,
        EngineStep::AnswerTwice,
        EngineStep::RepeatAnswer(SecondAnswer::AtOnce),
        EngineStep::RepeatAnswer(SecondAnswer::AtNextRequest),
        EngineStep::StallWithoutLength(bytes),
        EngineStep::Truncate(AnswerFrame::Close, bytes),
        EngineStep::StopInHead(AnswerFrame::Chunks, bytes),
    ];
    steps.choose(random).copied().unwrap_or(EngineStep::Close)
}

impl SoakFleet {
    /// Makes one in three engines, from this one on, answer its next requests in this way, for this time at most.
    pub async fn trouble_answers(&self, first: usize, step: EngineStep, time: Duration) {
        let engines: Vec<Rc<FleetEngine>> = {
            let engines = self.engines.borrow();
            let troubled = engines.iter().skip(first).step_by(TROUBLE_RATIO);
            troubled.map(|handle| Rc::clone(&handle.engine)).collect()
        };
        for engine in &engines {
            (0..TROUBLED_ANSWERS).for_each(|_| engine.queue_step(step));
        }
        tokio::time::sleep(time).await;
        engines.iter().for_each(|engine| engine.clear_steps());
    }

    /// Lowers the rate of an account for a time.
    pub async fn lower_rate(&self, time: Duration) -> Result<()> {
        let before = self.replace_rate(LOW_RATE);
        self.store_config()?;
        tokio::time::sleep(time).await;
        // Of changes that overlap, a later one has found the low rate already.
        if let Some(before) = before.filter(|before| *before != LOW_RATE) {
            self.replace_rate(before);
        }
        self.store_config()
    }

    /// Sets the rate of the account and returns the former one.
    fn replace_rate(&self, rate: f64) -> Option<f64> {
        let mut config = self.config.borrow_mut();
        let mut accounts = config.tenants.iter_mut();
        let account = accounts.find(|tenant| tenant.name == ACCOUNT)?;
        account.burst = rate;
        Some(std::mem::replace(&mut account.rate_per_s, rate))
    }
}
