//! Small stand-ins, with fault switches, of the systems around curlewcleat: the platform, a streaming engine, a
//! plain service and callers. Tests and the demo use them; they are never shipped.

pub mod address;
pub mod callers;
pub mod deployment;
pub mod duty_cycle;
pub mod engine;
pub mod fleet;
pub mod http;
pub mod ledger;
pub mod link;
pub mod load;
pub mod platform;
pub mod relay;
pub mod served;
pub mod service;
pub mod target;
pub mod throttle;
pub mod verdicts;
