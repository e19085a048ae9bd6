//! Explicit-state model checking of the core protocol.
//!
//! Each module is a small specification: the state machines that the daemon runs, in an environment that may lose,
//! repeat and delay messages, stop processes and lose answers. Every reachable state within the bounds is visited
//! breadth-first by the `pathfinding` library. For each invariant there is a broken variant of the protocol, which the
//! search must detect with its shortest trace.

mod config;
mod drain;
mod explore;
mod keys;
mod lethal;
mod levels;
mod limits;
mod rates;
mod request;
mod rollout;
mod streams;

pub use config::{ConfigFault, ConfigModel};
pub use drain::{DrainFault, DrainModel};
pub use explore::{explore, Exploration, SpecModel};
pub use keys::{KeyFault, KeyModel};
pub use lethal::{LethalFault, LethalModel};
pub use levels::{LevelFault, LevelModel};
pub use limits::{LimitFault, LimitModel};
pub use rates::{RateFault, RateModel};
pub use request::{RequestFault, RequestModel};
pub use rollout::{RolloutFault, RolloutModel};
pub use streams::{StreamFault, StreamModel, TakeUp};
