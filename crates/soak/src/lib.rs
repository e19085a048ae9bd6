//! A randomized soak: real daemons as separate processes on loopback, faults from outside them, and a
//! judge that compares what callers got with what engines ran.

mod callers;
mod entries;
mod evidence;
mod extra;
mod faults;
mod fleet;
mod judge;
mod kept;
mod lethal;
mod link;
mod options;
mod outcomes;
mod plan;
mod reach;
mod run;
mod settings;
mod words;

pub use callers::{CallKind, CallOutcome, CallRecord};
pub use evidence::{EngineLeave, KeyLoss, PlannedStop, SoakEvidence};
pub use extra::{with_extra, ExtraKind, RestartPlace, SilentConnections};
pub use judge::{judge, SoakFinding};
pub use kept::{kept_seeds, PlayedSeed};
pub use link::{FaultyLink, LinkFault};
pub use options::SoakOptions;
pub use plan::{plan, FaultStep, PlanOptions, SoakFault};
pub use run::{run_soak, SoakReport};
pub use words::{EngineWord, SaidWord};
