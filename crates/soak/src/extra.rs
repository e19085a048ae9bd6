//! Draws additional faults of one kind for a run. They have a random generator of their own, so that a seed
//! gives the same plan with and without them.

use std::time::Duration;

use curlewcleat_standins::fleet::ForeignEntry;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use crate::crowds::draw_crowd;
use crate::cuts::draw_cut;
use crate::mixed::{draw_mixed_series, draw_trouble};
use crate::notices::EngineNotice;
use crate::plan::{FaultStep, PlanOptions, SoakFault};
use crate::releases::draw_release;
use crate::silences::{draw_silence, SILENCE_MS};
use crate::steps::{draw_join, draw_series, SERIES_PAUSE_MS};
use crate::weak_vms::draw_weak_series;

/// Combined with the seed, so that the additional faults are drawn independently of the plan.
const EXTRA_SEED_MASK: u64 = 0x5eed_0000_0000_0000;
/// Range of the pause before a fault, in milliseconds: longer than the daemons need to detect a stalled connection
/// with the settings of a run.
const PAUSE_MS: std::ops::Range<u64> = 800..2_500;

/// Range of the time for which an engine is stopped or a foreign list entry exists, in milliseconds.
const FAULT_MS: std::ops::Range<u64> = 10..1_200;

/// A kind of faults that is injected in addition to the plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum ExtraKind {
    /// Open connections stall permanently without a reset, while new ones work.
    #[value(name = "silence")]
    Stall,
    /// Engines terminate and restart with the same ids.
    Restart,
    /// List entries of writers that are no engines.
    Foreign,
    /// A request that terminates the engines running it is sent repeatedly.
    Lethal,
    /// Engines report limits, report that they are leaving, and request a rest.
    #[value(name = "words")]
    Notices,
    /// Daemons lose their links to all engines.
    #[value(name = "cuts")]
    Cuts,
    /// Engines are replaced by others of another version and cut off answers, and callers take up their streams.
    #[value(name = "releases")]
    Releases,
    /// Callers open many connections to one daemon, whose VM is weak meanwhile.
    #[value(name = "crowds")]
    Crowds,
    /// Engines fall silent, all or a part of them, while the configuration of streams changes, and callers take up their
    /// streams.
    #[value(name = "silences")]
    Silences,
    /// Engines of other versions join while daemons stand still or are cut off, and callers take up their streams.
    #[value(name = "steps")]
    Steps,
    /// The same, on a fleet of which most daemons stand still in turns, with a store that is slow or out of reach for a
    /// part of them.
    #[value(name = "weak")]
    WeakVms,
    /// Trouble of all kinds in series that overlap, beside streams of several lengths at engines of several speeds, on
    /// weak daemons with little memory.
    #[value(name = "mixed")]
    Mixed,
}

impl ExtraKind {
    /// Returns whether the engines of a run state the version of their software.
    pub(crate) fn has_versions(self) -> bool {
        matches!(
            self,
            ExtraKind::Releases | ExtraKind::Steps | ExtraKind::WeakVms | ExtraKind::Mixed
        )
    }
}

/// Address at which an engine restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestartAddress {
    /// The previous address.
    Same,
    /// A new address.
    Other,
}

/// The connections that stall.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StalledConnections {
    /// All connections between daemons, to the store and to engines.
    All,
    /// The connections through which peers reach a daemon.
    Peers(usize),
    /// The connections of a daemon to the store.
    Store(usize),
    /// The connections to an engine.
    Engine(usize),
}

/// Adds the faults of a kind to the plan of a seed.
pub fn with_extra(
    mut steps: Vec<FaultStep>,
    kind: ExtraKind,
    seed: u64,
    options: &PlanOptions,
) -> Vec<FaultStep> {
    let mut random = StdRng::seed_from_u64(seed ^ EXTRA_SEED_MASK);
    let mut at = Duration::ZERO;
    loop {
        let pause = match kind {
            ExtraKind::Steps | ExtraKind::WeakVms | ExtraKind::Mixed => SERIES_PAUSE_MS,
            _ => PAUSE_MS,
        };
        at += Duration::from_millis(random.random_range(pause));
        if at > options.time {
            break;
        }
        match kind {
            ExtraKind::Steps => steps.extend(draw_series(&mut random, at, options)),
            ExtraKind::WeakVms => steps.extend(draw_weak_series(&mut random, at, options)),
            ExtraKind::Mixed => steps.extend(draw_mixed_series(&mut random, at, options)),
            _ => steps.push(draw_single(&mut random, kind, at, options)),
        }
    }
    steps.sort_by_key(|step| step.at);
    steps
}

fn draw_single(
    random: &mut StdRng,
    kind: ExtraKind,
    at: Duration,
    options: &PlanOptions,
) -> FaultStep {
    let (fault, time) = match kind {
        ExtraKind::Cuts => draw_cut(random, options.daemons),
        ExtraKind::Crowds => draw_crowd(random, options.daemons),
        ExtraKind::Silences => {
            let time = Duration::from_millis(random.random_range(SILENCE_MS));
            (draw_silence(random), time)
        }
        _ => {
            let time = Duration::from_millis(random.random_range(FAULT_MS));
            (draw(random, kind, options), time)
        }
    };
    FaultStep { at, time, fault }
}

fn draw(random: &mut StdRng, kind: ExtraKind, options: &PlanOptions) -> SoakFault {
    let daemon = random.random_range(0..options.daemons);
    let engine = random.random_range(0..options.engines);
    match kind {
        ExtraKind::Stall => draw_stall(random, daemon, engine),
        ExtraKind::Restart => {
            let same = random.random_ratio(1, 2);
            let address = if same { RestartAddress::Same } else { RestartAddress::Other };
            SoakFault::Restart(engine, address)
        }
        ExtraKind::Lethal => SoakFault::Lethal,
        ExtraKind::Cuts => draw_cut(random, options.daemons).0,
        ExtraKind::Crowds => draw_crowd(random, options.daemons).0,
        ExtraKind::Silences => draw_silence(random),
        ExtraKind::Releases => draw_release(random, engine),
        ExtraKind::Steps | ExtraKind::WeakVms => draw_join(random),
        ExtraKind::Mixed => draw_trouble(random, options),
        ExtraKind::Notices => {
            let notices = [
                EngineNotice::Limit(2),
                EngineNotice::Limit(8),
                EngineNotice::Leaving,
                EngineNotice::Rest,
            ];
            let drawn = notices.choose(random).copied();
            SoakFault::Notice(engine, drawn.unwrap_or(EngineNotice::Leaving))
        }
        ExtraKind::Foreign => {
            let entry =
                ForeignEntry::ALL.choose(random).copied().unwrap_or(ForeignEntry::InvalidUtf8);
            match random.random_ratio(1, 3) {
                true => SoakFault::Overwrite(engine, entry),
                false => SoakFault::Foreign(entry),
            }
        }
    }
}

fn draw_stall(random: &mut StdRng, daemon: usize, engine: usize) -> SoakFault {
    let connections = [
        StalledConnections::All,
        StalledConnections::Peers(daemon),
        StalledConnections::Store(daemon),
        StalledConnections::Engine(engine),
    ];
    let drawn = connections.choose(random).copied();
    SoakFault::StallConnections(drawn.unwrap_or(StalledConnections::All))
}
