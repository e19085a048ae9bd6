//! Stand-ins for the outside of curlewcleat: the platform, a streaming engine, a plain service and
//! callers, each small and with fault switches. They serve tests and the demo and are never shipped.

pub mod address;
pub mod callers;
pub mod deployment;
pub mod engine;
pub mod fleet;
pub mod http;
pub mod ledger;
pub mod load;
pub mod platform;
pub mod relay;
pub mod served;
pub mod service;
pub mod target;
pub mod verdicts;
