//! A fleet of which most daemons have a small part of a core: they stand still all the time, and the store is slow or
//! out of reach for a part of them meanwhile.
//!
//! Owns: which daemons are weak, when they stand still, and the trouble with the store. Relies on: `steps` for versions
//! that join and daemons that are out of step.

use std::cell::RefCell;
use std::ops::Range;
use std::time::{Duration, Instant};

use anyhow::Result;
use curlewcleat_standins::duty_cycle::{DutyCycle, DutyPattern};
use curlewcleat_standins::link::LinkFault;
use futures_util::future::join_all;
use rand::rngs::StdRng;
use rand::Rng;

use crate::extra::ExtraKind;
use crate::fleet::{DaemonHandle, SoakFleet};
use crate::plan::{FaultStep, PlanOptions, SoakFault};
use crate::steps::{draw_series, CutDirection, DaemonGroup, OutOfStep};

/// One in this many daemons has a core of its own.
const STRONG_RATIO: usize = 16;
/// Range of the length of a standstill of a weak daemon, in milliseconds.
const STANDSTILL_MS: Range<u64> = 50..450;
/// The same, where daemons have a larger part of a core.
const SHORT_STANDSTILL_MS: Range<u64> = 20..120;
/// Range of the delay of bytes to and from a slow store, in milliseconds.
const STORE_DELAY_MS: Range<u64> = 50..600;
/// Range of the time for which a part of the daemons has trouble with the store, in milliseconds.
const STORE_TROUBLE_MS: Range<u64> = 500..4_000;
/// The store is slow or out of reach for one in this many daemons.
const STORE_TROUBLE_RATIO: usize = 3;

/// The standstills of the weak daemons.
#[derive(Default)]
pub struct Standstills {
    /// The cycle with its start, while daemons are weak.
    cycle: RefCell<Option<(DutyCycle, Instant)>>,
}

/// Returns whether the daemon with this index is weak.
fn is_weak(index: usize) -> bool {
    index % STRONG_RATIO != STRONG_RATIO - 1
}

/// Draws a series with versions that join and daemons that are out of step, beside trouble with the store.
pub fn draw_weak_series(
    random: &mut StdRng,
    start: Duration,
    options: &PlanOptions,
) -> Vec<FaultStep> {
    let mut steps = draw_series(random, start, options);
    let group = DaemonGroup {
        first: random.random_range(0..options.daemons),
        count: options.daemons.div_ceil(STORE_TROUBLE_RATIO),
    };
    let fault = match random.random_ratio(1, 2) {
        true => SoakFault::OutOfStep(group, OutOfStep::CutFromStore(CutDirection::Both)),
        false => {
            let delay = Duration::from_millis(random.random_range(STORE_DELAY_MS));
            SoakFault::SlowStore(group, delay)
        }
    };
    let time = Duration::from_millis(random.random_range(STORE_TROUBLE_MS));
    if start + time <= options.time {
        steps.push(FaultStep { at: start, time, fault });
    }
    steps
}

impl SoakFleet {
    /// Makes most daemons weak, in runs of this kind.
    ///
    /// # Errors
    /// Fails if a daemon has exited.
    pub fn begin_standstills(&self) -> Result<()> {
        let Range { start, end } = match self.options.extra {
            Some(ExtraKind::WeakVms) => STANDSTILL_MS,
            Some(ExtraKind::Mixed) => SHORT_STANDSTILL_MS,
            _ => return Ok(()),
        };
        let standstill = Duration::from_millis(start)..Duration::from_millis(end);
        let run_share = f64::from(self.options.weak_percent) / 100.0;
        let cycle = DutyCycle::start(self.options.seed, DutyPattern { run_share, standstill });
        self.standstills.cycle.replace(Some((cycle, Instant::now())));
        self.daemons.iter().try_for_each(|daemon| self.weaken(daemon))
    }

    /// Lets all daemons run without interruption, and records the standstills as one fault.
    pub fn end_standstills(&self) {
        if let Some((cycle, begun)) = self.standstills.cycle.take() {
            cycle.close();
            self.evidence.borrow_mut().faults.push((begun, Instant::now()));
        }
    }

    /// Makes a daemon stand still in turns, if it is weak.
    pub fn weaken(&self, daemon: &DaemonHandle) -> Result<()> {
        match (&*self.standstills.cycle.borrow(), is_weak(daemon.index)) {
            (Some((cycle, _)), true) => cycle.add(&daemon.process.borrow(), daemon.index as u64),
            _ => Ok(()),
        }
    }

    /// Same as [`weaken`](SoakFleet::weaken); a daemon that has exited is a failure of the run.
    pub fn weaken_or_record(&self, daemon: &DaemonHandle) {
        if let Err(error) = self.weaken(daemon) {
            self.record_failure(format!("{} cannot stand still: {error:#}", daemon.name));
        }
    }

    /// Lets a daemon run without interruption.
    pub fn strengthen(&self, daemon: &DaemonHandle) {
        if let Some((cycle, _)) = &*self.standstills.cycle.borrow() {
            cycle.remove(daemon.process.borrow().id());
        }
    }

    /// Delays the bytes between these daemons and the store for a time.
    pub async fn slow_store(&self, group: DaemonGroup, delay: Duration, time: Duration) {
        let indexes = group.indexes(self.daemons.len());
        let fault = LinkFault::Delay(delay);
        join_all(indexes.into_iter().map(|index| self.store_fault(index, fault, time))).await;
    }
}
