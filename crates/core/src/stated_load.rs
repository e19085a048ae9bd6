//! Stated load: the figures that a target puts in its answers about its own load and the speed of its VM.
//!
//! Inputs: the text of the header: requests running, requests waiting, slots, and at some deployments a fourth figure, the
//! time that work takes on the target's VM at this moment in percent of the usual. The rule: the first three figures are
//! used together or not at all; an unusable fourth figure counts as not stated.
//!
//! Owns: the type of a statement and the range of its figures. Relies on: the code that reads the header for its name.

use serde::{Deserialize, Serialize};

/// Largest number of requests or slots that is believed of a single target.
const MAX_REQUESTS: f64 = 100_000.0;
/// Range of the believed slowness, in percent of the usual: a hundredth of the usual time to a hundred times as long.
const SLOWNESS_RANGE: (f64, f64) = (1.0, 10_000.0);
/// Number of figures that every statement has.
const REQUIRED_FIGURES: usize = 3;

/// What a target states of its load at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StatedLoad {
    /// Number of requests that run at the target, from all senders.
    pub running: u32,
    /// Number of requests that wait at the target, from all senders.
    pub waiting: u32,
    /// Number of requests that it can run at the same time.
    pub slots: u32,
    /// Time that work takes on its VM at this moment, 100 as usual; `None` where the target states no usable figure.
    pub slowness_percent: Option<u32>,
}

/// Why a figure is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LoadFault {
    /// A figure is missing or empty.
    Absent,
    /// A figure is not a finite number, or there are more figures than are known.
    Malformed,
    /// A figure is below zero.
    Negative,
    /// A figure is larger or smaller than any target has.
    Absurd,
    /// The header occurs more than once, so that it is unknown which statement holds.
    Repeated,
}

impl LoadFault {
    /// All causes.
    pub const ALL: &'static [LoadFault] = &[
        LoadFault::Absent,
        LoadFault::Malformed,
        LoadFault::Negative,
        LoadFault::Absurd,
        LoadFault::Repeated,
    ];

    /// Returns the name in metrics and log lines.
    pub fn code(self) -> &'static str {
        match self {
            LoadFault::Absent => "absent",
            LoadFault::Malformed => "malformed",
            LoadFault::Negative => "negative",
            LoadFault::Absurd => "absurd",
            LoadFault::Repeated => "repeated",
        }
    }
}

/// The result of reading the header of one answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReading {
    /// The statement, `None` if there is none or it is unusable.
    pub load: Option<StatedLoad>,
    /// Why the statement, or its fourth figure, is ignored.
    pub fault: Option<LoadFault>,
}

impl LoadReading {
    /// Reads the values of the header, one text for each time that it occurs.
    pub fn of<'a>(mut values: impl Iterator<Item = &'a str>) -> LoadReading {
        let Some(text) = values.next() else { return LoadReading::default() };
        if values.next().is_some() {
            return LoadReading::unusable(LoadFault::Repeated);
        }
        let figures: Vec<&str> = text.split(',').map(str::trim).collect();
        if figures.len() > REQUIRED_FIGURES + 1 {
            return LoadReading::unusable(LoadFault::Malformed);
        }
        match read_counts(&figures) {
            Ok(load) => LoadReading::with_slowness(load, figures.get(REQUIRED_FIGURES).copied()),
            Err(fault) => LoadReading::unusable(fault),
        }
    }

    fn unusable(fault: LoadFault) -> LoadReading {
        LoadReading { load: None, fault: Some(fault) }
    }

    fn with_slowness(load: StatedLoad, text: Option<&str>) -> LoadReading {
        let Some(text) = text else { return LoadReading { load: Some(load), fault: None } };
        let slowness = read_figure(text).and_then(|figure| in_range(figure, SLOWNESS_RANGE));
        let load = StatedLoad { slowness_percent: slowness.ok(), ..load };
        LoadReading { load: Some(load), fault: slowness.err() }
    }
}

/// Reads the figures that every statement has. A target without slots runs nothing, so it cannot have answered.
fn read_counts(figures: &[&str]) -> Result<StatedLoad, LoadFault> {
    let count = |index: usize, lowest: f64| {
        // A missing figure is read like an empty one, which is malformed.
        let text = figures.get(index).copied().unwrap_or_default();
        read_figure(text).and_then(|figure| in_range(figure, (lowest, MAX_REQUESTS)))
    };
    Ok(StatedLoad {
        running: count(0, 0.0)?,
        waiting: count(1, 0.0)?,
        slots: count(2, 1.0)?,
        slowness_percent: None,
    })
}

fn read_figure(text: &str) -> Result<f64, LoadFault> {
    if text.is_empty() {
        return Err(LoadFault::Absent);
    }
    // The parser's error says no more than the cause does.
    let figure: f64 = text.parse().map_err(|_| LoadFault::Malformed)?;
    match figure {
        _ if !figure.is_finite() => Err(LoadFault::Malformed),
        _ if figure < 0.0 => Err(LoadFault::Negative),
        _ => Ok(figure),
    }
}

/// Returns a figure within a range, rounded down.
fn in_range(figure: f64, (lowest, highest): (f64, f64)) -> Result<u32, LoadFault> {
    match (lowest..=highest).contains(&figure) {
        true => Ok(figure as u32),
        false => Err(LoadFault::Absurd),
    }
}
