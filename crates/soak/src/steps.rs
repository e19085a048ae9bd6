//! Engines of other versions that join while daemons are out of step: standing still, or cut off from other daemons or
//! from the store. Meanwhile engines and entry daemons end, so that streams break off and are taken up elsewhere.
//!
//! Owns: the series of these faults, and how daemons are cut off. Relies on: callers that take up their streams, and the
//! check of the versions that ran a stream.

use std::time::Duration;

use anyhow::Result;
use curlewcleat_standins::link::LinkFault;
use futures_util::future::{join_all, try_join_all};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::Rng;

use crate::engines::BACKENDS;
use crate::extra::RestartAddress;
use crate::fleet::SoakFleet;
use crate::plan::{FaultStep, PlanOptions, SoakFault};
use crate::releases::VERSIONS;

/// Range of the pause between the starts of two series, in milliseconds.
pub const SERIES_PAUSE_MS: std::ops::Range<u64> = 1_000..3_000;
/// Range of the time for which daemons are out of step, in milliseconds: some shorter than the suspicion timeout, some
/// longer than a split may be used.
const OUT_OF_STEP_MS: std::ops::Range<u64> = 300..4_000;
/// Range of the time from the start of a series to a version that joins, in milliseconds.
const JOIN_AFTER_MS: std::ops::Range<u64> = 0..1_500;
/// Range of the time from the start of a series to a process that ends, in milliseconds.
const END_AFTER_MS: std::ops::Range<u64> = 200..4_000;
/// Range of the time for which a process is gone or an engine is leaving, in milliseconds.
const GONE_MS: std::ops::Range<u64> = 100..1_200;
/// Index of the service in [`BACKENDS`] that runs streams.
const STREAM_SERVICE: usize = 1;

/// Daemons with consecutive indexes, after the last one the first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DaemonGroup {
    /// Index of the first one.
    pub first: usize,
    /// Number of daemons.
    pub count: usize,
}

/// Direction in which nothing arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutDirection {
    /// From the daemons.
    Outgoing,
    /// To the daemons.
    Incoming,
    /// Both.
    Both,
}

/// Why daemons are out of step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutOfStep {
    /// They stand still.
    Frozen,
    /// They and the other daemons do not reach each other.
    CutFromDaemons(CutDirection),
    /// They and the store do not reach each other.
    CutFromStore(CutDirection),
    /// Both.
    CutFromAll(CutDirection),
}

/// Engines of a version that join.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JoinKind {
    /// One joins the others.
    Beside,
    /// They replace all engines of the service.
    Replacing,
}

impl DaemonGroup {
    /// Returns the indexes of its daemons in a fleet.
    pub(crate) fn indexes(self, daemons: usize) -> Vec<usize> {
        (0..self.count.min(daemons)).map(|offset| (self.first + offset) % daemons).collect()
    }
}

impl CutDirection {
    fn is_incoming(self) -> bool {
        self != CutDirection::Outgoing
    }

    fn is_outgoing(self) -> bool {
        self != CutDirection::Incoming
    }

    /// Returns the fault of a link that daemons dial.
    fn dialed_fault(self) -> LinkFault {
        match self {
            CutDirection::Outgoing => LinkFault::BlockUpstream,
            CutDirection::Incoming => LinkFault::BlockDownstream,
            CutDirection::Both => LinkFault::BlockBoth,
        }
    }
}

/// Draws a series that starts at a time: daemons that are out of step, versions that join and processes that end meanwhile.
/// Faults that would last longer than the run are left out.
pub fn draw_series(random: &mut StdRng, start: Duration, options: &PlanOptions) -> Vec<FaultStep> {
    let mut steps = Vec::new();
    let mut add = |random: &mut StdRng, after, time, fault| {
        let at = start + drawn_ms(random, after);
        let time = drawn_ms(random, time);
        steps.push(FaultStep { at, time, fault });
    };
    for _ in 0..random.random_range(1..=2) {
        let fault = draw_out_of_step(random, options.daemons);
        add(random, 0..800, OUT_OF_STEP_MS, fault);
    }
    for _ in 0..random.random_range(1..=2) {
        let fault = draw_join(random);
        add(random, JOIN_AFTER_MS, GONE_MS, fault);
    }
    for _ in 0..random.random_range(2..=4) {
        let fault = draw_end(random, options);
        add(random, END_AFTER_MS, GONE_MS, fault);
    }
    steps.retain(|step| step.at + step.time <= options.time);
    steps
}

fn drawn_ms(random: &mut StdRng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(random.random_range(range))
}

