//! A randomized soak: real daemons as separate processes on loopback, faults from outside them, and a
//! judge that compares what callers got with what engines ran.

mod callers;
mod judge;
mod link;
mod plan;
mod world;

pub use callers::{CallKind, CallOutcome, CallRecord};
pub use judge::{judge, KeyLoss, PlannedStop, SoakEvidence, SoakFinding};
pub use link::{FaultyLink, LinkFault};
pub use plan::{plan, FaultStep, PlanOptions, SoakFault};
pub use world::{run_soak, SoakOptions, SoakReport};
