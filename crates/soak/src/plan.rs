//! Draws the faults of a run from its seed.

use std::time::Duration;

use curlewcleat_standins::fleet::{EngineLinkFault, EngineStep, ForeignEntry, StoreOutage};
use curlewcleat_standins::link::LinkFault;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use crate::cuts::CutDaemons;
use crate::extra::{RestartAddress, StalledConnections};
use crate::notices::EngineNotice;
use crate::silences::StreamChange;
use crate::steps::{DaemonGroup, JoinKind, OutOfStep};

/// Time before the first fault, in which the fleet reaches a steady state.
const WARM_UP: Duration = Duration::from_millis(600);
/// Range of the duration of a fault, in milliseconds.
const FAULT_MS: std::ops::Range<u64> = 150..2_500;
/// Range of the time between the starts of two faults, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 60..900;
/// One in this many faults is followed shortly by others of the same kind.
const SERIES_RATIO: u32 = 5;

/// Limits within which the faults are drawn.
#[derive(Clone, Copy, Debug)]
pub struct PlanOptions {
    /// Number of daemons in the fleet.
    pub daemons: usize,
    /// Number of engines at the start.
    pub engines: usize,
    /// Time within which all faults begin and end.
    pub time: Duration,
    /// Whether only planned work is injected: stops, reloads, configuration changes, engines that leave.
    pub planned_only: bool,
}

/// A fault of the daemon or engine with the given index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SoakFault {
    /// The process is killed and restarted.
    Kill(usize),
    /// An engine sends a notice about itself.
    Notice(usize, EngineNotice),
    /// The process is suspended (SIGSTOP) and resumed.
    Freeze(usize),
    /// The process is stopped with SIGTERM and restarted after it has exited.
    Stop(usize),
    /// The settings file changes and the process is signalled to reload it.
    Reload(usize),
    /// The link through which peers reach the daemon has a fault.
    PeerLink(usize, LinkFault),
    /// All connections through which peers reach the daemon are closed.
    PeerReset(usize),
    /// The link through which the daemon reaches the store has a fault.
    StoreLink(usize, LinkFault),
    /// All connections from the daemon to the store are closed.
    StoreReset(usize),
    /// The store fails for all daemons.
    Store(StoreOutage),
    /// The store applies this many writes without answering them.
    LostWrites(u64),
    /// The store discards its history, so that all watches have to restart.
    ForgetHistory,
    /// An engine fails.
    Engine(usize, EngineStep),
    /// A new engine replaces one whose list entry is marked as leaving and removed later.
    Leave(usize),
    /// An engine's list entry is removed while the engine still serves; a new engine replaces it.
    RemoveEntry(usize),
    /// The configuration changes without an effect on requests.
    ConfigChange,
    /// A key is revoked and restored later.
    RevokeKey,
    /// Open connections stall permanently.
    StallConnections(StalledConnections),
    /// An engine terminates and restarts with the same id.
    Restart(usize, RestartAddress),
    /// The store has a list entry that no engine wrote.
    Foreign(ForeignEntry),
    /// A request that terminates the engines running it is sent repeatedly.
    Lethal,
    /// Another writer overwrites an engine's list entry.
    Overwrite(usize, ForeignEntry),
    /// All engines cut off their next answers.
    CutAnswers(EngineStep),
    /// This share of the engines, in percent, falls silent.
    Silence(u8),
    /// The configuration of streams changes.
    ChangeStreams(StreamChange),
    /// An engine is replaced by one of this version.
    Release(usize, u32),
    /// Daemons are out of step: they stand still or are cut off.
    OutOfStep(DaemonGroup, OutOfStep),
    /// Bytes between daemons and the store are delayed by this time.
    SlowStore(DaemonGroup, Duration),
    /// Engines of this version join.
    Join(JoinKind, u32),
    /// Callers open many connections to a daemon, whose VM is weak meanwhile.
    Crowd(usize),
    /// One in three engines, from this one on, answers its next requests in this way.
    AnswerTrouble(usize, EngineStep),
    /// The rate of an account is lower for a time.
    LowerRate,
    /// Daemons lose their links to all engines.
    Cut(CutDaemons, EngineLinkFault),
}

impl SoakFault {
    /// Returns whether the fault is planned work, a crowd or a write of another party, around which no request may be
    /// lost.
    pub fn is_planned(self) -> bool {
        matches!(
            self,
            SoakFault::Stop(_)
                | SoakFault::Crowd(_)
                | SoakFault::Notice(..)
                | SoakFault::Reload(_)
                | SoakFault::ConfigChange
                | SoakFault::ChangeStreams(_)
                | SoakFault::Leave(_)
                | SoakFault::RevokeKey
                | SoakFault::Foreign(_)
                | SoakFault::Overwrite(..)
        )
    }
}