pub(crate) fn draw_out_of_step(random: &mut StdRng, daemons: usize) -> SoakFault {
    let count = match random.random_ratio(1, 2) {
        true => 1,
        false => random.random_range(1..daemons.max(2)),
    };
    let group = DaemonGroup { first: random.random_range(0..daemons), count };
    let directions = [CutDirection::Outgoing, CutDirection::Incoming, CutDirection::Both];
    let direction = directions.choose(random).copied().unwrap_or(CutDirection::Both);
    let reason = match random.random_range(0..5) {
        0 | 1 => OutOfStep::Frozen,
        2 => OutOfStep::CutFromDaemons(direction),
        3 => OutOfStep::CutFromStore(direction),
        _ => OutOfStep::CutFromAll(direction),
    };
    SoakFault::OutOfStep(group, reason)
}

/// Draws a version that joins.
pub fn draw_join(random: &mut StdRng) -> SoakFault {
    let kind = match random.random_ratio(1, 2) {
        true => JoinKind::Beside,
        false => JoinKind::Replacing,
    };
    SoakFault::Join(kind, random.random_range(1..=VERSIONS))
}

fn draw_end(random: &mut StdRng, options: &PlanOptions) -> SoakFault {
    match random.random_range(0..5) {
        0..3 => SoakFault::Kill(random.random_range(0..options.daemons)),
        _ => {
            let number = random.random_range(0..options.engines / BACKENDS.len());
            let engine = number * BACKENDS.len() + STREAM_SERVICE;
            SoakFault::Restart(engine, RestartAddress::Other)
        }
    }
}

impl SoakFleet {
    /// Puts daemons out of step for a time. Of cuts from the store that overlap, the first end ends all.
    pub async fn put_out_of_step(
        &self,
        group: DaemonGroup,
        reason: OutOfStep,
        time: Duration,
    ) -> Result<()> {
        let group = group.indexes(self.daemons.len());
        match reason {
            OutOfStep::Frozen => {
                try_join_all(group.iter().map(|index| self.freeze(*index, time))).await?;
            }
            OutOfStep::CutFromDaemons(direction) => {
                self.cut_from_daemons(&group, direction, time).await
            }
            OutOfStep::CutFromStore(direction) => {
                self.cut_from_store(&group, direction, time).await
            }
            OutOfStep::CutFromAll(direction) => {
                let from_daemons = self.cut_from_daemons(&group, direction, time);
                let from_store = self.cut_from_store(&group, direction, time);
                futures_util::join!(from_daemons, from_store);
            }
        }
        Ok(())
    }

    /// Makes frames between these daemons and all others wait for a time.
    async fn cut_from_daemons(&self, group: &[usize], direction: CutDirection, time: Duration) {
        let others = (0..self.daemons.len()).filter(|index| !group.contains(index));
        let pairs = others.flat_map(|other| group.iter().map(move |index| (*index, other)));
        // Sender and receiver of each direction that is cut.
        let mut cuts = Vec::new();
        for (index, other) in pairs {
            cuts.extend(direction.is_incoming().then_some((other, index)));
            cuts.extend(direction.is_outgoing().then_some((index, other)));
        }
        for (sender, receiver) in &cuts {
            self.daemons[*receiver].peer_link.block_sender(&self.daemons[*sender].name);
        }
        tokio::time::sleep(time).await;
        for (sender, receiver) in &cuts {
            self.daemons[*receiver].peer_link.unblock_sender(&self.daemons[*sender].name);
        }
    }

    async fn cut_from_store(&self, group: &[usize], direction: CutDirection, time: Duration) {
        let fault = direction.dialed_fault();
        join_all(group.iter().map(|index| self.store_fault(*index, fault, time))).await;
    }

    /// Starts engines of a version for streams: one beside the others, up to twice the number at the start, or one in place
    /// of each other one, which leaves after a time.
    pub async fn join_version(&self, kind: JoinKind, version: u32, time: Duration) -> Result<()> {
        let backend = BACKENDS[STREAM_SERVICE];
        let is_full = self.engines.borrow().len() >= 2 * self.options.engines * BACKENDS.len();
        if kind == JoinKind::Beside && !is_full {
            self.version.set(version);
            let handle = self.new_engine(backend).await?;
            self.engines.borrow_mut().push(handle);
            return Ok(());
        }
        let indexes: Vec<usize> = {
            let engines = self.engines.borrow();
            let of_service = engines.iter().enumerate().filter(|(_, it)| it.backend == backend);
            of_service.map(|(index, _)| index).collect()
        };
        let replaced = match kind {
            JoinKind::Beside => &indexes[indexes.len() - 1..],
            JoinKind::Replacing => &indexes,
        };
        try_join_all(replaced.iter().map(|index| self.release(*index, version, time))).await?;
        Ok(())
    }
}
