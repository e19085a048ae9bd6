//! The decision bench: a seeded trace of requests is fed to the real scheduler of one pool, and to
//! baselines, with a small fake behind each target. Time is passed in; nothing runs in real time.
//!
//! Assumptions: a target serves `slots` requests at a constant speed each; requests beyond that wait
//! inside the target, first come first served; a caller leaves at its deadline and is then cancelled;
//! asked output is an upper bound of the true output; load reports and cache events come late.

mod baselines;
mod fakes;
mod ours;
mod run;
mod trace;

pub use baselines::{FirstCome, LeastInFlight, RandomChoice, TwoChoices};
pub use fakes::{FakeTarget, TargetSpec};
pub use ours::OurScheduler;
pub use run::{run, Placement, Policy, RunReport, TierCounts};
pub use trace::{capacity, make_trace, Job, TierSpec, TraceSpec};
