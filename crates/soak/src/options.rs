//! What a run is made with.

use std::path::PathBuf;
use std::time::Duration;

use crate::extra::ExtraKind;
use crate::plan::FaultStep;

/// Sizes, seed and folder of a run.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// Draws the faults and the requests.
    pub seed: u64,
    /// Daemons.
    pub daemons: usize,
    /// Engines of each service.
    pub engines: usize,
    /// Callers.
    pub callers: usize,
    /// Time in which faults happen.
    pub time: Duration,
    /// Whether only planned work happens.
    pub planned_only: bool,
    /// Routes beside those that callers use.
    pub routes: usize,
    /// What each connection between two daemons carries, in megabits a second; `None` for no limit.
    pub link_mbps: Option<u64>,
    /// Kind of faults beside those of the seed.
    pub extra: Option<ExtraKind>,
    /// Faults in place of those of the seed.
    pub script: Option<Vec<FaultStep>>,
    /// Folder for settings and logs.
    pub folder: PathBuf,
}
