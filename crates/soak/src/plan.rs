//! The faults of a run, drawn from its seed.

use std::time::Duration;

use curlewcleat_standins::fleet::{EngineStep, ForeignEntry, StoreOutage};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use crate::extra::{RestartPlace, SilentConnections};
use crate::link::LinkFault;
use crate::words::EngineWord;

/// Time before the first fault, in which the fleet settles.
const SETTLED: Duration = Duration::from_millis(600);
/// Shortest and longest time of a fault, in milliseconds.
const FAULT_MS: std::ops::Range<u64> = 150..2_500;
/// Shortest and longest pause between the beginnings of two faults, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 60..900;
/// One in so many faults is followed at once by others of its kind.
const SERIES: u32 = 5;

/// What is drawn from.
#[derive(Clone, Copy, Debug)]
pub struct PlanOptions {
    /// Daemons of the fleet.
    pub daemons: usize,
    /// Engines at the beginning.
    pub engines: usize,
    /// Time in which faults begin and end.
    pub time: Duration,
    /// Whether only planned work happens: stops, reloads, changes, engines that leave.
    pub planned_only: bool,
}

/// A fault, on the daemon or engine with this number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SoakFault {
    /// The process is killed and started again.
    Kill(usize),
    /// An engine says something of itself.
    Word(usize, EngineWord),
    /// The process stands still.
    Freeze(usize),
    /// The process is told to stop and started again after its end.
    Stop(usize),
    /// The settings file changes and the process is told.
    Reload(usize),
    /// The link on which peers reach the daemon.
    PeerLink(usize, LinkFault),
    /// All connections on which peers reach the daemon are closed.
    PeerReset(usize),
    /// The link on which the daemon reaches the store.
    StoreLink(usize, LinkFault),
    /// All connections from the daemon to the store are closed.
    StoreReset(usize),
    /// The store fails for all.
    Store(StoreOutage),
    /// The store loses the answers of so many writes.
    LostWrites(u64),
    /// The store forgets its history.
    Forget,
    /// An engine fails.
    Engine(usize, EngineStep),
    /// An engine says that it leaves, and ends later; another one comes.
    Leave(usize),
    /// An engine's entry disappears while it still serves.
    Vanish(usize),
    /// The configuration changes in a way that no request notices.
    Change,
    /// A key is taken away, and given back.
    TakeKey,
    /// Open connections go silent for good.
    Silence(SilentConnections),
    /// An engine ends and starts again under its id.
    Restart(usize, RestartPlace),
    /// There is an entry that is not an engine's.
    Foreign(ForeignEntry),
    /// A request under which engines end comes again and again.
    Lethal,
    /// Another writer writes over an engine's entry.
    Overwrite(usize, ForeignEntry),
}

impl SoakFault {
    /// Whether it is planned work, or what others write: nothing may be lost around it.
    pub fn is_planned(self) -> bool {
        matches!(
            self,
            SoakFault::Stop(_)
                | SoakFault::Word(..)
                | SoakFault::Reload(_)
                | SoakFault::Change
                | SoakFault::Leave(_)
                | SoakFault::TakeKey
                | SoakFault::Foreign(_)
                | SoakFault::Overwrite(..)
        )
    }
}

/// A fault with its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultStep {
    /// When it begins, counted from the beginning of the traffic.
    pub at: Duration,
    /// How long it lasts, where it lasts.
    pub time: Duration,
    /// What it is.
    pub fault: SoakFault,
}

/// The faults of a seed, in order of their beginnings. All end within the time of the options.
pub fn plan(seed: u64, options: &PlanOptions) -> Vec<FaultStep> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut at = SETTLED;
    loop {
        let fault = draw(&mut random, options);
        let series = match random.random_ratio(1, SERIES) {
            true => random.random_range(2..=4),
            false => 1,
        };
        for _ in 0..series {
            let time = Duration::from_millis(random.random_range(FAULT_MS));
            if at + time > options.time {
                return steps;
            }
            steps.push(FaultStep { at, time, fault: elsewhere(&mut random, options, fault) });
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
        SoakFault::Change,
        SoakFault::TakeKey,
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
            true => SoakFault::Forget,
            false => SoakFault::LostWrites(random.random_range(1..4)),
        },
        9 => SoakFault::Vanish(engine),
        _ => SoakFault::Engine(engine, engine_step(random)),
    }
}

/// The same fault on another daemon or engine.
fn elsewhere(random: &mut StdRng, options: &PlanOptions, fault: SoakFault) -> SoakFault {
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
        SoakFault::Vanish(_) => SoakFault::Vanish(engine),
        other => other,
    }
}

fn link_fault(random: &mut StdRng) -> LinkFault {
    let delay = Duration::from_millis(random.random_range(5..400));
    let faults = [
        LinkFault::Delay(delay),
        LinkFault::CutThere,
        LinkFault::CutBack,
        LinkFault::Silent,
        LinkFault::Deaf,
    ];
    faults.choose(random).copied().unwrap_or_default()
}

fn store_outage(random: &mut StdRng) -> StoreOutage {
    let outages = [
        StoreOutage::Status(503),
        StoreOutage::Status(429),
        StoreOutage::Silent,
        StoreOutage::Closed,
    ];
    outages.choose(random).copied().unwrap_or(StoreOutage::Closed)
}

fn engine_step(random: &mut StdRng) -> EngineStep {
    let steps = [
        EngineStep::Decline,
        EngineStep::Fail(500),
        EngineStep::Close,
        EngineStep::Break(random.random_range(0..4)),
        EngineStep::Silent,
        EngineStep::Twice,
        EngineStep::Unframed,
    ];
    steps.choose(random).copied().unwrap_or(EngineStep::Close)
}
