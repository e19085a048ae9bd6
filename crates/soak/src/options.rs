//! Options of a run.

use std::path::PathBuf;
use std::time::Duration;

use crate::extra::ExtraKind;
use crate::plan::FaultStep;

/// Part of a core that weak daemons have unless stated, in percent.
pub const WEAK_PERCENT: u8 = 8;

/// Seed, sizes, faults and folder of a run.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// Seed of the random choice of faults and requests.
    pub seed: u64,
    /// Number of daemons.
    pub daemons: usize,
    /// Number of engines of each service.
    pub engines: usize,
    /// Number of callers.
    pub callers: usize,
    /// Time during which faults are injected.
    pub time: Duration,
    /// Whether only planned work is injected.
    pub planned_only: bool,
    /// Number of additional routes that no caller uses.
    pub routes: usize,
    /// Bandwidth of each connection between two daemons, in megabits per second; `None` for no limit.
    pub link_mbps: Option<u64>,
    /// Kind of faults to inject in addition to those drawn from the seed.
    pub extra: Option<ExtraKind>,
    /// Part of a core that weak daemons have, in percent; for [`ExtraKind::WeakVms`] and [`ExtraKind::Mixed`].
    pub weak_percent: u8,
    /// Variable in which the system's loader expects additional libraries; needed for [`ExtraKind::Cuts`].
    pub loader_variable: Option<String>,
    /// Faults to inject instead of those drawn from the seed.
    pub script: Option<Vec<FaultStep>>,
    /// Folder for settings and logs.
    pub folder: PathBuf,
}