/// A fault with its start and duration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultStep {
    /// Time from the start of the traffic to the start of the fault.
    pub at: Duration,
    /// Duration, for faults that have one.
    pub time: Duration,
    /// The fault.
    pub fault: SoakFault,
}

/// Returns the faults of a seed, ordered by their start. All end within the time of the options.
pub fn plan(seed: u64, options: &PlanOptions) -> Vec<FaultStep> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut at = WARM_UP;
    loop {
        let fault = draw(&mut random, options);
        let series = match random.random_ratio(1, SERIES_RATIO) {
            true => random.random_range(2..=4),
            false => 1,
        };
        for _ in 0..series {
            let time = Duration::from_millis(random.random_range(FAULT_MS));
            if at + time > options.time {
                return steps;
            }
            steps.push(FaultStep { at, time, fault: redrawn(&mut random, options, fault) });
            at += Duration::from_millis(random.random_range(PAUSE_MS) / series);
        }
    }
}

fn draw(random: &mut StdRng, options: &PlanOptions) -> SoakFault {
    let daemon = random.random_range(0..options.daemons);
    let engine = random.random_range(0..options.engines);
    let planned = [
        SoakFault::Stop(daemon),
        SoakFault::Reload(daemon),
        SoakFault::Leave(engine),
        SoakFault::ConfigChange,
        SoakFault::RevokeKey,
    ];
    if options.planned_only || random.random_ratio(1, 4) {
        return planned[random.random_range(0..planned.len())];
    }
    match random.random_range(0..11) {
        0 => SoakFault::Kill(daemon),
        1 => SoakFault::Freeze(daemon),
        2 | 3 => SoakFault::PeerLink(daemon, link_fault(random)),
        4 => SoakFault::PeerReset(daemon),
        5 => SoakFault::StoreLink(daemon, link_fault(random)),
        6 => SoakFault::StoreReset(daemon),
        7 => SoakFault::Store(store_outage(random)),
        8 => match random.random_ratio(1, 2) {
            true => SoakFault::ForgetHistory,
            false => SoakFault::LostWrites(random.random_range(1..4)),
        },
        9 => SoakFault::RemoveEntry(engine),
        _ => SoakFault::Engine(engine, engine_step(random)),
    }
}

/// Returns the same fault on a newly drawn daemon or engine.
fn redrawn(random: &mut StdRng, options: &PlanOptions, fault: SoakFault) -> SoakFault {
    let daemon = random.random_range(0..options.daemons);
    let engine = random.random_range(0..options.engines);
    match fault {
        SoakFault::Kill(_) => SoakFault::Kill(daemon),
        SoakFault::Freeze(_) => SoakFault::Freeze(daemon),
        SoakFault::Stop(_) => SoakFault::Stop(daemon),
        SoakFault::Reload(_) => SoakFault::Reload(daemon),
        SoakFault::PeerLink(_, kind) => SoakFault::PeerLink(daemon, kind),
        SoakFault::PeerReset(_) => SoakFault::PeerReset(daemon),
        SoakFault::StoreLink(_, kind) => SoakFault::StoreLink(daemon, kind),
        SoakFault::StoreReset(_) => SoakFault::StoreReset(daemon),
        SoakFault::Engine(_, step) => SoakFault::Engine(engine, step),
        SoakFault::Leave(_) => SoakFault::Leave(engine),
        SoakFault::RemoveEntry(_) => SoakFault::RemoveEntry(engine),
        other => other,
    }
}

fn link_fault(random: &mut StdRng) -> LinkFault {
    let delay = Duration::from_millis(random.random_range(5..400));
    let faults = [
        LinkFault::Delay(delay),
        LinkFault::BlockUpstream,
        LinkFault::BlockDownstream,
        LinkFault::BlockBoth,
        LinkFault::Stall,
    ];
    faults.choose(random).copied().unwrap_or_default()
}

fn store_outage(random: &mut StdRng) -> StoreOutage {
    let outages = [
        StoreOutage::Status(503),
        StoreOutage::Status(429),
        StoreOutage::Unresponsive,
        StoreOutage::Closed,
    ];
    outages.choose(random).copied().unwrap_or(StoreOutage::Closed)
}

fn engine_step(random: &mut StdRng) -> EngineStep {
    let steps = [
        EngineStep::Decline,
        EngineStep::Fail(500),
        EngineStep::Close,
        EngineStep::Interrupt(random.random_range(0..4)),
        EngineStep::Stall,
        EngineStep::AnswerTwice,
        EngineStep::WithoutLength,
    ];
    steps.choose(random).copied().unwrap_or(EngineStep::Close)
}
