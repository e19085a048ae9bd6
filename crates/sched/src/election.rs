//! Decides which daemons are reachable and in which order permits of a pool are requested from them.
//!
//! [`membership`] holds the state of the peers, [`addresses`] the addresses of possible daemons, [`candidates`] decides
//! which daemons may schedule, [`heartbeats`] who receives heartbeats, [`failure`] when a peer counts as unreachable,
//! [`order`] which daemon schedules, [`reach`] how much of the fleet it reaches, [`unresponsive`] which one gets a permit request if some do not answer.
//!
//! Liveness decides only which daemon gets a permit request first; no guarantee depends on it.

pub mod addresses;
pub mod candidates;
pub mod failure;
pub mod heartbeats;
pub mod membership;
pub mod order;
pub mod reach;
pub mod unresponsive;
