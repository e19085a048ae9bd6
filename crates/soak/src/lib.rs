//! Randomized fault tests: starts real daemon processes on loopback, injects faults from outside and
//! checks the answers of the callers against the requests that the engines ran.

mod call_records;
mod callers;
mod checks;
mod connectivity;
mod crowds;
mod cuts;
mod engines;
mod entries;
mod evidence;
mod exchange;
mod extra;
mod faults;
mod fleet;
mod kept;
mod lethal;
mod mixed;
mod notices;
mod options;
mod outcomes;
mod plan;
mod releases;
mod run;
mod settings;
mod silences;
mod steps;
mod streams;
mod take_up;
mod weak_vms;

pub use callers::{CallKind, CallOutcome, CallRecord};
pub use checks::{check_evidence, SoakViolation};
pub use crowds::CrowdRecord;
pub use cuts::CutDaemons;
pub use evidence::{EngineLeave, KeyRevocation, PlannedStop, SoakEvidence};
pub use extra::{with_extra, ExtraKind, RestartAddress, StalledConnections};
pub use kept::{kept_seeds, PlayedSeed};
pub use notices::{EngineNotice, SentNotice};
pub use options::{SoakOptions, WEAK_PERCENT};
pub use plan::{plan, FaultStep, PlanOptions, SoakFault};
pub use run::{run_soak, SoakReport};
pub use silences::StreamChange;
pub use steps::{CutDirection, DaemonGroup, JoinKind, OutOfStep};
pub use streams::{StreamCounts, TakenUp};
