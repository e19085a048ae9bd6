//! Generates faults of daemons, and changes of the versions of targets beside them.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use super::play::{PlayCounts, StreamPlay};
use super::support::streams::set_versions;
use super::support::Fleet;

/// Time in which faults and changes begin.
const PLAN_MS: u64 = 9_000;
/// Time between two new streams.
const STREAM_INTERVAL: Duration = Duration::from_millis(100);

/// What is done to a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FaultKind {
    /// It and the other daemons do not reach each other.
    Cut,
    /// Frames to it are lost, while its own arrive.
    CutOneWay,
    /// It does not reach the platform.
    StoreCut,
    /// It reaches neither.
    CutFromAll,
    /// Its reads of the splits are answered late.
    StoreSlow,
    /// It does not run.
    StandsStill,
    /// It does not run, and afterwards does not reach the platform.
    StandsStillThenStoreCut,
    /// It is killed and starts again.
    Kill,
    /// All are killed and start again.
    KillAll,
    /// Its wall clock is ahead of the others.
    ClockAhead,
    /// The wall clocks of the others are ahead of its own.
    ClockBehind,
}

const KINDS: [FaultKind; 11] = [
    FaultKind::Cut,
    FaultKind::CutOneWay,
    FaultKind::StoreCut,
    FaultKind::CutFromAll,
    FaultKind::StoreSlow,
    FaultKind::StandsStill,
    FaultKind::StandsStillThenStoreCut,
    FaultKind::Kill,
    FaultKind::KillAll,
    FaultKind::ClockAhead,
    FaultKind::ClockBehind,
];
/// Largest difference between the wall clocks of two daemons.
const CLOCK_DIFFERENCE: Duration = Duration::from_secs(2);
/// Versions that serve one after the other.
const CHANGES: [&[&str]; 5] = [&["v1", "v2"], &["v2"], &["v1"], &["v2", "v3"], &["v1", "v3"]];

/// A step of a plan.
#[derive(Clone, Debug)]
enum PlanStep {
    Begin(FaultKind, usize),
    End(FaultKind, usize),
    Versions(&'static [&'static str]),
}

/// Plays a generated plan.
pub fn play_seed(seed: u64) -> PlayCounts {
    let mut random = StdRng::seed_from_u64(seed);
    let daemons = random.random_range(3..=6);
    let mut play = StreamPlay::start(daemons);
    let mut steps = plan(&mut random, &play);
    steps.sort_by_key(|(at, _)| *at);
    let begun_at = play.fleet.now;
    let end = begun_at + Duration::from_millis(PLAN_MS + 4_000);
    let mut incarnation = 1;
    while play.fleet.now < end {
        while steps.first().is_some_and(|(at, _)| begun_at + *at <= play.fleet.now) {
            let (_, step) = steps.remove(0);
            incarnation += 1;
            apply(&mut play, step, incarnation);
        }
        play.begin(random.random_range(0..daemons));
        take_up_some(&mut random, &mut play);
        play.run(STREAM_INTERVAL);
    }
    play.counts
}

fn plan(random: &mut StdRng, play: &StreamPlay) -> Vec<(Duration, PlanStep)> {
    let mut steps = Vec::new();
    let scheduler = play.fleet.leader();
    for _ in 0..random.random_range(1..=3) {
        let daemon = match random.random_bool(0.6) {
            true => scheduler,
            false => random.random_range(0..play.fleet.daemons.len()),
        };
        let kind = *KINDS.choose(random).expect("a kind");
        let from = Duration::from_millis(random.random_range(0..PLAN_MS));
        let lasts = Duration::from_millis(random.random_range(200..6_000));
        steps.push((from, PlanStep::Begin(kind, daemon)));
        steps.push((from + lasts, PlanStep::End(kind, daemon)));
    }
    if random.random_bool(0.5) {
        let kind = *[FaultKind::ClockAhead, FaultKind::ClockBehind].choose(random).expect("a kind");
        let daemon = random.random_range(0..play.fleet.daemons.len());
        steps.push((Duration::ZERO, PlanStep::Begin(kind, daemon)));
    }
    for _ in 0..random.random_range(1..=3) {
        let at = Duration::from_millis(random.random_range(0..PLAN_MS));
        steps.push((at, PlanStep::Versions(CHANGES.choose(random).expect("versions"))));
    }
    steps
}

fn take_up_some(random: &mut StdRng, play: &mut StreamPlay) {
    let awaited: Vec<_> =
        play.begun.iter().filter(|begun| play.is_awaited(begun)).cloned().collect();
    for _ in 0..2 {
        let Some(begun) = awaited.choose(random) else { return };
        let entry = random.random_range(0..play.fleet.daemons.len());
        if entry != begun.entry {
            play.take_up(begun, entry);
        }
    }
}

fn apply(play: &mut StreamPlay, step: PlanStep, incarnation: u64) {
    match step {
        PlanStep::Versions(versions) => set_versions(&mut play.fleet, versions),
        PlanStep::Begin(kind, index) => begin_fault(&mut play.fleet, kind, index, incarnation),
        PlanStep::End(kind, index) => end_fault(&mut play.fleet, kind, index),
    }
}

fn begin_fault(fleet: &mut Fleet, kind: FaultKind, index: usize, incarnation: u64) {
    let all = 0..fleet.daemons.len();
    match kind {
        FaultKind::Cut => fleet.block(index, all, true),
        FaultKind::CutOneWay => fleet.block(index, all, false),
        FaultKind::StoreCut => fleet.daemons[index].reaches_platform = false,
        FaultKind::CutFromAll => {
            fleet.block(index, all, true);
            fleet.daemons[index].reaches_platform = false;
        }
        FaultKind::StoreSlow => {
            fleet.history_delays.insert(index, Duration::from_millis(700));
        }
        FaultKind::StandsStill | FaultKind::StandsStillThenStoreCut => fleet.suspend(index),
        FaultKind::Kill => fleet.restart(index, incarnation),
        FaultKind::KillAll => all.for_each(|index| fleet.restart(index, incarnation)),
        FaultKind::ClockAhead => {
            fleet.clocks_ahead.insert(index, CLOCK_DIFFERENCE);
        }
        FaultKind::ClockBehind => {
            let others = all.filter(|other| *other != index);
            fleet.clocks_ahead = others.map(|other| (other, CLOCK_DIFFERENCE)).collect();
        }
    }
}

fn end_fault(fleet: &mut Fleet, kind: FaultKind, index: usize) {
    let is_cut = [FaultKind::Cut, FaultKind::CutOneWay, FaultKind::CutFromAll].contains(&kind);
    fleet.blocked.retain(|(from, to)| !(is_cut && [*from, *to].contains(&index)));
    match kind {
        FaultKind::StoreCut | FaultKind::CutFromAll => {
            fleet.daemons[index].reaches_platform = true;
        }
        FaultKind::StoreSlow => {
            fleet.history_delays.remove(&index);
        }
        FaultKind::StandsStill => fleet.resume(index),
        FaultKind::StandsStillThenStoreCut => {
            fleet.daemons[index].reaches_platform = false;
            fleet.resume(index);
        }
        FaultKind::ClockAhead | FaultKind::ClockBehind => fleet.clocks_ahead.clear(),
        FaultKind::Cut | FaultKind::CutOneWay | FaultKind::Kill | FaultKind::KillAll => {}
    }
}
