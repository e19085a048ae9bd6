//! Kinds of faults that a run has beside those of its plan. They are drawn apart from it, so that a seed
//! gives the same plan with and without them.

use std::time::Duration;

use curlewcleat_standins::fleet::ForeignEntry;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use crate::plan::{FaultStep, PlanOptions, SoakFault};
use crate::words::EngineWord;

/// Sets the draws of a kind apart from those of the plan with the same seed.
const APART: u64 = 0x5eed_0000_0000_0000;
/// Shortest and longest pause before a fault, in milliseconds: longer than what notices a silent connection with the
/// settings of a run.
const PAUSE_MS: std::ops::Range<u64> = 800..2_500;

/// Shortest and longest time of a fault, in milliseconds: an engine is away, an entry is there.
const FAULT_MS: std::ops::Range<u64> = 10..1_200;

/// A kind of faults beside those of the plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum ExtraKind {
    /// Open connections go silent for good, without a reset, while new ones work.
    Silence,
    /// Engines end and start again under their ids.
    Restart,
    /// Entries of other writers than engines.
    Foreign,
    /// A request under which engines end, which comes again and again.
    Lethal,
    /// Engines name limits, say that they leave, and ask for rest.
    Words,
}

/// Where an engine starts again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestartPlace {
    /// At the address that it had.
    Same,
    /// At another one.
    Other,
}

/// Whose connections go silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SilentConnections {
    /// All between machines, to the store and to engines.
    All,
    /// Those on which peers reach a daemon.
    Peers(usize),
    /// Those of a daemon to the store.
    Store(usize),
    /// Those to an engine.
    Engine(usize),
}

/// The plan of a seed with the faults of a kind among it.
pub fn with_extra(
    mut steps: Vec<FaultStep>,
    kind: ExtraKind,
    seed: u64,
    options: &PlanOptions,
) -> Vec<FaultStep> {
    let mut random = StdRng::seed_from_u64(seed ^ APART);
    let mut at = Duration::ZERO;
    loop {
        at += Duration::from_millis(random.random_range(PAUSE_MS));
        if at > options.time {
            break;
        }
        let time = Duration::from_millis(random.random_range(FAULT_MS));
        let fault = draw(&mut random, kind, options);
        steps.push(FaultStep { at, time, fault });
    }
    steps.sort_by_key(|step| step.at);
    steps
}

fn draw(random: &mut StdRng, kind: ExtraKind, options: &PlanOptions) -> SoakFault {
    let daemon = random.random_range(0..options.daemons);
    let engine = random.random_range(0..options.engines);
    match kind {
        ExtraKind::Silence => {
            let connections = [
                SilentConnections::All,
                SilentConnections::Peers(daemon),
                SilentConnections::Store(daemon),
                SilentConnections::Engine(engine),
            ];
            let drawn = connections.choose(random).copied();
            SoakFault::Silence(drawn.unwrap_or(SilentConnections::All))
        }
        ExtraKind::Restart => {
            let same = random.random_ratio(1, 2);
            let place = if same { RestartPlace::Same } else { RestartPlace::Other };
            SoakFault::Restart(engine, place)
        }
        ExtraKind::Lethal => SoakFault::Lethal,
        ExtraKind::Words => {
            let words =
                [EngineWord::Limit(2), EngineWord::Limit(8), EngineWord::Leaving, EngineWord::Rest];
            let drawn = words.choose(random).copied();
            SoakFault::Word(engine, drawn.unwrap_or(EngineWord::Leaving))
        }
        ExtraKind::Foreign => {
            let entry = ForeignEntry::ALL.choose(random).copied().unwrap_or(ForeignEntry::Bytes);
            match random.random_ratio(1, 3) {
                true => SoakFault::Overwrite(engine, entry),
                false => SoakFault::Foreign(entry),
            }
        }
    }
}
